"""Reads complete requests from a connection and enforces its limits."""

from collections.abc import Awaitable, Callable

import attrs
import h11
import trio

from quetzalmill import errors
from quetzalmill import host_memory
from quetzalmill import http_message
from quetzalmill import memory_account

_MAX_CHUNKS_AT_ONCE = 64
"""Chunks that are parsed from received bytes before other tasks run."""

_STEP_BYTES = 16_384
"""Memory is taken in these steps, as much as one receive returns."""

_CHUNKED_AHEAD_BYTES = 4_096
"""A chunked body takes its next step when less than this is left of the last
one; a whole step in advance would make every such body a large charge. What a
receive returns beyond it is within the charge of the connection."""

_GROWTH_FRACTION = 8
"""A buffer that grows is up to an eighth larger than its content."""

_PROGRESS_BYTES = 4_096
"""How much has to arrive to count as progress. Bodies that arrive byte by byte
would otherwise never give way to others."""

_Parsed = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


class BodyMemory:
    """The memory of one body that is being read.

    Args:
        memory: The memory of the process.
        charge: The charge of the body.
        connection: The charge of its connection.
    """

    def __init__(
        self,
        memory: host_memory.HostMemory,
        charge: memory_account.Charge,
        connection: memory_account.Charge,
    ) -> None:
        self._memory = memory
        self._charge = charge
        self._connection = connection
        self._taken_bytes = 0
        self._progress_bytes = 0

    async def prepare(
        self, body_bytes: int, declared_bytes: int | None, limit_bytes: int
    ) -> None:
        """Takes memory for what the next receive may return.

        Args:
            body_bytes: What has been received of the body.
            declared_bytes: Its declared length; None for a chunked one.
            limit_bytes: The limit of its length.

        Raises:
            errors.BadMessageError: No memory became free in time (503).
        """
        if body_bytes - self._progress_bytes >= _PROGRESS_BYTES:
            self._progress_bytes = body_bytes
            self._memory.record_progress(self._charge)
        ahead_bytes = _CHUNKED_AHEAD_BYTES
        if declared_bytes is not None:
            ahead_bytes = _STEP_BYTES
            limit_bytes = declared_bytes
        needed_bytes = min(body_bytes + ahead_bytes, limit_bytes)
        self._charge.remaining_bytes = _charged_bytes(
            limit_bytes - self._taken_bytes
        )
        if needed_bytes <= self._taken_bytes:
            return
        # A step in advance, so that tiny chunks do not take memory each.
        step_bytes = max(_STEP_BYTES, needed_bytes - self._taken_bytes)
        step_bytes = min(step_bytes, limit_bytes - self._taken_bytes)
        self._connection.is_waiting = True
        try:
            await self._memory.grow(self._charge, _charged_bytes(step_bytes))
        finally:
            self._connection.is_waiting = False
            self._memory.record_progress(self._connection)
        self._taken_bytes += step_bytes
        self._charge.remaining_bytes = _charged_bytes(
            limit_bytes - self._taken_bytes
        )


