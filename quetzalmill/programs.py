"""The program aggregate: the order of calls, the history and the budget.

A program tree is a root program with its sub-programs; it has one home and one
epoch. All rules are plain synchronous code. The home process queues, dispatches
and commits calls; this module decides which calls it may run.
"""

from typing import Any

import attrs

from quetzalmill import turns

MAX_TREE_DEPTH = 8
"""The most levels of sub-programs below a root."""


@attrs.frozen(kw_only=True)
class Start:
    """The call is the next one of its program and may run."""


@attrs.frozen(kw_only=True)
class Replay:
    """The call was answered before; its caller gets the same answer.

    Attributes:
        turn: The turn that holds the answer.
    """

    turn: turns.TurnRecord


@attrs.frozen(kw_only=True)
class Join:
    """The same call is running; both requests get its answer."""


@attrs.frozen(kw_only=True)
class WaitForRunningCall:
    """The previous call of the program is still running."""


@attrs.frozen(kw_only=True)
class OrderConflict:
    """The call does not continue the program's history.

    Attributes:
        expected_call: The number of the expected call.
        chain: The chain hash of the home's history.
        reason: One sentence on the conflict.
    """

    expected_call: int
    chain: str
    reason: str


@attrs.frozen(kw_only=True)
class BudgetSpent:
    """A budget does not cover the call.

    Attributes:
        program: The program whose budget is spent.
        limit: Which limit: ``calls``, ``tokens`` or ``time_ms``.
    """

    program: str
    limit: str


@attrs.frozen(kw_only=True)
class Ended:
    """The program has ended."""


Admission = (
    Start
    | Replay
    | Join
    | WaitForRunningCall
    | OrderConflict
    | BudgetSpent
    | Ended
)


@attrs.define(kw_only=True)
class Spent:
    """What a program and its sub-programs have used or reserved.

    Attributes:
        calls: Calls.
        tokens: Generated tokens.
        time_ms: Time during which at least one call was running, without the
            time since ``busy_since_ms``.
        busy: Running calls.
        busy_since_ms: When ``busy`` last rose from 0.
    """

    calls: int = 0
    tokens: int = 0
    time_ms: float = 0.0
    busy: int = 0
    busy_since_ms: float = 0.0

    def begin(self, tokens: int, now_ms: float) -> None:
        """Counts a call that starts and reserves its tokens."""
        self.calls += 1
        self.tokens += tokens
        if self.busy == 0:
            self.busy_since_ms = now_ms
        self.busy += 1

    def end(self, now_ms: float) -> None:
        """Counts a call that ends."""
        self.busy -= 1
        if self.busy == 0:
            self.time_ms += now_ms - self.busy_since_ms

    def used_ms(self, now_ms: float) -> float:
        """Returns the time used up to now."""
        since_ms = now_ms - self.busy_since_ms if self.busy else 0.0
        return self.time_ms + since_ms


@attrs.define(kw_only=True)
class Running:
    """The running call of a program."""

    call: int
    digest: str
    reserved_tokens: int
    started_ms: float


@attrs.define(kw_only=True)
class Program:
    """One program with its history.

    Attributes:
        record: How it was started.
        started_ms: When it was started, on this home's clock.
        spent: Its use of its budget, sub-programs included.
        history: Its turns in order.
        running: The running call.
        ended: Whether it has ended.
        attained_units: Service units that it has received at endpoints.
        recorded_epoch: The epoch of its newest record.
    """

    record: turns.ProgramRecord
    started_ms: float
    spent: Spent = attrs.field(factory=Spent)
    history: list[turns.TurnRecord] = attrs.field(factory=list)
    running: Running | None = None
    ended: bool = False
    attained_units: float = 0.0
    recorded_epoch: int = 0

    @property
    def next_call(self) -> int:
        """Returns the number of the call after the last turn."""
        return len(self.history) + 1

    @property
    def decided_offset(self) -> int:
        """Returns the configuration offset of the newest record."""
        if self.history:
            return self.history[-1].applied_offset
        return self.record.applied_offset

    @property
    def chain(self) -> str:
        """Returns the chain hash over all turns."""
        return self.history[-1].chain if self.history else turns.EMPTY_CHAIN

    def prompt(self, new_messages: list[Any]) -> list[Any]:
        """Returns the full history followed by ``new_messages``."""
        messages: list[Any] = []
        for turn in self.history:
            messages.extend(turn.messages)
            if turn.answer is not None:
                messages.append(turn.answer)
        messages.extend(new_messages)
        return messages


