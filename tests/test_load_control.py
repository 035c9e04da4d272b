"""Tests of which programs begin while engines are full."""

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
_NEWS_MS = 400.0
"""How old the load is that gateways see."""

_AIM_MS = 1.5 * _TURNS * (_TURN_MS + _PAUSE_MS) + 250.0
_MOST_TRIES = 4


@attrs.define(kw_only=True)
class _Program:
    begun_ms: float
    rank: int
    turns_left: int = _TURNS
    tries: int = 0


class _Fleet:
    """Engines whose turns take longer in fuller batches and wait beyond."""

    def __init__(self, seed: int, *, refuses: bool) -> None:
        self._random = random.Random(seed)
        self._refuses = refuses
        self._events: list[tuple[float, int, str, _Program]] = []
        self._count = 0
        self._held = [0] * _ENGINES
        self._free_ms = [[0.0] * _SLOTS for _ in range(_ENGINES)]
        self._news: list[tuple[float, float]] = [(0.0, 0.0)]
        self.in_aim = {0: 0, 1: 0}
        self.asked = {0: 0, 1: 0}

    def run(self, arrivals: list[tuple[float, int]]) -> None:
        """Plays programs that arrive at a time with a rank."""
        for at_ms, rank in arrivals:
            self.asked[rank] += 1
            self._add(at_ms, "turn", _Program(begun_ms=at_ms, rank=rank))
        while self._events:
            now_ms, _, kind, program = heapq.heappop(self._events)
            if kind == "turn":
                self._turn(program, now_ms)
            else:
                self._end(program, now_ms, int(kind))

    def _turn(self, program: _Program, now_ms: float) -> None:
        if self._refuses and program.turns_left == _TURNS:
            decision = load_control.may_begin(
                self._seen(now_ms),
                rank=program.rank,
                lowest_rank=1,
                random_source=self._random,
            )
            if not decision.admitted:
                program.tries += 1
                if program.tries < _MOST_TRIES:
                    self._add(now_ms + decision.retry_after_ms, "turn", program)
                return
        engine = min(range(_ENGINES), key=lambda each: self._held[each])
        self._held[engine] += 1
        slots = self._free_ms[engine]
        slot = min(range(_SLOTS), key=lambda each: slots[each])
        batch = min(self._held[engine], _SLOTS) / _SLOTS
        slots[slot] = max(now_ms, slots[slot]) + _TURN_MS * (0.8 + 0.4 * batch)
        self._add(slots[slot], str(engine), program)
        self._note(now_ms)

    def _end(self, program: _Program, now_ms: float, engine: int) -> None:
        self._held[engine] -= 1
        self._note(now_ms)
        program.turns_left -= 1
        if program.turns_left:
            self._add(now_ms + _PAUSE_MS, "turn", program)
        elif now_ms - program.begun_ms <= _AIM_MS:
            self.in_aim[program.rank] += 1

    def _seen(self, now_ms: float) -> float:
        while len(self._news) > 1 and self._news[1][0] <= now_ms - _NEWS_MS:
            del self._news[0]
        return self._news[0][1]

    def _note(self, now_ms: float) -> None:
        found = load_control.pressure(self._held, [_SLOTS] * _ENGINES)
        self._news.append((now_ms, found))

    def _add(self, at_ms: float, kind: str, program: _Program) -> None:
        self._count += 1
        heapq.heappush(self._events, (at_ms, self._count, kind, program))


def _arrivals(
    per_s: list[float], random_source: random.Random
) -> list[tuple[float, int]]:
    """Returns arrivals for each second's rate; a quarter are urgent."""
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


def _play(pattern: str, seed: int, *, refuses: bool) -> _Fleet:
    per_s = [part * _CAPACITY_PER_S for part in _PATTERNS[pattern]]
    fleet = _Fleet(seed, refuses=refuses)
    fleet.run(_arrivals(per_s, random.Random(seed)))
    return fleet


class TestPatterns:
    """Programs that end in their aim under named load patterns."""

    @pytest.mark.parametrize("pattern", ["burst", "overload"])
    @pytest.mark.parametrize("seed", range(3))
    def test_more_programs_end_in_time(self, pattern: str, seed: int) -> None:
        """Half as many again as when all begin at once."""
        free = _play(pattern, seed, refuses=False)
        held = _play(pattern, seed, refuses=True)
        assert sum(held.in_aim.values()) > 1.5 * sum(free.in_aim.values())

    @pytest.mark.parametrize("seed", range(3))
    def test_returners_lose_nothing(self, seed: int) -> None:
        pattern = "returners after an outage"
        free = _play(pattern, seed, refuses=False)
        held = _play(pattern, seed, refuses=True)
        assert sum(held.in_aim.values()) >= sum(free.in_aim.values())

    @pytest.mark.parametrize("pattern", list(_PATTERNS))
    def test_urgent_programs_go_first(self, pattern: str) -> None:
        held = _play(pattern, 1, refuses=True)
        parts = [held.in_aim[rank] / held.asked[rank] for rank in (0, 1)]
        assert parts[0] >= parts[1] - 0.05


class TestDecision:
    """Single decisions."""

    @pytest.mark.parametrize(
        ("found", "rank", "admitted"),
        [
            (0.0, 1, True),
            (load_control.FIRST_REFUSED, 1, True),
            (load_control.ALL_REFUSED, 1, False),
            (load_control.ALL_REFUSED, 0, None),
            (load_control.ALL_REFUSED + load_control.URGENT_MARGIN, 0, False),
            (99.0, 0, False),
        ],
    )
    def test_limits(
        self, found: float, rank: int, admitted: bool | None
    ) -> None:
        source = random.Random(3)
        seen = {
            load_control.may_begin(
                found, rank=rank, lowest_rank=1, random_source=source
            ).admitted
            for _ in range(200)
        }
        assert seen == ({True, False} if admitted is None else {admitted})

    def test_moments_to_come_back_differ(self) -> None:
        source = random.Random(3)
        moments = {
            round(
                load_control.may_begin(
                    1.5, rank=1, lowest_rank=1, random_source=source
                ).retry_after_ms
            )
            for _ in range(50)
        }
        assert len(moments) > 30
        assert max(moments) <= load_control.LONGEST_WAIT_MS
        assert min(moments) > 0

    def test_no_engines_hold_nothing(self) -> None:
        assert load_control.pressure([], []) == 0.0
