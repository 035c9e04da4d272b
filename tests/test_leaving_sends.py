"""Tests of requests to draining endpoints, over real connections."""

from collections.abc import AsyncIterator, Callable
import contextlib
import functools
import random

import attrs
import pytest
import trio

from quetzalmill import clock as clock_module
from quetzalmill import dispatch
from quetzalmill import dispatch_job
from quetzalmill import endpoint_pool
from quetzalmill import endpoint_record
from quetzalmill import errors
from quetzalmill import gateway_calls
from quetzalmill import gateway_metrics
from quetzalmill import gateway_outcomes as outcomes
from quetzalmill import http_client
from quetzalmill import http_connect
from quetzalmill import http_connection
from quetzalmill import http_message
from quetzalmill import http_server
from quetzalmill import leaving_watch
from quetzalmill import response_memory
from quetzalmill import route_table
from quetzalmill_platform import wire
from tests import routes

_TIMEOUT_S = 5.0
_DIALECT = wire.PlatformDialect()
_SERVICE = route_table.Service(
    name="app", max_connections=8, slots=0, memory_tokens=0, event_tokens=0
)
_LOOKUP = attrs.evolve(routes.LOOKUP, target_latency_ms=1_500.0)
"""Its objective exceeds the pauses of garbage collection in this process, in
which the endpoints run too; an overdue look-up would leave its endpoint."""
_STREAM = attrs.evolve(
    _LOOKUP, name="watch", retry_mode=route_table.RetryMode.STREAM
)


