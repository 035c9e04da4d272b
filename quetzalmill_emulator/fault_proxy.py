"""A TCP proxy in a thread that injects network faults between processes.

Each link listens on a loopback address and forwards to one target, so the
proxy works for every protocol over TCP. A cut holds bytes back while
connections stay open, and delivers them when it is healed, as a network does.
Connections to a cut link are still accepted, by the proxy's own machine; to
make them fail, a test sets ``refuse``.
"""

from collections.abc import Awaitable, Callable
import contextlib
import enum
import random
import socket
import struct
import threading
import types
from typing import Any, Self, TypeVar

import attrs
import trio

from quetzalmill import http_message

_RECEIVE_BYTES = 65_536
_MAX_QUEUED = 64
_BACKLOG = 128
_START_TIMEOUT_S = 10.0
_LINGER_ZERO = struct.pack("ii", 1, 0)

_T = TypeVar("_T")


class Direction(enum.Enum):
    """The direction of bytes over a link."""

    REQUESTS = "requests"
    REPLIES = "replies"


@attrs.frozen(kw_only=True)
class Faults:
    """The active faults of a link; the defaults are a healthy link.

    Attributes:
        delay_ms: The one-way delay of bytes.
        jitter_ms: The maximum random delay that is added to it.
        refuse: Whether new connections are refused.
        cut_requests: Whether bytes towards the target are held back.
        cut_replies: Whether bytes from the target are held back.
        lose_replies: The number of next replies that are dropped after the
            target sent them; their connection is reset.
        lose_after_bytes: The minimum request size for a reply to be dropped
            by ``lose_replies``.
    """

    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    refuse: bool = False
    cut_requests: bool = False
    cut_replies: bool = False
    lose_replies: int = 0
    lose_after_bytes: int = 1

    def cuts(self, direction: Direction) -> bool:
        """Returns whether bytes are held back in a direction."""
        if direction is Direction.REQUESTS:
            return self.cut_requests
        return self.cut_replies


class FaultProxy:
    """The links of one test; a context manager.

    Args:
        seed: The seed of the jitter.
    """

    def __init__(self, seed: int = 1) -> None:
        self._seed = seed
        self._links: dict[str, _Link] = {}
        self._started = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._stop: trio.Event
        self._nursery: trio.Nursery
        self._token: trio.lowlevel.TrioToken

    def __enter__(self) -> Self:
        self._thread.start()
        if not self._started.wait(_START_TIMEOUT_S):
            raise AssertionError("the fault proxy did not start")
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self._token.run_sync_soon(self._stop.set)
        self._thread.join(_START_TIMEOUT_S)

    def link(self, name: str, target: str) -> str:
        """Opens a link to ``target``; returns the address to connect to."""
        if name in self._links:
            raise ValueError(f"there is a link {name!r} already")

        async def add() -> str:
            rng = random.Random(f"{self._seed}-{name}")
            added = _Link(target, rng, self._nursery)
            self._links[name] = added
            return added.address

        return self._call(add)

    def set_faults(self, name: str, **faults: Any) -> None:
        """Sets the faults of a link, replacing all earlier ones."""

        async def apply() -> None:
            self._links[name].apply(Faults(**faults))

        self._call(apply)

    def heal(self, name: str | None = None) -> None:
        """Clears the faults of one link, or of all links."""

        async def apply() -> None:
            for other, link in self._links.items():
                if name in (None, other):
                    link.apply(Faults())

        self._call(apply)

    def reset(self, name: str) -> int:
        """Resets the open connections of a link; returns their number."""

        async def apply() -> int:
            return self._links[name].reset()

        return self._call(apply)

    def open_connections(self, name: str) -> int:
        """Returns the number of open connections of a link."""

        async def count() -> int:
            return len(self._links[name].connections)

        return self._call(count)

    def lost_replies(self, name: str) -> int:
        """Returns the number of dropped replies of a link."""

        async def count() -> int:
            return self._links[name].lost_replies

        return self._call(count)

    def _call(self, function: Callable[[], Awaitable[_T]]) -> _T:
        return trio.from_thread.run(function, trio_token=self._token)

    def _run(self) -> None:
        trio.run(self._main)

    async def _main(self) -> None:
        self._stop = trio.Event()
        self._token = trio.lowlevel.current_trio_token()
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._started.set()
            await self._stop.wait()
            nursery.cancel_scope.cancel()
        for link in self._links.values():
            link.close()


