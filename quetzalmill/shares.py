"""Decides which fraction of each team's rate this entry may mint.

A record in the log names the entries that hold shares. Each team's rate is
split evenly over a few of them, chosen by rendezvous hashing. After a new
record an entry holds the smaller of its old and new fraction until no entry
can still act on the old record: all old holders have confirmed the new one,
or more than half have and a lease has passed since. An entry mints only under
a lease: it has lately read the log's end, or lately heard from more than half
of the holders, none of which knew a newer record.
The module is plain synchronous code; the time comes in as an argument.
"""

import hashlib

import attrs

HOLDERS_PER_TEAM = 4
"""Entries over which one team's rate is split, at most."""


@attrs.frozen(kw_only=True)
class HolderSet:
    """The holders that one record names.

    Attributes:
        revision: The offset of the record; 0 when there is none.
        holders: Host names and instances of the entries.
    """

    revision: int
    holders: dict[str, str]


class ShareHolder:
    """This entry's view of who holds the teams' shares."""

    def __init__(self, host: str, instance: str, *, lease_ms: float) -> None:
        self._host = host
        self._instance = instance
        self._lease_ms = lease_ms
        self._settled = HolderSet(revision=0, holders={})
        self._pending: HolderSet | None = None
        self._confirmed: set[str] = set()
        self._majority_ms: float | None = None
        self._log_read_ms: float | None = None
        self._heard_ms: dict[str, float] = {}
        self._newest_revision_heard = 0

    @property
    def newest(self) -> HolderSet:
        """Returns the holders that the newest applied record names."""
        return self._pending or self._settled

    @property
    def is_settled(self) -> bool:
        """Returns whether no entry can act on older holders any more."""
        return self._pending is None

    def record_applied(
        self, newest: HolderSet, previous: dict[str, str]
    ) -> None:
        """Notes that the log names new holders after ``previous``.

        The record's author saw that nobody acts on holders before
        ``previous``, so one pending step is all there can be.
        """
        if newest.revision <= self.newest.revision:
            return
        self._settled = HolderSet(
            revision=self.newest.revision, holders=previous
        )
        self._pending = newest
        self._confirmed = set()
        self._majority_ms = None
        self._heard_ms = self._heard_among(previous)

    def log_end_read(self, asked_ms: float) -> None:
        """Notes that a read asked at ``asked_ms`` reached the log's end."""
        self._log_read_ms = max(self._log_read_ms or asked_ms, asked_ms)

    def heard(
        self, host: str, instance: str, *, revision: int, asked_ms: float
    ) -> None:
        """Notes an entry's answer to a message sent at ``asked_ms``.

        Args:
            host: The answering entry.
            instance: Its instance.
            revision: The newest shares record that it has applied.
            asked_ms: When this entry sent the message, on its own clock.
        """
        self._newest_revision_heard = max(self._newest_revision_heard, revision)
        if self._settled.holders.get(host) == instance:
            self._heard_ms[host] = max(self._heard_ms.get(host, 0.0), asked_ms)
        if self._pending and revision >= self._pending.revision:
            self._confirmed.add(f"{host} {instance}")

    def settle(self, now_ms: float, gone: frozenset[str]) -> None:
        """Moves to newer holders once nothing acts on older ones.

        Args:
            now_ms: The current time.
            gone: ``host instance`` of holders that surely run no more.
        """
        if self._pending is None or not self._no_older_use(now_ms, gone):
            return
        self._settled = self._pending
        self._pending = None
        self._heard_ms = self._heard_among(self._settled.holders)

    def may_mint(self, now_ms: float) -> bool:
        """Returns whether this entry's lease on its shares holds now."""
        if self._newest_revision_heard > self.newest.revision:
            return False
        read_ms = self._log_read_ms
        if read_ms is not None and now_ms - read_ms < self._lease_ms:
            return True
        holders = self._settled.holders
        if holders.get(self._host) != self._instance:
            return False
        lately = 1 + sum(
            1
            for host, at_ms in self._heard_ms.items()
            if host != self._host and now_ms - at_ms < self._lease_ms
        )
        return 2 * lately > len(holders)

    def fraction(self, team: str, burst: float) -> float:
        """Returns this entry's fraction of a team's rate and burst."""
        fraction = self._fraction_in(self._settled, team, burst)
        if self._pending is None:
            return fraction
        return min(fraction, self._fraction_in(self._pending, team, burst))

    def held_since(self, revision: int) -> bool:
        """Returns whether the holders are the same since before a revision.

        A team published at ``revision`` was then admitted by none but these
        holders, this entry among them.
        """
        if self._pending is not None or self._settled.revision > revision:
            return False
        return self._settled.holders.get(self._host) == self._instance

    def holders_of(self, team: str, burst: float) -> list[str]:
        """Returns the hosts that hold a team's shares by the newest record."""
        return chosen_holders(self.newest.holders, team, burst)

    def _fraction_in(
        self, holders: HolderSet, team: str, burst: float
    ) -> float:
        if holders.holders.get(self._host) != self._instance:
            return 0.0
        chosen = chosen_holders(holders.holders, team, burst)
        return 1.0 / len(chosen) if self._host in chosen else 0.0

    def _heard_among(self, holders: dict[str, str]) -> dict[str, float]:
        return {h: ms for h, ms in self._heard_ms.items() if h in holders}

    def _no_older_use(self, now_ms: float, gone: frozenset[str]) -> bool:
        own = f"{self._host} {self._instance}"
        old = {f"{h} {i}" for h, i in self._settled.holders.items()}
        missing = old - self._confirmed - gone - {own}
        if not missing:
            return True
        if 2 * (len(old) - len(missing)) <= len(old):
            return False
        if self._majority_ms is None:
            self._majority_ms = now_ms
        return now_ms - self._majority_ms > self._lease_ms


def chosen_holders(
    holders: dict[str, str], team: str, burst: float
) -> list[str]:
    """Returns the hosts among ``holders`` that split one team's rate.

    A part of less than one whole token could never admit a request, so a
    team's burst also bounds the number of its holders.
    """
    count = max(1, min(HOLDERS_PER_TEAM, len(holders), int(burst)))
    ranked = sorted(holders, key=lambda host: rank(team, host), reverse=True)
    return ranked[:count]


def rank(key: str, candidate: str) -> bytes:
    """Returns the rendezvous rank of a candidate for a key."""
    return hashlib.blake2b(
        f"{key}\0{candidate}".encode(), digest_size=8
    ).digest()
