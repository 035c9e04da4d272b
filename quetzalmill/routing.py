"""Finds the endpoints that may run a call and chooses one.

It combines the published selectors with the known loads and caches, and
counts what this process has sent since the last load report.
"""

import attrs

from quetzalmill import clock as clock_module
from quetzalmill import configuration
from quetzalmill import fleet_view
from quetzalmill import messages
from quetzalmill import objects
from quetzalmill import placement
from quetzalmill import selectors

SAME_DOMAIN_DELAY_MS = 0.3
"""Assumed one-way delay to another host of the same failure domain."""

OTHER_DOMAIN_DELAY_MS = 4.0
"""Assumed one-way delay to a host of another failure domain."""


@attrs.define(kw_only=True, eq=False)
class SentAttempt:
    """An attempt that this process has sent to an endpoint."""

    endpoint: str
    units: float
    at_ms: float


@attrs.frozen(kw_only=True)
class Target:
    """The endpoint chosen for an attempt.

    Attributes:
        endpoint: Its name.
        host: The host whose sidecar serves it.
    """

    endpoint: str
    host: str


class Router:
    """Chooses endpoints for the calls of one home."""

    def __init__(
        self,
        host: str,
        failure_domain: str,
        *,
        config: configuration.Configuration,
        fleet: fleet_view.FleetView,
        chooser: placement.Placement,
        report_lag_ms: float,
        clock: clock_module.Clock,
    ) -> None:
        self._host = host
        self._failure_domain = failure_domain
        self._config = config
        self._fleet = fleet
        self._chooser = chooser
        self._report_lag_ms = report_lag_ms
        self._clock = clock
        self._sent: list[SentAttempt] = []

    def matching(
        self, kind: messages.CallKind, target: str
    ) -> dict[str, objects.EndpointSpec]:
        """Returns all endpoints of a model or route, whether up or down."""
        wanted = objects.ENGINE
        published: objects.ModelSpec | objects.RouteSpec | None
        if kind is messages.CallKind.MODEL:
            published = self._config.model(target)
        else:
            published = self._config.route(target)
            wanted = objects.SERVICE
        if published is None:
            return {}
        selector = selectors.parse(published.selector)
        return {
            name: spec
            for name, spec in self._config.specs(
                objects.ENDPOINT, objects.EndpointSpec
            ).items()
            if spec.kind == wanted and selector.matches(spec.labels)
        }

    def choose(
        self,
        call: messages.Call,
        *,
        prompt_tokens: int,
        cached: dict[str, int],
        excluded: set[str],
    ) -> Target | None:
        """Returns the endpoint for an attempt, None if none accepts work."""
        now_ms = self._clock.now_ms()
        endpoints = self.matching(call.kind, call.target)
        usable = {
            name: spec
            for name, spec in endpoints.items()
            if name not in excluded
            and self._fleet.takes_work(spec.host, now_ms)
            and not self._is_evacuated(spec.host)
            and self._is_up(name)
        }
        candidates = [
            self._candidate(name, spec, cached) for name, spec in usable.items()
        ]
        chosen = self._chooser.choose(candidates, prompt_tokens=prompt_tokens)
        if chosen is None:
            return None
        return Target(
            endpoint=chosen.endpoint, host=usable[chosen.endpoint].host
        )

    def sent(self, endpoint: str, units: float) -> SentAttempt:
        """Records an attempt that is about to be sent to an endpoint."""
        sent = SentAttempt(
            endpoint=endpoint, units=units, at_ms=self._clock.now_ms()
        )
        self._sent.append(sent)
        return sent

    def ended(self, sent: SentAttempt) -> None:
        """Records that an attempt has ended."""
        self._sent.remove(sent)

    def _is_evacuated(self, host: str) -> bool:
        process = self._fleet.process(host)
        return process is not None and self._config.is_evacuated(
            process.failure_domain
        )

    def _is_up(self, endpoint: str) -> bool:
        report = self._fleet.load(endpoint)
        return report is None or report[0].up

    def _candidate(
        self, name: str, spec: objects.EndpointSpec, cached: dict[str, int]
    ) -> placement.Candidate:
        report = self._fleet.load(name)
        at_ms = report[1] if report else 0.0
        unreported = [
            sent
            for sent in self._sent
            if sent.endpoint == name
            and sent.at_ms >= at_ms - self._report_lag_ms
        ]
        outstanding = len(unreported)
        units = sum(sent.units for sent in unreported)
        speed = 0.0
        if report is not None:
            load = report[0]
            outstanding += load.running + load.queued
            units += load.waiting_units
            speed = load.units_per_s
        return placement.Candidate(
            endpoint=name,
            slots=spec.slots,
            outstanding=outstanding,
            waiting_units=units,
            units_per_s=speed,
            cached_tokens=cached.get(name, 0),
            distance_ms=self._distance_ms(spec.host),
        )

    def _distance_ms(self, host: str) -> float:
        if host == self._host:
            return 0.0
        process = self._fleet.process(host)
        if process and process.failure_domain == self._failure_domain:
            return SAME_DOMAIN_DELAY_MS
        return OTHER_DOMAIN_DELAY_MS
