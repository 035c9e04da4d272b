"""Tests of datagram calls between gateways, over real sockets."""

from collections.abc import AsyncIterator, Awaitable
import contextlib
import socket
from typing import Any

import attrs
import pytest
import trio

from quetzalmill import clock as clock_module
from quetzalmill import codec
from quetzalmill import control_method
from quetzalmill import errors
from quetzalmill import peer_calls
from quetzalmill_load import processes

_CALLER = "127.0.0.2:1"
_CALLEE = "127.0.0.3:1"
_LIMIT_S = 20.0
"""The longest time that a test may take."""


@attrs.frozen
class _Number:
    value: int


_DOUBLE = control_method.Method(
    name="Double", request_type=_Number, reply_type=_Number
)


@attrs.define
class _Callee:
    """Records the calls that it serves."""

    delay_s: float = 0.0
    served: list[int] = attrs.field(factory=list)
    fails: int = 0

    def double(self, message: _Number) -> _Number | Awaitable[_Number]:
        self.served.append(message.value)
        if self.delay_s:
            return self._later(message)
        return self._reply(message)

    async def _later(self, message: _Number) -> _Number:
        await trio.sleep(self.delay_s)
        return self._reply(message)

    def _reply(self, message: _Number) -> _Number:
        if self.fails:
            self.fails -= 1
            raise ValueError("as the test asks")
        return _Number(2 * message.value)


def _calls(address: str, port: int, callee: _Callee) -> peer_calls.PeerCalls:
    return peer_calls.PeerCalls(
        address, {_DOUBLE: callee.double}, clock_module.SystemClock(), port
    )


@contextlib.asynccontextmanager
async def _running(
    callee: _Callee, *, callee_after_s: float | None = None
) -> AsyncIterator[tuple[peer_calls.PeerCalls, int]]:
    """Runs a caller and a callee; yields the caller and the port.

    Args:
        callee: Serves the calls.
        callee_after_s: The delay of the callee's start; by default it is
            already running.
    """
    port = int(processes.free_address().rpartition(":")[2])
    caller = _calls(_CALLER, port, _Callee())
    answering = _calls(_CALLEE, port, callee)

    async def run_late(after_s: float) -> None:
        await trio.sleep(after_s)
        await answering.run()

    with trio.fail_after(_LIMIT_S):
        async with trio.open_nursery() as nursery:
            await nursery.start(caller.run)
            if callee_after_s is None:
                await nursery.start(answering.run)
            else:
                nursery.start_soon(run_late, callee_after_s)
            yield caller, port
            nursery.cancel_scope.cancel()


