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


def glue(exchange: http_server.Exchange, data: bytes) -> None:
    """Sends bytes in one write with the next ones on the connection."""
    connection = exchange._connection
    write = connection.write

    async def write_glued(rest: bytes) -> None:
        connection.write = write  # type: ignore[method-assign]
        await write(data + rest)

    connection.write = write_glued  # type: ignore[method-assign,assignment]
