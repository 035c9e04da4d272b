"""Clients of the store and the log whose peer repeats an answer.

A late copy follows an earlier request on a connection that is kept. It arrives
with the next request, so the check before a connection is used again does not
find it. Each test asks for what a reader takes a copy for.
"""

import json
import struct

import pytest
import trio

from quetzalmill import codec
from quetzalmill import errors
from quetzalmill import host_list
from quetzalmill import http_client
from quetzalmill import keyed_store
from quetzalmill import log_port
from quetzalmill import objects
from quetzalmill import operator_client
from quetzalmill import settings_rules
from quetzalmill_platform import store as store_module
from tests import late_copies

_TIMEOUT_MS = 2_000.0
_DONE = late_copies.reply(200, b'{"offset": 4, "end": 5}')
_BUSY = late_copies.reply(503, b"{}")
_FENCED = late_copies.reply(409, b'{"why": "fenced", "epoch": 9}')
_RECORD = keyed_store.KeyedRecord("program", b"10")
_CHANGE = objects.ConfigRecord(record_id="1", author="", changes=[])
_FENCE = keyed_store.Fence("budgets", 3)


class TestStore:
    """The platform's store, of whose answers none names a request."""

    def test_copy_does_not_make_a_turn_durable(self) -> None:
        """The caller would be told its end, and the turn would be lost."""

        async def use(address: str) -> None:
            store = _store(address)
            await store.append("turns", 0, [_RECORD], timeout_ms=_TIMEOUT_MS)
            with pytest.raises(errors.NotExecutedError):
                await store.append(
                    "turns", 0, [_RECORD], timeout_ms=_TIMEOUT_MS
                )

        late_copies.ask([_DONE, _BUSY], use)

    def test_copy_does_not_make_a_bound_durable(self) -> None:
        """Tokens beyond the stored bound are granted again after a loss."""

        async def use(address: str) -> None:
            store = _store(address)
            for sequence, expected in (
                (1, None),
                (2, keyed_store.FencedError),
            ):
                append = store.append_fenced(
                    "budgets",
                    0,
                    [_RECORD],
                    _FENCE,
                    sequence,
                    timeout_ms=_TIMEOUT_MS,
                )
                if expected is None:
                    await append
                else:
                    with pytest.raises(expected):
                        await append

        late_copies.ask([_DONE, _FENCED], use)

    def test_copy_does_not_make_an_owner(self) -> None:
        """Two gateways would grant from the same partition."""

        async def use(address: str) -> None:
            store = _store(address)
            await store.append("turns", 0, [_RECORD], timeout_ms=_TIMEOUT_MS)
            with pytest.raises(keyed_store.FencedError):
                await store.claim("budgets", 0, _FENCE, timeout_ms=_TIMEOUT_MS)

        late_copies.ask([_DONE, _FENCED], use)

    def test_copy_of_a_refusal_does_not_end_a_term(self) -> None:
        """The owner would give its partition up, and claim it again."""

        async def use(address: str) -> None:
            store = _store(address)
            with pytest.raises(keyed_store.FencedError):
                await store.claim("budgets", 1, _FENCE, timeout_ms=_TIMEOUT_MS)
            await store.append_fenced(
                "budgets", 0, [_RECORD], _FENCE, 1, timeout_ms=_TIMEOUT_MS
            )

        late_copies.ask([_FENCED, _DONE], use)

    def test_copy_of_a_refusal_is_not_taken_for_not_appended(self) -> None:
        """A turn would be written twice."""

        async def use(address: str) -> None:
            store = _store(address)
            with pytest.raises(errors.NotExecutedError):
                await store.append(
                    "turns", 0, [_RECORD], timeout_ms=_TIMEOUT_MS
                )
            await store.append("turns", 0, [_RECORD], timeout_ms=_TIMEOUT_MS)

        late_copies.ask([_BUSY, _DONE], use)

    def test_snapshot_holds_the_partition_that_was_asked_for(self) -> None:
        """Turns or bounds of the partition would seem not to exist."""

        async def use(address: str) -> list[keyed_store.Records]:
            store = _store(address)
            return [
                await store.newest("turns", part, timeout_ms=_TIMEOUT_MS)
                for part in (0, 1)
            ]

        found = late_copies.ask([_page("a", 7), _page("b", 3)], use)
        assert [each.records[0].key for each in found] == ["a", "b"]
        assert [each.next_offset for each in found] == [7, 3]

    def test_changes_are_as_new_as_the_request(self) -> None:
        """A turn written between two reads would seem not to exist."""

        async def use(address: str) -> list[keyed_store.Records]:
            store = _store(address)
            return [
                await store.changes(
                    "turns", 0, 4, wait_ms=0.0, timeout_ms=_TIMEOUT_MS
                )
                for _ in range(2)
            ]

        found = late_copies.ask([_changes(4), _changes(5, _RECORD)], use)
        assert [each.records for each in found] == [[], [_RECORD]]


