"""Removes expired turns and budgets from the store.

The gateway that owns a partition, or one in the home regions of its turns,
reads it periodically and removes the turns that it first saw longer ago than
the retention. Ages are measured on its own monotonic clock from then on, never
from a time of day, so a new reader removes turns late but never early, and two
readers at the same time do no harm.
"""

import attrs
import trio

from quetzalmill import budget_owner
from quetzalmill import errors
from quetzalmill import gateway_state
from quetzalmill import keyed_store
from quetzalmill import logs
from quetzalmill import turn_store

RETENTION_MARGIN_MS = 60_000.0
"""Time beyond the retention, so that a running turn still finds the turn that
it continues. Well above the longest timeout of a turn on any route."""

SWEEPS_PER_RETENTION = 4
"""Reads of a partition per retention. Each turn is read about as often, and
removed late by up to this fraction of the retention."""

MIN_SWEEP_PAUSE_MS = 60_000.0
"""Minimum pause between two reads; as long as the margin, so that a short
retention does not make the store send its contents all the time."""

_READ_TIMEOUT_MS = 1_500.0
_WRITE_TIMEOUT_MS = 1_000.0
_MAX_BATCH_TURNS = 2_000

_log = logs.get("turn_expiry")


@attrs.define
class _TurnAge:
    previous_id: str
    renewed_ms: float


class TurnAges:
    """How long the turns of one partition have been stored.

    A turn needs the complete chain before it, so a new turn renews the age of
    its chain.
    """

    def __init__(self) -> None:
        self._turns: dict[str, _TurnAge] = {}

    def observe(self, present: dict[str, str], now_ms: float) -> None:
        """Updates the ages from a read of the partition.

        Args:
            present: The stored turns, each with the turn that it continues.
            now_ms: The time of the read.
        """
        for turn_id in self._turns.keys() - present.keys():
            del self._turns[turn_id]
        added = present.keys() - self._turns.keys()
        for turn_id in added:
            self._turns[turn_id] = _TurnAge(present[turn_id], now_ms)
        for turn_id in added:
            self._renew(present[turn_id], now_ms)

    def _renew(self, turn_id: str, now_ms: float) -> None:
        """Resets the age of a turn and of the chain before it."""
        entry = self._turns.get(turn_id)
        while entry is not None and entry.renewed_ms < now_ms:
            entry.renewed_ms = now_ms
            entry = self._turns.get(entry.previous_id)

    def expired(self, keep_ms: float, now_ms: float) -> list[str]:
        """Returns the turns whose age exceeds ``keep_ms``."""
        return [
            turn_id
            for turn_id, entry in self._turns.items()
            if now_ms - entry.renewed_ms > keep_ms
        ]


class TurnExpiry:
    """Removes expired records from the partitions that this gateway sweeps.

    Args:
        state: The gateway's local view.
        store: The platform's store.
        owners: The budgets of each partition.
    """

    def __init__(
        self,
        state: gateway_state.GatewayState,
        store: keyed_store.KeyedStore,
        owners: list[budget_owner.BudgetOwner],
    ) -> None:
        self._state = state
        self._store = store
        self._owners = owners
        self._ages: dict[int, TurnAges] = {}

    async def run(self) -> None:
        """Sweeps periodically, forever."""
        while True:
            pause_ms = self._state.retention_ms / SWEEPS_PER_RETENTION
            await trio.sleep(max(MIN_SWEEP_PAUSE_MS, pause_ms) / 1000.0)
            if self._state.retention_ms:
                await self.sweep()

    async def sweep(self) -> None:
        """Removes what has expired from each partition."""
        keep_ms = self._state.retention_ms + RETENTION_MARGIN_MS
        for part, owner in enumerate(self._owners):
            owner.forget_idle(keep_ms)
            if self._state.sweeper(part) != self._state.address:
                self._ages.pop(part, None)
                continue
            try:
                await self._sweep_turns(part, keep_ms)
            except errors.ExternalSystemError as error:
                _log.info("sweep_broken_off", part=part, reason=str(error))

    async def _sweep_turns(self, part: int, keep_ms: float) -> None:
        present: dict[str, str] = {}
        async for page in self._store.newest_pages(
            turn_store.TOPIC, part, timeout_ms=_READ_TIMEOUT_MS
        ):
            present.update((record.key, _previous(record)) for record in page)
        now_ms = self._state.clock.now_ms()
        ages = self._ages.setdefault(part, TurnAges())
        ages.observe(present, now_ms)
        expired = ages.expired(keep_ms, now_ms)
        for start in range(0, len(expired), _MAX_BATCH_TURNS):
            await self._store.append(
                turn_store.TOPIC,
                part,
                [
                    keyed_store.KeyedRecord(turn_id, None)
                    for turn_id in expired[start : start + _MAX_BATCH_TURNS]
                ],
                timeout_ms=_WRITE_TIMEOUT_MS,
            )
        _log.info(
            "partition_swept",
            part=part,
            turns=len(present),
            removed=len(expired),
            keep_ms=keep_ms,
        )


def _previous(record: keyed_store.KeyedRecord) -> str:
    """Returns the turn that a record's turn continues; empty if none.

    A record that cannot be decoded continues no turn and expires as usual.
    """
    turn = turn_store.decode(record)
    return "" if turn is None else turn.previous_id
