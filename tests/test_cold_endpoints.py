"""Tests of the requests that gateways send to cold endpoints."""

import types
from typing import Any

import attrs
import pytest

from quetzalmill import clock as clock_module
from quetzalmill import cold_endpoints
from quetzalmill import cold_shares
from quetzalmill import endpoint_pool
from quetzalmill import endpoint_record
from quetzalmill import gateway_calls
from quetzalmill import homes
from quetzalmill import member_table
from quetzalmill import route_table

_SERVICE = route_table.Service(
    name="app",
    max_connections=8,
    slots=0,
    memory_tokens=0,
    event_tokens=0,
    cold_start_ms=3_000.0,
    cold_per_s=28.0,
)
_UNLIMITED = attrs.evolve(_SERVICE, cold_per_s=0.0)


class _Gateway:
    """A gateway that has registered and read long enough ago to send."""

    def __init__(
        self,
        clock: clock_module.ManualClock,
        address: str = "10.0.0.1:1",
        members: tuple[str, ...] = ("10.0.0.1:1",),
    ) -> None:
        self._clock = clock
        self.pool = endpoint_pool.EndpointPool()
        self.table = member_table.MemberTable(address)
        self.table.record_registration("", -10_000.0)
        self._members: dict[str, member_table.Member] = {
            each: member_table.Registered("") for each in members
        }
        self.read()
        self.decisions: list[str] = []
        self.cold = cold_endpoints.ColdEndpoints(
            self.pool, self.table, address, clock, self.decisions.append
        )

    def read(self) -> None:
        now_ms = self._clock.now_ms()
        self.table.apply_read(self._members, now_ms, now_ms)

    def add(
        self, endpoint_id: str, cold_ms: float = 0.0, **changes: Any
    ) -> endpoint_record.EndpointState:
        endpoint = endpoint_record.Endpoint(
            endpoint_id=endpoint_id,
            service="app",
            address="10.0.0.9:80",
            failure_domain="a",
            slots=4,
            leaving=False,
            started_unix_ms=100,
            cold_ms=cold_ms,
        )
        self.pool.update(
            attrs.evolve(endpoint, **changes), self._clock.now_ms()
        )
        known = self.pool.get(endpoint_id)
        assert known is not None
        return known

    def burst(
        self,
        known: endpoint_record.EndpointState,
        service: route_table.Service = _SERVICE,
    ) -> int:
        """Returns how many of 100 requests it sends at once."""
        now_ms = self._clock.now_ms()
        return sum(self.cold.take(service, known, now_ms) for _ in range(100))

    def retry_after_ms(
        self, home_domains: homes.Homes = homes.EVERYWHERE
    ) -> float | None:
        """Returns when a request that was held back may return."""
        job: Any = types.SimpleNamespace(
            service=_SERVICE, current_homes=lambda: home_domains
        )
        return self.cold.retry_after_ms(job, self._clock.now_ms())

    def admissible(self, size: int = 10, cached: str = "") -> list[str]:
        """Returns the endpoints that a request may be sent to."""
        call = types.SimpleNamespace(
            prompt_tokens=size,
            most_tokens=0,
            prompt_parts=(gateway_calls.PromptPart("p", 10),),
        )
        job: Any = types.SimpleNamespace(service=_SERVICE, call=call)
        now_ms = self._clock.now_ms()
        uncached = {
            each.endpoint.endpoint_id: 10
            * (each.endpoint.endpoint_id != cached)
            for each in self.pool.all()
        }
        found = self.cold.admissible(job, self.pool.all(), uncached, now_ms)
        return [each.endpoint.endpoint_id for each in found]


@pytest.fixture(name="clock")
def _clock() -> clock_module.ManualClock:
    return clock_module.ManualClock(1_000.0)


