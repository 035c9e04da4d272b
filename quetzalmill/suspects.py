"""Requests suspected of ending the endpoints that run them.

When an endpoint dies, every request it ran is a suspect, known by a
fingerprint over team and content. A suspect runs again only alone. A second
crash puts it in quarantine; ending well clears it.
"""

import hashlib

from quetzalmill import messages

QUARANTINE_CRASHES = 2
"""Endpoints that a request may end before it is refused."""


class Suspects:
    """The suspects that this process knows."""

    def __init__(self) -> None:
        self._known: dict[str, messages.Suspect] = {}

    def note(self, suspect: messages.Suspect) -> bool:
        """Remembers a suspect and returns whether it was news."""
        known = self._known.get(suspect.fingerprint)
        if known is not None and known.crashes >= suspect.crashes:
            return False
        self._known[suspect.fingerprint] = suspect
        return True

    def crashed(self, fingerprint: str, team: str) -> messages.Suspect:
        """Counts one more crash of a request and returns the suspect."""
        known = self._known.get(fingerprint)
        suspect = messages.Suspect(
            fingerprint=fingerprint,
            team=team,
            crashes=(known.crashes if known else 0) + 1,
        )
        self._known[fingerprint] = suspect
        return suspect

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

    def all_known(self) -> list[messages.Suspect]:
        """Returns every suspect."""
        return list(self._known.values())


def fingerprint(team: str, target: str, content: bytes) -> str:
    """Returns the fingerprint of a request."""
    text = b"\0".join((team.encode(), target.encode(), content))
    return hashlib.sha256(text).hexdigest()[:32]
