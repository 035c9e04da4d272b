"""The clock that every process measures time with.

All times in quetzalmill are whole or fractional milliseconds. Decisions take
the current time as an argument; only the processes' outer ring reads a clock.
Wall-clock time is never compared between hosts.
"""

import time
from typing import Protocol


class Clock(Protocol):
    """Tells the monotonic time of this process."""

    def now_ms(self) -> float:
        """Returns the monotonic time in milliseconds."""


class WallClock(Clock, Protocol):
    """Tells the time of day as well; no decision may rest on it."""

    def unix_ms(self) -> int:
        """Returns the time of day, which may be wrong and may jump."""


class SystemClock:
    """Reads the operating system's monotonic clock."""

    def now_ms(self) -> float:
        """Returns the monotonic time in milliseconds."""
        return time.monotonic() * 1000.0

    def unix_ms(self) -> int:
        """Returns the time of day in whole milliseconds."""
        return time.time_ns() // 1_000_000


class ManualClock:
    """A clock that moves only when told to, for tests."""

    def __init__(self, start_ms: float = 0.0) -> None:
        self._now_ms = start_ms

    def now_ms(self) -> float:
        """Returns the time set so far in milliseconds."""
        return self._now_ms

    def unix_ms(self) -> int:
        """Returns the time set so far in whole milliseconds."""
        return int(self._now_ms)

    def advance(self, by_ms: float) -> None:
        """Moves the clock forward by ``by_ms`` milliseconds."""
        self._now_ms += by_ms
