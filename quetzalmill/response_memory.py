"""Bounds the memory of responses that are buffered before they are forwarded.

Load pattern: many faulty endpoints send endless bodies at the same time, while
others respond as usual. A fixed limit per response would have to be small to
bound many of them. Instead, a response may grow only while it is no larger than
the memory that is still free: a single one may be large, many endless ones
share the memory, and small ones always pass.
"""

from collections.abc import AsyncIterable

from quetzalmill import errors
from quetzalmill import host_memory
from quetzalmill import memory_account

GUARANTEED_BYTES = 16_384
"""The size that every response may have however little memory is free; several
times the usual response of a service."""

_BAD_GATEWAY = 502
_TEAM = "(responses)"
"""What responses are charged to while they are read."""


class ResponseMemory:
    """The memory of all responses that one gateway buffers.

    Args:
        limit_bytes: The memory that they may take together, apart from small
            ones.
        memory: The memory of the process, which they share with all else that
            is held; unlimited if left out.

    Attributes:
        held_bytes: The memory that they take now.
    """

    def __init__(
        self,
        limit_bytes: int,
        memory: host_memory.HostMemory | None = None,
    ) -> None:
        self._limit_bytes = limit_bytes
        self._memory = memory
        self.held_bytes = 0

    async def read(self, incoming: AsyncIterable[bytes]) -> bytes:
        """Reads a complete response.

        Raises:
            errors.BadMessageError: It is too large for the free memory.
            errors.HttpError: Reading a chunk failed.
        """
        # A list would take many times the size of small chunks.
        body = bytearray()
        response_bytes = 0
        memory = self._memory or host_memory.HostMemory()
        charge = memory.open(memory_account.Kind.RESPONSE, _TEAM, _do_nothing)
        charge.is_revocable = False
        try:
            async for chunk in incoming:
                response_bytes += len(chunk)
                self.held_bytes += len(chunk)
                free_bytes = self._limit_bytes - self.held_bytes
                if response_bytes <= GUARANTEED_BYTES:
                    memory.add(charge, len(chunk))
                elif response_bytes > free_bytes or not memory.try_grow(
                    charge, len(chunk)
                ):
                    memory.refuse(charge)
                    raise errors.BadMessageError(
                        f"the answer goes on after {response_bytes} bytes",
                        _BAD_GATEWAY,
                    )
                body += chunk
            return bytes(body)
        finally:
            self.held_bytes -= response_bytes
            memory.close(charge)


def _do_nothing() -> None:
    pass
