"""Runs the requests of one endpoint; manages its queue, slots and failures.

All requests to an endpoint pass through its sidecar, so running and queued work
is counted exactly here. A request that cannot end before its deadline is
refused. The worker asks its ``WorkerHooks`` before each start whether the
request may still run, and reports the outcome to them.
"""

from collections.abc import Callable
from typing import Protocol

import attrs
import trio

from quetzalmill import answer
from quetzalmill import clock as clock_module
from quetzalmill import completion
from quetzalmill import endpoint_port
from quetzalmill import errors
from quetzalmill import messages
from quetzalmill import metrics as metrics_module
from quetzalmill import objects
from quetzalmill import scheduler

SERVICE_UNITS = 32.0
"""Service units of one call to a plain service."""

RUNNING_MEMORY_FRACTION = 0.5
"""Fraction of an engine's memory that running requests may use.

The rest holds the cached histories of programs between two calls.
"""

_SPEED_SMOOTHING = 0.2
_MIN_SPEED_SAMPLES = 5
_FULL_QUEUE_RETRY_MS = 1_000.0


@attrs.define(kw_only=True, eq=False)
class Job:
    """One attempt submitted to a worker.

    Attributes:
        execution: The attempt to run.
        answer: The answer that its frames are appended to.
        cost_units: Estimated service units.
        deadline_ms: Its caller's deadline, on this process's clock.
        alone: Whether it must not run concurrently with other requests.
        scope: The cancel scope of its run, None before.
        started_ms: When its run started, None before.
    """

    execution: messages.Execution
    answer: answer.Answer
    cost_units: float
    deadline_ms: float
    alone: bool
    scope: trio.CancelScope | None = None
    started_ms: float | None = None


class WorkerHooks(Protocol):
    """The callbacks of a worker around each run."""

    def refusal(self, job: Job) -> messages.Frame | None:
        """Returns the frame that refuses a job, None if it may run."""

    def starting(self, job: Job) -> None:
        """Called before the first byte is sent to the endpoint."""

    def not_started(self, job: Job) -> None:
        """Called when a job ends without having run at the endpoint."""

    async def crashed(self, job: Job, failure: str) -> int:
        """Called when the endpoint crashed while it ran the job.

        Args:
            job: The job.
            failure: An id of this crash of this endpoint.

        Returns:
            The number of crashes attributed to the job's request so far.
        """

    def succeeded(self, job: Job) -> None:
        """Called when the job has ended with a complete answer."""

    def finished(self, job: Job) -> None:
        """Called when the job's run has ended, with any outcome."""


