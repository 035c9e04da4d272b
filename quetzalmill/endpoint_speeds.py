"""The speeds of endpoints, learned from their responses.

Load pattern: endpoints of one service differ in speed by a factor of two, and
some hosts are slowed for about half a second at a time. With constants for all,
placement sends the slow ones as much work as the fast ones.

What an average endpoint of a service does is learned for the service: the time
to the first event against the uncached prompt, and the time between events
against the fraction of the slots in use. Each endpoint adds its own ratios to
these averages, and the current slowness that it reports. The ratios are taken
after the reported slowness, so a false report is undone by the ratio that it
leads to. All measurements decay, so that an endpoint that gets little work
because it was slow counts as average again, and is tried.
"""

import math
from typing import Any

import attrs

from quetzalmill import logs

PRIOR_PREFILL_TOKENS_PER_MS = 70.0
"""Prefill speed of an engine; the order of magnitude of current engines."""

PRIOR_FULL_BATCH_MS = 120.0
"""How much longer a turn takes in a full batch than alone."""

PRIOR_EVENTS = 60.0
"""Events of a turn."""

PRIOR_FIRST_EVENT_MS = 30.0
"""Time to the first event with the whole prompt cached; 17 to 45 ms are seen on
the engines in use."""

PRIOR_STEP_MS = 2.3
"""Time between two events of a turn that runs alone."""

PRIOR_WEIGHT = 3.0
"""How many measurements each prior counts as. A gateway sends to an endpoint
about once in several seconds, so few measurements have to do."""

DECAY_MS = 30_000.0
"""Time constant of the decay of measurements, several times the interval
between two requests of one gateway to one endpoint. Shorter disturbances are
covered by the reported slowness and by ``endpoint_health``."""

SLOWNESS_DECAY_MS = 400.0
"""Time constant with which a reported slowness returns to normal. Hosts are
slowed for about 600 ms at a time, and the report comes at any point of it."""

SLOW_RATIO = 1.5
"""Ratio to the average time from which on an endpoint is logged as slow."""

NORMAL_RATIO = 1.2
"""Ratio below which a slow endpoint is logged as normal again."""

_TYPICAL_UNCACHED_TOKENS = 1_000.0
_TYPICAL_BATCH = 0.5
_MAX_RATIO = 12.0
_MIN_RATIO = 1.0 / _MAX_RATIO
_MAX_OUTLIER = 3.0
"""How many times the expected time a measurement counts as in the average of a
service, so that one faulty endpoint does not change it much."""
_MAX_CORRECTION = 20.0
"""How many times its prior a learned speed may be at most, or the prior it."""

_MAX_SERVICES = 1_024
_NORMAL_PERCENT = 100.0

_log = logs.get("endpoint_speeds")


@attrs.define(kw_only=True)
class _Line:
    """A line fitted to decaying measurements, with a prior for each term.

    Attributes:
        prior_base: The value at 0 without measurements.
        prior_slope: The slope without measurements.
        typical_x: How far from 0 measurements usually are.
    """

    prior_base: float
    prior_slope: float
    typical_x: float
    _decayed_ms: float = 0.0
    _count: float = 0.0
    _x: float = 0.0
    _xx: float = 0.0
    _y: float = 0.0
    _xy: float = 0.0

    def record(self, x: float, y: float, now_ms: float) -> None:
        """Records a measurement; one far from the line is limited."""
        y = min(y, _MAX_OUTLIER * self.at(x, now_ms))
        self._count += 1.0
        self._x += x
        self._xx += x * x
        self._y += y
        self._xy += x * y

    def at(self, x: float, now_ms: float) -> float:
        """Returns the expected value."""
        base, slope = self.terms(now_ms)
        return base + slope * x

    def terms(self, now_ms: float) -> tuple[float, float]:
        """Returns the value at 0 and the slope, by ridge regression."""
        left = _left(now_ms - self._decayed_ms, DECAY_MS)
        self._decayed_ms = now_ms
        self._count *= left
        self._x *= left
        self._xx *= left
        self._y *= left
        self._xy *= left
        prior_xx = PRIOR_WEIGHT * self.typical_x**2
        count, xx = PRIOR_WEIGHT + self._count, prior_xx + self._xx
        y = PRIOR_WEIGHT * self.prior_base + self._y
        xy = prior_xx * self.prior_slope + self._xy
        scale = count * xx - self._x**2
        return (
            _near(self.prior_base, (xx * y - self._x * xy) / scale),
            _near(self.prior_slope, (count * xy - self._x * y) / scale),
        )


