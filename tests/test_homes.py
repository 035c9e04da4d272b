"""Tests of home regions: decisions, then gateways as processes."""

import json
import pathlib
import random
import types
from typing import Any
import unittest.mock

import attrs
import pytest

from quetzalmill import endpoint_pool
from quetzalmill import errors
from quetzalmill import homes
from quetzalmill import reply_reader
from quetzalmill import route_table
from quetzalmill_load import platform_cluster
from quetzalmill_platform import desired_state
from tests import gateway_case
from tests import routes

_ZONES = {"a": "eu", "b": "us", "c": "eu"}
_EU = homes.Homes(frozenset({"eu"}), _ZONES, "us")
_FREE = homes.Homes(None, _ZONES, "us")


def _peer(address: str, domain: str) -> Any:
    return types.SimpleNamespace(
        address=address, failure_domain=domain, region="", store_reached=True
    )


def _table(route: route_table.Route) -> Any:
    return types.SimpleNamespace(routes=(route,), teams={})


class TestHomes:
    """Which hosts a request may reach."""

    def test_lists_added_later_apply_and_removed_ones_stay(self) -> None:
        """A retry or a resumed stream is sent by the newest table."""
        eu = attrs.evolve(routes.LOOKUP, home_regions=frozenset({"eu"}))
        tables = [_table(each) for each in (routes.LOOKUP, eu, routes.LOOKUP)]
        request = homes.RequestHomes(
            _ZONES, "us", lambda: tables.pop(0), routes.LOOKUP, ""
        )
        allowed = [request.current().allows_domain("b") for _ in range(3)]
        assert allowed == [True, False, False]

    def test_unknown_regions_are_in_no_home(self) -> None:
        assert _EU.allows_domain("a") and not _EU.allows_domain("b")
        assert not _EU.allows_domain("x")
        unreadable = homes.Homes(frozenset({""}), _ZONES, "")
        assert not unreadable.allows_domain("x")
        assert not unreadable.allows_own()
        assert not _EU.narrowed(frozenset({"us"})).allows_domain("a")
        assert not _EU.narrowed(frozenset({"us"})).allows_domain("b")

    def test_host_in_doubt(self) -> None:
        """Two hosts' settings that differ must not let a body out."""
        for region, domain in (("eu", "a"), ("", "a"), ("eu", "x")):
            assert _EU.allows_host(region, domain)
        for region, domain in (("us", "a"), ("eu", "b"), ("", "x")):
            assert not _EU.allows_host(region, domain)

    def test_stored_turns_are_read_in_their_regions(self) -> None:
        """A reader gets all turns of a partition, also for another team."""
        us, eu = _peer("us", "b"), _peer("eu", "a")
        for request in (_EU, _FREE):
            read = homes.chain_reader(
                0, "us", "own", [us, eu], request=request, stored=_EU
            )
            assert read == "eu"
        assert homes.sweeper(0, "us", "own", [us, eu], _EU) == "eu"
        read = homes.chain_reader(0, "us", "own", [us], request=_EU, stored=_EU)
        assert read == "own"

    def test_service_without_endpoints_there_is_not_picked(self) -> None:
        shares = tuple(
            route_table.WeightedService(service=name, weight=weight)
            for name, weight in (("v1", 1.0), ("v2", 9.0), ("v3", 0.0))
        )
        route = attrs.evolve(routes.LOOKUP, shares=shares)
        for there, picked in (({"v1", "v3"}, "v1"), ({"v3"}, None)):
            assert picked == homes.pick_service(
                route, _EU, there.__contains__, random.Random(1)
            )

    @pytest.mark.parametrize("value", ["eu", [1], {}, ["x" * 256], True])
    def test_unreadable_list_admits_nothing(self, value: Any) -> None:
        state = platform_cluster.desired_state()
        state["routes"][0]["allowedRegions"] = value
        state["tenants"][0]["allowedRegions"] = ["eu"]
        state["tenants"][1]["allowedRegions"] = []
        table = desired_state.decode(json.dumps(state).encode())
        assert table.routes[0].home_regions == {""}
        assert table.teams["weddings"].home_regions == {"eu"}
        assert not table.teams["rallies"].home_regions


