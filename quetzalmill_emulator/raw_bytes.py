"""Sends bytes past the framing of a response, as only a faulty server does.

The server of the product always frames its responses, so this reaches into its
connection.
"""

from quetzalmill import http_server


def connection_of(exchange: http_server.Exchange) -> object:
    """Returns the connection of an exchange, the same for all exchanges."""
    return exchange._connection


async def send(exchange: http_server.Exchange, data: bytes) -> None:
    """Sends bytes as they are.

    Raises:
        errors.ConnectionLostError: The client has disconnected.
    """
    await exchange._connection.write(data)
