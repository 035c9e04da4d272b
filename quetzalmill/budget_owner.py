"""Owns the budgets of the programs of one partition.

Who the owner is, gateways only believe; the store settles it. An owner claims
its partition with an epoch, and grants nothing beyond the marks that the store
has taken from it under that epoch. A gateway that was replaced without its
knowledge is refused at its next write and then reads everything again.

A new owner asks the one before for its accounts, which are exact; only if that
one is gone does it charge the marks. While the store is away, an owner grants
no more than its marks; they must outlive the loss of all gateways.
"""

from collections.abc import Awaitable, Callable
import random

import attrs
import trio

from quetzalmill import budget_notes
from quetzalmill import budget_peers
from quetzalmill import budget_term
from quetzalmill import clock as clock_module
from quetzalmill import epochs
from quetzalmill import errors
from quetzalmill import gateway_messages
from quetzalmill import keyed_store
from quetzalmill import logs
from quetzalmill import program_budgets

RELEASE_TIMEOUT_MS = 400.0
"""How long a turn that runs waits for one answer; it then asks again, and sees
room that others have left meanwhile."""

RESERVE_TIMEOUT_MS = 1_200.0
"""How long a turn waits for its reservation; what is left of its deadline
must still hold the turn."""

_NO_EPOCH = 0

_CLAIM_PAUSE_MS = (50.0, 150.0)
"""The pause after a claim that failed; longer than one takes while all answer,
and not alike on two gateways that shut each other out."""

_log = logs.get("budget_owner")


@attrs.frozen
class _Accounts:
    """The accounts of a term that has ended, here or elsewhere, by program."""

    epoch: int = _NO_EPOCH
    by_program: dict[str, program_budgets.Account] = attrs.field(factory=dict)


@attrs.define(eq=False)
class _Claim:
    """A claim under way; many requests may wait for it.

    Attributes:
        done: Set once it has ended.
        error: Why it failed; None if it did not.
    """

    done: trio.Event = attrs.field(factory=trio.Event)
    error: errors.PortError | None = None


