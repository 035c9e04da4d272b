"""A process's copy of the configuration, synchronized with other processes.

It keeps the last records, so that a process that lags slightly gets only the
missing records, and one that lags further gets a snapshot. It performs no I/O.
"""

import collections
from collections.abc import Callable

from quetzalmill import configuration
from quetzalmill import messages
from quetzalmill import objects

MAX_KEPT_RECORDS = 512
"""Newest records that are kept for lagging processes."""


class ConfigStore:
    """The configuration with its newest records."""

    def __init__(self) -> None:
        self.config = configuration.Configuration()
        self._records: collections.deque[messages.NumberedRecord] = (
            collections.deque(maxlen=MAX_KEPT_RECORDS)
        )
        self._listeners: list[Callable[[], None]] = []

    def on_change(self, listener: Callable[[], None]) -> None:
        """Registers a callback for every change of the configuration."""
        self._listeners.append(listener)

    def apply(self, offset: int, record: objects.ConfigRecord | None) -> None:
        """Folds the record at ``offset``; None skips a malformed one."""
        if offset <= self.config.applied_offset:
            return
        if record is None:
            self.config.skip(offset)
            self._records.clear()
        else:
            self.config.apply(offset, record)
            self._records.append(
                messages.NumberedRecord(offset=offset, record=record)
            )
        self._changed()

    def catch_up(
        self,
        snapshot: configuration.Snapshot | None,
        records: list[messages.NumberedRecord],
    ) -> None:
        """Applies the snapshot and the records that another process sent."""
        if snapshot is not None and self.config.restore(snapshot):
            self._records.clear()
            self._changed()
        for numbered in records:
            if numbered.offset == self.config.applied_offset + 1:
                self.apply(numbered.offset, numbered.record)

    def since(
        self, offset: int
    ) -> tuple[configuration.Snapshot | None, list[messages.NumberedRecord]]:
        """Returns the snapshot or records missing at ``offset``."""
        if offset >= self.config.applied_offset:
            return None, []
        missing = [each for each in self._records if each.offset > offset]
        complete = bool(missing) and missing[0].offset == offset + 1
        if complete and len(missing) == self.config.applied_offset - offset:
            return None, missing
        return self.config.snapshot(), []

    def _changed(self) -> None:
        for listener in self._listeners:
            listener()
