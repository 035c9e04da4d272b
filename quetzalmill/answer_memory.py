"""Bounds the memory of answers that are read whole before they go out.

The load pattern: many endpoints in trouble send bodies without end at once,
while others answer as usual. One limit for each answer would have to be small
to hold for many; so an answer may grow only as long as it is no larger than
what is still free. A single one may be large, many endless ones share what
there is, and small ones always pass.
"""

from collections.abc import AsyncIterable

from quetzalmill import errors

ALWAYS_BYTES = 16_384
"""What an answer may hold however little is free; several times the usual
answer of a service."""

_BAD_GATEWAY = 502


class AnswerMemory:
    """The memory of all answers that one gateway reads.

    Args:
        limit_bytes: What they may take together, but for small ones.

    Attributes:
        held_bytes: What they take now.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self.held_bytes = 0

    async def read(self, pieces: AsyncIterable[bytes]) -> bytes:
        """Reads an answer whole.

        Raises:
            errors.BadMessageError: It is too large for what is free.
            errors.HttpError: What reading the pieces raises.
        """
        kept: list[bytes] = []
        own_bytes = 0
        try:
            async for piece in pieces:
                own_bytes += len(piece)
                self.held_bytes += len(piece)
                free_bytes = self._limit_bytes - self.held_bytes
                if own_bytes > max(ALWAYS_BYTES, free_bytes):
                    raise errors.BadMessageError(
                        f"the answer goes on after {own_bytes} bytes",
                        _BAD_GATEWAY,
                    )
                kept.append(piece)
            return b"".join(kept)
        finally:
            self.held_bytes -= own_bytes
