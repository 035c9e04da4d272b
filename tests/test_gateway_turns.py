"""Tests of preparing turns at one gateway."""

from typing import Any
import unittest.mock

import attrs
import trio
import trio.testing

from quetzalmill import chain_source
from quetzalmill import clock as clock_module
from quetzalmill import gateway_calls
from quetzalmill import gateway_messages
from quetzalmill import gateway_outcomes
from quetzalmill import gateway_turns
from quetzalmill import http_message
from tests import lone_gateway
from tests import memory_store

_PATIENCE_MS = 4_000.0

_CALL = gateway_calls.Call(
    request_id="t1",
    host="desk.example",
    key="k",
    deadline_ms=4_000.0,
    program_id="p",
    program_left_ms=5_000.0,
    budget_tokens=60,
    previous_turn_id="before",
    prompt_parts=(),
    prompt_tokens=10,
    most_tokens=50,
    http=http_message.Request(method="POST", path="/chat/1", body=b"hello"),
)


def _given_up(turn_id: str) -> gateway_messages.SettleTurn:
    return gateway_messages.SettleTurn(
        program_id="weddings/p", turn_id=turn_id, used_tokens=0, holder=""
    )


class _SlowSource:
    """Never finds a chain."""

    def find_here(self, turn_id: str) -> None:
        """Finds nothing."""

    async def find(self, *_: object) -> chain_source.Found:
        """Searches for ever."""
        await trio.sleep_forever()
        raise AssertionError


def _turns(nursery: trio.Nursery, source: Any) -> gateway_turns.Turns:
    """Returns what prepares turns at a gateway without peers."""
    state = lone_gateway.state(clock_module.SystemClock())
    owner = lone_gateway.owner(state, memory_store.MemoryStore(), nursery)
    return gateway_turns.Turns(
        state,
        source,
        unittest.mock.Mock(),
        [owner],
        unittest.mock.Mock(),
        nursery,
    )


async def _prepare(
    turns: gateway_turns.Turns,
    call: gateway_calls.Call,
    *,
    is_stored: bool = True,
) -> gateway_turns.Prepared | gateway_outcomes.Refused:
    return await turns.prepare(
        call, "weddings", is_stored=is_stored, patience_ms=_PATIENCE_MS
    )


class TestTimeRunsOut:
    """A turn whose conversation is not found while it could still run."""

    def test_turn_is_not_held_past_its_deadline(self) -> None:
        """It is refused as not run, and its reservation is given back."""

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                turns = _turns(nursery, _SlowSource())
                with trio.fail_after(2.0 * _PATIENCE_MS / 1000.0):
                    refused = await _prepare(turns, _CALL)
                assert isinstance(refused, gateway_outcomes.Refused)
                assert refused.status == 503
                assert refused.retry_after_ms
                again = attrs.evolve(
                    _CALL, request_id="t2", previous_turn_id=""
                )
                prepared = await _prepare(turns, again)
                assert isinstance(prepared, gateway_turns.Prepared)
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


class TestCallerLeaves:
    """A caller that gives a turn up before it runs."""

    def test_reservation_is_given_back(self) -> None:
        """Else the program's next turns would find its budget spent."""

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                turns = _turns(nursery, _SlowSource())
                with trio.move_on_after(2.0) as scope:
                    await _prepare(turns, _CALL)
                assert scope.cancelled_caught
                again = attrs.evolve(
                    _CALL, request_id="t2", previous_turn_id=""
                )
                prepared = await _prepare(turns, again)
                assert isinstance(prepared, gateway_turns.Prepared)
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_reservation_that_comes_after_it_was_given_up(self) -> None:
        """The owner is still claiming its partition when the caller leaves."""

        async def run() -> None:
            state = lone_gateway.state(clock_module.SystemClock())
            store = memory_store.MemoryStore()
            async with trio.open_nursery() as nursery:
                owner = lone_gateway.owner(state, store, nursery)
                owner.settle(_given_up("t1"))
                for turn_id, granted in (("t1", False), ("t2", True)):
                    reply = owner.reserve(
                        gateway_messages.ReserveTurn(
                            program_id="weddings/p",
                            turn_id=turn_id,
                            budget_tokens=60,
                            most_tokens=50,
                        )
                    )
                    if not isinstance(reply, gateway_messages.ReserveReply):
                        reply = await reply
                    assert reply.granted == granted
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


class TestTurnsThatAreNotStored:
    """Turns whose caller sends the whole conversation."""

    def test_owner_says_where_the_program_ran_last(self) -> None:
        """Else a program that changes gateways is read anew each time."""

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                turns = _turns(nursery, unittest.mock.Mock())
                seen = []
                for turn_id in ("t1", "t2"):
                    call = attrs.evolve(
                        _CALL,
                        request_id=turn_id,
                        previous_turn_id="",
                        budget_tokens=600,
                    )
                    prepared = await _prepare(turns, call, is_stored=False)
                    assert isinstance(prepared, gateway_turns.Prepared)
                    seen.append((prepared.is_start, prepared.cached_at))
                    turns.settle(call, "weddings", 9, ran_on="llm-1")
                assert seen == [(True, ""), (False, "llm-1")]
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
