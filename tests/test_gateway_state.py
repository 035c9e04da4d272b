"""Tests of a gateway's local view: routes, rates, peers and endpoints."""

import random

import attrs
import pytest

from quetzalmill import clock as clock_module
from quetzalmill import crash_counts
from quetzalmill import endpoint_choice
from quetzalmill import endpoint_pool
from quetzalmill import endpoint_record
from quetzalmill import gateway_calls
from quetzalmill import gateway_state
from quetzalmill import http_message
from quetzalmill import peers as peers_module
from quetzalmill import route_table
from quetzalmill import team_buckets
from tests import routes


def _table(
    version: int = 1, rate_per_s: float = 10.0
) -> route_table.RouteTable:
    return route_table.RouteTable(
        version=version,
        routes=(
            routes.LOOKUP,
            attrs.evolve(
                routes.LOOKUP, name="deep", path_prefix="/stock/deep/"
            ),
        ),
        services={},
        teams={
            "weddings": route_table.Team(
                name="weddings",
                priority=None,
                rate_per_s=rate_per_s,
                burst=10.0,
            )
        },
        team_of_key={"k1": "weddings"},
        limits=http_message.Limits(),
        document=b"{}",
    )


def _endpoint(endpoint_id: str, **changes: object) -> endpoint_record.Endpoint:
    endpoint = endpoint_record.Endpoint(
        endpoint_id=endpoint_id,
        service="app",
        address="10.0.0.1:80",
        failure_domain="a",
        slots=4,
        leaving=False,
        started_unix_ms=1,
        cold_ms=0.0,
    )
    return attrs.evolve(endpoint, **changes)  # type: ignore[arg-type]


def _heartbeat(address: str, **changes: object) -> peers_module.Heartbeat:
    heartbeat = peers_module.Heartbeat(
        host=address,
        instance="i1",
        address=address,
        failure_domain="a",
        sequence=1,
        leaving=False,
        store_reached=True,
        table_version=1,
        admitted={},
        is_whole=True,
        running={},
        crashes=[],
        known=[],
        holds=[],
    )
    return attrs.evolve(heartbeat, **changes)  # type: ignore[arg-type]


class TestRouteTable:
    """The choice of a route and of a team."""

    @pytest.mark.parametrize(
        ("host", "path", "name"),
        [
            ("desk.example", "/stock/1", "lookup"),
            ("desk.example", "/stock/deep/1", "deep"),
            ("desk.example", "/stockpile/1", None),
            ("other.example", "/stock/1", None),
        ],
    )
    def test_longest_prefix(
        self, host: str, path: str, name: str | None
    ) -> None:
        route = _table().match(host, path)
        assert (route.name if route else None) == name

    def test_team_of_key(self) -> None:
        table = _table()
        team = table.team_for("k1")
        assert team is not None and team.name == "weddings"
        assert table.team_for("k2") is None

    def test_keys_are_not_shown(self) -> None:
        assert "k1" not in repr(_table())


