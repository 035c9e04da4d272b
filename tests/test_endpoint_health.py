"""Tests of the effect of endpoints' failures and delays on placement."""

from collections.abc import Callable
import random

import attrs
import pytest

from quetzalmill import endpoint_choice
from quetzalmill import endpoint_health
from quetzalmill import endpoint_pool
from quetzalmill import endpoint_record
from quetzalmill import endpoint_speeds

_STEP_MS = 20.0
_AVERAGE_MS = 40.0

_ResultRecorder = Callable[[endpoint_health.Health, int, float], None]
"""Records the result of a request, given the endpoint's number and the time."""


def _endpoint_state(number: int) -> endpoint_record.EndpointState:
    return endpoint_record.EndpointState(
        endpoint=endpoint_record.Endpoint(
            endpoint_id=f"e{number}",
            service="app",
            address=f"10.0.0.{number}:1",
            failure_domain="a",
            slots=6,
            leaving=False,
            started_unix_ms=1,
            cold_ms=0.0,
        )
    )


@attrs.define
class _Gateway:
    """One gateway that places requests at some endpoints."""

    endpoint_states: list[endpoint_record.EndpointState]
    draws: random.Random
    chosen: list[int] = attrs.field(factory=list)

    def send(
        self,
        now_ms: float,
        record_result: _ResultRecorder,
    ) -> None:
        """Places one request; ``record_result`` records the result."""
        estimates = [
            endpoint_choice.estimate(
                endpoint_state,
                uncached_tokens=0,
                failure_domain="a",
                is_engine=False,
                now_ms=now_ms,
                average_ms=_AVERAGE_MS,
            )
            for endpoint_state in self.endpoint_states
        ]
        best = endpoint_choice.choose(estimates, self.draws)
        assert best is not None
        number = self.endpoint_states.index(best.endpoint_state)
        self.chosen.append(number)
        record_result(best.endpoint_state.health, number, now_ms)


def _fraction_at_first(
    record_result: _ResultRecorder,
    steps: int = 1_000,
) -> float:
    """Returns the fraction of the later half of requests at endpoint 0 of 6."""
    gateway = _Gateway([_endpoint_state(n) for n in range(6)], random.Random(1))
    for step in range(steps):
        gateway.send(step * _STEP_MS, record_result)
    later = gateway.chosen[steps // 2 :]
    return later.count(0) / len(later)


class TestPlacement:
    """Where requests go while one endpoint of six fails or is slow."""

    def test_healthy_endpoints_share_the_load(self) -> None:
        def record_result(
            health: endpoint_health.Health, number: int, now_ms: float
        ) -> None:
            health.record_response(now_ms)
            health.record_latency(1.0, now_ms)

        assert 0.1 < _fraction_at_first(record_result) < 0.25

    @pytest.mark.parametrize("fraction", [0.4, 0.9])
    def test_partly_failing_endpoint_gets_little(self, fraction: float) -> None:
        draws = random.Random(2)

        def record_result(
            health: endpoint_health.Health, number: int, now_ms: float
        ) -> None:
            if number == 0 and draws.random() < fraction:
                health.record_failure(now_ms)
            else:
                health.record_response(now_ms)

        assert _fraction_at_first(record_result) < 0.04

    def test_slow_endpoint_gets_little(self) -> None:
        def record_result(
            health: endpoint_health.Health, number: int, now_ms: float
        ) -> None:
            health.record_response(now_ms)
            health.record_latency(6.0 if number == 0 else 1.0, now_ms)

        assert _fraction_at_first(record_result) < 0.06

    def test_recovered_endpoint_gets_work_again(self) -> None:
        def record_result(
            health: endpoint_health.Health, number: int, now_ms: float
        ) -> None:
            if number == 0 and now_ms < 4_000.0:
                health.record_failure(now_ms)
            else:
                health.record_response(now_ms)

        assert _fraction_at_first(record_result, steps=1_500) > 0.05

    def test_failures_seen_by_peers_count(self) -> None:
        gateway = _Gateway(
            [_endpoint_state(n) for n in range(2)], random.Random(1)
        )
        gateway.endpoint_states[0].peer_failures = [
            endpoint_health.FailureCounts(failures=2.0, answers=3.0)
        ]
        for _ in range(20):
            gateway.send(0.0, lambda health, number, now_ms: None)
        assert 0 not in gateway.chosen


class TestHealth:
    """What counts against an endpoint."""

    def test_request_that_waits_for_long_counts_as_failed(self) -> None:
        health = endpoint_health.Health()
        health.pending_sent_ms.append(0.0)
        assert health.trouble(endpoint_health.OVERDUE_MS).failures == 0.0
        later_ms = endpoint_health.OVERDUE_MS + 1.0
        assert health.trouble(later_ms).failures == 1.0

    def test_one_failure_costs_less_than_a_full_batch(self) -> None:
        one = endpoint_health.FailureCounts(failures=1.0, answers=0.0)
        cost_ms = endpoint_health.cost_ms([one])
        assert 0.0 < cost_ms < endpoint_speeds.PRIOR_FULL_BATCH_MS

    def test_only_failing_endpoints_are_reported(self) -> None:
        pool = endpoint_pool.EndpointPool()
        for number in range(3):
            pool.update(_endpoint_state(number).endpoint, 0.0)
        good, bad = pool.get("e0"), pool.get("e1")
        assert good is not None and bad is not None
        good.health.record_response(0.0)
        bad.health.record_failure(0.0)
        reported = pool.trouble(0.0)
        assert reported == {"e1": endpoint_health.FailureCounts(1.0, 0.0)}
        pool.apply_peer_failures({"e0": [reported["e1"]]})
        assert good.failure_cost_ms(0.0) > 0.0
        pool.apply_peer_failures({})
        assert good.failure_cost_ms(0.0) == 0.0
