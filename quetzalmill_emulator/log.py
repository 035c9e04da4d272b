"""An emulator of the platform's append-only log service."""

from collections import deque
import math
import urllib.parse

import attrs
import msgspec
import trio

from quetzalmill import clock
from quetzalmill import codec
from quetzalmill import errors
from quetzalmill import http_message
from quetzalmill import http_server
from quetzalmill_emulator import app

_DEFAULT_READ_RECORDS = 1000
_MAX_READ_BYTES = 4_194_304
_MAX_WAIT_MS = 30_000


@attrs.frozen(kw_only=True)
class LogSettings:
    """The limits of the log service.

    Attributes:
        appends_per_s: The limit of append requests per second.
        append_burst: The number of append requests allowed in a burst.
        retain_records: The number of records that each stream retains.
        retain_ms: How long records are retained.
    """

    appends_per_s: float = 300.0
    append_burst: float = 300.0
    retain_records: int = 1_000_000
    retain_ms: float = math.inf


@attrs.frozen(kw_only=True)
class Faults:
    """The active faults.

    Attributes:
        down: Whether the connection of every append or read is aborted
            without effect.
        delay_ms: The delay before a request takes effect.
        lose_replies: The number of next appends that take effect but get no
            reply.
        reject_appends: Whether appends are refused with 503.
        stream: The name prefix of the streams that the faults apply to.
    """

    down: bool = False
    delay_ms: float = 0.0
    lose_replies: int = 0
    reject_appends: bool = False
    stream: str = ""


@attrs.frozen(kw_only=True)
class _AppendBody:
    records: list[msgspec.Raw]


@attrs.frozen(kw_only=True)
class _TruncateBody:
    before: int


@attrs.frozen
class _Record:
    offset: int
    data: msgspec.Raw
    appended_ms: float


@attrs.define
class _Stream:
    """The retained records of one stream."""

    first_offset: int = 1
    end_offset: int = 1
    records: deque[_Record] = attrs.field(factory=deque)
    changed: trio.Event = attrs.field(factory=trio.Event)

    def append(self, data: list[msgspec.Raw], now_ms: float) -> int:
        """Appends records atomically; returns the offset of the first."""
        first = self.end_offset
        for raw in data:
            # A copy, because msgspec.Raw refers to the request's body and
            # would keep all of it in memory.
            copy = msgspec.Raw(bytes(raw))
            self.records.append(_Record(self.end_offset, copy, now_ms))
            self.end_offset += 1
        self.wake_readers()
        return first

    def retain(self, settings: LogSettings, now_ms: float) -> None:
        """Drops the records that exceed the retention limits."""
        self.drop_before(self.end_offset - settings.retain_records)
        oldest_ms = now_ms - settings.retain_ms
        while self.records and self.records[0].appended_ms < oldest_ms:
            self.drop_before(self.records[0].offset + 1)

    def drop_before(self, offset: int) -> None:
        """Drops the records below ``offset``."""
        while self.records and self.records[0].offset < offset:
            self.records.popleft()
            self.first_offset += 1

    def read(self, start: int, max_records: int) -> list[_Record]:
        """Returns the records from ``start`` on, at least one if there is any.

        The number of records and their size in bytes are limited.
        """
        found: list[_Record] = []
        size_bytes = 0
        skipped = start - self.first_offset
        for index in range(skipped, len(self.records)):
            record = self.records[index]
            size_bytes += len(bytes(record.data))
            full = len(found) >= max_records or size_bytes > _MAX_READ_BYTES
            if found and full:
                break
            found.append(record)
        return found

    def wake_readers(self) -> None:
        """Wakes the waiting readers, which check their condition again."""
        self.changed.set()
        self.changed = trio.Event()


