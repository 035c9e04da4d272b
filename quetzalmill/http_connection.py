"""One connection to an HTTP server, and the response that it carries."""

import collections
from collections.abc import AsyncIterator, Callable
import itertools
import math
import re
import select

import attrs
import h11
import trio

from quetzalmill import errors
from quetzalmill import host_memory
from quetzalmill import http_message
from quetzalmill import response_memory

_RECEIVE_BYTES = 65_536
_FRAMING_RECEIVE_BYTES = 4_096
"""Less than of bodies, as an incomplete head or size of a chunk is kept."""
_MAX_HEAD_BYTES = 65_536
_MAX_HEAD_FIELDS = 256
"""A field takes some hundred bytes of memory, however short it is."""
_HEAD_COPIES = 4
"""How many copies of a head's bytes are kept until the response ends."""
_MAX_INTERIM_RESPONSES = 8
"""Interim (1xx) responses accepted before the final one; servers usually send
one or two."""
_MAX_FOREIGN_RESPONSES = 4
"""Responses to other requests that are skipped before the one awaited."""
_MAX_FOREIGN_BYTES = 1_048_576
"""The most bytes of such a response's body."""
_FOREIGN_WAIT_FRACTION = 0.9
"""Fraction of the remaining time in which the awaited response must follow, so
that its loss is reported before the time is over."""
_MAX_RECORDED_NAMES = 32
"""How many of its latest requests a connection remembers; late responses may
name them."""
_STATUS_LINE_AT_END = re.compile(rb"HTTP/1\.\d \d{3}( [^\"]*)?$")
_VIA = b"via"
"""A header whose values may begin with a version of HTTP."""
_MAX_CHUNKS_AT_ONCE = 64
"""Chunks that are parsed from received bytes before other tasks run. A server
may send chunks of one byte, of which a single receive returns thousands."""
_MAX_JOINED_BYTES = 65_536
"""Larger bodies are sent apart from their head: joining them copies both."""
_BAD_GATEWAY = 502
_STATUSES_WITHOUT_BODY = (204, 304)

_Parsed = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


@attrs.frozen(kw_only=True)
class ResponseHead:
    """The head of a response, and where it arrived.

    Attributes:
        status: The HTTP status.
        headers: Values by lower-case name; repeated ones joined by commas.
        connection: The number of the connection within this process.
        exchange: Which of the connection's requests it follows, 1 for the
            first.
    """

    status: int
    headers: dict[str, str]
    connection: int
    exchange: int


@attrs.frozen(kw_only=True)
class RequestHooks:
    """Callbacks that run before the head of the final response arrives.

    Attributes:
        may_send: Called once connected, just before the first byte is sent;
            returning False withdraws the request.
        on_interim: Called with the head of each interim (1xx) response.
        is_unrelated: Called with the head of a final response; returning True
            skips it, as it is not the response to this request.
    """

    may_send: Callable[[], bool] = lambda: True
    on_interim: Callable[[ResponseHead], None] = lambda _: None
    is_unrelated: Callable[[ResponseHead], bool] = lambda _: False


