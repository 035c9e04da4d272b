"""Control calls between the project's own processes.

It wraps grpclib with a MessagePack codec, so that control messages are plain
attrs classes and need no generated code. Handlers run on the process's event
loop. Most use only state in memory; those that wait for the platform return an
awaitable. Answers to callers are not sent over control calls.
"""

from collections.abc import Awaitable, Callable, Mapping
import inspect
from typing import Any

import attrs
import grpclib.client
import grpclib.const
import grpclib.encoding.base
import grpclib.exceptions
import grpclib.server
import trio_asyncio

from quetzalmill import codec
from quetzalmill import control_method
from quetzalmill import errors
from quetzalmill import http_message

SERVICE = "quetzalmill.Control"


@attrs.define
class Traffic:
    """Counts of what was sent.

    Attributes:
        messages: Requests and replies.
        sent_bytes: Their encoded size, without framing.
    """

    messages: int = 0
    sent_bytes: int = 0


class ControlServer:
    """Serves control calls with one handler per method."""

    def __init__(
        self, handlers: Mapping[control_method.Method, control_method.Handler]
    ) -> None:
        self._handlers = handlers
        self.traffic = Traffic()
        self._server: grpclib.server.Server | None = None

    async def start(self, address: str) -> None:
        """Listens on ``address``; must run inside a trio-asyncio loop."""
        host, port = http_message.split_address(address)
        server = grpclib.server.Server(
            [self], codec=_MsgpackCodec(self.traffic)
        )
        await trio_asyncio.aio_as_trio(server.start)(host, port)
        self._server = server

    async def stop(self) -> None:
        """Stops listening and closes open calls."""
        if self._server is None:
            return
        self._server.close()
        await trio_asyncio.aio_as_trio(self._server.wait_closed)()

    def __mapping__(self) -> dict[str, grpclib.const.Handler]:
        """Returns the methods in the form that grpclib expects."""
        return {
            f"/{SERVICE}/{method.name}": grpclib.const.Handler(
                _grpc_handler(handler),
                grpclib.const.Cardinality.UNARY_UNARY,
                method.request_type,
                method.reply_type,
            )
            for method, handler in self._handlers.items()
        }


class ControlClient:
    """Makes control calls over one persistent connection per address."""

    def __init__(self) -> None:
        self._channels: dict[str, grpclib.client.Channel] = {}
        self.traffic = Traffic()

    async def call(
        self,
        address: str,
        method: control_method.Method,
        message: Any,
        *,
        timeout_ms: float,
    ) -> Any:
        """Makes one call and returns its reply.

        Raises:
            errors.ControlCallError: No reply came within ``timeout_ms``; the
                call may or may not have taken effect.
        """
        unary = grpclib.client.UnaryUnaryMethod[Any, Any](
            self._channel(address),
            f"/{SERVICE}/{method.name}",
            method.request_type,
            method.reply_type,
        )
        try:
            return await trio_asyncio.aio_as_trio(unary)(
                message, timeout=timeout_ms / 1000.0
            )
        except (
            TimeoutError,
            OSError,
            grpclib.exceptions.GRPCError,
            grpclib.exceptions.ProtocolError,
            grpclib.exceptions.StreamTerminatedError,
            errors.CodecError,
            # grpclib raises this when the connection closes after it was
            # chosen for a call and before the call's first frame.
            AttributeError,
        ) as error:
            raise errors.ControlCallError(
                f"{method.name} to {address} failed: {error!r}"
            ) from error

    def drop(self, address: str) -> None:
        """Closes the connection to an address; the next call makes a new one.

        A connection may stop responding permanently while new ones work, so
        callers drop it after a call without a reply.
        """
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()

    def close(self) -> None:
        """Closes every connection."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    def _channel(self, address: str) -> grpclib.client.Channel:
        channel = self._channels.get(address)
        if channel is None:
            host, port = http_message.split_address(address)
            channel = _Channel(host, port, codec=_MsgpackCodec(self.traffic))
            self._channels[address] = channel
        return channel


class _Channel(grpclib.client.Channel):
    """A channel that may be dropped while it is still connecting."""

    def __del__(self) -> None:
        # The base class would report such a channel as a programming error.
        self.close()


class _MsgpackCodec(grpclib.encoding.base.CodecBase):
    __content_subtype__ = "msgpack"

    def __init__(self, traffic: Traffic) -> None:
        self._traffic = traffic

    def encode(self, message: Any, message_type: Any) -> bytes:
        data = codec.to_msgpack(message)
        self._traffic.messages += 1
        self._traffic.sent_bytes += len(data)
        return data

    def decode(self, data: bytes, message_type: Any) -> Any:
        return codec.from_msgpack(data, message_type)


def _grpc_handler(handler: control_method.Handler) -> Callable[[Any], Any]:
    async def serve(stream: grpclib.server.Stream[Any, Any]) -> None:
        request = await stream.recv_message()
        if request is None:
            return
        reply = handler(request)
        if inspect.isawaitable(reply):
            reply = await trio_asyncio.trio_as_aio(_await_reply)(reply)
        await stream.send_message(reply)

    return serve


async def _await_reply(awaitable: Awaitable[Any]) -> Any:
    return await awaitable
