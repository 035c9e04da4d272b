"""What the gateways tell each other, and what each makes of it.

Gateways send each other beats: whole statements of what they have admitted
and run, so that a lost or repeated one does no harm. A peer that is silent
stays known for a while, because it may be cut off rather than dead.
"""

from collections.abc import Iterable
import functools
import hashlib

import attrs

from quetzalmill import crash_counts
from quetzalmill import endpoint_health
from quetzalmill import program_sizes

BEAT_MS = 200.0
"""The time between two beats to each peer."""

WHOLE_EVERY = 10
"""Every how many beats one is whole; two seconds, in which a team that makes
no request costs no bytes."""

RECENT_MS = 1_000.0
"""How long a team's count goes out after its last request: five beats, of
which one at least arrives; the next whole beat mends the rest."""

FEW_PEERS = 40
"""Peers up to which beats come that often and go straight to all. With more
they come less often, so that receiving them takes no growing part of a host's
processor, and go to other failure domains through relays (``beat_relays``)."""

SILENT_MS = 900.0
"""Silence after which a peer gets no work: four beats are missing."""

RELAYED_MS = 500.0
"""What silence may last longer where beats come through relays: both relays'
pauses, and the time in which beats gather at three gateways."""

FORGOTTEN_MS = 15_000.0
"""Silence after which a peer counts as gone for good. Partitions of single
machines last seconds; a machine that is off for longer holds no part of any
team's rate."""

_REMEMBERED_WEIGHTS = 65_536
_REMEMBERED_INSTANCES = 4_096
"""Instances that others have replaced. A relay that stood still may bring their
beats long after, and they must not count as news."""

_RELAY_PART = -1
"""Stands for a partition's number where relays are ranked."""


