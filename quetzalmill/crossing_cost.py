"""The cost of sending a request to another failure domain.

Load pattern: bytes between failure domains are billed, so that a few
milliseconds gained at a distant endpoint cost more than they are worth. Short
requests with short responses may cross for a small gain, long ones may not.
"""

CROSS_DOMAIN_MS = 9.0
"""Round-trip time to another failure domain."""

MS_PER_KILOBYTE = 6.4
"""Latency that one kilobyte between failure domains is worth. A gigabyte costs
6,400 and a program is worth about 6; a program that lasts about 6 seconds is
thus assumed to lose 0.001 with each millisecond."""

PRIOR_RESPONSE_BYTES = 4_000.0
"""The size of a response on a route from which none was received; a short
stream of events."""

EVENT_OVERHEAD_BYTES = 32
"""Bytes of a stream around the data of each event: field names, an id, line
ends and the chunk's size."""

_SMOOTHING = 0.05
"""Weight of the latest response in the moving average, which thus covers about
twenty responses."""

_MAX_ROUTES = 1_024


class ResponseSizes:
    """The moving average of the sizes of responses, by route.

    Beyond the limit, the route recorded longest ago is forgotten.
    """

    def __init__(self, max_routes: int = _MAX_ROUTES) -> None:
        self._max_routes = max_routes
        self._average_bytes: dict[str, float] = {}

    def record(self, route: str, size_bytes: int) -> None:
        """Records the size of a complete response."""
        average_bytes = self.average_bytes(route)
        self._average_bytes.pop(route, None)
        self._average_bytes[route] = average_bytes + _SMOOTHING * (
            size_bytes - average_bytes
        )
        if len(self._average_bytes) > self._max_routes:
            del self._average_bytes[next(iter(self._average_bytes))]

    def average_bytes(self, route: str) -> float:
        """Returns the average size of a route's responses."""
        return self._average_bytes.get(route, PRIOR_RESPONSE_BYTES)


def stream_bytes(outputs: tuple[bytes, ...]) -> int:
    """Returns the approximate size of a stream with the given event data."""
    return sum(len(each) + EVENT_OVERHEAD_BYTES for each in outputs)


def worth_ms(size_bytes: float) -> float:
    """Returns the latency that is worth as much as bytes sent across."""
    return MS_PER_KILOBYTE * size_bytes / 1_000.0