class TestCalls:
    """Calls over a network that loses and duplicates datagrams."""

    @pytest.mark.parametrize("delay_s", [0.0, 0.2, 0.8])
    def test_reply(self, delay_s: float) -> None:
        """While a handler waits, the call is sent again but served once."""
        callee = _Callee(delay_s)

        async def main() -> None:
            async with _running(callee) as (caller, _):
                reply = await caller.call(
                    _CALLEE, _DOUBLE, _Number(4), timeout_ms=5_000.0
                )
                assert reply == _Number(8)
            assert callee.served == [4]

        trio.run(main)

    @pytest.mark.parametrize("address", ["nowhere", "a:70000", "x:1", "\0:1"])
    def test_call_to_an_unusable_address_fails_at_once(
        self, address: str
    ) -> None:
        """A heartbeat may name any address as its sender's."""

        async def main() -> None:
            async with _running(_Callee()) as (caller, _):
                with pytest.raises(errors.ControlCallError):
                    await caller.call(
                        address, _DOUBLE, _Number(4), timeout_ms=50.0
                    )

        trio.run(main)

    def test_lost_call_is_sent_again(self) -> None:
        """Datagrams sent before the callee has started are lost."""
        callee = _Callee()

        async def main() -> None:
            async with _running(callee, callee_after_s=0.1) as (caller, _):
                reply = await caller.call(
                    _CALLEE, _DOUBLE, _Number(5), timeout_ms=5_000.0
                )
                assert reply == _Number(10)

        trio.run(main)

    def test_repeated_call_is_served_once_and_answered_twice(self) -> None:
        callee = _Callee()

        async def main() -> None:
            async with _running(callee) as (_, port):
                payload = codec.to_msgpack(_Number(3))
                frame = codec.to_msgpack(
                    {"number": 7, "method": "Double", "payload": payload}
                )
                with trio.socket.socket(type=socket.SOCK_DGRAM) as sender:
                    for _ in range(2):
                        await sender.sendto(frame, ("127.0.0.3", port))
                        await sender.recv(1_000)
            assert callee.served == [3]

        trio.run(main)

    def test_calls_beyond_the_bound_are_dropped(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against datagrams that fill the memory of a gateway."""
        monkeypatch.setattr(peer_calls, "MAX_SERVED_CALLS", 2)
        callee = _Callee()

        async def main() -> None:
            async with _running(callee) as (_, port):
                payload = codec.to_msgpack(_Number(3))
                with trio.socket.socket(type=socket.SOCK_DGRAM) as sender:
                    for number, is_answered in (
                        (1, True),
                        (2, True),
                        (3, False),
                        (1, True),
                    ):
                        frame = {
                            "number": number,
                            "method": "Double",
                            "payload": payload,
                        }
                        await sender.sendto(
                            codec.to_msgpack(frame), ("127.0.0.3", port)
                        )
                        if is_answered:
                            await sender.recv(1_000)
            assert callee.served == [3, 3]

        trio.run(main)

    def test_unreadable_datagram_ends_nothing(self) -> None:
        callee = _Callee()

        async def main() -> None:
            async with _running(callee) as (caller, port):
                with trio.socket.socket(type=socket.SOCK_DGRAM) as sender:
                    for data in (b"", b"\xff", codec.to_msgpack({"number": 1})):
                        await sender.sendto(data, ("127.0.0.3", port))
                reply = await caller.call(
                    _CALLEE, _DOUBLE, _Number(1), timeout_ms=5_000.0
                )
                assert reply == _Number(2)

        trio.run(main)

    def test_reply_that_cannot_be_encoded_ends_no_other_call(self) -> None:
        """Numbers of a request may add up to more than a message can hold."""

        async def main() -> None:
            async with _running(_Callee()) as (caller, _):
                with pytest.raises(errors.ControlCallError):
                    await caller.call(
                        _CALLEE, _DOUBLE, _Number(2**63), timeout_ms=400.0
                    )
                reply = await caller.call(
                    _CALLEE, _DOUBLE, _Number(2), timeout_ms=5_000.0
                )
                assert reply == _Number(4)

        trio.run(main)

    def test_missing_acknowledgement_fails_before_the_timeout(self) -> None:
        """A callee that is down sends no acknowledgement."""

        async def main() -> None:
            async with _running(_Callee(), callee_after_s=60.0) as (caller, _):
                with pytest.raises(errors.ControlCallError):
                    await caller.call(
                        _CALLEE, _DOUBLE, _Number(1), timeout_ms=600_000.0
                    )

        trio.run(main)

    @pytest.mark.parametrize("delay_s", [0.0, 0.1])
    def test_handler_that_fails_ends_no_other_call(
        self, delay_s: float
    ) -> None:
        callee = _Callee(delay_s, fails=1)

        async def main() -> None:
            async with _running(callee) as (caller, _):
                with pytest.raises(errors.ControlCallError):
                    await caller.call(
                        _CALLEE, _DOUBLE, _Number(1), timeout_ms=400.0
                    )
                reply = await caller.call(
                    _CALLEE, _DOUBLE, _Number(2), timeout_ms=5_000.0
                )
                assert reply == _Number(4)

        trio.run(main)


class TestLateCopies:
    """A callee that repeats its replies where the next one is due."""

    @pytest.mark.parametrize("callers", [1, 2])
    def test_copy_does_not_answer_the_next_call(self, callers: int) -> None:
        """Each call has a number, which is random in another process."""
        port = int(processes.free_address().rpartition(":")[2])

        async def main() -> list[int]:
            found = []
            with (
                trio.fail_after(_LIMIT_S),
                trio.socket.socket(type=socket.SOCK_DGRAM) as callee,
            ):
                await callee.bind((_CALLEE.partition(":")[0], port))
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(_answer_with_copies, callee)
                    for number in range(callers):
                        found += await _double_some(port, 3 * number)
                    nursery.cancel_scope.cancel()
            return found

        assert trio.run(main) == [0, 2, 4, 6, 8, 10][: 3 * callers]


async def _double_some(port: int, start: int) -> list[int]:
    """Calls three times from a process of its own."""
    caller = _calls(_CALLER, port, _Callee())
    async with trio.open_nursery() as nursery:
        await nursery.start(caller.run)
        found = [
            await caller.call(
                _CALLEE, _DOUBLE, _Number(start + each), timeout_ms=5_000.0
            )
            for each in range(3)
        ]
        nursery.cancel_scope.cancel()
    return [each.value for each in found]


async def _answer_with_copies(callee: trio.socket.SocketType) -> None:
    """Sends all earlier replies before each reply."""
    copies: list[bytes] = []
    while True:
        data, source = await callee.recvfrom(1_000)
        call = codec.from_msgpack(data, dict[str, Any])
        number = codec.from_msgpack(call["payload"], _Number).value
        reply = {
            "number": call["number"],
            "method": "",
            "payload": codec.to_msgpack(_Number(2 * number)),
        }
        copies.append(codec.to_msgpack(reply))
        for each in copies:
            await callee.sendto(each, source)
