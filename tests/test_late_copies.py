"""Readers of answers whose peer repeats one where the next one is due.

A late copy follows an earlier request on a connection that is kept. It arrives
with the next request, so the check before a connection is used again does not
find it. Each test asks for what a reader takes a copy for.
"""

from collections.abc import Awaitable, Callable
import contextlib
import json
import struct
from typing import Any, TypeVar

import attrs
import pytest
import trio

from quetzalmill import codec
from quetzalmill import conversations
from quetzalmill import errors
from quetzalmill import exchange_ids
from quetzalmill import gateway_messages
from quetzalmill import http_client
from quetzalmill import http_message
from quetzalmill import keyed_store
from quetzalmill import log_port
from quetzalmill import peer_http
from quetzalmill_platform import store as store_module
from tests import late_copies

_TIMEOUT_MS = 2_000.0
_DONE = late_copies.reply(200, b'{"offset": 4, "end": 5}')
_BUSY = late_copies.reply(503, b"{}")
_FENCED = late_copies.reply(409, b'{"why": "fenced", "epoch": 9}')
_RECORD = keyed_store.KeyedRecord("program", b"10")
_FENCE = keyed_store.Fence("budgets", 3)

_Result = TypeVar("_Result")


def _unnamed(answer: late_copies.Answer) -> late_copies.Answer:
    return answer


def _ask(
    answers: list[late_copies.Answer],
    use: Callable[[str], Awaitable[_Result]],
) -> _Result:
    """Runs ``use`` with the address of a server that sends late copies."""

    async def run() -> _Result:
        async with late_copies.LateCopies(answers).serving() as address:
            with trio.fail_after(10):
                return await use(address)

    return trio.run(run)


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

        _ask([_DONE, _BUSY], use)

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

        _ask([_DONE, _FENCED], use)

    def test_copy_does_not_make_an_owner(self) -> None:
        """Two gateways would grant from the same partition."""

        async def use(address: str) -> None:
            store = _store(address)
            await store.append("turns", 0, [_RECORD], timeout_ms=_TIMEOUT_MS)
            with pytest.raises(keyed_store.FencedError):
                await store.claim("budgets", 0, _FENCE, timeout_ms=_TIMEOUT_MS)

        _ask([_DONE, _FENCED], use)

    def test_copy_of_a_refusal_does_not_end_a_term(self) -> None:
        """The owner would give its partition up, and claim it again."""

        async def use(address: str) -> None:
            store = _store(address)
            with pytest.raises(keyed_store.FencedError):
                await store.claim("budgets", 1, _FENCE, timeout_ms=_TIMEOUT_MS)
            await store.append_fenced(
                "budgets", 0, [_RECORD], _FENCE, 1, timeout_ms=_TIMEOUT_MS
            )

        _ask([_FENCED, _DONE], use)

    def test_copy_of_a_refusal_is_not_taken_for_not_appended(self) -> None:
        """A turn would be written twice."""

        async def use(address: str) -> None:
            store = _store(address)
            with pytest.raises(errors.NotExecutedError):
                await store.append(
                    "turns", 0, [_RECORD], timeout_ms=_TIMEOUT_MS
                )
            await store.append("turns", 0, [_RECORD], timeout_ms=_TIMEOUT_MS)

        _ask([_BUSY, _DONE], use)

    def test_snapshot_holds_the_partition_that_was_asked_for(self) -> None:
        """Turns or bounds of the partition would seem not to exist."""

        async def use(address: str) -> list[keyed_store.Records]:
            store = _store(address)
            return [
                await store.newest("turns", part, timeout_ms=_TIMEOUT_MS)
                for part in (0, 1)
            ]

        found = _ask([_page("a", 7), _page("b", 3)], use)
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

        found = _ask([_changes(4), _changes(5, _RECORD)], use)
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

        _ask([late_copies.reply(200, b'{"first_offset": 4}'), _BUSY], use)

    def test_copy_of_a_refusal_is_not_taken_for_not_appended(self) -> None:
        """An operator would be told that a record in force is not."""

        async def use(address: str) -> int:
            port = _port(address)
            with pytest.raises(errors.NotExecutedError):
                await port.append("config", [1])
            return await port.append("config", [1])

        appended = late_copies.reply(200, b'{"first_offset": 4}')
        assert _ask([_BUSY, appended], use) == 4

    def test_page_holds_the_stream_that_was_asked_for(self) -> None:
        """A new home would miss the calls that the old one has started."""

        async def use(address: str) -> list[log_port.Page]:
            port = _port(address)
            return [
                await port.read(stream, 1, limit=9, wait_ms=0.0)
                for stream in ("a", "b")
            ]

        pages = _ask([_log_page("a", 2), _log_page("b", 2)], use)
        assert [page.records[0].data for page in pages] == ["a", "b"]


