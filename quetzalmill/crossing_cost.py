"""The cost of sending a request to another failure domain.

Load pattern: endpoints of all domains are about equally loaded, so that another
domain is often better by a few milliseconds. If requests crossed for that, most
of them would, and their bytes would fill links that domains share. A request
therefore stays unless its caller would notice the difference.
"""

CROSS_DOMAIN_MS = 9.0
"""Round-trip time to another failure domain."""

MARGIN_FRACTION = 0.2
"""Fraction of a route's latency objective by which another domain has to be
better. Programs allow several times as much for a turn."""


def margin_ms(target_latency_ms: float, average_ms: float) -> float:
    """Returns by how much another failure domain has to be better.

    Args:
        target_latency_ms: The route's latency objective; 0 without one.
        average_ms: The average latency on the route, used without an objective.
    """
    return MARGIN_FRACTION * (target_latency_ms or average_ms)
