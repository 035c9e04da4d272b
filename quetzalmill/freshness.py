"""Tracks how current this entry's configuration is known to be.

An entry trusts its keys while it, or a peer that replied to it, has recently
read the end of the log. While the log is unavailable to all, replies from more
than half of the entries suffice instead. An entry cut off from everything
trusts nothing. The module performs no I/O.
"""


class Freshness:
    """Evidence that the configuration is the newest one."""

    def __init__(self, lease_ms: float) -> None:
        self._lease_ms = lease_ms
        self._as_of_ms: float | None = None
        self._replied_ms: dict[str, float] = {}

    def log_end_read(self, asked_ms: float) -> None:
        """Records that a read sent at ``asked_ms`` reached the log's end."""
        self._advance(asked_ms)

    def record_reply(
        self,
        host: str,
        *,
        asked_ms: float,
        freshness_ms: float | None,
        behind: bool,
    ) -> None:
        """Records a peer's reply to a message sent at ``asked_ms``.

        Args:
            host: The peer.
            asked_ms: When this entry sent it, on its own clock.
            freshness_ms: Age of the peer's state, None if unknown.
            behind: Whether this entry has applied less than the peer.
        """
        if behind:
            return
        self._replied_ms[host] = max(self._replied_ms.get(host, 0.0), asked_ms)
        if freshness_ms is not None:
            self._advance(asked_ms - freshness_ms)

    def age_ms(self, now_ms: float) -> float | None:
        """Returns the maximum age of the state, None if unknown."""
        return None if self._as_of_ms is None else now_ms - self._as_of_ms

    def is_trusted(self, now_ms: float, entries: set[str], own: str) -> bool:
        """Returns whether this configuration may decide requests.

        Args:
            now_ms: The current time.
            entries: The hosts of all published entries.
            own: This entry's host.
        """
        age_ms = self.age_ms(now_ms)
        if age_ms is not None and age_ms < self._lease_ms:
            return True
        recent = {
            host
            for host, at_ms in self._replied_ms.items()
            if now_ms - at_ms < self._lease_ms and host in entries
        }
        return 2 * len(recent | {own}) > len(entries | {own})

    def _advance(self, as_of_ms: float) -> None:
        self._as_of_ms = max(self._as_of_ms or as_of_ms, as_of_ms)
