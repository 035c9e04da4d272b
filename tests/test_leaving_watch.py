"""Tests of the logs, metrics and state dump for draining endpoints."""

import sys

import attrs
import pytest

from quetzalmill import endpoint_pool
from quetzalmill import endpoint_record
from quetzalmill import gateway_metrics
from quetzalmill import http_client
from quetzalmill import leaving_watch
from quetzalmill import logs

_DRAIN_MS = 2_000.0
_ENTRY = endpoint_record.Endpoint(
    endpoint_id="e1",
    service="app",
    address="10.0.0.1:80",
    failure_domain="a",
    slots=4,
    leaving=False,
    started_unix_ms=100,
    cold_ms=0.0,
)


class _ObservedPool:
    """A pool with one endpoint, observed by a ``LeavingWatch``."""

    def __init__(self) -> None:
        self.metrics = gateway_metrics.GatewayMetrics()
        self.pool = endpoint_pool.EndpointPool(_DRAIN_MS)
        self.pool.observer = leaving_watch.LeavingWatch(
            http_client.HttpClient(), self.metrics
        )
        self.pool.update(_ENTRY, 0.0)

    def answer(self, now_ms: float) -> endpoint_record.EndpointState:
        known = self.pool.get("e1")
        assert known is not None
        self.pool.record_drain_notice(known, "r1", now_ms)
        return known

    def receive_peer_notice(self, now_ms: float) -> None:
        self.pool.apply_peer_drain_notices({"e1": [("front-2", 100)]}, now_ms)

    def metric(self, name: str) -> float:
        """Returns a sample by its name with labels; 0 if there is none."""
        for line in self.metrics.text().decode().splitlines():
            found, _, value = line.rpartition(" ")
            if found == name:
                return float(value)
        return 0.0

    def notices(self, source: str) -> float:
        return self.metric(
            f'quetzalmill_endpoints_leaving_total{{source="{source}"}}'
        )


class TestNotices:
    """The counter and the log line of a first drain notice."""

    def test_each_source_is_counted_once(self) -> None:
        observed = _ObservedPool()
        observed.answer(0.0)
        observed.answer(1.0)
        observed.pool.update(attrs.evolve(_ENTRY, leaving=True), 2.0)
        observed.receive_peer_notice(3.0)
        notices = [
            observed.notices(each) for each in ("answer", "entry", "peer")
        ]
        assert notices == [1.0, 0.0, 0.0]

    def test_peer_notice_is_counted_if_it_precedes_own_notices(self) -> None:
        observed = _ObservedPool()
        observed.receive_peer_notice(0.0)
        observed.pool.apply_peer_drain_notices({}, 1.0)
        observed.receive_peer_notice(2.0)
        observed.pool.update(attrs.evolve(_ENTRY, leaving=True), 3.0)
        notices = [
            observed.notices(each) for each in ("answer", "entry", "peer")
        ]
        assert notices == [0.0, 1.0, 1.0]

    def test_log_line_names_endpoint_source_and_origin(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        logs.configure(stream=sys.stdout)
        observed = _ObservedPool()
        observed.answer(0.0)
        observed.answer(1.0)
        (line,) = capsys.readouterr().out.splitlines()
        for field in (
            "event=endpoint_leaving",
            "endpoint=e1",
            "source=answer",
            "by=r1",
        ):
            assert field in line


class TestLastRequest:
    """The time from the first drain notice to the last request."""

    _COUNT = "quetzalmill_endpoint_last_request_seconds_count"
    _SUM = "quetzalmill_endpoint_last_request_seconds_sum"

    def test_recorded_when_the_entry_is_removed(self) -> None:
        observed = _ObservedPool()
        known = observed.answer(1_000.0)
        assert observed.pool.may_send(known, 1_400.0)
        assert observed.metric(self._COUNT) == 0.0
        observed.pool.remove("e1", 5_000.0, store_was_unavailable=False)
        assert observed.metric(self._COUNT) == 1.0
        assert observed.metric(self._SUM) == pytest.approx(0.4)

    def test_no_request_after_the_notice_counts_as_zero(self) -> None:
        observed = _ObservedPool()
        observed.answer(1_000.0)
        observed.pool.update(attrs.evolve(_ENTRY, started_unix_ms=200), 2_000.0)
        assert observed.metric(self._COUNT) == 1.0
        assert observed.metric(self._SUM) == 0.0

    def test_entry_that_reappears_is_not_counted_twice(self) -> None:
        observed = _ObservedPool()
        observed.answer(0.0)
        for now_ms in (1_000.0, 2_000.0):
            observed.pool.remove("e1", now_ms, store_was_unavailable=True)
            observed.pool.update(_ENTRY, now_ms + 1.0)
        assert observed.metric(self._COUNT) == 1.0


class TestStateDump:
    """The description of draining endpoints in ``/state``."""

    def test_shows_times_and_origin(self) -> None:
        observed = _ObservedPool()
        observed.receive_peer_notice(0.0)
        observed.answer(1_000.0)
        assert leaving_watch.describe(observed.pool, 1_500.0) == {
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

    def test_peer_notice_alone(self) -> None:
        observed = _ObservedPool()
        observed.receive_peer_notice(0.0)
        (shown,) = leaving_watch.describe(observed.pool, 100.0).values()
        assert shown["source"] == "peer"
        assert shown["by"] == "front-2"
        assert shown["since_ms"] == 100.0

    def test_active_endpoint_is_not_shown(self) -> None:
        assert leaving_watch.describe(_ObservedPool().pool, 0.0) == {}
