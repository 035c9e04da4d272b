"""Runs gateways as processes on the emulated platform, on loopback."""

from collections.abc import AsyncIterator, Awaitable, Callable
import contextlib
import enum
import os
import pathlib
import signal
import subprocess
import sys
from typing import Any

import attrs
import trio

from quetzalmill import errors
from quetzalmill import http_client
from quetzalmill import http_message
from quetzalmill import http_server
from quetzalmill_emulator import platform_endpoint
from quetzalmill_emulator import platform_store
from quetzalmill_load import processes
from quetzalmill_platform import boot

HOST = "desk.example"
KEY = "key-of-weddings"
START_TIMEOUT_S = 20.0
QUOTE_PATH = "/quote/"
"""Where turns go whose conversation the caller sends whole."""

EVENT_TOKENS = 9
"""Tokens that an engine says it puts into one event."""

DRAIN_MS = 2_000
"""The users' bound on the time in which a leaving endpoint may get work."""

_ADDRESS_BLOCKS = 250
"""Loopback networks, so that clusters at one time do not share addresses."""

_LINGER_S = 0.5
"""How much longer than ``DRAIN_MS`` a leaving endpoint goes on serving."""

_END_S = 1.0
"""How long an endpoint that ends waits for the requests that it still runs."""

_ROOT = pathlib.Path(__file__).parent.parent
_LIMITS = http_message.Limits(max_body_bytes=8_000_000)


