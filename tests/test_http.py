"""Tests of the HTTP server and client over real sockets."""

from collections.abc import AsyncIterator, Awaitable, Callable
import contextlib
import json
import socket
import time

import h11
import pytest
import trio
import trio.testing

from quetzalmill import errors
from quetzalmill import http_client
from quetzalmill import http_connect
from quetzalmill import http_connection
from quetzalmill import http_message
from quetzalmill import http_reader
from quetzalmill import http_server
from quetzalmill import sse

_LIMITS = http_message.Limits(max_header_bytes=2048, max_body_bytes=4096)
_SHORT_LIMITS = http_message.Limits(
    max_header_bytes=2048,
    max_body_bytes=4096,
    header_timeout_ms=200.0,
    idle_timeout_ms=400.0,
)
_TIMEOUT_MS = 5000.0
_GET = http_message.Request(method="GET", path="/")

_Script = Callable[[trio.SocketStream], Awaitable[None]]


async def _echo(
    request: http_message.Request, exchange: http_server.Exchange
) -> None:
    response = {
        "method": request.method,
        "path": request.path,
        "query": request.query,
        "headers": request.headers,
        "body": request.body.decode(),
    }
    await exchange.respond(200, json.dumps(response).encode())


class _TestServer:
    """A running server and the errors that its error hook received."""

    def __init__(self) -> None:
        self.stopping = trio.Event()
        self.address = ""
        self.errors: list[BaseException] = []

    async def connect(self) -> trio.SocketStream:
        host, port = http_message.split_address(self.address)
        return await trio.open_tcp_stream(host, port)

    async def exchange_raw(self, data: bytes) -> bytes:
        """Sends bytes and reads until the server closes."""
        with trio.fail_after(_TIMEOUT_MS / 1000.0):
            stream = await self.connect()
            await stream.send_all(data)
            return b"".join([chunk async for chunk in stream])


@contextlib.asynccontextmanager
async def _serving(
    handler: http_server.Handler,
    limits: http_message.Limits = _LIMITS,
) -> AsyncIterator[_TestServer]:
    served = _TestServer()
    async with trio.open_nursery() as nursery:

        async def run(
            task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
        ) -> None:
            await http_server.serve(
                "127.0.0.1:0",
                handler,
                limits=limits,
                stopping=served.stopping,
                on_error=served.errors.append,
                task_status=task_status,
            )

        served.address = f"127.0.0.1:{await nursery.start(run)}"
        with trio.fail_after(2 * _TIMEOUT_MS / 1000.0):
            yield served
        served.stopping.set()
        nursery.cancel_scope.deadline = trio.current_time() + 5.0


@contextlib.asynccontextmanager
async def _scripted(script: _Script) -> AsyncIterator[str]:
    """Runs a script on each connection instead of HTTP; yields the address."""
    async with trio.open_nursery() as nursery:

        async def run(stream: trio.SocketStream) -> None:
            async with stream:
                await script(stream)

        listeners = await nursery.start(trio.serve_tcp, run, 0)
        port = listeners[0].socket.getsockname()[1]
        yield f"127.0.0.1:{port}"
        nursery.cancel_scope.cancel()


