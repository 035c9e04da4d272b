"""A small HTTP/1.1 server and client on asyncio streams."""

import asyncio
from collections.abc import Awaitable, Callable
import dataclasses
import json
from typing import Any
import urllib.parse

_MAX_LINE_BYTES = 1 << 20
_REASON = "Status"


@dataclasses.dataclass
class Request:
    """A request as a server has read it; header names are lower-case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """The decoded fields of the query."""
        return dict(urllib.parse.parse_qsl(self.target.partition("?")[2]))


@dataclasses.dataclass
class Answer:
    """An answer as a requester has seen it.

    Attributes:
        status: The status; 0 if the channel ended before a whole head.
        headers: The headers, by lower-case name.
        body: The bytes of the body that arrived.
        is_complete: Whether the whole body arrived.
        end: Why the answer is incomplete; empty if it is complete.
    """

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False
    end: str = ""


class Channel:
    """The server's side of one connection."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.requests = 0
        self.notes: dict[str, Any] = {}

    def is_closed_by_peer(self) -> bool:
        """Returns whether the other side has closed the channel."""
        return self.reader.at_eof() or self.writer.is_closing()

    async def respond(
        self, status: int, headers: dict[str, str], body: bytes = b""
    ) -> None:
        """Sends a whole answer."""
        await self.write(encode_answer(status, headers, body))

    async def start_chunks(self, status: int, headers: dict[str, str]) -> None:
        """Sends the head of an answer whose body follows in chunks."""
        head = {**headers, "Transfer-Encoding": "chunked"}
        await self.write(_encode_head(status, head))

    async def send_chunk(self, data: bytes) -> None:
        """Sends one chunk."""
        await self.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    async def end_chunks(self) -> None:
        """Ends the body."""
        await self.write(b"0\r\n\r\n")

    async def write(self, data: bytes) -> None:
        """Sends bytes as they are."""
        self.writer.write(data)
        await self.writer.drain()


Handler = Callable[[Request, Channel], Awaitable[None]]


class Server:
    """A server that handles the requests of a channel in sequence."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Listens on an address."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(
            self._run, host, int(port), limit=_MAX_LINE_BYTES
        )

    async def stop(self) -> None:
        """Stops listening and closes all channels."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        channel = Channel(reader, writer)
        try:
            while (request := await _read_request(reader)) is not None:
                channel.requests += 1
                await self._handler(request, channel)
                if writer.is_closing():
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()


async def respond_json(channel: Channel, status: int, value: Any) -> None:
    """Sends a JSON answer."""
    body = json.dumps(value).encode()
    await channel.respond(status, {"Content-Type": "application/json"}, body)


def encode_answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Returns the bytes of a whole answer."""
    return (
        _encode_head(status, {**headers, "Content-Length": str(len(body))})
        + body
    )


def _encode_head(status: int, headers: dict[str, str]) -> bytes:
    lines = [f"HTTP/1.1 {status} {_REASON}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class Client:
    """A requester's channel to one machine; it may be used again."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def request(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes = b"",
        *,
        timeout_s: float,
        gap_s: float | None = None,
        on_sent: Callable[[], None] | None = None,
    ) -> Answer:
        """Sends a request and reads its answer as far as it comes.

        A stream is abandoned after ``gap_s`` without anything of it.
        """
        answer = Answer()
        try:
            async with asyncio.timeout(timeout_s):
                await self._exchange(
                    answer, method, target, headers, body, gap_s, on_sent
                )
        except TimeoutError:
            answer.end = "timeout"
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            answer.end = f"closed: {type(error).__name__}"
        keeps = answer.headers.get("connection", "").lower() != "close"
        if not answer.is_complete or not keeps:
            self.close()
        return answer

    def close(self) -> None:
        """Closes the channel."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def _exchange(
        self,
        answer: Answer,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
        gap_s: float | None,
        on_sent: Callable[[], None] | None,
    ) -> None:
        if self._writer is None:
            host, _, port = self.address.rpartition(":")
            self._reader, self._writer = await asyncio.open_connection(
                host, int(port), limit=_MAX_LINE_BYTES
            )
        assert self._reader is not None
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
        self._writer.write(head + body)
        await self._writer.drain()
        if on_sent is not None:
            on_sent()
        async with asyncio.timeout(gap_s):
            first, answer.headers = await _read_head(self._reader)
        answer.status = int(first.split(" ")[1])
        pieces = _read_body(self._reader, answer.headers)
        while True:
            try:
                async with asyncio.timeout(gap_s):
                    answer.body += await anext(pieces)
            except StopAsyncIteration:
                break
        answer.is_complete = True


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    try:
        first, headers = await _read_head(reader)
    except asyncio.IncompleteReadError:
        return None
    method, target, _ = first.split(" ", 2)
    body = b"".join([data async for data in _read_body(reader, headers)])
    return Request(method, target, headers, body)


async def _read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    raw = await reader.readuntil(b"\r\n\r\n")
    first, *lines = raw.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def _read_body(reader: asyncio.StreamReader, headers: dict[str, str]):
    """Yields the pieces of a body as they arrive."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return
            yield data[:-2]
    length = int(headers.get("content-length", "0"))
    if length:
        yield await reader.readexactly(length)
