"""Tests of the estimated number of requests of a program."""

import random

import pytest

from quetzalmill import program_sizes

_GATEWAYS = 80
_PROGRAMS = 400


class TestSizes:
    """Short and long programs, spread over a fleet of many gateways."""

    @pytest.mark.parametrize("seed", range(3))
    def test_every_gateway_distinguishes_short_from_long(
        self, seed: int
    ) -> None:
        """Each gateway has seen five programs, all together 400."""
        random_source = random.Random(seed)
        fleet = [program_sizes.ProgramSizes() for _ in range(_GATEWAYS)]
        for number in range(_PROGRAMS):
            route, turns = ("short", 4) if number % 4 else ("long", 16)
            for turn in range(turns):
                random_source.choice(fleet).record(route, is_start=turn == 0)
                random_source.choice(fleet).record("", is_start=False)
        counts = [each.counts() for each in fleet]
        for own, each in enumerate(fleet):
            each.apply_report(
                c for other, c in enumerate(counts) if other != own
            )
            assert 8 <= each.requests("short") <= 9
            assert 27 <= each.requests("long") <= 32

    def test_unknown_programs_have_the_default_size(self) -> None:
        sizes = program_sizes.ProgramSizes()
        default = program_sizes.DEFAULT_TURNS * (
            1 + program_sizes.DEFAULT_OTHERS
        )
        assert sizes.requests("any") == default

    def test_reports_replace_older_ones(self) -> None:
        """A peer's counts are cumulative, so they are not added up."""
        sizes = program_sizes.ProgramSizes()
        peer = program_sizes.ProgramSizes()
        for _ in range(200):
            peer.record("chat", is_start=True)
            sizes.apply_report([peer.counts()])
        once = sizes.requests("chat")
        sizes.apply_report([peer.counts()])
        assert sizes.requests("chat") == once
