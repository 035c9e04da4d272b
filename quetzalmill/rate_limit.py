"""Token buckets that hold one entry's fraction of the teams' rates.

Each entry mints ``rate x fraction`` and keeps at most ``burst x fraction`` of
every team's tokens. The fractions of all entries sum to at most one, so all
entries together never admit more than rate x window + burst. Tokens are never
transferred to another process; ``shares`` decides who holds which fraction.
"""

import attrs

_TOLERANCE = 1e-9


@attrs.define(kw_only=True)
class Bucket:
    """The tokens of one team at this entry.

    Attributes:
        rate_per_s: The team's full rate in requests per second.
        burst: The team's full burst in requests.
        fraction: This entry's fraction of both, from 0 to 1.
        tokens: Number of requests that may be admitted now.
        filled_ms: When ``tokens`` was last updated.
    """

    rate_per_s: float
    burst: float
    fraction: float
    tokens: float
    filled_ms: float

    def take(self, wanted: int, now_ms: float) -> int:
        """Admits up to ``wanted`` requests and returns how many."""
        self.fill(now_ms)
        granted = min(wanted, int(self.tokens + _TOLERANCE))
        self.tokens = max(0.0, self.tokens - granted)
        return granted

    def fill(self, now_ms: float) -> None:
        """Mints the tokens due since the last call."""
        elapsed_ms = max(0.0, now_ms - self.filled_ms)
        minted = self.rate_per_s * self.fraction * elapsed_ms / 1000.0
        capacity = self.burst * self.fraction
        self.tokens = min(capacity, self.tokens + minted)
        self.filled_ms = max(self.filled_ms, now_ms)

    def change(
        self, rate_per_s: float, burst: float, fraction: float, now_ms: float
    ) -> None:
        """Changes the parameters; keeps tokens up to the new capacity."""
        self.fill(now_ms)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.fraction = fraction
        self.tokens = min(self.tokens, burst * fraction)

    def void(self, now_ms: float) -> None:
        """Clears the bucket; nothing is minted for the time before now."""
        self.tokens = 0.0
        self.filled_ms = now_ms

    def next_token_ms(self, now_ms: float) -> float | None:
        """Returns the time until one token is due, None for never."""
        self.fill(now_ms)
        if self.tokens + _TOLERANCE >= 1.0:
            return 0.0
        speed = self.rate_per_s * self.fraction
        if speed <= 0.0 or self.burst * self.fraction < 1.0:
            return None
        return (1.0 - self.tokens) / speed * 1000.0
