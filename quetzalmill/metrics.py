"""The metrics that processes send to statsd, and the table of their names.

Sending never blocks the loop: a datagram that the socket cannot accept
immediately is dropped. Without an address every call does nothing.
"""

import enum
import re

import attrs
import statsd

from quetzalmill import settings_rules

_SPECIAL_CHARACTERS = re.compile(r"[^A-Za-z0-9_-]")


class Kind(enum.Enum):
    """How statsd aggregates the values of a metric."""

    COUNTER = "counter"
    GAUGE = "gauge"
    TIMER = "timer"


@attrs.frozen
class Metric:
    """A metric, whose full name starts with ``quetzalmill.<role>.<host>.``.

    Attributes:
        name: Its name after that prefix.
        kind: How statsd aggregates its values.
        unit: The unit of its values.
        part: What a last component of the name identifies, such as the team;
            empty without one.
        meaning: A short description for the table in the documentation.
    """

    name: str
    kind: Kind
    unit: str
    part: str
    meaning: str


def _counter(name: str, unit: str, part: str, meaning: str) -> Metric:
    return Metric(name, Kind.COUNTER, unit, part, meaning)


def _gauge(name: str, unit: str, part: str, meaning: str) -> Metric:
    return Metric(name, Kind.GAUGE, unit, part, meaning)


def _timer(name: str, part: str, meaning: str) -> Metric:
    return Metric(name, Kind.TIMER, "ms", part, meaning)


REQUESTS = _counter("requests", "requests", "team", "requests received")
REFUSALS = _counter("refusals", "requests", "code", "requests refused")
OUTCOMES_UNKNOWN = _counter(
    "outcomes_unknown", "requests", "", "requests answered as outcome unknown"
)
ADMITTED = _counter("admitted", "requests", "team", "requests admitted")
OVER_RATE = _counter(
    "over_rate", "requests", "team", "requests refused over the team's rate"
)
SHARE_ASKS = _counter(
    "share_asks", "messages", "", "asks to a peer to admit requests there"
)
REQUEST_MS = _timer("request_ms", "", "whole time of a request")
FIRST_TOKEN_MS = _timer("first_token_ms", "", "time to the first token")
PROGRAM_MS = _timer("program_ms", "team", "time from a program's start to end")
QUEUE_MS = _timer("queue_ms", "team", "time that a request waited in the queue")
QUEUE_LENGTH = _gauge("queue_length", "requests", "", "requests in the queue")
RUNNING = _gauge("running", "requests", "", "requests that the endpoint runs")
RUNNING_LIMIT = _gauge(
    "running_limit", "requests", "", "requests that may run at once"
)
RETRIES = _counter("retries", "requests", "", "attempts after the first")
RETRIES_REFUSED = _counter(
    "retries_refused", "requests", "", "retries that the retry budget refused"
)
STALE_ANSWERS = _counter(
    "stale_answers", "frames", "", "answers dropped that match no request"
)
PROGRAMS = _gauge("programs", "programs", "", "programs whose home is here")
TAKEOVERS = _counter("takeovers", "programs", "", "programs taken over")
COMMITS = _counter("commits", "appends", "", "appends of turns to the log")
COMMIT_MS = _timer("commit_ms", "", "time from a turn's end to its commit")
COMMIT_BUFFER_BYTES = _gauge(
    "commit_buffer_bytes", "bytes", "", "turns that await their commit"
)
PROMPT_TOKENS = _counter(
    "prompt_tokens", "tokens", "", "prompt tokens of model calls that ended"
)
PROMPT_TOKENS_COMPUTED = _counter(
    "prompt_tokens_computed",
    "tokens",
    "",
    "those of them that an engine did not have cached",
)
ENGINE_MEMORY_TOKENS = _gauge(
    "engine_memory_tokens", "tokens", "", "tokens held under leases"
)
LEASES_LAPSED = _counter(
    "leases_lapsed", "leases", "", "cached histories freed without an end"
)
ENDPOINT_FAILURES = _counter(
    "endpoint_failures", "failures", "", "times that the endpoint ended"
)
QUARANTINED = _counter(
    "quarantined", "requests", "", "requests put in quarantine"
)
EVACUATED_DOMAINS = _gauge(
    "evacuated_domains", "domains", "", "evacuated failure domains"
)
APPLIED_OFFSET = _gauge(
    "applied_offset", "offset", "", "log offset that is in force here"
)
LOG_ERRORS = _counter("log_errors", "calls", "", "calls to the log that failed")
PEERS_LIVE = _gauge("peers_live", "processes", "", "peers heard in time")
CONTROL_MESSAGES = _counter(
    "control_messages", "messages", "", "control messages sent"
)
CONTROL_BYTES = _counter("control_bytes", "bytes", "", "control bytes sent")

METRICS: tuple[Metric, ...] = tuple(
    value for value in list(globals().values()) if isinstance(value, Metric)
)
"""Every metric, in the order of the table in the documentation."""


class Metrics:
    """Sends one process's metrics."""

    def __init__(self, address: str | None, role: str, host: str) -> None:
        """Opens the socket, if there is an address to send to.

        Args:
            address: ``IP:port`` of statsd, or None to send nothing.
            role: ``entry`` or ``sidecar``.
            host: The process's host name.
        """
        self._client: _Client | None = None
        target = settings_rules.parse_address(address) if address else None
        if target:
            prefix = f"quetzalmill.{role}.{_name_part(host)}"
            self._client = _Client(target, prefix)

    def count(self, metric: Metric, by: int = 1, part: str = "") -> None:
        """Adds ``by`` to a counter."""
        if self._client:
            self._client.incr(_full_name(metric, part), by)

    def gauge(self, metric: Metric, value: float, part: str = "") -> None:
        """Sets a gauge."""
        if self._client:
            self._client.gauge(_full_name(metric, part), value)

    def time(self, metric: Metric, elapsed_ms: float, part: str = "") -> None:
        """Records one duration in a timer."""
        if self._client:
            self._client.timing(_full_name(metric, part), elapsed_ms)

    def close(self) -> None:
        """Closes the socket; later calls do nothing."""
        if self._client:
            self._client.close()
            self._client = None


class _Client(statsd.StatsClient):  # type: ignore[misc]
    """The library's client on a socket that never blocks."""

    def __init__(self, target: settings_rules.Address, prefix: str) -> None:
        super().__init__(target.ip, target.port, prefix, ipv6=":" in target.ip)
        self._sock.setblocking(False)


NONE = Metrics(None, "", "")
"""A sender without an address, which sends nothing."""


def _full_name(metric: Metric, part: str) -> str:
    return f"{metric.name}.{_name_part(part)}" if part else metric.name


def _name_part(text: str) -> str:
    """Replaces the characters that are special in statsd's names."""
    return _SPECIAL_CHARACTERS.sub("_", text)
