"""Writes turns to the platform's store and reads complete partitions of them.

The record of a turn never changes, so any gateway may write it and a duplicate
does no harm.
"""

from collections.abc import Callable
import enum

import attrs
import trio

from quetzalmill import clock as clock_module
from quetzalmill import codec
from quetzalmill import conversations
from quetzalmill import errors
from quetzalmill import keyed_store
from quetzalmill import logs

TOPIC = "turns"
"""The topic that holds a record for each turn."""

WRITE_TIMEOUT_MS = 400.0
"""Timeout of one write, after which it is sent again."""

READ_TIMEOUT_MS = 1_500.0
"""Timeout of reading one page of up to a megabyte."""

SNAPSHOT_KEPT_MS = 1_000.0
"""How long a snapshot of a partition is kept after the last lookup, for
partitions larger than the cache. Callers that were refused retry within a third
of that."""

_MIN_RETRY_PAUSE_MS = 100.0
_MAX_RETRY_PAUSE_MS = 1_000.0
_MAX_BATCH_BYTES = 1_000_000

_log = logs.get("turn_store")


@attrs.define(eq=False)
class QueuedTurn:
    """A turn that is to be written.

    Attributes:
        turn: The turn.
        is_rejected: Whether the store refused it for good.
        done: Set once it is durable or rejected.
    """

    turn: conversations.Turn
    is_rejected: bool = False
    done: trio.Event = attrs.field(factory=trio.Event)

    @property
    def is_durable(self) -> bool:
        """Whether the store has it."""
        return self.done.is_set() and not self.is_rejected


class _Result(enum.Enum):
    WRITTEN = enum.auto()
    FAILED = enum.auto()
    REJECTED = enum.auto()


class TurnWriter:
    """Writes turns of one partition, batching those that are queued.

    Queued turns are written eventually, however long the store is unavailable,
    unless the process ends. One that the store refuses for good, such as one
    larger than its records, is dropped, so that it does not hold up the others.
    """

    def __init__(
        self,
        part: int,
        store: keyed_store.KeyedStore,
        nursery: trio.Nursery,
        record_store_availability: Callable[[bool], None],
    ) -> None:
        self._part = part
        self._store = store
        self._nursery = nursery
        self._store_answered = record_store_availability
        self._queue: list[QueuedTurn] = []
        self._writing = False

    def put(self, turn: conversations.Turn) -> QueuedTurn:
        """Queues a turn and returns its progress."""
        queued = QueuedTurn(turn)
        self._queue.append(queued)
        if not self._writing:
            self._writing = True
            self._nursery.start_soon(self._write_all)
        return queued

    @property
    def queue_length(self) -> int:
        """Number of turns that are not durable yet."""
        return len(self._queue)

    async def _write_all(self) -> None:
        wait_ms = _MIN_RETRY_PAUSE_MS
        # How many of the first turns are written one by one, since the store
        # refused the batch that they were in.
        singles = 0
        try:
            while self._queue:
                batch = self._queue[:1] if singles else self._next_batch()
                result = await self._write(batch)
                match result:
                    case _Result.FAILED:
                        await trio.sleep(wait_ms / 1000.0)
                        wait_ms = min(2.0 * wait_ms, _MAX_RETRY_PAUSE_MS)
                        continue
                    case _Result.REJECTED if len(batch) > 1:
                        singles = len(batch)
                        continue
                del self._queue[: len(batch)]
                for each in batch:
                    each.is_rejected = result is _Result.REJECTED
                    each.done.set()
                singles = max(0, singles - len(batch))
                wait_ms = _MIN_RETRY_PAUSE_MS
        finally:
            self._writing = False

    def _next_batch(self) -> list[QueuedTurn]:
        batch: list[QueuedTurn] = []
        batch_bytes = 0
        for each in self._queue:
            batch_bytes += each.turn.size_bytes()
            if batch and batch_bytes > _MAX_BATCH_BYTES:
                break
            batch.append(each)
        return batch

    async def _write(self, batch: list[QueuedTurn]) -> _Result:
        records = [
            keyed_store.KeyedRecord(
                each.turn.turn_id, codec.to_msgpack(each.turn)
            )
            for each in batch
        ]
        try:
            await self._store.append(
                TOPIC, self._part, records, timeout_ms=WRITE_TIMEOUT_MS
            )
        except errors.RejectedError as error:
            self._store_answered(True)
            _log.warning(
                "turn_write_rejected",
                part=self._part,
                turn_ids=",".join(each.turn.turn_id for each in batch),
                size_bytes=sum(each.turn.size_bytes() for each in batch),
                reason=str(error),
            )
            return _Result.REJECTED
        except errors.ExternalSystemError as error:
            self._store_answered(False)
            _log.warning(
                "turn_write_repeated",
                part=self._part,
                turns=len(batch),
                reason=str(error),
            )
            return _Result.FAILED
        self._store_answered(True)
        return _Result.WRITTEN


@attrs.define(eq=False)
class _Read:
    """A read in progress; many lookups may wait for it.

    Attributes:
        started_ms: When it started.
        done: Set once it has ended.
        error: Why it failed; None if it succeeded.
    """

    started_ms: float
    done: trio.Event = attrs.field(factory=trio.Event)
    error: errors.ExternalSystemError | None = None


