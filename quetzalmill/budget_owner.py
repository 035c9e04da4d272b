"""Owns the budgets of the programs of one partition.

Who the owner is, gateways only believe; the store settles it. An owner claims
its partition with an epoch, and grants nothing beyond the marks that the store
has taken from it under that epoch. A gateway that was replaced without its
knowledge is refused at its next write and then reads everything again.
"""

from collections.abc import Awaitable, Callable

import attrs
import trio

from quetzalmill import clock as clock_module
from quetzalmill import errors
from quetzalmill import gateway_messages
from quetzalmill import keyed_store
from quetzalmill import logs
from quetzalmill import program_budgets

TOPIC = "budgets"
"""The topic that holds a mark for each program."""

WRITE_TIMEOUT_MS = 400.0
"""How long the store may take for one write before it is sent again; many
times its usual answer of a few milliseconds."""

RESERVE_TIMEOUT_MS = 1_200.0
"""How long a turn waits for its reservation; what is left of its deadline
must still hold the turn."""

_RETRY_MS = 50.0
_EPOCH_STEP = 60_000
_CLAIM_TRIES = 4
_REMEMBERED_HOLDERS = 20_000

_log = logs.get("budget_owner")


@attrs.define(eq=False)
class _Pending:
    program_id: str
    mark_tokens: int
    done: trio.Event = attrs.field(factory=trio.Event)
    error: errors.QuetzalmillError | None = None


@attrs.define(eq=False)
class _Term:
    """One time of holding the partition, from a claim to its loss."""

    fence: keyed_store.Fence
    ledger: program_budgets.BudgetLedger
    sequence: int = 0


