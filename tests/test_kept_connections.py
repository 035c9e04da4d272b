"""Connections on which an earlier request may still be answered."""

import contextlib

import pytest
import trio

from quetzalmill import errors
from quetzalmill import http_client
from quetzalmill import http_message
from tests import late_copies

_GET = http_message.Request(method="GET", path="/")
_TIMEOUT_MS = 2_000.0
_SHORT_MS = 100.0
_LONG_BYTES = 4_000_000
_LATE = b"HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\nlate"
_OWN = late_copies.reply(200, b"own")


class TestUnfinishedExchanges:
    """An answer that arrives after its request was given up."""

    @pytest.mark.parametrize(
        "begun",
        [
            b"",
            b"HTTP/1.1 100 Continue\r\n\r\n",
            b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\nbegun",
            b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbegun",
        ],
    )
    @pytest.mark.parametrize("is_cancelled", [False, True])
    def test_its_connection_is_closed(
        self, begun: bytes, is_cancelled: bool
    ) -> None:
        """The next request would get the answer, or the rest of it."""

        async def use(address: str) -> bytes:
            client = http_client.HttpClient()
            await client.request(address, _GET, timeout_ms=_TIMEOUT_MS)
            with (
                contextlib.suppress(errors.ResponseTimeoutError),
                trio.move_on_after(_SHORT_MS / 1000.0),
            ):
                await client.request(
                    address,
                    _GET,
                    timeout_ms=_TIMEOUT_MS if is_cancelled else _SHORT_MS / 2,
                )
            response = await client.request(
                address, _GET, timeout_ms=_TIMEOUT_MS
            )
            return response.body

        server = late_copies.LateCopies([_OWN, lambda _: begun, _OWN])
        server.late = lambda _: b""
        assert late_copies.ask_server(server, use) == b"own"
        assert server.connections == 2


class TestBytesBehindAnswers:
    """Answers that more bytes follow at once."""

    @pytest.mark.parametrize(
        "answer",
        [
            b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/1.1 200 X\r\nContent-Length: 1\r\n\r\na",
            b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"HTTP/1.1 204 X\r\n\r\n",
            b"HTTP/1.1 204 X\r\nContent-Length: 4\r\n\r\nlong",
            b"HTTP/1.1 304 X\r\nContent-Length: 4\r\n\r\nlong",
        ],
    )
    @pytest.mark.parametrize("behind", [_LATE, b"late"])
    def test_connection_is_closed(self, answer: bytes, behind: bytes) -> None:
        """The next request would get the bytes for its answer."""

        async def use(address: str) -> bytes:
            client = http_client.HttpClient()
            await client.request(address, _GET, timeout_ms=_TIMEOUT_MS)
            response = await client.request(
                address, _GET, timeout_ms=_TIMEOUT_MS
            )
            return response.body

        server = late_copies.LateCopies([lambda _: answer + behind, _OWN])
        assert late_copies.ask_server(server, use) == b"own"
        assert server.connections == 2

    @pytest.mark.parametrize("behind", [_LATE, b"late", b""])
    def test_answer_with_both_framings_is_lost(self, behind: bytes) -> None:
        """Where it ends is not clear, so its connection is closed, too."""
        answer = (
            b"HTTP/1.1 200 X\r\nContent-Length: 50\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        )

        async def use(address: str) -> bytes:
            client = http_client.HttpClient()
            with pytest.raises(errors.BadMessageError):
                await client.request(address, _GET, timeout_ms=_TIMEOUT_MS)
            response = await client.request(
                address, _GET, timeout_ms=_TIMEOUT_MS
            )
            return response.body

        server = late_copies.LateCopies([lambda _: answer + behind, _OWN])
        assert late_copies.ask_server(server, use) == b"own"
        assert server.connections == 2

    def test_early_answer_to_a_long_request_is_its_own(self) -> None:
        """It comes before the body; the rest of the body is no request."""

        async def use(address: str) -> list[bytes]:
            client = http_client.HttpClient()
            long = http_message.Request(
                method="POST", path="/", body=bytes(_LONG_BYTES)
            )
            found = []
            for request in (long, _GET):
                response = await client.request(
                    address, request, timeout_ms=_TIMEOUT_MS
                )
                found.append(response.body)
            return found

        async def serve(stream: trio.SocketStream) -> None:
            async with stream:
                first = bytes(await stream.receive_some())
                await stream.send_all(late_copies.reply(503, b"early")(b""))
                received_bytes = len(first.partition(b"\r\n\r\n")[2])
                # The next request follows the body.
                while received_bytes <= _LONG_BYTES:
                    received_bytes += len(await stream.receive_some())
                await stream.send_all(_OWN(b""))

        async def run() -> list[bytes]:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.serve_listeners, serve, listeners)
                port = listeners[0].socket.getsockname()[1]
                found = await use(f"127.0.0.1:{port}")
                nursery.cancel_scope.cancel()
            return found

        assert trio.run(run) == [b"early", b"own"]
