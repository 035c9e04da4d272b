"""Counts the endpoints that each request has ended.

A request that ends endpoints does so each time; one that merely ran when an
endpoint died ends well at its next run. So a request that ever ended well is
cleared for good, and one that has ended several endpoints and never ended well
is refused. The counts travel between gateways; the higher one wins.
"""

import hashlib

import attrs

CRASHES_TO_REFUSE = 3
"""Endpoints that a request may end before nobody runs it any more."""

REMEMBERED_MS = 600_000.0
"""How long a count stands after the last crash."""


@attrs.frozen(kw_only=True)
class CrashCount:
    """What is known of one request.

    Attributes:
        fingerprint: Names the request.
        crashes: Endpoints that it has ended.
        cleared: Whether it ever ended well.
    """

    fingerprint: str
    crashes: int
    cleared: bool


class CrashCounts:
    """The requests that ran when an endpoint died."""

    def __init__(self) -> None:
        self._known: dict[str, CrashCount] = {}
        self._since_ms: dict[str, float] = {}

    def crashed(self, fingerprint: str, now_ms: float) -> CrashCount:
        """Counts one more endpoint that a request has ended."""
        known = self._known.get(fingerprint)
        count = CrashCount(
            fingerprint=fingerprint,
            crashes=1 if known is None else known.crashes + 1,
            cleared=known is not None and known.cleared,
        )
        self._known[fingerprint] = count
        self._since_ms[fingerprint] = now_ms
        return count

    def ended_well(self, fingerprint: str) -> None:
        """Clears a request."""
        known = self._known.get(fingerprint)
        if known is not None and not known.cleared:
            self._known[fingerprint] = attrs.evolve(known, cleared=True)

    def hear(self, count: CrashCount, now_ms: float) -> None:
        """Takes over what a peer knows."""
        known = self._known.get(count.fingerprint)
        if known is None:
            self._known[count.fingerprint] = count
            self._since_ms[count.fingerprint] = now_ms
            return
        merged = CrashCount(
            fingerprint=count.fingerprint,
            crashes=max(known.crashes, count.crashes),
            cleared=known.cleared or count.cleared,
        )
        if merged != known:
            self._known[count.fingerprint] = merged
            self._since_ms[count.fingerprint] = now_ms

    def is_refused(self, fingerprint: str) -> bool:
        """Returns whether nobody may run a request any more."""
        known = self._known.get(fingerprint)
        return (
            known is not None
            and not known.cleared
            and known.crashes >= CRASHES_TO_REFUSE
        )

    def all_known(self) -> list[CrashCount]:
        """Returns every count."""
        return list(self._known.values())

    def forget_old(self, now_ms: float) -> None:
        """Drops the counts of requests that crashed nothing for long."""
        for fingerprint, since_ms in list(self._since_ms.items()):
            if now_ms - since_ms > REMEMBERED_MS:
                del self._since_ms[fingerprint]
                del self._known[fingerprint]


def fingerprint(team: str, target: str, content: bytes) -> str:
    """Returns what names a request in all its attempts."""
    text = b"\0".join((team.encode(), target.encode(), content))
    return hashlib.blake2b(text, digest_size=12).hexdigest()