class RequestReader:
    """Reads the requests of one connection in sequence.

    Args:
        http: The protocol state of the connection.
        limits: The size and time limits of a request.
        receive: Receives some bytes; returns ``b""`` at the end of the
            connection.
        write: Sends bytes; raises ``errors.ConnectionLostError``.
        on_incomplete_head: Called before more of a head is received than has
            already been; raises ``errors.BadMessageError`` to refuse it.

    Attributes:
        has_body: Whether the current request has a body.
    """

    def __init__(
        self,
        http: h11.Connection,
        limits: http_message.Limits,
        receive: Callable[[], Awaitable[bytes]],
        write: Callable[[bytes], Awaitable[None]],
        on_incomplete_head: Callable[[], None] = lambda: None,
    ) -> None:
        self._http = http
        self._limits = limits
        self._receive = receive
        self._write = write
        self._on_incomplete_head = on_incomplete_head
        self._declared_bytes: int | None = None
        self.has_body = False

    async def read(self) -> http_message.Request:
        """Reads a complete request.

        Raises:
            errors.BadMessageError: The request is malformed, too large or too
                slow.
        """
        return await self.read_body(await self.read_head())

    async def read_head(self) -> http_message.Request:
        """Reads a request without its body; raises the errors of ``read``."""
        head = await self._read_head()
        path, raw_query, query = http_message.parse_target(head.target)
        self._declared_bytes = None
        self.has_body = False
        for name, value in head.headers:
            if name == b"content-length":
                self._declared_bytes = int(value)
                self.has_body = self._declared_bytes > 0
            elif name == b"transfer-encoding":
                self.has_body = True
        return http_message.Request(
            method=head.method.decode("ascii"),
            path=path,
            query=query,
            raw_query=raw_query,
            headers=http_message.join_headers(list(head.headers)),
        )

    async def read_body(
        self,
        request: http_message.Request,
        memory: BodyMemory | None = None,
    ) -> http_message.Request:
        """Reads the body of a request; raises the errors of ``read``.

        Args:
            request: The request as returned by ``read_head``.
            memory: The memory of the body; if left out, it is not bounded.
        """
        body = await self._read_body(memory)
        return attrs.evolve(request, body=body) if body else request

    async def _read_head(self) -> h11.Request:
        with trio.move_on_after(self._limits.header_timeout_ms / 1000.0):
            event = self._parse()
            if event is h11.NEED_DATA:
                self._on_incomplete_head()
                event = await self._next_event()
            if not isinstance(event, h11.Request):
                raise errors.BadMessageError("the request has no head")
            size = sum(len(n) + len(v) + 4 for n, v in event.headers)
            if size + len(event.target) > self._limits.max_header_bytes:
                raise errors.BadMessageError("the head is too large", 431)
            return event
        raise errors.BadMessageError("the head did not end in time", 408)

    async def _read_body(self, memory: BodyMemory | None) -> bytes:
        limit_bytes = self._limits.max_body_bytes
        declared_bytes = self._declared_bytes
        if declared_bytes is not None and declared_bytes > limit_bytes:
            raise _body_too_large(limit_bytes)
        if self._http.they_are_waiting_for_100_continue:
            await self._send_continue()
        body = bytearray()
        chunks = 0
        while True:
            chunks += 1
            if chunks % _MAX_CHUNKS_AT_ONCE == 0:
                await trio.lowlevel.checkpoint()
            if memory is not None:
                await memory.prepare(len(body), declared_bytes, limit_bytes)
            with trio.move_on_after(self._limits.idle_timeout_ms / 1000.0):
                event = await self._next_event()
                if not isinstance(event, h11.Data):
                    return bytes(body)
                body += event.data
                if len(body) > limit_bytes:
                    raise _body_too_large(limit_bytes)
                continue
            raise errors.BadMessageError("the body did not end in time", 408)

    async def _send_continue(self) -> None:
        continue_response = h11.InformationalResponse(
            status_code=100, headers=[]
        )
        try:
            await self._write(self._http.send(continue_response) or b"")
        except errors.ConnectionLostError as error:
            raise errors.BadMessageError("the caller is gone") from error

    async def _next_event(self) -> _Parsed:
        event = self._parse()
        while event is h11.NEED_DATA:
            self._feed(await self._receive())
            event = self._parse()
        return event

    def _parse(self) -> _Parsed:
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as error:
            raise _bad_message(error) from error

    def _feed(self, data: bytes) -> None:
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise _bad_message(error) from error


def _charged_bytes(size_bytes: int) -> int:
    return size_bytes + size_bytes // _GROWTH_FRACTION


def _bad_message(error: h11.RemoteProtocolError) -> errors.BadMessageError:
    return errors.BadMessageError(str(error), error.error_status_hint)


def _body_too_large(limit_bytes: int) -> errors.BadMessageError:
    return errors.BadMessageError(
        f"the body is larger than {limit_bytes} bytes", 413
    )
