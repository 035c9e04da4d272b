"""An HTTP/1.1 client with a connection pool for each address.

The error type says whether bytes of the request may have reached the server:
``ConnectFailedError`` and ``RequestWithdrawnError`` mean that none was sent,
all others that some were.
"""

from collections.abc import AsyncIterator, Callable
import contextlib
import select

import attrs
import h11
import trio

from quetzalmill import errors
from quetzalmill import http_connect
from quetzalmill import http_message

_RECEIVE_BYTES = 65_536
_MAX_HEAD_BYTES = 65_536
_MAX_INTERIM_RESPONSES = 8
"""Interim (1xx) responses accepted before the final one; servers usually send
one or two."""
_DEFAULT_MAX_BODY_BYTES = 16_777_216
_MAX_CHUNKS_AT_ONCE = 64
"""Chunks that are parsed from received bytes before other tasks run. A server
may send chunks of one byte, of which a single receive returns thousands."""
_BAD_GATEWAY = 502

_Parsed = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


@attrs.frozen(kw_only=True)
class RequestHooks:
    """Callbacks that run before the head of the final response arrives.

    Attributes:
        may_send: Called once connected, just before the first byte is sent;
            returning False withdraws the request.
        on_interim: Called with the status and headers of each interim (1xx)
            response.
    """

    may_send: Callable[[], bool] = lambda: True
    on_interim: Callable[[int, dict[str, str]], None] = lambda _, __: None


_NO_HOOKS = RequestHooks()


