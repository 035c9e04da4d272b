"""Token buckets of teams, replicated at all gateways.

Each gateway debits its copy of a team's bucket by what it admits itself and
by what its peers report. The reported counters only grow, so a lost or
repeated message does no harm. Between two messages a peer is assumed to
continue at its last rate; otherwise every gateway would admit all that the
bucket gains in the meantime. A bucket may still drop below zero; the debt is
paid before anything else is admitted.

Requests that cannot wait for long may take a bucket below zero by an
overdraft, a fraction of the excess that the operators tolerate; this debt is
paid first as well.

A gateway cannot know what an unreachable peer admits. It therefore uses only
the fraction of each bucket that corresponds to the live gateways.
"""

import attrs

from quetzalmill import route_table

INITIAL_LEVEL_FRACTION = 0.3
"""The fraction of its capacity that a bucket starts with, as the process cannot
know what its predecessor admitted in the seconds before."""

_RATE_SMOOTHING = 0.4
"""The weight of the last message in a peer's moving average rate, which thus
covers about three heartbeats."""

_MIN_REPORT_INTERVAL_MS = 200.0
"""The interval between two heartbeats of a peer. Relayed heartbeats of one peer
may arrive together; the time between their arrivals would make its rate seem
hundreds of times as high."""

_MAX_EXTRAPOLATION_MS = 600.0
"""The longest time for which a peer's rate is extrapolated: three heartbeats.
After that, the fraction set aside for unreachable gateways covers it."""


