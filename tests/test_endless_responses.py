"""Tests of a gateway whose endpoints send bytes without end.

The bytes come in a head or in a body, as fast as they are taken, until the
gateway closes. Gateways run as processes on the emulated platform, with the
memory of the smallest hosts.
"""

from collections.abc import Callable, Iterator
import contextlib
import itertools
import pathlib
import re

import attrs
import pytest
import trio

from quetzalmill import errors
from quetzalmill_load import platform_cluster
from tests import gateway_case
from tests import process_watch

_MEMORY_MB = 128
"""The memory of the smallest hosts."""
_MANY_CALLERS = 1_000
"""Most of those that can have a connection on such a host."""
_PERIOD_S = 2.0
_CROWD_S = 4.0
"""How long the callers send; more than the deadline of one request."""
_DEADLINE_MS = 3_000
_ORDINARY_PAUSE_S = 0.2
_SLOW_PAUSE_S = 0.5
_PIECE_BYTES = 65_536
_ALMOST_HEAD_BYTES = 60_000
_ALMOST_EVENT_BYTES = 250_000
"""Less than a gateway refuses of one response."""
_STATUS = b"HTTP/1.1 %d X\r\n"
_OK = _STATUS % 200
_SIGNED = b"Response-Signature: signed\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
_STREAM = b"Content-Type: text/event-stream\r\n"
_CHUNK = b"%x\r\n%s\r\n" % (_PIECE_BYTES, bytes(_PIECE_BYTES))
_FIELDS = b"a: b\r\n" * 10_000


def _repeated(piece: bytes) -> Callable[[], Iterator[bytes]]:
    return lambda: itertools.repeat(piece)


def _events() -> Iterator[bytes]:
    for first in itertools.count(1, 1_000):
        yield b"".join(
            b"id: %d\ndata: event\n\n" % number
            for number in range(first, first + 1_000)
        )


@attrs.frozen(kw_only=True)
class _Form:
    """What an endpoint sends.

    Attributes:
        start: What it sends once. ``%(id)s`` stands for the header that names
            the request, ``%(own)s`` for those of an answer to it.
        pieces: Returns what it sends next, without end.
        pause_s: The pause after each of these pieces.
        callers: How many callers send such requests at a time.
        period_s: How much later a caller sends its next request, at least.
        path: The path of the requests.
    """

    start: bytes
    pieces: Callable[[], Iterator[bytes]]
    pause_s: float = 0.0
    callers: int = 100
    period_s: float = 0.0
    path: str = "/lookup/1"

    def head(self, request: bytes) -> bytes:
        """Returns what it sends once in response to a request."""
        found = re.search(rb"(?i)attempt-id: *(\S+)", request)
        assert found is not None
        own = b"Attempt-Id: %s\r\n" % found[1]
        return self.start.replace(b"%(own)s", own + _SIGNED).replace(
            b"%(id)s", own
        )


_FORMS = {
    "line of a head": _Form(
        start=_OK + b"X-Fill: ", pieces=_repeated(b"x" * _PIECE_BYTES)
    ),
    "fields of a head": _Form(start=_OK, pieces=_repeated(_FIELDS)),
    "no response": _Form(start=b"", pieces=_repeated(bytes(_PIECE_BYTES))),
    "interim heads": _Form(
        start=b"", pieces=_repeated(_STATUS % 103 + b"\r\n")
    ),
    "large interim heads": _Form(
        start=b"", pieces=_repeated(_STATUS % 103 + _FIELDS + b"\r\n")
    ),
    "large whole heads": _Form(
        start=_OK + b"%(own)s" + _FIELDS + _CHUNKED, pieces=_repeated(_CHUNK)
    ),
    "body, chunks": _Form(
        start=_OK + b"%(own)s" + _CHUNKED, pieces=_repeated(_CHUNK)
    ),
    "body, tiny chunks": _Form(
        start=_OK + b"%(own)s" + _CHUNKED, pieces=_repeated(b"1\r\nx\r\n" * 999)
    ),
    "body, length": _Form(
        start=_OK + b"%(own)sContent-Length: 999999999999\r\n\r\n",
        pieces=_repeated(bytes(_PIECE_BYTES)),
    ),
    "body, connection": _Form(
        start=_OK + b"%(own)s\r\n", pieces=_repeated(bytes(_PIECE_BYTES))
    ),
    "body of a booking": _Form(
        start=_OK + b"%(own)s" + _CHUNKED,
        pieces=_repeated(_CHUNK),
        path="/book/1",
    ),
    "body of a failure": _Form(
        start=_STATUS % 500 + b"%(own)s" + _CHUNKED, pieces=_repeated(_CHUNK)
    ),
    "body of a refusal": _Form(
        start=_STATUS % 503 + b"%(id)sNot-Executed: 1\r\n" + _CHUNKED,
        pieces=_repeated(_CHUNK),
    ),
    "body for another request": _Form(
        start=_OK + b"Attempt-Id: other\r\n" + _CHUNKED,
        pieces=_repeated(_CHUNK),
    ),
    "size of a chunk": _Form(
        start=_OK + b"%(own)s" + _CHUNKED + b"1;",
        pieces=_repeated(b"x" * _PIECE_BYTES),
    ),
    "trailers": _Form(
        start=_OK + b"%(own)s" + _CHUNKED + b"0\r\n", pieces=_repeated(_FIELDS)
    ),
    "line of an event": _Form(
        start=_OK + _STREAM + b"%(own)s\r\ndata: ",
        pieces=_repeated(b"x" * _PIECE_BYTES),
        path="/quote/1",
    ),
    "lines of an event": _Form(
        start=_OK + _STREAM + b"%(own)s\r\n",
        pieces=_repeated(b"data: x\n" * 999),
        path="/quote/1",
    ),
    "empty lines of an event": _Form(
        start=_OK + _STREAM + b"%(own)s\r\n",
        pieces=_repeated(b"data:\n" * 999),
        path="/quote/1",
    ),
    "events": _Form(
        start=_OK + _STREAM + b"%(own)s\r\n", pieces=_events, path="/quote/1"
    ),
    "nothing": _Form(
        start=b"",
        pieces=_repeated(b""),
        pause_s=_SLOW_PAUSE_S,
        callers=_MANY_CALLERS,
        period_s=_PERIOD_S,
    ),
    "slow head": _Form(
        start=_OK + b"X-Fill: " + b"x" * _ALMOST_HEAD_BYTES,
        pieces=_repeated(b"x"),
        pause_s=_SLOW_PAUSE_S,
        callers=_MANY_CALLERS,
        period_s=_PERIOD_S,
    ),
    "slow size of a chunk": _Form(
        start=_OK + b"%(own)s" + _CHUNKED + b"1;" + b"x" * _ALMOST_HEAD_BYTES,
        pieces=_repeated(b"x"),
        pause_s=_SLOW_PAUSE_S,
        callers=_MANY_CALLERS,
        period_s=_PERIOD_S,
    ),
    "slow event": _Form(
        start=_OK + _STREAM + b"%(own)s\r\ndata: " + b"x" * _ALMOST_EVENT_BYTES,
        pieces=_repeated(b"x"),
        pause_s=_SLOW_PAUSE_S,
        callers=400,
        period_s=_PERIOD_S,
        path="/quote/1",
    ),
    "comments": _Form(
        start=_OK + _STREAM + b"%(own)s\r\n",
        pieces=_repeated(b": x\n\n" * 999),
        path="/quote/1",
    ),
}


