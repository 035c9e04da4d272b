"""Turns in the platform's store: writing them and reading partitions whole.

The record of a turn never changes, so anyone may write it and a second copy
does no harm.
"""

from collections.abc import Callable

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
"""How long the store may take for one write before it is sent again."""

READ_TIMEOUT_MS = 1_500.0
"""How long reading one page may take; a page holds up to a megabyte."""

WHOLE_KEPT_MS = 1_000.0
"""How long a partition that the memory for turns cannot hold is kept after the
last question; callers that were refused come back within a third of that."""

_RETRY_FIRST_MS = 100.0
_RETRY_MOST_MS = 1_000.0
_MAX_BATCH_BYTES = 1_000_000

_log = logs.get("turn_store")


@attrs.define(eq=False)
class _Waiting:
    turn: conversations.Turn
    done: trio.Event = attrs.field(factory=trio.Event)


class TurnWriter:
    """Writes turns of one partition, those that wait in one call.

    What was handed to it is written in the end, however long the store is
    away, unless the process ends.
    """

    def __init__(
        self,
        part: int,
        store: keyed_store.KeyedStore,
        nursery: trio.Nursery,
        store_answered: Callable[[bool], None],
    ) -> None:
        self._part = part
        self._store = store
        self._nursery = nursery
        self._store_answered = store_answered
        self._waiting: list[_Waiting] = []
        self._writing = False

    def put(self, turn: conversations.Turn) -> trio.Event:
        """Queues a turn; the event is set once it is durable."""
        waiting = _Waiting(turn)
        self._waiting.append(waiting)
        if not self._writing:
            self._writing = True
            self._nursery.start_soon(self._write_all)
        return waiting.done

    @property
    def waiting(self) -> int:
        """How many turns are not durable yet."""
        return len(self._waiting)

    async def _write_all(self) -> None:
        wait_ms = _RETRY_FIRST_MS
        try:
            while self._waiting:
                batch = self._next_batch()
                if await self._write(batch):
                    del self._waiting[: len(batch)]
                    for each in batch:
                        each.done.set()
                    wait_ms = _RETRY_FIRST_MS
                else:
                    await trio.sleep(wait_ms / 1000.0)
                    wait_ms = min(2.0 * wait_ms, _RETRY_MOST_MS)
        finally:
            self._writing = False

    def _next_batch(self) -> list[_Waiting]:
        batch: list[_Waiting] = []
        batch_bytes = 0
        for each in self._waiting:
            batch_bytes += each.turn.size_bytes()
            if batch and batch_bytes > _MAX_BATCH_BYTES:
                break
            batch.append(each)
        return batch

    async def _write(self, batch: list[_Waiting]) -> bool:
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
        except errors.PortError as error:
            self._store_answered(False)
            _log.warning(
                "turn_write_repeated",
                part=self._part,
                turns=len(batch),
                reason=str(error),
            )
            return False
        self._store_answered(True)
        return True


@attrs.define(eq=False)
class _Reading:
    """A reading under way; many may wait for it.

    Attributes:
        started_ms: When it began.
        done: Set once it has ended.
        error: Why it failed; None if it did not.
    """

    started_ms: float
    done: trio.Event = attrs.field(factory=trio.Event)
    error: errors.PortError | None = None


