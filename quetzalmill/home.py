"""The home of programs: admits their calls in order and stores their history.

Each program has one home process at a time. The home answers a repeated call
from its history, takes over programs whose home has failed, ends programs on
request and drops idle ones from memory.
"""

from collections.abc import AsyncIterator, Callable
import contextlib
import secrets

import attrs
import trio

from quetzalmill import answer as answer_module
from quetzalmill import call_preparation
from quetzalmill import call_run
from quetzalmill import clock as clock_module
from quetzalmill import completion
from quetzalmill import configuration
from quetzalmill import errors
from quetzalmill import home_errors
from quetzalmill import log_port
from quetzalmill import messages
from quetzalmill import metrics as metrics_module
from quetzalmill import program_id
from quetzalmill import programs
from quetzalmill import takeover
from quetzalmill import turn_log
from quetzalmill import turns

BUFFER_FULL_RETRY_MS = 5_000.0
"""Retry-after delay while the buffer of uncommitted turns is full."""

VERIFY_INTERVAL_MS = 100.0
"""Shortest interval between checks for fences that refused calls cause."""

RELEASE_TIMEOUT_MS = 1_000.0
"""How long a release waits until the program tree's records are stored."""

LOG_DOWN_RETRY_MS = 2_000.0
"""Retry-after delay when a takeover failed because the log is down."""

MAX_TRACKED_MOVES = 100_000
"""Root programs whose newer home a process remembers."""


@attrs.define(kw_only=True)
class Options:
    """Settings of a home.

    Attributes:
        own: This process.
        idle_ms: Idle time after which a program is dropped from memory.
        call_timeout_ms: The longest time that a call may take.
    """

    own: program_id.Home
    idle_ms: float
    call_timeout_ms: float


