"""Tests of how long a request waits before another endpoint is tried."""

import attrs

from quetzalmill import repeat_patience
from quetzalmill import route_table
from tests import routes

_LEFT_MS = 1_500.0


def _patience_ms(
    patience: repeat_patience.RepeatPatience,
    route: route_table.Route = routes.LOOKUP,
    *,
    sends: int = 0,
    usual_ms: float = 40.0,
) -> float:
    return patience.patience_ms(
        route, sends=sends, left_ms=_LEFT_MS, usual_ms=usual_ms
    )


class TestRepeatPatience:
    """One endpoint that hangs, and an overload of all."""

    def test_overdue_lookup_goes_elsewhere_early(self) -> None:
        patience = repeat_patience.RepeatPatience()
        assert _patience_ms(patience) == routes.LOOKUP.target_latency_ms

    def test_usually_slow_route_waits_longer(self) -> None:
        patience = repeat_patience.RepeatPatience()
        assert _patience_ms(patience, usual_ms=100.0) == 400.0
        assert _patience_ms(patience, usual_ms=900.0) == _LEFT_MS / 2

    def test_last_endpoint_gets_all_the_time(self) -> None:
        patience = repeat_patience.RepeatPatience()
        assert _patience_ms(patience, sends=1) == _LEFT_MS

    def test_request_that_runs_once_waits_for_its_endpoint(self) -> None:
        patience = repeat_patience.RepeatPatience()
        booking = attrs.evolve(routes.LOOKUP, repeat=route_table.Repeat.UNSAFE)
        assert _patience_ms(patience, booking) == _LEFT_MS

    def test_overload_of_all_endpoints_is_not_added_to(self) -> None:
        """Every request is overdue; few of them are repeated early."""
        patience = repeat_patience.RepeatPatience()
        early = 0
        for _ in range(1_000):
            if _patience_ms(patience) < _LEFT_MS / 2:
                early += 1
                patience.note_repeat()
        assert early <= 1_000 * repeat_patience.REPEAT_SHARE + 10
