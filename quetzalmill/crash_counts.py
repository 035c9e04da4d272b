"""Counts the endpoints that crashed while running each request.

A request that crashes endpoints does so on every run, while one that only
happened to run during a crash succeeds on its next run. A request that ever
completed is therefore cleared permanently, and one that coincided with several
crashes and never completed is refused. Gateways exchange the counts; the
highest one wins.
"""

import hashlib

import attrs

CRASH_LIMIT = 3
"""Number of crashes after which a request is no longer run."""

RETENTION_MS = 600_000.0
"""How long a count is kept after the last crash or update from a peer."""


@attrs.frozen(kw_only=True)
class CrashCount:
    """The crash count of one request.

    Attributes:
        fingerprint: The digest that identifies the request.
        crashes: How many endpoints crashed while running it.
        cleared: Whether it ever completed.
    """

    fingerprint: str
    crashes: int
    cleared: bool


class CrashCounts:
    """The crash counts of requests that ran when an endpoint died."""

    def __init__(self) -> None:
        self._counts: dict[str, CrashCount] = {}
        self._changed_ms: dict[str, float] = {}

    def record_crash(self, fingerprint: str, now_ms: float) -> CrashCount:
        """Counts one more crash for a request; returns its count."""
        known = self._counts.get(fingerprint)
        count = CrashCount(
            fingerprint=fingerprint,
            crashes=1 if known is None else known.crashes + 1,
            cleared=known is not None and known.cleared,
        )
        self._counts[fingerprint] = count
        self._changed_ms[fingerprint] = now_ms
        return count

    def ended_well(self, fingerprint: str) -> None:
        """Clears a request that has completed."""
        known = self._counts.get(fingerprint)
        if known is not None and not known.cleared:
            self._counts[fingerprint] = attrs.evolve(known, cleared=True)

    def apply_report(self, count: CrashCount, now_ms: float) -> None:
        """Merges the count of a peer."""
        known = self._counts.get(count.fingerprint)
        if known is None:
            self._counts[count.fingerprint] = count
            self._changed_ms[count.fingerprint] = now_ms
            return
        merged = CrashCount(
            fingerprint=count.fingerprint,
            crashes=max(known.crashes, count.crashes),
            cleared=known.cleared or count.cleared,
        )
        if merged != known:
            self._counts[count.fingerprint] = merged
            self._changed_ms[count.fingerprint] = now_ms

    def is_refused(self, fingerprint: str) -> bool:
        """Returns whether a request must not be run again."""
        known = self._counts.get(fingerprint)
        return (
            known is not None
            and not known.cleared
            and known.crashes >= CRASH_LIMIT
        )

    def all_known(self) -> list[CrashCount]:
        """Returns every count."""
        return list(self._counts.values())

    def forget_old(self, now_ms: float) -> None:
        """Drops counts older than the retention time."""
        for fingerprint, changed_ms in list(self._changed_ms.items()):
            if now_ms - changed_ms > RETENTION_MS:
                del self._changed_ms[fingerprint]
                del self._counts[fingerprint]


def fingerprint(team: str, target: str, content: bytes) -> str:
    """Returns the digest that identifies a request in all its attempts."""
    text = b"\0".join((team.encode(), target.encode(), content))
    return hashlib.blake2b(text, digest_size=12).hexdigest()
