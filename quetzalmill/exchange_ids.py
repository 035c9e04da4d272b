"""Ties the answers between the project's own processes to their requests.

On a kept connection a faulty peer may send an earlier answer once more where
the next one is due. So each request carries an id that its answer repeats. An
answer without one comes from a process of an earlier version and is believed.
"""

from collections.abc import Mapping
import secrets

import attrs

from quetzalmill import errors
from quetzalmill import http_message
from quetzalmill import http_server

HEADER = "exchange-id"
"""The header that carries the id, in requests and in answers."""

_ID_BYTES = 8


def named(request: http_message.Request) -> http_message.Request:
    """Returns a request with an id of its own."""
    headers = {**request.headers, HEADER: secrets.token_hex(_ID_BYTES)}
    return attrs.evolve(request, headers=headers)


def require_own(
    request: http_message.Request, headers: Mapping[str, str]
) -> None:
    """Checks that a response does not answer another request.

    Raises:
        errors.ConnectionLostError: It does; the request may have run.
    """
    own = request.headers[HEADER]
    if headers.get(HEADER, own) != own:
        raise errors.ConnectionLostError("the answer is to another request")


def repeat(
    request: http_message.Request, exchange: http_server.Exchange
) -> None:
    """Makes the response to a request repeat its id, if it has one."""
    exchange_id = request.headers.get(HEADER)
    if exchange_id is not None:
        exchange.add_header(HEADER, exchange_id)
