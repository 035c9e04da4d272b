"""Polls the platform's host list for one entry."""

import trio

from quetzalmill import clock as clock_module
from quetzalmill import errors
from quetzalmill import fleet_view
from quetzalmill import host_list
from quetzalmill import logs

POLL_MS = 1_000.0
"""Time between two reads of the host list."""

_log = logs.get("host_watch")


class HostWatch:
    """Applies the host list to the entry's view of the fleet."""

    def __init__(
        self,
        port: host_list.HostListPort,
        *,
        fleet: fleet_view.FleetView,
        clock: clock_module.Clock,
    ) -> None:
        self._port = port
        self._fleet = fleet
        self._clock = clock

    async def run(self) -> None:
        """Polls the list until cancelled."""
        while True:
            await self.read_once()
            await trio.sleep(POLL_MS / 1000.0)

    async def read_once(self) -> None:
        """Reads the list once; a failed read changes nothing."""
        try:
            listed = await self._port.read()
        except errors.NotExecutedError as error:
            _log.warning("host_list_unreadable", reason=str(error))
            return
        leaving = host_list.HostState.LEAVING
        self._fleet.record_host_list(
            {each.host: each.state is leaving for each in listed},
            self._clock.now_ms(),
        )