class TurnPartition:
    """Reads one partition of turns and follows its changes.

    Args:
        part: The partition.
        store: The platform's store.
        cache: Receives the turns that are read.
        clock: The process's clock.
        nursery: Runs the reads.
    """

    def __init__(
        self,
        part: int,
        store: keyed_store.KeyedStore,
        cache: conversations.TurnCache,
        clock: clock_module.Clock,
        nursery: trio.Nursery,
    ) -> None:
        self._part = part
        self._store = store
        self._cache = cache
        self._clock = clock
        self._next_offset: int | None = None
        self._snapshot: dict[str, conversations.Turn] | None = None
        self._callers = 0
        self._evicted_at_read = 0
        self._fresh_at_ms = float("-inf")
        self._current_read: _Read | None = None
        self._nursery = nursery

    async def chain(self, turn_id: str) -> tuple[list[conversations.Turn], str]:
        """Returns a chain as the store holds it now.

        Returns:
            The turns, oldest first, and the id of the turn before them that
            does not exist; empty if the chain is complete.

        Raises:
            errors.ExternalSystemError: The store did not answer.
        """
        self._callers += 1
        try:
            return await self._chain(turn_id, self._clock.now_ms())
        finally:
            self._callers -= 1
            self._drop_snapshot_later()

    async def _chain(
        self, turn_id: str, asked_ms: float
    ) -> tuple[list[conversations.Turn], str]:
        await self._refresh(turn_id, asked_ms)
        turns, missing_id = self._cache.chain(turn_id)
        if not missing_id or self._cache.evicted == self._evicted_at_read:
            return turns, missing_id
        # The cache has evicted turns since the last snapshot was read.
        await self._refresh(turn_id, asked_ms, needs_snapshot=True)
        assert self._snapshot is not None
        return conversations.follow(turn_id, self._snapshot.get)

    async def _refresh(
        self, turn_id: str, asked_ms: float, *, needs_snapshot: bool = False
    ) -> None:
        """Reads the partition, unless a read since ``asked_ms`` has succeeded.

        Args:
            turn_id: The turn whose chain is requested.
            asked_ms: When it was requested.
            needs_snapshot: Whether the complete partition has to be in memory.
        """
        while True:
            from_start = needs_snapshot and self._snapshot is None
            if self._fresh_at_ms >= asked_ms and not from_start:
                return
            # The read continues after the lookup that started it has timed
            # out. Otherwise each lookup would start over and none might ever
            # complete.
            if self._current_read is None:
                self._current_read = _Read(self._clock.now_ms())
                self._nursery.start_soon(
                    self._read, self._current_read, turn_id, from_start
                )
            current = self._current_read
            await current.done.wait()
            if current.error is not None:
                raise current.error

    async def _read(
        self, current: _Read, turn_id: str, from_start: bool
    ) -> None:
        """Reads the changes or a snapshot, for all lookups that wait."""
        try:
            from_start |= self._next_offset is None
            if from_start or not await self._read_changes():
                await self._read_snapshot(turn_id)
            self._fresh_at_ms = current.started_ms
        except errors.ExternalSystemError as error:
            current.error = error
        except Exception as error:
            _log.exception("reading_failed", part=self._part)
            current.error = errors.NotExecutedError(repr(error))
        finally:
            self._current_read = None
            self._drop_snapshot_later()
            current.done.set()

    def _drop_snapshot_later(self) -> None:
        if not self._callers and self._snapshot is not None:
            self._nursery.start_soon(self._drop_snapshot, self._snapshot)

    async def _drop_snapshot(
        self, snapshot: dict[str, conversations.Turn]
    ) -> None:
        """Frees a snapshot some time after the last lookup."""
        await trio.sleep(SNAPSHOT_KEPT_MS / 1000.0)
        if not self._callers and self._snapshot is snapshot:
            self._snapshot = None

    async def _read_changes(self) -> bool:
        """Reads the changes; returns whether the store still had them."""
        assert self._next_offset is not None
        try:
            found = await self._store.changes(
                TOPIC,
                self._part,
                self._next_offset,
                wait_ms=0.0,
                timeout_ms=READ_TIMEOUT_MS,
            )
        except errors.RetentionError as error:
            _log.info(
                "partition_read_again", part=self._part, reason=str(error)
            )
            return False
        self._cache_records(found)
        return True

    async def _read_snapshot(self, turn_id: str) -> None:
        evicted_before = self._cache.evicted
        found = await self._store.newest(
            TOPIC, self._part, timeout_ms=READ_TIMEOUT_MS
        )
        self._evicted_at_read = evicted_before
        self._snapshot = {}
        self._cache_records(found)
        # The caller may have timed out, and will retry for the same chain.
        turns, _ = conversations.follow(turn_id, self._snapshot.get)
        for turn in turns:
            self._cache.add(turn)

    def _cache_records(self, found: keyed_store.Records) -> None:
        turns = [
            turn
            for record in found.records
            if (turn := decode(record)) is not None
        ]
        for turn in turns:
            if self._cache.get(turn.turn_id) is None:
                self._cache.add(turn)
        if self._snapshot is not None:
            self._snapshot.update((turn.turn_id, turn) for turn in turns)
        self._next_offset = found.next_offset


def decode(record: keyed_store.KeyedRecord) -> conversations.Turn | None:
    """Returns a record's turn; None if it was deleted or cannot be decoded."""
    if record.value is None:
        return None
    try:
        return codec.from_msgpack(record.value, conversations.Turn)
    except errors.CodecError as error:
        _log.warning("turn_unreadable", turn_id=record.key, reason=str(error))
        return None
