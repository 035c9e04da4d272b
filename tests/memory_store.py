"""A store of keyed records in memory, with faults, for tests of gateways."""

from collections.abc import AsyncIterator

import attrs
import trio

from quetzalmill import errors
from quetzalmill import keyed_store


@attrs.define
class _Part:
    log: list[keyed_store.KeyedRecord] = attrs.field(factory=list)
    epoch: int = 0
    sequence: int | None = None


class MemoryStore:
    """Implements the interface in memory and injects faults.

    Attributes:
        down: Whether every call fails without effect.
        lost_answers: How many of the next writes are applied but not answered.
        writes: How many writes were applied.
    """

    def __init__(self) -> None:
        self._parts: dict[tuple[str, int], _Part] = {}
        self.down = False
        self.lost_answers = 0
        self.writes = 0

    def value(self, topic: str, part: int, key: str) -> bytes | None:
        """Returns the newest value of a key."""
        newest = None
        for record in self._part(topic, part).log:
            if record.key == key:
                newest = record.value
        return newest

    async def append(
        self,
        topic: str,
        part: int,
        records: list[keyed_store.KeyedRecord],
        *,
        timeout_ms: float,
    ) -> None:
        """Appends records of any writer."""
        del timeout_ms
        await self._enter()
        self._part(topic, part).log += records
        self._leave_write()

    async def claim(
        self,
        topic: str,
        part: int,
        fence: keyed_store.Fence,
        *,
        timeout_ms: float,
    ) -> None:
        """Fences off writers with lower epochs."""
        del timeout_ms
        await self._enter()
        held = self._part(topic, part)
        if fence.epoch < held.epoch:
            raise keyed_store.FencedError("fenced", held.epoch)
        held.epoch = fence.epoch
        held.sequence = 0
        self._leave_write()

    async def append_fenced(
        self,
        topic: str,
        part: int,
        records: list[keyed_store.KeyedRecord],
        fence: keyed_store.Fence,
        sequence: int,
        *,
        timeout_ms: float,
    ) -> None:
        """Appends records of the writer that claimed the partition."""
        del timeout_ms
        await self._enter()
        held = self._part(topic, part)
        if fence.epoch < held.epoch:
            raise keyed_store.FencedError("fenced", held.epoch)
        if held.sequence is not None and sequence <= held.sequence:
            return
        held.sequence = sequence
        held.log += records
        self._leave_write()

    async def newest(
        self, topic: str, part: int, *, timeout_ms: float
    ) -> keyed_store.Records:
        """Returns the newest record of each key."""
        del timeout_ms
        await self._enter()
        log = _with_offsets(self._part(topic, part).log)
        newest = {record.key: record for record in log}
        return keyed_store.Records(
            records=[
                record for record in newest.values() if record.value is not None
            ],
            next_offset=len(log),
        )

    async def newest_pages(
        self, topic: str, part: int, *, timeout_ms: float
    ) -> AsyncIterator[list[keyed_store.KeyedRecord]]:
        """Yields the newest record of each key, each on its own page."""
        found = await self.newest(topic, part, timeout_ms=timeout_ms)
        for record in found.records:
            yield [record]

    async def changes(
        self,
        topic: str,
        part: int,
        from_offset: int,
        *,
        wait_ms: float,
        timeout_ms: float,
    ) -> keyed_store.Records:
        """Returns records from an offset on."""
        del wait_ms, timeout_ms
        await self._enter()
        log = _with_offsets(self._part(topic, part).log)
        return keyed_store.Records(
            records=log[from_offset:], next_offset=len(log)
        )

    def _part(self, topic: str, part: int) -> _Part:
        return self._parts.setdefault((topic, part), _Part())

    async def _enter(self) -> None:
        await trio.lowlevel.checkpoint()
        if self.down:
            raise errors.NotExecutedError("the store is down")

    def _leave_write(self) -> None:
        self.writes += 1
        if self.lost_answers:
            self.lost_answers -= 1
            raise errors.OutcomeUnknownError("the answer was lost")


def _with_offsets(
    log: list[keyed_store.KeyedRecord],
) -> list[keyed_store.KeyedRecord]:
    return [
        attrs.evolve(record, offset=offset) for offset, record in enumerate(log)
    ]