class TestTeamBuckets:
    """The rate of a team over several gateways."""

    def _buckets(self, count: int) -> list[team_buckets.TeamBuckets]:
        buckets = [team_buckets.TeamBuckets() for _ in range(count)]
        for each in buckets:
            each.configure(_table().teams, 0.0)
        return buckets

    def test_reports_that_arrive_together_are_no_high_rate(self) -> None:
        """Guards against refusals while a relay sends two heartbeats at once.

        The team gains two requests in 200 ms, as many as its peer admits.
        """
        buckets = self._buckets(1)[0]
        for step in range(20):
            now_ms = 400.0 * (step + 1)
            for count in (4 * step + 2, 4 * step + 4):
                buckets.apply_report("peer", {"weddings": count}, now_ms)
        assert buckets.wait_ms("weddings", 1, now_ms + 100.0) <= 400.0

    @pytest.mark.parametrize("weights", [[1, 1, 1, 1], [1, 0, 0, 0]])
    def test_flood_stays_within_rate_and_burst(
        self, weights: list[int]
    ) -> None:
        """A flood of 25 times the rate, spread evenly or on one gateway."""
        buckets = self._buckets(4)
        choice = random.Random(1)
        admitted_ms = []
        for step in range(5_000):
            now_ms = step * 4.0
            target = choice.choices(buckets, weights)[0]
            if target.admit("weddings", now_ms).admitted:
                admitted_ms.append(now_ms)
            if step % 50 == 0:
                self._exchange(buckets, now_ms)
        for start_ms in range(0, 15_000, 500):
            window = [ms for ms in admitted_ms if 0 <= ms - start_ms < 5_000]
            # Rate and burst over five seconds, with the tolerated excess of a
            # tenth and twenty requests.
            assert len(window) <= (10 * 5 + 10) * 1.1 + 20

    def test_usual_load_on_one_gateway_is_admitted(self) -> None:
        """Five eighths of the rate arrive at a single gateway."""
        buckets = self._buckets(4)
        refused = 0
        for step in range(200):
            now_ms = 2_000.0 + step * 160.0
            refused += not buckets[0].admit("weddings", now_ms).admitted
            self._exchange(buckets, now_ms)
        assert refused == 0

    def test_unreachable_peers_keep_their_fraction(self) -> None:
        buckets = self._buckets(1)[0]
        buckets.set_live_fraction(0.25, 0.0)
        admitted = sum(
            buckets.admit("weddings", step * 10.0).admitted
            for step in range(2_000)
        )
        assert admitted <= 10 * 20 * 0.25 + 10

    def test_repeated_report_counts_once(self) -> None:
        first, second = self._buckets(2)
        second.admit("weddings", 0.0)
        first.apply_report("two", second.admitted(), 0.0)
        second.admit("weddings", 0.0)
        before = first.admit("weddings", 0.0).level
        for _ in range(5):
            first.apply_report("two", second.admitted(), 0.0)
        assert first.admit("weddings", 0.0).level == pytest.approx(before - 2)

    def test_team_left_out_of_a_report_is_not_extrapolated(self) -> None:
        """The peer's rate is no longer extrapolated for that team."""
        first = self._buckets(1)[0]
        for step in range(6):
            first.apply_report("two", {"weddings": 10 * step}, 200.0 * step)
        before = first.peek("weddings", 1_000.0)
        first.apply_report("two", {}, 1_001.0, is_whole=False)
        after = first.peek("weddings", 1_600.0)
        # The wait shrinks by at least the time that has passed.
        gained_ms = before.retry_after_ms - after.retry_after_ms
        assert gained_ms >= 600.0

    def test_first_partial_report_debits_nothing(self) -> None:
        first, second = self._buckets(2)
        first.apply_report("two", {}, 0.0, is_whole=False)
        first.apply_report("two", {"weddings": 3_000}, 100.0, is_whole=True)
        second.apply_report("one", {"weddings": 3_000}, 100.0, is_whole=False)
        second.apply_report("one", {"weddings": 3_001}, 100.0, is_whole=True)
        level = self._buckets(1)[0].peek("weddings", 100.0).level
        assert first.peek("weddings", 100.0).level == level
        assert second.peek("weddings", 100.0).level == level - 1

    def test_lower_rate_holds_at_once(self) -> None:
        buckets = self._buckets(1)[0]
        buckets.admit("weddings", 60_000.0)
        buckets.configure(
            {
                "weddings": route_table.Team(
                    name="weddings", priority=None, rate_per_s=1.0, burst=1.0
                )
            },
            60_000.0,
        )
        admitted = sum(
            buckets.admit("weddings", 60_000.0).admitted for _ in range(20)
        )
        assert admitted == 1

    def test_restarted_gateway_debits_no_past_admissions(self) -> None:
        """Its peers have admitted thousands of requests since they started."""
        first, second = self._buckets(2)
        for step in range(3_000):
            second.admit("weddings", step * 200.0)
        first.apply_report("two", second.admitted(), 1_000.0)
        assert first.admit("weddings", 1_000.0).admitted

    def test_time_without_a_limit_leaves_no_debt(self) -> None:
        buckets = team_buckets.TeamBuckets()
        buckets.configure(_table(rate_per_s=0.0).teams, 0.0)
        for _ in range(500):
            assert buckets.admit("weddings", 0.0).admitted
        buckets.configure(_table(rate_per_s=10.0).teams, 0.0)
        assert buckets.admit("weddings", 1_000.0).admitted

    def test_refusal_has_a_retry_time(self) -> None:
        buckets = self._buckets(1)[0]
        while buckets.admit("weddings", 0.0).admitted:
            pass
        refused = buckets.admit("weddings", 0.0)
        assert 0.0 < refused.retry_after_ms <= 200.0
        later_ms = refused.retry_after_ms + 1.0
        assert buckets.admit("weddings", later_ms).admitted

    def _exchange(
        self, buckets: list[team_buckets.TeamBuckets], now_ms: float
    ) -> None:
        for one, each in enumerate(buckets):
            for other, peer in enumerate(buckets):
                if one != other:
                    each.apply_report(str(other), peer.admitted(), now_ms)


