"""A non-idempotent call runs at most once, and every refusal is truthful.

Each case injects faults while one call has been answered, two are running and
one is queued. Then the same calls are sent again through another entry. The
services count their runs, and every answer is checked against these counts.
"""

from collections.abc import Callable, Iterator
import contextlib
import http.client
import json
import select
import time
from typing import Any

import attrs
import pytest

from quetzalmill import program_id
from tests import deployment
from tests import harness

TEAM = "events"
CALL_MS = 8_000
SETTLE_S = 20.0
FROZEN_S = 1.5

KILL = "kill"
FREEZE = "freeze"
CLOSE = "close"


@attrs.frozen
class Case:
    """Faults that are injected together.

    Attributes:
        faults: Pairs of an action and its target, injected in order.
        log_down: Whether the log is down from the first call on.
        exact: Whether every call must get its complete answer in the end.
        hold: Whether the services answer only after the faults are repaired.
    """

    faults: tuple[tuple[str, str], ...]
    log_down: bool = False
    exact: bool = True
    hold: bool = False

    def __str__(self) -> str:
        text = "+".join(f"{action}-{what}" for action, what in self.faults)
        text += "-log-down" if self.log_down else ""
        return text + ("-hold" if self.hold else "")


CASES = (
    Case(((CLOSE, "caller"),)),
    Case(((KILL, "entry"),)),
    Case(((FREEZE, "entry"),)),
    Case(((KILL, "home"),)),
    Case(((FREEZE, "home"),)),
    Case(((KILL, "home"),), hold=True),
    Case(((FREEZE, "home"),), hold=True),
    Case(((KILL, "sidecar"),), exact=False),
    Case(((FREEZE, "sidecar"),)),
    Case(((KILL, "service"),), exact=False),
    Case(((FREEZE, "service"),)),
    Case(((KILL, "home"),), log_down=True),
    Case(((FREEZE, "home"),), log_down=True),
    Case(((KILL, "entry"),), log_down=True),
    Case(((KILL, "sidecar"),), log_down=True, exact=False),
    Case(((KILL, "entry"), (KILL, "home"))),
    Case(((KILL, "home"), (KILL, "sidecar")), exact=False),
    Case(((FREEZE, "home"), (FREEZE, "sidecar")), exact=False),
    Case(((KILL, "home"), (KILL, "service")), exact=False),
)


@pytest.fixture(scope="module")
def system() -> Iterator["System"]:
    with deployment.running(entries=3) as running:
        yield System(running)


class TestFaults:
    """Faults while there is a call in each state; then the calls again."""

    @pytest.mark.parametrize("case", CASES, ids=str)
    def test_runs_once_and_refusals_are_truthful(
        self, system: "System", case: Case
    ) -> None:
        calls, busy = system.prepare_calls(case.log_down)
        for fault in case.faults:
            system.inject_fault(*fault, calls, busy)
        again = [system.send(call, entry=1) for call in calls]
        if not case.hold:
            system.release_services()
        wait_readable(again, FROZEN_S)
        system.repair()
        for call, sent in zip(calls, again, strict=True):
            system.check(call, read(sent))
        system.set_log(down=False)
        for call in calls:
            final = system.settle(call, entry=1)
            repeated = system.settle(call, entry=2)
            assert repeated == final, call
            if case.exact:
                assert final.ran == "yes", (call, final)
                assert final.body["run"] == 1


class TestAheadOfTheLog:
    """A home crashes after several calls that a failed log did not store."""

    @pytest.mark.parametrize("kinds", ["sss", "mss", "sms"])
    def test_repeated_calls_run_once(
        self, system: "System", kinds: str
    ) -> None:
        system.reset()
        programs = [system.new_call().program for _ in range(3)]
        system.set_log(down=True)
        calls = [
            Call(program, number, f"{program}-{number}", kind)
            for program in programs
            for number, kind in enumerate(kinds, start=1)
        ]
        first = [read(system.send(call)) for call in calls]
        system.inject_fault(KILL, "home", calls)
        system.set_log(down=False)
        for call, before in zip(calls, first, strict=True):
            assert before.ran == "yes"
            again = system.settle(call, entry=1)
            if call.kind == "s":
                assert again.body == before.body
                assert system.runs(call) == 1


