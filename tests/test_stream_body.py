"""Tests of relaying a stream's body, for each framing, piece and cut."""

from collections.abc import AsyncIterator
import contextlib
import enum
import types
from typing import Any, cast
import unittest.mock

import hypothesis
from hypothesis import strategies as st
import pytest
import trio

from quetzalmill import errors
from quetzalmill import event_relay
from quetzalmill import host_memory
from quetzalmill import http_connection
from quetzalmill import http_message
from quetzalmill import memory_account
from quetzalmill import response_memory
from quetzalmill import stream_body

_REQUEST = http_message.Request(method="POST", path="/chat/1")
_MANY_BYTES = 100_000


class _End(enum.Enum):
    """How a connection ends."""

    CLOSED = enum.auto()
    RESET = enum.auto()
    RESET_WHILE_SENDING = enum.auto()
    """Reported to the client's sending side, after which reading ends as on a
    closed connection."""


class _Stream:
    """A connection on which a server sends pieces, then ends it."""

    def __init__(self, pieces: list[bytes], end: _End) -> None:
        self._pieces = pieces
        self._end = end
        self.socket = unittest.mock.Mock()

    async def send_all(self, data: bytes) -> None:
        """Ignores the request."""
        del data
        await trio.lowlevel.checkpoint()
        if self._end is _End.RESET_WHILE_SENDING:
            raise trio.BrokenResourceError from ConnectionResetError()

    async def receive_some(self, max_bytes: int) -> bytes:
        """Returns the next piece."""
        del max_bytes
        await trio.lowlevel.checkpoint()
        if self._pieces:
            return self._pieces.pop(0)
        if self._end is _End.RESET:
            raise trio.BrokenResourceError
        return b""


def _raw_response(framing: str, body: bytes) -> bytes:
    head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    match framing:
        case "length":
            return head + b"Content-Length: %d\r\n\r\n" % len(body) + body
        case "chunks":
            chunk = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
            head += b"Transfer-Encoding: chunked\r\n\r\n"
            return head + chunk + b"0\r\n\r\n"
    return head + b"\r\n" + body


async def _relay(
    pieces: list[bytes], end: _End
) -> tuple[bytes, bool, list[bytes]]:
    """Returns what the caller gets, whether complete, and the outputs."""
    sent: list[bytes] = []

    async def send(data: bytes) -> None:
        await trio.lowlevel.checkpoint()
        sent.append(data)

    connection = http_connection.Connection(
        "127.0.0.1:1", cast("trio.SocketStream", _Stream(pieces, end))
    )
    job: Any = types.SimpleNamespace(
        relay=event_relay.EventRelay(), allowance=None
    )
    is_complete = False
    with contextlib.suppress(errors.ConnectionLostError):
        head = await connection.exchange(
            _REQUEST, trio.current_time() + 60.0, http_connection.RequestHooks()
        )
        response = http_connection.StreamedResponse(
            connection,
            head,
            60_000.0,
            _MANY_BYTES,
            is_delimited=http_connection.is_delimited("POST", head),
        )
        await stream_body.relay(
            job, response, cast("Any", types.SimpleNamespace(send=send))
        )
        is_complete = True
    outcome = job.relay.outcome(complete=is_complete)
    return b"".join(sent), is_complete, list(outcome.outputs)


class TestEveryFraming:
    """A response of some events, cut anywhere, in pieces of any size."""

    @hypothesis.given(
        framing=st.sampled_from(["length", "chunks", "connection"]),
        count=st.integers(0, 3),
        line_end=st.sampled_from([b"\n", b"\r\n"]),
        unwritten=st.just(0) | st.integers(0, 25),
        cut=st.just(0) | st.integers(0, 200),
        size=st.integers(1, 60),
        end=st.sampled_from(_End),
    )
    @hypothesis.example(
        framing="connection",
        count=2,
        line_end=b"\n",
        unwritten=0,
        cut=0,
        size=60,
        end=_End.RESET_WHILE_SENDING,
    )
    def test_incomplete_stream_is_not_called_complete(
        self,
        framing: str,
        count: int,
        line_end: bytes,
        unwritten: int,
        cut: int,
        size: int,
        end: _End,
    ) -> None:
        """The caller gets complete events, and an end only after one.

        The endpoint leaves the last bytes of the events out, then those of the
        response are cut off.
        """
        events = [
            f"id: {number}\ndata: e{number}\n\n".encode().replace(
                b"\n", line_end
            )
            for number in range(1, count + 1)
        ]
        body = b"".join(events)
        body = body[: max(0, len(body) - unwritten)]
        raw = _raw_response(framing, body)
        arrived = raw[: max(0, len(raw) - cut)]
        pieces = [
            arrived[start : start + size]
            for start in range(0, len(arrived), size)
        ]
        sent, is_complete, outputs = trio.run(_relay, pieces, end)
        ends = [b"".join(events[:number]) for number in range(count + 1)]
        assert sent in ends
        assert len(outputs) == ends.index(sent)
        if framing == "connection":
            arrived_body = arrived[raw.index(b"\r\n\r\n") + 4 :]
            assert is_complete == (
                end is _End.CLOSED
                and arrived_body in ends
                and arrived_body != b""
            )
        else:
            assert is_complete == (arrived == raw and body in ends)


class TestNoMemory:
    """A stream for whose events there is no memory."""

    def test_events_that_are_not_sent_do_not_count_as_sent(self) -> None:
        """Guards against a resumed stream that leaves them out."""
        memory = host_memory.HostMemory(0)
        sent: list[bytes] = []
        relay = event_relay.EventRelay()
        first, *others = [
            b"id: %d\ndata: e\n\n" % number for number in range(1, 101)
        ]

        async def body() -> AsyncIterator[bytes]:
            for piece in (first, b"".join(others)):
                await trio.lowlevel.checkpoint()
                yield piece

        async def send(data: bytes) -> None:
            await trio.lowlevel.checkpoint()
            sent.append(data)

        async def run() -> None:
            # One more response, as a single one is always served.
            other = memory.open(
                memory_account.Kind.BODY, "rallies", lambda: None
            )
            memory.add(other, 1)
            await stream_body.relay(
                cast("Any", types.SimpleNamespace(relay=relay, allowance=None)),
                cast("Any", body()),
                cast("Any", types.SimpleNamespace(send=send)),
                charge=response_memory.ResponseCharge(memory),
            )

        with pytest.raises(errors.BadMessageError):
            trio.run(run)
        assert b"".join(sent) == first
        assert (relay.events, relay.last_id) == (1, "1")
