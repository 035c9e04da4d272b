"""Tests of the client of a sidecar's endpoints."""

import contextlib
import tracemalloc

import pytest
import trio

from quetzalmill import answer
from quetzalmill import endpoint_port
from quetzalmill import errors
from quetzalmill import http_client
from quetzalmill import messages

_OBEYED = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
_OUT_OF_DATE = b"HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}"
_LONG_MS = 60_000.0
_EXECUTION = messages.Execution(
    call=messages.Call(
        program="p",
        single=True,
        number=1,
        team="weddings",
        key_id="k",
        kind=messages.CallKind.MODEL,
        target="model",
        method="POST",
        path="/v1/chat/completions",
        content_type="application/json",
        body=b"{}",
        stream=True,
        idempotent=True,
        time_left_ms=_LONG_MS,
        fingerprint="f",
        suspect=False,
        applied_offset=0,
    ),
    root="p",
    epoch=1,
    attempt=1,
    endpoint="engine",
    attained_units=0.0,
    prompt_tokens=1,
    answer_tokens=1,
)


class TestLateCopies:
    """An endpoint that repeats a response where the next one is due."""

    def test_late_copy_does_not_answer_the_next_order(self) -> None:
        """The second order is refused, whatever the first one was answered."""
        answers = iter((_OBEYED, _OUT_OF_DATE))

        async def serve(stream: trio.SocketStream) -> None:
            repeated = b""
            async with stream:
                while await stream.receive_some():
                    answer = next(answers)
                    await stream.send_all(repeated + answer)
                    repeated = answer

        async def run() -> None:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
            port = endpoint_port.EndpointPort(http_client.HttpClient())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.serve_listeners, serve, listeners)
                await port.order(address, {"order": "unload"}, 1)
                with pytest.raises(errors.RefusedByEndpointError):
                    await port.order(address, {"order": "load"}, 1)
                nursery.cancel_scope.cancel()

        trio.run(run)


class TestEndlessStream:
    """An engine whose stream of small events does not end."""

    def test_events_of_one_answer_have_a_limit(self) -> None:
        """Guards against small events that take many times their bytes."""
        events = b"data: x\n\n" * 1_000
        found = answer.Answer()

        async def serve(stream: trio.SocketStream) -> None:
            async with stream:
                await stream.receive_some()
                await stream.send_all(b"HTTP/1.1 200 OK\r\n\r\n")
                with contextlib.suppress(trio.BrokenResourceError):
                    while True:
                        await stream.send_all(events)

        async def run() -> None:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
            port = endpoint_port.EndpointPort(http_client.HttpClient())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.serve_listeners, serve, listeners)
                with pytest.raises(errors.OutcomeUnknownError):
                    async with port.run_model(
                        address, _EXECUTION, _LONG_MS
                    ) as chunks:
                        async for chunk in chunks:
                            found.append(_frame(chunk))
                nursery.cancel_scope.cancel()

        tracemalloc.start()
        try:
            trio.run(run)
            held_bytes, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert found.last is not None
        assert held_bytes <= endpoint_port.MAX_ANSWER_BYTES


def _frame(chunk: bytes) -> messages.Frame:
    return messages.Frame(
        program="p",
        call=1,
        attempt=1,
        kind=messages.FrameKind.DATA,
        data=chunk,
    )
