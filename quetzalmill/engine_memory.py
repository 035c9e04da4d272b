"""Leases on the memory that engines hold for programs.

A home renews a lease for each program whose history an engine caches. Memory
whose lease has ended or expired is released, and so are sessions that an engine
lists without a lease. The module is plain synchronous code.
"""

import collections


class MemoryLeases:
    """The leases at one sidecar."""

    def __init__(self, lease_ms: float) -> None:
        self._lease_ms = lease_ms
        self._expiry_ms: dict[str, float] = {}
        self._ended: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.lapsed = 0

    def __len__(self) -> int:
        return len(self._expiry_ms)

    def renew(self, session: str, now_ms: float) -> None:
        """Extends a session's lease, unless its program has ended."""
        if session not in self._ended:
            self._expiry_ms[session] = now_ms + self._lease_ms

    def end(self, session: str) -> None:
        """Ends a session's lease for good; later renewals are ignored."""
        self._expiry_ms.pop(session, None)
        self._ended[session] = None
        while len(self._ended) > _MAX_TRACKED_ENDS:
            self._ended.popitem(last=False)

    def unleased(self, sessions: list[str], now_ms: float) -> list[str]:
        """Drops expired leases; returns which of the sessions have no lease."""
        lapsed = [
            s for s, expiry in self._expiry_ms.items() if expiry <= now_ms
        ]
        self.lapsed += len(lapsed)
        for session in lapsed:
            del self._expiry_ms[session]
        return [s for s in sessions if s not in self._expiry_ms]


_MAX_TRACKED_ENDS = 50_000
