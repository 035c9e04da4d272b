"""The sockets on which gateways exchange datagrams."""

import socket

from quetzalmill import http_message


def open_socket() -> socket.socket:
    """Returns a non-blocking UDP socket."""
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setblocking(False)
    return opened


def bind(opened: socket.socket, address: str) -> None:
    """Binds a socket to an IP address and port."""
    opened.bind(http_message.split_address(address))
