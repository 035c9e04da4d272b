"""How current this entry's configuration is known to be.

An entry trusts its keys while it has lately read the log's end, itself or
through a peer that has. While the log is down for all, hearing from more than
half of the entries stands in for that. An entry cut off from everything
trusts nothing. The module is plain synchronous code.
"""


class Freshness:
    """Evidence that the configuration is the newest one."""

    def __init__(self, lease_ms: float) -> None:
        self._lease_ms = lease_ms
        self._as_of_ms: float | None = None
        self._heard_ms: dict[str, float] = {}

    def log_end_read(self, asked_ms: float) -> None:
        """Notes that a read asked at ``asked_ms`` reached the log's end."""
        self._advance(asked_ms)

    def heard(
        self,
        host: str,
        *,
        asked_ms: float,
        freshness_ms: float | None,
        behind: bool,
    ) -> None:
        """Notes a peer's answer to a message sent at ``asked_ms``.

        Args:
            host: The peer.
            asked_ms: When this entry asked, on its own clock.
            freshness_ms: How old the peer's state was, None if unknown.
            behind: Whether the peer knows more than this entry.
        """
        if behind:
            return
        self._heard_ms[host] = max(self._heard_ms.get(host, 0.0), asked_ms)
        if freshness_ms is not None:
            self._advance(asked_ms - freshness_ms)

    def age_ms(self, now_ms: float) -> float | None:
        """Returns how old the state may be, None when that is unknown."""
        return None if self._as_of_ms is None else now_ms - self._as_of_ms

    def is_trusted(self, now_ms: float, entries: set[str], own: str) -> bool:
        """Returns whether requests may be decided by this configuration.

        Args:
            now_ms: The current time.
            entries: The hosts of all entries that are published.
            own: This entry's host.
        """
        age_ms = self.age_ms(now_ms)
        if age_ms is not None and age_ms < self._lease_ms:
            return True
        lately = {
            host
            for host, at_ms in self._heard_ms.items()
            if now_ms - at_ms < self._lease_ms and host in entries
        }
        return 2 * len(lately | {own}) > len(entries | {own})

    def _advance(self, as_of_ms: float) -> None:
        self._as_of_ms = max(self._as_of_ms or as_of_ms, as_of_ms)
