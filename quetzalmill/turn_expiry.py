"""Removes from the store what is kept no longer: old turns and budgets.

The gateway that owns a partition reads it now and then and drops the turns
that it first saw long enough ago. Ages are counted on its own clock from then,
never from a time of day, so a new owner removes late but never early, and two
owners at once do no harm.
"""

import attrs
import trio

from quetzalmill import budget_owner
from quetzalmill import errors
from quetzalmill import gateway_state
from quetzalmill import keyed_store
from quetzalmill import logs
from quetzalmill import turn_store

MARGIN_MS = 60_000.0
"""Time beyond the retention; a turn that runs meanwhile still finds what it
continues. Many times the longest time that a route lets a turn take."""

SWEEPS_IN_RETENTION = 4
"""Readings of a partition in one retention; each turn is read about as often
and stays that part of the retention longer."""

LEAST_SWEEP_MS = 60_000.0
"""The least pause between two readings; as long as the margin, so that short
retentions do not make the store hand out its contents over and over."""

_READ_TIMEOUT_MS = 1_500.0
_WRITE_TIMEOUT_MS = 1_000.0
_BATCH_TURNS = 2_000

_log = logs.get("turn_expiry")


@attrs.define
class _Held:
    previous_id: str
    since_ms: float


class TurnAges:
    """How long the turns of one partition have been there.

    A turn keeps the whole chain before it, so it makes that chain as young as
    itself.
    """

    def __init__(self) -> None:
        self._turns: dict[str, _Held] = {}

    def observe(self, present: dict[str, str], now_ms: float) -> None:
        """Takes over which turns are there, with the ones they continue."""
        for turn_id in self._turns.keys() - present.keys():
            del self._turns[turn_id]
        added = present.keys() - self._turns.keys()
        for turn_id in added:
            self._turns[turn_id] = _Held(present[turn_id], now_ms)
        for turn_id in added:
            self._renew(present[turn_id], now_ms)

    def _renew(self, turn_id: str, now_ms: float) -> None:
        """Makes a chain as young as a turn that continues it."""
        held = self._turns.get(turn_id)
        while held is not None and held.since_ms < now_ms:
            held.since_ms = now_ms
            held = self._turns.get(held.previous_id)

    def expired(self, keep_ms: float, now_ms: float) -> list[str]:
        """Returns the turns that have been there longer than ``keep_ms``."""
        return [
            turn_id
            for turn_id, held in self._turns.items()
            if now_ms - held.since_ms > keep_ms
        ]


class TurnExpiry:
    """Removes what is old from the partitions that this gateway owns.

    Args:
        state: What the gateway believes.
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
        """Sweeps for ever."""
        while True:
            pause_ms = self._state.retention_ms / SWEEPS_IN_RETENTION
            await trio.sleep(max(LEAST_SWEEP_MS, pause_ms) / 1000.0)
            if self._state.retention_ms:
                await self.sweep()

    async def sweep(self) -> None:
        """Looks at each partition once."""
        keep_ms = self._state.retention_ms + MARGIN_MS
        for part, owner in enumerate(self._owners):
            owner.forget_idle(keep_ms)
            if self._state.owner(part) != self._state.address:
                self._ages.pop(part, None)
                continue
            try:
                await self._sweep_turns(part, keep_ms)
            except errors.PortError as error:
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
        for start in range(0, len(expired), _BATCH_TURNS):
            await self._store.append(
                turn_store.TOPIC,
                part,
                [
                    keyed_store.KeyedRecord(turn_id, None)
                    for turn_id in expired[start : start + _BATCH_TURNS]
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

    A record that cannot be read continues nothing and goes when it is old.
    """
    turn = turn_store.decode(record)
    return "" if turn is None else turn.previous_id