@attrs.define
class _PeerCounter:
    """What one peer has admitted for one team."""

    count: int
    reported_ms: float
    rate_per_ms: float = 0.0

    def extrapolate(self, now_ms: float) -> float:
        """Returns what it has probably admitted since its last report."""
        elapsed_ms = min(
            max(0.0, now_ms - self.reported_ms), _MAX_EXTRAPOLATION_MS
        )
        return self.rate_per_ms * elapsed_ms

    def apply_report(self, count: int, now_ms: float) -> None:
        """Applies a reported counter."""
        elapsed_ms = max(_MIN_REPORT_INTERVAL_MS, now_ms - self.reported_ms)
        rate_per_ms = max(0, count - self.count) / elapsed_ms
        self.rate_per_ms += _RATE_SMOOTHING * (rate_per_ms - self.rate_per_ms)
        self.count = max(count, self.count)
        self.reported_ms = now_ms


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
        level: The tokens that the bucket held.
        retry_after_ms: The time until a token is available; 0 when admitted.
    """

    admitted: bool
    level: float
    retry_after_ms: float = 0.0


class TeamBuckets:
    """The buckets of all teams with a rate.

    Args:
        horizon_ms: The time whose gain a bucket holds in addition to the
            team's burst.
        overdraft: Requests by which a bucket may drop below zero, over all
            gateways.
    """

    def __init__(self, horizon_ms: float = 0.0, overdraft: float = 0.0) -> None:
        self._horizon_ms = horizon_ms
        self._overdraft = overdraft
        self._teams: dict[str, route_table.Team] = {}
        self._buckets: dict[str, _Bucket] = {}
        self._peers: dict[str, dict[str, _PeerCounter]] = {}
        self._instances: set[str] = set()
        self._reported_ms: dict[str, float] = {}
        self._live_fraction = 1.0

    def configure(
        self, teams: dict[str, route_table.Team], now_ms: float
    ) -> None:
        """Applies new rates; levels are cut to a lower capacity."""
        for filled_name, filled in self._buckets.items():
            self._fill(filled_name, filled, now_ms)
        self._teams = teams
        for name, team in teams.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                level = self._total_capacity(team) * INITIAL_LEVEL_FRACTION
                self._buckets[name] = _Bucket(level, now_ms)
            else:
                bucket.level = min(bucket.level, self._total_capacity(team))
        for name in set(self._buckets) - set(teams):
            del self._buckets[name]

    def set_live_fraction(self, part: float, now_ms: float) -> None:
        """Sets the fraction of gateways that are live, itself included."""
        if part != self._live_fraction:
            for name, bucket in self._buckets.items():
                self._fill(name, bucket, now_ms)
            self._live_fraction = part

    def peek(
        self, name: str, now_ms: float, *, may_overdraw: bool = False
    ) -> Admission:
        """Returns what ``admit`` would, without taking a token."""
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
        """Returns the time until a limited team's bucket holds ``tokens``.

        A bucket with a smaller capacity only has to be full.

        Args:
            name: The team.
            tokens: The number of tokens.
            now_ms: The current time.
            may_overdraw: Whether the overdraft counts as available.
        """
        bucket = self._buckets[name]
        self._fill(name, bucket, now_ms)
        tokens = min(tokens, int(self.capacity(name)))
        level = bucket.level - self._estimate_unreported(name, now_ms)
        if may_overdraw:
            level += self._overdraft * self._live_fraction
        return max(0.0, (tokens - level) * self.interval_ms(name))

    def level(self, name: str) -> float:
        """Returns the level of a limited team's bucket at its last update."""
        return self._buckets[name].level

    def capacity(self, name: str) -> float:
        """Returns the tokens in a limited team's bucket when it is full."""
        return self._usable_capacity(self._teams[name])

    def interval_ms(self, name: str) -> float:
        """Returns the time in which a limited team's bucket gains a token."""
        return 1000.0 / (self._teams[name].rate_per_s * self._live_fraction)

    def is_limited(self, name: str) -> bool:
        """Returns whether a team has a rate limit."""
        team = self._teams.get(name)
        return team is not None and team.rate_per_s > 0

    def admit(
        self, name: str, now_ms: float, *, may_overdraw: bool = False
    ) -> Admission:
        """Takes one token from a team's bucket, if there is one."""
        admission = self.peek(name, now_ms, may_overdraw=may_overdraw)
        if admission.admitted:
            self.take(name, 1, now_ms)
        return admission

    def take(self, name: str, tokens: int, now_ms: float) -> None:
        """Takes tokens from a limited team's bucket, whatever its level."""
        if self.is_limited(name):
            bucket = self._buckets[name]
            bucket.level -= tokens
            bucket.admitted += tokens
            bucket.admitted_ms = now_ms

    def admitted(self, since_ms: float = float("-inf")) -> dict[str, int]:
        """Returns how many requests this gateway admitted, by team.

        Args:
            since_ms: Leaves out teams without an admission since then.
        """
        return {
            name: bucket.admitted
            for name, bucket in self._buckets.items()
            if bucket.admitted and bucket.admitted_ms >= since_ms
        }

    def apply_report(
        self,
        instance: str,
        admitted: dict[str, int],
        now_ms: float,
        *,
        is_whole: bool = True,
    ) -> None:
        """Debits what a peer has admitted since its last report.

        Args:
            instance: The peer's instance.
            admitted: What it admitted since its start, by team.
            now_ms: The current time.
            is_whole: Whether all teams that it ever admitted are included.
        """
        # What an instance admitted before its first report is not debited:
        # either it has just started, or this gateway has, and then
        # ``INITIAL_LEVEL_FRACTION`` accounts for it.
        is_first = instance not in self._instances
        if is_whole:
            self._instances.add(instance)
        self._reported_ms[instance] = now_ms
        for name, count in admitted.items():
            counters = self._peers.setdefault(name, {})
            counter = counters.get(instance)
            if counter is None:
                added = 0 if is_first else count
                counters[instance] = _PeerCounter(count, now_ms)
            else:
                added = max(0, count - counter.count)
                counter.apply_report(count, now_ms)
            bucket = self._buckets.get(name)
            if bucket is not None:
                self._fill(name, bucket, now_ms)
                bucket.level -= added

    def forget(self, instance: str) -> None:
        """Removes the counters of a peer instance that has been removed."""
        self._instances.discard(instance)
        self._reported_ms.pop(instance, None)
        for counters in self._peers.values():
            counters.pop(instance, None)

    def _estimate_unreported(self, name: str, now_ms: float) -> float:
        """Returns what peers have probably admitted since their last reports.

        A peer whose last report leaves the team out admits nothing for it.
        """
        counters = self._peers.get(name, {})
        return sum(
            counter.extrapolate(now_ms)
            for instance, counter in counters.items()
            if counter.reported_ms >= self._reported_ms.get(instance, 0.0)
        )

    def _usable_capacity(self, team: route_table.Team) -> float:
        """Returns the capacity that the live gateways may use."""
        return max(self._total_capacity(team) * self._live_fraction, 1.0)

    def _total_capacity(self, team: route_table.Team) -> float:
        return team.burst + team.rate_per_s * self._horizon_ms / 1000.0

    def _fill(self, name: str, bucket: _Bucket, now_ms: float) -> None:
        team = self._teams.get(name)
        elapsed_s = max(0.0, now_ms - bucket.filled_ms) / 1000.0
        bucket.filled_ms = now_ms
        if team is None:
            return
        # A level above a capacity that has just shrunk is lowered only by use.
        limit = self._usable_capacity(team)
        if bucket.level < limit:
            gained = team.rate_per_s * self._live_fraction * elapsed_s
            bucket.level = min(limit, bucket.level + gained)
