"""Tests of the orders to evacuate, from the store to the endpoints."""

import json
import pathlib
import typing
from typing import Any

import attrs
import pytest
import trio
import trio.testing

from quetzalmill import gateway
from quetzalmill import gateway_state
from quetzalmill import http_message
from quetzalmill import keyed_store
from quetzalmill_load import platform_cluster
from quetzalmill_platform import follow
from tests import gateway_case
from tests import memory_store
from tests import single_gateway
from tests import trio_clock

_READ_S = 1.5 * follow.TABLE_WAIT_MS / 1000.0
"""The time in which a read of the topic that has begun ends."""


@attrs.define
class _Target:
    """What a watcher uses of a gateway."""

    state: gateway_state.GatewayState


def _evacuated_after(
    *batches: list[tuple[str, bytes | None]],
) -> list[tuple[list[str], list[str]]]:
    """Returns the evacuated domains after each batch of records.

    Each pair is of a gateway that follows the topic and of one that starts.
    """
    store = memory_store.MemoryStore()
    found: list[tuple[list[str], list[str]]] = []

    async def watch(target: _Target) -> None:
        await follow.StoreWatcher(store).watch_route_table(
            typing.cast(gateway.Gateway, target)
        )

    async def run() -> None:
        followed = _Target(single_gateway.state(trio_clock.TrioClock()))
        for batch in batches:
            records = [keyed_store.KeyedRecord(*each) for each in batch]
            await store.append("op", 0, records, timeout_ms=1.0)
            started = _Target(single_gateway.state(trio_clock.TrioClock()))
            with trio.move_on_after(0.05):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(watch, followed)
                    nursery.start_soon(watch, started)
            found.append((_domains(followed), _domains(started)))

    trio.run(run)
    return found


def _domains(target: _Target) -> list[str]:
    return sorted(target.state.pool.evacuations.in_force())


class TestStoreRecords:
    """Records of the operator's topic."""

    def test_order_and_withdrawal(self) -> None:
        assert _evacuated_after(
            [("evacuate/a", b"{}"), ("evacuate/b", b'{"note": 1}')],
            [("config", b"{"), ("evacuate/a", None)],
        ) == [(["a", "b"], ["a", "b"]), (["b"], ["b"])]

    @pytest.mark.parametrize(
        "key",
        [
            "evacuate/",
            "evacuate",
            "evacuate/\ufffd",
            "evacuate/a\nb",
            "Evacuate/a",
        ],
    )
    def test_unusable_key_changes_nothing(self, key: str) -> None:
        """A key that is not text must not name another domain."""
        assert _evacuated_after([(key, b"{}")]) == [([], [])]

    @pytest.mark.parametrize("value", [b"{", b"[]", b"\xff", b"[" * 3_000])
    def test_unreadable_value_neither_orders_nor_withdraws(
        self, value: bytes, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """A gateway that starts does not know the order before it."""
        found = _evacuated_after(
            [("evacuate/a", b"{}"), ("evacuate/b", value)],
            [("evacuate/a", value)],
        )
        assert found == [(["a"], ["a"]), (["a"], [])]
        assert max(map(len, capsys.readouterr().out.splitlines())) < 500


async def _state(
    cluster: platform_cluster.Cluster, at: platform_cluster.Gateway
) -> dict[str, Any]:
    response = await cluster.client.request(
        at.metrics,
        http_message.Request(method="GET", path="/state"),
        timeout_ms=2_000.0,
    )
    return typing.cast(
        dict[str, Any], json.loads(response.body)["evacuated_domains"]
    )


class TestGateways:
    """Gateways as processes on the emulated platform."""

    def test_order_holds_until_withdrawn(self, tmp_path: pathlib.Path) -> None:
        """A running stream completes; new requests go elsewhere or nowhere."""

        async def case(cluster: platform_cluster.Cluster) -> None:
            engine = await cluster.add_endpoint("llm-1", "llm", events=60)
            near = await cluster.add_endpoint("app-1", "app")
            far = await cluster.add_endpoint("app-2", "app", zone="b")
            at = await cluster.add_gateway()
            streams: list[http_message.Response] = []

            async def stream() -> None:
                streams.append((await cluster.turn(at, b"hello"))[1])

            async def are(*domains: str) -> None:
                async def is_so() -> bool:
                    return list(await _state(cluster, at)) == list(domains)

                await cluster.until(is_so)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(stream)
                while not engine.runs:
                    await trio.sleep(0.01)
                cluster.store.evacuate("a")
                await are("a")
                before = len(near.runs)
                for number in range(8):
                    _, response = await cluster.call(at, f"/lookup/{number}")
                    assert response.body == b"done by app-2"
                assert len(near.runs) == before
            assert streams[0].body.endswith(b"data: e60\n\n")
            cluster.store.evacuate("b")
            await are("a", "b")
            request = http_message.Request(method="GET", path="/metrics")
            metrics = await cluster.client.request(
                at.metrics, request, timeout_ms=2_000.0
            )
            assert b'{name="evacuated_domains"} 2.0' in metrics.body
            _, response = await cluster.call(at, "/book/1")
            assert response.status == 503
            assert b"evacuated" in response.body
            assert float(response.headers["retry-after"]) > 0
            assert len(far.runs) == 8
            cluster.store.end_evacuation("a")
            await are("b")
            _, response = await cluster.call(at, "/book/1")
            assert response.body == b"done by app-1"

        gateway_case.run(tmp_path, case)

    def test_gateway_without_the_store_learns_from_a_peer(
        self, tmp_path: pathlib.Path
    ) -> None:
        """The order stays in force while no gateway reaches the store."""

        async def case(cluster: platform_cluster.Cluster) -> None:
            await cluster.add_endpoint("app-1", "app")
            await cluster.add_gateway()
            at = await cluster.add_gateway(apart=True)
            cluster.store_apart_down = True
            await trio.sleep(_READ_S)
            cluster.store.evacuate("a")

            async def is_refused() -> bool:
                _, response = await cluster.call(at, "/lookup/1")
                return response.status == 503

            await cluster.until(is_refused)
            assert (await _state(cluster, at))["a"]["source"] == "front-0"
            cluster.store.down = True
            # A read that began before would still return the withdrawal.
            await trio.sleep(_READ_S)
            cluster.store.end_evacuation("a")
            await trio.sleep(1.0)
            assert await is_refused()
            cluster.store.down = False

            async def is_served() -> bool:
                return not await is_refused()

            await cluster.until(is_served)

        gateway_case.run(tmp_path, case)

    def test_gateway_that_starts_learns_from_the_snapshot(
        self, tmp_path: pathlib.Path
    ) -> None:
        """The order's record is older than the history that the store has."""

        async def case(cluster: platform_cluster.Cluster) -> None:
            app = await cluster.add_endpoint("app-1", "app")
            cluster.store.evacuate("a")
            cluster.store.forget("keyed.op")
            at = await cluster.add_gateway()
            _, response = await cluster.call(at, "/lookup/1")
            assert response.status == 503
            assert not app.runs
            assert (await _state(cluster, at))["a"]["source"] == "store"

        gateway_case.run(tmp_path, case)
