"""An emulator of an endpoint on the users' platform: an engine or a service.

It implements the published protocol of the platform, records the requests it
ran for inspection by tests, and injects the faults that a test sets.
"""

import enum
import weakref

import attrs
import trio

from quetzalmill import http_message
from quetzalmill import http_server
from quetzalmill_emulator import late_copies
from quetzalmill_emulator import raw_bytes

SIGN = "1"
"""The value of ``Server-Leaving`` that is a drain notice."""

_TRICKLE_S = 0.05
_FLOOD_BYTES = 65_536
_TINY_CHUNKS = b"1\r\nx\r\n" * 4_000
"""A tenth of a second of chunks of one byte at 240 kB a second."""
_TINY_CHUNKS_S = 0.1


class Fault(enum.Enum):
    """A fault that an endpoint injects into a request."""

    SHED = "shed"
    SHED_UNNAMED = "shed unnamed"
    SHED_TRICKLE = "shed trickle"
    LATE_COPY = "late copy"
    LOSE_ANSWER = "lose answer"
    FORGED = "forged"
    CROSSED = "crossed"
    CUT_STREAM = "cut stream"
    TORN_EVENT = "torn event"
    STALLED_STREAM = "stalled stream"
    TRICKLE = "trickle"
    ENDLESS_LINE = "endless line"
    TINY_CHUNKS = "tiny chunks"
    CUT_HEAD = "cut head"
    CUT_EVENT = "cut event"
    UNDELIMITED = "undelimited"
    ERROR = "error"
    HANG = "hang"


AnyFault = Fault | late_copies.Misleading


