"""Token buckets of teams, kept alike by all gateways.

Each gateway debits its copy of a team's bucket by what it admits itself and
by what its peers say they admitted. The counters that travel only grow, so a
lost or repeated message does no harm. Between two messages a peer is taken to
go on at its last rate; otherwise each gateway would hand out what is gained
meanwhile, all of it. A bucket may still go below zero; the debt is paid before
anything more is admitted.

Requests that may not wait for long may take a bucket below zero by an
overdraft, a part of what the operators' bounds tolerate; it is paid back before
anything else is admitted.

A gateway that does not hear from a peer cannot know what that peer admits. It
then uses only the part of each bucket that those it hears stand for.
"""

import attrs

from quetzalmill import route_table

START_PART = 0.3
"""The part of a burst that a process begins with, since it cannot know what
its predecessor admitted in the seconds before."""

_NEWS_WEIGHT = 0.4
"""The weight of the last message in a peer's rate; about three beats count."""

_GUESS_MS = 600.0
"""The longest time for which a silent peer is taken to go on: three beats.
After that the part of those that are not heard covers it."""


@attrs.define
class _PeerUse:
    """What one peer admits for one team."""

    count: int
    heard_ms: float
    rate_per_ms: float = 0.0

    def guess(self, now_ms: float) -> float:
        """Returns what it has probably admitted since it was heard."""
        elapsed_ms = min(max(0.0, now_ms - self.heard_ms), _GUESS_MS)
        return self.rate_per_ms * elapsed_ms

    def hear(self, count: int, now_ms: float) -> None:
        """Takes over its counter."""
        elapsed_ms = max(1.0, now_ms - self.heard_ms)
        rate_per_ms = max(0, count - self.count) / elapsed_ms
        self.rate_per_ms += _NEWS_WEIGHT * (rate_per_ms - self.rate_per_ms)
        self.count = max(count, self.count)
        self.heard_ms = now_ms


