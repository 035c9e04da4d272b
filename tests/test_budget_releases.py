"""Tests of how the ledger releases tokens to running turns step by step."""

import random

import attrs
import pytest

from quetzalmill import program_budgets
from quetzalmill import stored_bound

_BUDGET = 100


def _reserve(
    ledger: program_budgets.BudgetLedger, turn_id: str, most_tokens: int
) -> program_budgets.Granted | program_budgets.Spent:
    return ledger.reserve(
        "p",
        turn_id,
        budget_tokens=_BUDGET,
        most_tokens=most_tokens,
        now_ms=0.0,
    )


def _release(
    ledger: program_budgets.BudgetLedger,
    turn_id: str,
    most_tokens: int,
    before_tokens: int,
) -> program_budgets.Granted | program_budgets.Spent:
    return ledger.release(
        "p",
        turn_id,
        budget_tokens=_BUDGET,
        most_tokens=most_tokens,
        before_tokens=before_tokens,
        now_ms=0.0,
    )


def _owner_from_bound(
    bound: stored_bound.StoredBound,
) -> program_budgets.BudgetLedger:
    """Returns the accounts of an owner that knows only the stored bound."""
    ledger = program_budgets.BudgetLedger()
    ledger.load("p", stored_bound.decode(bound.encode()), 0.0)
    return ledger


class TestReleases:
    """Turns that start with a fraction of their token limit."""

    def test_bound_covers_released_tokens(self) -> None:
        ledger = program_budgets.BudgetLedger()
        outcome = _reserve(ledger, "1", 60)
        assert isinstance(outcome, program_budgets.Granted)
        assert outcome.released_tokens == 30
        assert outcome.bound == stored_bound.StoredBound(36, False)
        assert ledger.programs["p"].granted_tokens == 60

    def test_nothing_is_released_before_the_bound_is_stored(self) -> None:
        ledger = program_budgets.BudgetLedger()
        outcome = _reserve(ledger, "1", 60)
        assert isinstance(outcome, program_budgets.Granted)
        assert outcome.bound is not None
        ledger.made_durable("p", outcome.bound)
        for _ in range(3):
            outcome = _release(ledger, "1", 60, 30)
            assert isinstance(outcome, program_budgets.Granted)
            assert outcome.bound == stored_bound.StoredBound(60, False)
            assert ledger.programs["p"].released_tokens == 30
        assert outcome.bound is not None
        ledger.made_durable("p", outcome.bound)
        for _ in range(3):
            outcome = _release(ledger, "1", 60, 30)
            assert isinstance(outcome, program_budgets.Granted)
            assert outcome.bound is None
            assert ledger.programs["p"].released_tokens == 60

    def test_unknown_turn_is_refused_what_the_budget_does_not_cover(
        self,
    ) -> None:
        ledger = _owner_from_bound(stored_bound.StoredBound(90, True))
        assert isinstance(_release(ledger, "1", 30, 15), program_budgets.Spent)
        assert isinstance(
            _release(ledger, "2", 20, 10), program_budgets.Granted
        )

    def test_account_of_an_older_version_counts_all_as_released(self) -> None:
        ledger = program_budgets.BudgetLedger()
        account = program_budgets.Account(
            spent_tokens=10,
            reserved={"1": 30},
            durable_tokens=48,
            is_estimated=False,
            slack_used=False,
            slack_is_durable=False,
        )
        ledger.take_over({"p": account}, 0.0)
        assert ledger.programs["p"].released_tokens == 40


@attrs.define
class _RunningTurn:
    released_tokens: int
    used_tokens: int = 0


