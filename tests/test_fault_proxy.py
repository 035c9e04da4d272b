"""Tests of the fault proxy, with a plain service behind it."""

from collections.abc import Iterator
import http.client
import random
import time
from typing import Any

import pytest

from quetzalmill_emulator import fault_proxy
from tests import harness

_LOST = (OSError, http.client.HTTPException)
_SHORT_S = 0.3


class _LinkedService:
    """A plain service and a link to it."""

    def __init__(
        self, proxy: fault_proxy.FaultProxy, service: harness.Process
    ) -> None:
        self.proxy = proxy
        self.direct = service.address
        self.address = proxy.link("l", service.address)

    def set_faults(self, **faults: Any) -> None:
        self.proxy.set_faults("l", **faults)

    def call(
        self, timeout_s: float = harness.CALL_TIMEOUT_S, body: Any = None
    ) -> harness.Reply:
        headers = {"X-Request-Id": "a"}
        return harness.call(
            self.address, "POST", "/x", body, headers, timeout_s
        )

    def runs(self) -> int:
        reply = harness.call(self.direct, "GET", "/debug/runs")
        return int(reply.body["runs"].get("a", 0))


@pytest.fixture
def linked() -> Iterator[_LinkedService]:
    with harness.Fleet() as fleet, fault_proxy.FaultProxy() as proxy:
        yield _LinkedService(proxy, fleet.emulator("service"))


class TestHealthyLink:
    """A link without faults."""

    def test_bytes_are_forwarded_unchanged(
        self, linked: _LinkedService
    ) -> None:
        body = {"reference": "r" * 1_000_000}
        assert linked.call(body=body).body["reference"] == "r" * 1_000_000
        harness.eventually(lambda: linked.proxy.open_connections("l") == 0)

    def test_unavailable_target_resets_the_connection(self) -> None:
        with fault_proxy.FaultProxy() as proxy:
            address = proxy.link("l", harness.free_address())
            with pytest.raises(_LOST):
                harness.call(address, "GET", "/")


class TestDelay:
    """Delayed bytes."""

    def test_request_and_reply_are_delayed(
        self, linked: _LinkedService
    ) -> None:
        linked.set_faults(delay_ms=50.0)
        started_s = time.monotonic()
        linked.call()
        assert time.monotonic() - started_s >= 0.1

    def test_jitter_is_the_same_for_a_seed(self) -> None:
        faults = fault_proxy.Faults(delay_ms=5.0, jitter_ms=10.0)
        drawn = [
            [fault_proxy.draw_delay_s(faults, rng) for _ in range(20)]
            for rng in (random.Random(3), random.Random(3))
        ]
        assert drawn[0] == drawn[1]
        assert min(drawn[0]) >= 0.005
        assert max(drawn[0]) <= 0.015
        assert len(set(drawn[0])) > 1


class TestLoss:
    """Lost connections and bytes."""

    def test_refused_connections_succeed_once_healed(
        self, linked: _LinkedService
    ) -> None:
        linked.set_faults(refuse=True)
        with pytest.raises(ConnectionRefusedError):
            linked.call()
        linked.proxy.heal("l")
        assert linked.call().body["run"] == 1

    def test_cut_requests_arrive_when_healed(
        self, linked: _LinkedService
    ) -> None:
        linked.set_faults(cut_requests=True)
        with pytest.raises(TimeoutError):
            linked.call(_SHORT_S)
        assert linked.runs() == 0
        linked.proxy.heal()
        harness.eventually(lambda: linked.runs() == 1)

    def test_calls_take_effect_while_replies_are_cut(
        self, linked: _LinkedService
    ) -> None:
        linked.set_faults(cut_replies=True)
        with pytest.raises(TimeoutError):
            linked.call(_SHORT_S)
        harness.eventually(lambda: linked.runs() == 1)
        linked.proxy.heal()
        assert linked.call().body["run"] == 2

    def test_reply_is_lost_after_its_effect(
        self, linked: _LinkedService
    ) -> None:
        linked.set_faults(lose_replies=1)
        with pytest.raises(ConnectionResetError):
            linked.call()
        assert linked.runs() == 1
        assert linked.proxy.lost_replies("l") == 1
        assert linked.call().body["run"] == 2

    def test_only_replies_to_large_requests_are_lost(
        self, linked: _LinkedService
    ) -> None:
        linked.set_faults(lose_replies=1, lose_after_bytes=2000)
        assert linked.call().status == 200
        with pytest.raises(ConnectionResetError):
            linked.call(body={"reference": "r" * 2000})

    def test_open_connections_are_reset(self, linked: _LinkedService) -> None:
        linked.set_faults(cut_requests=True)
        connection = http.client.HTTPConnection(
            linked.address, timeout=harness.CALL_TIMEOUT_S
        )
        connection.request("GET", "/x")
        harness.eventually(lambda: linked.proxy.open_connections("l") == 1)
        assert linked.proxy.reset("l") == 1
        with pytest.raises(ConnectionResetError):
            connection.getresponse()
        connection.close()
