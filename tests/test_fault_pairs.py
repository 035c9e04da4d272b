"""Pairs of faults over mixed traffic; all promises are checked after each.

A seed draws the faults and when they strike. ``--fault-seeds 4-9`` runs more
seeds than the suite does.
"""

from collections.abc import Callable, Iterator
import contextlib
import http.client
import random
import threading
from typing import Any

import attrs

from quetzalmill import program_id
from quetzalmill_emulator import fault_proxy
from tests import deployment
from tests import harness
from tests import mixed_traffic

PAIRS_PER_SEED = 2
TEAMS = ("keepers", "drivers")
FLOOD = "flood"
FLOOD_RATE_PER_S = 8.0
FLOOD_BURST = 8.0
HEALTHY_S = 20.0
LEASE_MS = 2_000
CUT_LINK = "entry-2-to-log"

KILL = "kill"
FREEZE = "freeze"
RESTART = "restart"
_PROCESS_FAULTS = tuple(
    (action, target)
    for target in ("entry", "home", "engine-sidecar", "booking-sidecar")
    for action in (KILL, FREEZE, RESTART)
)
_OTHER_FAULTS = (
    (KILL, "engine"),
    (FREEZE, "engine"),
    ("down", "log"),
    ("slow", "log"),
    ("lose-replies", "log"),
    ("cut", "link"),
)
FAULTS = _PROCESS_FAULTS + _OTHER_FAULTS


@attrs.frozen
class Pair:
    """Two faults and when they strike.

    Attributes:
        faults: An action and what it strikes, one after the other.
        after_calls: Answered calls before each strike.
        hold_s: How long both last.
    """

    faults: tuple[tuple[str, str], tuple[str, str]]
    after_calls: tuple[int, int]
    hold_s: float


class TestPairs:
    """Whatever two faults strike, every promise holds."""

    def test_promises_hold(self, fault_seed: int) -> None:
        draws = random.Random(f"pairs-{fault_seed}")
        with _system() as system:
            for number in range(PAIRS_PER_SEED):
                pair = draw_pair(draws)
                print(f"seed {fault_seed}, pair {number}: {pair}")
                system.run(pair, random.Random(f"{fault_seed}-{number}"))


class TestChecks:
    """The checks themselves see what they are for."""

    def test_window_over_the_rate_is_seen(self) -> None:
        sent = [
            mixed_traffic.Sent("r", at, at + 0.01, "yes", "", admitted=True)
            for at in (0.0, 0.1, 0.2, 5.0)
        ]
        over = mixed_traffic.max_rate_excess(sent, rate_per_s=1.0, burst=2.0)
        assert 0.7 < over < 0.8
        assert (
            mixed_traffic.max_rate_excess(sent, rate_per_s=1.0, burst=3.0) < 0
        )

    def test_draws_repeat(self) -> None:
        pairs = [draw_pair(random.Random(7)) for _ in range(2)]
        assert pairs[0] == pairs[1]


