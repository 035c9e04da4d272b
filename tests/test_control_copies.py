"""Control calls whose peer repeats an answer where the next one is due."""

import contextlib
import functools
import struct

import h2.config
import h2.connection
import h2.events
import trio
import trio_asyncio

from quetzalmill import codec
from quetzalmill import control
from quetzalmill import errors
from quetzalmill import messages

_TIMEOUT_MS = 2_000.0
_CALLS = 3
_MESSAGE_HEAD = struct.Struct(">BI")


class TestLateCopies:
    """HTTP/2 ties each answer to its request by the number of its stream."""

    def test_copy_does_not_answer_the_next_call(self) -> None:
        """The next call gets its own reply, or none."""

        async def run() -> list[str]:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
            client = control.ControlClient()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.serve_listeners, _serve, listeners)
                async with trio_asyncio.open_loop():
                    found = [
                        await _fence(client, address, str(number))
                        for number in range(_CALLS)
                    ]
                    client.close()
                nursery.cancel_scope.cancel()
            return found

        found = trio.run(run)
        assert found[0] == "0"
        assert all(
            reply in (str(number), "lost") for number, reply in enumerate(found)
        )


async def _fence(client: control.ControlClient, address: str, root: str) -> str:
    """Returns the instance in the reply, which repeats the root."""
    request = messages.FenceRequest(
        root=root, epoch=1, program=root, call=1, since_offset=0
    )
    try:
        reply: messages.FenceReply = await client.call(
            address, messages.FENCE, request, timeout_ms=_TIMEOUT_MS
        )
    except errors.ControlCallError:
        client.drop(address)
        return "lost"
    return reply.instance


async def _serve(stream: trio.SocketStream) -> None:
    """Sends the last answer once more before each answer."""
    config = h2.config.H2Configuration(client_side=False)
    http = h2.connection.H2Connection(config)
    http.initiate_connection()
    copy = b""
    # The caller closes the connection at a copy.
    with contextlib.suppress(trio.BrokenResourceError):
        await stream.send_all(http.data_to_send())
        while data := await stream.receive_some():
            for event in http.receive_data(bytes(data)):
                if isinstance(event, h2.events.DataReceived):
                    await stream.send_all(http.data_to_send() + copy)
                    _answer(http, event)
                    copy = http.data_to_send()
                    await stream.send_all(copy)
            await stream.send_all(http.data_to_send())


def _answer(
    http: h2.connection.H2Connection, event: h2.events.DataReceived
) -> None:
    request = codec.from_msgpack(
        event.data[_MESSAGE_HEAD.size :], messages.FenceRequest
    )
    reply = codec.to_msgpack(
        messages.FenceReply(instance=request.root, seen=True, complete=True)
    )
    send_headers = functools.partial(http.send_headers, event.stream_id)
    send_headers(
        [(":status", "200"), ("content-type", "application/grpc+msgpack")]
    )
    data = _MESSAGE_HEAD.pack(0, len(reply)) + reply
    http.send_data(event.stream_id, data)
    send_headers([("grpc-status", "0")], end_stream=True)
