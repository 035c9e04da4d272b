"""Claims partitions of a topic with epochs higher than any before."""

from collections.abc import Callable
import secrets

from quetzalmill import clock as clock_module
from quetzalmill import errors
from quetzalmill import keyed_store

CLAIM_TIMEOUT_MS = 400.0
"""Timeout of one claim; the store usually answers within a few milliseconds."""

_INSTANCE_BITS = 16
_MAX_CLAIM_ATTEMPTS = 4


class PartitionClaimer:
    """Claims one partition for one process.

    Args:
        topic: The topic.
        part: The partition.
        store: The platform's store.
        clock: The process's clock.
        record_store_availability: Called with False when the store did not
            answer.
    """

    def __init__(
        self,
        topic: str,
        part: int,
        store: keyed_store.KeyedStore,
        clock: clock_module.WallClock,
        record_store_availability: Callable[[bool], None],
    ) -> None:
        self._topic = topic
        self._part = part
        self._store = store
        self._clock = clock
        self._store_answered = record_store_availability
        self._last_term_number = 0
        self._instance_number = secrets.randbits(_INSTANCE_BITS)

    async def claim(self) -> keyed_store.Fence:
        """Claims the partition and fences off all earlier claims.

        The time of day is only a first guess at an epoch that is high enough;
        the store refuses one that is not.

        Raises:
            errors.ExternalSystemError: The store did not accept the claim.
        """
        term_number = max(self._clock.unix_ms(), self._last_term_number + 1)
        for _ in range(_MAX_CLAIM_ATTEMPTS):
            fence = keyed_store.Fence(self._topic, self._epoch(term_number))
            try:
                await self._store.claim(
                    self._topic, self._part, fence, timeout_ms=CLAIM_TIMEOUT_MS
                )
                self._last_term_number = term_number
                return fence
            except keyed_store.FencedError as error:
                seen_number = error.epoch >> _INSTANCE_BITS
                term_number = max(term_number, seen_number) + 1
            except errors.ExternalSystemError:
                self._store_answered(False)
                raise
        raise errors.NotExecutedError(
            f"partition {self._part} cannot be claimed"
        )

    def _epoch(self, term_number: int) -> int:
        """Returns an epoch that no other process uses.

        Two claims with the same epoch would not fence each other off.
        """
        return term_number << _INSTANCE_BITS | self._instance_number
