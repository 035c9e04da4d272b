"""What a gateway knows of one endpoint."""

import math

import attrs

from quetzalmill import endpoint_health
from quetzalmill import endpoint_leaving
from quetzalmill import endpoint_speeds

LOAD_REPORT_TTL_MS = 1_000.0
"""How long an endpoint's own load report is used."""


@attrs.frozen(kw_only=True)
class Endpoint:
    """The registry entry of one endpoint instance.

    Attributes:
        endpoint_id: Its id.
        service: The service that it belongs to.
        address: IP address and port.
        failure_domain: Its failure domain.
        slots: Requests that it runs concurrently.
        leaving: Whether it is draining and takes no new work.
        started_unix_ms: When it started; 0 if unknown.
        cold_ms: How long it stays slow after its start.
    """

    endpoint_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    leaving: bool
    started_unix_ms: int
    cold_ms: float

    def instance(self) -> endpoint_leaving.EndpointInstance:
        """Returns the identity of this instance."""
        return endpoint_leaving.EndpointInstance(
            endpoint_id=self.endpoint_id,
            service=self.service,
            address=self.address,
            started_unix_ms=self.started_unix_ms,
        )


@attrs.define(kw_only=True, eq=False)
class EndpointState:
    """The state of an endpoint as known to a gateway.

    Attributes:
        endpoint: The endpoint.
        running: Requests of this gateway there.
        peers_running: Requests of the other gateways there.
        peers_average: The same, averaged over the last seconds.
        reported_running: Running requests by the endpoint's own report.
        reported_waiting: Waiting requests by the endpoint's own report.
        reported_ms: When that report arrived.
        failures: Consecutive failures to connect or respond.
        down_until_ms: The end of its backoff.
        lapsed_ms: When its entry lapsed, or None.
        cold_until_ms: Until when it is slow after its start.
        stated_cold_until_ms: The same by its responses.
        cold_since_ms: When it was last found to be cold without being told for
            how long.
        health: Its recent health as seen by this gateway.
        speed: Its speed as learned by this gateway.
        peer_failures: The failure counts of the other gateways.
        drain_notice: Its drain notice; None if it has announced no drain.
        drain_reporters: Hosts whose gateways now report that it is draining.
        drain_reported_ms: When a peer first reported so; None if none did.
    """

    endpoint: Endpoint
    running: int = 0
    peers_running: int = 0
    peers_average: float = 0.0
    reported_running: int = 0
    reported_waiting: int = 0
    reported_ms: float = float("-inf")
    failures: int = 0
    down_until_ms: float = 0.0
    lapsed_ms: float | None = None
    cold_until_ms: float = 0.0
    stated_cold_until_ms: float = 0.0
    cold_since_ms: float = float("-inf")
    health: endpoint_health.Health = attrs.field(factory=endpoint_health.Health)
    speed: endpoint_speeds.EndpointSpeed = attrs.field(
        factory=endpoint_speeds.EndpointSpeed
    )
    peer_failures: list[endpoint_health.FailureCounts] = attrs.field(
        factory=list
    )
    drain_notice: endpoint_leaving.DrainNotice | None = None
    drain_reporters: list[str] = attrs.field(factory=list)
    drain_reported_ms: float | None = None

    def failure_cost_ms(self, now_ms: float) -> float:
        """Returns the expected cost of a failure of a request here."""
        own = self.health.trouble(now_ms)
        return endpoint_health.cost_ms([own, *self.peer_failures])

    def all_running(self) -> int:
        """Returns the requests of all gateways there."""
        return self.running + self.peers_running

    def load(self, now_ms: float) -> int:
        """Returns the requests there, by the higher of the two counts."""
        known = self.all_running()
        if now_ms - self.reported_ms > LOAD_REPORT_TTL_MS:
            return known
        return max(known, self.reported_running + self.reported_waiting)

    def estimated_load(
        self, now_ms: float, report_age_ms: float, duration_ms: float
    ) -> float:
        """Returns an estimate of the requests there now from stale reports.

        After ``duration_ms`` the requests in a report have ended and others
        have arrived, so the older the report, the more the average load counts.

        Args:
            now_ms: The current time.
            report_age_ms: The age of ``peers_running``.
            duration_ms: How long a request stays at an endpoint.
        """
        average = self.running + self.peers_average
        reported_age_ms = now_ms - self.reported_ms
        if reported_age_ms < report_age_ms:
            seen = float(self.reported_running + self.reported_waiting)
            report_age_ms = reported_age_ms
        else:
            seen = float(self.all_running())
        weight = math.exp(-max(0.0, report_age_ms) / duration_ms)
        return max(float(self.running), average + weight * (seen - average))
