"""Asks the other gateways for the accounts of a partition of budgets."""

from collections.abc import Callable

import trio

from quetzalmill import errors
from quetzalmill import gateway_messages
from quetzalmill import logs
from quetzalmill import peer_http
from quetzalmill import peers as peers_module

PEER_TIMEOUT_MS = 250.0
"""Timeout of a reply that a peer gives from memory; well above the round trip
between failure domains."""

_log = logs.get("budget_peers")


class BudgetPeers:
    """Asks peers on behalf of an owner.

    Args:
        peers: Returns the live peers.
        client: Sends control calls to them.
    """

    def __init__(
        self,
        peers: Callable[[], list[peers_module.Heartbeat]],
        client: peer_http.PeerClient,
    ) -> None:
        self._peers = peers
        self._client = client

    def holders(self, part: int) -> list[str]:
        """Returns the addresses of peers that report owning a partition."""
        return [
            heartbeat.address
            for heartbeat in self._peers()
            if part in heartbeat.holds
        ]

    async def epochs(self, part: int) -> dict[str, int]:
        """Returns the epoch of the accounts that each replying peer knows.

        The owner of the partition does not give it up.
        """
        message = gateway_messages.HandOver(part=part, only_epoch=True)
        addresses = [heartbeat.address for heartbeat in self._peers()]
        replies = await self._ask(addresses, message)
        return {address: reply.epoch for address, reply in replies.items()}

    async def hand_over(
        self, part: int, addresses: list[str]
    ) -> list[gateway_messages.HandOverReply]:
        """Has peers give up a partition and returns the accounts they send."""
        message = gateway_messages.HandOver(part=part)
        return list((await self._ask(addresses, message)).values())

    async def _ask(
        self, addresses: list[str], message: gateway_messages.HandOver
    ) -> dict[str, gateway_messages.HandOverReply]:
        replies: dict[str, gateway_messages.HandOverReply] = {}

        async def ask(address: str) -> None:
            try:
                reply: gateway_messages.HandOverReply = await self._client.call(
                    address,
                    gateway_messages.HAND_OVER,
                    message,
                    timeout_ms=PEER_TIMEOUT_MS,
                )
            except errors.ControlCallError as error:
                _log.info("peer_not_asked", peer=address, reason=str(error))
            else:
                replies[address] = reply

        async with trio.open_nursery() as nursery:
            for address in addresses:
                nursery.start_soon(ask, address)
        return replies
