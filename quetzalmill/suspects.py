"""Requests suspected of ending the endpoints that run them.

When an endpoint dies, every request it ran is a suspect, known by a
fingerprint over team and content. A suspect runs again only alone. A second
crash puts it in quarantine, which is published; ending well clears it. A
suspect that is not quarantined is forgotten after a while.
"""

import hashlib

import attrs

from quetzalmill import configuration
from quetzalmill import messages
from quetzalmill import objects

QUARANTINE_CRASHES = 2
"""Endpoints that a request may end before it is refused."""

SUSPECT_MS = 600_000.0
"""How long a request that crashed once runs only alone."""

RELEASED_MS = 60_000.0
"""How long news about a request that an operator released is passed over."""


@attrs.define(kw_only=True)
class _Known:
    team: str
    crashes: int
    since_ms: float
    failure: str = ""


@attrs.frozen(kw_only=True)
class EarlierAttempts:
    """What earlier attempts at a call say about the next one.

    Attributes:
        crashed: Whether an endpoint is known to have ended under one.
        unknown: Whether nobody can tell what became of one.
    """

    crashed: bool
    unknown: bool = False

    def after(self, frame: messages.Frame) -> "EarlierAttempts":
        """Returns the same after one more attempt failed with a frame.

        An attempt whose answer was lost, such as with a link, has ended no
        endpoint as far as anybody knows.
        """
        return EarlierAttempts(
            crashed=self.crashed or frame.details.get("crashes", 0) > 0,
            unknown=self.unknown or frame.ran is messages.Ran.UNKNOWN,
        )


class Suspects:
    """The suspects that this process knows."""

    def __init__(self) -> None:
        self._known: dict[str, _Known] = {}
        self._published: set[str] = set()
        self._released_ms: dict[str, float] = {}

    def note(self, suspect: messages.Suspect, now_ms: float) -> bool:
        """Remembers what another process tells; returns whether it was news."""
        released_ms = self._released_ms.get(suspect.fingerprint)
        if released_ms is not None and now_ms - released_ms < RELEASED_MS:
            return False
        known = self._known.get(suspect.fingerprint)
        if known is not None and known.crashes >= suspect.crashes:
            return False
        self._known[suspect.fingerprint] = _Known(
            team=suspect.team,
            crashes=suspect.crashes,
            since_ms=now_ms - suspect.age_ms,
        )
        return True

    def crashed(
        self,
        fingerprint: str,
        team: str,
        *,
        failure: str,
        crashes_before: int,
        now_ms: float,
    ) -> messages.Suspect:
        """Counts one more crash of a request and returns the suspect.

        A request that ran twice when an endpoint ended, such as for an old
        and a new home, has ended it only once.

        Args:
            fingerprint: The request's fingerprint.
            team: The team that sent it.
            failure: Names this end of this endpoint.
            crashes_before: Crashes that its sender knew of.
            now_ms: The current time.
        """
        known = self._known.get(fingerprint)
        crashes = max(crashes_before, known.crashes if known else 0) + 1
        if known is not None and known.failure == failure:
            crashes = known.crashes
        self._known[fingerprint] = _Known(
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
        """Forgets a suspect that ran alone and ended well."""
        known = self._known.get(fingerprint)
        if known is not None and known.crashes < QUARANTINE_CRASHES:
            del self._known[fingerprint]

    def forget_old(self, now_ms: float) -> None:
        """Forgets suspects that have not crashed anything for long."""
        for fingerprint, known in list(self._known.items()):
            if known.crashes >= QUARANTINE_CRASHES:
                continue
            if now_ms - known.since_ms > SUSPECT_MS:
                del self._known[fingerprint]

    def configuration_changed(
        self, config: configuration.Configuration, now_ms: float
    ) -> None:
        """Takes over published quarantines; releases deleted ones."""
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
            self.note(suspect, now_ms)
        self._published = set(published)

    def unpublished(self, now_ms: float) -> list[messages.Suspect]:
        """Returns quarantined requests that the log does not have."""
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
    """Returns the fingerprint of a request."""
    text = b"\0".join((team.encode(), target.encode(), content))
    return hashlib.sha256(text).hexdigest()[:32]
