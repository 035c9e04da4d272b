"""Reads the configuration stream of the log and appends snapshots.

Entries tail the log. Before records expire, the entries append snapshots that
name the offset they cover; a late or duplicate snapshot is harmless.
"""

from collections.abc import Callable
import random

import trio

from quetzalmill import announcement
from quetzalmill import clock as clock_module
from quetzalmill import codec
from quetzalmill import config_store
from quetzalmill import configuration
from quetzalmill import errors
from quetzalmill import log_port
from quetzalmill import logs

POLL_MS = 500.0
"""Maximum time that a read waits for the next record."""

PAGE_RECORDS = 500
"""Maximum number of records in one read."""

SNAPSHOT_RECORDS = 200
"""Records after which a new snapshot is due."""

SNAPSHOT_MS = 600_000.0
"""Time after which a new snapshot is due, even without new records."""

_RETRY_MS = 200.0
_READS_PER_LEASE = 4
_SNAPSHOT_CHECK_MS = 5_000.0
_FAR_OFFSET = 1 << 60

_log = logs.get("config_tail")


class ConfigTail:
    """One entry's reading position in the configuration stream."""

    def __init__(
        self,
        store: config_store.ConfigStore,
        port: log_port.LogPort,
        *,
        on_end_read: Callable[[float], None],
        on_failure: Callable[[], None],
        lease_ms: float,
        clock: clock_module.Clock,
    ) -> None:
        self._store = store
        self._port = port
        self._on_end_read = on_end_read
        self._on_failure = on_failure
        # The result of a read may already be as old as the read took, and it
        # is used for as long again until the next read ends.
        self._poll_ms = min(POLL_MS, lease_ms / _READS_PER_LEASE)
        self._clock = clock
        self._random = random.Random()
        self.log_answers = False

    async def run(self) -> None:
        """Follows the stream until cancelled."""
        await self._try_restore()
        while True:
            try:
                await self.read_once(self._poll_ms)
                self.log_answers = True
            except errors.RetentionError:
                await self._try_restore()
                await trio.sleep(_RETRY_MS / 1000.0)
            except errors.ExternalSystemError as error:
                if self.log_answers:
                    _log.warning("log_unreachable", reason=str(error))
                self.log_answers = False
                self._on_failure()
                await trio.sleep(_RETRY_MS / 1000.0)

    async def read_once(self, wait_ms: float) -> bool:
        """Reads one page and returns whether it reached the log's end.

        Raises:
            errors.ExternalSystemError: The log could not be read.
        """
        asked_ms = self._clock.now_ms()
        page = await self._port.read(
            announcement.CONFIG_STREAM,
            self._store.config.applied_offset + 1,
            limit=PAGE_RECORDS,
            wait_ms=wait_ms,
        )
        for record in page.records:
            decoded = announcement.decode_record(record.data)
            self._store.apply(record.offset, decoded)
        at_end = self._store.config.applied_offset + 1 >= page.end
        if at_end:
            self._on_end_read(asked_ms)
        return at_end

    async def keep_snapshots(self) -> None:
        """Appends snapshots when they are due, until cancelled."""
        appended_ms = self._clock.now_ms()
        while True:
            jitter = self._random.uniform(0.5, 1.5)
            await trio.sleep(_SNAPSHOT_CHECK_MS * jitter / 1000.0)
            age_ms = self._clock.now_ms() - appended_ms
            try:
                newest = await self._newest_snapshot()
                covered = newest.offset if newest else 0
                missing = self._store.config.applied_offset - covered
                if missing < SNAPSHOT_RECORDS and age_ms < SNAPSHOT_MS:
                    continue
                await self._append_snapshot()
                appended_ms = self._clock.now_ms()
            except errors.ExternalSystemError as error:
                _log.debug("snapshot_delayed", reason=str(error))

    async def _append_snapshot(self) -> None:
        snapshot = self._store.config.snapshot()
        await self._port.append(
            announcement.SNAPSHOT_STREAM, [codec.to_plain(snapshot)]
        )
        _log.info("snapshot_appended", offset=snapshot.offset)

    async def _try_restore(self) -> None:
        try:
            newest = await self._newest_snapshot()
        except errors.ExternalSystemError as error:
            _log.warning("snapshot_unreadable", reason=str(error))
            return
        if newest is not None:
            self._store.catch_up(newest, [])

    async def _newest_snapshot(self) -> configuration.Snapshot | None:
        stream = announcement.SNAPSHOT_STREAM
        end = (
            await self._port.read(stream, _FAR_OFFSET, limit=1, wait_ms=0)
        ).end
        if end <= 1:
            return None
        page = await self._port.read(stream, end - 1, limit=1, wait_ms=0)
        if not page.records:
            return None
        try:
            return codec.from_plain(
                page.records[-1].data, configuration.Snapshot
            )
        except errors.CodecError:
            return None
