"""Clocks that processes read the time from.

All times in quetzalmill are whole or fractional milliseconds. Decision logic
takes the current time as an argument; only the outermost layer of a process
reads a clock. Wall-clock time is never compared between hosts.
"""

import time
from typing import Protocol


class Clock(Protocol):
    """Provides the monotonic time of this process."""

    def now_ms(self) -> float:
        """Returns the monotonic time in milliseconds."""


class WallClock(Clock, Protocol):
    """Also provides the wall-clock time, which no decision may depend on."""

    def unix_ms(self) -> int:
        """Returns Unix time in milliseconds; it may be wrong and may jump."""


class SystemClock:
    """Reads the operating system's monotonic clock."""

    def now_ms(self) -> float:
        """Returns the monotonic time in milliseconds."""
        return time.monotonic() * 1000.0

    def unix_ms(self) -> int:
        """Returns Unix time in whole milliseconds."""
        return time.time_ns() // 1_000_000


class BootClock:
    """Reads a monotonic clock that also advances while the host is suspended.

    Leases that other hosts rely on are timed by it.
    """

    def now_ms(self) -> float:
        """Returns the time since the host's boot in milliseconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


class ManualClock:
    """A clock that advances only on request, for tests."""

    def __init__(self, start_ms: float = 0.0) -> None:
        self._now_ms = start_ms

    def now_ms(self) -> float:
        """Returns the current manual time in milliseconds."""
        return self._now_ms

    def unix_ms(self) -> int:
        """Returns the current manual time in whole milliseconds."""
        return int(self._now_ms)

    def advance(self, by_ms: float) -> None:
        """Moves the clock forward by ``by_ms`` milliseconds."""
        self._now_ms += by_ms
