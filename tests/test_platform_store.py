"""Tests of the platform's client against the emulated store."""

import trio

from quetzalmill import http_client
from quetzalmill import http_message
from quetzalmill import http_server
from quetzalmill import keyed_store
from quetzalmill_emulator import platform_store
from quetzalmill_platform import store as store_module

_RECORDS = [
    keyed_store.KeyedRecord(f"turn-{number}", bytes([number]) * 200_000)
    for number in range(12)
]


class TestChanges:
    """Reading on from an offset."""

    def test_all_that_came_is_read_whatever_its_size(self) -> None:
        """A reading in part would make a turn look absent."""
        emulated = platform_store.PlatformStore()

        async def run() -> keyed_store.Records:
            async with trio.open_nursery() as nursery:
                port = await nursery.start(_serve, emulated)
                store = store_module.PlatformStore(
                    http_client.HttpClient(), f"127.0.0.1:{port}"
                )
                for record in _RECORDS:
                    await store.append("turns", 0, [record], timeout_ms=5_000.0)
                found = await store.changes(
                    "turns", 0, 0, wait_ms=0.0, timeout_ms=5_000.0
                )
                nursery.cancel_scope.cancel()
            return found

        found = trio.run(run)
        assert found.records == _RECORDS
        assert found.next_offset == len(_RECORDS)


async def _serve(
    emulated: platform_store.PlatformStore,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    await http_server.serve(
        "127.0.0.1:0",
        emulated.handle,
        limits=http_message.Limits(),
        stopping=trio.Event(),
        task_status=task_status,
    )