class System:
    """A deployment, its traffic and the faults in force."""

    def __init__(
        self, running: deployment.Deployment, proxy: fault_proxy.FaultProxy
    ) -> None:
        self.running = running
        self._proxy = proxy
        self._undo: list[Callable[[], None]] = []
        self._offsets: dict[str, int] = {}
        self._watching = threading.Event()
        self._setbacks: list[str] = []
        self.engines = [running.fleet.emulator("engine") for _ in range(2)]
        self.service = running.fleet.emulator("service", "--work-ms", "20")
        for _ in range(3):
            running.start_sidecar(lease_ms=LEASE_MS, endpoint_failure_ms=200)
        running.publish_ok(
            *(_endpoint(i, e.address) for i, e in enumerate(self.engines)),
            _endpoint(2, self.service.address, "service"),
            deployment.change("model", "planner", {"selector": ""}),
            deployment.change("route", "booking", {"selector": ""}),
        )
        running.wait_shares_settled()
        for team in TEAMS:
            running.add_team(team)
        self._withdrawn = running.add_team("gone")
        running.publish_ok(_withdrawal(running, self._withdrawn))
        running.add_team(FLOOD, rate_per_s=FLOOD_RATE_PER_S, burst=FLOOD_BURST)

    def run(self, pair: Pair, draws: random.Random) -> None:
        """Sends traffic, brings a pair of faults about, checks everything."""
        agents = [
            mixed_traffic.Agent(
                self.running,
                TEAMS[index % 2],
                random.Random(draws.random()),
                self.service.address,
            )
            for index in range(6)
        ]
        floods = [
            mixed_traffic.Flood(
                self.running, FLOOD, random.Random(draws.random())
            )
            for _ in range(3)
        ]
        watch = threading.Thread(target=self._watch, daemon=True)
        self._watching.set()
        for thread in (*agents, *floods, watch):
            thread.start()
        try:
            self._bring_about(pair, agents)
        finally:
            self.mend()
        for agent in agents:
            agent.join(3 * mixed_traffic.SETTLE_S)
        for flood in floods:
            flood.end()
        self._watching.clear()
        watch.join(HEALTHY_S)
        self._check(agents, [sent for each in floods for sent in each.sent])

    def mend(self) -> None:
        """Ends every fault."""
        while self._undo:
            self._undo.pop()()

    def _bring_about(
        self, pair: Pair, agents: list[mixed_traffic.Agent]
    ) -> None:
        twice = pair.faults[0][1] == pair.faults[1][1]
        for position, fault in enumerate(pair.faults):
            _wait_for_calls(agents, pair.after_calls[position])
            if position and twice:
                self.mend()
            self._strike(*fault, agents)
        threading.Event().wait(pair.hold_s)

    def _strike(
        self, action: str, target: str, agents: list[mixed_traffic.Agent]
    ) -> None:
        match target:
            case "log":
                self._strike_log(action)
            case "link":
                self._proxy.set_faults(
                    CUT_LINK, cut_requests=True, cut_replies=True
                )
                self._undo.append(lambda: self._proxy.heal(CUT_LINK))
            case "engine":
                self._strike_engine(action)
            case _:
                self._strike_node(action, self._node(target, agents))

    def _strike_log(self, action: str) -> None:
        faults = {
            "down": {"down": True},
            "slow": {"delay_ms": 400.0},
            "lose-replies": {"lose_replies": 5},
        }[action]
        address = self.running.log_address
        harness.call(address, "POST", "/faults", faults)
        self._undo.append(
            lambda: _discard(harness.call(address, "POST", "/faults", {}))
        )

    def _strike_engine(self, action: str) -> None:
        engine = self.engines[0]
        if action == FREEZE:
            engine.freeze()
            self._undo.append(engine.resume)
            return
        engine.kill()
        self._undo.append(self._new_engine)

    def _new_engine(self) -> None:
        self.engines[0] = self.running.fleet.emulator(
            "engine", address=self.engines[0].address
        )

    def _strike_node(self, action: str, node: deployment.Node) -> None:
        if action == FREEZE:
            node.process.freeze()
            self._undo.append(node.process.resume)
            return
        if action == KILL:
            node.process.kill()
        else:
            node.process.signal_terminate()
        self._undo.append(lambda: self._start_again(node))

    def _start_again(self, node: deployment.Node) -> None:
        node.process.wait_end(HEALTHY_S)
        self.running.restart(node)

    def _node(
        self, target: str, agents: list[mixed_traffic.Agent]
    ) -> deployment.Node:
        sidecars = self.running.sidecars
        match target:
            case "entry":
                return self.running.entries[0]
            case "booking-sidecar":
                return sidecars[2]
            case "engine-sidecar":
                return sidecars[1]
            case _:
                programs = [p for agent in agents for p in agent.programs]
                home = program_id.first_home(programs[0])
                assert home is not None
                return next(n for n in sidecars if n.host == home.host)

    def _check(
        self, agents: list[mixed_traffic.Agent], sent: list[mixed_traffic.Sent]
    ) -> None:
        for agent in agents:
            assert not agent.is_alive()
            if agent.error is not None:
                raise agent.error
        self._check_bookings(agents, sent)
        over = mixed_traffic.max_rate_excess(
            sent, FLOOD_RATE_PER_S, FLOOD_BURST
        )
        assert over <= 0, f"{over} requests over the rate"
        assert any(each.admitted for each in sent)
        assert self._setbacks == []
        self._check_healthy()
        ended = {program for agent in agents for program in agent.programs}
        harness.eventually(
            lambda: not self._held(ended), HEALTHY_S, "engines let go"
        )

    def _check_bookings(
        self, agents: list[mixed_traffic.Agent], sent: list[mixed_traffic.Sent]
    ) -> None:
        runs = mixed_traffic.run_counts(self.service.address)
        assert max(runs.values()) <= 1, [r for r, n in runs.items() if n > 1]
        said = {r: s for agent in agents for r, s in agent.bookings.items()}
        for reference, outcomes in said.items():
            if "yes" in outcomes:
                assert runs.get(reference) == 1, (reference, outcomes)
        for each in sent:
            if each.ran != "unknown":
                expected = int(each.ran == "yes")
                assert runs.get(each.reference, 0) == expected, each

    def _check_healthy(self) -> None:
        hosts = {node.host for node in self.running.sidecars}

        def healthy() -> bool:
            states = [entry.state() for entry in self.running.entries]
            return all(
                hosts <= set(state["heard"]) and state["ready"]
                for state in states
            )

        harness.eventually(healthy, HEALTHY_S, "everything is healthy again")
        for entry in self.running.entries:
            assert self._probe(entry) in (401, 503)
        self.running.wait_revision(
            max(e.state()["applied_offset"] for e in self.running.entries)
        )
        self.running.wait_shares_settled()

    def _held(self, ended: set[str]) -> set[str]:
        held: set[str] = set()
        for engine in self.engines:
            sessions = harness.call(engine.address, "GET", "/kv").body
            held |= ended & set(sessions["sessions"])
        return held

    def _watch(self) -> None:
        """Notes offsets that go back and withdrawn keys that work."""
        nodes = self.running.entries + self.running.sidecars
        while self._watching.is_set():
            for node in nodes:
                with contextlib.suppress(OSError, http.client.HTTPException):
                    self._note_offset(node.state())
            for entry in self.running.entries:
                status = self._probe(entry)
                if status not in (0, 401, 503):
                    self._setbacks.append(f"withdrawn key got {status}")

    def _note_offset(self, state: dict[str, Any]) -> None:
        before = self._offsets.get(state["instance"], 0)
        if state["applied_offset"] < before:
            self._setbacks.append(f"{state['host']} went back from {before}")
        self._offsets[state["instance"]] = state["applied_offset"]

    def _probe(self, entry: deployment.Node) -> int:
        """Returns the status that the withdrawn key gets, 0 for none."""
        try:
            return harness.call(
                entry.http,
                "POST",
                "/v1/programs",
                {},
                deployment.bearer(self._withdrawn),
                2.0,
            ).status
        except (OSError, http.client.HTTPException):
            return 0


