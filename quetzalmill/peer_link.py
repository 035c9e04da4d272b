"""Carries beats between gateways as datagrams, and serves control calls."""

import socket

import trio

from quetzalmill import codec
from quetzalmill import errors
from quetzalmill import gateway_state
from quetzalmill import http_message
from quetzalmill import logs
from quetzalmill import peers as peers_module

_MAX_DATAGRAM_BYTES = 60_000

_log = logs.get("peer_link")


class PeerLink:
    """Sends this gateway's beats and takes over those of its peers.

    Args:
        state: What the gateway believes.
        address: IP address and port to listen on.
    """

    def __init__(self, state: gateway_state.GatewayState, address: str) -> None:
        self._state = state
        self._address = address
        self._socket = trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Sends and receives until cancelled."""
        with self._socket:
            await self._socket.bind(http_message.split_address(self._address))
            task_status.started()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive)
                nursery.start_soon(self._send)

    async def say_now(self) -> None:
        """Sends a beat at once, such as when the gateway leaves."""
        data = codec.to_msgpack(self._state.beat())
        for address in self._state.peers.addresses():
            try:
                await self._socket.sendto(
                    data, http_message.split_address(address)
                )
            except OSError as error:
                _log.info("beat_not_sent", peer=address, reason=str(error))

    async def _send(self) -> None:
        while True:
            self._state.tick()
            await self.say_now()
            await trio.sleep(peers_module.BEAT_MS / 1000.0)

    async def _receive(self) -> None:
        while True:
            try:
                data, _ = await self._socket.recvfrom(_MAX_DATAGRAM_BYTES)
                beat = codec.from_msgpack(data, peers_module.Beat)
            except OSError as error:
                _log.info("beat_not_received", reason=str(error))
                await trio.sleep(peers_module.BEAT_MS / 1000.0)
            except errors.CodecError as error:
                _log.warning("beat_unreadable", reason=str(error))
            else:
                self._state.hear(beat)
