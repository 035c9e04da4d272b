"""Paces a home's appends to the rate that the log service accepts.

The log accepts a few hundred appends a second from all processes together.
When it refuses an append for that reason, the home waits longer between
appends, so that each one carries more turns; while it accepts them, the wait
shrinks again. The module is plain synchronous code.
"""

import random

MAX_INTERVAL_MS = 1_000.0
"""The longest time between two appends."""

GROWTH = 1.5
"""Factor by which the interval grows when the log refuses an append."""

DECREASE_MS = 1.0
"""By how much the interval shrinks with each append that is accepted."""

JITTER = 0.2
"""Fraction by which the interval varies at random, so that homes spread out."""


class CommitPace:
    """The adaptive interval between two appends of one home."""

    def __init__(self, shortest_ms: float, rng: random.Random) -> None:
        self._shortest_ms = shortest_ms
        self._rng = rng
        self.interval_ms = shortest_ms

    def wait_ms(self) -> float:
        """Returns how long to gather turns before the next append."""
        return self.interval_ms * self._rng.uniform(1 - JITTER, 1 + JITTER)

    def accepted(self) -> None:
        """Shrinks the interval after an accepted append."""
        self.interval_ms = max(
            self._shortest_ms, self.interval_ms - DECREASE_MS
        )

    def refused(self) -> None:
        """Grows the interval after a throttled append."""
        grown_ms = max(self.interval_ms, DECREASE_MS) * GROWTH
        self.interval_ms = min(MAX_INTERVAL_MS, grown_ms)
