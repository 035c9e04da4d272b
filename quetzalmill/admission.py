"""Admits requests against the teams' rates, at this entry or at a peer.

A request is admitted from exactly one entry's bucket. When the own bucket is
empty, the entry asks the peers that hold shares to admit it there: one
question at a time for each team, for all requests that wait, and none to a
peer that has just said when it will have a token. An answer that comes late
or is lost wastes tokens; it never creates one. A request for which a token is
due soon waits for it; every other one is refused at once.
"""

from collections.abc import Callable

import attrs
import trio

from quetzalmill import clock as clock_module
from quetzalmill import configuration
from quetzalmill import control
from quetzalmill import errors
from quetzalmill import logs
from quetzalmill import messages
from quetzalmill import team_rates

UNKNOWN_RETRY_MS = 1_000.0
"""When to come back while no holder of shares can be reached."""

MAX_WAIT_MS = 250.0
"""The longest that a request waits for a token that is due."""

ASK_TIMEOUT_MS = 500.0
"""The longest that a peer's answer is waited for."""

SILENT_MS = 1_000.0
"""How long a peer that did not answer is not asked again."""

NO_SHARE_MS = 100.0
"""How long a peer that may mint nothing just now is not asked again."""

ASK_INTERVAL_MS = 50.0
"""The shortest time between two questions to a peer that lacks tokens."""

HEDGE_MS = 50.0
"""How long one peer's answer is waited for before the next is asked too."""

_MIN_PAUSE_MS = 2.0
_KEPT_PEERS = 20_000

_log = logs.get("admission")


@attrs.frozen(kw_only=True)
class Admitted:
    """The request may go on."""


@attrs.frozen(kw_only=True)
class OverRate:
    """The team has used up its rate.

    Attributes:
        retry_after_ms: When coming back can help.
    """

    retry_after_ms: float


@attrs.frozen(kw_only=True)
class NoHolder:
    """No entry that holds shares could be asked."""


Verdict = Admitted | OverRate | NoHolder


@attrs.define(kw_only=True, eq=False)
class _Waiter:
    since_ms: float
    verdict: Verdict | None = None
    settled: trio.Event = attrs.field(factory=trio.Event)

    def settle(self, verdict: Verdict) -> None:
        self.verdict = verdict
        self.settled.set()


@attrs.frozen(kw_only=True)
class _Peer:
    """What a peer last said of a team's tokens.

    Attributes:
        next_ms: When it has a token again; None if it did not answer.
        again_ms: When asking it again can help.
    """

    next_ms: float | None
    again_ms: float


