"""Tests of queueing for a team's rate, under the load it is designed for."""

from collections.abc import Awaitable, Callable
import random

import attrs
import pytest
import trio
import trio.testing

from quetzalmill import program_sizes
from quetzalmill import rate_queues
from quetzalmill import route_table
from quetzalmill import team_buckets
from tests import trio_clock

_TEAM = "weddings"
_GATEWAYS = 4
_HEARTBEAT_S = 0.2
_DEADLINE_MS = 4_000.0
_REQUESTS = 12
_MAX_WAIT_MS = 1_000.0
_MAX_START_WAIT_MS = 250.0


@attrs.define
class _Gateways:
    """Several gateways that report their admissions to each other."""

    nursery: trio.Nursery
    buckets: list[team_buckets.TeamBuckets]
    start_buckets: list[team_buckets.TeamBuckets]
    queues: list[rate_queues.RateQueues]
    reported: list[dict[str, int]]
    ran_s: list[float] = attrs.field(factory=list)

    async def send_heartbeats(self, own: int) -> None:
        """Sends one gateway's heartbeats forever, offset from the others'."""
        await trio.sleep(_HEARTBEAT_S * own / _GATEWAYS)
        while True:
            await trio.sleep(_HEARTBEAT_S)
            now_ms = trio.current_time() * 1000.0
            self.reported[own] = self.queues[own].waiting()
            for other in range(_GATEWAYS):
                if other != own:
                    for kind in (self.buckets, self.start_buckets):
                        admitted = kind[own].admitted()
                        kind[other].apply_report(str(own), admitted, now_ms)


def _run(
    case: Callable[[_Gateways], Awaitable[None]],
    *,
    rate_per_s: float,
    burst: float,
    overdraft: float = 0.0,
) -> None:
    async def run() -> None:
        clock = trio_clock.TrioClock()
        buckets = [
            team_buckets.TeamBuckets(overdraft=overdraft)
            for _ in range(_GATEWAYS)
        ]
        start_buckets = [
            team_buckets.TeamBuckets(rate_queues.START_BURST_MS)
            for _ in range(_GATEWAYS)
        ]
        reported: list[dict[str, int]] = [{} for _ in range(_GATEWAYS)]
        team = route_table.Team(
            name=_TEAM, priority=None, rate_per_s=rate_per_s, burst=burst
        )
        for each in (*buckets, *start_buckets):
            each.configure({_TEAM: team}, clock.now_ms())

        def at_peers(own: int) -> Callable[[str], int]:
            return lambda name: sum(
                counts.get(name, 0)
                for other, counts in enumerate(reported)
                if other != own
            )

        queues = [
            rate_queues.RateQueues(
                buckets[number],
                start_buckets[number],
                clock,
                at_peers(number),
                program_sizes.ProgramSizes(),
            )
            for number in range(_GATEWAYS)
        ]

        async with trio.open_nursery() as nursery:
            gateways = _Gateways(
                nursery, buckets, start_buckets, queues, reported
            )
            for number in range(_GATEWAYS):
                nursery.start_soon(gateways.send_heartbeats, number)
            await trio.sleep(10.0)
            await case(gateways)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


async def _request(
    gateways: _Gateways, choice: random.Random, *, is_start: bool
) -> bool:
    """Makes one request as callers do, with one retry after a refusal."""
    for _ in range(2):
        queue = choice.choice(gateways.queues)
        admission = await queue.acquire(
            _TEAM,
            is_start=is_start,
            max_wait_ms=_MAX_START_WAIT_MS if is_start else _MAX_WAIT_MS,
        )
        if admission.admitted:
            gateways.ran_s.append(trio.current_time())
            await trio.sleep(0.1)
            return True
        wait_ms = min(admission.retry_after_ms, _DEADLINE_MS / 3.0)
        await trio.sleep(wait_ms / 1000.0)
    return False


class TestOverload:
    """Programs that need several times their team's rate."""

    @pytest.mark.parametrize("seed", range(4))
    @pytest.mark.parametrize("times", [1.2, 3.0])
    @pytest.mark.parametrize(
        ("rate_per_s", "burst"), [(20.0, 20.0), (80.0, 80.0)]
    )
    def test_started_programs_complete(
        self, seed: int, times: float, rate_per_s: float, burst: float
    ) -> None:
        """Most of the programs that the rate allows complete under overload.

        The overload lasts 20 s. With plain buckets, at three times the rate,
        only a tenth to a quarter of them completed.
        """
        choice = random.Random(seed)
        duration_s = 20.0
        completed_s: list[float] = []

        async def case(gateways: _Gateways) -> None:
            async def program() -> None:
                started_s = trio.current_time()
                for number in range(_REQUESTS):
                    is_start = number == 0
                    if not await _request(gateways, choice, is_start=is_start):
                        return
                completed_s.append(trio.current_time() - started_s)

            end_s = trio.current_time() + duration_s
            while trio.current_time() < end_s:
                gateways.nursery.start_soon(program)
                starts_per_s = times * rate_per_s / _REQUESTS
                await trio.sleep(choice.expovariate(starts_per_s))
            await trio.sleep(10.0)

        _run(case, rate_per_s=rate_per_s, burst=burst)
        allowed = (rate_per_s * duration_s + burst) / _REQUESTS
        # A program alone takes 1.2 s; callers allow about twice as much.
        completed_in_time = sum(each < 2.4 for each in completed_s)
        # The users' target for the worst load.
        assert completed_in_time >= 0.58 * allowed

    def test_flood_stays_within_rate_and_burst(self) -> None:
        rate_per_s, burst = 20.0, 20.0
        choice = random.Random(1)
        ran_s: list[float] = []

        async def case(gateways: _Gateways) -> None:
            gateways.ran_s = ran_s

            async def ask() -> None:
                await _request(gateways, choice, is_start=choice.random() < 0.3)

            for _ in range(2_000):
                gateways.nursery.start_soon(ask)
                await trio.sleep(0.005)

        _run(case, rate_per_s=rate_per_s, burst=burst)
        for start_s in ran_s:
            window = [ran for ran in ran_s if 0.0 <= ran - start_s < 5.0]
            assert len(window) <= (rate_per_s * 5.0 + burst) * 1.1 + 20


