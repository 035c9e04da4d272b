"""Tests of removing old turns and budgets from the store."""

from collections.abc import Awaitable, Callable

import attrs
import pytest
import trio
import trio.testing

from quetzalmill import budget_owner
from quetzalmill import codec
from quetzalmill import conversations
from quetzalmill import gateway_messages
from quetzalmill import gateway_state
from quetzalmill import keyed_store
from quetzalmill import turn_expiry
from tests import memory_store
from tests import single_gateway
from tests import trio_clock

_RETENTION_MS = 300_000.0
_KEEP_MS = _RETENTION_MS + turn_expiry.RETENTION_MARGIN_MS


class TestTurnAges:
    """Which turns have expired."""

    @pytest.mark.parametrize(
        ("sweeps", "expired"),
        [
            pytest.param(
                [(0.0, {"a": ""}), (_KEEP_MS, {"a": ""})], set(), id="not-yet"
            ),
            pytest.param(
                [(0.0, {"a": ""}), (_KEEP_MS + 1, {"a": ""})], {"a"}, id="old"
            ),
            pytest.param(
                [
                    (0.0, {"a": "", "b": "a", "x": ""}),
                    (200_000.0, {"a": "", "b": "a", "c": "b", "x": ""}),
                    (_KEEP_MS + 1, {"a": "", "b": "a", "c": "b", "x": ""}),
                ],
                {"x"},
                id="chain-is-kept",
            ),
            pytest.param(
                [
                    (0.0, {"a": ""}),
                    (1.0, {}),
                    (2.0, {"a": ""}),
                    (_KEEP_MS + 1, {"a": ""}),
                ],
                set(),
                id="removed-and-back",
            ),
            pytest.param(
                [(0.0, {"a": "lost"}), (_KEEP_MS + 1, {"a": "lost"})],
                {"a"},
                id="chain-is-incomplete",
            ),
        ],
    )
    def test_expired(
        self, sweeps: list[tuple[float, dict[str, str]]], expired: set[str]
    ) -> None:
        ages = turn_expiry.TurnAges()
        for now_ms, present in sweeps:
            ages.observe(present, now_ms)
        assert set(ages.expired(_KEEP_MS, sweeps[-1][0])) == expired


@attrs.define
class _Gateway:
    store: memory_store.MemoryStore
    state: gateway_state.GatewayState
    owner: budget_owner.BudgetOwner
    expiry: turn_expiry.TurnExpiry

    async def put_turn(self, turn_id: str, previous_id: str = "") -> None:
        turn = conversations.Turn(
            turn_id=turn_id,
            team="weddings",
            program_id="p",
            previous_id=previous_id,
            input=b"hello",
            outputs=(b"there",),
            # A clock that was set must not matter.
            ended_unix_ms=1,
        )
        record = keyed_store.KeyedRecord(turn_id, codec.to_msgpack(turn))
        await self.store.append("turns", 0, [record], timeout_ms=100.0)

    def has(self, turn_id: str) -> bool:
        """Returns whether the store has a turn."""
        return self.store.value("turns", 0, turn_id) is not None


def _run(case: Callable[[_Gateway], Awaitable[None]]) -> None:
    async def run() -> None:
        async with trio.open_nursery() as nursery:
            store = memory_store.MemoryStore()
            state = single_gateway.state(trio_clock.TrioClock())
            state.retention_ms = _RETENTION_MS
            owner = single_gateway.owner(state, store, nursery)
            expiry = turn_expiry.TurnExpiry(state, store, [owner])
            nursery.start_soon(expiry.run)
            await case(_Gateway(store, state, owner, expiry))
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


class TestTurnExpiry:
    """The sweeps of one gateway."""

    def test_turn_is_removed_after_its_retention(self) -> None:
        async def case(gateway: _Gateway) -> None:
            await gateway.put_turn("t1")
            await trio.sleep(_RETENTION_MS / 1000.0)
            assert gateway.has("t1")
            await trio.sleep(_RETENTION_MS / 1000.0)
            assert not gateway.has("t1")

        _run(case)

    def test_chain_of_a_recent_turn_stays(self) -> None:
        async def case(gateway: _Gateway) -> None:
            await gateway.put_turn("t1")
            await trio.sleep(250.0)
            await gateway.put_turn("t2", "t1")
            await trio.sleep(_RETENTION_MS / 1000.0)
            assert gateway.has("t1") and gateway.has("t2")
            await trio.sleep(2 * _RETENTION_MS / 1000.0)
            assert not gateway.has("t1") and not gateway.has("t2")

        _run(case)

    def test_unreadable_record_is_removed_too(self) -> None:
        async def case(gateway: _Gateway) -> None:
            record = keyed_store.KeyedRecord("odd", b"\xc1")
            await gateway.store.append("turns", 0, [record], timeout_ms=100.0)
            await trio.sleep(2 * _RETENTION_MS / 1000.0)
            assert not gateway.has("odd")

        _run(case)

    def test_nothing_is_removed_without_a_known_retention(self) -> None:
        async def case(gateway: _Gateway) -> None:
            gateway.state.retention_ms = 0.0
            await gateway.put_turn("t1")
            await trio.sleep(3 * _RETENTION_MS / 1000.0)
            assert gateway.has("t1")

        _run(case)

    def test_outage_only_delays_removal(self) -> None:
        async def case(gateway: _Gateway) -> None:
            await gateway.put_turn("t1")
            await trio.sleep(_RETENTION_MS / 1000.0)
            gateway.store.down = True
            await trio.sleep(_RETENTION_MS / 1000.0)
            gateway.store.down = False
            await trio.sleep(_RETENTION_MS / 1000.0)
            assert not gateway.has("t1")

        _run(case)

    def test_budget_of_an_idle_program_is_removed(self) -> None:
        """Even if a settlement was lost, so that a turn stays reserved."""

        async def case(gateway: _Gateway) -> None:
            reply = gateway.owner.reserve(
                gateway_messages.ReserveTurn(
                    program_id="weddings/p",
                    turn_id="t1",
                    budget_tokens=100,
                    most_tokens=30,
                )
            )
            if not isinstance(reply, gateway_messages.ReserveReply):
                reply = await reply
            assert reply.granted
            await trio.sleep(_RETENTION_MS / 1000.0)
            assert gateway.store.value("budgets", 0, "weddings/p")
            await trio.sleep(_RETENTION_MS / 1000.0)
            assert not gateway.store.value("budgets", 0, "weddings/p")

        _run(case)