class TestRequests:
    """Complete requests and responses."""

    def test_request_arrives_complete(self) -> None:
        async def main() -> None:
            request = http_message.Request(
                method="POST",
                path="/a%20b",
                query={"q": "x y"},
                headers={"x-one": "1", "connection": "upgrade"},
                body=b"hello",
            )
            client = http_client.HttpClient()
            async with _serving(_echo) as served:
                response = await client.request(
                    served.address, request, timeout_ms=_TIMEOUT_MS
                )
            echoed = json.loads(response.body)
            assert response.status == 200
            assert echoed["path"] == "/a%20b"
            assert echoed["query"] == {"q": "x y"}
            assert echoed["headers"]["x-one"] == "1"
            assert "connection" not in echoed["headers"]
            assert echoed["body"] == "hello"
            await client.aclose()

        trio.run(main)

    def test_header_beyond_ascii_does_not_lose_the_response(self) -> None:
        """Headers of endpoints are forwarded as they are."""

        async def handler(
            request: http_message.Request, exchange: http_server.Exchange
        ) -> None:
            del request
            await exchange.respond(200, b"ok", {"X-Name": "Kov\xe1cs"})

        async def run() -> http_message.Response:
            async with _serving(handler) as served:
                return await http_client.HttpClient().request(
                    served.address, _GET, timeout_ms=_TIMEOUT_MS
                )

        response = trio.run(run)
        assert response.headers["x-name"] == "Kov\xe1cs"
        assert response.body == b"ok"

    def test_connections_are_kept_and_reused(self) -> None:
        peers: set[int] = set()

        async def handler(
            request: http_message.Request, exchange: http_server.Exchange
        ) -> None:
            peers.add(id(exchange._connection))
            await exchange.respond(200, request.body)

        async def main() -> None:
            client = http_client.HttpClient()
            async with _serving(handler) as served:
                for fresh in (False, False, True):
                    await client.request(
                        served.address,
                        _GET,
                        timeout_ms=_TIMEOUT_MS,
                        new_connection=fresh,
                    )
                assert len(peers) == 2
                await client.aclose()

        trio.run(main)

    @pytest.mark.parametrize("method", ["GET", "HEAD", "DELETE", "POST"])
    def test_pipelined_requests_are_answered_in_order(
        self, method: str
    ) -> None:
        async def main() -> None:
            async with _serving(_echo) as served:
                response = await served.exchange_raw(
                    f"{method} /1 HTTP/1.1\r\nHost: a\r\n\r\n"
                    "GET /2 HTTP/1.1\r\nHost: a\r\n"
                    "Connection: close\r\n\r\n".encode()
                )
            assert response.count(b"HTTP/1.1 200") == 2
            assert b'"/2"' in response
            assert (b'"/1"' in response) == (method != "HEAD")

        trio.run(main)

    def test_expect_header_gets_100_continue(self) -> None:
        async def main() -> None:
            async with _serving(_echo) as served:
                stream = await served.connect()
                await stream.send_all(
                    b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
                    b"Expect: 100-continue\r\n\r\n"
                )
                assert b"100" in await stream.receive_some()
                await stream.send_all(b"ok")
                assert b'"ok"' in await stream.receive_some()

        trio.run(main)


class TestStreaming:
    """Responses that are sent in chunks."""

    def test_chunks_arrive_while_the_handler_runs(self) -> None:
        async def main() -> None:
            may_continue = trio.Event()

            async def handler(
                request: http_message.Request, exchange: http_server.Exchange
            ) -> None:
                del request
                await exchange.start_stream(
                    200, {"Content-Type": sse.CONTENT_TYPE}
                )
                await exchange.send(sse.encode_event("one\ntwo"))
                await may_continue.wait()
                await exchange.send(sse.encode_event(sse.DONE, "end"))
                await exchange.finish()

            client = http_client.HttpClient()
            parser = sse.SseParser()
            events: list[sse.Event] = []
            async with (
                _serving(handler) as served,
                client.stream(
                    served.address,
                    _GET,
                    timeout_ms=_TIMEOUT_MS,
                    whole_timeout_ms=_TIMEOUT_MS,
                ) as response,
            ):
                assert response.headers["content-type"] == sse.CONTENT_TYPE
                async for chunk in response:
                    events += parser.feed(chunk)
                    may_continue.set()
            assert events == [
                sse.Event(data="one\ntwo"),
                sse.Event(data=sse.DONE, name="end"),
            ]
            await client.aclose()

        trio.run(main)

    def test_unfinished_stream_is_a_lost_connection(self) -> None:
        async def handler(
            request: http_message.Request, exchange: http_server.Exchange
        ) -> None:
            del request
            await exchange.start_stream(200)
            await exchange.send(b"half")
            raise ValueError("broken handler")

        async def main() -> None:
            client = http_client.HttpClient()
            async with _serving(handler) as served:
                with pytest.raises(errors.ConnectionLostError):
                    await client.request(
                        served.address, _GET, timeout_ms=_TIMEOUT_MS
                    )
                assert [type(e) for e in served.errors] == [ValueError]

        trio.run(main)