class TestLog:
    """The log service, of whose answers none names a request."""

    def test_copy_does_not_make_a_record_durable(self) -> None:
        """A call whose record is not in the log may run again elsewhere."""

        async def use(address: str) -> None:
            port = _port(address)
            await port.append("calls", [1])
            with pytest.raises(errors.NotExecutedError):
                await port.append("calls", [2])

        late_copies.ask(
            [late_copies.reply(200, b'{"first_offset": 4}'), _BUSY], use
        )

    def test_copy_of_a_refusal_is_not_taken_for_not_appended(self) -> None:
        """An operator would be told that a record in force is not."""

        async def use(address: str) -> int:
            port = _port(address)
            with pytest.raises(errors.NotExecutedError):
                await port.append("config", [1])
            return await port.append("config", [1])

        appended = late_copies.reply(200, b'{"first_offset": 4}')
        assert late_copies.ask([_BUSY, appended], use) == 4

    def test_page_holds_the_stream_that_was_asked_for(self) -> None:
        """A new home would miss the calls that the old one has started."""

        async def use(address: str) -> list[log_port.Page]:
            port = _port(address)
            return [
                await port.read(stream, 1, limit=9, wait_ms=0.0)
                for stream in ("a", "b")
            ]

        pages = late_copies.ask([_log_page("a", 2), _log_page("b", 2)], use)
        assert [page.records[0].data for page in pages] == ["a", "b"]


class TestOperator:
    """The operator's client has a connection for each request."""

    def test_each_outcome_is_that_of_the_record_sent(self) -> None:
        """A copy would call a record refused that is in force, or back."""

        async def use(address: str) -> list[operator_client.Outcome]:
            host, _, port = address.partition(":")
            client = operator_client.OperatorClient(
                [settings_rules.Address(host, int(port))]
            )
            return [
                await trio.to_thread.run_sync(
                    client.publish, _CHANGE, _TIMEOUT_MS
                )
                for _ in range(3)
            ]

        outcomes: list[operator_client.Outcome] = [
            operator_client.Unavailable("busy"),
            operator_client.Accepted(4),
            operator_client.Conflict(4, "team/field"),
        ]
        answers = [
            late_copies.reply(status, codec.to_json(outcome))
            for status, outcome in zip((503, 200, 409), outcomes, strict=True)
        ]
        assert late_copies.ask(answers, use)[1:] == outcomes[1:]


class TestHostList:
    """All answers of the list answer the same question."""

    def test_copy_is_one_read_old_at_most(self) -> None:
        """The list lags behind anyway; the read after it is current."""

        async def use(address: str) -> list[str]:
            hosts = host_list.HttpHostList(
                http_client.HttpClient(), address, timeout_ms=_TIMEOUT_MS
            )
            return [(await hosts.read())[0].host for _ in range(3)]

        answers = [
            late_copies.reply(
                200, b'{"hosts": [{"host": "%d", "state": "live"}]}' % number
            )
            for number in range(3)
        ]
        found = late_copies.ask(answers, use)
        assert found[0] == "0"
        assert found[1] in ("0", "1")
        assert found[2] == "2"


def _store(address: str) -> store_module.PlatformStore:
    return store_module.PlatformStore(http_client.HttpClient(), address)


def _port(address: str) -> log_port.HttpLogPort:
    return log_port.HttpLogPort(
        http_client.HttpClient(), address, timeout_ms=_TIMEOUT_MS
    )


def _page(key: str, end: int) -> late_copies.Answer:
    items = [{"key": key, "value": "", "offset": end - 1}]
    page = {"items": items, "hasMore": False, "end": end}
    return late_copies.reply(200, json.dumps(page).encode())


def _changes(end: int, *records: keyed_store.KeyedRecord) -> late_copies.Answer:
    body = struct.pack(">QQ", end, 0) + store_module._encode(list(records))
    return late_copies.reply(200, body)


def _log_page(data: str, end: int) -> late_copies.Answer:
    page = {"records": [{"offset": end - 1, "data": data}], "end": end}
    return late_copies.reply(200, json.dumps(page).encode())
