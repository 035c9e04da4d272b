"""The platform's store: a log with keyed topics and fenced writers."""

import asyncio
import base64
import contextlib
import json
import struct
from typing import Any

from standins_2 import http1

_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")
_PAGE_ITEMS = 500
_KEPT_ANSWERS = 5
_APPEND_S = 0.002
RECORD_BYTES = 262_144


class Partition:
    """One partition of a topic."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.epoch = 0
        self.answers: dict[int, dict[str, int]] = {}
        self.last_number: int | None = None
        self.changed = asyncio.Event()

    def append(self, contents: list[bytes]) -> dict[str, int]:
        """Appends records; returns their first offset and the end."""
        offset = len(self.records)
        self.records += contents
        self.changed.set()
        self.changed = asyncio.Event()
        return {"offset": offset, "end": len(self.records)}

    def append_fenced(
        self, query: dict[str, str], contents: list[bytes]
    ) -> tuple[int, dict[str, Any]]:
        """Appends as a producer; returns the status and the answer."""
        epoch, number = int(query["epoch"]), int(query["callSeq"])
        if epoch < self.epoch:
            return 409, {"why": "fenced", "epoch": self.epoch}
        if epoch > self.epoch:
            self.epoch, self.last_number = epoch, None
            self.answers.clear()
        if number in self.answers:
            return 200, self.answers[number]
        last = self.last_number
        if last is not None and number != last + 1:
            return 409, {"why": "seq", "expected": last + 1}
        answer = self.append(contents)
        self.last_number = number
        self.answers[number] = answer
        while len(self.answers) > _KEPT_ANSWERS:
            del self.answers[min(self.answers)]
        return 200, answer

    def newest(self) -> dict[str, tuple[int, bytes]]:
        """Returns the newest record of each key."""
        found: dict[str, tuple[int, bytes]] = {}
        for offset, content in enumerate(self.records):
            end = 1 + content[0]
            found[content[1:end].decode()] = offset, content[end:]
        return {key: each for key, each in found.items() if each[1]}


class Store:
    """The store, as a server on loopback."""

    def __init__(self) -> None:
        self._parts: dict[tuple[str, int], Partition] = {}
        self.server = http1.Server(self._handle)

    def part(self, topic: str, part: int = 0) -> Partition:
        """Returns a partition, which is created on first use."""
        return self._parts.setdefault((topic, part), Partition())

    def put(self, topic: str, key: str, value: Any | None) -> None:
        """Appends a record of the operator or of a replica."""
        raw = b"" if value is None else json.dumps(value).encode()
        name = key.encode()
        self.part(topic).append([bytes([len(name)]) + name + raw])

    async def _handle(
        self, request: http1.Message, channel: http1.Channel
    ) -> None:
        query = request.query
        partition = self.part(query["topic"], int(query.get("part", "0")))
        match request.path:
            case "/log-append":
                await asyncio.sleep(_APPEND_S)
                status, answer = _append(partition, query, request.body)
                await _answer(channel, status, json.dumps(answer).encode())
            case "/log-read":
                await self._read(partition, query, channel)
            case "/log-newest":
                answer = _page(partition, query.get("after", ""))
                await _answer(channel, 200, json.dumps(answer).encode())
            case _:
                await _answer(channel, 404, b"{}")

    async def _read(
        self,
        partition: Partition,
        query: dict[str, str],
        channel: http1.Channel,
    ) -> None:
        offset = int(query["from"])
        if offset >= len(partition.records):
            wait_s = float(query.get("waitMs", "0")) / 1000.0
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(partition.changed.wait(), wait_s)
        body = bytearray(_OFFSETS.pack(len(partition.records), 0))
        most = int(query.get("maxKb", "1024")) * 1024
        for content in partition.records[offset:]:
            if len(body) > _OFFSETS.size and len(body) + len(content) > most:
                break
            body += _LENGTH.pack(len(content)) + content
        await _answer(channel, 200, bytes(body))


def _append(
    partition: Partition, query: dict[str, str], body: bytes
) -> tuple[int, dict[str, Any]]:
    contents = []
    position = 0
    while position < len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size + length
        contents.append(body[position - length : position])
    if max(map(len, contents), default=0) > RECORD_BYTES:
        return 413, {"why": "a record is too large"}
    if "epoch" in query:
        return partition.append_fenced(query, contents)
    return 200, partition.append(contents)


def _page(partition: Partition, after: str) -> dict[str, Any]:
    newest = partition.newest()
    keys = sorted(key for key in newest if key > after)
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


async def _answer(channel: http1.Channel, status: int, body: bytes) -> None:
    await channel.send(http1.encode(f"HTTP/1.1 {status} X", {}, body))
