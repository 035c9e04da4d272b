"""How long a request that may be repeated waits for its first endpoint.

The load pattern: an endpoint hangs while others answer as usual. A look-up
that waits for it until half of its time is over makes its program late, so it
goes to another endpoint once it is clearly overdue. When all endpoints are
slow, an overload, repeats would add to it; so they are bounded by a share of
the requests.
"""

from quetzalmill import retry_budget
from quetzalmill import route_table

PATIENCE_TIMES = 4.0
"""Times the usual time of its route that a request waits before another
endpoint is tried, and its route's objective at least."""

REPEAT_SHARE = 0.1
"""Repeats for want of an answer, as a share of the requests that may be
repeated."""

STREAM_PATIENCE_TIMES = 4.0
"""Times its route's objective that a stream which may be resumed waits for its
first event; callers leave after two seconds or more."""

LONGEST_PART = 0.5
"""The part of the time left that a request waits at most, so that the other
endpoint has as much."""


class RepeatPatience:
    """Decides when to try another endpoint."""

    def __init__(self) -> None:
        self._repeats = retry_budget.RetryBudget(REPEAT_SHARE)

    def patience_ms(
        self,
        route: route_table.Route,
        *,
        sends: int,
        left_ms: float,
        usual_ms: float,
    ) -> float:
        """Returns how long to wait for the head of an answer.

        Args:
            route: The request's route.
            sends: Endpoints that got the request before.
            left_ms: The time that is left for it.
            usual_ms: The usual time of the route; 0 if none is known.
        """
        is_last = sends + 1 >= route.max_attempts
        if not route.may_run_again or is_last:
            return left_ms
        self._repeats.first_attempt()
        if route.repeat is route_table.Repeat.STREAM:
            overdue_ms = STREAM_PATIENCE_TIMES * route.target_latency_ms
            is_spent = not overdue_ms or not self._repeats.may_spend()
            return left_ms if is_spent else min(left_ms, overdue_ms)
        longest_ms = LONGEST_PART * left_ms
        if not self._repeats.may_spend():
            return longest_ms
        overdue_ms = max(route.target_latency_ms, PATIENCE_TIMES * usual_ms)
        return min(longest_ms, overdue_ms)

    def note_repeat(self) -> None:
        """Counts that a request is repeated for want of an answer."""
        self._repeats.take()
