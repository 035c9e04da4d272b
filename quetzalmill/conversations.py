"""Turns of conversations, and the prompts that continue them.

A turn never changes once it has ended, so any gateway may hold a copy and no
copy can be out of date.
"""

from collections.abc import Callable

import attrs

_FIXED_BYTES = 400
"""Memory overhead of a cached turn besides its texts."""


@attrs.frozen(kw_only=True)
class Turn:
    """A turn that has ended with a complete answer.

    Attributes:
        turn_id: The id of the request that it answered.
        team: The team that it belongs to.
        program_id: The program that it belongs to.
        previous_id: The turn that it continues; empty at a chain's start.
        input: What the caller sent.
        outputs: The data of each event of the answer.
        ended_unix_ms: When it ended.
        ran_on: The endpoint that ran it and may have its prefix cached; empty
            if unknown.
    """

    turn_id: str
    team: str
    program_id: str
    previous_id: str
    input: bytes
    outputs: tuple[bytes, ...]
    ended_unix_ms: int
    ran_on: str = ""

    def transcript(self) -> bytes:
        """Returns the turn as it appears in later prompts."""
        return self.input + b"".join(data + b"\n" for data in self.outputs)

    def size_bytes(self) -> int:
        """Returns roughly how much memory it takes."""
        outputs_bytes = sum(len(data) for data in self.outputs)
        return _FIXED_BYTES + len(self.input) + outputs_bytes


class TurnCache:
    """An in-memory cache of turns with least-recently-used eviction.

    Args:
        max_bytes: The memory that the turns may take.

    Attributes:
        evicted: How many turns were evicted.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._bytes = 0
        self._turns: dict[str, Turn] = {}
        self.evicted = 0

    def __len__(self) -> int:
        """Returns how many turns are held."""
        return len(self._turns)

    def add(self, turn: Turn) -> None:
        """Adds a turn, evicting others if necessary."""
        old = self._turns.pop(turn.turn_id, None)
        if old is not None:
            self._bytes -= old.size_bytes()
        self._turns[turn.turn_id] = turn
        self._bytes += turn.size_bytes()
        while self._bytes > self._max_bytes and len(self._turns) > 1:
            oldest = next(iter(self._turns))
            self._bytes -= self._turns.pop(oldest).size_bytes()
            self.evicted += 1

    def get(self, turn_id: str) -> Turn | None:
        """Returns a turn and marks it as recently used."""
        turn = self._turns.pop(turn_id, None)
        if turn is not None:
            self._turns[turn_id] = turn
        return turn

    def chain(self, turn_id: str) -> tuple[list[Turn], str]:
        """Returns a chain as far as it is cached; see ``follow``."""
        return follow(turn_id, self.get)


def follow(
    turn_id: str, find: Callable[[str], Turn | None]
) -> tuple[list[Turn], str]:
    """Follows a chain back to its start.

    Returns:
        The turns that were found, oldest first, and the id of the missing one
        before them; empty if the chain is complete.
    """
    turns: list[Turn] = []
    while turn_id:
        turn = find(turn_id)
        if turn is None:
            break
        turns.append(turn)
        turn_id = turn.previous_id
    turns.reverse()
    return turns, turn_id


def prompt(chain: list[Turn], new_input: bytes) -> bytes:
    """Returns the request body that continues a chain."""
    return b"".join(turn.transcript() for turn in chain) + new_input
