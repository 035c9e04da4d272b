"""Tests of evacuated failure domains, without a network."""

import typing

import attrs
import hypothesis
from hypothesis import strategies as st

from quetzalmill import codec
from quetzalmill import endpoint_pool
from quetzalmill import evacuation
from quetzalmill import peers

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
            endpoint_pool.Endpoint(
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
        chosen = typing.cast(endpoint_pool.EndpointState, pool.get("e-a"))
        assert pool.may_send(chosen, 0.0)
        known.apply_changes([_issued("a", 1)], 1, _NOW)
        assert not pool.may_send(chosen, 0.0)
        assert [each.endpoint.endpoint_id for each in pool.usable("app", 0.0)]
        known.apply_changes([_withdrawn("a", 2)], 2, _NOW)
        assert pool.may_send(chosen, 0.0)

    def test_draining_endpoint_is_no_last_resort_there(self) -> None:
        known = _read()
        pool = _pool(known, "a")
        chosen = typing.cast(endpoint_pool.EndpointState, pool.get("e-a"))
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
        known = _read(_issued("a", 1))
        fields = codec.to_plain(_heartbeat(known.report()))
        del fields["evacuations"]
        old = codec.from_msgpack(codec.to_msgpack(fields), peers.Heartbeat)
        known.apply_report(old.evacuations, _NOW)
        assert known.is_evacuated("a")


def _heartbeat(report: evacuation.Report) -> peers.Heartbeat:
    return peers.Heartbeat(
        host="h",
        instance="i",
        address="10.0.0.2:1",
        failure_domain="a",
        sequence=1,
        leaving=False,
        store_reached=True,
        table_version=0,
        admitted={},
        is_whole=False,
        running={},
        crashes=[],
        known=[],
        holds=[],
        evacuations=report,
    )


@attrs.frozen
class _Append:
    """A record is appended: an order, a withdrawal, or neither."""

    domain: str
    kind: type[evacuation.Change]


@attrs.frozen
class _Follow:
    """A gateway reads some of the records after its last read."""

    gateway: int
    count: int


@attrs.frozen
class _Start:
    """A gateway other than the first starts or reads a snapshot again.

    Pages of a snapshot may hold records that are later than its position.
    """

    gateway: int
    forgets: bool
    later: int


@attrs.frozen
class _Beat:
    """A gateway receives a heartbeat, the newest of a peer or an old one."""

    gateway: int
    back: int


class _World:
    """The topic, and the gateways; the first one follows it throughout."""

    def __init__(self) -> None:
        self.log: list[evacuation.Change] = []
        self.known = [evacuation.Evacuations() for _ in range(_GATEWAYS)]
        self.reports: list[evacuation.Report] = [evacuation.Report()]
        self._read = [0, *[-1] * (_GATEWAYS - 1)]

    def play(self, event: _Append | _Follow | _Start | _Beat) -> None:
        match event:
            case _Append(domain=domain, kind=evacuation.Unreadable):
                self.log.append(
                    evacuation.Unreadable(domain=domain, reason="drawn")
                )
            case _Append(domain=domain, kind=kind):
                order = typing.cast(type[evacuation.Issued], kind)
                self.log.append(
                    order(domain=domain, position=len(self.log) + 1)
                )
            case _Follow(gateway=gateway, count=count):
                start = self._read[gateway]
                if start >= 0:
                    end = min(len(self.log), start + count)
                    self.known[gateway].apply_changes(
                        self.log[start:end], end, _NOW
                    )
                    self._read[gateway] = end
            case _Start(gateway=gateway, forgets=forgets, later=later):
                if forgets:
                    self.known[gateway] = evacuation.Evacuations()
                newest = {change.domain: change for change in self.log}
                end = max(0, len(self.log) - later)
                self.known[gateway].apply_snapshot(
                    [
                        each
                        for each in newest.values()
                        if not isinstance(each, evacuation.Withdrawn)
                    ],
                    end,
                    _NOW,
                )
                self._read[gateway] = end
            case _Beat(gateway=gateway, back=back):
                report = self.reports[-1 - back % len(self.reports)]
                self.known[gateway].apply_report(report, _NOW)
        self.reports += [each.report() for each in self.known]

    def ordered(self, position: int) -> set[str]:
        """Returns the domains with an order at a position."""
        newest = {
            change.domain: change
            for change in self.log[:position]
            if not isinstance(change, evacuation.Unreadable)
        }
        return {
            domain
            for domain, change in newest.items()
            if isinstance(change, evacuation.Issued)
        }


_LATER = st.integers(1, _GATEWAYS - 1)
_EVENTS = st.one_of(
    st.builds(
        _Append,
        st.sampled_from(_DOMAINS),
        st.sampled_from(typing.get_args(evacuation.Change)),
    ),
    st.builds(_Follow, st.integers(0, _GATEWAYS - 1), st.integers(1, 3)),
    st.builds(_Start, _LATER, st.booleans(), st.sampled_from([0, 0, 1, 2])),
    st.builds(_Beat, st.integers(0, _GATEWAYS - 1), st.integers(0, 30)),
)


class TestEveryOrder:
    """Records, snapshots and heartbeats in any order."""

    @hypothesis.settings(deadline=None, max_examples=1_000)
    @hypothesis.given(st.lists(_EVENTS, max_size=25))
    def test_gateways_agree_with_the_topic(
        self, events: list[_Append | _Follow | _Start | _Beat]
    ) -> None:
        """What a gateway says of a position holds there, and all converge."""
        world = _World()
        exact = True
        for event in events:
            exact = exact and not (isinstance(event, _Start) and event.later)
            world.play(event)
            for known in world.known if exact else []:
                report = known.report()
                for domain in _DOMAINS:
                    position = report.evacuated.get(
                        domain, report.unordered.get(domain, report.position)
                    )
                    is_ordered = domain in world.ordered(position)
                    assert known.is_evacuated(domain) == is_ordered
        for gateway in range(_GATEWAYS):
            world.play(_Follow(gateway, len(world.log)))
        for _ in range(2):
            for gateway in range(_GATEWAYS):
                for back in range(_GATEWAYS):
                    world.play(_Beat(gateway, back))
        for known in world.known:
            assert set(known.in_force()) == world.ordered(len(world.log))
