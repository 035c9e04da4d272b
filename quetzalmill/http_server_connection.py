"""One connection of a server, with its exchanges in sequence."""

from collections.abc import Awaitable, Callable
import os

import attrs
import h11
import trio

from quetzalmill import errors
from quetzalmill import host_memory
from quetzalmill import http_connect
from quetzalmill import http_exchange
from quetzalmill import http_message
from quetzalmill import http_reader
from quetzalmill import http_refusals
from quetzalmill import memory_account

CONNECTION_BYTES = 24_576
"""What a connection is charged: its task and buffers take 12 KB while it is
idle, and the first receive comes on top."""

_RECEIVE_BYTES = 16_384
_FIRST_RECEIVE_BYTES = 4_096
"""What is received of a request before memory is charged for its head; most
heads are shorter."""
_HEAD_FACTOR = 2
"""A head that did not come at once is charged this many times its limit: the
parser's buffer and what is being received."""
_SEND_BYTES = 65_536
"""How much of a response a caller reads before that counts as progress."""
_LINGER_S = 1.0
_LINGER_BYTES = 1_048_576
_FIRST_REQUEST_GRACE_S = 0.5
_RETRY_AFTER_S = 1
"""When a request that was refused for lack of memory may be sent again; after
that time, bodies that have stalled give way."""

Handler = Callable[
    [http_message.Request, http_exchange.Exchange], Awaitable[None]
]
"""Responds to one request through its exchange."""

ErrorHook = Callable[[BaseException], None]
"""Called with an exception that escaped from a handler."""


@attrs.frozen
class Accepted:
    """The body of a request may be read.

    Attributes:
        team: The team that the body is charged to.
    """

    team: str = ""


@attrs.frozen
class Rejected:
    """A request is refused before its body is read.

    Attributes:
        respond: Sends the refusal.
    """

    respond: Callable[[http_exchange.Exchange], Awaitable[None]]


HeadCheck = Callable[[http_message.Request], Accepted | Rejected]
"""Checks a request that has a body when only its head has been read."""


def accept_all(request: http_message.Request) -> Accepted | Rejected:
    """Lets the body of every request be read."""
    del request
    return Accepted()


@attrs.define(kw_only=True, eq=False)
class ServerState:
    """What the connections of one server share.

    Attributes:
        handler: Responds to each request.
        current_limits: Returns the limits of a new connection.
        stopping: Set once the server stops.
        on_error: Called with each exception that escapes from the handler.
        check_head: Called for each request that has a body.
        memory: The memory of the process.
        idle: The connections that wait for a request.
        closable: The charges of all connections and unread responses.
    """

    handler: Handler
    current_limits: Callable[[], http_message.Limits]
    stopping: trio.Event
    on_error: ErrorHook
    check_head: HeadCheck
    memory: host_memory.HostMemory
    idle: set["Connection"] = attrs.field(factory=set)
    closable: set[memory_account.Charge] = attrs.field(factory=set)


