"""Tests of endpoints that announce that they are draining."""

import attrs
import pytest

from quetzalmill import clock as clock_module
from quetzalmill import codec
from quetzalmill import endpoint_leaving
from quetzalmill import endpoint_pool
from quetzalmill import endpoint_record
from quetzalmill import gateway_state
from quetzalmill import peers

_DRAIN_MS = 2_000.0
_LONG_AFTER_MS = 10.0 * endpoint_leaving.MAX_EXIT_MS


def _endpoint(
    endpoint_id: str = "e1", **changes: object
) -> endpoint_record.Endpoint:
    endpoint = endpoint_record.Endpoint(
        endpoint_id=endpoint_id,
        service="app",
        address=f"10.0.0.{endpoint_id[1:]}:80",
        failure_domain="a",
        slots=4,
        leaving=False,
        started_unix_ms=100,
        cold_ms=0.0,
    )
    return attrs.evolve(endpoint, **changes)  # type: ignore[arg-type]


def _pool(*endpoint_ids: str) -> endpoint_pool.EndpointPool:
    """Returns a pool that never uses draining endpoints."""
    pool = endpoint_pool.EndpointPool()
    for endpoint_id in endpoint_ids:
        pool.update(_endpoint(endpoint_id), 0.0)
    return pool


def _announce_drain(
    pool: endpoint_pool.EndpointPool, endpoint_id: str, now_ms: float
) -> endpoint_record.EndpointState:
    """Simulates a response in which an endpoint announces its drain."""
    known = pool.get(endpoint_id)
    assert known is not None
    pool.record_drain_notice(known, "r1", now_ms)
    return known


def _usable(pool: endpoint_pool.EndpointPool, now_ms: float) -> list[str]:
    return [each.endpoint.endpoint_id for each in pool.usable("app", now_ms)]


