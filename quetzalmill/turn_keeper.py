"""Makes a turn durable before the end of its answer is sent to the caller.

A turn counts once the caller has the end of its answer, and it must survive the
loss of all gateways at once. So the end waits for the store, however long that
takes; copies on peers are no substitute. If only this gateway cannot reach the
store, a peer writes the turn for it.
"""

from collections.abc import Callable

import trio

from quetzalmill import conversations
from quetzalmill import errors
from quetzalmill import gateway_messages
from quetzalmill import homes as homes_module
from quetzalmill import logs
from quetzalmill import peer_http
from quetzalmill import peers as peers_module
from quetzalmill import turn_store

STORE_WAIT_MS = 120.0
"""How long a write may take before peers are asked to write; well above the
store's usual latency and well below a turn's objective."""

PEER_WRITE_TIMEOUT_MS = 300.0
"""How long a peer waits for its write of a turn before it reports failure."""

PEER_TIMEOUT_MS = 400.0
"""Timeout of the control call to a peer; covers the peer's write timeout."""

PEER_RETRY_PAUSE_MS = 100.0
"""Pause before peers are asked again."""

_log = logs.get("turn_keeper")


def _everywhere() -> homes_module.Homes:
    return homes_module.EVERYWHERE


class TurnKeeper:
    """Makes turns durable for one gateway.

    Args:
        cache: The turns that this gateway has in memory.
        writers: The writers of the store's partitions.
        partition_of: Returns the partition that holds a team's turns.
        peers: Returns the live peers.
        store_reached: Returns whether this gateway reaches the store.
        client: Sends control calls to peers.
    """

    def __init__(
        self,
        cache: conversations.TurnCache,
        writers: list[turn_store.TurnWriter],
        partition_of: Callable[[str], int],
        peers: Callable[[], list[peers_module.Heartbeat]],
        store_reached: Callable[[], bool],
        client: peer_http.PeerClient,
    ) -> None:
        self._cache = cache
        self._writers = writers
        self._partition_of = partition_of
        self._peers = peers
        self._store_reached = store_reached
        self._client = client

    async def make_durable(
        self,
        turn: conversations.Turn,
        *,
        timeout_ms: float,
        current_homes: Callable[[], homes_module.Homes] = _everywhere,
    ) -> bool:
        """Returns whether a turn became durable within ``timeout_ms``.

        Returns at once if the store refuses it for good.

        Args:
            turn: The turn.
            timeout_ms: How long it may take.
            current_homes: Returns the regions whose gateways may write it;
                this gateway may as well.
        """
        queued = self._enqueue(turn)
        with trio.move_on_after(timeout_ms / 1000.0):
            if self._store_reached():
                with trio.move_on_after(STORE_WAIT_MS / 1000.0):
                    await queued.done.wait()
            if not queued.done.is_set():
                await self._wait_with_peers(turn, queued.done, current_homes)
            if queued.is_rejected:
                return False
            self._cache.add(turn)
            return True
        return False

    async def write_for_peer(
        self, message: gateway_messages.StoreTurn
    ) -> gateway_messages.StoreReply:
        """Writes a turn on behalf of a peer."""
        if not self._store_reached():
            return gateway_messages.StoreReply(durable=False)
        queued = self._enqueue(message.turn)
        with trio.move_on_after(PEER_WRITE_TIMEOUT_MS / 1000.0):
            await queued.done.wait()
        return gateway_messages.StoreReply(durable=queued.is_durable)

    def _enqueue(self, turn: conversations.Turn) -> turn_store.QueuedTurn:
        return self._writers[self._partition_of(turn.team)].put(turn)

    async def _wait_with_peers(
        self,
        turn: conversations.Turn,
        done: trio.Event,
        current_homes: Callable[[], homes_module.Homes],
    ) -> None:
        """Returns once this gateway or a peer has written the turn."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._ask_peers, turn, nursery.cancel_scope, current_homes
            )
            await done.wait()
            nursery.cancel_scope.cancel()

    async def _ask_peers(
        self,
        turn: conversations.Turn,
        scope: trio.CancelScope,
        current_homes: Callable[[], homes_module.Homes],
    ) -> None:
        while True:
            for heartbeat in self._peers():
                if (
                    heartbeat.store_reached
                    and homes_module.receivers([heartbeat], current_homes())
                    and await self._ask_peer(heartbeat.address, turn)
                ):
                    scope.cancel()
                    return
            await trio.sleep(PEER_RETRY_PAUSE_MS / 1000.0)

    async def _ask_peer(self, address: str, turn: conversations.Turn) -> bool:
        """Asks a peer to write a turn; returns whether it is durable."""
        try:
            reply: gateway_messages.StoreReply = await self._client.call(
                address,
                gateway_messages.STORE_TURN,
                gateway_messages.StoreTurn(turn=turn),
                timeout_ms=PEER_TIMEOUT_MS,
            )
        except errors.ControlCallError as error:
            _log.info("peer_wrote_no_turn", peer=address, reason=str(error))
            return False
        return reply.durable
