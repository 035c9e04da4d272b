"""Tests of the client of the platform's store against an emulated store."""

from collections.abc import Awaitable, Callable
import struct
from typing import TypeVar

import hypothesis
from hypothesis import strategies as st
import pytest
import trio

from quetzalmill import errors
from quetzalmill import http_client
from quetzalmill import http_message
from quetzalmill import http_server
from quetzalmill import keyed_store
from quetzalmill_emulator import platform_store
from quetzalmill_platform import store as store_module

_TIMEOUT_MS = 400.0
"""The time that a store may take to start its response, and between chunks."""

_MANY_RECORDS = 1_200
"""Enough records for three pages."""

_Result = TypeVar("_Result")

_RECORDS = [
    keyed_store.KeyedRecord(f"turn-{number}", bytes([number]) * 200_000)
    for number in range(12)
]


class TestChanges:
    """Reading changes from an offset on."""

    def test_changes_beyond_one_response_are_all_read(self) -> None:
        """After a partial read, an existing turn would seem not to exist."""
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
        # A record without its own offset would be ordered by the wrong one.
        assert [each.offset for each in found.records] == [
            *range(len(_RECORDS))
        ]


class TestCutReads:
    """Reads whose body ends early, without a length that tells it."""

    def test_record_that_is_cut_is_not_taken_for_a_short_one(self) -> None:
        """Its value would be an entry or a turn with its end missing."""
        records = [
            keyed_store.KeyedRecord(key, b"v" * 9) for key in ("one", "two")
        ]
        body = bytes(16) + store_module._encode(records)
        ends = [16, 16 + (len(body) - 16) // 2, len(body)]
        for size in range(16, len(body) + 1):
            if size in ends:
                found = store_module._decode(body[:size])
                assert found == records[: ends.index(size)]
            else:
                with pytest.raises(errors.NotExecutedError):
                    store_module._decode(body[:size])

    def test_turns_behind_a_cut_do_not_seem_to_be_missing(self) -> None:
        """A body cut between two records looks whole, but names the end."""
        records = [keyed_store.KeyedRecord(key, b"v") for key in ("one", "two")]
        first_bytes = 16 + len(store_module._encode(records[:1]))
        for sent_bytes in range(first_bytes):
            with pytest.RaisesGroup(errors.NotExecutedError):
                trio.run(_changes_cut, records, sent_bytes)
        # Bodies that hold one record each are enough.
        found = trio.run(_changes_cut, records, first_bytes)
        assert found.records == records


class TestOddRecords:
    """Records of another writer, whose keys no endpoint has."""

    @pytest.mark.parametrize("content", [b"", b"\xff", b"\x06app-1"])
    def test_record_that_ends_within_its_key_does_not_delete_that_part(
        self, content: bytes
    ) -> None:
        """An endpoint whose id is that part of the key would be removed."""
        sound = keyed_store.KeyedRecord("app-2", b"v")
        body = bytes(16) + struct.pack(">I", len(content)) + content
        body += store_module._encode([sound])
        assert store_module._decode(body) == [
            keyed_store.KeyedRecord("", None),
            sound,
        ]

    @hypothesis.given(st.lists(st.binary(max_size=300)))
    def test_every_record_counts_for_the_next_offset(
        self, contents: list[bytes]
    ) -> None:
        body = bytes(16) + b"".join(
            struct.pack(">I", len(content)) + content for content in contents
        )
        assert len(store_module._decode(body)) == len(contents)


async def _changes_cut(
    records: list[keyed_store.KeyedRecord], sent_bytes: int
) -> keyed_store.Records:
    """Reads from a store that closes after some bytes of each body."""

    async def serve(stream: trio.SocketStream) -> None:
        async with stream:
            request = await stream.receive_some()
            start = int(request.partition(b"from=")[2].partition(b"&")[0])
            body = (len(records)).to_bytes(8, "big") + bytes(8)
            body += store_module._encode(records[start:])
            await stream.send_all(
                b"HTTP/1.1 200 OK\r\n\r\n" + body[:sent_bytes]
            )

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        store = store_module.PlatformStore(http_client.HttpClient(), address)
        try:
            return await store.changes(
                "turns", 0, 0, wait_ms=0.0, timeout_ms=_TIMEOUT_MS
            )
        finally:
            nursery.cancel_scope.cancel()


class TestPages:
    """Reads of many pages, some of which fail."""

    @pytest.mark.parametrize("status", [503, 429])
    def test_failed_page_does_not_lose_those_before_it(
        self, status: int
    ) -> None:
        """Otherwise a read of many pages starts over and rarely completes."""
        faulty = _FailingStore("/log-newest", calls={2, 4}, status=status)
        faulty.put_many(_MANY_RECORDS)

        async def read(store: store_module.PlatformStore) -> int:
            found = await store.newest("turns", 0, timeout_ms=5_000.0)
            return len({record.key for record in found.records})

        assert _with_store(faulty, read) == _MANY_RECORDS
        assert faulty.calls == 5

    def test_failed_read_does_not_lose_those_before_it(self) -> None:
        faulty = _FailingStore("/log-read", calls={2, 3}, status=503)

        async def read(store: store_module.PlatformStore) -> int:
            for record in _RECORDS:
                await store.append("turns", 0, [record], timeout_ms=5_000.0)
            found = await store.changes(
                "turns", 0, 0, wait_ms=0.0, timeout_ms=5_000.0
            )
            return found.next_offset

        assert _with_store(faulty, read) == len(_RECORDS)

    def test_failure_of_the_first_page_is_raised_without_a_retry(self) -> None:
        """Nothing is lost yet, and other processes may reach the store."""
        faulty = _FailingStore("/log-newest", calls={1}, status=503)

        async def read(store: store_module.PlatformStore) -> None:
            with pytest.raises(errors.NotExecutedError):
                await store.newest("turns", 0, timeout_ms=5_000.0)

        _with_store(faulty, read)
        assert faulty.calls == 1

    def test_read_fails_when_the_store_stays_unavailable(self) -> None:
        later = set(range(2, 100))
        faulty = _FailingStore("/log-newest", calls=later, status=503)
        faulty.put_many(_MANY_RECORDS)

        async def read(store: store_module.PlatformStore) -> None:
            with pytest.raises(errors.NotExecutedError):
                await store.newest("turns", 0, timeout_ms=5_000.0)

        _with_store(faulty, read)
        assert faulty.calls == 1 + store_module.MAX_PAGE_ATTEMPTS


class TestSlowPages:
    """Pages whose body takes longer than the timeout of the response head."""

    def test_page_on_a_slow_link_is_read_to_its_end(self) -> None:
        """Otherwise a gateway on such a link never reads a large partition."""
        slow = _SlowStore(byte_count=len(_SlowStore.PAGE))

        async def read(store: store_module.PlatformStore) -> int:
            found = await store.newest("turns", 0, timeout_ms=_TIMEOUT_MS)
            return len(found.records)

        assert _with_store(slow, read) == 1

    def test_page_that_stalls_times_out(self) -> None:
        slow = _SlowStore(byte_count=5)

        async def read(store: store_module.PlatformStore) -> None:
            with pytest.raises(errors.NotExecutedError):
                await store.newest("turns", 0, timeout_ms=_TIMEOUT_MS)

        _with_store(slow, read)

    def test_page_without_end_times_out(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(store_module, "BODY_TIMEOUT_MS", 2.0 * _TIMEOUT_MS)
        slow = _SlowStore(byte_count=10_000)

        async def read(store: store_module.PlatformStore) -> None:
            with pytest.raises(errors.NotExecutedError):
                await store.newest("turns", 0, timeout_ms=_TIMEOUT_MS)

        _with_store(slow, read)


class _SlowStore:
    """A store that sends its only page byte by byte.

    Args:
        byte_count: How many bytes it sends before it stalls; after the bytes of
            the page, it sends blanks.
    """

    PAGE = (
        b'{"items":[{"key":"turn-1","value":"AQ==","offset":0}],'
        b'"hasMore":false,"end":1}'
    )

    def __init__(self, byte_count: int) -> None:
        self._byte_count = byte_count

    async def handle(
        self, request: http_message.Request, exchange: http_server.Exchange
    ) -> None:
        """Responds to one request."""
        del request
        await exchange.start_stream(200, {"Content-Type": "application/json"})
        for number in range(self._byte_count):
            if exchange.disconnected:
                return
            await exchange.send(self.PAGE[number : number + 1] or b" ")
            await trio.sleep(_TIMEOUT_MS / 1000.0 / 20.0)
        if self._byte_count == len(self.PAGE):
            await exchange.finish()
        else:
            await exchange.wait_disconnected()


class _FailingStore:
    """A store that fails some requests for a path.

    Args:
        path: The path.
        calls: The numbers of the requests that fail, counted from 1.
        status: The response status of these requests.
    """

    def __init__(self, path: str, calls: set[int], status: int) -> None:
        self._emulated = platform_store.PlatformStore()
        self._path = path
        self._failing = calls
        self._status = status
        self.calls = 0

    def put_many(self, count: int) -> None:
        """Writes turns directly into the store."""
        for number in range(count):
            self._emulated.put("keyed.turns", f"turn-{number}", number)

    async def handle(
        self, request: http_message.Request, exchange: http_server.Exchange
    ) -> None:
        """Responds to one request, or fails it."""
        self.calls += request.path == self._path
        if request.path != self._path or self.calls not in self._failing:
            await self._emulated.handle(request, exchange)
        else:
            await exchange.respond(self._status)


def _with_store(
    faulty: "_FailingStore | _SlowStore",
    use: Callable[[store_module.PlatformStore], Awaitable[_Result]],
) -> _Result:
    async def run() -> _Result:
        async with trio.open_nursery() as nursery:
            port = await nursery.start(_serve, faulty)
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
    emulated: "platform_store.PlatformStore | _FailingStore | _SlowStore",
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    await http_server.serve(
        "127.0.0.1:0",
        emulated.handle,
        limits=http_message.Limits(),
        stopping=trio.Event(),
        task_status=task_status,
    )