class TestPeers:
    """Control calls between gateways; an answer repeats its call's id."""

    @pytest.mark.parametrize("name", [late_copies.named, _unnamed])
    def test_answer_to_a_call_is_believed(
        self, name: Callable[[late_copies.Answer], late_copies.Answer]
    ) -> None:
        """Also that of a gateway of an earlier version, without an id."""
        found = _ask([name(_accounts(5))], _hand_over)
        assert found.epoch == 5

    def test_copy_does_not_hand_over_another_partition(self) -> None:
        """Its accounts would replace those of the partition, as exact ones."""

        async def use(address: str) -> list[int]:
            client = peer_http.PeerClient()
            epochs = []
            for part in range(3):
                with contextlib.suppress(errors.ControlCallError):
                    reply = await _hand_over(address, client, part)
                    epochs.append(reply.epoch)
            return epochs

        answers = [late_copies.named(_accounts(epoch)) for epoch in (5, 6, 7)]
        # The second call fails; the third has a new connection.
        assert _ask(answers, use) == [5, 7]

    def test_copy_does_not_make_a_turn_durable(self) -> None:
        """The caller would be told its end, and no gateway has stored it."""

        async def use(address: str) -> None:
            client = peer_http.PeerClient()
            assert (await _store_turn(address, client)).durable
            with pytest.raises(errors.ControlCallError):
                await _store_turn(address, client)

        answers = [
            late_copies.named(
                _answer(gateway_messages.StoreReply(durable=each))
            )
            for each in (True, False)
        ]
        _ask(answers, use)

    def test_copy_does_not_answer_for_another_turn(self) -> None:
        """The caller would get a 404 for a turn that exists."""

        async def use(address: str) -> None:
            client = peer_http.PeerClient()
            assert (await _fetch_chain(address, client, "none")).certain
            with pytest.raises(errors.ControlCallError):
                await _fetch_chain(address, client, "turn")

        answers = [
            late_copies.named(
                _answer(
                    gateway_messages.ChainReply(
                        turns=[], missing_id=missing_id, certain=True
                    )
                )
            )
            for missing_id in ("none", "")
        ]
        _ask(answers, use)

    def test_gateway_repeats_the_id_of_a_call(self) -> None:
        """Each answer to a call names it, also one that refuses it."""

        async def run() -> list[str | None]:
            server = peer_http.PeerServer({})
            client = http_client.HttpClient()
            request = http_message.Request(
                method="POST",
                path="/Unknown",
                headers={exchange_ids.HEADER: "a1"},
            )
            async with trio.open_nursery() as nursery:
                port = await nursery.start(server.serve, "127.0.0.1:0")
                found = [
                    await client.request(
                        f"127.0.0.1:{port}", each, timeout_ms=_TIMEOUT_MS
                    )
                    for each in (request, attrs.evolve(request, headers={}))
                ]
                nursery.cancel_scope.cancel()
            return [each.headers.get(exchange_ids.HEADER) for each in found]

        assert trio.run(run) == ["a1", None]


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


def _answer(message: Any) -> late_copies.Answer:
    return late_copies.reply(200, codec.to_msgpack(message))


def _accounts(epoch: int) -> late_copies.Answer:
    return _answer(gateway_messages.HandOverReply(epoch=epoch, accounts={}))


async def _hand_over(
    address: str, client: peer_http.PeerClient | None = None, part: int = 0
) -> gateway_messages.HandOverReply:
    reply: gateway_messages.HandOverReply = await (
        client or peer_http.PeerClient()
    ).call(
        address,
        gateway_messages.HAND_OVER,
        gateway_messages.HandOver(part=part),
        timeout_ms=_TIMEOUT_MS,
    )
    return reply


async def _store_turn(
    address: str, client: peer_http.PeerClient
) -> gateway_messages.StoreReply:
    turn = conversations.Turn(
        turn_id="turn",
        team="team",
        program_id="program",
        previous_id="",
        input=b"",
        outputs=(),
        ended_unix_ms=0,
    )
    reply: gateway_messages.StoreReply = await client.call(
        address,
        gateway_messages.STORE_TURN,
        gateway_messages.StoreTurn(turn=turn),
        timeout_ms=_TIMEOUT_MS,
    )
    return reply


async def _fetch_chain(
    address: str, client: peer_http.PeerClient, turn_id: str
) -> gateway_messages.ChainReply:
    reply: gateway_messages.ChainReply = await client.call(
        address,
        gateway_messages.FETCH_CHAIN,
        gateway_messages.FetchChain(turn_id=turn_id, part=0, load=True),
        timeout_ms=_TIMEOUT_MS,
    )
    return reply
