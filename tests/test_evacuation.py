"""Tests of evacuated failure domains, without a network."""

import itertools
import typing

import hypothesis
from hypothesis import strategies as st

from quetzalmill import clock
from quetzalmill import codec
from quetzalmill import endpoint_pool
from quetzalmill import endpoint_record
from quetzalmill import evacuation
from quetzalmill import peers
from tests import single_gateway

_NOW = evacuation.Moment(now_ms=1.0)
_GATEWAYS = 3
_DOMAINS = ("a", "b")


def _issued(domain: str, position: int) -> evacuation.Issued:
    return evacuation.Issued(domain=domain, position=position)


def _withdrawn(domain: str, position: int) -> evacuation.Withdrawn:
    return evacuation.Withdrawn(domain=domain, position=position)


def _read(*changes: evacuation.Change) -> evacuation.Evacuations:
    """Returns what a gateway knows that has read these records."""
    known = evacuation.Evacuations()
    known.apply_snapshot([], 0, _NOW)
    known.apply_changes(changes, len(changes), _NOW)
    return known


def _pool(
    known: evacuation.Evacuations, *domains: str
) -> endpoint_pool.EndpointPool:
    """Returns a pool with an endpoint in each domain."""
    pool = endpoint_pool.EndpointPool(drain_ms=2_000.0)
    pool.evacuations = known
    for domain in domains:
        pool.update(
            endpoint_record.Endpoint(
                endpoint_id=f"e-{domain}",
                service="app",
                address="10.0.0.9:80",
                failure_domain=domain,
                slots=8,
                leaving=False,
                started_unix_ms=1,
                cold_ms=0.0,
            ),
            0.0,
        )
    return pool


class TestOrders:
    """Orders are applied literally, whether or not they make sense."""

    def test_withdrawal_without_an_order_changes_nothing(self) -> None:
        withdrawn: list[tuple[str, float]] = []
        known = evacuation.Evacuations(lambda *each: withdrawn.append(each))
        known.apply_changes([_withdrawn("a", 1), _withdrawn("a", 2)], 2, _NOW)
        assert not known.is_evacuated("a")
        assert withdrawn == []

    def test_repeated_order_is_in_force_since_the_first(self) -> None:
        known = _read(_issued("a", 1))
        later = evacuation.Moment(now_ms=9.0, source="peer")
        known.apply_changes([_issued("a", 2)], 2, later)
        assert known.in_force()["a"] == evacuation.InForce(
            since=_NOW, position=2
        )

    def test_repeated_withdrawal_ends_at_the_first(self) -> None:
        withdrawn: list[tuple[str, float]] = []
        known = evacuation.Evacuations(lambda *each: withdrawn.append(each))
        known.apply_changes([_issued("a", 1), _withdrawn("a", 2)], 2, _NOW)
        later = evacuation.Moment(now_ms=9.0)
        known.apply_changes([_withdrawn("a", 3)], 3, later)
        assert withdrawn == [("a", _NOW.now_ms)]

    def test_endpoints_count_as_cold_after_a_withdrawal(self) -> None:
        """Guards against a rush on endpoints that have been idle."""
        pool = _pool(evacuation.Evacuations(), "a", "b")
        pool.evacuations = evacuation.Evacuations(pool.mark_domain_cold)
        later = evacuation.Moment(now_ms=9.0)
        pool.evacuations.apply_changes([_issued("a", 1)], 1, _NOW)
        pool.evacuations.apply_changes([_withdrawn("a", 2)], 2, later)
        cold_since_ms = [each.cold_since_ms for each in pool.all()]
        assert cold_since_ms == [9.0, float("-inf")]

    def test_all_domains_and_unknown_ones(self) -> None:
        known = _read(_issued("a", 1), _issued("nowhere", 2), _issued("b", 3))
        assert _pool(known, "a", "b").usable("app", 0.0) == []
        assert len(known) == 3

    def test_snapshot_without_the_key_withdraws_as_of_its_position(
        self,
    ) -> None:
        """An older snapshot, or an older report, changes nothing."""
        known = _read(_issued("a", 1))
        before = known.report()
        known.apply_snapshot([], 0, _NOW)
        assert known.is_evacuated("a")
        known.apply_snapshot([], 2, _NOW)
        assert not known.is_evacuated("a")
        known.apply_report(before, _NOW)
        assert not known.is_evacuated("a")

    def test_of_two_statements_at_one_position_the_order_counts(self) -> None:
        """A snapshot without offsets states its orders at its position."""
        known = _read(_withdrawn("a", 1))
        known.apply_snapshot([_issued("a", 1)], 1, _NOW)
        assert known.is_evacuated("a")

    def test_full_table_forgets_no_order_and_reports_no_absence(self) -> None:
        """A peer must not take an order that was left out for withdrawn."""
        names = [f"d{number}" for number in range(evacuation.MAX_DOMAINS + 1)]
        orders = [_issued(name, at) for at, name in enumerate(names, 1)]
        full, peer = _read(*orders), _read(orders[-1])
        assert len(full) == evacuation.MAX_DOMAINS
        peer.apply_report(full.report(), _NOW)
        assert peer.is_evacuated(names[-1])
        full.apply_changes([_withdrawn("d0", 66)], 66, _NOW)
        assert full.needs_snapshot()
        full.apply_snapshot(orders[1:], 66, _NOW)
        assert full.is_evacuated(names[-1])
        assert not full.needs_snapshot()

    def test_unusable_report_changes_nothing(self) -> None:
        known = _read(_issued("a", 1))
        before = known.report()
        for report in (
            evacuation.Report(position=2**63),
            evacuation.Report(position=9, evacuated={"b" * 256: 9}),
            evacuation.Report(position=9, unordered={"a": -1}),
        ):
            known.apply_report(report, _NOW)
        assert known.report() == before


