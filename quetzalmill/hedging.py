"""Decides when a slow request is sent to a second endpoint as well.

Load pattern: a small fraction of the responses takes many times as long as the
others, at endpoints that are otherwise healthy, while the service has spare
capacity. A second attempt (the hedge) that starts once the first is slower than
most responses of its route usually ends before it. If all endpoints are slow
because of an overload, hedges would add to it, so they need spare capacity and
are limited to a fraction of the requests.
"""

from collections.abc import Sequence
import enum
import math
from typing import Literal

import attrs

from quetzalmill import route_table

DELAY_QUANTILE = 0.95
"""Quantile of its route's latencies after which a request is hedged. At most
one request in twenty is then a candidate, as many as usual limits allow."""

MIN_SAMPLES = 20.0
"""Decayed number of responses below which no delay is known; fewer say nothing
of the quantile."""

DECAY_MS = 30_000.0
"""Time constant with which old latencies lose their weight. At ten requests a
second the quantile then rests on about fifteen slow responses."""

MAX_BALANCE = 4.0
"""Hedges that may accumulate while none are needed: any run of ``n`` requests
has at most ``limit * n`` hedges and these."""

MAX_LOAD = 0.7
"""Load per slot of the service from which on it has no spare capacity."""

MAX_LIMIT = 0.2
"""The largest limit that operators may set."""

MAX_ROUTES = 256
"""Routes whose latencies are kept; the one unused for longest is dropped."""

_FIRST_BOUND_MS = 1.0
_BUCKETS_PER_DOUBLING = 4
_BUCKETS = 68


@attrs.frozen(kw_only=True)
class SafeRoute:
    """A route whose requests may run more than once.

    Decisions take this type, whose retry mode admits only one value, so that a
    request that must run once, or a stream, cannot be hedged.

    Attributes:
        name: The route's name.
        max_attempts: The most endpoints that may run one request.
        retry_mode: Always ``SAFE``.
    """

    name: str
    max_attempts: int
    retry_mode: Literal[route_table.RetryMode.SAFE]


def safe_route(route: route_table.Route) -> SafeRoute | None:
    """Returns a route as one with hedges; None if it cannot have any.

    Turns of stored conversations are excluded, as their responses are stored.
    """
    if route.retry_mode is not route_table.RetryMode.SAFE or route.stateful:
        return None
    return SafeRoute(
        name=route.name,
        max_attempts=route.max_attempts,
        retry_mode=route.retry_mode,
    )


class LatencyHistogram:
    """Decaying counts of latencies in fixed logarithmic buckets."""

    def __init__(self) -> None:
        self._counts = [0.0] * _BUCKETS
        self._decayed_ms = 0.0

    def record(self, latency_ms: float, now_ms: float) -> None:
        """Counts a latency."""
        self._decay(now_ms)
        self._counts[_bucket(latency_ms)] += 1.0

    def quantile_ms(self, quantile: float, now_ms: float) -> float | None:
        """Returns a quantile's upper bound; None if too little is known."""
        self._decay(now_ms)
        total = sum(self._counts)
        if total < MIN_SAMPLES:
            return None
        seen = 0.0
        for bucket, count in enumerate(self._counts):
            seen += count
            if seen >= quantile * total:
                return _upper_bound_ms(bucket)
        return _upper_bound_ms(_BUCKETS - 1)

    def _decay(self, now_ms: float) -> None:
        elapsed_ms = now_ms - self._decayed_ms
        # Steps of a second keep the work per response small.
        if elapsed_ms >= 1_000.0:
            factor = math.exp(-elapsed_ms / DECAY_MS)
            self._counts = [count * factor for count in self._counts]
            self._decayed_ms = now_ms


class HedgeBucket:
    """The hedges that a gateway may still send.

    It starts empty, so that the limit also holds after a start.

    Args:
        limit: The maximum of hedges as a fraction of the requests.
    """

    def __init__(self, limit: float) -> None:
        self._limit = limit
        self._balance = 0.0

    def earn(self) -> None:
        """Counts a request of a safe route."""
        self._balance = min(MAX_BALANCE, self._balance + self._limit)

    def take(self) -> bool:
        """Takes one hedge; returns whether there was one."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True


@attrs.frozen(kw_only=True)
class Candidate:
    """A usable endpoint of the request's service.

    Attributes:
        endpoint_id: Its id.
        failure_domain: Its failure domain.
        load: The requests there, as estimated.
        slots: Requests that it runs concurrently.
    """

    endpoint_id: str
    failure_domain: str
    load: float
    slots: int


class Reason(enum.Enum):
    """Why no hedge is sent; the names of a counter's label."""

    NO_ATTEMPT_LEFT = "no_attempt_left"
    NO_ENDPOINT = "no_endpoint"
    NO_CAPACITY = "no_capacity"
    LIMIT = "limit"