def desired_state(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Returns a desired state: turns, stored or not, a lookup, a booking."""
    route = {
        "host": HOST,
        "timeoutMs": 4000,
        "targetLatencyMs": 250,
        "priority": 1,
        "maxAttempts": 2,
        "public": False,
    }
    turns = {
        **route,
        "name": "chat",
        "pathPrefix": "/chat/",
        "kind": "stream",
        "service": "llm",
        "stateful": True,
        "retentionS": 60.0,
    }
    return {
        "version": version,
        "routes": [
            turns,
            {
                **route,
                "name": "quote",
                "pathPrefix": QUOTE_PATH,
                "kind": "stream",
                "service": "llm",
                "resumable": True,
                "gapAimMs": 100,
            },
            {
                **route,
                "name": "lookup",
                "pathPrefix": "/lookup/",
                "kind": "safe",
                "service": "app",
            },
            {
                **route,
                "name": "book",
                "pathPrefix": "/book/",
                "kind": "unsafe",
                "service": "app",
            },
        ],
        "services": [
            {
                "name": "llm",
                "maxConns": 50,
                "engine": {
                    "slots": 8,
                    "kvTokens": 9000,
                    "chunkTokens": EVENT_TOKENS,
                },
            },
            {"name": "app", "maxConns": 50},
        ],
        "limits": {},
        "tenants": [
            {
                "name": "weddings",
                "apiKeys": [KEY],
                "ratePerS": 1000,
                "burst": 1000,
            },
            {
                "name": "rallies",
                "apiKeys": ["key-of-rallies"],
                "ratePerS": 1000,
                "burst": 1000,
            },
        ],
        **changes,
    }


@attrs.define(kw_only=True)
class Gateway:
    """One gateway process."""

    name: str
    process: subprocess.Popen[bytes]
    callers: str
    ready: str
    metrics: str
    settings_path: pathlib.Path
    log_path: pathlib.Path

    def log(self) -> str:
        """Returns what it has logged."""
        return self.log_path.read_text()


class Told(enum.Enum):
    """What the entry of a leaving endpoint says of it."""

    DRAINING = "draining"
    REMOVED = "removed"


@attrs.frozen
class _Server:
    """A server of the cluster and how to end it."""

    stopping: trio.Event = attrs.field(factory=trio.Event)
    ended: trio.Event = attrs.field(factory=trio.Event)
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)


class Cluster:
    """A platform with endpoints and gateways.

    Attributes:
        memory_mb: The memory of each host, as its settings give it.
        max_fds: The descriptors of each host, as its settings give them.
    """

    def __init__(self, nursery: trio.Nursery, path: pathlib.Path) -> None:
        self._nursery = nursery
        self._path = path
        self.store = platform_store.PlatformStore()
        self.store_address = ""
        self.store_apart_address = ""
        self.store_apart_down = False
        self.endpoints: dict[str, platform_endpoint.PlatformEndpoint] = {}
        self.entries: dict[str, dict[str, Any]] = {}
        self.all_instances: list[platform_endpoint.PlatformEndpoint] = []
        self.gateways: list[Gateway] = []
        self.client = http_client.HttpClient()
        self.zones: dict[str, str] = {}
        self._next_id = 0
        self._servers: dict[str, _Server] = {}
        self._own_addresses: dict[str, str] = {}
        block, rest = divmod(os.getpid(), _ADDRESS_BLOCKS)
        self._network = f"127.{1 + block % _ADDRESS_BLOCKS}.{1 + rest}"
        self._ports = [_free_port() for _ in range(3)]
        self.memory_mb = 170
        self.max_fds = 4_100

    async def start_store(self) -> None:
        """Starts the store with a desired state in it."""
        self.store_address = await self._serve(self.store.handle)
        self.store_apart_address = await self._serve(self._serve_apart)
        self.store.put("keyed.op", "config", desired_state())

    async def add_endpoint(
        self,
        endpoint_id: str,
        service: str,
        events: int = 0,
        *,
        zone: str = "a",
        way: Callable[[str, str], Awaitable[str]] | None = None,
    ) -> platform_endpoint.PlatformEndpoint:
        """Starts an endpoint and enters it in the store.

        Args:
            endpoint_id: Its id.
            service: Its service.
            events: Events of a stream; none makes it a plain service.
            zone: Its failure domain.
            way: Returns the address at which others reach an endpoint, by its
                id and own address; the own one when left out.
        """
        endpoint = platform_endpoint.PlatformEndpoint(endpoint_id, events)
        address = await self._serve(endpoint.handle)
        self._own_addresses[endpoint_id] = address
        if way is not None:
            address = await way(endpoint_id, address)
        self.endpoints[endpoint_id] = endpoint
        self.all_instances.append(endpoint)
        entry = {
            "service": service,
            "addr": address,
            "zone": zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "callSeq": 1,
            "born": 1,
        }
        self.entries[endpoint_id] = entry
        self.store.put("keyed.servers", endpoint_id, entry)
        return endpoint

    def put_entry(self, endpoint_id: str, **changes: Any) -> None:
        """Writes an endpoint's entry once more, with changes."""
        entry = self.entries[endpoint_id]
        entry |= {"callSeq": entry["callSeq"] + 1, **changes}
        self.store.put("keyed.servers", endpoint_id, entry)

    def remove_entry(self, endpoint_id: str) -> None:
        """Removes an endpoint's entry; ``put_entry`` brings it back."""
        self.store.put("keyed.servers", endpoint_id, None)

    async def leave(
        self, endpoint_id: str, told: Told, *, late_s: float = 0.0
    ) -> None:
        """Has an endpoint leave; returns when it has ended.

        Its answers say so from now on. It serves on for the users' bound and
        a little longer.

        Args:
            endpoint_id: The endpoint.
            told: What its entry says.
            late_s: How much later than the answers the entry says so.
        """
        self.endpoints[endpoint_id].leaving = platform_endpoint.SIGN
        await trio.sleep(late_s)
        match told:
            case Told.DRAINING:
                self.put_entry(endpoint_id, state="draining")
            case Told.REMOVED:
                self.remove_entry(endpoint_id)
        await trio.sleep(DRAIN_MS / 1000.0 + _LINGER_S)
        await self.end_endpoint(endpoint_id)

    async def end_endpoint(self, endpoint_id: str) -> None:
        """Ends an endpoint after what it runs, and removes its entry."""
        server = self._servers[self._own_addresses[endpoint_id]]
        server.stopping.set()
        with trio.move_on_after(_END_S):
            await server.ended.wait()
        server.scope.cancel()
        await server.ended.wait()
        self.remove_entry(endpoint_id)

    async def start_endpoint_again(
        self, endpoint_id: str, *, cold_s: float = 0.0
    ) -> platform_endpoint.PlatformEndpoint:
        """Starts an endpoint that has ended, as a new boot of the same id.

        Args:
            endpoint_id: The endpoint.
            cold_s: How long it is cold, as its entry and its answers say.
        """
        old = self.endpoints[endpoint_id]
        endpoint = old.successor()
        endpoint.cold_until_s = trio.current_time() + cold_s
        await self._serve(endpoint.handle, self._own_addresses[endpoint_id])
        self.endpoints[endpoint_id] = endpoint
        self.all_instances.append(endpoint)
        self.entries[endpoint_id]["callSeq"] = 0
        self.put_entry(
            endpoint_id,
            state="ready",
            born=endpoint.started_unix_ms,
            coldLeftMs=round(1000 * cold_s),
        )
        self.entries[endpoint_id]["coldLeftMs"] = 0
        return endpoint

    async def add_gateway(
        self,
        *,
        apart: bool = False,
        store_address: str = "",
        output_read: bool = True,
        zone: str = "a",
    ) -> Gateway:
        """Starts a gateway and waits until it is ready.

        The attribute ``zones``, if set, becomes its table of regions.

        Args:
            apart: Whether it reaches the store by a way of its own, which
                ``store_apart_down`` cuts.
            store_address: Where it reaches the store, if neither that way nor
                the usual one.
            output_read: Whether its log is kept; if not, it goes into a pipe
                that nobody reads.
            zone: Its failure domain.
        """
        name = f"front-{len(self.gateways)}"
        # Machines differ in their address; ports are alike on all of them.
        ip = f"{self._network}.{len(self.gateways) + 2}"
        ports = self._ports
        usual = self.store_apart_address if apart else self.store_address
        settings = self._path / f"{name}.toml"
        settings.write_text(
            self._settings(name, ip, store_address or usual, zone)
        )
        log_path = self._path / f"{name}.log"
        gateway = Gateway(
            name=name,
            process=_start(settings, log_path, output_read=output_read),
            callers=f"{ip}:{ports[0]}",
            ready=f"{ip}:{ports[1]}",
            metrics=f"{ip}:{boot.METRICS_PORT}",
            settings_path=settings,
            log_path=log_path,
        )
        self.gateways.append(gateway)
        await self.until(lambda: self.is_ready(gateway))
        return gateway

    def start_again(self, gateway: Gateway) -> None:
        """Starts a gateway whose process has ended; its log goes on."""
        gateway.process.wait()
        gateway.process = _start(gateway.settings_path, gateway.log_path)

    async def call(
        self,
        gateway: Gateway,
        path: str,
        *,
        method: str = "POST",
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        key: str = KEY,
    ) -> tuple[str, http_message.Response]:
        """Sends a request; returns its id and the answer."""
        self._next_id += 1
        request_id = f"{self._next_id:016x}"
        all_headers = {"Attempt-Id": request_id, "Deadline-Ms": "4000"}
        if key:
            all_headers["Authorization"] = f"Token {key}"
        response = await self.client.request(
            gateway.callers,
            http_message.Request(
                method=method,
                path=path,
                host=HOST,
                headers={**all_headers, **(headers or {})},
                body=body,
            ),
            timeout_ms=6_000.0,
            new_connection=True,
        )
        return request_id, response

    async def turn(
        self,
        gateway: Gateway,
        text: bytes,
        previous: str = "",
        *,
        budget: int = 1_000,
        program: str = "p1",
        key: str = KEY,
        path: str = "/chat/1",
    ) -> tuple[str, http_message.Response]:
        """Sends a turn of a conversation."""
        headers = {
            "Program-Id": program,
            "Session-Id": "s1",
            "Program-Deadline-Ms": "5000",
            "Token-Budget": str(budget),
            "Token-Usage": "10,50",
        }
        if previous:
            headers["Previous-Turn"] = previous
        return await self.call(
            gateway, path, body=text, headers=headers, key=key
        )

    async def until(self, check: Callable[[], Awaitable[bool]]) -> None:
        """Waits until a check holds."""
        with trio.fail_after(START_TIMEOUT_S):
            while not await check():
                await trio.sleep(0.05)

    def stop(self, gateway: Gateway, number: int = signal.SIGKILL) -> None:
        """Sends a signal to a gateway."""
        gateway.process.send_signal(number)

    async def is_ready(self, gateway: Gateway) -> bool:
        """Returns whether a gateway says that it is ready."""
        assert gateway.process.poll() is None, gateway.log()
        try:
            response = await self.client.request(
                gateway.ready,
                http_message.Request(method="GET", path="/ready"),
                timeout_ms=500.0,
                new_connection=True,
            )
        except errors.HttpError:
            return False
        return response.status == 200

    async def _serve_apart(
        self, request: http_message.Request, exchange: http_server.Exchange
    ) -> None:
        if self.store_apart_down:
            await exchange.respond(503)
        else:
            await self.store.handle(request, exchange)

    async def _serve(
        self, handler: http_server.Handler, address: str = ""
    ) -> str:
        address = address or f"127.0.0.1:{_free_port()}"
        server = _Server()

        async def serve(
            task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
        ) -> None:
            with server.scope:
                await http_server.serve(
                    address,
                    handler,
                    limits=_LIMITS,
                    stopping=server.stopping,
                    task_status=task_status,
                )
            server.ended.set()

        await self._nursery.start(serve)
        self._servers[address] = server
        return address

    def _settings(self, name: str, ip: str, store: str, zone: str) -> str:
        ports = self._ports
        seeds = [f'"{gateway.callers}"' for gateway in self.gateways]
        zones = "".join(
            f'{each} = "{region}"\n' for each, region in self.zones.items()
        )
        return f"""
node = "{name}"
ip = "{ip}"
zone = "{zone}"
internalPorts = [{ports[2]}, {ports[2] + 1}]
seeds = [{", ".join(seeds)}]
[listen]
front = "{ip}:{ports[0]}"
ready = "{ip}:{ports[1]}"
[limits]
memoryMb = {self.memory_mb}
maxFds = {self.max_fds}
[bounds]
graceS = 8
drainMs = {DRAIN_MS}
[platform]
addr = "{store}"
parts = 4
recordBytes = {platform_store.RECORD_BYTES}
{"[zones]" if zones else ""}
{zones}"""


def _start(
    settings: pathlib.Path, log_path: pathlib.Path, *, output_read: bool = True
) -> subprocess.Popen[bytes]:
    with log_path.open("ab") as log, processes.default_signal_actions():
        return subprocess.Popen(
            [sys.executable, "-m", "quetzalmill_platform"],
            cwd=_ROOT,
            stdout=log if output_read else subprocess.PIPE,
            stderr=log,
            env={
                **os.environ,
                "PYTHONPATH": f"{_ROOT}:{_ROOT / 'platform'}",
                boot.SETTINGS_VARIABLE: str(settings),
            },
        )


def _free_port() -> int:
    return int(processes.free_address().rpartition(":")[2])


@contextlib.asynccontextmanager
async def run(path: pathlib.Path) -> AsyncIterator[Cluster]:
    """Runs a platform; ends what was started when the block ends."""
    async with trio.open_nursery() as nursery:
        cluster = Cluster(nursery, path)
        try:
            await cluster.start_store()
            yield cluster
        finally:
            for gateway in cluster.gateways:
                gateway.process.kill()
                # Closes the pipe of an output that was not read, too.
                gateway.process.communicate()
            await cluster.client.aclose()
            nursery.cancel_scope.cancel()
