"""A route of look-ups and its endpoints, for tests that need them."""

from quetzalmill import endpoint_record
from quetzalmill import route_table

SLOTS = 4

LOOKUP = route_table.Route(
    name="lookup",
    host="desk.example",
    path_prefix="/stock/",
    retry_mode=route_table.RetryMode.SAFE,
    timeout_ms=1_500.0,
    target_latency_ms=250.0,
    priority=2,
    shares=(route_table.WeightedService(service="app", weight=1.0),),
    max_attempts=2,
    public=False,
    stateful=False,
    retention_ms=0.0,
    max_event_gap_ms=0.0,
)


def endpoint(endpoint_id: str, failure_domain: str) -> endpoint_record.Endpoint:
    """Returns an endpoint that serves the route."""
    return endpoint_record.Endpoint(
        endpoint_id=endpoint_id,
        service="app",
        address=f"10.0.0.{ord(failure_domain)}:80",
        failure_domain=failure_domain,
        slots=SLOTS,
        leaving=False,
        started_unix_ms=1,
        cold_ms=0.0,
    )
