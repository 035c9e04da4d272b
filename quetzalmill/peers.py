"""Heartbeats between gateways, and the table of peers built from them.

A heartbeat carries totals of what a gateway has admitted and runs, rather than
changes, so that a lost or repeated one does no harm. A peer that sends nothing
stays in the table for a while, as it may be unreachable rather than stopped.
"""

from collections.abc import Iterable
import functools
import hashlib

import attrs

from quetzalmill import crash_counts
from quetzalmill import endpoint_health
from quetzalmill import evacuation
from quetzalmill import program_sizes

HEARTBEAT_MS = 200.0
"""The interval between heartbeats to each peer, in small fleets."""

FULL_HEARTBEAT_EVERY = 10
"""Every how many heartbeats a full one is sent: every two seconds. The others
save bandwidth by leaving out teams without recent requests."""

RECENT_REQUEST_MS = 1_000.0
"""How long a team's count is sent after its last request: five heartbeats, of
which one most likely arrives; otherwise the next full one corrects it."""

MAX_UNSLOWED_PEERS = 40
"""The most peers to which heartbeats are sent every ``HEARTBEAT_MS``. With
more, they are sent less often, so that the CPU time for receiving them does not
grow."""

RELAYS_PER_DOMAIN = 2
"""Relays of a failure domain; one may fail without a gap."""

MIN_RELAY_GAIN = 2.0
"""How many times as many heartbeats a gateway would send to other domains
directly before relays are used. They also delay heartbeats and need processor
time, which small gains are not worth."""

LIVENESS_TIMEOUT_MS = 900.0
"""Time without a heartbeat after which a peer no longer counts as live: four
heartbeats are missing."""

RELAY_DELAY_MS = 500.0
"""Additional time without a heartbeat that is allowed where heartbeats come
through relays: both relays' send intervals, and the receive intervals of three
gateways."""

PEER_EXPIRY_MS = 15_000.0
"""Time without a heartbeat after which a peer is removed. Network partitions of
single machines last seconds; a machine that is off for longer keeps no share
of any team's rate."""

_WEIGHT_CACHE_SIZE = 65_536
_MAX_REPLACED_INSTANCES = 4_096
"""How many replaced instances are remembered. A relay that was paused may
deliver their heartbeats long after, and these must be ignored."""

_RELAY_PARTITION = -1
"""The partition number that is hashed to rank relays."""


@attrs.frozen(kw_only=True)
class Heartbeat:
    """The heartbeat of one gateway.

    Attributes:
        host: Its host.
        instance: An id that differs at each start.
        address: IP address and port of its heartbeats and control calls.
        failure_domain: Its host's failure domain.
        sequence: Grows with each heartbeat of an instance.
        leaving: Whether it is shutting down.
        store_reached: Whether it reaches the platform's store.
        table_version: The version of its route table; 0 for none.
        admitted: Requests admitted since its start, by team.
        is_whole: Whether this is a full heartbeat. If not, ``admitted`` and
            ``begun`` leave out teams without recent requests, and ``known``
            is empty.
        running: Requests that it runs, by endpoint.
        crashes: Counts of requests that ran when an endpoint died.
        known: Addresses of the gateways that it knows.
        holds: Budget partitions that it has claimed.
        hold_epochs: The epochs of these claims, by partition; empty from
            gateways of an older version.
        waiting: Requests of running programs that wait for their team's rate,
            by team.
        begun: Requests reserved for programs started since its own start, by
            team.
        trouble: Its failure counts, by endpoint.
        link_mbps: The bandwidth of its host's link; 0 if unknown.
        programs: Its counts of programs and their requests.
        endpoints_leaving: Start times of the endpoints that have sent it a
            drain notice, by endpoint.
        evacuations: The evacuated failure domains that it knows; None in
            heartbeats that leave them out.
        region: Its host's region; empty if unknown.
    """

    host: str
    instance: str
    address: str
    failure_domain: str
    sequence: int
    leaving: bool
    store_reached: bool
    table_version: int
    admitted: dict[str, int]
    is_whole: bool
    running: dict[str, int]
    crashes: list[crash_counts.CrashCount]
    known: list[str]
    holds: list[int]
    waiting: dict[str, int] = attrs.field(factory=dict)
    begun: dict[str, int] = attrs.field(factory=dict)
    trouble: dict[str, endpoint_health.FailureCounts] = attrs.field(
        factory=dict
    )
    link_mbps: float = 0.0
    programs: program_sizes.ProgramCounts = attrs.field(
        factory=program_sizes.ProgramCounts
    )
    endpoints_leaving: dict[str, int] = attrs.field(factory=dict)
    hold_epochs: dict[int, int] = attrs.field(factory=dict)
    evacuations: evacuation.Report | None = None
    region: str = ""


@attrs.define
class _Peer:
    heartbeat: Heartbeat
    received_ms: float


