"""Applies the teams' rate limits to requests, at this entry or at a peer.

A request is admitted from exactly one entry's token bucket. When the local
bucket is empty, the entry asks the peers that hold shares to admit it there.
It sends one question at a time per team, for all waiting requests, and none to
a peer that has just reported when its next token is due. A late or lost answer
wastes tokens but never creates one. A request waits if a token for it is due
soon; otherwise it is refused at once.
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
"""Retry delay sent to callers while no holder of shares can be reached."""

MAX_TOKEN_WAIT_MS = 250.0
"""The longest time that a request waits for a token."""

ASK_TIMEOUT_MS = 500.0
"""Upper limit of the timeout for a peer's answer."""

SILENT_PEER_PAUSE_MS = 1_000.0
"""Pause before a peer that did not answer is asked again."""

NO_SHARE_PAUSE_MS = 100.0
"""Pause before a peer that currently generates no tokens is asked again."""

ASK_INTERVAL_MS = 50.0
"""Minimum time between two questions to a peer that has no tokens."""

HEDGE_DELAY_MS = 50.0
"""Wait for one peer's answer before the next peer is asked as well."""

_MIN_PAUSE_MS = 2.0
_MAX_TRACKED_PEERS = 20_000

_log = logs.get("admission")


@attrs.frozen(kw_only=True)
class Admitted:
    """The request is admitted."""


@attrs.frozen(kw_only=True)
class OverRate:
    """The team has used up its rate.

    Attributes:
        retry_after_ms: Time after which a retry may be admitted.
    """

    retry_after_ms: float


@attrs.frozen(kw_only=True)
class NoHolderReachable:
    """No entry that holds shares of the rate could be reached."""


Verdict = Admitted | OverRate | NoHolderReachable


@attrs.define(kw_only=True, eq=False)
class _Waiter:
    since_ms: float
    verdict: Verdict | None = None
    settled: trio.Event = attrs.field(factory=trio.Event)

    def settle(self, verdict: Verdict) -> None:
        self.verdict = verdict
        self.settled.set()


@attrs.frozen(kw_only=True)
class _PeerState:
    """The state of a team's bucket that a peer reported last.

    Attributes:
        next_ms: When its next token is due; None if that is unknown.
        ask_again_ms: The earliest time to ask the peer again.
    """

    next_ms: float | None
    ask_again_ms: float