class StreamedResponse(AsyncIterator[bytes]):
    """A response whose body is read in chunks with ``async for``.

    Attributes:
        head: Its head.
        may_reuse_connection: Whether the connection may be reused for other
            requests, if the server allows it.
        is_delimited: Whether the body's end is marked by a length or chunks;
            otherwise the end of the connection ends it, also an early one.
    """

    def __init__(
        self,
        connection: "Connection",
        head: h11.Response,
        idle_timeout_ms: float,
        max_body_bytes: int,
        *,
        is_delimited: bool,
        deadline_s: float = math.inf,
    ) -> None:
        self._connection = connection
        self._idle_timeout_ms = idle_timeout_ms
        self._deadline_s = deadline_s
        self._remaining_bytes = max_body_bytes
        self._chunks_at_once = 0
        self.head = connection.describe(head)
        self.may_reuse_connection = True
        self.is_delimited = is_delimited
        self._has_body = False

    @property
    def status(self) -> int:
        """The HTTP status."""
        return self.head.status

    @property
    def headers(self) -> dict[str, str]:
        """Values by lower-case name; repeated ones joined by commas."""
        return self.head.headers

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Returns itself."""
        return self

    async def __anext__(self) -> bytes:
        """Returns the next chunk of the body.

        Raises:
            errors.ConnectionLostError: The connection was lost within the body.
            errors.ResponseTimeoutError: The next chunk did not arrive in time,
                or the whole response did not.
            errors.BadMessageError: The body is malformed or too large.
        """
        event = await self._next_event()
        if not isinstance(event, h11.Data):
            self._require_body()
            raise StopAsyncIteration
        self._has_body = True
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

    def _require_body(self) -> None:
        """Checks that a success without a length or chunks has a body.

        A server with nothing to send says so with a length of 0.
        """
        is_success = 200 <= self.status < 300
        if is_success and not self.is_delimited and not self._has_body:
            raise _connection_lost()

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
        # The deadline bounds a body whose chunks keep arriving.
        idle_limit_s = trio.current_time() + self._idle_timeout_ms / 1000.0
        with trio.move_on_at(min(idle_limit_s, self._deadline_s)):
            return await self._connection.next_event()
        if self._deadline_s <= idle_limit_s:
            raise errors.ResponseTimeoutError(
                "the response did not end in time"
            )
        raise errors.ResponseTimeoutError("the response body stalled")


@attrs.define(eq=False)
class Connection:
    """A connection that carries one exchange at a time.

    Attributes:
        number: Its number within this process.
        exchanges: The number of requests that it has carried.
        is_reset: Whether sending failed because the connection was reset.
            What arrived before can still be read, but its end is not the
            server's.
        charge: What the parser holds of the current response, and its head.
    """

    address: str
    stream: trio.SocketStream
    number: int = attrs.field(factory=itertools.count(1).__next__)
    exchanges: int = 0
    idle_since_s: float = 0.0
    received_bytes: int = 0
    skipped_responses: int = 0
    is_reset: bool = False
    charge: response_memory.ResponseCharge = attrs.field(
        factory=lambda: response_memory.ResponseCharge(host_memory.HostMemory())
    )
    _names: collections.deque[str] = attrs.field(
        factory=lambda: collections.deque(maxlen=_MAX_RECORDED_NAMES)
    )
    http: h11.Connection = attrs.field(factory=lambda: _new_client())

    async def exchange(
        self,
        request: http_message.Request,
        deadline_s: float,
        hooks: RequestHooks,
    ) -> h11.Response:
        """Sends a request and reads the head of its response."""
        self.received_bytes = 0
        self.skipped_responses = 0
        self.exchanges += 1
        try:
            parts = self._encode(request)
            if not hooks.may_send():
                raise errors.RequestWithdrawnError("the request was withdrawn")
            with trio.move_on_at(deadline_s) as scope:
                return await self._exchange(request, parts, hooks, scope)
            if self.skipped_responses:
                raise _only_foreign()
            raise errors.ResponseTimeoutError("no response in time")
        except BaseException:
            self.close()
            raise

    async def next_event(self) -> _Parsed:
        """Reads the next protocol event of the response."""
        event = self.parse()
        while event is h11.NEED_DATA:
            incomplete, _ = self.http.trailing_data
            self.charge.hold(len(incomplete))
            is_body = self.http.their_state is h11.SEND_BODY and not incomplete
            data = await self._receive(
                _RECEIVE_BYTES if is_body else _FRAMING_RECEIVE_BYTES
            )
            if not data and self.is_reset:
                raise _connection_lost()
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

    def describe(
        self, head: h11.Response | h11.InformationalResponse
    ) -> ResponseHead:
        """Returns a head that arrived on this connection."""
        return ResponseHead(
            status=head.status_code,
            headers=http_message.join_headers(list(head.headers)),
            connection=self.number,
            exchange=self.exchanges,
        )

    def is_alive(self) -> bool:
        """Returns whether the server has neither closed nor sent data."""
        poll = select.poll()
        poll.register(self.stream.socket.fileno(), select.POLLIN)
        return not poll.poll(0)

    def record_name(self, request_name: str) -> None:
        """Records what the responses to the current request name."""
        if request_name:
            self._names.append(request_name)

    def has_carried(self, request_name: str) -> bool:
        """Returns whether a late response may name this request."""
        return request_name in self._names

    def prepare_reuse(self) -> bool:
        """Prepares for another exchange; returns whether that is possible."""
        self.charge.close()
        if self.http.states != {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}:
            return False
        if self.http.trailing_data[0]:
            # Data after the end of a response belongs to no request.
            return False
        self.http.start_next_cycle()
        return True

    def close(self) -> None:
        """Closes the connection immediately."""
        self.charge.close()
        self.stream.socket.close()

    def _encode(self, request: http_message.Request) -> list[bytes]:
        try:
            headers = _request_headers(request, self.address)
            head = h11.Request(
                method=request.method, target=request.target(), headers=headers
            )
            parts = [self.http.send(head) or b""]
            if request.body:
                self.http.send(h11.Data(data=request.body))
                if len(request.body) > _MAX_JOINED_BYTES:
                    # With a length, the body is sent as it is.
                    parts.append(request.body)
                else:
                    parts[0] += request.body
            self.http.send(h11.EndOfMessage())
            return parts
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            raise errors.BadMessageError(str(error)) from error

    async def _exchange(
        self,
        request: http_message.Request,
        parts: list[bytes],
        hooks: RequestHooks,
        scope: trio.CancelScope,
    ) -> h11.Response:
        await self._send(parts)
        while True:
            head = await self._read_head(hooks)
            if not hooks.is_unrelated(self.describe(head)):
                return head
            if not self.skipped_responses:
                remaining_s = scope.deadline - trio.current_time()
                scope.deadline -= (1.0 - _FOREIGN_WAIT_FRACTION) * remaining_s
            await self._skip(request, head)

    async def _send(self, parts: list[bytes]) -> None:
        """Sends a request until all is sent or the connection fails.

        A server that refuses a large request may respond and close while the
        request is still being sent, so its response is read in any case.
        """
        try:
            for part in parts:
                await self.stream.send_all(part)
        except trio.BrokenResourceError as error:
            # A broken pipe means that the server ended its side before the
            # reset. The system reports the reset here only; reads that follow
            # return what has arrived and then an ordinary end.
            self.is_reset = not isinstance(error.__cause__, BrokenPipeError)

    async def _read_head(self, hooks: RequestHooks) -> h11.Response:
        earlier_bytes = self.received_bytes
        for _ in range(_MAX_INTERIM_RESPONSES + 1):
            event = await self.next_event()
            if not isinstance(event, h11.Response | h11.InformationalResponse):
                raise errors.BadMessageError("no response head", _BAD_GATEWAY)
            head_bytes = _check_size(event)
            _require_one_head(event)
            if isinstance(event, h11.Response):
                self.charge.hold(_HEAD_COPIES * head_bytes)
                return event
            hooks.on_interim(self.describe(event))
            if self.received_bytes - earlier_bytes > _MAX_HEAD_BYTES:
                break
        raise errors.BadMessageError("interim heads go on", _BAD_GATEWAY)

    async def _skip(
        self, request: http_message.Request, head: h11.Response
    ) -> None:
        """Reads a response to another request; the awaited one may follow.

        Raises:
            errors.BadMessageError: No other response can follow it.
        """
        self.skipped_responses += 1
        if self.skipped_responses > _MAX_FOREIGN_RESPONSES:
            raise _only_foreign()
        response = StreamedResponse(
            self,
            head,
            math.inf,
            _MAX_FOREIGN_BYTES,
            is_delimited=is_delimited(request.method, head),
        )
        async for _ in response:
            pass
        if self.http.their_state is not h11.DONE:
            raise _only_foreign()
        rest, _ = self.http.trailing_data
        # A parser that has sent the same request expects its response.
        self.http = _new_client()
        self._encode(request)
        if rest:
            self.http.receive_data(rest)

    async def _receive(self, max_bytes: int) -> bytes:
        try:
            data = bytes(await self.stream.receive_some(max_bytes))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise _connection_lost() from error
        self.received_bytes += len(data)
        return data


def is_delimited(method: str, head: h11.Response) -> bool:
    """Returns whether the end of a response's body is marked in it."""
    if method == "HEAD" or head.status_code in _STATUSES_WITHOUT_BODY:
        return True
    names = {name for name, _ in head.headers}
    return bool(names & {b"content-length", b"transfer-encoding"})


