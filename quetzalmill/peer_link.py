"""Sends and receives heartbeats between gateways as datagrams.

Sending and receiving many small datagrams is most of the work of an idle
gateway, so both bypass the event loop's sockets: a heartbeat is sent without
awaiting, and all datagrams that have arrived are received together.
"""

import random

import trio

from quetzalmill import beat_relays
from quetzalmill import codec
from quetzalmill import datagrams
from quetzalmill import errors
from quetzalmill import gateway_state
from quetzalmill import logs

RECEIVE_INTERVAL_MS = 100.0
"""The interval between receives, half of the heartbeat interval. Heartbeats are
received together, as waking up for each costs more than reading it."""

_MAX_DATAGRAM_BYTES = 60_000
_MAX_DATAGRAMS_AT_ONCE = 256
"""Datagrams that are read before other tasks run; a fleet sends fewer in an
interval."""

_log = logs.get("peer_link")


class PeerLink:
    """Sends this gateway's heartbeats and applies those of its peers.

    Args:
        state: The gateway's local view.
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

    def send_now(self) -> None:
        """Sends a heartbeat at once, such as at a shutdown."""
        heartbeat = self._state.heartbeat()
        self._send(self._relays.send(heartbeat, codec.to_msgpack(heartbeat)))

    async def _send_and_receive(self) -> None:
        send_at_s = trio.current_time()
        while True:
            has_more = self._receive()
            now_s = trio.current_time()
            if now_s >= send_at_s:
                self._state.tick()
                self.send_now()
                # After a pause, missed heartbeats are not sent late.
                beat_s = self._state.peers.heartbeat_interval_ms() / 1000.0
                send_at_s = max(send_at_s + beat_s, now_s)
            self._send(self._relays.relay(self._state.clock.now_ms()))
            pause_ms = 0.0 if has_more else RECEIVE_INTERVAL_MS
            await trio.sleep(pause_ms / 1000.0)

    def _receive(self) -> bool:
        """Applies heartbeats that have arrived; returns whether some remain."""
        for _ in range(_MAX_DATAGRAMS_AT_ONCE):
            try:
                data = self._socket.recv(_MAX_DATAGRAM_BYTES)
                received = self._relays.receive(data)
            except BlockingIOError:
                return False
            except OSError as error:
                _log.info("beat_not_received", reason=str(error))
                return False
            except errors.CodecError as error:
                _log.warning("beat_unreadable", reason=str(error))
            else:
                for heartbeat in received.heartbeats:
                    self._state.apply_report(heartbeat)
                self._send(received.forwarded)
        return True

    def _send(self, outgoing: list[beat_relays.Outgoing]) -> None:
        for each in outgoing:
            try:
                self._socket.sendto(
                    each.data, datagrams.split_address(each.address)
                )
            except (OSError, ValueError) as error:
                # The next heartbeat contains the same information.
                _log.info("beat_not_sent", peer=each.address, reason=str(error))