class LogService:
    """Handles the requests to the log service."""

    def __init__(
        self, settings: LogSettings, system_clock: clock.Clock
    ) -> None:
        self._settings = settings
        self._clock = system_clock
        self._streams: dict[str, _Stream] = {}
        self._faults = Faults()
        self._append_tokens = settings.append_burst
        self._refilled_at_ms = system_clock.now_ms()
        self._counters = {"appends": 0, "records": 0, "bytes": 0, "reads": 0}
        self._counters |= {"refused": 0, "lost_replies": 0}

    async def handle(
        self, request: http_message.Request, exchange: http_server.Exchange
    ) -> None:
        """Handles one request."""
        parts = [
            urllib.parse.unquote(part)
            for part in request.path.strip("/").split("/")
        ]
        match request.method, parts:
            case "POST", ["streams", name, "append"]:
                await self._append(name, request, exchange)
            case "GET", ["streams", name, "records"]:
                await self._read(name, request, exchange)
            case "POST", ["streams", name, "truncate"]:
                body = app.read_body(request, _TruncateBody)
                self._stream(name).drop_before(body.before)
                await app.reply(exchange, self._bounds(name))
            case "GET", ["streams"]:
                names = sorted(self._streams)
                bounds = {name: self._bounds(name) for name in names}
                await app.reply(exchange, {"streams": bounds})
            case "POST", ["faults"]:
                self._set_faults(app.read_body(request, Faults))
                await app.reply(exchange, self._faults)
            case "GET", ["state"]:
                state = {**self._counters, "faults": self._faults}
                await app.reply(exchange, state)
            case _:
                raise app.refusal(404, "not_found", request.path)

    async def _append(
        self,
        name: str,
        request: http_message.Request,
        exchange: http_server.Exchange,
    ) -> None:
        if not await self._apply_faults(name):
            exchange.abort()
            return
        if self._faults.reject_appends and self._applies_to(name):
            raise app.refusal(503, "unavailable", "appends are refused")
        try:
            body = codec.from_json(request.body, _AppendBody)
        except errors.CodecError as error:
            raise app.refusal(422, "bad_body", str(error)) from error
        self._take_append_token()
        answer = self._apply(name, body.records)
        if self._faults.lose_replies > 0 and self._applies_to(name):
            remaining = self._faults.lose_replies - 1
            self._faults = attrs.evolve(self._faults, lose_replies=remaining)
            self._counters["lost_replies"] += 1
            exchange.abort()
            return
        await app.reply(exchange, answer)

    def _apply(self, name: str, data: list[msgspec.Raw]) -> dict[str, int]:
        now_ms = self._clock.now_ms()
        stream = self._stream(name)
        first = stream.append(data, now_ms)
        stream.retain(self._settings, now_ms)
        self._counters["appends"] += 1
        self._counters["records"] += len(data)
        self._counters["bytes"] += sum(len(bytes(raw)) for raw in data)
        return {"first_offset": first, "offsets_end": stream.end_offset}

    def _take_append_token(self) -> None:
        now_ms = self._clock.now_ms()
        refilled = (
            now_ms - self._refilled_at_ms
        ) * self._settings.appends_per_s
        self._refilled_at_ms = now_ms
        self._append_tokens = min(
            self._settings.append_burst, self._append_tokens + refilled / 1000.0
        )
        if self._append_tokens >= 1.0:
            self._append_tokens -= 1.0
            return
        self._counters["refused"] += 1
        wait_s = (1.0 - self._append_tokens) / self._settings.appends_per_s
        raise app.RefusedError(
            429,
            {"code": "too_many_appends", "retry_after_ms": wait_s * 1000.0},
            {"retry-after": str(math.ceil(wait_s))},
        )

    async def _read(
        self,
        name: str,
        request: http_message.Request,
        exchange: http_server.Exchange,
    ) -> None:
        start = max(1, app.read_number(request, "from", 1))
        limit = app.read_number(request, "max", _DEFAULT_READ_RECORDS)
        wait_ms = app.read_number(request, "wait_ms", 0)
        deadline_ms = self._clock.now_ms() + min(wait_ms, _MAX_WAIT_MS)
        if not await self._apply_faults(name):
            exchange.abort()
            return
        if not await self._wait_for_records(name, start, deadline_ms, exchange):
            exchange.abort()
            return
        stream = self._stream(name)
        stream.retain(self._settings, self._clock.now_ms())
        if start < stream.first_offset:
            raise app.RefusedError(410, {"first_offset": stream.first_offset})
        found = stream.read(start, max(1, limit))
        records = [{"offset": r.offset, "data": r.data} for r in found]
        self._counters["reads"] += 1
        await app.reply(
            exchange, {"records": records, "end": stream.end_offset}
        )

    async def _wait_for_records(
        self,
        name: str,
        start: int,
        deadline_ms: float,
        exchange: http_server.Exchange,
    ) -> bool:
        """Waits for a record or the deadline; returns False when down."""
        stream = self._stream(name)
        while start >= stream.end_offset and not exchange.disconnected:
            remaining_ms = deadline_ms - self._clock.now_ms()
            if remaining_ms <= 0:
                break
            with trio.move_on_after(remaining_ms / 1000.0):
                await stream.changed.wait()
            if self._faults.down and self._applies_to(name):
                return False
        return True

    async def _apply_faults(self, name: str) -> bool:
        """Applies the delay of the faults; returns False when down."""
        if not self._applies_to(name):
            return True
        if self._faults.delay_ms > 0:
            await trio.sleep(self._faults.delay_ms / 1000.0)
        return not (self._faults.down and self._applies_to(name))

    def _applies_to(self, name: str) -> bool:
        return name.startswith(self._faults.stream)

    def _set_faults(self, faults: Faults) -> None:
        self._faults = faults
        for stream in self._streams.values():
            stream.wake_readers()

    def _stream(self, name: str) -> _Stream:
        return self._streams.setdefault(name, _Stream())

    def _bounds(self, name: str) -> dict[str, int]:
        stream = self._stream(name)
        return {"first": stream.first_offset, "end": stream.end_offset}
