"""Accounting of the token budgets of agent programs.

Each program has one owner, which keeps its account here. A turn reserves its
token limit before it runs and is settled at the tokens it sent to the caller.
So that a new owner never grants tokens that a previous owner already granted,
the tokens released to a program's turns stay below a bound in the store. The
bound is raised in steps of a fraction of the budget, so that not every turn
waits for a write and a new owner that knows only the bound overcharges little.

Turns use far fewer tokens than they reserve, so the stored bound covers only
the released part of a reservation. A turn starts with an initial release and
requests the remaining tokens before it sends more. An owner that does not know
the turn reserves only these: the bound already covers the earlier release.

The stored bound is still higher than the tokens sent. A budget may be exceeded
by the token limit of one turn, so the first owner that knows only the bound
charges that much less. It records this in the stored value, because a second
deduction would exceed the budget by the limits of two turns.
"""

import math

import attrs

from quetzalmill import outage_grants as grants_module
from quetzalmill import program_account
from quetzalmill import stored_bound

STEPS_PER_BUDGET = 8
"""Steps from zero to the whole budget in which the stored bound is raised."""

INITIAL_SHARE = 0.5
"""Fraction of a turn's token limit that is released when it starts. The users'
engines stop at four times the mean use, so few turns request more."""

MIN_LOWERED_STEPS = 2
"""Excess, in steps, from which a stored bound is lowered; fewer steps would
cost a write for nearly every turn."""


@attrs.frozen
class Granted:
    """The budget covers the turn.

    Attributes:
        bound: The bound to store before the turn may go on; None if the stored
            one suffices.
        is_first: Whether its program had been granted nothing before.
        released_tokens: The tokens that it may then send without a further
            request.
        is_provisional: Whether it may go on before the bound is stored.
    """

    bound: stored_bound.StoredBound | None
    is_first: bool
    released_tokens: int
    is_provisional: bool = False


@attrs.frozen
class Spent:
    """The budget does not cover the turn."""

    granted_tokens: int
    budget_tokens: int

    def reason(self) -> str:
        """Returns the text of the refusal."""
        return (
            f"{self.granted_tokens} of {self.budget_tokens} tokens are granted"
        )


@attrs.frozen(kw_only=True)
class Account:
    """A program's account as one owner hands it over to the next.

    Attributes:
        spent_tokens: The tokens that settled turns sent.
        reserved: The reserved tokens of unsettled turns, by turn.
        durable_tokens: The stored bound.
        is_estimated: Whether ``spent_tokens`` is only a stored bound.
        slack_used: Whether one turn's limit was deducted from a stored bound.
        slack_is_durable: Whether the stored bound records this.
        released: How many of the reserved tokens were released, by turn; all
            of them for turns that are left out.
        before: Tokens that earlier owners had released to turns that this
            account's owner did not admit, by turn.
    """

    spent_tokens: int
    reserved: dict[str, int]
    durable_tokens: int
    is_estimated: bool
    slack_used: bool
    slack_is_durable: bool
    released: dict[str, int] = attrs.field(factory=dict)
    before: dict[str, int] = attrs.field(factory=dict)