@attrs.define(kw_only=True)
class ProgramTree:
    """A root program and its sub-programs.

    Attributes:
        root: The root program's id.
        epoch: This home's epoch.
        programs: The programs by id.
        used_ms: When the tree was last used.
        lost: Whether another process has taken the tree over.
        released_epoch: The epoch of the last home if that home released the
            tree with no call running, 0 otherwise.
        released_unsettled: The unsettled programs of that home.
        double_charged: Programs whose next call is charged twice, since an
            earlier home may have started it.
        unsettled_programs: Unsettled programs: an earlier home may have started
            any of their next calls. Maps to the configuration offset of the
            program's last record. While the log was unavailable, an earlier
            home may have run several calls ahead of it, so only a call that
            was started nowhere settles its program.
    """

    root: str
    epoch: int
    used_ms: float
    programs: dict[str, Program] = attrs.field(factory=dict)
    lost: bool = False
    released_epoch: int = 0
    released_unsettled: frozenset[str] = frozenset()
    double_charged: set[str] = attrs.field(factory=set)
    unsettled_programs: dict[str, int] = attrs.field(factory=dict)

    def start(self, record: turns.ProgramRecord, now_ms: float) -> Program:
        """Adds a program to the tree."""
        program = Program(
            record=record, started_ms=now_ms, recorded_epoch=record.epoch
        )
        self.programs[record.program] = program
        self.used_ms = now_ms
        return program

    def admit(
        self,
        program: Program,
        *,
        call: int,
        digest: str,
        expected_chain: str,
        reserve_tokens: int,
        now_ms: float,
    ) -> Admission:
        """Returns what a call may do, without changing any state."""
        if program.ended:
            return Ended()
        if 1 <= call <= len(program.history):
            return _replay(program, call, digest)
        running = program.running
        if running is not None:
            return _admit_while_running(program, running, call, digest)
        if call != program.next_call:
            return _conflict(program, "the call is out of order")
        if expected_chain and expected_chain != program.chain:
            return _conflict(program, "the history is not the one expected")
        if program.record.program in self.double_charged:
            # An earlier home may have used as many tokens for the same call.
            reserve_tokens *= 2
        spent = self._exceeded_limit(program, reserve_tokens, now_ms)
        return spent or Start()

    def may_have_run(self, name: str, call: int, digest: str) -> bool:
        """Returns whether a call may have been started before."""
        program = self.programs.get(name)
        if program is None:
            return self.epoch > 1
        if name in self.unsettled_programs:
            return True
        if 1 <= call <= len(program.history):
            return program.history[call - 1].digest == digest
        running = program.running
        if running is None or running.call != call:
            return False
        return running.digest == digest

    def begin(
        self,
        program: Program,
        *,
        call: int,
        digest: str,
        reserve_tokens: int,
        now_ms: float,
    ) -> None:
        """Marks an admitted call as running and reserves its budget."""
        program.running = Running(
            call=call,
            digest=digest,
            reserved_tokens=reserve_tokens,
            started_ms=now_ms,
        )
        for each in self._with_ancestors(program):
            each.spent.begin(reserve_tokens, now_ms)
        self.used_ms = now_ms

    def refund(self, program: Program, now_ms: float) -> None:
        """Ends a running call that was not executed, without charging it."""
        running = program.running
        program.running = None
        if running is None:
            return
        for each in self._with_ancestors(program):
            each.spent.calls -= 1
            each.spent.tokens -= running.reserved_tokens
            each.spent.end(now_ms)

    def fail(self, program: Program, tokens: int, now_ms: float) -> None:
        """Ends a running call without a turn; charges what it may have used."""
        running = program.running
        program.running = None
        if running is None:
            return
        for each in self._with_ancestors(program):
            each.spent.tokens += tokens - running.reserved_tokens
            each.spent.end(now_ms)

    def charge(self, program: Program, *, calls: int, tokens: int) -> None:
        """Charges calls and tokens that produced no turn."""
        program.recorded_epoch = self.epoch
        for each in self._with_ancestors(program):
            each.spent.calls += calls
            each.spent.tokens += tokens

    def time_totals_ms(self, program: Program, now_ms: float) -> list[float]:
        """Returns the time used by a program and by each of its ancestors."""
        return [
            each.spent.used_ms(now_ms) for each in self._with_ancestors(program)
        ]

    def restore_time(self, program: Program, totals_ms: list[float]) -> None:
        """Raises the used times to those of a record; never lowers them."""
        for each, total_ms in zip(
            self._with_ancestors(program), totals_ms, strict=False
        ):
            each.spent.time_ms = max(each.spent.time_ms, total_ms)

    def finish(
        self, program: Program, turn: turns.TurnRecord, now_ms: float
    ) -> None:
        """Adds the turn of the running call and settles its budget."""
        running = program.running
        program.running = None
        program.history.append(turn)
        program.recorded_epoch = turn.epoch
        self.used_ms = now_ms
        for each in self._with_ancestors(program):
            if running is not None:
                each.spent.tokens -= running.reserved_tokens
                each.spent.end(now_ms)
            else:
                each.spent.calls += 1
            each.spent.tokens += turn.tokens
        if running is None:
            self.restore_time(program, turn.time_totals_ms)

    def remaining_tokens(self, program: Program) -> int | None:
        """Returns the remaining tokens of the budgets, None for no limit."""
        remaining = [
            each.record.limits.tokens - each.spent.tokens
            for each in self._with_ancestors(program)
            if each.record.limits.tokens is not None
        ]
        return max(0, min(remaining)) if remaining else None

    def remaining_time_ms(
        self, program: Program, now_ms: float
    ) -> float | None:
        """Returns the remaining time of the budgets, None for no limit."""
        remaining = [
            each.record.limits.time_ms - each.spent.used_ms(now_ms)
            for each in self._with_ancestors(program)
            if each.record.limits.time_ms is not None
        ]
        return min(remaining) if remaining else None

    def time_left_ms(self, program: Program, now_ms: float) -> float | None:
        """Returns the time until the earliest deadline, None without one."""
        left = [
            each.record.deadline_ms - (now_ms - each.started_ms)
            for each in self._with_ancestors(program)
            if each.record.deadline_ms is not None
        ]
        return min(left) if left else None

    def depth(self, program: Program) -> int:
        """Returns the number of ancestors of ``program``."""
        return len(self._with_ancestors(program)) - 1

    def mark_unsettled_except(self, idle_epoch: int) -> None:
        """Marks programs unsettled if an earlier home may have started calls.

        Args:
            idle_epoch: An epoch whose home has no call running. It had
                settled every program that it wrote a record of, except those
                that its release lists.
        """
        self.unsettled_programs = {
            name: program.decided_offset
            for name, program in self.programs.items()
            if not program.ended
            and (
                program.recorded_epoch != idle_epoch
                or name in self.released_unsettled
            )
        }
        self.double_charged = set(self.unsettled_programs)

    @property
    def is_busy(self) -> bool:
        """Returns whether a call of any program is running."""
        return any(program.running for program in self.programs.values())

    def _with_ancestors(self, program: Program) -> list[Program]:
        lineage = [program]
        while lineage[-1].record.parent:
            parent = self.programs.get(lineage[-1].record.parent)
            if parent is None or len(lineage) > MAX_TREE_DEPTH:
                break
            lineage.append(parent)
        return lineage

    def _exceeded_limit(
        self, program: Program, reserve_tokens: int, now_ms: float
    ) -> BudgetSpent | None:
        for each in self._with_ancestors(program):
            limits = each.record.limits
            name = each.record.program
            if limits.calls is not None and each.spent.calls >= limits.calls:
                return BudgetSpent(program=name, limit="calls")
            if (
                limits.tokens is not None
                and each.spent.tokens + reserve_tokens > limits.tokens
            ):
                return BudgetSpent(program=name, limit="tokens")
            if (
                limits.time_ms is not None
                and each.spent.used_ms(now_ms) >= limits.time_ms
            ):
                return BudgetSpent(program=name, limit="time_ms")
        return None


