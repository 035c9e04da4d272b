"""Order, history and budget of programs while their homes fail and return."""

from collections.abc import Iterator
import concurrent.futures

import pytest

from tests import conversation as conversation_module
from tests import deployment
from tests import harness

LONG_TOKENS = 120


@pytest.fixture(scope="module")
def system() -> Iterator[deployment.Deployment]:
    with deployment.running(entries=2) as running:
        for index in range(3):
            engine = running.fleet.emulator("engine", "--decode-ms", "8")
            running.engines.append(engine)
            running.start_sidecar()
            running.publish_ok(
                deployment.change(
                    "endpoint",
                    f"engine-{index}",
                    {"host": f"side-{index}", "address": engine.address},
                )
            )
        running.publish_ok(
            deployment.change("model", "planner", {"selector": ""})
        )
        running.wait_shares_settled()
        running.add_team("keepers")
        yield running


@pytest.fixture(autouse=True)
def repaired(system: deployment.Deployment) -> Iterator[None]:
    """Restores all processes and ends all faults after each test."""
    settings = {node.host: dict(node.settings) for node in system.sidecars}
    yield
    harness.call(system.log.address, "POST", "/faults", {})
    for node in system.sidecars:
        if node.process.running:
            node.process.resume()
        if node.settings != settings[node.host]:
            node.settings = settings[node.host]
            node.process.kill()
        if not node.process.running:
            system.restart(node)
    hosts = {node.host for node in system.sidecars}
    harness.eventually(
        lambda: all(hosts <= set(e.state()["heard"]) for e in system.entries),
        what="every entry receives heartbeats of every sidecar",
    )


def node_of(system: deployment.Deployment, host: str) -> deployment.Node:
    return next(node for node in system.sidecars if node.host == host)


def restart_with(system: deployment.Deployment, **settings: int) -> None:
    """Restarts all sidecars with additional settings."""
    for node in system.sidecars:
        node.settings = node.settings | settings
        node.process.kill()
        system.restart(node)
    for entry in range(len(system.entries)):
        for node in system.sidecars:
            wait_heard(system, entry, node.host)


def wait_heard(system: deployment.Deployment, entry: int, host: str) -> None:
    harness.eventually(
        lambda: host in system.entries[entry].state()["heard"],
        what=f"entry {entry} receives heartbeats of {host}",
    )


def set_log_faults(system: deployment.Deployment, **faults: object) -> None:
    body = {"stream": "turns.", **faults}
    harness.call(system.log.address, "POST", "/faults", body)


class TestHomeLost:
    """A program continues at another home with its full history."""

    def test_killed_between_turns_repeatedly(
        self, system: deployment.Deployment
    ) -> None:
        conversation = conversation_module.Conversation(system)
        host = conversation.home
        for turn in range(3):
            conversation.ask(f"turn {turn} with its home up")
            node_of(system, host).process.kill()
            conversation.entry = turn % 2
            conversation.ask(f"turn {turn} with its home killed")
            system.restart(node_of(system, host))
            host = holder(system, conversation)
        assert conversation.view()["next_call"] == 7

    def test_killed_during_a_turn(self, system: deployment.Deployment) -> None:
        conversation = conversation_module.Conversation(system)
        conversation.ask("first")
        running = conversation_module.BackgroundCall(
            conversation, "second", LONG_TOKENS
        )
        running.wait_started()
        node_of(system, conversation.home).process.kill()
        conversation.take("second", running.result(), LONG_TOKENS)
        conversation.ask("third")

    @pytest.mark.parametrize("is_delayed", [False, True])
    def test_killed_during_the_commit(
        self, system: deployment.Deployment, is_delayed: bool
    ) -> None:
        conversation = conversation_module.Conversation(system)
        conversation.ask("first")
        if is_delayed:
            set_log_faults(system, delay_ms=700)
        else:
            set_log_faults(system, lose_replies=1)
        running = conversation_module.BackgroundCall(conversation, "second", 24)
        running.wait_started()
        node_of(system, conversation.home).process.kill()
        conversation.take("second", running.result())
        set_log_faults(system)
        conversation.ask("third")
        assert conversation.view()["next_call"] == 4

    def test_frozen_and_resumed_after_a_takeover(
        self, system: deployment.Deployment
    ) -> None:
        conversation = conversation_module.Conversation(system)
        conversation.ask("first")
        home = node_of(system, conversation.home)
        home.process.freeze()
        conversation.entry = 1
        conversation.ask("second")
        conversation.ask("third")
        home.process.resume()
        conversation.entry = 0
        wait_heard(system, 0, home.host)
        again = conversation.send(3, "third")
        assert again.text == conversation.messages[-1]["content"]
        conversation.ask("fourth")
        conversation.entry = 1
        conversation.ask("fifth")

    def test_idle_program_at_its_second_home(
        self, system: deployment.Deployment
    ) -> None:
        home = node_of(system, "side-0")
        restart_with(system, program_idle_ms=200, lease_ms=300)
        conversation = conversation_module.Conversation(system)
        conversation.ask("first")
        home.process.kill()
        conversation.ask("second")
        harness.eventually(
            lambda: all(
                n.state()["programs"] == 0
                for n in system.sidecars
                if n.process.running
            ),
            what="the idle program is dropped from memory",
        )
        conversation.ask("third")
        conversation.entry = 1
        conversation.ask("fourth")


