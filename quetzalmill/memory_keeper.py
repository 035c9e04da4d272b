"""Releases engine memory of programs that no longer exist.

As a home, a process renews the leases of its programs' histories at the
sidecars whose engines cache them. As an engine's sidecar, it periodically
releases the sessions that the engine lists and that have no valid lease.
"""

import trio

from quetzalmill import call_run
from quetzalmill import clock as clock_module
from quetzalmill import configuration
from quetzalmill import control
from quetzalmill import endpoint_port
from quetzalmill import engine_memory
from quetzalmill import errors
from quetzalmill import fleet_view
from quetzalmill import home as home_module
from quetzalmill import logs
from quetzalmill import messages
from quetzalmill import objects

_log = logs.get("memory_keeper")


class MemoryKeeper:
    """Renews the leases of this home and grants those of this sidecar."""

    def __init__(
        self,
        host: str,
        *,
        lease_ms: float,
        check_ms: float,
        timeout_ms: float,
        config: configuration.Configuration,
        fleet: fleet_view.FleetView,
        home: home_module.Home,
        runner: call_run.CallRunner,
        port: endpoint_port.EndpointPort,
        client: control.ControlClient,
        clock: clock_module.Clock,
    ) -> None:
        self._host = host
        self._lease_ms = lease_ms
        self._check_ms = check_ms
        self._timeout_ms = timeout_ms
        self._config = config
        self._fleet = fleet
        self._home = home
        self._runner = runner
        self._port = port
        self._client = client
        self._clock = clock
        self._leases = engine_memory.MemoryLeases(lease_ms)
        self._started_ms = clock.now_ms()
        self._held_tokens: dict[str, int] = {}

    @property
    def held_tokens(self) -> int:
        """Returns the leased tokens in the engines' latest lists."""
        return sum(self._held_tokens.values())

    @property
    def leases_lapsed(self) -> int:
        """Returns the number of leases that have expired."""
        return self._leases.lapsed

    def grant(self, request: messages.LeaseRequest) -> None:
        """Renews and ends leases as requested by a home."""
        now_ms = self._clock.now_ms()
        for session in request.renewed:
            self._leases.renew(session, now_ms)
        for session in request.ended:
            self._leases.end(session)

    def started(self, session: str) -> None:
        """Grants a lease to a program whose call is about to run here."""
        self._leases.renew(session, self._clock.now_ms())

    def finished(self, session: str) -> None:
        """Ends the lease of a single-call program whose call has ended."""
        self._leases.end(session)

    async def renew_forever(self) -> None:
        """Renews the leases of this home's programs until cancelled."""
        while True:
            await trio.sleep(self._lease_ms / 3000.0)
            await self.renew(self._home.drop_idle())

    async def renew(self, ended: list[str]) -> None:
        """Renews the leases of live programs; ends those of ended ones."""
        renewed: dict[str, list[str]] = {}
        dropped: dict[str, list[str]] = {}
        for program in ended:
            for host in self._hosts(self._runner.forget_caches(program)):
                dropped.setdefault(host, []).append(program)
        for program, caches in list(
            self._runner.programs_with_caches().items()
        ):
            if not self._home.holds(program):
                self._runner.forget_caches(program)
                continue
            for host in self._hosts(caches):
                renewed.setdefault(host, []).append(program)
        async with trio.open_nursery() as nursery:
            for host in {*renewed, *dropped}:
                request = messages.LeaseRequest(
                    renewed=renewed.get(host, []), ended=dropped.get(host, [])
                )
                nursery.start_soon(self._send, host, request)

    async def free_forever(self) -> None:
        """Releases unleased memory of this host's engines until cancelled."""
        while True:
            await trio.sleep(self._check_ms / 1000.0)
            for spec in self._engines():
                await self.free(spec.address)

    async def free(self, address: str) -> None:
        """Releases the sessions that one engine holds without a lease.

        For one lease duration after its own start the process releases
        nothing, so that homes can renew their leases here first.
        """
        try:
            listed = await self._port.sessions(address)
        except (errors.ExternalSystemError, errors.CodecError) as error:
            _log.debug("engine_list_failed", reason=str(error))
            return
        now_ms = self._clock.now_ms()
        unleased = self._leases.unleased(list(listed), now_ms)
        self._held_tokens[address] = sum(listed.values()) - sum(
            listed[session] for session in unleased
        )
        if now_ms - self._started_ms < self._lease_ms:
            return
        for session in unleased:
            await self._release(address, session)

    async def _release(self, address: str, session: str) -> None:
        try:
            await self._port.release(address, session)
        except errors.ExternalSystemError as error:
            _log.debug("release_failed", reason=str(error))

    async def _send(self, host: str, request: messages.LeaseRequest) -> None:
        process = self._fleet.process(host)
        if host == self._host:
            self.grant(request)
        elif process is not None:
            try:
                await self._client.call(
                    process.control_address,
                    messages.LEASE,
                    request,
                    timeout_ms=self._timeout_ms,
                )
            except errors.ControlCallError as error:
                _log.debug("lease_renewal_failed", reason=str(error))

    def _hosts(self, caches: dict[str, int]) -> set[str]:
        specs = [self._config.endpoint(name) for name in caches]
        return {spec.host for spec in specs if spec is not None}

    def _engines(self) -> list[objects.EndpointSpec]:
        return [
            spec
            for spec in self._config.specs(
                objects.ENDPOINT, objects.EndpointSpec
            ).values()
            if spec.host == self._host and spec.kind == objects.ENGINE
        ]