@attrs.define
class _Bucket:
    level: float
    filled_ms: float
    admitted: int = 0
    admitted_ms: float = float("-inf")


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
    """The buckets of all teams with a rate.

    Args:
        horizon_ms: A bucket holds what its team gains in this time besides
            its burst.
        overdraft: Requests by which a bucket may go below zero, over all
            gateways.
    """

    def __init__(self, horizon_ms: float = 0.0, overdraft: float = 0.0) -> None:
        self._horizon_ms = horizon_ms
        self._overdraft = overdraft
        self._teams: dict[str, route_table.Team] = {}
        self._buckets: dict[str, _Bucket] = {}
        self._peers: dict[str, dict[str, _PeerUse]] = {}
        self._instances: set[str] = set()
        self._heard_ms: dict[str, float] = {}
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
                level = self._cap(team) * START_PART
                self._buckets[name] = _Bucket(level, now_ms)
            else:
                bucket.level = min(bucket.level, self._cap(team))
        for name in set(self._buckets) - set(teams):
            del self._buckets[name]

    def set_heard_part(self, part: float, now_ms: float) -> None:
        """Sets which part of the gateways this one hears, itself included."""
        if part != self._heard_part:
            for name, bucket in self._buckets.items():
                self._fill(name, bucket, now_ms)
            self._heard_part = part

    def look(
        self, name: str, now_ms: float, *, may_overdraw: bool = False
    ) -> Admission:
        """Returns what ``admit`` would, and takes nothing."""
        if not self.is_limited(name):
            return Admission(admitted=True, level=0.0)
        wait_ms = self.wait_ms(name, 1, now_ms, may_overdraw=may_overdraw)
        return Admission(
            admitted=wait_ms <= 0.0,
            level=self.level(name),
            retry_after_ms=wait_ms,
        )

    def wait_ms(
        self,
        name: str,
        tokens: int,
        now_ms: float,
        *,
        may_overdraw: bool = False,
    ) -> float:
        """Returns when a limited team's bucket will hold ``tokens``.

        A bucket that is smaller than that only has to be full.

        Args:
            name: The team.
            tokens: The tokens.
            now_ms: The current time.
            may_overdraw: Whether the overdraft counts as held.
        """
        bucket = self._buckets[name]
        self._fill(name, bucket, now_ms)
        tokens = min(tokens, int(self.capacity(name)))
        level = bucket.level - self._guess(name, now_ms)
        if may_overdraw:
            level += self._overdraft * self._heard_part
        return max(0.0, (tokens - level) * self.interval_ms(name))

    def level(self, name: str) -> float:
        """Returns what a limited team's bucket held when last looked at."""
        return self._buckets[name].level

    def capacity(self, name: str) -> float:
        """Returns what a limited team's bucket holds when it is full."""
        return self._full(self._teams[name])

    def interval_ms(self, name: str) -> float:
        """Returns the time in which a limited team's bucket gains a token."""
        return 1000.0 / (self._teams[name].rate_per_s * self._heard_part)

    def is_limited(self, name: str) -> bool:
        """Returns whether a team has a rate."""
        team = self._teams.get(name)
        return team is not None and team.rate_per_s > 0

    def admit(
        self, name: str, now_ms: float, *, may_overdraw: bool = False
    ) -> Admission:
        """Takes one token from a team's bucket, if it holds one."""
        found = self.look(name, now_ms, may_overdraw=may_overdraw)
        if found.admitted:
            self.take(name, 1, now_ms)
        return found

    def take(self, name: str, tokens: int, now_ms: float) -> None:
        """Takes tokens from a limited team's bucket, whatever it holds."""
        if self.is_limited(name):
            bucket = self._buckets[name]
            bucket.level -= tokens
            bucket.admitted += tokens
            bucket.admitted_ms = now_ms

    def admitted(self, since_ms: float = float("-inf")) -> dict[str, int]:
        """Returns how many requests this gateway admitted, by team.

        Args:
            since_ms: Teams of which none was admitted since are left out.
        """
        return {
            name: bucket.admitted
            for name, bucket in self._buckets.items()
            if bucket.admitted and bucket.admitted_ms >= since_ms
        }

    def hear(
        self,
        instance: str,
        admitted: dict[str, int],
        now_ms: float,
        *,
        is_whole: bool = True,
    ) -> None:
        """Debits what a peer says it admitted since it was last heard.

        Args:
            instance: The peer's instance.
            admitted: What it admitted since its start, by team.
            now_ms: The current time.
            is_whole: Whether all teams are there that it ever admitted.
        """
        # What an instance admitted before it was first heard is the past: it
        # began to run just now, or this gateway did (``START_PART``).
        is_first = instance not in self._instances
        if is_whole:
            self._instances.add(instance)
        self._heard_ms[instance] = now_ms
        for name, count in admitted.items():
            uses = self._peers.setdefault(name, {})
            use = uses.get(instance)
            if use is None:
                added = 0 if is_first else count
                uses[instance] = _PeerUse(count, now_ms)
            else:
                added = max(0, count - use.count)
                use.hear(count, now_ms)
            bucket = self._buckets.get(name)
            if bucket is not None:
                self._fill(name, bucket, now_ms)
                bucket.level -= added

    def forget(self, instance: str) -> None:
        """Drops the counters of a peer that is gone for good."""
        self._instances.discard(instance)
        self._heard_ms.pop(instance, None)
        for uses in self._peers.values():
            uses.pop(instance, None)

    def _guess(self, name: str, now_ms: float) -> float:
        """Returns what peers have probably admitted since they were heard.

        A peer whose last news leave the team out admits nothing for it.
        """
        uses = self._peers.get(name, {})
        return sum(
            use.guess(now_ms)
            for instance, use in uses.items()
            if use.heard_ms >= self._heard_ms.get(instance, 0.0)
        )

    def _full(self, team: route_table.Team) -> float:
        """Returns what a bucket holds at most, by the part that is heard."""
        return max(self._cap(team) * self._heard_part, 1.0)

    def _cap(self, team: route_table.Team) -> float:
        return team.burst + team.rate_per_s * self._horizon_ms / 1000.0

    def _fill(self, name: str, bucket: _Bucket, now_ms: float) -> None:
        team = self._teams.get(name)
        elapsed_s = max(0.0, now_ms - bucket.filled_ms) / 1000.0
        bucket.filled_ms = now_ms
        if team is None:
            return
        # A level above a cap that has just shrunk drains by use only.
        cap = self._full(team)
        if bucket.level < cap:
            gained = team.rate_per_s * self._heard_part * elapsed_s
            bucket.level = min(cap, bucket.level + gained)
