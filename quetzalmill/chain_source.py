"""Finds the chain of turns that a turn continues.

The cheapest source comes first: memory, then the peer that the budget's owner
names, then the store through the gateway that owns the partition. Only if the
store cannot be read are some more peers asked; asking all of them would cost
more than the turn, and after the loss of all gateways none has the chain. Only
a read of the store that started after the request shows that a turn does not
exist.
"""

from collections.abc import Awaitable, Callable
import random

import attrs
import trio

from quetzalmill import conversations
from quetzalmill import errors
from quetzalmill import gateway_messages
from quetzalmill import homes as homes_module
from quetzalmill import logs
from quetzalmill import peer_calls
from quetzalmill import peer_http
from quetzalmill import peers as peers_module
from quetzalmill import turn_store

PEER_TIMEOUT_MS = 250.0
"""Timeout of a reply that a peer gives from memory; well above the round trip
between failure domains."""

MAX_PEERS_ASKED = 8
"""Peers that are asked in parallel while the store cannot be read."""

MAX_DATAGRAM_CHAIN_BYTES = 7_000
"""The largest chain in the reply to a datagram call; the reply has to fit into
one datagram together with its envelope."""

OWNER_TIMEOUT_MS = 2_000.0
"""How long the owner may take to read a partition from the store."""

_log = logs.get("chain_source")


@attrs.frozen
class Found:
    """The complete chain, oldest turn first."""

    turns: list[conversations.Turn]


@attrs.frozen
class NotFound:
    """The chain is known not to exist."""


@attrs.frozen
class Undetermined:
    """It could not be determined whether the chain exists."""

    reason: str


def _everywhere(_: int) -> homes_module.Homes:
    return homes_module.EVERYWHERE


