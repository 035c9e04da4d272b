"""The memory and the connections that a gateway allows its callers."""

import resource

from quetzalmill import gateway_metrics
from quetzalmill import gateway_settings
from quetzalmill import host_memory
from quetzalmill import http_message
from quetzalmill import memory_account

ACCOUNT_FRACTION = 0.3
"""The fraction of the memory for connections, bodies and responses. On the
smallest hosts a started process takes a third, cached turns a quarter; the rest
is for copies that are being made and for fragmentation."""

RESERVED_FDS = 200
"""Descriptors that the platform reserves."""

CALLERS_FRACTION = 0.75
"""The fraction of the other descriptors for connections of callers; the rest is
for connections to endpoints, peers and the store."""

INTERNAL_LIMITS = http_message.Limits(max_body_bytes=16_384, max_connections=64)
"""The limits of the addresses of readiness and metrics, whose requests have no
bodies and come from a few probes and operators."""

_MIN_CONNECTIONS = 16
_BYTES_PER_MB = 1_048_576


def create(
    settings: gateway_settings.GatewaySettings,
    metrics: gateway_metrics.GatewayMetrics,
) -> host_memory.HostMemory:
    """Returns the memory of a gateway's callers."""
    return host_memory.HostMemory(
        int(settings.memory_mb * ACCOUNT_FRACTION * _BYTES_PER_MB),
        metrics.memory_action,
    )


def limits(max_fds: int, descriptors: int | None = None) -> http_message.Limits:
    """Returns the limits of a gateway's server for callers.

    Args:
        max_fds: The descriptors that the settings give; 0 if unknown.
        descriptors: Those that the process may open; by default, what the
            system allows it. Without this bound a full table would show as
            failing accepts, which no closed connection ends.
    """
    if descriptors is None:
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    usable = min(max_fds or descriptors, descriptors) - RESERVED_FDS
    return http_message.Limits(
        max_connections=min(
            http_message.Limits().max_connections,
            max(_MIN_CONNECTIONS, int(CALLERS_FRACTION * usable)),
        )
    )


def set_gauges(
    metrics: gateway_metrics.GatewayMetrics, memory: host_memory.HostMemory
) -> None:
    """Sets the gauges of what is charged."""
    for kind in memory_account.Kind:
        metrics.set_state(
            f"memory_{kind.value}_bytes", memory.account.held_by_kind(kind)
        )
    metrics.set_state("memory_limit_bytes", memory.account.limit_bytes)
