"""Decides what a gateway still takes while it shuts down, and until when.

Load pattern: after SIGTERM callers are routed here for some seconds more, and
go on using open connections. A request that is still running when the grace
period ends is cut off without a response, the worst outcome for one that must
not run twice. So a request that may last that long is refused at once, which
costs its caller little, as other gateways serve it; and what still runs just
before the end gets a final response.
"""

from collections.abc import Iterator
import contextlib

import attrs
import trio

ANSWER_RESERVE_MS = 300.0
"""The time before the end of the grace period that is kept for the responses
to all remaining requests and for leaving the member list."""

DURATION_MARGIN = 4.0
"""How many average durations must fit into the remaining time for a request
whose deadline does not; few requests take longer."""


@attrs.frozen(kw_only=True)
class Period:
    """The period of one shutdown, in the milliseconds of the process's clock.

    Attributes:
        rotation_end_ms: When callers are no longer routed here.
        end_ms: When all requests have got their final response.
    """

    rotation_end_ms: float
    end_ms: float

    def admits(
        self, now_ms: float, *, deadline_ms: float, average_ms: float
    ) -> bool:
        """Returns whether a request that arrives now is likely to complete.

        Args:
            now_ms: The current time.
            deadline_ms: When its caller or its route stops waiting for it.
            average_ms: How long such requests take on average.
        """
        if deadline_ms <= self.end_ms:
            return True
        expected_end_ms = now_ms + DURATION_MARGIN * average_ms
        return now_ms <= self.rotation_end_ms and (
            expected_end_ms <= self.end_ms
        )


class Shutdown:
    """The shutdown of one gateway and the requests that it ends.

    Attributes:
        period: Its period; None before it begins.
    """

    def __init__(self) -> None:
        self.period: Period | None = None
        self._end_s = float("inf")
        self._scopes: set[trio.CancelScope] = set()

    def begin(
        self, now_ms: float, *, rotation_ms: float, grace_ms: float
    ) -> None:
        """Begins the shutdown.

        Args:
            now_ms: The current time.
            rotation_ms: The time until callers are no longer routed here.
            grace_ms: The time until the process ends.
        """
        remaining_ms = max(0.0, grace_ms - ANSWER_RESERVE_MS)
        self.period = Period(
            rotation_end_ms=now_ms + rotation_ms, end_ms=now_ms + remaining_ms
        )
        self._end_s = trio.current_time() + remaining_ms / 1000.0
        for scope in self._scopes:
            scope.deadline = self._end_s

    @contextlib.contextmanager
    def limit(self) -> Iterator[trio.CancelScope]:
        """Cancels what runs in it at the end of the shutdown's period."""
        with trio.CancelScope(deadline=self._end_s) as scope:
            self._scopes.add(scope)
            try:
                yield scope
            finally:
                self._scopes.discard(scope)
