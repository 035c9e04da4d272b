"""An entry's control traffic: heartbeats with entries, answers to sidecars.

It spreads the configuration, the liveness of processes, loads and suspects,
and feeds the evidence that the shares and the freshness rules need.
"""

import trio

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
from quetzalmill import shares
from quetzalmill import suspects as suspects_module

_log = logs.get("entry_control")


class EntryControl:
    """The control traffic of one entry."""

    def __init__(
        self,
        identity: daemon.Identity,
        *,
        seeds: list[str],
        beat_ms: float,
        timeout_ms: float,
        store: config_store.ConfigStore,
        fleet: fleet_view.FleetView,
        freshness: freshness_module.Freshness,
        ledger: shares.ShareHolder,
        suspects: suspects_module.Suspects,
        client: control.ControlClient,
        clock: clock_module.Clock,
    ) -> None:
        self._identity = identity
        self._seeds = seeds
        self._beat_ms = beat_ms
        self._timeout_ms = timeout_ms
        self._store = store
        self._fleet = fleet
        self._freshness = freshness
        self._ledger = ledger
        self._suspects = suspects
        self._client = client
        self._clock = clock
        self._direct: dict[str, float] = {}

    async def run(self) -> None:
        """Beats to every other entry until cancelled."""
        while True:
            await self.beat_all()
            await trio.sleep(self._beat_ms / 1000.0)

    async def beat_all(self) -> None:
        """Sends one beat to each other entry."""
        async with trio.open_nursery() as nursery:
            for address in self.peers():
                nursery.start_soon(self._beat, address)

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
        """Returns the hosts of all published entries that do not leave."""
        return {
            host
            for host, spec in self._store.config.specs(
                objects.PROCESS, objects.ProcessSpec
            ).items()
            if spec.role == objects.ENTRY and not spec.leaving
        }

    def on_sidecar_beat(self, beat: messages.SidecarBeat) -> messages.BeatReply:
        """Answers a sidecar's beat."""
        now_ms = self._clock.now_ms()
        self._fleet.note(
            beat.host,
            beat.spec,
            applied_offset=beat.applied_offset,
            at_ms=now_ms,
        )
        self._fleet.note_loads(beat.loads, now_ms)
        self._direct[beat.host] = now_ms
        return self._reply(beat.applied_offset)

    def on_entry_beat(self, beat: messages.EntryBeat) -> messages.BeatReply:
        """Answers another entry's beat."""
        now_ms = self._clock.now_ms()
        self._fleet.note(
            beat.host,
            beat.spec,
            applied_offset=beat.applied_offset,
            at_ms=now_ms,
        )
        self._note_heard(beat.heard, now_ms)
        self._fleet.note_loads(self._indirect(beat.loads), now_ms)
        return self._reply(beat.applied_offset)

    def note_suspects(self, suspects: list[messages.Suspect]) -> None:
        """Remembers suspects that another process reported."""
        for suspect in suspects:
            if self._suspects.note(suspect, self._clock.now_ms()):
                _log.warning(
                    "suspect_noted",
                    fingerprint=suspect.fingerprint,
                    team=suspect.team,
                    crashes=suspect.crashes,
                )

    async def _beat(self, address: str) -> None:
        asked_ms = self._clock.now_ms()
        beat = messages.EntryBeat(
            host=self._identity.host,
            spec=self._identity.spec,
            applied_offset=self._store.config.applied_offset,
            shares_revision=self._ledger.newest.revision,
            heard=self._heard_directly(asked_ms),
            loads=self._direct_loads(asked_ms),
        )
        try:
            reply = await self._client.call(
                address, messages.BEAT_ENTRY, beat, timeout_ms=self._timeout_ms
            )
        except errors.ControlError as error:
            _log.debug("beat_failed", entry=address, reason=str(error))
            return
        self._take(reply, asked_ms)

    def _take(self, reply: messages.BeatReply, asked_ms: float) -> None:
        self._store.catch_up(reply.snapshot, reply.records)
        self._fleet.note(
            reply.host,
            reply.spec,
            applied_offset=reply.applied_offset,
            at_ms=asked_ms,
        )
        self._note_heard(reply.heard, asked_ms)
        self._fleet.note_loads(self._indirect(reply.loads), asked_ms)
        self.note_suspects(reply.suspects)
        self._freshness.heard(
            reply.host,
            asked_ms=asked_ms,
            freshness_ms=reply.freshness_ms,
            behind=reply.applied_offset > self._store.config.applied_offset,
        )
        self._ledger.heard(
            reply.host,
            reply.spec.instance,
            revision=reply.shares_revision,
            asked_ms=asked_ms,
        )

    def _note_heard(self, heard: list[messages.Heard], now_ms: float) -> None:
        for each in heard:
            self._fleet.note(
                each.host,
                each.spec,
                applied_offset=each.applied_offset,
                at_ms=now_ms - each.age_ms,
            )

    def _heard_directly(self, now_ms: float) -> list[messages.Heard]:
        return [
            heard
            for heard in self._fleet.heard(objects.SIDECAR, now_ms)
            if self._is_direct(heard.host, now_ms)
        ]

    def _direct_loads(self, now_ms: float) -> list[messages.EndpointLoad]:
        return [
            load
            for load in self._fleet.loads()
            if self._is_direct(self._host_of(load.endpoint), now_ms)
        ]

    def _indirect(
        self, loads: list[messages.EndpointLoad]
    ) -> list[messages.EndpointLoad]:
        now_ms = self._clock.now_ms()
        return [
            load
            for load in loads
            if not self._is_direct(self._host_of(load.endpoint), now_ms)
        ]

    def _host_of(self, endpoint: str) -> str:
        spec = self._store.config.endpoint(endpoint)
        return spec.host if spec else ""

    def _is_direct(self, host: str, now_ms: float) -> bool:
        return now_ms - self._direct.get(host, -self._timeout_ms) < (
            self._timeout_ms
        )

    def _reply(self, offset: int) -> messages.BeatReply:
        now_ms = self._clock.now_ms()
        snapshot, records = self._store.since(offset)
        return messages.BeatReply(
            host=self._identity.host,
            spec=self._identity.spec,
            applied_offset=self._store.config.applied_offset,
            shares_revision=self._ledger.newest.revision,
            freshness_ms=self._freshness.age_ms(now_ms),
            snapshot=snapshot,
            records=records,
            heard=self._fleet.heard(objects.SIDECAR, now_ms),
            loads=self._fleet.loads(),
            suspects=self._suspects.all_known(now_ms),
        )
