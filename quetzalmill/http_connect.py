"""Opens TCP connections that detect an unresponsive peer; resets them."""

import socket
import struct

import trio

from quetzalmill import http_message

TCP_USER_TIMEOUT_MS = 1_000
"""How long sent bytes may stay unacknowledged before the connection fails.

Covers TCP's first three retransmissions, so single lost packets are harmless.
"""

KEEPALIVE_INTERVAL_S = 1
"""Idle time before the first keepalive probe, and the interval between probes.

One second is the shortest value that the operating system accepts.
"""

KEEPALIVE_PROBES = 2
"""Unanswered probes after which the connection fails."""

_NO_LINGER = struct.pack("ii", 1, 0)


async def connect(address: str) -> trio.SocketStream:
    """Connects to an IP address and port.

    Raises:
        OSError: The address cannot be reached.
        ValueError: ``address`` is not an IP address and port.
    """
    host, port = http_message.split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = trio.socket.socket(family, socket.SOCK_STREAM)
    try:
        enable_dead_peer_detection(sock)
        await sock.connect((host, port))
        return trio.SocketStream(sock)
    except BaseException:
        sock.close()
        raise


def enable_dead_peer_detection(sock: trio.socket.SocketType) -> None:
    """Sets the socket options that fail a connection to an unresponsive peer.

    A new connection may work while an old one is dead, so a request must not
    wait on the dead one until its deadline.
    """
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def reset_on_close(stream: trio.SocketStream) -> None:
    """Makes closing a connection reset it.

    Without a length or chunks, as in HTTP/1.0, only a reset tells the peer that
    a response is incomplete.
    """
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
