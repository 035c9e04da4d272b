"""Runs one admitted call to its end: attempts, retries, commit.

Only the home retries, and only what may run again: a call that certainly did
not run, or an idempotent one, within a retry budget. The answer is streamed as
it arrives; its last frame follows the commit.
"""

from collections.abc import Callable
from typing import Any

import attrs
import trio

from quetzalmill import answer as answer_module
from quetzalmill import call_preparation
from quetzalmill import clock as clock_module
from quetzalmill import codec
from quetzalmill import completion
from quetzalmill import configuration
from quetzalmill import endpoint_worker
from quetzalmill import errors
from quetzalmill import executor_link
from quetzalmill import messages
from quetzalmill import metrics as metrics_module
from quetzalmill import prior_execution
from quetzalmill import programs
from quetzalmill import retry_budget
from quetzalmill import routing
from quetzalmill import suspects
from quetzalmill import turn_log
from quetzalmill import turns

MAX_ATTEMPTS = 4
"""Attempts at one call, the first included."""

NO_ENDPOINT_RETRY_MS = 1_000.0
"""Retry-after delay when no endpoint accepted the call."""

_RECONNECT_DELAY_MS = 200.0
_FENCED = "fenced"

_DEADLINE_CODES = frozenset({"deadline", "deadline_out_of_reach"})

_FREE_RETRY_CODES = frozenset({"endpoint_elsewhere", "evacuated", "leaving"})
"""Refusals that cost an endpoint nothing; they use no retry budget."""

_RETRY_CODES = frozenset(
    {
        "endpoint_crashed",
        "endpoint_down",
        "endpoint_elsewhere",
        "endpoint_failed",
        "evacuated",
        "leaving",
        "queue_full",
        "sidecar_lost",
        "sidecar_replaced",
        "sidecar_unreachable",
    }
)


@attrs.frozen(kw_only=True)
class _Succeeded:
    status: int
    content_type: str
    body: str
    message: dict[str, Any] | None
    tokens: int
    endpoint: str = ""
    cached_tokens: int = 0


@attrs.frozen(kw_only=True)
class _Failed:
    frame: messages.Frame
    tokens: int = 0


@attrs.define(kw_only=True, eq=False)
class Run:
    """One running call.

    Attributes:
        tree: The program tree of its program.
        program: Its program.
        prepared: The prepared call.
        answer: Receives its frames.
        started_ms: When it was admitted.
        deadline_ms: When it must have ended.
        may_be_fenced: Whether others may consider this home dead, so that one
            of them may have taken over unnoticed.
        is_budget_bound: Whether a time budget sets the deadline.
        assembly: What has arrived of a model's answer.
        may_have_run: Whether an earlier attempt, also one of an earlier home,
            may have run the call.
    """

    tree: programs.ProgramTree
    program: programs.Program
    prepared: call_preparation.Prepared
    answer: answer_module.Answer
    started_ms: float
    deadline_ms: float
    may_be_fenced: Callable[[], bool]
    is_budget_bound: bool = False
    assembly: completion.Assembly = attrs.field(factory=completion.Assembly)
    may_have_run: bool = False


