"""Tests of the client of a sidecar's endpoints."""

import pytest
import trio

from quetzalmill import endpoint_port
from quetzalmill import errors
from quetzalmill import http_client

_OBEYED = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
_OUT_OF_DATE = b"HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}"


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
