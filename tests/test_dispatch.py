"""Tests of sending requests to endpoints, with an in-memory endpoint."""

from collections.abc import AsyncIterator
import contextlib
import types
import unittest.mock
import weakref

import pytest
import trio
import trio.testing

from quetzalmill import dispatch
from quetzalmill import dispatch_job
from quetzalmill import endpoint_record
from quetzalmill import errors
from quetzalmill import gateway_calls
from quetzalmill import gateway_outcomes
from quetzalmill import http_message
from quetzalmill import route_table
from quetzalmill import speed_recorder
from quetzalmill import turn_allowance
from tests import routes
from tests import trio_clock

_CALL = gateway_calls.Call(
    request_id="t1",
    host="desk.example",
    key="k",
    deadline_ms=1_000.0,
    program_id="p",
    program_remaining_ms=5_000.0,
    budget_tokens=60,
    previous_turn_id="",
    prompt_parts=(),
    prompt_tokens=10,
    most_tokens=50,
    http=http_message.Request(method="POST", path="/chat/1", body=b"hello"),
)

_ROUTE = route_table.Route(
    name="chat",
    host="desk.example",
    path_prefix="/chat/",
    retry_mode=route_table.RetryMode.STREAM,
    timeout_ms=1_000.0,
    target_latency_ms=250.0,
    priority=1,
    shares=(),
    max_attempts=2,
    public=False,
    stateful=False,
    retention_ms=0.0,
    max_event_gap_ms=100.0,
    resumable=False,
)


_SLOW_ADDRESS = "127.0.0.1:2"


class _Client:
    """Emulates the connections to endpoints that stream events."""

    def __init__(self, events: int = 5) -> None:
        self._events_of_stream = events

    @contextlib.asynccontextmanager
    async def stream(
        self, address: str, *_: object, **__: object
    ) -> AsyncIterator[unittest.mock.Mock]:
        """Responds with events, one in each piece."""
        response = unittest.mock.Mock(status=200, headers={})
        gap_s = 0.02 if address == _SLOW_ADDRESS else 0.01
        response.__aiter__ = lambda _: self._events(gap_s)
        yield response

    async def _events(self, gap_s: float) -> AsyncIterator[bytes]:
        for number in range(1, self._events_of_stream + 1):
            await trio.sleep(gap_s)
            yield f"id: {number}\ndata: e{number}\n\n".encode()


def _dispatcher(
    *endpoint_states: endpoint_record.EndpointState,
    events: int = 5,
    load: gateway_calls.Load | None = None,
    client: object = None,
    hedge_limit: float = 0.0,
) -> dispatch.Dispatcher:
    """Returns a dispatcher that knows the given endpoints."""
    reply = gateway_calls.Reply(
        status=200,
        headers={},
        correlation=gateway_calls.Correlation.OWN,
        is_genuine=True,
        not_run=False,
        load=load,
        is_draining=False,
    )
    pool = unittest.mock.Mock()
    pool.usable.return_value = list(endpoint_states)
    pool.estimated_load.return_value = 0.0
    dialect = unittest.mock.Mock()
    dialect.decode_reply.return_value = reply
    stream = getattr(client, "stream", _Client(events).stream)
    return dispatch.Dispatcher(
        pool,
        unittest.mock.Mock(stream=stream),
        dialect,
        trio_clock.TrioClock(),
        "a",
        unittest.mock.Mock(read=unittest.mock.AsyncMock(return_value=b"ok")),
        hedge_limit=hedge_limit,
    )


def _endpoint_state(
    endpoint_id: str, domain: str, address: str = "127.0.0.1:1"
) -> endpoint_record.EndpointState:
    return endpoint_record.EndpointState(
        endpoint=endpoint_record.Endpoint(
            endpoint_id=endpoint_id,
            service="llm",
            address=address,
            failure_domain=domain,
            slots=8,
            leaving=False,
            started_unix_ms=0,
            cold_ms=0.0,
        )
    )


def _job(
    body: bytes = b"hello", allowance: turn_allowance.Allowance | None = None
) -> dispatch_job.Job:
    service = unittest.mock.Mock(is_engine=True, cold_per_s=0.0)
    service.name = "llm"
    return dispatch_job.Job(
        call=_CALL,
        route=_ROUTE,
        service=service,
        team="weddings",
        body=body,
        deadline_ms=trio.current_time() * 1_000.0 + 1_000.0,
        priority=0,
        allowance=allowance,
    )


class TestOwnDomain:
    """Requests that cross failure domains although they need not."""

    def test_request_stays(self) -> None:
        states = [_endpoint_state(f"llm-{n}", "abcd"[n % 4]) for n in range(16)]
        dispatcher = _dispatcher(*states)
        # Slower by more than the delay to another domain, but not by more
        # than a caller notices.
        for state in states[::4]:
            state.peers_running, state.peers_average = 1, 1.0
        own = {state.endpoint.endpoint_id for state in states[::4]}
        assert set(_run(dispatcher, 20)) <= own


def _run(
    dispatcher: dispatch.Dispatcher, count: int, body: bytes = b"hello"
) -> list[str]:
    """Runs requests one after another; returns the endpoints they ran on."""
    ran_on = []

    async def run() -> None:
        for _ in range(count):
            job = _job(body)
            exchange = unittest.mock.AsyncMock(disconnected=False)
            await dispatcher.run(job, exchange)
            ran_on.append(job.ran_on)

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
    return ran_on