class CallRunner:
    """Runs the calls of one home."""

    def __init__(
        self,
        *,
        config: configuration.Configuration,
        router: routing.Router,
        link: executor_link.ExecutorLink,
        writer: turn_log.TurnWriter,
        retries: retry_budget.RetryBudget,
        clock: clock_module.Clock,
        metrics: metrics_module.Metrics = metrics_module.NONE,
    ) -> None:
        self._config = config
        self._router = router
        self._link = link
        self._writer = writer
        self._retries = retries
        self._metrics = metrics
        self._clock = clock
        self._caches: dict[str, dict[str, int]] = {}
        self._verified_offset = 0

    def cached(self, program: str) -> dict[str, int]:
        """Returns how many history tokens each endpoint has cached."""
        return self._caches.get(program, {})

    def forget_caches(self, program: str) -> dict[str, int]:
        """Drops and returns the recorded caches of a program."""
        return self._caches.pop(program, {})

    def record_cache(self, turn: turns.TurnRecord) -> None:
        """Records where the history up to a turn is cached."""
        if turn.endpoint:
            caches = self._caches.setdefault(turn.program, {})
            caches[turn.endpoint] = turn.cached_tokens

    def programs_with_caches(self) -> dict[str, dict[str, int]]:
        """Returns the recorded caches of all programs."""
        return self._caches

    async def run(self, run: Run) -> None:
        """Runs a call and appends all frames of its answer."""
        self._retries.first_attempt()
        result = await self._attempts(run)
        match result:
            case _Succeeded():
                await self._commit(run, result, messages.Ran.YES)
            case _Failed(frame=frame):
                await self._fail(run, result, _with_earlier_runs(run, frame))

    async def _attempts(self, run: Run) -> _Succeeded | _Failed:
        target: routing.Target | None = None
        instance = ""
        match await self._investigate(run):
            case prior_execution.StartedAt(target=target, instance=instance):
                run.may_have_run = True
            case prior_execution.Undetermined(reason=reason):
                return self._outcome_unknown(run, reason)
        excluded: set[str] = set()
        earlier = suspects.EarlierAttempts(crashed=run.prepared.call.suspect)
        for attempt in range(1, MAX_ATTEMPTS + 1):
            target = target or self._choose(run, excluded)
            if target is None:
                return self._no_endpoint(run)
            refusal = await self._refuse_if_fenced(run, target)
            result = refusal or await self._attempt(
                run,
                target,
                self._execution(run, target, attempt, earlier, instance),
            )
            if isinstance(result, _Succeeded):
                return result
            if not self._may_retry(run, result, attempt):
                return result
            earlier = earlier.after(result.frame)
            excluded.add(target.endpoint)
            target = None
        return self._no_endpoint(run)

    async def _investigate(self, run: Run) -> prior_execution.Finding:
        """Determines whether an earlier home may have started the call."""
        program = run.program.record.program
        if program not in run.tree.unsettled_programs:
            return prior_execution.NotStarted()
        if run.prepared.call.idempotent:
            run.may_have_run = True
            return prior_execution.NotStarted()
        finding = await prior_execution.investigate(
            run.tree,
            run.program,
            run.prepared.call,
            config=self._config,
            router=self._router,
            link=self._link,
        )
        if isinstance(finding, prior_execution.NotStarted):
            run.tree.unsettled_programs.pop(program, None)
        return finding

    async def _refuse_if_fenced(
        self, run: Run, target: routing.Target
    ) -> _Failed | None:
        """Checks that no newer home has fenced this one unnoticed.

        A sidecar knows only the fences since its start. A sidecar or endpoint
        that came into use after this home last checked the log for fences may
        therefore run a non-idempotent call only after another check.
        """
        call = run.prepared.call
        if call.idempotent or call.single:
            return None
        if self._config.routing_revision <= self._verified_offset and not (
            self._link.is_newer(target.host, self._verified_offset)
        ):
            return None
        if not await self._verify() and run.may_be_fenced():
            return self._not_run(run, "home_unverified", "the log is down")
        if run.tree.lost:
            return self._not_run(run, _FENCED, "a newer home has taken over")
        return None

    async def _verify(self) -> bool:
        """Reads all fences from the log; returns whether the log answered."""
        applied_offset = self._config.applied_offset
        if self._writer.log_is_down or not await self._writer.read_fences():
            return False
        self._record_verified(applied_offset)
        return True

    def _record_verified(self, offset: int) -> None:
        self._verified_offset = max(self._verified_offset, offset)

    def _not_run(self, run: Run, code: str, message: str) -> _Failed:
        return _Failed(frame=self._failure(run, code=code, message=message))

    def _outcome_unknown(self, run: Run, reason: str) -> _Failed:
        return _Failed(
            frame=self._failure(
                run,
                code="outcome_unknown",
                message=f"an earlier home may have run it: {reason}",
                ran=messages.Ran.UNKNOWN,
            )
        )

    def _choose(self, run: Run, excluded: set[str]) -> routing.Target | None:
        program = run.program.record.program
        return self._router.choose(
            run.prepared.call,
            prompt_tokens=run.prepared.prompt_tokens,
            cached=self.cached(program),
            excluded=excluded,
        )

    async def _attempt(
        self, run: Run, target: routing.Target, execution: messages.Execution
    ) -> _Succeeded | _Failed:
        units = endpoint_worker.cost_units(execution)
        sent = self._router.sent(target.endpoint, units)
        try:
            if execution.attempt > 1:
                run.assembly.restart()
            return await self._exchange(run, target, execution)
        except completion.DivergedError as error:
            return self._diverged(run, error)
        finally:
            self._router.ended(sent)

    async def _exchange(
        self, run: Run, target: routing.Target, execution: messages.Execution
    ) -> _Succeeded | _Failed:
        while True:
            try:
                return await self._frames(run, target, execution)
            except errors.ConnectFailedError as error:
                return self._failed(run, "sidecar_unreachable", error)
            except errors.HttpError as error:
                failed = self._failed(
                    run, "sidecar_lost", error, messages.Ran.UNKNOWN
                )
            except errors.CodecError as error:
                return self._diverged(run, error)
            run.may_have_run = True
            if run.prepared.call.idempotent:
                return failed
            again = await self._prepare_reconnect(run, target, execution)
            if again is None:
                return failed
            execution = again
            try:
                run.assembly.restart()
            except completion.DivergedError as error:
                return self._diverged(run, error)

    async def _prepare_reconnect(
        self, run: Run, target: routing.Target, execution: messages.Execution
    ) -> messages.Execution | None:
        """Waits, then returns the execution that fetches the answer again.

        The sidecar that started the call has its only answer. None if the
        deadline has passed or the sidecar does not confirm that it has it.
        """
        await trio.sleep(_RECONNECT_DELAY_MS / 1000.0)
        remaining_ms = run.deadline_ms - self._clock.now_ms()
        if remaining_ms <= 0.0:
            return None
        request = messages.FenceRequest(
            root=run.tree.root,
            epoch=run.tree.epoch,
            program=execution.call.program,
            call=execution.call.number,
            since_offset=execution.decided_offset,
        )
        try:
            reply = await self._link.fence(target.host, request)
        except errors.ControlCallError:
            return None
        if not reply.seen:
            return None
        call = attrs.evolve(execution.call, time_left_ms=remaining_ms)
        return attrs.evolve(execution, call=call, instance=reply.instance)

    async def _frames(
        self, run: Run, target: routing.Target, execution: messages.Execution
    ) -> _Succeeded | _Failed:
        async with self._link.run(target.host, execution) as frames:
            async for frame in frames:
                match frame.kind:
                    case messages.FrameKind.DATA:
                        self._forward(run, frame)
                    case messages.FrameKind.END:
                        return self._success(run, target, frame)
                    case _:
                        return _Failed(
                            frame=attrs.evolve(frame, attempt=0),
                            tokens=run.assembly.used_tokens(),
                        )
        raise errors.ConnectionLostError("the answer broke off")

    def _forward(self, run: Run, frame: messages.Frame) -> None:
        piece = run.assembly.add(frame.data)
        if piece is not None and run.prepared.call.stream:
            run.answer.append(attrs.evolve(frame, attempt=0, data=piece))

    def _success(
        self, run: Run, target: routing.Target, frame: messages.Frame
    ) -> _Succeeded:
        call = run.prepared.call
        if call.kind is messages.CallKind.SERVICE:
            return _Succeeded(
                status=frame.status,
                content_type=frame.content_type,
                body=frame.data.decode("latin-1"),
                message=None,
                tokens=0,
            )
        run.assembly.require_complete()
        tokens = run.assembly.used_tokens()
        run.program.attained_units += tokens
        self._count_prompt(run.assembly)
        return _Succeeded(
            status=200,
            content_type="application/json",
            body=run.assembly.body(call.program),
            message=run.assembly.message(),
            tokens=tokens,
            endpoint=target.endpoint,
            cached_tokens=run.prepared.prompt_tokens + tokens,
        )

    def _count_prompt(self, assembly: completion.Assembly) -> None:
        prompt, cached = assembly.prompt_tokens()
        self._metrics.count(metrics_module.PROMPT_TOKENS, prompt)
        self._metrics.count(
            metrics_module.PROMPT_TOKENS_COMPUTED, max(0, prompt - cached)
        )

    def _may_retry(self, run: Run, result: _Failed, attempt: int) -> bool:
        frame = result.frame
        if frame.ran is not messages.Ran.NO:
            run.may_have_run = True
        if frame.code not in _RETRY_CODES or attempt == MAX_ATTEMPTS:
            return False
        if frame.details.get("crashes", 0) >= suspects.QUARANTINE_CRASHES:
            return False
        if self._clock.now_ms() >= run.deadline_ms:
            return False
        if run.may_have_run and not run.prepared.call.idempotent:
            return False
        if frame.code in _FREE_RETRY_CODES:
            return True
        return self._retries.take()

    async def _commit(
        self, run: Run, result: _Succeeded, ran: messages.Ran
    ) -> None:
        applied_offset = self._config.applied_offset
        turn = self._turn(run, result, ran)
        commit = turn_log.Commit.DURABLE
        if not run.prepared.call.single:
            commit = await self._writer.commit(turn)
            if commit is not turn_log.Commit.BUFFERED:
                # The writer has read every record that precedes its own.
                self._record_verified(applied_offset)
        if commit is turn_log.Commit.FENCED:
            run.tree.lost = True
            run.program.running = None
            run.answer.append(self._moved(run))
            return
        run.tree.finish(run.program, turn, self._clock.now_ms())
        self.record_cache(turn)
        durable = commit is turn_log.Commit.DURABLE
        run.answer.append(
            last_frame(turn, durable=durable, stream=run.prepared.call.stream)
        )

    async def _fail(
        self, run: Run, result: _Failed, frame: messages.Frame
    ) -> None:
        now_ms = self._clock.now_ms()
        if run.is_budget_bound and frame.code in _DEADLINE_CODES:
            frame = _time_budget_spent(frame)
        if frame.code == _FENCED:
            run.tree.lost = True
            run.program.running = None
            run.answer.append(self._moved(run))
        elif frame.ran is messages.Ran.NO:
            run.tree.refund(run.program, now_ms)
            run.answer.append(_with_newer_home(run, frame))
        elif run.prepared.call.idempotent:
            run.tree.fail(run.program, result.tokens, now_ms)
            run.program.recorded_epoch = run.tree.epoch
            if not run.prepared.call.single:
                await self._writer.commit(self._charge(run, result.tokens))
            run.answer.append(frame)
        else:
            await self._commit(
                run,
                _Succeeded(
                    status=frame.status,
                    content_type="application/json",
                    body=codec.to_json(
                        {"code": frame.code, "message": frame.message}
                    ).decode(),
                    message=None,
                    tokens=run.prepared.answer_tokens,
                ),
                messages.Ran.UNKNOWN,
            )

    def _turn(
        self, run: Run, result: _Succeeded, ran: messages.Ran
    ) -> turns.TurnRecord:
        prepared = run.prepared
        chain = run.program.chain
        unsettled_offset = run.tree.unsettled_programs.get(
            run.program.record.program
        )
        decided_offset = self._config.applied_offset
        if unsettled_offset is not None:
            decided_offset = unsettled_offset
        return turns.TurnRecord(
            program=prepared.call.program,
            root=run.tree.root,
            epoch=run.tree.epoch,
            call=prepared.call.number,
            digest=prepared.digest,
            previous_chain=chain,
            chain=turns.chain_hash(chain, prepared.digest, result.body),
            messages=prepared.new_messages,
            answer=result.message,
            status=result.status,
            content_type=result.content_type,
            body=result.body,
            tokens=result.tokens,
            time_ms=self._clock.now_ms() - run.started_ms,
            ran=ran.value,
            applied_offset=decided_offset,
            time_totals_ms=run.tree.time_totals_ms(
                run.program, self._clock.now_ms()
            ),
            endpoint=result.endpoint,
            cached_tokens=result.cached_tokens,
        )

    def _charge(self, run: Run, tokens: int) -> turns.ChargeRecord:
        return turns.ChargeRecord(
            program=run.program.record.program,
            root=run.tree.root,
            epoch=run.tree.epoch,
            calls=1,
            tokens=tokens,
            time_totals_ms=run.tree.time_totals_ms(
                run.program, self._clock.now_ms()
            ),
        )

    def _execution(
        self,
        run: Run,
        target: routing.Target,
        attempt: int,
        earlier: suspects.EarlierAttempts,
        instance: str,
    ) -> messages.Execution:
        prepared = run.prepared
        remaining_ms = max(1.0, run.deadline_ms - self._clock.now_ms())
        call = attrs.evolve(
            prepared.call,
            body=prepared.body,
            time_left_ms=remaining_ms,
            suspect=earlier.crashed,
        )
        return messages.Execution(
            call=call,
            alone=earlier.unknown,
            root=run.tree.root,
            epoch=run.tree.epoch,
            attempt=attempt,
            endpoint=target.endpoint,
            attained_units=run.program.attained_units,
            prompt_tokens=prepared.prompt_tokens,
            answer_tokens=prepared.answer_tokens,
            instance=instance,
            decided_offset=self._config.applied_offset,
        )

    def _no_endpoint(self, run: Run) -> _Failed:
        frame = self._failure(
            run,
            code="no_endpoint",
            message=f"no endpoint of {run.prepared.call.target} takes work",
        )
        return _Failed(
            frame=attrs.evolve(
                frame, status=503, retry_after_ms=NO_ENDPOINT_RETRY_MS
            )
        )

    def _failed(
        self,
        run: Run,
        code: str,
        error: Exception,
        ran: messages.Ran = messages.Ran.NO,
    ) -> _Failed:
        frame = self._failure(run, code=code, message=str(error), ran=ran)
        return _Failed(frame=frame, tokens=run.assembly.used_tokens())

    def _diverged(self, run: Run, error: Exception) -> _Failed:
        return self._failed(run, "answer_diverged", error, messages.Ran.UNKNOWN)

    def _failure(
        self,
        run: Run,
        *,
        code: str,
        message: str,
        ran: messages.Ran = messages.Ran.NO,
    ) -> messages.Frame:
        return answer_module.failed(
            run.prepared.call,
            status=503 if ran is messages.Ran.NO else 502,
            code=code,
            message=message,
            ran=ran,
            retry_after_ms=NO_ENDPOINT_RETRY_MS,
        )

    def _moved(self, run: Run) -> messages.Frame:
        call = run.prepared.call
        return messages.Frame(
            program=call.program,
            call=call.number,
            attempt=0,
            kind=messages.FrameKind.MOVED,
        )