class Home:
    """The programs whose home is this process."""

    def __init__(
        self,
        options: Options,
        *,
        config: configuration.Configuration,
        runner: call_run.CallRunner,
        writer: turn_log.TurnWriter,
        port: log_port.LogPort,
        is_considered_dead: Callable[[str, str], bool],
        was_silent: Callable[[], bool],
        nursery: trio.Nursery,
        metrics: metrics_module.Metrics,
        clock: clock_module.Clock,
    ) -> None:
        self._options = options
        self._config = config
        self._runner = runner
        self._writer = writer
        self._port = port
        self._is_gone = is_considered_dead
        self._was_silent = was_silent
        self._nursery = nursery
        self._metrics = metrics
        self._clock = clock
        self._trees: dict[str, programs.ProgramTree] = {}
        self._newer_homes: dict[str, program_id.Home] = {}
        self._runs: dict[tuple[str, int], call_run.Run] = {}
        self._takeovers: dict[str, trio.Lock] = {}
        self._finished_singles: list[str] = []
        self._is_unverified = False
        self._verified_ms = -VERIFY_INTERVAL_MS
        self._dropped_unsettled: set[str] = set()
        self._run_ended = trio.Event()
        self.leaving = False
        self.takeovers = 0

    @property
    def running(self) -> int:
        """Returns the number of running calls."""
        return len(self._runs)

    @property
    def program_trees(self) -> dict[str, programs.ProgramTree]:
        """Returns the program trees by root program."""
        return self._trees

    def fenced(self, record: turns.FenceRecord) -> None:
        """Drops a program tree that another process has taken over."""
        tree = self._trees.get(record.root)
        if tree is not None:
            if tree.epoch >= record.epoch:
                return
            self._drop(tree)
        self._newer_homes[record.root] = program_id.Home(
            host=record.host, instance=record.instance
        )
        if len(self._newer_homes) > MAX_TRACKED_MOVES:
            del self._newer_homes[next(iter(self._newer_homes))]

    async def hand_over(self) -> None:
        """Releases every program tree that has no running call.

        The others follow in ``drained`` as their calls end.
        """
        async with trio.open_nursery() as nursery:
            for tree in list(self._trees.values()):
                if not (tree.is_busy or tree.lost):
                    nursery.start_soon(self._release, tree)

    async def start(
        self, start: messages.ProgramStart, *, take_over: bool
    ) -> messages.ProgramView:
        """Starts a program or sub-program.

        Raises:
            RefusedError: The program was not started.
            UnknownProgramError: The parent is not known.
            MovedError: The parent has another home.
        """
        self._require_buffer_space()
        if self.leaving and not start.parent:
            raise home_errors.MovedError(None)
        if start.parent:
            tree, parent = await self.find(start.parent, take_over=take_over)
            self._require_team(parent, start.team)
            _require_valid_parent(tree, parent)
            root = tree.root
            program = program_id.new_child(secrets.token_hex(8), root)
        else:
            program = root = start.program
            tree = programs.ProgramTree(
                root=root, epoch=1, used_ms=self._clock.now_ms()
            )
        record = turns.ProgramRecord(
            program=program,
            root=root,
            parent=start.parent,
            team=start.team,
            limits=turns.BudgetLimits(
                calls=start.calls, tokens=start.tokens, time_ms=start.time_ms
            ),
            deadline_ms=start.deadline_ms,
            epoch=tree.epoch,
            applied_offset=self._config.applied_offset,
        )
        commit = await self._writer.commit(record)
        if commit is turn_log.Commit.FENCED:
            raise home_errors.MovedError(self._newer_homes.get(root))
        if not start.parent:
            self._trees[root] = tree
        return self.view(tree.start(record, self._clock.now_ms()))

    async def find(
        self, program: str, *, take_over: bool
    ) -> tuple[programs.ProgramTree, programs.Program]:
        """Returns a program of this home, taking it over if asked to.

        Raises:
            UnknownProgramError: The program is not known.
            MovedError: Another process is its home.
            RefusedError: The program cannot be taken over at present.
        """
        root = program_id.root_of(program)
        await self._verify()
        tree = self._trees.get(root)
        if tree is not None and tree.lost:
            self._drop(tree)
            tree = None
        if tree is None:
            tree = await self._recover(root, program, take_over)
        await self._require_kept(tree)
        found = tree.programs.get(program)
        if found is None:
            raise home_errors.UnknownProgramError(
                f"program {program} is not known"
            )
        tree.used_ms = self._clock.now_ms()
        return tree, found

    async def end(self, program: str, team: str, *, take_over: bool) -> None:
        """Ends a program and its sub-programs; repeating it has no effect."""
        tree, found = await self.find(program, take_over=take_over)
        self._require_team(found, team)
        for each in _with_descendants(tree, found):
            if each.ended:
                continue
            each.ended = True
            commit = await self._writer.commit(
                turns.EndRecord(
                    program=each.record.program,
                    root=tree.root,
                    epoch=tree.epoch,
                )
            )
            if commit is turn_log.Commit.FENCED:
                raise home_errors.MovedError(self._newer_homes.get(tree.root))
            self._metrics.time(
                metrics_module.PROGRAM_MS,
                self._clock.now_ms() - each.started_ms,
                each.record.team,
            )

    async def show(
        self, program: str, team: str, *, take_over: bool
    ) -> messages.ProgramView:
        """Returns the view of a program for its team; raises as ``find``."""
        _, found = await self.find(program, take_over=take_over)
        self._require_team(found, team)
        return self.view(found)

    def view(self, program: programs.Program) -> messages.ProgramView:
        """Returns the view of a program that callers get."""
        record = program.record
        return messages.ProgramView(
            program=record.program,
            parent=record.parent,
            team=record.team,
            next_call=program.next_call,
            history=program.chain,
            durable=not self._writer.has_pending(record.root),
            ended=program.ended,
            spent={
                "calls": program.spent.calls,
                "tokens": program.spent.tokens,
                "time_ms": program.spent.time_ms,
            },
        )

    @contextlib.asynccontextmanager
    async def call(
        self, call: messages.Call, *, take_over: bool
    ) -> AsyncIterator[AsyncIterator[messages.Frame]]:
        """Admits a call and yields the frames of its answer.

        Raises:
            UnknownProgramError: The program is not known.
            MovedError: Another process is its home.
            RefusedError: The call is refused and was not run.
        """
        if call.single:
            if self.leaving:
                raise home_errors.MovedError(None)
            tree, program = self._start_single(call)
        else:
            tree, program = await self.find(call.program, take_over=take_over)
            self._require_team(program, call.team)
        frames = await self._admit(tree, program, call)
        yield frames

    def prior_run_status(self, call: messages.Call) -> messages.Ran:
        """Returns whether an earlier request may have run a refused call.

        Only the program's home can rule that out, and only for a call that
        neither it nor an earlier home can have started.
        """
        if call.single or program_id.first_home(call.program) is None:
            return messages.Ran.NO
        tree = self._trees.get(program_id.root_of(call.program))
        if tree is None or tree.lost or self.may_be_fenced():
            return messages.Ran.UNKNOWN
        if tree.may_have_run(
            call.program, call.number, call_preparation.digest_of(call)
        ):
            return messages.Ran.UNKNOWN
        return messages.Ran.NO

    def drop_idle(self) -> list[str]:
        """Drops idle program trees; returns programs to free engine memory of.

        These are the programs of dropped trees, ended programs and finished
        single calls.
        """
        now_ms = self._clock.now_ms()
        dropped = self._finished_singles
        self._finished_singles = []
        for root, tree in list(self._trees.items()):
            ended = {n for n, p in tree.programs.items() if p.ended}
            dropped.extend(n for n in ended if not tree.programs[n].running)
            over = len(ended) == len(tree.programs)
            idle = now_ms - tree.used_ms > self._options.idle_ms
            if tree.is_busy or not (over or idle):
                continue
            if self._writer.has_pending(root):
                continue
            if idle:
                del self._trees[root]
                if tree.unsettled_programs and not over:
                    self._dropped_unsettled.add(root)
            dropped.extend(tree.programs)
        return dropped

    def holds(self, program: str) -> bool:
        """Returns whether this is the home of a program that has not ended."""
        tree = self._trees.get(program_id.root_of(program))
        if tree is None or tree.lost:
            return False
        found = tree.programs.get(program)
        return found is not None and not found.ended

    async def drained(self) -> None:
        """Returns once all calls have ended and all programs are released."""
        while True:
            ended = self._run_ended
            await self.hand_over()
            if not self._runs:
                break
            await ended.wait()
        await self._writer.wait_flushed()

    async def _admit(
        self,
        tree: programs.ProgramTree,
        program: programs.Program,
        call: messages.Call,
    ) -> AsyncIterator[messages.Frame]:
        prepared = call_preparation.prepare(tree, program, call)
        remaining_ms = min(call.time_left_ms, self._options.call_timeout_ms)
        deadline_ms = self._clock.now_ms() + remaining_ms
        while True:
            admission = tree.admit(
                program,
                call=call.number,
                digest=prepared.digest,
                expected_chain=call.expected_chain,
                reserve_tokens=prepared.answer_tokens,
                now_ms=self._clock.now_ms(),
            )
            match admission:
                case programs.Start():
                    return self._start_run(tree, program, prepared, deadline_ms)
                case programs.Join():
                    run = self._runs[(call.program, call.number)]
                    return run.answer.follow()
                case programs.Replay(turn=turn):
                    return self._replay(turn, call.stream)
                case programs.WaitForRunningCall():
                    await self._wait_for_run(deadline_ms)
                    await self._require_kept(tree)
                    prepared = call_preparation.prepare(tree, program, call)
                case _:
                    await self._verify_for_refusal()
                    if tree.lost:
                        raise home_errors.MovedError(
                            self._newer_homes.get(tree.root)
                        )
                    raise home_errors.refusal_of(admission)

    def _start_run(
        self,
        tree: programs.ProgramTree,
        program: programs.Program,
        prepared: call_preparation.Prepared,
        deadline_ms: float,
    ) -> AsyncIterator[messages.Frame]:
        self._require_buffer_space()
        now_ms = self._clock.now_ms()
        remaining_ms = tree.time_left_ms(program, now_ms)
        if remaining_ms is not None:
            deadline_ms = min(deadline_ms, now_ms + remaining_ms)
        if deadline_ms <= now_ms:
            raise home_errors.RefusedError(
                504, "deadline", "the deadline has passed"
            )
        budget_remaining_ms = tree.remaining_time_ms(program, now_ms)
        is_budget_bound = (
            budget_remaining_ms is not None
            and now_ms + budget_remaining_ms < deadline_ms
        )
        if budget_remaining_ms is not None:
            deadline_ms = min(deadline_ms, now_ms + budget_remaining_ms)
        if program.record.program in tree.double_charged:
            self._charge_earlier_run(tree, program, prepared.answer_tokens)
            tree.double_charged.discard(program.record.program)
        call = prepared.call
        tree.begin(
            program,
            call=call.number,
            digest=prepared.digest,
            reserve_tokens=prepared.answer_tokens,
            now_ms=now_ms,
        )
        run = call_run.Run(
            tree=tree,
            program=program,
            prepared=prepared,
            answer=answer_module.Answer(),
            started_ms=now_ms,
            deadline_ms=deadline_ms,
            is_budget_bound=is_budget_bound,
            may_be_fenced=self.may_be_fenced,
        )
        self._runs[(call.program, call.number)] = run
        self._nursery.start_soon(self._run, run)
        return run.answer.follow()

    def _charge_earlier_run(
        self, tree: programs.ProgramTree, program: programs.Program, tokens: int
    ) -> None:
        """Charges tokens that an earlier home may have used for the call."""
        if not tokens:
            return
        tree.charge(program, calls=0, tokens=tokens)
        charge = turns.ChargeRecord(
            program=program.record.program,
            root=tree.root,
            epoch=tree.epoch,
            calls=0,
            tokens=tokens,
            time_totals_ms=[],
        )
        self._nursery.start_soon(self._writer.commit, charge)

    async def _run(self, run: call_run.Run) -> None:
        call = run.prepared.call
        try:
            await self._runner.run(run)
        finally:
            self._runs.pop((call.program, call.number), None)
            if call.single:
                self._finished_singles.append(call.program)
            self._run_ended.set()
            self._run_ended = trio.Event()

    async def _wait_for_run(self, deadline_ms: float) -> None:
        remaining_ms = deadline_ms - self._clock.now_ms()
        with trio.move_on_after(max(0.0, remaining_ms) / 1000.0):
            await self._run_ended.wait()
            return
        raise home_errors.RefusedError(
            504, "deadline", "the call before did not end in time"
        )

    def _replay(
        self, turn: turns.TurnRecord, stream: bool
    ) -> AsyncIterator[messages.Frame]:
        replayed = answer_module.Answer()
        if stream and turn.answer is not None:
            replayed.append(
                messages.Frame(
                    program=turn.program,
                    call=turn.call,
                    attempt=0,
                    kind=messages.FrameKind.DATA,
                    data=completion.replay_chunk(turn.body),
                )
            )
        durable = not self._writer.has_pending(turn.root)
        replayed.append(
            call_run.last_frame(turn, durable=durable, stream=stream)
        )
        return replayed.follow()

    def _start_single(
        self, call: messages.Call
    ) -> tuple[programs.ProgramTree, programs.Program]:
        tree = programs.ProgramTree(
            root=call.program, epoch=1, used_ms=self._clock.now_ms()
        )
        record = turns.ProgramRecord(
            program=call.program,
            root=call.program,
            parent="",
            team=call.team,
            limits=turns.BudgetLimits(),
            deadline_ms=None,
            epoch=1,
            applied_offset=self._config.applied_offset,
        )
        return tree, tree.start(record, self._clock.now_ms())

    async def _recover(
        self, root: str, program: str, take_over: bool
    ) -> programs.ProgramTree:
        first_home = program_id.first_home(program)
        if first_home is None:
            raise home_errors.UnknownProgramError(
                f"{program!r} is no program's id"
            )
        moved_to = self._newer_homes.get(root)
        if self.leaving or (moved_to is not None and not take_over):
            raise home_errors.MovedError(moved_to)
        lock = self._takeovers.setdefault(root, trio.Lock())
        async with lock:
            tree = self._trees.get(root)
            if tree is not None and not tree.lost:
                return tree
            return await self._take_over(root, first_home, take_over)

    async def _take_over(
        self, root: str, first_home: program_id.Home, may_fence: bool
    ) -> programs.ProgramTree:
        try:
            result = await takeover.take_over(
                self._port,
                root,
                first_home,
                self._options.own,
                lambda home: self._is_gone(home.host, home.instance),
                may_fence=may_fence,
            )
        except errors.ExternalSystemError as error:
            raise home_errors.RefusedError(
                503,
                "log_unavailable",
                "the program's records cannot be read now",
                LOG_DOWN_RETRY_MS,
            ) from error
        finally:
            self._takeovers.pop(root, None)
        match result:
            case takeover.HeldBy(home=home):
                raise home_errors.MovedError(home)
            case takeover.NotRecorded():
                raise home_errors.UnknownProgramError(
                    f"program {root} is not known"
                )
            case takeover.Taken(records=records, epoch=epoch):
                return self._adopt(root, records, epoch)

    def _adopt(
        self, root: str, records: list[turns.Record], epoch: int
    ) -> programs.ProgramTree:
        tree = programs.restore_tree(root, records, epoch, self._clock.now_ms())
        if not tree.programs:
            raise home_errors.UnknownProgramError(
                f"program {root} is not known"
            )
        tree.mark_unsettled_except(self._idle_epoch(tree))
        held = self._trees.get(root)
        if held is not None and not held.lost:
            return held
        self._trees[root] = tree
        self.takeovers += 1
        self._newer_homes.pop(root, None)
        for program in tree.programs.values():
            for turn in program.history:
                self._runner.record_cache(turn)
        return tree

    def _idle_epoch(self, tree: programs.ProgramTree) -> int:
        """Returns the epoch that certainly has no running call, 0 for none."""
        if any(run.tree.root == tree.root for run in self._runs.values()):
            return 0
        if tree.root in self._dropped_unsettled:
            return 0
        # A release says nothing about a home that followed it.
        if tree.released_epoch == tree.epoch - 1:
            return tree.released_epoch
        return tree.epoch

    async def _release(self, tree: programs.ProgramTree) -> None:
        """Releases a program tree to another home once the log has all of it.

        The tree is kept if it is busy or the log does not get its records in
        time.
        """
        with trio.move_on_after(RELEASE_TIMEOUT_MS / 1000.0):
            await self._writer.wait_root_flushed(tree.root)
        if tree.is_busy or tree.lost:
            return
        if self._writer.has_pending(tree.root) or self._writer.log_is_down:
            return
        self._drop(tree)
        await self._writer.commit(
            turns.ReleaseRecord(
                root=tree.root,
                epoch=tree.epoch,
                doubts=sorted(tree.unsettled_programs),
            )
        )

    def _drop(self, tree: programs.ProgramTree) -> None:
        tree.lost = True
        self._trees.pop(tree.root, None)
        for program in tree.programs:
            self._runner.forget_caches(program)

    async def _require_kept(self, tree: programs.ProgramTree) -> None:
        """Releases an idle program tree if this home is shutting down.

        Raises:
            MovedError: The tree is released or lost.
        """
        if self.leaving and not (tree.is_busy or tree.lost):
            await self._release(tree)
        if tree.lost:
            raise home_errors.MovedError(self._newer_homes.get(tree.root))

    async def verify_forever(self, interval_ms: float) -> None:
        """Checks for fences soon after each loss of contact with the entries.

        Repeats the check until the log has answered.
        """
        while True:
            await trio.sleep(interval_ms / 1000.0)
            await self._verify()

    async def _verify(self) -> None:
        """Checks for fences if other processes may have appended some."""
        if self.may_be_fenced():
            await self._verify_now()

    def may_be_fenced(self) -> bool:
        """Returns whether an unnoticed takeover of a program is possible."""
        self._is_unverified |= self._was_silent()
        return self._is_unverified

    async def _verify_for_refusal(self) -> None:
        """Checks for fences before a refusal, at a limited rate."""
        since_ms = self._clock.now_ms() - self._verified_ms
        if since_ms > VERIFY_INTERVAL_MS or self.may_be_fenced():
            await self._verify_now()

    async def _verify_now(self) -> None:
        self._verified_ms = self._clock.now_ms()
        if await self._writer.read_fences():
            self._is_unverified = False

    def _require_buffer_space(self) -> None:
        if self._writer.is_full:
            raise home_errors.RefusedError(
                503,
                "history_buffer_full",
                "the log is down and the buffer of turns is full",
                BUFFER_FULL_RETRY_MS,
            )

    def _require_team(self, program: programs.Program, team: str) -> None:
        if program.record.team != team:
            raise home_errors.RefusedError(
                403, "other_team", "the program is of another team"
            )


def _require_valid_parent(
    tree: programs.ProgramTree, parent: programs.Program
) -> None:
    if parent.ended:
        raise home_errors.refusal_of(programs.Ended())
    if tree.depth(parent) >= programs.MAX_TREE_DEPTH:
        raise home_errors.RefusedError(
            422, "too_deep", "too many levels of programs"
        )


def _with_descendants(
    tree: programs.ProgramTree, program: programs.Program
) -> list[programs.Program]:
    found = [program]
    for each in found:
        found.extend(
            other
            for other in tree.programs.values()
            if other.record.parent == each.record.program
        )
    return found
