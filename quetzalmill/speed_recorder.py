"""Measures responses and records what they show of endpoints' speeds."""

from typing import Any

import attrs

from quetzalmill import clock as clock_module
from quetzalmill import crossing_cost
from quetzalmill import dispatch_job
from quetzalmill import endpoint_pool
from quetzalmill import endpoint_record
from quetzalmill import endpoint_speeds
from quetzalmill import gateway_calls
from quetzalmill import gateway_outcomes as outcomes

MIN_TIMED_EVENTS = 8
"""Events from which on the time between them is measured. Pieces hold several
events, so the time of fewer would depend on how they were cut."""

MAX_HELD_FRACTION = 0.2
"""Fraction of the time of a stream from which on it counts as held up here."""

_MIN_FIRST_MS = 1.0
_SERVER_ERROR = 500


@attrs.define(kw_only=True)
class Timer:
    """Measures when the events of a stream arrive.

    Attributes:
        clock: The process's clock.
        sent_ms: When the request was sent.
        is_resumed: Whether the response continues another endpoint's stream.
        first_ms: When the first event arrived; None before.
        last_ms: When the last event arrived.
        events: How many arrived.
        held_ms: Time that was not spent waiting for the endpoint.
    """

    clock: clock_module.Clock
    sent_ms: float
    is_resumed: bool
    first_ms: float | None = None
    last_ms: float = 0.0
    events: int = 0
    held_ms: float = 0.0

    def record(self, events: int, received_ms: float) -> None:
        """Records events that arrived together."""
        if events:
            if self.first_ms is None:
                self.first_ms = received_ms
            self.last_ms = received_ms
            self.events += events

    def gap_ms(self) -> float | None:
        """Returns the average time between events.

        None if there are too few, or if the caller or its budget held up the
        stream, so that events waited to be read.
        """
        if self.first_ms is None or self.events < MIN_TIMED_EVENTS:
            return None
        elapsed_ms = self.last_ms - self.first_ms
        if self.held_ms > MAX_HELD_FRACTION * elapsed_ms:
            return None
        return elapsed_ms / (self.events - 1)


class SpeedRecorder:
    """Records the speeds of engines.

    Args:
        failure_domain: The gateway's failure domain.

    Attributes:
        speeds: The learned speeds.
    """

    def __init__(self, failure_domain: str) -> None:
        self._failure_domain = failure_domain
        self.speeds = endpoint_speeds.ServiceSpeeds()

    def record(
        self,
        job: dispatch_job.Job,
        endpoint_state: endpoint_record.EndpointState,
        load: gateway_calls.Load | None,
        timer: Timer,
        outcome: dispatch_job.SendResult,
    ) -> None:
        """Records a response that has ended.

        Args:
            job: The request.
            endpoint_state: The endpoint.
            load: The load that the response reported.
            timer: The times of its events.
            outcome: The result.
        """
        match outcome:
            case outcomes.Streamed():
                # A cold endpoint is slow for a known time only.
                if (
                    job.service.is_engine
                    and not timer.is_resumed
                    and endpoint_state.cold_until_ms <= timer.sent_ms
                ):
                    self._record_speed(
                        job, endpoint_state, load, timer, outcome
                    )

    def describe(
        self, pool: endpoint_pool.EndpointPool, now_ms: float
    ) -> dict[str, Any]:
        """Returns what was learned of services and of their endpoints."""
        return {
            "services": self.speeds.describe(now_ms),
            "endpoints": {
                known.endpoint.endpoint_id: {
                    "service": known.endpoint.service,
                    **endpoint_speeds.describe(known.speed, now_ms),
                    "latency_ratio": round(known.health.slowness(now_ms), 2),
                }
                for known in pool.all()
            },
        }

    def slowed_endpoints(
        self, pool: endpoint_pool.EndpointPool, now_ms: float
    ) -> int:
        """Returns how many endpoints are known to be slow now."""
        return sum(
            endpoint_speeds.is_slow(known.speed, now_ms) for known in pool.all()
        )

    def _record_speed(
        self,
        job: dispatch_job.Job,
        endpoint_state: endpoint_record.EndpointState,
        load: gateway_calls.Load | None,
        timer: Timer,
        streamed: outcomes.Streamed,
    ) -> None:
        endpoint = endpoint_state.endpoint
        if timer.first_ms is None:
            return
        first_ms = timer.first_ms - timer.sent_ms
        if endpoint.failure_domain != self._failure_domain:
            first_ms -= crossing_cost.CROSS_DOMAIN_MS
        waited = job.load >= endpoint.slots or (
            load is not None and load.waiting > 0
        )
        batch = job.load + 1 if load is None else load.running
        self.speeds.record(
            job.service.name,
            endpoint.endpoint_id,
            endpoint_state.speed,
            endpoint_speeds.StreamSample(
                uncached_tokens=job.uncached_tokens,
                batch=min(1.0, batch / max(1, endpoint.slots)),
                first_ms=None if waited else max(_MIN_FIRST_MS, first_ms),
                gap_ms=timer.gap_ms(),
                events=streamed.events if streamed.complete else None,
                slowness_percent=None
                if load is None
                else load.slowness_percent,
            ),
            timer.clock.now_ms(),
        )