class TestPeerTable:
    """Which peers are live and which gateway owns a partition."""

    def test_peer_without_heartbeats_is_not_live(self) -> None:
        table = peers_module.PeerTable("a:1")
        table.apply_report(_heartbeat("b:1"), 0.0)
        assert table.alive(peers_module.LIVENESS_TIMEOUT_MS)
        assert not table.alive(peers_module.LIVENESS_TIMEOUT_MS + 1.0)
        assert (
            table.live_fraction(peers_module.LIVENESS_TIMEOUT_MS + 1.0) == 0.5
        )

    def test_outdated_heartbeat_is_ignored(self) -> None:
        table = peers_module.PeerTable("a:1")
        table.apply_report(_heartbeat("b:1", sequence=5, leaving=True), 0.0)
        table.apply_report(_heartbeat("b:1", sequence=4), 0.0)
        assert table.alive(0.0)[0].leaving

    def test_restart_is_noticed(self) -> None:
        table = peers_module.PeerTable("a:1")
        table.apply_report(_heartbeat("b:1", sequence=50), 0.0)
        assert table.apply_report(_heartbeat("b:1", instance="i2"), 1.0) == "i1"

    def test_gateways_agree_on_the_owner(self) -> None:
        addresses = ["a:1", "b:1", "c:1"]
        owners = []
        for own in addresses:
            table = peers_module.PeerTable(own)
            for other in addresses:
                table.apply_report(_heartbeat(other), 0.0)
            owners.append(
                [
                    table.owner(
                        part, leaving=False, store_reached=True, now_ms=0.0
                    )
                    for part in range(24)
                ]
            )
        assert owners[0] == owners[1] == owners[2]
        assert set(owners[0]) == set(addresses)

    @pytest.mark.parametrize(
        "unfit", [{"leaving": True}, {"store_reached": False}]
    )
    def test_unfit_gateway_owns_nothing(self, unfit: dict[str, bool]) -> None:
        table = peers_module.PeerTable("a:1")
        table.apply_report(_heartbeat("b:1", **unfit), 0.0)
        for part in range(24):
            owner = table.owner(
                part, leaving=False, store_reached=True, now_ms=0.0
            )
            assert owner == "a:1"

    def test_known_addresses_are_added(self) -> None:
        table = peers_module.PeerTable("a:1")
        table.apply_report(_heartbeat("b:1", known=["c:1", "a:1"]), 0.0)
        assert sorted(table.addresses()) == ["b:1", "c:1"]


class TestCrashCounts:
    """Requests that crash endpoints."""

    def test_third_crash_refuses(self) -> None:
        counts = crash_counts.CrashCounts()
        for crashes in range(1, 4):
            assert not counts.is_refused("f")
            assert counts.record_crash("f", 0.0).crashes == crashes
        assert counts.is_refused("f")

    def test_request_that_ended_well_is_never_refused(self) -> None:
        counts = crash_counts.CrashCounts()
        counts.record_crash("f", 0.0)
        counts.ended_well("f")
        for _ in range(5):
            counts.record_crash("f", 0.0)
        assert not counts.is_refused("f")

    def test_counts_are_shared_between_gateways(self) -> None:
        one, other = crash_counts.CrashCounts(), crash_counts.CrashCounts()
        for _ in range(3):
            one.record_crash("f", 0.0)
        for count in one.all_known():
            other.apply_report(count, 0.0)
        assert other.is_refused("f")
        one.ended_well("f")
        for count in one.all_known():
            other.apply_report(count, 0.0)
        assert not other.is_refused("f")

    def test_fingerprint_distinguishes_team_target_and_body(self) -> None:
        prints = {
            crash_counts.fingerprint(team, target, body)
            for team in ("a", "b")
            for target in ("/1", "/2")
            for body in (b"x", b"y")
        }
        assert len(prints) == 8