def _check_size(head: h11.Response | h11.InformationalResponse) -> int:
    """Returns the bytes of a head's fields.

    Raises:
        errors.BadMessageError: There are too many of them.
    """
    if len(head.headers) > _MAX_HEAD_FIELDS:
        raise errors.BadMessageError(
            f"the head has over {_MAX_HEAD_FIELDS} fields", _BAD_GATEWAY
        )
    return sum(len(name) + len(value) for name, value in head.headers)


def _require_one_head(head: h11.Response | h11.InformationalResponse) -> None:
    """Checks that a head does not contain parts of two responses.

    A response that was cut off within its head is continued by the next one.

    Raises:
        errors.BadMessageError: It contains a second status line, or both a
            length and chunks.
    """
    texts = [bytes(head.reason)]
    texts += [bytes(value) for name, value in head.headers if name != _VIA]
    if any(_STATUS_LINE_AT_END.search(text) for text in texts):
        raise errors.BadMessageError(
            "the head contains a status line", _BAD_GATEWAY
        )
    names = [name for name, _ in head.headers]
    if b"content-length" in names and b"transfer-encoding" in names:
        raise errors.BadMessageError(
            "the head has both a length and chunks", _BAD_GATEWAY
        )


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


def _new_client() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES)


def _only_foreign() -> errors.BadMessageError:
    return errors.BadMessageError(
        "the endpoint only answered other requests", _BAD_GATEWAY
    )


def _connection_lost() -> errors.ConnectionLostError:
    return errors.ConnectionLostError("the server ended the connection")
