"""Runs attempts at the endpoints beside this sidecar, at most once each.

The executor remembers every non-idempotent call that it has started. The same
call sent again gets the same answer, never a second run. A new home fences the
epochs of the old one here, and learns whether the old one's call was started.
"""

import collections
from collections.abc import Awaitable, Callable

import attrs
import trio

from quetzalmill import answer
from quetzalmill import clock as clock_module
from quetzalmill import configuration
from quetzalmill import endpoint_port
from quetzalmill import endpoint_worker
from quetzalmill import messages
from quetzalmill import metrics as metrics_module
from quetzalmill import objects
from quetzalmill import scheduler
from quetzalmill import suspects

REMEMBERED_STARTS = 50_000
"""Non-idempotent calls that are remembered as started."""

KEPT_ANSWERS = 2_048
"""Answers of non-idempotent calls that are kept for the same call again."""

KEPT_BYTES = 8 * 1024 * 1024
"""The size of the kept answers together; one larger answer is kept alone."""

REMEMBERED_FENCES = 50_000
"""Root programs whose fenced epoch is remembered."""

_Key = tuple[str, int, int, int]


@attrs.frozen(kw_only=True)
class Options:
    """How an executor runs work.

    Attributes:
        host: This sidecar's host.
        instance: This process.
        fair_queue: Whether teams share endpoints fairly, or first come.
        max_queue: Requests that may wait before one endpoint.
        limits_memory: Whether an engine's memory limits what runs at once.
        failure_ms: How long a failed endpoint gets no request.
    """

    host: str
    instance: str
    fair_queue: bool
    max_queue: int
    limits_memory: bool = False
    failure_ms: float


