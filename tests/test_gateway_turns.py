"""Tests of preparing and settling turns at one gateway."""

from typing import Any
import unittest.mock

import attrs
import trio
import trio.testing

from quetzalmill import chain_source
from quetzalmill import clock as clock_module
from quetzalmill import event_relay
from quetzalmill import gateway_calls
from quetzalmill import gateway_messages
from quetzalmill import gateway_outcomes
from quetzalmill import gateway_turns
from quetzalmill import http_message
from quetzalmill import turn_allowance
from tests import memory_store
from tests import single_gateway

_MAX_WAIT_MS = 4_000.0

_CALL = gateway_calls.Call(
    request_id="t1",
    host="desk.example",
    key="k",
    deadline_ms=4_000.0,
    program_id="p",
    program_remaining_ms=5_000.0,
    budget_tokens=60,
    previous_turn_id="before",
    prompt_parts=(),
    prompt_tokens=10,
    most_tokens=50,
    http=http_message.Request(method="POST", path="/chat/1", body=b"hello"),
)


def _abandoned(turn_id: str) -> gateway_messages.SettleTurn:
    return gateway_messages.SettleTurn(
        program_id="weddings/p", turn_id=turn_id, used_tokens=0, holder=""
    )


class _EndlessSource:
    """A chain source whose search never ends."""

    def find_cached(self, turn_id: str) -> None:
        """Finds nothing."""

    async def find(self, *_: object) -> chain_source.Found:
        """Searches forever."""
        await trio.sleep_forever()
        raise AssertionError


def _turns(
    nursery: trio.Nursery,
    source: Any,
    store: memory_store.MemoryStore | None = None,
) -> gateway_turns.Turns:
    """Returns the turns of a gateway without peers."""
    state = single_gateway.state(clock_module.SystemClock())
    owner = single_gateway.owner(
        state, store or memory_store.MemoryStore(), nursery
    )
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
    by_parts: bool = True,
) -> gateway_turns.Prepared | gateway_outcomes.Refused:
    return await turns.prepare(
        call,
        "weddings",
        is_stored=is_stored,
        max_wait_ms=_MAX_WAIT_MS,
        by_parts=by_parts,
    )


class TestTimeRunsOut:
    """A turn whose conversation is not found before its deadline."""

    def test_turn_is_not_held_past_its_deadline(self) -> None:
        """It is refused as not run, and its reservation is released."""

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                turns = _turns(nursery, _EndlessSource())
                with trio.fail_after(2.0 * _MAX_WAIT_MS / 1000.0):
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
    """A caller that disconnects before its turn runs."""

    def test_reservation_is_released(self) -> None:
        """Otherwise the program's next turns would find its budget spent."""

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                turns = _turns(nursery, _EndlessSource())
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

    def test_reservation_after_its_settlement_is_refused(self) -> None:
        """The caller disconnects while the owner claims its partition."""

        async def run() -> None:
            state = single_gateway.state(clock_module.SystemClock())
            store = memory_store.MemoryStore()
            async with trio.open_nursery() as nursery:
                owner = single_gateway.owner(state, store, nursery)
                owner.settle(_abandoned("t1"))
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


class TestOwnerUnclear:
    """A partition that is claimed by another gateway than its current owner."""

    def test_settlement_reaches_the_claiming_gateway(self) -> None:
        """Otherwise the tokens of a completed turn stay reserved."""

        async def run() -> list[str]:
            async with trio.open_nursery() as nursery:
                state = single_gateway.state(clock_module.SystemClock())
                client = unittest.mock.Mock(call=unittest.mock.AsyncMock())
                owner = single_gateway.owner(
                    state, memory_store.MemoryStore(), nursery
                )
                turns = gateway_turns.Turns(
                    state,
                    unittest.mock.Mock(),
                    unittest.mock.Mock(),
                    [owner],
                    client,
                    nursery,
                )
                with unittest.mock.patch.object(
                    state, "holders", return_value=["10.0.0.2:1"]
                ):
                    turns.settle(_CALL, "weddings", 9)
                await trio.testing.wait_all_tasks_blocked()
                nursery.cancel_scope.cancel()
            return [each.args[0] for each in client.call.await_args_list]

        assert trio.run(run) == ["10.0.0.2:1"]