class TestEndpointPool:
    """Which endpoints receive new requests."""

    def _usable(self, pool: endpoint_pool.EndpointPool, now_ms: float) -> int:
        return len(pool.usable("app", now_ms))

    def test_leaving_endpoint_gets_nothing(self) -> None:
        pool = endpoint_pool.EndpointPool()
        pool.update(_endpoint("e1"), 0.0)
        pool.update(_endpoint("e1", leaving=True), 0.0)
        assert self._usable(pool, 0.0) == 0

    def test_removed_entry_is_gone_at_once(self) -> None:
        pool = endpoint_pool.EndpointPool()
        pool.update(_endpoint("e1"), 0.0)
        pool.remove("e1", 0.0, store_was_unavailable=False)
        assert self._usable(pool, 0.0) == 0

    def test_entry_that_lapsed_with_the_store_stays_for_a_while(self) -> None:
        pool = endpoint_pool.EndpointPool()
        pool.update(_endpoint("e1"), 0.0)
        pool.remove("e1", 0.0, store_was_unavailable=True)
        assert self._usable(pool, 0.0) == 1
        assert not pool.remove_lapsed(endpoint_pool.LAPSED_GRACE_MS)
        assert pool.remove_lapsed(endpoint_pool.LAPSED_GRACE_MS + 1.0) == ["e1"]

    def test_renewed_entry_ends_its_grace_period(self) -> None:
        pool = endpoint_pool.EndpointPool()
        pool.update(_endpoint("e1"), 0.0)
        pool.remove("e1", 0.0, store_was_unavailable=True)
        pool.update(_endpoint("e1"), 500.0)
        assert not pool.remove_lapsed(1e9)

    def test_new_instance_resets_failures(self) -> None:
        pool = endpoint_pool.EndpointPool()
        pool.update(_endpoint("e1"), 0.0)
        known = pool.get("e1")
        assert known is not None
        endpoint_pool.failed(known, 0.0)
        pool.update(_endpoint("e1", started_unix_ms=2), 0.0)
        fresh = pool.get("e1")
        assert fresh is not None and fresh.failures == 0

    def test_failing_endpoint_is_avoided_if_others_are_up(self) -> None:
        pool = endpoint_pool.EndpointPool()
        pool.update(_endpoint("e1"), 0.0)
        pool.update(_endpoint("e2"), 0.0)
        known = pool.get("e1")
        assert known is not None
        endpoint_pool.failed(known, 0.0)
        assert self._usable(pool, 1.0) == 1
        assert self._usable(pool, endpoint_pool.INITIAL_BACKOFF_MS) == 2


class TestEndpointChoice:
    """Placement under the load patterns that the module documents."""

    _PARTS = (
        gateway_calls.PromptPart("shared", 512),
        gateway_calls.PromptPart("own", 6_000),
    )

    def _best(
        self, loads: dict[str, int], cached_at: str = "", slots: int = 8
    ) -> str:
        prefixes = endpoint_choice.PrefixCacheIndex()
        if cached_at:
            prefixes.record(cached_at, self._PARTS)
        estimates = [
            endpoint_choice.estimate(
                endpoint_record.EndpointState(
                    endpoint=_endpoint(endpoint_id, slots=slots), running=load
                ),
                uncached_tokens=prefixes.uncached_tokens(
                    endpoint_id, self._PARTS
                ),
                failure_domain="a",
                is_engine=True,
                now_ms=0.0,
            )
            for endpoint_id, load in loads.items()
        ]
        best = endpoint_choice.choose(estimates, random.Random(1))
        assert best is not None
        return best.endpoint_state.endpoint.endpoint_id

    def test_cache_decides_at_even_load(self) -> None:
        assert self._best({"e1": 4, "e2": 4, "e3": 4}, "e2") == "e2"

    def test_wait_at_a_hot_endpoint_outweighs_its_cache(self) -> None:
        assert self._best({"e1": 1, "e2": 20}, "e2") == "e1"

    def test_wave_of_equal_requests_spreads(self) -> None:
        loads = {"e1": 0, "e2": 0, "e3": 0, "e4": 0}
        for _ in range(32):
            loads[self._best(loads)] += 1
        assert max(loads.values()) - min(loads.values()) <= 2

    def test_prompt_part_is_cached_only_after_its_predecessors(self) -> None:
        prefixes = endpoint_choice.PrefixCacheIndex()
        prefixes.record("e1", self._PARTS[1:])
        assert prefixes.uncached_tokens("e1", self._PARTS) == 6_512

    def test_no_endpoint(self) -> None:
        assert endpoint_choice.choose([], random.Random(1)) is None


