"""The port to the platform's store, in the gateway's own terms.

A topic holds the newest record of each key, in partitions. The platform's
client stands behind it; tests use a store in memory.
"""

from collections.abc import AsyncIterator
from typing import Protocol

import attrs

from quetzalmill import errors

MAX_KEY_BYTES = 255
"""The longest key; records hold its length in one byte."""

MAX_NAME_BYTES = MAX_KEY_BYTES // 2
"""The longest name of a team or a program, of which the key of a budget holds
both with a character between them."""


class FencedError(errors.NotDoneError):
    """Another writer has taken the partition over.

    Attributes:
        epoch: The highest epoch that the store has seen, if it says so.
    """

    def __init__(self, message: str, epoch: int = 0) -> None:
        super().__init__(message)
        self.epoch = epoch


@attrs.frozen
class KeyedRecord:
    """The newest value of a key; None once the key was dropped."""

    key: str
    value: bytes | None


@attrs.frozen
class Fence:
    """The writer of a partition; appends of lower epochs are refused."""

    producer: str
    epoch: int


@attrs.frozen(kw_only=True)
class Records:
    """Records that were read.

    Attributes:
        records: In the order of their offsets, or by key in a snapshot.
        next_offset: Where to read on.
    """

    records: list[KeyedRecord]
    next_offset: int


class KeyedStore(Protocol):
    """Reads and writes topics of keyed records.

    Every method raises ``errors.NotDoneError`` when surely nothing was done
    and ``errors.OutcomeUnknownError`` when a write may have been done or may
    yet be.
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
        """Shuts out writers of lower epochs.

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

        Numbers of one term begin at 1 and grow by one. A repeat with the
        same ``sequence`` has no further effect.

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
        """Yields what ``newest`` returns in pages, for what is too large."""

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
