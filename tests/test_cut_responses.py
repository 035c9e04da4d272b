"""Tests of endpoints' responses that are cut at any byte, then closed."""

from collections.abc import Awaitable, Callable
import pathlib
import socket
import struct

import pytest
import trio

from quetzalmill import errors
from quetzalmill import http_client
from quetzalmill import http_message
from quetzalmill import http_server
from quetzalmill_emulator import platform_endpoint
from quetzalmill_load import platform_cluster
from tests import gateway_case

_Framing = platform_endpoint.Framing
_EVENTS = 2
_ENDS = (b"\n\n", b"\r\n\r\n")
_LONG_BYTES = 32_000_000
"""More than the buffers of both sockets take."""
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@pytest.mark.parametrize("framing", _Framing)
class TestEveryCut:
    """Responses through a gateway, cut after each of their bytes."""

    def test_cut_response_of_service_is_not_delivered_as_whole(
        self, framing: platform_endpoint.Framing, tmp_path: pathlib.Path
    ) -> None:
        """A cut head never becomes a success with an empty or short body."""

        async def case(cluster: platform_cluster.Cluster) -> None:
            app = await cluster.add_endpoint("app-1", "app")
            app.framing = framing
            gateway = await cluster.add_gateway()
            raw = _raw_response(app, framing)
            head_bytes = raw.index(b"\r\n\r\n") + 4
            for sent_bytes in range(len(raw) + 1):
                app.sent_bytes = sent_bytes
                _, response = await cluster.call(gateway, "/book/1")
                if sent_bytes == len(raw):
                    assert response.status == 200
                    assert response.body == b"done by app-1"
                elif framing is _Framing.CONNECTION and (
                    sent_bytes > head_bytes
                ):
                    # Nothing tells this end from the whole body's.
                    assert response.body == raw[head_bytes:sent_bytes]
                else:
                    assert response.status == 502, sent_bytes

        gateway_case.run(tmp_path, case)

    def test_stream_cut_inside_an_event_does_not_look_complete(
        self, framing: platform_endpoint.Framing, tmp_path: pathlib.Path
    ) -> None:
        """Callers get complete events only, and an end only after one."""

        async def case(cluster: platform_cluster.Cluster) -> None:
            engine = await cluster.add_endpoint("llm-1", "llm", events=_EVENTS)
            engine.framing = framing
            gateway = await cluster.add_gateway()
            raw = _raw_response(engine, framing)
            for sent_bytes in range(len(raw) + 1):
                engine.sent_bytes = sent_bytes
                try:
                    _, response = await cluster.turn(
                        gateway, b"hi", program=f"p{sent_bytes}"
                    )
                except errors.ConnectionLostError:
                    assert sent_bytes < len(raw)
                    continue
                if response.status == 200:
                    if framing is not _Framing.CONNECTION:
                        assert sent_bytes == len(raw)
                    assert response.body.endswith(_ENDS)
                    assert raw[:sent_bytes].endswith(response.body) or (
                        sent_bytes == len(raw)
                    )
                else:
                    assert response.status == 502
            assert response.body.count(b"data:") == _EVENTS

        gateway_case.run(tmp_path, case)


class TestClient:
    """Responses without a length or chunks, read by the client."""

    @pytest.mark.parametrize(
        ("method", "status", "is_whole"),
        [
            ("GET", 200, False),
            ("POST", 201, False),
            ("HEAD", 200, True),
            ("GET", 204, True),
            ("GET", 304, True),
            ("GET", 500, True),
        ],
    )
    def test_connection_that_ends_after_the_head(
        self, method: str, status: int, is_whole: bool
    ) -> None:
        """A success without any body has been cut off, if it may have one."""

        async def serve(stream: trio.SocketStream) -> None:
            async with stream:
                await stream.receive_some()
                await stream.send_all(b"HTTP/1.1 %d X\r\n\r\n" % status)

        request = http_message.Request(method=method, path="/")
        if is_whole:
            assert trio.run(_ask, serve, request).status == status
            return
        with pytest.RaisesGroup(errors.ConnectionLostError):
            trio.run(_ask, serve, request)


