"""The recent health of endpoints, from the responses that gateways received.

Load pattern: an endpoint fails, refuses or delays some of its requests while
its own load report and its other responses are good. Consecutive failures do
not show that, so failures and responses are counted over the last seconds, and
gateways exchange their counts. All counts decay exponentially, so an endpoint
that has recovered gets work again.
"""

import math

import attrs

DECAY_MS = 4_000.0
"""Time constant of the decay of counts; several times the interval between two
requests of one gateway to one endpoint."""

PRIOR_RESPONSES = 8.0
"""Successful responses assumed before any are seen, so that a single failure
among few responses does not exclude an endpoint."""

FAILURE_COST_MS = 1_000.0
"""Cost of a failure to a program: about the time until its turn has been resent
and has made up the lost progress."""

REFUSAL_WEIGHT = 0.5
"""Weight of a refusal relative to a failure if the request certainly did not
run, since another endpoint can still take it."""

OVERDUE_MS = 1_000.0
"""Time to the response head after which a request counts as failed; several
times the average under load."""

PRIOR_LATENCIES = 4.0
"""Average latencies assumed before any are seen, for the same reason as
``PRIOR_RESPONSES``."""

_MAX_SLOWNESS = 12.0
_SMOOTHING = 0.02


@attrs.frozen
class FailureCounts:
    """Decayed counts of failures and responses, as seen by one gateway."""

    failures: float
    answers: float


@attrs.define(kw_only=True)
class Health:
    """The recent health of an endpoint, as seen by one gateway.

    Attributes:
        failures: Failures, decaying.
        answers: Successful responses, decaying.
        latency_count: How many latencies were recorded, decaying.
        latency_ratio_sum: The sum of their ratios to the average, decaying.
        decayed_ms: When the counts were last decayed.
        pending_sent_ms: When each request without a response head was sent.
    """

    failures: float = 0.0
    answers: float = 0.0
    latency_count: float = 0.0
    latency_ratio_sum: float = 0.0
    decayed_ms: float = 0.0
    pending_sent_ms: list[float] = attrs.field(factory=list)

    def record_response(self, now_ms: float) -> None:
        """Counts a successful response."""
        self._decay(now_ms)
        self.answers += 1.0

    def record_failure(self, now_ms: float, weight: float = 1.0) -> None:
        """Counts a failure."""
        self._decay(now_ms)
        self.failures += weight

    def record_latency(self, ratio: float, now_ms: float) -> None:
        """Records a latency as a ratio to the average."""
        self._decay(now_ms)
        self.latency_count += 1.0
        self.latency_ratio_sum += min(ratio, _MAX_SLOWNESS)

    def trouble(self, now_ms: float) -> FailureCounts:
        """Returns the current counts; overdue requests count as failures."""
        self._decay(now_ms)
        overdue = sum(
            now_ms - sent_ms > OVERDUE_MS for sent_ms in self.pending_sent_ms
        )
        return FailureCounts(self.failures + overdue, self.answers)

    def slowness(self, now_ms: float) -> float:
        """Returns its latency as a multiple of the average; 1 if unknown."""
        self._decay(now_ms)
        return (PRIOR_LATENCIES + self.latency_ratio_sum) / (
            PRIOR_LATENCIES + self.latency_count
        )

    def _decay(self, now_ms: float) -> None:
        elapsed_ms = max(0.0, now_ms - self.decayed_ms)
        left = math.exp(-elapsed_ms / DECAY_MS)
        self.decayed_ms = now_ms
        self.failures *= left
        self.answers *= left
        self.latency_count *= left
        self.latency_ratio_sum *= left


class AverageLatencies:
    """The moving average of latencies by route, over all endpoints."""

    def __init__(self) -> None:
        self._average_ms: dict[str, float] = {}

    def record(self, route: str, took_ms: float) -> float:
        """Records a latency; returns its ratio to the previous average."""
        average_ms = self._average_ms.get(route, took_ms)
        self._average_ms[route] = average_ms + _SMOOTHING * (
            took_ms - average_ms
        )
        return took_ms / average_ms if average_ms > 0.0 else 1.0

    def average_ms(self, route: str) -> float:
        """Returns the average latency of a route; 0 if none was recorded."""
        return self._average_ms.get(route, 0.0)


def cost_ms(seen: list[FailureCounts]) -> float:
    """Returns the expected cost of a failure of the next request.

    Args:
        seen: The counts of this gateway and its peers.
    """
    failures = sum(each.failures for each in seen)
    answers = sum(each.answers for each in seen)
    part = failures / (PRIOR_RESPONSES + failures + answers)
    return FAILURE_COST_MS * part