class TestTakenOverTwice:
    """A home that took over fails before it has settled every call."""

    @pytest.mark.parametrize("action", [KILL, FREEZE])
    def test_next_home_settles_the_rest(
        self, system: "System", action: str
    ) -> None:
        calls, _ = system.prepare_calls(log_down=False)
        system.inject_fault(action, "home", calls)
        system.release_services()
        first = [system.settle(call, entry=1) for call in calls[:2]]
        system.inject_fault(action, "second home", calls)
        final = [system.settle(call, entry=2) for call in calls]
        system.repair()
        assert final[:2] == first
        assert [outcome.ran for outcome in final] == ["yes"] * 4


class TestChangedRouting:
    """Operators change endpoints and the route while calls are running."""

    def test_next_home_asks_where_calls_may_have_gone(
        self, system: "System"
    ) -> None:
        calls, _ = system.prepare_calls(log_down=False)
        changes = system.routing()
        system.running.publish_ok(*changes)
        system.running.publish_ok(*changes)
        system.inject_fault(KILL, "home", calls)
        system.release_services()
        for call in calls:
            assert system.settle(call, entry=1).ran == "yes"


class TestDeadline:
    """Deadlines that pass while a call is queued and while it is running."""

    def test_only_queued_call_is_reported_as_not_run(
        self, system: "System"
    ) -> None:
        system.reset()
        system.set_services(hang=True)
        calls: list[Call] = []
        sent: list[http.client.HTTPConnection] = []
        while not calls or not system.all_run():
            calls.append(system.new_call())
            sent.append(system.send(calls[-1], deadline_ms=1_500))
            system.wait_busy(len(calls))
        waiting = system.new_call()
        outcome = read(system.send(waiting, deadline_ms=500))
        assert (outcome.ran, system.runs(waiting)) == ("no", 0)
        assert (read(sent[0]).ran, system.runs(calls[0])) == ("unknown", 1)
        system.release_services()
        for call in [*calls, waiting]:
            system.settle(call, entry=1)


class TestResumedHome:
    """A resumed home finds restarted sidecars that know no fence."""

    @pytest.mark.parametrize("log_down", [False, True])
    def test_does_not_run_what_its_successor_ran(
        self, system: "System", log_down: bool
    ) -> None:
        system.reset()
        calls = [system.new_call() for _ in range(3)]
        system.inject_fault(FREEZE, "home", calls)
        before = [system.settle(call, entry=1) for call in calls]
        for busy in range(2):
            system.inject_fault(KILL, "sidecar", calls, busy)
        system.repair_last(2)
        system.wait_healthy(without="side-0")
        system.set_log(down=log_down)
        system.repair()
        system.wait_heard(entry=2, host="side-0")
        for call in calls:
            system.check(call, read(system.send(call, entry=2)))
        system.set_log(down=False)
        after = [system.settle(call, entry=2) for call in calls]
        assert after == before


class TestServiceFaults:
    """What a caller's answer says when its service fails."""

    @pytest.mark.parametrize(
        ("fault", "runs"), [("drop_after_run", 1), ("close_before_run", 0)]
    )
    def test_connection_ends_without_an_answer(
        self, system: "System", fault: str, runs: int
    ) -> None:
        system.reset()
        call = system.new_call()
        system.set_services(**{fault: 1})
        outcome = read(system.send(call))
        assert (outcome.ran, system.runs(call)) == ("unknown", runs)
        assert system.settle(call, entry=1) == outcome
        assert system.runs(call) == runs

    def test_refused_connections_are_not_run_until_accepted(
        self, system: "System"
    ) -> None:
        system.reset()
        call = system.new_call()
        for service in range(2):
            system.inject_fault(KILL, "service", [call], service)
        outcome = read(system.send(call))
        assert (outcome.ran, system.runs(call)) == ("no", 0)
        system.repair()
        final = system.settle(call, entry=1)
        assert (final.ran, system.runs(call)) == ("yes", 1)


