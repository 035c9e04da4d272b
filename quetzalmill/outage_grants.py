"""Decides which tokens may be sent before the store holds their bound.

Load pattern: the store is unavailable for seconds while programs start. None of
them has a stored bound, so all would be refused until the store returns.

A budget may be exceeded by the token limit of one turn. An owner that does not
know a program charges nothing for it, so a program without a stored bound may
send that much before its bound is stored. This uses up the excess: an owner
that may have lost such a program deducts nothing from its later bounds.
"""

import attrs

MIN_OUTAGE_MS = 600.0
"""How long the store must have been unavailable before turns that need it are
refused without waiting; longer than a write waits for one lost answer."""

UNCERTAIN_MS = 60_000.0
"""How long after an owner was lost without a handover an unknown program may be
one that it served; the longest retention of a conversation in use."""

MIN_CERTAIN_MS = 3_000.0
"""How long after such a loss nothing is sent before its bound is stored. Within
this time callers send the next turn of a program, which stores a bound again,
or give it up."""


@attrs.frozen
class OutageGrants:
    """The rules for one term of owning a partition.

    Attributes:
        lost_ms: When the term began, if the accounts of the owner before were
            lost; minus infinity otherwise.
    """

    lost_ms: float = float("-inf")

    def is_slack_used(self, now_ms: float) -> bool:
        """Returns whether an unknown program may have exceeded its bounds."""
        return now_ms - self.lost_ms < UNCERTAIN_MS

    def may_precede_bound(
        self,
        covered_tokens: int,
        *,
        durable_tokens: int,
        limit_tokens: int,
        now_ms: float,
    ) -> bool:
        """Returns whether tokens may be sent before their bound is stored.

        Args:
            covered_tokens: All that the program's turns may then have sent.
            durable_tokens: The program's stored bound.
            limit_tokens: The smallest token limit of its turns.
            now_ms: The time.
        """
        return (
            durable_tokens == 0
            and covered_tokens <= limit_tokens
            and now_ms - self.lost_ms >= MIN_CERTAIN_MS
        )
