"""Tests of the memory limit for buffered responses."""

from collections.abc import AsyncIterator
import tracemalloc

import pytest
import trio
import trio.testing

from quetzalmill import errors
from quetzalmill import host_memory
from quetzalmill import response_memory

_LIMIT_BYTES = 4_000_000
_CHUNK = b"x" * 4_096


async def _endless() -> AsyncIterator[bytes]:
    while True:
        await trio.sleep(0.001)
        yield _CHUNK


async def _complete(size_bytes: int) -> AsyncIterator[bytes]:
    for start in range(0, size_bytes, len(_CHUNK)):
        await trio.sleep(0.001)
        yield _CHUNK[: size_bytes - start]


class TestResponses:
    """Single responses."""

    @pytest.mark.parametrize("size_bytes", [0, 1, 5_000, _LIMIT_BYTES // 2])
    def test_complete_response_is_read(self, size_bytes: int) -> None:
        memory = response_memory.ResponseMemory(_LIMIT_BYTES)
        data = trio.run(
            memory.read,
            _complete(size_bytes),
            clock=trio.testing.MockClock(autojump_threshold=0),
        )
        assert len(data) == size_bytes
        assert memory.held_bytes == 0

    def test_endless_response_is_cut_off(self) -> None:
        memory = response_memory.ResponseMemory(_LIMIT_BYTES)
        with pytest.raises(errors.BadMessageError):
            trio.run(
                memory.read,
                _endless(),
                clock=trio.testing.MockClock(autojump_threshold=0),
            )
        assert memory.held_bytes == 0


class TestTinyChunks:
    """A response in chunks of two bytes."""

    def test_memory_is_not_a_multiple_of_the_body(self) -> None:
        """A list of such chunks takes over twenty times their size."""
        size_bytes = 200_000

        async def tiny() -> AsyncIterator[bytes]:
            for number in range(size_bytes // 2):
                await trio.lowlevel.checkpoint()
                yield number.to_bytes(3, "big")[1:]

        memory = response_memory.ResponseMemory(_LIMIT_BYTES)
        tracemalloc.start()
        try:
            data = trio.run(memory.read, tiny())
            _, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert len(data) == size_bytes
        assert peak_bytes < 8 * size_bytes


class TestManyEndlessResponses:
    """200 endless responses at the same time as 200 complete ones."""

    def test_memory_is_bounded_and_complete_ones_are_read(self) -> None:
        memory = response_memory.ResponseMemory(_LIMIT_BYTES)
        peak_bytes = 0
        complete = 0

        async def endless() -> None:
            nonlocal peak_bytes
            while True:
                with pytest.raises(errors.BadMessageError):
                    await memory.read(_endless())

        async def read_complete() -> None:
            nonlocal complete
            data = await memory.read(
                _complete(response_memory.GUARANTEED_BYTES)
            )
            complete += len(data) == response_memory.GUARANTEED_BYTES

        async def run() -> None:
            nonlocal peak_bytes
            async with trio.open_nursery() as nursery:
                for _ in range(200):
                    nursery.start_soon(endless)
                for _ in range(200):
                    await trio.sleep(0.002)
                    nursery.start_soon(read_complete)
                    peak_bytes = max(peak_bytes, memory.held_bytes)
                await trio.sleep(0.1)
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        assert complete == 200
        assert (
            peak_bytes <= _LIMIT_BYTES + 400 * response_memory.GUARANTEED_BYTES
        )


class TestResponseCharge:
    """Responses that are not buffered as a whole."""

    def test_small_one_is_not_charged(self) -> None:
        memory = host_memory.HostMemory(_LIMIT_BYTES)
        charge = response_memory.ResponseCharge(memory)
        charge.hold(response_memory.UNCHARGED_BYTES - 1)
        assert memory.account.held_bytes == 0

    def test_growing_one_is_charged_until_it_is_closed(self) -> None:
        async def run() -> None:
            memory = host_memory.HostMemory(_LIMIT_BYTES)
            charge = response_memory.ResponseCharge(memory)
            for size_bytes in (5_000, 60_000, 9_000):
                charge.hold(size_bytes)
                assert memory.account.held_bytes >= size_bytes
            assert 60_000 <= memory.account.held_bytes < 80_000
            charge.close()
            assert memory.account.held_bytes == 0

        trio.run(run)

    @pytest.mark.parametrize("guaranteed_bytes", [0, 16_384])
    def test_one_without_memory_is_refused(self, guaranteed_bytes: int) -> None:
        """Many of them share the memory; only what is guaranteed exceeds it."""

        async def run() -> None:
            memory = host_memory.HostMemory(_LIMIT_BYTES)
            refused = 0
            for _ in range(200):
                charge = response_memory.ResponseCharge(
                    memory, guaranteed_bytes
                )
                charge.hold(guaranteed_bytes)
                try:
                    charge.hold(64_000)
                except errors.BadMessageError:
                    refused += 1
            assert 0 < refused < 200
            assert memory.account.held_bytes <= (
                _LIMIT_BYTES + 200 * guaranteed_bytes
            )

        trio.run(run)
