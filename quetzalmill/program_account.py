"""The account of one program at the owner of its budget."""

import attrs


@attrs.define(kw_only=True)
class Turn:
    """The reservation of a turn that is not settled.

    Attributes:
        reserved_tokens: The most tokens that this account may still be charged
            for the turn.
        released_tokens: How many of these may be sent without a further
            request.
        before_tokens: Tokens that earlier owners released to the turn and that
            the account already counts as spent.
    """

    reserved_tokens: int
    released_tokens: int
    before_tokens: int = 0


@attrs.define(kw_only=True)
class Program:
    """The account of one program.

    Attributes:
        budget_tokens: The tokens that all its turns may generate.
        spent_tokens: The tokens that settled turns sent.
        turns: The turns that are not settled, by id.
        durable_tokens: The stored bound, which a new owner would take as spent.
        requested_tokens: The highest bound for which a write was requested;
            the bound is not lowered while that write is in flight.
        last_used_ms: When it was last used.
        is_estimated: Whether ``spent_tokens`` is only a stored bound, from
            which the token limit of one turn may be deducted.
        slack_used: Whether this or an earlier owner has done so.
        slack_is_durable: Whether the stored bound records it.
        slack_tokens: The smallest token limit of its turns.
    """

    budget_tokens: int
    spent_tokens: int = 0
    turns: dict[str, Turn] = attrs.field(factory=dict)
    durable_tokens: int = 0
    requested_tokens: int = 0
    last_used_ms: float = 0.0
    is_estimated: bool = False
    slack_used: bool = False
    slack_is_durable: bool = False
    slack_tokens: int = 0

    @property
    def granted_tokens(self) -> int:
        """Tokens spent, plus all that unsettled turns have reserved."""
        return self.spent_tokens + sum(
            turn.reserved_tokens for turn in self.turns.values()
        )

    @property
    def released_tokens(self) -> int:
        """Tokens spent, plus all that unsettled turns may send now."""
        return self.spent_tokens + sum(
            turn.released_tokens for turn in self.turns.values()
        )
