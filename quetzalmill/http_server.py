"""An HTTP/1.1 server with one task for each connection.

The server reads each request completely, within limits, and passes it to a
handler together with an ``Exchange`` that writes the response. A caller that
closes its side of the connection counts as disconnected, even if it closes it
only for writing.
"""

from collections.abc import Awaitable, Callable
import json
import os

import h11
import trio

from quetzalmill import errors
from quetzalmill import http_listener
from quetzalmill import http_message
from quetzalmill import http_reader

_RECEIVE_BYTES = 16_384
_BACKLOG_WAIT_S = 0.01
_LINGER_S = 1.0
_LINGER_BYTES = 1_048_576
_FIRST_REQUEST_GRACE_S = 0.5

_ERROR_CODES = {
    400: "bad_request",
    408: "request_timeout",
    413: "body_too_large",
    431: "headers_too_large",
    500: "internal_error",
    501: "not_implemented",
}

Handler = Callable[[http_message.Request, "Exchange"], Awaitable[None]]
"""Responds to one request through its exchange."""

ErrorHook = Callable[[BaseException], None]
"""Called with an exception that escaped from a handler."""


def _ignore_error(error: BaseException) -> None:
    del error


async def serve(
    address: str,
    handler: Handler,
    *,
    limits: http_message.Limits,
    stopping: trio.Event,
    on_error: ErrorHook = _ignore_error,
    current_limits: Callable[[], http_message.Limits] | None = None,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves until ``stopping`` is set and all running exchanges have ended.

    Args:
        address: The address to listen on; port 0 picks a free port.
        handler: Responds to each request.
        limits: The limits of the connections.
        stopping: Once set, no more connections are accepted and idle ones are
            closed.
        on_error: Called with each exception that escapes from the handler.
        current_limits: Returns the limits of a new connection, if they can
            change; ``max_connections`` is still taken from ``limits``.
        task_status: Reports the port that the server listens on.
    """
    listener = await http_listener.listen(address)
    server = _Server(
        handler, limits, stopping, on_error, current_limits or (lambda: limits)
    )
    with listener:
        task_status.started(listener.getsockname()[1])
        await server.run(listener)


class Exchange:
    """Writes the response to one request.

    Every method that writes raises ``errors.ConnectionLostError`` if the
    caller has disconnected or does not read.
    """

    def __init__(
        self, connection: "_Connection", request: http_message.Request
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
            data += self._connection.encode(h11.Data(data=body))
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


class _Server:
    """Accepts connections and closes them when the server stops."""

    def __init__(
        self,
        handler: Handler,
        limits: http_message.Limits,
        stopping: trio.Event,
        on_error: ErrorHook,
        current_limits: Callable[[], http_message.Limits],
    ) -> None:
        self.handler = handler
        self.current_limits = current_limits
        self.stopping = stopping
        self.on_error = on_error
        self._capacity = trio.Semaphore(limits.max_connections)
        self._idle: set[_Connection] = set()

    async def run(self, listener: trio.socket.SocketType) -> None:
        """Accepts until the server stops, then waits for connections to end."""
        async with trio.open_nursery() as connections:
            async with trio.open_nursery() as accepting:
                accepting.start_soon(self._accept, listener, connections)
                await self.stopping.wait()
                accepting.cancel_scope.cancel()
            await self._accept_backlog(listener, connections)
            listener.close()
            for connection in list(self._idle):
                connection.end_idle()

    async def receive_idle(self, connection: "_Connection") -> bytes:
        """Waits for the first bytes of a request.

        Returns ``b""`` if the caller disconnects or the wait is cancelled.
        """
        self._idle.add(connection)
        try:
            with connection.idle_scope:
                if self.stopping.is_set():
                    connection.end_idle()
                return await connection.receive()
        finally:
            self._idle.discard(connection)
        return b""

    async def _accept(
        self, listener: trio.socket.SocketType, connections: trio.Nursery
    ) -> None:
        while True:
            await self._capacity.acquire()
            accepted = await http_listener.accept(listener)
            connections.start_soon(self._serve_connection, accepted)

    async def _accept_backlog(
        self, listener: trio.socket.SocketType, connections: trio.Nursery
    ) -> None:
        """Accepts the connections that are already in the listen backlog."""
        for _ in range(http_listener.BACKLOG):
            with trio.move_on_after(_BACKLOG_WAIT_S) as scope:
                accepted = await http_listener.accept(listener)
                connections.start_soon(self._serve_connection, accepted)
            if scope.cancelled_caught:
                return

    async def _serve_connection(self, accepted: trio.socket.SocketType) -> None:
        stream = trio.SocketStream(accepted)
        try:
            await _Connection(stream, self).run()
        finally:
            self._capacity.release()
            await trio.aclose_forcefully(stream)


class _Connection:
    """One connection, with its exchanges in sequence."""

    def __init__(self, stream: trio.SocketStream, server: _Server) -> None:
        self._stream = stream
        self._server = server
        self._limits = server.current_limits()
        self._served_requests = 0
        self._at_eof = False
        self._http = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self._limits.max_header_bytes,
        )
        self._reader = http_reader.RequestReader(
            self._http, self._limits, self.receive, self.write
        )
        self.idle_scope = trio.CancelScope()

    async def run(self) -> None:
        """Serves requests until either side closes the connection."""
        while await self._serve_one():
            self._served_requests += 1

    def end_idle(self) -> None:
        """Stops waiting for another request.

        A caller that has connected but not yet sent its first request gets
        ``_FIRST_REQUEST_GRACE_S`` to do so, because it cannot know that the
        server is stopping.
        """
        if self._served_requests:
            self.idle_scope.cancel()
        else:
            self.idle_scope.deadline = min(
                self.idle_scope.deadline,
                trio.current_time() + _FIRST_REQUEST_GRACE_S,
            )

    async def receive(self) -> bytes:
        """Receives some bytes; returns ``b""`` at the end of the connection."""
        try:
            data = bytes(await self._stream.receive_some(_RECEIVE_BYTES))
        except trio.BrokenResourceError:
            data = b""
        self._at_eof = not data
        return data

    async def write(self, data: bytes) -> None:
        """Sends bytes.

        Raises:
            errors.ConnectionLostError: The caller has disconnected or did not
                read within the idle timeout.
        """
        unsent = self._send_now(data)
        if not unsent:
            await trio.lowlevel.checkpoint_if_cancelled()
            return
        timeout_s = self._limits.idle_timeout_ms / 1000.0
        try:
            with trio.fail_after(timeout_s):
                await self._stream.send_all(unsent)
        except (trio.BrokenResourceError, trio.TooSlowError) as error:
            raise errors.ConnectionLostError("the caller is gone") from error

    def _send_now(self, data: bytes) -> bytes:
        """Sends what fits into the socket's buffer; returns the rest.

        Nearly every chunk of a stream fits, and a timeout around each of them
        costs more than sending it.
        """
        try:
            sent = os.write(self._stream.socket.fileno(), data)
        except OSError:
            # Sending through the stream raises the error.
            return data
        return data[sent:]

    def encode(self, event: h11.Event) -> bytes:
        """Returns the bytes of a part of the response."""
        return self._http.send(event) or b""

    def encode_head(
        self, status: int, headers: dict[str, str], *, closes: bool = False
    ) -> bytes:
        """Returns the bytes of a response head.

        Args:
            status: The HTTP status.
            headers: The headers.
            closes: Whether the connection closes after the response; it does
                in any case once the server stops.
        """
        if closes or self._server.stopping.is_set():
            headers = {**headers, "connection": "close"}
        return self.encode(
            h11.Response(
                status_code=status,
                headers=[
                    (name.encode("ascii"), value.encode("latin-1"))
                    for name, value in headers.items()
                ],
            )
        )

    async def _serve_one(self) -> bool:
        """Serves one request; returns whether another may follow."""
        try:
            request = await self._read_request()
        except errors.BadMessageError as error:
            await self._refuse(error)
            return False
        if request is None:
            return False
        exchange = Exchange(self, request)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_for_disconnect, exchange)
            await self._handle(request, exchange)
            nursery.cancel_scope.cancel()
        return exchange.finished and self._prepare_reuse()

    async def _handle(
        self, request: http_message.Request, exchange: Exchange
    ) -> None:
        try:
            await self._server.handler(request, exchange)
            if not exchange.started:
                raise errors.HttpError("the handler sent no response")
        except Exception as error:
            if exchange.disconnected and _is_connection_loss(error):
                return
            self._server.on_error(error)
            await self._respond_internal_error(exchange)

    async def _respond_internal_error(self, exchange: Exchange) -> None:
        if exchange.started:
            return
        body = _error_body(500, "the request handler failed", "unknown")
        try:
            await exchange.respond(500, body)
        except (errors.ConnectionLostError, h11.LocalProtocolError):
            return

    async def _watch_for_disconnect(self, exchange: Exchange) -> None:
        """Detects a disconnect; buffers data of pipelined requests."""
        while len(self._http.trailing_data[0]) < self._limits.max_header_bytes:
            data = await self.receive()
            if not data:
                exchange.mark_disconnected()
                return
            self._http.receive_data(data)

    def _prepare_reuse(self) -> bool:
        if self._at_eof or self._http.states != {
            h11.CLIENT: h11.DONE,
            h11.SERVER: h11.DONE,
        }:
            return False
        self._http.start_next_cycle()
        return True

    async def _read_request(self) -> http_message.Request | None:
        """Reads a complete request; returns None if the caller sends none."""
        if not self._http.trailing_data[0]:
            timeout_s = self._limits.idle_timeout_ms / 1000.0
            self.idle_scope = trio.CancelScope(
                deadline=trio.current_time() + timeout_s
            )
            data = await self._server.receive_idle(self)
            if not data:
                return None
            self._http.receive_data(data)
        return await self._reader.read()

    async def _refuse(self, error: errors.BadMessageError) -> None:
        """Responds to an unreadable request and closes the connection."""
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        body = _error_body(error.status, str(error), "no")
        headers = {
            "content-type": "application/json",
            "content-length": str(len(body)),
            "connection": "close",
        }
        try:
            data = self.encode_head(error.status, headers)
            data += self.encode(h11.Data(data=body))
            data += self.encode(h11.EndOfMessage())
            await self.write(data)
            await self._linger()
        except (errors.ConnectionLostError, h11.LocalProtocolError):
            return

    async def _linger(self) -> None:
        """Discards input for a while before the connection is closed.

        Closing with unread input would reset the connection, and the caller
        could lose the response.
        """
        with trio.move_on_after(_LINGER_S):
            try:
                await self._stream.send_eof()
            except trio.BrokenResourceError:
                return
            remaining_bytes = _LINGER_BYTES
            while remaining_bytes > 0:
                data = await self.receive()
                if not data:
                    return
                remaining_bytes -= len(data)


def _without_framing(headers: dict[str, str] | None) -> dict[str, str]:
    """Returns the headers without those that only the connection may set."""
    return {
        name.lower(): value
        for name, value in (headers or {}).items()
        if name.lower() not in http_message.HOP_BY_HOP
    }


def _error_body(status: int, message: str, ran: str) -> bytes:
    code = _ERROR_CODES.get(status, "bad_request")
    return json.dumps({"code": code, "message": message, "ran": ran}).encode()


def _is_connection_loss(error: Exception) -> bool:
    """Returns whether an error consists of nothing but lost connections."""
    if isinstance(error, ExceptionGroup):
        return error.split(errors.ConnectionLostError)[1] is None
    return isinstance(error, errors.ConnectionLostError)
