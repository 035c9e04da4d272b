"""Responses to valid and invalid callers' requests, from real processes."""

from collections.abc import Iterator
import http.server
import json
import socket
import threading
from typing import Any

import attrs
import pytest

from tests import conversation
from tests import deployment
from tests import harness

COMPLETIONS = "/v1/chat/completions"
PROGRAMS = "/v1/programs"
BOOKINGS = "/v1/services/booking/bookings"
MAX_BODY_BYTES = 65_536
MAX_HEADER_BYTES = 4_096
CALL_TIMEOUT_MS = 2_500
CONNECTION_TIMEOUT_S = 10.0
ASK = {"model": "planner", "messages": [{"role": "user", "content": "when"}]}
UNKNOWN_PROGRAM = "ab12.cd34.side-9"


@pytest.fixture(scope="module")
def system() -> Iterator["System"]:
    with deployment.running(
        entries=1,
        max_body_bytes=MAX_BODY_BYTES,
        max_header_bytes=MAX_HEADER_BYTES,
    ) as running:
        server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), _Echo)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        yield System(running, server)
        server.shutdown()
        server.server_close()


@attrs.frozen(kw_only=True)
class Case:
    """A request and its expected error.

    Attributes:
        name: The test id.
        status: The status of the response.
        code: The error code of the response.
        method: The HTTP method.
        path: The path.
        body: The body; bytes are sent as they are.
        headers: Headers besides the key; ``PROGRAM`` stands for a program.
        team: The team whose key is sent; empty for none.
    """

    name: str
    status: int
    code: str
    method: str = "POST"
    path: str = COMPLETIONS
    body: Any = attrs.field(factory=lambda: ASK)
    headers: dict[str, str] = attrs.field(factory=dict)
    team: str = "keepers"


def _call(program: str, number: str, **more: str) -> dict[str, str]:
    return {
        "Quetzalmill-Program": program,
        "Quetzalmill-Call": number,
        **{name.replace("_", "-"): value for name, value in more.items()},
    }


def _nested(levels: int) -> bytes:
    deep = b'{"a":' * levels + b"1" + b"}" * levels
    return b'{"model":"planner","messages":[{"role":"user","x":%s}]}' % deep


def _invalid(name: str, **more: Any) -> Case:
    return Case(name=name, status=422, code="invalid_request", **more)


def _program(name: str, fields: Any, **more: Any) -> Case:
    return _invalid(name, path=PROGRAMS, body=fields, **more)


