"""Bounds the memory of responses that are buffered before they are forwarded.

Load pattern: many faulty endpoints send endless bodies at the same time, while
others respond as usual. A fixed limit per response would have to be small to
bound many of them. Instead, a response may grow only while it is no larger than
the memory that is still free: a single one may be large, many endless ones
share the memory, and small ones always pass.

Heads, sizes of chunks and events that do not end are the same: each stays below
the limit of a single one, but a thousand at a time exceed the host's memory.
"""

from collections.abc import AsyncIterable

from quetzalmill import errors
from quetzalmill import host_memory
from quetzalmill import memory_account

GUARANTEED_BYTES = 16_384
"""The size that every response may have however little memory is free; several
times the usual response of a service."""

UNCHARGED_BYTES = 4_096
"""An incomplete head, size of a chunk or event below this size needs no charge.
The charge of the caller's connection has room for it."""

_STEP_BYTES = 8_192
_BAD_GATEWAY = 502
_TEAM = "(responses)"
"""What responses are charged to while they are read."""


class ResponseCharge:
    """What one response holds besides a body that is buffered.

    Args:
        memory: The memory of the process.
        guaranteed_bytes: The size that it may have however little memory is
            free.
    """

    def __init__(
        self, memory: host_memory.HostMemory, guaranteed_bytes: int = 0
    ) -> None:
        self._memory = memory
        self._guaranteed_bytes = guaranteed_bytes
        self._charge: memory_account.Charge | None = None

    def hold(self, size_bytes: int) -> None:
        """Charges the size of what is held now, in steps; it never shrinks.

        Raises:
            errors.BadMessageError: It is too large for the free memory.
        """
        if size_bytes < UNCHARGED_BYTES:
            return
        if self._charge is None:
            self._charge = _open_charge(self._memory)
        charge = self._charge
        if size_bytes <= charge.held_bytes:
            return
        steps = -(-size_bytes // _STEP_BYTES)
        more_bytes = steps * _STEP_BYTES - charge.held_bytes
        if charge.held_bytes + more_bytes <= self._guaranteed_bytes:
            self._memory.add(charge, more_bytes)
        elif not self._memory.try_grow(charge, more_bytes):
            self._memory.refuse(charge)
            raise errors.BadMessageError(
                f"there is no memory for {size_bytes} bytes of a response",
                _BAD_GATEWAY,
            )

    def close(self) -> None:
        """Releases the charge; it may be used again."""
        if self._charge is not None:
            self._memory.close(self._charge)
            self._charge = None


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
        self._memory = memory or host_memory.HostMemory()
        self.held_bytes = 0

    def open_charge(self) -> ResponseCharge:
        """Returns a charge for a response that is not buffered as a whole."""
        return ResponseCharge(self._memory, GUARANTEED_BYTES)

    async def read(self, incoming: AsyncIterable[bytes]) -> bytes:
        """Reads a complete response.

        Raises:
            errors.BadMessageError: It is too large for the free memory.
            errors.HttpError: Reading a chunk failed.
        """
        # A list would take many times the size of small chunks.
        body = bytearray()
        response_bytes = 0
        memory = self._memory
        charge = _open_charge(memory)
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


def _open_charge(memory: host_memory.HostMemory) -> memory_account.Charge:
    charge = memory.open(memory_account.Kind.RESPONSE, _TEAM, lambda: None)
    charge.is_revocable = False
    return charge
