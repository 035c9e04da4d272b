"""Tests of the order in which turns are admitted at engines."""

import pytest

from quetzalmill import engine_rank


class TestRank:
    """Which of two turns goes first while both wait."""

    @pytest.mark.parametrize(
        ("first", "second"),
        [
            # Priority, whether the program has started, remaining time (ms).
            ((0, False, 900.0), (1, False, 900.0)),
            ((0, True, 900.0), (0, False, 900.0)),
            ((0, True, 900.0), (0, True, 0.0)),
            ((1, True, 900.0), (0, True, 0.0)),
            ((1, False, 900.0), (1, True, 0.0)),
            ((0, True, None), (0, True, 0.0)),
        ],
    )
    def test_order(
        self,
        first: tuple[int, bool, float | None],
        second: tuple[int, bool, float | None],
    ) -> None:
        ranks = [
            engine_rank.rank(
                priority,
                is_under_way=started,
                program_remaining_ms=remaining_ms,
            )
            for priority, started, remaining_ms in (first, second)
        ]
        assert ranks[0] < ranks[1]

    def test_ranks_stay_within_those_of_engines(self) -> None:
        for priority in range(20):
            for remaining_ms in (None, 0.0, 1.0):
                found = engine_rank.rank(
                    priority,
                    is_under_way=True,
                    program_remaining_ms=remaining_ms,
                )
                assert engine_rank.HIGHEST <= found <= engine_rank.LOWEST
