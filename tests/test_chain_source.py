"""Tests of where a gateway looks for the chain of a turn."""

from typing import Any

import attrs
import trio

from quetzalmill import chain_source
from quetzalmill import conversations
from quetzalmill import errors
from quetzalmill import gateway_messages

_OWN = "10.0.0.1:1"
_OWNER = "10.0.0.2:1"
_HOLDER = "10.0.0.3:1"
_PEERS = 80


def _turn(turn_id: str, previous_id: str = "") -> conversations.Turn:
    return conversations.Turn(
        turn_id=turn_id,
        team="weddings",
        program_id="p",
        previous_id=previous_id,
        input=b"x" * 1_000,
        outputs=(b"y",),
        ended_unix_ms=1,
    )


@attrs.frozen
class _Peer:
    address: str


@attrs.define(eq=False)
class _Calls:
    """Answers calls as peers would, and counts them."""

    replies: dict[str, gateway_messages.ChainReply | None] = attrs.field(
        factory=dict
    )
    asked: list[str] = attrs.field(factory=list)

    async def call(
        self, address: str, method: Any, message: Any, *, timeout_ms: float
    ) -> gateway_messages.ChainReply:
        """Answers one call; an address without a reply is silent."""
        await trio.lowlevel.checkpoint()
        self.asked.append(address)
        reply = self.replies.get(address)
        if reply is None:
            raise errors.ControlCallError("no reply")
        return reply


class _Partition:
    """The store's turns of one partition."""

    def __init__(self, *, is_unavailable: bool) -> None:
        self._is_unavailable = is_unavailable

    async def chain(self, turn_id: str) -> tuple[list[Any], str]:
        """Finds nothing."""
        await trio.lowlevel.checkpoint()
        if self._is_unavailable:
            raise errors.NotExecutedError("the store is unavailable")
        return [], turn_id


def _reply(*turns: conversations.Turn, **changes: Any) -> Any:
    return gateway_messages.ChainReply(
        turns=list(turns),
        missing_id=changes.pop("missing_id", ""),
        certain=changes.pop("certain", False),
        **changes,
    )


class _Fixture:
    """One gateway among many."""

    def __init__(self, *, store_is_unavailable: bool = False) -> None:
        self.cache = conversations.TurnCache(1_000_000)
        self.calls = _Calls()
        self.datagram_calls = _Calls()
        peers = [_Peer(f"10.1.0.{number}:1") for number in range(_PEERS)]
        self.source = chain_source.ChainSource(
            self.cache,
            [_Partition(is_unavailable=store_is_unavailable)],  # type: ignore[list-item]
            lambda: peers,  # type: ignore[arg-type,return-value]
            lambda _: _OWNER,
            _OWN,
            self.calls,  # type: ignore[arg-type]
            self.datagram_calls,  # type: ignore[arg-type]
        )

    def find(self, turn_id: str, holder: str = "") -> Any:
        """Finds a chain."""
        return trio.run(self.source.find, turn_id, 0, holder)


class TestManyGateways:
    """The number of calls per lookup in a large cluster."""

    def test_forged_turn_costs_one_call(self) -> None:
        """Callers may send ids of turns that do not exist one by one."""
        fixture = _Fixture()
        fixture.calls.replies[_OWNER] = _reply(missing_id="t9", certain=True)
        assert isinstance(fixture.find("t9"), chain_source.NotFound)
        assert fixture.calls.asked == [_OWNER]
        assert not fixture.datagram_calls.asked

    def test_unreadable_store_costs_few_calls(self) -> None:
        fixture = _Fixture(store_is_unavailable=True)
        assert isinstance(fixture.find("t9"), chain_source.Undetermined)
        max_calls = chain_source.MAX_PEERS_ASKED + 1
        assert len(fixture.calls.asked) <= max_calls

    def test_holder_is_asked_by_a_datagram_call(self) -> None:
        fixture = _Fixture()
        fixture.datagram_calls.replies[_HOLDER] = _reply(_turn("t1"))
        assert fixture.find("t1", _HOLDER) == chain_source.Found([_turn("t1")])
        assert not fixture.calls.asked

    def test_large_chain_comes_by_a_control_call(self) -> None:
        fixture = _Fixture()
        fixture.datagram_calls.replies[_HOLDER] = _reply(
            missing_id="t1", is_too_large=True
        )
        fixture.calls.replies[_HOLDER] = _reply(_turn("t1"))
        assert fixture.find("t1", _HOLDER) == chain_source.Found([_turn("t1")])
        assert fixture.calls.asked == [_HOLDER]


class TestDatagramReplies:
    """Replies that have to fit into one datagram."""

    def test_chain_that_does_not_fit(self) -> None:
        fixture = _Fixture()
        previous = ""
        for number in range(12):
            fixture.cache.add(_turn(f"t{number}", previous))
            previous = f"t{number}"
            message = gateway_messages.FetchChain(
                turn_id=previous, part=0, load=False
            )
            reply = fixture.source.answer_datagram(message)
            size_bytes = sum(turn.size_bytes() for turn in reply.turns)
            assert size_bytes <= chain_source.MAX_DATAGRAM_CHAIN_BYTES
            assert reply.is_too_large == (not reply.turns)
        assert reply.is_too_large