class PeerTable:
    """The other gateways, as known from their heartbeats.

    Args:
        address: This gateway's own address.
        failure_domain: This gateway's failure domain.
        link_mbps: The bandwidth of its host's link; 0 if unknown.
    """

    def __init__(
        self, address: str, failure_domain: str = "", link_mbps: float = 0.0
    ) -> None:
        self._address = address
        self._failure_domain = failure_domain
        self._link_mbps = link_mbps
        self._peers: dict[str, _Peer] = {}
        self._unconfirmed: dict[str, float] = {}
        self._replaced: dict[str, None] = {}
        self._epochs: dict[int, int] = {}

    def add_address(self, address: str, now_ms: float) -> None:
        """Adds the address of a gateway that has not sent a heartbeat yet."""
        if address != self._address and address not in self._peers:
            self._unconfirmed.setdefault(address, now_ms)

    def apply_report(self, heartbeat: Heartbeat, now_ms: float) -> str | None:
        """Applies a heartbeat, unless it is outdated.

        Returns:
            The instance that the sender replaces, or None.
        """
        if (
            heartbeat.address == self._address
            or heartbeat.instance in self._replaced
        ):
            return None
        known = self._peers.get(heartbeat.address)
        self._unconfirmed.pop(heartbeat.address, None)
        replaced = None
        if known is not None and known.heartbeat.instance != heartbeat.instance:
            replaced = known.heartbeat.instance
            self._replaced[replaced] = None
            if len(self._replaced) > _MAX_REPLACED_INSTANCES:
                del self._replaced[next(iter(self._replaced))]
        elif (
            known is not None and known.heartbeat.sequence >= heartbeat.sequence
        ):
            return None
        self._peers[heartbeat.address] = _Peer(heartbeat, now_ms)
        for part, epoch in heartbeat.hold_epochs.items():
            self._epochs[part] = max(epoch, self._epochs.get(part, 0))
        for address in heartbeat.known:
            self.add_address(address, now_ms)
        return replaced

    def is_known_instance(self, heartbeat: Heartbeat) -> bool:
        """Returns whether the sender is its address's last known instance."""
        known = self._peers.get(heartbeat.address)
        return (
            known is not None and known.heartbeat.instance == heartbeat.instance
        )

    def forget_old(self, now_ms: float) -> list[Heartbeat]:
        """Removes expired peers; returns their last heartbeats."""
        for address, since_ms in list(self._unconfirmed.items()):
            if now_ms - since_ms > PEER_EXPIRY_MS:
                del self._unconfirmed[address]
        gone = []
        for address, peer in list(self._peers.items()):
            silent_ms = now_ms - peer.received_ms
            limit_ms = (
                LIVENESS_TIMEOUT_MS
                if peer.heartbeat.leaving
                else PEER_EXPIRY_MS
            )
            if silent_ms > limit_ms:
                gone.append(peer.heartbeat)
                del self._peers[address]
        return gone

    def addresses(self) -> list[str]:
        """Returns the addresses of all known gateways."""
        return [*self._peers, *self._unconfirmed]

    def direct_addresses(self) -> list[str]:
        """Returns the addresses that it sends heartbeats to directly."""
        if not self._is_relayed():
            return self.addresses()
        return [*self.domain_addresses(), *self._unconfirmed]

    def domain_addresses(self) -> list[str]:
        """Returns the addresses of peers in the same failure domain."""
        return [
            address
            for address, peer in self._peers.items()
            if self.is_in_own_domain(peer.heartbeat)
        ]

    def is_in_own_domain(self, heartbeat: Heartbeat) -> bool:
        """Returns whether the sender is in the same failure domain."""
        return heartbeat.failure_domain == self._failure_domain

    def is_newer(self, address: str, instance: str, sequence: int) -> bool:
        """Returns whether a heartbeat is newer than the last one applied."""
        if address == self._address or instance in self._replaced:
            return False
        known = self._peers.get(address)
        return (
            known is None
            or known.heartbeat.instance != instance
            or known.heartbeat.sequence < sequence
        )

    def is_relay(self, count: int, now_ms: float) -> bool:
        """Returns whether this gateway is one of its domain's relays."""
        if not self._is_relayed():
            return False
        ranked = [
            _relay_rank(heartbeat.link_mbps, heartbeat.address)
            for heartbeat in self.alive(now_ms)
            if self.is_in_own_domain(heartbeat) and not heartbeat.leaving
        ]
        own = _relay_rank(self._link_mbps, self._address)
        return sum(rank > own for rank in ranked) < count

    def other_domains(self, now_ms: float) -> list[list[str]]:
        """Returns the addresses of live peers, by other failure domain.

        For a domain without a live peer, all its known peers are returned, as
        it may only be partitioned.
        """
        known = self._by_other_domain(
            peer.heartbeat for peer in self._peers.values()
        )
        heard = self._by_other_domain(
            heartbeat
            for heartbeat in self.alive(now_ms)
            if not heartbeat.leaving
        )
        return list({**known, **heard}.values())

    def _by_other_domain(
        self, heartbeats: Iterable[Heartbeat]
    ) -> dict[str, list[str]]:
        addresses: dict[str, list[str]] = {}
        for heartbeat in heartbeats:
            if not self.is_in_own_domain(heartbeat):
                addresses.setdefault(heartbeat.failure_domain, []).append(
                    heartbeat.address
                )
        return addresses

    def _is_relayed(self) -> bool:
        """Returns whether heartbeats reach other domains through relays.

        They do where relays send far fewer copies of a heartbeat to other
        domains than there are peers in them.
        """
        remote = [
            peer.heartbeat.failure_domain
            for peer in self._peers.values()
            if not self.is_in_own_domain(peer.heartbeat)
        ]
        copies = RELAYS_PER_DOMAIN * len(set(remote))
        return len(remote) > MIN_RELAY_GAIN * copies

    def _live_peers(self, now_ms: float) -> list[_Peer]:
        """Returns the peers whose last heartbeat is recent enough."""
        own_ms = LIVENESS_TIMEOUT_MS * self._slowdown()
        other_ms = own_ms + (RELAY_DELAY_MS if self._is_relayed() else 0.0)
        return [
            peer
            for peer in self._peers.values()
            if now_ms - peer.received_ms
            <= (own_ms if self.is_in_own_domain(peer.heartbeat) else other_ms)
        ]

    def heartbeat_interval_ms(self) -> float:
        """Returns the interval between heartbeats."""
        return HEARTBEAT_MS * self._slowdown()

    def _slowdown(self) -> float:
        return max(1.0, len(self._peers) / MAX_UNSLOWED_PEERS)

    def alive(self, now_ms: float) -> list[Heartbeat]:
        """Returns the last heartbeats of live peers."""
        return [peer.heartbeat for peer in self._live_peers(now_ms)]

    def highest_epoch(self, part: int) -> int:
        """Returns the highest epoch of a partition that a peer ever reported.

        An owner that was replaced must not take the partition for its own again
        once its successor has stopped. 0 if no peer has claimed it.
        """
        return self._epochs.get(part, 0)

    def live_fraction(self, now_ms: float) -> float:
        """Returns the fraction of gateways that are live, itself included."""
        if not self._peers:
            return 1.0
        alive = len(self.alive(now_ms))
        return (alive + 1) / (len(self._peers) + 1)

    def running(self, now_ms: float) -> dict[str, int]:
        """Returns how many requests the peers run, by endpoint."""
        total: dict[str, int] = {}
        for heartbeat in self.alive(now_ms):
            for endpoint_id, count in heartbeat.running.items():
                total[endpoint_id] = total.get(endpoint_id, 0) + count
        return total

    def report_age_ms(self, now_ms: float) -> float:
        """Returns the average age of peers' counts until their next update."""
        ages_ms = [
            now_ms - peer.received_ms for peer in self._live_peers(now_ms)
        ]
        if not ages_ms:
            return 0.0
        age_ms = (
            sum(ages_ms) / len(ages_ms) + self.heartbeat_interval_ms() / 2.0
        )
        return age_ms + (RELAY_DELAY_MS / 2.0 if self._is_relayed() else 0.0)

    def trouble(
        self, now_ms: float
    ) -> dict[str, list[endpoint_health.FailureCounts]]:
        """Returns the peers' failure counts, by endpoint."""
        found: dict[str, list[endpoint_health.FailureCounts]] = {}
        for heartbeat in self.alive(now_ms):
            for endpoint_id, each in heartbeat.trouble.items():
                found.setdefault(endpoint_id, []).append(each)
        return found

    def endpoints_leaving(
        self, now_ms: float
    ) -> dict[str, list[tuple[str, int]]]:
        """Returns the drain notices that peers report, by endpoint.

        Each is a pair of the reporting peer's host and the endpoint's start.
        """
        found: dict[str, list[tuple[str, int]]] = {}
        for heartbeat in self.alive(now_ms):
            for endpoint_id, start in heartbeat.endpoints_leaving.items():
                found.setdefault(endpoint_id, []).append(
                    (heartbeat.host, start)
                )
        return found

    def owner(
        self, part: int, *, leaving: bool, store_reached: bool, now_ms: float
    ) -> str:
        """Returns the address of the gateway that owns a partition.

        Gateways that are not shutting down come first, then those that reach
        the store. If two gateways both consider themselves the owner, the
        store decides between them.

        Args:
            part: The partition.
            leaving: Whether this gateway is shutting down.
            store_reached: Whether this gateway reaches the store.
            now_ms: The current time.
        """
        ranked = [(not leaving, store_reached, self._address)]
        ranked += [
            (not heartbeat.leaving, heartbeat.store_reached, heartbeat.address)
            for heartbeat in self.alive(now_ms)
        ]
        best = max(ranked, key=lambda each: each[:2])[:2]
        return max(
            (each[2] for each in ranked if each[:2] == best),
            key=lambda address: _weight(part, address),
        )


def _relay_rank(link_mbps: float, address: str) -> tuple[float, bytes]:
    """Ranks relays by their links' bandwidth."""
    return link_mbps, _weight(_RELAY_PARTITION, address)


@functools.lru_cache(maxsize=_WEIGHT_CACHE_SIZE)
def _weight(part: int, address: str) -> bytes:
    text = f"{part}/{address}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