class StreamedResponse(AsyncIterator[bytes]):
    """A response whose body is read in chunks with ``async for``.

    Attributes:
        status: The HTTP status.
        headers: Values by lower-case name; repeated ones joined by commas.
        may_reuse_connection: Whether the connection may be reused for other
            requests, if the server allows it.
    """

    def __init__(
        self,
        connection: "_Connection",
        head: h11.Response,
        idle_timeout_ms: float,
        max_body_bytes: int,
    ) -> None:
        self._connection = connection
        self._idle_timeout_ms = idle_timeout_ms
        self._remaining_bytes = max_body_bytes
        self._chunks_at_once = 0
        self.status = head.status_code
        self.headers = http_message.join_headers(list(head.headers))
        self.may_reuse_connection = True

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Returns itself."""
        return self

    async def __anext__(self) -> bytes:
        """Returns the next chunk of the body.

        Raises:
            errors.ConnectionLostError: The connection was lost within the body.
            errors.ResponseTimeoutError: No chunk arrived in time.
            errors.BadMessageError: The body is malformed or too large.
        """
        event = await self._next_event()
        if not isinstance(event, h11.Data):
            raise StopAsyncIteration
        self._remaining_bytes -= len(event.data)
        if self._remaining_bytes < 0:
            raise errors.BadMessageError(
                "the response body is too large", _BAD_GATEWAY
            )
        return bytes(event.data)

    async def read(self) -> bytes:
        """Reads the rest of the body; raises the errors of ``__anext__``."""
        body = bytearray()
        async for chunk in self:
            body += chunk
        return bytes(body)

    async def _next_event(self) -> _Parsed:
        # Data that has already arrived needs no timeout, and setting one costs
        # as much as parsing.
        event = self._connection.parse()
        if event is not h11.NEED_DATA:
            self._chunks_at_once += 1
            if self._chunks_at_once >= _MAX_CHUNKS_AT_ONCE:
                self._chunks_at_once = 0
                await trio.lowlevel.checkpoint()
            return event
        self._chunks_at_once = 0
        with trio.move_on_after(self._idle_timeout_ms / 1000.0):
            return await self._connection.next_event()
        raise errors.ResponseTimeoutError("the response body stalled")


class HttpClient:
    """Sends requests and pools idle connections for each address.

    Args:
        connect_timeout_ms: The time allowed for connecting.
        max_idle: The maximum number of idle connections for each address.
        idle_timeout_ms: How long an idle connection is kept.
    """

    def __init__(
        self,
        *,
        connect_timeout_ms: float = 2000.0,
        max_idle: int = 16,
        idle_timeout_ms: float = 15_000.0,
    ) -> None:
        self._connect_timeout_ms = connect_timeout_ms
        self._max_idle = max_idle
        self._idle_timeout_ms = idle_timeout_ms
        self._idle: dict[str, list[_Connection]] = {}
        self._closed = False
        self._last_sweep_s = 0.0

    async def request(
        self,
        address: str,
        request: http_message.Request,
        *,
        timeout_ms: float,
        body_timeout_ms: float = 0.0,
        new_connection: bool = False,
        idempotent: bool = False,
        max_body_bytes: int = _DEFAULT_MAX_BODY_BYTES,
    ) -> http_message.Response:
        """Sends a request and reads the complete response.

        Args:
            address: IP address and port of the server.
            request: The request; hop-by-hop headers are not sent.
            timeout_ms: The time allowed from connecting to the response head,
                and for any pause within the body.
            body_timeout_ms: The additional time in which the whole body must
                arrive.
            new_connection: Whether to use a new connection.
            idempotent: Whether the request may be sent again if a pooled
                connection turns out to be closed.
            max_body_bytes: The maximum size of the response body.

        Raises:
            errors.ConnectFailedError: No byte of the request was sent.
            errors.ConnectionLostError: The connection was lost early.
            errors.ResponseTimeoutError: The response did not end in time.
            errors.BadMessageError: The request is invalid, or the response is
                malformed or too large.
        """
        whole_ms = timeout_ms + body_timeout_ms
        deadline_s = trio.current_time() + whole_ms / 1000.0
        async with self.stream(
            address,
            request,
            timeout_ms=timeout_ms,
            idle_timeout_ms=timeout_ms,
            new_connection=new_connection,
            idempotent=idempotent,
            max_body_bytes=max_body_bytes,
        ) as response:
            with trio.move_on_at(deadline_s):
                return http_message.Response(
                    status=response.status,
                    headers=response.headers,
                    body=await response.read(),
                )
            raise errors.ResponseTimeoutError("the response did not end")

    @contextlib.asynccontextmanager
    async def stream(
        self,
        address: str,
        request: http_message.Request,
        *,
        timeout_ms: float,
        idle_timeout_ms: float | None = None,
        new_connection: bool = False,
        idempotent: bool = False,
        max_body_bytes: int = _DEFAULT_MAX_BODY_BYTES,
        hooks: RequestHooks = _NO_HOOKS,
    ) -> AsyncIterator[StreamedResponse]:
        """Sends a request and yields the response with its body unread.

        The connection is closed unless the body is read to its end. Raises the
        errors of ``request``, and ``errors.RequestWithdrawnError`` if a hook
        withdrew the request.

        Args:
            address: IP address and port of the server.
            request: The request; hop-by-hop headers are not sent.
            timeout_ms: The time allowed from connecting to the response head.
            idle_timeout_ms: The time allowed between two chunks of the body;
                defaults to ``timeout_ms``.
            new_connection: Whether to use a new connection.
            idempotent: Whether the request may be sent again if a pooled
                connection turns out to be closed.
            max_body_bytes: The maximum size of the response body.
            hooks: Callbacks that run before the response head arrives.
        """
        deadline_s = trio.current_time() + timeout_ms / 1000.0
        connection, head = await self._open(
            address, request, deadline_s, new_connection, idempotent, hooks
        )
        response = StreamedResponse(
            connection,
            head,
            timeout_ms if idle_timeout_ms is None else idle_timeout_ms,
            max_body_bytes,
        )
        try:
            yield response
        except BaseException:
            connection.close()
            raise
        if response.may_reuse_connection:
            self._release(address, connection)
        else:
            connection.close()

    def close_idle(self, address: str) -> None:
        """Closes the idle connections to an address."""
        for connection in self._idle.pop(address, []):
            connection.close()

    async def aclose(self) -> None:
        """Closes the idle connections and stops pooling."""
        self._closed = True
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._idle.clear()
        await trio.lowlevel.checkpoint()

    async def _open(
        self,
        address: str,
        request: http_message.Request,
        deadline_s: float,
        new_connection: bool,
        idempotent: bool,
        hooks: RequestHooks,
    ) -> tuple["_Connection", h11.Response]:
        kept = None if new_connection else self._take_idle(address)
        if kept is not None:
            try:
                return kept, await kept.exchange(request, deadline_s, hooks)
            except errors.ConnectionLostError as lost:
                if not idempotent or kept.received_bytes:
                    raise
                return await self._retry_on_new_connection(
                    address, request, deadline_s, hooks, lost
                )
        connection = await self._connect(address, deadline_s)
        return connection, await connection.exchange(request, deadline_s, hooks)

    async def _retry_on_new_connection(
        self,
        address: str,
        request: http_message.Request,
        deadline_s: float,
        hooks: RequestHooks,
        lost: errors.ConnectionLostError,
    ) -> tuple["_Connection", h11.Response]:
        try:
            connection = await self._connect(address, deadline_s)
            return connection, await connection.exchange(
                request, deadline_s, hooks
            )
        except (
            errors.ConnectFailedError,
            errors.RequestWithdrawnError,
        ) as error:
            # The server may have received the first copy of the request.
            raise lost from error

    async def _connect(self, address: str, deadline_s: float) -> "_Connection":
        timeout_s = self._connect_timeout_ms / 1000.0
        limit_s = min(deadline_s, trio.current_time() + timeout_s)
        try:
            with trio.move_on_at(limit_s):
                return _Connection(address, await http_connect.connect(address))
        except (OSError, ValueError) as error:
            raise errors.ConnectFailedError(f"{address}: {error}") from error
        raise errors.ConnectFailedError(f"{address}: connecting timed out")

    def _take_idle(self, address: str) -> "_Connection | None":
        connections = self._idle.get(address, [])
        oldest_s = trio.current_time() - self._idle_timeout_ms / 1000.0
        while connections:
            connection = connections.pop()
            if connection.idle_since_s >= oldest_s and connection.is_alive():
                return connection
            connection.close()
        self._idle.pop(address, None)
        return None

    def _release(self, address: str, connection: "_Connection") -> None:
        self._close_expired()
        connections = self._idle.setdefault(address, [])
        full = len(connections) >= self._max_idle
        if self._closed or full or not connection.prepare_reuse():
            connection.close()
            return
        connection.idle_since_s = trio.current_time()
        connections.append(connection)

    def _close_expired(self) -> None:
        """Closes idle connections that exceed the idle timeout.

        Connections to addresses that are no longer used would otherwise stay
        open.
        """
        now_s = trio.current_time()
        oldest_s = now_s - self._idle_timeout_ms / 1000.0
        if self._last_sweep_s > oldest_s:
            return
        self._last_sweep_s = now_s
        for address, connections in list(self._idle.items()):
            for connection in connections:
                if connection.idle_since_s < oldest_s:
                    connection.close()
            kept = [c for c in connections if c.idle_since_s >= oldest_s]
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]


@attrs.define(eq=False)
class _Connection:
    """A connection that carries one exchange at a time."""

    address: str
    stream: trio.SocketStream
    idle_since_s: float = 0.0
    received_bytes: int = 0
    http: h11.Connection = attrs.field(
        factory=lambda: h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
    )

    async def exchange(
        self,
        request: http_message.Request,
        deadline_s: float,
        hooks: RequestHooks,
    ) -> h11.Response:
        """Sends a request and reads the head of its response."""
        self.received_bytes = 0
        try:
            data = self._encode(request)
            if not hooks.may_send():
                raise errors.RequestWithdrawnError("the request was withdrawn")
            with trio.move_on_at(deadline_s):
                return await self._exchange(data, hooks)
            raise errors.ResponseTimeoutError("no response in time")
        except BaseException:
            self.close()
            raise

    async def next_event(self) -> _Parsed:
        """Reads the next protocol event of the response."""
        event = self.parse()
        while event is h11.NEED_DATA:
            data = await self._receive()
            self.http.receive_data(data)
            event = self.parse(at_eof=not data)
        return event

    def parse(self, *, at_eof: bool = False) -> _Parsed:
        """Parses the next protocol event from the data received so far.

        Args:
            at_eof: Whether the connection has ended.
        """
        try:
            event = self.http.next_event()
        except h11.RemoteProtocolError as error:
            if at_eof:
                raise _connection_lost() from error
            raise errors.BadMessageError(str(error), _BAD_GATEWAY) from error
        if isinstance(event, h11.ConnectionClosed):
            raise _connection_lost()
        return event

    def is_alive(self) -> bool:
        """Returns whether the server has neither closed nor sent data."""
        poll = select.poll()
        poll.register(self.stream.socket.fileno(), select.POLLIN)
        return not poll.poll(0)

    def prepare_reuse(self) -> bool:
        """Prepares for another exchange; returns whether that is possible."""
        if self.http.states != {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}:
            return False
        if self.http.trailing_data[0]:
            # Data after the end of a response belongs to no request.
            return False
        self.http.start_next_cycle()
        return True

    def close(self) -> None:
        """Closes the connection immediately."""
        self.stream.socket.close()

    def _encode(self, request: http_message.Request) -> bytes:
        try:
            headers = _request_headers(request, self.address)
            head = h11.Request(
                method=request.method, target=request.target(), headers=headers
            )
            data = self.http.send(head) or b""
            if request.body:
                data += self.http.send(h11.Data(data=request.body)) or b""
            return data + (self.http.send(h11.EndOfMessage()) or b"")
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            raise errors.BadMessageError(str(error)) from error

    async def _exchange(self, data: bytes, hooks: RequestHooks) -> h11.Response:
        # A server that refuses a large request may respond and close while the
        # request is still being sent, so the response is read even if sending
        # fails.
        with contextlib.suppress(trio.BrokenResourceError):
            await self.stream.send_all(data)
        for _ in range(_MAX_INTERIM_RESPONSES + 1):
            event = await self.next_event()
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise errors.BadMessageError("no response head", _BAD_GATEWAY)
            hooks.on_interim(
                event.status_code,
                http_message.join_headers(list(event.headers)),
            )
        raise errors.BadMessageError("interim heads go on", _BAD_GATEWAY)

    async def _receive(self) -> bytes:
        try:
            data = bytes(await self.stream.receive_some(_RECEIVE_BYTES))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise _connection_lost() from error
        self.received_bytes += len(data)
        return data


def _request_headers(
    request: http_message.Request, address: str
) -> list[tuple[bytes, bytes]]:
    headers = [(b"host", (request.host or address).encode())]
    headers += [
        (name.encode(), value.encode("latin-1"))
        for name, value in request.headers.items()
        if name.lower() not in http_message.HOP_BY_HOP
    ]
    if request.body or request.method not in ("GET", "HEAD"):
        length = str(len(request.body)).encode()
        headers.append((b"content-length", length))
    return headers


def _connection_lost() -> errors.ConnectionLostError:
    return errors.ConnectionLostError("the server ended the connection")
