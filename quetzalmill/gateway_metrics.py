"""Counters and latency histograms of a gateway, in the Prometheus format."""

import prometheus_client

from quetzalmill import dispatch_job

LATENCY_BUCKETS_S = (0.01, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1.0, 2.0, 4.0)
"""Bucket bounds of the latency histograms, from the latency of a lookup to the
deadline of a turn."""


class GatewayMetrics:
    """The metrics of one gateway."""

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._requests = prometheus_client.Counter(
            "quetzalmill_requests",
            "Requests of callers by route and outcome.",
            ["route", "outcome"],
            registry=self._registry,
        )
        self._latency = prometheus_client.Histogram(
            "quetzalmill_request_seconds",
            "Time from a request's arrival to the end of its answer.",
            ["outcome"],
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._answers = prometheus_client.Counter(
            "quetzalmill_endpoint_answers",
            "Heads of final responses by whose request they name (own, unnamed,"
            " foreign) and what they were taken for.",
            ["correlation", "verdict"],
            registry=self._registry,
        )
        self._claims = prometheus_client.Histogram(
            "quetzalmill_claim_seconds",
            "Time that claims of partitions of budgets took, by outcome.",
            ["outcome"],
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._drain_notices = prometheus_client.Counter(
            "quetzalmill_endpoints_leaving",
            "Endpoints that were heard to leave, by what said so first.",
            ["source"],
            registry=self._registry,
        )
        self._last_requests = prometheus_client.Histogram(
            "quetzalmill_endpoint_last_request_seconds",
            "Time from an endpoint's first sign of leaving to the last request"
            " sent there; 0 if none was sent.",
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._cold_requests = prometheus_client.Counter(
            "quetzalmill_cold_requests",
            "Requests that concerned a cold endpoint, by what was decided.",
            ["decision"],
            registry=self._registry,
        )
        self._home_refusals = prometheus_client.Counter(
            "quetzalmill_home_refusals",
            "Requests refused as no endpoint in their home regions could serve"
            " them.",
            ["route"],
            registry=self._registry,
        )
        self._object_choices = prometheus_client.Counter(
            "quetzalmill_object_choices",
            "Requests about an object on sticky routes, by whether the last"
            " chosen endpoint was a preferred one (preferred, other).",
            ["route", "choice"],
            registry=self._registry,
        )
        self._memory_actions = prometheus_client.Counter(
            "quetzalmill_memory_actions",
            "What was done for lack of memory or connections, by the kind of"
            " the charge.",
            ["action", "kind"],
            registry=self._registry,
        )
        self._hedges = prometheus_client.Counter(
            "quetzalmill_hedges",
            "Slow requests of safe routes by what became of the last hedge"
            " (first_won, hedge_won, both_failed, caller_left) or why none was"
            " sent (no_attempt_left, no_endpoint, no_capacity, limit).",
            ["route", "result"],
            registry=self._registry,
        )
        self._gauges = prometheus_client.Gauge(
            "quetzalmill_state",
            "What the gateway believes, by name.",
            ["name"],
            registry=self._registry,
        )

        self._speeds = prometheus_client.Gauge(
            "quetzalmill_learned_speed",
            "Learned speeds of the average engine of a service, by name.",
            ["service", "name"],
            registry=self._registry,
        )

    def request(self, outcome: str, route: str, took_ms: float) -> None:
        """Counts a request that has ended."""
        self._requests.labels(route, outcome).inc()
        self._latency.labels(outcome).observe(took_ms / 1000.0)

    def answer(self, correlation: str, verdict: str) -> None:
        """Counts the head of an endpoint's response.

        Args:
            correlation: Whose request it names.
            verdict: What it was taken for.
        """
        self._answers.labels(correlation, verdict).inc()

    def claim(self, succeeded: bool, took_ms: float) -> None:
        """Records the duration of a claim of a budget partition."""
        outcome = "claimed" if succeeded else "failed"
        self._claims.labels(outcome).observe(took_ms / 1000.0)

    def record_drain_notice(self, source: str) -> None:
        """Counts an endpoint that announced its drain."""
        self._drain_notices.labels(source).inc()

    def record_drained(self, last_request_ms: float) -> None:
        """Records the removal of a draining endpoint.

        Args:
            last_request_ms: The time from the drain notice to the last request.
        """
        self._last_requests.observe(last_request_ms / 1000.0)

    def cold_request(self, decision: str) -> None:
        """Counts a request that concerned a cold endpoint."""
        self._cold_requests.labels(decision).inc()

    def home_refusal(self, route: str) -> None:
        """Counts a request that its home regions could not serve."""
        self._home_refusals.labels(route).inc()

    def dispatched(self, job: dispatch_job.Job) -> None:
        """Counts what dispatching a request has met."""
        if job.affinity:
            self.object_choice(job.route.name, job.affinity)
        if job.hedge:
            self._hedges.labels(job.route.name, job.hedge).inc()
        for answer in job.answers:
            self.answer(answer.correlation, answer.verdict)

    def object_choice(self, route: str, choice: str) -> None:
        """Counts a request about an object.

        Args:
            route: Its route.
            choice: Whether it went to a preferred endpoint.
        """
        self._object_choices.labels(route, choice).inc()

    def memory_action(self, action: str, kind: str) -> None:
        """Counts what was done for lack of memory or connections."""
        self._memory_actions.labels(action, kind).inc()

    def set_state(self, name: str, value: float) -> None:
        """Sets a gauge of the gateway's local view."""
        self._gauges.labels(name).set(value)

    def set_speeds(self, speeds: dict[str, dict[str, float]]) -> None:
        """Sets the gauges of learned speeds, by service and name."""
        self._speeds.clear()
        for service, values in speeds.items():
            for name, value in values.items():
                self._speeds.labels(service, name).set(value)

    def text(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)