class TestNoticesPersist:
    """What does not reactivate an endpoint that has announced its drain."""

    def test_notice_in_a_response_applies_at_once(self) -> None:
        pool = _pool("e1", "e2")
        _announce_drain(pool, "e1", 1.0)
        assert _usable(pool, 1.0) == ["e2"]

    @pytest.mark.parametrize("source", ["answer", "entry"])
    def test_entry_that_says_ready_later(self, source: str) -> None:
        pool = _pool("e1", "e2")
        if source == "answer":
            _announce_drain(pool, "e1", 1.0)
        else:
            pool.update(_endpoint(leaving=True), 1.0)
        for now_ms in (2.0, _LONG_AFTER_MS):
            pool.update(_endpoint(), now_ms)
            assert _usable(pool, now_ms) == ["e2"]

    def test_list_that_is_read_again(self) -> None:
        pool = _pool("e1", "e2")
        _announce_drain(pool, "e1", 1.0)
        both = [_endpoint("e1"), _endpoint("e2")]
        pool.replace_all(both, 2.0, store_was_unavailable=False)
        assert _usable(pool, 2.0) == ["e2"]

    @pytest.mark.parametrize("store_was_unavailable", [False, True])
    def test_entry_that_lapsed_and_came_back(
        self, store_was_unavailable: bool
    ) -> None:
        pool = _pool("e1", "e2")
        _announce_drain(pool, "e1", 1.0)
        pool.remove("e1", 2.0, store_was_unavailable=store_was_unavailable)
        pool.update(_endpoint(), 3.0)
        assert _usable(pool, 3.0) == ["e2"]

    def test_answer_after_the_entry_lapsed_and_came_back(self) -> None:
        """The response, from the same instance, was in transit meanwhile."""
        pool = _pool("e1", "e2")
        before = pool.get("e1")
        assert before is not None
        pool.remove("e1", 1.0, store_was_unavailable=False)
        pool.update(_endpoint(), 2.0)
        pool.record_drain_notice(before, "r1", 3.0)
        assert _usable(pool, 3.0) == ["e2"]

    def test_answer_after_the_entry_lapsed(self) -> None:
        pool = _pool("e1", "e2")
        before = pool.get("e1")
        assert before is not None
        pool.remove("e1", 1.0, store_was_unavailable=False)
        pool.record_drain_notice(before, "r1", 2.0)
        pool.update(_endpoint(), 3.0)
        assert _usable(pool, 3.0) == ["e2"]

    def test_leaving_endpoint_is_not_kept_when_it_lapses_with_the_store(
        self,
    ) -> None:
        pool = _pool("e1")
        _announce_drain(pool, "e1", 1.0)
        pool.remove("e1", 2.0, store_was_unavailable=True)
        assert pool.get("e1") is None

    @pytest.mark.parametrize(("before", "after"), [(100, 0), (0, 100), (0, 0)])
    def test_entry_that_names_no_start(self, before: int, after: int) -> None:
        pool = _pool("e2")
        pool.update(_endpoint(started_unix_ms=before), 0.0)
        _announce_drain(pool, "e1", 1.0)
        pool.update(_endpoint(started_unix_ms=after), 2.0)
        assert _usable(pool, 2.0) == ["e2"]

    def test_notice_without_a_start_applies_to_an_unknown_instance(
        self,
    ) -> None:
        pool = _pool("e1", "e2")
        pool.update(_endpoint(started_unix_ms=0, leaving=True), 1.0)
        pool.update(_endpoint(started_unix_ms=200), 2.0)
        assert _usable(pool, 2.0) == ["e2"]

    def test_notice_without_a_start_after_an_earlier_notice(self) -> None:
        """The notice is of the new instance, not again of the previous one."""
        pool = _pool("e1", "e2")
        _announce_drain(pool, "e1", 1.0)
        pool.update(_endpoint(started_unix_ms=200), 2.0)
        pool.update(_endpoint(started_unix_ms=0, leaving=True), 3.0)
        pool.update(_endpoint(started_unix_ms=200), 4.0)
        assert _usable(pool, 4.0) == ["e2"]

    def test_notice_with_a_start_after_one_without(self) -> None:
        pool = _pool("e2")
        for start in (0, 100):
            entry = _endpoint(started_unix_ms=start, leaving=True)
            pool.update(entry, 1.0)
        pool.update(_endpoint(), _LONG_AFTER_MS)
        assert _usable(pool, _LONG_AFTER_MS) == ["e2"]

    def test_instance_replaced_by_an_entry_without_a_start(self) -> None:
        pool = _pool("e1", "e2")
        _announce_drain(pool, "e1", 1.0)
        pool.update(_endpoint(started_unix_ms=0), _LONG_AFTER_MS)
        assert _usable(pool, _LONG_AFTER_MS) == ["e2", "e1"]
        pool.update(_endpoint(), _LONG_AFTER_MS)
        assert _usable(pool, _LONG_AFTER_MS) == ["e2"]

    def test_entry_of_an_earlier_start(self) -> None:
        pool = _pool("e1", "e2")
        _announce_drain(pool, "e1", 1.0)
        pool.update(_endpoint(started_unix_ms=50), 2.0)
        assert _usable(pool, 2.0) == ["e2"]

    def test_entry_of_an_earlier_start_elsewhere(self) -> None:
        pool = _pool("e1", "e2")
        _announce_drain(pool, "e1", 1.0)
        earlier = _endpoint(started_unix_ms=50, address="10.0.0.9:80")
        pool.update(earlier, 2.0)
        assert _usable(pool, 2.0) == ["e2"]


