"""Carries beats between gateways as datagrams.

Sending and receiving many small datagrams is most of what a gateway does
while it serves nobody, so both go past the loop's own sockets: a beat is sent
to all peers in one step, and what has arrived is received together.
"""

import socket

import trio

from quetzalmill import codec
from quetzalmill import errors
from quetzalmill import gateway_state
from quetzalmill import http_message
from quetzalmill import logs
from quetzalmill import peers as peers_module

GATHER_MS = 25.0
"""How long beats gather before they are received together; short against the
time between two beats."""

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
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Sends and receives until cancelled."""
        with self._socket:
            self._socket.bind(http_message.split_address(self._address))
            task_status.started()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive)
                nursery.start_soon(self._send)

    def say_now(self) -> None:
        """Sends a beat at once, such as when the gateway leaves."""
        data = codec.to_msgpack(self._state.beat())
        for address in self._state.peers.addresses():
            try:
                self._socket.sendto(data, http_message.split_address(address))
            except OSError as error:
                # The next beat says all that this one said.
                _log.info("beat_not_sent", peer=address, reason=str(error))

    async def _send(self) -> None:
        while True:
            self._state.tick()
            self.say_now()
            await trio.sleep(self._state.peers.beat_ms() / 1000.0)

    async def _receive(self) -> None:
        while True:
            await trio.lowlevel.wait_readable(self._socket)
            self._drain()
            await trio.sleep(GATHER_MS / 1000.0)

    def _drain(self) -> None:
        """Takes over all beats that have arrived."""
        while True:
            try:
                data = self._socket.recv(_MAX_DATAGRAM_BYTES)
                self._state.hear(codec.from_msgpack(data, peers_module.Beat))
            except BlockingIOError:
                return
            except OSError as error:
                _log.info("beat_not_received", reason=str(error))
                return
            except errors.CodecError as error:
                _log.warning("beat_unreadable", reason=str(error))
