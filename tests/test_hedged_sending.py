"""Tests of requests that two endpoints run at the same time."""

import pathlib
import unittest.mock

import attrs
import hypothesis
from hypothesis import strategies
import pytest
import trio
import trio.testing

from quetzalmill import dispatch_job
from quetzalmill import endpoint_health
from quetzalmill import endpoint_pool
from quetzalmill import endpoint_record
from quetzalmill import gateway_outcomes as outcomes
from quetzalmill import hedged_sending
from quetzalmill import hedging
from quetzalmill import http_server
from quetzalmill import route_table
from quetzalmill_emulator import platform_endpoint
from quetzalmill_load import platform_cluster
from tests import gateway_case
from tests import routes
from tests import trio_clock

_RESULTS: dict[str, dispatch_job.SendResult] = {
    "answered": outcomes.Answered(status=200, headers={}, body=b"ok"),
    "error": outcomes.Answered(status=500, headers={}, body=b""),
    "lost": dispatch_job.Lost("lost"),
    "refused": dispatch_job.TryNext("refused"),
    "withheld": dispatch_job.Withheld("withheld"),
    "caller_left": outcomes.CallerLeft(),
}
"""The results of an attempt, the preferred ones first."""

_FINAL = ("answered", "caller_left")
_TYPICAL_MS = 20.0


@attrs.frozen
class _Script:
    """How long an attempt takes, and its result."""

    took_ms: int
    kind: str


_SCRIPTS = strategies.builds(
    _Script,
    # Multiples of ten, so that no end coincides with that of the delay.
    strategies.integers(0, 40).map(lambda tens: 10 * tens),
    strategies.sampled_from(list(_RESULTS)),
)


class _Case:
    """A sender whose attempts follow scripts, on endpoints in two domains."""

    def __init__(
        self, *scripts: _Script, limit: float = 0.2, earned: int = 10
    ) -> None:
        self.scripts = list(scripts)
        self.sent: list[str] = []
        self.cancelled: list[str] = []
        self.took_ms = 0.0
        self.has_head = False
        self.pool = endpoint_pool.EndpointPool()
        for endpoint_id, domain in (("e1", "a"), ("e2", "a"), ("e3", "b")):
            self.pool.update(routes.endpoint(endpoint_id, domain), 0.0)
        self.decider = hedging.Hedging(limit)
        self.route = hedging.safe_route(routes.LOOKUP)
        assert self.route is not None
        for _ in range(100):
            self.decider.record(self.route, _TYPICAL_MS, 0.0)
        for _ in range(earned):
            self.decider.count_request()
        delay_ms = self.decider.delay_ms(self.route, 0.0)
        assert delay_ms is not None
        self.delay_ms = delay_ms

    def run(
        self,
        route: route_table.Route = routes.LOOKUP,
        limit_ms: float = 2_000.0,
    ) -> tuple[dispatch_job.SendResult | None, dispatch_job.Job]:
        """Sends one request; returns None if the caller ended it before."""
        return trio.run(
            self._run,
            route,
            limit_ms,
            clock=trio.testing.MockClock(autojump_threshold=0),
        )

    async def _run(
        self, route: route_table.Route, limit_ms: float
    ) -> tuple[dispatch_job.SendResult | None, dispatch_job.Job]:
        clock = trio_clock.TrioClock()
        start_ms = clock.now_ms()
        service = unittest.mock.Mock()
        service.name = "app"
        job = dispatch_job.Job(
            call=unittest.mock.Mock(),
            route=route,
            service=service,
            team="",
            body=b"",
            deadline_ms=start_ms + 1_500.0,
            priority=None,
            tried=["e1"],
            has_alternative=True,
        )
        latencies = endpoint_health.AverageLatencies()
        latencies.record("lookup", _TYPICAL_MS)
        selector = unittest.mock.Mock()
        selector.choose.side_effect = lambda _, may_repeat, among: (
            self.pool.get(min(among))
        )
        sender = hedged_sending.HedgedSender(
            self.decider, selector, self.pool, latencies, clock, self._send
        )
        first = self.pool.get("e1")
        assert first is not None
        result = None
        with trio.move_on_after(limit_ms / 1000.0):
            result = await sender.send(job, first, unittest.mock.Mock())
        self.took_ms = clock.now_ms() - start_ms
        return result, job

    async def _send(
        self,
        job: dispatch_job.Job,
        endpoint_state: endpoint_record.EndpointState,
        _exchange: object,
        progress: dispatch_job.Progress | None,
    ) -> dispatch_job.SendResult:
        script = self.scripts[len(self.sent)]
        endpoint_id = endpoint_state.endpoint.endpoint_id
        self.sent.append(endpoint_id)
        job.sends += 1
        if progress is not None:
            progress.has_head = self.has_head
        try:
            await trio.sleep(script.took_ms / 1000.0)
        except trio.Cancelled:
            self.cancelled.append(endpoint_id)
            raise
        return _RESULTS[script.kind]