class _FailureSimulation:
    """Parallel turns of one program whose owner crashes or is replaced.

    Attributes:
        sent_tokens: Tokens that were sent to callers.
    """

    _MAX_TOKENS = 20

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._ledger = program_budgets.BudgetLedger()
        self._superseded = program_budgets.BudgetLedger()
        self._stored: stored_bound.StoredBound | None = None
        self._running: dict[str, _RunningTurn] = {}
        self.sent_tokens = 0

    def run(self) -> None:
        """Runs 150 steps, then sends all tokens that may still be sent."""
        for turn in range(150):
            self._start_turn(str(turn))
            for turn_id in list(self._running):
                self._continue_turn(turn_id)
            if self._random.random() < 0.08:
                self._lose_owner()
            elif self._random.random() < 0.05:
                self._hand_over()
        for turn_id, running in self._running.items():
            self._request_release(self._ledger, turn_id)
            self.sent_tokens += running.released_tokens - running.used_tokens

    def _start_turn(self, turn_id: str) -> None:
        ledger = self._some_ledger()
        outcome = _reserve(ledger, turn_id, self._MAX_TOKENS)
        if isinstance(outcome, program_budgets.Granted) and self._is_durable(
            ledger, outcome.bound
        ):
            self._running[turn_id] = _RunningTurn(outcome.released_tokens)

    def _continue_turn(self, turn_id: str) -> None:
        running = self._running[turn_id]
        left = running.released_tokens - running.used_tokens
        if left == 0 and running.released_tokens < self._MAX_TOKENS:
            self._request_release(self._some_ledger(), turn_id)
        used = self._random.randint(0, left)
        running.used_tokens += used
        self.sent_tokens += used
        if self._random.random() < 0.2:
            del self._running[turn_id]
            self._settle(turn_id, running.used_tokens)

    def _request_release(
        self, ledger: program_budgets.BudgetLedger, turn_id: str
    ) -> None:
        running = self._running[turn_id]
        for _ in range(2):
            outcome = _release(
                ledger, turn_id, self._MAX_TOKENS, running.released_tokens
            )
            if isinstance(outcome, program_budgets.Spent):
                return
            if outcome.bound is None:
                # The reply may get lost; the turn then asks again.
                if self._random.random() < 0.9:
                    running.released_tokens = self._MAX_TOKENS
                return
            if not self._is_durable(ledger, outcome.bound):
                return

    def _settle(self, turn_id: str, used_tokens: int) -> None:
        if self._random.random() < 0.1:
            return
        ledger = self._some_ledger()
        lower = ledger.settle("p", turn_id, used_tokens)
        if lower is not None and self._random.random() < 0.7:
            self._is_durable(ledger, lower)

    def _is_durable(
        self,
        ledger: program_budgets.BudgetLedger,
        bound: stored_bound.StoredBound | None,
    ) -> bool:
        if bound is None:
            return True
        if ledger is self._superseded:
            return False
        self._stored = bound
        ledger.made_durable("p", bound)
        return True

    def _lose_owner(self) -> None:
        # It may keep running and notice only at its next write.
        self._superseded = program_budgets.BudgetLedger()
        if self._random.random() < 0.5:
            self._superseded = self._ledger
        self._ledger = program_budgets.BudgetLedger()
        if self._stored is not None:
            self._ledger = _owner_from_bound(self._stored)

    def _hand_over(self) -> None:
        accounts = self._ledger.accounts()
        self._ledger = program_budgets.BudgetLedger()
        self._ledger.take_over(accounts, 0.0)
        for bound in self._ledger.missing_bounds().values():
            self._is_durable(self._ledger, bound)

    def _some_ledger(self) -> program_budgets.BudgetLedger:
        if self._random.random() < 0.15 and self._superseded.programs:
            return self._superseded
        return self._ledger


class TestOwnerCrashes:
    """Owners that crash while turns use the tokens released to them."""

    @pytest.mark.parametrize("seed", range(400))
    def test_owner_crashes_during_turns_never_overspend(
        self, seed: int
    ) -> None:
        simulation = _FailureSimulation(seed)
        simulation.run()
        # The budget and the token limit of one turn.
        assert simulation.sent_tokens <= _BUDGET + 20


