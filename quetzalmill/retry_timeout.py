"""The time after which a retryable request is sent to another endpoint.

Load pattern: an endpoint hangs while others respond normally. A lookup that
waits for it until half of its time is over delays its program too much, so it
is sent to another endpoint once it is clearly overdue. If all endpoints are
slow because of an overload, early retries would add to it, so they are limited
to a fraction of the requests.
"""

from quetzalmill import retry_budget
from quetzalmill import route_table

LATENCY_MULTIPLE = 4.0
"""Multiple of its route's average latency after which a request is overdue; the
route's latency objective is the minimum."""

EARLY_RETRY_FRACTION = 0.1
"""Maximum early retries as a fraction of the retryable requests."""

STREAM_LATENCY_MULTIPLE = 4.0
"""Multiple of its route's latency objective after which the first event of a
resumable stream is overdue; callers disconnect after two seconds or more."""

MAX_WAIT_FRACTION = 0.5
"""Maximum fraction of the remaining time that a request waits, so that the next
endpoint has as much."""


class RetryTimeout:
    """Decides when to try another endpoint."""

    def __init__(self) -> None:
        self._early_retries = retry_budget.RetryBudget(EARLY_RETRY_FRACTION)

    def max_wait_ms(
        self,
        route: route_table.Route,
        *,
        sends: int,
        has_alternative: bool,
        remaining_ms: float,
        average_ms: float,
    ) -> float:
        """Returns how long to wait for the response head.

        Args:
            route: The request's route.
            sends: How many endpoints have already received the request.
            has_alternative: Whether another endpoint is left for a retry;
                without one, waiting is all that can succeed.
            remaining_ms: The time until its deadline.
            average_ms: The average latency of the route; 0 if unknown.
        """
        if not _may_go_elsewhere(route, sends + 1, has_alternative):
            return remaining_ms
        self._early_retries.first_attempt()
        if route.retry_mode is route_table.RetryMode.STREAM:
            overdue_ms = STREAM_LATENCY_MULTIPLE * route.target_latency_ms
            is_spent = not overdue_ms or not self._early_retries.may_spend()
            return remaining_ms if is_spent else min(remaining_ms, overdue_ms)
        limit_ms = MAX_WAIT_FRACTION * remaining_ms
        if not self._early_retries.may_spend():
            return limit_ms
        overdue_ms = max(route.target_latency_ms, LATENCY_MULTIPLE * average_ms)
        return min(limit_ms, overdue_ms)

    def max_body_wait_ms(
        self,
        route: route_table.Route,
        *,
        sends: int,
        has_alternative: bool,
        remaining_ms: float,
    ) -> float:
        """Returns how long to wait for the rest of a body after its head.

        Args:
            route: The request's route.
            sends: How many endpoints have received the request, this one
                included.
            has_alternative: Whether another endpoint is left for a retry.
            remaining_ms: The time until its deadline.
        """
        if not _may_go_elsewhere(route, sends, has_alternative):
            return remaining_ms
        return MAX_WAIT_FRACTION * remaining_ms

    def record_early_retry(self) -> None:
        """Counts a retry of a request whose response was overdue."""
        self._early_retries.take()


def _may_go_elsewhere(
    route: route_table.Route, sends: int, has_alternative: bool
) -> bool:
    """Returns whether a request may be sent again after some sends."""
    return route.is_retryable and sends < route.max_attempts and has_alternative
