"""An emulator of a model engine; ``docs/emulator.md`` has its time model."""

import base64
from collections import deque
from collections.abc import AsyncIterator
import os
from typing import Any

import attrs
import trio

from quetzalmill import clock
from quetzalmill import codec
from quetzalmill import errors
from quetzalmill import http_message
from quetzalmill import http_server
from quetzalmill import sse
from quetzalmill_emulator import answers
from quetzalmill_emulator import app
from quetzalmill_emulator import batch
from quetzalmill_emulator import kv_cache
from quetzalmill_emulator import news

CRASH_EXIT_CODE = 70
MAX_ANSWER_TOKENS = 100_000

_MAX_KEPT_REQUESTS = 2000
_MAX_CATCH_UP_S = 0.5


@attrs.frozen(kw_only=True)
class EngineSettings:
    """The settings of an engine.

    Attributes:
        batching: The speed and size of the engine.
        load_lag_ms: The age of the load that the engine reports.
        event_lag_ms: The delay until a cache event is visible.
        event_loss: The fraction of cache events that are lost.
        transfer_tokens_per_s: The speed of KV export and import.
        order_ms: The duration of an order.
        checks_fencing: Whether orders with an old fencing number are refused.
        chunk_tokens: The number of tokens in each streamed event.
        crash_marker: Text in a message that makes the process exit; empty for
            none.
        crash_after_ms: How long the marked request runs before the exit.
        seed: The seed that selects the lost events.
    """

    batching: batch.BatchSettings = batch.BatchSettings()
    load_lag_ms: float = 200.0
    event_lag_ms: float = 200.0
    event_loss: float = 0.05
    transfer_tokens_per_s: float = 100_000.0
    order_ms: float = 0.0
    checks_fencing: bool = False
    chunk_tokens: int = 1
    crash_marker: str = ""
    crash_after_ms: float = 50.0
    seed: int = 1


@attrs.frozen(kw_only=True)
class _ChatBody:
    messages: list[dict[str, Any]]
    model: str = ""
    stream: bool = False
    max_tokens: int | None = None
    answer_tokens: int | None = None

    def answer_length(self) -> int:
        """Returns the number of tokens in the answer."""
        if self.answer_tokens is not None:
            return self.answer_tokens
        default = answers.DEFAULT_ANSWER_TOKENS
        return min(self.max_tokens or default, default)


@attrs.frozen(kw_only=True)
class _CancelBody:
    request_id: str


@attrs.frozen(kw_only=True)
class _SessionBody:
    session: str


@attrs.frozen(kw_only=True)
class _ImportBody:
    session: str
    blob: str
    tokens: int = 0


@attrs.frozen(kw_only=True)
class _OrderBody:
    order: dict[str, Any]
    fencing: int


@attrs.define(eq=False)
class _TrackedRequest:
    """A request with its job, as ``/debug/requests`` lists it."""

    job: batch.Job
    headers: dict[str, str]
    progress: trio.Event = attrs.field(factory=trio.Event)

    def notify_progress(self) -> None:
        self.progress.set()
        self.progress = trio.Event()

    def describe(self) -> dict[str, Any]:
        job = self.job
        return {
            "request_id": job.request_id,
            "session": job.session,
            "priority": job.priority,
            "headers": self.headers,
            "messages": len(job.messages),
            "digest": answers.digest(job.messages),
            "prompt_tokens": job.prompt_tokens,
            "cached_tokens": job.cached_tokens,
            "received_ms": job.received_ms,
            "started_ms": job.started_ms,
            "finished_ms": job.ended_ms,
            "cancelled": job.state is batch.JobState.CANCELLED,
        }