class TestRefusedByEntry:
    """An entry that refuses a call does not hide that it may have run."""

    def test_over_the_rate(self, system: "System") -> None:
        system.reset()
        ran, fresh = system.new_call(), system.new_call()
        single = system.new_call(in_program=False)
        assert read(system.send(ran)).ran == "yes"
        system.publish_team(rate_per_s=0.001, burst=1.0)
        harness.eventually(
            lambda: read(system.send(ran)).body.get("code") == "over_rate",
            what="the team is over its rate",
        )
        reported = [
            read(system.send(call)).ran for call in (ran, fresh, single)
        ]
        system.publish_team(rate_per_s=1000.0, burst=1000.0)
        assert reported == ["unknown", "no", "no"]

    def test_withdrawn_route(self, system: "System") -> None:
        system.reset()
        ran = system.new_call()
        assert read(system.send(ran)).ran == "yes"
        outcome = read(system.send(attrs.evolve(ran, route="gone")))
        assert (outcome.ran, outcome.body["code"]) == (
            "unknown",
            "route_unknown",
        )


class TestSingleCall:
    """A call without a program: every request is a separate call."""

    @pytest.mark.parametrize("action", [KILL, FREEZE])
    @pytest.mark.parametrize("what", ["home", "sidecar", "service"])
    def test_runs_once_and_is_not_reported_as_not_run(
        self, system: "System", action: str, what: str
    ) -> None:
        calls, busy = system.prepare_calls(log_down=False, programs=False)
        system.inject_fault(action, what, calls, busy)
        system.release_services()
        wait_readable(system.first, FROZEN_S)
        system.repair()
        outcomes = [read(each) for each in system.first]
        for call, outcome in zip(calls[1:], outcomes, strict=True):
            assert outcome.ran != "lost"
            system.check(call, outcome)


@attrs.frozen
class Call:
    """A call as its caller numbers it.

    Attributes:
        program: Its program; empty for a single call.
        number: Its number.
        reference: The key under which the services count its runs.
        kind: ``s`` for a service call, ``m`` for a model call.
        route: The route of a booking.
    """

    program: str
    number: int
    reference: str
    kind: str = "s"
    route: str = "booking"


@attrs.frozen
class Outcome:
    """The answer that a caller got.

    Attributes:
        ran: ``yes`` for a complete answer, ``lost`` without an answer,
            otherwise the ``ran`` of the error.
        body: The answer's body.
        recorded: Whether the answer is stored as a turn of the program.
    """

    ran: str
    body: Any = None
    recorded: bool = False


LOST = Outcome("lost")


