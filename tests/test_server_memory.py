"""Tests of a server that checks heads and shares a bounded memory."""

from collections.abc import AsyncIterator, Awaitable, Callable
import contextlib
import functools
import select

import attrs
import pytest
import trio

from quetzalmill import errors
from quetzalmill import gateway_memory
from quetzalmill import host_memory
from quetzalmill import http_message
from quetzalmill import http_reader
from quetzalmill import http_server
from quetzalmill import http_server_connection
from quetzalmill import memory_account
from quetzalmill import memory_decision

_LIMIT_S = 20.0
_LIMIT_BYTES = 1_000_000
_UNREAD_BYTES = 32_000_000
"""More than the sockets' buffers take."""
_LARGE_HEAD = (
    b"POST /large HTTP/1.1\r\nHost: a\r\nContent-Length: 900000\r\n\r\n"
)
_SMALL = b"POST /small HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx"


@attrs.define
class _Server:
    """A server whose requests end when they are told to."""

    port: int = 0
    ran: list[str] = attrs.field(factory=list)
    may_end: trio.Event = attrs.field(factory=trio.Event)
    serve_with: http_server.Handler | None = None

    async def handle(
        self, request: http_message.Request, exchange: http_server.Exchange
    ) -> None:
        self.ran.append(request.path)
        if self.serve_with is not None:
            await self.serve_with(request, exchange)
            return
        if request.path == "/held":
            await self.may_end.wait()
        await exchange.respond(200, b"done")

    async def connect(self, data: bytes = b"") -> trio.SocketStream:
        stream = await trio.open_tcp_stream("127.0.0.1", self.port)
        if data:
            await stream.send_all(data)
        return stream


@contextlib.asynccontextmanager
async def _serving(
    *,
    max_connections: int = 100,
    check_head: http_server_connection.HeadCheck = (
        http_server_connection.accept_all
    ),
    on_error: http_server_connection.ErrorHook = lambda _: None,
    limit_bytes: int = _LIMIT_BYTES,
) -> AsyncIterator[_Server]:
    server = _Server()
    with trio.fail_after(_LIMIT_S):
        async with trio.open_nursery() as nursery:
            server.port = await nursery.start(
                functools.partial(
                    http_server.serve,
                    "127.0.0.1:0",
                    server.handle,
                    limits=http_message.Limits(max_connections=max_connections),
                    stopping=trio.Event(),
                    check_head=check_head,
                    on_error=on_error,
                    memory=host_memory.HostMemory(limit_bytes),
                )
            )
            yield server
            nursery.cancel_scope.cancel()


async def _read_to_end(stream: trio.SocketStream) -> bytes:
    return b"".join([part async for part in stream])


def _run(main: Callable[[], Awaitable[None]]) -> None:
    trio.run(main)


class TestHeads:
    """A request is refused when its head has been read."""

    def test_body_is_not_awaited(self) -> None:
        """Guards against bodies that are stored before keys are checked."""

        async def respond(exchange: http_server.Exchange) -> None:
            await exchange.respond(401, b"no")

        async def main() -> None:
            rejected = http_server_connection.Rejected(respond)
            async with _serving(check_head=lambda _: rejected) as server:
                stream = await server.connect(_LARGE_HEAD + bytes(10))
                response = await _read_to_end(stream)
                assert response.startswith(b"HTTP/1.1 401")
                assert b"connection: close" in response.lower()
                assert not server.ran

        _run(main)

    def test_failed_check_ends_only_its_connection(self) -> None:
        """Guards against a process that ends with an exception of a check."""
        reported: list[BaseException] = []

        def check_head(
            request: http_message.Request,
        ) -> http_server_connection.Accepted:
            if request.path == "/large":
                raise ValueError("the check failed")
            return http_server_connection.Accepted()

        async def main() -> None:
            async with _serving(
                check_head=check_head, on_error=reported.append
            ) as server:
                stream = await server.connect(_LARGE_HEAD)
                response = await _read_to_end(stream)
                assert response.startswith(b"HTTP/1.1 500")
                assert b"connection: close" in response.lower()
                other = await server.connect(_SMALL)
                assert b"200" in await other.receive_some(100)

        _run(main)
        assert [type(error) for error in reported] == [ValueError]

    def test_split_heads_are_bounded(self) -> None:
        """Guards against incomplete heads that fill the memory."""

        async def main() -> None:
            async with _serving() as server:
                start = b"GET / HTTP/1.1\r\nX-Fill: " + bytes(12_000)
                start = start.replace(b"\0", b"x")
                streams = [await server.connect(start) for _ in range(30)]
                await trio.sleep(0.2)
                refused = [
                    stream
                    for stream in streams
                    if select.select([stream.socket], [], [], 0)[0]
                ]
                # Each is charged 24 KiB and, for its head, 64 KiB.
                assert len(refused) >= 20
                # The first were displaced, and closed without a response.
                response = await _read_to_end(refused[-1])
                assert response.startswith(b"HTTP/1.1 503")
                small = await server.connect(_SMALL)
                assert b"200" in await small.receive_some(100)

        _run(main)


