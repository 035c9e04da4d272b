"""Property tests of what responses on an endpoint's connection may claim.

Endpoints are scripted: they write drawn bytes where an answer is due. What the
dispatcher makes of them is judged by what the endpoints ran.
"""

from collections.abc import AsyncIterator
import contextlib
import functools
import itertools
import random

import attrs
import hypothesis
from hypothesis import strategies as st
import pytest
import trio
import trio.testing

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

_DIALECT = wire.PlatformDialect()
_SERVICE = route_table.Service(
    name="app", max_connections=8, slots=0, memory_tokens=0, event_tokens=0
)
_BOOKING = attrs.evolve(
    routes.LOOKUP, name="book", retry_mode=route_table.RetryMode.UNSAFE
)
_STREAM = attrs.evolve(
    routes.LOOKUP, name="watch", retry_mode=route_table.RetryMode.STREAM
)
_NOT_RUN = (408, 421, 429, 503)
_MISDIRECTED = 421
_DEADLINE_MS = 2_000.0
"""Longer than any pause of this process."""
_SHORT_DEADLINE_MS = 60.0
"""For requests that may get no answer."""
_GRACE_S = 2.0
_MAX_JUNK = 2
_SETTINGS = hypothesis.settings(
    max_examples=120,
    deadline=None,
    derandomize=True,
    # Tracing the lines of each example slows it down past its deadline.
    phases=[hypothesis.Phase.generate, hypothesis.Phase.shrink],
    report_multiple_bugs=False,
)

_OTHER = "OTHER"
_OWN = "OWN"
_CLAIM = "Not-Executed: 1"
_SIGNATURE = "Response-Signature: s"


@attrs.frozen
class Head:
    """A response that is not the answer, by its lines.

    Attributes:
        status: The HTTP status; below 200 for an interim head.
        ids: ``OTHER``, ``OWN`` or nothing, for each ``Attempt-Id``.
        claims: Whether it states that a request did not run.
        is_signed: Whether it carries a signature.
        body: Its body.
    """

    status: int
    ids: tuple[str, ...]
    claims: bool
    is_signed: bool
    body: bytes = b""

    @property
    def can_be_told_apart(self) -> bool:
        """Whether it names another request, or none."""
        return _OWN not in self.ids or self.status < 200

    @property
    def may_be_the_answer(self) -> bool:
        """Whether nothing in it contradicts that it is the answer."""
        if self.ids != (_OWN,) or self.status < 200:
            return False
        if self.is_signed:
            return not self.claims
        return self.status == _MISDIRECTED or (
            self.claims and self.status != 200
        )

    def encode(self, own_id: str, other_id: str) -> bytes:
        """Returns its bytes."""
        names = {_OWN: own_id, _OTHER: other_id, "": ""}
        lines = [f"HTTP/1.1 {self.status} Some Reason"]
        lines += [_CLAIM] * self.claims
        lines += [f"Attempt-Id: {names[each]}" for each in self.ids]
        lines += [_SIGNATURE] * self.is_signed
        is_final = self.status >= 200
        lines += [f"Content-Length: {len(self.body)}"] * is_final
        head = "\r\n".join([*lines, "", ""]).encode()
        return head + self.body * is_final


@attrs.frozen
class Refuses:
    """An endpoint refuses the request without running it."""

    status: int


@attrs.frozen
class Runs:
    """An endpoint runs the request.

    Attributes:
        status: The status of its answer.
        is_signed: Whether the answer is signed; a success always is.
        is_sent: Whether the answer is sent.
    """

    status: int = 200
    is_signed: bool = True
    is_sent: bool = True


@attrs.frozen
class Turn:
    """What an endpoint does with one request.

    Attributes:
        does: Whether it runs or refuses it.
        before: Responses that precede its answer.
        cut: Up to the end of which line, without the line's end, the last of
            them is sent, and how many bytes less; None for all.
        after: Responses that follow its answer.
        pieces: Where the bytes are split into writes, as fractions.
        ends: Whether the connection ends behind them.
    """

    does: Refuses | Runs
    before: tuple[Head, ...]
    cut: tuple[int, int] | None
    after: tuple[Head, ...]
    pieces: tuple[float, ...]
    ends: bool

    @property
    def has_answer(self) -> bool:
        """Whether the answer is whole and can be told from the rest."""
        sent = isinstance(self.does, Refuses) or self.does.is_sent
        told = all(each.can_be_told_apart for each in self.before)
        return sent and told and (self.cut is None or not self.before)


_IDS = st.sampled_from(
    [
        (),
        ("",),
        (_OTHER,),
        (_OWN,),
        (_OTHER, _OWN),
        (_OWN, _OTHER),
    ]
)
_REFUSALS = (503, 421, 429, 408)


def _heads(*statuses: int) -> st.SearchStrategy[Head]:
    return st.builds(
        Head,
        st.sampled_from(statuses),
        _IDS,
        st.booleans(),
        st.booleans(),
        st.sampled_from([b"", b"of another"]),
    ).filter(lambda head: not head.may_be_the_answer)


