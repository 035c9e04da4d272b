"""Relays heartbeats between failure domains through a few gateways of each.

Load pattern: a fleet of many gateways in several failure domains. If each sent
its heartbeats to every other one, their traffic between domains would grow with
the square of the fleet's size and exceed that of the requests.

So heartbeats are sent directly only within a domain, and to gateways that have
not sent any yet. Two relays of each domain collect them and send them,
compressed, to a gateway of every other domain, which forwards them within its
own. The relays choose these gateways at random, so that the loss of a datagram
or of a relay delays few heartbeats; the next one repeats all that the last one
said. There is no election: every gateway ranks the live ones, and as a
heartbeat carries its instance and sequence number, disagreement does no harm.
Small fleets, where relays would save little, use none.
"""

from collections.abc import Iterable
import random
import zlib

import attrs

from quetzalmill import codec
from quetzalmill import errors
from quetzalmill import peers as peers_module

RELAY_INTERVAL_MS = 200.0
"""The interval between sends of a relay; the heartbeat interval of small
fleets."""

_TO_RELAY = b"\x01"
_FORWARDED = b"\x02"
"""The first byte of a bundle from another domain, which is to be forwarded, and
of one that has been forwarded. A heartbeat is a MessagePack map, which starts
with neither."""

_MAX_BUNDLE_BYTES = 40_000
"""The size at which bundles are split, before compression; they fit into a
datagram even if they do not compress."""

_MAX_UNPACKED_BYTES = 200_000
"""The largest decompressed bundle that is accepted; several times the largest
that is sent."""


@attrs.frozen
class RelayedHeartbeat:
    """An encoded heartbeat, with the fields that tell whether it is newer.

    Attributes:
        address: The address of the gateway that sent it.
        instance: That gateway's instance.
        sequence: The heartbeat's sequence number.
        data: The encoded heartbeat.
    """

    address: str
    instance: str
    sequence: int
    data: bytes = attrs.field(repr=False)


@attrs.frozen
class Outgoing:
    """A datagram to send."""

    address: str
    data: bytes = attrs.field(repr=False)


@attrs.frozen
class Received:
    """The result of a received datagram.

    Attributes:
        heartbeats: The newer heartbeats in it, oldest first.
        forwarded: The datagrams that forward it.
    """

    heartbeats: list[peers_module.Heartbeat]
    forwarded: list[Outgoing]


class BeatRelays:
    """Decides which datagrams carry heartbeats.

    Args:
        peers: The table of peers.
        random_source: Chooses the gateways that forward bundles.
    """

    def __init__(
        self, peers: peers_module.PeerTable, random_source: random.Random
    ) -> None:
        self._peers = peers
        self._random = random_source
        self._collected: list[RelayedHeartbeat] = []
        self._is_relay = False
        self._relayed_ms = float("-inf")

    def send(self, own: peers_module.Heartbeat, data: bytes) -> list[Outgoing]:
        """Returns the datagrams for this gateway's own heartbeat."""
        self._collect(own, data)
        return [
            Outgoing(address, data)
            for address in self._peers.direct_addresses()
        ]

    def receive(self, data: bytes) -> Received:
        """Decodes a datagram from a peer.

        Raises:
            errors.CodecError: It is neither a heartbeat nor a bundle.
        """
        if data[:1] not in (_TO_RELAY, _FORWARDED):
            heartbeat = codec.from_msgpack(data, peers_module.Heartbeat)
            if not self._peers.is_newer(
                heartbeat.address, heartbeat.instance, heartbeat.sequence
            ):
                return Received([], [])
            self._collect(heartbeat, data)
            return Received([heartbeat], [])
        heartbeats = [
            codec.from_msgpack(relayed.data, peers_module.Heartbeat)
            for relayed in _unpack(data)
            if self._peers.is_newer(
                relayed.address, relayed.instance, relayed.sequence
            )
        ]
        forwarded: list[Outgoing] = []
        if data[:1] == _TO_RELAY:
            forwarded = [
                Outgoing(address, _FORWARDED + data[1:])
                for address in self._peers.domain_addresses()
            ]
        return Received(heartbeats, forwarded)

    def relay(self, now_ms: float) -> list[Outgoing]:
        """Returns the bundles that it sends as a relay, if any are due."""
        if now_ms - self._relayed_ms < RELAY_INTERVAL_MS:
            return []
        self._relayed_ms = now_ms
        self._is_relay = self._peers.is_relay(
            peers_module.RELAYS_PER_DOMAIN, now_ms
        )
        relayed, self._collected = self._collected, []
        if not relayed or not self._is_relay:
            return []
        bundles = [_TO_RELAY + each for each in _pack(relayed)]
        return [
            Outgoing(self._random.choice(addresses), data)
            for addresses in self._peers.other_domains(now_ms)
            for data in bundles
        ]

    def _collect(self, heartbeat: peers_module.Heartbeat, data: bytes) -> None:
        """Adds a heartbeat of this failure domain to the next bundle."""
        if self._is_relay and self._peers.is_in_own_domain(heartbeat):
            self._collected.append(
                RelayedHeartbeat(
                    heartbeat.address,
                    heartbeat.instance,
                    heartbeat.sequence,
                    data,
                )
            )


def _pack(pending: Iterable[RelayedHeartbeat]) -> list[bytes]:
    bundles: list[list[RelayedHeartbeat]] = [[]]
    size_bytes = 0
    for relayed in pending:
        size_bytes += len(relayed.data)
        if bundles[-1] and size_bytes > _MAX_BUNDLE_BYTES:
            bundles.append([])
            size_bytes = len(relayed.data)
        bundles[-1].append(relayed)
    return [zlib.compress(codec.to_msgpack(bundle), 1) for bundle in bundles]


def _unpack(data: bytes) -> list[RelayedHeartbeat]:
    unpacker = zlib.decompressobj()
    try:
        plain = unpacker.decompress(data[1:], _MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise errors.CodecError(str(error)) from error
    if not unpacker.eof:
        raise errors.CodecError("the bundle is too large or truncated")
    return codec.from_msgpack(plain, list[RelayedHeartbeat])
