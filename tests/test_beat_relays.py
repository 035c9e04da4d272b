"""Tests of heartbeats relayed between failure domains."""

import random
import zlib

import attrs
import pytest

from quetzalmill import beat_relays
from quetzalmill import codec
from quetzalmill import errors
from quetzalmill import peers as peers_module

_DOMAINS = 6
_STEP_MS = 100.0


def _heartbeat(number: int, **changes: object) -> peers_module.Heartbeat:
    heartbeat = peers_module.Heartbeat(
        host=f"front-{number}",
        instance=f"i{number}",
        address=f"10.{number % _DOMAINS}.0.{number}:1",
        failure_domain=f"d{number % _DOMAINS}",
        sequence=1,
        leaving=False,
        store_reached=True,
        table_version=1,
        admitted={f"team-{team}": number * team for team in range(8)},
        is_whole=True,
        running={},
        crashes=[],
        known=[],
        holds=[],
        link_mbps=15.0 if number % 2 else 300.0,
    )
    return attrs.evolve(heartbeat, **changes)  # type: ignore[arg-type]


class _Member:
    """One gateway of a fleet, without its sockets."""

    def __init__(self, number: int, addresses: list[str]) -> None:
        self.heartbeat = _heartbeat(number)
        self.table = peers_module.PeerTable(
            self.heartbeat.address,
            self.heartbeat.failure_domain,
            self.heartbeat.link_mbps,
        )
        for address in addresses:
            self.table.add_address(address, 0.0)
        self.relays = beat_relays.BeatRelays(self.table, random.Random(number))
        self._next_beat_ms = 0.0
        self.inbox: list[bytes] = []
        self.is_stopped = False

    def step(self, now_ms: float) -> list[beat_relays.Outgoing]:
        """Reads its inbox and returns the datagrams that are due."""
        outgoing: list[beat_relays.Outgoing] = []
        inbox, self.inbox = self.inbox, []
        for data in inbox:
            received = self.relays.receive(data)
            for heartbeat in received.heartbeats:
                self.table.apply_report(heartbeat, now_ms)
            outgoing += received.forwarded
        if now_ms >= self._next_beat_ms:
            self._next_beat_ms = now_ms + self.table.heartbeat_interval_ms()
            is_whole = (
                self.heartbeat.sequence % peers_module.FULL_HEARTBEAT_EVERY == 0
            )
            self.heartbeat = attrs.evolve(
                self.heartbeat,
                sequence=self.heartbeat.sequence + 1,
                known=self.table.addresses() if is_whole else [],
            )
            outgoing += self.relays.send(
                self.heartbeat, codec.to_msgpack(self.heartbeat)
            )
        return outgoing + self.relays.relay(now_ms)


