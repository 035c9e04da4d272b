"""Datagram calls between gateways.

Every turn makes two of them. As control calls they took a quarter of a
gateway's CPU time; a datagram each way costs a tenth of that. Calls that are
rare or do not fit into one packet remain control calls.

A call is sent again until it is answered. The callee remembers its replies and
repeats them, so that a call takes effect once. While a call is still running,
it acknowledges repeats; a caller without any acknowledgement gives up early.
"""

from collections.abc import Awaitable, Mapping
import inspect
import itertools
import secrets
from typing import Any

import attrs
import trio

from quetzalmill import clock as clock_module
from quetzalmill import codec
from quetzalmill import control_method
from quetzalmill import datagrams
from quetzalmill import errors
from quetzalmill import http_message
from quetzalmill import logs

INITIAL_RESEND_MS = 60.0
"""The wait before a call is sent again, doubled each time; several round trips
between failure domains."""

ACK_TIMEOUT_MS = 300.0
"""How long a caller waits for an acknowledgement: three sends, with a round
trip for the last."""

DEDUPLICATION_MS = 3_000.0
"""How long a callee remembers a call; longer than callers wait for a reply."""

MAX_SERVED_CALLS = 16_384
"""How many calls a callee remembers; four times those of 600 turns a second.
Beyond that, calls are dropped without taking effect: forgetting an earlier one
could let its repeat take effect again."""

MAX_REPLY_BYTES = 8_388_608
"""The memory of all replies that are remembered; 512 bytes for each call."""

_NUMBER_BITS = 48
_MAX_DATAGRAM_BYTES = 8_192
_MAX_DATAGRAMS_PER_WAKEUP = 64

_Address = tuple[str, int]
_Key = tuple[_Address, int]
"""Identifies a call by its caller's address and its number."""

_log = logs.get("peer_calls")


@attrs.frozen
class _Frame:
    """The content of a datagram.

    Attributes:
        number: The call's number; unique within its caller's process.
        method: The method; empty in a reply.
        payload: The encoded request or reply.
        is_working: Whether this only acknowledges a call that still runs.
    """

    number: int
    method: str
    payload: bytes
    is_working: bool = False


@attrs.define(eq=False)
class _PendingCall:
    answered: trio.Event = attrs.field(factory=trio.Event)
    payload: bytes = b""
    is_acknowledged: bool = False


@attrs.define(eq=False)
class _ServedCall:
    received_ms: float
    reply: bytes | None = None