class Framing(enum.Enum):
    """What marks the end of a response's body."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


@attrs.define(kw_only=True)
class Run:
    """A request that reached an endpoint.

    Attributes:
        request_id: The id of the caller's attempt.
        team: The team that the request ran for.
        body: The body of the request.
        headers: All headers of the request.
        endpoint_id: The endpoint that ran it.
        started_s: When the run started, by the clock of the event loop.
        started_unix_ms: The start time that the endpoint reports for itself.
        signed: Whether the response carried a drain notice.
    """

    request_id: str
    team: str
    body: bytes
    headers: dict[str, str]
    endpoint_id: str
    started_s: float
    started_unix_ms: int = 1
    signed: bool = False


class PlatformEndpoint:
    """One endpoint, as a handler of an HTTP server.

    Args:
        endpoint_id: The id of the endpoint.
        events: The number of events in a stream; 0 makes it a plain service.
        pause_ms: The pause before the response and between events.
        started_unix_ms: The start time that it reports.

    Attributes:
        endpoint_id: The id of the endpoint.
        started_unix_ms: The start time that it reports.
        faults: The faults of the next requests, one each, in order.
        leaving: The value of ``Server-Leaving`` in all its responses; None
            for no such header.
        pause_s: The pause before the response and between events.
        runs: The requests that ran.
        refused: The requests that were refused without being run.
        misdirected: The number of requests refused because they were addressed
            to another endpoint.
        left: The number of requests whose caller disconnected during the
            stream.
        late_copies: The number of late copies that were sent.
        framing: If set, each response is sent at once with this framing, and
            ends its connection.
        sent_bytes: How many bytes of such a response are sent; None for all.
        cold_until_s: Until when it is cold, as its responses state, by the
            clock of the event loop.
        cold_arrivals_s: When it received each request while it was cold.
        names_request: Whether the data of events contains the request id, so
            that a test detects mixed-up streams.
    """

    def __init__(
        self,
        endpoint_id: str,
        events: int = 0,
        pause_ms: float = 5.0,
        started_unix_ms: int = 1,
    ) -> None:
        self.endpoint_id = endpoint_id
        self.started_unix_ms = started_unix_ms
        self._events = events
        self.pause_s = pause_ms / 1000.0
        self.faults: list[AnyFault] = []
        self.leaving: str | None = None
        self.runs: list[Run] = []
        self.refused: list[Run] = []
        self.misdirected = 0
        self.left = 0
        self.late_copies = 0
        self._copies_due: list[late_copies.LateCopy] = []
        self.framing: Framing | None = None
        self.sent_bytes: int | None = None
        self.cold_until_s = float("-inf")
        self.cold_arrivals_s: list[float] = []
        self.names_request = False
        self._refusals: weakref.WeakKeyDictionary[object, tuple[str, bytes]] = (
            weakref.WeakKeyDictionary()
        )

    def successor(self) -> "PlatformEndpoint":
        """Returns the next instance of the same endpoint."""
        next_instance = PlatformEndpoint(
            self.endpoint_id,
            self._events,
            1000.0 * self.pause_s,
            self.started_unix_ms + 1,
        )
        next_instance.names_request = self.names_request
        return next_instance

    def most_cold_arrivals(self) -> int:
        """Returns the most requests in a second while it was cold."""
        arrivals_s = self.cold_arrivals_s
        return max(
            (
                sum(0 <= at - each < 1 for each in arrivals_s)
                for at in arrivals_s
            ),
            default=0,
        )

    async def handle(
        self, request: http_message.Request, exchange: http_server.Exchange
    ) -> None:
        """Handles one request."""
        headers = request.headers
        if headers.get("expect-instance") != self.endpoint_id:
            self.misdirected += 1
            answer = {"Instance-Id": self.endpoint_id, **self._drain_headers()}
            if "attempt-id" in headers:
                answer["Attempt-Id"] = headers["attempt-id"]
            await exchange.respond(421, headers=answer)
            return
        if trio.current_time() < self.cold_until_s:
            self.cold_arrivals_s.append(trio.current_time())
        fault = self.faults.pop(0) if self.faults else None
        run = Run(
            request_id=headers.get("attempt-id", ""),
            team=headers.get("tenant", ""),
            body=request.body,
            headers=headers,
            endpoint_id=self.endpoint_id,
            started_s=trio.current_time(),
            started_unix_ms=self.started_unix_ms,
        )
        if fault in (Fault.SHED, Fault.SHED_UNNAMED, Fault.SHED_TRICKLE):
            await self._shed(exchange, run, fault)
            return
        if isinstance(fault, late_copies.LateCopy):
            self._copies_due.append(fault)
            fault = None
        elif fault is Fault.LATE_COPY:
            self._copies_due.append(late_copies.LateCopy())
            fault = None
        await self._repeat_refusal(exchange, run)
        self.runs.append(run)
        await trio.sleep(self.pause_s)
        if fault is Fault.HANG:
            await exchange.wait_disconnected()
            return
        if fault is Fault.LOSE_ANSWER:
            exchange.abort()
            return
        if isinstance(fault, late_copies.SignedFailure):
            answer = self._answer_headers(run, None)
            await exchange.respond(
                fault.status, b"failed", answer, "text/plain"
            )
            return
        answer = self._answer_headers(run, fault)
        if self.framing is not None:
            raw = self.raw_response(answer, self.framing)
            await raw_bytes.send(exchange, raw[: self.sent_bytes])
            exchange.abort()
        elif fault in (Fault.CUT_HEAD, Fault.CUT_EVENT, Fault.UNDELIMITED):
            await self._send_undelimited(exchange, answer, fault)
        elif fault is Fault.ERROR:
            await exchange.respond(500, b"failed", answer, "text/plain")
        elif fault is Fault.TRICKLE and not self._events:
            await exchange.start_stream(200, answer)
            await _trickle(exchange)
        elif self._events:
            first = int(headers.get("last-event-id", "0")) + 1
            await self._stream(exchange, answer, fault, first)
        else:
            await exchange.respond(
                200,
                self._body(),
                answer,
                "text/plain",
            )

    def raw_response(self, answer: dict[str, str], framing: Framing) -> bytes:
        """Returns the bytes of a whole response.

        Args:
            answer: Its headers.
            framing: What marks the end of its body.
        """
        body = self._body()
        if self._events:
            name = answer["Attempt-Id"] + "-" if self.names_request else ""
            body = b"".join(
                _event(name, number) for number in range(1, self._events + 1)
            )
            answer = {**answer, "Content-Type": "text/event-stream"}
        match framing:
            case Framing.LENGTH:
                answer = {**answer, "Content-Length": str(len(body))}
            case Framing.CHUNKS:
                answer = {**answer, "Transfer-Encoding": "chunked"}
                body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        head = "".join(f"{name}: {answer[name]}\r\n" for name in answer)
        return f"HTTP/1.1 200 OK\r\n{head}\r\n".encode() + body

    async def _send_undelimited(
        self,
        exchange: http_server.Exchange,
        answer: dict[str, str],
        fault: Fault,
    ) -> None:
        """Sends a response that ends with its connection, whole or cut."""
        raw = self.raw_response(answer, Framing.CONNECTION)
        if fault is Fault.CUT_HEAD:
            raw = raw[: raw.index(b"\r\n\r\n") // 2]
        elif fault is Fault.CUT_EVENT and self._events:
            raw = raw[:-1]
        await raw_bytes.send(exchange, raw)
        exchange.abort()

    def _body(self) -> bytes:
        return f"done by {self.endpoint_id}".encode()

    async def _shed(
        self, exchange: http_server.Exchange, run: Run, fault: Fault
    ) -> None:
        self.refused.append(run)
        answer = {"Not-Executed": "1", **self._drain_headers(run)}
        if fault is not Fault.SHED_UNNAMED:
            answer["Attempt-Id"] = run.request_id
        if fault is Fault.SHED_TRICKLE:
            await exchange.start_stream(503, answer)
            await _trickle(exchange)
            return
        head = "".join(f"{name}: {answer[name]}\r\n" for name in answer)
        refusal = (
            "HTTP/1.1 503 Service Unavailable\r\n"
            f"{head}Content-Length: 0\r\n\r\n"
        ).encode()
        connection = raw_bytes.connection_of(exchange)
        self._refusals[connection] = run.request_id, refusal
        await exchange.respond(503, headers=answer)

    async def _repeat_refusal(
        self, exchange: http_server.Exchange, run: Run
    ) -> None:
        """Sends the refusal of an earlier request on this connection again.

        A copy that is due waits for the next request on such a connection.
        """
        earlier = self._refusals.get(raw_bytes.connection_of(exchange))
        if earlier is None or not self._copies_due:
            return
        copy = self._copies_due.pop(0)
        self.late_copies += 1
        other_id, data = earlier
        if copy != late_copies.LateCopy():
            data = late_copies.encode(copy, other_id, run.request_id)
        if copy.glued or late_copies.is_cut(copy):
            raw_bytes.glue(exchange, data)
        else:
            await raw_bytes.send(exchange, data)

    def _drain_headers(self, run: Run | None = None) -> dict[str, str]:
        """Returns the ``Server-Leaving`` header, if one is set."""
        if self.leaving is None:
            return {}
        if run is not None:
            run.signed = self.leaving == SIGN
        return {"Server-Leaving": self.leaving}

    def _answer_headers(self, run: Run, fault: Fault | None) -> dict[str, str]:
        answer = {
            "Attempt-Id": run.request_id,
            "Response-Signature": f"signed-{self.endpoint_id}",
            "Server-Load": "1,0,8",
            **self._drain_headers(run),
        }
        cold_s = self.cold_until_s - trio.current_time()
        if cold_s > 0:
            answer["Cold-Ms"] = str(int(cold_s * 1000))
        if fault is Fault.FORGED:
            del answer["Response-Signature"]
        if fault is Fault.CROSSED:
            answer["Attempt-Id"] = "another"
        return answer

    async def _stream(
        self,
        exchange: http_server.Exchange,
        answer: dict[str, str],
        fault: Fault | None,
        first: int,
    ) -> None:
        name = answer["Attempt-Id"] + "-" if self.names_request else ""
        await exchange.start_stream(
            200, {**answer, "Content-Type": "text/event-stream"}
        )
        for number in range(first, self._events + 1):
            if fault is not None and number == self._events:
                await _inject_stream_fault(exchange, fault)
                return
            if exchange.disconnected:
                self.left += 1
                return
            await exchange.send(_event(name, number))
            await trio.sleep(self.pause_s)
        await exchange.finish()


async def _trickle(exchange: http_server.Exchange) -> None:
    """Sends bytes now and then, which complete no event either."""
    while not exchange.disconnected:
        await exchange.send(b": \n")
        await trio.sleep(_TRICKLE_S)
    exchange.abort()


def _event(name: str, number: int) -> bytes:
    return f"id: {number}\ndata: {name}e{number}\n\n".encode()


async def _inject_stream_fault(
    exchange: http_server.Exchange, fault: Fault
) -> None:
    """Injects a fault in place of the last event, then aborts the stream."""
    match fault:
        case Fault.TORN_EVENT:
            await exchange.send(b"id: 99\ndata: to")
        case Fault.STALLED_STREAM:
            await exchange.wait_disconnected()
        case Fault.TRICKLE:
            await _trickle(exchange)
        case Fault.ENDLESS_LINE:
            while not exchange.disconnected:
                await exchange.send(b"x" * _FLOOD_BYTES)
        case Fault.TINY_CHUNKS:
            while not exchange.disconnected:
                await raw_bytes.send(exchange, _TINY_CHUNKS)
                await trio.sleep(_TINY_CHUNKS_S)
    exchange.abort()