class TestLoadPattern:
    """Endpoints of home regions fail, drain, move; others are idle."""

    def test_nothing_is_sent_outside(self) -> None:
        """Also not while connecting, when only others are available."""
        random_source = random.Random(3)
        pool = endpoint_pool.EndpointPool(drain_ms=2_000.0)
        limited = _table(
            attrs.evolve(routes.LOOKUP, home_regions=frozenset({"eu"}))
        )
        sent = 0
        for now_ms in range(2_000):
            name = f"e{random_source.randrange(6)}"
            entry = routes.endpoint(name, random_source.choice("abcx"))
            leaving = random_source.random() < 0.1
            pool.update(attrs.evolve(entry, leaving=leaving), now_ms)
            request = homes.RequestHomes(
                _ZONES, "us", lambda: limited, routes.LOOKUP, ""
            )
            for known in pool.usable("app", now_ms, request.current()):
                assert known.endpoint.failure_domain in "ac"
                # The entry changes while the connection is being made.
                moved = random_source.choice("abx")
                known.endpoint = attrs.evolve(
                    known.endpoint, failure_domain=moved
                )
                job: Any = types.SimpleNamespace(
                    current_homes=request.current, service=unittest.mock.Mock()
                )
                clock: Any = types.SimpleNamespace(
                    now_ms=lambda now_ms=now_ms: now_ms
                )
                hooks = reply_reader.ReplyReader(
                    pool, unittest.mock.Mock(), clock, unittest.mock.Mock()
                ).hooks(job, known)
                assert hooks.may_send is not None
                assert not hooks.may_send() or moved == "a"
                sent += bool(hooks.may_send())
        assert sent


class TestProcesses:
    """Gateways and endpoints in two regions."""

    def test_team_is_served_at_home_only(self, tmp_path: pathlib.Path) -> None:
        async def case(cluster: platform_cluster.Cluster) -> None:
            cluster.zones = {"a": "eu", "b": "us"}
            state = platform_cluster.desired_state(2)
            state["tenants"][0]["allowedRegions"] = ["eu"]
            cluster.store.put("keyed.op", "config", state)
            app = {}
            for zone in "ab":
                for service, events in (("app", 0), ("llm", 3)):
                    name = f"{service}-{zone}"
                    app[name] = await cluster.add_endpoint(
                        name, service, events
                    )
                    cluster.put_entry(name, zone=zone)
            far = await cluster.add_gateway(apart=True, zone="b")
            await cluster.add_gateway(zone="b")
            for _ in range(20):
                _, response = await cluster.call(far, "/lookup/1")
                assert response.body == b"done by app-a"
            cluster.remove_entry("app-a")

            async def is_refused() -> bool:
                _, response = await cluster.call(far, "/lookup/1")
                if response.status == 503 and homes.REASON.encode() in (
                    response.body
                ):
                    return float(response.headers["retry-after"]) > 0
                return False

            await cluster.until(is_refused)
            assert not app["app-b"].runs
            _, response = await cluster.call(
                far, "/lookup/1", key="key-of-rallies"
            )
            assert response.body == b"done by app-b"
            first, _ = await cluster.turn(far, b"one")
            home = await cluster.add_gateway(zone="a")
            _, response = await cluster.turn(home, b"two", first)
            assert response.status == 200
            assert not app["llm-b"].runs
            # Peers write the turns of a gateway that has lost the store.
            cluster.store_apart_down = True
            _, response = await cluster.call(far, "/chat/1", body=b"three")
            assert response.status == 200
            cluster.stop(home)
            # The one peer that reaches the store is not in a home region.
            with pytest.raises(errors.HttpError):
                await cluster.call(far, "/chat/1", body=b"four")
            _, response = await cluster.call(
                far, "/chat/1", body=b"five", key="key-of-rallies"
            )
            assert response.status == 200

        gateway_case.run(tmp_path, case)
