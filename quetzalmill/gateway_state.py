"""A gateway's local view of configuration, endpoints, peers and rates.

The I/O layers report events to it and query it; it performs no I/O itself.
"""

from collections.abc import Mapping
import hashlib
import random

from quetzalmill import clock as clock_module
from quetzalmill import crash_counts
from quetzalmill import endpoint_pool
from quetzalmill import evacuation
from quetzalmill import homes
from quetzalmill import http_message
from quetzalmill import logs
from quetzalmill import peers as peers_module
from quetzalmill import program_sizes
from quetzalmill import rate_queues
from quetzalmill import route_table
from quetzalmill import team_buckets

MIN_OUTAGE_MS = 700.0
"""How long calls to the store must fail to count as an outage; a single failed
call does not, as registry entries lapse only after several missed renewals."""

LOCAL_OUTAGE_MS = 600.0
"""How long after this gateway lost the store a peer that still reaches the
store proves that only this gateway's path to it failed; three heartbeats."""

OUTAGE_RECOVERY_MS = 3_000.0
"""How long after an outage missing registry entries may still reappear."""

MIN_UNSTORED_OUTAGE_MS = 1_500.0
"""How long an outage must last before owners grant what is not stored; somewhat
more than peers take to notice that a gateway sends no heartbeats."""

MIN_LIVE_FRACTION = 0.5
"""The fraction of the gateways that must be heard for the same."""

LISTEN_BEATS = 2.5
"""How many heartbeat intervals a gateway listens for at startup before it
claims partitions; each live peer that knows it has sent two by then."""

OVERDRAFT_FRACTION = 0.5
"""The fraction of the tolerated excess requests that teams may overdraw; the
rest covers what peers admit before they receive each other's counts."""

MAX_TABLE_AGE_MS = 2_500.0
"""The age of the last confirmation up to which the route table may be the
reason to deny a request."""

_log = logs.get("gateway_state")


