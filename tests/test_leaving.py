"""Tests of draining hosts and shutdowns under streaming load.

The liveness timeout is longer than any call here may take, so nothing that
these tests observe is caused by a timeout.
"""

from collections.abc import Iterator
import threading
from typing import Any

import pytest

from tests import conversation as conversation_module
from tests import deployment
from tests import harness

PEER_TIMEOUT_MS = 60_000
BOUND_S = 5.0
TALKS = 6
TURNS = 8
SIDECARS = 3
LONG_TOKENS = 1000
"""Length of an answer that outlasts an entry's notice to the balancer."""


@pytest.fixture(name="system")
def fixture_system() -> Iterator[deployment.Deployment]:
    with harness.Fleet() as fleet:
        running = deployment.Deployment(fleet)
        hosts = fleet.emulator("hosts", "--lag-ms", "700")
        running.start_entries(
            2, hosts_address=hosts.address, peer_timeout_ms=PEER_TIMEOUT_MS
        )
        changes = [deployment.change("model", "planner", {"selector": ""})]
        for index in range(SIDECARS):
            engine = fleet.emulator("engine", "--decode-ms", "4")
            running.engines.append(engine)
            running.start_sidecar(peer_timeout_ms=PEER_TIMEOUT_MS)
            spec = {
                "host": f"side-{index}",
                "address": engine.address,
                "slots": 2,
            }
            changes.append(
                deployment.change("endpoint", f"engine-{index}", spec)
            )
            set_listed(hosts, f"side-{index}", "live")
        running.publish_ok(*changes)
        running.wait_shares_settled()
        running.add_team("keepers")
        yield running


class Load:
    """Callers that each make dependent streamed calls at ready entries."""

    def __init__(self, system: deployment.Deployment) -> None:
        self.failures: list[str] = []
        self.turns = 0
        self._system = system
        self._threads = [
            threading.Thread(target=self._run, args=(n,), daemon=True)
            for n in range(TALKS)
        ]
        for thread in self._threads:
            thread.start()

    def wait_turns(self, count: int) -> None:
        """Waits until ``count`` more turns have completed."""
        target = self.turns + count
        harness.eventually(
            lambda: self.turns >= target or bool(self.failures),
            what=f"{target} turns have completed",
        )

    def finish(self) -> None:
        """Waits for all callers; every call must have succeeded."""
        for thread in self._threads:
            thread.join(60)
        assert not self.failures
        assert self.turns == TALKS * TURNS

    def _run(self, number: int) -> None:
        try:
            conversation = conversation_module.Conversation(
                self._system, entry=self._ready(number)
            )
            for turn in range(TURNS):
                conversation.entry = self._ready(number + turn)
                conversation.ask(f"caller {number} turn {turn}", 40)
                self.turns += 1
            assert conversation.view()["next_call"] == TURNS + 1
        except (AssertionError, OSError) as error:
            self.failures.append(repr(error))

    def _ready(self, preferred: int) -> int:
        """Chooses an entry as the balancer does."""
        count = len(self._system.entries)
        order = [(preferred + n) % count for n in range(count)]

        def ready() -> list[int]:
            return [n for n in order if is_ready(self._system.entries[n])]

        return harness.eventually(ready, what="an entry is ready")[0]


def is_ready(node: deployment.Node) -> bool:
    try:
        return harness.call(node.http, "GET", "/ready").status == 200
    except OSError:
        return False


def set_listed(hosts: harness.Process, host: str, state: str) -> None:
    harness.call(
        hosts.address, "POST", "/hosts", {"host": host, "state": state}
    )


def requests_at(system: deployment.Deployment, index: int) -> int:
    """Returns the number of requests that an engine has received."""
    return len(_seen(system.engines[index]))


def drain_by_operator(system: deployment.Deployment, host: str) -> None:
    node = next(n for n in system.entries + system.sidecars if n.host == host)
    fields = ("http_address", "control_address", "failure_domain")
    spec: dict[str, Any] = {name: node.settings[name] for name in fields}
    spec |= {
        "role": "entry" if node in system.entries else "sidecar",
        "instance": node.state()["instance"],
        "leaving": True,
    }
    assert (
        system.publish([deployment.change("process", host, spec)]).status == 200
    )


def leave_listed(system: deployment.Deployment, host: str) -> None:
    hosts = system.entries[0].settings["hosts_address"]
    body = {"host": host, "state": "leaving"}
    harness.call(hosts, "POST", "/hosts", body)


class TestShutdown:
    """SIGTERM under streaming load aborts no request."""

    @pytest.mark.parametrize("host", ["side-0", "entry-0"])
    def test_terminated_process_finishes_its_requests(
        self, system: deployment.Deployment, host: str
    ) -> None:
        conversation = conversation_module.Conversation(system)
        call = conversation_module.BackgroundCall(
            conversation, "long", LONG_TOKENS
        )
        load = Load(system)
        load.wait_turns(TALKS)
        call.wait_started()
        node = next(
            n for n in system.entries + system.sidecars if n.host == host
        )
        node.process.signal_terminate()
        load.finish()
        conversation.take("long", call.result(), LONG_TOKENS)
        assert node.process.wait_end(30) == 0

    def test_sidecar_that_waits_for_its_queue(
        self, system: deployment.Deployment
    ) -> None:
        talks = [conversation_module.Conversation(system) for _ in range(TALKS)]
        calls = [
            conversation_module.BackgroundCall(t, "long", 200) for t in talks
        ]
        calls[0].wait_started()
        home = next(n for n in system.sidecars if n.host == talks[0].home)
        home.process.signal_terminate()
        for conversation, call in zip(talks, calls, strict=True):
            conversation.take("long", call.result(), 200)
        assert home.process.wait_end(30) == 0
        for conversation in talks:
            conversation.ask("after its home has gone")


