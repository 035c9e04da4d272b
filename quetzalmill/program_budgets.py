"""Token budgets of agent programs, as the one owner of a program keeps them.

A turn reserves the most that it may generate before it runs and is settled at
what it handed out. So that a new owner never grants what an old one already
did, a program's grants stay below a durable mark. A mark runs ahead of the
grants by a part of the budget, so that few turns wait for a durable write and
a new owner that knows no more than the mark charges little too much.
"""

import attrs

MARKS_IN_BUDGET = 4
"""Steps in which the durable mark of a program goes through its budget."""


@attrs.define(kw_only=True)
class Program:
    """The account of one program.

    Attributes:
        budget_tokens: What all its turns may generate.
        spent_tokens: What settled turns handed out.
        reserved: The most that unsettled turns may hand out, by turn.
        durable_tokens: The mark that a new owner would take as spent.
        touched_ms: When it was last used.
    """

    budget_tokens: int
    spent_tokens: int = 0
    reserved: dict[str, int] = attrs.field(factory=dict)
    durable_tokens: int = 0
    touched_ms: float = 0.0

    @property
    def granted_tokens(self) -> int:
        """What was handed out or may be, at most."""
        return self.spent_tokens + sum(self.reserved.values())


@attrs.frozen
class Granted:
    """The turn may run once ``mark_tokens`` is durable; None if it is."""

    mark_tokens: int | None


@attrs.frozen
class Spent:
    """The budget does not hold the turn."""

    granted_tokens: int
    budget_tokens: int


@attrs.frozen(kw_only=True)
class Account:
    """A program's account on its way from one owner to the next.

    Attributes:
        spent_tokens: What settled turns handed out.
        reserved: The most that unsettled turns may hand out, by turn.
        durable_tokens: The mark that is durable.
    """

    spent_tokens: int
    reserved: dict[str, int]
    durable_tokens: int


class BudgetLedger:
    """The accounts of the programs of one partition."""

    def __init__(self) -> None:
        self.programs: dict[str, Program] = {}

    def accounts(self) -> dict[str, Account]:
        """Returns all accounts, to hand them over."""
        return {
            program_id: Account(
                spent_tokens=program.spent_tokens,
                reserved=dict(program.reserved),
                durable_tokens=program.durable_tokens,
            )
            for program_id, program in self.programs.items()
        }

    def take_over(self, accounts: dict[str, Account], now_ms: float) -> None:
        """Takes over what the owner before knew exactly."""
        for program_id, account in accounts.items():
            self.programs[program_id] = Program(
                budget_tokens=account.durable_tokens,
                spent_tokens=account.spent_tokens,
                reserved=dict(account.reserved),
                durable_tokens=account.durable_tokens,
                touched_ms=now_ms,
            )

    def load(self, program_id: str, mark_tokens: int, now_ms: float) -> None:
        """Takes over what an earlier owner made durable."""
        self.programs[program_id] = Program(
            budget_tokens=mark_tokens,
            spent_tokens=mark_tokens,
            durable_tokens=mark_tokens,
            touched_ms=now_ms,
        )

    def behind(self) -> dict[str, int]:
        """Returns what was granted beyond the durable marks, by program."""
        return {
            program_id: program.granted_tokens
            for program_id, program in self.programs.items()
            if program.granted_tokens > program.durable_tokens
        }

    def reserve(
        self,
        program_id: str,
        turn_id: str,
        *,
        budget_tokens: int,
        most_tokens: int,
        now_ms: float,
    ) -> Granted | Spent:
        """Reserves a turn's most tokens, or says that the budget is spent."""
        program = self.programs.get(program_id)
        if program is None:
            program = Program(budget_tokens=budget_tokens)
            self.programs[program_id] = program
        program.budget_tokens = budget_tokens
        program.touched_ms = now_ms
        if turn_id not in program.reserved:
            granted = program.granted_tokens
            if granted + most_tokens > budget_tokens:
                return Spent(granted, budget_tokens)
            program.reserved[turn_id] = most_tokens
        if program.granted_tokens <= program.durable_tokens:
            return Granted(None)
        step = max(1, budget_tokens // MARKS_IN_BUDGET)
        steps = -(-program.granted_tokens // step)
        return Granted(
            max(program.granted_tokens, min(budget_tokens, steps * step))
        )

    def made_durable(self, program_id: str, mark_tokens: int) -> None:
        """Records that a mark is durable."""
        program = self.programs.get(program_id)
        if program is not None:
            program.durable_tokens = max(program.durable_tokens, mark_tokens)

    def settle(self, program_id: str, turn_id: str, used_tokens: int) -> None:
        """Replaces a reservation by what the turn handed out."""
        program = self.programs.get(program_id)
        if program is not None and turn_id in program.reserved:
            del program.reserved[turn_id]
            program.spent_tokens += used_tokens

    def forget_idle(self, idle_ms: float, now_ms: float) -> list[str]:
        """Drops programs unused for ``idle_ms``; returns their ids."""
        old = [
            program_id
            for program_id, program in self.programs.items()
            if not program.reserved and now_ms - program.touched_ms > idle_ms
        ]
        for program_id in old:
            del self.programs[program_id]
        return old
