"""Tests of the preference for endpoints that handled an object recently."""

import pathlib
import random

import attrs
import pytest

from quetzalmill import endpoint_choice
from quetzalmill import endpoint_pool
from quetzalmill import endpoint_record
from quetzalmill import http_message
from quetzalmill import object_affinity
from quetzalmill import route_table
from quetzalmill_load import platform_cluster
from quetzalmill_platform import wire
from tests import gateway_case
from tests import routes

_ENDPOINTS = 6
_STICKY = attrs.evolve(routes.LOOKUP, is_sticky=True)


@pytest.mark.parametrize(
    ("cookies", "key"),
    [
        ("Affinity-Key=17", "17"),
        ('a=b; Affinity-Key="17" ;c', "17"),
        ("Affinity-Key=17, Affinity-Key=18", "17"),
        ("Affinity-Key=; Affinity-Key", ""),
        ("affinity-key=17;;=;", ""),
        ("Affinity-Key=a=\udc80\xff", "a=\udc80\xff"),
        ("Affinity-Key=" + "x" * 257, "(hashed)"),
    ],
)
def test_cookie_of_any_form(cookies: str, key: str) -> None:
    """An unusual cookie must not fail the request or fill the memory."""
    request = http_message.Request(
        method="GET", path="/stock/1", headers={"cookie": cookies}
    )
    found = wire.PlatformDialect().decode_call(request).object_key
    assert found == key or (len(cookies) > 256 and len(found) == 32)


class _Gateway:
    """One gateway's preferences and its view of the endpoints."""

    def __init__(self) -> None:
        self.pool = endpoint_pool.EndpointPool()
        for number in range(_ENDPOINTS):
            self.pool.update(routes.endpoint(f"e{number}", "a"), 0.0)
        self.affinity = object_affinity.ObjectAffinity(max_objects=99)
        self.random = random.Random(1)

    def gains(
        self, key: str, now_ms: float, route: route_table.Route = _STICKY
    ) -> dict[str, float]:
        return self.affinity.gains_ms(
            route,
            key,
            self.pool.usable("app", now_ms),
            lambda known: known.load(now_ms),
            average_ms=100.0,
            now_ms=now_ms,
        )

    def send(
        self, key: str, now_ms: float, route: route_table.Route
    ) -> endpoint_record.EndpointState:
        usable = self.pool.usable("app", now_ms)
        gains_ms = self.gains(key, now_ms, route)
        estimates = [
            endpoint_choice.estimate(
                each,
                uncached_tokens=0,
                failure_domain="a",
                is_engine=False,
                now_ms=now_ms,
            )
            for each in usable
        ]
        best = endpoint_choice.choose(
            object_affinity.lowered(estimates, gains_ms), self.random
        )
        assert best is not None
        chosen = best.endpoint_state
        self.affinity.record(route, key, chosen.endpoint, now_ms)
        return chosen


class TestGains:
    """Which endpoints are preferred."""

    def test_full_endpoint_is_passed_over_by_all_alike(self) -> None:
        """A hot object must not queue while other endpoints are idle."""
        gateways, seen = [_Gateway(), _Gateway()], set[str]()
        while len(seen) < _ENDPOINTS:
            gains, others = (each.gains("17", 0.0) for each in gateways)
            assert gains == others and set(gains.values()) == {50.0}
            assert not seen & gains.keys()
            seen |= gains.keys()
            for gateway in gateways:
                for endpoint_id in gains:
                    known = gateway.pool.get(endpoint_id)
                    assert known is not None
                    known.running = routes.SLOTS

    def test_recent_endpoint_is_preferred_until_it_restarts(self) -> None:
        gateway = _Gateway()
        (by_hash,) = gateway.gains("17", 0.0)
        other = next(
            each.endpoint
            for each in gateway.pool.all()
            if each.endpoint.endpoint_id != by_hash
        )
        gateway.affinity.record(_STICKY, "17", other, 0.0)
        assert gateway.gains("17", 0.0).keys() == {by_hash, other.endpoint_id}
        late_ms = object_affinity.RECENT_MS + 1.0
        assert gateway.gains("17", late_ms).keys() == {by_hash}
        gateway.pool.update(attrs.evolve(other, started_unix_ms=2), 0.0)
        assert gateway.gains("17", 0.0).keys() == {by_hash}
        for number in range(999):
            gateway.affinity.record(_STICKY, f"{number}", other, 0.0)
        assert len(gateway.affinity) == 99
        assert not gateway.gains("17", 0.0, routes.LOOKUP)


class TestLoadPattern:
    """Requests about some objects arrive at several gateways."""

    @pytest.mark.parametrize(
        ("route", "least", "most"),
        [(_STICKY, 1.0, 1.0), (routes.LOOKUP, 0.0, 0.8)],
    )
    def test_object_returns_to_an_endpoint_that_handled_it(
        self, route: route_table.Route, least: float, most: float
    ) -> None:
        gateways, handled, returned = [_Gateway(), _Gateway()], set(), 0
        for now_ms in range(300):
            key = str(now_ms // 2 % 30)
            chosen = gateways[now_ms % 2].send(key, now_ms, route)
            entry = key, chosen.endpoint.endpoint_id
            returned += entry in handled
            handled.add(entry)
        assert least <= returned / (300 - 30) <= most

    def test_hot_object_spreads(self) -> None:
        """Waiting at a preferred endpoint outweighs the gain."""
        gateway = _Gateway()
        for _ in range(_ENDPOINTS * routes.SLOTS):
            gateway.send("hot", 0.0, _STICKY).running += 1
        running = [each.running for each in gateway.pool.all()]
        assert max(running) <= routes.SLOTS + 1


def test_gateways_send_an_object_to_one_endpoint(
    tmp_path: pathlib.Path,
) -> None:
    """Two gateways as processes, on a route that is sticky."""

    async def case(cluster: platform_cluster.Cluster) -> None:
        state = platform_cluster.desired_state(2)
        state["routes"][2]["sticky"] = True
        cluster.store.put("keyed.op", "config", state)
        for number in range(4):
            endpoint = await cluster.add_endpoint(f"app-{number}", "app")
            endpoint.pause_s = 0.1
        gateways = [await cluster.add_gateway() for _ in range(2)]
        for gateway in gateways:
            await cluster.call(gateway, "/lookup/1")
        served = set()
        for number in range(16):
            _, response = await cluster.call(
                gateways[number % 2],
                "/lookup/1",
                headers={"Cookie": "a=1; Affinity-Key=17"},
            )
            served.add(response.body)
        assert len(served) == 1

    gateway_case.run(tmp_path, case)
