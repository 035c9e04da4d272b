"""Gateways find each other through the platform's store.

Seeds may name machines that are gone, so each gateway also writes its address
to a topic of the store and reads there now and then who else did.
"""

from collections.abc import Callable

import trio

from quetzalmill import errors
from quetzalmill import keyed_store
from quetzalmill import logs

TOPIC = "members"
"""The topic that holds a record for each gateway, by its address."""

READ_EVERY_MS = 5_000.0
"""How often the topic is read. Beats spread addresses too, so this only has
to join groups of gateways that do not know of each other."""

TIMEOUT_MS = 600.0
"""How long the store may take for a call."""

_RETRY_MS = 500.0

_log = logs.get("members")


class Members:
    """Announces one gateway and learns of the others.

    Args:
        store: The platform's store.
        host: The gateway's host.
        address: The gateway's address for its peers.
        learn: Is told the address of each gateway that is found.
    """

    def __init__(
        self,
        store: keyed_store.KeyedStore,
        host: str,
        address: str,
        learn: Callable[[str], None],
    ) -> None:
        self._store = store
        self._host = host
        self._address = address
        self._learn = learn

    async def run(self) -> None:
        """Announces the gateway, then reads for ever."""
        announced = False
        while True:
            try:
                if not announced:
                    await self._write(self._host.encode())
                    announced = True
                found = await self._store.newest(
                    TOPIC, 0, timeout_ms=TIMEOUT_MS
                )
            except errors.PortError as error:
                _log.info("members_not_read", reason=str(error))
                await trio.sleep(_RETRY_MS / 1000.0)
                continue
            for record in found.records:
                self._learn(record.key)
            await trio.sleep(READ_EVERY_MS / 1000.0)

    async def leave(self) -> None:
        """Removes the announcement, if the store can be reached."""
        try:
            await self._write(None)
        except errors.PortError as error:
            _log.info("member_not_removed", reason=str(error))

    async def _write(self, value: bytes | None) -> None:
        record = keyed_store.KeyedRecord(self._address, value)
        await self._store.append(TOPIC, 0, [record], timeout_ms=TIMEOUT_MS)