class TestPool:
    """Endpoints of evacuated domains get no requests."""

    def test_order_between_choice_and_send_withholds_the_request(self) -> None:
        known = _read()
        pool = _pool(known, "a", "b")
        chosen = typing.cast(endpoint_record.EndpointState, pool.get("e-a"))
        assert pool.may_send(chosen, 0.0)
        known.apply_changes([_issued("a", 1)], 1, _NOW)
        assert not pool.may_send(chosen, 0.0)
        assert [each.endpoint.endpoint_id for each in pool.usable("app", 0.0)]
        known.apply_changes([_withdrawn("a", 2)], 2, _NOW)
        assert pool.may_send(chosen, 0.0)

    def test_draining_endpoint_is_no_last_resort_there(self) -> None:
        known = _read()
        pool = _pool(known, "a")
        chosen = typing.cast(endpoint_record.EndpointState, pool.get("e-a"))
        pool.record_drain_notice(chosen, "r1", 0.0)
        assert pool.may_send(chosen, 1.0)
        known.apply_changes([_issued("a", 1)], 1, _NOW)
        assert not pool.may_send(chosen, 1.0)


class TestHeartbeat:
    """Gateways of the older version and the new one understand each other."""

    def test_idle_fleet_sends_the_report_in_full_heartbeats_only(self) -> None:
        """It would cost bytes between domains in deployments without orders."""
        known = _read()
        assert known.report_to_send(9e9, is_whole=True)
        assert known.report_to_send(9e9, is_whole=False) is None
        known.apply_changes([_issued("a", 1)], 1, _NOW)
        assert known.report_to_send(9e9, is_whole=False)
        known.apply_changes([_withdrawn("a", 2)], 2, _NOW)
        assert known.report_to_send(_NOW.now_ms + 1.0, is_whole=False)
        assert known.report_to_send(9e9, is_whole=False) is None

    def test_heartbeat_without_the_field_changes_nothing(self) -> None:
        sent = single_gateway.state(clock.ManualClock()).heartbeat()
        fields = codec.to_plain(sent)
        del fields["evacuations"]
        old = codec.from_msgpack(codec.to_msgpack(fields), peers.Heartbeat)
        known = _read(_issued("a", 1))
        known.apply_report(old.evacuations, _NOW)
        assert known.is_evacuated("a")