class TestBodies:
    """A large body that stops before the end."""

    def test_it_gives_way_with_a_true_refusal(self) -> None:
        """Guards against 503 for a request that may have run."""

        async def main() -> None:
            async with _serving() as server:
                stalled = await server.connect(_LARGE_HEAD + bytes(899_999))
                await trio.sleep(0.1)
                for _ in range(8):
                    other = await server.connect(_SMALL)
                    assert b"200" in await other.receive_some(100)
                refused = await _read_to_end(stalled)
                assert refused.startswith(b"HTTP/1.1 503")
                assert b'"ran": "no"' in refused
                assert b"retry-after" in refused.lower()
                assert "/large" not in server.ran

        _run(main)


class TestHonestBodies:
    """Large bodies that are sent to their end at the same time."""

    @pytest.mark.parametrize("is_chunked", [False, True])
    def test_all_are_served(self, is_chunked: bool) -> None:
        """Guards against bodies that block each other until refused."""
        size_bytes = 4_194_304
        statuses: list[bytes] = []
        head = b"POST /whole HTTP/1.1\r\nHost: a\r\n"
        if is_chunked:
            head += b"Transfer-Encoding: chunked\r\n\r\n"
            chunk = b"10000\r\n" + bytes(65_536) + b"\r\n"
            body = chunk * (size_bytes // 65_536) + b"0\r\n\r\n"
        else:
            head += b"Content-Length: %d\r\n\r\n" % size_bytes
            body = bytes(size_bytes)

        async def main() -> None:
            # The account of the smallest host, three tenths of 128 MB.
            async with _serving(limit_bytes=38_400_000) as server:

                async def send() -> None:
                    stream = await server.connect(head)
                    with contextlib.suppress(trio.BrokenResourceError):
                        await stream.send_all(body)
                    statuses.append((await stream.receive_some(100))[9:12])
                    await stream.aclose()

                async with trio.open_nursery() as nursery:
                    for _ in range(8):
                        nursery.start_soon(send)

        _run(main)
        assert statuses == [b"200"] * 8


class TestChunkedBodies:
    """Bodies whose length is not declared."""

    @pytest.mark.parametrize("size_bytes", [1, 2_048, 12_288])
    def test_small_ones_are_small_charges(self, size_bytes: int) -> None:
        """Guards against small bodies that are refused or displaced."""

        async def main() -> None:
            memory = host_memory.HostMemory(_LIMIT_BYTES)
            charge, connection = (
                memory.open(kind, "team", lambda: None)
                for kind in (
                    memory_account.Kind.BODY,
                    memory_account.Kind.CONNECTION,
                )
            )
            body = http_reader.BodyMemory(memory, charge, connection)
            for body_bytes in range(size_bytes + 1):
                await body.prepare(body_bytes, None, _LIMIT_BYTES)
            assert charge.held_bytes <= memory_decision.SMALL_BYTES

        _run(main)

    def test_large_ones_are_charged_before_they_are_received(self) -> None:
        """Guards against chunked bodies that grow without being charged."""

        async def main() -> None:
            memory = host_memory.HostMemory(_LIMIT_BYTES)
            kind = memory_account.Kind.BODY
            charge = memory.open(kind, "team", lambda: None)
            body = http_reader.BodyMemory(memory, charge, charge)
            for body_bytes in range(0, 200_000, 1_000):
                await body.prepare(body_bytes, None, _LIMIT_BYTES)
                assert charge.held_bytes > body_bytes

        _run(main)


class TestFullTable:
    """More connections than the server keeps."""

    def test_idle_connections_give_way(self) -> None:
        """Guards against idle callers that keep others out."""

        async def main() -> None:
            async with _serving(max_connections=2) as server:
                first, _ = [await server.connect() for _ in range(2)]
                await trio.sleep(0.1)
                third = await server.connect(_SMALL)
                assert b"200" in await third.receive_some(100)
                assert not await first.receive_some(1)

        _run(main)

    def test_unread_response_gives_way(self) -> None:
        """Guards against callers that fill the table and do not read."""

        async def main() -> None:
            async with _serving(max_connections=1) as server:

                async def respond(
                    request: http_message.Request,
                    exchange: http_server.Exchange,
                ) -> None:
                    is_large = request.path == "/unread"
                    body = bytes(_UNREAD_BYTES) if is_large else b"done"
                    await exchange.respond(200, body)

                server.serve_with = respond
                unread = await server.connect(
                    _SMALL.replace(b"small", b"unread")
                )
                while not server.ran:
                    await trio.sleep(0.01)
                second = await server.connect(_SMALL)
                # The idle timeout is longer than the test.
                assert b"200" in await second.receive_some(100)
                await unread.aclose()

        _run(main)

    def test_running_requests_do_not_give_way(self) -> None:
        """Guards against requests that run without getting a response."""

        async def main() -> None:
            async with _serving(max_connections=1) as server:
                held = await server.connect(_SMALL.replace(b"small", b"held"))
                while not server.ran:
                    await trio.sleep(0.01)
                second = await server.connect(_SMALL)
                await trio.sleep(0.2)
                assert server.ran == ["/held"]
                server.may_end.set()
                assert b"200" in await held.receive_some(100)
                assert b"200" in await second.receive_some(100)

        _run(main)


class TestPrompts:
    """Prompts that are put together from chains of turns."""

    def test_prompt_without_memory_is_not_held(self) -> None:
        """Guards against chains that together exceed the memory."""
        held: list[bool] = []

        async def main() -> None:
            async with _serving() as server:

                async def hold(
                    request: http_message.Request,
                    exchange: http_server.Exchange,
                ) -> None:
                    held.append(exchange.hold_prompt(500_000))
                    if len(held) < 3:
                        await server.may_end.wait()
                    await exchange.respond(200, request.body)

                server.serve_with = hold
                streams = [await server.connect(_SMALL) for _ in range(2)]
                while len(held) < 2:
                    await trio.sleep(0.01)
                server.may_end.set()
                for stream in streams:
                    assert b"200" in await stream.receive_some(100)
                last = await server.connect(_SMALL)
                assert b"200" in await last.receive_some(100)
            assert held == [True, False, True]

        _run(main)


class TestLimits:
    """The connections that a gateway's settings allow."""

    @pytest.mark.parametrize(
        ("max_fds", "descriptors", "connections"),
        [
            (300, 20_000, 75),
            (4_100, 20_000, 2_925),
            (4_100, 1_024, 618),
            (0, 20_000, 4_096),
            (210, 20_000, 16),
        ],
    )
    def test_descriptors_bound_the_connections(
        self, max_fds: int, descriptors: int, connections: int
    ) -> None:
        limits = gateway_memory.limits(max_fds, descriptors)
        assert limits.max_connections == connections


class TestWaiting:
    """Bodies that wait for memory."""

    def test_nearly_complete_body_goes_first(self) -> None:
        async def main() -> None:
            memory = host_memory.HostMemory(_LIMIT_BYTES)
            granted: list[int] = []

            def ignore() -> None:
                raise AssertionError("nothing is to be revoked")

            def open_charge(size_bytes: int) -> memory_account.Charge:
                kind = memory_account.Kind.BODY
                charge = memory.open(kind, "team", ignore)
                memory.add(charge, size_bytes)
                return charge

            running = open_charge(400_000)
            running.is_revocable = False

            async def wait(remaining_bytes: int) -> None:
                charge = open_charge(30_000)
                charge.remaining_bytes = remaining_bytes
                with contextlib.suppress(errors.BadMessageError):
                    await memory.grow(charge, 200_000)
                    granted.append(remaining_bytes)

            async with trio.open_nursery() as nursery:
                for remaining_bytes in (900, 100, 500):
                    nursery.start_soon(wait, remaining_bytes)
                await trio.sleep(0.05)
                assert not granted
                memory.shrink(running, 100_000)
                await trio.sleep(0.05)
                assert granted == [100]
                nursery.cancel_scope.cancel()

        _run(main)

    def test_refused_when_no_memory_becomes_free(self) -> None:
        async def main() -> None:
            memory = host_memory.HostMemory(_LIMIT_BYTES)
            kind = memory_account.Kind.BODY
            running = memory.open(kind, "team", lambda: None)
            running.is_revocable = False
            memory.add(running, _LIMIT_BYTES)
            charge = memory.open(kind, "team", lambda: None)
            with pytest.raises(errors.BadMessageError) as raised:
                await memory.grow(charge, 100_000)
            assert raised.value.status == 503
            assert charge.held_bytes == 0

        _run(main)

    def test_wait_is_limited_for_a_body_not_for_a_step(self) -> None:
        """Guards against bodies that wait anew for each of their steps."""

        async def main() -> None:
            memory = host_memory.HostMemory(_LIMIT_BYTES)
            kind = memory_account.Kind.BODY
            running = memory.open(kind, "team", lambda: None)
            running.is_revocable = False
            memory.add(running, _LIMIT_BYTES)
            charge = memory.open(kind, "team", lambda: None)
            charge.waited_ms = memory_decision.MAX_WAIT_MS - 100.0
            with trio.fail_after(1.0), pytest.raises(errors.BadMessageError):
                await memory.grow(charge, 100_000)

        _run(main)