@attrs.frozen
class Hedge:
    """A hedge may be sent to one of these endpoints, by id."""

    endpoint_ids: frozenset[str]


@attrs.frozen
class NoHedge:
    """The request waits for its first endpoint."""

    reason: Reason


Decision = Hedge | NoHedge


class Hedging:
    """Decides on the hedges of one gateway.

    Args:
        limit: The maximum of hedges as a fraction of the requests of safe
            routes; 0 for none.
    """

    def __init__(self, limit: float) -> None:
        self._is_enabled = limit > 0.0
        self._bucket = HedgeBucket(min(limit, MAX_LIMIT))
        self._latencies: dict[str, LatencyHistogram] = {}

    def enabled_route(self, route: route_table.Route) -> SafeRoute | None:
        """Returns the route if its requests may be hedged; else None."""
        return safe_route(route) if self._is_enabled else None

    def count_request(self) -> None:
        """Counts a request of a safe route, which earns part of a hedge."""
        self._bucket.earn()

    def record(
        self, route: SafeRoute, latency_ms: float, now_ms: float
    ) -> None:
        """Records the latency of an attempt.

        A cancelled attempt counts with the time until then. Without it, the
        slow responses that hedges replace would be missing, and the delay would
        become shorter and shorter.
        """
        histogram = self._latencies.pop(route.name, None)
        self._latencies[route.name] = histogram or LatencyHistogram()
        self._latencies[route.name].record(latency_ms, now_ms)
        while len(self._latencies) > MAX_ROUTES:
            del self._latencies[next(iter(self._latencies))]

    def delay_ms(self, route: SafeRoute, now_ms: float) -> float | None:
        """Returns how long to wait before a hedge; None if not yet known."""
        histogram = self._latencies.get(route.name)
        if histogram is None:
            return None
        return histogram.quantile_ms(DELAY_QUANTILE, now_ms)

    def decide(
        self,
        route: SafeRoute,
        *,
        sends: int,
        tried: Sequence[str],
        failure_domain: str,
        candidates: Sequence[Candidate],
    ) -> Decision:
        """Decides on a request whose delay is over; takes a hedge if it may.

        Args:
            route: The request's route.
            sends: How many endpoints have received the request.
            tried: The endpoints that were chosen for it.
            failure_domain: The failure domain of the endpoint that runs it.
            candidates: The usable endpoints of its service.
        """
        if sends >= route.max_attempts:
            return NoHedge(Reason.NO_ATTEMPT_LEFT)
        others = [each for each in candidates if each.endpoint_id not in tried]
        # An endpoint is often slow for a reason that its domain shares.
        distant = [
            each for each in others if each.failure_domain != failure_domain
        ]
        others = distant or others
        if not others:
            return NoHedge(Reason.NO_ENDPOINT)
        load = sum(each.load for each in candidates)
        slots = sum(max(1, each.slots) for each in candidates)
        free = frozenset(
            each.endpoint_id
            for each in others
            if each.load + 1.0 <= max(1, each.slots)
        )
        if load >= MAX_LOAD * slots or not free:
            return NoHedge(Reason.NO_CAPACITY)
        if not self._bucket.take():
            return NoHedge(Reason.LIMIT)
        return Hedge(free)


def _bucket(latency_ms: float) -> int:
    if latency_ms <= _FIRST_BOUND_MS:
        return 0
    doublings = math.log2(latency_ms / _FIRST_BOUND_MS)
    return min(_BUCKETS - 1, math.ceil(doublings * _BUCKETS_PER_DOUBLING))


def _upper_bound_ms(bucket: int) -> float:
    return float(_FIRST_BOUND_MS * 2.0 ** (bucket / _BUCKETS_PER_DOUBLING))
