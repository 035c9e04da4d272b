"""The tokens of every team with which this entry may admit requests.

It combines the buckets with the rules of ``shares``: a bucket mints by this
entry's fraction, and only while the entry's lease is valid. A lapse of the
lease clears the tokens and mints nothing for its duration, even if nobody
requested a token meanwhile. Each change of a fraction takes effect in the step
in which this entry learns of it, hence before any other entry can rely on it.
The module performs no I/O; callers pass in the current time.
"""

from collections.abc import Callable, Mapping

import attrs

from quetzalmill import objects
from quetzalmill import rate_limit
from quetzalmill import shares

_MAX_RETIRED = 4096
"""Maximum number of deleted teams that are remembered."""


@attrs.define(kw_only=True)
class _Team:
    """A team at this entry.

    Attributes:
        spec: Its newest specification.
        counts: Pairs of an offset and the number of entries that split the
            rate from this offset on, for all that some entry may still use.
        bucket: This entry's fraction of the rate and burst.
    """

    spec: objects.TeamSpec
    counts: list[tuple[int, int]]
    bucket: rate_limit.Bucket


@attrs.define(kw_only=True)
class _Retired:
    """A team that was deleted.

    Attributes:
        counts: As in ``_Team``, for entries that have not deleted it yet.
        offset: The offset at which it was deleted.
        since_ms: When it became certain that no entry admits its requests;
            None until then.
    """

    counts: list[tuple[int, int]]
    offset: int
    since_ms: float | None = None


