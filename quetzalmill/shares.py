"""Decides which fraction of each team's rate this entry may mint.

A record in the log names the entries that hold shares, and each team's rate
is split evenly over some of them, chosen by rendezvous hashing. What an entry
may mint follows from the configuration that it has applied, so two entries at
different offsets might mint the same share twice. Therefore every entry
computes the offset that is *in force*: no entry mints by an older
configuration anymore. Until a change is in force, an entry uses the smallest
fraction that the old and the new configuration give it.

An entry mints only under a lease: it has recently read the end of the log, or
recently received replies from more than half of the holders (itself included),
none of which had applied a later offset. An offset is in force once all
holders have confirmed it, or half of them have and a lease has passed: any
majority that still renews a lease by an older configuration would share a
member with that half.
The module performs no I/O; callers pass in the current time.
"""

import collections
from collections.abc import Iterable
import hashlib

import attrs

HOLDERS_PER_TEAM = 4
"""Maximum number of entries that split one team's rate."""

MIN_SHARE_TOKENS = 2
"""Minimum number of whole tokens in each entry's fraction of a burst."""

_CLOCK_MARGIN = 1.05
"""Factor that allows for clocks running at different speeds."""

_MAX_EVIDENCE = 512
"""Entry instances whose last replies are kept."""


@attrs.frozen(kw_only=True)
class HolderSet:
    """The holders that one record names.

    Attributes:
        revision: The offset of the record; 0 when there is none.
        holders: The instance of each entry, by host name.
        lease_ms: The longest lease under which they mint; 0 if unknown.
    """

    revision: int
    holders: dict[str, str]
    lease_ms: float = 0.0


_NO_HOLDERS = HolderSet(revision=0, holders={})


@attrs.frozen(kw_only=True)
class _Evidence:
    """The newest reply of an entry.

    Attributes:
        offset: The configuration offset that it had applied.
        asked_ms: When the request was sent.
    """

    offset: int
    asked_ms: float


