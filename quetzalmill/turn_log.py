"""Writes a home's records to its own log stream, batching them per append.

The home is the only regular writer of its stream. Other processes append only
fences, so the writer detects a fence as a gap in the offsets before its own
batch. A record that follows a fence of its program has no effect, and the
writer reports it as fenced. While the log is unavailable, records wait in a
bounded buffer.
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
"""Batches that one read of a stream may return."""

MAX_BATCH_BYTES = 1024 * 1024
"""The most bytes of records in one append, but for a single larger record."""

_RETRY_MS = 200.0
_NO_BATCH = ""


class Commit(enum.Enum):
    """The outcome of committing a record."""

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
        max_wait_ms: float,
        buffer_bytes: int,
        on_fence: Callable[[turns.FenceRecord], None],
        metrics: metrics_module.Metrics,
        clock: clock_module.Clock,
    ) -> None:
        self._port = port
        self._stream = stream
        self._pace = pace
        self._max_wait_ms = max_wait_ms
        self._buffer_bytes = buffer_bytes
        self._on_fence = on_fence
        self._metrics = metrics
        self._clock = clock
        self._pending: list[_Pending] = []
        self._pending_bytes = 0
        self._arrived = trio.Event()
        self._next_offset = 1
        self._fenced: dict[str, int] = {}
        self.appends = 0
        self.log_is_down = False

    @property
    def buffered_bytes(self) -> int:
        """Returns the size of the records that are not yet appended."""
        return self._pending_bytes

    @property
    def is_full(self) -> bool:
        """Returns whether the buffer has reached its size limit."""
        return self._pending_bytes >= self._buffer_bytes

    def has_pending(self, root: str) -> bool:
        """Returns whether records of a root program are not yet appended."""
        return any(pending.record.root == root for pending in self._pending)

    async def commit(self, record: turns.Record) -> Commit:
        """Appends a record and returns the outcome.

        ``BUFFERED`` means that the append did not finish in time; the record
        stays in the buffer and is appended once the log recovers.
        """
        pending = _Pending(
            record=record,
            size_bytes=len(codec.to_json(turns.encode(record))),
            since_ms=self._clock.now_ms(),
        )
        self._pending.append(pending)
        self._pending_bytes += pending.size_bytes
        self._arrived.set()
        max_wait_ms = 0.0 if self.log_is_down else self._max_wait_ms
        with trio.move_on_after(max_wait_ms / 1000.0):
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

    async def wait_flushed(self) -> None:
        """Waits until every record is appended."""
        while self._pending:
            await self._pending[-1].settled.wait()

    async def wait_root_flushed(self, root: str) -> None:
        """Waits until every record of a root program is appended."""
        while True:
            waiting = [p for p in self._pending if p.record.root == root]
            if not waiting:
                return
            await waiting[-1].settled.wait()

    async def read_fences(self) -> bool:
        """Reads fences that others appended, up to the end of the stream.

        Returns False if the log could not be read or dropped unread records.
        """
        try:
            await self._read_forward(_NO_BATCH)
        except errors.RetentionError as error:
            self._next_offset = max(self._next_offset, error.first_offset)
            return False
        except errors.ExternalSystemError:
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
        offset = await self._append_with_retries(encoded)
        self.log_is_down = False
        self.appends += 1
        self._pace.accepted()
        # Never moved back, and never moved past unread records: there may be
        # a fence among them.
        self._next_offset = max(self._next_offset, offset + 1)
        for pending in batch:
            self._settle(pending)

    async def _append_with_retries(self, batch: Batch) -> int:
        """Appends a batch, retrying, and returns its first copy's offset."""
        maybe_appended = False
        while True:
            try:
                if maybe_appended:
                    found = await self._read_forward(batch.batch_id)
                    if found is not None:
                        return found
                offset = await self._port.append(
                    self._stream, [codec.to_plain(batch)]
                )
                maybe_appended = True
                if offset <= self._next_offset:
                    return offset
                found = await self._read_forward(batch.batch_id)
                return offset if found is None else found
            except errors.OutcomeUnknownError:
                maybe_appended = True
            except errors.RetentionError as error:
                self._next_offset = max(self._next_offset, error.first_offset)
            except errors.ThrottledError:
                self._pace.refused()
                await trio.sleep(self._pace.wait_ms() / 1000.0)
                continue
            except errors.NotExecutedError:
                pass
            self.log_is_down = True
            await trio.sleep(_RETRY_MS / 1000.0)

    async def _read_forward(self, batch_id: str) -> int | None:
        """Reads forward and records fences.

        Returns the offset of the batch, or None at the end of the stream.
        """
        while True:
            page = await self._port.read(
                self._stream, self._next_offset, limit=PAGE_BATCHES, wait_ms=0
            )
            for record in page.records:
                self._next_offset = record.offset + 1
                batch = codec.from_plain(record.data, Batch)
                if batch.batch_id == batch_id:
                    return record.offset
                self._record_fences(batch)
            if self._next_offset >= page.end:
                return None

    def _record_fences(self, batch: Batch) -> None:
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
        self._pending_bytes -= pending.size_bytes
        waited_ms = self._clock.now_ms() - pending.since_ms
        self._metrics.time(metrics_module.COMMIT_MS, waited_ms)
        pending.settled.set()


@attrs.frozen(kw_only=True)
class StreamRecords:
    """The records of one root program in one stream.

    Attributes:
        records: Its records in order, without duplicates of a batch.
        end: The offset after the last batch that was read.
        is_truncated: Whether the log no longer keeps the stream's beginning.
    """

    records: list[turns.Record]
    end: int
    is_truncated: bool


async def read_root(
    port: log_port.LogPort, stream: str, root: str
) -> StreamRecords:
    """Reads every record of a root program from one stream.

    Raises:
        errors.NotExecutedError: The log could not be read.
    """
    seen: set[str] = set()
    records: list[turns.Record] = []
    offset = 1
    is_truncated = False
    while True:
        try:
            page = await port.read(
                stream, offset, limit=PAGE_BATCHES, wait_ms=0
            )
        except errors.RetentionError as error:
            offset = error.first_offset
            is_truncated = True
            continue
        for logged in page.records:
            offset = logged.offset + 1
            batch = codec.from_plain(logged.data, Batch)
            if batch.batch_id in seen:
                continue
            seen.add(batch.batch_id)
            records.extend(_records_of_root(batch, root))
        if offset >= page.end:
            return StreamRecords(
                records=records, end=offset, is_truncated=is_truncated
            )


def _records_of_root(batch: Batch, root: str) -> list[turns.Record]:
    decoded = [turns.decode(data) for data in batch.records]
    return [record for record in decoded if record.root == root]
