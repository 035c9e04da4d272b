"""Token budgets of agent programs, as the one owner of a program keeps them.

A turn reserves the most that it may generate before it runs and is settled at
what it handed out. So that a new owner never grants what an old one already
did, a program's grants stay below a durable mark. A mark runs ahead of the
grants by a part of the budget, so that not each turn waits for a durable write
and a new owner that knows no more than the mark charges little too much.

What a turn reserves is far more than turns use, so the mark holds only the part
of it that was released. A turn begins with a first part and asks for the rest
before it hands out more. An owner that does not know the turn takes the rest
on: what was released before lies within the mark.

The mark is still higher than what was handed out. A budget may be exceeded by
the most of one turn, so the first owner that knows only the mark charges that
much less. It notes so in the mark, since doing it twice would exceed the budget
by two turns.
"""

import math

import attrs

_SLACK = "-"
"""Ends a mark from which an owner has charged one turn less."""

MARKS_IN_BUDGET = 8
"""Steps in which the durable mark of a program goes through its budget."""

FIRST_PART = 0.5
"""The part of a turn's most that is released as it begins. Engines of the users
stop at four times what turns use in the mean, so few turns ask for the rest."""

LOWERED_STEPS = 2
"""Steps by which a mark has to be too high to be lowered; fewer would cost a
write for nearly each turn."""


@attrs.define(kw_only=True)
class Turn:
    """What a turn that is not settled may hand out.

    Attributes:
        reserved_tokens: The most that it may still hand out for this account.
        released_tokens: The part of it that it may hand out without asking.
        before_tokens: What earlier owners released to it and the account holds
            as spent.
    """

    reserved_tokens: int
    released_tokens: int
    before_tokens: int = 0


@attrs.define(kw_only=True)
class Program:
    """The account of one program.

    Attributes:
        budget_tokens: What all its turns may generate.
        spent_tokens: What settled turns handed out.
        turns: The turns that are not settled.
        durable_tokens: The mark that a new owner would take as spent.
        asked_tokens: The highest mark that was to be made durable; while it is
            on its way, the mark is not lowered.
        touched_ms: When it was last used.
        is_estimated: Whether ``spent_tokens`` is only a mark, from which the
            most of one turn may be taken.
        slack_used: Whether that was done, by this owner or one before.
        slack_is_durable: Whether the store's mark says so.
    """

    budget_tokens: int
    spent_tokens: int = 0
    turns: dict[str, Turn] = attrs.field(factory=dict)
    durable_tokens: int = 0
    asked_tokens: int = 0
    touched_ms: float = 0.0
    is_estimated: bool = False
    slack_used: bool = False
    slack_is_durable: bool = False

    @property
    def granted_tokens(self) -> int:
        """What was handed out or may be, at most."""
        return self.spent_tokens + sum(
            turn.reserved_tokens for turn in self.turns.values()
        )

    @property
    def released_tokens(self) -> int:
        """What was handed out or may be without asking again."""
        return self.spent_tokens + sum(
            turn.released_tokens for turn in self.turns.values()
        )


@attrs.frozen
class Mark:
    """What the store holds of a program.

    Attributes:
        tokens: What may have been handed out, at most.
        slack_used: Whether an owner has charged one turn less than a mark.
    """

    tokens: int
    slack_used: bool

    def encode(self) -> bytes:
        """Returns the mark as the store holds it."""
        return f"{self.tokens}{_SLACK if self.slack_used else ''}".encode()


def decode_mark(value: bytes) -> Mark:
    """Returns a mark that the store holds."""
    text = value.decode()
    return Mark(int(text.removesuffix(_SLACK)), text.endswith(_SLACK))