class TestLogDown:
    """Turns continue without the log, are buffered and marked not durable."""

    def test_buffered_turns_reach_the_log_later(
        self, system: deployment.Deployment
    ) -> None:
        conversation = conversation_module.Conversation(system)
        assert conversation.ask("before").details["durable"]
        set_log_faults(system, down=True)
        for turn in range(3):
            assert not conversation.ask(f"without the log {turn}").details[
                "durable"
            ]
        set_log_faults(system)
        harness.eventually(
            lambda: conversation.view()["durable"], what="the log has all turns"
        )
        node_of(system, conversation.home).process.kill()
        conversation.ask("at another home")

    def test_full_buffer_refuses_calls_before_running_them(
        self, system: deployment.Deployment
    ) -> None:
        restart_with(system, commit_buffer_bytes=4096)
        conversation = conversation_module.Conversation(system)
        conversation.ask("before")
        set_log_faults(system, down=True)
        refused = fill_buffer(conversation)
        assert refused.error["code"] == "history_buffer_full"
        assert refused.error["ran"] == "no"
        assert refused.error["retry_after_ms"] > 0
        assert (
            f"{conversation.program}/{conversation.calls + 1}"
            not in run_calls(system)
        )
        set_log_faults(system)
        harness.eventually(
            lambda: conversation.view()["durable"], what="the buffer is empty"
        )
        conversation.ask("afterwards")
        node_of(system, conversation.home).process.kill()
        conversation.ask("at another home")

    def test_turns_lost_with_their_home_are_detected(
        self, system: deployment.Deployment
    ) -> None:
        conversation = conversation_module.Conversation(system)
        conversation.ask("before")
        set_log_faults(system, down=True)
        assert not conversation.ask("lost").details["durable"]
        node_of(system, conversation.home).process.kill()
        set_log_faults(system)
        refused = conversation.send(3, "after the loss")
        assert refused.error["code"] == "order_conflict"
        assert refused.error["details"]["expected_call"] == 2
        conversation.messages, conversation.calls = conversation.messages[:2], 1
        conversation.ask("lost")
        conversation.ask("after the loss")


class TestBudget:
    """A program and its sub-programs together stay within its budget."""

    @pytest.mark.parametrize("home_dies", [False, True])
    @pytest.mark.parametrize(
        ("limit", "value", "slack"),
        [("calls", 5, 0), ("tokens", 24 * 5, 0), ("time_ms", 900, 600)],
    )
    def test_endless_loop_is_stopped(
        self,
        system: deployment.Deployment,
        limit: str,
        value: int,
        slack: int,
        home_dies: bool,
    ) -> None:
        conversation = conversation_module.Conversation(
            system, budget={limit: value}
        )
        for turn in range(20):
            if home_dies and turn == 2:
                node_of(system, conversation.home).process.kill()
            found = conversation.send(conversation.calls + 1, "again")
            if not found.done:
                break
            conversation.take("again", found)
        assert found.error["code"] == "budget_spent"
        assert conversation.calls >= 2
        assert conversation.send(conversation.calls + 1, "once more").error[
            "code"
        ] == ("budget_spent")
        assert conversation.view()["spent"][limit] <= value + slack

    @pytest.mark.parametrize(
        ("limit", "value"), [("calls", 6), ("tokens", 24 * 6)]
    )
    def test_concurrent_sub_agents_share_one_budget(
        self, system: deployment.Deployment, limit: str, value: int
    ) -> None:
        parent = conversation_module.Conversation(system, budget={limit: value})
        agents = [
            conversation_module.Conversation(system, parent=parent.program)
            for _ in range(4)
        ]

        def loop(agent: conversation_module.Conversation) -> str:
            for _ in range(20):
                found = agent.send(agent.calls + 1, "again")
                if not found.done:
                    return str(found.error["code"])
                agent.take("again", found)
            return "never stopped"

        with concurrent.futures.ThreadPoolExecutor(len(agents)) as pool:
            assert set(pool.map(loop, agents)) == {"budget_spent"}
        assert sum(agent.calls for agent in agents) == 6
        assert parent.view()["spent"][limit] == value

    def test_time_of_concurrent_calls_counts_once(
        self, system: deployment.Deployment
    ) -> None:
        parent = conversation_module.Conversation(
            system, budget={"time_ms": 60_000}
        )
        agents = [
            conversation_module.Conversation(system, parent=parent.program)
            for _ in range(3)
        ]
        calls = [
            conversation_module.BackgroundCall(a, "long", 100) for a in agents
        ]
        for agent, call in zip(agents, calls, strict=True):
            agent.take("long", call.result(), 100)
        spent = [each.view()["spent"]["time_ms"] for each in agents]
        assert parent.view()["spent"]["time_ms"] < sum(spent)
        node_of(system, parent.home).process.kill()
        agents[0].ask("at another home")
        after = parent.view()["spent"]["time_ms"]
        assert max(spent) < after < sum(spent)


def fill_buffer(
    conversation: conversation_module.Conversation,
) -> conversation_module.Answer:
    """Makes calls until one is refused, and returns the refusal."""
    for _ in range(50):
        found = conversation.send(conversation.calls + 1, "fill")
        if not found.done:
            return found
        conversation.take("fill", found)
    raise AssertionError("no call was refused after 50 calls")


def run_calls(system: deployment.Deployment) -> set[str]:
    """Returns ``program/call`` of every request that the engines received."""
    found: set[str] = set()
    for engine in system.engines:
        seen = harness.call(engine.address, "GET", "/debug/requests").body
        for each in seen["requests"]:
            found.add(each["request_id"].rpartition("/")[0])
    return found


def holder(
    system: deployment.Deployment,
    conversation: conversation_module.Conversation,
) -> str:
    """Returns the host that holds a program in memory now."""
    held = {n.host for n in system.sidecars if n.state()["programs"]}
    assert held, "some home holds the program"
    return sorted(held - {conversation.home} or held)[0]