class System:
    """A deployment with two booking services and the counts of their runs."""

    def __init__(self, running: deployment.Deployment) -> None:
        self.running = running
        self.services = [running.fleet.emulator("service") for _ in range(2)]
        self._ended_runs: dict[str, int] = {}
        self._frozen_runs: dict[str, dict[str, int]] = {}
        self._serial = 0
        self.first: list[http.client.HTTPConnection] = []
        self._undo: list[Callable[[], None]] = []
        engine = running.fleet.emulator("engine")
        for _ in range(4):
            running.start_sidecar(endpoint_failure_ms=200)
        running.publish_ok(
            *(endpoint(f"engine-{i}", i, engine.address) for i in range(2)),
            *self.routing(),
            deployment.change("model", "planner", {"selector": ""}),
        )
        running.wait_shares_settled()
        self._key = running.add_team(TEAM)

    def routing(self) -> list[dict[str, Any]]:
        """Returns the changes that publish the booking endpoints and route."""
        return [
            *(
                endpoint(f"booking-{i}", i + 2, service.address, "service")
                for i, service in enumerate(self.services)
            ),
            deployment.change("route", "booking", {"selector": ""}),
        ]

    def reset(self) -> None:
        """Repairs everything and waits until bookings run again."""
        self.repair()
        self.set_log(down=False)
        self.wait_healthy()
        harness.eventually(
            lambda: read(self.send(self.new_call())).ran == "yes",
            what="a booking runs",
        )

    def prepare_calls(
        self, log_down: bool, programs: bool = True
    ) -> tuple[list[Call], int]:
        """Sends one call for each state; returns them and a service's index.

        The service is the one with the queued call.
        """
        self.reset()
        calls = [self.new_call(programs) for _ in range(4)]
        self.set_log(down=log_down)
        answered, *others = calls
        assert read(self.send(answered)).ran == "yes"
        self.set_services(hang=True)
        self.first = []
        for number, call in enumerate(others, start=1):
            self.first.append(self.send(call))
            self.wait_busy(number)
        queued = [n["queued"] for n in self._loads()]
        return calls, queued.index(max(queued))

    def inject_fault(
        self, action: str, what: str, calls: list[Call], busy: int = 0
    ) -> None:
        """Injects a fault."""
        if what == "caller":
            for connection in self.first:
                connection.close()
            return
        if what == "service":
            self._inject_service_fault(action, busy)
            return
        node = {
            "entry": self.running.entries[0],
            "home": self._home(calls[0]),
            "second home": self.running.sidecars[1],
            "sidecar": self.running.sidecars[busy + 2],
        }[what]
        if action == KILL:
            node.process.kill()
            self._undo.append(lambda: self.running.restart(node))
        else:
            node.process.freeze()
            self._undo.append(node.process.resume)

    def repair(self) -> None:
        """Resumes or restarts all failed processes; releases the services."""
        self.repair_last(len(self._undo))
        self.release_services()

    def repair_last(self, count: int) -> None:
        """Resumes or restarts the processes that failed last."""
        for _ in range(count):
            self._undo.pop()()

    def send(
        self, call: Call, entry: int = 0, deadline_ms: int = CALL_MS
    ) -> http.client.HTTPConnection:
        """Sends a call without waiting for its answer."""
        node = self.running.entries[entry]
        host, _, port = node.http.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=15)
        path = f"/v1/services/{call.route}/bookings"
        body: dict[str, Any] = {"reference": call.reference}
        headers = deployment.bearer(
            self._key, Quetzalmill_Deadline_Ms=str(deadline_ms)
        )
        if call.kind == "m":
            path = "/v1/chat/completions"
            message = {"role": "user", "content": call.reference}
            body = {"model": "planner", "messages": [message]}
        else:
            headers["Quetzalmill-Idempotent"] = "false"
        if call.program:
            headers["Quetzalmill-Program"] = call.program
            headers["Quetzalmill-Call"] = str(call.number)
        connection.request("POST", path, json.dumps(body), headers)
        return connection

    def check(self, call: Call, outcome: Outcome) -> None:
        """Checks an answer against the counted runs."""
        if call.kind == "m":
            return
        runs = self.runs(call)
        assert runs <= 1, (call, outcome)
        if outcome.ran == "yes":
            assert runs == 1, (call, outcome)
        if outcome.ran == "no":
            assert runs == 0, (call, outcome)

    def settle(self, call: Call, entry: int) -> Outcome:
        """Sends a call repeatedly until its answer is recorded."""

        def recorded() -> Outcome | None:
            outcome = read(self.send(call, entry))
            self.check(call, outcome)
            return outcome if outcome.recorded else None

        return harness.eventually(recorded, SETTLE_S, f"{call} is settled")

    def new_call(self, in_program: bool = True) -> Call:
        """Returns the first call of a new program, or a single call."""
        self._serial += 1
        if not in_program:
            return Call("", 1, f"stage-{self._serial}")
        reply = harness.call(
            self.running.entries[0].http,
            "POST",
            "/v1/programs",
            {},
            deployment.bearer(self._key),
        )
        assert reply.status == 201, reply
        return Call(reply.body["program"], 1, f"stage-{self._serial}")

    def runs(self, call: Call) -> int:
        """Returns how often a call has run."""
        total = self._ended_runs.get(call.reference, 0)
        for service in self.services:
            counts = self._frozen_runs.get(service.address)
            if counts is None:
                counts = _references(service.address)
            total += counts.get(call.reference, 0)
        return total

    def set_log(self, down: bool) -> None:
        """Takes the log down or brings it up."""
        harness.call(
            self.running.log_address, "POST", "/faults", {"down": down}
        )

    def publish_team(self, **spec: float) -> None:
        """Publishes new settings of the team."""
        self.running.publish_ok(deployment.change("team", TEAM, spec))

    def release_services(self) -> None:
        """Lets the services answer held calls."""
        self.set_services(hang=False)

    def wait_heard(self, entry: int, host: str) -> None:
        """Waits until an entry receives heartbeats from a host."""
        node = self.running.entries[entry]
        harness.eventually(
            lambda: host in node.state()["heard"],
            what=f"heartbeats from {host} arrive",
        )

    def wait_healthy(self, without: str = "") -> None:
        """Waits until all hosts but one are connected and reach the log.

        Then waits until they have applied the newest configuration.
        """
        nodes = [
            node
            for node in self.running.entries + self.running.sidecars
            if node.host != without
        ]
        sidecars = {n.host for n in nodes} - {
            n.host for n in self.running.entries
        }

        def healthy() -> bool:
            states = [n.state() for n in nodes]
            return all(
                sidecars <= {*s["heard"], s["host"]}
                and not s.get("log_is_down")
                and not s.get("may_be_fenced")
                and s.get("trusted", True)
                for s in states
            ) and all(load["up"] for load in self._loads())

        harness.eventually(healthy, SETTLE_S, "everything is healthy")
        newest = max(n.state()["applied_offset"] for n in nodes)
        harness.eventually(
            lambda: all(n.state()["applied_offset"] >= newest for n in nodes),
            what=f"every process has revision {newest}",
        )

    def _home(self, call: Call) -> deployment.Node:
        home = program_id.first_home(call.program)
        host = home.host if home else "side-0"
        return next(n for n in self.running.sidecars if n.host == host)

    def _loads(self) -> list[dict[str, Any]]:
        nodes = self.running.sidecars[2:]
        return [load for node in nodes for load in node.state()["loads"]]

    def all_run(self) -> bool:
        """Returns whether every service is running a call."""
        return all(load["running"] for load in self._loads())

    def wait_busy(self, count: int) -> None:
        """Waits until the services' sidecars run or queue ``count`` calls."""

        def busy() -> bool:
            loads = self._loads()
            return bool(count == sum(n["running"] + n["queued"] for n in loads))

        harness.eventually(busy, what=f"{count} calls are at the services")

    def _inject_service_fault(self, action: str, index: int) -> None:
        service = self.services[index]
        counts = _references(service.address)
        if action == FREEZE:
            self._frozen_runs[service.address] = counts
            service.freeze()
            self._undo.append(lambda: self._resume_service(index))
            return
        service.kill()
        for reference, count in counts.items():
            known = self._ended_runs.get(reference, 0)
            self._ended_runs[reference] = known + count
        self._frozen_runs[service.address] = {}
        self._undo.append(lambda: self._restart_service(index))

    def _resume_service(self, index: int) -> None:
        service = self.services[index]
        service.resume()
        del self._frozen_runs[service.address]

    def _restart_service(self, index: int) -> None:
        address = self.services[index].address
        self.services[index] = self.running.fleet.emulator(
            "service", address=address
        )
        del self._frozen_runs[address]

    def set_services(self, **faults: Any) -> None:
        """Sets faults at the services that are not killed or frozen."""
        for service in self.services:
            if service.address not in self._frozen_runs:
                harness.call(service.address, "POST", "/debug/faults", faults)


