"""HTTP messages, limits and helpers that the server and the client share."""

import urllib.parse

import attrs

from quetzalmill import errors

MAX_PORT = 65_535

MAX_QUERY_FIELDS = 64
"""The maximum number of query fields of one request."""

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
"""Headers that apply to a single connection and are never forwarded."""


@attrs.frozen(kw_only=True)
class Limits:
    """Limits that a server applies to its connections.

    Attributes:
        max_header_bytes: The maximum size of a request head or chunk header.
        max_body_bytes: The maximum size of a request body.
        header_timeout_ms: The time allowed from the first byte of a request
            head to its last.
        idle_timeout_ms: The time allowed without progress: between requests,
            within a body, or while the peer does not read its response.
        max_connections: The maximum number of open connections.
    """

    max_header_bytes: int = 32_768
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 60_000.0
    max_connections: int = 4096


@attrs.frozen(kw_only=True)
class Request:
    """A complete HTTP request.

    Attributes:
        method: The method in upper case.
        path: The path as sent, with percent escapes.
        query: The decoded query; the last value of a repeated field wins.
        raw_query: The query as sent; if empty, ``query`` is encoded.
        headers: Values by lower-case name; repeated ones joined by commas.
        body: The complete body.
        host: The value of the Host header; if empty, the address that the
            request is sent to.
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
    """A complete HTTP response; header names are lower-case."""

    status: int
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""


def split_address(address: str) -> tuple[str, int]:
    """Splits ``127.0.0.1:80`` or ``[::1]:80`` into host and port.

    Raises:
        ValueError: The text is not an address and port.
    """
    host, colon, port = address.rpartition(":")
    if not colon or not host or not (host.isascii() and host.isprintable()):
        # Sockets raise other errors for a host with such characters.
        raise ValueError(f"{address!r} is not an address such as 10.0.0.1:80")
    number = int(port)
    if not 0 <= number <= MAX_PORT:
        raise ValueError(f"{number} is not a port")
    return host.strip("[]"), number


def join_headers(raw: list[tuple[bytes, bytes]]) -> dict[str, str]:
    """Returns raw headers as a dict; repeated ones are joined by commas."""
    headers: dict[str, str] = {}
    for raw_name, raw_value in raw:
        name = raw_name.decode("latin-1").lower()
        value = raw_value.decode("latin-1")
        headers[name] = (
            f"{headers[name]}, {value}" if name in headers else value
        )
    return headers


def parse_target(target: bytes) -> tuple[str, str, dict[str, str]]:
    """Splits a request target into path, raw query and decoded query fields.

    Raises:
        errors.BadMessageError: The target is malformed or has more than
            ``MAX_QUERY_FIELDS`` query fields.
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
