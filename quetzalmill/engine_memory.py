"""Leases on the memory that engines hold for programs.

A home renews a lease for each program whose history an engine caches. What has
ended or lapsed is freed, and so is what an engine lists but nobody leases. The
module is plain synchronous code.
"""

import collections


class MemoryLeases:
    """The leases at one sidecar."""

    def __init__(self, lease_ms: float) -> None:
        self._lease_ms = lease_ms
        self._until_ms: dict[str, float] = {}
        self._ended: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.lapsed = 0

    def __len__(self) -> int:
        return len(self._until_ms)

    def renew(self, session: str, now_ms: float) -> None:
        """Holds a session for another lease, unless its program has ended."""
        if session not in self._ended:
            self._until_ms[session] = now_ms + self._lease_ms

    def end(self, session: str) -> None:
        """Ends a session's lease; a late renewal does not bring it back."""
        self._until_ms.pop(session, None)
        self._ended[session] = None
        while len(self._ended) > _REMEMBERED_ENDS:
            self._ended.popitem(last=False)

    def unleased(self, sessions: list[str], now_ms: float) -> list[str]:
        """Returns the sessions that an engine holds without a lease."""
        lapsed = [s for s, until in self._until_ms.items() if until <= now_ms]
        self.lapsed += len(lapsed)
        for session in lapsed:
            del self._until_ms[session]
        return [s for s in sessions if s not in self._until_ms]


_REMEMBERED_ENDS = 50_000
