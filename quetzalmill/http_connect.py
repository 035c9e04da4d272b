"""Makes connections that end when the other side has fallen silent."""

import socket

import trio

from quetzalmill import http_message

UNACKNOWLEDGED_MS = 1_000
"""How long bytes may stay unacknowledged before a connection counts as dead:
the network's first three retransmissions, so single lost packets do no harm."""

PROBE_AFTER_S = 1
"""How long a connection is quiet before the network probes it, and the pause
between two probes; whole seconds are the shortest that the system takes."""

PROBES = 2
"""Probes without an answer after which a connection counts as dead."""


async def connect(address: str) -> trio.SocketStream:
    """Connects to an IP address and port.

    Raises:
        OSError: It cannot be reached.
        ValueError: It is not such an address.
    """
    host, port = http_message.split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    connecting = trio.socket.socket(family, socket.SOCK_STREAM)
    try:
        detect_silence(connecting)
        await connecting.connect((host, port))
        return trio.SocketStream(connecting)
    except BaseException:
        connecting.close()
        raise


def detect_silence(connecting: trio.socket.SocketType) -> None:
    """Has a connection end that has fallen silent for good.

    A new connection may work at the same time, so a request must not wait on
    a silent one until its deadline.
    """
    connecting.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS
    )
    connecting.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, PROBE_AFTER_S),
        (socket.TCP_KEEPINTVL, PROBE_AFTER_S),
        (socket.TCP_KEEPCNT, PROBES),
    ):
        connecting.setsockopt(socket.IPPROTO_TCP, option, value)
