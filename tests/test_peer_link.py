"""Tests of the datagrams of gateways that come from a faulty sender."""

import socket

import attrs
import pytest
import trio

from quetzalmill import clock as clock_module
from quetzalmill import codec
from quetzalmill import datagrams
from quetzalmill import gateway_state
from quetzalmill import http_message
from quetzalmill import peer_link
from tests import harness


def _state(address: str) -> gateway_state.GatewayState:
    return gateway_state.GatewayState(
        host="h",
        instance="i",
        address=address,
        failure_domain="a",
        parts=12,
        clock=clock_module.SystemClock(),
    )


class _EndlessSocket(socket.socket):
    """A socket on which another datagram is always there."""

    def __init__(self) -> None:
        super().__init__(socket.AF_INET, socket.SOCK_DGRAM)

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Returns a datagram that is not a heartbeat."""
        del size, flags
        return b"x"


class TestFaultySender:
    """Datagrams without end, and addresses to which none can be sent."""

    def test_endless_datagrams_do_not_block_other_tasks(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Heartbeats go out meanwhile."""
        sent: list[float] = []
        monkeypatch.setattr(datagrams, "open_socket", _EndlessSocket)
        address = harness.free_address()
        link = peer_link.PeerLink(_state(address), address)
        monkeypatch.setattr(
            link, "send_now", lambda: sent.append(trio.current_time())
        )

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                await nursery.start(link.run)
                with trio.fail_after(5.0):
                    while len(sent) < 3:
                        await trio.sleep(0.01)
                nursery.cancel_scope.cancel()

        trio.run(run)

    @pytest.mark.parametrize(
        "known",
        [
            "10.0.0.1:70000",
            "nowhere",
            "a:b",
            "\0:80",
            "::1:80",
            "a" * 300 + ":1",
        ],
    )
    def test_unusable_address_in_a_heartbeat_does_not_end_the_gateway(
        self, known: str
    ) -> None:
        address = harness.free_address()
        sender = _state("127.0.0.1:9").heartbeat()
        datagram = codec.to_msgpack(attrs.evolve(sender, address=known))

        async def run() -> None:
            state = _state(address)
            async with trio.open_nursery() as nursery:
                await nursery.start(peer_link.PeerLink(state, address).run)
                with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
                    sock.sendto(datagram, http_message.split_address(address))
                with trio.fail_after(5.0):
                    while not state.peers.direct_addresses():
                        await trio.sleep(0.01)
                    await trio.sleep(0.5)
                nursery.cancel_scope.cancel()

        trio.run(run)

    @pytest.mark.parametrize("address", ["peer.example:80", "localhost:80"])
    def test_name_of_a_peer_is_not_looked_up(self, address: str) -> None:
        """A socket's look-up would block every task until it is answered."""
        with pytest.raises(ValueError, match="not permitted|Expected 4 octets"):
            datagrams.split_address(address)