class TestNewInstances:
    """What makes an endpoint id usable again."""

    def test_later_start(self) -> None:
        pool = _pool("e1")
        _announce_drain(pool, "e1", 1.0)
        pool.update(_endpoint(started_unix_ms=101), 2.0)
        assert _usable(pool, 2.0) == ["e1"]

    @pytest.mark.parametrize(
        "changes", [{"address": "10.0.0.9:80"}, {"service": "app"}]
    )
    def test_same_start_elsewhere(self, changes: dict[str, str]) -> None:
        pool = endpoint_pool.EndpointPool()
        pool.update(_endpoint(service="old"), 0.0)
        _announce_drain(pool, "e1", 1.0)
        pool.update(_endpoint(**{"service": "app", **changes}), 2.0)
        assert _usable(pool, 2.0) == ["e1"]

    def test_old_entry_does_not_replace_the_new_instance(self) -> None:
        pool = _pool("e1")
        _announce_drain(pool, "e1", 1.0)
        pool.update(_endpoint(started_unix_ms=200), 2.0)
        pool.update(_endpoint(), 3.0)
        pool.update(_endpoint(leaving=True), 4.0)
        assert _usable(pool, 4.0) == ["e1"]
        known = pool.get("e1")
        assert known is not None
        assert known.endpoint.started_unix_ms == 200

    def test_late_response_of_the_old_instance_does_not_affect_the_new(
        self,
    ) -> None:
        pool = _pool("e1")
        old = pool.get("e1")
        assert old is not None
        pool.update(_endpoint(started_unix_ms=200), 1.0)
        pool.record_drain_notice(old, "r1", 2.0)
        assert _usable(pool, 2.0) == ["e1"]

    def test_new_instance_can_drain_too(self) -> None:
        pool = _pool("e1")
        _announce_drain(pool, "e1", 1.0)
        pool.update(_endpoint(started_unix_ms=200), 2.0)
        _announce_drain(pool, "e1", 3.0)
        for start in (200, 100):
            pool.update(_endpoint(started_unix_ms=start), 4.0)
            assert _usable(pool, 4.0) == []

    @pytest.mark.parametrize("start", [50, 0])
    def test_start_that_cannot_be_compared_is_new_when_the_old_has_ended(
        self, start: int
    ) -> None:
        """The clock was set back; the endpoint must get requests again."""
        pool = _pool("e1")
        _announce_drain(pool, "e1", 1.0)
        entry = _endpoint(started_unix_ms=start)
        pool.update(entry, endpoint_leaving.MAX_EXIT_MS)
        assert _usable(pool, endpoint_leaving.MAX_EXIT_MS) == []
        pool.update(entry, endpoint_leaving.MAX_EXIT_MS + 2.0)
        assert _usable(pool, endpoint_leaving.MAX_EXIT_MS + 2.0) == ["e1"]

    def test_each_notice_extends_the_exit_time_of_an_unknown_start(
        self,
    ) -> None:
        pool = _pool()
        entry = _endpoint(started_unix_ms=0)
        pool.update(entry, 0.0)
        _announce_drain(pool, "e1", 1.0)
        later_ms = endpoint_leaving.MAX_EXIT_MS - 1.0
        pool.update(attrs.evolve(entry, leaving=True), later_ms)
        pool.update(entry, later_ms + endpoint_leaving.MAX_EXIT_MS)
        assert _usable(pool, later_ms + endpoint_leaving.MAX_EXIT_MS) == []

    def test_entry_without_a_start_is_of_the_new_instance(self) -> None:
        pool = _pool("e1")
        _announce_drain(pool, "e1", 1.0)
        pool.update(_endpoint(started_unix_ms=200), 2.0)
        pool.update(_endpoint(started_unix_ms=0), 3.0)
        assert _usable(pool, 3.0) == ["e1"]

    def test_entry_without_a_start_keeps_the_state_of_an_active_one(
        self,
    ) -> None:
        pool = _pool("e1")
        known = pool.get("e1")
        pool.update(_endpoint(started_unix_ms=0), 1.0)
        assert pool.get("e1") is known
        assert known is not None
        assert known.endpoint.started_unix_ms == 100


