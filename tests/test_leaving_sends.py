"""Tests of requests and endpoints that leave, over real connections."""

from collections.abc import AsyncIterator, Callable
import contextlib
import functools
import random

import attrs
import pytest
import trio

from quetzalmill import answer_memory
from quetzalmill import clock as clock_module
from quetzalmill import dispatch
from quetzalmill import dispatch_job
from quetzalmill import endpoint_pool
from quetzalmill import gateway_outcomes as outcomes
from quetzalmill import http_client
from quetzalmill import http_message
from quetzalmill import http_server
from quetzalmill import route_table
from quetzalmill_platform import wire
from tests import routes

_PATIENCE_S = 5.0
_DIALECT = wire.PlatformDialect()
_SERVICE = route_table.Service(
    name="app", max_connections=8, slots=0, memory_tokens=0, event_tokens=0
)
_STREAM = attrs.evolve(
    routes.LOOKUP, name="watch", repeat=route_table.Repeat.STREAM
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
    """An endpoint that gives its answers one after the other.

    Attributes:
        answers: The answers that are left; the last one repeats.
        requests: How many requests it got.
        connections: How many connections are open.
        proceed: Waited for between a head and the rest, if set.
    """

    def __init__(self, *answers: bytes) -> None:
        self.answers = list(answers)
        self.requests = 0
        self.connections = 0
        self.accepted: Callable[[], None] = lambda: None
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
        self.accepted()
        try:
            while data := await stream.receive_some(65_536):
                assert data.endswith(b"\r\n\r\n")
                self.requests += 1
                answer = self.answers[0]
                if len(self.answers) > 1:
                    del self.answers[0]
                head, _, rest = answer.partition(b"\r\n\r\n")
                await stream.send_all(head + b"\r\n\r\n")
                if self.proceed is not None:
                    await self.proceed.wait()
                await stream.send_all(rest)
        except trio.BrokenResourceError:
            pass
        finally:
            self.connections -= 1


class _Exchange(http_server.Exchange):
    """A caller's exchange that keeps what it is sent."""

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
    """A dispatcher before some endpoints, e1 first."""

    def __init__(self, endpoints: tuple[_Endpoint, ...]) -> None:
        self.clock = clock_module.SystemClock()
        self.pool = endpoint_pool.EndpointPool()
        self.client = http_client.HttpClient()
        self.exchange = _Exchange()
        for number, endpoint in enumerate(endpoints, 1):
            self.take_entry(f"e{number}", endpoint.address)
        self.dispatcher = dispatch.Dispatcher(
            self.pool,
            self.client,
            _DIALECT,
            self.clock,
            "a",
            answer_memory.AnswerMemory(1_000_000),
        )

    def take_entry(
        self, endpoint_id: str, address: str, *, leaving: bool = False
    ) -> None:
        entry = endpoint_pool.Endpoint(
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

    def job(self, route: route_table.Route = routes.LOOKUP) -> dispatch_job.Job:
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

    async def run(
        self, route: route_table.Route = routes.LOOKUP
    ) -> outcomes.Outcome:
        return await self.dispatcher.run(self.job(route), self.exchange)

    def usable(self) -> list[str]:
        usable = self.pool.usable("app", self.clock.now_ms())
        return [each.endpoint.endpoint_id for each in usable]


@contextlib.asynccontextmanager
async def _gateway(*endpoints: _Endpoint) -> AsyncIterator[_Gateway]:
    random.seed(1)
    with trio.fail_after(_PATIENCE_S):
        async with trio.open_nursery() as nursery:
            for endpoint in endpoints:
                await nursery.start(endpoint.run)
            yield _Gateway(endpoints)
            nursery.cancel_scope.cancel()


async def _until(condition: Callable[[], bool]) -> None:
    while not condition():
        await trio.sleep(0.005)


class TestAnswers:
    """Which answers end an endpoint's use, and when."""

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
                assert first.requests == 1

        trio.run(case)

    @pytest.mark.parametrize("route", [routes.LOOKUP, _STREAM])
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

    def test_answer_to_another_request_marks_nobody(self) -> None:
        async def case() -> None:
            first = _Endpoint(_answer(leaving=True, Attempt_Id="a0"))
            async with _gateway(first) as gateway:
                await gateway.run()
                assert gateway.usable() == ["e1"]

        trio.run(case)

    def test_address_that_passed_to_another_endpoint_marks_nobody(
        self,
    ) -> None:
        async def case() -> None:
            first = _Endpoint(_answer(421, leaving=True, Instance_Id="e9"))
            async with _gateway(first) as gateway:
                await gateway.run()
                known = gateway.pool.get("e1")
                assert known is not None and known.mark is None

        trio.run(case)
