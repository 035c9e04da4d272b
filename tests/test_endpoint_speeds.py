"""Tests of learning the speeds of endpoints."""

import random

import pytest

from quetzalmill import endpoint_speeds
from quetzalmill import gateway_metrics

_PRIOR = endpoint_speeds.Speed()


def _learn(
    speeds: endpoint_speeds.ServiceSpeeds,
    ratios: list[float],
    percents: list[int | None],
    count: int = 60,
) -> list[endpoint_speeds.EndpointSpeed]:
    """Records streams of endpoints that take these ratios of normal times."""
    draws = random.Random(1)
    endpoints = [endpoint_speeds.EndpointSpeed() for _ in ratios]
    for number in range(count):
        for endpoint, ratio, percent in zip(
            endpoints, ratios, percents, strict=True
        ):
            tokens, batch = draws.randrange(4_000), draws.random()
            sample = endpoint_speeds.StreamSample(
                uncached_tokens=tokens,
                batch=batch,
                first_ms=ratio * (20.0 + tokens / 200.0),
                gap_ms=ratio * (2.3 + 0.8 * batch),
                events=60,
                slowness_percent=percent,
            )
            now_ms = number * 100.0
            speeds.record("llm", "e", endpoint, sample, now_ms)
            endpoint.record_slowness(percent, now_ms)
    return endpoints


class TestServiceSpeeds:
    """Estimates by constants that do not fit the engines."""

    def test_prior_is_that_of_equal_endpoints(self) -> None:
        speed = endpoint_speeds.ServiceSpeeds().speed(
            "llm", endpoint_speeds.EndpointSpeed(), 0.0
        )
        for name in ("prefill_tokens_per_ms", "full_batch_ms", "excess_ms"):
            assert getattr(speed, name) == pytest.approx(getattr(_PRIOR, name))

    def test_speeds_are_learned_and_decay(self) -> None:
        speeds = endpoint_speeds.ServiceSpeeds()
        endpoint, slow = _learn(speeds, [0.7, 1.3], [None, None], count=300)
        known = speeds.speed("llm", endpoint, 3e4)
        assert known.prefill_tokens_per_ms == pytest.approx(285.0, rel=0.15)
        assert known.full_batch_ms == pytest.approx(34.0, rel=0.25)
        assert known.excess_ms < 0.0 < speeds.speed("llm", slow, 3e4).excess_ms
        later = speeds.speed("llm", endpoint, 1e6)
        assert later.full_batch_ms == pytest.approx(_PRIOR.full_batch_ms)

    def test_false_report_of_speed_gains_nothing(self) -> None:
        speeds = endpoint_speeds.ServiceSpeeds()
        true, false = _learn(speeds, [1.0, 1.0], [100, 25])
        excess_ms = [
            speeds.speed("llm", each, 6_000.0).excess_ms
            for each in (true, false)
        ]
        assert excess_ms[1] > excess_ms[0] - 15.0

    def test_memory_is_bounded(self) -> None:
        speeds = endpoint_speeds.ServiceSpeeds(max_services=2)
        sample = endpoint_speeds.StreamSample(
            uncached_tokens=0,
            batch=0.0,
            first_ms=1e9,
            gap_ms=0.0,
            events=0,
            slowness_percent=None,
        )
        for name in "abc":
            endpoint = endpoint_speeds.EndpointSpeed()
            speeds.record(name, "e", endpoint, sample, 0.0)
        assert list(speeds.describe(0.0)) == ["b", "c"]
        metrics = gateway_metrics.GatewayMetrics()
        metrics.set_speeds(speeds.describe(0.0))
        assert b'{name="step_ms",service="b"}' in metrics.text()