class Engine:
    """Handles the requests to a model engine."""

    def __init__(
        self, settings: EngineSettings, system_clock: clock.Clock
    ) -> None:
        self._settings = settings
        self._clock = system_clock
        self._events = news.CacheEvents(
            settings.event_lag_ms,
            settings.event_loss,
            settings.seed,
            system_clock,
        )
        self._load = news.LaggingLoad(settings.load_lag_ms, system_clock)
        self._cache = kv_cache.KvCache(
            settings.batching.memory_tokens, self._events.add
        )
        self._batch = batch.Batch(settings.batching, self._cache)
        self._work = trio.Event()
        self._active: list[_TrackedRequest] = []
        self._recent: deque[_TrackedRequest] = deque(maxlen=_MAX_KEPT_REQUESTS)
        self._orders: deque[dict[str, Any]] = deque(maxlen=_MAX_KEPT_REQUESTS)
        self._newest_fencing = 0
        self._request_count = 0

    async def run(self) -> None:
        """Advances the batch forever."""
        step_end_s = trio.current_time()
        while True:
            duration_ms = self._batch.begin_step(self._clock.now_ms())
            self._record_load()
            if duration_ms is None:
                await self._work.wait()
                step_end_s = trio.current_time()
                continue
            # Steps are scheduled back to back without drift, but a process
            # that was paused catches up only by a limited time.
            earliest_s = trio.current_time() - _MAX_CATCH_UP_S
            step_end_s = max(step_end_s, earliest_s) + duration_ms / 1000.0
            await trio.sleep_until(step_end_s)
            self._end_step()

    async def handle(
        self, request: http_message.Request, exchange: http_server.Exchange
    ) -> None:
        """Handles one request."""
        match request.method, request.path:
            case "POST", "/v1/chat/completions":
                await self._complete(request, exchange)
            case "POST", "/cancel":
                matching = app.read_body(request, _CancelBody).request_id
                await app.reply(exchange, self._cancel_named(matching))
            case "GET", "/kv":
                sessions = self._cache.sessions()
                await app.reply(exchange, {"sessions": sessions})
            case "POST", "/kv/release":
                session = app.read_body(request, _SessionBody).session
                await app.reply(exchange, self._release(session))
            case "POST", "/kv/export":
                session = app.read_body(request, _SessionBody).session
                await app.reply(exchange, await self._export(session))
            case "POST", "/kv/import":
                imported = app.read_body(request, _ImportBody)
                await app.reply(exchange, await self._import(imported))
            case "POST", "/orders":
                order = app.read_body(request, _OrderBody)
                await app.reply(exchange, await self._execute_order(order))
            case "GET", _:
                await app.reply(exchange, self._report(request))
            case _:
                raise app.refusal(404, "not_found", request.path)

    def _report(self, request: http_message.Request) -> Any:
        match request.path:
            case "/load":
                return self._load.seen()
            case "/events":
                after = app.read_number(request, "after", 0)
                return {"events": self._events.after(after)}
            case "/debug/requests":
                found = [tracked.describe() for tracked in self._recent]
                return {"requests": found}
            case "/debug/orders":
                return {"orders": list(self._orders)}
        raise app.refusal(404, "not_found", request.path)

    async def _complete(
        self, request: http_message.Request, exchange: http_server.Exchange
    ) -> None:
        body = _read_chat(request.body)
        tracked = self._receive(request, body)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_on_disconnect, tracked, exchange)
            try:
                if body.stream:
                    await self._stream(tracked, body.model, exchange)
                else:
                    await self._answer(tracked, body.model, exchange)
            except errors.ConnectionLostError:
                self._cancel(tracked)
            nursery.cancel_scope.cancel()

    def _receive(
        self, request: http_message.Request, body: _ChatBody
    ) -> _TrackedRequest:
        self._request_count += 1
        unnamed_id = f"unnamed-{self._request_count}"
        job = batch.Job(
            request_id=request.headers.get("x-request-id", unnamed_id),
            session=request.headers.get("x-session", ""),
            priority=_priority(request.headers.get("x-priority", "0")),
            messages=body.messages,
            words=answers.answer_words(body.messages, body.answer_length()),
            received_ms=self._clock.now_ms(),
        )
        if not self._batch.fits(job):
            raise app.refusal(400, "prompt_too_large", "memory is too small")
        tracked = _TrackedRequest(job, request.headers)
        self._recent.append(tracked)
        self._active.append(tracked)
        self._batch.submit(job)
        self._notify_work()
        return tracked

    async def _answer(
        self,
        tracked: _TrackedRequest,
        model: str,
        exchange: http_server.Exchange,
    ) -> None:
        job = tracked.job
        async for _ in self._progress(tracked):
            pass
        if job.state is batch.JobState.CANCELLED:
            body = {"code": "cancelled", "message": "it was cancelled"}
            await app.reply(exchange, body, 409)
            return
        message = {"role": "assistant", "content": " ".join(job.words)}
        choice = {"index": 0, "message": message, "finish_reason": "stop"}
        await app.reply(
            exchange,
            {
                **_completion(job, model, "chat.completion"),
                "choices": [choice],
                "usage": _usage(job),
            },
        )

    async def _stream(
        self,
        tracked: _TrackedRequest,
        model: str,
        exchange: http_server.Exchange,
    ) -> None:
        job = tracked.job
        head = _completion(job, model, "chat.completion.chunk")

        async def send(choices: list[Any], **fields: Any) -> None:
            chunk = codec.to_json({**head, "choices": choices, **fields})
            await exchange.send(sse.encode_event(chunk.decode()))

        await exchange.start_stream(200, {"content-type": sse.CONTENT_TYPE})
        sent = 0
        async for decoded in self._progress(tracked):
            while sent < decoded:
                end = min(sent + self._settings.chunk_tokens, decoded)
                if end - sent < self._settings.chunk_tokens and (
                    decoded < len(job.words)
                ):
                    break
                text = " ".join(job.words[sent:end])
                content = f" {text}" if sent else text
                delta = {"role": "assistant", "content": content}
                await send([{"index": 0, "delta": delta}])
                sent = end
        cancelled = job.state is batch.JobState.CANCELLED
        reason = "cancelled" if cancelled else "stop"
        await send([{"index": 0, "delta": {}, "finish_reason": reason}])
        await send([], usage=_usage(job))
        await exchange.send(sse.encode_event(sse.DONE))
        await exchange.finish()

    async def _progress(self, tracked: _TrackedRequest) -> AsyncIterator[int]:
        """Yields the number of decoded tokens as it grows, until the end."""
        job = tracked.job
        seen = 0
        while True:
            progress = tracked.progress
            if job.decoded_tokens > seen:
                seen = job.decoded_tokens
                yield seen
            elif job.ended_ms is not None:
                return
            else:
                await progress.wait()

    async def _cancel_on_disconnect(
        self, tracked: _TrackedRequest, exchange: http_server.Exchange
    ) -> None:
        await exchange.wait_disconnected()
        self._cancel(tracked)

    def _cancel_named(self, request_id: str) -> dict[str, int]:
        matching = [r for r in self._active if r.job.request_id == request_id]
        for tracked in matching:
            self._cancel(tracked)
        return {"cancelled": len(matching)}

    def _cancel(self, tracked: _TrackedRequest) -> None:
        self._batch.cancel(tracked.job, self._clock.now_ms())
        self._remove_ended()
        tracked.notify_progress()
        self._notify_work()

    def _end_step(self) -> None:
        now_ms = self._clock.now_ms()
        for job in self._batch.running:
            self._crash_if_marked(job, now_ms)
        advanced = self._batch.end_step(now_ms)
        for tracked in self._active:
            if tracked.job in advanced:
                tracked.notify_progress()
        self._remove_ended()

    def _crash_if_marked(self, job: batch.Job, now_ms: float) -> None:
        marker = self._settings.crash_marker
        started_ms = job.started_ms if job.started_ms is not None else now_ms
        if not marker or now_ms - started_ms < self._settings.crash_after_ms:
            return
        if any(marker in answers.message_text(m) for m in job.messages):
            os._exit(CRASH_EXIT_CODE)

    def _remove_ended(self) -> None:
        self._active = [r for r in self._active if r.job.ended_ms is None]

    def _release(self, session: str) -> dict[str, bool]:
        released = self._cache.release(session)
        if released is None:
            raise app.refusal(409, "in_use", f"{session} is in use")
        self._record_load()
        return {"released": released}

    async def _export(self, session: str) -> dict[str, Any]:
        blocks = self._cache.export(session)
        if blocks is None:
            raise app.refusal(404, "not_found", f"{session} is not cached")
        tokens = kv_cache.tokens_of(blocks)
        await self._transfer(tokens)
        blob = base64.b64encode(codec.to_msgpack(blocks)).decode()
        return {"session": session, "tokens": tokens, "blob": blob}

    async def _import(self, body: _ImportBody) -> dict[str, Any]:
        try:
            raw = base64.b64decode(body.blob, validate=True)
            blocks = codec.from_msgpack(raw, list[kv_cache.Block])
        except (ValueError, errors.CodecError) as error:
            raise app.refusal(422, "bad_blob", str(error)) from error
        tokens = kv_cache.tokens_of(blocks)
        await self._transfer(tokens)
        if not self._cache.put(body.session, blocks):
            raise app.refusal(507, "no_memory", "the session does not fit")
        self._record_load()
        return {"session": body.session, "tokens": tokens}

    async def _transfer(self, tokens: int) -> None:
        await trio.sleep(tokens / self._settings.transfer_tokens_per_s)

    async def _execute_order(self, body: _OrderBody) -> dict[str, Any]:
        stale = body.fencing < self._newest_fencing
        if stale and self._settings.checks_fencing:
            newest = self._newest_fencing
            raise app.RefusedError(
                409, {"code": "stale_fencing", "newest": newest}
            )
        self._newest_fencing = max(self._newest_fencing, body.fencing)
        self._orders.append({"order": body.order, "fencing": body.fencing})
        await trio.sleep(self._settings.order_ms / 1000.0)
        return {"fencing": body.fencing}

    def _record_load(self) -> None:
        self._load.record(
            len(self._batch.running),
            len(self._batch.waiting),
            self._cache.cached_tokens(),
        )

    def _notify_work(self) -> None:
        self._record_load()
        self._work.set()
        self._work = trio.Event()


def _read_chat(data: bytes) -> _ChatBody:
    try:
        body = codec.from_json(data, _ChatBody)
    except errors.CodecError as error:
        raise app.refusal(400, "bad_body", str(error)) from error
    if not body.messages or not 1 <= body.answer_length() <= MAX_ANSWER_TOKENS:
        raise app.refusal(400, "bad_body", "no messages or a bad length")
    return body


def _priority(text: str) -> int:
    try:
        return int(text)
    except ValueError as error:
        raise app.refusal(400, "bad_priority", text) from error


def _completion(job: batch.Job, model: str, kind: str) -> dict[str, Any]:
    return {
        "id": f"chatcmpl-{job.request_id}",
        "object": kind,
        "created": 0,
        "model": model,
    }


def _usage(job: batch.Job) -> dict[str, Any]:
    return {
        "prompt_tokens": job.prompt_tokens,
        "completion_tokens": job.decoded_tokens,
        "total_tokens": job.prompt_tokens + job.decoded_tokens,
        "prompt_tokens_details": {"cached_tokens": job.cached_tokens},
    }
