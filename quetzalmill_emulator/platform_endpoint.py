"""Stands in for a replica on the users' platform: an engine or a service.

It runs requests as their pages publish it, keeps what it ran for tests to
look at, and fails as it is told.
"""

import enum

import attrs
import trio

from quetzalmill import http_message
from quetzalmill import http_server

SIGN = "1"
"""The value of ``Server-Leaving`` by which an endpoint says that it leaves."""

_TRICKLE_S = 0.05
_FLOOD_BYTES = 65_536


class Fault(enum.Enum):
    """What an endpoint does wrong with its next requests."""

    SHED = "shed"
    LOSE_ANSWER = "lose answer"
    FORGED = "forged"
    CROSSED = "crossed"
    CUT_STREAM = "cut stream"
    TORN_EVENT = "torn event"
    STALLED_STREAM = "stalled stream"
    TRICKLE = "trickle"
    ENDLESS_LINE = "endless line"
    ERROR = "error"
    HANG = "hang"


@attrs.define(kw_only=True)
class Run:
    """A request that reached an endpoint.

    Attributes:
        request_id: The caller's attempt.
        team: The team that it ran for.
        body: What it was given.
        headers: All its headers.
        endpoint_id: Where it ran.
        started_s: When it began, by the loop's clock.
        started_unix_ms: When the endpoint says that it started.
        signed: Whether the answer said that the endpoint leaves.
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
        endpoint_id: Its id.
        events: Events of a stream; none makes it a plain service.
        pause_ms: The pause before the answer and between events.
        started_unix_ms: When it says that it started.

    Attributes:
        endpoint_id: Its id.
        started_unix_ms: When it says that it started.
        faults: What happens to the next requests, one each.
        leaving: The value of ``Server-Leaving`` in all its answers; None for
            no such header.
        pause_s: The pause before the answer and between events.
        runs: The requests that ran.
        refused: The requests that it refused without running them.
        misdirected: How many requests it refused as meant for another.
        left: Requests whose caller left while they ran.
        names_request: Whether the data of events names the request, so that
            mixed streams show.
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
        self.faults: list[Fault] = []
        self.leaving: str | None = None
        self.runs: list[Run] = []
        self.refused: list[Run] = []
        self.misdirected = 0
        self.left = 0
        self.names_request = False

    def successor(self) -> "PlatformEndpoint":
        """Returns the next boot of the same endpoint."""
        fresh = PlatformEndpoint(
            self.endpoint_id,
            self._events,
            1000.0 * self.pause_s,
            self.started_unix_ms + 1,
        )
        fresh.names_request = self.names_request
        return fresh

    async def handle(
        self, request: http_message.Request, exchange: http_server.Exchange
    ) -> None:
        """Answers one request."""
        headers = request.headers
        if headers.get("expect-instance") != self.endpoint_id:
            self.misdirected += 1
            answer = {"Instance-Id": self.endpoint_id, **self._sign()}
            await exchange.respond(421, headers=answer)
            return
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
        if fault is Fault.SHED:
            self.refused.append(run)
            answer = {"Not-Executed": "1", **self._sign(run)}
            await exchange.respond(503, headers=answer)
            return
        self.runs.append(run)
        await trio.sleep(self.pause_s)
        if fault is Fault.HANG:
            await exchange.wait_disconnected()
            return
        if fault is Fault.LOSE_ANSWER:
            exchange.abort()
            return
        answer = self._answer_headers(run, fault)
        if fault is Fault.ERROR:
            await exchange.respond(500, b"failed", answer, "text/plain")
        elif self._events:
            first = int(headers.get("last-event-id", "0")) + 1
            await self._stream(exchange, answer, fault, first)
        else:
            await exchange.respond(
                200,
                f"done by {self.endpoint_id}".encode(),
                answer,
                "text/plain",
            )

    def _sign(self, run: Run | None = None) -> dict[str, str]:
        """Returns the headers by which it says that it leaves, if it does."""
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
            **self._sign(run),
        }
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
                await _spoil(exchange, fault)
                return
            if exchange.disconnected:
                self.left += 1
                return
            event = f"id: {number}\ndata: {name}e{number}\n\n"
            await exchange.send(event.encode())
            await trio.sleep(self.pause_s)
        await exchange.finish()


async def _spoil(exchange: http_server.Exchange, fault: Fault) -> None:
    """Ends a stream badly, or never."""
    match fault:
        case Fault.TORN_EVENT:
            await exchange.send(b"id: 99\ndata: to")
        case Fault.STALLED_STREAM:
            await exchange.wait_disconnected()
        case Fault.TRICKLE:
            while not exchange.disconnected:
                await exchange.send(b": \n")
                await trio.sleep(_TRICKLE_S)
        case Fault.ENDLESS_LINE:
            while not exchange.disconnected:
                await exchange.send(b"x" * _FLOOD_BYTES)
    exchange.abort()