class BudgetLedger:
    """The accounts of the programs of one partition.

    Args:
        outage_grants: What may be sent while the store is unavailable.
    """

    def __init__(
        self,
        outage_grants: grants_module.OutageGrants | None = None,
    ) -> None:
        self.programs: dict[str, program_account.Program] = {}
        self._outage_grants = outage_grants or grants_module.OutageGrants()

    @property
    def lost_ms(self) -> float:
        """When the accounts of an owner before were lost."""
        return self._outage_grants.lost_ms

    def accounts(self) -> dict[str, Account]:
        """Returns all accounts for handing over, by program."""
        return {
            program_id: Account(
                spent_tokens=program.spent_tokens,
                reserved={
                    turn_id: turn.reserved_tokens
                    for turn_id, turn in program.turns.items()
                },
                durable_tokens=program.durable_tokens,
                is_estimated=program.is_estimated,
                slack_used=program.slack_used,
                slack_is_durable=program.slack_is_durable,
                released={
                    turn_id: turn.released_tokens
                    for turn_id, turn in program.turns.items()
                },
                before={
                    turn_id: turn.before_tokens
                    for turn_id, turn in program.turns.items()
                    if turn.before_tokens
                },
            )
            for program_id, program in self.programs.items()
        }

    def take_over(self, accounts: dict[str, Account], now_ms: float) -> None:
        """Adopts the exact accounts of the previous owner."""
        for program_id, account in accounts.items():
            self.programs[program_id] = program_account.Program(
                budget_tokens=account.durable_tokens,
                spent_tokens=account.spent_tokens,
                turns={
                    turn_id: program_account.Turn(
                        reserved_tokens=tokens,
                        released_tokens=account.released.get(turn_id, tokens),
                        before_tokens=account.before.get(turn_id, 0),
                    )
                    for turn_id, tokens in account.reserved.items()
                },
                durable_tokens=account.durable_tokens,
                last_used_ms=now_ms,
                is_estimated=account.is_estimated,
                slack_used=account.slack_used,
                slack_is_durable=account.slack_is_durable,
            )

    def load(
        self, program_id: str, bound: stored_bound.StoredBound, now_ms: float
    ) -> None:
        """Opens an account from the bound that an earlier owner stored."""
        self.programs[program_id] = program_account.Program(
            budget_tokens=bound.tokens,
            spent_tokens=bound.tokens,
            durable_tokens=bound.tokens,
            last_used_ms=now_ms,
            is_estimated=True,
            slack_used=bound.slack_used,
            slack_is_durable=bound.slack_used,
        )

    def missing_bounds(self) -> dict[str, stored_bound.StoredBound]:
        """Returns the bounds to write for programs whose stored one is low."""
        return {
            program_id: stored_bound.StoredBound(
                max(program.released_tokens, program.durable_tokens),
                program.slack_used,
            )
            for program_id, program in self.programs.items()
            if _needs_new_bound(program, program.released_tokens)
        }

    def reserve(
        self,
        program_id: str,
        turn_id: str,
        *,
        budget_tokens: int,
        most_tokens: int,
        now_ms: float,
        release_all: bool = False,
        may_precede_bound: bool = False,
    ) -> Granted | Spent:
        """Reserves the token limit of a turn if the budget covers it.

        Args:
            program_id: The program.
            turn_id: The turn.
            budget_tokens: The tokens that all turns of the program may send.
            most_tokens: The token limit of this turn.
            now_ms: The time.
            release_all: Whether the whole limit is released at once, and the
                stored bound has to cover all reservations.
            may_precede_bound: Whether tokens may be sent before their bound is
                stored, as the store is unavailable.
        """
        program = self._open_account(
            program_id, budget_tokens, most_tokens, now_ms
        )
        is_first = program.granted_tokens == 0
        # No turn starts below a stored bound that cannot be raised, as it might
        # have to stop halfway or take what running turns still need.
        release_all |= may_precede_bound and program.durable_tokens > 0
        if turn_id not in program.turns:
            granted = program.granted_tokens
            if granted + most_tokens > budget_tokens:
                return Spent(granted, budget_tokens)
            initial_tokens = (
                most_tokens if release_all else initial_release(most_tokens)
            )
            program.turns[turn_id] = program_account.Turn(
                reserved_tokens=most_tokens, released_tokens=initial_tokens
            )
        covered_tokens = (
            program.granted_tokens if release_all else program.released_tokens
        )
        return Granted(
            _bound_for(program, covered_tokens),
            is_first,
            program.turns[turn_id].released_tokens,
            may_precede_bound
            and self._is_within_slack(program, covered_tokens, now_ms),
        )

    def release(
        self,
        program_id: str,
        turn_id: str,
        *,
        budget_tokens: int,
        most_tokens: int,
        before_tokens: int,
        now_ms: float,
        may_precede_bound: bool = False,
    ) -> Granted | Spent:
        """Releases the remaining tokens of a turn if the stored bound allows.

        Otherwise nothing is released yet: the caller has to store the returned
        bound and call again. So a waiting turn takes no tokens below the bound
        from other turns, and if others have used the raised bound by then, it
        waits for the next one.

        Args:
            program_id: The program.
            turn_id: The turn.
            budget_tokens: The tokens that all turns of the program may send.
            most_tokens: The token limit of this turn.
            before_tokens: The tokens released to it so far. If this owner does
                not know the turn, an earlier owner released them within the
                stored bound, and only the remaining ones are reserved here.
            now_ms: The time.
            may_precede_bound: Whether tokens may be sent before their bound is
                stored, as the store is unavailable.
        """
        program = self._open_account(
            program_id, budget_tokens, most_tokens, now_ms
        )
        turn = program.turns.get(turn_id)
        if turn is None:
            granted = program.granted_tokens
            rest_tokens = max(0, most_tokens - before_tokens)
            if granted + rest_tokens > budget_tokens:
                return Spent(granted, budget_tokens)
            turn = program_account.Turn(
                reserved_tokens=rest_tokens,
                released_tokens=0,
                before_tokens=before_tokens,
            )
            program.turns[turn_id] = turn
        covered_tokens = (
            program.released_tokens
            - turn.released_tokens
            + turn.reserved_tokens
        )
        bound = _bound_for(program, covered_tokens)
        is_provisional = may_precede_bound and self._is_within_slack(
            program, covered_tokens, now_ms
        )
        if bound is None or is_provisional:
            turn.released_tokens = turn.reserved_tokens
        return Granted(
            bound,
            False,
            turn.before_tokens + turn.reserved_tokens,
            is_provisional,
        )

    def _is_within_slack(
        self,
        program: program_account.Program,
        covered_tokens: int,
        now_ms: float,
    ) -> bool:
        return self._outage_grants.may_precede_bound(
            covered_tokens,
            durable_tokens=program.durable_tokens,
            limit_tokens=program.slack_tokens,
            now_ms=now_ms,
        )

    def _open_account(
        self,
        program_id: str,
        budget_tokens: int,
        most_tokens: int,
        now_ms: float,
    ) -> program_account.Program:
        """Returns an account, creating it if needed.

        Deducts one turn's limit from an account that was opened from a stored
        bound, unless an owner has done so before.
        """
        program = self.programs.get(program_id)
        if program is None:
            program = program_account.Program(
                budget_tokens=budget_tokens,
                slack_used=self._outage_grants.is_slack_used(now_ms),
            )
            self.programs[program_id] = program
        program.budget_tokens = budget_tokens
        program.slack_tokens = min(
            program.slack_tokens or most_tokens, most_tokens
        )
        program.last_used_ms = now_ms
        if program.is_estimated and not program.slack_used:
            program.spent_tokens = max(0, program.spent_tokens - most_tokens)
            program.slack_used = True
        program.is_estimated = False
        return program

    def has_turn(self, program_id: str, turn_id: str) -> bool:
        """Returns whether a turn has a reservation."""
        program = self.programs.get(program_id)
        return program is not None and turn_id in program.turns

    def made_durable(
        self, program_id: str, bound: stored_bound.StoredBound
    ) -> None:
        """Records that a bound was stored."""
        program = self.programs.get(program_id)
        if program is not None:
            program.durable_tokens = max(program.durable_tokens, bound.tokens)
            program.slack_is_durable |= bound.slack_used

    def settle(
        self,
        program_id: str,
        turn_id: str,
        used_tokens: int,
        *,
        may_lower: bool = True,
    ) -> stored_bound.StoredBound | None:
        """Replaces a turn's reservation by the tokens that it sent.

        Args:
            program_id: The program.
            turn_id: The turn.
            used_tokens: The tokens that it sent.
            may_lower: Whether no write of bounds is in flight. A write that
                completed later would make a higher bound seem stored.

        Returns:
            A lower bound to store, or None. Parallel turns that send less than
            their limits leave the bound far too high, and an owner that knows
            only the bound would end the program. Nothing is granted beyond the
            lower bound from now on, so it does no harm if the write is lost.
        """
        program = self.programs.get(program_id)
        if program is None or turn_id not in program.turns:
            return None
        turn = program.turns.pop(turn_id)
        program.spent_tokens += max(0, used_tokens - turn.before_tokens)
        if not may_lower or program.is_estimated:
            return None
        if _is_bound_in_flight(program):
            return None
        step = max(1, program.budget_tokens // STEPS_PER_BUDGET)
        lower_tokens = -(-program.released_tokens // step) * step
        if program.durable_tokens - lower_tokens < MIN_LOWERED_STEPS * step:
            return None
        program.durable_tokens = lower_tokens
        program.requested_tokens = lower_tokens
        return stored_bound.StoredBound(lower_tokens, program.slack_used)

    def forget_idle(self, idle_ms: float, now_ms: float) -> list[str]:
        """Drops programs unused for ``idle_ms`` and returns their ids.

        No turn lasts that long, so remaining reservations belong to turns
        whose settlement was lost.
        """
        old = [
            program_id
            for program_id, program in self.programs.items()
            if now_ms - program.last_used_ms > idle_ms
        ]
        for program_id in old:
            del self.programs[program_id]
        return old


def initial_release(most_tokens: int) -> int:
    """Returns the tokens released at the start of a turn with this limit."""
    return math.ceil(most_tokens * INITIAL_SHARE)


def _bound_for(
    program: program_account.Program, covered_tokens: int
) -> stored_bound.StoredBound | None:
    """Returns the bound to store so that it covers these tokens.

    None if the stored one does. The bound is rounded up to a step but leaves
    the other reserved tokens free, so that an owner that knows only the bound
    can still release the remaining tokens of the running turns.
    """
    if not _needs_new_bound(program, covered_tokens):
        return None
    step = max(1, program.budget_tokens // STEPS_PER_BUDGET)
    unreleased_tokens = program.granted_tokens - covered_tokens
    bound_tokens = max(
        covered_tokens,
        min(
            program.budget_tokens - unreleased_tokens,
            -(-covered_tokens // step) * step,
        ),
    )
    program.requested_tokens = max(
        bound_tokens, program.durable_tokens, program.requested_tokens
    )
    return stored_bound.StoredBound(
        program.requested_tokens, program.slack_used
    )


def _is_bound_in_flight(program: program_account.Program) -> bool:
    """Returns whether a requested bound is not stored yet."""
    return (
        program.requested_tokens > program.durable_tokens
        or program.slack_used != program.slack_is_durable
    )


def _needs_new_bound(
    program: program_account.Program, covered_tokens: int
) -> bool:
    """Returns whether a new owner would charge a program too little."""
    return (
        covered_tokens > program.durable_tokens
        or program.slack_used != program.slack_is_durable
    )