CASES = (
    Case(name="no key", status=401, code="key_unknown", team=""),
    Case(name="unknown key", status=401, code="key_unknown", team="nobody"),
    Case(name="unknown path", status=404, code="not_found", path="/v1/models"),
    Case(
        name="unknown model",
        status=404,
        code="model_unknown",
        body={**ASK, "model": "oracle"},
    ),
    Case(
        name="unknown route",
        status=404,
        code="route_unknown",
        path="/v1/services/none/x",
    ),
    Case(
        name="model of other teams",
        status=403,
        code="not_allowed",
        team="drivers",
    ),
    Case(
        name="connect method",
        status=404,
        code="not_found",
        method="CONNECT",
        path=BOOKINGS,
    ),
    _invalid("broken json", body=b'{"model":'),
    _invalid("json array", body=b"[1]"),
    _invalid("no messages", body={"model": "planner"}),
    _invalid("message without role", body={**ASK, "messages": [{}]}),
    _invalid("negative max_tokens", body={**ASK, "max_tokens": -1}),
    _invalid("huge max_tokens", body={**ASK, "max_tokens": 10**30}),
    _invalid("deep json", body=_nested(5_000)),
    _invalid("json near the recursion limit", body=_nested(900)),
    _invalid("json too deep", body=_nested(200)),
    _invalid("call without a number", headers={"Quetzalmill-Program": "x"}),
    _invalid("call zero", headers=_call("PROGRAM", "0")),
    _invalid("call is not a number", headers=_call("PROGRAM", "two")),
    _invalid(
        "idempotent is neither true nor false",
        headers=_call("PROGRAM", "2", Quetzalmill_Idempotent="maybe"),
    ),
    _invalid(
        "negative deadline",
        headers=_call("PROGRAM", "2", Quetzalmill_Deadline_Ms="-5"),
    ),
    Case(
        name="malformed program",
        status=404,
        code="program_unknown",
        headers=_call("no id", "1"),
    ),
    Case(
        name="unknown program",
        status=404,
        code="program_unknown",
        headers=_call(UNKNOWN_PROGRAM, "1"),
    ),
    Case(
        name="call too far ahead",
        status=409,
        code="order_conflict",
        headers=_call("PROGRAM", "4"),
    ),
    Case(
        name="other request for an answered call",
        status=409,
        code="order_conflict",
        headers=_call("PROGRAM", "1"),
    ),
    Case(
        name="other history",
        status=409,
        code="order_conflict",
        headers=_call("PROGRAM", "2", Quetzalmill_History="fd\xe9"),
    ),
    Case(
        name="other team's program",
        status=403,
        code="other_team",
        path=BOOKINGS,
        headers=_call("PROGRAM", "2"),
        team="drivers",
    ),
    *(
        Case(
            name=f"{method} of another team's program",
            status=403,
            code="other_team",
            method=method,
            path=f"{PROGRAMS}/PROGRAM",
            body=None,
            team="drivers",
        )
        for method in ("GET", "DELETE")
    ),
    *(
        Case(
            name=f"{method} of {program!r}",
            status=404,
            code="program_unknown",
            method=method,
            path=f"{PROGRAMS}/{program}",
            body=None,
        )
        for method in ("GET", "DELETE")
        for program in (UNKNOWN_PROGRAM, "x", "")
    ),
    Case(
        name="parent of another team",
        status=403,
        code="other_team",
        path=PROGRAMS,
        body={"parent": "PROGRAM"},
        team="drivers",
    ),
    Case(
        name="malformed parent",
        status=404,
        code="program_unknown",
        path=PROGRAMS,
        body={"parent": "x"},
    ),
    _program("unknown field", {"budgets": {}}),
    _program("unknown field of the budget", {"budget": {"coins": 1}}),
    _program("list as budget", {"budget": []}),
    _program("fractional calls", {"budget": {"calls": 0.5}}),
    _program("calls out of range", {"budget": {"calls": 10**40}}),
    _program("zero tokens", {"budget": {"tokens": 0}}),
    _program("time is a string", {"budget": {"time_ms": "1"}}),
    _program("negative deadline", {"deadline_ms": -1}),
    _program("parent is not a string", {"parent": 7}),
    _program("deeply nested fields", b'{"a":' * 5_000 + b"1" + b"}" * 5_000),
    Case(
        name="large body",
        status=413,
        code="body_too_large",
        body=b"x" * (MAX_BODY_BYTES + 1),
    ),
    Case(
        name="large headers",
        status=431,
        code="headers_too_large",
        headers={"X-Large": "x" * MAX_HEADER_BYTES},
    ),
)