class TestShares:
    """The division of a rate among gateways."""

    @pytest.mark.parametrize("count", [1, 3, 28, 29, 60])
    def test_shares_add_up_to_the_rate(self, count: int) -> None:
        view = [f"10.0.0.{number}:1" for number in range(count)]
        shares = [cold_shares.share(28, each, view, "e1") for each in view]
        assert sum(shares) == 28
        # One that does not know of another gateway's end gets no more.
        larger = [*view, "10.0.1.1:1"]
        for each, own in zip(view, shares, strict=True):
            assert cold_shares.share(28, each, larger, "e1") <= own


class TestBurst:
    """All gateways send to an endpoint that has just started."""

    @pytest.mark.parametrize(
        ("service", "expected"), [(_SERVICE, 28), (_UNLIMITED, 300)]
    )
    def test_sum_over_gateways(
        self,
        clock: clock_module.ManualClock,
        service: route_table.Service,
        expected: int,
    ) -> None:
        """Without the rule, all go to the idle endpoint, which crashes."""
        addresses = ("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1")
        gateways = [_Gateway(clock, each, addresses) for each in addresses]
        sent = sum(
            each.burst(each.add("e1", 3_000.0), service) for each in gateways
        )
        assert sent == expected

    def test_sends_before_it_was_known_to_be_cold_count(
        self, clock: clock_module.ManualClock
    ) -> None:
        """An endpoint may become cold again without notice."""
        gateway = _Gateway(clock)
        known = gateway.add("e1")
        assert gateway.burst(known) == 100
        gateway.cold.record_stated(_SERVICE, known, 2_000.0, clock.now_ms())
        assert gateway.burst(known) == 0
        assert gateway.retry_after_ms() == 1_000.0
        clock.advance(1_020.0)
        gateway.read()
        assert gateway.burst(known) == 28
        assert gateway.decisions.count("sent") == 28

    def test_outdated_reading_allows_nothing(
        self, clock: clock_module.ManualClock
    ) -> None:
        """A gateway that was suspended must not send with an old share."""
        gateway = _Gateway(clock)
        known = gateway.add("e1", 9_000.0)
        assert gateway.admissible() == ["e1"]
        clock.advance(2_000.0)
        assert gateway.burst(known) == 0
        assert gateway.admissible() == []
        assert gateway.retry_after_ms() == 500.0
        # Guards against the reason of cold endpoints for a request that no
        # endpoint in its home regions can serve.
        elsewhere = homes.Homes(frozenset({"eu"}), {"a": "us"})
        assert gateway.retry_after_ms(elsewhere) is None


class TestChoice:
    """Which requests go to cold endpoints."""

    def test_suitable_requests_come_first(
        self, clock: clock_module.ManualClock
    ) -> None:
        gateway = _Gateway(clock)
        warm = gateway.add("warm")
        gateway.add("cold", 3_000.0)
        assert gateway.admissible() == ["warm", "cold"]
        assert gateway.admissible(size=10_000) == ["warm"]
        assert gateway.admissible(cached="warm") == ["warm"]
        warm.running = 4
        assert gateway.admissible(cached="warm") == ["warm", "cold"]

    def test_what_counts_as_cold(self, clock: clock_module.ManualClock) -> None:
        """Only reasons that the entry does not state; it may come late."""
        gateway = _Gateway(clock)
        known = gateway.add("e1")
        assert gateway.burst(known) == 100
        known = gateway.add("e1", started_unix_ms=200)
        assert gateway.burst(known) == 0
        clock.advance(3_000.0)
        gateway.read()
        assert gateway.burst(known) == 100
        gateway.pool.mark_domain_cold("a", clock.now_ms())
        assert gateway.burst(known) == 0
        gateway.pool.remove("e1", clock.now_ms(), store_was_unavailable=False)
        assert gateway.burst(gateway.add("e1")) == 0
        clock.advance(3_000.0)
        gateway.read()
        failure = OSError()
        failure.__cause__ = ConnectionRefusedError()
        for error, sent in ((OSError(), 100), (failure, 28)):
            known = gateway.add(f"e{sent}")
            gateway.cold.record_failed_connection(
                _SERVICE, known, error, clock.now_ms()
            )
            assert gateway.burst(known) == sent
