"""Tests of a gateway under callers that exhaust its memory or descriptors.

Gateways run as processes on the emulated platform. The tests check only what
does not depend on the speed of the host: that the process is alive, that its
memory and descriptors stay within its host's, and that an ordinary request is
answered while the hostile callers are still connected.
"""

from collections.abc import Awaitable, Callable, Iterator
import contextlib
import pathlib
import socket

import attrs
import pytest
import trio

from quetzalmill import http_message
from quetzalmill import http_server
from quetzalmill_emulator import platform_endpoint
from quetzalmill_load import platform_cluster
from tests import gateway_case
from tests import process_watch

_MEMORY_MB = 128
"""The memory of the smallest hosts."""
_MAX_FDS = 300
"""Descriptors of the test's host; 200 of them are reserved."""
_BODY_BYTES = 4_194_304
"""The default limit of a body."""
_CALLERS = 48
_CONNECTIONS = 400
"""Connections in the forms that need no bodies; more than ``_MAX_FDS``."""
_HEAD_BYTES = 16_000
_COMPLETE_EACH = 8
"""Of the callers, every eighth completes its body."""
_SEND_S = 8.0
"""How long the crowd may take to send; a gateway may stop reading."""
_SMALL_BUFFER_BYTES = 4_096
_OTHER_KEY = "key-of-rallies"
_PIECE_BYTES = 8_192
_CHUNK_BYTES = 65_536
_TINY_CHUNK_BYTES = 16
_TINY_BODY_BYTES = 262_144
_ENDLESS_BYTES = 3 * _BODY_BYTES
_EVENT = b"data: " + b"x" * 1_016 + b"\n\n"
_LARGE_RESPONSE = _EVENT * (6 * 1_024)
"""More than the socket's buffer takes, less than a gateway refuses."""
_HEAD_WAIT_S = 1.0
"""How long a caller waits for the head of its response; the next one sends only
then, so that responses are read from the endpoint one by one."""

_LENGTH = f"Content-Length: {_BODY_BYTES}\r\n"
_CHUNKED = "Transfer-Encoding: chunked\r\n"


@attrs.frozen(kw_only=True)
class _Form:
    """What each caller of a crowd sends.

    Attributes:
        headers: The headers that delimit the body.
        pieces: Returns the writes of a body without its last byte or chunk.
        end: What completes it; empty if nothing does.
        key: The key of the callers.
        path: The path of the requests.
    """

    headers: str
    pieces: Callable[[], Iterator[bytes]]
    end: bytes = b""
    key: str = _OTHER_KEY
    path: str = "/lookup/1"

    def head(self, number: int) -> bytes:
        """Returns the head of a caller's request."""
        return (
            f"POST {self.path} HTTP/1.1\r\nHost: {platform_cluster.HOST}\r\n"
            f"Authorization: Token {self.key}\r\nDeadline-Ms: 4000\r\n"
            f"Attempt-Id: {number:016x}\r\n{self.headers}\r\n"
        ).encode()


def _whole() -> Iterator[bytes]:
    yield bytes(_BODY_BYTES - 1)


