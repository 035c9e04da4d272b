"""One time of holding a partition of budgets, and its writes of marks."""

from collections.abc import Callable

import attrs
import trio

from quetzalmill import errors
from quetzalmill import keyed_store
from quetzalmill import logs
from quetzalmill import program_budgets

TOPIC = "budgets"
"""The topic that holds a mark for each program."""

EPOCH_KEY = "\x00epoch"
"""The key of the record that names the last owner's epoch; no program's id
begins with a null character."""

WRITE_TIMEOUT_MS = 400.0
"""How long the store may take for one write before it is sent again; many
times its usual answer of a few milliseconds."""

_OPEN_TRIES = 4
"""Tries of a term's first write. Its outcome has to be known, since the epoch
in it outdates all accounts; but a claim must end while the store is away."""

_RETRY_FIRST_MS = 50.0
_RETRY_MOST_MS = 800.0

_log = logs.get("budget_term")


@attrs.define(eq=False)
class _Pending:
    program_id: str
    mark: program_budgets.Mark | None
    done: trio.Event = attrs.field(factory=trio.Event)
    error: errors.PortError | None = None


class BudgetTerm:
    """One time of holding the partition, from a claim to its loss.

    What is to be written ends with it. In a later term it would replace what
    another owner has written since.

    Args:
        part: The partition.
        store: The platform's store.
        nursery: Where writes run.
        store_answered: Is told whether the store answered.
        fence: The claim.
        ledger: The accounts.
        lose: Is told that the store has refused a write, and why.

    Attributes:
        fence: The claim.
        ledger: The accounts.
        is_over: Whether it has ended.
        is_writing: Whether a write is under way.
    """

    def __init__(
        self,
        part: int,
        store: keyed_store.KeyedStore,
        nursery: trio.Nursery,
        store_answered: Callable[[bool], None],
        fence: keyed_store.Fence,
        ledger: program_budgets.BudgetLedger,
        lose: Callable[["BudgetTerm", errors.PortError], None],
    ) -> None:
        self._part = part
        self._store = store
        self._nursery = nursery
        self._store_answered = store_answered
        self.fence = fence
        self.ledger = ledger
        self._lose = lose
        self.is_over = False
        self.is_writing = False
        self._sequence = 1
        self._pending: list[_Pending] = []

    async def open(self) -> None:
        """Makes durable what was granted, together with the epoch."""
        behind = self.ledger.behind()
        epoch = str(self.fence.epoch).encode()
        await self._write_until_known(
            [
                keyed_store.KeyedRecord(EPOCH_KEY, epoch),
                *(
                    keyed_store.KeyedRecord(program_id, mark.encode())
                    for program_id, mark in behind.items()
                ),
            ],
            most_tries=_OPEN_TRIES,
        )
        for program_id, mark in behind.items():
            self.ledger.made_durable(program_id, mark)

    async def write(self, program_id: str, mark: program_budgets.Mark) -> None:
        """Returns once a mark is durable.

        Raises:
            errors.PortError: The term has ended before that.
        """
        pending = _Pending(program_id, mark)
        self._queue([pending])
        await pending.done.wait()
        if pending.error is not None:
            raise pending.error

    def write_soon(self, marks: dict[str, program_budgets.Mark | None]) -> None:
        """Makes marks durable, or removes them, while nobody waits for it."""
        self._queue(
            [_Pending(program_id, mark) for program_id, mark in marks.items()]
        )

    def _queue(self, pending: list[_Pending]) -> None:
        self._pending += pending
        if self._pending and not self.is_writing:
            self.is_writing = True
            self._nursery.start_soon(self._write_all)

    async def _write_all(self) -> None:
        """Writes marks, all that wait in one call, until none waits."""
        try:
            while self._pending and not self.is_over:
                batch, self._pending = self._pending, []
                await self._write(batch)
        finally:
            self.is_writing = False
        _fail(self._pending, errors.NotDoneError("the partition is lost"))
        self._pending = []

    async def _write(self, batch: list[_Pending]) -> None:
        # Of several marks of a program the last one holds.
        marks = {each.program_id: each.mark for each in batch}
        records = [
            keyed_store.KeyedRecord(
                program_id, None if mark is None else mark.encode()
            )
            for program_id, mark in marks.items()
        ]
        try:
            await self._write_until_known(records)
        except errors.PortError as error:
            self._lose(self, error)
            _fail(batch, error)
            return
        for program_id, mark in marks.items():
            if mark is not None:
                self.ledger.made_durable(program_id, mark)
        for each in batch:
            each.done.set()

    async def _write_until_known(
        self,
        records: list[keyed_store.KeyedRecord],
        *,
        most_tries: int | None = None,
    ) -> None:
        """Repeats one write until its outcome is known.

        The store takes a repeat with the same sequence number only once, so
        a lost answer does no harm.
        """
        wait_ms = _RETRY_FIRST_MS
        tries = 0
        while True:
            try:
                return await self._write_once(records)
            except keyed_store.FencedError:
                raise
            except errors.PortError as error:
                self._store_answered(False)
                _log.warning(
                    "budget_write_repeated", part=self._part, reason=str(error)
                )
                tries += 1
                if tries == most_tries:
                    raise
            await trio.sleep(wait_ms / 1000.0)
            wait_ms = min(2.0 * wait_ms, _RETRY_MOST_MS)

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


def _fail(batch: list[_Pending], error: errors.PortError) -> None:
    for each in batch:
        each.error = error
        each.done.set()
