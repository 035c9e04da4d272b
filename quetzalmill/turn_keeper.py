"""Makes a turn safe before its end goes to the caller.

A turn is safe once the store has it. While the store is away, copies on two
other gateways stand in for it until one of the holders gets it stored: a
caller's conversation then goes on, and only the loss of all holders at once,
within the store's absence, would lose the turn.
"""

from collections.abc import Callable
import enum

import trio

from quetzalmill import control
from quetzalmill import conversations
from quetzalmill import copies
from quetzalmill import errors
from quetzalmill import gateway_messages
from quetzalmill import logs
from quetzalmill import peers as peers_module
from quetzalmill import turn_store

STORE_PATIENCE_MS = 120.0
"""How long a write may take before peers are asked to help; many times the
store's usual answer, and short against a turn's objective."""

PEER_TIMEOUT_MS = 400.0
"""How long a peer may take to store a turn or to keep a copy."""

_log = logs.get("turn_keeper")


class Safety(enum.Enum):
    """How a turn was made safe."""

    DURABLE = "durable"
    COPIED = "copied"
    UNSAFE = "unsafe"


class TurnKeeper:
    """Makes turns safe for one gateway.

    Args:
        cache: The turns that this gateway holds.
        writers: The writers of the store's partitions.
        partition_of: Returns the partition that holds a team's turns.
        peers: Returns the peers that are heard.
        store_reached: Returns whether this gateway reaches the store.
        client: The control calls to peers.
    """

    def __init__(
        self,
        cache: conversations.Conversations,
        writers: list[turn_store.TurnWriter],
        partition_of: Callable[[str], int],
        peers: Callable[[], list[peers_module.Beat]],
        store_reached: Callable[[], bool],
        client: control.ControlClient,
    ) -> None:
        self._cache = cache
        self._writers = writers
        self._partition_of = partition_of
        self._peers = peers
        self._store_reached = store_reached
        self._client = client

    async def make_safe(
        self, turn: conversations.Turn, *, timeout_ms: float
    ) -> Safety:
        """Returns when a turn is safe, or after ``timeout_ms``."""
        self._cache.keep(turn)
        done = self._put(turn)
        with trio.move_on_after(timeout_ms / 1000.0):
            if self._store_reached():
                with trio.move_on_after(STORE_PATIENCE_MS / 1000.0):
                    await done.wait()
                    return Safety.DURABLE
            return await self._with_peers(turn, done)
        return Safety.UNSAFE

    async def take(
        self, message: gateway_messages.StoreTurns
    ) -> gateway_messages.StoreReply:
        """Stores a peer's turn, or keeps a copy if the store is away."""
        for turn in (*message.before, message.turn):
            self._cache.keep(turn)
        done = self._put(message.turn)
        if not self._store_reached():
            return gateway_messages.StoreReply(durable=False)
        with trio.move_on_after(STORE_PATIENCE_MS / 1000.0):
            await done.wait()
            return gateway_messages.StoreReply(durable=True)
        return gateway_messages.StoreReply(durable=False)

    def _put(self, turn: conversations.Turn) -> trio.Event:
        return self._writers[self._partition_of(turn.team)].put(turn)

    async def _with_peers(
        self, turn: conversations.Turn, done: trio.Event
    ) -> Safety:
        """Asks peers until the turn is safe; its own write goes on."""
        result = Safety.DURABLE

        async def copy(scope: trio.CancelScope) -> None:
            nonlocal result
            kept = await copies.keep(
                self._peers, lambda address: self._ask_peer(address, turn)
            )
            if kept is copies.Kept.COPIED:
                result = Safety.COPIED
            scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(copy, nursery.cancel_scope)
            await done.wait()
            nursery.cancel_scope.cancel()
        return result

    async def _ask_peer(
        self, address: str, turn: conversations.Turn
    ) -> copies.Kept:
        before, _ = self._cache.chain(turn.previous_id)
        try:
            reply: gateway_messages.StoreReply = await self._client.call(
                address,
                gateway_messages.STORE_TURNS,
                gateway_messages.StoreTurns(turn=turn, before=before),
                timeout_ms=PEER_TIMEOUT_MS,
            )
        except errors.ControlError as error:
            self._client.drop(address)
            _log.info("peer_kept_no_turn", peer=address, reason=str(error))
            return copies.Kept.NOT
        return copies.Kept.DURABLE if reply.durable else copies.Kept.COPIED
