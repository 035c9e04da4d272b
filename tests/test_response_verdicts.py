"""Tests of what responses may be believed to say, over real connections."""

from collections.abc import AsyncIterator, Callable
import contextlib
import functools

import attrs
import pytest
import trio

from quetzalmill import clock as clock_module
from quetzalmill import dispatch
from quetzalmill import dispatch_job
from quetzalmill import endpoint_pool
from quetzalmill import endpoint_record
from quetzalmill import gateway_outcomes as outcomes
from quetzalmill import http_client
from quetzalmill import http_message
from quetzalmill import http_server
from quetzalmill import response_memory
from quetzalmill import route_table
from quetzalmill_platform import wire
from tests import routes

_TIMEOUT_S = 5.0
_DEADLINE_MS = 1_500.0
_SERVICE = route_table.Service(
    name="app", max_connections=8, slots=0, memory_tokens=0, event_tokens=0
)
_BOOKING = attrs.evolve(
    routes.LOOKUP, name="book", retry_mode=route_table.RetryMode.UNSAFE
)
_Respond = Callable[[str, int], bytes]
"""Returns the bytes for a request that ran, by its id and its place among the
requests of its connection."""


def _head(status: int, *fields: tuple[str, str]) -> bytes:
    lines = [f"{name}: {value}" for name, value in fields]
    return "\r\n".join([f"HTTP/1.1 {status} X", *lines, "", ""]).encode()


def _refusal(*fields: tuple[str, str], status: int = 503) -> bytes:
    return _head(
        status, ("Content-Length", "0"), ("Not-Executed", "1"), *fields
    )


def _success(request_id: str) -> bytes:
    fields = [("Response-Signature", "s"), ("Content-Length", "4")]
    if request_id:
        fields.append(("Attempt-Id", request_id))
    return _head(200, *fields) + b"done"


class _Endpoint:
    """An endpoint that refuses some requests and runs the others.

    Attributes:
        refuses: How many of the next requests it refuses.
        respond: Returns the bytes for a request that ran.
        runs: The ids of the requests that ran.
    """

    def __init__(self, respond: _Respond, refuses: int = 0) -> None:
        self.respond = respond
        self.refuses = refuses
        self.runs: list[str] = []
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
        with contextlib.suppress(trio.BrokenResourceError):
            exchange = 0
            while data := await stream.receive_some(65_536):
                exchange += 1
                request_id = _request_id(data)
                if self.refuses:
                    self.refuses -= 1
                    named = [("Attempt-Id", request_id)] if request_id else []
                    await stream.send_all(_refusal(*named))
                    continue
                self.runs.append(request_id)
                await stream.send_all(self.respond(request_id, exchange))
        await trio.aclose_forcefully(stream)


def _request_id(data: bytes) -> str:
    for line in data.decode().split("\r\n"):
        name, _, value = line.partition(": ")
        if name.lower() == "attempt-id":
            return value
    return ""


class _Exchange(http_server.Exchange):
    """A caller that stays connected."""

    def __init__(self) -> None:
        self._disconnected = trio.Event()


class _Gateway:
    """A dispatcher and its endpoints."""

    def __init__(self, endpoints: tuple[_Endpoint, ...]) -> None:
        self._clock = clock_module.SystemClock()
        self._dialect = wire.PlatformDialect()
        self.pool = pool = endpoint_pool.EndpointPool()
        for number, endpoint in enumerate(endpoints, 1):
            pool.update(
                endpoint_record.Endpoint(
                    endpoint_id=f"e{number}",
                    service="app",
                    address=endpoint.address,
                    failure_domain="a",
                    slots=4,
                    leaving=False,
                    started_unix_ms=100,
                    cold_ms=0.0,
                ),
                self._clock.now_ms(),
            )
        self._dispatcher = dispatch.Dispatcher(
            pool,
            http_client.HttpClient(),
            self._dialect,
            self._clock,
            "a",
            response_memory.ResponseMemory(1_000_000),
        )

    async def book(
        self, request_id: str, route: route_table.Route = _BOOKING
    ) -> outcomes.Outcome:
        headers = {"attempt-id": request_id} if request_id else {}
        request = http_message.Request(
            method="POST", path="/book/1", headers=headers
        )
        job = dispatch_job.Job(
            call=self._dialect.decode_call(request),
            route=route,
            service=_SERVICE,
            team="",
            body=b"",
            deadline_ms=self._clock.now_ms() + _DEADLINE_MS,
            priority=None,
        )
        return await self._dispatcher.run(job, _Exchange())


