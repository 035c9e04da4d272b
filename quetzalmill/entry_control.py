"""An entry's control traffic: heartbeats to entries, replies to sidecars.

It distributes the configuration, the liveness of processes, loads and suspects,
and supplies the evidence that the share and freshness rules need.
"""

import attrs
import trio

from quetzalmill import change_log
from quetzalmill import clock as clock_module
from quetzalmill import config_store
from quetzalmill import control
from quetzalmill import daemon
from quetzalmill import errors
from quetzalmill import fleet_view
from quetzalmill import freshness as freshness_module
from quetzalmill import logs
from quetzalmill import messages
from quetzalmill import objects
from quetzalmill import suspects as suspects_module
from quetzalmill import team_rates

PROCESSES_PER_REPLY = 512
"""Maximum number of changed processes in one heartbeat reply."""

LOADS_PER_REPLY = 16
"""Maximum number of changed loads in one heartbeat reply."""

_REFRESH_MS = 20.0

_log = logs.get("entry_control")


@attrs.define(kw_only=True)
class _SidecarLoads:
    """The loads that one sidecar reported for its endpoints.

    Attributes:
        instance: The instance of the sidecar.
        number: The number of its newest heartbeat.
        loads: The loads by endpoint.
    """

    instance: str
    number: int = 0
    loads: dict[str, messages.EndpointLoad] = attrs.field(factory=dict)


