"""Tests of grants while the store is unavailable, over several owners."""

import attrs
import hypothesis
from hypothesis import strategies as st

from quetzalmill import outage_grants
from quetzalmill import program_budgets
from quetzalmill import stored_bound

_BUDGET = 40
_LIMIT = 10
_PROGRAM = "p"

_OPS = st.lists(
    st.sampled_from(
        ["run", "run", "turn", "release", "settle"]
        + ["down", "up", "crash", "wait", "hand_over"]
    ),
    max_size=40,
)


@attrs.define
class _Partition:
    """Owners of one program in turn, and what its turns may have sent.

    Attributes:
        ledger: The owner's accounts; None while there is no owner.
        stored: The bound in the store.
        pending: The bound that waits for the store.
        sent: The tokens that each turn may have sent.
    """

    ledger: program_budgets.BudgetLedger | None = attrs.field(
        factory=program_budgets.BudgetLedger
    )
    stored: stored_bound.StoredBound | None = None
    pending: stored_bound.StoredBound | None = None
    is_up: bool = True
    now_ms: float = 0.0
    turns: int = 0
    sent: dict[str, int] = attrs.field(factory=dict)
    running: list[str] = attrs.field(factory=list)
    granted_while_down: int = 0

    def turn(self) -> None:
        """Starts a turn; it may send all that is released to it."""
        if self.ledger is None:
            return
        self.turns += 1
        turn_id = str(self.turns)
        outcome = self.ledger.reserve(
            _PROGRAM,
            turn_id,
            budget_tokens=_BUDGET,
            most_tokens=_LIMIT,
            now_ms=self.now_ms,
            may_precede_bound=not self.is_up,
        )
        if isinstance(outcome, program_budgets.Spent):
            return
        if self._may_go_on(outcome):
            self.sent[turn_id] = outcome.released_tokens
            self.running.append(turn_id)
            self.granted_while_down += not self.is_up
        else:
            self._settle(turn_id, 0)

    def release(self) -> None:
        """Requests the rest of the oldest running turn's tokens."""
        if self.ledger is None or not self.running:
            return
        turn_id = self.running[0]
        outcome = self.ledger.release(
            _PROGRAM,
            turn_id,
            budget_tokens=_BUDGET,
            most_tokens=_LIMIT,
            before_tokens=self.sent[turn_id],
            now_ms=self.now_ms,
            may_precede_bound=not self.is_up,
        )
        if isinstance(outcome, program_budgets.Granted) and self._may_go_on(
            outcome
        ):
            self.sent[turn_id] = max(
                self.sent[turn_id], outcome.released_tokens
            )

    def settle(self) -> None:
        """Ends the oldest running turn."""
        if self.running and self.ledger is not None:
            turn_id = self.running.pop(0)
            self._settle(turn_id, self.sent[turn_id])

    def run(self) -> None:
        """Runs a turn that sends all that it may."""
        self.turn()
        self.release()
        self.settle()

    def crash(self) -> None:
        """Loses the owner; another one needs the store to take over."""
        self.ledger = self.pending = None
        if self.is_up:
            self._take_over()

    def hand_over(self) -> None:
        """Another owner takes over the accounts of the one before."""
        if self.ledger is None or not self.is_up:
            return
        before = self.ledger
        self.ledger = program_budgets.BudgetLedger(
            outage_grants.OutageGrants(before.lost_ms)
        )
        if self.stored is not None:
            self.ledger.load(_PROGRAM, self.stored, self.now_ms)
        self.ledger.take_over(before.accounts(), self.now_ms)

    def up(self) -> None:
        """Ends an outage; what waited is stored."""
        self.is_up = True
        if self.ledger is None:
            self._take_over()
        elif self.pending is not None:
            self._store(self.pending)

    def wait(self) -> None:
        """Lets time pass, in which the caller sends its next turn."""
        if self.is_up:
            self.turn()
        self.now_ms += outage_grants.MIN_CERTAIN_MS

    def _take_over(self) -> None:
        self.ledger = program_budgets.BudgetLedger(
            outage_grants.OutageGrants(lost_ms=self.now_ms)
        )
        if self.stored is not None:
            self.ledger.load(_PROGRAM, self.stored, self.now_ms)

    def _may_go_on(self, outcome: program_budgets.Granted) -> bool:
        if outcome.bound is None:
            return True
        if self.is_up:
            self._store(outcome.bound)
            return self.ledger is not None
        if outcome.is_provisional:
            self.pending = outcome.bound
        return outcome.is_provisional

    def _store(self, bound: stored_bound.StoredBound) -> None:
        assert self.ledger is not None
        self.stored, self.pending = bound, None
        self.ledger.made_durable(_PROGRAM, bound)

    def _settle(self, turn_id: str, used_tokens: int) -> None:
        assert self.ledger is not None
        lower = self.ledger.settle(
            _PROGRAM, turn_id, used_tokens, may_lower=self.pending is None
        )
        if lower is not None and self.is_up:
            self.stored = lower


def _play(ops: list[str]) -> _Partition:
    partition = _Partition()
    for op in ops:
        match op:
            case "down":
                partition.is_up = False
            case _:
                getattr(partition, op)()
        assert sum(partition.sent.values()) <= _BUDGET + _LIMIT, op
    return partition


class TestBudget:
    """A program sends at most its budget and the limit of one turn."""

    @hypothesis.given(_OPS)
    @hypothesis.settings(max_examples=600, deadline=None)
    def test_budget_holds_over_outages_and_lost_owners(
        self, ops: list[str]
    ) -> None:
        """Guards against an excess by the limits of two turns."""
        _play(ops)

    def test_program_that_starts_in_an_outage_is_served(self) -> None:
        """Guards against refusing all programs until the store returns."""
        partition = _play(["down", "run"])
        assert partition.granted_while_down == 1

    def test_outage_grants_no_more_than_one_limit(self) -> None:
        """The next owner would know nothing of a second one."""
        partition = _play(["down", *["run"] * 3])
        assert sum(partition.sent.values()) == _LIMIT

    def test_stored_bound_is_not_exceeded(self) -> None:
        """The next owner deducts one turn's limit from it already."""
        partition = _play(["run", "down", *["run"] * 3])
        assert partition.stored is not None
        assert sum(partition.sent.values()) <= partition.stored.tokens

    def test_program_with_a_stored_bound_gets_nothing_beyond_it(self) -> None:
        """An earlier owner may have deducted a turn's limit from it."""
        assert not outage_grants.OutageGrants().may_precede_bound(
            8, durable_tokens=5, limit_tokens=_LIMIT, now_ms=0.0
        )

    def test_lost_grant_is_not_deducted_again(self) -> None:
        """The program is unknown to each new owner once."""
        ops = ["down", "run", "crash", "up"]
        ops += [*["run"] * 3, "crash", *["run"] * 4]
        assert sum(_play(ops).sent.values()) <= _BUDGET + _LIMIT

    def test_handover_keeps_what_is_known_of_a_loss(self) -> None:
        """Guards against a deduction after an unstored grant."""
        ops = ["down", "run", "crash", "up", "hand_over"]
        ops += [*["run"] * 3, "crash", *["run"] * 4]
        _play(ops)

    def test_nothing_is_granted_right_after_a_loss(self) -> None:
        """The lost owner may have granted tokens in the same outage."""
        ops = ["down", "run", "crash", "up", "down"]
        before = _play(ops).granted_while_down
        assert _play([*ops, "turn"]).granted_while_down == before
