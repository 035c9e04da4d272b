"""How long the endpoints of each service usually hold a request."""

FIRST_MS = 300.0
"""How long an endpoint holds a request as long as none has ended."""

_NEWS_WEIGHT = 0.05
"""The weight of the last request in that time, so that about twenty count."""


class HeldTimes:
    """The usual times, by service."""

    def __init__(self) -> None:
        self._usual_ms: dict[str, float] = {}

    def note(self, service: str, held_ms: float) -> None:
        """Records how long an endpoint of a service held a request."""
        known_ms = self.usual_ms(service)
        self._usual_ms[service] = known_ms + _NEWS_WEIGHT * (held_ms - known_ms)

    def usual_ms(self, service: str) -> float:
        """Returns how long endpoints of a service usually hold a request."""
        return self._usual_ms.get(service, FIRST_MS)