@attrs.frozen
class Granted:
    """The turn may run once ``mark`` is durable; None if it is.

    Attributes:
        mark: What has to be durable first.
        is_first: Whether its program had been granted nothing before.
        released_tokens: What it may then hand out without asking again.
    """

    mark: Mark | None
    is_first: bool
    released_tokens: int


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
        is_estimated: Whether ``spent_tokens`` is only a mark.
        slack_used: Whether one turn less than a mark was charged.
        slack_is_durable: Whether the store's mark says so.
        released: What of it was released; all, for turns that are left out.
        before: What owners before had released to turns that the account's
            owner took on.
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
    """The accounts of the programs of one partition."""

    def __init__(self) -> None:
        self.programs: dict[str, Program] = {}

    def accounts(self) -> dict[str, Account]:
        """Returns all accounts, to hand them over."""
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
        """Takes over what the owner before knew exactly."""
        for program_id, account in accounts.items():
            self.programs[program_id] = Program(
                budget_tokens=account.durable_tokens,
                spent_tokens=account.spent_tokens,
                turns={
                    turn_id: Turn(
                        reserved_tokens=tokens,
                        released_tokens=account.released.get(turn_id, tokens),
                        before_tokens=account.before.get(turn_id, 0),
                    )
                    for turn_id, tokens in account.reserved.items()
                },
                durable_tokens=account.durable_tokens,
                touched_ms=now_ms,
                is_estimated=account.is_estimated,
                slack_used=account.slack_used,
                slack_is_durable=account.slack_is_durable,
            )

    def load(self, program_id: str, mark: Mark, now_ms: float) -> None:
        """Takes over what an earlier owner made durable."""
        self.programs[program_id] = Program(
            budget_tokens=mark.tokens,
            spent_tokens=mark.tokens,
            durable_tokens=mark.tokens,
            touched_ms=now_ms,
            is_estimated=True,
            slack_used=mark.slack_used,
            slack_is_durable=mark.slack_used,
        )

    def behind(self) -> dict[str, Mark]:
        """Returns the marks of programs whose durable ones fall short."""
        return {
            program_id: Mark(
                max(program.released_tokens, program.durable_tokens),
                program.slack_used,
            )
            for program_id, program in self.programs.items()
            if _falls_short(program, program.released_tokens)
        }

    def reserve(
        self,
        program_id: str,
        turn_id: str,
        *,
        budget_tokens: int,
        most_tokens: int,
        now_ms: float,
        is_whole: bool = False,
    ) -> Granted | Spent:
        """Reserves a turn's most tokens, or says that the budget is spent.

        Args:
            program_id: The program.
            turn_id: The turn.
            budget_tokens: What all turns of the program may hand out.
            most_tokens: What this one may.
            now_ms: The time.
            is_whole: Whether all of it is released at once, and the mark is
                to hold all that is reserved.
        """
        program = self._open(program_id, budget_tokens, most_tokens, now_ms)
        is_first = program.granted_tokens == 0
        if turn_id not in program.turns:
            granted = program.granted_tokens
            if granted + most_tokens > budget_tokens:
                return Spent(granted, budget_tokens)
            first_tokens = most_tokens if is_whole else first_part(most_tokens)
            program.turns[turn_id] = Turn(
                reserved_tokens=most_tokens, released_tokens=first_tokens
            )
        held_tokens = (
            program.granted_tokens if is_whole else program.released_tokens
        )
        return Granted(
            _mark_for(program, held_tokens),
            is_first,
            program.turns[turn_id].released_tokens,
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
    ) -> Granted | Spent:
        """Releases the rest of a turn, if the durable mark holds it.

        If not, nothing is released yet: the mark that is returned must become
        durable, and the question be asked again. So a turn that waits takes
        no room within the mark from others, and one whose mark was used by
        others meanwhile waits for the next.

        Args:
            program_id: The program.
            turn_id: The turn.
            budget_tokens: What all turns of the program may hand out.
            most_tokens: What this one may.
            before_tokens: What was released to it before. If this owner does
                not know the turn, an owner before released that within the
                mark, and the rest is now reserved here.
            now_ms: The time.
        """
        program = self._open(program_id, budget_tokens, most_tokens, now_ms)
        turn = program.turns.get(turn_id)
        if turn is None:
            granted = program.granted_tokens
            rest_tokens = max(0, most_tokens - before_tokens)
            if granted + rest_tokens > budget_tokens:
                return Spent(granted, budget_tokens)
            turn = Turn(
                reserved_tokens=rest_tokens,
                released_tokens=0,
                before_tokens=before_tokens,
            )
            program.turns[turn_id] = turn
        mark = _mark_for(
            program,
            program.released_tokens
            - turn.released_tokens
            + turn.reserved_tokens,
        )
        if mark is None:
            turn.released_tokens = turn.reserved_tokens
        return Granted(mark, False, turn.before_tokens + turn.reserved_tokens)

    def _open(
        self,
        program_id: str,
        budget_tokens: int,
        most_tokens: int,
        now_ms: float,
    ) -> Program:
        """Returns an account, charged with one turn less than a mark once."""
        program = self.programs.get(program_id)
        if program is None:
            program = Program(budget_tokens=budget_tokens)
            self.programs[program_id] = program
        program.budget_tokens = budget_tokens
        program.touched_ms = now_ms
        if program.is_estimated and not program.slack_used:
            program.spent_tokens = max(0, program.spent_tokens - most_tokens)
            program.slack_used = True
        program.is_estimated = False
        return program

    def made_durable(self, program_id: str, mark: Mark) -> None:
        """Records that a mark is durable."""
        program = self.programs.get(program_id)
        if program is not None:
            program.durable_tokens = max(program.durable_tokens, mark.tokens)
            program.slack_is_durable |= mark.slack_used

    def settle(
        self,
        program_id: str,
        turn_id: str,
        used_tokens: int,
        *,
        may_lower: bool = True,
    ) -> Mark | None:
        """Replaces a reservation by what the turn handed out.

        Args:
            program_id: The program.
            turn_id: The turn.
            used_tokens: What it handed out.
            may_lower: Whether no write of marks is under way. One that ended
                later would make a higher mark seem durable.

        Returns:
            A lower mark to make durable, or None. Several turns at once that
            hand out less than their most leave a mark far too high, and an
            owner that knows only the mark would end the program. Nothing is
            granted beyond the lower mark from now on, so it does no harm if
            the higher one stays.
        """
        program = self.programs.get(program_id)
        if program is None or turn_id not in program.turns:
            return None
        turn = program.turns.pop(turn_id)
        program.spent_tokens += max(0, used_tokens - turn.before_tokens)
        if not may_lower or program.is_estimated:
            return None
        if _has_mark_on_its_way(program):
            return None
        step = max(1, program.budget_tokens // MARKS_IN_BUDGET)
        lower_tokens = -(-program.released_tokens // step) * step
        if program.durable_tokens - lower_tokens < LOWERED_STEPS * step:
            return None
        program.durable_tokens = lower_tokens
        program.asked_tokens = lower_tokens
        return Mark(lower_tokens, program.slack_used)

    def forget_idle(self, idle_ms: float, now_ms: float) -> list[str]:
        """Drops programs unused for ``idle_ms``; returns their ids.

        No turn lasts that long, so what is still reserved belongs to turns
        whose settlement was lost.
        """
        old = [
            program_id
            for program_id, program in self.programs.items()
            if now_ms - program.touched_ms > idle_ms
        ]
        for program_id in old:
            del self.programs[program_id]
        return old


def first_part(most_tokens: int) -> int:
    """Returns what a turn that may hand out so much begins with."""
    return math.ceil(most_tokens * FIRST_PART)


def _mark_for(program: Program, held_tokens: int) -> Mark | None:
    """Returns the mark that has to be durable to hold so much, if it is not.

    It runs ahead, but leaves room for what else is reserved: an owner that
    knows only the mark is to hold the rests of those turns too.
    """
    if not _falls_short(program, held_tokens):
        return None
    step = max(1, program.budget_tokens // MARKS_IN_BUDGET)
    kept_tokens = program.granted_tokens - held_tokens
    ahead_tokens = max(
        held_tokens,
        min(
            program.budget_tokens - kept_tokens, -(-held_tokens // step) * step
        ),
    )
    program.asked_tokens = max(
        ahead_tokens, program.durable_tokens, program.asked_tokens
    )
    return Mark(program.asked_tokens, program.slack_used)


def _has_mark_on_its_way(program: Program) -> bool:
    """Returns whether a mark is asked for that is not durable yet."""
    return (
        program.asked_tokens > program.durable_tokens
        or program.slack_used != program.slack_is_durable
    )


def _falls_short(program: Program, held_tokens: int) -> bool:
    """Returns whether a new owner would charge a program too little."""
    return (
        held_tokens > program.durable_tokens
        or program.slack_used != program.slack_is_durable
    )