class TestRace:
    """A slow attempt delays the request, or goes on after it has ended."""

    @hypothesis.given(first=_SCRIPTS, second=_SCRIPTS)
    def test_every_order_of_two_results(
        self, first: _Script, second: _Script
    ) -> None:
        case = _Case(first, second)
        result, _ = case.run()
        ends = [(float(first.took_ms), "e1", first.kind)]
        if first.took_ms > case.delay_ms:
            ends.append((case.delay_ms + second.took_ms, "e3", second.kind))
        assert case.sent == [endpoint_id for _, endpoint_id, _ in ends]
        ends.sort()
        final = [end for end in ends if end[2] in _FINAL]
        order = list(_RESULTS)
        if final:
            end_ms, _, kind = final[0]
        else:
            end_ms = ends[-1][0]
            kind = min((end[2] for end in ends), key=order.index)
        assert result is _RESULTS[kind]
        assert case.took_ms == pytest.approx(end_ms)
        assert case.cancelled == [end[1] for end in ends if end[0] > end_ms]

    @hypothesis.given(
        first=_SCRIPTS, second=_SCRIPTS, left_tens=strategies.integers(0, 40)
    )
    def test_caller_leaves_at_any_time(
        self, first: _Script, second: _Script, left_tens: int
    ) -> None:
        """An attempt goes on after its caller has left."""
        left_ms = 10.0 * left_tens + 5.0
        case = _Case(first, second)
        result, _ = case.run(limit_ms=left_ms)
        assert case.took_ms <= left_ms + 0.001
        if result is None:
            unended = [("e1", float(first.took_ms))]
            if first.took_ms > case.delay_ms < left_ms:
                unended.append(("e3", case.delay_ms + second.took_ms))
            assert sorted(case.cancelled) == [
                endpoint_id for endpoint_id, end in unended if end > left_ms
            ]

    def test_slow_endpoint_is_known_as_slow(self) -> None:
        """It keeps getting requests as its responses are never complete."""
        case = _Case(_Script(400, "answered"), _Script(100, "answered"))
        _, job = case.run()
        assert (job.hedge, job.ran_on) == ("hedge_won", "e3")
        slow = case.pool.get("e1")
        assert slow is not None
        assert slow.health.slowness(case.took_ms) > 1.2

    def test_replaced_responses_do_not_shorten_the_delay(self) -> None:
        """Each hedge that wins makes the next one start earlier."""
        case = _Case()
        for _ in range(10):
            for _ in range(5):
                case.decider.count_request()
            case.sent.clear()
            case.scripts = [_Script(400, "lost"), _Script(10, "answered")]
            case.run()
        assert case.route is not None
        delay_ms = case.decider.delay_ms(case.route, 0.0)
        assert delay_ms is not None
        assert delay_ms > case.delay_ms


class TestOff:
    """Requests that must not be sent twice, or not yet."""

    @pytest.mark.parametrize(
        ("limit", "earned", "route", "reason"),
        [
            (0.0, 10, routes.LOOKUP, ""),
            (0.2, 3, routes.LOOKUP, "limit"),
            (0.2, 10, attrs.evolve(routes.LOOKUP, max_attempts=1), ""),
            (
                0.2,
                10,
                attrs.evolve(
                    routes.LOOKUP, retry_mode=route_table.RetryMode.UNSAFE
                ),
                "",
            ),
        ],
    )
    def test_first_attempt_goes_on_alone(
        self, limit: float, earned: int, route: route_table.Route, reason: str
    ) -> None:
        case = _Case(_Script(400, "answered"), limit=limit, earned=earned)
        result, job = case.run(route)
        assert result is _RESULTS["answered"]
        assert (case.sent, case.cancelled) == (["e1"], [])
        assert job.hedge == reason

    def test_next_endpoint_gets_half_of_the_time(self) -> None:
        """An endpoint that hangs uses up all the time without a hedge."""
        case = _Case(_Script(1_400, "answered"), earned=0)
        result, _ = case.run()
        assert isinstance(result, dispatch_job.Lost)
        assert result.timed_out
        assert case.took_ms == pytest.approx(750.0)

    def test_response_that_has_begun_is_read_to_its_end(self) -> None:
        case = _Case(_Script(1_400, "answered"), earned=0)
        case.has_head = True
        result, _ = case.run()
        assert result is _RESULTS["answered"]


class TestProcesses:
    """One gateway process, and endpoints that hang."""

    def test_hedge_answers_and_the_other_endpoint_stops(
        self, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setenv("QUETZALMILL_HEDGE_LIMIT", "0.2")
        disconnected: list[float] = []
        wait = http_server.Exchange.wait_disconnected

        async def record_end(exchange: http_server.Exchange) -> None:
            await wait(exchange)
            disconnected.append(trio.current_time())

        async def case(cluster: platform_cluster.Cluster) -> None:
            slow = await cluster.add_endpoint("app-1", "app", zone="a")
            other = await cluster.add_endpoint("app-2", "app", zone="b")
            gateway = await cluster.add_gateway()
            for _ in range(30):
                await cluster.call(gateway, "/lookup/1")
            monkeypatch.setattr(
                http_server.Exchange, "wait_disconnected", record_end
            )
            slow.faults.append(platform_endpoint.Fault.HANG)
            started_s = trio.current_time()
            while slow.faults:
                _, response = await cluster.call(gateway, "/lookup/1")
                assert response.status == 200
            await cluster.until(lambda: _is_true(disconnected))
            # Half of the request's time, at which it would be retried.
            assert disconnected[0] < started_s + 2.0
            # The gateway writes the line after it has sent the response.
            await cluster.until(
                lambda: _is_true("hedge=hedge_won" in gateway.log())
            )
            for each in (slow, other):
                each.faults.append(platform_endpoint.Fault.HANG)
            booking_id, _ = await cluster.call(
                gateway, "/book/1", headers={"Deadline-Ms": "600"}
            )
            runs = [*slow.runs, *other.runs]
            assert [each.request_id for each in runs].count(booking_id) == 1

        gateway_case.run(tmp_path, case)


async def _is_true(value: object) -> bool:
    await trio.lowlevel.checkpoint()
    return bool(value)
