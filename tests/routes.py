"""A route of look-ups, for tests that need a route."""

from quetzalmill import route_table

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
