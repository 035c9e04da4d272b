"""The sockets on which gateways exchange datagrams."""

import socket

from quetzalmill import http_message


def open_socket() -> socket.socket:
    """Returns a socket that never blocks."""
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setblocking(False)
    return opened


def bind(opened: socket.socket, address: str) -> None:
    """Has a socket receive what comes to an IP address and port."""
    opened.bind(http_message.split_address(address))
