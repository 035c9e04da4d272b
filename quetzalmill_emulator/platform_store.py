"""An emulator of the users' metadata store: a log with keyed topics.

It implements the part of the store's published protocol that quetzalmill uses,
and injects the faults that a test sets.
"""

import base64
import struct
from typing import Any

import attrs
import msgspec
import trio

from quetzalmill import http_message
from quetzalmill import http_server

_LENGTH = struct.Struct(">I")
RECORD_BYTES = 262_144
"""The largest record; the platform names no status for a larger one."""

_OPERATOR_TOPIC = "keyed.op"
_OFFSETS = struct.Struct(">QQ")
_PAGE_ITEMS = 500
_MAX_KEPT_ANSWERS = 5


@attrs.define
class Partition:
    """One partition of a topic.

    Attributes:
        records: The contents of all records ever appended.
        first: The first offset that can still be read.
        epoch: The highest epoch of a fenced append.
        answers: The answers to the last fenced appends, by sequence number.
        last_number: The sequence number of the last fenced append in this
            epoch, if any.
        changed: Set when records are appended.
    """

    records: list[bytes] = attrs.field(factory=list)
    first: int = 0
    epoch: int = 0
    answers: dict[int, dict[str, int]] = attrs.field(factory=dict)
    last_number: int | None = None
    changed: trio.Event = attrs.field(factory=trio.Event)

    def append(self, contents: list[bytes]) -> dict[str, int]:
        """Appends records; returns their first offset and the end."""
        offset = len(self.records)
        self.records += contents
        self.changed.set()
        self.changed = trio.Event()
        return {"offset": offset, "end": len(self.records)}


class PlatformStore:
    """The store, as a handler of an HTTP server.

    Attributes:
        down: Whether every call is refused with 503.
        lost_answers: The number of next appends that take effect but get no
            response.
        calls: The number of calls by path.
    """

    def __init__(self) -> None:
        self._topics: dict[tuple[str, int], Partition] = {}
        self.down = False
        self.lost_answers = 0
        self.calls: dict[str, int] = {}

    def part(self, topic: str, part: int = 0) -> Partition:
        """Returns a partition, which is created on first use."""
        return self._topics.setdefault((topic, part), Partition())

    def put(self, topic: str, key: str, value: Any | None) -> None:
        """Appends a keyed record as the operator or an endpoint would."""
        encoded = b"" if value is None else msgspec.json.encode(value)
        self.put_bytes(topic, key, encoded)

    def put_bytes(self, topic: str, key: str, value: bytes) -> None:
        """Appends a keyed record whose value may be anything."""
        encoded = key.encode()
        content = bytes([len(encoded)]) + encoded + value
        self.part(topic).append([content])

    def evacuate(self, domain: str) -> None:
        """Orders, as the operator, that a domain gets no more requests."""
        self.put(_OPERATOR_TOPIC, f"evacuate/{domain}", {})

    def end_evacuation(self, domain: str) -> None:
        """Withdraws the order for a domain."""
        self.put(_OPERATOR_TOPIC, f"evacuate/{domain}", None)

    def forget(self, topic: str) -> None:
        """Drops the history of a topic; the newest record of each key stays."""
        partition = self.part(topic)
        partition.first = len(partition.records)

    async def handle(
        self, request: http_message.Request, exchange: http_server.Exchange
    ) -> None:
        """Handles one call."""
        self.calls[request.path] = self.calls.get(request.path, 0) + 1
        if self.down:
            await exchange.respond(503)
            return
        match request.path:
            case "/log-append":
                await self._append(request, exchange)
            case "/log-read":
                await self._read(request, exchange)
            case "/log-newest":
                await _answer(exchange, 200, self._newest(request))
            case _:
                await exchange.respond(404)

    async def _append(
        self, request: http_message.Request, exchange: http_server.Exchange
    ) -> None:
        partition = self._partition(request)
        contents = _split(request.body)
        if max(map(len, contents), default=0) > RECORD_BYTES:
            await _answer(exchange, 413, {"why": "a record is too large"})
            return
        if "epoch" in request.query:
            status, answer = _append_fenced(partition, request.query, contents)
        else:
            status, answer = 200, partition.append(contents)
        if self.lost_answers:
            self.lost_answers -= 1
            exchange.abort()
            return
        await _answer(exchange, status, answer)

    async def _read(
        self, request: http_message.Request, exchange: http_server.Exchange
    ) -> None:
        partition = self._partition(request)
        offset = int(request.query["from"])
        if offset < partition.first:
            await _answer(exchange, 410, {"first": partition.first})
            return
        if offset >= len(partition.records):
            wait_s = float(request.query.get("waitMs", "0")) / 1000.0
            with trio.move_on_after(wait_s):
                await partition.changed.wait()
        body = _OFFSETS.pack(len(partition.records), partition.first)
        max_bytes = int(request.query.get("maxKb", "1024")) * 1024
        for content in partition.records[offset:]:
            record = _LENGTH.pack(len(content)) + content
            if len(body) > _OFFSETS.size and len(body + record) > max_bytes:
                break
            body += record
        await exchange.respond(200, body)

    def _newest(self, request: http_message.Request) -> dict[str, Any]:
        partition = self._partition(request)
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, content in enumerate(partition.records):
            key, value = _split_key(content)
            newest[key] = (offset, value)
        after = request.query.get("after", "")
        keys = sorted(
            key for key, (_, value) in newest.items() if value and key > after
        )
        return {
            "items": [
                {
                    "key": key,
                    "value": base64.b64encode(newest[key][1]).decode(),
                    "offset": newest[key][0],
                }
                for key in keys[:_PAGE_ITEMS]
            ],
            "hasMore": len(keys) > _PAGE_ITEMS,
            "end": len(partition.records),
        }

    def _partition(self, request: http_message.Request) -> Partition:
        query = request.query
        return self.part(query["topic"], int(query.get("part", "0")))


def _append_fenced(
    partition: Partition, query: dict[str, str], contents: list[bytes]
) -> tuple[int, dict[str, Any]]:
    epoch, number = int(query["epoch"]), int(query["callSeq"])
    if epoch < partition.epoch:
        return 409, {"why": "fenced", "epoch": partition.epoch}
    if epoch > partition.epoch:
        partition.epoch = epoch
        partition.answers.clear()
        partition.last_number = None
    if number in partition.answers:
        return 200, partition.answers[number]
    last = partition.last_number
    if last is not None and number != last + 1:
        return 409, {"why": "seq", "expected": last + 1}
    answer = partition.append(contents)
    partition.last_number = number
    partition.answers[number] = answer
    while len(partition.answers) > _MAX_KEPT_ANSWERS:
        del partition.answers[min(partition.answers)]
    return 200, answer


def _split(body: bytes) -> list[bytes]:
    contents = []
    position = 0
    while position < len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        contents.append(body[position : position + length])
        position += length
    return contents


def _split_key(content: bytes) -> tuple[str, bytes]:
    end = 1 + content[0]
    return content[1:end].decode(), content[end:]


async def _answer(
    exchange: http_server.Exchange, status: int, value: Any
) -> None:
    await exchange.respond(status, msgspec.json.encode(value))