_ANY_HEAD = _heads(*_REFUSALS, 200, 500, 504, 400, 103)
_DOES = st.one_of(
    st.builds(Refuses, st.sampled_from([503, 429, 421])),
    st.just(Runs()),
    st.builds(Runs, st.sampled_from([500, 504, 404]), st.booleans()),
    st.builds(Runs, st.sampled_from(_NOT_RUN)),
    st.just(Runs(is_sent=False)),
)
_PIECES = st.lists(st.floats(0.0, 1.0), max_size=2).map(tuple)
_WHOLE = st.builds(
    Turn,
    _DOES,
    st.lists(_ANY_HEAD, max_size=_MAX_JUNK).map(tuple),
    st.none(),
    st.lists(_ANY_HEAD, max_size=1).map(tuple),
    _PIECES,
    st.booleans(),
)


def _cut(heads: st.SearchStrategy[Head]) -> st.SearchStrategy[Turn]:
    return st.builds(
        Turn,
        _DOES,
        st.tuples(heads),
        st.tuples(st.integers(0, 4), st.just(0) | st.integers(1, 12)),
        st.just(()),
        _PIECES,
        st.booleans(),
    )


_TURNS = st.lists(_WHOLE | _cut(_heads(*_REFUSALS)), min_size=1, max_size=3)


def _own_body(request_id: str) -> bytes:
    return f"id: 1\ndata: answer of {request_id}\n\n".encode()


class _Endpoint:
    """A server that follows a script; without one it answers."""

    def __init__(self, script: list[Turn], arrived: list[str]) -> None:
        self.script = script
        self.address = ""
        self._arrived = arrived
        self.ran: list[str] = []
        self.turns: dict[str, Turn] = {}

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
            while data := await stream.receive_some(65_536):
                request_id = _request_id(data)
                turn = self.script.pop(0) if self.script else _SOUND
                others = [e for e in self._arrived if e != request_id]
                other_id = others[-1] if others else "r-1"
                self._arrived.append(request_id)
                self.turns[request_id] = turn
                if isinstance(turn.does, Runs):
                    self.ran.append(request_id)
                for piece in _pieces(turn, request_id, other_id):
                    await stream.send_all(piece)
                    await trio.lowlevel.checkpoint()
                if turn.ends:
                    return


_SOUND = Turn(Runs(), (), None, (), (), ends=False)


def _request_id(data: bytes) -> str:
    for line in data.decode().split("\r\n"):
        name, _, value = line.partition(": ")
        if name.lower() == "attempt-id":
            return value
    raise AssertionError(data)


def _pieces(turn: Turn, own_id: str, other_id: str) -> list[bytes]:
    heads = [each.encode(own_id, other_id) for each in turn.before]
    if heads and turn.cut is not None:
        line, less_bytes = turn.cut
        kept = b"\r\n".join(heads[-1].split(b"\r\n")[: line + 1])
        heads[-1] = kept[: max(1, len(kept) - less_bytes)]
    heads.append(_own_answer(turn.does, own_id))
    heads += [each.encode(own_id, other_id) for each in turn.after]
    data = b"".join(heads)
    cuts = sorted(int(each * len(data)) for each in turn.pieces)
    pieces = [
        data[start:end]
        for start, end in zip([0, *cuts], [*cuts, len(data)], strict=True)
    ]
    return [each for each in pieces if each]


def _own_answer(does: Refuses | Runs, own_id: str) -> bytes:
    match does:
        case Refuses(status):
            return Head(status, (_OWN,), True, False).encode(own_id, "")
        case Runs(is_sent=False):
            return b""
        case Runs(status, is_signed):
            head = Head(status, (_OWN,), False, is_signed, _own_body(own_id))
            return head.encode(own_id, "")


class _Exchange(http_server.Exchange):
    """A caller's exchange that records what it is sent."""

    def __init__(self) -> None:
        self._disconnected = trio.Event()
        self.status = 0
        self.body = b""

    async def start_stream(
        self, status: int, headers: dict[str, str] | None = None
    ) -> None:
        await trio.lowlevel.checkpoint()
        self.status = status

    async def send(self, data: bytes) -> None:
        await trio.lowlevel.checkpoint()
        self.body += data


class _Gateway:
    """A dispatcher and its scripted endpoints."""

    def __init__(self, endpoints: list[_Endpoint]) -> None:
        self.endpoints = endpoints
        self.clock = clock_module.SystemClock()
        self.pool = endpoint_pool.EndpointPool()
        self.client = http_client.HttpClient()
        for number, each in enumerate(endpoints, 1):
            entry = endpoint_record.Endpoint(
                endpoint_id=f"e{number}",
                service="app",
                address=each.address,
                failure_domain="a",
                slots=4,
                leaving=False,
                started_unix_ms=100,
                cold_ms=0.0,
            )
            self.pool.update(entry, self.clock.now_ms())
        self.dispatcher = dispatch.Dispatcher(
            self.pool,
            self.client,
            _DIALECT,
            self.clock,
            "a",
            response_memory.ResponseMemory(1_000_000),
        )

    async def run(
        self, request_id: str, route: route_table.Route, deadline_ms: float
    ) -> tuple[outcomes.Outcome, _Exchange]:
        exchange = _Exchange()
        job = dispatch_job.Job(
            call=_DIALECT.decode_call(
                http_message.Request(
                    method="GET",
                    path="/stock/1",
                    headers={"attempt-id": request_id},
                )
            ),
            route=route,
            service=_SERVICE,
            team="",
            body=b"",
            deadline_ms=self.clock.now_ms() + deadline_ms,
            priority=None,
        )
        with trio.fail_after(deadline_ms / 1000.0 + _GRACE_S):
            outcome = await self.dispatcher.run(job, exchange)
        return outcome, exchange