def _answer(
    status: int = 200,
    body: bytes = b"ok",
    *,
    leaving: bool = False,
    **headers: str,
) -> bytes:
    fields = {"Content-Length": str(len(body)), "Attempt-Id": "a1"}
    if status == 200:
        fields["Response-Signature"] = "s"
    if leaving:
        fields["Server-Leaving"] = "1"
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    lines = [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join([f"HTTP/1.1 {status} X", *lines, "", ""]).encode() + body


class _Endpoint:
    """An endpoint that sends a list of responses in order.

    Attributes:
        answers: The remaining responses; the last one repeats.
        requests: The number of requests received.
        connections: The number of open connections.
        ends_after_answer: Whether it closes the connection after a response.
        proceed: An event awaited between a head and the rest, if set.
    """

    def __init__(self, *answers: bytes) -> None:
        self.answers = list(answers)
        self.requests = 0
        self.connections = 0
        self.ends_after_answer = False
        self.proceed: trio.Event | None = None
        self.address = ""

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(
                functools.partial(
                    trio.serve_tcp, self._serve, 0, host="127.0.0.1"
                )
            )
            port = listeners[0].socket.getsockname()[1]
            self.address = f"127.0.0.1:{port}"
            task_status.started()

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        try:
            while data := await stream.receive_some(65_536):
                assert data.endswith(b"\r\n\r\n")
                self.requests += 1
                answer = self.answers[0]
                if len(self.answers) > 1:
                    del self.answers[0]
                head, _, rest = answer.partition(b"\r\n\r\n")
                if head:
                    await stream.send_all(head + b"\r\n\r\n")
                if self.proceed is not None:
                    await self.proceed.wait()
                await stream.send_all(rest)
                if self.ends_after_answer:
                    return
        except trio.BrokenResourceError:
            pass
        finally:
            self.connections -= 1
            await trio.aclose_forcefully(stream)


class _Exchange(http_server.Exchange):
    """A caller's exchange that records what it is sent."""

    def __init__(self) -> None:
        self._disconnected = trio.Event()
        self.body = b""

    async def start_stream(
        self, status: int, headers: dict[str, str] | None = None
    ) -> None:
        await trio.lowlevel.checkpoint()

    async def send(self, data: bytes) -> None:
        await trio.lowlevel.checkpoint()
        self.body += data


class _Gateway:
    """A dispatcher and its endpoints, named e1, e2 and so on."""

    def __init__(self, endpoints: tuple[_Endpoint, ...]) -> None:
        self.clock = clock_module.SystemClock()
        self.pool = endpoint_pool.EndpointPool()
        self.client = http_client.HttpClient()
        self.pool.observer = leaving_watch.LeavingWatch(
            self.client, gateway_metrics.GatewayMetrics()
        )
        self.exchange = _Exchange()
        for number, endpoint in enumerate(endpoints, 1):
            self.apply_entry(f"e{number}", endpoint.address)
        self.dispatcher = dispatch.Dispatcher(
            self.pool,
            self.client,
            _DIALECT,
            self.clock,
            "a",
            response_memory.ResponseMemory(1_000_000),
        )

    def apply_entry(
        self, endpoint_id: str, address: str, *, leaving: bool = False
    ) -> None:
        entry = endpoint_record.Endpoint(
            endpoint_id=endpoint_id,
            service="app",
            address=address,
            failure_domain="a",
            slots=4,
            leaving=leaving,
            started_unix_ms=100,
            cold_ms=0.0,
        )
        self.pool.update(entry, self.clock.now_ms())

    def job(self, route: route_table.Route = _LOOKUP) -> dispatch_job.Job:
        call = _DIALECT.decode_call(
            http_message.Request(
                method="GET", path="/stock/1", headers={"attempt-id": "a1"}
            )
        )
        return dispatch_job.Job(
            call=call,
            route=route,
            service=_SERVICE,
            team="",
            body=b"",
            deadline_ms=self.clock.now_ms() + 3_000.0,
            priority=None,
        )

    async def run(self, route: route_table.Route = _LOOKUP) -> outcomes.Outcome:
        return await self.dispatcher.run(self.job(route), self.exchange)

    def notice(self, known: endpoint_record.EndpointState, notice: str) -> None:
        """Simulates a drain notice or the removal of an endpoint."""
        now_ms = self.clock.now_ms()
        match notice:
            case "answer":
                self.pool.record_drain_notice(known, "r2", now_ms)
            case "entry":
                entry = attrs.evolve(known.endpoint, leaving=True)
                self.pool.update(entry, now_ms)
            case _:
                self.pool.remove(
                    known.endpoint.endpoint_id,
                    now_ms,
                    store_was_unavailable=False,
                )

    def usable(self) -> list[str]:
        usable = self.pool.usable("app", self.clock.now_ms())
        return [each.endpoint.endpoint_id for each in usable]


@contextlib.asynccontextmanager
async def _gateway(*endpoints: _Endpoint) -> AsyncIterator[_Gateway]:
    random.seed(1)
    with trio.fail_after(_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            for endpoint in endpoints:
                await nursery.start(endpoint.run)
            yield _Gateway(endpoints)
            nursery.cancel_scope.cancel()


def _on_connect(
    monkeypatch: pytest.MonkeyPatch, connected: Callable[[str], None]
) -> None:
    """Calls ``connected`` when a connection is made, before it is used."""
    connect = http_connect.connect

    async def connect_and_notify(address: str) -> trio.SocketStream:
        stream = await connect(address)
        connected(address)
        return stream

    monkeypatch.setattr(http_connect, "connect", connect_and_notify)


async def _until(condition: Callable[[], bool]) -> None:
    while not condition():
        await trio.sleep(0.005)


class TestAnswers:
    """Which responses stop the use of an endpoint, and when."""

    @pytest.mark.parametrize("status", [200, 404, 429, 500, 503])
    def test_answer_of_any_status(self, status: int) -> None:
        async def case() -> None:
            first = _Endpoint(_answer(status, leaving=True))
            async with _gateway(first) as gateway:
                await gateway.run()
                assert gateway.usable() == []
                outcome = await gateway.run()
                assert isinstance(outcome, outcomes.Refused)
                assert outcome.status == 503
                assert outcome.retry_after_ms is not None
                assert outcome.reason == "all endpoints leave"
                assert first.requests == 1

        trio.run(case)

    @pytest.mark.parametrize("route", [_LOOKUP, _STREAM])
    def test_counts_at_the_head_and_what_runs_is_delivered(
        self, route: route_table.Route
    ) -> None:
        async def case() -> None:
            first = _Endpoint(_answer(body=b"id: 1\n\n", leaving=True))
            first.proceed = trio.Event()
            async with _gateway(first) as gateway:
                ended: list[outcomes.Outcome] = []

                async def run() -> None:
                    ended.append(await gateway.run(route))

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(run)
                    await _until(lambda: not gateway.usable())
                    assert not ended
                    first.proceed.set()
                match ended:
                    case [outcomes.Answered(body=body)]:
                        assert body == b"id: 1\n\n"
                    case [outcomes.Streamed(complete=complete)]:
                        assert complete
                        assert gateway.exchange.body == b"id: 1\n\n"
                    case _:
                        raise AssertionError(ended)

        trio.run(case)

    def test_response_to_another_request_drains_nobody(self) -> None:
        async def case() -> None:
            first = _Endpoint(_answer(leaving=True, Attempt_Id="a0"))
            async with _gateway(first) as gateway:
                await gateway.run()
                assert gateway.usable() == ["e1"]

        trio.run(case)

    def test_misdirected_response_drains_nobody(
        self,
    ) -> None:
        async def case() -> None:
            first = _Endpoint(_answer(421, leaving=True, Instance_Id="e9"))
            async with _gateway(first) as gateway:
                await gateway.run()
                known = gateway.pool.get("e1")
                assert known is not None and known.drain_notice is None

        trio.run(case)

    def test_interim_head_counts_at_once(self) -> None:
        async def case() -> None:
            interim = b"HTTP/1.1 103 Early Hints\r\nServer-Leaving: 1\r\n\r\n"
            first = _Endpoint(interim + _answer())
            first.proceed = trio.Event()
            async with _gateway(first) as gateway:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(gateway.run)
                    await _until(lambda: not gateway.usable())
                    first.proceed.set()
                assert first.requests == 1

        trio.run(case)

    def test_interim_head_of_another_request_drains_nobody(self) -> None:
        async def case() -> None:
            interim = (
                b"HTTP/1.1 103 Early Hints\r\nServer-Leaving: 1\r\n"
                b"Attempt-Id: a0\r\n\r\n"
            )
            first = _Endpoint(interim + _answer())
            async with _gateway(first) as gateway:
                outcome = await gateway.run()
                assert isinstance(outcome, outcomes.Answered)
                assert gateway.usable() == ["e1"]

        trio.run(case)


class TestUnsentRequests:
    """Requests whose chosen endpoint drains before they are sent."""

    _MORE_THAN_MAX_CONNECT_FAILURES = dispatch.MAX_CONNECT_FAILURES + 1

    @pytest.mark.parametrize("notice", ["entry", "answer", "gone"])
    def test_request_goes_elsewhere_without_using_an_attempt(
        self, monkeypatch: pytest.MonkeyPatch, notice: str
    ) -> None:
        """Each endpoint but the last drains while the gateway connects."""

        async def case() -> None:
            endpoints = [
                _Endpoint(_answer())
                for _ in range(self._MORE_THAN_MAX_CONNECT_FAILURES + 1)
            ]
            async with _gateway(*endpoints) as gateway:

                def leave(address: str) -> None:
                    usable = gateway.pool.usable("app", gateway.clock.now_ms())
                    if len(usable) > 1:
                        chosen = next(
                            each
                            for each in usable
                            if each.endpoint.address == address
                        )
                        gateway.notice(chosen, notice)

                _on_connect(monkeypatch, leave)
                job = gateway.job()
                outcome = await gateway.dispatcher.run(job, gateway.exchange)
                assert isinstance(outcome, outcomes.Answered)
                assert job.sends == 1
                assert sum(each.requests for each in endpoints) == 1
                assert len(job.tried) == len(endpoints)

        trio.run(case)

    def test_request_is_refused_at_once_when_the_last_one_drains(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def case() -> None:
            first = _Endpoint(_answer())
            async with _gateway(first) as gateway:
                known = gateway.pool.get("e1")
                assert known is not None
                _on_connect(
                    monkeypatch, lambda _: gateway.notice(known, "answer")
                )
                outcome = await gateway.run()
                assert isinstance(outcome, outcomes.Refused)
                assert outcome.status == 503
                assert first.requests == 0
                assert known.failures == 0

        trio.run(case)

    def test_stream_resumes_only_at_an_active_endpoint(self) -> None:
        async def case() -> None:
            complete_response = _answer(
                body=b"id: 1\n\nid: 2\n\n", leaving=True
            )
            endpoints = [_Endpoint(complete_response[:-1]) for _ in range(3)]
            for each in endpoints:
                each.ends_after_answer = True
            route = attrs.evolve(_STREAM, resumable=True, max_attempts=9)
            async with _gateway(*endpoints) as gateway:
                await gateway.run(route)
                assert [each.requests for each in endpoints] == [1, 1, 1]
                await gateway.run(route)
                assert [each.requests for each in endpoints] == [1, 1, 1]

        trio.run(case)

    def test_withdrawn_second_copy_does_not_hide_the_first(self) -> None:
        """The first copy was sent on a kept-alive connection that closed."""

        async def case() -> None:
            first = _Endpoint(_answer(), b"")
            async with _gateway(first) as gateway:
                await gateway.run()
                first.ends_after_answer = True
                allowed = [True, False]
                hooks = http_connection.RequestHooks(
                    may_send=lambda: allowed.pop(0)
                )
                with pytest.raises(errors.ConnectionLostError):
                    async with gateway.client.stream(
                        first.address,
                        http_message.Request(method="GET", path="/"),
                        timeout_ms=1_000.0,
                        whole_timeout_ms=1_000.0,
                        idempotent=True,
                        hooks=hooks,
                    ):
                        pass
                assert not allowed

        trio.run(case)


class TestPlacement:
    """Placement and load control ignore draining endpoints."""

    def test_endpoint_with_the_prompt_cached(self) -> None:
        async def case() -> None:
            endpoints = [_Endpoint(_answer()) for _ in range(2)]
            async with _gateway(*endpoints) as gateway:
                job = gateway.job()
                parts = (gateway_calls.PromptPart("p", 5_000),)
                job.call = attrs.evolve(job.call, prompt_parts=parts)
                job.service = attrs.evolve(_SERVICE, memory_tokens=9_000)
                gateway.dispatcher.prefixes.record("e1", parts)
                known = gateway.pool.get("e1")
                assert known is not None
                gateway.notice(known, "answer")
                await gateway.dispatcher.run(job, gateway.exchange)
                assert [each.requests for each in endpoints] == [0, 1]

        trio.run(case)

    def test_pressure_on_a_service(self) -> None:
        async def case() -> None:
            async with _gateway(_Endpoint(), _Endpoint()) as gateway:
                known = gateway.pool.get("e1")
                assert known is not None
                known.running = 8
                assert gateway.dispatcher.load_per_slot("app") == 1.0
                gateway.notice(known, "answer")
                assert gateway.dispatcher.load_per_slot("app") == 0.0

        trio.run(case)


class TestKeptConnections:
    """Kept-alive connections to a draining endpoint."""

    @pytest.mark.parametrize("notice", ["entry", "answer"])
    def test_idle_ones_are_closed_at_the_first_notice(
        self, notice: str
    ) -> None:
        async def case() -> None:
            first = _Endpoint(_answer())
            async with _gateway(first) as gateway:
                await gateway.run()
                assert first.connections == 1
                known = gateway.pool.get("e1")
                assert known is not None
                gateway.notice(known, notice)
                await _until(lambda: first.connections == 0)

        trio.run(case)

    def test_those_in_use_are_closed_after_their_answer(self) -> None:
        async def case() -> None:
            first = _Endpoint(_answer())
            first.proceed = trio.Event()
            async with _gateway(first) as gateway:
                known = gateway.pool.get("e1")
                assert known is not None
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(gateway.run)
                    await _until(lambda: first.requests == 1)
                    gateway.notice(known, "entry")
                    first.proceed.set()
                await _until(lambda: first.connections == 0)

        trio.run(case)