class EndpointWorker:
    """The queue and the running work of one endpoint."""

    def __init__(
        self,
        name: str,
        spec: objects.EndpointSpec,
        *,
        port: endpoint_port.EndpointPort,
        hooks: WorkerHooks,
        queue: scheduler.FairQueue[Job],
        nursery: trio.Nursery,
        clock: clock_module.Clock,
        max_queue: int,
        limits_memory: bool,
        failure_ms: float,
        weight_of: Callable[[str], float],
        metrics: metrics_module.Metrics,
    ) -> None:
        self.name = name
        self.spec = spec
        self._port = port
        self._hooks = hooks
        self._queue = queue
        self._nursery = nursery
        self._clock = clock
        self._max_queue = max_queue
        self._limits_memory = limits_memory
        self._failure_ms = failure_ms
        self._weight_of = weight_of
        self._metrics = metrics
        self._running: list[Job] = []
        self._is_down = False
        self._failures = 0
        self._units_per_s = 0.0
        self._samples = 0

    @property
    def idle(self) -> bool:
        """Returns whether nothing runs or waits."""
        return not self._running and not len(self._queue)

    def load(self) -> messages.EndpointLoad:
        """Returns the load that is reported to other processes."""
        running_units = sum(job.cost_units for job in self._running)
        return messages.EndpointLoad(
            endpoint=self.name,
            running=len(self._running),
            queued=len(self._queue),
            waiting_units=running_units + self._queue.waiting_units(),
            units_per_s=self._units_per_s * self.spec.slots,
            up=not self._is_down,
        )

    def submit(self, job: Job) -> None:
        """Queues a job or refuses it at once."""
        refusal = self._hooks.refusal(job) or self._admission_refusal(job)
        if refusal is not None:
            job.answer.append(refusal)
            return
        call = job.execution.call
        self._queue.push(
            scheduler.QueuedRequest(
                item=job,
                team=call.team,
                weight=self._weight_of(call.team),
                cost_units=job.cost_units,
                attained_units=job.execution.attained_units,
                arrived_ms=self._clock.now_ms(),
                deadline_ms=job.deadline_ms,
                alone=job.alone,
            )
        )
        self.start_queued()

    def start_queued(self) -> None:
        """Starts as many queued jobs as the slots allow."""
        while self._has_slot():
            request = self._queue.pop(self._clock.now_ms())
            if request is None:
                return
            if self._running and not self._fits_beside(request.item):
                self._queue.requeue(request)
                return
            self._metrics.time(
                metrics_module.QUEUE_MS,
                self._clock.now_ms() - request.arrived_ms,
                request.team,
            )
            self._start(request.item)

    def recheck(self) -> None:
        """Refuses queued jobs that may no longer run or are past deadline."""
        now_ms = self._clock.now_ms()
        for request in self._queue.all_waiting():
            job = request.item
            refusal = self._hooks.refusal(job)
            if refusal is None and now_ms >= job.deadline_ms:
                refusal = _deadline_passed(job)
            if refusal is not None:
                self._queue.remove(request)
                self._hooks.not_started(job)
                job.answer.append(refusal)
        self.start_queued()

    def withdraw(self, job: Job) -> bool:
        """Removes a job from the queue; returns whether it was queued."""
        for request in self._queue.all_waiting():
            if request.item is job:
                self._queue.remove(request)
                return True
        return False

    def _has_slot(self) -> bool:
        if any(job.alone for job in self._running):
            return False
        return len(self._running) < self.spec.slots

    def _fits_beside(self, job: Job) -> bool:
        """Returns whether a job may run concurrently with the running jobs."""
        if job.alone:
            return False
        if not self._limits_memory:
            return True
        tokens = sum(_tokens(each) for each in [*self._running, job])
        return tokens <= RUNNING_MEMORY_FRACTION * self.spec.memory_tokens

    def _admission_refusal(self, job: Job) -> messages.Frame | None:
        now_ms = self._clock.now_ms()
        call = job.execution.call
        if self._is_down:
            return self._down(job)
        if len(self._queue) >= self._max_queue:
            return answer.failed(
                call,
                status=503,
                code="queue_full",
                message=f"the queue of endpoint {self.name} is full",
                retry_after_ms=_FULL_QUEUE_RETRY_MS,
                attempt=job.execution.attempt,
            )
        wait_ms = self._expected_duration_ms(job)
        if wait_ms > job.deadline_ms - now_ms:
            return answer.failed(
                call,
                status=503,
                code="deadline_out_of_reach",
                message="the call cannot end before its deadline",
                retry_after_ms=wait_ms,
                attempt=job.execution.attempt,
            )
        return None

    def _expected_duration_ms(self, job: Job) -> float:
        if self._samples < _MIN_SPEED_SAMPLES or self._units_per_s <= 0.0:
            return 0.0
        own_ms = job.cost_units / self._units_per_s * 1000.0
        if len(self._running) < self.spec.slots:
            return own_ms
        speed = self._units_per_s * self.spec.slots
        team = job.execution.call.team
        ahead = self._queue.units_ahead(
            team, self._weight_of(team), job.cost_units
        )
        return ahead / speed * 1000.0 + own_ms

    def _start(self, job: Job) -> None:
        refusal = self._hooks.refusal(job)
        if refusal is None and self._clock.now_ms() >= job.deadline_ms:
            refusal = _deadline_passed(job)
        if refusal is not None:
            self._hooks.not_started(job)
            job.answer.append(refusal)
            return
        # No checkpoint between the last check and this record, so no fence
        # can come in between.
        self._hooks.starting(job)
        self._running.append(job)
        self._nursery.start_soon(self._run, job)

    async def _run(self, job: Job) -> None:
        job.started_ms = self._clock.now_ms()
        remaining_ms = max(1.0, job.deadline_ms - job.started_ms)
        with trio.move_on_after(remaining_ms / 1000.0) as job.scope:
            await self._exchange(job, remaining_ms)
        if job.scope.cancelled_caught:
            job.answer.append(_cut_off(job))
        self._running.remove(job)
        self._hooks.finished(job)
        self.start_queued()

    async def _exchange(self, job: Job, remaining_ms: float) -> None:
        call = job.execution.call
        try:
            if call.kind is messages.CallKind.MODEL:
                await self._exchange_model(job, remaining_ms)
            else:
                await self._exchange_service(job, remaining_ms)
        except errors.RefusedByEndpointError as error:
            self._hooks.not_started(job)
            job.answer.append(_refused_by_endpoint(job, str(error)))
        except errors.NotExecutedError as error:
            self._hooks.not_started(job)
            await self._check_after_failure()
            job.answer.append(self._failure(job, messages.Ran.NO, str(error)))
        except errors.OutcomeUnknownError as error:
            crashes = await self._count_crashes(job)
            job.answer.append(
                self._failure(job, messages.Ran.UNKNOWN, str(error), crashes)
            )
        else:
            self._update_speed(job)
            self._hooks.succeeded(job)

    async def _exchange_model(self, job: Job, remaining_ms: float) -> None:
        execution = job.execution
        async with self._port.run_model(
            self.spec.address, execution, remaining_ms
        ) as chunks:
            async for chunk in chunks:
                job.answer.append(
                    self._frame(job, messages.FrameKind.DATA, data=chunk)
                )
        job.answer.append(self._frame(job, messages.FrameKind.END))

    async def _exchange_service(self, job: Job, remaining_ms: float) -> None:
        result = await self._port.run_service(
            self.spec.address, job.execution, remaining_ms
        )
        job.answer.append(
            messages.Frame(
                program=job.execution.call.program,
                call=job.execution.call.number,
                attempt=job.execution.attempt,
                kind=messages.FrameKind.END,
                status=result.status,
                content_type=result.content_type,
                data=result.body,
            )
        )

    async def _count_crashes(self, job: Job) -> int:
        """Returns the number of crashes attributed to the job's request."""
        if await self._check_after_failure():
            return 0
        failure = f"{self.name}/{self._failures}"
        return await self._hooks.crashed(job, failure)

    async def _check_after_failure(self) -> bool:
        """Returns whether the endpoint is up; marks it down if it is not."""
        if self._is_down:
            return False
        if await self._port.is_up(self.spec.address):
            return True
        if not self._is_down:
            self._is_down = True
            self._failures += 1
            self._metrics.count(metrics_module.ENDPOINT_FAILURES)
            self._nursery.start_soon(self._probe_until_up)
            for request in self._queue.all_waiting():
                self._queue.remove(request)
                request.item.answer.append(self._down(request.item))
        return False

    async def _probe_until_up(self) -> None:
        while self._is_down:
            await trio.sleep(self._failure_ms / 1000.0)
            if await self._port.is_up(self.spec.address):
                self._is_down = False
        self.start_queued()

    def _down(self, job: Job) -> messages.Frame:
        return answer.failed(
            job.execution.call,
            status=503,
            code="endpoint_down",
            message=f"endpoint {self.name} does not answer",
            retry_after_ms=self._failure_ms,
            attempt=job.execution.attempt,
        )

    def _update_speed(self, job: Job) -> None:
        if job.started_ms is None:
            return
        took_ms = max(1.0, self._clock.now_ms() - job.started_ms)
        speed = job.cost_units / took_ms * 1000.0
        if self._samples == 0:
            self._units_per_s = speed
        self._samples += 1
        self._units_per_s += _SPEED_SMOOTHING * (speed - self._units_per_s)

    def _frame(
        self, job: Job, kind: messages.FrameKind, data: bytes = b""
    ) -> messages.Frame:
        return messages.Frame(
            program=job.execution.call.program,
            call=job.execution.call.number,
            attempt=job.execution.attempt,
            kind=kind,
            data=data,
        )

    def _failure(
        self, job: Job, ran: messages.Ran, reason: str, crashes: int = 0
    ) -> messages.Frame:
        return answer.failed(
            job.execution.call,
            status=503 if ran is messages.Ran.NO else 502,
            code="endpoint_crashed" if crashes else "endpoint_failed",
            message=f"endpoint {self.name}: {reason}",
            ran=ran,
            retry_after_ms=self._failure_ms,
            attempt=job.execution.attempt,
            details={"crashes": crashes} if crashes else None,
        )


def cost_units(execution: messages.Execution) -> float:
    """Returns the estimated service units of an execution."""
    if execution.call.kind is messages.CallKind.SERVICE:
        return SERVICE_UNITS
    prefill = execution.prompt_tokens * scheduler.PREFILL_UNITS_PER_TOKEN
    expected = min(execution.answer_tokens, completion.DEFAULT_ANSWER_TOKENS)
    return prefill + expected


def _tokens(job: Job) -> int:
    return job.execution.prompt_tokens + job.execution.answer_tokens


def _deadline_passed(job: Job) -> messages.Frame:
    return answer.failed(
        job.execution.call,
        status=504,
        code="deadline",
        message="the deadline passed before the call was started",
        attempt=job.execution.attempt,
    )


def _refused_by_endpoint(job: Job, reason: str) -> messages.Frame:
    return answer.failed(
        job.execution.call,
        status=422,
        code="endpoint_refused",
        message=reason,
        attempt=job.execution.attempt,
    )


def _cut_off(job: Job) -> messages.Frame:
    return answer.failed(
        job.execution.call,
        status=504,
        code="deadline",
        message="the call was cut off at its deadline",
        ran=messages.Ran.UNKNOWN,
        attempt=job.execution.attempt,
    )
