"""Registers gateways in the platform's store, so that they find each other.

Seeds may name machines that no longer exist, so each gateway also writes its
address to a topic of the store and reads the others' addresses periodically.
"""

from collections.abc import Callable

import trio

from quetzalmill import errors
from quetzalmill import keyed_store
from quetzalmill import logs

TOPIC = "members"
"""The topic that holds a record for each gateway, by its address."""

READ_INTERVAL_MS = 5_000.0
"""Interval between reads of the topic. Heartbeats spread addresses too, so this
only has to connect groups of gateways that do not know each other."""

TIMEOUT_MS = 600.0
"""Timeout of a call to the store."""

_RETRY_MS = 500.0

_log = logs.get("members")


class Members:
    """Registers one gateway and reads the addresses of the others.

    Args:
        store: The platform's store.
        host: The gateway's host.
        address: The gateway's address for its peers.
        add_address: Called with the address of each gateway that is found.
    """

    def __init__(
        self,
        store: keyed_store.KeyedStore,
        host: str,
        address: str,
        add_address: Callable[[str], None],
    ) -> None:
        self._store = store
        self._host = host
        self._address = address
        self._add_address = add_address

    async def run(self) -> None:
        """Registers the gateway, then reads periodically, forever."""
        registered = False
        while True:
            try:
                if not registered:
                    await self._write(self._host.encode())
                    registered = True
                found = await self._store.newest(
                    TOPIC, 0, timeout_ms=TIMEOUT_MS
                )
            except errors.ExternalSystemError as error:
                _log.info("members_not_read", reason=str(error))
                await trio.sleep(_RETRY_MS / 1000.0)
                continue
            for record in found.records:
                self._add_address(record.key)
            await trio.sleep(READ_INTERVAL_MS / 1000.0)

    async def leave(self) -> None:
        """Removes the gateway's record, if the store can be reached."""
        try:
            await self._write(None)
        except errors.ExternalSystemError as error:
            _log.info("member_not_removed", reason=str(error))

    async def _write(self, value: bytes | None) -> None:
        record = keyed_store.KeyedRecord(self._address, value)
        await self._store.append(TOPIC, 0, [record], timeout_ms=TIMEOUT_MS)