BROKEN = (
    (b"nonsense\r\n\r\n", 400),
    (b"GET /x HTTP/1.1\r\n\r\n", 400),
    (b"GET / x HTTP/1.1\r\nHost: a\r\n\r\n", 400),
    (b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", 400),
    (
        b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"zz\r\n",
        400,
    ),
    (b"GET /x HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 200_000, 431),
)


class TestBadRequests:
    """Each invalid request gets its error and leaves the program unchanged."""

    @pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
    def test_error_is_the_documented_one(
        self, system: "System", case: Case
    ) -> None:
        before = system.conversation.view()
        reply = system.send(case)
        assert (reply.status, reply.body["code"]) == (case.status, case.code)
        assert reply.body["ran"] in system.ran_of(case)
        assert reply.body["message"]
        assert f"`{case.code}`" in _documented(case.status)
        assert (reply.status == 503) == ("retry-after" in reply.headers)
        assert system.conversation.view() == before

    @pytest.mark.parametrize(("data", "status"), BROKEN)
    def test_broken_http(
        self, system: "System", data: bytes, status: int
    ) -> None:
        reply = _raw(system.address, data)
        assert reply.startswith(b"HTTP/1.1 %d " % status)
        assert b'"ran": "no"' in reply

    def test_no_process_restarted(self, system: "System") -> None:
        system.conversation.ask("still here")
        assert system.instances() == system.first_instances

    def test_conflict_names_the_expected_call(self, system: "System") -> None:
        case = Case(name="", status=0, code="", headers=_call("PROGRAM", "99"))
        view = system.conversation.view()
        details = system.send(case).body["details"]
        assert details["expected_call"] == view["next_call"]
        assert details["history"] == view["history"]


class TestLimits:
    """Budgets, deadlines and rates."""

    @pytest.mark.parametrize("limit", ["calls", "tokens", "time_ms"])
    def test_spent_budget(self, system: "System", limit: str) -> None:
        one = conversation.Conversation(system.running, budget={limit: 1})
        # An answer that is complete at its deadline is delivered, so the one
        # that must exceed its budget takes seconds, however slow the machine.
        tokens = 2_000 if limit == "time_ms" else 1
        first = one.send(1, "first", tokens)
        assert first.done == (limit != "time_ms")
        reply = one.request(
            "POST",
            COMPLETIONS,
            {**ASK, "max_tokens": 2},
            **_call(one.program, str(one.view()["next_call"])),
        )
        assert (reply.status, reply.body["code"]) == (402, "budget_spent")
        assert reply.body["ran"] == "no"

    @pytest.mark.parametrize("where", ["header", "program", "home"])
    def test_deadline(self, system: "System", where: str) -> None:
        fields: dict[str, Any] = {}
        if where == "program":
            fields["deadline_ms"] = 400
        header = {}
        if where == "header":
            header["Quetzalmill_Deadline_Ms"] = "400"
        one = conversation.Conversation(system.running, **fields)
        reply = one.request(
            "POST",
            "/v1/services/booking/slow",
            {},
            **_call(one.program, "1", **header),
        )
        assert (reply.status, reply.body["code"]) == (504, "deadline")
        assert reply.body["ran"] == "unknown"

    def test_over_the_rate(self, system: "System") -> None:
        case = Case(name="", status=0, code="", path=BOOKINGS, team="few")
        replies = [system.send(case) for _ in range(2)]
        assert [reply.status for reply in replies] == [200, 429]
        assert replies[1].body["code"] == "over_rate"
        assert replies[1].body["retry_after_ms"] > 0
        assert int(replies[1].headers["retry-after"]) >= 1

    def test_no_endpoint(self, system: "System") -> None:
        case = Case(name="", status=0, code="", path="/v1/services/empty/x")
        reply = system.send(case)
        assert (reply.status, reply.body["code"]) == (503, "no_endpoint")
        assert reply.body["ran"] == "no"
        assert "quetzalmill-call" not in reply.headers
        assert int(reply.headers["retry-after"]) >= 1


class TestServices:
    """Service requests and responses pass through unchanged."""

    @pytest.mark.parametrize(
        "method", ["GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]
    )
    def test_request_arrives_unchanged(
        self, system: "System", method: str
    ) -> None:
        target = "/a//b%2Fc;d?x=1&x=2&empty=&flag&plus=a+b%20c"
        body = b"" if method == "GET" else b"\x00\xff raw"
        reply = system.send(
            Case(
                name="",
                status=0,
                code="",
                method=method,
                path="/v1/services/booking" + target,
                body=body,
                headers={"Content-Type": "text/x; name=caf\xe9"},
            )
        )
        assert reply.status == 200, reply
        assert reply.body == {
            "method": method,
            "target": target,
            "type": "text/x; name=caf\xe9",
            "body": body.decode("latin-1"),
        }

    @pytest.mark.parametrize("status", [201, 204, 404, 422, 500, 503])
    def test_response_is_unchanged(self, system: "System", status: int) -> None:
        reply = system.send(
            Case(
                name="",
                status=0,
                code="",
                path=f"/v1/services/booking/status/{status}",
            )
        )
        assert reply.status == status
        assert reply.headers["quetzalmill-call"] == "1"
        if status != 204:
            assert reply.headers["content-type"] == "text/x-echo"
            assert reply.body == b"as it is"

    def test_head_has_no_body(self, system: "System") -> None:
        reply = _raw(
            system.address,
            f"HEAD {BOOKINGS} HTTP/1.1\r\nHost: a\r\n"
            f"Authorization: Bearer {system.key('keepers')}\r\n"
            "Connection: close\r\n\r\n".encode(),
        )
        head, _, body = reply.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 ")
        assert b"content-length: 0" not in head.lower()
        assert body == b""

    def test_open_route_needs_no_key(self, system: "System") -> None:
        case = Case(
            name="", status=0, code="", path="/v1/services/open/x", team=""
        )
        assert system.send(case).status == 200
        wrong = system.send(attrs.evolve(case, team="nobody"))
        assert wrong.status == 401
        inside = attrs.evolve(case, headers=_call("PROGRAM", "2"))
        assert system.send(inside).body["code"] == "other_team"


class System:
    """A deployment with an echo service and a program of one call."""

    def __init__(
        self,
        running: deployment.Deployment,
        server: http.server.ThreadingHTTPServer,
    ) -> None:
        self.running = running
        engine = running.fleet.emulator("engine")
        running.start_sidecar(call_timeout_ms=CALL_TIMEOUT_MS)
        echo = f"127.0.0.1:{server.server_address[1]}"
        labels = {"for": "keepers"}
        running.publish_ok(
            _endpoint("engine-0", engine.address, "engine", "planner"),
            _endpoint("echo-0", echo, "service", "booking"),
            deployment.change(
                "model",
                "planner",
                {"selector": "does=planner", "labels": labels},
            ),
            *(
                deployment.change("route", name, {"selector": does, **more})
                for name, does, more in (
                    ("booking", "does=booking", {}),
                    ("empty", "does=nothing", {}),
                    ("open", "does=booking", {"open": True}),
                )
            ),
        )
        running.wait_shares_settled()
        running.add_team("keepers")
        running.add_team("drivers", selector="for!=keepers")
        running.add_team("few", rate_per_s=0.01, burst=1.0)
        running.wait_tokens("few", 1.0)
        self.address = running.entries[0].http
        self.conversation = conversation.Conversation(running)
        self.conversation.ask("the first question")
        self.first_instances = self.instances()

    def instances(self) -> list[str]:
        """Returns the instance id of each process."""
        nodes = self.running.entries + self.running.sidecars
        return [node.state()["instance"] for node in nodes]

    def key(self, team: str) -> str:
        """Returns a team's key, or an unissued one for an unknown team."""
        known = self.running.keys["keepers"]
        return self.running.keys.get(team, known[:-4] + "0000")

    def send(self, case: Case) -> harness.Reply:
        """Sends a case's request."""
        program = self.conversation.program
        headers = {
            name: value.replace("PROGRAM", program)
            for name, value in case.headers.items()
        }
        if case.team:
            headers.update(deployment.bearer(self.key(case.team)))
        body = case.body
        if isinstance(body, dict) and body.get("parent") == "PROGRAM":
            body = {"parent": program}
        path = case.path.replace("PROGRAM", program)
        return harness.call(self.address, case.method, path, body, headers)

    def ran_of(self, case: Case) -> tuple[str, ...]:
        """Returns the values of ``ran`` that the error may have."""
        answered = case.headers.get("Quetzalmill-Call") == "1"
        return ("no", "unknown") if answered else ("no",)


class _Echo(http.server.BaseHTTPRequestHandler):
    """Echoes each request as JSON."""

    protocol_version = "HTTP/1.1"

    def handle(self) -> None:
        """Serves one connection; the peer may disconnect at any time."""
        try:
            super().handle()
        except OSError:
            return

    def _answer(self) -> None:
        size = int(self.headers.get("content-length") or 0)
        body = self.rfile.read(size)
        status, kind, data = 200, "application/json", self._echo(body)
        if self.path.startswith("/status/"):
            status, kind, data = int(self.path[8:]), "text/x-echo", b"as it is"
        if self.path == "/slow":
            threading.Event().wait(2 * CALL_TIMEOUT_MS / 1000)
        if status == 204:
            data = b""
        self.send_response(status)
        self.send_header("Content-Type", kind)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(data)

    def _echo(self, body: bytes) -> bytes:
        return json.dumps(
            {
                "method": self.command,
                "target": self.path,
                "type": self.headers.get("content-type"),
                "body": body.decode("latin-1"),
            }
        ).encode()

    def log_message(self, *_: Any) -> None:
        """Writes nothing."""

    do_GET = do_POST = do_PUT = do_PATCH = do_DELETE = _answer  # noqa: N815
    do_OPTIONS = do_HEAD = _answer  # noqa: N815


def _endpoint(name: str, address: str, kind: str, does: str) -> dict[str, Any]:
    spec = {"host": "side-0", "address": address, "kind": kind, "slots": 4}
    return deployment.change(
        "endpoint", name, {**spec, "labels": {"does": does}}
    )


def _documented(status: int) -> str:
    """Returns the codes that the callers' page lists for a status."""
    page = (harness.REPOSITORY / "docs" / "callers.md").read_text()
    rows = [row.split("|") for row in page.splitlines() if row.startswith("| ")]
    return next(row[2] for row in rows if str(status) in row[1])


def _raw(address: str, data: bytes) -> bytes:
    host, _, port = address.rpartition(":")
    with socket.create_connection(
        (host, int(port)), CONNECTION_TIMEOUT_S
    ) as connection:
        connection.sendall(data)
        reply = b""
        while piece := connection.recv(65_536):
            reply += piece
        return reply
