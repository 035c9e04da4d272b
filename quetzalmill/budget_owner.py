"""Owns the budgets of the programs of one partition.

Gateways may disagree on who the owner is; the store decides. An owner claims
its partition with an epoch and grants nothing beyond the bounds that the store
has accepted from it under that epoch. A gateway that was replaced without
noticing is refused at its next write and then reads everything again.

A new owner asks the previous one for its accounts, which are exact, and charges
the stored bounds only if that one is gone. While the store is unavailable, an
owner grants no more than its stored bounds, because grants have to survive the
loss of all gateways; only a program without a stored bound may send up to the
limit of one turn. Other turns are refused at once.
"""

from collections.abc import Awaitable, Callable
import random

import attrs
import trio

from quetzalmill import budget_peers
from quetzalmill import budget_term
from quetzalmill import clock as clock_module
from quetzalmill import epochs
from quetzalmill import errors
from quetzalmill import gateway_messages
from quetzalmill import keyed_store
from quetzalmill import logs
from quetzalmill import outage_grants
from quetzalmill import program_budgets
from quetzalmill import recent_turns
from quetzalmill import stored_bound

RELEASE_TIMEOUT_MS = 400.0
"""How long a running turn waits for one reply. It then asks again, and may get
tokens that other turns have freed meanwhile."""

RESERVE_TIMEOUT_MS = 1_200.0
"""How long a turn waits for its reservation; the rest of its deadline must
suffice to run it."""

_CLAIM_RETRY_PAUSE_MS = (50.0, 150.0)
"""Range of the random pause after a failed claim. It exceeds the duration of a
claim while store and peers answer, and is random so that two gateways do not
keep fencing each other off."""

_log = logs.get("budget_owner")


@attrs.define(eq=False)
class _Claim:
    """A claim in progress; many requests may wait for it.

    Attributes:
        done: Set once it has ended.
        error: Why it failed; None if it succeeded.
    """

    done: trio.Event = attrs.field(factory=trio.Event)
    error: errors.ExternalSystemError | None = None


