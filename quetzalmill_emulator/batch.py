"""The engine emulator's continuous batching and its time model.

The batch advances in steps. A step prefills one chunk of the oldest request
that still has prompt tokens to compute, and decodes one token of each request
whose prompt is computed. The module is synchronous.
"""

import enum

import attrs

from quetzalmill_emulator import answers
from quetzalmill_emulator import kv_cache

PREFILL_CHUNK_TOKENS = 512
"""The maximum number of prompt tokens that one step computes."""


@attrs.frozen(kw_only=True)
class BatchSettings:
    """The speed and size of an engine.

    Attributes:
        slots: The maximum number of running requests.
        memory_tokens: The memory of the engine in tokens.
        prefill_tokens_per_s: Prompt tokens computed per second.
        decode_ms: The base time of a decoding step.
        decode_ms_per_request: The time that each decoding request adds to it.
    """

    slots: int = 8
    memory_tokens: int = 200_000
    prefill_tokens_per_s: float = 8000.0
    decode_ms: float = 4.0
    decode_ms_per_request: float = 0.5


class JobState(enum.Enum):
    """The state of a request."""

    WAITING = "waiting"
    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"


@attrs.define(kw_only=True, eq=False)
class Job:
    """One request to the engine.

    Attributes:
        request_id: The id that the caller gave the request.
        session: The session whose prefix is cached; empty for none.
        priority: The priority; lower numbers run first.
        messages: The prompt.
        words: The words of the answer, one token each.
        received_ms: When the request arrived.
        started_ms: When the request started to run.
        ended_ms: When the request finished or was cancelled.
        cached_tokens: Prompt tokens that were found in the cache.
        prefilled_tokens: Prompt tokens that are in memory so far.
        decoded_tokens: Answer tokens generated so far.
    """

    request_id: str
    session: str
    priority: int
    messages: list[answers.Message]
    words: list[str]
    received_ms: float
    state: JobState = JobState.WAITING
    started_ms: float | None = None
    ended_ms: float | None = None
    cached_tokens: int = 0
    prefilled_tokens: int = 0
    decoded_tokens: int = 0
    reserved_tokens: int = 0
    blocks: list[kv_cache.Block] = attrs.field(init=False)
    prompt_tokens: int = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.blocks = kv_cache.blocks_of(self.messages)
        self.prompt_tokens = kv_cache.tokens_of(self.blocks)

    @property
    def decoding(self) -> bool:
        """Whether the whole prompt is computed."""
        return self.prefilled_tokens >= self.prompt_tokens

    @property
    def answer_memory_tokens(self) -> int:
        """The memory that the complete answer takes, in tokens."""
        return len(self.words) + answers.MESSAGE_OVERHEAD_TOKENS


class Batch:
    """The waiting and running requests of one engine."""

    def __init__(
        self, settings: BatchSettings, cache: kv_cache.KvCache
    ) -> None:
        self._settings = settings
        self._cache = cache
        self._chunk_tokens = 0
        self._decoding: list[Job] = []
        self.waiting: list[Job] = []
        self.running: list[Job] = []

    def fits(self, job: Job) -> bool:
        """Returns whether the request fits into an idle engine's memory."""
        needed = job.prompt_tokens + job.answer_memory_tokens
        return needed <= self._settings.memory_tokens

    def submit(self, job: Job) -> None:
        """Queues a request by priority, then by arrival."""
        position = len(self.waiting)
        while position and self.waiting[position - 1].priority > job.priority:
            position -= 1
        self.waiting.insert(position, job)

    def cancel(self, job: Job, now_ms: float) -> None:
        """Cancels a request; the complete blocks it computed stay cached."""
        if job in self.waiting:
            self.waiting.remove(job)
        elif job in self.running:
            self._remove_running(job, _computed_blocks(job))
        else:
            return
        job.state = JobState.CANCELLED
        job.ended_ms = now_ms

    def begin_step(self, now_ms: float) -> float | None:
        """Admits requests and plans a step.

        Returns:
            The duration of the step in milliseconds, or None when no request
            is running.
        """
        self._admit(now_ms)
        if not self.running:
            return None
        prefilling = next((j for j in self.running if not j.decoding), None)
        self._chunk_tokens = 0
        if prefilling is not None:
            remaining = prefilling.prompt_tokens - prefilling.prefilled_tokens
            self._chunk_tokens = min(remaining, PREFILL_CHUNK_TOKENS)
        self._decoding = [job for job in self.running if job.decoding]
        return self._step_ms()

    def end_step(self, now_ms: float) -> list[Job]:
        """Completes the planned step; returns the jobs with a new token."""
        prefilling = next((j for j in self.running if not j.decoding), None)
        advanced = [job for job in self._decoding if job in self.running]
        if prefilling is not None:
            prefilling.prefilled_tokens += self._chunk_tokens
            if prefilling.decoding:
                # The last chunk of a prompt yields the first token.
                advanced.append(prefilling)
        for job in advanced:
            job.decoded_tokens += 1
            if job.decoded_tokens >= len(job.words):
                self._finish(job, now_ms)
        return advanced

    def _admit(self, now_ms: float) -> None:
        while self.waiting and len(self.running) < self._settings.slots:
            job = self.waiting[0]
            cached = self._cache.acquire(
                job.session, job.blocks, job.answer_memory_tokens
            )
            if cached is None:
                return
            del self.waiting[0]
            # The last prompt token is always computed: its result is needed
            # to decode the first answer token.
            job.cached_tokens = min(cached, job.prompt_tokens - 1)
            job.prefilled_tokens = job.cached_tokens
            job.reserved_tokens = (
                job.prompt_tokens + job.answer_memory_tokens - cached
            )
            job.state = JobState.RUNNING
            job.started_ms = now_ms
            self.running.append(job)

    def _step_ms(self) -> float:
        prefill_ms = (
            self._chunk_tokens * 1000.0 / self._settings.prefill_tokens_per_s
        )
        if not self._decoding:
            return prefill_ms
        shared_ms = self._settings.decode_ms_per_request * len(self._decoding)
        return prefill_ms + self._settings.decode_ms + shared_ms

    def _finish(self, job: Job, now_ms: float) -> None:
        answer = {"role": "assistant", "content": " ".join(job.words)}
        self._remove_running(job, kv_cache.blocks_of([*job.messages, answer]))
        job.state = JobState.FINISHED
        job.ended_ms = now_ms

    def _remove_running(self, job: Job, blocks: list[kv_cache.Block]) -> None:
        self.running.remove(job)
        self._cache.finish(job.session, blocks, job.reserved_tokens)


def _computed_blocks(job: Job) -> list[kv_cache.Block]:
    """Returns the blocks of the prompt that are completely in memory."""
    blocks: list[kv_cache.Block] = []
    remaining = job.prefilled_tokens
    for block in job.blocks:
        remaining -= block.tokens
        if remaining < 0:
            break
        blocks.append(block)
    return blocks