class EntryControl:
    """The control traffic of one entry."""

    def __init__(
        self,
        identity: daemon.Identity,
        *,
        seeds: list[str],
        heartbeat_ms: float,
        timeout_ms: float,
        store: config_store.ConfigStore,
        fleet: fleet_view.FleetView,
        freshness: freshness_module.Freshness,
        rates: team_rates.TeamRates,
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
        self._freshness = freshness
        self._rates = rates
        self._suspects = suspects
        self._client = client
        self._clock = clock
        self._host_at: dict[str, str] = {}
        self._sidecar_loads: dict[str, _SidecarLoads] = {}
        self._direct = _Tables(identity.spec.instance)
        self._all = _Tables(identity.spec.instance)
        self._lagging: dict[str, int] = {}
        self._refreshed_ms = -_REFRESH_MS
        self._awaiting_reply: set[str] = set()

    async def run(self) -> None:
        """Sends heartbeats to all other entries until cancelled.

        A peer that does not reply delays no heartbeat to other peers.
        """
        async with trio.open_nursery() as nursery:
            while True:
                for address in self.peers():
                    if address not in self._awaiting_reply:
                        self._awaiting_reply.add(address)
                        nursery.start_soon(self._send_heartbeat, address)
                await trio.sleep(self._heartbeat_ms / 1000.0)

    def peers(self) -> list[str]:
        """Returns the control addresses of the other entries."""
        own = self._identity.spec.control_address
        known = [
            spec.control_address
            for spec in self._store.config.specs(
                objects.PROCESS, objects.ProcessSpec
            ).values()
            if spec.role == objects.ENTRY
        ]
        return [a for a in dict.fromkeys([*known, *self._seeds]) if a != own]

    def entry_hosts(self) -> set[str]:
        """Returns the hosts of all published entries not shutting down."""
        return {
            host
            for host, spec in self._store.config.specs(
                objects.PROCESS, objects.ProcessSpec
            ).items()
            if spec.role == objects.ENTRY and not spec.leaving
        }

    def on_sidecar_heartbeat(
        self, heartbeat: messages.SidecarHeartbeat
    ) -> messages.HeartbeatReply:
        """Replies to a sidecar's heartbeat."""
        now_ms = self._clock.now_ms()
        self._fleet.record(
            heartbeat.host,
            heartbeat.spec,
            applied_offset=heartbeat.applied_offset,
            at_ms=now_ms,
        )
        self._record_sidecar_loads(heartbeat, now_ms)
        return self._reply(
            heartbeat.applied_offset,
            self._all,
            heartbeat.processes_at,
            heartbeat.loads_at,
        )

    def on_entry_heartbeat(
        self, heartbeat: messages.EntryHeartbeat
    ) -> messages.HeartbeatReply:
        """Replies to another entry's heartbeat."""
        self._fleet.record(
            heartbeat.host,
            heartbeat.spec,
            applied_offset=heartbeat.applied_offset,
            at_ms=self._clock.now_ms(),
        )
        return self._reply(
            heartbeat.applied_offset,
            self._direct,
            heartbeat.processes_at,
            heartbeat.loads_at,
        )

    def record_suspects(self, suspects: list[messages.Suspect]) -> None:
        """Records suspects that another process reported."""
        for suspect in suspects:
            if self._suspects.record(suspect, self._clock.now_ms()):
                _log.warning(
                    "suspect_noted",
                    fingerprint=suspect.fingerprint,
                    team=suspect.team,
                    crashes=suspect.crashes,
                )

    async def _send_heartbeat(self, address: str) -> None:
        try:
            await self._exchange_heartbeat(address)
        finally:
            self._awaiting_reply.discard(address)

    async def _exchange_heartbeat(self, address: str) -> None:
        asked_ms = self._clock.now_ms()
        processes_at, loads_at = self._fleet.positions(
            self._host_at.get(address, "")
        )
        heartbeat = messages.EntryHeartbeat(
            host=self._identity.host,
            spec=self._identity.spec,
            applied_offset=self._store.config.applied_offset,
            processes_at=processes_at,
            loads_at=loads_at,
        )
        try:
            reply = await self._client.call(
                address,
                messages.ENTRY_HEARTBEAT,
                heartbeat,
                timeout_ms=self._timeout_ms,
            )
        except errors.ControlCallError as error:
            _log.debug("beat_failed", entry=address, reason=str(error))
            return
        self._host_at[address] = reply.host
        self._apply_reply(reply, asked_ms)

    def _apply_reply(
        self, reply: messages.HeartbeatReply, asked_ms: float
    ) -> None:
        self._store.catch_up(reply.snapshot, reply.records)
        self._fleet.record_reply(reply, asked_ms)
        self.record_suspects(reply.suspects)
        self._freshness.record_reply(
            reply.host,
            asked_ms=asked_ms,
            freshness_ms=reply.freshness_ms,
            behind=reply.applied_offset > self._store.config.applied_offset,
        )
        self._rates.record_reply(
            reply.host,
            reply.spec.instance,
            applied_offset=reply.applied_offset,
            asked_ms=asked_ms,
            now_ms=self._clock.now_ms(),
        )

    def _record_sidecar_loads(
        self, heartbeat: messages.SidecarHeartbeat, now_ms: float
    ) -> None:
        """Records a sidecar's loads; loads that it omits are unchanged."""
        instance = heartbeat.spec.instance
        known = self._sidecar_loads.get(heartbeat.host)
        if known is None or known.instance != instance:
            known = _SidecarLoads(instance=instance)
            self._sidecar_loads[heartbeat.host] = known
        if heartbeat.number > known.number:
            known.number = heartbeat.number
            known.loads.update(
                {load.endpoint: load for load in heartbeat.loads}
            )
        for endpoint in list(known.loads):
            if self._store.config.endpoint(endpoint) is None:
                del known.loads[endpoint]
        self._fleet.record_loads(list(known.loads.values()), now_ms)

    def _refresh_tables(self, now_ms: float) -> None:
        if now_ms - self._refreshed_ms < _REFRESH_MS:
            return
        self._refreshed_ms = now_ms
        fleet = self._fleet
        direct = fleet.direct_processes(objects.SIDECAR, now_ms)
        every = fleet.live_processes(objects.SIDECAR, now_ms)
        self._direct.processes.replace({h.host: h.spec for h in direct})
        self._all.processes.replace({h.host: h.spec for h in every})
        self._direct.loads.replace(fleet.direct_loads(now_ms))
        self._all.loads.replace({load.endpoint: load for load in fleet.loads()})
        offset = self._store.config.applied_offset
        self._lagging = {
            heard.host: heard.applied_offset
            for heard in direct
            if heard.applied_offset < offset
        }

    def _reply(
        self,
        offset: int,
        tables: "_Tables",
        processes_at: change_log.Position,
        loads_at: change_log.Position,
    ) -> messages.HeartbeatReply:
        now_ms = self._clock.now_ms()
        self._refresh_tables(now_ms)
        snapshot, records = self._store.since(offset)
        return messages.HeartbeatReply(
            host=self._identity.host,
            spec=self._identity.spec,
            applied_offset=self._store.config.applied_offset,
            freshness_ms=self._freshness.age_ms(now_ms),
            snapshot=snapshot,
            records=records,
            processes=tables.processes.since(processes_at, PROCESSES_PER_REPLY),
            lagging=self._lagging,
            loads=tables.loads.since(loads_at, LOADS_PER_REPLY),
            suspects=self._suspects.all_known(now_ms),
        )


class _Tables:
    """The tables replicated to one kind of process, with versions."""

    def __init__(self, instance: str) -> None:
        self.processes = change_log.ChangeLog[objects.ProcessSpec](instance)
        self.loads = change_log.ChangeLog[messages.EndpointLoad](instance)
