"""A small deployment: a store, replicas, and gateways as processes."""

import asyncio
from collections.abc import Awaitable, Callable
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from typing import Any

from standins import replica as replica_module
from standins import store as store_module
from standins import wire

ROOT = pathlib.Path(__file__).resolve().parents[3]
HOST = "ficu95.example"
RUN_COMMAND = ("python3", "-P", "-S", "-m", "quetzalmill_platform")
"""The command of ``deploy/system.toml``."""

METRICS_PORT = 9464
HEARTBEAT_S = 1.2
RESTART_DELAY_S = 0.5
READY_TIMEOUT_S = 25.0
EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2

_ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start_s = time.monotonic()

    def add(self, what: str, **values: Any) -> None:
        """Writes one line."""
        at_s = time.monotonic() - self._start_s
        text = " ".join(f"{name}={value}" for name, value in values.items())
        self._file.write(f"{at_s:8.3f} {what} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


class Machine:
    """A front machine and its process."""

    def __init__(self, name: str, ip: str, ports: list[int]) -> None:
        self.name = name
        self.ip = ip
        self.front = f"{ip}:{ports[0]}"
        self.ready = f"{ip}:{ports[1]}"
        self.control = f"{ip}:{ports[2]}"
        self.settings_path = pathlib.Path()
        self.log_path = pathlib.Path()
        self.process: asyncio.subprocess.Process | None = None
        self.ends: list[int] = []
        """The exit codes of processes that ended without a signal of ours."""

        self.is_stopped_by_us = False

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)


class Deployment:
    """The machines, the store and the replicas of one case."""

    def __init__(self, record: Record, *, seed: int = 1) -> None:
        self.record = record
        self.store = store_module.Store()
        self.replicas: list[replica_module.Replica] = []
        self.machines: list[Machine] = []
        self.store_address = ""
        self._random = random.Random(seed)
        self._next_id = 0
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._servers: list[wire.Server] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._network = _free_network()
        self._ports = _free_ports(f"{self._network}.1", 4)

    async def start(self, desired_state: dict[str, Any], machines: int) -> None:
        """Starts the store, writes the desired state, starts the machines."""
        self.store_address = await self._serve(self.store.handle)
        self.store.put_json("keyed.op", "config", desired_state)
        for number in range(machines):
            self._add_machine(number, machines)
        for machine in self.machines:
            await self._start_process(machine)
        for machine in self.machines:
            await self.until(
                lambda m=machine: self.is_ready(m), READY_TIMEOUT_S
            )
        # A gateway listens for its peers before it claims anything.
        await asyncio.sleep(1.5)

    async def add_replica(
        self, replica: replica_module.Replica, service: str, zone: str
    ) -> None:
        """Starts a replica that registers itself in the store."""
        address = await self._serve(replica.handle)
        self.replicas.append(replica)
        entry = {
            "service": service,
            "addr": address,
            "zone": zone,
            "version": 1,
            "slots": replica.slots,
            "state": "ready",
            "coldLeftMs": 0,
            "callSeq": 0,
            "born": int(time.time() * 1000),
        }

        async def beat() -> None:
            while True:
                self.store.put_json("keyed.servers", replica.replica_id, entry)
                entry["callSeq"] += 1
                await asyncio.sleep(HEARTBEAT_S)

        self._tasks.append(asyncio.create_task(beat()))

    def restart_ended_processes(self) -> None:
        """Restarts processes that end, as the platform does."""

        async def watch(machine: Machine) -> None:
            while True:
                assert machine.process is not None
                code = await machine.process.wait()
                if machine.is_stopped_by_us:
                    return
                machine.ends.append(code)
                self.record.add("process_ended", node=machine.name, code=code)
                await asyncio.sleep(RESTART_DELAY_S)
                await self._start_process(machine)

        for machine in self.machines:
            self._tasks.append(asyncio.create_task(watch(machine)))

    async def is_ready(self, machine: Machine) -> bool:
        """Returns whether a machine answers its readiness check with 200."""
        client = wire.Client(machine.ready)
        answer = await client.request(
            "GET", "/ready", {"Host": machine.ready}, timeout_s=1.0
        )
        client.close()
        return answer.status == 200

    async def until(
        self, check: Callable[[], Awaitable[bool]], timeout_s: float
    ) -> None:
        """Waits until a check holds."""
        async with asyncio.timeout(timeout_s):
            while not await check():
                await asyncio.sleep(0.1)

    def new_id(self) -> str:
        """Returns the id of one requester attempt."""
        self._next_id += 1
        return f"{self._random.getrandbits(40):010x}{self._next_id:06x}"

    def headers(
        self, request_id: str, key: str, deadline_ms: int, **more: str
    ) -> dict[str, str]:
        """Returns the headers of a request; ``_`` in names stands for -."""
        headers = {
            "Host": HOST,
            "Attempt-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
            "Authorization": f"Token {key}",
        }
        for name, value in more.items():
            headers[name.replace("_", "-")] = value
        return headers

    def runs(self) -> list[replica_module.Run]:
        """Returns all runs at all replicas."""
        return [run for each in self.replicas for run in each.runs]

    def rewrite_settings(self, machine: Machine) -> None:
        """Changes a machine's settings file: the order of its seeds."""
        text = machine.settings_path.read_text()
        lines = text.splitlines()
        for number, line in enumerate(lines):
            if line.startswith("seeds = "):
                seeds = json.loads(line.removeprefix("seeds = "))
                lines[number] = f"seeds = {json.dumps(seeds[::-1])}"
        machine.settings_path.write_text("\n".join(lines) + "\n")

    async def stop(self) -> None:
        """Ends all that was started."""
        for machine in self.machines:
            machine.is_stopped_by_us = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for machine in self.machines:
            if machine.process is not None:
                with contextlib.suppress(ProcessLookupError):
                    machine.process.kill()
                await machine.process.wait()
        for server in self._servers:
            await server.stop()
        shutil.rmtree(self._folder, ignore_errors=True)

    def log_text(self, machine: Machine) -> str:
        """Returns what a machine's processes have logged."""
        return machine.log_path.read_text(errors="replace")

    async def _serve(self, handler: wire.Handler) -> str:
        address = f"127.0.0.1:{_free_ports('127.0.0.1', 1)[0]}"
        server = wire.Server(handler)
        await server.start(address)
        self._servers.append(server)
        return address

    def _add_machine(self, number: int, count: int) -> None:
        name = f"front-{number + 1}"
        machine = Machine(name, f"{self._network}.{number + 2}", self._ports)
        machine.settings_path = self._folder / f"{name}.toml"
        machine.log_path = self._folder / f"{name}.log"
        seeds = [
            f"{self._network}.{each + 2}:{self._ports[2]}"
            for each in range(min(3, count))
        ]
        machine.settings_path.write_text(self._settings(machine, seeds))
        self.machines.append(machine)

    def _settings(self, machine: Machine, seeds: list[str]) -> str:
        zone = _ZONES[len(self.machines) % len(_ZONES)]
        return f"""\
node = "{machine.name}"
role = "gateway"
machineClass = "front"
serves = ["front", "control"]
ip = "{machine.ip}"
zone = "{zone}"
region = "region-a"
internalPorts = [{self._ports[3]}, {self._ports[3] + 1}]
seeds = {json.dumps(seeds)}
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
[zones]
{chr(10).join(f'{each} = "region-a"' for each in _ZONES)}
[listen]
front = "{machine.front}"
ready = "{machine.ready}"
control = "{machine.control}"
[limits]
cpuShare = 0.717
cores = 3
memoryMb = 170
maxFds = 8200
linkMbps = 1000.0
diskMb = 0
[bounds]
seedLagS = 3
stableMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
quotaWindowS = 5
quotaOver = 0.1
quotaSlack = 20
recoverS = 12
passMs = 120
[platform]
addr = "{self.store_address}"
form = "log"
writesPerS = 800
readsPerS = 2000
parts = 12
appendMs = 2.0
partMbPerS = 20.0
readMbPerS = 80.0
recordBytes = {store_module.RECORD_BYTES}
callBytes = {store_module.CALL_BYTES}
retentionS = 300
partMb = 200
ttlMinMs = 1000
"""

    async def _start_process(self, machine: Machine) -> None:
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["QUETZALMILL_BOOT"] = str(machine.settings_path)
        with machine.log_path.open("ab") as log:
            machine.process = await asyncio.create_subprocess_exec(
                *RUN_COMMAND,
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=asyncio.subprocess.STDOUT,
                env=environment,
            )
        self.record.add(
            "process_started", node=machine.name, pid=machine.process.pid
        )


