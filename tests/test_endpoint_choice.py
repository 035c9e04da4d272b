"""Tests of the placement by many gateways with stale load reports."""

import heapq
import random

import attrs
import pytest

from quetzalmill import endpoint_choice
from quetzalmill import endpoint_pool
from quetzalmill import endpoint_record
from quetzalmill import endpoint_speeds

_ENDPOINTS = 19
_SLOTS = 6
_TURN_MS = 250.0
_DURATION_MS = 8_000.0
_MARGIN_MS = 50.0


def _endpoint(number: int, domains: int = 1) -> endpoint_record.Endpoint:
    return endpoint_record.Endpoint(
        endpoint_id=f"llm-{number}",
        service="llm",
        address=f"10.0.0.{number}:80",
        failure_domain="abcd"[number % domains],
        slots=_SLOTS,
        leaving=False,
        started_unix_ms=1,
        cold_ms=0.0,
    )


@attrs.define
class _Gateway:
    """One gateway's view of the endpoints."""

    pool: endpoint_pool.EndpointPool
    endpoint_states: list[endpoint_record.EndpointState]
    received_ms: float
    domain: str
    speeds: endpoint_speeds.ServiceSpeeds = attrs.field(
        factory=endpoint_speeds.ServiceSpeeds
    )


def _gateway(
    received_ms: float, number: int, endpoints: int, domains: int
) -> _Gateway:
    pool = endpoint_pool.EndpointPool()
    for each in range(endpoints):
        pool.update(_endpoint(each, domains), 0.0)
    domain = "abcd"[number % domains]
    return _Gateway(pool, pool.usable("llm", 0.0), received_ms, domain)


@attrs.frozen
class _Result:
    """How requests were placed.

    Attributes:
        met_full: Fraction sent to an endpoint without a free slot.
        crossed: Fraction sent to another failure domain.
        average_ms: Their average duration.
    """

    met_full: float
    crossed: float
    average_ms: float


def _slowness(place: int, now_ms: float) -> float:
    """Returns the slowness of 15% of the hosts for 600 ms at a time."""
    draw = random.Random(f"{place} {now_ms // 600.0}").random()
    return 2.5 if draw < 0.15 else 1.0


def _record(
    speeds: endpoint_speeds.ServiceSpeeds,
    known: endpoint_record.EndpointState,
    times: tuple[float, float, float],
    batch: float,
    slowness: float,
) -> None:
    """Records a stream of 60 events with one report of its host's slowness."""
    sent_ms, took_ms, now_ms = times
    percent = round(100.0 * slowness)
    known.speed.record_slowness(percent, sent_ms)
    speeds.record(
        "llm",
        known.endpoint.endpoint_id,
        known.speed,
        endpoint_speeds.StreamSample(
            uncached_tokens=500,
            batch=batch,
            first_ms=0.15 * took_ms,
            gap_ms=0.85 * took_ms / 60,
            events=60,
            slowness_percent=percent,
        ),
        now_ms,
    )