class Connection:
    """One connection, with its exchanges in sequence."""

    def __init__(self, stream: trio.SocketStream, server: ServerState) -> None:
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
            self._http,
            self._limits,
            self.receive,
            self.write,
            self._take_head_memory,
        )
        self.idle_scope = trio.CancelScope()
        self._scope = trio.CancelScope()
        self._team = ""
        self._memory = server.memory
        self.charge = self._memory.open(
            memory_account.Kind.CONNECTION,
            memory_account.CONNECTIONS,
            self._scope.cancel,
        )
        server.closable.add(self.charge)
        self._request_charges: list[memory_account.Charge] = []

    async def run(self) -> None:
        """Serves requests until either side closes the connection."""
        try:
            with self._scope:
                await self._memory.grow(self.charge, CONNECTION_BYTES)
                while await self._serve_one():
                    self._served_requests += 1
        except errors.BadMessageError:
            # No memory for the connection; nothing was read from it.
            return
        finally:
            self._close_request_charges()
            self._memory.close(self.charge)
            self._server.closable.discard(self.charge)

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

    async def receive(self, max_bytes: int = _RECEIVE_BYTES) -> bytes:
        """Receives some bytes; returns ``b""`` at the end of the connection."""
        try:
            data = bytes(await self._stream.receive_some(max_bytes))
        except trio.BrokenResourceError:
            data = b""
        self._at_eof = not data
        self._memory.record_progress(self.charge)
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
        scope = trio.CancelScope(deadline=trio.current_time() + timeout_s)
        charge = self._memory.open(
            memory_account.Kind.UNREAD, self._team, scope.cancel
        )
        self._server.closable.add(charge)
        # A part keeps all of the data in memory.
        self._memory.add(charge, len(data))
        try:
            with scope:
                await self._send_all(unsent, charge)
                return
            raise errors.ConnectionLostError("the caller does not read")
        except trio.BrokenResourceError as error:
            raise errors.ConnectionLostError("the caller is gone") from error
        finally:
            self._server.closable.discard(charge)
            self._memory.close(charge)

    async def _send_all(
        self, data: memoryview, charge: memory_account.Charge
    ) -> None:
        for start in range(0, len(data), _SEND_BYTES):
            charge.remaining_bytes = len(data) - start
            await self._stream.send_all(data[start : start + _SEND_BYTES])
            self._memory.record_progress(charge)

    def _send_now(self, data: bytes) -> memoryview:
        """Sends what fits into the socket's buffer; returns the rest.

        Nearly every chunk of a stream fits, and a timeout around each of them
        costs more than sending it.
        """
        view = memoryview(data)
        try:
            sent = os.write(self._stream.socket.fileno(), view)
        except OSError:
            # Sending through the stream raises the error.
            return view
        return view[sent:]

    def hold_prompt(self, size_bytes: int) -> bool:
        """Charges a prompt until the response ends.

        Returns whether there is memory for it.
        """
        charge = self._memory.open(
            memory_account.Kind.PROMPT, self._team, lambda: None
        )
        self._request_charges.append(charge)
        charge.is_revocable = False
        is_held = self._memory.try_grow(charge, size_bytes)
        if not is_held:
            self._memory.refuse(charge)
        return is_held

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
            # The traceback keeps a partly read body in memory.
            refused = error.with_traceback(None)
            refused.__context__ = refused.__cause__ = None
        else:
            if request is None:
                return False
            return await self._respond(request)
        self._close_request_charges()
        await self._refuse(refused)
        return False

    async def _respond(self, request: http_message.Request) -> bool:
        """Runs the handler; returns whether another request may follow."""
        exchange = http_exchange.Exchange(self, request)
        self.charge.is_revocable = False
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch_for_disconnect, exchange)
                await self._handle(request, exchange)
                nursery.cancel_scope.cancel()
        finally:
            if (
                not exchange.finished
                and self._http.their_http_version == b"1.0"
            ):
                http_connect.reset_on_close(self._stream)
            self._close_request_charges()
            self.charge.is_revocable = True
            self._memory.record_progress(self.charge)
        return exchange.finished and self._prepare_reuse()

    def _close_request_charges(self) -> None:
        for charge in self._request_charges:
            self._memory.close(charge)
        self._request_charges.clear()
        self._team = ""

    async def _handle(
        self, request: http_message.Request, exchange: http_exchange.Exchange
    ) -> None:
        try:
            await self._server.handler(request, exchange)
            if not exchange.started:
                raise errors.HttpError("the handler sent no response")
        except Exception as error:
            if exchange.disconnected and http_exchange.is_connection_loss(
                error
            ):
                return
            self._server.on_error(error)
            await self._respond_internal_error(exchange)

    async def _respond_internal_error(
        self, exchange: http_exchange.Exchange
    ) -> None:
        if exchange.started:
            return
        body = http_refusals.body(500, "the request handler failed", "unknown")
        try:
            await exchange.respond(500, body)
        except (errors.ConnectionLostError, h11.LocalProtocolError):
            return

    async def _watch_for_disconnect(
        self, exchange: http_exchange.Exchange
    ) -> None:
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
            data = await self._receive_idle()
            if not data:
                return None
            self._http.receive_data(data)
            # The parser has a copy, which a slow head would keep twice.
            del data
        try:
            request = await self._reader.read_head()
        finally:
            self._memory.shrink(self.charge, CONNECTION_BYTES)
        if not self._reader.has_body:
            return await self._reader.read_body(request)
        match self._check_head(request):
            case Accepted(team=team):
                self._team = team
                return await self._read_body(request)
            case Rejected(respond=respond):
                await self._reject(request, respond)
        return None

    def _check_head(self, request: http_message.Request) -> Accepted | Rejected:
        try:
            return self._server.check_head(request)
        except errors.BadMessageError:
            raise
        except Exception as error:
            self._server.on_error(error)
            return Rejected(self._respond_internal_error)

    def _take_head_memory(self) -> None:
        """Charges a head that is incomplete after the first receive.

        It does not wait, because others could wait with as much received.

        Raises:
            errors.BadMessageError: There is no memory for it (503).
        """
        more_bytes = _HEAD_FACTOR * self._limits.max_header_bytes
        if not self._memory.try_grow(self.charge, more_bytes):
            self._memory.refuse(self.charge)
            raise errors.BadMessageError("memory is short", 503)

    async def _read_body(
        self, request: http_message.Request
    ) -> http_message.Request:
        """Reads a body as far as memory is available."""
        scope = trio.CancelScope()
        charge = self._memory.open(
            memory_account.Kind.BODY, self._team, scope.cancel
        )
        self._request_charges.append(charge)
        with scope:
            request = await self._reader.read_body(
                request,
                http_reader.BodyMemory(self._memory, charge, self.charge),
            )
            # From here on, the request may run.
            charge.is_revocable = False
            return request
        raise errors.BadMessageError("memory is short", 503)

    async def _reject(
        self,
        request: http_message.Request,
        respond: Callable[[http_exchange.Exchange], Awaitable[None]],
    ) -> None:
        """Refuses a request whose body was not read, and closes."""
        exchange = http_exchange.Exchange(self, request)
        exchange.close_connection()
        try:
            await respond(exchange)
        except errors.ConnectionLostError:
            return
        except Exception as error:
            self._server.on_error(error)
            await self._respond_internal_error(exchange)
        await self._linger()

    async def _receive_idle(self) -> bytes:
        """Waits for the first bytes of a request.

        Returns ``b""`` if the caller disconnects or the wait is cancelled.
        """
        self._server.idle.add(self)
        self.charge.is_idle = True
        try:
            with self.idle_scope:
                if self._server.stopping.is_set():
                    self.end_idle()
                return await self.receive(_FIRST_RECEIVE_BYTES)
        finally:
            self.charge.is_idle = False
            self._server.idle.discard(self)
        return b""

    async def _refuse(self, error: errors.BadMessageError) -> None:
        """Responds to an unreadable request and closes the connection."""
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        body = http_refusals.body(error.status, str(error), "no")
        headers = {
            "content-type": "application/json",
            "content-length": str(len(body)),
            "connection": "close",
        }
        if error.status == 503:
            headers["retry-after"] = str(_RETRY_AFTER_S)
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
