"""Tests of reading a partition of turns."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import pytest
import trio
import trio.testing

from quetzalmill import clock as clock_module
from quetzalmill import codec
from quetzalmill import conversations
from quetzalmill import errors
from quetzalmill import keyed_store
from quetzalmill import turn_store
from tests import memory_store

_READ_S = 2.5
_CALLER_TIMEOUT_S = 2.0

_Result = TypeVar("_Result")


class _SlowStore(memory_store.MemoryStore):
    """Takes long to send a large partition, as after a power failure.

    Attributes:
        snapshot_reads: How many reads of the complete partition there were.
        failing_reads: How many of the next such reads fail.
    """

    def __init__(self) -> None:
        super().__init__()
        self.snapshot_reads = 0
        self.failing_reads = 0

    async def newest(
        self, topic: str, part: int, *, timeout_ms: float
    ) -> keyed_store.Records:
        """Returns the newest record of each key, after a while."""
        self.snapshot_reads += 1
        found = await super().newest(topic, part, timeout_ms=timeout_ms)
        await trio.sleep(_READ_S)
        if self.failing_reads:
            self.failing_reads -= 1
            raise errors.NotExecutedError("the store is busy")
        return found


class TestTurnPartition:
    """Reads that take longer than their callers wait."""

    def test_read_outlives_the_callers_that_requested_it(self) -> None:
        """Otherwise each caller restarts it and none ever gets an answer."""
        store = _SlowStore()
        # All callers that are still waiting when the one read ends.
        assert _ask_in_turn(store, ["t1"], cache_bytes=1_000_000) >= 15

    def test_partition_larger_than_the_cache_is_read_for_all(self) -> None:
        """Otherwise each caller reads it again, and none waits that long."""
        store = _SlowStore()
        turn_ids = [f"t{number}" for number in range(9)]
        assert _ask_in_turn(store, turn_ids, cache_bytes=1_500) >= 15
        assert store.snapshot_reads <= 2

    def test_chain_is_in_memory_when_its_caller_retries(self) -> None:
        """A read takes longer than its only caller waits."""
        store = _SlowStore()

        async def run(read_nursery: trio.Nursery) -> list[bool]:
            await _write(store, ["t1", "t2", "t3", "t4", "t5"])
            partition = _partition(store, 1_500, read_nursery)
            in_time = []
            for _ in range(3):
                deadline_s = trio.current_time() + _CALLER_TIMEOUT_S
                with trio.move_on_at(deadline_s):
                    await partition.chain("t1")
                in_time.append(trio.current_time() < deadline_s)
            return in_time

        assert _run(run) == [False, True, True]

    def test_caller_that_times_out_does_not_wait_for_the_read(self) -> None:
        """Otherwise its tokens are still reserved when the program retries."""
        store = _SlowStore()

        async def run(read_nursery: trio.Nursery) -> float:
            await _write(store, ["t1"])
            partition = _partition(store, 1_500, read_nursery)
            began_s = trio.current_time()
            with trio.move_on_after(_CALLER_TIMEOUT_S):
                await partition.chain("t1")
            return trio.current_time() - began_s

        assert _run(run) == pytest.approx(_CALLER_TIMEOUT_S)

    def test_failed_read_is_reported_to_all_that_wait_for_it(self) -> None:
        """Otherwise they retry one after the other, each for as long."""
        store = _SlowStore()
        store.failing_reads = 1

        async def run(read_nursery: trio.Nursery) -> list[float]:
            await _write(store, ["t1"])
            partition = _partition(store, 1_500, read_nursery)
            failed_s: list[float] = []

            async def ask() -> None:
                with pytest.raises(errors.NotExecutedError):
                    await partition.chain("t1")
                failed_s.append(trio.current_time())

            began_s = trio.current_time()
            async with trio.open_nursery() as nursery:
                for _ in range(3):
                    nursery.start_soon(ask)
            return [each - began_s for each in failed_s]

        assert _run(run) == pytest.approx([_READ_S] * 3)

    def test_failed_read_makes_no_turn_look_absent(self) -> None:
        store = _SlowStore()

        async def run(read_nursery: trio.Nursery) -> str:
            await _write(store, ["t1", "t2", "t3", "t4", "t5"])
            partition = _partition(store, 1_500, read_nursery)
            await partition.chain("t5")
            await trio.sleep(2.0 * turn_store.SNAPSHOT_KEPT_MS / 1000.0)
            store.failing_reads = 1
            with pytest.raises(errors.NotExecutedError):
                await partition.chain("t1")
            _, missing_id = await partition.chain("t2")
            return missing_id

        assert not _run(run)

    def test_turn_written_during_a_read_is_found(self) -> None:
        """By a caller that asked after the write, with a small cache."""
        store = _SlowStore()

        async def run(read_nursery: trio.Nursery) -> str:
            await _write(store, ["t1", "t2", "t3", "t4", "t5"])
            partition = _partition(store, 1_500, read_nursery)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(partition.chain, "t1")
                await trio.sleep(_READ_S / 2.0)
                await _write(store, ["t6", "t7", "t8", "t9"])
                nursery.start_soon(partition.chain, "t9")
                _, missing_id = await partition.chain("t6")
            return missing_id

        assert not _run(run)


def _ask_in_turn(
    store: _SlowStore, turn_ids: list[str], *, cache_bytes: int
) -> int:
    """Returns how many of 20 callers, one after another, find their turns."""

    async def run(read_nursery: trio.Nursery) -> int:
        await _write(store, turn_ids)
        partition = _partition(store, cache_bytes, read_nursery)
        found: list[str] = []

        async def ask(turn_id: str) -> None:
            with trio.move_on_after(_CALLER_TIMEOUT_S):
                turns, missing_id = await partition.chain(turn_id)
                assert not missing_id
                found.extend(each.turn_id for each in turns)

        async with trio.open_nursery() as nursery:
            for number in range(20):
                nursery.start_soon(ask, turn_ids[number % len(turn_ids)])
                await trio.sleep(0.2)
        return len(found)

    return _run(run)


def _partition(
    store: _SlowStore, cache_bytes: int, nursery: trio.Nursery
) -> turn_store.TurnPartition:
    return turn_store.TurnPartition(
        0,
        store,
        conversations.TurnCache(cache_bytes),
        clock_module.SystemClock(),
        nursery,
    )


async def _write(store: _SlowStore, turn_ids: list[str]) -> None:
    for turn_id in turn_ids:
        turn = conversations.Turn(
            turn_id=turn_id,
            team="weddings",
            program_id="p",
            previous_id="",
            input=b"hello",
            outputs=(b"there",),
            ended_unix_ms=1,
        )
        record = keyed_store.KeyedRecord(turn_id, codec.to_msgpack(turn))
        await store.append("turns", 0, [record], timeout_ms=100.0)


def _run(case: Callable[[trio.Nursery], Awaitable[_Result]]) -> _Result:
    async def run() -> _Result:
        async with trio.open_nursery() as nursery:
            result = await case(nursery)
            nursery.cancel_scope.cancel()
        return result

    return trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


class _SmallRecords(memory_store.MemoryStore):
    """Refuses records of more than a thousand bytes for good."""

    async def append(
        self,
        topic: str,
        part: int,
        records: list[keyed_store.KeyedRecord],
        *,
        timeout_ms: float,
    ) -> None:
        """Appends all records or none."""
        if any(len(each.value or b"") > 1_000 for each in records):
            raise errors.RejectedError("a record is too large")
        await super().append(topic, part, records, timeout_ms=timeout_ms)


class TestRejectedTurn:
    """A turn that the store refuses however often it is written."""

    @pytest.mark.parametrize("position", [0, 1, 2])
    def test_rejected_turn_does_not_hold_up_those_beside_it(
        self, position: int
    ) -> None:
        """All are queued at once and so in one batch."""
        store = _SmallRecords()

        async def run() -> list[bool]:
            async with trio.open_nursery() as nursery:
                writer = turn_store.TurnWriter(
                    0, store, nursery, lambda _: None
                )
                queued = [
                    writer.put(_sized(f"t{number}", number == position))
                    for number in range(3)
                ]
                with trio.fail_after(10.0):
                    for each in queued:
                        await each.done.wait()
                    later = writer.put(_sized("t9", is_large=False))
                    await later.done.wait()
            return [each.is_durable for each in (*queued, later)]

        durable = trio.run(
            run, clock=trio.testing.MockClock(autojump_threshold=0)
        )
        assert durable == [number != position for number in (0, 1, 2, 9)]
        assert store.value(turn_store.TOPIC, 0, "t9") is not None


def _sized(turn_id: str, is_large: bool) -> conversations.Turn:
    return conversations.Turn(
        turn_id=turn_id,
        team="weddings",
        program_id="p",
        previous_id="",
        input=b"x" * (5_000 if is_large else 10),
        outputs=(),
        ended_unix_ms=0,
        ran_on="",
    )
