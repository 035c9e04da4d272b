"""Applies the decision on memory to the tasks of one process."""

from collections.abc import Callable
import os
import sys

import attrs
import trio

from quetzalmill import errors
from quetzalmill import logs
from quetzalmill import memory_account
from quetzalmill import memory_decision

_RECHECK_MS = 100.0
"""The interval in which bodies that wait look for one that has stalled."""

_MACHINE_FRACTION = 0.25
"""The fraction of the machine's memory for callers of a process whose settings
do not give its memory; engines and other processes run beside it."""

_MAX_LOGGED_CHARS = 64

_log = logs.get("memory")

Revoke = Callable[[], None]
"""Disconnects the party of a charge."""


class Action:
    """What was done for lack of memory or connections; names of metrics."""

    REVOKED = "revoked"
    REFUSED = "refused"
    TABLE_FULL = "table_full"


def _ignore(action: str, kind: str) -> None:
    del action, kind


@attrs.define(eq=False)
class _Waiter:
    charge: memory_account.Charge
    more_bytes: int
    granted: trio.Event = attrs.field(factory=trio.Event)


class HostMemory:
    """The memory of one process, shared by all its tasks.

    Args:
        limit_bytes: The limit of the account; unlimited by default.
        count: Called with each action and the kind of its charge.
    """

    def __init__(
        self,
        limit_bytes: int = sys.maxsize,
        count: Callable[[str, str], None] = _ignore,
    ) -> None:
        self.account = memory_account.MemoryAccount(limit_bytes)
        self._count = count
        self._revokers: dict[memory_account.Charge, Revoke] = {}
        self._waiters: list[_Waiter] = []
        self._next_search_ms = 0.0

    def open(
        self, kind: memory_account.Kind, team: str, revoke: Revoke
    ) -> memory_account.Charge:
        """Opens an empty charge.

        Args:
            kind: What it is for.
            team: The team that it is held for.
            revoke: Disconnects the party; called at most once, only while the
                charge is revocable. The charge is closed by then.
        """
        charge = self.account.open(kind, team, _now_ms())
        self._revokers[charge] = revoke
        return charge

    def close(self, charge: memory_account.Charge) -> None:
        """Closes a charge, if it is still open."""
        self._revokers.pop(charge, None)
        self.account.close(charge)
        self._grant_waiting()

    def shrink(self, charge: memory_account.Charge, size_bytes: int) -> None:
        """Reduces a charge to a size."""
        if charge.held_bytes > size_bytes:
            self.account.add(charge, size_bytes - charge.held_bytes)
            self._grant_waiting()

    def record_progress(self, charge: memory_account.Charge) -> None:
        """Records that the party of a charge has made progress."""
        charge.progress_ms = _now_ms()

    def add(self, charge: memory_account.Charge, more_bytes: int) -> None:
        """Charges memory that is held already.

        Others are disconnected if it exceeds the account.
        """
        self.account.add(charge, more_bytes)
        while self.account.free_bytes < 0:
            victim = memory_decision.find_victim(
                self.account, charge, now_ms=_now_ms(), is_small=False
            )
            if victim is None:
                return
            self.revoke(victim)

    def try_grow(self, charge: memory_account.Charge, more_bytes: int) -> bool:
        """Charges memory if it is free or can be freed at once."""
        while charge.is_open:
            match self._decide(charge, more_bytes, 0.0):
                case memory_decision.Grant():
                    self.account.add(charge, more_bytes)
                    return True
                case memory_decision.Revoke(victim=victim):
                    # What it frees is for this charge, not for waiting ones.
                    self._revoke(victim, Action.REVOKED)
                case _:
                    break
        return False

    async def grow(
        self, charge: memory_account.Charge, more_bytes: int
    ) -> None:
        """Charges memory, and waits for it if none is free.

        Raises:
            errors.BadMessageError: No memory became free in time (503).
        """
        if self.try_grow(charge, more_bytes):
            return
        waiter = _Waiter(charge, more_bytes)
        # The limit is for all waits of a body together.
        started_ms = _now_ms() - charge.waited_ms
        self._waiters.append(waiter)
        charge.is_waiting = True
        try:
            while not waiter.granted.is_set():
                with trio.move_on_after(_RECHECK_MS / 1000.0):
                    await waiter.granted.wait()
                    break
                self._recheck(waiter, _now_ms() - started_ms)
        finally:
            charge.is_waiting = False
            charge.waited_ms = _now_ms() - started_ms
            self.record_progress(charge)
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def revoke(
        self,
        charge: memory_account.Charge,
        action: str = Action.REVOKED,
    ) -> None:
        """Closes a charge and disconnects its party."""
        self._revoke(charge, action)
        self._grant_waiting()

    def refuse(self, charge: memory_account.Charge) -> None:
        """Records that a charge could not grow."""
        self._record(Action.REFUSED, charge)

    def _revoke(self, charge: memory_account.Charge, action: str) -> None:
        revoke = self._revokers.pop(charge)
        self._record(action, charge)
        self.account.close(charge)
        revoke()

    def _decide(
        self,
        charge: memory_account.Charge,
        more_bytes: int,
        waited_ms: float,
    ) -> memory_decision.Decision:
        return memory_decision.decide(
            self.account,
            charge,
            more_bytes,
            now_ms=_now_ms(),
            waited_ms=waited_ms,
        )

    def _recheck(self, waiter: _Waiter, waited_ms: float) -> None:
        """Looks for a charge to revoke once more; refuses after the wait.

        Of many that wait, only one searches all charges at a time.
        """
        now_ms = _now_ms()
        if (
            now_ms < self._next_search_ms
            and waited_ms < memory_decision.MAX_WAIT_MS
        ):
            return
        self._next_search_ms = now_ms + _RECHECK_MS / 2.0
        match self._decide(waiter.charge, waiter.more_bytes, waited_ms):
            case memory_decision.Grant():
                self._grant_waiting()
            case memory_decision.Revoke(victim=victim):
                self.revoke(victim)
            case memory_decision.Refuse():
                self.refuse(waiter.charge)
                raise errors.BadMessageError("memory is short", 503)

    def _grant_waiting(self) -> None:
        """Grants freed memory, first to what has least still to come.

        Others get what the first body leaves over when it is complete.
        """
        if not self._waiters:
            return
        first = memory_decision.first_body(self.account, _now_ms())
        for waiter in sorted(
            self._waiters, key=lambda each: memory_decision.order(each.charge)
        ):
            if waiter.charge.is_open and memory_decision.fits(
                self.account, waiter.charge, waiter.more_bytes, first
            ):
                self.account.add(waiter.charge, waiter.more_bytes)
                self._waiters.remove(waiter)
                waiter.granted.set()

    def _record(self, action: str, charge: memory_account.Charge) -> None:
        self._count(action, charge.kind.value)
        _log.info(
            "memory_short",
            action=action,
            kind=charge.kind.value,
            team=charge.team[:_MAX_LOGGED_CHARS] or None,
            charge_bytes=charge.held_bytes,
            held_bytes=self.account.held_bytes,
        )


def of_machine() -> HostMemory:
    """Returns the memory of a process whose settings do not give it."""
    machine_bytes = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    return HostMemory(int(_MACHINE_FRACTION * machine_bytes))


def _now_ms() -> float:
    return trio.current_time() * 1000.0
