"""Writes a home's records to its own stream of the log, many to one append.

The home is the only regular writer of its stream. Others append nothing but
fences, so the writer sees a fence as a gap before its own batch. A record of a
program that was fenced before it has no effect, and the writer says so. While
the log is down records wait in a bounded buffer.
"""

from collections.abc import Callable
import enum
import secrets
from typing import Any

import attrs
import trio

from quetzalmill import clock as clock_module
from quetzalmill import codec
from quetzalmill import commit_pace
from quetzalmill import errors
from quetzalmill import log_port
from quetzalmill import metrics as metrics_module
from quetzalmill import turns

PAGE_BATCHES = 256
"""Batches that are read from a stream at once."""

MAX_BATCH_BYTES = 1024 * 1024
"""Records that are put into one append."""

_RETRY_MS = 200.0
_NO_BATCH = ""


class Commit(enum.Enum):
    """What became of a record."""

    DURABLE = "durable"
    BUFFERED = "buffered"
    FENCED = "fenced"


@attrs.frozen(kw_only=True)
class Batch:
    """The records of one append.

    Attributes:
        batch_id: Unique, to find the append after a lost reply.
        records: Records in the form of ``turns.encode``.
    """

    batch_id: str
    records: list[Any]


@attrs.define(kw_only=True, eq=False)
class _Pending:
    record: turns.Record
    size_bytes: int
    since_ms: float
    settled: trio.Event = attrs.field(factory=trio.Event)
    result: Commit = Commit.BUFFERED