async def _serve(form: _Form, stream: trio.SocketStream) -> None:
    with contextlib.suppress(trio.BrokenResourceError):
        async with stream:
            request = b""
            while b"\r\n\r\n" not in request:
                data = bytes(await stream.receive_some())
                if not data:
                    return
                request += data
            await stream.send_all(form.head(request))
            for piece in form.pieces():
                await stream.send_all(piece)
                await trio.sleep(form.pause_s)


class TestGateway:
    """A crowd of requests to such endpoints, beside ordinary ones."""

    @pytest.mark.parametrize("name", list(_FORMS))
    def test_endless_response_does_not_fill_the_memory(
        self, name: str, tmp_path: pathlib.Path
    ) -> None:
        """Guards against responses that are kept until the process ends."""
        form = _FORMS[name]
        hostile = "llm" if form.path.startswith("/quote") else "app"
        ordinary_path = "/lookup/2" if hostile == "llm" else "/quote/2"

        async def case(cluster: platform_cluster.Cluster) -> None:
            cluster.memory_mb = _MEMORY_MB
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(
                    trio.serve_tcp,
                    lambda stream: _serve(form, stream),
                    0,
                )
                port = listeners[0].socket.getsockname()[1]

                async def way(endpoint_id: str, address: str) -> str:
                    del endpoint_id, address
                    return f"127.0.0.1:{port}"

                await cluster.add_endpoint("bad-1", hostile, way=way)
                if hostile == "app":
                    await cluster.add_endpoint("llm-1", "llm", events=1)
                else:
                    await cluster.add_endpoint("app-1", "app")
                gateway = await cluster.add_gateway()
                watch = process_watch.ProcessWatch(gateway.process.pid)
                unanswered: list[str] = []
                ordinary: list[str] = []

                async def call() -> None:
                    headers = {"Deadline-Ms": str(_DEADLINE_MS)}
                    for next_s in itertools.count(
                        trio.current_time(), form.period_s
                    ):
                        await trio.sleep_until(next_s)
                        try:
                            await cluster.call(
                                gateway, form.path, headers=headers
                            )
                        except errors.ConnectionLostError:
                            # A stream that began can only end so.
                            if hostile == "app":
                                unanswered.append("closed")
                        except errors.HttpError as error:
                            unanswered.append(repr(error))

                with trio.move_on_after(_CROWD_S):
                    async with trio.open_nursery() as crowd:
                        for _ in range(form.callers):
                            crowd.start_soon(call)
                        while True:
                            await trio.sleep(_ORDINARY_PAUSE_S)
                            ordinary.append(
                                await _status(cluster, gateway, ordinary_path)
                            )
                ordinary.append(await _status(cluster, gateway, ordinary_path))
                assert gateway.process.poll() is None, "the process has ended"
                measured = (
                    f"peak {watch.peak_memory_mb():.0f} MB; unanswered"
                    f" {len(unanswered)} {set(unanswered)}; ordinary"
                    f" {len(ordinary)} {set(ordinary)}"
                )
                nursery.cancel_scope.cancel()
            print(measured)
            assert watch.peak_memory_mb() <= _MEMORY_MB, measured
            assert not unanswered, measured
            assert set(ordinary) == {"200"}, measured

        gateway_case.run(tmp_path, case)


async def _status(
    cluster: platform_cluster.Cluster,
    gateway: platform_cluster.Gateway,
    path: str,
) -> str:
    """Returns the status of an ordinary request, or why it failed."""
    try:
        _, response = await cluster.call(gateway, path)
    except errors.HttpError as error:
        return repr(error)
    return str(response.status)
