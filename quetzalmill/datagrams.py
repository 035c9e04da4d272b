"""The sockets on which gateways exchange datagrams."""

import functools
import ipaddress
import socket

from quetzalmill import http_message

_ADDRESS_CACHE_SIZE = 4_096


def open_socket() -> socket.socket:
    """Returns a non-blocking UDP socket."""
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setblocking(False)
    return opened


def bind(opened: socket.socket, address: str) -> None:
    """Binds a socket to an IP address and port."""
    opened.bind(http_message.split_address(address))


@functools.lru_cache(maxsize=_ADDRESS_CACHE_SIZE)
def split_address(address: str) -> tuple[str, int]:
    """Splits the address of a peer into host and port.

    A socket would look up the name of a host, and block every task meanwhile.

    Raises:
        ValueError: The text is not an IPv4 address and port.
    """
    host, port = http_message.split_address(address)
    return str(ipaddress.IPv4Address(host)), port