@attrs.frozen(kw_only=True)
class Beat:
    """What one gateway says of itself.

    Attributes:
        host: Its host.
        instance: Differs at each start.
        address: IP address and port of its beats and control calls.
        failure_domain: Where it stands.
        sequence: Grows with each beat of an instance.
        leaving: Whether it shuts down.
        store_reached: Whether it reaches the platform's store.
        table_version: The version of its route table; 0 for none.
        admitted: Requests admitted since its start, by team.
        is_whole: Whether ``admitted``, ``begun`` and ``known`` are whole; if
            not, teams without requests of late and addresses are left out.
        running: Requests that it runs, by endpoint.
        crashes: Requests that ran when an endpoint died.
        known: Addresses of the gateways that it knows.
        holds: Partitions of budgets that it has claimed.
        waiting: Requests of programs under way that wait for their team's
            rate, by team.
        begun: Requests that programs begun since its start take, by team.
        trouble: What it counts of endpoints that fail, by endpoint.
        link_mbps: The bandwidth of its host's link; 0 if it does not say.
        programs: What it counted of programs and their requests.
        endpoints_leaving: Start times of the endpoints that have said to it
            that they leave, by endpoint.
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
    trouble: dict[str, endpoint_health.Trouble] = attrs.field(factory=dict)
    link_mbps: float = 0.0
    programs: program_sizes.ProgramCounts = attrs.field(
        factory=program_sizes.ProgramCounts
    )
    endpoints_leaving: dict[str, int] = attrs.field(factory=dict)


@attrs.define
class _Peer:
    beat: Beat
    heard_ms: float


class PeerTable:
    """The other gateways, as far as this one hears them.

    Args:
        address: This gateway's own address.
        failure_domain: Where it stands.
        link_mbps: The bandwidth of its host's link; 0 if unknown.
    """

    def __init__(
        self, address: str, failure_domain: str = "", link_mbps: float = 0.0
    ) -> None:
        self._address = address
        self._failure_domain = failure_domain
        self._link_mbps = link_mbps
        self._peers: dict[str, _Peer] = {}
        self._unheard: dict[str, float] = {}
        self._replaced: dict[str, None] = {}

    def add_address(self, address: str, now_ms: float) -> None:
        """Learns of a gateway that has not been heard."""
        if address != self._address and address not in self._peers:
            self._unheard.setdefault(address, now_ms)

    def hear(self, beat: Beat, now_ms: float) -> str | None:
        """Takes over a beat.

        Returns:
            The instance that this one replaces, or None.
        """
        if beat.address == self._address or beat.instance in self._replaced:
            return None
        known = self._peers.get(beat.address)
        self._unheard.pop(beat.address, None)
        replaced = None
        if known is not None and known.beat.instance != beat.instance:
            replaced = known.beat.instance
            self._replaced[replaced] = None
            if len(self._replaced) > _REMEMBERED_INSTANCES:
                del self._replaced[next(iter(self._replaced))]
        elif known is not None and known.beat.sequence >= beat.sequence:
            return None
        self._peers[beat.address] = _Peer(beat, now_ms)
        for address in beat.known:
            self.add_address(address, now_ms)
        return replaced

    def knows(self, beat: Beat) -> bool:
        """Returns whether the instance of a beat was heard before."""
        known = self._peers.get(beat.address)
        return known is not None and known.beat.instance == beat.instance

    def forget_old(self, now_ms: float) -> list[Beat]:
        """Drops peers that count as gone; returns their last beats."""
        for address, since_ms in list(self._unheard.items()):
            if now_ms - since_ms > FORGOTTEN_MS:
                del self._unheard[address]
        gone = []
        for address, peer in list(self._peers.items()):
            silent_ms = now_ms - peer.heard_ms
            limit_ms = SILENT_MS if peer.beat.leaving else FORGOTTEN_MS
            if silent_ms > limit_ms:
                gone.append(peer.beat)
                del self._peers[address]
        return gone

    def addresses(self) -> list[str]:
        """Returns all addresses that beats go to."""
        return [*self._peers, *self._unheard]

    def direct_addresses(self) -> list[str]:
        """Returns the addresses that this gateway's beats go to straight."""
        if not self._is_relayed():
            return self.addresses()
        return [*self.domain_addresses(), *self._unheard]

    def domain_addresses(self) -> list[str]:
        """Returns the addresses of peers in the same failure domain."""
        return [
            address
            for address, peer in self._peers.items()
            if self.is_in_own_domain(peer.beat)
        ]

    def is_in_own_domain(self, beat: Beat) -> bool:
        """Returns whether a gateway stands in the same failure domain."""
        return beat.failure_domain == self._failure_domain

    def is_news(self, address: str, instance: str, sequence: int) -> bool:
        """Returns whether a beat is newer than the last of its instance."""
        if address == self._address or instance in self._replaced:
            return False
        known = self._peers.get(address)
        return (
            known is None
            or known.beat.instance != instance
            or known.beat.sequence < sequence
        )

    def is_relay(self, count: int, now_ms: float) -> bool:
        """Returns whether this gateway is one of its domain's relays."""
        if not self._is_relayed():
            return False
        ranked = [
            _relay_rank(beat.link_mbps, beat.address)
            for beat in self.alive(now_ms)
            if self.is_in_own_domain(beat) and not beat.leaving
        ]
        own = _relay_rank(self._link_mbps, self._address)
        return sum(rank > own for rank in ranked) < count

    def other_domains(self, now_ms: float) -> list[list[str]]:
        """Returns the addresses heard in each other failure domain.

        Where none is heard, those last heard stand in: if they live, their
        domain was only cut off.
        """
        known = self._by_other_domain(
            peer.beat for peer in self._peers.values()
        )
        heard = self._by_other_domain(
            beat for beat in self.alive(now_ms) if not beat.leaving
        )
        return list({**known, **heard}.values())

    def _by_other_domain(self, beats: Iterable[Beat]) -> dict[str, list[str]]:
        addresses: dict[str, list[str]] = {}
        for beat in beats:
            if not self.is_in_own_domain(beat):
                addresses.setdefault(beat.failure_domain, []).append(
                    beat.address
                )
        return addresses

    def _is_relayed(self) -> bool:
        return len(self._peers) > FEW_PEERS

    def _heard(self, now_ms: float) -> list[_Peer]:
        """Returns the peers that are heard."""
        own_ms = SILENT_MS * self._slowdown()
        other_ms = own_ms + (RELAYED_MS if self._is_relayed() else 0.0)
        return [
            peer
            for peer in self._peers.values()
            if now_ms - peer.heard_ms
            <= (own_ms if self.is_in_own_domain(peer.beat) else other_ms)
        ]

    def beat_ms(self) -> float:
        """Returns the time until the next beat."""
        return BEAT_MS * self._slowdown()

    def _slowdown(self) -> float:
        return max(1.0, len(self._peers) / FEW_PEERS)

    def alive(self, now_ms: float) -> list[Beat]:
        """Returns the last beats of peers that are heard."""
        return [peer.beat for peer in self._heard(now_ms)]

    def heard_part(self, now_ms: float) -> float:
        """Returns the part of all gateways that is heard, this one included."""
        if not self._peers:
            return 1.0
        alive = len(self.alive(now_ms))
        return (alive + 1) / (len(self._peers) + 1)

    def running(self, now_ms: float) -> dict[str, int]:
        """Returns what the peers run, by endpoint."""
        total: dict[str, int] = {}
        for beat in self.alive(now_ms):
            for endpoint_id, count in beat.running.items():
                total[endpoint_id] = total.get(endpoint_id, 0) + count
        return total

    def news_age_ms(self, now_ms: float) -> float:
        """Returns how old beats are on average until the next ones come."""
        ages_ms = [now_ms - peer.heard_ms for peer in self._heard(now_ms)]
        if not ages_ms:
            return 0.0
        age_ms = sum(ages_ms) / len(ages_ms) + self.beat_ms() / 2.0
        return age_ms + (RELAYED_MS / 2.0 if self._is_relayed() else 0.0)

    def trouble(
        self, now_ms: float
    ) -> dict[str, list[endpoint_health.Trouble]]:
        """Returns what the peers count of endpoints that fail."""
        found: dict[str, list[endpoint_health.Trouble]] = {}
        for beat in self.alive(now_ms):
            for endpoint_id, each in beat.trouble.items():
                found.setdefault(endpoint_id, []).append(each)
        return found

    def endpoints_leaving(
        self, now_ms: float
    ) -> dict[str, list[tuple[str, int]]]:
        """Returns hosts and the starts that they say leave, by endpoint."""
        found: dict[str, list[tuple[str, int]]] = {}
        for beat in self.alive(now_ms):
            for endpoint_id, start in beat.endpoints_leaving.items():
                found.setdefault(endpoint_id, []).append((beat.host, start))
        return found

    def owner(
        self, part: int, *, leaving: bool, store_reached: bool, now_ms: float
    ) -> str:
        """Returns the address of the gateway that owns a partition.

        Gateways that reach the store go before those that do not, and those
        that stay before those that leave. Which of two gateways that both
        believe to be the owner is the right one is settled by the store.

        Args:
            part: The partition.
            leaving: Whether this gateway leaves.
            store_reached: Whether this gateway reaches the store.
            now_ms: The current time.
        """
        ranked = [(not leaving, store_reached, self._address)]
        ranked += [
            (not beat.leaving, beat.store_reached, beat.address)
            for beat in self.alive(now_ms)
        ]
        best = max(ranked, key=lambda each: each[:2])[:2]
        return max(
            (each[2] for each in ranked if each[:2] == best),
            key=lambda address: _weight(part, address),
        )


def _relay_rank(link_mbps: float, address: str) -> tuple[float, bytes]:
    """Ranks relays by what their links carry."""
    return link_mbps, _weight(_RELAY_PART, address)


@functools.lru_cache(maxsize=_REMEMBERED_WEIGHTS)
def _weight(part: int, address: str) -> bytes:
    text = f"{part}/{address}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