def _replay(
    gateways: int,
    interval_ms: float,
    load: float,
    *,
    considers_all: bool = False,
    endpoints: int = _ENDPOINTS,
    domains: int = 1,
    prefers_own: bool = True,
    learns: bool | None = None,
) -> _Result:
    """Places the requests of several gateways.

    Args:
        gateways: The number of gateways. Each receives the others' running
            requests once per interval; the reported age is the interval.
        interval_ms: The time between reports.
        load: The fraction of all slots that the requests need.
        considers_all: Whether each request considers all endpoints.
        endpoints: The number of endpoints.
        domains: The number of failure domains.
        prefers_own: Whether gateways prefer their own failure domain.
        learns: Whether gateways learn the speeds of endpoints; None if these
            are equal.
    """
    random_source = random.Random(11)
    fleet = [
        _gateway(
            random_source.uniform(0.0, interval_ms), each, endpoints, domains
        )
        for each in range(gateways)
    ]
    running = [0] * endpoints
    past: list[tuple[float, list[int]]] = [(0.0, list(running))]
    ends: list[tuple[float, int, int, float, float, float]] = []
    per_ms = load * endpoints * _SLOTS / _TURN_MS
    now_ms, total_ms, sent, met_full, crossed = 0.0, 0.0, 0, 0, 0
    while now_ms < _DURATION_MS:
        now_ms += random_source.expovariate(per_ms)
        while ends and ends[0][0] <= now_ms:
            end_ms, place, own, sent_ms, batch, slowness = heapq.heappop(ends)
            running[place] -= 1
            known = fleet[own].endpoint_states[place]
            known.running -= 1
            if learns:
                times = (sent_ms, end_ms - sent_ms, end_ms)
                _record(fleet[own].speeds, known, times, batch, slowness)
        past.append((now_ms, list(running)))
        own = random_source.randrange(gateways)
        gateway = fleet[own]
        if now_ms - gateway.received_ms >= interval_ms:
            gateway.received_ms = now_ms
            old_ms = now_ms - interval_ms / 2.0
            seen = next(each for at, each in reversed(past) if at <= old_ms)
            gateway.pool.apply_peer_running(
                {
                    known.endpoint.endpoint_id: max(0, count - known.running)
                    for known, count in zip(
                        gateway.endpoint_states, seen, strict=True
                    )
                },
                now_ms,
                interval_ms,
            )
        uncached = {
            each.endpoint.endpoint_id: 500 for each in gateway.endpoint_states
        }
        own_domain = {
            each.endpoint.endpoint_id
            for each in gateway.endpoint_states
            if prefers_own and each.endpoint.failure_domain == gateway.domain
        }
        candidates = (
            set(uncached)
            if considers_all
            else endpoint_choice.sample_candidates(
                uncached, random_source, own_domain
            )
        )
        best = endpoint_choice.choose(
            [
                endpoint_choice.estimate(
                    each,
                    uncached_tokens=500,
                    failure_domain=gateway.domain,
                    is_engine=True,
                    now_ms=now_ms,
                    load=None
                    if considers_all
                    else gateway.pool.estimated_load(each, now_ms),
                    margin_ms=_MARGIN_MS if prefers_own else 0.0,
                    speed=gateway.speeds.speed("llm", each.speed, now_ms),
                )
                for each in gateway.endpoint_states
                if each.endpoint.endpoint_id in candidates
            ],
            random_source,
        )
        assert best is not None
        place = gateway.endpoint_states.index(best.endpoint_state)
        sent += 1
        met_full += running[place] >= _SLOTS
        crossed += place % domains != own % domains
        running[place] += 1
        best.endpoint_state.running += 1
        batch = min(1.0, running[place] / _SLOTS)
        slowness = 1.0 if learns is None else _slowness(place, now_ms)
        took_ms = _TURN_MS
        if learns is not None:
            queued = max(0, running[place] - _SLOTS) / _SLOTS
            speed = (0.7, 0.9, 1.1, 1.3)[place % 7 % 4]
            took_ms *= (0.7 + 0.4 * batch + queued) * speed * slowness
        total_ms += took_ms
        heapq.heappush(
            ends, (now_ms + took_ms, place, own, now_ms, batch, slowness)
        )
    return _Result(met_full / sent, crossed / sent, total_ms / sent)


_RANDOM_FRACTION = 0.156
"""The fraction of requests that find all slots taken at this load if each goes
to a random endpoint: the probability that a Poisson count with mean 3.6 is at
least 6."""


class TestStaleReports:
    """Requests sent to a full endpoint while others have free slots."""

    @pytest.mark.parametrize(
        ("gateways", "interval_ms"), [(33, 200.0), (84, 500.0), (300, 500.0)]
    )
    def test_gateways_do_not_fill_one_endpoint(
        self, gateways: int, interval_ms: float
    ) -> None:
        """Sampling is not much worse than random choice.

        Choosing the best of all endpoints by stale reports is.
        """
        considering_all = _replay(
            gateways, interval_ms, 0.6, considers_all=True
        ).met_full
        sampling = _replay(gateways, interval_ms, 0.6).met_full
        assert considering_all > 2.0 * _RANDOM_FRACTION
        assert sampling < 1.4 * _RANDOM_FRACTION

    def test_fresh_reports_are_used(self) -> None:
        fraction = _replay(8, 50.0, 0.6).met_full
        assert fraction < 0.6 * _RANDOM_FRACTION


