"""An emulator of a plain service that counts the runs of each call."""

from collections import deque
from typing import Any

import attrs
import trio

from quetzalmill import codec
from quetzalmill import errors
from quetzalmill import http_message
from quetzalmill import http_server
from quetzalmill_emulator import app

_MAX_COUNTED_KEYS = 100_000
_MAX_HEADERS_SEEN = 1000


@attrs.frozen(kw_only=True)
class Faults:
    """The active faults.

    Attributes:
        hang: Whether calls run but are not answered until this is cleared.
        drop_after_run: The number of next calls that run but get no answer.
        close_before_run: The number of next calls whose connection is closed
            before they run.
        work_ms: The duration of a call; None keeps the previous value.
    """

    hang: bool = False
    drop_after_run: int = 0
    close_before_run: int = 0
    work_ms: float | None = None


class PlainService:
    """Handles the requests to a plain service."""

    def __init__(self, name: str, work_ms: float) -> None:
        self._name = name
        self._work_ms = work_ms
        self._faults = Faults()
        self._faults_changed = trio.Event()
        self._runs: dict[str, int] = {}
        self._references: dict[str, int] = {}
        self._headers_seen: deque[dict[str, str]] = deque(
            maxlen=_MAX_HEADERS_SEEN
        )
        self._requests = 0

    async def handle(
        self, request: http_message.Request, exchange: http_server.Exchange
    ) -> None:
        """Handles one request."""
        match request.method, request.path:
            case "GET", "/debug/runs":
                await app.reply(exchange, self._report())
            case "POST", "/debug/faults":
                self._set_faults(app.read_body(request, Faults))
                await app.reply(exchange, self._faults)
            case _:
                await self._call(request, exchange)

    async def _call(
        self, request: http_message.Request, exchange: http_server.Exchange
    ) -> None:
        self._requests += 1
        self._headers_seen.append(request.headers)
        if self._faults.close_before_run > 0:
            remaining = self._faults.close_before_run - 1
            self._faults = attrs.evolve(
                self._faults, close_before_run=remaining
            )
            exchange.abort()
            return
        answer = self._run(request)
        dropped = self._faults.drop_after_run > 0
        if dropped:
            remaining = self._faults.drop_after_run - 1
            self._faults = attrs.evolve(self._faults, drop_after_run=remaining)
        await trio.sleep(self._work_ms / 1000.0)
        while self._faults.hang and not exchange.disconnected:
            await self._wait_for_change(exchange)
        if dropped:
            exchange.abort()
            return
        await app.reply(exchange, answer)

    def _run(self, request: http_message.Request) -> dict[str, Any]:
        request_id = request.headers.get("x-request-id", "")
        reference = _reference(request.body)
        run = _count(self._runs, request_id)
        if reference is not None:
            run = _count(self._references, reference)
        return {
            "service": self._name,
            "path": request.path,
            "run": run,
            "reference": reference,
        }

    async def _wait_for_change(self, exchange: http_server.Exchange) -> None:
        async with trio.open_nursery() as nursery:

            async def wait_disconnected() -> None:
                await exchange.wait_disconnected()
                nursery.cancel_scope.cancel()

            nursery.start_soon(wait_disconnected)
            await self._faults_changed.wait()
            nursery.cancel_scope.cancel()

    def _set_faults(self, faults: Faults) -> None:
        self._faults = faults
        if faults.work_ms is not None:
            self._work_ms = faults.work_ms
        self._faults_changed.set()
        self._faults_changed = trio.Event()

    def _report(self) -> dict[str, Any]:
        return {
            "runs": self._runs,
            "references": self._references,
            "headers_seen": list(self._headers_seen),
            "requests": self._requests,
        }


def _reference(body: bytes) -> str | None:
    try:
        fields = codec.from_json(body, dict[str, Any])
    except errors.CodecError:
        return None
    reference = fields.get("reference")
    return None if reference is None else str(reference)


def _count(counts: dict[str, int], key: str) -> int:
    """Counts a run and returns the new count; evicts the oldest key if full."""
    counts[key] = counts.get(key, 0) + 1
    if len(counts) > _MAX_COUNTED_KEYS:
        del counts[next(iter(counts))]
    return counts[key]
