"""Token buckets of teams, kept alike by all gateways.

Each gateway debits its copy of a team's bucket by what it admits itself and
by what its peers say they admitted. The counters that travel only grow, so a
lost or repeated message does no harm. News is a beat late, so a bucket may go
below zero; the debt is paid before anything more is admitted.

A gateway that does not hear from a peer cannot know what that peer admits. It
then uses only the part of each bucket that those it hears stand for.
"""

import attrs

from quetzalmill import route_table

START_PART = 0.3
"""The part of a burst that a process begins with, since it cannot know what
its predecessor admitted in the seconds before."""


@attrs.define
class _Bucket:
    level: float
    filled_ms: float
    admitted: int = 0


@attrs.frozen(kw_only=True)
class Admission:
    """Whether a request is within its team's rate.

    Attributes:
        admitted: Whether it is.
        level: What the bucket held.
        retry_after_ms: When a token will be there; 0 when admitted.
    """

    admitted: bool
    level: float
    retry_after_ms: float = 0.0


class TeamBuckets:
    """The buckets of all teams with a rate."""

    def __init__(self) -> None:
        self._teams: dict[str, route_table.Team] = {}
        self._buckets: dict[str, _Bucket] = {}
        self._heard: dict[tuple[str, str], int] = {}
        self._heard_part = 1.0

    def configure(
        self, teams: dict[str, route_table.Team], now_ms: float
    ) -> None:
        """Takes over new rates; a lower burst cuts what a bucket holds."""
        for filled_name, filled in self._buckets.items():
            self._fill(filled_name, filled, now_ms)
        self._teams = teams
        for name, team in teams.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                level = team.burst * START_PART
                self._buckets[name] = _Bucket(level, now_ms)
            else:
                bucket.level = min(bucket.level, team.burst)
        for name in set(self._buckets) - set(teams):
            del self._buckets[name]

    def set_heard_part(self, part: float, now_ms: float) -> None:
        """Sets which part of the gateways this one hears, itself included."""
        if part != self._heard_part:
            for name, bucket in self._buckets.items():
                self._fill(name, bucket, now_ms)
            self._heard_part = part

    def look(self, name: str, now_ms: float) -> Admission:
        """Returns what ``admit`` would, and takes nothing."""
        if not self._is_limited(name):
            return Admission(admitted=True, level=0.0)
        bucket = self._buckets[name]
        self._fill(name, bucket, now_ms)
        if bucket.level >= 1.0:
            return Admission(admitted=True, level=bucket.level)
        gained_per_s = self._teams[name].rate_per_s * self._heard_part
        return Admission(
            admitted=False,
            level=bucket.level,
            retry_after_ms=(1.0 - bucket.level) / gained_per_s * 1000.0,
        )

    def admit(self, name: str, now_ms: float) -> Admission:
        """Takes one token from a team's bucket, if it holds one."""
        found = self.look(name, now_ms)
        if found.admitted and self._is_limited(name):
            bucket = self._buckets[name]
            bucket.level -= 1.0
            bucket.admitted += 1
        return found

    def admitted(self) -> dict[str, int]:
        """Returns how many requests this gateway admitted, by team."""
        return {
            name: bucket.admitted
            for name, bucket in self._buckets.items()
            if bucket.admitted
        }

    def hear(
        self, instance: str, admitted: dict[str, int], now_ms: float
    ) -> None:
        """Debits what a peer says it admitted since it was last heard."""
        for name, count in admitted.items():
            before = self._heard.get((instance, name), 0)
            if count <= before:
                continue
            self._heard[instance, name] = count
            bucket = self._buckets.get(name)
            if bucket is not None:
                self._fill(name, bucket, now_ms)
                bucket.level -= count - before

    def forget(self, instance: str) -> None:
        """Drops the counters of a peer that is gone for good."""
        for key in [key for key in self._heard if key[0] == instance]:
            del self._heard[key]

    def _is_limited(self, name: str) -> bool:
        team = self._teams.get(name)
        return team is not None and team.rate_per_s > 0

    def _fill(self, name: str, bucket: _Bucket, now_ms: float) -> None:
        team = self._teams.get(name)
        elapsed_s = max(0.0, now_ms - bucket.filled_ms) / 1000.0
        bucket.filled_ms = now_ms
        if team is None:
            return
        # A level above a cap that has just shrunk drains by use only.
        cap = max(team.burst * self._heard_part, 1.0)
        if bucket.level < cap:
            gained = team.rate_per_s * self._heard_part * elapsed_s
            bucket.level = min(cap, bucket.level + gained)