class TestKilledOwners:
    """Turns admitted with exact accounts, then an owner with only the bound.

    Token use is distributed as at the users' sites: a quarter of the limit on
    average, and more than half in one of ten turns. In the worst case, played
    here, all running turns request their remaining tokens right after the
    crash.
    """

    _MAX_TOKENS = 290
    _SEEDS = 300

    @pytest.mark.parametrize(
        ("budget_turns", "at_once"),
        [(2, 1), (4, 1), (8, 1), (4, 3), (8, 3), (8, 6), (16, 6), (40, 6)],
    )
    def test_running_turns_continue_after_an_owner_crash(
        self, budget_turns: int, at_once: int
    ) -> None:
        asked, refused = self._run_simulations(budget_turns, at_once, losses=1)
        assert asked > 50
        assert refused == 0

    @pytest.mark.parametrize(
        ("budget_turns", "at_once"), [(8, 1), (8, 3), (8, 6), (16, 6)]
    )
    def test_second_crash_delays_few_turns(
        self, budget_turns: int, at_once: int
    ) -> None:
        """One turn's limit is deducted only once; one turn in 100 waits."""
        asked, refused = self._run_simulations(budget_turns, at_once, losses=2)
        assert asked > 50
        assert refused <= asked / 100

    def _run_simulations(
        self, budget_turns: int, at_once: int, *, losses: int
    ) -> tuple[int, int]:
        asked = refused = 0
        for seed in range(self._SEEDS):
            program = _ProgramSimulation(
                random.Random(seed),
                budget_turns * self._MAX_TOKENS,
                self._MAX_TOKENS,
            )
            program.run(at_once, losses)
            asked += program.asked
            refused += program.refused
        return asked, refused


class _ProgramSimulation:
    """One program whose turns run in parallel.

    Attributes:
        asked: Turns that requested their remaining tokens after a crash.
        refused: Those of them whose remaining tokens the budget did not cover.
    """

    def __init__(
        self, rng: random.Random, budget_tokens: int, most_tokens: int
    ) -> None:
        self._random = rng
        self._budget_tokens = budget_tokens
        self._most_tokens = most_tokens
        self._ledger = program_budgets.BudgetLedger()
        self._stored_bound = stored_bound.StoredBound(0, False)
        self._running: dict[str, int] = {}
        self.asked = 0
        self.refused = 0

    def run(self, at_once: int, losses: int) -> None:
        """Starts and ends turns, with ``losses`` crashes of the owner."""
        for turn in range(200):
            if len(self._running) < at_once and self._random.random() < 0.7:
                self._start_turn(str(turn))
            if self._running and self._random.random() < 0.5:
                self._end(self._random.choice(list(self._running)))
            if losses and self._running and self._random.random() < 0.06:
                losses -= 1
                self._lose_owner()

    def _start_turn(self, turn_id: str) -> None:
        outcome = self._ledger.reserve(
            "p",
            turn_id,
            budget_tokens=self._budget_tokens,
            most_tokens=self._most_tokens,
            now_ms=0.0,
        )
        if isinstance(outcome, program_budgets.Granted):
            self._write(outcome.bound)
            self._running[turn_id] = outcome.released_tokens

    def _end(self, turn_id: str) -> None:
        part = self._random.lognormvariate(-1.7, 0.8)
        used = min(self._most_tokens, round(part * self._most_tokens))
        if used > self._running[turn_id] and not self._release(turn_id):
            used = self._running[turn_id]
        del self._running[turn_id]
        self._write(self._ledger.settle("p", turn_id, used))

    def _lose_owner(self) -> None:
        self._ledger = _owner_from_bound(self._stored_bound)
        for turn_id, released_tokens in self._running.items():
            if released_tokens < self._most_tokens:
                self.asked += 1
                self.refused += not self._release(turn_id)

    def _release(self, turn_id: str) -> bool:
        for _ in range(2):
            outcome = self._ledger.release(
                "p",
                turn_id,
                budget_tokens=self._budget_tokens,
                most_tokens=self._most_tokens,
                before_tokens=self._running[turn_id],
                now_ms=0.0,
            )
            if isinstance(outcome, program_budgets.Spent):
                return False
            self._write(outcome.bound)
        self._running[turn_id] = self._most_tokens
        return True

    def _write(self, bound: stored_bound.StoredBound | None) -> None:
        if bound is not None:
            self._stored_bound = bound
            self._ledger.made_durable("p", bound)