class TestUnfinishedRequests:
    """Responses that arrive while a long request is still being sent.

    The operating system reports a reset only once, here to the sending side.
    What the client reads afterwards ends like an orderly closed connection.
    """

    @pytest.mark.parametrize("status", [200, 503])
    @pytest.mark.parametrize(
        "half",
        [
            b"\r\nhalf",
            b"Content-Length: 8\r\n\r\nhalf",
            b"Transfer-Encoding: chunked\r\n\r\n8\r\nhalf",
        ],
    )
    def test_reset_response_is_not_whole(
        self, status: int, half: bytes
    ) -> None:
        """A reset response without a length was delivered as complete."""
        sent = b"HTTP/1.1 %d X\r\n%s" % (status, half)
        with pytest.RaisesGroup(errors.ConnectionLostError):
            trio.run(_send_long, sent, False)

    @pytest.mark.parametrize(
        "whole",
        [
            b"Content-Length: 4\r\n\r\nfull",
            b"Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n",
        ],
    )
    def test_delimited_response_before_a_reset_is_whole(
        self, whole: bytes
    ) -> None:
        """A server may refuse a long request without reading its body."""
        response = trio.run(_send_long, b"HTTP/1.1 413 X\r\n" + whole, False)
        assert response.body == b"full"

    def test_response_that_ends_before_a_reset_is_whole(self) -> None:
        """The server ends its side first, then resets the connection."""
        response = trio.run(_send_long, b"HTTP/1.1 200 X\r\n\r\nfull", True)
        assert response.body == b"full"


class TestServer:
    """Responses of the own server that end before they are complete."""

    @pytest.mark.parametrize("fails", [False, True])
    @pytest.mark.parametrize("version", [b"1.0", b"1.1"])
    def test_incomplete_response_does_not_look_complete(
        self, version: bytes, fails: bool
    ) -> None:
        """For HTTP/1.0, the end of the connection is the end of the body."""

        async def handler(
            request: http_message.Request, exchange: http_server.Exchange
        ) -> None:
            await exchange.start_stream(200)
            await exchange.send(b"half")
            if fails:
                raise ValueError
            exchange.abort()

        async def run() -> bytes:
            received = b""
            async with trio.open_nursery() as nursery:
                port = await nursery.start(_serve, handler)
                stream = await trio.open_tcp_stream("127.0.0.1", port)
                await stream.send_all(
                    b"GET / HTTP/%s\r\nHost: x\r\n\r\n" % version
                )
                try:
                    async for data in stream:
                        received += data
                except trio.BrokenResourceError:
                    return b"reset"
                finally:
                    nursery.cancel_scope.cancel()
            return received

        received = trio.run(run)
        assert received == b"reset" or (
            version == b"1.1" and not received.endswith(b"0\r\n\r\n")
        )


async def _serve(
    handler: http_server.Handler,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    await http_server.serve(
        "127.0.0.1:0",
        handler,
        limits=http_message.Limits(),
        stopping=trio.Event(),
        task_status=task_status,
    )


async def _send_long(sent: bytes, ends_first: bool) -> http_message.Response:
    """Sends a long request to a server that resets the connection.

    Args:
        sent: What the server sends before, without reading the body.
        ends_first: Whether it ends its side before the reset.
    """

    async def serve(stream: trio.SocketStream) -> None:
        await stream.receive_some(1)
        await stream.send_all(sent)
        if ends_first:
            await stream.send_eof()
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        await stream.aclose()

    return await _ask(
        serve,
        http_message.Request(method="POST", path="/", body=bytes(_LONG_BYTES)),
        timeout_ms=5_000.0,
    )


async def _ask(
    serve: Callable[[trio.SocketStream], Awaitable[None]],
    request: http_message.Request,
    timeout_ms: float = 2_000.0,
) -> http_message.Response:
    """Sends a request to a server and returns the response."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        try:
            return await http_client.HttpClient().request(
                f"127.0.0.1:{port}", request, timeout_ms=timeout_ms
            )
        finally:
            nursery.cancel_scope.cancel()
    raise AssertionError


def _raw_response(
    endpoint: platform_endpoint.PlatformEndpoint,
    framing: platform_endpoint.Framing,
) -> bytes:
    """Returns a response as long as those to the requests of the cluster."""
    answer = {
        "Attempt-Id": "0" * 16,
        "Response-Signature": f"signed-{endpoint.endpoint_id}",
        "Server-Load": "1,0,8",
    }
    return endpoint.raw_response(answer, framing)
