"""The desired state of a gateway: routes, services, teams and their keys.

The platform's operator publishes it as one document with a version. It is
decoded at the boundary into the immutable types here.
"""

import enum

import attrs

from quetzalmill import http_message


class RetryMode(enum.Enum):
    """Whether a request may be retried.

    SAFE may run any number of times, UNSAFE and STREAM at most once.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@attrs.frozen(kw_only=True)
class WeightedService:
    """A service of a route, with the weight of its share of requests."""

    service: str
    weight: float


@attrs.frozen(kw_only=True)
class Route:
    """How requests for one host and path prefix are served.

    Attributes:
        name: The route's name.
        host: The host that a request must name.
        path_prefix: The prefix of its paths.
        retry_mode: Whether a request may be retried.
        timeout_ms: The longest time that a request may take.
        target_latency_ms: The time within which a response is on time.
        priority: Its rank; 0 is the highest.
        shares: The services that serve it, weighted.
        max_attempts: The most endpoints that may run one request.
        public: Whether no key is needed.
        stateful: Whether its requests are turns of stored conversations.
        retention_ms: How long a stored turn can be continued.
        max_event_gap_ms: The longest pause between events that is on time.
        resumable: Whether an interrupted stream may continue at another
            endpoint.
        home_regions: The regions that may serve it; empty for all. The empty
            name in it stands for a list that could not be read.
        is_sticky: Whether requests about the same object prefer the endpoint
            that handled it recently.
    """

    name: str
    host: str
    path_prefix: str
    retry_mode: RetryMode
    timeout_ms: float
    target_latency_ms: float
    priority: int
    shares: tuple[WeightedService, ...]
    max_attempts: int
    public: bool
    stateful: bool
    retention_ms: float
    max_event_gap_ms: float
    resumable: bool = False
    home_regions: frozenset[str] = frozenset()
    is_sticky: bool = False

    @property
    def is_safe(self) -> bool:
        """Whether a request may run more than once, at any endpoint."""
        return self.retry_mode is RetryMode.SAFE

    @property
    def is_retryable(self) -> bool:
        """Whether a request may run more than once, or a stream go on."""
        return self.is_safe or self.resumable


@attrs.frozen(kw_only=True)
class Service:
    """A kind of endpoint.

    Attributes:
        name: The service's name.
        max_connections: The most connections that one endpoint accepts.
        slots: Requests that an engine batches; 0 for a plain service.
        memory_tokens: The size of an engine's KV cache; 0 for a plain service.
        event_tokens: Tokens in one event of an engine's stream.
        cold_start_ms: How long an endpoint is cold after its start.
        cold_per_s: Requests that a cold endpoint may get in a second; 0 for no
            limit.
    """

    name: str
    max_connections: int
    slots: int
    memory_tokens: int
    event_tokens: int
    cold_start_ms: float = 0.0
    cold_per_s: float = 0.0

    @property
    def is_engine(self) -> bool:
        """Whether its endpoints run a language model."""
        return self.memory_tokens > 0


@attrs.frozen(kw_only=True)
class Team:
    """A team that callers belong to.

    Attributes:
        name: The team's name.
        priority: Overrides the priority of routes; None for no override.
        rate_per_s: Requests per second over all gateways; 0 for no limit.
        burst: Requests that it may send at once beyond the rate.
        home_regions: The regions that may serve it; as for routes.
    """

    name: str
    priority: int | None
    rate_per_s: float
    burst: float
    home_regions: frozenset[str] = frozenset()


@attrs.frozen(kw_only=True)
class RouteTable:
    """One version of the desired state.

    Attributes:
        version: Grows with each change.
        routes: All routes.
        services: Services by name.
        teams: Teams by name.
        team_of_key: Names of teams by key.
        limits: The limits of a caller's connection.
        document: The bytes that it was decoded from, which peers may fetch.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    teams: dict[str, Team]
    team_of_key: dict[str, str] = attrs.field(repr=False)
    limits: http_message.Limits
    document: bytes = attrs.field(repr=False)

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix, or None."""
        best: Route | None = None
        for route in self.routes:
            if route.host != host or not path.startswith(route.path_prefix):
                continue
            if best is None or len(route.path_prefix) > len(best.path_prefix):
                best = route
        return best

    def lowest_priority(self, service: str) -> int:
        """Returns the lowest priority among the routes of a service."""
        return max(
            (
                route.priority
                for route in self.routes
                if any(share.service == service for share in route.shares)
            ),
            default=0,
        )

    def team_for(self, key: str) -> Team | None:
        """Returns the team that a key belongs to, or None."""
        name = self.team_of_key.get(key)
        return None if name is None else self.teams.get(name)
