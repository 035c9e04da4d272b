"""Requests suspected of crashing the endpoints that run them.

When an endpoint crashes, every request that it was running becomes a suspect,
identified by a fingerprint of team, target and content. A suspect runs again
only alone on its endpoint. A second crash quarantines it, which is published;
a run alone without a crash clears it. A suspect that is not quarantined expires
after ``SUSPECT_TTL_MS``.
"""

import hashlib

import attrs

from quetzalmill import configuration
from quetzalmill import messages
from quetzalmill import objects

QUARANTINE_CRASHES = 2
"""Endpoints that a request may crash before it is refused."""

SUSPECT_TTL_MS = 600_000.0
"""How long after its last crash a suspect runs only alone."""

RELEASE_GRACE_MS = 60_000.0
"""How long reports about a request that an operator released are ignored."""


@attrs.define(kw_only=True)
class _SuspectState:
    team: str
    crashes: int
    since_ms: float
    failure: str = ""


@attrs.frozen(kw_only=True)
class EarlierAttempts:
    """What earlier attempts at a call mean for the next one.

    Attributes:
        crashed: Whether an endpoint is known to have crashed during one.
        unknown: Whether the outcome of one is unknown.
    """

    crashed: bool
    unknown: bool = False

    def after(self, frame: messages.Frame) -> "EarlierAttempts":
        """Returns the state after one more attempt failed with a frame.

        An attempt whose answer was lost, for example with a link, does not
        count as a crash.
        """
        return EarlierAttempts(
            crashed=self.crashed or frame.details.get("crashes", 0) > 0,
            unknown=self.unknown or frame.ran is messages.Ran.UNKNOWN,
        )


class Suspects:
    """The suspects known to this process."""

    def __init__(self) -> None:
        self._known: dict[str, _SuspectState] = {}
        self._published: set[str] = set()
        self._released_ms: dict[str, float] = {}

    def record(self, suspect: messages.Suspect, now_ms: float) -> bool:
        """Applies another process's report; returns whether it was new."""
        released_ms = self._released_ms.get(suspect.fingerprint)
        if released_ms is not None and now_ms - released_ms < RELEASE_GRACE_MS:
            return False
        known = self._known.get(suspect.fingerprint)
        if known is not None and known.crashes >= suspect.crashes:
            return False
        self._known[suspect.fingerprint] = _SuspectState(
            team=suspect.team,
            crashes=suspect.crashes,
            since_ms=now_ms - suspect.age_ms,
        )
        return True

    def record_crash(
        self,
        fingerprint: str,
        team: str,
        *,
        failure: str,
        crashes_before: int,
        now_ms: float,
    ) -> messages.Suspect:
        """Counts one more crash of a request and returns the suspect.

        A crash counts once, even if the endpoint ran the request twice, for
        example for an old and a new home.

        Args:
            fingerprint: The request's fingerprint.
            team: The team that sent it.
            failure: Identifies the crash: the endpoint and its failure.
            crashes_before: Crashes that the sender knew of.
            now_ms: The current time.
        """
        known = self._known.get(fingerprint)
        crashes = max(crashes_before, known.crashes if known else 0) + 1
        if known is not None and known.failure == failure:
            crashes = known.crashes
        self._known[fingerprint] = _SuspectState(
            team=team, crashes=crashes, since_ms=now_ms, failure=failure
        )
        self._released_ms.pop(fingerprint, None)
        return messages.Suspect(
            fingerprint=fingerprint, team=team, crashes=crashes, age_ms=0.0
        )

    def is_suspect(self, fingerprint: str) -> bool:
        """Returns whether a request must run alone."""
        return fingerprint in self._known

    def is_quarantined(self, fingerprint: str) -> bool:
        """Returns whether a request is refused."""
        known = self._known.get(fingerprint)
        return known is not None and known.crashes >= QUARANTINE_CRASHES

    def clear(self, fingerprint: str) -> None:
        """Forgets a suspect that ran alone without a crash."""
        known = self._known.get(fingerprint)
        if known is not None and known.crashes < QUARANTINE_CRASHES:
            del self._known[fingerprint]

    def forget_old(self, now_ms: float) -> None:
        """Forgets suspects whose last crash is long enough ago."""
        for fingerprint, known in list(self._known.items()):
            if known.crashes >= QUARANTINE_CRASHES:
                continue
            if now_ms - known.since_ms > SUSPECT_TTL_MS:
                del self._known[fingerprint]

    def configuration_changed(
        self, config: configuration.Configuration, now_ms: float
    ) -> None:
        """Applies published quarantines and releases deleted ones."""
        published = config.specs(objects.QUARANTINE, objects.QuarantineSpec)
        for fingerprint in self._published - set(published):
            self._known.pop(fingerprint, None)
            self._released_ms[fingerprint] = now_ms
        for fingerprint, spec in published.items():
            self._released_ms.pop(fingerprint, None)
            suspect = messages.Suspect(
                fingerprint=fingerprint,
                team=spec.team,
                crashes=spec.crashes,
                age_ms=0.0,
            )
            self.record(suspect, now_ms)
        self._published = set(published)

    def unpublished(self, now_ms: float) -> list[messages.Suspect]:
        """Returns quarantined requests that are not yet published."""
        return [
            suspect
            for suspect in self.all_known(now_ms)
            if suspect.crashes >= QUARANTINE_CRASHES
            and suspect.fingerprint not in self._published
        ]

    def all_known(self, now_ms: float) -> list[messages.Suspect]:
        """Returns every suspect."""
        return [
            messages.Suspect(
                fingerprint=fingerprint,
                team=known.team,
                crashes=known.crashes,
                age_ms=now_ms - known.since_ms,
            )
            for fingerprint, known in self._known.items()
        ]


def fingerprint(team: str, target: str, content: bytes) -> str:
    """Returns the fingerprint by which a repeated request is recognised."""
    text = b"\0".join((team.encode(), target.encode(), content))
    return hashlib.sha256(text).hexdigest()[:32]