class TestLastResort:
    """A service whose endpoints are all draining."""

    def _pool(self) -> endpoint_pool.EndpointPool:
        pool = endpoint_pool.EndpointPool(drain_ms=_DRAIN_MS)
        pool.update(_endpoint("e1"), 0.0)
        pool.update(_endpoint("e2"), 0.0)
        return pool

    def test_none_is_used_while_another_is_active(self) -> None:
        pool = self._pool()
        _announce_drain(pool, "e1", 0.0)
        assert _usable(pool, 0.0) == ["e2"]

    def test_all_draining_are_used_for_a_fraction_of_the_drain_time(
        self,
    ) -> None:
        pool = self._pool()
        _announce_drain(pool, "e1", 0.0)
        pool.update(_endpoint("e2", leaving=True), 100.0)
        limit_ms = endpoint_leaving.LAST_RESORT_FRACTION * _DRAIN_MS
        assert _usable(pool, 100.0) == ["e1", "e2"]
        assert _usable(pool, limit_ms) == ["e2"]
        assert _usable(pool, limit_ms + 100.0) == []

    def test_notices_with_and_without_a_start_count_from_the_first(
        self,
    ) -> None:
        pool = self._pool()
        for endpoint_id in ("e1", "e2"):
            for now_ms, start in ((0.0, 0), (500.0, 100)):
                entry = _endpoint(
                    endpoint_id, started_unix_ms=start, leaving=True
                )
                pool.update(entry, now_ms)
        limit_ms = endpoint_leaving.LAST_RESORT_FRACTION * _DRAIN_MS
        assert _usable(pool, limit_ms) == []

    def test_further_notices_extend_nothing(self) -> None:
        pool = self._pool()
        _announce_drain(pool, "e1", 0.0)
        _announce_drain(pool, "e2", 0.0)
        limit_ms = endpoint_leaving.LAST_RESORT_FRACTION * _DRAIN_MS
        _announce_drain(pool, "e1", limit_ms - 1.0)
        pool.update(_endpoint("e2", leaving=True), limit_ms - 1.0)
        assert _usable(pool, limit_ms) == []


