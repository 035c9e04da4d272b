"""A fake operator API on loopback, for tests of its clients."""

from collections.abc import Iterator
import contextlib
import enum
import http.server
import json
import threading
from typing import Any
import urllib.parse

import attrs

from quetzalmill import objects


class Fault(enum.Enum):
    """A fault that is injected into one publication."""

    LOST_REPLY = "the record takes effect, its reply is lost"
    LOST_REQUEST = "the record has no effect, the connection ends"
    UNAVAILABLE = "the record has no effect, and the answer says so"
    UNKNOWN = "the answer says that the outcome is unknown"
    REFUSED = "the answer has a status of its own"
    RACED = "another operator's change of the object takes effect before"
    REJECTED = "the record has mistakes, and the answer lists them"
    GARBAGE = "the answer is no JSON"


@attrs.define
class FakeOperator:
    """The state behind the API.

    Attributes:
        revision: The offset of the last record.
        stored: The objects by kind and name.
        faults: The faults of the next publications, in order.
        processes: The processes that are listed.
        received: The bodies of all publications.
        port: The TCP port on which it listens.
    """

    revision: int = 0
    stored: dict[tuple[str, str], objects.StoredObject] = attrs.field(
        factory=dict
    )
    faults: list[Fault] = attrs.field(factory=list)
    processes: list[dict[str, Any]] = attrs.field(factory=list)
    received: list[dict[str, Any]] = attrs.field(factory=list)
    port: int = 0
    _outcomes: dict[str, tuple[int, dict[str, Any]]] = attrs.field(factory=dict)
    _records: list[dict[str, Any]] = attrs.field(factory=list)

    @property
    def address(self) -> str:
        """The address on which it listens."""
        return f"127.0.0.1:{self.port}"

    def put(self, kind: str, name: str, spec: dict[str, Any]) -> None:
        """Stores an object at the next revision."""
        self.revision += 1
        self.stored[kind, name] = objects.StoredObject(
            kind=kind, name=name, revision=self.revision, spec=spec
        )

    def get(self, path: str) -> tuple[int, dict[str, Any]]:
        """Handles a GET request."""
        parts = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(parts.query))
        match parts.path:
            case "/operator/v1/objects":
                return 200, self._list(query)
            case "/operator/v1/history":
                return 200, {"records": self._records[-int(query["limit"]) :]}
            case "/operator/v1/processes":
                return 200, {"processes": self.processes}
            case "/state":
                return 200, {"role": "entry", "applied_offset": self.revision}
            case _:
                return 404, {"message": "no such path"}

    def publish(
        self, record: dict[str, Any], fault: Fault | None
    ) -> tuple[int, dict[str, Any]] | None:
        """Handles a publication; None closes the connection."""
        self.received.append(record)
        match fault:
            case Fault.LOST_REQUEST:
                return None
            case Fault.LOST_REPLY:
                self._apply(record)
                return None
            case Fault.UNAVAILABLE:
                body = {"message": "log is down", "retry_after_ms": 1500}
                return 503, body | {"outcome": "unavailable"}
            case Fault.UNKNOWN:
                return 504, {"outcome": "unknown", "record_id": "r"}
            case Fault.RACED:
                for change in record["changes"]:
                    self.put(change["kind"], change["name"], change["spec"])
                return self._apply(record)
            case Fault.REJECTED:
                return 422, {"outcome": "rejected", "problems": ["no team x"]}
            case Fault.REFUSED:
                return 413, {"message": "too large"}
            case _:
                return self._apply(record)

    def _list(self, query: dict[str, str]) -> dict[str, Any]:
        found = [
            attrs.asdict(item)
            for (kind, name), item in sorted(self.stored.items())
            if kind == query["kind"] and query.get("name", name) == name
        ]
        return {"revision": self.revision, "objects": found}

    def _apply(self, record: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        record_id = record["record_id"]
        if record_id not in self._outcomes:
            self._outcomes[record_id] = self._outcome(record)
        return self._outcomes[record_id]

    def _outcome(self, record: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        self.revision += 1
        conflict = self._conflict(record["changes"])
        changes = record["changes"]
        self._records.append(
            {
                "offset": self.revision,
                "record_id": record["record_id"],
                "author": record["author"],
                "applied": conflict is None,
                "changes": changes,
            }
        )
        if conflict:
            return 409, conflict
        for change in changes:
            self._change(change)
        return 200, {"outcome": "accepted", "revision": self.revision}

    def _conflict(self, changes: list[dict[str, Any]]) -> dict[str, Any] | None:
        for change in changes:
            place = change["kind"], change["name"]
            present = self.stored.get(place)
            revision = present.revision if present else 0
            if change["base_revision"] not in (objects.ANY_REVISION, revision):
                return {
                    "outcome": "conflict",
                    "revision": revision,
                    "object": "/".join(place),
                }
        return None

    def _change(self, change: dict[str, Any]) -> None:
        place = change["kind"], change["name"]
        if change["spec"] is None:
            self.stored.pop(place, None)
            return
        self.stored[place] = objects.StoredObject(
            kind=change["kind"],
            name=change["name"],
            revision=self.revision,
            spec=change["spec"],
        )


@contextlib.contextmanager
def serving() -> Iterator[FakeOperator]:
    """Serves a new fake API on a free loopback port."""
    fake = FakeOperator()
    server = http.server.ThreadingHTTPServer(
        ("127.0.0.1", 0), _handler_of(fake)
    )
    fake.port = server.server_address[1]
    thread = threading.Thread(target=server.serve_forever, args=(0.02,))
    thread.start()
    try:
        yield fake
    finally:
        server.shutdown()
        thread.join()
        server.server_close()


def _handler_of(
    fake: FakeOperator,
) -> type[http.server.BaseHTTPRequestHandler]:
    class Handler(http.server.BaseHTTPRequestHandler):
        """Forwards requests to the fake."""

        def do_GET(self) -> None:  # noqa: N802
            self._answer(*fake.get(self.path))

        def do_POST(self) -> None:  # noqa: N802
            length = int(self.headers["Content-Length"])
            record = json.loads(self.rfile.read(length))
            fault = fake.faults.pop(0) if fake.faults else None
            answer = fake.publish(record, fault)
            if fault is Fault.GARBAGE:
                self._send(200, b"accepted, I think")
            elif answer:
                self._answer(*answer)

        def log_message(self, format: str, *args: Any) -> None:
            """Prints nothing."""

        def _answer(self, status: int, body: dict[str, Any]) -> None:
            self._send(status, json.dumps(body).encode())

        def _send(self, status: int, data: bytes) -> None:
            self.send_response(status)
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

    return Handler
