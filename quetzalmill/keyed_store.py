"""The gateway's interface to the platform's store.

A topic is divided into partitions and holds the newest record of each key. The
platform's client implements the interface; tests use a store in memory.
"""

from collections.abc import AsyncIterator
from typing import Protocol

import attrs

from quetzalmill import errors

MAX_KEY_BYTES = 255
"""The longest key; records encode its length in one byte."""

MAX_NAME_BYTES = MAX_KEY_BYTES // 2
"""The longest name of a team or a program; the key of a budget consists of
both names and a separator."""


class FencedError(errors.NotExecutedError):
    """Another writer has claimed the partition.

    Attributes:
        epoch: The highest epoch that the store has seen; 0 if unknown.
    """

    def __init__(self, message: str, epoch: int = 0) -> None:
        super().__init__(message)
        self.epoch = epoch


@attrs.frozen
class KeyedRecord:
    """The newest value of a key; None once the key was deleted.

    Attributes:
        key: The key.
        value: The value, or None.
        offset: The record's offset; None if it is not known, as in a record
            to append.
    """

    key: str
    value: bytes | None
    offset: int | None = attrs.field(default=None, eq=False)


@attrs.frozen
class Fence:
    """The writer of a partition; appends with lower epochs are refused."""

    producer: str
    epoch: int


@attrs.frozen(kw_only=True)
class Records:
    """The result of a read.

    Attributes:
        records: The records, by offset, or by key in a snapshot.
        next_offset: The offset to continue from.
    """

    records: list[KeyedRecord]
    next_offset: int


class KeyedStore(Protocol):
    """Reads and writes topics of keyed records.

    Every method raises ``errors.NotExecutedError`` if the call certainly had no
    effect and ``errors.OutcomeUnknownError`` if a write may have been applied
    or may still be.
    """

    async def append(
        self,
        topic: str,
        part: int,
        records: list[KeyedRecord],
        *,
        timeout_ms: float,
    ) -> None:
        """Appends records of any writer, all or none."""

    async def claim(
        self, topic: str, part: int, fence: Fence, *, timeout_ms: float
    ) -> None:
        """Fences off writers with lower epochs.

        Raises:
            FencedError: A higher epoch was seen already.
        """

    async def append_fenced(
        self,
        topic: str,
        part: int,
        records: list[KeyedRecord],
        fence: Fence,
        sequence: int,
        *,
        timeout_ms: float,
    ) -> None:
        """Appends records as the writer that claimed the partition.

        Sequence numbers start at 1 in each term and grow by one. A retry with
        the same ``sequence`` has no further effect.

        Raises:
            FencedError: Another writer has claimed the partition since.
        """

    async def newest(
        self, topic: str, part: int, *, timeout_ms: float
    ) -> Records:
        """Returns the newest record of each key."""

    def newest_pages(
        self, topic: str, part: int, *, timeout_ms: float
    ) -> AsyncIterator[list[KeyedRecord]]:
        """Yields the result of ``newest`` in pages, for large partitions."""

    async def changes(
        self,
        topic: str,
        part: int,
        from_offset: int,
        *,
        wait_ms: float,
        timeout_ms: float,
    ) -> Records:
        """Returns records from an offset on, waiting for the first.

        Raises:
            errors.RetentionError: They were deleted; read ``newest`` again.
        """