class TestPeers:
    """Draining endpoints reported by other gateways."""

    def _gateways(self, count: int = 3) -> list[gateway_state.GatewayState]:
        """Returns gateways that all have e1 and e2 in their pools."""
        self.clock = clock_module.ManualClock()
        gateways = [
            gateway_state.GatewayState(
                host=f"front-{number}",
                instance=f"i{number}",
                address=f"10.1.0.{number}:1",
                failure_domain="a",
                parts=1,
                clock=self.clock,
                drain_ms=_DRAIN_MS,
            )
            for number in range(count)
        ]
        for gateway in gateways:
            gateway.pool.update(_endpoint("e1"), 0.0)
            gateway.pool.update(_endpoint("e2"), 0.0)
        return gateways

    def _heartbeat(
        self,
        sender: gateway_state.GatewayState,
        *others: gateway_state.GatewayState,
    ) -> None:
        data = codec.to_msgpack(sender.heartbeat())
        for other in others:
            other.apply_report(codec.from_msgpack(data, peers.Heartbeat))
            other.tick()

    def _usable(self, gateway: gateway_state.GatewayState) -> list[str]:
        return _usable(gateway.pool, self.clock.now_ms())

    def _announce_drain(
        self, gateway: gateway_state.GatewayState, *endpoint_ids: str
    ) -> None:
        for endpoint_id in endpoint_ids:
            _announce_drain(gateway.pool, endpoint_id, self.clock.now_ms())

    def test_next_heartbeat_removes_the_endpoint_at_peers(self) -> None:
        one, other, _ = self._gateways()
        self._announce_drain(one, "e1")
        self._heartbeat(one, other)
        assert self._usable(other) == ["e2"]

    def test_notices_in_entries_are_reported_too(self) -> None:
        one, other, _ = self._gateways()
        one.pool.update(_endpoint(leaving=True), 0.0)
        self._heartbeat(one, other)
        assert self._usable(other) == ["e2"]

    def test_notice_from_a_peer_is_not_forwarded(self) -> None:
        one, other, third = self._gateways()
        self._announce_drain(one, "e1")
        self._heartbeat(one, other)
        self._heartbeat(other, third)
        assert self._usable(third) == ["e1", "e2"]

    def test_it_holds_only_while_the_peer_reports_it(self) -> None:
        one, other, _ = self._gateways()
        self._announce_drain(one, "e1")
        self._heartbeat(one, other)
        one.pool.update(_endpoint(started_unix_ms=200), 1.0)
        self.clock.advance(endpoint_leaving.MAX_EXIT_MS + 1.0)
        self._heartbeat(one, other)
        assert self._usable(other) == ["e1", "e2"]

    def test_it_lapses_with_the_peer(self) -> None:
        one, other, _ = self._gateways()
        self._announce_drain(one, "e1")
        self._heartbeat(one, other)
        self.clock.advance(peers.LIVENESS_TIMEOUT_MS + 1.0)
        other.tick()
        assert self._usable(other) == ["e1", "e2"]

    def test_peer_without_the_notice_revokes_nothing(self) -> None:
        one, other, third = self._gateways()
        self._announce_drain(one, "e1")
        self._heartbeat(one, other)
        self._heartbeat(third, other)
        assert self._usable(other) == ["e2"]
        self._heartbeat(other, one)
        assert self._usable(one) == ["e2"]

    def test_peer_that_reports_all_does_not_empty_a_service(self) -> None:
        one, other, _ = self._gateways()
        self._announce_drain(one, "e1", "e2")
        self._heartbeat(one, other)
        assert self._usable(other) == ["e1", "e2"]

    def test_own_notices_outweigh_those_of_peers(self) -> None:
        one, other, _ = self._gateways()
        self._announce_drain(one, "e1", "e2")
        self._heartbeat(one, other)
        self._announce_drain(other, "e1")
        assert self._usable(other) == ["e2"]

    @pytest.mark.parametrize(
        ("reported", "own", "usable"),
        [
            (100, 200, ["e1", "e2"]),
            (200, 100, ["e2"]),
            (100, 0, ["e2"]),
            (0, 100, ["e2"]),
        ],
    )
    def test_notice_of_an_earlier_instance_does_not_count(
        self, reported: int, own: int, usable: list[str]
    ) -> None:
        one, other, _ = self._gateways()
        for gateway, start in ((one, reported), (other, own)):
            gateway.pool.remove("e1", 0.0, store_was_unavailable=False)
            gateway.pool.update(_endpoint(started_unix_ms=start), 0.0)
        self._announce_drain(one, "e1")
        self._heartbeat(one, other)
        assert sorted(self._usable(other)) == usable

    def test_reported_while_peers_may_still_list_it(self) -> None:
        one, other, _ = self._gateways()
        self._announce_drain(one, "e1")
        one.pool.remove("e1", 0.0, store_was_unavailable=False)
        self._heartbeat(one, other)
        assert self._usable(other) == ["e2"]

    def test_heartbeat_reports_a_bounded_number(self) -> None:
        (one,) = self._gateways(1)
        for number in range(3, 3 + 2 * endpoint_leaving.MAX_ANNOUNCED):
            one.pool.update(_endpoint(f"e{number}", leaving=True), 0.0)
        reported = one.heartbeat().endpoints_leaving
        assert len(reported) == endpoint_leaving.MAX_ANNOUNCED
        assert f"e{2 + 2 * endpoint_leaving.MAX_ANNOUNCED}" in reported

    def test_chosen_request_is_not_sent_after_a_peer_notice(self) -> None:
        one, other, _ = self._gateways()
        chosen = other.pool.get("e1")
        assert chosen is not None
        self._announce_drain(one, "e1")
        self._heartbeat(one, other)
        assert not other.pool.may_send(chosen, self.clock.now_ms())


class TestMemory:
    """The number of drain notices is limited."""

    def test_oldest_notices_are_dropped_first(self) -> None:
        notices = endpoint_leaving.DrainNotices()
        instances = [
            endpoint_leaving.EndpointInstance(
                endpoint_id=f"e{number}",
                service="app",
                address="10.0.0.1:80",
                started_unix_ms=1,
            )
            for number in range(endpoint_leaving.MAX_NOTICES + 1)
        ]
        for instance in instances:
            notices.record(
                instance, endpoint_leaving.Source.ENTRY, "store", 0.0
            )
        assert len(notices) == endpoint_leaving.MAX_NOTICES
        assert notices.classify(instances[0], 0.0) == endpoint_leaving.Active()
        last = notices.classify(instances[-1], 0.0)
        assert isinstance(last, endpoint_leaving.Draining)