class TestLearnedSpeeds:
    """Requests sent to an engine although another one is faster."""

    def test_slow_streams(self) -> None:
        """The speed of streams was not measured."""
        fast = _endpoint_state("llm-1", "a")
        slow = _endpoint_state("llm-2", "a", _SLOW_ADDRESS)
        dispatcher = _dispatcher(fast, slow, events=40)
        ran_on = _run(dispatcher, 40)
        assert ran_on[20:].count("llm-2") <= 5

    def test_stream_held_up_by_its_caller_is_not_timed(self) -> None:
        timer = speed_recorder.Timer(
            clock=trio_clock.TrioClock(), sent_ms=0.0, is_resumed=False
        )
        for number in range(20):
            timer.record(1, 10.0 * number)
        assert timer.gap_ms() == 10.0
        timer.held_ms = 100.0
        assert timer.gap_ms() is None

    def test_reported_slowness(self) -> None:
        load = gateway_calls.Load(
            running=1, waiting=0, slots=8, slowness_percent=250
        )
        state = _endpoint_state("llm-1", "a")
        _run(_dispatcher(state, load=load), 1)
        now_ms = state.reported_ms
        assert state.speed.slowness(now_ms) == 2.5
        # A report says little once its host has changed several times.
        assert state.speed.slowness(now_ms + 2_000.0) < 1.02


class TestTurnsThatWaitForTokens:
    """Streams that are blocked by their token budget, not by their endpoint."""

    def test_endpoint_is_not_blamed_for_a_budget_nobody_can_release(
        self,
    ) -> None:
        """The stream ends at its deadline although its endpoint works."""
        endpoint_state = _endpoint_state("llm-1", "a")
        sent: list[bytes] = []

        async def send(data: bytes) -> None:
            await trio.lowlevel.checkpoint()
            sent.append(data)

        async def run() -> None:
            dispatcher = _dispatcher(endpoint_state)
            job = _job(
                allowance=turn_allowance.Allowance(
                    most_tokens=50,
                    released_tokens=25,
                    event_tokens=9,
                    request_release=trio.sleep_forever,
                )
            )
            exchange = types.SimpleNamespace(
                disconnected=False,
                send=send,
                start_stream=unittest.mock.AsyncMock(),
            )
            outcome = await dispatcher.run(
                job, unittest.mock.Mock(wraps=exchange, disconnected=False)
            )
            assert isinstance(outcome, gateway_outcomes.Streamed)
            assert not outcome.complete
            assert outcome.outputs == (b"e1", b"e2")
            assert not job.endpoint_died

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        assert b"e3" not in b"".join(sent)
        assert endpoint_state.health.failures == 0.0
        assert endpoint_state.failures == 0


class _Received:
    """What was received before a response was lost."""


class _LosingClient:
    """Emulates an endpoint whose responses are lost after some bytes.

    Attributes:
        received: The bytes that were received last.
    """

    received: weakref.ReferenceType[_Received] | None = None

    @contextlib.asynccontextmanager
    async def stream(
        self, *_: object, **__: object
    ) -> AsyncIterator[unittest.mock.Mock]:
        """Fails with an error whose traceback refers to the bytes."""
        await trio.lowlevel.checkpoint()
        received = _Received()
        self.received = weakref.ref(received)
        if self.received() is not None:
            raise errors.BadMessageError("the answer goes on", 502)
        yield unittest.mock.Mock()


class TestLostResponses:
    """A check by connecting whether the endpoint of a lost response is up."""

    def test_what_was_received_is_released_before(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against lost responses that are kept beyond their charge."""
        client = _LosingClient()
        is_kept: list[bool] = []

        async def connect(*_: object) -> None:
            await trio.lowlevel.checkpoint()
            assert client.received is not None
            is_kept.append(client.received() is not None)
            raise OSError

        monkeypatch.setattr(trio, "open_tcp_stream", connect)
        _run(_dispatcher(_endpoint_state("llm-1", "a"), client=client), 1)
        assert is_kept == [False]


class _SlowClient:
    """Emulates endpoints whose responses take given times, in order."""

    def __init__(self, *took_ms: float) -> None:
        self._took_ms = list(took_ms)

    @contextlib.asynccontextmanager
    async def stream(
        self, *_: object, timeout_ms: float, **__: object
    ) -> AsyncIterator[unittest.mock.Mock]:
        took_ms = self._took_ms.pop(0)
        await trio.sleep(min(took_ms, timeout_ms) / 1_000.0)
        if took_ms > timeout_ms:
            raise errors.ResponseTimeoutError("no response in time")
        yield unittest.mock.Mock(status=200, headers={})


class TestHedges:
    """An early retry that cancels the first attempt of a hedged request."""

    def test_first_attempt_goes_on(self) -> None:
        states = [_endpoint_state(f"llm-{n}", "ab"[n]) for n in range(2)]
        times_ms = [20.0] * 30 + [400.0, 800.0]
        dispatcher = _dispatcher(
            *states, client=_SlowClient(*times_ms), hedge_limit=0.2
        )

        async def run() -> dispatch_job.Job:
            for _ in range(31):
                job = _job()
                job.route = routes.LOOKUP
                exchange = unittest.mock.AsyncMock(disconnected=False)
                outcome = await dispatcher.run(job, exchange)
                assert isinstance(outcome, gateway_outcomes.Answered)
            return job

        job = trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        assert (job.sends, job.hedge) == (2, "first_won")
        assert job.ran_on == job.tried[0]
