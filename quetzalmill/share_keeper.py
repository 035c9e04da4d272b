"""Keeps the shares of the teams' rates assigned to live entries.

When the live entries differ from the holders, an entry appends a record that
names the new ones. The record's base revision resolves races, and ``shares``
decides when the new holders may mint.
"""

import trio

from quetzalmill import announcement
from quetzalmill import clock as clock_module
from quetzalmill import codec
from quetzalmill import config_store
from quetzalmill import daemon
from quetzalmill import errors
from quetzalmill import fleet_view
from quetzalmill import freshness as freshness_module
from quetzalmill import log_port
from quetzalmill import logs
from quetzalmill import objects
from quetzalmill import shares
from quetzalmill import team_rates

SHARES_NAME = "all"
"""The name of the only shares object."""

_log = logs.get("share_keeper")


class ShareKeeper:
    """Proposes new holders from one entry's local view of the fleet."""

    def __init__(
        self,
        identity: daemon.Identity,
        *,
        store: config_store.ConfigStore,
        port: log_port.LogPort,
        fleet: fleet_view.FleetView,
        ledger: shares.ShareHolder,
        rates: team_rates.TeamRates,
        freshness: freshness_module.Freshness,
        lease_ms: float,
        heartbeat_ms: float,
        clock: clock_module.Clock,
    ) -> None:
        self._identity = identity
        self._store = store
        self._port = port
        self._fleet = fleet
        self._ledger = ledger
        self._rates = rates
        self._freshness = freshness
        self._lease_ms = lease_ms
        self._heartbeat_ms = heartbeat_ms
        self._clock = clock
        self._differs_since_ms: float | None = None

    def configuration_changed(self) -> None:
        """Applies the newest configuration to the teams' rates."""
        config = self._store.config
        spec = config.spec(objects.SHARES, SHARES_NAME, objects.SharesSpec)
        newest, previous = holder_sets(
            spec, config.revision(objects.SHARES, SHARES_NAME)
        )
        self._rates.configure(
            config.applied_offset,
            config.specs(objects.TEAM, objects.TeamSpec),
            newest,
            previous,
            self._clock.now_ms(),
        )

    async def run(self) -> None:
        """Updates what is in force and proposes holders until cancelled."""
        while True:
            now_ms = self._clock.now_ms()
            self._rates.settle(now_ms, self._replaced_holders())
            if self._is_due(now_ms):
                await self._propose()
            await trio.sleep(self._heartbeat_ms / 1000.0)

    def _is_due(self, now_ms: float) -> bool:
        holders = self._ledger.newest.holders
        if self._eligible_holders(now_ms) == holders or not self._may_propose(
            now_ms
        ):
            self._differs_since_ms = None
            return False
        if self._differs_since_ms is None:
            self._differs_since_ms = now_ms
        delay_ms = 2 * self._heartbeat_ms * self._proposer_rank(now_ms)
        return now_ms - self._differs_since_ms >= delay_ms

    def _may_propose(self, now_ms: float) -> bool:
        age_ms = self._freshness.age_ms(now_ms)
        if age_ms is None or age_ms > self._lease_ms:
            return False
        return self._ledger.is_settled and self._knows_half(now_ms)

    def _knows_half(self, now_ms: float) -> bool:
        holders = self._ledger.newest.holders
        own = (self._identity.host, self._identity.spec.instance)
        replaced = self._replaced_holders()
        accounted_for = [
            host
            for host, instance in holders.items()
            if (host, instance) == own
            or f"{host} {instance}" in replaced
            or self._fleet.is_alive(host, now_ms)
        ]
        return 2 * len(accounted_for) >= len(holders)

    def _replaced_holders(self) -> frozenset[str]:
        """Returns ``host instance`` of holders replaced or removed."""
        holders = {
            *self._ledger.settled.holders.items(),
            *self._ledger.newest.holders.items(),
        }
        return frozenset(
            f"{host} {instance}"
            for host, instance in holders
            if not self._is_published(host, instance)
        )

    def _eligible_holders(self, now_ms: float) -> dict[str, str]:
        wanted = {
            heard.host: heard.spec.instance
            for heard in self._fleet.live_processes(objects.ENTRY, now_ms)
            if self._fleet.takes_work(heard.host, now_ms)
            and self._is_published(heard.host, heard.spec.instance)
        }
        own = self._identity
        if not own.spec.leaving and self._is_published(
            own.host, own.spec.instance
        ):
            wanted[own.host] = own.spec.instance
        return wanted

    def _is_published(self, host: str, instance: str) -> bool:
        published = self._store.config.process(host)
        return published is not None and published.instance == instance

    def _proposer_rank(self, now_ms: float) -> int:
        """Returns how many other entries propose before this one."""
        hosts = sorted(self._eligible_holders(now_ms))
        own = self._identity.host
        return hosts.index(own) if own in hosts else len(hosts)

    async def _propose(self) -> None:
        newest = self._ledger.newest
        spec = objects.SharesSpec(
            holders=self._eligible_holders(self._clock.now_ms()),
            lease_ms=self._lease_ms,
            previous=newest.holders,
            previous_lease_ms=newest.lease_ms,
        )
        change = objects.ObjectChange(
            kind=objects.SHARES,
            name=SHARES_NAME,
            base_revision=newest.revision,
            spec=codec.to_plain(spec),
        )
        record = announcement.new_record(self._identity.host, [change])
        try:
            await announcement.append_record(self._port, record)
        except errors.ExternalSystemError as error:
            _log.warning("shares_not_appended", reason=str(error))
            return
        _log.info("shares_proposed", holders=sorted(spec.holders))


def holder_sets(
    spec: objects.SharesSpec | None, revision: int
) -> tuple[shares.HolderSet | None, shares.HolderSet]:
    """Returns the holders that a record names, and the previous ones."""
    if spec is None:
        return None, shares.HolderSet(revision=0, holders={})
    newest = shares.HolderSet(
        revision=revision, holders=spec.holders, lease_ms=spec.lease_ms
    )
    previous = shares.HolderSet(
        revision=0, holders=spec.previous, lease_ms=spec.previous_lease_ms
    )
    return newest, previous
