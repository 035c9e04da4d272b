"""The sidecar's heartbeats to entries, whose answers carry the configuration.

A sidecar sends heartbeats to two entries, in different failure domains if
possible. It never reads the configuration stream itself.
"""

import attrs
import trio

from quetzalmill import clock as clock_module
from quetzalmill import config_store
from quetzalmill import control
from quetzalmill import daemon
from quetzalmill import errors
from quetzalmill import executor as executor_module
from quetzalmill import fleet_view
from quetzalmill import logs
from quetzalmill import messages
from quetzalmill import objects
from quetzalmill import shares
from quetzalmill import suspects as suspects_module

ENTRIES_PER_SIDECAR = 2
"""Number of entries that a sidecar sends heartbeats to."""

_AVOID_DURATION_MS = 3_000.0

_log = logs.get("sidecar_beats")


@attrs.frozen(kw_only=True)
class _EntryState:
    """What an entry is known to have received from this sidecar.

    Attributes:
        host: The entry's host.
        instance: The instance of the entry that answered.
        loads: The loads that were reported to it, by endpoint.
    """

    host: str = ""
    instance: str = ""
    loads: dict[str, messages.EndpointLoad] = attrs.field(factory=dict)


class SidecarHeartbeats:
    """Exchanges heartbeats and suspect reports with the entries."""

    def __init__(
        self,
        identity: daemon.Identity,
        *,
        seeds: list[str],
        heartbeat_ms: float,
        timeout_ms: float,
        store: config_store.ConfigStore,
        fleet: fleet_view.FleetView,
        executor: executor_module.Executor,
        suspects: suspects_module.Suspects,
        client: control.ControlClient,
        clock: clock_module.Clock,
    ) -> None:
        self._identity = identity
        self._seeds = seeds
        self._heartbeat_ms = heartbeat_ms
        self._timeout_ms = timeout_ms
        self._store = store
        self._fleet = fleet
        self._executor = executor
        self._suspects = suspects
        self._client = client
        self._clock = clock
        self._avoid_until_ms: dict[str, float] = {}
        self._entry_states: dict[str, _EntryState] = {}
        self._number = 0
        self._answered_ms: float | None = None
        self._was_silent = False
        self.was_ever_answered = False

    async def run(self) -> None:
        """Sends periodic heartbeats to the chosen entries until cancelled."""
        while True:
            await self.send_heartbeats()
            await trio.sleep(self._heartbeat_ms / 1000.0)

    async def send_heartbeats(self) -> None:
        """Sends one heartbeat to each chosen entry."""
        async with trio.open_nursery() as nursery:
            for address in self._addresses():
                nursery.start_soon(self._send_heartbeat, address)

    def was_silent(self) -> bool:
        """Returns whether others may have considered this process dead.

        This holds if no entry answered for the timeout, now or at any time
        since the previous call, for example because the process was paused.
        """
        silent = self._was_silent or self._is_silent(self._clock.now_ms())
        self._was_silent = False
        return silent

    def was_answered(self) -> bool:
        """Returns whether an entry answered within the timeout."""
        return self.was_ever_answered and not self._is_silent(
            self._clock.now_ms()
        )

    async def catch_up(self, offset: int) -> bool:
        """Fetches the configuration up to ``offset``; False on timeout."""
        config = self._store.config
        if config.applied_offset >= offset:
            return True
        with trio.move_on_after(self._timeout_ms / 1000.0):
            while config.applied_offset < offset:
                await self.send_heartbeats()
                if config.applied_offset < offset:
                    await trio.sleep(self._heartbeat_ms / 10_000.0)
        return config.applied_offset >= offset

    async def report(self, suspect: messages.Suspect) -> None:
        """Reports a suspect to all entries before its caller is answered."""
        report = messages.SuspectReport(suspects=[suspect])
        async with trio.open_nursery() as nursery:
            for address in self._all_entries():
                nursery.start_soon(self._send_report, address, report)

    async def _send_report(
        self, address: str, report: messages.SuspectReport
    ) -> None:
        try:
            await self._client.call(
                address, messages.SUSPECTS, report, timeout_ms=self._timeout_ms
            )
        except errors.ControlCallError as error:
            _log.warning("suspect_report_failed", reason=str(error))

    async def _send_heartbeat(self, address: str) -> None:
        sent_ms = self._clock.now_ms()
        self._number += 1
        known = self._entry_states.get(address, _EntryState())
        loads = {load.endpoint: load for load in self._executor.loads()}
        processes_at, loads_at = self._fleet.positions(known.host)
        heartbeat = messages.SidecarHeartbeat(
            host=self._identity.host,
            spec=self._identity.spec,
            applied_offset=self._store.config.applied_offset,
            number=self._number,
            loads=[
                load
                for endpoint, load in loads.items()
                if known.loads.get(endpoint) != load
            ],
            processes_at=processes_at,
            loads_at=loads_at,
        )
        try:
            reply = await self._client.call(
                address,
                messages.SIDECAR_HEARTBEAT,
                heartbeat,
                timeout_ms=self._timeout_ms,
            )
        except errors.ControlCallError as error:
            _log.debug("beat_failed", entry=address, reason=str(error))
            now_ms = self._clock.now_ms()
            self._avoid_until_ms[address] = now_ms + _AVOID_DURATION_MS
            return
        if known.instance not in ("", reply.spec.instance):
            loads = {}
        self._entry_states[address] = _EntryState(
            host=reply.host, instance=reply.spec.instance, loads=loads
        )
        self._apply_reply(reply, sent_ms)

    def _apply_reply(
        self, reply: messages.HeartbeatReply, sent_ms: float
    ) -> None:
        self.was_ever_answered = True
        self._was_silent |= self._is_silent(self._clock.now_ms())
        self._answered_ms = max(sent_ms, self._answered_ms or 0.0)
        self._store.catch_up(reply.snapshot, reply.records)
        self._fleet.record_reply(reply, sent_ms)
        self._fleet.record_loads(self._executor.loads(), self._clock.now_ms())
        for suspect in reply.suspects:
            self._suspects.record(suspect, sent_ms)

    def _is_silent(self, now_ms: float) -> bool:
        if self._answered_ms is None:
            return False
        return now_ms - self._answered_ms > self._timeout_ms

    def _all_entries(self) -> list[str]:
        known = [
            spec.control_address
            for spec in self._store.config.specs(
                objects.PROCESS, objects.ProcessSpec
            ).values()
            if spec.role == objects.ENTRY
        ]
        return list(dict.fromkeys([*known, *self._seeds]))

    def _addresses(self) -> list[str]:
        now_ms = self._clock.now_ms()
        known = {
            spec.control_address: spec.failure_domain
            for host, spec in self._store.config.specs(
                objects.PROCESS, objects.ProcessSpec
            ).items()
            if spec.role == objects.ENTRY and not self._fleet.is_leaving(host)
        }
        addresses = sorted(
            dict.fromkeys([*known, *self._seeds]),
            key=lambda address: (
                self._avoid_until_ms.get(address, 0.0) > now_ms,
                address not in known,
                shares.rank(self._identity.host, address),
            ),
        )
        return _pick_entries(addresses, known)


def _pick_entries(addresses: list[str], domains: dict[str, str]) -> list[str]:
    """Returns the first address and the next one of another domain, if any."""
    if len(addresses) <= ENTRIES_PER_SIDECAR:
        return addresses
    first = addresses[0]
    others = [
        address
        for address in addresses[1:]
        if domains.get(address) != domains.get(first)
    ]
    return [first, (others or addresses[1:])[0]]