def restore_tree(
    root: str, records: list[turns.Record], epoch: int, now_ms: float
) -> ProgramTree:
    """Builds a program tree from its records, in log order.

    Duplicates are skipped. The result has no programs if the tree's first
    record or any turn is missing: records that the log no longer keeps must
    not be silently left out of a history or a budget.
    """
    tree = ProgramTree(root=root, epoch=epoch, used_ms=now_ms)
    newest_epoch = 0
    for record in records:
        if isinstance(record, turns.FenceRecord):
            continue
        if record.epoch < newest_epoch:
            continue
        newest_epoch = record.epoch
        tree.released_epoch = 0
        if not _apply_record(tree, record, now_ms):
            tree.programs.clear()
            return tree
    if root not in tree.programs:
        tree.programs.clear()
    return tree


def _apply_record(
    tree: ProgramTree, record: turns.Record, now_ms: float
) -> bool:
    """Applies a record; returns False if an earlier record is missing."""
    match record:
        case turns.ProgramRecord():
            if record.program not in tree.programs:
                tree.start(record, now_ms)
        case turns.TurnRecord():
            program = tree.programs.get(record.program)
            if program is None:
                return False
            if record.call < program.next_call:
                return True
            if record.previous_chain != program.chain:
                return False
            tree.finish(program, record, now_ms)
        case turns.ChargeRecord():
            program = tree.programs.get(record.program)
            if program is not None:
                tree.charge(program, calls=record.calls, tokens=record.tokens)
                tree.restore_time(program, record.time_totals_ms)
                program.recorded_epoch = record.epoch
        case turns.ReleaseRecord():
            tree.released_epoch = record.epoch
            tree.released_unsettled = frozenset(record.doubts)
        case turns.EndRecord():
            program = tree.programs.get(record.program)
            if program is not None:
                program.ended = True
        case turns.FenceRecord():
            pass
    return True


def _replay(program: Program, call: int, digest: str) -> Admission:
    turn = program.history[call - 1]
    if turn.digest != digest:
        return _conflict(program, "the call was answered for another request")
    return Replay(turn=turn)


def _admit_while_running(
    program: Program, running: Running, call: int, digest: str
) -> Admission:
    if call == running.call:
        if digest == running.digest:
            return Join()
        return _conflict(program, "the call is under way for another request")
    if call == running.call + 1:
        return WaitForRunningCall()
    return _conflict(program, "the call is out of order")


def _conflict(program: Program, reason: str) -> OrderConflict:
    expected = program.next_call
    if program.running is not None:
        expected = program.running.call + 1
    return OrderConflict(
        expected_call=expected, chain=program.chain, reason=reason
    )
