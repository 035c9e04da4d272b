"""Queues requests briefly until their team's rate allows them.

Load pattern: a team sends somewhat more than its rate, or its rate in bursts.
An agent program makes a dozen requests and fails if one of them is finally
refused, so random refusals would fail many programs to save few requests.

Requests of running programs go first. The first turn of a program is admitted
only when none of them waits, here or at a peer, and when a second bucket of
the team holds enough for a complete program. So an overloaded team runs as
many programs as its rate sustains. A request that would wait too long is
refused at once, each with a different retry time.

Requests of running programs may overdraw the bucket a little: a small team's
rate is lower than what a single running program needs, and the debt delays the
team's next program.
"""

from collections.abc import Callable

import attrs
import trio

from quetzalmill import clock as clock_module
from quetzalmill import program_sizes
from quetzalmill import team_buckets

MAX_RETRY_AFTER_MS = 3_000.0
"""The longest retry time; callers do not wait longer."""

START_RESERVE_FRACTION = 0.35
"""The largest fraction of a bucket that first turns leave to running programs.
In simulated overload, values from 0.25 to 0.5 let most programs finish in
time."""

START_RESERVE_MS = 500.0
"""Limits what first turns leave to what the bucket gains in this time, so that
they do not wait long where the burst is large."""

START_BURST_MS = 500.0
"""Programs may start in bursts that take the team's burst plus what it gains in
this time. A program lasts longer, but larger bursts leave a backlog."""

MAX_WAIT_FACTOR = 1.5
"""The longest actual wait, as a multiple of the longest estimated one.
Estimates are inaccurate while several gateways admit requests concurrently."""

_MIN_SLEEP_MS = 5.0
_MAX_SLEEP_MS = 200.0


@attrs.define(eq=False)
class _Waiter:
    is_start: bool
    route: str