class Admission:
    """The rate limits at one entry."""

    def __init__(
        self,
        host: str,
        *,
        config: configuration.Configuration,
        rates: team_rates.TeamRates,
        client: control.ControlClient,
        address_of: Callable[[str], str | None],
        timeout_ms: float,
        nursery: trio.Nursery,
        clock: clock_module.Clock,
    ) -> None:
        self._host = host
        self._config = config
        self._rates = rates
        self._client = client
        self._address_of = address_of
        self._timeout_ms = min(timeout_ms, ASK_TIMEOUT_MS)
        self._nursery = nursery
        self._clock = clock
        self._waiters: dict[str, list[_Waiter]] = {}
        self._peers: dict[tuple[str, str], _Peer] = {}
        self._asking: set[str] = set()
        self._unanswered: set[tuple[str, str]] = set()
        self.asked = 0

    async def admit(self, team: str) -> Verdict:
        """Admits one request of a team, or says when to come back."""
        if self._config.team(team) is None:
            return NoHolder()
        waiting = self._waiters.get(team)
        if waiting is None and self._take(team, 1):
            return Admitted()
        waiter = _Waiter(since_ms=self._clock.now_ms())
        if waiting is not None:
            waiting.append(waiter)
            if team not in self._asking:
                self._refuse_hopeless(team)
        else:
            self._waiters[team] = [waiter]
            self._asking.add(team)
            self._nursery.start_soon(self._serve_waiters, team)
        await waiter.settled.wait()
        return waiter.verdict or NoHolder()

    def on_admit(self, request: messages.AdmitRequest) -> messages.AdmitReply:
        """Admits requests of another entry from this entry's bucket.

        Requests that wait here come first.
        """
        team = request.team
        waiting = len(self._waiters.get(team, ()))
        granted = 0
        if not waiting:
            granted = self._take(team, max(0, request.wanted))
        next_ms = self._rates.next_token_ms(team, self._clock.now_ms())
        if next_ms is not None:
            next_ms += waiting * self._interval_ms(team)
        return messages.AdmitReply(granted=granted, retry_after_ms=next_ms)

    def _take(self, team: str, wanted: int) -> int:
        now_ms = self._clock.now_ms()
        granted = self._rates.take(team, wanted, now_ms)
        if granted:
            _log.debug("admitted", team=team, count=granted, at_ms=now_ms)
        return granted

    async def _serve_waiters(self, team: str) -> None:
        """Settles waiting requests until there is none."""
        try:
            while self._waiters[team]:
                self._asking.add(team)
                self._admit_here(team)
                await self._admit_at_peers(team)
                self._asking.discard(team)
                pause_ms = self._refuse_hopeless(team)
                if self._waiters[team]:
                    await trio.sleep(max(_MIN_PAUSE_MS, pause_ms) / 1000.0)
        finally:
            self._asking.discard(team)
            for waiter in self._waiters.pop(team):
                waiter.settle(NoHolder())

    def _admit_here(self, team: str) -> None:
        waiting = self._waiters[team]
        granted = self._take(team, len(waiting))
        self._settle_first(team, granted)

    def _settle_first(self, team: str, granted: int) -> None:
        waiting = self._waiters[team]
        for waiter in waiting[:granted]:
            waiter.settle(Admitted())
        del waiting[:granted]

    async def _admit_at_peers(self, team: str) -> None:
        """Asks the peers that may have tokens, the fullest first."""
        for host in self._promising_peers(team):
            wanted = len(self._waiters[team])
            if wanted == 0:
                return
            self._unanswered.add((team, host))
            answered = trio.Event()
            self._nursery.start_soon(self._ask, host, team, wanted, answered)
            with trio.move_on_after(HEDGE_MS / 1000.0):
                await answered.wait()
            self._admit_here(team)

    def _promising_peers(self, team: str) -> list[str]:
        now_ms = self._clock.now_ms()
        due: list[tuple[float, str]] = []
        for host in self._reachable_peers(team):
            peer = self._peers.get((team, host))
            again_ms = peer.again_ms if peer else 0.0
            busy = (team, host) in self._unanswered
            if again_ms <= now_ms and not busy:
                due.append((again_ms, host))
        return [host for _, host in sorted(due)]

    def _reachable_peers(self, team: str) -> list[str]:
        return [
            host
            for host in self._rates.holders_of(team)
            if host != self._host and self._address_of(host) is not None
        ]

    def _refuse_hopeless(self, team: str) -> float:
        """Refuses those that no token is due for; returns the next due time.

        A token due at a holder goes to the first that wait, so of the others
        each also waits for the tokens before its own.
        """
        now_ms = self._clock.now_ms()
        waiting = self._waiters[team]
        next_ms = self._next_token_ms(team, now_ms)
        if next_ms is None:
            self._refuse_unanswered(team, now_ms)
            return HEDGE_MS
        interval_ms = self._interval_ms(team)
        kept: list[_Waiter] = []
        for waiter in waiting:
            due_ms = next_ms + len(kept) * interval_ms
            if now_ms + due_ms <= waiter.since_ms + MAX_WAIT_MS:
                kept.append(waiter)
            else:
                waiter.settle(OverRate(retry_after_ms=due_ms))
        waiting[:] = kept
        return next_ms

    def _refuse_unanswered(self, team: str, now_ms: float) -> None:
        """Refuses those for which no peer's answer can come in time."""
        asked = any(
            (team, host) in self._unanswered
            for host in self._reachable_peers(team)
        )
        waiting = self._waiters[team]
        kept: list[_Waiter] = []
        for waiter in waiting:
            if asked and now_ms < waiter.since_ms + MAX_WAIT_MS:
                kept.append(waiter)
            else:
                waiter.settle(NoHolder())
        waiting[:] = kept

    def _interval_ms(self, team: str) -> float:
        """Returns the time between two tokens of a team, over all entries."""
        spec = self._config.team(team)
        return 1000.0 / spec.rate_per_s if spec and spec.rate_per_s else 0.0

    def _next_token_ms(self, team: str, now_ms: float) -> float | None:
        """Returns when the next token is due at a holder that answers."""
        waits_ms: list[float] = []
        own_ms = self._rates.next_token_ms(team, now_ms)
        if own_ms is not None:
            waits_ms.append(own_ms)
        for host in self._reachable_peers(team):
            peer = self._peers.get((team, host))
            if (team, host) in self._unanswered:
                # It is asked by now; what it last said is out of date.
                continue
            if peer and peer.next_ms is not None:
                waits_ms.append(max(0.0, peer.next_ms - now_ms))
        return min(waits_ms, default=None)

    async def _ask(
        self, host: str, team: str, wanted: int, answered: trio.Event
    ) -> None:
        """Asks a peer to admit requests; an answer may come late."""
        reply = await self._call(host, team, wanted)
        self._unanswered.discard((team, host))
        if len(self._peers) > _KEPT_PEERS:
            self._peers.clear()
        self._peers[(team, host)] = _peer_of(
            reply, wanted, self._clock.now_ms()
        )
        if reply is not None and team in self._waiters:
            self._settle_first(team, max(0, reply.granted))
        answered.set()

    async def _call(
        self, host: str, team: str, wanted: int
    ) -> messages.AdmitReply | None:
        address = self._address_of(host)
        if address is None:
            return None
        self.asked += 1
        request = messages.AdmitRequest(team=team, wanted=wanted)
        try:
            reply: messages.AdmitReply = await self._client.call(
                address, messages.ADMIT, request, timeout_ms=self._timeout_ms
            )
        except errors.ControlError:
            return None
        return reply


def _peer_of(
    reply: messages.AdmitReply | None, wanted: int, now_ms: float
) -> _Peer:
    if reply is None:
        return _Peer(next_ms=None, again_ms=now_ms + SILENT_MS)
    if reply.retry_after_ms is None:
        return _Peer(next_ms=None, again_ms=now_ms + NO_SHARE_MS)
    if reply.granted >= wanted:
        return _Peer(next_ms=now_ms + reply.retry_after_ms, again_ms=now_ms)
    pause_ms = min(reply.retry_after_ms, UNKNOWN_RETRY_MS)
    next_ms = now_ms + max(pause_ms, ASK_INTERVAL_MS)
    return _Peer(next_ms=next_ms, again_ms=next_ms)
