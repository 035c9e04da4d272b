"""Tests of reading a partition of turns."""

import trio
import trio.testing

from quetzalmill import clock as clock_module
from quetzalmill import codec
from quetzalmill import conversations
from quetzalmill import keyed_store
from quetzalmill import turn_store
from tests import memory_store

_READ_S = 2.5
_PATIENCE_S = 2.0


class _SlowStore(memory_store.MemoryStore):
    """Takes long to hand out a large partition, as at a return of power."""

    async def newest(
        self, topic: str, part: int, *, timeout_ms: float
    ) -> keyed_store.Records:
        """Returns the newest record of each key, after a while."""
        await trio.sleep(_READ_S)
        return await super().newest(topic, part, timeout_ms=timeout_ms)


class TestTurnPartition:
    """What becomes of a reading whose callers do not wait for its end."""

    def test_reading_outlives_the_callers_that_asked_for_it(self) -> None:
        """Else each caller starts it anew and none ever gets an answer."""

        async def run() -> list[str]:
            store = _SlowStore()
            turn = conversations.Turn(
                turn_id="t1",
                team="weddings",
                program_id="p",
                previous_id="",
                input=b"hello",
                outputs=(b"there",),
                ended_unix_ms=1,
            )
            record = keyed_store.KeyedRecord("t1", codec.to_msgpack(turn))
            await store.append("turns", 0, [record], timeout_ms=100.0)
            partition = turn_store.TurnPartition(
                0,
                store,
                conversations.Conversations(1_000_000),
                clock_module.SystemClock(),
            )
            found: list[str] = []

            async def ask() -> None:
                with trio.move_on_after(_PATIENCE_S):
                    turns, missing_id = await partition.chain("t1")
                    assert not missing_id
                    found.extend(each.turn_id for each in turns)

            async with trio.open_nursery() as nursery:
                for _ in range(20):
                    nursery.start_soon(ask)
                    await trio.sleep(0.2)
            return found

        found = trio.run(
            run, clock=trio.testing.MockClock(autojump_threshold=0)
        )
        # All whose patience lasts until the one reading has ended.
        assert len(found) >= 15