@attrs.define
class _Ratio:
    """The average ratio to an expected value; 1 without measurements."""

    _decayed_ms: float = 0.0
    _count: float = 0.0
    _total: float = 0.0

    def record(self, ratio: float, now_ms: float) -> None:
        """Records a measurement."""
        self.value(now_ms)
        self._count += 1.0
        self._total += min(max(ratio, _MIN_RATIO), _MAX_RATIO)

    def value(self, now_ms: float) -> float:
        """Returns the average."""
        left = _left(now_ms - self._decayed_ms, DECAY_MS)
        self._decayed_ms = now_ms
        self._count *= left
        self._total *= left
        return (PRIOR_WEIGHT + self._total) / (PRIOR_WEIGHT + self._count)


@attrs.define(eq=False)
class EndpointSpeed:
    """The speed of one endpoint instance relative to its service's average.

    Attributes:
        first: Ratio of its times to the first event.
        step: Ratio of its times between events.
        is_slow: Whether it was logged as slow.
    """

    first: _Ratio = attrs.field(factory=_Ratio)
    step: _Ratio = attrs.field(factory=_Ratio)
    is_slow: bool = False
    _reported: float = 1.0
    _reported_ms: float = float("-inf")

    def record_slowness(self, percent: int | None, now_ms: float) -> None:
        """Records a reported slowness, where 100 is normal."""
        if percent is not None:
            self._reported = _ratio(percent)
            self._reported_ms = now_ms

    def slowness(self, now_ms: float) -> float:
        """Returns the current slowness, where 1 is normal."""
        age_ms = now_ms - self._reported_ms
        return 1.0 + (self._reported - 1.0) * _left(age_ms, SLOWNESS_DECAY_MS)


@attrs.frozen(kw_only=True)
class Speed:
    """The speed of an endpoint now, as estimates use it.

    Attributes:
        slowness: How long work takes there, where 1 is normal.
        prefill_tokens_per_ms: Prompt tokens computed in a millisecond.
        full_batch_ms: How much longer a turn takes in a full batch than alone.
        excess_ms: How much longer a turn alone takes than at an average
            endpoint of the service.
        wait_ratio: How long waiting takes there, where 1 is average.
    """

    slowness: float = 1.0
    prefill_tokens_per_ms: float = PRIOR_PREFILL_TOKENS_PER_MS
    full_batch_ms: float = PRIOR_FULL_BATCH_MS
    excess_ms: float = 0.0
    wait_ratio: float = 1.0


@attrs.frozen(kw_only=True)
class StreamSample:
    """What one stream of an engine showed.

    Attributes:
        uncached_tokens: Prompt tokens that the engine had not cached.
        batch: Fraction of the slots in use, with the stream's own.
        first_ms: Time from the send to the first event; None if it waited for
            a slot or started in the middle.
        gap_ms: Average time between events; None if unknown.
        events: The number of events; None if it did not run to its end.
        slowness_percent: The slowness that the response reported; None without
            a report.
    """

    uncached_tokens: int
    batch: float
    first_ms: float | None
    gap_ms: float | None
    events: int | None
    slowness_percent: int | None


@attrs.define
class _Average:
    """The times of the average endpoint of a service.

    Attributes:
        line: The expected times.
        ratio: The average of the endpoints' ratios.
    """

    line: _Line
    ratio: _Ratio = attrs.field(factory=_Ratio)

    def record(
        self, ratio: _Ratio, x: float, took_ms: float, now_ms: float
    ) -> None:
        """Records a measurement of an endpoint.

        The line is fitted to what an average endpoint would have taken, as the
        differences between endpoints would hide its slope.
        """
        ratio.record(took_ms / self.line.at(x, now_ms), now_ms)
        own = ratio.value(now_ms)
        self.ratio.record(own, now_ms)
        self.line.record(x, took_ms * self.ratio.value(now_ms) / own, now_ms)


@attrs.define
class _Service:
    first: _Average = attrs.field(
        factory=lambda: _Average(
            _Line(
                prior_base=PRIOR_FIRST_EVENT_MS,
                prior_slope=1.0 / PRIOR_PREFILL_TOKENS_PER_MS,
                typical_x=_TYPICAL_UNCACHED_TOKENS,
            )
        )
    )
    step: _Average = attrs.field(
        factory=lambda: _Average(
            _Line(
                prior_base=PRIOR_STEP_MS,
                prior_slope=PRIOR_FULL_BATCH_MS / PRIOR_EVENTS,
                typical_x=_TYPICAL_BATCH,
            )
        )
    )
    events: _Ratio = attrs.field(factory=_Ratio)