class ChainSource:
    """Finds chains for one gateway.

    Args:
        cache: The turns that this gateway has in memory.
        partitions: The store's turns, by partition.
        peers: Returns the live peers.
        owner: Returns the address of a partition's owner.
        own_address: This gateway's own address.
        client: Sends control calls to peers.
        datagram_client: Sends datagram calls to peers.
        stored_homes: Returns the regions in which a partition may be read.
    """

    def __init__(
        self,
        cache: conversations.TurnCache,
        partitions: list[turn_store.TurnPartition],
        peers: Callable[[], list[peers_module.Heartbeat]],
        owner: Callable[[int], str],
        own_address: str,
        client: peer_http.PeerClient,
        datagram_client: peer_calls.PeerCalls,
        stored_homes: Callable[[int], homes_module.Homes] = _everywhere,
    ) -> None:
        self._cache = cache
        self._partitions = partitions
        self._peers = peers
        self._owner = owner
        self._own_address = own_address
        self._client = client
        self._datagram_client = datagram_client
        self._stored_homes = stored_homes
        self._random = random.Random()

    def find_cached(self, turn_id: str) -> Found | None:
        """Finds the chain that ends with a turn, in memory only."""
        turns, missing_id = self._cache.chain(turn_id)
        return None if missing_id else Found(turns)

    async def find(
        self,
        turn_id: str,
        part: int,
        holder: str,
        homes: homes_module.Homes = homes_module.EVERYWHERE,
    ) -> Found | NotFound | Undetermined:
        """Finds the chain that ends with a turn.

        Args:
            turn_id: The turn.
            part: The partition that holds the chain.
            holder: The address of a peer that holds it; empty if unknown.
            homes: The regions whose gateways may read the chain; this gateway
                may as well.
        """
        turns, missing_id = self._cache.chain(turn_id)
        if missing_id and holder and holder != self._own_address:
            await self._ask_holder(holder, missing_id, part)
            turns, missing_id = self._cache.chain(turn_id)
        if not missing_id:
            return Found(turns)
        found = await self._ask_owner(turn_id, part, homes)
        if isinstance(found, Undetermined):
            await self._ask_peers(missing_id, part)
            turns, missing_id = self._cache.chain(turn_id)
            if not missing_id:
                return Found(turns)
        return found

    def answer(
        self, message: gateway_messages.FetchChain
    ) -> gateway_messages.ChainReply | Awaitable[gateway_messages.ChainReply]:
        """Answers a peer's control call."""
        if message.load:
            return self._load(message.turn_id, message.part)
        turns, missing_id = self._cache.chain(message.turn_id)
        return gateway_messages.ChainReply(
            turns=turns, missing_id=missing_id, certain=False
        )

    def answer_datagram(
        self, message: gateway_messages.FetchChain
    ) -> gateway_messages.ChainReply:
        """Answers a peer's datagram call from memory if the chain fits."""
        turns, missing_id = self._cache.chain(message.turn_id)
        if sum(turn.size_bytes() for turn in turns) > MAX_DATAGRAM_CHAIN_BYTES:
            return gateway_messages.ChainReply(
                turns=[],
                missing_id=message.turn_id,
                certain=False,
                is_too_large=True,
            )
        return gateway_messages.ChainReply(
            turns=turns, missing_id=missing_id, certain=False
        )

    async def _ask_holder(self, address: str, turn_id: str, part: int) -> None:
        message = gateway_messages.FetchChain(
            turn_id=turn_id, part=part, load=False
        )
        try:
            reply: gateway_messages.ChainReply = (
                await self._datagram_client.call(
                    address,
                    gateway_messages.FETCH_CHAIN,
                    message,
                    timeout_ms=PEER_TIMEOUT_MS,
                )
            )
        except errors.ControlCallError as error:
            _log.info("peer_not_asked", peer=address, reason=str(error))
            return
        if reply.is_too_large:
            await self._ask_peer(address, message, trio.CancelScope())
        for turn in reply.turns:
            self._cache.add(turn)

    async def _ask_peers(self, turn_id: str, part: int) -> None:
        """Asks some peers in parallel until one has the complete chain."""
        peers = self._peers()
        message = gateway_messages.FetchChain(
            turn_id=turn_id, part=part, load=False
        )
        async with trio.open_nursery() as nursery:
            for heartbeat in self._random.sample(
                peers, min(len(peers), MAX_PEERS_ASKED)
            ):
                nursery.start_soon(
                    self._ask_peer,
                    heartbeat.address,
                    message,
                    nursery.cancel_scope,
                )

    async def _ask_peer(
        self,
        address: str,
        message: gateway_messages.FetchChain,
        scope: trio.CancelScope,
    ) -> None:
        try:
            reply = await self._client.call(
                address,
                gateway_messages.FETCH_CHAIN,
                message,
                timeout_ms=PEER_TIMEOUT_MS,
            )
        except errors.ControlCallError as error:
            _log.info("peer_not_asked", peer=address, reason=str(error))
            return
        for turn in reply.turns:
            self._cache.add(turn)
        if reply.turns and not reply.missing_id:
            scope.cancel()

    async def _ask_owner(
        self, turn_id: str, part: int, homes: homes_module.Homes
    ) -> Found | NotFound | Undetermined:
        owner = homes_module.chain_reader(
            part,
            self._owner(part),
            self._own_address,
            self._peers(),
            request=homes,
            stored=self._stored_homes(part),
        )
        reply: gateway_messages.ChainReply | None = None
        if owner != self._own_address:
            reply = await self._ask_remote_owner(owner, turn_id, part)
        if reply is None or (reply.missing_id and not reply.certain):
            reply = await self._load(turn_id, part)
        if not reply.missing_id:
            for turn in reply.turns:
                self._cache.add(turn)
            return Found(reply.turns)
        if reply.certain:
            return NotFound()
        return Undetermined("the stored turns cannot be read now")

    async def _ask_remote_owner(
        self, owner: str, turn_id: str, part: int
    ) -> gateway_messages.ChainReply | None:
        message = gateway_messages.FetchChain(
            turn_id=turn_id, part=part, load=True
        )
        try:
            reply: gateway_messages.ChainReply = await self._client.call(
                owner,
                gateway_messages.FETCH_CHAIN,
                message,
                timeout_ms=OWNER_TIMEOUT_MS,
            )
        except errors.ControlCallError as error:
            _log.info("owner_not_asked", peer=owner, reason=str(error))
            return None
        return reply

    async def _load(
        self, turn_id: str, part: int
    ) -> gateway_messages.ChainReply:
        try:
            turns, missing_id = await self._partitions[part].chain(turn_id)
        except errors.ExternalSystemError as error:
            _log.info("turns_not_read", part=part, reason=str(error))
            turns, missing_id = self._cache.chain(turn_id)
            return gateway_messages.ChainReply(
                turns=turns, missing_id=missing_id, certain=False
            )
        return gateway_messages.ChainReply(
            turns=turns, missing_id=missing_id, certain=True
        )
