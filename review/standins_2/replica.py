"""A replica: a model server or a plain service, registered in the store."""

import asyncio
from collections.abc import Callable
import dataclasses
import itertools
import time

from standins_2 import http1
from standins_2 import store as store_module

HEARTBEAT_S = 1.2
SILENT_BEATS = 3
_ids = itertools.count(1)


@dataclasses.dataclass
class Run:
    """A request that a replica began to work on."""

    attempt_id: str
    tenant: str
    target: str
    body: bytes
    replica_id: str
    at_s: float
    ended: str = "running"


class Replica:
    """A sound replica; cases derive faulty ones from it.

    Attributes:
        runs: The requests that ran.
        events: Events of a stream; 0 makes it a plain service.
        work_s: How long a request, or an event of a stream, takes.
    """

    def __init__(
        self,
        store: store_module.Store,
        service: str,
        zone: str,
        runs: list[Run],
        *,
        events: int = 0,
        work_s: float = 0.04,
        slots: int = 6,
    ) -> None:
        self._store = store
        self.id = f"i-{next(_ids):08x}"
        self.service = service
        self.zone = zone
        self.runs = runs
        self.events = events
        self.work_s = work_s
        self.slots = slots
        self.running = 0
        self.server = http1.Server(self._handle, self.serve_early)
        self._beats: asyncio.Task[None] | None = None
        self._count = 0
        self._born_ms = int(time.time() * 1000)

    async def start(self) -> None:
        """Listens and registers."""
        await self.server.start()
        self._beats = asyncio.create_task(self._beat())

    def crash(self) -> None:
        """Ends at once; its entry stays for three liveness reports."""
        if self._beats is not None:
            self._beats.cancel()
            self._beats = None
            asyncio.get_running_loop().call_later(
                SILENT_BEATS * HEARTBEAT_S,
                self._store.put,
                "keyed.servers",
                self.id,
                None,
            )
        for run in self.runs:
            if run.replica_id == self.id and run.ended == "running":
                run.ended = "crashed"
        self.server.crash()

    async def _beat(self) -> None:
        while True:
            self._count += 1
            self._store.put(
                "keyed.servers",
                self.id,
                {
                    "service": self.service,
                    "addr": self.server.address,
                    "zone": self.zone,
                    "version": "v1",
                    "slots": self.slots,
                    "state": "ready",
                    "coldLeftMs": 0,
                    "callSeq": self._count,
                    "born": self._born_ms,
                },
            )
            await asyncio.sleep(HEARTBEAT_S)

    async def _handle(
        self, request: http1.Message, channel: http1.Channel
    ) -> None:
        headers = request.headers
        attempt_id = headers.get("attempt-id", "")
        if headers.get("expect-instance") not in (None, self.id):
            refusal = {"Instance-Id": self.id, "Attempt-Id": attempt_id}
            await channel.send(
                http1.encode("HTTP/1.1 421 Misdirected Request", refusal)
            )
            return
        if self.running >= self.slots:
            refusal = {"Not-Executed": "1", "Attempt-Id": attempt_id}
            await channel.send(
                http1.encode("HTTP/1.1 503 Service Unavailable", refusal)
            )
            return
        run = self.begin(request)
        self.running += 1
        try:
            await self.work(run, request, channel)
            run.ended = "answered"
        except http1.BrokenError:
            run.ended = run.ended.replace("running", "left")
            raise
        finally:
            self.running -= 1

    def begin(self, request: http1.Message) -> Run:
        """Records that a request begins to run."""
        run = Run(
            request.headers.get("attempt-id", ""),
            request.headers.get("tenant", ""),
            request.start[1],
            request.body,
            self.id,
            time.monotonic(),
        )
        self.runs.append(run)
        return run

    async def serve_early(
        self, head: http1.Message, channel: http1.Channel
    ) -> bool:
        """Answers before a body is read; a sound replica does not."""
        return False

    async def work(
        self, run: Run, request: http1.Message, channel: http1.Channel
    ) -> None:
        """Runs a request and answers it."""
        if self.events:
            await self.start_stream(run, channel)
            for number in range(1, self.events + 1):
                await asyncio.sleep(self.work_s)
                await channel.send(http1.chunk(event(number)))
            await channel.send(b"0\r\n\r\n")
            return
        await asyncio.sleep(self.work_s)
        await channel.send(
            http1.encode(
                "HTTP/1.1 200 OK", self.headers(run), b"done by " + b"x" * 64
            )
        )

    def headers(self, run: Run) -> dict[str, str]:
        """Returns the headers of a replica's own answer."""
        return {
            "Attempt-Id": run.attempt_id,
            "Response-Signature": f"sig.{self.id}",
            "Server-Load": f"{self.running},0,{self.slots}",
        }

    async def start_stream(self, run: Run, channel: http1.Channel) -> None:
        """Sends the head of a stream."""
        headers = {
            **self.headers(run),
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        lines = [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""])
        await channel.send(head.encode())


def event(number: int, text: str = "weather") -> bytes:
    """Returns one event of a stream."""
    return f"id: {number}\ndata: {text} {number}\n\n".encode()


class Garble:
    """When faulty replicas spoil an answer: a share of them, for a while.

    Args:
        share: The share of their answers, never exceeded.
        for_s: How long it lasts each time.
        gap_s: The calm time before each.
    """

    def __init__(self, share: float, for_s: float, gap_s: float) -> None:
        self._share = share
        self._for_s = for_s
        self._gap_s = gap_s
        self._began_s: float | None = None
        self.answers = 0
        self.spoilt = 0

    def begin(self) -> None:
        """Starts the time from which it comes."""
        self._began_s = time.monotonic()

    def spoils(self) -> bool:
        """Decides on one answer."""
        if self._began_s is None:
            return False
        at_s = time.monotonic() - self._began_s
        if at_s % (self._gap_s + self._for_s) < self._gap_s:
            return False
        self.answers += 1
        if self.spoilt + 1 > self._share * self.answers:
            return False
        self.spoilt += 1
        return True


Make = Callable[..., Replica]
