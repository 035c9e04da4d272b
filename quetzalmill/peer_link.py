"""Carries beats between gateways as datagrams.

Sending and receiving many small datagrams is most of what a gateway does
while it serves nobody, so both go past the loop's own sockets: a beat is sent
in one step, and what has arrived is received together.
"""

import random

import trio

from quetzalmill import beat_relays
from quetzalmill import codec
from quetzalmill import datagrams
from quetzalmill import errors
from quetzalmill import gateway_state
from quetzalmill import http_message
from quetzalmill import logs

GATHER_MS = 100.0
"""How long beats gather before they are received together; half of the time
between two beats, since waking for each costs more than reading it."""

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
        self._socket = datagrams.open_socket()
        self._relays = beat_relays.BeatRelays(state.peers, random.Random())

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Sends and receives until cancelled."""
        with self._socket:
            datagrams.bind(self._socket, self._address)
            task_status.started()
            await self._send_and_receive()

    def say_now(self) -> None:
        """Sends a beat at once, such as when the gateway leaves."""
        beat = self._state.beat()
        self._send(self._relays.send(beat, codec.to_msgpack(beat)))

    async def _send_and_receive(self) -> None:
        send_at_s = trio.current_time()
        while True:
            self._drain()
            now_s = trio.current_time()
            if now_s >= send_at_s:
                self._state.tick()
                self.say_now()
                # A host that stood still does not make up for missed beats.
                beat_s = self._state.peers.beat_ms() / 1000.0
                send_at_s = max(send_at_s + beat_s, now_s)
            self._send(self._relays.relay(self._state.clock.now_ms()))
            await trio.sleep(GATHER_MS / 1000.0)

    def _drain(self) -> None:
        """Takes over all beats that have arrived."""
        while True:
            try:
                data = self._socket.recv(_MAX_DATAGRAM_BYTES)
                received = self._relays.receive(data)
            except BlockingIOError:
                return
            except OSError as error:
                _log.info("beat_not_received", reason=str(error))
                return
            except errors.CodecError as error:
                _log.warning("beat_unreadable", reason=str(error))
            else:
                for beat in received.beats:
                    self._state.hear(beat)
                self._send(received.handed_on)

    def _send(self, outgoing: list[beat_relays.Outgoing]) -> None:
        for each in outgoing:
            try:
                self._socket.sendto(
                    each.data, http_message.split_address(each.address)
                )
            except OSError as error:
                # The next beat says all that this one said.
                _log.info("beat_not_sent", peer=each.address, reason=str(error))
