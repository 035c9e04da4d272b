"""The settings of one gateway process."""

from collections.abc import Mapping

import attrs


@attrs.frozen(kw_only=True)
class GatewaySettings:
    """The settings of one gateway.

    Attributes:
        host: Its host.
        failure_domain: Its host's failure domain.
        callers_address: Where callers connect.
        ready_address: Where readiness is served.
        peer_address: Where peers send heartbeats and control calls.
        calls_port: The port of datagram calls, the same on all hosts.
        metrics_address: Where metrics and the state dump are served.
        seeds: Initial addresses of peers.
        parts: The number of partitions of each topic.
        memory_mb: The memory that the process may use.
        link_mbps: The bandwidth of the host's link; 0 if unknown.
        rate_slack: Requests beyond a team's rate that the operators tolerate.
        drain_ms: How long endpoints keep serving after their drain notice.
        grace_ms: The time from SIGTERM to SIGKILL.
        out_of_rotation_ms: The time from reporting not ready until no new
            connections arrive.
        record_bytes: The size of the store's largest record; 0 if unknown.
        cold_over: The factor by which the operators tolerate more requests at
            a cold endpoint than its service's rate.
        cold_slack: The requests that they tolerate beyond that.
        region: The gateway's region; empty if unknown.
        zones: The region of each failure domain.
        max_fds: The descriptors of the host, 200 of them reserved; 0 if
            unknown.
        hedge_limit: The maximum of hedged requests as a fraction of the
            requests of safe routes; 0 for none.
    """

    host: str
    failure_domain: str
    callers_address: str
    ready_address: str
    peer_address: str
    calls_port: int
    metrics_address: str
    seeds: tuple[str, ...]
    parts: int
    memory_mb: float
    link_mbps: float
    rate_slack: float
    drain_ms: float
    grace_ms: float
    out_of_rotation_ms: float
    record_bytes: int = 0
    cold_over: float = 1.0
    cold_slack: float = 0.0
    region: str = ""
    zones: Mapping[str, str] = attrs.field(factory=dict)
    max_fds: int = 0
    hedge_limit: float = 0.0