@contextlib.asynccontextmanager
async def _gateway(*endpoints: _Endpoint) -> AsyncIterator[_Gateway]:
    with trio.fail_after(_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            for endpoint in endpoints:
                await nursery.start(endpoint.run)
            yield _Gateway(endpoints)
            nursery.cancel_scope.cancel()


def _book_after_refusal(
    respond: _Respond,
) -> tuple[outcomes.Outcome, list[str]]:
    """Books once in vain at both endpoints, then again on their connections.

    Returns the outcome of the second booking, ``a1``, and what ran.
    """

    async def case() -> tuple[outcomes.Outcome, list[str]]:
        endpoints = [_Endpoint(respond, refuses=1) for _ in range(2)]
        async with _gateway(*endpoints) as gateway:
            refused = await gateway.book("a0")
            assert isinstance(refused, outcomes.Refused)
            outcome = await gateway.book("a1")
            return outcome, [run for each in endpoints for run in each.runs]

    return trio.run(case)


class TestLateCopies:
    """A refusal of ``a0`` comes again where the response to ``a1`` is due."""

    @pytest.mark.parametrize(
        "copy",
        [
            pytest.param(_refusal(("Attempt-Id", "a0")), id="other id"),
            pytest.param(_refusal(), id="no id"),
            pytest.param(_refusal(("Attempt-Id", "")), id="empty id"),
            pytest.param(_head(421, ("Content-Length", "0")), id="bare 421"),
            pytest.param(_refusal(status=429), id="429 without id"),
            pytest.param(
                _refusal(("Attempt-Id", "a0"), ("Attempt-Id", "a1")),
                id="both ids",
            ),
            pytest.param(2 * _refusal(), id="twice without id"),
        ],
    )
    def test_copy_of_refusal_refuses_no_other_request(
        self, copy: bytes
    ) -> None:
        """The booking runs once and gets its own response."""
        outcome, runs = _book_after_refusal(
            lambda request_id, _: copy + _success(request_id)
        )
        assert runs == ["a1"]
        assert isinstance(outcome, outcomes.Answered)
        assert outcome.status == 200

    @pytest.mark.parametrize(
        "cut",
        [
            pytest.param(
                _head(503, ("Not-Executed", "1"))[: -len("\r\n\r\n")],
                id="value",
            ),
            pytest.param(b"HTTP/1.1 421 Misd", id="421 reason"),
            pytest.param(b"HTTP/1.1 503 Serv", id="503 reason"),
            pytest.param(b"HTTP/1.1 500 Inte", id="500 reason"),
        ],
    )
    def test_cut_copy_glued_to_the_response_refuses_nothing(
        self, cut: bytes
    ) -> None:
        """One head seems to hold the copy's status and the booking's id.

        Nor does the booking's proof reach the caller with that status.
        """
        outcome, runs = _book_after_refusal(
            lambda request_id, _: cut + _success(request_id)
        )
        assert runs == ["a1"]
        assert isinstance(outcome, outcomes.Unknown)

    def test_copy_without_an_id_alone_is_not_a_refusal(self) -> None:
        """The booking's own response is lost; it may have run."""
        outcome, runs = _book_after_refusal(lambda _, __: _refusal())
        assert runs == ["a1"]
        assert isinstance(outcome, outcomes.Unknown)

    def test_answer_without_an_id_on_a_new_connection_is_skipped(self) -> None:
        """The endpoint sends bytes that belong to no request."""

        async def case() -> None:
            endpoint = _Endpoint(
                lambda request_id, _: _refusal() + _success(request_id)
            )
            async with _gateway(endpoint) as gateway:
                outcome = await gateway.book("a1")
                assert isinstance(outcome, outcomes.Answered)
                assert endpoint.runs == ["a1"]

        trio.run(case)


class TestConnections:
    """On which connections a request is sent."""

    def test_request_is_not_sent_twice_on_a_connection(self) -> None:
        """A late response would name the second one too."""

        def respond(request_id: str, exchange: int) -> bytes:
            copy = _refusal(("Attempt-Id", request_id)) if exchange > 1 else b""
            return copy + _success(request_id)

        async def case() -> None:
            endpoint = _Endpoint(respond, refuses=1)
            async with _gateway(endpoint) as gateway:
                refused = await gateway.book("a1")
                assert isinstance(refused, outcomes.Refused)
                answered = await gateway.book("a1")
                assert isinstance(answered, outcomes.Answered)

        trio.run(case)

    def test_request_is_not_sent_twice_with_others_between(self) -> None:
        """A connection remembers more than the last request."""

        def respond(request_id: str, exchange: int) -> bytes:
            copy = b""
            if exchange > 1 and request_id == "a1":
                copy = _refusal(("Attempt-Id", request_id))
            return copy + _success(request_id)

        async def case() -> None:
            endpoint = _Endpoint(respond, refuses=1)
            async with _gateway(endpoint) as gateway:
                refused = await gateway.book("a1")
                assert isinstance(refused, outcomes.Refused)
                for request_id in ("a2", "a3", "a1"):
                    outcome = await gateway.book(request_id)
                    assert isinstance(outcome, outcomes.Answered)

        trio.run(case)


class TestContradictions:
    """Heads that name the request but cannot be true of it."""

    @pytest.mark.parametrize(
        "fields",
        [
            pytest.param(
                (503, ("Not-Executed", "1"), ("Response-Signature", "s")),
                id="refusal with proof",
            ),
            pytest.param(
                (421, ("Response-Signature", "s")), id="421 with proof"
            ),
            pytest.param(
                (200, ("Not-Executed", "1")), id="success that did not run"
            ),
            pytest.param(
                (500, ("Not-Executed", "1")), id="error that did not run"
            ),
            *(
                pytest.param(
                    (status, ("Response-Signature", "s")),
                    id=f"own {status}",
                )
                for status in (408, 429, 503)
            ),
        ],
    )
    def test_request_that_may_have_run_is_neither_refused_nor_sent_again(
        self, fields: tuple[int, *tuple[tuple[str, str], ...]]
    ) -> None:
        status, *others = fields

        async def case() -> None:
            endpoints = [
                _Endpoint(
                    lambda request_id, _: _head(
                        status,
                        ("Content-Length", "0"),
                        ("Attempt-Id", request_id),
                        *others,
                    )
                )
                for _ in range(2)
            ]
            async with _gateway(*endpoints) as gateway:
                outcome = await gateway.book("a1")
                assert isinstance(outcome, outcomes.Unknown)
                assert [run for each in endpoints for run in each.runs] == [
                    "a1"
                ]

        trio.run(case)


class TestRefusals:
    """Refusals that are true."""

    @pytest.mark.parametrize("status", [400, 421, 429, 503])
    def test_own_refusal_sends_the_request_to_another_endpoint(
        self, status: int
    ) -> None:
        async def case() -> None:
            endpoints = [
                _Endpoint(
                    lambda request_id, _: _refusal(
                        ("Attempt-Id", request_id), status=status
                    )
                )
                for _ in range(2)
            ]
            async with _gateway(*endpoints) as gateway:
                outcome = await gateway.book("a1")
                assert isinstance(outcome, outcomes.Refused)
                assert outcome.status == 503
                assert all(each.runs == ["a1"] for each in endpoints)

        trio.run(case)

    def test_request_without_id_uses_a_new_connection(self) -> None:
        """On a kept one, a copy of another refusal would refuse it."""

        def respond(request_id: str, exchange: int) -> bytes:
            copy = _refusal() if exchange > 1 else b""
            return copy + _success(request_id)

        async def case() -> None:
            endpoint = _Endpoint(respond)
            async with _gateway(endpoint) as gateway:
                for request_id in ("a0", ""):
                    outcome = await gateway.book(request_id)
                    assert isinstance(outcome, outcomes.Answered)
                assert endpoint.runs == ["a0", ""]

        trio.run(case)

    def test_refusal_of_request_without_id_is_believed(self) -> None:
        """It names nothing, but no earlier request can be meant."""

        async def case() -> None:
            endpoint = _Endpoint(lambda _, __: _refusal(status=400))
            async with _gateway(endpoint) as gateway:
                outcome = await gateway.book("")
                assert isinstance(outcome, outcomes.Refused)

        trio.run(case)


class TestSpentBudgets:
    """A 402 promises the caller of a turn that the turn does not run."""

    def test_turn_that_ran_is_not_answered_402(self) -> None:
        """An endpoint's own 402, with its proof, is no such promise."""
        turn = attrs.evolve(
            routes.LOOKUP,
            name="turn",
            retry_mode=route_table.RetryMode.STREAM,
            stateful=True,
        )

        async def case() -> None:
            endpoint = _Endpoint(
                lambda request_id, _: _head(
                    402,
                    ("Content-Length", "0"),
                    ("Attempt-Id", request_id),
                    ("Response-Signature", "s"),
                )
            )
            async with _gateway(endpoint) as gateway:
                outcome = await gateway.book("a1", turn)
                assert endpoint.runs == ["a1"]
                assert isinstance(outcome, outcomes.Unknown)

        trio.run(case)


class TestSafeRequests:
    """Requests that may run more than once, whatever they are answered."""

    @pytest.mark.parametrize("status", [408, 429, 503])
    def test_endpoints_own_failure_is_passed_on_unchanged(
        self, status: int
    ) -> None:
        """It promises nothing that a safe request could break."""

        async def case() -> None:
            endpoints = [
                _Endpoint(
                    lambda request_id, _: _head(
                        status,
                        ("Content-Length", "0"),
                        ("Attempt-Id", request_id),
                        ("Response-Signature", "s"),
                    )
                )
                for _ in range(2)
            ]
            async with _gateway(*endpoints) as gateway:
                outcome = await gateway.book("a1", routes.LOOKUP)
                assert isinstance(outcome, outcomes.Answered)
                assert outcome.status == status

        trio.run(case)


class TestHeadersThatQuoteHttp:
    """A sound response may mention HTTP in a header of its own."""

    @pytest.mark.parametrize(
        "field",
        [
            ("Via", "HTTP/1.1 200 cache-3"),
            ("Warning", '199 - "upstream said HTTP/1.1 503"'),
        ],
    )
    def test_response_with_such_a_header_is_passed_on(
        self, field: tuple[str, str]
    ) -> None:
        async def case() -> None:
            endpoint = _Endpoint(
                lambda request_id, _: _head(
                    200,
                    ("Content-Length", "0"),
                    ("Attempt-Id", request_id),
                    ("Response-Signature", "s"),
                    field,
                )
            )
            async with _gateway(endpoint) as gateway:
                outcome = await gateway.book("a1")
                assert isinstance(outcome, outcomes.Answered)

        trio.run(case)


class TestLoadReports:
    """The load that an endpoint's responses report."""

    @pytest.mark.parametrize(
        ("fields", "running"),
        [
            ((("Attempt-Id", "a1"), ("Response-Signature", "s")), 7),
            ((("Attempt-Id", "a1"),), 0),
            ((("Response-Signature", "s"),), 0),
            ((("Attempt-Id", "a0"), ("Response-Signature", "s")), 0),
        ],
    )
    def test_load_counts_only_from_the_requests_own_response(
        self, fields: tuple[tuple[str, str], ...], running: int
    ) -> None:
        """A late copy reports the load of an earlier time."""

        async def case() -> None:
            endpoint = _Endpoint(
                lambda _, __: _head(
                    200,
                    ("Content-Length", "0"),
                    ("Server-Load", "7,0,8"),
                    *fields,
                )
            )
            async with _gateway(endpoint) as gateway:
                await gateway.book("a1")
                (known,) = gateway.pool.all()
                assert known.reported_running == running

        trio.run(case)
