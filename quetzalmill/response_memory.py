"""Bounds the memory of responses that are buffered before they are forwarded.

Load pattern: many faulty endpoints send endless bodies at the same time, while
others respond as usual. A fixed limit per response would have to be small to
bound many of them. Instead, a response may grow only while it is no larger than
the memory that is still free: a single one may be large, many endless ones
share the memory, and small ones always pass.
"""

from collections.abc import AsyncIterable

from quetzalmill import errors

GUARANTEED_BYTES = 16_384
"""The size that every response may have however little memory is free; several
times the usual response of a service."""

_BAD_GATEWAY = 502


class ResponseMemory:
    """The memory of all responses that one gateway buffers.

    Args:
        limit_bytes: The memory that they may take together, apart from small
            ones.

    Attributes:
        held_bytes: The memory that they take now.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
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
        try:
            async for chunk in incoming:
                response_bytes += len(chunk)
                self.held_bytes += len(chunk)
                free_bytes = self._limit_bytes - self.held_bytes
                if response_bytes > max(GUARANTEED_BYTES, free_bytes):
                    raise errors.BadMessageError(
                        f"the answer goes on after {response_bytes} bytes",
                        _BAD_GATEWAY,
                    )
                body += chunk
            return bytes(body)
        finally:
            self.held_bytes -= response_bytes