class TestTurnsThatAreNotStored:
    """Turns whose caller sends the complete conversation."""

    def test_owner_reports_where_the_program_ran_last(self) -> None:
        """Otherwise a program that changes gateways misses the prefix cache."""

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


def _event(number: int) -> bytes:
    return f"id: {number}\ndata: e{number}\n\n".encode()


class _FakeOwner:
    """A fake budget owner that releases all tokens.

    Attributes:
        asked: How often it was asked.
    """

    def __init__(self) -> None:
        self.asked = 0

    async def request_release(self) -> None:
        """Releases all tokens."""
        self.asked += 1
        await trio.lowlevel.checkpoint()


class TestAllowance:
    """The events sent before and after the owner released all tokens."""

    def test_owner_is_asked_once_and_not_for_short_turns(self) -> None:
        """A call for each event, or each turn, would cost CPU time."""
        fake_owner = _FakeOwner()
        seen: list[int] = []

        async def run() -> None:
            relay = event_relay.EventRelay()
            allowance = turn_allowance.Allowance(
                most_tokens=50,
                released_tokens=25,
                event_tokens=9,
                request_release=fake_owner.request_release,
            )
            # The last events exceed ``most_tokens``; the turn runs already.
            for number in range(1, 9):
                events = relay.feed(_event(number))
                await allowance.wait_for_release(relay, events)
                seen.append(fake_owner.asked)

        trio.run(run)
        assert seen == [0, 0, 1, 1, 1, 1, 1, 1]

    def test_waiting_events_do_not_count_as_sent(self) -> None:
        """They are neither charged nor skipped when the stream is resumed."""

        async def run() -> None:
            relay = event_relay.EventRelay()
            relay.start(200)
            allowance = turn_allowance.Allowance(
                most_tokens=50,
                released_tokens=25,
                event_tokens=9,
                request_release=trio.sleep_forever,
            )
            await allowance.wait_for_release(relay, relay.feed(_event(1)))
            with trio.move_on_after(1.0) as scope:
                events = relay.feed(_event(2) + _event(3) + _event(4))
                await allowance.wait_for_release(relay, events)
            assert scope.cancelled_caught
            assert relay.outcome(complete=False).outputs == (b"e1",)
            assert relay.last_id == "1"
            assert allowance.released_tokens == 25

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


class TestRunningTurns:
    """Turns that need more tokens than were released at first."""

    def test_turn_waits_until_the_store_recovers(self) -> None:
        async def run() -> None:
            store = memory_store.MemoryStore()
            async with trio.open_nursery() as nursery:
                turns = _turns(nursery, unittest.mock.Mock(), store)
                call = attrs.evolve(_CALL, previous_turn_id="")
                prepared = await _prepare(turns, call, is_stored=False)
                assert isinstance(prepared, gateway_turns.Prepared)
                assert prepared.released_tokens == 25
                allowance = turns.allowance(call, "weddings", prepared, 9)
                store.down = True
                with trio.move_on_after(5.0) as scope:
                    await allowance.request_release()
                assert scope.cancelled_caught
                nursery.start_soon(_restore, store)
                with trio.fail_after(5.0):
                    await allowance.request_release()
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_turn_continues_once_others_free_budget(self) -> None:
        """Its owner failed; the new one reserves what the budget still has."""

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                turns = _turns(nursery, unittest.mock.Mock())
                other = attrs.evolve(_CALL, previous_turn_id="")
                prepared = await _prepare(turns, other, is_stored=False)
                assert isinstance(prepared, gateway_turns.Prepared)
                call = attrs.evolve(other, request_id="of an owner before")
                allowance = turns.allowance(call, "weddings", prepared, 9)
                with trio.move_on_after(5.0) as scope:
                    await allowance.request_release()
                assert scope.cancelled_caught
                turns.settle(other, "weddings", 9)
                with trio.fail_after(1.0):
                    await allowance.request_release()
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_unstreamed_response_is_released_at_once(self) -> None:
        """It cannot pause in the middle."""

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                turns = _turns(nursery, unittest.mock.Mock())
                prepared = await _prepare(
                    turns,
                    attrs.evolve(_CALL, previous_turn_id=""),
                    is_stored=False,
                    by_parts=False,
                )
                assert isinstance(prepared, gateway_turns.Prepared)
                assert prepared.released_tokens == 50
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


async def _restore(store: memory_store.MemoryStore) -> None:
    await trio.sleep(2.0)
    store.down = False
