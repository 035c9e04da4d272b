"""One term of owning a partition of budgets, with its writes of bounds."""

from collections.abc import Callable

import attrs
import trio

from quetzalmill import errors
from quetzalmill import keyed_store
from quetzalmill import logs
from quetzalmill import program_budgets
from quetzalmill import stored_bound

TOPIC = "budgets"
"""The topic that holds a bound for each program."""

EPOCH_KEY = "\x00epoch"
"""The key of the record with the last owner's epoch; no program id starts with
a null character."""

WRITE_TIMEOUT_MS = 400.0
"""Timeout of one write, after which it is sent again; the store usually answers
within a few milliseconds."""

_MAX_OPEN_ATTEMPTS = 4
"""Attempts at a term's first write. Its outcome has to be known, since the
epoch in it invalidates all earlier accounts; but a claim must not wait without
end for a store that is unavailable."""

_MIN_RETRY_PAUSE_MS = 50.0
_MAX_RETRY_PAUSE_MS = 800.0

_log = logs.get("budget_term")


NO_EPOCH = 0
"""The epoch of a partition that nobody has claimed."""


@attrs.frozen
class Accounts:
    """The accounts of an ended term of this or another gateway.

    Attributes:
        epoch: The epoch of the term.
        by_program: The accounts.
        lost_ms: When accounts that these follow on were lost, as in
            ``outage_grants``.
    """

    epoch: int = NO_EPOCH
    by_program: dict[str, program_budgets.Account] = attrs.field(factory=dict)
    lost_ms: float = float("-inf")


@attrs.define(eq=False)
class _PendingWrite:
    program_id: str
    bound: stored_bound.StoredBound | None
    done: trio.Event = attrs.field(factory=trio.Event)
    error: errors.ExternalSystemError | None = None


class BudgetTerm:
    """One term of owning the partition, from the claim until it is lost.

    Pending writes are dropped when the term ends. In a later term they would
    replace what another owner has written since.

    Args:
        part: The partition.
        store: The platform's store.
        nursery: Runs the writes.
        record_store_availability: Called with whether the store answered.
        fence: The fence of the claim.
        ledger: The accounts.
        on_lost: Called with the error when the store has refused a write.

    Attributes:
        fence: The fence of the claim.
        ledger: The accounts.
        is_closed: Whether the term has ended.
        is_writing: Whether a write is in flight.
    """

    def __init__(
        self,
        part: int,
        store: keyed_store.KeyedStore,
        nursery: trio.Nursery,
        record_store_availability: Callable[[bool], None],
        fence: keyed_store.Fence,
        ledger: program_budgets.BudgetLedger,
        on_lost: Callable[["BudgetTerm", errors.ExternalSystemError], None],
    ) -> None:
        self._part = part
        self._store = store
        self._nursery = nursery
        self._store_answered = record_store_availability
        self.fence = fence
        self.ledger = ledger
        self._on_lost = on_lost
        self.is_closed = False
        self.is_writing = False
        self._sequence = 1
        self._pending: list[_PendingWrite] = []

    async def open(self) -> None:
        """Stores the bounds that are too low, together with the epoch."""
        missing_bounds = self.ledger.missing_bounds()
        epoch = str(self.fence.epoch).encode()
        await self._write_until_known(
            [
                keyed_store.KeyedRecord(EPOCH_KEY, epoch),
                *(
                    keyed_store.KeyedRecord(program_id, bound.encode())
                    for program_id, bound in missing_bounds.items()
                ),
            ],
            max_attempts=_MAX_OPEN_ATTEMPTS,
        )
        for program_id, bound in missing_bounds.items():
            self.ledger.made_durable(program_id, bound)

    async def write(
        self, program_id: str, bound: stored_bound.StoredBound
    ) -> None:
        """Returns once a bound is stored.

        Raises:
            errors.ExternalSystemError: The term ended first.
        """
        pending = _PendingWrite(program_id, bound)
        self._queue([pending])
        await pending.done.wait()
        if pending.error is not None:
            raise pending.error

    def write_soon(
        self, bounds: dict[str, stored_bound.StoredBound | None]
    ) -> None:
        """Stores or removes bounds in the background."""
        self._queue(
            [
                _PendingWrite(program_id, bound)
                for program_id, bound in bounds.items()
            ]
        )

    def settle(self, program_id: str, turn_id: str, used_tokens: int) -> None:
        """Settles a turn in the accounts; stores a lower bound if it can."""
        lower = self.ledger.settle(
            program_id, turn_id, used_tokens, may_lower=not self.is_writing
        )
        if lower is not None:
            self.write_soon({program_id: lower})

    def _queue(self, pending: list[_PendingWrite]) -> None:
        self._pending += pending
        if self._pending and not self.is_writing:
            self.is_writing = True
            self._nursery.start_soon(self._write_all)

    async def _write_all(self) -> None:
        """Writes pending bounds in batches until none is left."""
        try:
            while self._pending and not self.is_closed:
                batch, self._pending = self._pending, []
                await self._write(batch)
        finally:
            self.is_writing = False
        _fail(self._pending, errors.NotExecutedError("the partition is lost"))
        self._pending = []

    async def _write(self, batch: list[_PendingWrite]) -> None:
        # The last of several bounds of one program counts.
        bounds = {each.program_id: each.bound for each in batch}
        records = [
            keyed_store.KeyedRecord(
                program_id, None if bound is None else bound.encode()
            )
            for program_id, bound in bounds.items()
        ]
        try:
            await self._write_until_known(records)
        except errors.ExternalSystemError as error:
            self._on_lost(self, error)
            _fail(batch, error)
            return
        for program_id, bound in bounds.items():
            if bound is not None:
                self.ledger.made_durable(program_id, bound)
        for each in batch:
            each.done.set()

    async def _write_until_known(
        self,
        records: list[keyed_store.KeyedRecord],
        *,
        max_attempts: int | None = None,
    ) -> None:
        """Repeats one write until its outcome is known.

        The store applies a write with the same sequence number only once, so
        a lost answer does no harm.
        """
        wait_ms = _MIN_RETRY_PAUSE_MS
        attempts = 0
        while True:
            try:
                return await self._write_once(records)
            except keyed_store.FencedError:
                raise
            except errors.ExternalSystemError as error:
                self._store_answered(False)
                _log.warning(
                    "budget_write_repeated", part=self._part, reason=str(error)
                )
                attempts += 1
                if attempts == max_attempts:
                    raise
            await trio.sleep(wait_ms / 1000.0)
            wait_ms = min(2.0 * wait_ms, _MAX_RETRY_PAUSE_MS)

    async def _write_once(self, records: list[keyed_store.KeyedRecord]) -> None:
        await self._store.append_fenced(
            TOPIC,
            self._part,
            records,
            self.fence,
            self._sequence,
            timeout_ms=WRITE_TIMEOUT_MS,
        )
        self._store_answered(True)
        self._sequence += 1


def _fail(
    batch: list[_PendingWrite], error: errors.ExternalSystemError
) -> None:
    for each in batch:
        each.error = error
        each.done.set()