Case = Callable[[Deployment, bool], Awaitable[bool]]
"""Plays a case; returns whether the rule held."""

LIMIT_S = 110.0


def main(case: Case) -> int:
    """Plays a case and returns the exit code.

    ``TROUBLE=0`` leaves out the disruption. The argument is the path of the
    record.
    """
    # A starter such as nohup ignores SIGHUP, and processes inherit that.
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(sys.argv[1]))
    try:
        held = asyncio.run(_play(case, record, has_trouble))
    except BaseException as error:  # The case could not run.
        record.add("not_run", reason=repr(error))
        print(f"the case could not run: {error!r}", file=sys.stderr)
        return EXIT_NOT_RUN
    finally:
        record.close()
    return EXIT_HELD if held else EXIT_BROKEN


async def _play(case: Case, record: Record, has_trouble: bool) -> bool:
    deployment = Deployment(record)
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    try:
        async with asyncio.timeout(LIMIT_S):
            held = await case(deployment, has_trouble)
        record.add("result", trouble=has_trouble, held=held)
        print("held" if held else "broken")
        return held
    finally:
        await deployment.stop()


def _free_network() -> str:
    """Returns a loopback network on which the metrics port is free."""
    source = random.SystemRandom()
    while True:
        network = f"127.{source.randint(16, 250)}.{source.randint(1, 250)}"
        with contextlib.closing(socket.socket()) as probe:
            try:
                probe.bind((f"{network}.2", METRICS_PORT))
            except OSError:
                continue
            return network


def _free_ports(ip: str, count: int) -> list[int]:
    """Returns free ports; the port after the last one is free too."""
    while True:
        with contextlib.ExitStack() as stack:
            ports = []
            for _ in range(count):
                probe = stack.enter_context(contextlib.closing(socket.socket()))
                probe.bind((ip, 0))
                ports.append(probe.getsockname()[1])
            if ports[-1] + 1 in ports or ports[-1] >= 65_535:
                continue
            after = stack.enter_context(contextlib.closing(socket.socket()))
            try:
                after.bind((ip, ports[-1] + 1))
            except OSError:
                continue
            return ports