class TestDisconnects:
    """Callers that disconnect."""

    def test_handler_detects_a_disconnect(self) -> None:
        async def main() -> None:
            lost = trio.Event()

            async def handler(
                request: http_message.Request, exchange: http_server.Exchange
            ) -> None:
                del request
                await exchange.wait_disconnected()
                try:
                    await exchange.respond(200)
                except errors.ConnectionLostError:
                    lost.set()
                    raise

            async with _serving(handler) as served:
                stream = await served.connect()
                await stream.send_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
                await stream.aclose()
                await lost.wait()
            assert served.errors == []

        trio.run(main)

    def test_caller_that_does_not_read_counts_as_disconnected(self) -> None:
        async def main() -> None:
            lost = trio.Event()

            async def handler(
                request: http_message.Request, exchange: http_server.Exchange
            ) -> None:
                del request
                await exchange.start_stream(200)
                try:
                    while True:
                        await exchange.send(bytes(1_000_000))
                except errors.ConnectionLostError:
                    lost.set()

            async with _serving(handler, _SHORT_LIMITS) as served:
                stream = await served.connect()
                await stream.send_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
                await lost.wait()
                await stream.aclose()

        trio.run(main)


_HEAD = b"POST / HTTP/1.1\r\nHost: a\r\n"


class TestBadInput:
    """Requests that violate HTTP or a limit."""

    @pytest.mark.parametrize(
        ("data", "status"),
        [
            (b"nonsense\r\n\r\n", 400),
            (b"GET / HTTP/1.1\r\n\r\n", 400),
            (b"GET /?" + b"a&" * 100 + b" HTTP/1.1\r\nHost: a\r\n\r\n", 400),
            (_HEAD + b"X: " + b"x" * 3000 + b"\r\n\r\n", 431),
            (_HEAD + b"X: " + b"x" * 30_000, 431),
            (_HEAD + b"Content-Length: 5000\r\n\r\n", 413),
            (_HEAD + b"Content-Length: 5000\r\n\r\n" + bytes(5000), 413),
            (_HEAD + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\n", 400),
            (_HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
            (
                _HEAD
                + b"Transfer-Encoding: chunked\r\n\r\n1388\r\n"
                + bytes(5000)
                + b"\r\n0\r\n\r\n",
                413,
            ),
            (_HEAD + b"Content-Len", 408),
            (_HEAD + b"Content-Length: 10\r\n\r\nhalf", 408),
        ],
    )
    def test_refusal_has_a_status_and_closes_the_connection(
        self, data: bytes, status: int
    ) -> None:
        async def main() -> None:
            limits = _SHORT_LIMITS if status == 408 else _LIMITS
            async with _serving(_echo, limits) as served:
                response = await served.exchange_raw(data)
            head, _, body = response.partition(b"\r\n\r\n")
            assert head.startswith(f"HTTP/1.1 {status}".encode())
            assert b"connection: close" in head.lower()
            assert json.loads(body)["ran"] == "no"

        trio.run(main)

    def test_idle_connection_is_closed(self) -> None:
        async def main() -> None:
            async with _serving(_echo, _SHORT_LIMITS) as served:
                assert await served.exchange_raw(b"") == b""

        trio.run(main)

    def test_large_body_is_refused_before_it_is_fully_sent(self) -> None:
        async def main() -> None:
            request = http_message.Request(
                method="POST", path="/", body=bytes(900_000)
            )
            client = http_client.HttpClient()
            async with _serving(_echo) as served:
                response = await client.request(
                    served.address, request, timeout_ms=_TIMEOUT_MS
                )
            assert response.status == 413

        trio.run(main)


class TestHandlerErrors:
    """Handlers that fail."""

    @pytest.mark.parametrize("answer_with", [None, {"bad": "line\nbreak"}])
    def test_server_survives_a_failing_handler(
        self, answer_with: dict[str, str] | None
    ) -> None:
        async def handler(
            request: http_message.Request, exchange: http_server.Exchange
        ) -> None:
            if request.path == "/good":
                await exchange.respond(204)
            elif answer_with:
                await exchange.respond(200, b"", answer_with)

        async def main() -> None:
            client = http_client.HttpClient()
            good = http_message.Request(method="GET", path="/good")
            async with _serving(handler) as served:
                try:
                    response = await client.request(
                        served.address, _GET, timeout_ms=_TIMEOUT_MS
                    )
                    assert response.status == 500
                    assert json.loads(response.body)["ran"] == "unknown"
                except errors.ConnectionLostError:
                    assert answer_with
                response = await client.request(
                    served.address, good, timeout_ms=_TIMEOUT_MS
                )
                assert response.status == 204
                assert len(served.errors) == 1
                await client.aclose()

        trio.run(main)


class TestStopping:
    """A graceful shutdown."""

    def test_running_exchange_ends_and_idle_connection_closes(self) -> None:
        async def main() -> None:
            running = trio.Event()
            may_continue = trio.Event()

            async def handler(
                request: http_message.Request, exchange: http_server.Exchange
            ) -> None:
                if request.path == "/slow":
                    running.set()
                    await may_continue.wait()
                await exchange.respond(200, b"whole")

            client = http_client.HttpClient()
            slow = http_message.Request(method="GET", path="/slow")
            responses: list[http_message.Response] = []

            async def call_slow(address: str) -> None:
                responses.append(
                    await client.request(address, slow, timeout_ms=_TIMEOUT_MS)
                )

            async with _serving(handler) as served:
                idle = await served.connect()
                await idle.send_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
                assert b"whole" in await idle.receive_some()
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(call_slow, served.address)
                    await running.wait()
                    served.stopping.set()
                    assert await idle.receive_some() == b""
                    with pytest.raises(OSError):
                        await served.connect()
                    may_continue.set()
            assert responses[0].body == b"whole"
            assert responses[0].headers["connection"] == "close"

        trio.run(main)

    def test_connection_made_before_the_stop_is_served(self) -> None:
        async def main() -> None:
            async with _serving(_echo) as served:
                stream = await served.connect()
                served.stopping.set()
                await trio.testing.wait_all_tasks_blocked(0.02)
                await stream.send_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
                assert b"200" in await stream.receive_some()

        trio.run(main)


class TestClientErrors:
    """Errors of the client, which tell whether any bytes were sent."""

    def test_refused_connection_sent_nothing(self) -> None:
        async def main() -> None:
            async with _serving(_echo) as served:
                served.stopping.set()
            client = http_client.HttpClient()
            for address in (served.address, "nowhere"):
                with pytest.raises(errors.ConnectFailedError):
                    await client.request(address, _GET, timeout_ms=_TIMEOUT_MS)

        trio.run(main)

    @pytest.mark.parametrize(
        ("response", "expected"),
        [
            (b"", errors.ConnectionLostError),
            (b"HTTP/1.1 200 OK\r\nConte", errors.ConnectionLostError),
            (
                b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
                errors.ConnectionLostError,
            ),
            (b"nonsense\r\n\r\n", errors.BadMessageError),
            (
                b"HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n" + bytes(200),
                errors.BadMessageError,
            ),
        ],
    )
    def test_broken_response(
        self, response: bytes, expected: type[Exception]
    ) -> None:
        async def script(stream: trio.SocketStream) -> None:
            await stream.receive_some()
            await stream.send_all(response)

        async def main() -> None:
            client = http_client.HttpClient()
            async with _scripted(script) as address:
                with pytest.raises(expected):
                    await client.request(
                        address,
                        _GET,
                        timeout_ms=_TIMEOUT_MS,
                        max_body_bytes=100,
                    )

        trio.run(main)

    @pytest.mark.parametrize(
        "response", [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"]
    )
    def test_late_response(self, response: bytes) -> None:
        async def script(stream: trio.SocketStream) -> None:
            await stream.receive_some()
            await stream.send_all(response)
            await trio.sleep_forever()

        async def main() -> None:
            client = http_client.HttpClient()
            async with _scripted(script) as address:
                with pytest.raises(errors.ResponseTimeoutError):
                    await client.request(address, _GET, timeout_ms=400.0)

        trio.run(main)

    @pytest.mark.parametrize("idempotent", [True, False])
    def test_only_idempotent_requests_are_sent_again(
        self, idempotent: bool
    ) -> None:
        received: list[bytes] = []

        async def script(stream: trio.SocketStream) -> None:
            """Responds to the first request and drops the second one."""
            received.append(bytes(await stream.receive_some()))
            await stream.send_all(
                b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
            )
            received.append(bytes(await stream.receive_some()))

        async def main() -> None:
            client = http_client.HttpClient()
            async with _scripted(script) as address:
                await client.request(address, _GET, timeout_ms=_TIMEOUT_MS)
                try:
                    await client.request(
                        address,
                        _GET,
                        timeout_ms=_TIMEOUT_MS,
                        idempotent=idempotent,
                    )
                    assert idempotent
                except errors.ConnectionLostError:
                    assert not idempotent
            assert len(received) == (3 if idempotent else 2)

        trio.run(main)

    def test_invalid_request_is_refused_before_it_is_sent(self) -> None:
        async def main() -> None:
            bad = http_message.Request(
                method="GET", path="/", headers={"x": "line\nbreak"}
            )
            client = http_client.HttpClient()
            async with _serving(_echo) as served:
                with pytest.raises(errors.BadMessageError):
                    await client.request(
                        served.address, bad, timeout_ms=_TIMEOUT_MS
                    )

        trio.run(main)


class TestDeadPeer:
    """Connections whose peer silently stops accepting bytes."""

    def test_peer_that_accepts_no_bytes_ends_the_connection(self) -> None:
        """Unread bytes simulate a network that drops packets.

        Loopback loses no packets, so the keepalive probes of an idle
        connection can only be checked through its socket options.
        """

        async def script(stream: trio.SocketStream) -> None:
            await trio.sleep_forever()

        async def main() -> None:
            client = http_client.HttpClient()
            request = http_message.Request(
                method="POST", path="/", body=bytes(32_000_000)
            )
            async with _scripted(script) as address:
                with pytest.raises(errors.ConnectionLostError):
                    await client.request(
                        address, request, timeout_ms=4 * _TIMEOUT_MS
                    )

        trio.run(main)

    def test_idle_connection_is_probed(self) -> None:
        async def main() -> None:
            with trio.socket.socket() as sock:
                http_connect.enable_dead_peer_detection(sock)
                assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
                probes = [
                    sock.getsockopt(socket.IPPROTO_TCP, option)
                    for option in (
                        socket.TCP_KEEPIDLE,
                        socket.TCP_KEEPINTVL,
                        socket.TCP_KEEPCNT,
                    )
                ]
            assert probes == [
                http_connect.KEEPALIVE_INTERVAL_S,
                http_connect.KEEPALIVE_INTERVAL_S,
                http_connect.KEEPALIVE_PROBES,
            ]

        trio.run(main)


class TestSseParser:
    """The parser of server-sent events."""

    def test_events_split_at_any_byte_are_reassembled(self) -> None:
        data = sse.encode_event("año\nzwei") + b": note\r\ndata:x\r\n\r\n"
        expected = [sse.Event(data="año\nzwei"), sse.Event(data="x")]
        for cut in range(len(data)):
            parser = sse.SseParser()
            events = parser.feed(data[:cut]) + parser.feed(data[cut:])
            assert events == expected

    @pytest.mark.parametrize(
        "data",
        [b"data: " + b"x" * 200, b"data: 1234567\n" * 20, b"data: \xff\n"],
    )
    def test_bad_events_are_refused(self, data: bytes) -> None:
        parser = sse.SseParser(max_event_bytes=100)
        with pytest.raises(errors.BadMessageError):
            parser.feed(data)


class TestExtraBytes:
    """A server that sends data after the response to a request."""

    def test_connection_is_not_reused(self) -> None:
        connections = 0

        async def serve(stream: trio.SocketStream) -> None:
            nonlocal connections
            connections += 1
            number = connections
            async with stream:
                while await stream.receive_some(4096):
                    head = "HTTP/1.1 200 OK\r\ncontent-length: "
                    response = f"{head}1\r\n\r\n{number}{head}5\r\n\r\nwrong"
                    await stream.send_all(response.encode())

        async def run() -> list[bytes]:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            port = listeners[0].socket.getsockname()[1]
            client = http_client.HttpClient()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.serve_listeners, serve, listeners)
                bodies = []
                for _ in range(3):
                    response = await client.request(
                        f"127.0.0.1:{port}",
                        http_message.Request(method="GET", path="/"),
                        timeout_ms=2_000.0,
                    )
                    bodies.append(response.body)
                nursery.cancel_scope.cancel()
            return bodies

        assert trio.run(run) == [b"1", b"2", b"3"]


_CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class TestForeignResponses:
    """Responses to other requests, before the awaited one or instead."""

    _WAIT_S = 2.0
    _OWN = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTo: me\r\n\r\nown"
    _OTHER = b"HTTP/1.1 503 X\r\nContent-Length: 5\r\nTo: b\r\n\r\nother"
    _CHUNKED = (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTo: b\r\n\r\n"
        b"5\r\nother\r\n0\r\n\r\n"
    )
    _LAST = b"HTTP/1.1 503 X\r\nConnection: close\r\nTo: b\r\n\r\n"

    @pytest.mark.parametrize("size", [1, 7, 1_000])
    @pytest.mark.parametrize(
        "foreign", [_OTHER, _CHUNKED, _OTHER + _CHUNKED, 4 * _OTHER]
    )
    def test_response_behind_foreign_ones_is_not_lost(
        self, foreign: bytes, size: int
    ) -> None:
        """The awaited response is found, in pieces of any size."""
        assert self._response(foreign + self._OWN, size) == b"own"

    @pytest.mark.parametrize(
        "foreign",
        [
            _OTHER,
            5 * _OTHER + _OWN,
            _LAST + _OWN,
            _OTHER[:-1],
            b"HTTP/1.1 200 OK\r\nContent-Length: 9999999\r\nTo: b\r\n\r\n",
        ],
    )
    def test_foreign_response_never_passes_for_the_awaited_one(
        self, foreign: bytes
    ) -> None:
        with pytest.RaisesGroup(errors.HttpError, allow_unwrapped=True):
            self._response(foreign, 1_000)

    @pytest.mark.parametrize(
        "head",
        [
            b"HTTP/1.1 200 OK\r\nTo: me\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n",
            b"HTTP/1.1 503 BuHTTP/1.1 200 OK\r\nTo: me\r\n\r\n",
            b"HTTP/1.1 503 X\r\nA: 1HTTP/1.1 200 OK\r\nTo: me\r\n\r\n",
            b"HTTP/1.1 103 X\r\nA: 1HTTP/1.1 200 OK\r\nTo: me\r\n\r\n",
        ],
    )
    def test_parts_of_two_heads_do_not_make_one(self, head: bytes) -> None:
        """A response that was cut off in its head, and the next one."""
        with pytest.RaisesGroup(
            pytest.RaisesExc(errors.BadMessageError, match="status line|chunks")
        ):
            self._response(head + b"3\r\nown\r\n0\r\n\r\n", 1_000)

    def test_wait_behind_a_foreign_response_is_bounded(self) -> None:
        """Nothing follows it, and the server keeps the connection open.

        It ends early enough for the caller to be told.
        """
        started_s = time.monotonic()
        with pytest.RaisesGroup(
            pytest.RaisesExc(errors.BadMessageError, match="other requests")
        ):
            self._response(self._OTHER, 1_000, stays_open=True)
        assert time.monotonic() - started_s < self._WAIT_S

    def _response(
        self, data: bytes, size: int, *, stays_open: bool = False
    ) -> bytes:
        async def serve(stream: trio.SocketStream) -> None:
            async with stream:
                await stream.receive_some()
                for start in range(0, len(data), size):
                    await stream.send_all(data[start : start + size])
                    await trio.sleep(0)
                if stays_open:
                    await trio.sleep_forever()

        async def run() -> bytes:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            port = listeners[0].socket.getsockname()[1]
            hooks = http_connection.RequestHooks(
                is_unrelated=lambda head: head.headers["to"] != "me"
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.serve_listeners, serve, listeners)
                try:
                    async with http_client.HttpClient().stream(
                        f"127.0.0.1:{port}",
                        _GET,
                        timeout_ms=1000.0 * self._WAIT_S
                        if stays_open
                        else _TIMEOUT_MS,
                        whole_timeout_ms=_TIMEOUT_MS,
                        hooks=hooks,
                    ) as response:
                        return await response.read()
                finally:
                    nursery.cancel_scope.cancel()

        return trio.run(run)


class TestTinyChunks:
    """Bodies in chunks of one byte, thousands of which arrive at once."""

    _CHUNKS = 5_000
    _MAX_CHUNKS_AT_ONCE = 2 * 64
    """Tasks are run in random order, so one may run twice in a row."""

    def test_other_tasks_run_while_a_response_is_read(self) -> None:
        async def script(stream: trio.SocketStream) -> None:
            await stream.receive_some()
            body = b"1\r\nx\r\n" * self._CHUNKS + b"0\r\n\r\n"
            await stream.send_all(_CHUNKED + body)

        async def main() -> None:
            client = http_client.HttpClient()
            count = _Turns()
            async with (
                _scripted(script) as address,
                _counting(count),
                client.stream(
                    address,
                    _GET,
                    timeout_ms=_TIMEOUT_MS,
                    whole_timeout_ms=_TIMEOUT_MS,
                ) as response,
            ):
                await self._read(count, response)

        trio.run(main)

    async def _read(
        self, count: "_Turns", response: AsyncIterator[bytes]
    ) -> None:
        chunks_at_once = longest = chunks = 0
        last_turn = count.turns
        async for _ in response:
            chunks += 1
            chunks_at_once = (
                chunks_at_once + 1 if count.turns == last_turn else 0
            )
            last_turn = count.turns
            longest = max(longest, chunks_at_once)
        assert chunks == self._CHUNKS
        assert longest <= self._MAX_CHUNKS_AT_ONCE

    def test_other_tasks_run_while_a_request_is_read(self) -> None:
        count = _Turns()
        turns_before = 0
        head = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
        pieces = [
            head + b"\r\n",
            b"1\r\nx\r\n" * self._CHUNKS + b"0\r\n\r\n",
        ]

        async def receive() -> bytes:
            nonlocal turns_before
            await trio.lowlevel.checkpoint()
            turns_before = count.turns
            return pieces.pop(0)

        async def main() -> None:
            async with _counting(count):
                reader = http_reader.RequestReader(
                    h11.Connection(h11.SERVER),
                    http_message.Limits(max_body_bytes=self._CHUNKS),
                    receive,
                    _write_nothing,
                )
                request = await reader.read()
                assert len(request.body) == self._CHUNKS
                assert count.turns - turns_before >= (
                    self._CHUNKS // self._MAX_CHUNKS_AT_ONCE
                )

        trio.run(main)


class _Turns:
    """Counts how often another task has run."""

    def __init__(self) -> None:
        self.turns = 0

    async def run(self) -> None:
        while True:
            await trio.lowlevel.checkpoint()
            self.turns += 1


@contextlib.asynccontextmanager
async def _counting(count: _Turns) -> AsyncIterator[None]:
    """Runs a task that counts its turns."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(count.run)
        yield
        nursery.cancel_scope.cancel()


async def _write_nothing(data: bytes) -> None:
    del data
    await trio.lowlevel.checkpoint()


class TestHeads:
    """Responses whose heads end, but are larger than any server needs."""

    @pytest.mark.parametrize(
        "head",
        [
            b"HTTP/1.1 200 OK\r\n" + b"a: b\r\n" * 300,
            b"HTTP/1.1 103 X\r\n" + b"a: b\r\n" * 300,
            (b"HTTP/1.1 103 X\r\nX-Filler: " + b"x" * 30_000 + b"\r\n\r\n") * 3
            + b"HTTP/1.1 200 OK\r\n",
        ],
    )
    def test_large_head_is_refused(self, head: bytes) -> None:
        """Guards against heads that take many times their bytes."""

        async def script(stream: trio.SocketStream) -> None:
            await stream.receive_some()
            await stream.send_all(head + b"Content-Length: 0\r\n\r\n")

        async def main() -> None:
            client = http_client.HttpClient()
            async with _scripted(script) as address:
                with pytest.raises(errors.BadMessageError):
                    await client.request(address, _GET, timeout_ms=_TIMEOUT_MS)

        trio.run(main)


class TestEndlessResponses:
    """Faulty servers that send bytes until the client closes."""

    _MAX_SENT_BYTES = 8_000_000
    """What a script may send before the connection must have ended; the limits
    of the client and the buffers of the kernel are well below."""

    @pytest.mark.parametrize(
        ("begin", "filler"),
        [
            (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
            (b"", b"x"),
            (b"HTTP/1.1 200 ", b"x"),
            (b"HTTP/1.1 200 OK\r\n", b"X-Filler: x\r\n"),
            (b"HTTP/1.1 200 OK\r\nX-Filler: ", b"x"),
            (b"HTTP/1.1 200 OK\r\n\r\n", b"x"),
            (_CHUNKED + b"1;", b"x"),
            (_CHUNKED, b"1\r\nx\r\n"),
            (_CHUNKED + b"0\r\n", b"X-Filler: x\r\n"),
        ],
    )
    def test_client_closes_the_connection(
        self, begin: bytes, filler: bytes
    ) -> None:
        sent_bytes = 0
        was_closed = trio.Event()

        async def script(stream: trio.SocketStream) -> None:
            nonlocal sent_bytes
            block = filler * (65_536 // len(filler))
            try:
                await stream.receive_some()
                await stream.send_all(begin)
                while sent_bytes < self._MAX_SENT_BYTES:
                    await stream.send_all(block)
                    sent_bytes += len(block)
            except trio.BrokenResourceError:
                was_closed.set()

        async def main() -> None:
            client = http_client.HttpClient()
            async with _scripted(script) as address:
                with trio.fail_after(5.0):
                    with pytest.raises(errors.BadMessageError):
                        await client.request(
                            address,
                            _GET,
                            timeout_ms=60_000.0,
                            max_body_bytes=100_000,
                        )
                    await was_closed.wait()

        trio.run(main)