class ServiceSpeeds:
    """The average speeds of the engines of each service.

    Beyond the limit, the service recorded longest ago is forgotten.
    """

    def __init__(self, max_services: int = _MAX_SERVICES) -> None:
        self._max_services = max_services
        self._services: dict[str, _Service] = {}

    def record(
        self,
        service_name: str,
        endpoint_id: str,
        endpoint: EndpointSpeed,
        sample: StreamSample,
        now_ms: float,
    ) -> None:
        """Records the times of a stream."""
        service = self._services.pop(service_name, None) or _Service()
        self._services[service_name] = service
        if len(self._services) > self._max_services:
            del self._services[next(iter(self._services))]
        slowness = _ratio(sample.slowness_percent)
        for average, ratio, x, took_ms in (
            (
                service.first,
                endpoint.first,
                float(sample.uncached_tokens),
                sample.first_ms,
            ),
            (service.step, endpoint.step, sample.batch, sample.gap_ms),
        ):
            if took_ms is not None:
                average.record(ratio, x, took_ms / slowness, now_ms)
        if sample.events is not None:
            service.events.record(sample.events / PRIOR_EVENTS, now_ms)
        _log_change(service_name, endpoint_id, endpoint, now_ms)

    def speed(
        self,
        service_name: str,
        endpoint: EndpointSpeed,
        now_ms: float,
    ) -> Speed:
        """Returns the speed of an endpoint now."""
        service = self._services.get(service_name) or _Service()
        slowness = endpoint.slowness(now_ms)
        first = slowness * endpoint.first.value(now_ms)
        step = slowness * endpoint.step.value(now_ms)
        first_ms, token_ms = service.first.line.terms(now_ms)
        step_ms, full_step_ms = service.step.line.terms(now_ms)
        events = PRIOR_EVENTS * service.events.value(now_ms)
        return Speed(
            slowness=slowness,
            prefill_tokens_per_ms=1.0 / (token_ms * first),
            full_batch_ms=events * full_step_ms * step,
            excess_ms=first_ms * (first - 1.0)
            + events * step_ms * (step - 1.0),
            wait_ratio=step,
        )

    def describe(self, now_ms: float) -> dict[str, dict[str, float]]:
        """Returns the learned averages of each service."""
        described = {}
        for name, service in self._services.items():
            first_ms, token_ms = service.first.line.terms(now_ms)
            step_ms, full_step_ms = service.step.line.terms(now_ms)
            events = PRIOR_EVENTS * service.events.value(now_ms)
            described[name] = {
                "first_event_ms": round(first_ms, 1),
                "prefill_tokens_per_ms": round(1.0 / token_ms, 1),
                "step_ms": round(step_ms, 2),
                "full_batch_step_ms": round(step_ms + full_step_ms, 2),
                "events": round(events, 1),
            }
        return described


def describe(endpoint: EndpointSpeed, now_ms: float) -> dict[str, Any]:
    """Returns the learned ratios of an endpoint and its slowness."""
    return {
        "first_ratio": round(endpoint.first.value(now_ms), 2),
        "step_ratio": round(endpoint.step.value(now_ms), 2),
        "slowness": round(endpoint.slowness(now_ms), 2),
    }


def is_slow(endpoint: EndpointSpeed, now_ms: float) -> bool:
    """Returns whether work now takes clearly longer than on average."""
    slowness = endpoint.slowness(now_ms)
    return slowness * endpoint.step.value(now_ms) > SLOW_RATIO


def _log_change(
    service_name: str,
    endpoint_id: str,
    endpoint: EndpointSpeed,
    now_ms: float,
) -> None:
    step = endpoint.step.value(now_ms)
    is_slow = step > (NORMAL_RATIO if endpoint.is_slow else SLOW_RATIO)
    if is_slow != endpoint.is_slow:
        endpoint.is_slow = is_slow
        _log.info(
            "endpoint_slow" if is_slow else "endpoint_speed_normal",
            service=service_name,
            endpoint=endpoint_id,
            step_ratio=round(step, 2),
        )


def _ratio(percent: int | None) -> float:
    """Returns a reported slowness as a ratio; 1 without a report."""
    if percent is None:
        return 1.0
    return min(max(percent / _NORMAL_PERCENT, _MIN_RATIO), _MAX_RATIO)


def _left(elapsed_ms: float, decay_ms: float) -> float:
    return math.exp(-max(0.0, elapsed_ms) / decay_ms)


def _near(prior: float, value: float) -> float:
    return min(max(value, prior / _MAX_CORRECTION), prior * _MAX_CORRECTION)