class BudgetOwner:
    """Reserves and settles turns for one partition.

    Args:
        part: The partition.
        store: The platform's store.
        clock: The process's clock.
        nursery: Where writes run.
        store_answered: Is told whether the store answered.
    """

    def __init__(
        self,
        part: int,
        store: keyed_store.KeyedStore,
        clock: clock_module.Clock,
        nursery: trio.Nursery,
        store_answered: Callable[[bool], None],
    ) -> None:
        self._part = part
        self._store = store
        self._clock = clock
        self._nursery = nursery
        self._store_answered = store_answered
        self._term: _Term | None = None
        self._claiming = trio.Lock()
        self._pending: list[_Pending] = []
        self._writing = False
        self._last_epoch = 0
        self._holders: dict[str, str] = {}

    def reserve(
        self, message: gateway_messages.ReserveTurn
    ) -> (
        gateway_messages.ReserveReply
        | Awaitable[gateway_messages.ReserveReply]
    ):
        """Reserves tokens for a turn; the reply is durable.

        It comes at once where no write is needed.
        """
        if self._term is not None:
            outcome = self._reserve_in(self._term, message)
            if not isinstance(outcome, int):
                return outcome
        return self._reserve_in_time(message)

    async def _reserve_in_time(
        self, message: gateway_messages.ReserveTurn
    ) -> gateway_messages.ReserveReply:
        try:
            with trio.fail_after(RESERVE_TIMEOUT_MS / 1000.0):
                return await self._reserve(message)
        except trio.TooSlowError:
            self.settle(message.program_id, message.turn_id, 0, "")
            return _cannot_tell("the store did not answer in time")
        except errors.PortError as error:
            return _cannot_tell(str(error))

    def settle(
        self, program_id: str, turn_id: str, used_tokens: int, holder: str
    ) -> None:
        """Replaces a reservation by what the turn handed out."""
        if holder:
            self._holders[turn_id] = holder
            if len(self._holders) > _REMEMBERED_HOLDERS:
                del self._holders[next(iter(self._holders))]
        if self._term is not None:
            self._term.ledger.settle(program_id, turn_id, used_tokens)

    def forget_idle(self, idle_ms: float) -> None:
        """Drops programs that were not used for long, here and durably."""
        term = self._term
        if term is None:
            return
        old = term.ledger.forget_idle(idle_ms, self._clock.now_ms())
        self._pending += [_Pending(program_id, -1) for program_id in old]
        self._start_writing()

    async def _reserve(
        self, message: gateway_messages.ReserveTurn
    ) -> gateway_messages.ReserveReply:
        term = await self._hold()
        outcome = self._reserve_in(term, message)
        if not isinstance(outcome, int):
            return outcome
        pending = _Pending(message.program_id, outcome)
        self._pending.append(pending)
        self._start_writing()
        await pending.done.wait()
        if pending.error is not None:
            raise pending.error
        return self._granted(message)

    def _reserve_in(
        self, term: _Term, message: gateway_messages.ReserveTurn
    ) -> gateway_messages.ReserveReply | int:
        """Returns the reply, or the mark that must be durable before it."""
        outcome = term.ledger.reserve(
            message.program_id,
            message.turn_id,
            budget_tokens=message.budget_tokens,
            most_tokens=message.most_tokens,
            now_ms=self._clock.now_ms(),
        )
        match outcome:
            case program_budgets.Spent():
                return gateway_messages.ReserveReply(
                    granted=False,
                    spent=True,
                    reason=f"{outcome.granted_tokens} of "
                    f"{outcome.budget_tokens} tokens are granted",
                )
            case program_budgets.Granted(None):
                return self._granted(message)
            case program_budgets.Granted(int(mark_tokens)):
                return mark_tokens

    def _granted(
        self, message: gateway_messages.ReserveTurn
    ) -> gateway_messages.ReserveReply:
        return gateway_messages.ReserveReply(
            granted=True, holder=self._holders.get(message.previous_id, "")
        )

    async def _hold(self) -> _Term:
        """Returns the current term, claiming the partition if need be."""
        async with self._claiming:
            if self._term is None:
                self._term = await self._claim()
            return self._term

    async def _claim(self) -> _Term:
        fence = await self._shut_out_others()
        found = await self._store.newest(
            TOPIC, self._part, timeout_ms=2 * WRITE_TIMEOUT_MS
        )
        ledger = program_budgets.BudgetLedger()
        now_ms = self._clock.now_ms()
        for record in found.records:
            if record.value is not None:
                ledger.load(record.key, int(record.value), now_ms)
        _log.info(
            "partition_claimed",
            topic=TOPIC,
            part=self._part,
            epoch=fence.epoch,
            programs=len(ledger.programs),
        )
        return _Term(fence, ledger)

    async def _shut_out_others(self) -> keyed_store.Fence:
        """Claims the partition with an epoch higher than any before.

        The time of day only makes a first guess that is likely high enough;
        the store refuses a guess that is not.
        """
        epoch = max(self._clock.unix_ms(), self._last_epoch + 1)
        for _ in range(_CLAIM_TRIES):
            fence = keyed_store.Fence(TOPIC, epoch)
            try:
                await self._store.claim(
                    TOPIC, self._part, fence, timeout_ms=WRITE_TIMEOUT_MS
                )
                self._last_epoch = epoch
                return fence
            except keyed_store.FencedError:
                epoch += _EPOCH_STEP
            except errors.OutcomeUnknownError:
                epoch += 1
        raise errors.NotDoneError(f"partition {self._part} cannot be claimed")

    def _start_writing(self) -> None:
        if self._pending and not self._writing:
            self._writing = True
            self._nursery.start_soon(self._write_all)

    async def _write_all(self) -> None:
        """Writes marks, all that wait in one call, until none waits."""
        try:
            while self._pending and self._term is not None:
                batch, self._pending = self._pending, []
                await self._write(self._term, batch)
        finally:
            self._writing = False
        if self._pending:
            _fail(self._pending, errors.NotDoneError("the partition is lost"))
            self._pending = []

    async def _write(self, term: _Term, batch: list[_Pending]) -> None:
        marks: dict[str, int] = {}
        for each in batch:
            marks[each.program_id] = max(
                each.mark_tokens, marks.get(each.program_id, -1)
            )
        records = [
            keyed_store.KeyedRecord(
                program_id, str(mark).encode() if mark >= 0 else None
            )
            for program_id, mark in marks.items()
        ]
        try:
            await self._write_until_known(term, records)
        except errors.PortError as error:
            self._lose(term, error)
            _fail(batch, error)
            return
        for program_id, mark in marks.items():
            term.ledger.made_durable(program_id, mark)
        for each in batch:
            each.done.set()

    async def _write_until_known(
        self, term: _Term, records: list[keyed_store.KeyedRecord]
    ) -> None:
        """Repeats one write until its outcome is known.

        The store takes a repeat with the same sequence number only once, so
        a lost answer does no harm.
        """
        while True:
            try:
                await self._store.append_fenced(
                    TOPIC,
                    self._part,
                    records,
                    term.fence,
                    term.sequence,
                    timeout_ms=WRITE_TIMEOUT_MS,
                )
            except keyed_store.FencedError:
                raise
            except errors.PortError as error:
                self._store_answered(False)
                _log.warning(
                    "budget_write_repeated", part=self._part, reason=str(error)
                )
                await trio.sleep(_RETRY_MS / 1000.0)
                continue
            self._store_answered(True)
            term.sequence += 1
            return

    def _lose(self, term: _Term, error: errors.PortError) -> None:
        _log.warning("partition_lost", part=self._part, reason=str(error))
        if self._term is term:
            self._term = None


def _fail(batch: list[_Pending], error: errors.PortError) -> None:
    for each in batch:
        each.error = error
        each.done.set()


def _cannot_tell(reason: str) -> gateway_messages.ReserveReply:
    return gateway_messages.ReserveReply(granted=False, reason=reason)