class ShareHolder:
    """This entry's local view of which entries hold the teams' shares."""

    def __init__(self, host: str, instance: str, *, lease_ms: float) -> None:
        self._host = host
        self._instance = instance
        self._lease_ms = lease_ms
        self._settled = _NO_HOLDERS
        self._pending: HolderSet | None = None
        self._applied_offset = 0
        self._in_force_offset = 0
        self._half_confirmed: collections.deque[tuple[int, float]] = (
            collections.deque()
        )
        self._log_read_ms: float | None = None
        self._log_failed_ms: float | None = None
        self._evidence: dict[tuple[str, str], _Evidence] = {}

    @property
    def newest(self) -> HolderSet:
        """Returns the holders named by the newest applied record."""
        return self._pending or self._settled

    @property
    def settled(self) -> HolderSet:
        """Returns the oldest holders by which any entry may still mint."""
        return self._settled

    @property
    def is_settled(self) -> bool:
        """Returns whether no entry can act on older holders anymore."""
        return self._pending is None

    @property
    def in_force_offset(self) -> int:
        """Returns the oldest offset by which any entry may still mint."""
        return self._in_force_offset

    def offset_applied(self, offset: int) -> None:
        """Records the configuration offset that this entry has applied."""
        self._applied_offset = max(self._applied_offset, offset)

    def record_applied(self, newest: HolderSet, previous: HolderSet) -> None:
        """Records that the log names new holders after ``previous``.

        The record's author saw that no entry acts on holders before
        ``previous``, so at most one step can be pending.
        """
        if newest.revision <= self.newest.revision:
            return
        self._settled = previous
        self._pending = newest

    def log_end_read(self, asked_ms: float) -> None:
        """Records that a read sent at ``asked_ms`` reached the log's end."""
        self._log_read_ms = max(self._log_read_ms or asked_ms, asked_ms)

    def log_read_failed(self, now_ms: float) -> None:
        """Records that a read of the log failed at ``now_ms``."""
        self._log_failed_ms = now_ms

    def record_reply(
        self, host: str, instance: str, *, applied_offset: int, asked_ms: float
    ) -> None:
        """Records an entry's reply to a message sent at ``asked_ms``.

        Args:
            host: The replying entry.
            instance: Its instance.
            applied_offset: The configuration offset that it has applied.
            asked_ms: When this entry sent the message, on its own clock.
        """
        known = self._evidence.pop((host, instance), None)
        if known is not None:
            applied_offset = max(applied_offset, known.offset)
            asked_ms = max(asked_ms, known.asked_ms)
        self._evidence[(host, instance)] = _Evidence(
            offset=applied_offset, asked_ms=asked_ms
        )
        while len(self._evidence) > _MAX_EVIDENCE:
            del self._evidence[next(iter(self._evidence))]

    def settle(self, now_ms: float, replaced: frozenset[str]) -> bool:
        """Updates the offset in force; returns whether it advanced.

        Args:
            now_ms: The current time.
            replaced: ``host instance`` of holders that were replaced or
                removed. Such a process may only be paused and still act on
                its shares, so its confirmation is waived only after a lease.
        """
        before = self._in_force_offset
        groups = self._groups()
        confirmed = min(self._confirmed_by_all(g, frozenset()) for g in groups)
        half = min(
            max(
                self._confirmed_by_half(group),
                self._confirmed_by_all(group, replaced),
            )
            for group in groups
        )
        if half > (
            self._half_confirmed[-1][0] if self._half_confirmed else before
        ):
            self._half_confirmed.append((half, now_ms))
        while (
            self._half_confirmed
            and now_ms - self._half_confirmed[0][1] > self._wait_ms()
        ):
            confirmed = max(confirmed, self._half_confirmed.popleft()[0])
        self._in_force_offset = max(before, confirmed)
        if self._pending and self._pending.revision <= self._in_force_offset:
            self._settled = self._pending
            self._pending = None
        return self._in_force_offset > before

    def may_mint(self, now_ms: float) -> bool:
        """Returns whether this entry's lease on its shares is valid now."""
        lease_ms = min(self._lease_ms, self.newest.lease_ms)
        if _within(self._log_read_ms, now_ms, lease_ms):
            return True
        holders = self.newest.holders
        if holders.get(self._host) != self._instance:
            return False
        if len(holders) == 1:
            return _within(self._log_failed_ms, now_ms, lease_ms)
        supporting = sum(
            self._supports_lease(host, instance, now_ms, lease_ms)
            for host, instance in holders.items()
        )
        return 2 * (1 + supporting) > len(holders)

    def fraction(self, team: str, counts: Iterable[int]) -> float:
        """Returns this entry's fraction of a team's rate and burst.

        Args:
            team: The team.
            counts: The numbers of entries over which some entry may still
                split the team's rate; see ``split_count``.
        """
        sets = [self._settled, *([self._pending] if self._pending else [])]
        return min(
            self._fraction_in(each.holders, team, count)
            for each in sets
            for count in counts
        )

    def holders_of(self, team: str, count: int) -> list[str]:
        """Returns the hosts that hold a team's shares in the newest record."""
        return chosen_holders(self.newest.holders, team, count)

    def _groups(self) -> list[dict[str, str]]:
        """Returns the holder sets by which some entry may still mint."""
        pending = [self._pending.holders] if self._pending else []
        return [self._settled.holders, *pending]

    def _wait_ms(self) -> float:
        leases = [self._lease_ms, self._settled.lease_ms, self.newest.lease_ms]
        return max(leases) * _CLOCK_MARGIN

    def _confirmed_by_all(
        self, group: dict[str, str], excluded: frozenset[str]
    ) -> int:
        offsets = [
            self._confirmed(host, instance)
            for host, instance in group.items()
            if f"{host} {instance}" not in excluded
        ]
        return min(offsets, default=self._applied_offset)

    def _confirmed_by_half(self, group: dict[str, str]) -> int:
        offsets = sorted(
            (self._confirmed(h, i) for h, i in group.items()), reverse=True
        )
        if not offsets:
            return self._applied_offset
        return offsets[(len(offsets) + 1) // 2 - 1]

    def _confirmed(self, host: str, instance: str) -> int:
        """Returns the offset that an entry has certainly applied.

        The result is capped at this entry's own offset, beyond which it does
        not know the holders.
        """
        if (host, instance) == (self._host, self._instance):
            return self._applied_offset
        evidence = self._evidence.get((host, instance))
        return min(evidence.offset, self._applied_offset) if evidence else 0

    def _supports_lease(
        self, host: str, instance: str, now_ms: float, lease_ms: float
    ) -> bool:
        """Returns whether an entry's recent reply had no later offset."""
        evidence = self._evidence.get((host, instance))
        if evidence is None or host == self._host:
            return False
        if evidence.offset > self._applied_offset:
            return False
        return _within(evidence.asked_ms, now_ms, lease_ms)

    def _fraction_in(
        self, holders: dict[str, str], team: str, count: int
    ) -> float:
        if holders.get(self._host) != self._instance:
            return 0.0
        chosen = chosen_holders(holders, team, count)
        return 1.0 / len(chosen) if self._host in chosen else 0.0


def split_count(burst: float) -> int:
    """Returns the maximum number of entries that split a team's rate.

    With few tokens each, entries hold unused fractions of a token while they
    refuse requests, so small bursts are split over fewer entries.
    """
    return max(1, min(HOLDERS_PER_TEAM, int(burst // MIN_SHARE_TOKENS)))


def chosen_holders(holders: dict[str, str], team: str, count: int) -> list[str]:
    """Returns the ``count`` hosts among ``holders`` that split a team's rate.

    Returns all hosts if there are fewer.
    """
    ranked = sorted(holders, key=lambda host: rank(team, host), reverse=True)
    return ranked[:count]


def rank(key: str, candidate: str) -> bytes:
    """Returns the rendezvous hashing rank of a candidate for a key."""
    return hashlib.blake2b(
        f"{key}\0{candidate}".encode(), digest_size=8
    ).digest()


def _within(at_ms: float | None, now_ms: float, lease_ms: float) -> bool:
    return at_ms is not None and now_ms - at_ms < lease_ms