class _World:
    """The topic, and gateways; the first one follows it throughout."""

    def __init__(self) -> None:
        self.log: list[evacuation.Change] = []
        self.known = [evacuation.Evacuations() for _ in range(_GATEWAYS)]
        self._reports = [evacuation.Report()]
        self._read = [0] + [-1] * (_GATEWAYS - 1)

    def play(self, event: str, gateway: int, number: int) -> None:
        domain, position = _DOMAINS[number % 2], len(self.log) + 1
        known = self.known[gateway]
        match event:
            case "issue":
                self.log.append(_issued(domain, position))
            case "withdraw":
                self.log.append(_withdrawn(domain, position))
            case "write":
                odd = evacuation.Unreadable(domain=domain, reason="drawn")
                self.log.append(odd)
            case "follow" if self._read[gateway] >= 0:
                start = self._read[gateway]
                end = min(len(self.log), start + number)
                known.apply_changes(self.log[start:end], end, _NOW)
                self._read[gateway] = end
            case "hear":
                known.apply_report(
                    self._reports[-1 - number % len(self._reports)], _NOW
                )
            case "start" | "read again" | "read late" if gateway:
                if event == "start":
                    known = self.known[gateway] = evacuation.Evacuations()
                # Pages may hold records later than the snapshot's position.
                later = number % 3 if event == "read late" else 0
                end = max(0, len(self.log) - later)
                newest = {each.domain: each for each in self.log}.values()
                known.apply_snapshot(
                    [e for e in newest if type(e) is not evacuation.Withdrawn],
                    end,
                    _NOW,
                )
                self._read[gateway] = end
        self._reports += [each.report() for each in self.known]

    def ordered(self, position: int) -> set[str]:
        """Returns the domains with an order at a position."""
        readable = [
            each
            for each in self.log[:position]
            if not isinstance(each, evacuation.Unreadable)
        ]
        newest = {each.domain: each for each in readable}.values()
        return {e.domain for e in newest if isinstance(e, evacuation.Issued)}


_EVENTS = st.tuples(
    st.sampled_from(
        ["issue", "withdraw", "write", "follow", "follow", "hear", "hear"]
        + ["start", "read again", "read late"]
    ),
    st.integers(0, _GATEWAYS - 1),
    st.integers(0, 30),
)


class TestEveryOrder:
    """Records, snapshots and heartbeats in any order."""

    @hypothesis.settings(deadline=None, max_examples=1_000)
    @hypothesis.given(st.lists(_EVENTS, max_size=25))
    def test_gateways_agree_with_the_topic(
        self, events: list[tuple[str, int, int]]
    ) -> None:
        """What a gateway says of a position holds there, and all converge."""
        world = _World()
        for number, event in enumerate(events):
            world.play(*event)
            if any(each[0] == "read late" for each in events[: number + 1]):
                continue
            for known, domain in itertools.product(world.known, _DOMAINS):
                report = known.report()
                stated = {**report.unordered, **report.evacuated}
                position = stated.get(domain, report.position)
                is_ordered = domain in world.ordered(position)
                assert known.is_evacuated(domain) == is_ordered
        for gateway in range(_GATEWAYS):
            world.play("follow", gateway, len(world.log))
        for gateway, back in itertools.product(range(_GATEWAYS), repeat=2):
            world.play("hear", gateway, back)
        for gateway, back in itertools.product(range(_GATEWAYS), repeat=2):
            world.play("hear", gateway, back)
        for known in world.known:
            assert set(known.in_force()) == world.ordered(len(world.log))