class TurnWriter:
    """Commits records to one stream, in order."""

    def __init__(
        self,
        port: log_port.LogPort,
        stream: str,
        *,
        pace: commit_pace.CommitPace,
        patience_ms: float,
        buffer_bytes: int,
        on_fence: Callable[[turns.FenceRecord], None],
        metrics: metrics_module.Metrics,
        clock: clock_module.Clock,
    ) -> None:
        self._port = port
        self._stream = stream
        self._pace = pace
        self._patience_ms = patience_ms
        self._buffer_bytes = buffer_bytes
        self._on_fence = on_fence
        self._metrics = metrics
        self._clock = clock
        self._pending: list[_Pending] = []
        self._waiting_bytes = 0
        self._arrived = trio.Event()
        self._next_offset = 1
        self._fenced: dict[str, int] = {}
        self.appends = 0
        self.log_is_down = False

    @property
    def buffered_bytes(self) -> int:
        """Returns the size of records that the log does not have yet."""
        return self._waiting_bytes

    @property
    def is_full(self) -> bool:
        """Returns whether the buffer takes no further record."""
        return self._waiting_bytes >= self._buffer_bytes

    def has_pending(self, root: str) -> bool:
        """Returns whether records of a root program wait for the log."""
        return any(pending.record.root == root for pending in self._pending)

    async def commit(self, record: turns.Record) -> Commit:
        """Appends a record and returns what became of it.

        ``BUFFERED`` means that the log did not answer in time; the record
        stays in the buffer and is appended when the log answers again.
        """
        pending = _Pending(
            record=record,
            size_bytes=len(codec.to_json(turns.encode(record))),
            since_ms=self._clock.now_ms(),
        )
        self._pending.append(pending)
        self._waiting_bytes += pending.size_bytes
        self._arrived.set()
        patience_ms = 0.0 if self.log_is_down else self._patience_ms
        with trio.move_on_after(patience_ms / 1000.0):
            await pending.settled.wait()
        return pending.result

    async def run(self) -> None:
        """Appends batches until cancelled."""
        while True:
            await self._arrived.wait()
            self._arrived = trio.Event()
            while self._pending:
                await trio.sleep(self._pace.wait_ms() / 1000.0)
                await self._append(self._next_batch())

    async def flushed(self) -> None:
        """Returns once no record waits."""
        while self._pending:
            await self._pending[-1].settled.wait()

    async def flushed_of(self, root: str) -> None:
        """Returns once no record of a root program waits."""
        while True:
            waiting = [p for p in self._pending if p.record.root == root]
            if not waiting:
                return
            await waiting[-1].settled.wait()

    async def read_fences(self) -> bool:
        """Reads what others appended; returns whether the log answered."""
        try:
            await self._read_on(_NO_BATCH)
        except errors.RetentionError as error:
            self._next_offset = max(self._next_offset, error.first_offset)
            return False
        except errors.PortError:
            return False
        return True

    def _next_batch(self) -> list[_Pending]:
        batch: list[_Pending] = []
        size_bytes = 0
        for pending in self._pending:
            if batch and size_bytes + pending.size_bytes > MAX_BATCH_BYTES:
                break
            batch.append(pending)
            size_bytes += pending.size_bytes
        return batch

    async def _append(self, batch: list[_Pending]) -> None:
        encoded = Batch(
            batch_id=secrets.token_hex(8),
            records=[turns.encode(pending.record) for pending in batch],
        )
        offset = await self._append_surely(encoded)
        self.log_is_down = False
        self.appends += 1
        self._pace.accepted()
        # Never set back, and never past records that were not read: a fence
        # may stand among them.
        self._next_offset = max(self._next_offset, offset + 1)
        for pending in batch:
            self._settle(pending)

    async def _append_surely(self, batch: Batch) -> int:
        """Appends a batch and returns the offset of its first copy."""
        maybe_appended = False
        while True:
            try:
                if maybe_appended:
                    found = await self._read_on(batch.batch_id)
                    if found is not None:
                        return found
                offset = await self._port.append(
                    self._stream, [codec.to_plain(batch)]
                )
                maybe_appended = True
                if offset <= self._next_offset:
                    return offset
                found = await self._read_on(batch.batch_id)
                return offset if found is None else found
            except errors.OutcomeUnknownError:
                maybe_appended = True
            except errors.RetentionError as error:
                self._next_offset = max(self._next_offset, error.first_offset)
            except errors.ThrottledError:
                self._pace.refused()
                await trio.sleep(self._pace.wait_ms() / 1000.0)
                continue
            except errors.NotDoneError:
                pass
            self.log_is_down = True
            await trio.sleep(_RETRY_MS / 1000.0)

    async def _read_on(self, batch_id: str) -> int | None:
        """Reads what others appended; returns where the batch stands."""
        while True:
            page = await self._port.read(
                self._stream, self._next_offset, limit=PAGE_BATCHES, wait_ms=0
            )
            for record in page.records:
                self._next_offset = record.offset + 1
                batch = codec.from_plain(record.data, Batch)
                if batch.batch_id == batch_id:
                    return record.offset
                self._note_fences(batch)
            if self._next_offset >= page.end:
                return None

    def _note_fences(self, batch: Batch) -> None:
        for data in batch.records:
            record = turns.decode(data)
            if isinstance(record, turns.FenceRecord):
                epoch = max(self._fenced.get(record.root, 0), record.epoch)
                self._fenced[record.root] = epoch
                self._on_fence(record)

    def _settle(self, pending: _Pending) -> None:
        fenced = self._fenced.get(pending.record.root, 0)
        is_fenced = pending.record.epoch < fenced
        pending.result = Commit.FENCED if is_fenced else Commit.DURABLE
        self._pending.remove(pending)
        self._waiting_bytes -= pending.size_bytes
        waited_ms = self._clock.now_ms() - pending.since_ms
        self._metrics.time(metrics_module.COMMIT_MS, waited_ms)
        pending.settled.set()


@attrs.frozen(kw_only=True)
class StreamRecords:
    """What a stream holds about one root program.

    Attributes:
        records: Its records in order, each copy of a batch once.
        end: The offset after the last batch that was read.
        is_cut: Whether the log has forgotten the stream's beginning.
    """

    records: list[turns.Record]
    end: int
    is_cut: bool


async def read_root(
    port: log_port.LogPort, stream: str, root: str
) -> StreamRecords:
    """Reads every record of a root program from one stream.

    Raises:
        errors.NotDoneError: The log could not be read.
    """
    seen: set[str] = set()
    records: list[turns.Record] = []
    offset = 1
    is_cut = False
    while True:
        try:
            page = await port.read(
                stream, offset, limit=PAGE_BATCHES, wait_ms=0
            )
        except errors.RetentionError as error:
            offset = error.first_offset
            is_cut = True
            continue
        for logged in page.records:
            offset = logged.offset + 1
            batch = codec.from_plain(logged.data, Batch)
            if batch.batch_id in seen:
                continue
            seen.add(batch.batch_id)
            records.extend(_of_root(batch, root))
        if offset >= page.end:
            return StreamRecords(records=records, end=offset, is_cut=is_cut)


def _of_root(batch: Batch, root: str) -> list[turns.Record]:
    decoded = [turns.decode(data) for data in batch.records]
    return [record for record in decoded if record.root == root]