class BudgetOwner:
    """Reserves and settles turns for one partition.

    Args:
        part: The partition.
        store: The platform's store.
        clock: The process's clock.
        nursery: Where writes run.
        peers: Asks the other gateways.
        store_answered: Is told whether the store answered.
        store_reached: Returns whether the store answers this gateway.
        held: The partitions that this gateway has claimed, kept up to date.
        listening_ms: Returns how long this gateway has yet to listen until it
            has heard all living peers; only they know accounts exactly.
        claim_ended: Is told whether a claim of the partition succeeded and how
            many milliseconds it took.
    """

    def __init__(
        self,
        part: int,
        store: keyed_store.KeyedStore,
        clock: clock_module.WallClock,
        nursery: trio.Nursery,
        peers: budget_peers.BudgetPeers,
        store_answered: Callable[[bool], None],
        store_reached: Callable[[], bool],
        held: set[int],
        listening_ms: Callable[[], float],
        claim_ended: Callable[[bool, float], None],
    ) -> None:
        self._part = part
        self._store = store
        self._clock = clock
        self._nursery = nursery
        self._peers = peers
        self._store_answered = store_answered
        self._store_reached = store_reached
        self._held: set[int] = held
        self._listening_ms = listening_ms
        self._claim_ended = claim_ended
        self._term: budget_term.BudgetTerm | None = None
        self._claim: _Claim | None = None
        self._last_accounts = _Accounts()
        self._random = random.Random()
        self._epochs = epochs.Epochs(
            budget_term.TOPIC, part, store, clock, store_answered
        )
        self._notes = budget_notes.BudgetNotes()

    def reserve(
        self, message: gateway_messages.ReserveTurn
    ) -> (
        gateway_messages.ReserveReply | Awaitable[gateway_messages.ReserveReply]
    ):
        """Reserves tokens for a turn; the reply is durable.

        It comes at once where no write is needed.
        """
        if self._term is not None:
            outcome = self._reserve_in(self._term, message)
            if isinstance(outcome, gateway_messages.ReserveReply):
                return outcome
        return self._reserve_in_time(message)

    async def _reserve_in_time(
        self, message: gateway_messages.ReserveTurn
    ) -> gateway_messages.ReserveReply:
        try:
            with trio.fail_after(RESERVE_TIMEOUT_MS / 1000.0):
                return await self._reserve(message)
        except trio.TooSlowError:
            self.settle(
                gateway_messages.SettleTurn(
                    program_id=message.program_id,
                    turn_id=message.turn_id,
                    used_tokens=0,
                    holder="",
                )
            )
            return _cannot_tell("the store did not answer in time")
        except errors.PortError as error:
            return _cannot_tell(str(error))

    def release(
        self, message: gateway_messages.ReleaseTurn
    ) -> (
        gateway_messages.ReleaseReply | Awaitable[gateway_messages.ReleaseReply]
    ):
        """Releases the rest of a turn; the reply is durable.

        It comes at once where the mark holds it.
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
                    term = await self._hold()
                    outcome = self._release_in(term, message)
                    if isinstance(outcome, gateway_messages.ReleaseReply):
                        return outcome
                    await term.write(message.program_id, outcome)
        except trio.TooSlowError:
            return gateway_messages.ReleaseReply(
                granted=False, reason="the store did not answer in time"
            )
        except errors.PortError as error:
            return gateway_messages.ReleaseReply(
                granted=False, reason=str(error)
            )

    def _release_in(
        self,
        term: budget_term.BudgetTerm,
        message: gateway_messages.ReleaseTurn,
    ) -> gateway_messages.ReleaseReply | program_budgets.Mark:
        """Returns the reply, or the mark to make durable before asking anew."""
        if self._notes.has_ended(message.turn_id):
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
        )
        if isinstance(outcome, program_budgets.Spent):
            return gateway_messages.ReleaseReply(
                granted=False, spent=True, reason=_spent(outcome)
            )
        if outcome.mark is None:
            return gateway_messages.ReleaseReply(granted=True)
        return outcome.mark

    def settle(self, message: gateway_messages.SettleTurn) -> None:
        """Replaces a reservation by what the turn handed out."""
        self._notes.settled(message)
        term = self._term
        if term is None:
            # Its sender is told that it was taken, and a claim may be under
            # way whose accounts still have the reservation.
            self._notes.postpone(message)
            return
        lower = term.ledger.settle(
            message.program_id,
            message.turn_id,
            message.used_tokens,
            may_lower=not term.is_writing,
        )
        if lower is not None:
            term.write_soon({message.program_id: lower})

    def forget_idle(self, idle_ms: float) -> None:
        """Drops programs that were not used for long, here and durably."""
        term = self._term
        if term is None:
            return
        old = term.ledger.forget_idle(idle_ms, self._clock.now_ms())
        term.write_soon(dict.fromkeys(old))

    async def _reserve(
        self, message: gateway_messages.ReserveTurn
    ) -> gateway_messages.ReserveReply:
        term = await self._hold()
        outcome = self._reserve_in(term, message)
        if isinstance(outcome, gateway_messages.ReserveReply):
            return outcome
        if outcome.mark is not None:
            await term.write(message.program_id, outcome.mark)
        return self._granted(message, outcome)

    def known_epoch(self) -> int:
        """Returns the epoch under which accounts are known here; 0 if none."""
        if self._term is not None:
            return self._term.fence.epoch
        return self._last_accounts.epoch

    def hand_over(self) -> tuple[int, dict[str, program_budgets.Account]]:
        """Stops owning the partition.

        The reply may get lost and the claim that asked may fail, so accounts
        are handed over again until this gateway claims anew. They stay exact
        for as long as no other epoch than theirs is in force.

        Returns:
            The newest accounts that are known here, and the epoch under which
            they were exact; 0 if none are.
        """
        if self._term is not None:
            error = keyed_store.FencedError("handed over to a peer")
            self._lose(self._term, error)
        return self._last_accounts.epoch, self._last_accounts.by_program

    def _reserve_in(
        self,
        term: budget_term.BudgetTerm,
        message: gateway_messages.ReserveTurn,
    ) -> gateway_messages.ReserveReply | program_budgets.Granted:
        """Returns the reply, or the grant whose mark must be durable first."""
        if self._notes.is_given_up(message.turn_id):
            # Its caller left while this gateway was claiming the partition.
            return _cannot_tell("the turn was given up before")
        outcome = term.ledger.reserve(
            message.program_id,
            message.turn_id,
            budget_tokens=message.budget_tokens,
            most_tokens=message.most_tokens,
            now_ms=self._clock.now_ms(),
            # While the store is away, no turn begins that may have to stop,
            # and those that run keep their room within the mark.
            is_whole=not message.by_parts or not self._store_reached(),
        )
        if isinstance(outcome, program_budgets.Spent):
            return gateway_messages.ReserveReply(
                granted=False, spent=True, reason=_spent(outcome)
            )
        self._notes.began(message.turn_id)
        if outcome.mark is None:
            return self._granted(message, outcome)
        return outcome

    def _granted(
        self,
        message: gateway_messages.ReserveTurn,
        granted: program_budgets.Granted,
    ) -> gateway_messages.ReserveReply:
        return gateway_messages.ReserveReply(
            granted=True,
            holder=self._notes.holder(message.previous_id),
            is_first=granted.is_first,
            ran_on=self._notes.ran_on(message.program_id),
            released_tokens=granted.released_tokens,
        )

    async def _hold(self) -> budget_term.BudgetTerm:
        """Returns the current term, claiming the partition if need be.

        The claim outlives the request that begins it. If it ended with that
        request, the next one would begin anew, for ever. One that fails is
        begun again for those who can still wait, unless the store is away.
        """
        while self._term is None:
            if self._claim is None:
                self._claim = _Claim()
                self._nursery.start_soon(self._claim_for_all, self._claim)
            claim = self._claim
            await claim.done.wait()
            if claim.error is not None:
                if not self._store_reached():
                    raise claim.error
                pause_ms = self._random.uniform(*_CLAIM_PAUSE_MS)
                await trio.sleep(pause_ms / 1000.0)
        return self._term

    async def _claim_for_all(self, claim: _Claim) -> None:
        """Claims the partition, and says how that ended."""
        started_ms = self._clock.now_ms()
        try:
            self._term = await self._open_term()
            self._held.add(self._part)
            for message in self._notes.take_postponed():
                self.settle(message)
        except errors.PortError as error:
            claim.error = error
        except Exception as error:
            _log.exception(
                "claim_failed", topic=budget_term.TOPIC, part=self._part
            )
            claim.error = errors.NotDoneError(repr(error))
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
            raise errors.NotDoneError("the store is away")
        # Asked before the claim, since a peer may be silent for long, and a
        # claim that takes long is shut out by the next before it has opened.
        # Nobody stops until the store has taken the claim: if it is away, who
        # holds the partition can still grant within the marks.
        epochs_known = await self._peers.epochs(self._part)
        fence = await self._epochs.claim()
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
        if last_epoch not in (_NO_EPOCH, self._last_accounts.epoch):
            await self._take_accounts(
                [
                    address
                    for address, epoch in epochs_known.items()
                    if epoch == last_epoch
                ]
                # Somebody may have opened a term since.
                or self._peers.holders(self._part)
            )
        ledger = program_budgets.BudgetLedger()
        now_ms = self._clock.now_ms()
        for program_id, value in values.items():
            ledger.load(program_id, program_budgets.decode_mark(value), now_ms)
        is_exact = last_epoch == self._last_accounts.epoch != _NO_EPOCH
        if is_exact:
            ledger.take_over(self._last_accounts.by_program, now_ms)
        term = budget_term.BudgetTerm(
            self._part,
            self._store,
            self._nursery,
            self._store_answered,
            fence,
            ledger,
            self._lose,
        )
        await term.open()
        self._last_accounts = _Accounts()
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

    async def _take_accounts(self, addresses: list[str]) -> None:
        """Has peers hand their accounts over and keeps the newest.

        They are kept beyond the claim, since they may be nowhere else.
        """
        replies = await self._peers.hand_over(self._part, addresses)
        known = [_Accounts(each.epoch, each.accounts) for each in replies]
        self._last_accounts = max(
            [self._last_accounts, *known], key=lambda each: each.epoch
        )

    def _lose(
        self, term: budget_term.BudgetTerm, error: errors.PortError
    ) -> None:
        _log.warning("partition_lost", part=self._part, reason=str(error))
        term.is_over = True
        if self._term is term:
            self._term = None
            self._held.discard(self._part)
            self._last_accounts = _Accounts(
                term.fence.epoch, term.ledger.accounts()
            )


def _spent(spent: program_budgets.Spent) -> str:
    return f"{spent.granted_tokens} of {spent.budget_tokens} tokens are granted"


def _cannot_tell(reason: str) -> gateway_messages.ReserveReply:
    return gateway_messages.ReserveReply(granted=False, reason=reason)