class PeerCalls:
    """Makes and serves datagram calls on one socket.

    Args:
        address: The gateway's IP address, with the port of its heartbeats.
        handlers: The handler of each method.
        clock: The process's clock.
        port: The port of datagram calls, here and at all peers.
    """

    def __init__(
        self,
        address: str,
        handlers: Mapping[control_method.Method, control_method.Handler],
        clock: clock_module.Clock,
        port: int,
    ) -> None:
        self._ip = http_message.split_address(address)[0]
        self._port = port
        self._handlers = {
            method.name: (method, handler)
            for method, handler in handlers.items()
        }
        self._clock = clock
        # Numbers start at random, so that callees do not mistake a call for
        # one of this process's predecessor.
        self._numbers = itertools.count(secrets.randbits(_NUMBER_BITS))
        self._pending: dict[int, _PendingCall] = {}
        self._served: dict[_Key, _ServedCall] = {}
        self._reply_bytes = 0
        self._socket = datagrams.open_socket()

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Receives calls and replies until cancelled."""
        with self._socket:
            datagrams.bind(self._socket, f"{self._ip}:{self._port}")
            task_status.started()
            async with trio.open_nursery() as nursery:
                while True:
                    await trio.lowlevel.wait_readable(self._socket)
                    self._receive(nursery)

    async def call(
        self,
        address: str,
        method: control_method.Method,
        message: Any,
        *,
        timeout_ms: float,
        ack_timeout_ms: float = ACK_TIMEOUT_MS,
    ) -> Any:
        """Makes one call and returns its reply.

        Args:
            address: The address of the peer's heartbeats.
            method: The method.
            message: The request.
            timeout_ms: How long to wait for the reply.
            ack_timeout_ms: How long to wait for an acknowledgement or reply.

        Raises:
            errors.ControlCallError: ``address`` is unusable, no reply came
                within ``timeout_ms``, or no acknowledgement within
                ``ack_timeout_ms``; the call may or may not have taken effect.
        """
        number = next(self._numbers)
        frame = _Frame(number, method.name, codec.to_msgpack(message))
        data = codec.to_msgpack(frame)
        try:
            target = (datagrams.split_address(address)[0], self._port)
        except ValueError as error:
            raise errors.ControlCallError(
                f"{method.name} to {address}: {error}"
            ) from error
        pending = self._pending[number] = _PendingCall()
        try:
            with trio.move_on_after(timeout_ms / 1000.0):
                await self._send_until_answered(
                    data, target, pending, ack_timeout_ms
                )
            if pending.answered.is_set():
                return codec.from_msgpack(pending.payload, method.reply_type)
        except errors.CodecError as error:
            raise errors.ControlCallError(
                f"{method.name} to {address}: unreadable reply: {error}"
            ) from error
        finally:
            del self._pending[number]
        raise errors.ControlCallError(f"{method.name} to {address}: no reply")

    async def _send_until_answered(
        self,
        data: bytes,
        target: _Address,
        pending: _PendingCall,
        ack_timeout_ms: float,
    ) -> None:
        """Returns once there is a reply or the acknowledgement times out."""
        wait_ms = INITIAL_RESEND_MS
        give_up_ms = self._clock.now_ms() + ack_timeout_ms
        while not pending.answered.is_set():
            remaining_ms = give_up_ms - self._clock.now_ms()
            if not pending.is_acknowledged:
                if remaining_ms <= 0.0:
                    return
                wait_ms = min(wait_ms, remaining_ms)
            self._send(data, target)
            with trio.move_on_after(wait_ms / 1000.0):
                await pending.answered.wait()
            wait_ms *= 2.0

    def _send(self, data: bytes, target: _Address) -> None:
        try:
            self._socket.sendto(data, target)
        except OSError as error:
            # Lost calls are sent again, and lost replies are repeated.
            _log.info("datagram_not_sent", peer=target[0], reason=str(error))

    def _receive(self, nursery: trio.Nursery) -> None:
        for _ in range(_MAX_DATAGRAMS_PER_WAKEUP):
            try:
                data, source = self._socket.recvfrom(_MAX_DATAGRAM_BYTES)
                frame = codec.from_msgpack(data, _Frame)
            except BlockingIOError:
                return
            except OSError as error:
                _log.info("datagram_not_received", reason=str(error))
                return
            except errors.CodecError as error:
                _log.warning("datagram_unreadable", reason=str(error))
                continue
            if frame.method:
                self._serve_call(frame, source, nursery)
            elif (pending := self._pending.get(frame.number)) is not None:
                pending.is_acknowledged = True
                if not frame.is_working:
                    pending.payload = frame.payload
                    pending.answered.set()

    def _serve_call(
        self, frame: _Frame, source: _Address, nursery: trio.Nursery
    ) -> None:
        """Answers a call, at once if its handler does not wait."""
        self._expire_served()
        key = (source, frame.number)
        served = self._served.get(key)
        if served is not None:
            working = _Frame(frame.number, "", b"", is_working=True)
            self._send(served.reply or codec.to_msgpack(working), source)
            return
        if (
            len(self._served) >= MAX_SERVED_CALLS
            or self._reply_bytes >= MAX_REPLY_BYTES
        ):
            _log.warning("call_dropped", peer=source[0], held=len(self._served))
            return
        found = self._handlers.get(frame.method)
        if found is None:
            _log.warning("call_unknown", peer=source[0], method=frame.method)
            return
        method, handler = found
        try:
            request = codec.from_msgpack(frame.payload, method.request_type)
        except errors.CodecError as error:
            _log.warning("call_unreadable", peer=source[0], reason=str(error))
            return
        self._served[key] = _ServedCall(self._clock.now_ms())
        later = self._handle(handler, request, key)
        if later is not None:
            nursery.start_soon(self._answer_later, later, key)

    def _handle(
        self, handler: control_method.Handler, request: Any, key: _Key
    ) -> Awaitable[Any] | None:
        """Answers a call, or returns its pending reply."""
        try:
            reply = handler(request)
            if inspect.isawaitable(reply):
                return reply
            self._answer(reply, key)
        except Exception:
            # The caller times out; other calls must continue.
            _log.exception("call_failed", peer=key[0][0])
        return None

    async def _answer_later(self, reply: Awaitable[Any], key: _Key) -> None:
        try:
            self._answer(await reply, key)
        except Exception:
            # The caller times out; other calls must continue.
            _log.exception("call_failed", peer=key[0][0])

    def _answer(self, reply: Any, key: _Key) -> None:
        source, number = key
        frame = _Frame(number, "", codec.to_msgpack(reply))
        data = codec.to_msgpack(frame)
        if (served := self._served.get(key)) is not None:
            served.reply = data
            self._reply_bytes += len(data)
        self._send(data, source)

    def _expire_served(self) -> None:
        oldest_ms = self._clock.now_ms() - DEDUPLICATION_MS
        while self._served:
            key = next(iter(self._served))
            if self._served[key].received_ms > oldest_ms:
                return
            served = self._served.pop(key)
            self._reply_bytes -= len(served.reply or b"")