def endpoint(
    name: str, host: int, address: str, kind: str = "engine"
) -> dict[str, Any]:
    """Returns the change that publishes an endpoint with one slot."""
    spec = {"host": f"side-{host}", "address": address, "kind": kind}
    return deployment.change("endpoint", name, {**spec, "slots": 1})


def read(connection: http.client.HTTPConnection) -> Outcome:
    """Returns the answer to a sent call."""
    try:
        with contextlib.closing(connection):
            response = connection.getresponse()
            body = json.loads(response.read())
    except (OSError, http.client.HTTPException):
        return LOST
    if response.status == 200:
        return Outcome("yes", body, recorded=True)
    recorded = "history" in body["details"]
    # Whether the log has stored the turn yet is not part of the answer.
    body["details"].pop("durable", None)
    return Outcome(body["ran"], body, recorded=recorded)


def wait_readable(
    connections: list[http.client.HTTPConnection], timeout_s: float
) -> None:
    """Waits until every answer has started or the timeout has passed."""
    sockets = [c.sock for c in connections]
    deadline_s = time.monotonic() + timeout_s
    for each in sockets:
        select.select([each], [], [], max(0, deadline_s - time.monotonic()))


def _references(address: str) -> dict[str, int]:
    reply = harness.call(address, "GET", "/debug/runs")
    counts: dict[str, int] = reply.body["references"]
    return counts
