"""The system under test: gateway processes and emulators of everything else.

Faults are injected from outside the gateways: by signals, by the links of a
proxy, and by the emulators of the store and of the endpoints.
"""

from collections.abc import AsyncIterator
import contextlib
import copy
import pathlib
import signal
import subprocess

import trio

from quetzalmill_emulator import fault_proxy
from quetzalmill_emulator import platform_endpoint
from quetzalmill_load import platform_cluster
from quetzalmill_soak import checks
from quetzalmill_soak import gateway_watch
from quetzalmill_soak import record as record_module
from quetzalmill_soak import schedule

LIMITED_TEAM = "rallies"
LIMITED_RATE = checks.Rate(per_s=25.0, burst=25.0)
"""The rate of one of the two teams; its callers exceed it."""

_REFUSALS_TO_COPY = [platform_endpoint.Fault.SHED] * 4
"""Refusals before a late copy, so that a later request comes on the connection
of one of them."""

_STOP_TIMEOUT_S = 12.0
_SIGNAL_PAUSE_S = 0.02


class World:
    """A system under test and the faults that are applied to it.

    Attributes:
        cluster: The gateways and the emulators.
        record: The record of the run.
        watch: Watches the gateways' processes.
        keys: The current key of each team.
    """

    def __init__(
        self,
        cluster: platform_cluster.Cluster,
        proxy: fault_proxy.FaultProxy,
        size: schedule.Size,
    ) -> None:
        self.cluster = cluster
        self.record = record_module.Record()
        self.watch = gateway_watch.GatewayWatch(cluster, self.record)
        self.keys = {
            "weddings": platform_cluster.KEY,
            LIMITED_TEAM: "key-of-rallies",
        }
        self._proxy = proxy
        self._size = size
        self._version = 1
        self._endpoints: list[str] = []
        self._draining: set[str] = set()

    async def start(self) -> None:
        """Starts the system and waits until it serves."""
        self._publish()
        for service, count in (
            ("llm", self._size.engines),
            ("app", self._size.services),
        ):
            for number in range(count):
                await self._add_endpoint(service, number)
        for number in range(self._size.gateways):
            link = await self._link(
                f"store-{number}", self.cluster.store_address
            )
            await self.cluster.add_gateway(store_address=link)

    async def apply(self, fault: schedule.Fault) -> None:
        """Applies a fault and ends it after its duration."""
        match fault:
            case schedule.KillGateway(gateway=number, for_s=for_s):
                async with self._disturbed(fault, number):
                    await self._kill([number], for_s)
            case schedule.KillAll(for_s=for_s):
                async with self._disturbed(fault, None):
                    everyone = list(range(self._size.gateways))
                    await self._kill(everyone, for_s)
            case schedule.PauseGateway(gateway=number, for_s=for_s):
                async with self._disturbed(fault, number):
                    self.watch.signal(number, signal.SIGSTOP)
                    await trio.sleep(for_s)
                    self.watch.signal(number, signal.SIGCONT)
            case schedule.StopGateway(gateway=number, repeated=repeated):
                async with self._disturbed(fault, number):
                    await self._stop(number, repeated)
            case schedule.ReloadGateway(gateway=number, for_s=for_s):
                self._signal_if_handled(number, signal.SIGHUP)
                with trio.move_on_after(for_s):
                    while for_s:
                        await trio.sleep(_SIGNAL_PAUSE_S)
                        self._signal_if_handled(number, signal.SIGHUP)
            case schedule.UnreadableEntry(name=name, value=value):
                self.cluster.store.put_bytes("keyed.servers", name, value)
            case schedule.ReplaceKey():
                self._replace_key()
            case schedule.EndpointFails(endpoint=number, how=how, count=count):
                name = self._endpoints[number]
                endpoint = self.cluster.endpoints[name]
                failures = [platform_endpoint.Fault(how)]
                if failures == [platform_endpoint.Fault.LATE_COPY]:
                    failures = _REFUSALS_TO_COPY + failures
                    failures += failures
                endpoint.faults += failures * count
                async with self._disturbed(fault, None):
                    await trio.sleep(1.0)
            case schedule.EndpointMisleads(endpoint=number, answers=answers):
                endpoint = self.cluster.endpoints[self._endpoints[number]]
                for answer in answers:
                    endpoint.faults += [*_REFUSALS_TO_COPY, answer]
            case schedule.EvacuateDomain(domain=domain, for_s=for_s):
                from_s = trio.current_time()
                self.cluster.store.evacuate(domain)
                await trio.sleep(for_s)
                periods = self.record.evacuated.setdefault(domain, [])
                periods.append((from_s, trio.current_time()))
                self.cluster.store.end_evacuation(domain)
            case schedule.EndpointLeaves():
                await self._drain_endpoint(fault)
            case _:
                async with self._disturbed(fault, None):
                    await self._apply_external(fault)

    async def _apply_external(self, fault: schedule.Fault) -> None:
        """Applies a fault of the store or of a link."""
        store = self.cluster.store
        match fault:
            case schedule.StoreDown(for_s=for_s):
                store.down = True
                await trio.sleep(for_s)
                store.down = False
            case schedule.StoreAnswersLost(count=count):
                store.lost_answers += count
                await trio.sleep(1.0)
            case schedule.StoreForgets():
                store.forget("keyed.op")
                store.forget("keyed.servers")
            case schedule.CutLink():
                await self._fault_link(
                    fault.link,
                    fault.for_s,
                    cut_requests=fault.requests,
                    cut_replies=fault.replies,
                )
            case schedule.DelayLink():
                await self._fault_link(
                    fault.link, fault.for_s, delay_ms=fault.delay_ms
                )
            case schedule.ResetLink(link=link):
                await trio.to_thread.run_sync(self._proxy.reset, link)

    async def heal(self) -> None:
        """Clears all remaining faults; waits until all gateways are ready."""
        for number in range(self._size.gateways):
            self.watch.check_end(number)
        self.cluster.store.down = False
        self.cluster.store.lost_answers = 0
        await trio.to_thread.run_sync(self._proxy.heal)
        for endpoint in self.cluster.endpoints.values():
            endpoint.faults.clear()
        for gateway in self.cluster.gateways:
            await self._until_ready(gateway)

    def runs(self) -> list[platform_endpoint.Run]:
        """Returns all requests that endpoints ran."""
        return [
            run
            for endpoint in self.cluster.all_instances
            for run in endpoint.runs
        ]

    def refused(self) -> list[platform_endpoint.Run]:
        """Returns all requests that endpoints refused."""
        return [
            run
            for endpoint in self.cluster.all_instances
            for run in endpoint.refused
        ]

    @contextlib.asynccontextmanager
    async def _disturbed(
        self, fault: schedule.Fault, gateway: int | None
    ) -> AsyncIterator[None]:
        disturbance = record_module.Disturbance(
            name=type(fault).__name__,
            gateway=gateway,
            from_s=trio.current_time(),
        )
        self.record.disturbances.append(disturbance)
        yield
        disturbance.to_s = trio.current_time()

    async def _kill(self, numbers: list[int], for_s: float) -> None:
        for number in numbers:
            self.watch.signal(number, signal.SIGKILL)
        await trio.sleep(for_s)
        for number in numbers:
            await self._restart(number)

    def _signal_if_handled(self, number: int, which: int) -> bool:
        """Sends a signal unless the process has yet to run its first statement.

        Until then only its parent could change the default action. Returns
        whether it was sent.
        """
        if not _handles_signals(self.cluster.gateways[number].process.pid):
            return False
        self.watch.signal(number, which)
        return True

    async def _stop(self, number: int, repeated: str) -> None:
        process = self.cluster.gateways[number].process
        with trio.move_on_after(_STOP_TIMEOUT_S):
            while process.poll() is None and not self._signal_if_handled(
                number, signal.SIGTERM
            ):
                await trio.sleep(_SIGNAL_PAUSE_S)
            while process.poll() is None:
                await trio.sleep(_SIGNAL_PAUSE_S)
                # An overlapping fault may have replaced the process.
                if repeated and self._runs(number, process):
                    self.watch.signal(number, signal.Signals[repeated])
        if self._runs(number, process):
            self.watch.signal(number, signal.SIGKILL)
        await self._restart(number)

    def _runs(self, number: int, process: subprocess.Popen[bytes]) -> bool:
        """Returns whether a gateway still runs as this process."""
        current = self.cluster.gateways[number].process
        return current is process and process.poll() is None

    async def _restart(self, number: int) -> None:
        """Restarts a gateway unless an overlapping fault already did."""
        gateway = self.cluster.gateways[number]
        # A process that was just killed takes a moment to exit.
        with trio.move_on_after(0.2):
            while gateway.process.poll() is None:
                await trio.sleep(0.01)
        if gateway.process.poll() is not None:
            self.watch.start_again(number)
            await self._until_ready(gateway)

    async def _until_ready(self, gateway: platform_cluster.Gateway) -> None:
        with trio.move_on_after(platform_cluster.START_TIMEOUT_S):
            while gateway.process.poll() is not None or not (
                await self.cluster.is_ready(gateway)
            ):
                await trio.sleep(0.05)

    async def _fault_link(
        self, link: str, for_s: float, **faults: object
    ) -> None:
        await trio.to_thread.run_sync(
            lambda: self._proxy.set_faults(link, **faults)
        )
        await trio.sleep(for_s)
        await trio.to_thread.run_sync(self._proxy.heal, link)

    async def _add_endpoint(self, service: str, number: int) -> None:
        name = f"{service}-{number}"
        domain = schedule.DOMAINS[number % len(schedule.DOMAINS)]
        self.record.domains[name] = domain
        endpoint = await self.cluster.add_endpoint(
            name,
            service,
            checks.EVENTS if service == "llm" else 0,
            zone=domain,
            way=self._link,
        )
        endpoint.names_request = True
        self._endpoints.append(name)

    async def _link(self, name: str, address: str) -> str:
        return await trio.to_thread.run_sync(self._proxy.link, name, address)

    async def _drain_endpoint(self, fault: schedule.EndpointLeaves) -> None:
        name = self._endpoints[fault.endpoint]
        if name in self._draining:
            return
        self._draining.add(name)
        told_s = trio.current_time() + fault.late_s
        told = platform_cluster.Told(fault.told)
        await self.cluster.leave(name, told, late_s=fault.late_s)
        await trio.sleep(fault.away_s)
        times = self.record.left.setdefault(name, [])
        times.append((told_s, trio.current_time()))
        await self.cluster.start_endpoint_again(name, cold_s=checks.COLD_S)
        self._draining.remove(name)

    def _replace_key(self) -> None:
        old = self.keys["weddings"]
        self.keys["weddings"] = f"key-{self._version + 1}"
        self._publish()
        self.record.withdrawn[old] = trio.current_time()

    def _publish(self) -> None:
        """Writes a desired state with the current keys."""
        self._version += 1
        state = copy.deepcopy(platform_cluster.desired_state(self._version))
        for team in state["tenants"]:
            team["apiKeys"] = [self.keys[team["name"]]]
            if team["name"] == LIMITED_TEAM:
                team["ratePerS"] = LIMITED_RATE.per_s
                team["burst"] = LIMITED_RATE.burst
        for service in state["services"]:
            service["coldStartS"] = checks.COLD_S
            service["coldPerS"] = checks.COLD_PER_S
        self.cluster.store.put("keyed.op", "config", state)


def _handles_signals(pid: int) -> bool:
    """Returns whether a process catches or ignores SIGHUP."""
    try:
        status = pathlib.Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return False
    masks = dict(line.split(":", 1) for line in status.splitlines())
    handled = int(masks["SigCgt"], 16) | int(masks["SigIgn"], 16)
    return bool(handled & 1 << (signal.SIGHUP - 1))


@contextlib.asynccontextmanager
async def run(
    path: pathlib.Path, seed: int, size: schedule.Size
) -> AsyncIterator[World]:
    """Runs a system; its processes are ended when the context exits."""
    with fault_proxy.FaultProxy(seed) as proxy:
        async with platform_cluster.run(path) as cluster:
            world = World(cluster, proxy, size)
            await world.start()
            yield world
