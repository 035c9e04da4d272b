"""Tests of the watcher of the endpoints' entries, with a store in memory."""

from collections.abc import Callable
import json
import typing
from typing import Any

import attrs
import hypothesis
from hypothesis import strategies as st
import pytest
import trio
import trio.testing

from quetzalmill import gateway
from quetzalmill import gateway_state
from quetzalmill import keyed_store
from quetzalmill_platform import follow
from tests import memory_store
from tests import single_gateway
from tests import trio_clock

_READ_S = 2.0 * follow.ENDPOINTS_PAUSE_MS / 1000.0
"""The time in which a watcher reads what was appended."""

_KEYS = ("e1", "e2")


def _entry(**changes: Any) -> bytes:
    fields: dict[str, Any] = {
        "service": "app",
        "addr": "10.0.0.9:80",
        "zone": "a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "coldLeftMs": 0,
        "callSeq": 1,
        "born": 1,
    }
    return json.dumps({**fields, **changes}).encode()


@attrs.define
class _Target:
    """What a watcher uses of a gateway."""

    state: gateway_state.GatewayState


class _Watched:
    """A store with entries, and two gateways.

    One follows every change; the other reads the newest entries only once, as
    after its start.
    """

    def __init__(self) -> None:
        self.store = memory_store.MemoryStore()
        self._followed = _Target(single_gateway.state(trio_clock.TrioClock()))

    async def follow(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Follows the changes until cancelled."""
        task_status.started()
        await _watch(self.store, self._followed)

    async def put(self, *entries: tuple[str, bytes | None]) -> None:
        """Appends entries at once and waits until they are read."""
        records = [keyed_store.KeyedRecord(*entry) for entry in entries]
        await self.store.append(
            follow.ENDPOINTS_TOPIC, 0, records, timeout_ms=1.0
        )
        await trio.sleep(_READ_S)

    def usable(self) -> list[str]:
        """Returns the ids of the endpoints that the followed state may use."""
        return _usable(self._followed.state)

    async def usable_after_start(self) -> list[str]:
        """Returns the same of a gateway that has just started."""
        started = _Target(single_gateway.state(trio_clock.TrioClock()))
        with trio.move_on_after(follow.ENDPOINTS_PAUSE_MS / 2_000.0):
            await _watch(self.store, started)
        return _usable(started.state)


async def _watch(store: memory_store.MemoryStore, target: _Target) -> None:
    watcher = follow.StoreWatcher(store)
    await watcher.watch_endpoints(typing.cast(gateway.Gateway, target))


def _usable(state: gateway_state.GatewayState) -> list[str]:
    return sorted(
        known.endpoint.endpoint_id
        for known in state.pool.usable("app", state.clock.now_ms())
    )


def _run(case: Callable[[_Watched], typing.Awaitable[None]]) -> None:
    async def run() -> None:
        watched = _Watched()
        async with trio.open_nursery() as nursery:
            await nursery.start(watched.follow)
            await case(watched)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


_ODD_VALUES = st.one_of(
    st.binary(min_size=1),
    st.sampled_from([b"[" * 3_000, b'{"a":' * 3_000, b"\xff" * 1_000_000]),
    st.builds(
        lambda name, value: _entry().replace(
            b'"%s": ' % name, b'"%s": %s, "old": ' % (name, value)
        ),
        st.sampled_from([b"addr", b"service", b"zone", b"slots", b"callSeq"]),
        st.sampled_from(
            [b"1e400", b"NaN", b"9" * 5_000, b"[" * 3_000, b'"\\ud800"', b"{}"]
        ),
    ),
)
"""Values that are no sound entry, whatever is drawn."""


class TestOddEntry:
    """An entry of another writer, under an id of its own or an endpoint's."""

    @hypothesis.settings(deadline=None)
    @hypothesis.given(
        st.one_of(st.text(max_size=255), st.sampled_from(_KEYS)), _ODD_VALUES
    )
    def test_watcher_goes_on_after_any_entry(
        self, key: str, value: bytes
    ) -> None:
        """The other endpoints stay, and the next change is followed."""

        async def case(watched: _Watched) -> None:
            await watched.put(*[(each, _entry()) for each in _KEYS])
            await watched.put((key, value))
            others = [each for each in _KEYS if each != key]
            assert watched.usable() == others
            assert await watched.usable_after_start() == others
            await watched.put((key, None), ("e3", _entry()))
            assert watched.usable() == [*others, "e3"]

        _run(case)

    @pytest.mark.parametrize(
        "value", [b"{", _entry(slots="8"), _entry(state="resting")]
    )
    def test_odd_entry_in_place_of_an_endpoint_removes_it_until_its_next_entry(
        self, value: bytes
    ) -> None:
        """A gateway that starts does not know the entry before, either."""

        async def case(watched: _Watched) -> None:
            await watched.put(("e1", _entry()), ("e2", _entry()))
            await watched.put(("e1", value))
            assert watched.usable() == ["e2"]
            assert await watched.usable_after_start() == ["e2"]
            await watched.put(("e1", _entry(callSeq=2)))
            assert watched.usable() == ["e1", "e2"]
            await watched.put(("e1", value), ("e1", _entry(callSeq=3)))
            assert watched.usable() == ["e1", "e2"]

        _run(case)

    def test_sound_entry_after_a_removal_is_used_again(self) -> None:
        async def case(watched: _Watched) -> None:
            await watched.put(("e1", _entry()), ("e1", None))
            assert watched.usable() == []
            await watched.put(("e1", b"{"), ("e1", None))
            assert watched.usable() == []
            await watched.put(("e1", _entry()))
            assert watched.usable() == ["e1"]
            assert await watched.usable_after_start() == ["e1"]

        _run(case)

    def test_endpoint_of_a_service_that_no_route_names_is_not_used(
        self,
    ) -> None:
        async def case(watched: _Watched) -> None:
            await watched.put(("e1", _entry()), ("e2", _entry()))
            await watched.put(("e2", _entry(service="other")))
            assert watched.usable() == ["e1"]
            await watched.put(("e2", _entry()))
            assert watched.usable() == ["e1", "e2"]

        _run(case)