class TestOwnDomain:
    """Billed bytes between failure domains for little or no gain."""

    @pytest.mark.parametrize(("endpoints", "crossed"), [(20, 0.08), (8, 0.25)])
    def test_few_requests_leave_their_domain(
        self, endpoints: int, crossed: float
    ) -> None:
        """Gateways of a domain do not fill its endpoints either."""
        anywhere, own = (
            _replay(
                32,
                200.0,
                0.6,
                endpoints=endpoints,
                domains=4,
                prefers_own=prefers_own,
            )
            for prefers_own in (False, True)
        )
        assert anywhere.crossed > 0.6
        assert own.crossed < crossed
        assert own.met_full < 1.1 * anywhere.met_full

    @pytest.mark.parametrize("is_engine", [True, False])
    @pytest.mark.parametrize(
        ("loads", "uncached", "percent", "stays"),
        [
            ([2, 1, 1], [500] * 3, 100, True),
            ([_SLOTS, 5, 5], [0] * 3, 100, False),
            ([1, 1, 1], [9_000, 0, 9_000], 100, False),
            ([1, 1, 1], [0] * 3, 250, False),
        ],
        ids=["served as well", "full", "cached elsewhere", "slowed"],
    )
    def test_choice(
        self,
        loads: list[int],
        uncached: list[int],
        percent: int,
        stays: bool,
        is_engine: bool,
    ) -> None:
        """A request stays unless another domain is clearly better."""
        speeds = endpoint_speeds.ServiceSpeeds()
        own_speed = endpoint_speeds.EndpointSpeed()
        own_speed.record_slowness(percent, 0.0)
        estimates = [
            endpoint_choice.estimate(
                endpoint_record.EndpointState(endpoint=_endpoint(number, 3)),
                uncached_tokens=uncached[number],
                failure_domain="a",
                is_engine=is_engine,
                now_ms=0.0,
                average_ms=80.0,
                load=loads[number],
                margin_ms=_MARGIN_MS,
                speed=speeds.speed("llm", own_speed, 0.0)
                if number == 0
                else endpoint_speeds.Speed(),
            )
            for number in range(3)
        ]
        best = endpoint_choice.choose(estimates, random.Random(1))
        assert best is not None
        assert best.is_own_domain == stays

    def test_endpoint_elsewhere_with_the_prompt_is_considered(self) -> None:
        uncached = {**dict.fromkeys("abcdefgh", 900), "h": 40}
        for seed in range(50):
            assert "h" in endpoint_choice.sample_candidates(
                uncached, random.Random(seed), "abcd"
            )


class TestSpeeds:
    """Engines of different speeds on hosts that are slowed for a time."""

    def test_learned_speeds_shorten_requests(self) -> None:
        constant, learned = (
            _replay(8, 100.0, 0.5, learns=learns) for learns in (False, True)
        )
        assert learned.average_ms < 0.98 * constant.average_ms

    def test_gateways_do_not_fill_the_fast_endpoints(self) -> None:
        learned = _replay(32, 200.0, 0.6, learns=True)
        assert learned.met_full < 1.4 * _RANDOM_FRACTION


class TestSampleCandidates:
    """Which endpoints are considered for a request."""

    def test_endpoint_with_the_prompt_cached_is_included(self) -> None:
        random_source = random.Random(1)
        uncached = dict.fromkeys("abcdefgh", 900)
        uncached["g"] = 40
        for _ in range(50):
            candidates = endpoint_choice.sample_candidates(
                uncached, random_source
            )
            assert "g" in candidates
            assert len(candidates) <= endpoint_choice.SAMPLE_SIZE + 1

    def test_few_endpoints_are_all_included(self) -> None:
        uncached = dict.fromkeys("ab", 1)
        assert endpoint_choice.sample_candidates(
            uncached, random.Random(1)
        ) == set(uncached)

    def test_no_endpoint(self) -> None:
        assert endpoint_choice.sample_candidates({}, random.Random(1)) == set()
