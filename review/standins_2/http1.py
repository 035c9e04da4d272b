"""HTTP/1.1 for the stand-ins, both sides, with the bytes in view."""

import asyncio
from collections.abc import Awaitable, Callable
import contextlib
import dataclasses
import urllib.parse

HEAD_BYTES = 1 << 17


class BrokenError(Exception):
    """A channel ended, or its bytes are no message."""


@dataclasses.dataclass
class Message:
    """A request or a response; the names of headers are in lower case."""

    start: list[str]
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start[1])

    @property
    def path(self) -> str:
        """The path of a request."""
        return self.start[1].partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """The query of a request."""
        raw = self.start[1].partition("?")[2]
        return dict(urllib.parse.parse_qsl(raw, keep_blank_values=True))


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Reads a head; None if the channel ends before it."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise BrokenError("the head is cut") from error
    except (OSError, asyncio.LimitOverrunError) as error:
        raise BrokenError(repr(error)) from error
    first, *lines = raw[:-4].decode("latin-1").split("\r\n")
    headers: dict[str, str] = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(first.split(" ", 2), headers)


async def read_chunks(
    reader: asyncio.StreamReader, on_data: Callable[[bytes], None]
) -> None:
    """Reads a chunked body to its end; raises ``BrokenError`` if it is cut."""
    try:
        while True:
            line = await reader.readuntil(b"\r\n")
            size = int(line.split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return
            on_data(data[:-2])
    except (OSError, ValueError, asyncio.IncompleteReadError) as error:
        raise BrokenError(repr(error)) from error


async def read_body(reader: asyncio.StreamReader, message: Message) -> bytes:
    """Reads the body of a message that says how long it is."""
    try:
        if "chunked" in message.headers.get("transfer-encoding", ""):
            body = bytearray()
            await read_chunks(reader, body.extend)
            return bytes(body)
        length = int(message.headers.get("content-length", "0"))
        return await reader.readexactly(length)
    except (OSError, asyncio.IncompleteReadError) as error:
        raise BrokenError(repr(error)) from error


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Returns the bytes of a message with a length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def chunk(data: bytes) -> bytes:
    """Returns one chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class Channel:
    """One channel of a server."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    async def send(self, data: bytes) -> None:
        """Sends bytes; raises ``BrokenError`` if the peer has left."""
        try:
            self.writer.write(data)
            await self.writer.drain()
        except OSError as error:
            raise BrokenError(repr(error)) from error

    def reset(self) -> None:
        """Resets the channel."""
        self.writer.transport.abort()


Handler = Callable[[Message, Channel], Awaitable[None]]
EarlyHandler = Callable[[Message, Channel], Awaitable[bool]]


async def _read_all_first(head: Message, channel: Channel) -> bool:
    return False


class Server:
    """Serves requests on channels that are kept, one at a time on each.

    Args:
        handler: Answers a request that was read whole.
        early: May answer when only the head was read, and end the channel;
            returns whether it has.
    """

    def __init__(
        self, handler: Handler, early: EarlyHandler = _read_all_first
    ) -> None:
        self._handler = handler
        self._early = early
        self._server: asyncio.Server | None = None
        self._channels: set[Channel] = set()
        self.host = "127.0.0.1"
        self.port = 0

    @property
    def address(self) -> str:
        """The address that it listens on."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Listens, on the same port as before if there was one."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=HEAD_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Closes its port and resets all channels, as a killed process."""
        if self._server is not None:
            self._server.close()
        for channel in list(self._channels):
            channel.reset()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        channel = Channel(reader, writer)
        self._channels.add(channel)
        try:
            while (request := await read_head(reader)) is not None:
                if await self._early(request, channel):
                    return
                request.body = await read_body(reader, request)
                await self._handler(request, channel)
        except (BrokenError, OSError, asyncio.CancelledError):
            pass
        finally:
            self._channels.discard(channel)
            with contextlib.suppress(OSError):
                writer.close()


async def connect(address: str) -> Channel:
    """Opens a channel; raises ``BrokenError``."""
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port), limit=HEAD_BYTES), 1.0
        )
    except (OSError, TimeoutError) as error:
        raise BrokenError(f"no channel: {error!r}") from error
    return Channel(reader, writer)


async def call(
    address: str,
    start: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 6.0,
) -> Message:
    """Sends a request on a new channel and reads the whole response."""
    channel = await connect(address)
    try:
        async with asyncio.timeout(timeout_s):
            await channel.send(encode(start, headers, body))
            response = await read_head(channel.reader)
            if response is None:
                raise BrokenError("closed without an answer")
            response.body = await read_body(channel.reader, response)
            return response
    except TimeoutError as error:
        raise BrokenError("no whole answer in time") from error
    finally:
        channel.reset()
