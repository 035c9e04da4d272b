"""Bounds retries by a share of the traffic instead of a count per request."""

MAX_BALANCE = 10.0
"""Retries that may be saved up in quiet times."""


class RetryBudget:
    """Retries that a process may still spend."""

    def __init__(self, share: float) -> None:
        self._share = share
        self._balance = MAX_BALANCE
        self.spent = 0
        self.denied = 0

    def first_attempt(self) -> None:
        """Counts a request, which earns a share of a retry."""
        self._balance = min(MAX_BALANCE, self._balance + self._share)

    def may_spend(self) -> bool:
        """Returns whether a retry is left, and spends none."""
        return self._balance >= 1.0

    def take(self) -> bool:
        """Spends one retry and returns whether there was one."""
        if self._balance < 1.0:
            self.denied += 1
            return False
        self._balance -= 1.0
        self.spent += 1
        return True
