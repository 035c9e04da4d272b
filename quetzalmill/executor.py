"""Runs attempts at this sidecar's endpoints, each at most once.

The executor tracks every non-idempotent call that it has started. A retry of
the same call gets the same answer and never runs a second time. A new home
fences the epochs of the previous home here and learns whether the previous
home's call was started.
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

MAX_TRACKED_STARTS = 50_000
"""Maximum number of non-idempotent calls tracked as started."""

MAX_CACHED_ANSWERS = 2_048
"""Maximum number of answers to non-idempotent calls cached for retries."""

MAX_CACHED_ANSWER_BYTES = 8 * 1024 * 1024
"""Maximum total size of cached answers; a single answer may exceed it."""

MAX_TRACKED_FENCES = 50_000
"""Maximum number of root programs whose fenced epoch is tracked."""

_Key = tuple[str, int, int, int]


@attrs.frozen(kw_only=True)
class Options:
    """Settings of an executor.

    Attributes:
        host: This sidecar's host.
        instance: The id of this process.
        fair_queue: Whether queues are fair between teams or first come first
            served.
        max_queue: Maximum number of requests queued for one endpoint.
        limits_memory: Whether an engine's memory limits concurrent requests.
        failure_ms: Time between probes of a failed endpoint, which gets no
            requests until it is up.
        failure_domain: The failure domain of this sidecar's host.
    """

    host: str
    instance: str
    fair_queue: bool
    max_queue: int
    limits_memory: bool = False
    failure_ms: float
    failure_domain: str = ""


class Executor:
    """Queues and runs attempts at this sidecar's endpoints."""

    def __init__(
        self,
        options: Options,
        *,
        config: configuration.Configuration,
        port: endpoint_port.EndpointPort,
        known_suspects: suspects.Suspects,
        report: Callable[[messages.Suspect], Awaitable[None]],
        on_start: Callable[[str], None],
        on_finished: Callable[[str], None],
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
        self._on_finished = on_finished
        self._metrics = metrics
        self._nursery = nursery
        self._clock = clock
        self._workers: dict[str, endpoint_worker.EndpointWorker] = {}
        self._jobs: dict[_Key, endpoint_worker.Job] = {}
        self._cached_bytes: collections.OrderedDict[_Key, int] = (
            collections.OrderedDict()
        )
        self._started: collections.OrderedDict[tuple[str, int], int] = (
            collections.OrderedDict()
        )
        self._fences: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._max_evicted_offset = -1
        self.leaving = False

    @property
    def idle(self) -> bool:
        """Returns whether no endpoint has running or queued work."""
        return all(worker.idle for worker in self._workers.values())

    @property
    def cached_answers(self) -> int:
        """Returns the number of answers cached for retries."""
        return len(self._cached_bytes)

    def loads(self) -> list[messages.EndpointLoad]:
        """Returns the load of each endpoint."""
        return [worker.load() for worker in self._workers.values()]

    def slots(self) -> int:
        """Returns the total number of slots of the endpoints."""
        return sum(worker.spec.slots for worker in self._workers.values())

    def configuration_changed(self) -> None:
        """Applies the newest configuration to endpoints and queued work."""
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
        """Refuses queued work that may no longer run and starts what fits."""
        for worker in self._workers.values():
            worker.recheck()

    def submit(self, execution: messages.Execution) -> answer.Answer:
        """Queues an attempt; returns its answer, or the one it already has."""
        key = _key_of(execution)
        known = self._jobs.get(key)
        if known is not None and _may_have_run(known.answer):
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
            # Work queued earlier still runs.
            job.answer.append(self.refusal(job) or _shutting_down(job))
            return job.answer
        if worker is None:
            job.answer.append(self.refusal(job) or self._wrong_host(job))
            return job.answer
        worker.submit(job)
        if _may_have_run(job.answer):
            self._jobs[key] = job
        return job.answer

    def abandon(self, execution: messages.Execution) -> None:
        """Cancels an idempotent attempt that has no readers left."""
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
        """Refuses older epochs from now on and reports what was started."""
        self._fences[request.root] = max(
            self._fences.get(request.root, 0), request.epoch
        )
        self._fences.move_to_end(request.root)
        while len(self._fences) > MAX_TRACKED_FENCES:
            self._fences.popitem(last=False)
        return messages.FenceReply(
            instance=self._options.instance,
            seen=(request.program, request.call) in self._started,
            complete=self._max_evicted_offset < request.since_offset,
        )

    # The methods below implement the workers' ``WorkerHooks``.

    def refusal(self, job: endpoint_worker.Job) -> messages.Frame | None:
        """Returns the frame that refuses a job, None if it may run."""
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
        if self._config.is_evacuated(self._options.failure_domain):
            return _refused(
                job, 503, "evacuated", "the failure domain is evacuated"
            )
        return self._authorization_refusal(job)

    def starting(self, job: endpoint_worker.Job) -> None:
        """Records a non-idempotent call before its first byte is sent."""
        call = job.execution.call
        if call.kind is messages.CallKind.MODEL:
            self._on_start(call.program)
        if call.idempotent:
            return
        started_offset = job.execution.decided_offset
        self._started[(call.program, call.number)] = started_offset
        while len(self._started) > MAX_TRACKED_STARTS:
            _, offset = self._started.popitem(last=False)
            self._max_evicted_offset = max(self._max_evicted_offset, offset)

    def not_started(self, job: endpoint_worker.Job) -> None:
        """Removes the records of a call that did not run."""
        call = job.execution.call
        if not call.idempotent:
            self._started.pop((call.program, call.number), None)
        self._forget_job(job)

    async def crashed(self, job: endpoint_worker.Job, failure: str) -> int:
        """Marks the job's request as a suspect and reports it to the entries.

        Returns:
            The number of endpoint crashes attributed to the request so far.
        """
        call = job.execution.call
        suspect = self._suspects.record_crash(
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

    def succeeded(self, job: endpoint_worker.Job) -> None:
        """Clears the job's request of suspicion if it ran alone."""
        if job.alone:
            self._suspects.clear(job.execution.call.fingerprint)

    def finished(self, job: endpoint_worker.Job) -> None:
        """Caches the answer if needed; reports a single-call program's end."""
        call = job.execution.call
        key = _key_of(job.execution)
        if call.idempotent:
            self._forget_job(job)
        elif self._jobs.get(key) is job:
            self._cache_answer(key, job.answer.size_bytes)
        if call.single:
            self._on_finished(call.program)

    def _forget_job(self, job: endpoint_worker.Job) -> None:
        key = _key_of(job.execution)
        if self._jobs.get(key) is job:
            del self._jobs[key]

    def _authorization_refusal(
        self, job: endpoint_worker.Job
    ) -> messages.Frame | None:
        call = job.execution.call
        if not call.key_id:
            return None
        key = self._config.key(call.key_id)
        if key is None or key.withdrawn or key.team != call.team:
            return _refused(job, 401, "key_withdrawn", "the key is withdrawn")
        if self._config.team(call.team) is None:
            return _refused(job, 403, "team_unknown", "the team is gone")
        return None

    def _wrong_host(self, job: endpoint_worker.Job) -> messages.Frame:
        return _refused(
            job,
            503,
            "endpoint_elsewhere",
            f"endpoint {job.execution.endpoint} is not served here",
        )

    def _cache_answer(self, key: _Key, size_bytes: int) -> None:
        self._cached_bytes[key] = size_bytes
        while len(self._cached_bytes) > MAX_CACHED_ANSWERS or (
            len(self._cached_bytes) > 1
            and sum(self._cached_bytes.values()) > MAX_CACHED_ANSWER_BYTES
        ):
            oldest, _ = self._cached_bytes.popitem(last=False)
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
            hooks=self,
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


def _may_have_run(found: answer.Answer) -> bool:
    last = found.last
    if last is None or last.kind is not messages.FrameKind.FAILED:
        return True
    return last.ran is not messages.Ran.NO


def _shutting_down(job: endpoint_worker.Job) -> messages.Frame:
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
