"""Listens for the connections of an HTTP server."""

import errno
import socket

import trio

from quetzalmill import http_message

BACKLOG = 1024
"""The most connections that wait to be accepted."""

_ACCEPT_RETRY_S = 0.1
_ACCEPT_RETRY_ERRNOS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS}
)


async def listen(address: str) -> trio.socket.SocketType:
    """Returns a socket that listens on an address.

    Raises:
        OSError: The address cannot be used.
        ValueError: ``address`` is not an IP address and port.
    """
    host, port = http_message.split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = trio.socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        await listener.bind((host, port))
        listener.listen(BACKLOG)
    except BaseException:
        listener.close()
        raise
    return listener


async def accept(
    listener: trio.socket.SocketType,
) -> trio.socket.SocketType:
    """Returns the next connection; waits while no descriptors are free.

    Raises:
        OSError: The listener is closed.
    """
    while True:
        try:
            accepted, _ = await listener.accept()
        except OSError as error:
            # The caller disconnected before it was accepted, or the process is
            # temporarily out of descriptors; neither stops the server.
            if error.errno in _ACCEPT_RETRY_ERRNOS:
                await trio.sleep(_ACCEPT_RETRY_S)
            elif error.errno == errno.EBADF:
                raise
        else:
            return accepted