class TurnPartition:
    """Reads one partition of turns and keeps up with it.

    Args:
        part: The partition.
        store: The platform's store.
        cache: Where the turns that are read go.
        clock: The process's clock.
        nursery: Where readings run.
    """

    def __init__(
        self,
        part: int,
        store: keyed_store.KeyedStore,
        cache: conversations.Conversations,
        clock: clock_module.Clock,
        nursery: trio.Nursery,
    ) -> None:
        self._part = part
        self._store = store
        self._cache = cache
        self._clock = clock
        self._next_offset: int | None = None
        self._whole: dict[str, conversations.Turn] | None = None
        self._asking = 0
        self._evicted_before = 0
        self._read_ms = float("-inf")
        self._reading: _Reading | None = None
        self._nursery = nursery

    async def chain(self, turn_id: str) -> tuple[list[conversations.Turn], str]:
        """Returns a chain out of all that the store holds now.

        Returns:
            The turns, oldest first, and the id of the first one that does
            not exist; empty if the chain is whole.

        Raises:
            errors.PortError: The store did not answer.
        """
        self._asking += 1
        try:
            return await self._chain(turn_id, self._clock.now_ms())
        finally:
            self._asking -= 1
            self._drop_whole_soon()

    async def _chain(
        self, turn_id: str, asked_ms: float
    ) -> tuple[list[conversations.Turn], str]:
        await self._refresh(turn_id, asked_ms)
        turns, missing_id = self._cache.chain(turn_id)
        if not missing_id or self._cache.evicted == self._evicted_before:
            return turns, missing_id
        # The cache dropped turns since the whole partition was read.
        await self._refresh(turn_id, asked_ms, needs_whole=True)
        assert self._whole is not None
        return conversations.follow(turn_id, self._whole.get)

    async def _refresh(
        self, turn_id: str, asked_ms: float, *, needs_whole: bool = False
    ) -> None:
        """Reads what the partition held at ``asked_ms``, if not done since.

        Args:
            turn_id: The turn whose chain is asked for.
            asked_ms: When it was.
            needs_whole: Whether all turns have to be at hand.
        """
        while True:
            is_anew = needs_whole and self._whole is None
            if self._read_ms >= asked_ms and not is_anew:
                return
            # Many wait for a reading. If it ended with the patience of the
            # one that began it, the next would begin anew, for ever.
            if self._reading is None:
                self._reading = _Reading(self._clock.now_ms())
                self._nursery.start_soon(
                    self._read, self._reading, turn_id, is_anew
                )
            reading = self._reading
            await reading.done.wait()
            if reading.error is not None:
                raise reading.error

    async def _read(
        self, reading: _Reading, turn_id: str, is_anew: bool
    ) -> None:
        """Reads on, or everything, for all that wait."""
        try:
            is_anew |= self._next_offset is None
            if is_anew or not await self._read_on():
                await self._read_whole(turn_id)
            self._read_ms = reading.started_ms
        except errors.PortError as error:
            reading.error = error
        except Exception as error:
            _log.exception("reading_failed", part=self._part)
            reading.error = errors.NotDoneError(repr(error))
        finally:
            self._reading = None
            self._drop_whole_soon()
            reading.done.set()

    def _drop_whole_soon(self) -> None:
        if not self._asking and self._whole is not None:
            self._nursery.start_soon(self._drop_whole, self._whole)

    async def _drop_whole(self, whole: dict[str, conversations.Turn]) -> None:
        """Gives a whole partition's memory back once nobody asks any more."""
        await trio.sleep(WHOLE_KEPT_MS / 1000.0)
        if not self._asking and self._whole is whole:
            self._whole = None

    async def _read_on(self) -> bool:
        """Reads what came since; returns whether the store still had it."""
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
        self._keep(found)
        return True

    async def _read_whole(self, turn_id: str) -> None:
        evicted_before = self._cache.evicted
        found = await self._store.newest(
            TOPIC, self._part, timeout_ms=READ_TIMEOUT_MS
        )
        self._evicted_before = evicted_before
        self._whole = {}
        self._keep(found)
        # Who asked may have left by now, and comes back for the same chain.
        turns, _ = conversations.follow(turn_id, self._whole.get)
        for turn in turns:
            self._cache.keep(turn)

    def _keep(self, found: keyed_store.Records) -> None:
        turns = [
            turn
            for record in found.records
            if (turn := decode(record)) is not None
        ]
        for turn in turns:
            if self._cache.get(turn.turn_id) is None:
                self._cache.keep(turn)
        if self._whole is not None:
            self._whole.update((turn.turn_id, turn) for turn in turns)
        self._next_offset = found.next_offset


def decode(record: keyed_store.KeyedRecord) -> conversations.Turn | None:
    """Returns a record's turn; None if it was dropped or cannot be read."""
    if record.value is None:
        return None
    try:
        return codec.from_msgpack(record.value, conversations.Turn)
    except errors.CodecError as error:
        _log.warning("turn_unreadable", turn_id=record.key, reason=str(error))
        return None
