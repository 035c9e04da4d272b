"""Bounds retries to a fraction of the traffic, not by a count per request."""

MAX_BALANCE = 10.0
"""Retries that may accumulate while few are needed."""


class RetryBudget:
    """The retries that a process may still make."""

    def __init__(self, fraction: float) -> None:
        self._fraction = fraction
        self._balance = MAX_BALANCE
        self.spent = 0
        self.denied = 0

    def first_attempt(self) -> None:
        """Counts a request, which earns a fraction of a retry."""
        self._balance = min(MAX_BALANCE, self._balance + self._fraction)

    def may_spend(self) -> bool:
        """Returns whether a retry is available, without spending it."""
        return self._balance >= 1.0

    def take(self) -> bool:
        """Spends one retry and returns whether one was available."""
        if self._balance < 1.0:
            self.denied += 1
            return False
        self._balance -= 1.0
        self.spent += 1
        return True
