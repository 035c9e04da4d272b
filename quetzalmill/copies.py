"""Copies on peers of what the store cannot take for the moment."""

from collections.abc import Awaitable, Callable
import enum

import trio

from quetzalmill import peers as peers_module

COPIES = 2
"""Peers that must hold a copy, if so many are left."""

ROUND_MS = 200.0
"""The pause before peers are asked again; by then a dead one falls silent."""


class Kept(enum.Enum):
    """What a peer did with what it was handed."""

    NOT = "not"
    COPIED = "copied"
    DURABLE = "durable"


async def keep(
    peers: Callable[[], list[peers_module.Beat]],
    ask: Callable[[str], Awaitable[Kept]],
) -> Kept:
    """Asks peers until enough of them hold a copy, or one made it durable.

    Args:
        peers: Returns the peers that are heard, asked anew in each round.
        ask: Hands it to the peer at an address.
    """
    holders: set[str] = set()
    while True:
        staying = [beat for beat in peers() if not beat.leaving]
        staying.sort(key=lambda beat: not beat.store_reached)
        for beat in staying:
            if beat.address not in holders:
                kept = await ask(beat.address)
                if kept is Kept.DURABLE:
                    return kept
                if kept is Kept.COPIED:
                    holders.add(beat.address)
            if holders and len(holders) >= min(COPIES, len(staying)):
                return Kept.COPIED
        await trio.sleep(ROUND_MS / 1000.0)