class TestShutdownTimeout:
    """SIGTERM to an entry whose calls outlast its drain timeout."""

    _DRAIN_TIMEOUT_MS = 3_000

    def test_call_that_outlasts_the_drain_timeout_is_answered(self) -> None:
        """Its connection must not close without an answer."""
        with deployment.running(
            drain_timeout_ms=self._DRAIN_TIMEOUT_MS
        ) as system:
            engine = system.fleet.emulator("engine", "--decode-ms", "50")
            system.start_sidecar()
            spec = {"host": "side-0", "address": engine.address, "slots": 2}
            system.publish_ok(
                deployment.change("model", "planner", {"selector": ""}),
                deployment.change("endpoint", "engine-0", spec),
            )
            system.wait_shares_settled()
            system.add_team("keepers")
            replies: list[harness.Reply] = []
            callers = [
                threading.Thread(
                    target=lambda: replies.append(_long_call(system)),
                    daemon=True,
                )
                for _ in range(4)
            ]
            for caller in callers:
                caller.start()
            harness.eventually(
                lambda: len(_seen(engine)) >= 2, what="calls run at the engine"
            )
            system.entries[0].process.signal_terminate()
            for caller in callers:
                caller.join(2.0 * self._DRAIN_TIMEOUT_MS / 1000.0)
            assert [reply.status for reply in replies] == [504] * len(callers)
            assert {reply.body["ran"] for reply in replies} == {"unknown"}
            assert system.entries[0].process.wait_end(5) == 0


def _seen(engine: harness.Process) -> list[Any]:
    """Returns the requests that an engine has received."""
    body = harness.call(engine.address, "GET", "/debug/requests").body
    requests: list[Any] = body["requests"]
    return requests


def _long_call(system: deployment.Deployment) -> harness.Reply:
    """Sends a call of a minute whose answer is not streamed."""
    body = {
        "model": "planner",
        "max_tokens": LONG_TOKENS,
        "answer_tokens": LONG_TOKENS,
        "messages": [{"role": "user", "content": "long"}],
    }
    key = system.keys["keepers"]
    return harness.call(
        system.entries[0].http,
        "POST",
        "/v1/chat/completions",
        body,
        deployment.bearer(key),
    )


class TestLeaving:
    """A process shutting down gets no new work and transfers its programs."""

    @pytest.mark.parametrize("requested_by", ["operator", "host list"])
    def test_sidecar_asked_to_shut_down(
        self, system: deployment.Deployment, requested_by: str
    ) -> None:
        load = Load(system)
        load.wait_turns(TALKS)
        if requested_by == "operator":
            drain_by_operator(system, "side-0")
        else:
            leave_listed(system, "side-0")
        node = system.sidecars[0]
        harness.eventually(
            lambda: node.state()["leaving"] and not node.state()["programs"],
            BOUND_S,
            "the sidecar has transferred its programs",
        )
        harness.eventually(
            lambda: node.state()["loads"][0]["running"] == 0,
            what="the endpoint has finished",
        )
        before = requests_at(system, 0)
        again = Load(system)
        load.finish()
        again.finish()
        assert requests_at(system, 0) == before
        if requested_by == "host list":
            hosts = system.entries[0].settings["hosts_address"]
            body = {"host": "side-0", "state": "live"}
            harness.call(hosts, "POST", "/hosts", body)
            Load(system).finish()
            assert requests_at(system, 0) == before
        assert node.process.running
        assert node.process.terminate(30) == 0


class TestEvacuation:
    """Endpoints of an evacuated failure domain get no requests."""

    def test_programs_go_on_elsewhere_while_there_are_others(
        self, system: deployment.Deployment
    ) -> None:
        load = Load(system)
        load.wait_turns(TALKS)
        domain = system.sidecars[0].settings["failure_domain"]
        system.wait_revision(
            system.publish_ok(deployment.change("evacuation", domain, {}))
        )
        node = system.sidecars[0]
        assert domain in node.state()["evacuated_domains"]
        harness.eventually(
            lambda: node.state()["loads"][0]["running"] == 0,
            what="the endpoint has finished",
        )
        before = requests_at(system, 0)
        again = Load(system)
        load.finish()
        again.finish()
        assert requests_at(system, 0) == before
        orders = [
            deployment.change("evacuation", node.settings["failure_domain"], {})
            for node in system.sidecars
        ]
        system.wait_revision(system.publish_ok(*orders))
        counts = [requests_at(system, index) for index in range(SIDECARS)]
        refused = _long_call(system)
        assert refused.status == 503
        assert refused.body["error"]["code"] == "no_endpoint"
        assert float(refused.headers["retry-after"]) > 0
        assert counts == [requests_at(system, i) for i in range(SIDECARS)]


class TestRestarted:
    """A restarted process does not inherit its predecessor's shutdown."""

    @pytest.mark.parametrize("role", ["entries", "sidecars"])
    def test_restarted_while_the_log_is_slow(self, role: str) -> None:
        with deployment.running(entries=2) as running:
            running.start_sidecar()
            running.wait_shares_settled()
            log = running.log_address
            harness.call(log, "POST", "/faults", {"delay_ms": 400.0})
            node = getattr(running, role)[0]
            assert node.process.terminate(30) == 0
            running.restart(node)
            harness.call(log, "POST", "/faults", {})
            running.publish_ok(
                deployment.change("team", "t", {"rate_per_s": 1, "burst": 1})
            )
            assert node.state()["leaving"] is False
            assert is_ready(node)
