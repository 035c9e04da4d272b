"""Lets requests wait for a moment until their team's rate allows them.

The load pattern: a team asks for somewhat more than its rate, or for its rate
in clumps. An agent program makes a dozen requests, and one that is refused for
good ends it, so refusals at random end many programs to save few requests.

Requests of programs under way go first; the first turn of a program goes only
when none of them waits, here or at a peer, and when a second bucket of the
team holds what a whole program takes. So a team that asks for too much has as
many programs under way as its rate carries. Who would wait too long is refused
at once, each told another moment to come back.

Requests of programs under way may overdraw the bucket a little. A small team's
rate is less than one program asks for in its seconds, and the debt keeps its
next program waiting.
"""

from collections.abc import Callable

import attrs
import trio

from quetzalmill import clock as clock_module
from quetzalmill import program_sizes
from quetzalmill import team_buckets

LONGEST_RETURN_MS = 3_000.0
"""The latest moment to come back; callers do not wait longer."""

START_RESERVE = 0.35
"""The part of a bucket, at most, that first turns leave to programs under
way. Simulated overload ends most programs in time between 0.25 and 0.5."""

START_RESERVE_MS = 500.0
"""The time, at most, in which a bucket gains what first turns leave, so that a
large burst does not keep them waiting for long."""

PROGRAM_MS = 500.0
"""Programs may begin in clumps that take a burst and what is gained in this
time; a program lasts longer, but a larger clump leaves a backlog behind."""

OVERRUN = 1.5
"""How many times its patience a request waits at most; estimates are off while
several gateways let requests go at once."""

_SHORTEST_SLEEP_MS = 5.0
_LONGEST_SLEEP_MS = 200.0


@attrs.define(eq=False)
class _Waiter:
    is_start: bool
    route: str


class RateLines:
    """A line for each team at one gateway.

    Args:
        buckets: The rates.
        starts: The same rates over ``PROGRAM_MS``, from which each program
            takes all its requests as it begins.
        clock: The process's clock.
        waiting_at_peers: Returns how many requests of a team's programs under
            way wait at other gateways.
        sizes: How many requests programs make.
    """

    def __init__(
        self,
        buckets: team_buckets.TeamBuckets,
        starts: team_buckets.TeamBuckets,
        clock: clock_module.Clock,
        waiting_at_peers: Callable[[str], int],
        sizes: program_sizes.ProgramSizes,
    ) -> None:
        self._buckets = buckets
        self._starts = starts
        self._sizes = sizes
        self._clock = clock
        self._waiting_at_peers = waiting_at_peers
        self._lines: dict[str, list[_Waiter]] = {}
        self._returns_ms: dict[str, float] = {}

    def look(
        self,
        team: str,
        *,
        is_start: bool,
        patience_ms: float,
        route: str = "",
    ) -> team_buckets.Admission:
        """Returns whether a request could go within its patience."""
        now_ms = self._clock.now_ms()
        if not self._buckets.is_limited(team):
            return self._buckets.look(team, now_ms)
        line = self._lines.get(team, [])
        ahead = len(line) if is_start else _begun(line)
        ahead += self._waiting_at_peers(team)
        wait_ms = self._wait_ms(team, ahead, is_start, route, now_ms)
        is_soon = wait_ms <= patience_ms
        return team_buckets.Admission(
            admitted=is_soon,
            level=self._buckets.level(team),
            retry_after_ms=0.0 if is_soon else self._return_in(team, wait_ms),
        )

    async def enter(
        self,
        team: str,
        *,
        is_start: bool,
        patience_ms: float,
        route: str = "",
    ) -> team_buckets.Admission:
        """Takes a token for a request, waiting for it if need be.

        Args:
            team: The request's team.
            is_start: Whether it is the first turn of a program.
            patience_ms: The longest estimated wait for which it stays.
            route: The route of a turn; empty for other requests.
        """
        found = self.look(
            team, is_start=is_start, patience_ms=patience_ms, route=route
        )
        if not found.admitted or not self._buckets.is_limited(team):
            return found
        waiter = _Waiter(is_start, route)
        line = self._lines.setdefault(team, [])
        line.append(waiter)
        try:
            limit_ms = OVERRUN * patience_ms
            with trio.move_on_after(limit_ms / 1000.0):
                return await self._wait(team, waiter, line)
            return self._waited_in_vain(team)
        finally:
            line.remove(waiter)
            if not line:
                self._lines.pop(team, None)

    def waiting(self) -> dict[str, int]:
        """Returns how many requests of programs under way wait, by team."""
        counts = {team: _begun(line) for team, line in self._lines.items()}
        return {team: count for team, count in counts.items() if count}

    async def _wait(
        self, team: str, waiter: _Waiter, line: list[_Waiter]
    ) -> team_buckets.Admission:
        while True:
            place = line.index(waiter)
            ahead = _begun(line[:place])
            if waiter.is_start:
                # Peers' requests keep it back, never the other way round, so
                # nobody waits in a circle.
                ahead = place + _begun(line[place:])
                ahead += self._waiting_at_peers(team)
            now_ms = self._clock.now_ms()
            if not self._buckets.is_limited(team):
                return self._buckets.look(team, now_ms)
            wait_ms = self._wait_ms(
                team, ahead, waiter.is_start, waiter.route, now_ms
            )
            if ahead == 0 and wait_ms <= 0.0:
                self._sizes.note(waiter.route, is_start=waiter.is_start)
                if waiter.is_start:
                    whole = self._sizes.requests(waiter.route)
                    self._starts.take(team, whole, now_ms)
                return self._buckets.admit(
                    team, now_ms, may_overdraw=not waiter.is_start
                )
            sleep_ms = max(_SHORTEST_SLEEP_MS, wait_ms)
            await trio.sleep(min(sleep_ms, _LONGEST_SLEEP_MS) / 1000.0)

    def _wait_ms(
        self, team: str, ahead: int, is_start: bool, route: str, now_ms: float
    ) -> float:
        if not is_start:
            return self._buckets.wait_ms(
                team, ahead + 1, now_ms, may_overdraw=True
            )
        kept = min(
            START_RESERVE * self._buckets.capacity(team),
            START_RESERVE_MS / self._buckets.interval_ms(team),
        )
        whole = self._sizes.requests(route)
        return max(
            self._buckets.wait_ms(team, ahead + 1 + int(kept), now_ms),
            self._starts.wait_ms(team, whole, now_ms),
        )

    def _waited_in_vain(self, team: str) -> team_buckets.Admission:
        now_ms = self._clock.now_ms()
        found = self._buckets.look(team, now_ms)
        if not self._buckets.is_limited(team):
            return found
        return team_buckets.Admission(
            admitted=False,
            level=found.level,
            retry_after_ms=self._return_in(team, found.retry_after_ms),
        )

    def _return_in(self, team: str, wait_ms: float) -> float:
        """Returns when to come back, a token's time after who asked before."""
        now_ms = self._clock.now_ms()
        after_last_ms = self._returns_ms.get(team, 0.0)
        after_last_ms += self._buckets.interval_ms(team)
        return_ms = min(
            max(now_ms + wait_ms, after_last_ms), now_ms + LONGEST_RETURN_MS
        )
        self._returns_ms[team] = return_ms
        return return_ms - now_ms


def _begun(line: list[_Waiter]) -> int:
    """Returns how many waiters belong to programs under way."""
    return sum(not each.is_start for each in line)
