"""The HTTP messages and limits that the server and the client share."""

import urllib.parse

import attrs

from quetzalmill import errors

MAX_QUERY_FIELDS = 64
"""Query fields that one request may carry."""

HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that belong to one connection and are never passed on."""


@attrs.frozen(kw_only=True)
class Limits:
    """What one connection may take from a server.

    Attributes:
        max_header_bytes: The size of a request's head, or of a chunk's head.
        max_body_bytes: The size of a request's body.
        header_timeout_ms: The time from a head's first byte to its last.
        idle_timeout_ms: The time without progress, between requests, within a
            body, or while a peer does not read its answer.
        max_connections: Connections that are open at once.
    """

    max_header_bytes: int = 32_768
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 60_000.0
    max_connections: int = 4096


@attrs.frozen(kw_only=True)
class Request:
    """A whole HTTP request.

    Attributes:
        method: The method in capitals.
        path: The path as sent, with percent escapes.
        query: The decoded query; of a repeated field the last one counts.
        raw_query: The query as sent; empty to encode ``query``.
        headers: Values by lower-case name; repeated ones joined by commas.
        body: The whole body.
        host: The host that the request names; empty to name the address that
            it is sent to.
    """

    method: str
    path: str
    query: dict[str, str] = attrs.field(factory=dict)
    raw_query: str = ""
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    host: str = ""

    def target(self) -> str:
        """Returns the path and the encoded query."""
        query = self.raw_query or urllib.parse.urlencode(self.query)
        return f"{self.path}?{query}" if query else self.path


@attrs.frozen(kw_only=True)
class Response:
    """A whole HTTP response; header names are lower-case."""

    status: int
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""


def split_address(address: str) -> tuple[str, int]:
    """Splits ``127.0.0.1:80`` or ``[::1]:80`` into host and port.

    Raises:
        ValueError: The text is not such an address.
    """
    host, colon, port = address.rpartition(":")
    if not colon or not host:
        raise ValueError(f"{address!r} is not an address such as 10.0.0.1:80")
    return host.strip("[]"), int(port)


def join_headers(raw: list[tuple[bytes, bytes]]) -> dict[str, str]:
    """Returns raw headers as a dict, repeated ones joined by commas."""
    headers: dict[str, str] = {}
    for raw_name, raw_value in raw:
        name = raw_name.decode("latin-1").lower()
        value = raw_value.decode("latin-1")
        headers[name] = (
            f"{headers[name]}, {value}" if name in headers else value
        )
    return headers


def parse_target(target: bytes) -> tuple[str, str, dict[str, str]]:
    """Splits a request target into its path, its query and its fields.

    Raises:
        errors.BadMessageError: The target is not a path with a query.
    """
    try:
        path, query = _split_target(target.decode("ascii"))
        pairs = urllib.parse.parse_qsl(
            query,
            keep_blank_values=True,
            max_num_fields=MAX_QUERY_FIELDS,
        )
    except ValueError as error:
        raise errors.BadMessageError(f"bad request target: {error}") from error
    return path or "/", query, dict(pairs)


def _split_target(target: str) -> tuple[str, str]:
    if target.startswith("/"):
        path, _, query = target.partition("?")
        return path, query
    parts = urllib.parse.urlsplit(target)
    return parts.path, parts.query