class Admission:
    """Enforces the teams' rate limits at one entry."""

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
        self._peers: dict[tuple[str, str], _PeerState] = {}
        self._asking: set[str] = set()
        self._unanswered: set[tuple[str, str]] = set()
        self.asked = 0

    async def admit(self, team: str) -> Verdict:
        """Admits or refuses one request of a team, waiting if that can help."""
        if self._config.team(team) is None:
            return NoHolderReachable()
        waiting = self._waiters.get(team)
        if waiting is None and self._take_tokens(team, 1):
            return Admitted()
        waiter = _Waiter(since_ms=self._clock.now_ms())
        if waiting is not None:
            waiting.append(waiter)
            if team not in self._asking:
                self._refuse_unservable(team)
        else:
            self._waiters[team] = [waiter]
            self._asking.add(team)
            self._nursery.start_soon(self._serve_waiters, team)
        await waiter.settled.wait()
        return waiter.verdict or NoHolderReachable()

    def on_admit(self, request: messages.AdmitRequest) -> messages.AdmitReply:
        """Admits requests of another entry from this entry's bucket.

        Requests that wait at this entry take precedence.
        """
        team = request.team
        waiting = len(self._waiters.get(team, ()))
        granted = 0
        if not waiting:
            granted = self._take_tokens(team, max(0, request.wanted))
        next_ms = self._rates.next_token_ms(team, self._clock.now_ms())
        if next_ms is not None:
            next_ms += waiting * self._interval_ms(team)
        return messages.AdmitReply(granted=granted, retry_after_ms=next_ms)

    def _take_tokens(self, team: str, wanted: int) -> int:
        now_ms = self._clock.now_ms()
        granted = self._rates.take(team, wanted, now_ms)
        if granted:
            _log.debug("admitted", team=team, count=granted, at_ms=now_ms)
        return granted

    async def _serve_waiters(self, team: str) -> None:
        """Admits or refuses a team's waiting requests until none is left."""
        try:
            while self._waiters[team]:
                self._asking.add(team)
                self._admit_locally(team)
                await self._admit_at_peers(team)
                self._asking.discard(team)
                pause_ms = self._refuse_unservable(team)
                if self._waiters[team]:
                    await trio.sleep(max(_MIN_PAUSE_MS, pause_ms) / 1000.0)
        finally:
            self._asking.discard(team)
            for waiter in self._waiters.pop(team):
                waiter.settle(NoHolderReachable())

    def _admit_locally(self, team: str) -> None:
        waiting = self._waiters[team]
        granted = self._take_tokens(team, len(waiting))
        self._settle_first(team, granted)

    def _settle_first(self, team: str, granted: int) -> None:
        waiting = self._waiters[team]
        for waiter in waiting[:granted]:
            waiter.settle(Admitted())
        del waiting[:granted]

    async def _admit_at_peers(self, team: str) -> None:
        """Asks the peers that may have tokens, the longest unasked first."""
        for host in self._peers_to_ask(team):
            wanted = len(self._waiters[team])
            if wanted == 0:
                return
            self._unanswered.add((team, host))
            answered = trio.Event()
            self._nursery.start_soon(self._ask, host, team, wanted, answered)
            with trio.move_on_after(HEDGE_DELAY_MS / 1000.0):
                await answered.wait()
            self._admit_locally(team)

    def _peers_to_ask(self, team: str) -> list[str]:
        now_ms = self._clock.now_ms()
        due: list[tuple[float, str]] = []
        for host in self._reachable_peers(team):
            peer = self._peers.get((team, host))
            ask_again_ms = peer.ask_again_ms if peer else 0.0
            busy = (team, host) in self._unanswered
            if ask_again_ms <= now_ms and not busy:
                due.append((ask_again_ms, host))
        return [host for _, host in sorted(due)]

    def _reachable_peers(self, team: str) -> list[str]:
        return [
            host
            for host in self._rates.holders_of(team)
            if host != self._host and self._address_of(host) is not None
        ]

    def _refuse_unservable(self, team: str) -> float:
        """Refuses requests whose token is not due within the maximum wait.

        Waiting requests get tokens in order, so each one also waits for the
        tokens of those before it.

        Returns:
            Milliseconds until the next token is due or the next check.
        """
        now_ms = self._clock.now_ms()
        waiting = self._waiters[team]
        next_ms = self._next_token_ms(team, now_ms)
        if next_ms is None:
            self._refuse_unanswered(team, now_ms)
            return HEDGE_DELAY_MS
        interval_ms = self._interval_ms(team)
        kept: list[_Waiter] = []
        for waiter in waiting:
            due_ms = next_ms + len(kept) * interval_ms
            if now_ms + due_ms <= waiter.since_ms + MAX_TOKEN_WAIT_MS:
                kept.append(waiter)
            else:
                waiter.settle(OverRate(retry_after_ms=due_ms))
        waiting[:] = kept
        return next_ms

    def _refuse_unanswered(self, team: str, now_ms: float) -> None:
        """Refuses requests that no peer's answer can reach in time."""
        asked = any(
            (team, host) in self._unanswered
            for host in self._reachable_peers(team)
        )
        waiting = self._waiters[team]
        kept: list[_Waiter] = []
        for waiter in waiting:
            if asked and now_ms < waiter.since_ms + MAX_TOKEN_WAIT_MS:
                kept.append(waiter)
            else:
                waiter.settle(NoHolderReachable())
        waiting[:] = kept

    def _interval_ms(self, team: str) -> float:
        """Returns the interval between a team's tokens over all entries."""
        spec = self._config.team(team)
        return 1000.0 / spec.rate_per_s if spec and spec.rate_per_s else 0.0

    def _next_token_ms(self, team: str, now_ms: float) -> float | None:
        """Returns the time until the next token at a responsive holder."""
        waits_ms: list[float] = []
        own_ms = self._rates.next_token_ms(team, now_ms)
        if own_ms is not None:
            waits_ms.append(own_ms)
        for host in self._reachable_peers(team):
            peer = self._peers.get((team, host))
            if (team, host) in self._unanswered:
                # A question to it is pending, so its last report is outdated.
                continue
            if peer and peer.next_ms is not None:
                waits_ms.append(max(0.0, peer.next_ms - now_ms))
        return min(waits_ms, default=None)

    async def _ask(
        self, host: str, team: str, wanted: int, answered: trio.Event
    ) -> None:
        """Asks a peer to admit requests; applies its answer even if late."""
        reply = await self._call_peer(host, team, wanted)
        self._unanswered.discard((team, host))
        if len(self._peers) > _MAX_TRACKED_PEERS:
            self._peers.clear()
        self._peers[(team, host)] = _peer_state_of(
            reply, wanted, self._clock.now_ms()
        )
        if reply is not None and team in self._waiters:
            self._settle_first(team, max(0, reply.granted))
        answered.set()

    async def _call_peer(
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
        except errors.ControlCallError:
            return None
        return reply


def _peer_state_of(
    reply: messages.AdmitReply | None, wanted: int, now_ms: float
) -> _PeerState:
    if reply is None:
        return _PeerState(
            next_ms=None, ask_again_ms=now_ms + SILENT_PEER_PAUSE_MS
        )
    if reply.retry_after_ms is None:
        return _PeerState(next_ms=None, ask_again_ms=now_ms + NO_SHARE_PAUSE_MS)
    if reply.granted >= wanted:
        return _PeerState(
            next_ms=now_ms + reply.retry_after_ms, ask_again_ms=now_ms
        )
    pause_ms = min(reply.retry_after_ms, UNKNOWN_RETRY_MS)
    next_ms = now_ms + max(pause_ms, ASK_INTERVAL_MS)
    return _PeerState(next_ms=next_ms, ask_again_ms=next_ms)