class _Link:
    """One listening address and the connections made to it."""

    def __init__(
        self, target: str, rng: random.Random, nursery: trio.Nursery
    ) -> None:
        self.target = target
        self.connections: set[_Connection] = set()
        self.lost_replies = 0
        self._draws = rng
        self._nursery = nursery
        self._faults = Faults()
        self._changed = trio.Event()
        # A socket that is sock but never listens keeps the port while
        # connections are refused.
        self._port_holder = _bind("127.0.0.1", 0)
        host, port = self._port_holder.getsockname()
        self.address = f"{host}:{port}"
        self._listener: trio.socket.SocketType | None = None
        self._listen()

    def apply(self, faults: Faults) -> None:
        """Sets the faults, replacing all earlier ones."""
        self._faults = faults
        self._changed.set()
        self._changed = trio.Event()
        if faults.refuse:
            self._stop_listening()
        else:
            self._listen()

    def close(self) -> None:
        """Stops listening and releases the port."""
        self._stop_listening()
        self._port_holder.close()

    def reset(self) -> int:
        """Resets all connections; returns their number."""
        connections = list(self.connections)
        for connection in connections:
            connection.reset()
        return len(connections)

    def delay_s(self) -> float:
        """Returns a random delay for one chunk of bytes, in seconds."""
        return draw_delay_s(self._faults, self._draws)

    async def wait_flow(self, direction: Direction) -> None:
        """Waits while the direction is cut."""
        while self._faults.cuts(direction):
            await self._changed.wait()

    def consume_lost_reply(self, request_bytes: int) -> bool:
        """Returns whether to drop the reply to a request of this size."""
        remaining = self._faults.lose_replies
        if remaining <= 0 or request_bytes < self._faults.lose_after_bytes:
            return False
        self._faults = attrs.evolve(self._faults, lose_replies=remaining - 1)
        self.lost_replies += 1
        return True

    def _listen(self) -> None:
        if self._listener is not None:
            return
        host, port = http_message.split_address(self.address)
        self._listener = trio.socket.from_stdlib_socket(_bind(host, port))
        self._listener.listen(_BACKLOG)
        self._nursery.start_soon(self._accept, self._listener)

    def _stop_listening(self) -> None:
        if self._listener is None:
            return
        self._listener.close()
        self._listener = None

    async def _accept(self, listener: trio.socket.SocketType) -> None:
        with contextlib.suppress(trio.ClosedResourceError):
            while True:
                accepted, _ = await listener.accept()
                connection = _Connection(self, trio.SocketStream(accepted))
                self._nursery.start_soon(connection.run)


class _Connection:
    """A client's connection to a link and the connection to the target."""

    def __init__(self, link: _Link, client: trio.SocketStream) -> None:
        self._link = link
        self._streams = [client]
        self._scope = trio.CancelScope()
        self._request_bytes = 0

    async def run(self) -> None:
        """Forwards bytes both ways until both ends have finished."""
        self._link.connections.add(self)
        try:
            with self._scope:
                await self._link.wait_flow(Direction.REQUESTS)
                await self._forward()
        finally:
            self._link.connections.discard(self)
            for stream in self._streams:
                await trio.aclose_forcefully(stream)

    def reset(self) -> None:
        """Resets both ends at once."""
        for stream in self._streams:
            with contextlib.suppress(OSError):
                stream.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO
                )
        self._scope.cancel()

    async def _forward(self) -> None:
        client = self._streams[0]
        host, port = http_message.split_address(self._link.target)
        try:
            server = await trio.open_tcp_stream(host, port)
        except OSError:
            self.reset()
            return
        self._streams.append(server)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._pump, client, server, Direction.REQUESTS)
            nursery.start_soon(self._pump, server, client, Direction.REPLIES)

    async def _pump(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        direction: Direction,
    ) -> None:
        sender, receiver = trio.open_memory_channel[tuple[float, bytes | None]](
            _MAX_QUEUED
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read, source, sender)
            await self._write(receiver, sink, direction)
            nursery.cancel_scope.cancel()

    async def _read(
        self,
        source: trio.SocketStream,
        sender: trio.MemorySendChannel[tuple[float, bytes | None]],
    ) -> None:
        """Queues received bytes with the time at which they are due."""
        due_s = 0.0
        data: bytes | None = b"-"
        while data:
            try:
                data = bytes(await source.receive_some(_RECEIVE_BYTES))
            except trio.BrokenResourceError:
                data = None
            due_s = max(due_s, trio.current_time() + self._link.delay_s())
            await sender.send((due_s, data))

    async def _write(
        self,
        receiver: trio.MemoryReceiveChannel[tuple[float, bytes | None]],
        sink: trio.SocketStream,
        direction: Direction,
    ) -> None:
        async for due_s, data in receiver:
            await trio.sleep_until(due_s)
            await self._link.wait_flow(direction)
            try:
                if data is None or self._drops_reply(data, direction):
                    self.reset()
                    return
                if not data:
                    await sink.send_eof()
                    return
                await sink.send_all(data)
            except trio.BrokenResourceError:
                self.reset()
                return

    def _drops_reply(self, data: bytes, direction: Direction) -> bool:
        """Counts request bytes; returns whether this reply is dropped."""
        if direction is Direction.REQUESTS:
            self._request_bytes += len(data)
            return False
        request_bytes = self._request_bytes
        self._request_bytes = 0
        return bool(data) and self._link.consume_lost_reply(request_bytes)


def draw_delay_s(faults: Faults, rng: random.Random) -> float:
    """Returns a random delay for one chunk of bytes, in seconds."""
    jitter_ms = faults.jitter_ms * rng.random()
    return (faults.delay_ms + jitter_ms) / 1000.0


def _bind(host: str, port: int) -> socket.socket:
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.setblocking(False)
    sock.bind((host, port))
    return sock
