"""Tests of the time after which a request is sent to another endpoint."""

import attrs

from quetzalmill import retry_timeout
from quetzalmill import route_table
from tests import routes

_LEFT_MS = 1_500.0


def _max_wait_ms(
    timeout: retry_timeout.RetryTimeout,
    route: route_table.Route = routes.LOOKUP,
    *,
    sends: int = 0,
    has_alternative: bool = True,
    average_ms: float = 40.0,
) -> float:
    return timeout.max_wait_ms(
        route,
        sends=sends,
        has_alternative=has_alternative,
        remaining_ms=_LEFT_MS,
        average_ms=average_ms,
    )


class TestRetryTimeout:
    """One endpoint that hangs, and an overload of all endpoints."""

    def test_overdue_lookup_is_retried_early(self) -> None:
        timeout = retry_timeout.RetryTimeout()
        assert _max_wait_ms(timeout) == routes.LOOKUP.target_latency_ms

    def test_slow_route_waits_longer(self) -> None:
        timeout = retry_timeout.RetryTimeout()
        assert _max_wait_ms(timeout, average_ms=100.0) == 400.0
        assert _max_wait_ms(timeout, average_ms=900.0) == _LEFT_MS / 2

    def test_last_endpoint_gets_all_the_time(self) -> None:
        timeout = retry_timeout.RetryTimeout()
        assert _max_wait_ms(timeout, sends=1) == _LEFT_MS

    def test_only_endpoint_gets_all_the_time(self) -> None:
        timeout = retry_timeout.RetryTimeout()
        assert _max_wait_ms(timeout, has_alternative=False) == _LEFT_MS

    def test_request_that_runs_once_waits_for_its_endpoint(self) -> None:
        timeout = retry_timeout.RetryTimeout()
        booking = attrs.evolve(
            routes.LOOKUP, retry_mode=route_table.RetryMode.UNSAFE
        )
        assert _max_wait_ms(timeout, booking) == _LEFT_MS

    def test_overload_of_all_endpoints_is_not_amplified(self) -> None:
        """Every request is overdue; only a few are retried early."""
        timeout = retry_timeout.RetryTimeout()
        early = 0
        for _ in range(1_000):
            if _max_wait_ms(timeout) < _LEFT_MS / 2:
                early += 1
                timeout.record_early_retry()
        assert early <= 1_000 * retry_timeout.EARLY_RETRY_FRACTION + 10


class TestBodies:
    """Bodies that do not end, behind sound heads."""

    def _max_body_wait_ms(
        self,
        route: route_table.Route = routes.LOOKUP,
        *,
        sends: int = 1,
        has_alternative: bool = True,
    ) -> float:
        return retry_timeout.RetryTimeout().max_body_wait_ms(
            route,
            sends=sends,
            has_alternative=has_alternative,
            remaining_ms=_LEFT_MS,
        )

    def test_next_endpoint_gets_as_much_time(self) -> None:
        assert self._max_body_wait_ms() == _LEFT_MS / 2

    def test_last_endpoint_gets_all_the_time(self) -> None:
        assert self._max_body_wait_ms(sends=2) == _LEFT_MS
        assert self._max_body_wait_ms(has_alternative=False) == _LEFT_MS

    def test_request_that_runs_once_waits_for_its_endpoint(self) -> None:
        booking = attrs.evolve(
            routes.LOOKUP, retry_mode=route_table.RetryMode.UNSAFE
        )
        assert self._max_body_wait_ms(booking) == _LEFT_MS