class Executor:
    """The attempts at this sidecar's endpoints."""

    def __init__(
        self,
        options: Options,
        *,
        config: configuration.Configuration,
        port: endpoint_port.EndpointPort,
        known_suspects: suspects.Suspects,
        report: Callable[[messages.Suspect], Awaitable[None]],
        on_start: Callable[[str], None],
        on_over: Callable[[str], None],
        nursery: trio.Nursery,
        clock: clock_module.Clock,
        metrics: metrics_module.Metrics = metrics_module.NONE,
    ) -> None:
        self._options = options
        self._config = config
        self._port = port
        self._suspects = known_suspects
        self._report = report
        self._on_start = on_start
        self._on_over = on_over
        self._metrics = metrics
        self._nursery = nursery
        self._clock = clock
        self._workers: dict[str, endpoint_worker.EndpointWorker] = {}
        self._jobs: dict[_Key, endpoint_worker.Job] = {}
        self._kept_bytes: collections.OrderedDict[_Key, int] = (
            collections.OrderedDict()
        )
        self._started: collections.OrderedDict[tuple[str, int], int] = (
            collections.OrderedDict()
        )
        self._fences: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._forgotten_offset = -1
        self.leaving = False

    @property
    def idle(self) -> bool:
        """Returns whether no endpoint has work."""
        return all(worker.idle for worker in self._workers.values())

    @property
    def kept_answers(self) -> int:
        """Returns the number of answers kept for calls sent again."""
        return len(self._kept_bytes)

    def loads(self) -> list[messages.EndpointLoad]:
        """Returns the load of each endpoint."""
        return [worker.load() for worker in self._workers.values()]

    def slots(self) -> int:
        """Returns the requests that the endpoints may run at once."""
        return sum(worker.spec.slots for worker in self._workers.values())

    def configuration_changed(self) -> None:
        """Brings endpoints and queued work to the newest configuration."""
        mine = {
            name: spec
            for name, spec in self._config.specs(
                objects.ENDPOINT, objects.EndpointSpec
            ).items()
            if spec.host == self._options.host
        }
        for name, spec in mine.items():
            worker = self._workers.get(name)
            if worker is None:
                self._workers[name] = self._new_worker(name, spec)
            else:
                worker.spec = spec
        for name in [n for n in self._workers if n not in mine]:
            if self._workers[name].idle:
                del self._workers[name]
        self.recheck()

    def recheck(self) -> None:
        """Refuses queued work that may no longer run."""
        for worker in self._workers.values():
            worker.recheck()

    def submit(self, execution: messages.Execution) -> answer.Answer:
        """Starts an attempt, or returns the answer that it already has."""
        key = _key_of(execution)
        known = self._jobs.get(key)
        if known is not None and _did_run(known.answer):
            return known.answer
        job = endpoint_worker.Job(
            execution=execution,
            answer=answer.Answer(),
            cost_units=endpoint_worker.cost_units(execution),
            deadline_ms=self._clock.now_ms() + execution.call.time_left_ms,
            alone=execution.alone
            or execution.call.suspect
            or self._suspects.is_suspect(execution.call.fingerprint),
        )
        worker = self._workers.get(execution.endpoint)
        if self.leaving:
            # What was queued before is still run.
            job.answer.append(self.refusal(job) or _leaving(job))
            return job.answer
        if worker is None:
            job.answer.append(self.refusal(job) or self._not_here(job))
            return job.answer
        worker.submit(job)
        if _did_run(job.answer):
            self._jobs[key] = job
        return job.answer

    def abandon(self, execution: messages.Execution) -> None:
        """Gives up an idempotent attempt that nobody waits for any more."""
        job = self._jobs.get(_key_of(execution))
        worker = self._workers.get(execution.endpoint)
        if job is None or worker is None or job.answer.readers:
            return
        if job.answer.ended or not execution.call.idempotent:
            return
        worker.withdraw(job)
        if job.scope is not None:
            job.scope.cancel()
        self._jobs.pop(_key_of(execution), None)

    def fence(self, request: messages.FenceRequest) -> messages.FenceReply:
        """Refuses older epochs from now on and tells what was started."""
        self._fences[request.root] = max(
            self._fences.get(request.root, 0), request.epoch
        )
        self._fences.move_to_end(request.root)
        while len(self._fences) > REMEMBERED_FENCES:
            self._fences.popitem(last=False)
        return messages.FenceReply(
            instance=self._options.instance,
            seen=(request.program, request.call) in self._started,
            complete=self._forgotten_offset < request.since_offset,
        )

    # The methods below are the workers' ``Rules``.

    def refusal(self, job: endpoint_worker.Job) -> messages.Frame | None:
        """Returns why a job may not run now, None if it may."""
        execution = job.execution
        call = execution.call
        if (call.program, call.number) in self._started:
            return _refused(
                job,
                502,
                "already_started",
                "the call was started before",
                ran=messages.Ran.UNKNOWN,
            )
        if execution.instance not in ("", self._options.instance):
            return _refused(
                job, 503, "sidecar_replaced", "the process was replaced"
            )
        if execution.epoch < self._fences.get(execution.root, 0):
            return _refused(job, 409, "fenced", "a newer home has taken over")
        if self._suspects.is_quarantined(call.fingerprint):
            return _refused(
                job, 422, "quarantined", "the request ended endpoints before"
            )
        return self._not_allowed(job)

    def starting(self, job: endpoint_worker.Job) -> None:
        """Records a non-idempotent call before its first byte is sent."""
        call = job.execution.call
        if call.kind is messages.CallKind.MODEL:
            self._on_start(call.program)
        if call.idempotent:
            return
        started_offset = job.execution.decided_offset
        self._started[(call.program, call.number)] = started_offset
        while len(self._started) > REMEMBERED_STARTS:
            _, offset = self._started.popitem(last=False)
            self._forgotten_offset = max(self._forgotten_offset, offset)

    def not_started(self, job: endpoint_worker.Job) -> None:
        """Takes the records back, since no byte was sent."""
        call = job.execution.call
        if not call.idempotent:
            self._started.pop((call.program, call.number), None)
        self._drop(job)

    async def crashed(self, job: endpoint_worker.Job, failure: str) -> int:
        """Makes the job's request a suspect and tells the entries."""
        call = job.execution.call
        suspect = self._suspects.crashed(
            call.fingerprint,
            call.team,
            failure=failure,
            crashes_before=1 if call.suspect else 0,
            now_ms=self._clock.now_ms(),
        )
        if suspect.crashes == suspects.QUARANTINE_CRASHES:
            self._metrics.count(metrics_module.QUARANTINED)
        await self._report(suspect)
        return suspect.crashes

    def ended_well(self, job: endpoint_worker.Job) -> None:
        """Clears the job's request if it ran alone."""
        if job.alone:
            self._suspects.clear(job.execution.call.fingerprint)

    def over(self, job: endpoint_worker.Job) -> None:
        """Keeps the answer if needed, lets a single call's memory go."""
        call = job.execution.call
        key = _key_of(job.execution)
        if call.idempotent:
            self._drop(job)
        elif self._jobs.get(key) is job:
            self._keep(key, job.answer.size_bytes)
        if call.single:
            self._on_over(call.program)

    def _drop(self, job: endpoint_worker.Job) -> None:
        key = _key_of(job.execution)
        if self._jobs.get(key) is job:
            del self._jobs[key]

    def _not_allowed(self, job: endpoint_worker.Job) -> messages.Frame | None:
        call = job.execution.call
        if not call.key_id:
            return None
        key = self._config.key(call.key_id)
        if key is None or key.withdrawn or key.team != call.team:
            return _refused(job, 401, "key_withdrawn", "the key is withdrawn")
        if self._config.team(call.team) is None:
            return _refused(job, 403, "team_unknown", "the team is gone")
        return None

    def _not_here(self, job: endpoint_worker.Job) -> messages.Frame:
        return _refused(
            job,
            503,
            "endpoint_elsewhere",
            f"endpoint {job.execution.endpoint} is not served here",
        )

    def _keep(self, key: _Key, size_bytes: int) -> None:
        self._kept_bytes[key] = size_bytes
        while len(self._kept_bytes) > KEPT_ANSWERS or (
            len(self._kept_bytes) > 1
            and sum(self._kept_bytes.values()) > KEPT_BYTES
        ):
            oldest, _ = self._kept_bytes.popitem(last=False)
            del self._jobs[oldest]

    def _new_worker(
        self, name: str, spec: objects.EndpointSpec
    ) -> endpoint_worker.EndpointWorker:
        queue: scheduler.FairQueue[endpoint_worker.Job] = (
            scheduler.FairQueue()
            if self._options.fair_queue
            else scheduler.FifoQueue()
        )
        return endpoint_worker.EndpointWorker(
            name,
            spec,
            port=self._port,
            rules=self,
            queue=queue,
            nursery=self._nursery,
            clock=self._clock,
            max_queue=self._options.max_queue,
            limits_memory=self._options.limits_memory,
            failure_ms=self._options.failure_ms,
            weight_of=self._weight_of,
            metrics=self._metrics,
        )

    def _weight_of(self, team: str) -> float:
        spec = self._config.team(team)
        return spec.weight if spec else 1.0


def _key_of(execution: messages.Execution) -> _Key:
    call = execution.call
    if not call.idempotent:
        return (call.program, call.number, 0, 0)
    return (call.program, call.number, execution.epoch, execution.attempt)


def _did_run(found: answer.Answer) -> bool:
    last = found.last
    if last is None or last.kind is not messages.FrameKind.FAILED:
        return True
    return last.ran is not messages.Ran.NO


def _leaving(job: endpoint_worker.Job) -> messages.Frame:
    return _refused(job, 503, "leaving", "the endpoint takes no new work")


def _refused(
    job: endpoint_worker.Job,
    status: int,
    code: str,
    message: str,
    ran: messages.Ran = messages.Ran.NO,
) -> messages.Frame:
    return answer.failed(
        job.execution.call,
        status=status,
        code=code,
        message=message,
        ran=ran,
        retry_after_ms=1_000.0 if status == 503 else None,
        attempt=job.execution.attempt,
    )
