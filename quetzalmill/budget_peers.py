"""Asks the other gateways for the accounts of a partition of budgets."""

from collections.abc import Callable

import trio

from quetzalmill import errors
from quetzalmill import gateway_messages
from quetzalmill import logs
from quetzalmill import peer_http
from quetzalmill import peers as peers_module

PEER_TIMEOUT_MS = 250.0
"""How long a peer may take to answer from memory; many times the way between
failure domains."""

_log = logs.get("budget_peers")


class BudgetPeers:
    """Asks peers on behalf of an owner.

    Args:
        peers: Returns the peers that are heard.
        client: The control calls to them.
    """

    def __init__(
        self,
        peers: Callable[[], list[peers_module.Beat]],
        client: peer_http.PeerClient,
    ) -> None:
        self._peers = peers
        self._client = client

    async def hand_over(
        self, part: int, *, holders_only: bool
    ) -> list[gateway_messages.HandOverReply]:
        """Returns what the peers that answer know of a partition.

        Args:
            part: The partition.
            holders_only: Whether only those are asked whose last beat says
                that they hold it.
        """
        replies: list[gateway_messages.HandOverReply] = []

        async def ask(address: str) -> None:
            try:
                reply: gateway_messages.HandOverReply = await self._client.call(
                    address,
                    gateway_messages.HAND_OVER,
                    gateway_messages.HandOver(part=part),
                    timeout_ms=PEER_TIMEOUT_MS,
                )
            except errors.ControlError as error:
                _log.info("peer_not_asked", peer=address, reason=str(error))
            else:
                replies.append(reply)

        async with trio.open_nursery() as nursery:
            for beat in self._peers():
                if not holders_only or part in beat.holds:
                    nursery.start_soon(ask, beat.address)
        return replies