class GatewayState:
    """The state of one gateway, as far as it knows it.

    Args:
        host: Its host.
        instance: An id that differs at each start.
        address: IP address and port of its heartbeats and control calls.
        failure_domain: Its host's failure domain.
        parts: The number of partitions of each topic.
        clock: The process's clock.
        link_mbps: The bandwidth of its host's link; 0 if unknown.
        rate_slack: Requests beyond a team's rate that the operators tolerate.
        drain_ms: How long endpoints keep serving after their drain notice.
        region: Its host's region; empty if unknown.
        zones: The region of each failure domain; None for none known.
    """

    def __init__(
        self,
        *,
        host: str,
        instance: str,
        address: str,
        failure_domain: str,
        parts: int,
        clock: clock_module.WallClock,
        link_mbps: float = 0.0,
        rate_slack: float = 0.0,
        drain_ms: float = 0.0,
        region: str = "",
        zones: Mapping[str, str] | None = None,
    ) -> None:
        self.host = host
        self.instance = instance
        self.address = address
        self.failure_domain = failure_domain
        self.region = region
        self.zones = zones or {}
        self.parts = parts
        self.clock = clock
        self.table: route_table.RouteTable | None = None
        self.pool = endpoint_pool.EndpointPool(drain_ms)
        self.peers = peers_module.PeerTable(address, failure_domain, link_mbps)
        self._link_mbps = link_mbps
        self.buckets = team_buckets.TeamBuckets(
            overdraft=OVERDRAFT_FRACTION * rate_slack
        )
        self.start_buckets = team_buckets.TeamBuckets(
            rate_queues.START_BURST_MS
        )
        self._sizes = program_sizes.ProgramSizes()
        self.rate_queues = rate_queues.RateQueues(
            self.buckets,
            self.start_buckets,
            clock,
            self._waiting_at_peers,
            self._sizes,
        )
        self.crashes = crash_counts.CrashCounts()
        self.holds: dict[int, int] = {}
        self.leaving = False
        self.retention_ms = 0.0
        self.endpoints_known = False
        self._table_confirmed_ms = float("-inf")
        self._store_lost_ms: float | None = None
        self._store_recovered_ms = float("-inf")
        self._outage_is_local = False
        self._sequence = 0
        self._has_new_peer = False
        self._started_ms = clock.now_ms()

    def is_ready(self) -> bool:
        """Returns whether this gateway can serve callers."""
        return (
            self.table is not None and self.endpoints_known and not self.leaving
        )

    def apply_route_table(
        self, table: route_table.RouteTable, source: str
    ) -> bool:
        """Applies a route table if it is newer; returns whether it was."""
        if self.table is not None and table.version <= self.table.version:
            return False
        before = 0 if self.table is None else self.table.version
        self.table = table
        # Turns of a removed route keep the retention that they were promised.
        self.retention_ms = max(
            [self.retention_ms, *(each.retention_ms for each in table.routes)]
        )
        for buckets in (self.buckets, self.start_buckets):
            buckets.configure(table.teams, self.clock.now_ms())
        _log.info(
            "table_applied",
            version=table.version,
            before=before,
            source=source,
            routes=len(table.routes),
            teams=len(table.teams),
        )
        unknown = homes.unknown_regions(table, self.zones)
        if unknown:
            _log.warning("home_regions_unknown", regions=unknown)
        return True

    def homes_of(
        self, route: route_table.Route, team: str
    ) -> homes.RequestHomes:
        """Returns the home regions of a request."""
        return homes.RequestHomes(
            self.zones, self.region, lambda: self.table, route, team
        )

    def stored_homes(self, part: int) -> homes.Homes:
        """Returns the regions in which a partition of turns may be read."""
        unlimited = homes.Homes(None, self.zones, self.region)
        if self.table is None:
            return unlimited
        return homes.stored_homes(
            self.table,
            lambda team: self.partition_of(team) == part,
            unlimited,
        )

    def sweeper(self, part: int) -> str:
        """Returns the gateway that removes a partition's expired turns."""
        return homes.sweeper(
            part,
            self.owner(part),
            self.address,
            self.alive_peers(),
            self.stored_homes(part),
        )

    def pick_service(
        self,
        route: route_table.Route,
        within: homes.Homes,
        random_source: random.Random,
    ) -> str | None:
        """Returns the service for a request; see ``homes.pick_service``."""
        return homes.pick_service(
            route,
            within,
            lambda service: bool(
                self.pool.usable(service, self.clock.now_ms(), within)
            ),
            random_source,
        )

    def caller_limits(self) -> http_message.Limits:
        """Returns the limits of a caller's connection."""
        if self.table is None:
            return http_message.Limits()
        return self.table.limits

    def confirm_table(self) -> None:
        """Records that the table is the newest one in the store."""
        self._table_confirmed_ms = self.clock.now_ms()

    def table_is_fresh(self) -> bool:
        """Returns whether the route table may be a reason to deny a request."""
        return (
            self.clock.now_ms() - self._table_confirmed_ms <= MAX_TABLE_AGE_MS
        )

    def record_store_availability(self, answered: bool) -> None:
        """Records whether a call to the store was answered."""
        now_ms = self.clock.now_ms()
        if answered:
            if self._store_lost_ms is not None:
                failing_ms = now_ms - self._store_lost_ms
                _log.info("store_regained", after_ms=round(failing_ms))
                if failing_ms >= MIN_OUTAGE_MS and not self._outage_is_local:
                    self._store_recovered_ms = now_ms
            self._store_lost_ms = None
        elif self._store_lost_ms is None:
            self._store_lost_ms = now_ms
            self._outage_is_local = False
            _log.warning("store_lost")

    def store_reached(self) -> bool:
        """Returns whether the store answers this gateway."""
        return self._store_lost_ms is None

    def store_outage_ms(self) -> float:
        """Returns for how long the store has not answered this gateway."""
        if self._store_lost_ms is None:
            return 0.0
        return self.clock.now_ms() - self._store_lost_ms

    def may_grant_unstored(self, part: int, epoch: int) -> bool:
        """Returns whether the owner of a partition is certain to be the only.

        While the store is unavailable, an owner that has been replaced is not
        told by the store. Its successor's heartbeats arrive within the minimum
        time of the outage, unless the two cannot reach each other; so most
        gateways have to be heard.
        """
        now_ms = self.clock.now_ms()
        return (
            self.store_outage_ms() >= MIN_UNSTORED_OUTAGE_MS
            and self.store_is_unavailable()
            and self.peers.live_fraction(now_ms) > MIN_LIVE_FRACTION
            and self.peers.highest_epoch(part) < epoch
        )

    def listening_ms(self) -> float:
        """Returns how much longer it listens for its peers' heartbeats."""
        since_ms = self.clock.now_ms() - self._started_ms
        listen_ms = LISTEN_BEATS * self.peers.heartbeat_interval_ms()
        return max(0.0, listen_ms - since_ms)

    def store_is_unavailable(self) -> bool:
        """Returns whether neither it nor any live peer reaches the store."""
        return not self.store_reached() and not any(
            heartbeat.store_reached for heartbeat in self.alive_peers()
        )

    def store_was_unavailable(self) -> bool:
        """Returns whether entries may have lapsed only because of an outage.

        While some gateway reaches the store, endpoints reach it as well, so
        that an entry that lapses then belongs to an endpoint that has stopped.
        """
        since_ms = self.clock.now_ms() - self._store_recovered_ms
        return since_ms < OUTAGE_RECOVERY_MS

    def heartbeat(self) -> peers_module.Heartbeat:
        """Returns this gateway's next heartbeat."""
        now_ms = self.clock.now_ms()
        is_whole = (
            self._has_new_peer
            or self._sequence % peers_module.FULL_HEARTBEAT_EVERY == 0
        )
        since_ms = (
            float("-inf")
            if is_whole
            else now_ms - peers_module.RECENT_REQUEST_MS
        )
        self._has_new_peer = False
        self._sequence += 1
        return peers_module.Heartbeat(
            host=self.host,
            instance=self.instance,
            address=self.address,
            failure_domain=self.failure_domain,
            sequence=self._sequence,
            leaving=self.leaving,
            store_reached=self.store_reached(),
            table_version=0 if self.table is None else self.table.version,
            admitted=self.buckets.admitted(since_ms),
            is_whole=is_whole,
            running=self.pool.running(),
            crashes=self.crashes.all_known(),
            known=self.peers.addresses() if is_whole else [],
            holds=sorted(self.holds),
            hold_epochs=dict(self.holds),
            waiting=self.rate_queues.waiting(),
            begun=self.start_buckets.admitted(since_ms),
            trouble=self.pool.trouble(now_ms),
            link_mbps=self._link_mbps,
            programs=self._sizes.counts(),
            endpoints_leaving=self.pool.drain_notices_to_report(now_ms),
            evacuations=self.pool.evacuations.report_to_send(
                now_ms, is_whole=is_whole
            ),
            region=self.region,
        )

    def apply_report(self, heartbeat: peers_module.Heartbeat) -> None:
        """Applies a peer's heartbeat."""
        now_ms = self.clock.now_ms()
        if not self.peers.is_known_instance(heartbeat):
            # A new peer needs a full heartbeat at once.
            self._has_new_peer = True
        replaced = self.peers.apply_report(heartbeat, now_ms)
        if replaced is not None:
            self._drop_counters(replaced)
            _log.info("peer_restarted", peer=heartbeat.host)
        for buckets, counts in (
            (self.buckets, heartbeat.admitted),
            (self.start_buckets, heartbeat.begun),
        ):
            buckets.apply_report(
                heartbeat.instance, counts, now_ms, is_whole=heartbeat.is_whole
            )
        self.pool.evacuations.apply_report(
            heartbeat.evacuations,
            evacuation.Moment(now_ms=now_ms, source=heartbeat.host),
        )
        for count in heartbeat.crashes:
            self.crashes.apply_report(count, now_ms)

    def tick(self) -> None:
        """Updates whatever changes with time alone."""
        now_ms = self.clock.now_ms()
        for heartbeat in self.peers.forget_old(now_ms):
            self._drop_counters(heartbeat.instance)
            _log.info(
                "peer_gone", peer=heartbeat.host, leaving=heartbeat.leaving
            )
        live_fraction = self.peers.live_fraction(now_ms)
        for buckets in (self.buckets, self.start_buckets):
            buckets.set_live_fraction(live_fraction, now_ms)
        self._sizes.apply_report(
            heartbeat.programs for heartbeat in self.alive_peers()
        )
        self.pool.apply_peer_running(
            self.peers.running(now_ms), now_ms, self.peers.report_age_ms(now_ms)
        )
        self.pool.apply_peer_failures(self.peers.trouble(now_ms))
        self.pool.apply_peer_drain_notices(
            self.peers.endpoints_leaving(now_ms), now_ms
        )
        self.crashes.forget_old(now_ms)
        if self._store_lost_ms is not None:
            self.pool.extend_grace_period(now_ms)
            if now_ms - self._store_lost_ms > LOCAL_OUTAGE_MS and any(
                heartbeat.store_reached for heartbeat in self.alive_peers()
            ):
                self._outage_is_local = True
        for endpoint_id in self.pool.remove_lapsed(now_ms):
            _log.info("endpoint_gone", endpoint=endpoint_id, reason="lapsed")

    def alive_peers(self) -> list[peers_module.Heartbeat]:
        """Returns the last heartbeats of live peers."""
        return self.peers.alive(self.clock.now_ms())

    def _drop_counters(self, instance: str) -> None:
        for buckets in (self.buckets, self.start_buckets):
            buckets.forget(instance)

    def _waiting_at_peers(self, team: str) -> int:
        return sum(
            heartbeat.waiting.get(team, 0) for heartbeat in self.alive_peers()
        )

    def owner(self, part: int) -> str:
        """Returns the address of the gateway that owns a partition."""
        return self.peers.owner(
            part,
            leaving=self.leaving,
            store_reached=self.store_reached(),
            now_ms=self.clock.now_ms(),
        )

    def holders(self, part: int) -> list[str]:
        """Returns the addresses of gateways that have claimed a partition."""
        own = [self.address] if part in self.holds else []
        return own + [
            heartbeat.address
            for heartbeat in self.alive_peers()
            if part in heartbeat.holds
        ]

    def partition_of(self, name: str) -> int:
        """Returns the partition of a program's budget or of a team's turns."""
        digest = hashlib.blake2b(name.encode(), digest_size=4).digest()
        return int.from_bytes(digest, "big") % self.parts