class RateQueues:
    """The queues of all teams at one gateway.

    Args:
        buckets: The buckets of the teams' rates.
        start_buckets: Buckets of the same rates over ``START_BURST_MS``, from
            which each program takes all its requests when it starts.
        clock: The process's clock.
        waiting_at_peers: Returns how many requests of a team's running
            programs wait at other gateways.
        sizes: How many requests programs make.
    """

    def __init__(
        self,
        buckets: team_buckets.TeamBuckets,
        start_buckets: team_buckets.TeamBuckets,
        clock: clock_module.Clock,
        waiting_at_peers: Callable[[str], int],
        sizes: program_sizes.ProgramSizes,
    ) -> None:
        self._buckets = buckets
        self._start_buckets = start_buckets
        self._sizes = sizes
        self._clock = clock
        self._waiting_at_peers = waiting_at_peers
        self._queues: dict[str, list[_Waiter]] = {}
        self._retry_at_ms: dict[str, float] = {}

    def peek(
        self,
        team: str,
        *,
        is_start: bool,
        max_wait_ms: float,
        route: str = "",
    ) -> team_buckets.Admission:
        """Returns whether a request could be admitted within its wait."""
        now_ms = self._clock.now_ms()
        if not self._buckets.is_limited(team):
            return self._buckets.peek(team, now_ms)
        queue = self._queues.get(team, [])
        ahead = len(queue) if is_start else _count_running(queue)
        ahead += self._waiting_at_peers(team)
        wait_ms = self._wait_ms(team, ahead, is_start, route, now_ms)
        is_admitted = wait_ms <= max_wait_ms
        return team_buckets.Admission(
            admitted=is_admitted,
            level=self._buckets.level(team),
            retry_after_ms=0.0
            if is_admitted
            else self._next_retry_after_ms(team, wait_ms),
        )

    async def acquire(
        self,
        team: str,
        *,
        is_start: bool,
        max_wait_ms: float,
        route: str = "",
    ) -> team_buckets.Admission:
        """Takes a token for a request, waiting for it if need be.

        Args:
            team: The request's team.
            is_start: Whether it is the first turn of a program.
            max_wait_ms: The longest estimated wait for which it is queued.
            route: The route of a turn; empty for other requests.
        """
        admission = self.peek(
            team, is_start=is_start, max_wait_ms=max_wait_ms, route=route
        )
        if not admission.admitted or not self._buckets.is_limited(team):
            return admission
        waiter = _Waiter(is_start, route)
        queue = self._queues.setdefault(team, [])
        queue.append(waiter)
        try:
            limit_ms = MAX_WAIT_FACTOR * max_wait_ms
            with trio.move_on_after(limit_ms / 1000.0):
                return await self._wait(team, waiter, queue)
            return self._refuse_after_wait(team)
        finally:
            queue.remove(waiter)
            if not queue:
                self._queues.pop(team, None)

    def waiting(self) -> dict[str, int]:
        """Returns how many requests of running programs wait, by team."""
        counts = {
            team: _count_running(queue) for team, queue in self._queues.items()
        }
        return {team: count for team, count in counts.items() if count}

    async def _wait(
        self, team: str, waiter: _Waiter, queue: list[_Waiter]
    ) -> team_buckets.Admission:
        while True:
            position = queue.index(waiter)
            ahead = _count_running(queue[:position])
            if waiter.is_start:
                # First turns wait for peers' requests but never the reverse,
                # so that there is no circular wait.
                ahead = position + _count_running(queue[position:])
                ahead += self._waiting_at_peers(team)
            now_ms = self._clock.now_ms()
            if not self._buckets.is_limited(team):
                return self._buckets.peek(team, now_ms)
            wait_ms = self._wait_ms(
                team, ahead, waiter.is_start, waiter.route, now_ms
            )
            if ahead == 0 and wait_ms <= 0.0:
                self._sizes.record(waiter.route, is_start=waiter.is_start)
                if waiter.is_start:
                    program_requests = self._sizes.requests(waiter.route)
                    self._start_buckets.take(team, program_requests, now_ms)
                return self._buckets.admit(
                    team, now_ms, may_overdraw=not waiter.is_start
                )
            sleep_ms = max(_MIN_SLEEP_MS, wait_ms)
            await trio.sleep(min(sleep_ms, _MAX_SLEEP_MS) / 1000.0)

    def _wait_ms(
        self, team: str, ahead: int, is_start: bool, route: str, now_ms: float
    ) -> float:
        if not is_start:
            return self._buckets.wait_ms(
                team, ahead + 1, now_ms, may_overdraw=True
            )
        reserved = min(
            START_RESERVE_FRACTION * self._buckets.capacity(team),
            START_RESERVE_MS / self._buckets.interval_ms(team),
        )
        program_requests = self._sizes.requests(route)
        return max(
            self._buckets.wait_ms(team, ahead + 1 + int(reserved), now_ms),
            self._start_buckets.wait_ms(team, program_requests, now_ms),
        )

    def _refuse_after_wait(self, team: str) -> team_buckets.Admission:
        now_ms = self._clock.now_ms()
        admission = self._buckets.peek(team, now_ms)
        if not self._buckets.is_limited(team):
            return admission
        return team_buckets.Admission(
            admitted=False,
            level=admission.level,
            retry_after_ms=self._next_retry_after_ms(
                team, admission.retry_after_ms
            ),
        )

    def _next_retry_after_ms(self, team: str, wait_ms: float) -> float:
        """Returns a retry time, one token later than the previous one."""
        now_ms = self._clock.now_ms()
        earliest_ms = self._retry_at_ms.get(team, 0.0)
        earliest_ms += self._buckets.interval_ms(team)
        retry_at_ms = min(
            max(now_ms + wait_ms, earliest_ms), now_ms + MAX_RETRY_AFTER_MS
        )
        self._retry_at_ms[team] = retry_at_ms
        return retry_at_ms - now_ms


def _count_running(queue: list[_Waiter]) -> int:
    """Returns how many waiters belong to running programs."""
    return sum(not each.is_start for each in queue)