@contextlib.asynccontextmanager
async def _gateway(scripts: list[list[Turn]]) -> AsyncIterator[_Gateway]:
    random.seed(1)
    arrived: list[str] = []
    endpoints = [_Endpoint(list(script), arrived) for script in scripts]
    async with trio.open_nursery() as nursery:
        for each in endpoints:
            await nursery.start(each.run)
        gateway = _Gateway(endpoints)
        yield gateway
        await gateway.client.aclose()
        nursery.cancel_scope.cancel()


def _judge(
    gateway: _Gateway,
    request_id: str,
    outcome: outcomes.Outcome,
    exchange: _Exchange,
) -> None:
    """Checks an outcome against what endpoints did with the request."""
    ran = [each for each in gateway.endpoints if request_id in each.ran]
    assert sum(each.ran.count(request_id) for each in ran) <= 1
    match outcome:
        case outcomes.Refused(status=status, retry_after_ms=retry_after_ms):
            assert not ran
            assert status == 503 and retry_after_ms is not None
        case outcomes.Answered(status=status, body=body):
            assert status not in _NOT_RUN
            assert ran and body == _own_body(request_id)
            does = ran[0].turns[request_id].does
            assert isinstance(does, Runs) and status == does.status
        case outcomes.Streamed(status=status, complete=complete):
            assert ran and _own_body(request_id).startswith(exchange.body)
            assert not complete or exchange.body == _own_body(request_id)
            assert status == 200
        case outcomes.Unknown(status=status):
            assert status in (502, 504)
            assert exchange.status == 0
        case _:
            raise AssertionError(outcome)


def _is_told_apart(turn: Turn) -> bool:
    """Returns whether a refusal or a success can be told from the rest."""
    return turn.has_answer and (
        isinstance(turn.does, Refuses) or turn.does.status == 200
    )


async def _play(scripts: list[list[Turn]], route: route_table.Route) -> None:
    async with _gateway(scripts) as gateway:
        for number in range(sum(len(script) for script in scripts)):
            due = [turn for e in gateway.endpoints for turn in e.script[:1]]
            told_apart = all(_is_told_apart(turn) for turn in due)
            request_id = f"r{number}"
            outcome, exchange = await gateway.run(
                request_id,
                route,
                _DEADLINE_MS if told_apart else _SHORT_DEADLINE_MS,
            )
            # Endpoints send the rest and end connections.
            await trio.testing.wait_all_tasks_blocked()
            _judge(gateway, request_id, outcome, exchange)
            if told_apart:
                match outcome:
                    case outcomes.Unknown() | outcomes.Streamed(complete=False):
                        raise AssertionError(f"{outcome} of {due}")


class TestClaims:
    """A dispatcher with endpoints whose connections carry more than answers."""

    @_SETTINGS
    @hypothesis.given(_TURNS)
    def test_booking_at_one_endpoint(self, script: list[Turn]) -> None:
        """A booking that ran is not refused, and gets only its own answer."""
        trio.run(_play, [script], _BOOKING)

    @_SETTINGS
    @hypothesis.given(_TURNS, _TURNS)
    def test_booking_at_two_endpoints(
        self, first: list[Turn], second: list[Turn]
    ) -> None:
        """It does not run twice either."""
        trio.run(_play, [first, second], _BOOKING)

    @_SETTINGS
    @hypothesis.given(_TURNS)
    def test_stream(self, script: list[Turn]) -> None:
        """A stream has only its own events."""
        trio.run(_play, [script], _STREAM)


class TestCutHeads:
    """A head of another response that runs into the answer behind it."""

    @pytest.mark.parametrize("line", range(4))
    @pytest.mark.parametrize(
        "does",
        [Runs(), Runs(500), Runs(500, is_signed=False)],
        ids=["success", "failure", "unsigned failure"],
    )
    def test_cut_head_lends_nothing_to_the_answer(
        self, does: Runs, line: int
    ) -> None:
        """Neither its status nor a line of it; it is cut in its last one."""
        for status, ids, claims, is_signed in itertools.product(
            (503, 421, 200, 500), ((), (_OTHER,)), (False, True), (False, True)
        ):
            head = Head(status, ids, claims, is_signed)
            cut = (line, 3 if line == 0 else 0)
            turn = Turn(does, (head,), cut, (), (), ends=True)
            trio.run(_play, [[turn]], _BOOKING)
