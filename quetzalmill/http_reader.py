"""Reads complete requests from a connection and enforces its limits."""

from collections.abc import Awaitable, Callable

import h11
import trio

from quetzalmill import errors
from quetzalmill import http_message

_MAX_CHUNKS_AT_ONCE = 64
"""Chunks that are parsed from received bytes before other tasks run."""

_Parsed = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


class RequestReader:
    """Reads the requests of one connection in sequence.

    Args:
        http: The protocol state of the connection.
        limits: The size and time limits of a request.
        receive: Receives some bytes; returns ``b""`` at the end of the
            connection.
        write: Sends bytes; raises ``errors.ConnectionLostError``.
    """

    def __init__(
        self,
        http: h11.Connection,
        limits: http_message.Limits,
        receive: Callable[[], Awaitable[bytes]],
        write: Callable[[bytes], Awaitable[None]],
    ) -> None:
        self._http = http
        self._limits = limits
        self._receive = receive
        self._write = write

    async def read(self) -> http_message.Request:
        """Reads a complete request.

        Raises:
            errors.BadMessageError: The request is malformed, too large or too
                slow.
        """
        head = await self._read_head()
        path, raw_query, query = http_message.parse_target(head.target)
        body = await self._read_body(head)
        return http_message.Request(
            method=head.method.decode("ascii"),
            path=path,
            query=query,
            raw_query=raw_query,
            headers=http_message.join_headers(list(head.headers)),
            body=body,
        )

    async def _read_head(self) -> h11.Request:
        with trio.move_on_after(self._limits.header_timeout_ms / 1000.0):
            event = await self._next_event()
            if not isinstance(event, h11.Request):
                raise errors.BadMessageError("the request has no head")
            size = sum(len(n) + len(v) + 4 for n, v in event.headers)
            if size + len(event.target) > self._limits.max_header_bytes:
                raise errors.BadMessageError("the head is too large", 431)
            return event
        raise errors.BadMessageError("the head did not end in time", 408)

    async def _read_body(self, head: h11.Request) -> bytes:
        limit_bytes = self._limits.max_body_bytes
        for name, value in head.headers:
            if name == b"content-length" and int(value) > limit_bytes:
                raise _body_too_large(limit_bytes)
        if self._http.they_are_waiting_for_100_continue:
            await self._send_continue()
        body = bytearray()
        chunks = 0
        while True:
            chunks += 1
            if chunks % _MAX_CHUNKS_AT_ONCE == 0:
                await trio.lowlevel.checkpoint()
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
        try:
            event = self._http.next_event()
            while event is h11.NEED_DATA:
                self._http.receive_data(await self._receive())
                event = self._http.next_event()
        except h11.RemoteProtocolError as error:
            raise errors.BadMessageError(
                str(error), error.error_status_hint
            ) from error
        return event


def _body_too_large(limit_bytes: int) -> errors.BadMessageError:
    return errors.BadMessageError(
        f"the body is larger than {limit_bytes} bytes", 413
    )