class TestGatewayState:
    """Updates of the route table, of peers and of the store's availability."""

    def _state(
        self,
    ) -> tuple[gateway_state.GatewayState, clock_module.ManualClock]:
        clock = clock_module.ManualClock()
        state = gateway_state.GatewayState(
            host="h",
            instance="i",
            address="a:1",
            failure_domain="a",
            parts=12,
            clock=clock,
        )
        return state, clock

    def test_heartbeats_leave_out_idle_teams(self) -> None:
        """Most teams are idle at any time, and addresses rarely change."""
        state, clock = self._state()
        state.apply_route_table(_table(), "test")
        state.apply_report(_heartbeat("b:1"))
        state.buckets.admit("weddings", clock.now_ms())
        assert state.heartbeat().is_whole
        state.apply_report(_heartbeat("b:1", sequence=2))
        recent = state.heartbeat()
        assert not recent.is_whole
        assert recent.admitted == {"weddings": 1}
        assert recent.known == []
        clock.advance(2 * peers_module.RECENT_REQUEST_MS)
        assert state.heartbeat().admitted == {}
        later = [
            state.heartbeat() for _ in range(peers_module.FULL_HEARTBEAT_EVERY)
        ]
        whole = [heartbeat for heartbeat in later if heartbeat.is_whole]
        assert len(whole) == 1
        assert whole[0].admitted == {"weddings": 1}
        assert whole[0].known == ["b:1"]

    def test_new_peer_triggers_a_full_heartbeat(self) -> None:
        state, _ = self._state()
        state.apply_report(_heartbeat("b:1"))
        assert state.heartbeat().is_whole
        assert not state.heartbeat().is_whole
        state.apply_report(_heartbeat("c:1"))
        assert state.heartbeat().known == ["b:1", "c:1"]
        state.apply_report(_heartbeat("b:1", instance="i2"))
        assert state.heartbeat().is_whole

    def test_route_table_never_reverts(self) -> None:
        state, _ = self._state()
        assert state.apply_route_table(_table(version=4), "store")
        assert not state.apply_route_table(_table(version=2), "peer")
        assert state.table is not None and state.table.version == 4

    def test_only_a_fresh_table_is_a_reason_to_refuse(self) -> None:
        state, clock = self._state()
        state.apply_route_table(_table(), "store")
        state.confirm_table()
        assert state.table_is_fresh()
        clock.advance(gateway_state.MAX_TABLE_AGE_MS + 1.0)
        assert not state.table_is_fresh()

    @pytest.mark.parametrize(
        ("failing_ms", "peer_reaches_it", "was_unavailable"),
        [(3_000.0, False, True), (3_000.0, True, False), (100.0, False, False)],
    )
    def test_store_outage_differs_from_a_local_one(
        self, failing_ms: float, peer_reaches_it: bool, was_unavailable: bool
    ) -> None:
        """A gateway that alone lost the store must not keep lapsed entries."""
        state, clock = self._state()
        state.record_store_availability(False)
        clock.advance(failing_ms)
        state.apply_report(_heartbeat("b:1", store_reached=peer_reaches_it))
        state.tick()
        state.record_store_availability(True)
        assert state.store_was_unavailable() == was_unavailable
        clock.advance(gateway_state.OUTAGE_RECOVERY_MS + 1.0)
        assert not state.store_was_unavailable()

    @pytest.mark.parametrize(
        ("outage_ms", "peer_epoch", "peer_reaches_it", "silent_peers", "may"),
        [
            (2_000.0, 4, False, 0, True),
            (1_000.0, 4, False, 0, False),
            (2_000.0, 6, False, 0, False),
            (2_000.0, 4, True, 0, False),
            (2_000.0, 4, False, 3, False),
        ],
    )
    def test_only_the_newest_owner_grants_in_an_outage(
        self,
        outage_ms: float,
        peer_epoch: int,
        peer_reaches_it: bool,
        silent_peers: int,
        may: bool,
    ) -> None:
        """Guards against grants by an owner that was replaced."""
        state, clock = self._state()
        for number in range(silent_peers):
            state.apply_report(_heartbeat(f"s{number}:1"))
        state.record_store_availability(False)
        clock.advance(outage_ms)
        state.apply_report(
            _heartbeat(
                "b:1",
                store_reached=peer_reaches_it,
                hold_epochs={3: peer_epoch},
            )
        )
        assert state.may_grant_unstored(3, 5) == may

    def test_replaced_owner_stays_replaced_when_its_successor_stops(
        self,
    ) -> None:
        """Guards against grants by both in turn."""
        state, clock = self._state()
        state.apply_report(_heartbeat("b:1", hold_epochs={3: 6}))
        state.apply_report(_heartbeat("b:1", sequence=2, leaving=True))
        clock.advance(2.0 * peers_module.PEER_EXPIRY_MS)
        state.tick()
        state.record_store_availability(False)
        clock.advance(2_000.0)
        assert not state.may_grant_unstored(3, 5)
        assert state.may_grant_unstored(3, 7)
