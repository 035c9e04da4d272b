"""One request and its response, as a handler sees them."""

from typing import Protocol

import h11
import trio

from quetzalmill import errors
from quetzalmill import http_message

_MAX_JOINED_BYTES = 65_536
"""Larger bodies are written apart from their head: joining them copies both."""


class Writer(Protocol):
    """The side of a connection that an exchange writes to."""

    async def write(self, data: bytes) -> None:
        """Sends bytes; raises ``errors.ConnectionLostError``."""

    def encode(self, event: h11.Event) -> bytes:
        """Returns the bytes of a part of the response."""

    def encode_head(
        self, status: int, headers: dict[str, str], *, closes: bool = False
    ) -> bytes:
        """Returns the bytes of a response head."""

    def hold_prompt(self, size_bytes: int) -> bool:
        """Charges a prompt; returns whether there is memory for it."""


class Exchange:
    """Writes the response to one request.

    Every method that writes raises ``errors.ConnectionLostError`` if the
    caller has disconnected or does not read.
    """

    def __init__(
        self, connection: Writer, request: http_message.Request
    ) -> None:
        self._connection = connection
        self._has_body = request.method != "HEAD"
        self._disconnected = trio.Event()
        self._scope: trio.CancelScope | None = None
        self._closes = False
        self._added_headers: dict[str, str] = {}
        self.started = False
        self.finished = False

    @property
    def disconnected(self) -> bool:
        """Whether the caller has disconnected."""
        return self._disconnected.is_set()

    async def wait_disconnected(self) -> None:
        """Waits until the caller disconnects."""
        await self._disconnected.wait()

    def cancel_on_disconnect(self, scope: trio.CancelScope) -> None:
        """Cancels a scope when the caller disconnects."""
        self._scope = scope
        if self.disconnected:
            scope.cancel()

    def mark_disconnected(self) -> None:
        """Records that the caller has disconnected."""
        self._disconnected.set()
        if self._scope is not None:
            self._scope.cancel()

    def close_connection(self) -> None:
        """Announces with the response that the connection closes after it."""
        self._closes = True

    def add_header(self, name: str, value: str) -> None:
        """Adds a header to the response, whatever sends it."""
        self._added_headers[name] = value

    async def respond(
        self,
        status: int,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        content_type: str = "application/json",
    ) -> None:
        """Sends a complete response."""
        all_headers = {
            "content-type": content_type,
            **_without_framing(headers),
        }
        # The handler of a HEAD request may not know the length of the body
        # that GET would return.
        if body or self._has_body:
            all_headers["content-length"] = str(len(body))
        if status in (204, 304):
            all_headers = _without_framing(headers)
            body = b""
        data = self._head(status, all_headers)
        if body and self._has_body:
            # With a length, the body is sent as it is.
            self._connection.encode(h11.Data(data=body))
            if len(body) > _MAX_JOINED_BYTES:
                await self._write(data)
                data = body
            else:
                data += body
        data += self._connection.encode(h11.EndOfMessage())
        await self._write(data)
        self.finished = True

    async def start_stream(
        self, status: int, headers: dict[str, str] | None = None
    ) -> None:
        """Sends the head of a response whose body follows in chunks."""
        await self._write(self._head(status, _without_framing(headers)))

    async def send(self, data: bytes) -> None:
        """Sends a chunk of the body."""
        if data and self._has_body:
            await self._write(self._connection.encode(h11.Data(data=data)))

    async def finish(self) -> None:
        """Ends the body."""
        await self._write(self._connection.encode(h11.EndOfMessage()))
        self.finished = True

    def abort(self) -> None:
        """Drops the connection without a response or within one.

        The connection is closed when the handler returns.
        """
        self.started = True
        self.finished = False

    def hold_prompt(self, size_bytes: int) -> bool:
        """Charges a prompt to the process's memory until the response ends.

        Returns whether there is memory for it.
        """
        return self._connection.hold_prompt(size_bytes)

    def _head(self, status: int, headers: dict[str, str]) -> bytes:
        self.started = True
        return self._connection.encode_head(
            status, {**headers, **self._added_headers}, closes=self._closes
        )

    async def _write(self, data: bytes) -> None:
        if self.disconnected:
            raise errors.ConnectionLostError("the caller is gone")
        try:
            await self._connection.write(data)
        except errors.ConnectionLostError:
            self.mark_disconnected()
            raise


def is_connection_loss(error: Exception) -> bool:
    """Returns whether an error consists of nothing but lost connections."""
    if isinstance(error, ExceptionGroup):
        return error.split(errors.ConnectionLostError)[1] is None
    return isinstance(error, errors.ConnectionLostError)


def _without_framing(headers: dict[str, str] | None) -> dict[str, str]:
    """Returns the headers without those that only the connection may set."""
    return {
        name.lower(): value
        for name, value in (headers or {}).items()
        if name.lower() not in http_message.HOP_BY_HOP
    }
