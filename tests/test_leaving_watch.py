"""Tests of what an operator sees of endpoints that leave."""

import sys

import attrs
import pytest

from quetzalmill import endpoint_pool
from quetzalmill import gateway_metrics
from quetzalmill import http_client
from quetzalmill import leaving_watch
from quetzalmill import logs

_DRAIN_MS = 2_000.0
_ENTRY = endpoint_pool.Endpoint(
    endpoint_id="e1",
    service="app",
    address="10.0.0.1:80",
    failure_domain="a",
    slots=4,
    leaving=False,
    started_unix_ms=100,
    cold_ms=0.0,
)


class _Watched:
    """A pool with one endpoint, and what is made of its leaving."""

    def __init__(self) -> None:
        self.metrics = gateway_metrics.GatewayMetrics()
        self.pool = endpoint_pool.EndpointPool(_DRAIN_MS)
        self.pool.observer = leaving_watch.LeavingWatch(
            http_client.HttpClient(), self.metrics
        )
        self.pool.update(_ENTRY, 0.0)

    def answer(self, now_ms: float) -> endpoint_pool.Condition:
        known = self.pool.get("e1")
        assert known is not None
        self.pool.note_leaving(known, "r1", now_ms)
        return known

    def hear_peer(self, now_ms: float) -> None:
        self.pool.hear_leaving({"e1": [("front-2", 100)]}, now_ms)

    def metric(self, name: str) -> float:
        """Returns a sample by its name with labels; 0 if there is none."""
        for line in self.metrics.text().decode().splitlines():
            found, _, value = line.rpartition(" ")
            if found == name:
                return float(value)
        return 0.0

    def signs(self, source: str) -> float:
        return self.metric(
            f'quetzalmill_endpoints_leaving_total{{source="{source}"}}'
        )


class TestSigns:
    """The counter and the log line of a first sign."""

    def test_each_source_is_counted_once(self) -> None:
        watched = _Watched()
        watched.answer(0.0)
        watched.answer(1.0)
        watched.pool.update(attrs.evolve(_ENTRY, leaving=True), 2.0)
        watched.hear_peer(3.0)
        signs = [watched.signs(each) for each in ("answer", "entry", "peer")]
        assert signs == [1.0, 0.0, 0.0]

    def test_a_peers_word_is_counted_before_own_signs(self) -> None:
        watched = _Watched()
        watched.hear_peer(0.0)
        watched.pool.hear_leaving({}, 1.0)
        watched.hear_peer(2.0)
        watched.pool.update(attrs.evolve(_ENTRY, leaving=True), 3.0)
        signs = [watched.signs(each) for each in ("answer", "entry", "peer")]
        assert signs == [0.0, 1.0, 1.0]

    def test_line_names_endpoint_source_and_who_said_so(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        logs.configure(stream=sys.stdout)
        watched = _Watched()
        watched.answer(0.0)
        watched.answer(1.0)
        (line,) = capsys.readouterr().out.splitlines()
        for part in (
            "event=endpoint_leaving",
            "endpoint=e1",
            "source=answer",
            "by=r1",
        ):
            assert part in line


class TestLastRequest:
    """The time from the first sign to the last request."""

    _COUNT = "quetzalmill_endpoint_last_request_seconds_count"
    _SUM = "quetzalmill_endpoint_last_request_seconds_sum"

    def test_counts_when_the_entry_is_gone(self) -> None:
        watched = _Watched()
        known = watched.answer(1_000.0)
        assert watched.pool.may_send(known, 1_400.0)
        assert watched.metric(self._COUNT) == 0.0
        watched.pool.remove("e1", 5_000.0, store_was_away=False)
        assert watched.metric(self._COUNT) == 1.0
        assert watched.metric(self._SUM) == pytest.approx(0.4)

    def test_none_after_the_sign_counts_as_no_time(self) -> None:
        watched = _Watched()
        watched.answer(1_000.0)
        watched.pool.update(attrs.evolve(_ENTRY, started_unix_ms=200), 2_000.0)
        assert watched.metric(self._COUNT) == 1.0
        assert watched.metric(self._SUM) == 0.0

    def test_entry_that_comes_back_is_not_counted_twice(self) -> None:
        watched = _Watched()
        watched.answer(0.0)
        for now_ms in (1_000.0, 2_000.0):
            watched.pool.remove("e1", now_ms, store_was_away=True)
            watched.pool.update(_ENTRY, now_ms + 1.0)
        assert watched.metric(self._COUNT) == 1.0


class TestStateDump:
    """What ``/state`` shows."""

    def test_since_when_and_by_whom(self) -> None:
        watched = _Watched()
        watched.hear_peer(0.0)
        watched.answer(1_000.0)
        assert leaving_watch.describe(watched.pool, 1_500.0) == {
            "e1": {
                "service": "app",
                "started_unix_ms": 100,
                "source": "answer",
                "by": "r1",
                "since_ms": 500.0,
                "peers": ["front-2"],
                "since_peers_ms": 1_500.0,
                "last_request_ms": None,
            }
        }

    def test_peers_word_alone(self) -> None:
        watched = _Watched()
        watched.hear_peer(0.0)
        (shown,) = leaving_watch.describe(watched.pool, 100.0).values()
        assert shown["source"] == "peer"
        assert shown["by"] == "front-2"
        assert shown["since_ms"] == 100.0

    def test_endpoint_that_stays_is_not_shown(self) -> None:
        assert leaving_watch.describe(_Watched().pool, 0.0) == {}
