"""The platform's metadata store, as far as the gateways use it."""

import asyncio
import base64
import dataclasses
import json
import struct
from typing import Any

from standins import wire

RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
PAGE_ITEMS = 500
LATENCY_S = 0.004

_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")
_KEPT_ANSWERS = 5
_OWN_TOPICS = ("keyed.op", "keyed.servers")


@dataclasses.dataclass
class _Part:
    records: list[bytes] = dataclasses.field(default_factory=list)
    epoch: int = 0
    last_sequence: int | None = None
    answers: dict[int, dict[str, int]] = dataclasses.field(default_factory=dict)
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def append(self, records: list[bytes]) -> dict[str, int]:
        offset = len(self.records)
        self.records += records
        self.changed.set()
        self.changed = asyncio.Event()
        return {"offset": offset, "end": len(self.records)}


class Store:
    """A log with keyed topics and fenced writers."""

    def __init__(self) -> None:
        self._parts: dict[tuple[str, int], _Part] = {}
        self.refused_appends: list[tuple[str, int, int]] = []

    def put(self, topic: str, key: str, value: bytes | None) -> None:
        """Appends a keyed record as the operator or a replica does."""
        self._part(topic, 0).append(
            [bytes([len(key.encode())]) + key.encode() + (value or b"")]
        )

    def put_json(self, topic: str, key: str, value: Any) -> None:
        """Appends a keyed record with a JSON value."""
        self.put(topic, key, json.dumps(value).encode())

    async def handle(
        self, request: wire.Request, channel: wire.Channel
    ) -> None:
        """Answers one call."""
        await asyncio.sleep(LATENCY_S)
        query = request.query
        part = self._part(query["topic"], int(query.get("part", "0")))
        match request.path:
            case "/log-append":
                status, answer = self._append(part, query, request.body)
                await wire.respond_json(channel, status, answer)
            case "/log-read":
                await _read(part, query, channel)
            case "/log-newest":
                await wire.respond_json(channel, 200, _newest(part, query))
            case _:
                await wire.respond_json(channel, 404, {})

    def _part(self, topic: str, part: int) -> _Part:
        return self._parts.setdefault((topic, part), _Part())

    def _append(
        self, part: _Part, query: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, Any]]:
        if query["topic"] in _OWN_TOPICS:
            return 403, {}
        records = _split(body)
        sizes = [len(each) for each in records]
        if max(sizes, default=0) > RECORD_BYTES or sum(sizes) > CALL_BYTES:
            # The pages name the limit but no status for what exceeds it.
            self.refused_appends.append(
                (query["topic"], int(query["part"]), max(sizes))
            )
            return 413, {"why": "a record is larger than recordBytes"}
        if "epoch" not in query:
            return 200, part.append(records)
        epoch, sequence = int(query["epoch"]), int(query["callSeq"])
        if epoch < part.epoch:
            return 409, {"why": "fenced", "epoch": part.epoch}
        if epoch > part.epoch:
            part.epoch = epoch
            part.answers.clear()
            part.last_sequence = None
        if sequence in part.answers:
            return 200, part.answers[sequence]
        last = part.last_sequence
        if last is not None and sequence != last + 1:
            return 409, {"why": "seq", "expected": last + 1}
        answer = part.append(records)
        part.last_sequence = sequence
        part.answers[sequence] = answer
        while len(part.answers) > _KEPT_ANSWERS:
            del part.answers[min(part.answers)]
        return 200, answer


async def _read(
    part: _Part, query: dict[str, str], channel: wire.Channel
) -> None:
    start = int(query["from"])
    if start >= len(part.records):
        try:
            async with asyncio.timeout(int(query.get("waitMs", "0")) / 1000):
                await part.changed.wait()
        except TimeoutError:
            pass
    body = _OFFSETS.pack(len(part.records), 0)
    limit = int(query.get("maxKb", "1024")) * 1024
    for record in part.records[start:]:
        piece = _LENGTH.pack(len(record)) + record
        if len(body) > _OFFSETS.size and len(body) + len(piece) > limit:
            break
        body += piece
    await channel.respond(200, {}, body)


def _newest(part: _Part, query: dict[str, str]) -> dict[str, Any]:
    newest: dict[str, tuple[int, bytes]] = {}
    for offset, record in enumerate(part.records):
        end = 1 + record[0]
        newest[record[1:end].decode()] = (offset, record[end:])
    after = query.get("after", "")
    keys = sorted(k for k, (_, value) in newest.items() if value and k > after)
    page = keys[:PAGE_ITEMS]
    items = [
        {
            "key": key,
            "value": base64.b64encode(newest[key][1]).decode(),
            "offset": newest[key][0],
        }
        for key in page
    ]
    return {
        "items": items,
        "hasMore": len(keys) > len(page),
        "end": len(part.records),
    }


def _split(body: bytes) -> list[bytes]:
    records = []
    position = 0
    while position < len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        records.append(body[position : position + length])
        position += length
    return records