def _in_pieces() -> Iterator[bytes]:
    for _ in range(_BODY_BYTES // _PIECE_BYTES - 1):
        yield bytes(_PIECE_BYTES)
    yield bytes(_PIECE_BYTES - 1)


def _chunks(body_bytes: int, chunk_bytes: int) -> Callable[[], Iterator[bytes]]:
    """Returns writes of about 64 KiB that consist of chunks."""
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, bytes(chunk_bytes))
    chunks_at_once = max(1, _CHUNK_BYTES // chunk_bytes)

    def pieces() -> Iterator[bytes]:
        for _ in range(body_bytes // chunk_bytes // chunks_at_once):
            yield chunk * chunks_at_once

    return pieces


def _far_over() -> Iterator[bytes]:
    for _ in range(_ENDLESS_BYTES // _CHUNK_BYTES):
        yield bytes(_CHUNK_BYTES)


_FORMS = {
    "whole": _Form(headers=_LENGTH, pieces=_whole, end=b"x"),
    "pieces": _Form(headers=_LENGTH, pieces=_in_pieces, end=b"x"),
    "large chunks": _Form(
        headers=_CHUNKED,
        pieces=_chunks(_BODY_BYTES, _CHUNK_BYTES),
        end=b"0\r\n\r\n",
    ),
    "tiny chunks": _Form(
        headers=_CHUNKED,
        pieces=_chunks(_TINY_BODY_BYTES, _TINY_CHUNK_BYTES),
        end=b"0\r\n\r\n",
    ),
    "over the limit, declared": _Form(
        headers=f"Content-Length: {_ENDLESS_BYTES}\r\n", pieces=_far_over
    ),
    "over the limit, not declared": _Form(
        headers=_CHUNKED, pieces=_chunks(_ENDLESS_BYTES, _CHUNK_BYTES)
    ),
    "unknown keys": _Form(headers=_LENGTH, pieces=_whole, key="unknown"),
    "unknown route": _Form(headers=_LENGTH, pieces=_whole, path="/nowhere"),
    "same team": _Form(
        headers=_LENGTH, pieces=_whole, end=b"x", key=platform_cluster.KEY
    ),
}


async def _connect(address: str, receive_bytes: int = 0) -> trio.SocketStream:
    host, port = http_message.split_address(address)
    connecting = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    if receive_bytes:
        connecting.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes
        )
    await connecting.connect((host, port))
    return trio.SocketStream(connecting)


async def _send(stream: trio.SocketStream, pieces: Iterator[bytes]) -> None:
    """Sends pieces until all are sent or the gateway closes."""
    try:
        for piece in pieces:
            await stream.send_all(piece)
    except trio.BrokenResourceError:
        return


def _run_crowd(
    path: pathlib.Path,
    callers: int,
    send: Callable[[str, int, list[trio.SocketStream]], Awaitable[None]],
    *,
    ordinary_path: str = "/lookup/2",
    prepare: Callable[[platform_cluster.Cluster, trio.Nursery], Awaitable[None]]
    | None = None,
) -> None:
    """Runs a crowd, then checks the gateway while it is still connected.

    Args:
        path: The directory of the case.
        callers: The number of callers.
        send: Connects one caller, by the gateway's address and the caller's
            number, keeps its connection in the list, and sends.
        ordinary_path: The path of the ordinary request.
        prepare: Starts the endpoints; if left out, a plain service is.
    """

    async def case(cluster: platform_cluster.Cluster) -> None:
        cluster.memory_mb = _MEMORY_MB
        cluster.max_fds = _MAX_FDS
        async with trio.open_nursery() as nursery:
            if prepare is None:
                await cluster.add_endpoint("app-1", "app")
            else:
                await prepare(cluster, nursery)
            gateway = await cluster.add_gateway()
            watch = process_watch.ProcessWatch(gateway.process.pid)
            nursery.start_soon(watch.run)
            streams: list[trio.SocketStream] = []
            with trio.move_on_after(_SEND_S):
                async with trio.open_nursery() as crowd:
                    for number in range(callers):
                        crowd.start_soon(send, gateway.callers, number, streams)
            try:
                _, response = await cluster.call(gateway, ordinary_path)
                ordinary = str(response.status)
            except Exception as error:  # Reported with the measurements.
                ordinary = repr(error)
            assert gateway.process.poll() is None, "the process has ended"
            watch.sample()
            peak_mb = watch.peak_memory_mb()
            nursery.cancel_scope.cancel()
        for stream in streams:
            stream.socket.close()
        measured = (
            f"peak {peak_mb:.0f} MB, {watch.max_descriptors} descriptors, "
            f"ordinary request {ordinary}"
        )
        print(measured)
        assert peak_mb <= _MEMORY_MB, measured
        assert watch.max_descriptors <= _MAX_FDS, measured
        assert ordinary == "200", measured

    gateway_case.run(path, case)


class TestRequestBodies:
    """Callers that send large bodies, most of them not to the end."""

    @pytest.mark.parametrize("form", list(_FORMS))
    def test_gateway_stays_within_its_host(
        self, tmp_path: pathlib.Path, form: str
    ) -> None:
        """Guards against bodies that together exceed the host's memory."""
        sent = _FORMS[form]

        async def send(
            address: str, number: int, streams: list[trio.SocketStream]
        ) -> None:
            stream = await _connect(address)
            streams.append(stream)
            await _send(stream, iter([sent.head(number)]))
            await _send(stream, sent.pieces())
            if sent.end and number % _COMPLETE_EACH == 0:
                await _send(stream, iter([sent.end]))

        _run_crowd(tmp_path, _CALLERS, send)


class TestConnections:
    """More connections than the host has descriptors."""

    @pytest.mark.parametrize("head_bytes", [0, _HEAD_BYTES])
    def test_ordinary_caller_is_not_kept_out(
        self, tmp_path: pathlib.Path, head_bytes: int
    ) -> None:
        """Guards against a connection table that idle callers fill."""
        start = b"POST /lookup/1 HTTP/1.1\r\nX-Fill: "
        head = (start + b"x" * head_bytes)[:head_bytes]

        async def send(
            address: str, number: int, streams: list[trio.SocketStream]
        ) -> None:
            del number
            stream = await _connect(address)
            streams.append(stream)
            await _send(stream, iter([head]))

        _run_crowd(tmp_path, _CONNECTIONS, send)


class TestResponses:
    """Callers and endpoints that do not read what is sent to them."""

    @pytest.mark.parametrize("path", ["/lookup/large", "/quote/large"])
    def test_callers_never_read(
        self, tmp_path: pathlib.Path, path: str
    ) -> None:
        """Guards against unread responses that fill the memory."""

        async def answer(
            request: http_message.Request, exchange: http_server.Exchange
        ) -> None:
            large = request.path.endswith("large")
            await exchange.respond(
                200,
                _LARGE_RESPONSE if large else b"small",
                {
                    "Attempt-Id": request.headers["attempt-id"],
                    "Response-Signature": "signed",
                },
                "text/event-stream",
            )

        async def prepare(
            cluster: platform_cluster.Cluster, nursery: trio.Nursery
        ) -> None:
            async def serve(
                task_status: trio.TaskStatus[int] = (trio.TASK_STATUS_IGNORED),
            ) -> None:
                await http_server.serve(
                    "127.0.0.1:0",
                    answer,
                    limits=http_message.Limits(),
                    stopping=trio.Event(),
                    task_status=task_status,
                )

            port = await nursery.start(serve)

            async def way(endpoint_id: str, address: str) -> str:
                del endpoint_id, address
                return f"127.0.0.1:{port}"

            await cluster.add_endpoint("app-1", "app", way=way)
            await cluster.add_endpoint("llm-1", "llm", way=way)

        lock = trio.Lock()
        form = _Form(
            headers="Content-Length: 0\r\n", pieces=lambda: iter([]), path=path
        )

        async def send(
            address: str, number: int, streams: list[trio.SocketStream]
        ) -> None:
            async with lock:
                stream = await _connect(address, _SMALL_BUFFER_BYTES)
                streams.append(stream)
                await _send(stream, iter([form.head(number)]))
                with (
                    trio.move_on_after(_HEAD_WAIT_S),
                    contextlib.suppress(trio.BrokenResourceError),
                ):
                    await stream.receive_some(1)

        _run_crowd(tmp_path, _CALLERS, send, prepare=prepare)

    def test_endpoints_read_slowly(self, tmp_path: pathlib.Path) -> None:
        """Guards against bodies that endpoints do not take."""
        form = _Form(
            headers=_LENGTH,
            pieces=lambda: iter([bytes(_BODY_BYTES)]),
        )

        async def prepare(
            cluster: platform_cluster.Cluster, nursery: trio.Nursery
        ) -> None:
            listener = trio.socket.socket()
            listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER_BYTES
            )
            await listener.bind(("127.0.0.1", 0))
            listener.listen()
            held: list[trio.socket.SocketType] = []

            async def accept() -> None:
                while True:
                    accepted, _ = await listener.accept()
                    held.append(accepted)

            nursery.start_soon(accept)

            async def way(endpoint_id: str, address: str) -> str:
                del endpoint_id, address
                return f"127.0.0.1:{listener.getsockname()[1]}"

            await cluster.add_endpoint("app-1", "app", way=way)
            await cluster.add_endpoint("llm-1", "llm", events=1)

        async def send(
            address: str, number: int, streams: list[trio.SocketStream]
        ) -> None:
            stream = await _connect(address)
            streams.append(stream)
            await _send(stream, iter([form.head(number)]))
            await _send(stream, form.pieces())

        _run_crowd(
            tmp_path,
            _CALLERS,
            send,
            ordinary_path="/quote/2",
            prepare=prepare,
        )


class TestOneLargeRequest:
    """A single request of the largest size, without other load."""

    def test_it_is_served_on_the_smallest_host(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against limits that refuse what the documents allow."""
        endpoints: list[platform_endpoint.PlatformEndpoint] = []

        async def case(cluster: platform_cluster.Cluster) -> None:
            cluster.memory_mb = _MEMORY_MB
            endpoints.append(await cluster.add_endpoint("app-1", "app"))
            gateway = await cluster.add_gateway()
            _, response = await cluster.call(
                gateway, "/lookup/1", body=bytes(_BODY_BYTES)
            )
            assert response.status == 200
            peak_mb = process_watch.ProcessWatch(
                gateway.process.pid
            ).peak_memory_mb()
            print(f"peak {peak_mb:.0f} MB")
            assert peak_mb <= _MEMORY_MB

        gateway_case.run(tmp_path, case)
        assert len(endpoints[0].runs[0].body) == _BODY_BYTES
