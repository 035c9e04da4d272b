"""Describes the orders in force at a gateway for its ``/state``."""

from typing import Any

import attrs

from quetzalmill import evacuation


@attrs.frozen(kw_only=True)
class InForceView:
    """An order in force, as ``/state`` shows it.

    Attributes:
        since_ms: How long it has been in force at this gateway.
        since_unix_ms: When that began, by the gateway's wall clock.
        source: ``store``, or the host of the peer that it was learned from.
        offset: The offset of the newest record that ordered it.
    """

    since_ms: int
    since_unix_ms: int
    source: str
    offset: int


def describe(
    evacuations: evacuation.Evacuations, now_ms: float, unix_ms: int
) -> dict[str, Any]:
    """Returns the orders in force, by domain."""
    return {
        domain: attrs.asdict(_view(order, now_ms, unix_ms))
        for domain, order in sorted(evacuations.in_force().items())
    }


def _view(
    order: evacuation.InForce, now_ms: float, unix_ms: int
) -> InForceView:
    since_ms = round(now_ms - order.since.now_ms)
    return InForceView(
        since_ms=since_ms,
        since_unix_ms=unix_ms - since_ms,
        source=order.since.source,
        offset=order.position - 1,
    )