class _Fleet:
    """Gateways and a simulated network between them."""

    def __init__(self, size: int, loss: float = 0.0) -> None:
        addresses = [_heartbeat(number).address for number in range(size)]
        self.members = {
            address: _Member(number, addresses)
            for number, address in enumerate(addresses)
        }
        self._loss = loss
        self._random = random.Random(7)
        self.now_ms = 0.0
        self.cut: set[str] = set()
        self.cross_domain_bytes = 0

    def run(self, duration_ms: float) -> None:
        """Runs all gateways for some simulated time."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            for member in list(self.members.values()):
                if not member.is_stopped:
                    self._deliver(member, member.step(self.now_ms))
            self.now_ms += _STEP_MS

    def min_live_peers(self) -> int:
        """Returns the smallest number of live peers that any gateway knows."""
        living = [each for each in self.members.values() if not each.is_stopped]
        return min(len(each.table.alive(self.now_ms)) for each in living)

    def relays_of(self, domain: str) -> list[_Member]:
        """Returns the gateways that consider themselves relays of a domain."""
        return [
            each
            for each in self.members.values()
            if each.heartbeat.failure_domain == domain
            and each.table.is_relay(peers_module.RELAYS_PER_DOMAIN, self.now_ms)
        ]

    def _deliver(
        self, sender: _Member, outgoing: list[beat_relays.Outgoing]
    ) -> None:
        own = sender.heartbeat.failure_domain
        for each in outgoing:
            target = self.members.get(each.address)
            if target is None or self._random.random() < self._loss:
                continue
            other = target.heartbeat.failure_domain
            if other != own:
                self.cross_domain_bytes += len(each.data)
                if {own, other} & self.cut:
                    continue
            if not target.is_stopped:
                target.inbox.append(each.data)


class TestFleet:
    """Which peers the gateways of a large fleet receive heartbeats from."""

    @pytest.mark.parametrize("size", [8, 33, 84])
    @pytest.mark.parametrize("loss", [0.0, 0.02])
    def test_everyone_hears_everyone(self, size: int, loss: float) -> None:
        fleet = _Fleet(size, loss)
        fleet.run(3_000.0)
        for _ in range(20):
            fleet.run(_STEP_MS)
            assert fleet.min_live_peers() == size - 1

    def test_bytes_between_domains(self) -> None:
        """Sent directly, each round would be 84 * 70 heartbeats."""
        fleet = _Fleet(84)
        fleet.run(3_000.0)
        fleet.cross_domain_bytes = 0
        fleet.run(4_000.0)
        heartbeats = (
            4_000.0
            / fleet.members[_heartbeat(1).address].table.heartbeat_interval_ms()
        )
        direct_bytes = (
            84 * 70 * heartbeats * len(codec.to_msgpack(_heartbeat(1)))
        )
        assert fleet.cross_domain_bytes < direct_bytes / 10

    def test_bytes_between_domains_of_a_medium_fleet(self) -> None:
        """Direct heartbeats of 33 gateways cost more than relayed ones."""
        fleet = _Fleet(33)
        fleet.run(3_000.0)
        fleet.cross_domain_bytes = 0
        fleet.run(4_000.0)
        direct_bytes = 33 * 27.5 * 20 * len(codec.to_msgpack(_heartbeat(1)))
        assert fleet.cross_domain_bytes < direct_bytes / 2

    def test_small_fleet_has_no_relays(self) -> None:
        """Relays would send more copies than there are gateways to reach."""
        fleet = _Fleet(12)
        fleet.run(3_000.0)
        assert not fleet.relays_of("d0")

    def test_losing_one_relay_per_domain_hides_no_peer(self) -> None:
        """One relay of each domain fails at the same time."""
        fleet = _Fleet(84)
        fleet.run(3_000.0)
        for domain in range(_DOMAINS):
            fleet.relays_of(f"d{domain}")[0].is_stopped = True
        living = 84 - _DOMAINS - 1
        for _ in range(40):
            fleet.run(_STEP_MS)
            assert fleet.min_live_peers() >= living

    def test_losing_all_relays_hides_no_peer_for_long(self) -> None:
        fleet = _Fleet(84)
        fleet.run(3_000.0)
        for domain in range(_DOMAINS):
            for relay in fleet.relays_of(f"d{domain}"):
                relay.is_stopped = True
        fleet.run(5_000.0)
        assert fleet.min_live_peers() == 84 - 2 * _DOMAINS - 1

    def test_domain_that_was_cut_off_is_heard_again(self) -> None:
        fleet = _Fleet(84)
        fleet.run(3_000.0)
        fleet.cut = {"d0"}
        fleet.run(6_000.0)
        assert fleet.min_live_peers() == 13
        fleet.cut = set()
        fleet.run(1_500.0)
        assert fleet.min_live_peers() == 83

    def test_fleet_that_doubles(self) -> None:
        fleet = _Fleet(42)
        fleet.run(2_000.0)
        addresses = [_heartbeat(number).address for number in range(84)]
        for number in range(42, 84):
            fleet.members[addresses[number]] = _Member(number, addresses[:3])
        for member in list(fleet.members.values())[:42]:
            for address in addresses:
                member.table.add_address(address, fleet.now_ms)
        fleet.run(3_000.0)
        assert fleet.min_live_peers() == 83

    def test_gateways_with_high_bandwidth_relay(self) -> None:
        fleet = _Fleet(84)
        fleet.run(3_000.0)
        for domain in range(0, _DOMAINS, 2):
            relays = fleet.relays_of(f"d{domain}")
            assert len(relays) == peers_module.RELAYS_PER_DOMAIN
            assert all(each.heartbeat.link_mbps == 300.0 for each in relays)


class TestNews:
    """Heartbeats that are late, repeated or from a replaced instance."""

    def _relays(self) -> tuple[peers_module.PeerTable, beat_relays.BeatRelays]:
        table = peers_module.PeerTable("10.0.0.99:1", "d0")
        return table, beat_relays.BeatRelays(table, random.Random(1))

    def test_repeated_heartbeat_is_ignored(self) -> None:
        table, relays = self._relays()
        data = codec.to_msgpack(_heartbeat(1))
        received = relays.receive(data)
        assert len(received.heartbeats) == 1
        table.apply_report(received.heartbeats[0], 0.0)
        assert not relays.receive(data).heartbeats

    def test_replaced_instance_is_ignored(self) -> None:
        """A relay that was paused sends heartbeats from before a restart."""
        table, relays = self._relays()
        table.apply_report(_heartbeat(1, instance="old", sequence=900), 0.0)
        table.apply_report(_heartbeat(1, instance="new"), 1.0)
        late = _heartbeat(1, instance="old", sequence=901)
        assert not relays.receive(codec.to_msgpack(late)).heartbeats
        assert table.apply_report(late, 2.0) is None
        assert table.alive(2.0)[0].instance == "new"

    @pytest.mark.parametrize(
        "data",
        [
            b"",
            b"\x01",
            b"\x02nonsense",
            b"\x80",
            b"\xff" * 200,
            b"\x01" + codec.to_msgpack([1, 2]),
        ],
    )
    def test_invalid_datagram_changes_nothing(self, data: bytes) -> None:
        table, relays = self._relays()
        with pytest.raises(errors.CodecError):
            relays.receive(data)
        assert not table.addresses()

    def test_bundle_that_unpacks_too_large_is_invalid(self) -> None:
        _, relays = self._relays()
        bomb = zlib.compress(b"\x00" * 50_000_000, 9)
        with pytest.raises(errors.CodecError):
            relays.receive(b"\x01" + bomb)
