"""Replicas: plain services and model engines."""

import asyncio
from collections.abc import Awaitable, Callable
import dataclasses
import random
import time

from standins import wire

CHUNK_TOKENS = 10
"""Tokens in one event of an engine's stream."""


@dataclasses.dataclass
class Run:
    """A request that a replica began to work on."""

    request_id: str
    replica_id: str
    tenant: str
    body: bytes
    started_s: float


@dataclasses.dataclass
class Refusal:
    """A request that a replica refused without running it."""

    request_id: str
    replica_id: str


class Replica:
    """A replica that runs ``slots`` requests and queues a few more.

    Attributes:
        before_run: Called with a request that is about to be handled.
        after_refusal: Called with a refusal that has been sent.
    """

    def __init__(
        self,
        replica_id: str,
        *,
        slots: int,
        queue: int,
        work_ms: tuple[float, float],
        events: int = 0,
        gap_ms: float = 20.0,
        seed: int = 1,
    ) -> None:
        self.replica_id = replica_id
        self.slots = slots
        self.queue = queue
        self.runs: list[Run] = []
        self.refusals: list[Refusal] = []
        self.answers = 0
        self.before_run: (
            Callable[[wire.Request, wire.Channel], Awaitable[None]] | None
        ) = None
        self.after_refusal: (
            Callable[[wire.Request, wire.Channel, bytes], None] | None
        ) = None
        self._work_ms = work_ms
        self._events = events
        self._gap_s = gap_ms / 1000
        self._free = asyncio.Semaphore(slots)
        self._held = 0
        self._random = random.Random(f"{seed}/{replica_id}")

    async def handle(
        self, request: wire.Request, channel: wire.Channel
    ) -> None:
        """Handles one request."""
        request_id = request.headers.get("attempt-id", "")
        if self.before_run is not None:
            await self.before_run(request, channel)
        if request.headers.get("expect-instance") != self.replica_id:
            await self._refuse(request, channel, 421)
            return
        if not request_id:
            await self._refuse(request, channel, 400)
            return
        if self._held >= self.slots + self.queue:
            await self._refuse(request, channel, 503)
            return
        self._held += 1
        try:
            async with self._free:
                await self._run(request, channel, request_id)
        finally:
            self._held -= 1

    async def _refuse(
        self, request: wire.Request, channel: wire.Channel, status: int
    ) -> None:
        request_id = request.headers.get("attempt-id", "")
        self.refusals.append(Refusal(request_id, self.replica_id))
        self.answers += 1
        headers = self._headers(request_id) | {"Not-Executed": "1"}
        data = wire.encode_answer(status, headers, b"")
        await channel.write(data)
        if self.after_refusal is not None:
            self.after_refusal(request, channel, data)

    async def _run(
        self, request: wire.Request, channel: wire.Channel, request_id: str
    ) -> None:
        self.runs.append(
            Run(
                request_id=request_id,
                replica_id=self.replica_id,
                tenant=request.headers.get("tenant", ""),
                body=request.body,
                started_s=time.monotonic(),
            )
        )
        await asyncio.sleep(self._random.uniform(*self._work_ms) / 1000)
        headers = self._headers(request_id) | {
            "Response-Signature": f"s.{self.replica_id}.{request_id}"
        }
        self.answers += 1
        if not self._events:
            await channel.respond(200, headers, f"ok {request_id}".encode())
            return
        headers["Content-Type"] = "text/event-stream"
        await self.stream(channel, request_id, headers)

    async def stream(
        self, channel: wire.Channel, request_id: str, headers: dict[str, str]
    ) -> None:
        """Sends an answer event by event."""
        await channel.start_chunks(200, headers)
        for number in range(1, self._events + 1):
            if channel.is_closed_by_peer():
                channel.writer.close()
                return
            event = f"id: {number}\ndata: {request_id}-{number}\n\n"
            await channel.send_chunk(event.encode())
            await asyncio.sleep(self._gap_s)
        await channel.end_chunks()

    def _headers(self, request_id: str) -> dict[str, str]:
        running = min(self._held, self.slots)
        waiting = max(0, self._held - self.slots)
        headers = {
            "Server-Load": f"{running},{waiting},{self.slots}",
            "Instance-Id": self.replica_id,
        }
        if request_id:
            headers["Attempt-Id"] = request_id
        return headers