class TestClumps:
    """Load below the rate that arrives in bursts."""

    def test_short_wait_instead_of_a_refusal(self) -> None:
        async def case(gateways: _Gateways) -> None:
            queue = gateways.queues[0]
            admitted: list[bool] = []

            async def ask() -> None:
                found = await queue.acquire(
                    _TEAM, is_start=False, max_wait_ms=_MAX_WAIT_MS
                )
                admitted.append(found.admitted)

            async with trio.open_nursery() as nursery:
                for _ in range(20):
                    nursery.start_soon(ask)
            assert admitted == [True] * 20

        _run(case, rate_per_s=20.0, burst=10.0)


class TestReturning:
    """The retry times and the order of requests that have to wait."""

    def test_each_refusal_has_a_different_retry_time(self) -> None:
        async def case(gateways: _Gateways) -> None:
            queue = gateways.queues[0]
            reported = []
            for _ in range(40):
                found = await queue.acquire(
                    _TEAM, is_start=False, max_wait_ms=0.0
                )
                if not found.admitted:
                    reported.append(found.retry_after_ms)
            assert len(reported) == 30
            gaps = [
                after - before
                for before, after in zip(reported, reported[1:], strict=False)
            ]
            # A token is added every 50 ms.
            assert min(gaps) >= 49.0

        _run(case, rate_per_s=20.0, burst=10.0)

    def test_running_program_goes_before_a_new_one(self) -> None:
        async def case(gateways: _Gateways) -> None:
            queue = gateways.queues[0]
            order: list[str] = []

            async def ask(name: str, is_start: bool) -> None:
                await queue.acquire(
                    _TEAM, is_start=is_start, max_wait_ms=_MAX_WAIT_MS
                )
                order.append(name)

            while (
                await queue.acquire(_TEAM, is_start=False, max_wait_ms=0.0)
            ).admitted:
                pass
            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask, "new", True)
                await trio.sleep(0.001)
                nursery.start_soon(ask, "under way", False)
            assert order == ["under way", "new"]

        _run(case, rate_per_s=20.0, burst=10.0)


class TestOverdraft:
    """A small team whose rate is lower than what one program needs."""

    _RATE_PER_S = 6.0
    _BURST = 6.0
    _SLACK = 20.0
    _PROGRAM_REQUESTS = 30

    def _run_programs(
        self, overdraft: float, programs: int
    ) -> tuple[float, list[float]]:
        """Returns the longest program's duration and when requests ran."""
        took_s: list[float] = []
        ran_s: list[float] = []

        async def case(gateways: _Gateways) -> None:
            choice = random.Random(5)

            async def program() -> None:
                started_s = trio.current_time()
                for number in range(self._PROGRAM_REQUESTS):
                    is_start = number == 0
                    while not await _request(
                        gateways, choice, is_start=is_start
                    ):
                        pass
                took_s.append(trio.current_time() - started_s)

            async with trio.open_nursery() as nursery:
                for _ in range(programs):
                    nursery.start_soon(program)
            ran_s.extend(gateways.ran_s)

        _run(
            case,
            rate_per_s=self._RATE_PER_S,
            burst=self._BURST,
            overdraft=overdraft,
        )
        return max(took_s), ran_s

    def test_running_program_continues(self) -> None:
        plain_s, _ = self._run_programs(0.0, 1)
        overdrawn_s, _ = self._run_programs(self._SLACK / 2.0, 1)
        assert overdrawn_s < plain_s - 0.8

    @pytest.mark.parametrize("programs", [1, 4, 12])
    def test_tolerated_bound_holds(self, programs: int) -> None:
        """No five seconds contain more requests than operators tolerate."""
        _, ran_s = self._run_programs(self._SLACK / 2.0, programs)
        most = (self._RATE_PER_S * 5.0 + self._BURST) * 1.1 + self._SLACK
        for first, at_s in enumerate(ran_s):
            within = sum(each <= at_s + 5.0 for each in ran_s[first:])
            assert within <= most
