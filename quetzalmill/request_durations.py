"""The average time that requests spend at the endpoints of each service."""

INITIAL_MS = 300.0
"""The duration assumed until a request has ended."""

_SMOOTHING = 0.05
"""Weight of the latest request in the moving average, which thus covers about
twenty requests."""


class RequestDurations:
    """The moving average of request durations, by service."""

    def __init__(self) -> None:
        self._average_ms: dict[str, float] = {}

    def record(self, service: str, duration_ms: float) -> None:
        """Records how long a request was at an endpoint of a service."""
        known_ms = self.average_ms(service)
        self._average_ms[service] = known_ms + _SMOOTHING * (
            duration_ms - known_ms
        )

    def average_ms(self, service: str) -> float:
        """Returns the average duration of requests at a service's endpoints."""
        return self._average_ms.get(service, INITIAL_MS)
