"""Tests of the platform's client against the emulated store."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import pytest
import trio

from quetzalmill import errors
from quetzalmill import http_client
from quetzalmill import http_message
from quetzalmill import http_server
from quetzalmill import keyed_store
from quetzalmill_emulator import platform_store
from quetzalmill_platform import store as store_module

_ANSWER_MS = 400.0
"""How long a store may take to begin its answer, and between its pieces."""

_MANY = 1_200
"""Records that fill three pages."""

_Result = TypeVar("_Result")

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


class TestPages:
    """Readings of many pages, one of which fails."""

    @pytest.mark.parametrize("status", [503, 429])
    def test_failed_page_does_not_lose_those_before_it(
        self, status: int
    ) -> None:
        """Else a reading of many pages begins anew, and rarely ends."""
        failing = _FailingStore("/log-newest", calls={2, 4}, status=status)
        failing.put_many(_MANY)

        async def read(store: store_module.PlatformStore) -> int:
            found = await store.newest("turns", 0, timeout_ms=5_000.0)
            return len({record.key for record in found.records})

        assert _with_store(failing, read) == _MANY
        assert failing.calls == 5

    def test_failed_read_does_not_lose_those_before_it(self) -> None:
        failing = _FailingStore("/log-read", calls={2, 3}, status=503)

        async def read(store: store_module.PlatformStore) -> int:
            for record in _RECORDS:
                await store.append("turns", 0, [record], timeout_ms=5_000.0)
            found = await store.changes(
                "turns", 0, 0, wait_ms=0.0, timeout_ms=5_000.0
            )
            return found.next_offset

        assert _with_store(failing, read) == len(_RECORDS)

    def test_first_page_that_fails_is_told_at_once(self) -> None:
        """Nothing was read yet, and others may reach the store."""
        failing = _FailingStore("/log-newest", calls={1}, status=503)

        async def read(store: store_module.PlatformStore) -> None:
            with pytest.raises(errors.NotDoneError):
                await store.newest("turns", 0, timeout_ms=5_000.0)

        _with_store(failing, read)
        assert failing.calls == 1

    def test_store_that_goes_away_ends_a_reading(self) -> None:
        later = set(range(2, 100))
        failing = _FailingStore("/log-newest", calls=later, status=503)
        failing.put_many(_MANY)

        async def read(store: store_module.PlatformStore) -> None:
            with pytest.raises(errors.NotDoneError):
                await store.newest("turns", 0, timeout_ms=5_000.0)

        _with_store(failing, read)
        assert failing.calls == 1 + store_module.PAGE_TRIES


class TestSlowPages:
    """A page that takes longer than the store's usual answer."""

    def test_page_on_a_narrow_link_is_read_to_its_end(self) -> None:
        """Else a gateway on such a link never reads a large partition."""
        narrow = _NarrowStore(pieces=len(_NarrowStore.PAGE))

        async def read(store: store_module.PlatformStore) -> int:
            found = await store.newest("turns", 0, timeout_ms=_ANSWER_MS)
            return len(found.records)

        assert _with_store(narrow, read) == 1

    def test_page_that_stalls_is_given_up(self) -> None:
        narrow = _NarrowStore(pieces=5)

        async def read(store: store_module.PlatformStore) -> None:
            with pytest.raises(errors.NotDoneError):
                await store.newest("turns", 0, timeout_ms=_ANSWER_MS)

        _with_store(narrow, read)

    def test_page_without_end_is_given_up(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(store_module, "BODY_MS", 2.0 * _ANSWER_MS)
        narrow = _NarrowStore(pieces=10_000)

        async def read(store: store_module.PlatformStore) -> None:
            with pytest.raises(errors.NotDoneError):
                await store.newest("turns", 0, timeout_ms=_ANSWER_MS)

        _with_store(narrow, read)


class _NarrowStore:
    """A store that hands its one page out byte by byte.

    Args:
        pieces: How many bytes it sends before it falls silent, blanks after
            the page's own.
    """

    PAGE = (
        b'{"items":[{"key":"turn-1","value":"AQ==","offset":0}],'
        b'"hasMore":false,"end":1}'
    )

    def __init__(self, pieces: int) -> None:
        self._pieces = pieces

    async def handle(
        self, request: http_message.Request, exchange: http_server.Exchange
    ) -> None:
        """Answers one call."""
        del request
        await exchange.start_stream(200, {"Content-Type": "application/json"})
        for number in range(self._pieces):
            if exchange.disconnected:
                return
            await exchange.send(self.PAGE[number : number + 1] or b" ")
            await trio.sleep(_ANSWER_MS / 1000.0 / 20.0)
        if self._pieces == len(self.PAGE):
            await exchange.finish()
        else:
            await exchange.wait_disconnected()


class _FailingStore:
    """A store that fails some calls of a path, counted from 1.

    Args:
        path: The path.
        calls: The calls that fail.
        status: What is answered to them.
    """

    def __init__(self, path: str, calls: set[int], status: int) -> None:
        self._emulated = platform_store.PlatformStore()
        self._path = path
        self._failing = calls
        self._status = status
        self.calls = 0

    def put_many(self, count: int) -> None:
        """Writes turns, too many for one page."""
        for number in range(count):
            self._emulated.put("keyed.turns", f"turn-{number}", number)

    async def handle(
        self, request: http_message.Request, exchange: http_server.Exchange
    ) -> None:
        """Answers one call, or fails it."""
        self.calls += request.path == self._path
        if request.path != self._path or self.calls not in self._failing:
            await self._emulated.handle(request, exchange)
        else:
            await exchange.respond(self._status)


def _with_store(
    failing: "_FailingStore | _NarrowStore",
    use: Callable[[store_module.PlatformStore], Awaitable[_Result]],
) -> _Result:
    async def run() -> _Result:
        async with trio.open_nursery() as nursery:
            port = await nursery.start(_serve, failing)
            with trio.fail_after(20):
                result = await use(
                    store_module.PlatformStore(
                        http_client.HttpClient(), f"127.0.0.1:{port}"
                    )
                )
            nursery.cancel_scope.cancel()
        return result

    return trio.run(run)


async def _serve(
    emulated: "platform_store.PlatformStore | _FailingStore | _NarrowStore",
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    await http_server.serve(
        "127.0.0.1:0",
        emulated.handle,
        limits=http_message.Limits(),
        stopping=trio.Event(),
        task_status=task_status,
    )