def draw_pair(draws: random.Random) -> Pair:
    """Returns the next pair of faults."""
    return Pair(
        faults=(draws.choice(FAULTS), draws.choice(FAULTS)),
        after_calls=(draws.randint(6, 18), draws.randint(6, 18)),
        hold_s=draws.uniform(0.2, 2.0),
    )


@contextlib.contextmanager
def _system() -> Iterator[System]:
    with harness.Fleet() as fleet, fault_proxy.FaultProxy() as proxy:
        running = deployment.Deployment(fleet)
        cut = proxy.link(CUT_LINK, running.log_address)
        running.start_entries(3, overrides={2: {"log_address": cut}})
        yield System(running, proxy)


def _endpoint(host: int, address: str, kind: str = "engine") -> dict[str, Any]:
    spec = {"host": f"side-{host}", "address": address, "kind": kind}
    return deployment.change("endpoint", f"{kind}-{host}", {**spec, "slots": 8})


def _withdrawal(running: deployment.Deployment, key: str) -> dict[str, Any]:
    """Returns the change that withdraws a key."""
    name = key.split("_")[1]
    path = f"/operator/v1/objects?kind=key&name={name}"
    listed = harness.call(running.entries[0].operator, "GET", path).body
    spec = listed["objects"][0]["spec"]
    return deployment.change("key", name, {**spec, "withdrawn": True})


def _wait_for_calls(agents: list[mixed_traffic.Agent], count: int) -> None:
    """Waits for so many further answers, or until traffic stands still."""
    wanted = sum(agent.calls for agent in agents) + count

    def there() -> bool:
        return sum(agent.calls for agent in agents) >= wanted or not any(
            agent.is_alive() for agent in agents
        )

    with contextlib.suppress(AssertionError):
        harness.eventually(there, 2.0, "calls are answered")


def _discard(reply: harness.Reply) -> None:
    assert reply.status == 200, reply
