"""Carries beats between failure domains through a few gateways of each.

The load pattern: a fleet of many gateways in several failure domains. If each
sends its beats to every other one, their bytes between domains grow with the
square of the fleet and outweigh those of the requests.

So beats go straight only to gateways of the same domain, and to those never
heard. Two relays of each domain collect them and send them, compressed, to some
gateway of every other domain, which hands them on within its own. Both relays
send each beat twice, to gateways chosen at random, so neither the loss of a
datagram nor that of a relay or of half a domain keeps much back. Who relays is
nobody's decision: every gateway ranks those it hears, and since a beat bears
its instance and number, it does no harm if two disagree.
"""

from collections.abc import Iterable
import random
import zlib

import attrs

from quetzalmill import codec
from quetzalmill import errors
from quetzalmill import peers as peers_module

RELAYS = 2
"""Relays of a failure domain; one may be lost without a gap."""

SENDS = 2
"""How often a relay sends a beat to another domain."""

RELAY_MS = 200.0
"""The time between two sends of a relay; the time between two beats in small
fleets."""

_HAND_ON = b"\x01"
_HANDED_ON = b"\x02"
"""The first byte of a bundle that goes to a relay, and of one that a relay has
handed on. Neither begins a beat, which is a MessagePack map."""

_MAX_BUNDLE_BYTES = 40_000
"""The size at which a bundle is split, before compression; a datagram holds it
even if it does not compress."""

_MAX_UNPACKED_BYTES = 200_000
"""The most that a bundle may unpack to; several times the largest that is
sent."""


@attrs.frozen
class Carried:
    """A beat on its way, with what tells whether it is news.

    Attributes:
        address: The address of the gateway that sent it.
        instance: Its instance.
        sequence: Its number.
        data: The encoded beat.
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
    """What a datagram held.

    Attributes:
        beats: Beats that are news, oldest first.
        handed_on: What to send to others because of it.
    """

    beats: list[peers_module.Beat]
    handed_on: list[Outgoing]


class BeatRelays:
    """Decides which datagrams carry beats.

    Args:
        peers: The gateways that are heard.
        random_source: Chooses who hands a bundle on.
    """

    def __init__(
        self, peers: peers_module.PeerTable, random_source: random.Random
    ) -> None:
        self._peers = peers
        self._random = random_source
        self._collected: list[Carried] = []
        self._sent: list[list[Carried]] = []
        self._is_relay = False
        self._relayed_ms = float("-inf")

    def send(self, own: peers_module.Beat, data: bytes) -> list[Outgoing]:
        """Returns the datagrams for a beat of this gateway's own."""
        self._collect(own, data)
        return [
            Outgoing(address, data)
            for address in self._peers.direct_addresses()
        ]

    def receive(self, data: bytes) -> Received:
        """Takes apart a datagram of a peer.

        Raises:
            errors.CodecError: It is neither a beat nor a bundle.
        """
        if data[:1] not in (_HAND_ON, _HANDED_ON):
            beat = codec.from_msgpack(data, peers_module.Beat)
            if not self._peers.is_news(
                beat.address, beat.instance, beat.sequence
            ):
                return Received([], [])
            self._collect(beat, data)
            return Received([beat], [])
        beats = [
            codec.from_msgpack(carried.data, peers_module.Beat)
            for carried in _unpack(data)
            if self._peers.is_news(
                carried.address, carried.instance, carried.sequence
            )
        ]
        handed_on: list[Outgoing] = []
        if data[:1] == _HAND_ON:
            handed_on = [
                Outgoing(address, _HANDED_ON + data[1:])
                for address in self._peers.domain_addresses()
            ]
        return Received(beats, handed_on)

    def relay(self, now_ms: float) -> list[Outgoing]:
        """Returns what this gateway sends as a relay, if it is time."""
        if now_ms - self._relayed_ms < RELAY_MS:
            return []
        self._relayed_ms = now_ms
        self._is_relay = self._peers.is_relay(RELAYS, now_ms)
        self._sent = [*self._sent[1 - SENDS :], self._collected]
        self._collected = []
        carried = [each for sent in self._sent for each in sent]
        if not carried or not self._is_relay:
            return []
        bundles = [_HAND_ON + each for each in _pack(carried)]
        return [
            Outgoing(self._random.choice(addresses), data)
            for addresses in self._peers.other_domains(now_ms)
            for data in bundles
        ]

    def _collect(self, beat: peers_module.Beat, data: bytes) -> None:
        """Keeps a beat of this failure domain for the next bundle."""
        if self._is_relay and self._peers.is_in_own_domain(beat):
            self._collected.append(
                Carried(beat.address, beat.instance, beat.sequence, data)
            )


def _pack(pending: Iterable[Carried]) -> list[bytes]:
    bundles: list[list[Carried]] = [[]]
    size_bytes = 0
    for carried in pending:
        size_bytes += len(carried.data)
        if bundles[-1] and size_bytes > _MAX_BUNDLE_BYTES:
            bundles.append([])
            size_bytes = len(carried.data)
        bundles[-1].append(carried)
    return [zlib.compress(codec.to_msgpack(bundle), 1) for bundle in bundles]


def _unpack(data: bytes) -> list[Carried]:
    unpacker = zlib.decompressobj()
    try:
        plain = unpacker.decompress(data[1:], _MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise errors.CodecError(str(error)) from error
    if not unpacker.eof:
        raise errors.CodecError("the bundle is too large or cut off")
    return codec.from_msgpack(plain, list[Carried])