class BudgetOwner:
    """Reserves and settles turns for one partition.

    Args:
        part: The partition.
        store: The platform's store.
        clock: The process's clock.
        nursery: Runs claims and writes.
        peers: Asks the other gateways.
        record_store_availability: Called with whether the store answered.
        store_reached: Returns whether the store answers this gateway.
        held_partitions: The epochs of this gateway's claims, by partition;
            updated here.
        listening_ms: Returns how much longer this gateway has to wait for
            heartbeats of all live peers; only they have exact accounts.
        claim_ended: Called with whether a claim of the partition succeeded and
            how many milliseconds it took.
        outage_ms: Returns for how long the store has not answered this
            gateway; 0 while it does.
        may_grant_unstored: Returns whether the owner of a partition, by its
            epoch, is certain to be the only one in an outage of the store.
    """

    def __init__(
        self,
        part: int,
        store: keyed_store.KeyedStore,
        clock: clock_module.WallClock,
        nursery: trio.Nursery,
        peers: budget_peers.BudgetPeers,
        record_store_availability: Callable[[bool], None],
        store_reached: Callable[[], bool],
        held_partitions: dict[int, int],
        listening_ms: Callable[[], float],
        claim_ended: Callable[[bool, float], None],
        outage_ms: Callable[[], float] = lambda: 0.0,
        may_grant_unstored: Callable[[int, int], bool] = lambda *each: False,
    ) -> None:
        self._part = part
        self._store = store
        self._clock = clock
        self._nursery = nursery
        self._peers = peers
        self._store_answered = record_store_availability
        self._store_reached = store_reached
        self._held_partitions = held_partitions
        self._listening_ms = listening_ms
        self._claim_ended = claim_ended
        self._outage_ms = outage_ms
        self._may_grant_unstored = may_grant_unstored
        self._term: budget_term.BudgetTerm | None = None
        self._claim: _Claim | None = None
        self._last_accounts = budget_term.Accounts()
        self._random = random.Random()
        self._claimer = epochs.PartitionClaimer(
            budget_term.TOPIC, part, store, clock, record_store_availability
        )
        self._recent_turns = recent_turns.RecentTurns()

    def reserve(
        self, message: gateway_messages.ReserveTurn
    ) -> (
        gateway_messages.ReserveReply | Awaitable[gateway_messages.ReserveReply]
    ):
        """Reserves tokens for a turn; the reply is durable.

        Returns the reply itself, not an awaitable, if no write is needed.
        """
        term = self._term
        reserved_in: budget_term.BudgetTerm | None = None
        if term is not None:
            if not term.ledger.has_turn(message.program_id, message.turn_id):
                reserved_in = term
            outcome = self._reserve_in(term, message)
            if isinstance(outcome, gateway_messages.ReserveReply):
                return outcome
        return self._reserve_in_time(message, reserved_in)

    async def _reserve_in_time(
        self,
        message: gateway_messages.ReserveTurn,
        reserved_in: budget_term.BudgetTerm | None,
    ) -> gateway_messages.ReserveReply:
        try:
            with trio.fail_after(RESERVE_TIMEOUT_MS / 1000.0):
                return await self._reserve(message, reserved_in)
        except trio.TooSlowError:
            return _undecided("the store did not answer in time")
        except errors.ExternalSystemError as error:
            return _undecided(str(error))

    def release(
        self, message: gateway_messages.ReleaseTurn
    ) -> (
        gateway_messages.ReleaseReply | Awaitable[gateway_messages.ReleaseReply]
    ):
        """Releases the remaining tokens of a turn; the reply is durable.

        Returns the reply itself, not an awaitable, if the stored bound covers
        them.
        """
        if self._term is not None:
            outcome = self._release_in(self._term, message)
            if isinstance(outcome, gateway_messages.ReleaseReply):
                return outcome
        return self._release_in_time(message)

    async def _release_in_time(
        self, message: gateway_messages.ReleaseTurn
    ) -> gateway_messages.ReleaseReply:
        try:
            with trio.fail_after(RELEASE_TIMEOUT_MS / 1000.0):
                while True:
                    term = await self._current_term()
                    outcome = self._release_in(term, message)
                    if isinstance(outcome, gateway_messages.ReleaseReply):
                        return outcome
                    await term.write(message.program_id, outcome)
        except trio.TooSlowError:
            return gateway_messages.ReleaseReply(
                granted=False, reason="the store did not answer in time"
            )
        except errors.ExternalSystemError as error:
            return gateway_messages.ReleaseReply(
                granted=False, reason=str(error)
            )

    def _release_in(
        self,
        term: budget_term.BudgetTerm,
        message: gateway_messages.ReleaseTurn,
    ) -> gateway_messages.ReleaseReply | stored_bound.StoredBound:
        """Returns the reply, or the bound to store before trying again."""
        if self._recent_turns.has_ended(message.turn_id):
            return gateway_messages.ReleaseReply(
                granted=False, reason="the turn has ended"
            )
        outcome = term.ledger.release(
            message.program_id,
            message.turn_id,
            budget_tokens=message.budget_tokens,
            most_tokens=message.most_tokens,
            before_tokens=message.before_tokens,
            now_ms=self._clock.now_ms(),
            may_precede_bound=self._may_precede_bound(term),
        )
        if isinstance(outcome, program_budgets.Spent):
            return gateway_messages.ReleaseReply(
                granted=False, spent=True, reason=outcome.reason()
            )
        if outcome.bound is None:
            return gateway_messages.ReleaseReply(granted=True)
        if outcome.is_provisional:
            term.write_soon({message.program_id: outcome.bound})
            return gateway_messages.ReleaseReply(granted=True)
        return outcome.bound

    def settle(self, message: gateway_messages.SettleTurn) -> None:
        """Replaces a turn's reservation by the tokens that it sent."""
        self._recent_turns.record_settlement(message)
        term = self._term
        if term is None:
            # The sender is told that its message was accepted, and a claim in
            # progress may adopt accounts that still have the reservation.
            self._recent_turns.postpone(message)
            return
        term.settle(message.program_id, message.turn_id, message.used_tokens)

    def forget_idle(self, idle_ms: float) -> None:
        """Drops programs unused for ``idle_ms``, here and from the store."""
        term = self._term
        if term is None:
            return
        old = term.ledger.forget_idle(idle_ms, self._clock.now_ms())
        term.write_soon(dict.fromkeys(old))

    async def _reserve(
        self,
        message: gateway_messages.ReserveTurn,
        reserved_in: budget_term.BudgetTerm | None,
    ) -> gateway_messages.ReserveReply:
        """Reserves tokens and stores the bound.

        Args:
            message: The request.
            reserved_in: The term in which it has made its reservation already.
        """
        term = await self._current_term()
        if not term.ledger.has_turn(message.program_id, message.turn_id):
            reserved_in = term
        outcome = self._reserve_in(term, message)
        if isinstance(outcome, gateway_messages.ReserveReply):
            return outcome
        if outcome.bound is not None:
            try:
                await term.write(message.program_id, outcome.bound)
            except trio.Cancelled:
                # Too late. Only this request's own reservation is withdrawn:
                # another owner may have granted the turn meanwhile, and its
                # accounts, which count, may be adopted here.
                if reserved_in is term:
                    term.settle(message.program_id, message.turn_id, 0)
                raise
        return self._granted(message, outcome)

    def known_epoch(self) -> int:
        """Returns the epoch of the accounts known here; 0 if there are none."""
        if self._term is not None:
            return self._term.fence.epoch
        return self._last_accounts.epoch

    def loss_age_ms(self) -> float:
        """Returns how long ago accounts that these follow on were lost."""
        return self._clock.now_ms() - self._last_accounts.lost_ms

    def hand_over(self) -> tuple[int, dict[str, program_budgets.Account]]:
        """Stops owning the partition and returns its accounts.

        The reply may get lost and the requesting claim may fail, so the same
        accounts are returned until this gateway claims the partition again.
        They stay exact until a term with another epoch is opened.

        Returns:
            The epoch of the newest accounts known here, 0 if there are none,
            and these accounts by program.
        """
        if self._term is not None:
            error = keyed_store.FencedError("handed over to a peer")
            self._end_term(self._term, error)
        return self._last_accounts.epoch, self._last_accounts.by_program

    def _reserve_in(
        self,
        term: budget_term.BudgetTerm,
        message: gateway_messages.ReserveTurn,
    ) -> gateway_messages.ReserveReply | program_budgets.Granted:
        """Returns the reply, or the grant whose bound must be stored first."""
        if self._recent_turns.is_given_up(message.turn_id):
            # The caller left while this gateway was claiming the partition.
            return _undecided("the turn was given up before")
        is_known = term.ledger.has_turn(message.program_id, message.turn_id)
        may_precede_bound = self._may_precede_bound(term)
        outcome = term.ledger.reserve(
            message.program_id,
            message.turn_id,
            budget_tokens=message.budget_tokens,
            most_tokens=message.most_tokens,
            now_ms=self._clock.now_ms(),
            # While the store is unavailable, no turn starts that might have to
            # stop halfway, and running turns keep their tokens below the bound.
            release_all=not message.by_parts
            or not (self._store_reached() or may_precede_bound),
            may_precede_bound=may_precede_bound,
        )
        if isinstance(outcome, program_budgets.Spent):
            return gateway_messages.ReserveReply(
                granted=False, spent=True, reason=outcome.reason()
            )
        self._recent_turns.record_start(message.turn_id)
        if outcome.bound is None:
            return self._granted(message, outcome)
        if outcome.is_provisional:
            term.write_soon({message.program_id: outcome.bound})
            return self._granted(message, outcome)
        if not is_known and self._outage_ms() > outage_grants.MIN_OUTAGE_MS:
            # The store may return too late for it.
            term.settle(message.program_id, message.turn_id, 0)
            return _undecided("the store is unavailable")
        return outcome

    def _may_precede_bound(self, term: budget_term.BudgetTerm) -> bool:
        """Returns whether grants may be made before their bound is stored."""
        return not self._store_reached() and self._may_grant_unstored(
            self._part, term.fence.epoch
        )

    def _granted(
        self,
        message: gateway_messages.ReserveTurn,
        granted: program_budgets.Granted,
    ) -> gateway_messages.ReserveReply:
        return gateway_messages.ReserveReply(
            granted=True,
            holder=self._recent_turns.holder(message.previous_id),
            is_first=granted.is_first,
            ran_on=self._recent_turns.ran_on(message.program_id),
            released_tokens=granted.released_tokens,
        )

    async def _current_term(self) -> budget_term.BudgetTerm:
        """Returns the current term, claiming the partition if necessary.

        The claim continues after the request that started it has timed out.
        Otherwise each request would start over and none might ever complete.
        A failed claim is retried for the requests that can still wait, unless
        the store is unavailable.
        """
        while self._term is None:
            if self._claim is None:
                self._claim = _Claim()
                self._nursery.start_soon(self._run_claim, self._claim)
            claim = self._claim
            await claim.done.wait()
            if claim.error is not None:
                if not self._store_reached():
                    raise claim.error
                pause_ms = self._random.uniform(*_CLAIM_RETRY_PAUSE_MS)
                await trio.sleep(pause_ms / 1000.0)
        return self._term

    async def _run_claim(self, claim: _Claim) -> None:
        """Claims the partition and notifies all that wait for the claim."""
        started_ms = self._clock.now_ms()
        try:
            self._term = await self._open_term()
            self._held_partitions[self._part] = self._term.fence.epoch
            for message in self._recent_turns.take_postponed():
                self.settle(message)
        except errors.ExternalSystemError as error:
            claim.error = error
        except Exception as error:
            _log.exception(
                "claim_failed", topic=budget_term.TOPIC, part=self._part
            )
            claim.error = errors.NotExecutedError(repr(error))
        finally:
            self._claim = None
            claim.done.set()
        took_ms = self._clock.now_ms() - started_ms
        self._claim_ended(claim.error is None, took_ms)
        if claim.error is not None:
            _log.warning(
                "partition_not_claimed",
                topic=budget_term.TOPIC,
                part=self._part,
                reason=str(claim.error),
                took_ms=round(took_ms),
            )

    async def _open_term(self) -> budget_term.BudgetTerm:
        await trio.sleep(self._listening_ms() / 1000.0)
        if not self._store_reached():
            raise errors.NotExecutedError("the store is away")
        # Peers are asked before the claim: one may take long to reply, and a
        # slow claim may be fenced off by the next before its term is open.
        # The current owner goes on until the store has accepted the claim, so
        # that it can grant within its bounds if the store is unavailable.
        epochs_known = await self._peers.epochs(self._part)
        fence = await self._claimer.claim()
        found = await self._store.newest(
            budget_term.TOPIC,
            self._part,
            timeout_ms=2 * budget_term.WRITE_TIMEOUT_MS,
        )
        values = {
            record.key: record.value
            for record in found.records
            if record.value is not None
        }
        last_epoch = int(values.pop(budget_term.EPOCH_KEY, b"0"))
        if last_epoch not in (budget_term.NO_EPOCH, self._last_accounts.epoch):
            await self._fetch_accounts(
                [
                    address
                    for address, epoch in epochs_known.items()
                    if epoch == last_epoch
                ]
                # Another gateway may have opened a term since.
                or self._peers.holders(self._part)
            )
        now_ms = self._clock.now_ms()
        is_exact = (
            last_epoch == self._last_accounts.epoch != budget_term.NO_EPOCH
        )
        # The first owner has lost nothing either.
        is_lost = not is_exact and last_epoch != budget_term.NO_EPOCH
        lost_ms = now_ms if is_lost else self._last_accounts.lost_ms
        ledger = program_budgets.BudgetLedger(
            outage_grants.OutageGrants(lost_ms)
        )
        for program_id, value in values.items():
            ledger.load(program_id, stored_bound.decode(value), now_ms)
        if is_exact:
            ledger.take_over(self._last_accounts.by_program, now_ms)
        term = budget_term.BudgetTerm(
            self._part,
            self._store,
            self._nursery,
            self._store_answered,
            fence,
            ledger,
            self._end_term,
        )
        await term.open()
        self._last_accounts = budget_term.Accounts()
        _log.info(
            "partition_claimed",
            topic=budget_term.TOPIC,
            part=self._part,
            epoch=fence.epoch,
            last_epoch=last_epoch,
            exact=is_exact,
            programs=len(ledger.programs),
        )
        return term

    async def _fetch_accounts(self, addresses: list[str]) -> None:
        """Has peers hand over their accounts and keeps the newest.

        They are kept even if the claim fails, since no other copy may exist.
        """
        replies = await self._peers.hand_over(self._part, addresses)
        now_ms = self._clock.now_ms()
        known = [
            budget_term.Accounts(
                each.epoch, each.accounts, now_ms - each.loss_age_ms
            )
            for each in replies
        ]
        self._last_accounts = max(
            [self._last_accounts, *known], key=lambda each: each.epoch
        )

    def _end_term(
        self, term: budget_term.BudgetTerm, error: errors.ExternalSystemError
    ) -> None:
        _log.warning("partition_lost", part=self._part, reason=str(error))
        term.is_closed = True
        if self._term is term:
            self._term = None
            self._held_partitions.pop(self._part, None)
            self._last_accounts = budget_term.Accounts(
                term.fence.epoch, term.ledger.accounts(), term.ledger.lost_ms
            )


def _undecided(reason: str) -> gateway_messages.ReserveReply:
    return gateway_messages.ReserveReply(granted=False, reason=reason)
