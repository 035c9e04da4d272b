"""A server that repeats each answer where the next one is due."""

from collections.abc import AsyncIterator, Awaitable, Callable
import contextlib
import re
from typing import TypeVar

import attrs
import trio

from quetzalmill import exchange_ids

Answer = Callable[[bytes], bytes]
"""Returns the bytes of the answer to a request, of which it gets the bytes."""

_MAX_S = 10.0
_Result = TypeVar("_Result")


def reply(status: int, body: bytes = b"", headers: bytes = b"") -> Answer:
    """Returns the answer with a status and a body, whatever is asked."""
    head = b"HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n"
    data = head % (status, headers, len(body)) + body
    return lambda _: data


def named(answer: Answer) -> Answer:
    """Returns an answer that repeats the id in the head of its request."""
    prefix = exchange_ids.HEADER.encode() + b": "

    def name(request: bytes) -> bytes:
        head, end, body = answer(request).partition(b"\r\n\r\n")
        for line in request.partition(b"\r\n\r\n")[0].split(b"\r\n"):
            if line.startswith(prefix):
                head += b"\r\n" + line
        return head + end + body

    return name


@attrs.define
class LateCopies:
    """Answers requests in order, on each connection after a late copy.

    Attributes:
        answers: The answers that remain.
        late: What is sent late instead of a copy, if given.
        connections: How many connections were made.
        copies: How many answers were sent once more.
    """

    answers: list[Answer]
    late: Answer | None = None
    connections: int = 0
    copies: int = 0

    @contextlib.asynccontextmanager
    async def serving(self) -> AsyncIterator[str]:
        """Serves inside the context and yields the address."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, self._serve, listeners)
            yield f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
            nursery.cancel_scope.cancel()

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        copy = b""
        with contextlib.suppress(trio.BrokenResourceError):
            while request := await _receive(stream):
                own = self.answers.pop(0)(request)
                self.copies += bool(copy)
                await stream.send_all(copy + own)
                copy = own if self.late is None else self.late(request)


async def _receive(stream: trio.SocketStream) -> bytes:
    """Returns the bytes of one request; empty at the connection's end."""
    request = b""
    while True:
        head, end, body = request.partition(b"\r\n\r\n")
        length = re.search(rb"(?i)\r\ncontent-length: (\d+)", head)
        if end and (length is None or len(body) >= int(length[1])):
            return request
        data = bytes(await stream.receive_some())
        if not data:
            return b""
        request += data


def ask(
    answers: list[Answer],
    use: Callable[[str], Awaitable[_Result]],
    late: Answer | None = None,
) -> _Result:
    """Runs ``use`` with the address of a server that sends late copies."""
    return ask_server(LateCopies(answers, late), use)


def ask_server(
    server: LateCopies, use: Callable[[str], Awaitable[_Result]]
) -> _Result:
    """Runs ``use`` with the address of a server."""

    async def run() -> _Result:
        async with server.serving() as address:
            with trio.fail_after(_MAX_S):
                return await use(address)

    return trio.run(run)
