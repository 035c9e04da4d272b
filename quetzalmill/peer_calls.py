"""Small calls between gateways, as datagrams.

Every turn makes two of them. As control calls they were a quarter of a
gateway's processor time; a datagram each way costs a tenth of that. What does
not fit into one packet, or comes rarely, stays a control call.

A call is sent again until it is answered. The callee answers a call that it
has seen before as it did then, so a repeat does nothing twice. While it still
works on the call, it says so to a repeat; a callee that says nothing at all is
given up early.
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

RESEND_MS = 60.0
"""The wait before a call is sent again, doubled each time; several times the
way between failure domains and back."""

SIGN_MS = 300.0
"""How long a caller waits for any sign of the callee: three sends, of which the
last had the time for the way there and back."""

REMEMBERED_MS = 3_000.0
"""How long a callee knows a call; longer than callers wait for an answer."""

_NUMBER_BITS = 48
_MAX_DATAGRAM_BYTES = 8_192
_MAX_DRAINED = 64

_Address = tuple[str, int]
_Key = tuple[_Address, int]
"""A call, by who made it and its number."""

_log = logs.get("peer_calls")


@attrs.frozen
class _Frame:
    """What one datagram holds.

    Attributes:
        number: The call; unique for its caller's process.
        method: The method; empty in a reply.
        payload: The request, or the reply.
        is_working: Whether the reply is yet to come.
    """

    number: int
    method: str
    payload: bytes
    is_working: bool = False


@attrs.define(eq=False)
class _Waiting:
    answered: trio.Event = attrs.field(factory=trio.Event)
    payload: bytes = b""
    is_alive: bool = False


@attrs.define(eq=False)
class _Seen:
    seen_ms: float
    reply: bytes | None = None


class PeerCalls:
    """Makes and serves small calls on one socket.

    Args:
        address: The gateway's IP address, with the port of its beats.
        handlers: What answers each method.
        clock: The process's clock.
        port: The port to use, here and at all peers.
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
        # A callee must not take a call for one of this process's predecessor.
        self._numbers = itertools.count(secrets.randbits(_NUMBER_BITS))
        self._waiting: dict[int, _Waiting] = {}
        self._seen: dict[_Key, _Seen] = {}
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
                    self._drain(nursery)

    async def call(
        self,
        address: str,
        method: control_method.Method,
        message: Any,
        *,
        timeout_ms: float,
        sign_ms: float = SIGN_MS,
    ) -> Any:
        """Makes one call and returns its reply.

        Args:
            address: The peer, by the address of its beats.
            method: The method.
            message: The request.
            timeout_ms: How long to wait for the reply.
            sign_ms: How long to wait for any sign of the peer.

        Raises:
            errors.ControlError: No reply came within ``timeout_ms``, or no
                sign of the peer; the call may or may not have taken effect.
        """
        number = next(self._numbers)
        frame = _Frame(number, method.name, codec.to_msgpack(message))
        data = codec.to_msgpack(frame)
        target = (http_message.split_address(address)[0], self._port)
        waiting = self._waiting[number] = _Waiting()
        try:
            with trio.move_on_after(timeout_ms / 1000.0):
                await self._send_until_answered(data, target, waiting, sign_ms)
            if waiting.answered.is_set():
                return codec.from_msgpack(waiting.payload, method.reply_type)
        except errors.CodecError as error:
            raise errors.ControlError(
                f"{method.name} to {address}: unreadable reply: {error}"
            ) from error
        finally:
            del self._waiting[number]
        raise errors.ControlError(f"{method.name} to {address}: no reply")

    async def _send_until_answered(
        self,
        data: bytes,
        target: _Address,
        waiting: _Waiting,
        sign_ms: float,
    ) -> None:
        """Returns once there is an answer, or no sign of the callee."""
        wait_ms = RESEND_MS
        give_up_ms = self._clock.now_ms() + sign_ms
        while not waiting.answered.is_set():
            left_ms = give_up_ms - self._clock.now_ms()
            if not waiting.is_alive:
                if left_ms <= 0.0:
                    return
                wait_ms = min(wait_ms, left_ms)
            self._send(data, target)
            with trio.move_on_after(wait_ms / 1000.0):
                await waiting.answered.wait()
            wait_ms *= 2.0

    def _send(self, data: bytes, target: _Address) -> None:
        try:
            self._socket.sendto(data, target)
        except OSError as error:
            # A call is sent again, and a repeated call is answered again.
            _log.info("datagram_not_sent", peer=target[0], reason=str(error))

    def _drain(self, nursery: trio.Nursery) -> None:
        for _ in range(_MAX_DRAINED):
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
                self._take_call(frame, source, nursery)
            elif (waiting := self._waiting.get(frame.number)) is not None:
                waiting.is_alive = True
                if not frame.is_working:
                    waiting.payload = frame.payload
                    waiting.answered.set()

    def _take_call(
        self, frame: _Frame, source: _Address, nursery: trio.Nursery
    ) -> None:
        """Answers a call, at once where nothing has to be waited for."""
        self._forget_old()
        key = (source, frame.number)
        seen = self._seen.get(key)
        if seen is not None:
            working = _Frame(frame.number, "", b"", is_working=True)
            self._send(seen.reply or codec.to_msgpack(working), source)
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
        self._seen[key] = _Seen(self._clock.now_ms())
        later = self._handle(handler, request, key)
        if later is not None:
            nursery.start_soon(self._answer_later, later, key)

    def _handle(
        self, handler: control_method.Handler, request: Any, key: _Key
    ) -> Awaitable[Any] | None:
        """Answers a call, or returns the answer that is yet to come."""
        try:
            reply = handler(request)
        except Exception:
            _log.exception("call_failed", peer=key[0][0])
            return None
        if inspect.isawaitable(reply):
            return reply
        self._answer(reply, key)
        return None

    async def _answer_later(self, reply: Awaitable[Any], key: _Key) -> None:
        try:
            self._answer(await reply, key)
        except Exception:
            # The caller gives up in time; other calls must go on.
            _log.exception("call_failed", peer=key[0][0])

    def _answer(self, reply: Any, key: _Key) -> None:
        source, number = key
        frame = _Frame(number, "", codec.to_msgpack(reply))
        data = codec.to_msgpack(frame)
        if (seen := self._seen.get(key)) is not None:
            seen.reply = data
        self._send(data, source)

    def _forget_old(self) -> None:
        oldest_ms = self._clock.now_ms() - REMEMBERED_MS
        while self._seen:
            key = next(iter(self._seen))
            if self._seen[key].seen_ms > oldest_ms:
                return
            del self._seen[key]
