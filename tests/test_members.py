"""Tests of the topic in which gateways register."""

from collections.abc import Awaitable, Callable

import pytest
import trio
import trio.testing

from quetzalmill import keyed_store
from quetzalmill import member_silence
from quetzalmill import member_table
from quetzalmill import members
from tests import memory_store
from tests import trio_clock

_OTHER = "10.0.0.2:1"


class _Store(memory_store.MemoryStore):
    """Counts reads."""

    reads = 0

    async def newest(
        self, topic: str, part: int, *, timeout_ms: float
    ) -> keyed_store.Records:
        self.reads += 1
        return await super().newest(topic, part, timeout_ms=timeout_ms)


class _Gateway:
    """One gateway's registration, and what it depends on."""

    def __init__(self) -> None:
        self.store = _Store()
        self.has_limits = True
        self.heard: set[str] = set()
        self.address = "10.0.0.1:1"
        self.found: list[str] = []
        self.clock = trio_clock.TrioClock()
        self.table = member_table.MemberTable(self.address)
        self.members = members.Members(
            self.store,
            "h",
            self.address,
            self.found.append,
            self.table,
            self.clock,
            lambda: self.has_limits,
            lambda: self.heard,
        )

    async def write(self, key: str, value: bytes) -> None:
        record = keyed_store.KeyedRecord(key, value)
        await self.store.append(members.TOPIC, 0, [record], timeout_ms=1.0)

    def may_send(self) -> bool:
        return self.table.may_send(self.clock.now_ms())


@pytest.fixture(name="gateway")
def _gateway() -> _Gateway:
    return _Gateway()


def _run(gateway: _Gateway, case: Callable[[], Awaitable[None]]) -> None:
    async def with_members() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(gateway.members.run)
            await case()
            nursery.cancel_scope.cancel()

    trio.run(with_members, clock=trio.testing.MockClock(autojump_threshold=0.0))


class TestMembers:
    """Registration, reads and marks of one gateway."""

    def test_without_limits_nothing_is_read_more_often(
        self, gateway: _Gateway
    ) -> None:
        """Deployments without cold rates must not cost the store more."""
        gateway.has_limits = False

        async def case() -> None:
            await gateway.write(_OTHER, b"host of an older version")
            await trio.sleep(59.9)
            assert gateway.store.reads == 12
            assert gateway.store.writes == 2
            assert _OTHER in gateway.found
            await gateway.members.leave()
            assert gateway.store.value(members.TOPIC, 0, "10.0.0.1:1") is None
            gateway.has_limits = True
            await trio.sleep(1.0)
            assert gateway.store.reads > 12

        _run(gateway, case)

    def test_sends_only_while_the_store_answers(
        self, gateway: _Gateway
    ) -> None:
        async def case() -> None:
            await trio.sleep(3.4)
            assert not gateway.may_send()
            await trio.sleep(0.6)
            assert gateway.may_send()
            gateway.store.down = True
            await trio.sleep(2.1)
            assert not gateway.may_send()
            gateway.store.down = False
            await trio.sleep(0.6)
            assert gateway.may_send()
            await gateway.members.leave()
            assert not gateway.may_send()

        _run(gateway, case)

    def test_marked_gateway_registers_again(self, gateway: _Gateway) -> None:
        async def case() -> None:
            await trio.sleep(6.0)
            await gateway.write(gateway.address, b'{"host":"x","mark":"1"}')
            await trio.sleep(0.6)
            assert not gateway.may_send()
            await trio.sleep(3.0)
            assert not gateway.may_send()
            await trio.sleep(1.0)
            assert gateway.may_send()

        _run(gateway, case)

    def test_silent_member_is_marked_and_leaves_the_view(
        self, gateway: _Gateway
    ) -> None:
        """A gateway that crashed must not keep its share for good."""

        async def case() -> None:
            gateway.heard = {_OTHER}
            await gateway.write(_OTHER, b"host")
            await gateway.write("odd\n" + "x" * 250, b"no gateway")
            await trio.sleep(60.0)
            both = {gateway.address, _OTHER}
            assert gateway.table.view(gateway.clock.now_ms()) == both
            gateway.heard = set()
            await trio.sleep(17.0)
            assert gateway.table.present() == {gateway.address}
            assert gateway.table.view(gateway.clock.now_ms()) == both
            await trio.sleep(4.0)
            assert gateway.table.view(gateway.clock.now_ms()) != both
            assert gateway.store.writes == 4

        _run(gateway, case)


class TestSilence:
    """Which members are marked."""

    def test_gap_in_the_observations(self) -> None:
        """After a suspension all others seem silent."""
        silence = member_silence.MemberSilence("a")
        for now_ms in (0.0, 1_000.0, 30_000.0, 31_000.0):
            assert silence.update({"a", "b"}, set(), now_ms) == []

    def test_gateway_that_hears_few_waits_longer(self) -> None:
        """It is probably the one that is cut off."""
        silence = member_silence.MemberSilence("a")
        for second in range(60):
            now_ms = second * 1_000.0
            assert silence.update({"a", "b", "c"}, set(), now_ms) == []
        assert silence.update({"a", "b", "c"}, set(), 60_000.0) == ["b", "c"]