class TeamRates:
    """The token buckets of all teams at one entry."""

    def __init__(self, ledger: shares.ShareHolder) -> None:
        self._ledger = ledger
        self._teams: dict[str, _Team] = {}
        self._retired: dict[str, _Retired] = {}
        self._offset = 0
        # Up to this offset, entries may have admitted requests of teams that
        # this entry never saw.
        self._unseen_until_offset = 0
        self._seen_since_ms: float | None = 0.0
        self._saw_all = True
        self._held_since_ms = 0.0

    def log_end_read(self, asked_ms: float, now_ms: float) -> None:
        """Forwards to ``ShareHolder.log_end_read``."""
        self._renew(now_ms, lambda: self._ledger.log_end_read(asked_ms))

    def log_read_failed(self, now_ms: float) -> None:
        """Forwards to ``ShareHolder.log_read_failed``."""
        self._renew(now_ms, lambda: self._ledger.log_read_failed(now_ms))

    def record_reply(
        self,
        host: str,
        instance: str,
        *,
        applied_offset: int,
        asked_ms: float,
        now_ms: float,
    ) -> None:
        """Forwards to ``ShareHolder.record_reply``."""
        self._renew(
            now_ms,
            lambda: self._ledger.record_reply(
                host,
                instance,
                applied_offset=applied_offset,
                asked_ms=asked_ms,
            ),
        )

    def configure(
        self,
        offset: int,
        teams: Mapping[str, objects.TeamSpec],
        newest: shares.HolderSet | None,
        previous: shares.HolderSet,
        now_ms: float,
    ) -> None:
        """Applies the configuration at an offset.

        Args:
            offset: The offset, greater than all earlier ones.
            teams: All teams.
            newest: The holders that the newest shares record names.
            previous: The previous holders.
            now_ms: The current time.
        """
        skipped = offset != self._offset + 1
        self._offset = offset
        changed = newest is not None and (
            newest.revision > self._ledger.newest.revision
        )
        self._renew(now_ms, lambda: self._ledger.offset_applied(offset))
        if newest is not None and changed:
            self._ledger.record_applied(newest, previous)
        if skipped:
            self._record_skipped(offset)
        for name in set(self._teams) - set(teams):
            self._retire(name, offset)
        for name, spec in teams.items():
            known = self._teams.get(name)
            if known is None:
                self._add(name, spec, offset, skipped, now_ms)
            elif skipped or changed or known.spec != spec:
                known.spec = spec
                known.counts += _new_counts(known.counts, spec, offset, skipped)
                self._apply(name, now_ms)

    def settle(self, now_ms: float, replaced: frozenset[str]) -> None:
        """Calls ``ShareHolder.settle`` and updates the buckets accordingly."""
        if self._ledger.newest.revision == 0:
            return
        was_settled = self._ledger.is_settled
        if not self._ledger.settle(now_ms, replaced):
            return
        in_force = self._ledger.in_force_offset
        if self._seen_since_ms is None and in_force >= (
            self._unseen_until_offset
        ):
            self._seen_since_ms = now_ms
        for retired in self._retired.values():
            if retired.since_ms is None and in_force >= retired.offset:
                retired.since_ms = now_ms
        settled_now = self._ledger.is_settled and not was_settled
        if settled_now:
            self._held_since_ms = now_ms
        for name, team in self._teams.items():
            if settled_now or len(team.counts) > 1:
                team.counts = _still_used(team.counts, in_force)
                self._apply(name, now_ms)

    def take(self, team: str, wanted: int, now_ms: float) -> int:
        """Admits up to ``wanted`` requests and returns how many."""
        known = self._teams.get(team)
        if known is None or not self._ledger.may_mint(now_ms):
            return 0
        return known.bucket.take(wanted, now_ms)

    def next_token_ms(self, team: str, now_ms: float) -> float | None:
        """Returns the time until a full token is due here, None for never."""
        known = self._teams.get(team)
        if known is None or not self._ledger.may_mint(now_ms):
            return None
        return known.bucket.next_token_ms(now_ms)

    def holders_of(self, team: str) -> list[str]:
        """Returns the hosts whose buckets may hold a team's tokens."""
        known = self._teams.get(team)
        if known is None:
            return []
        return self._ledger.holders_of(team, known.counts[-1][1])

    def levels(self) -> dict[str, float]:
        """Returns each team's tokens as of its bucket's last update."""
        return {name: team.bucket.tokens for name, team in self._teams.items()}

    def fractions(self) -> dict[str, float]:
        """Returns the fraction of each team's rate that is minted here."""
        return {
            name: team.bucket.fraction for name, team in self._teams.items()
        }

    def _renew(
        self, now_ms: float, record_evidence: Callable[[], None]
    ) -> None:
        """Records evidence; clears the buckets if the lease had lapsed."""
        lapsed = not self._ledger.may_mint(now_ms)
        record_evidence()
        if lapsed:
            self._held_since_ms = max(self._held_since_ms, now_ms)
            for team in self._teams.values():
                team.bucket.void(now_ms)

    def _record_skipped(self, offset: int) -> None:
        """Records that teams may have existed unseen before an offset."""
        self._saw_all = False
        self._unseen_until_offset = offset
        self._seen_since_ms = None

    def _retire(self, name: str, offset: int) -> None:
        team = self._teams.pop(name)
        self._retired[name] = _Retired(counts=team.counts, offset=offset)
        if len(self._retired) > _MAX_RETIRED:
            dropped = self._retired.pop(next(iter(self._retired)))
            self._record_skipped(max(dropped.offset, self._unseen_until_offset))

    def _add(
        self,
        name: str,
        spec: objects.TeamSpec,
        offset: int,
        skipped: bool,
        now_ms: float,
    ) -> None:
        retired = self._retired.pop(name, None)
        counts = list(retired.counts) if retired else []
        if retired and retired.since_ms is not None:
            counts = []
        counts += _new_counts(counts, spec, offset, skipped)
        team = _Team(
            spec=spec,
            counts=counts,
            bucket=rate_limit.Bucket(
                rate_per_s=spec.rate_per_s,
                burst=spec.burst,
                fraction=0.0,
                tokens=0.0,
                filled_ms=now_ms,
            ),
        )
        self._teams[name] = team
        self._apply(name, now_ms)
        unused_ms = self._unused_ms(retired, now_ms)
        bucket = team.bucket
        capacity = bucket.burst * bucket.fraction
        if self._saw_all and retired is None and self._ledger.is_settled:
            bucket.tokens = capacity
        elif unused_ms > 0.0:
            speed = bucket.rate_per_s * bucket.fraction
            bucket.tokens = min(capacity, speed * unused_ms / 1000.0)

    def _unused_ms(self, retired: _Retired | None, now_ms: float) -> float:
        """Returns how long a new team's share was held here and not used.

        A new bucket starts with the tokens minted from empty in that time,
        since a team of the same name may have used a burst before.
        """
        since_ms = retired.since_ms if retired else 0.0
        if since_ms is None or self._seen_since_ms is None:
            return 0.0
        if not self._ledger.is_settled:
            return 0.0
        return now_ms - max(since_ms, self._seen_since_ms, self._held_since_ms)

    def _apply(self, name: str, now_ms: float) -> None:
        team = self._teams[name]
        counts = {count for _, count in team.counts}
        team.bucket.change(
            team.spec.rate_per_s,
            team.spec.burst,
            self._ledger.fraction(name, counts),
            now_ms,
        )


def _new_counts(
    known: list[tuple[int, int]],
    spec: objects.TeamSpec,
    offset: int,
    skipped: bool,
) -> list[tuple[int, int]]:
    """Returns the counts that a specification adds to those in use."""
    count = shares.split_count(spec.burst)
    unseen = (
        [(offset, n) for n in range(1, shares.HOLDERS_PER_TEAM + 1)]
        if skipped
        else []
    )
    if not unseen and known and known[-1][1] == count:
        return []
    return [*unseen, (offset, count)]


def _still_used(
    counts: list[tuple[int, int]], in_force: int
) -> list[tuple[int, int]]:
    """Returns the counts without those that newer ones in force replace."""
    newest = max(
        (i for i, (offset, _) in enumerate(counts) if offset <= in_force),
        default=0,
    )
    return counts[newest:]
