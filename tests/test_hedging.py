"""Tests of the decision to send a slow request to a second endpoint."""

import attrs
import hypothesis
from hypothesis import strategies
import pytest

from quetzalmill import hedging
from quetzalmill import route_table
from tests import routes

_ROUTE = hedging.SafeRoute(
    name="lookup", max_attempts=2, retry_mode=route_table.RetryMode.SAFE
)


def _candidate(
    endpoint_id: str, domain: str, load: float = 0.0
) -> hedging.Candidate:
    return hedging.Candidate(
        endpoint_id=endpoint_id, failure_domain=domain, load=load, slots=4
    )


def _decide(
    *candidates: hedging.Candidate, earned: int = 5, sends: int = 1
) -> hedging.Decision:
    """Decides on a request that runs at ``e1`` in the domain ``a``."""
    decider = hedging.Hedging(0.2)
    for _ in range(earned):
        decider.count_request()
    return decider.decide(
        _ROUTE,
        sends=sends,
        tried=["e1"],
        failure_domain="a",
        candidates=candidates,
    )


_FIRST = _candidate("e1", "a", 1.0)


class TestDecide:
    """Hedges that add load, or that meet the same cause of slowness."""

    def test_other_domain_comes_first(self) -> None:
        decision = _decide(_FIRST, _candidate("e2", "a"), _candidate("e3", "b"))
        assert decision == hedging.Hedge(frozenset({"e3"}))

    def test_own_domain_serves_if_there_is_no_other(self) -> None:
        decision = _decide(_FIRST, _candidate("e2", "a"))
        assert decision == hedging.Hedge(frozenset({"e2"}))

    @pytest.mark.parametrize(
        ("candidates", "earned", "sends", "reason"),
        [
            ((_candidate("e2", "b"),), 5, 2, hedging.Reason.NO_ATTEMPT_LEFT),
            ((), 5, 1, hedging.Reason.NO_ENDPOINT),
            ((_candidate("e2", "b", 4.0),), 5, 1, hedging.Reason.NO_CAPACITY),
            (
                (_candidate("e2", "b", 3.0), _candidate("e3", "a", 5.0)),
                5,
                1,
                hedging.Reason.NO_CAPACITY,
            ),
            ((_candidate("e2", "b"),), 4, 1, hedging.Reason.LIMIT),
        ],
    )
    def test_each_rule_prevents_a_hedge(
        self,
        candidates: tuple[hedging.Candidate, ...],
        earned: int,
        sends: int,
        reason: hedging.Reason,
    ) -> None:
        decision = _decide(_FIRST, *candidates, earned=earned, sends=sends)
        assert decision == hedging.NoHedge(reason)

    @hypothesis.given(
        limit=strategies.floats(0.0, 0.2),
        bursts=strategies.lists(
            strategies.tuples(
                strategies.integers(0, 200), strategies.integers(0, 50)
            ),
            max_size=20,
        ),
    )
    def test_limit_holds_over_every_burst(
        self, limit: float, bursts: list[tuple[int, int]]
    ) -> None:
        """Hedges saved up over a quiet time are spent at once."""
        bucket = hedging.HedgeBucket(limit)
        requests = hedges = 0
        for earned, wanted in bursts:
            for _ in range(earned):
                bucket.earn()
            taken = sum(bucket.take() for _ in range(wanted))
            requests, hedges = requests + earned, hedges + taken
            assert taken <= hedging.MAX_BALANCE
            assert hedges <= limit * requests + 1e-6


class TestSafeRoute:
    """A request that must run once is sent twice."""

    @pytest.mark.parametrize(
        "retry_mode",
        [route_table.RetryMode.UNSAFE, route_table.RetryMode.STREAM],
    )
    def test_other_routes_have_no_hedges(
        self, retry_mode: route_table.RetryMode
    ) -> None:
        decider = hedging.Hedging(0.2)
        assert decider.enabled_route(routes.LOOKUP) is not None
        route = attrs.evolve(
            routes.LOOKUP, retry_mode=retry_mode, resumable=True
        )
        assert decider.enabled_route(route) is None
        turns = attrs.evolve(routes.LOOKUP, stateful=True)
        assert decider.enabled_route(turns) is None

    def test_off_without_a_limit(self) -> None:
        assert hedging.Hedging(0.0).enabled_route(routes.LOOKUP) is None


class TestDelay:
    """A delay that hedges most requests, or none of the slow ones."""

    def test_delay_separates_the_slow_responses(self) -> None:
        decider = hedging.Hedging(0.1)
        for number in range(100):
            slow = number % 50 == 0
            decider.record(_ROUTE, 900.0 if slow else 20.0, 10.0 * number)
        delay_ms = decider.delay_ms(_ROUTE, 1_000.0)
        assert delay_ms is not None
        assert 20.0 <= delay_ms <= 24.0

    def test_unknown_until_enough_responses(self) -> None:
        decider = hedging.Hedging(0.1)
        for _ in range(19):
            decider.record(_ROUTE, 20.0, 0.0)
        assert decider.delay_ms(_ROUTE, 0.0) is None
        decider.record(_ROUTE, 20.0, 0.0)
        assert decider.delay_ms(_ROUTE, 0.0) is not None

    def test_old_latencies_decay(self) -> None:
        """A route that became slower would be hedged on each request."""
        decider = hedging.Hedging(0.1)
        for _ in range(10_000):
            decider.record(_ROUTE, 20.0, 0.0)
        for _ in range(100):
            decider.record(_ROUTE, 200.0, 180_000.0)
        delay_ms = decider.delay_ms(_ROUTE, 180_000.0)
        assert delay_ms is not None
        assert delay_ms >= 200.0

    def test_routes_are_bounded(self) -> None:
        decider = hedging.Hedging(0.1)
        for number in range(hedging.MAX_ROUTES + 1):
            route = attrs.evolve(_ROUTE, name=f"r{number}")
            for _ in range(20):
                decider.record(route, 20.0, 0.0)
        oldest = attrs.evolve(_ROUTE, name="r0")
        assert decider.delay_ms(oldest, 0.0) is None