def _with_earlier_runs(run: Run, frame: messages.Frame) -> messages.Frame:
    """Returns a refusal that admits what earlier attempts may have run.

    The refusal of a fenced home stays as it is, since the call is forwarded
    to the newer home.
    """
    if not run.may_have_run or frame.code == _FENCED:
        return frame
    if frame.ran is not messages.Ran.NO:
        return frame
    return attrs.evolve(frame, status=502, ran=messages.Ran.UNKNOWN)


def _with_newer_home(run: Run, frame: messages.Frame) -> messages.Frame:
    """Returns a refusal that admits what a newer home may have run."""
    if run.prepared.call.single or not run.may_be_fenced():
        return frame
    return attrs.evolve(frame, ran=messages.Ran.UNKNOWN)


def _time_budget_spent(frame: messages.Frame) -> messages.Frame:
    """Returns the failure for a deadline that a time budget has set."""
    return attrs.evolve(
        frame,
        status=402,
        code="budget_spent",
        message="the budget of time does not cover the call",
        retry_after_ms=None,
    )


def last_frame(
    turn: turns.TurnRecord, *, durable: bool, stream: bool
) -> messages.Frame:
    """Returns the last frame of the answer that a turn holds."""
    details = {"history": turn.chain, "durable": durable}
    if turn.ran == messages.Ran.UNKNOWN.value:
        stored = codec.from_json(turn.body.encode(), dict[str, str])
        return messages.Frame(
            program=turn.program,
            call=turn.call,
            attempt=0,
            kind=messages.FrameKind.FAILED,
            status=turn.status,
            code=stored["code"],
            message=stored["message"],
            ran=messages.Ran.UNKNOWN,
            details=details,
        )
    body = turn.body.encode("latin-1" if turn.answer is None else "utf-8")
    return messages.Frame(
        program=turn.program,
        call=turn.call,
        attempt=0,
        kind=messages.FrameKind.END,
        status=turn.status,
        content_type=turn.content_type,
        data=b"" if stream else body,
        details=details,
    )
