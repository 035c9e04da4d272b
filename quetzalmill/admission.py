"""Admits requests against the teams' rates, at this entry or at a peer.

A request is admitted from exactly one entry's bucket. When the own bucket is
empty, the entry asks a peer that holds a share to admit it there: one question
at a time for each team, for all requests that wait. An answer that comes late
or is lost wastes tokens; it never creates one.
"""

from collections.abc import Callable

import attrs
import trio

from quetzalmill import clock as clock_module
from quetzalmill import configuration
from quetzalmill import control
from quetzalmill import errors
from quetzalmill import messages
from quetzalmill import objects
from quetzalmill import rate_limit
from quetzalmill import shares

UNKNOWN_RETRY_MS = 1_000.0
"""When to come back while no holder of shares can be reached."""


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
    verdict: Verdict | None = None
    settled: trio.Event = attrs.field(factory=trio.Event)

    def settle(self, verdict: Verdict) -> None:
        self.verdict = verdict
        self.settled.set()


class Admission:
    """The rate limits at one entry."""

    def __init__(
        self,
        host: str,
        *,
        config: configuration.Configuration,
        ledger: shares.ShareHolder,
        client: control.ControlClient,
        address_of: Callable[[str], str | None],
        timeout_ms: float,
        nursery: trio.Nursery,
        clock: clock_module.Clock,
    ) -> None:
        self._host = host
        self._config = config
        self._ledger = ledger
        self._client = client
        self._address_of = address_of
        self._timeout_ms = timeout_ms
        self._nursery = nursery
        self._clock = clock
        self._buckets = rate_limit.TeamBuckets()
        self._waiters: dict[str, list[_Waiter]] = {}
        self._empty_until_ms: dict[tuple[str, str], float] = {}
        self.asked = 0

    def configuration_changed(self) -> None:
        """Makes the buckets of new teams and drops those of deleted ones."""
        teams = self._config.specs(objects.TEAM, objects.TeamSpec)
        self._buckets.keep_only(set(teams))
        for team, spec in teams.items():
            if team not in self._buckets:
                revision = self._config.revision(objects.TEAM, team)
                self._bucket(
                    team, spec, starts_full=self._ledger.held_since(revision)
                )

    async def admit(self, team: str) -> Verdict:
        """Admits one request of a team, or says when to come back."""
        spec = self._config.team(team)
        if spec is None:
            return NoHolder()
        if self._take(team, spec, 1):
            return Admitted()
        waiter = _Waiter()
        waiting = self._waiters.get(team)
        if waiting is not None:
            waiting.append(waiter)
        else:
            self._waiters[team] = [waiter]
            self._nursery.start_soon(self._borrow, team, spec)
        await waiter.settled.wait()
        return waiter.verdict or NoHolder()

    def on_admit(self, request: messages.AdmitRequest) -> messages.AdmitReply:
        """Admits requests of another entry from this entry's bucket."""
        spec = self._config.team(request.team)
        if spec is None:
            return messages.AdmitReply(
                granted=0, retry_after_ms=UNKNOWN_RETRY_MS
            )
        granted = self._take(request.team, spec, max(0, request.wanted))
        return messages.AdmitReply(
            granted=granted, retry_after_ms=self._next_ms(request.team, spec)
        )

    def levels(self) -> dict[str, float]:
        """Returns the tokens of each team held here."""
        return self._buckets.levels()

    def _take(self, team: str, spec: objects.TeamSpec, wanted: int) -> int:
        now_ms = self._clock.now_ms()
        bucket = self._bucket(team, spec)
        if not self._ledger.may_mint(now_ms):
            self._buckets.stop_minting(now_ms)
            return 0
        return bucket.take(wanted, now_ms)

    def _next_ms(self, team: str, spec: objects.TeamSpec) -> float:
        bucket = self._bucket(team, spec)
        next_ms = bucket.next_token_ms(self._clock.now_ms())
        return UNKNOWN_RETRY_MS if next_ms is None else next_ms

    def _bucket(
        self, team: str, spec: objects.TeamSpec, *, starts_full: bool = False
    ) -> rate_limit.Bucket:
        return self._buckets.configure(
            team,
            rate_per_s=spec.rate_per_s,
            burst=spec.burst,
            fraction=self._ledger.fraction(team, spec.burst),
            now_ms=self._clock.now_ms(),
            starts_full=starts_full,
        )

    async def _borrow(self, team: str, spec: objects.TeamSpec) -> None:
        try:
            while self._waiters[team]:
                batch = list(self._waiters[team])
                await self._settle_batch(team, spec, batch)
                self._waiters[team] = [
                    waiter
                    for waiter in self._waiters[team]
                    if waiter.verdict is None
                ]
        finally:
            for waiter in self._waiters.pop(team):
                waiter.settle(NoHolder())

    async def _settle_batch(
        self, team: str, spec: objects.TeamSpec, batch: list[_Waiter]
    ) -> None:
        reached = self._ledger.may_mint(self._clock.now_ms())
        waits_ms = [self._next_ms(team, spec)] if reached else []
        for host in self._ledger.holders_of(team, spec.burst):
            if not batch or host == self._host:
                continue
            known_ms = self._still_empty_ms(team, host)
            if known_ms is not None:
                waits_ms.append(known_ms)
                continue
            reply = await self._ask(host, team, len(batch))
            if reply is None:
                continue
            waits_ms.append(reply.retry_after_ms)
            for waiter in batch[: reply.granted]:
                waiter.settle(Admitted())
            batch = batch[reply.granted :]
        for waiter in batch:
            if waits_ms:
                waiter.settle(OverRate(retry_after_ms=min(waits_ms)))
            else:
                waiter.settle(NoHolder())

    def _still_empty_ms(self, team: str, host: str) -> float | None:
        until_ms = self._empty_until_ms.get((team, host), 0.0)
        left_ms = until_ms - self._clock.now_ms()
        return left_ms if left_ms > 0.0 else None

    async def _ask(
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
        if reply.granted < wanted:
            now_ms = self._clock.now_ms()
            self._empty_until_ms[(team, host)] = now_ms + min(
                reply.retry_after_ms, UNKNOWN_RETRY_MS
            )
        return reply
