"""Tests of which programs may start while engines are full."""

import heapq
import random

import attrs
import pytest

from quetzalmill import load_control

_ENGINES = 12
_SLOTS = 6
_TURN_MS = 300.0
_TURNS = 4
_PAUSE_MS = 60.0
_LOAD_AGE_MS = 400.0
"""The age of the load that gateways see."""

_TARGET_MS = 1.5 * _TURNS * (_TURN_MS + _PAUSE_MS) + 250.0
_MAX_TRIES = 4


@attrs.define(kw_only=True)
class _Program:
    begun_ms: float
    rank: int
    turns_left: int = _TURNS
    tries: int = 0


class _Fleet:
    """Engines whose turns slow down in fuller batches and queue when full."""

    def __init__(self, seed: int, *, sheds: bool) -> None:
        self._random = random.Random(seed)
        self._sheds = sheds
        self._events: list[tuple[float, int, str, _Program]] = []
        self._count = 0
        self._active = [0] * _ENGINES
        self._free_ms = [[0.0] * _SLOTS for _ in range(_ENGINES)]
        self._loads: list[tuple[float, float]] = [(0.0, 0.0)]
        self.in_target = {0: 0, 1: 0}
        self.arrived = {0: 0, 1: 0}

    def run(self, arrivals: list[tuple[float, int]]) -> None:
        """Simulates programs, given their arrival times and ranks."""
        for at_ms, rank in arrivals:
            self.arrived[rank] += 1
            self._add(at_ms, "turn", _Program(begun_ms=at_ms, rank=rank))
        while self._events:
            now_ms, _, kind, program = heapq.heappop(self._events)
            if kind == "turn":
                self._turn(program, now_ms)
            else:
                self._end(program, now_ms, int(kind))

    def _turn(self, program: _Program, now_ms: float) -> None:
        if self._sheds and program.turns_left == _TURNS:
            decision = load_control.admit_program(
                self._seen(now_ms),
                rank=program.rank,
                lowest_rank=1,
                random_source=self._random,
            )
            if not decision.admitted:
                program.tries += 1
                if program.tries < _MAX_TRIES:
                    self._add(now_ms + decision.retry_after_ms, "turn", program)
                return
        engine = min(range(_ENGINES), key=lambda each: self._active[each])
        self._active[engine] += 1
        slots = self._free_ms[engine]
        slot = min(range(_SLOTS), key=lambda each: slots[each])
        batch = min(self._active[engine], _SLOTS) / _SLOTS
        slots[slot] = max(now_ms, slots[slot]) + _TURN_MS * (0.8 + 0.4 * batch)
        self._add(slots[slot], str(engine), program)
        self._note(now_ms)

    def _end(self, program: _Program, now_ms: float, engine: int) -> None:
        self._active[engine] -= 1
        self._note(now_ms)
        program.turns_left -= 1
        if program.turns_left:
            self._add(now_ms + _PAUSE_MS, "turn", program)
        elif now_ms - program.begun_ms <= _TARGET_MS:
            self.in_target[program.rank] += 1

    def _seen(self, now_ms: float) -> float:
        while (
            len(self._loads) > 1 and self._loads[1][0] <= now_ms - _LOAD_AGE_MS
        ):
            del self._loads[0]
        return self._loads[0][1]

    def _note(self, now_ms: float) -> None:
        load = load_control.load_per_slot(self._active, [_SLOTS] * _ENGINES)
        self._loads.append((now_ms, load))

    def _add(self, at_ms: float, kind: str, program: _Program) -> None:
        self._count += 1
        heapq.heappush(self._events, (at_ms, self._count, kind, program))


def _arrivals(
    per_s: list[float], random_source: random.Random
) -> list[tuple[float, int]]:
    """Returns arrivals for each second's rate; a quarter of them are urgent."""
    return [
        (
            1000.0 * (second + random_source.random()),
            0 if random_source.random() < 0.25 else 1,
        )
        for second, rate in enumerate(per_s)
        for _ in range(round(rate))
    ]


_CAPACITY_PER_S = _ENGINES * _SLOTS / (_TURNS * 1.2 * _TURN_MS / 1000.0)

_PATTERNS = {
    "burst": [0.6] * 4 + [2.0] * 6 + [0.6] * 8,
    "overload": [1.3] * 15,
    "returners after an outage": [0.6] * 3 + [5.0] + [0.6] * 10,
}


def _play(pattern: str, seed: int, *, sheds: bool) -> _Fleet:
    per_s = [fraction * _CAPACITY_PER_S for fraction in _PATTERNS[pattern]]
    fleet = _Fleet(seed, sheds=sheds)
    fleet.run(_arrivals(per_s, random.Random(seed)))
    return fleet


class TestPatterns:
    """Programs that end within their target time, by load pattern."""

    @pytest.mark.parametrize("pattern", ["burst", "overload"])
    @pytest.mark.parametrize("seed", range(3))
    def test_more_programs_end_in_time(self, pattern: str, seed: int) -> None:
        """More than 1.5 times as many as when all start immediately."""
        without_shedding = _play(pattern, seed, sheds=False)
        with_shedding = _play(pattern, seed, sheds=True)
        assert sum(with_shedding.in_target.values()) > 1.5 * sum(
            without_shedding.in_target.values()
        )

    @pytest.mark.parametrize("seed", range(3))
    def test_returning_callers_lose_nothing(self, seed: int) -> None:
        pattern = "returners after an outage"
        without_shedding = _play(pattern, seed, sheds=False)
        with_shedding = _play(pattern, seed, sheds=True)
        assert sum(with_shedding.in_target.values()) >= sum(
            without_shedding.in_target.values()
        )

    @pytest.mark.parametrize("pattern", list(_PATTERNS))
    def test_urgent_programs_are_preferred(self, pattern: str) -> None:
        with_shedding = _play(pattern, 1, sheds=True)
        fractions = [
            with_shedding.in_target[rank] / with_shedding.arrived[rank]
            for rank in (0, 1)
        ]
        assert fractions[0] >= fractions[1] - 0.05


class TestDecision:
    """Single decisions."""

    @pytest.mark.parametrize(
        ("load", "rank", "admitted"),
        [
            (0.0, 1, True),
            (load_control.MIN_SHEDDING_LOAD, 1, True),
            (load_control.FULL_SHEDDING_LOAD, 1, False),
            (load_control.FULL_SHEDDING_LOAD, 0, None),
            (
                load_control.FULL_SHEDDING_LOAD + load_control.PRIORITY_MARGIN,
                0,
                False,
            ),
            (99.0, 0, False),
        ],
    )
    def test_limits(
        self, load: float, rank: int, admitted: bool | None
    ) -> None:
        source = random.Random(3)
        seen = {
            load_control.admit_program(
                load, rank=rank, lowest_rank=1, random_source=source
            ).admitted
            for _ in range(200)
        }
        assert seen == ({True, False} if admitted is None else {admitted})

    def test_retry_delays_differ(self) -> None:
        source = random.Random(3)
        delays = {
            round(
                load_control.admit_program(
                    1.5, rank=1, lowest_rank=1, random_source=source
                ).retry_after_ms
            )
            for _ in range(50)
        }
        assert len(delays) > 30
        assert max(delays) <= load_control.MAX_RETRY_AFTER_MS
        assert min(delays) > 0

    def test_no_engines_mean_no_load(self) -> None:
        assert load_control.load_per_slot([], []) == 0.0
