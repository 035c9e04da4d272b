"""Order, history and budget of programs while their homes go and come."""

from collections.abc import Iterator

import pytest

from tests import deployment
from tests import harness
from tests import talk as talk_module

LONG_TOKENS = 120


@pytest.fixture(scope="module")
def system() -> Iterator[deployment.Deployment]:
    with deployment.running(entries=2) as running:
        for index in range(3):
            engine = running.fleet.emulator("engine", "--decode-ms", "8")
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
        running.wait_minting()
        running.add_team("keepers")
        yield running


@pytest.fixture(autouse=True)
def whole(system: deployment.Deployment) -> Iterator[None]:
    """Every test begins with all processes up and no fault in force."""
    yield
    harness.call(system.log.address, "POST", "/faults", {})
    for node in system.sidecars:
        if node.process.running:
            node.process.wake()
        else:
            system.restart(node)
    hosts = {node.host for node in system.sidecars}
    harness.eventually(
        lambda: all(hosts <= set(e.state()["heard"]) for e in system.entries),
        what="every entry hears every sidecar",
    )


def node_of(system: deployment.Deployment, host: str) -> deployment.Node:
    return next(node for node in system.sidecars if node.host == host)


def wait_heard(system: deployment.Deployment, entry: int, host: str) -> None:
    harness.eventually(
        lambda: host in system.entries[entry].state()["heard"],
        what=f"entry {entry} hears {host}",
    )


def set_log_faults(system: deployment.Deployment, **faults: object) -> None:
    body = {"stream": "turns.", **faults}
    harness.call(system.log.address, "POST", "/faults", body)


class TestHomeLost:
    """A program goes on elsewhere with its whole history."""

    def test_killed_between_turns_again_and_again(
        self, system: deployment.Deployment
    ) -> None:
        talk = talk_module.Talk(system)
        host = talk.home
        for turn in range(3):
            talk.ask(f"turn {turn} with its home up")
            node_of(system, host).process.kill()
            talk.entry = turn % 2
            talk.ask(f"turn {turn} with its home gone")
            system.restart(node_of(system, host))
            host = holder(system, talk)
        assert talk.view()["next_call"] == 7

    def test_killed_during_a_turn(self, system: deployment.Deployment) -> None:
        talk = talk_module.Talk(system)
        talk.ask("first")
        running = talk_module.Background(talk, "second", LONG_TOKENS)
        running.wait_started()
        node_of(system, talk.home).process.kill()
        talk.take("second", running.result(), LONG_TOKENS)
        talk.ask("third")

    @pytest.mark.parametrize("lands_late", [False, True])
    def test_killed_during_the_commit(
        self, system: deployment.Deployment, lands_late: bool
    ) -> None:
        talk = talk_module.Talk(system)
        talk.ask("first")
        if lands_late:
            set_log_faults(system, delay_ms=1200)
        else:
            set_log_faults(system, lose_replies=1)
        running = talk_module.Background(talk, "second", 24)
        running.wait_started()
        node_of(system, talk.home).process.kill()
        talk.take("second", running.result())
        set_log_faults(system)
        talk.ask("third")
        assert talk.view()["next_call"] == 4

    def test_frozen_and_woken_after_a_takeover(
        self, system: deployment.Deployment
    ) -> None:
        talk = talk_module.Talk(system)
        talk.ask("first")
        home = node_of(system, talk.home)
        home.process.freeze()
        talk.entry = 1
        talk.ask("second")
        talk.ask("third")
        home.process.wake()
        talk.entry = 0
        wait_heard(system, 0, home.host)
        again = talk.send(3, "third")
        assert again.text == talk.messages[-1]["content"]
        talk.ask("fourth")
        talk.entry = 1
        talk.ask("fifth")

    def test_idle_program_at_its_second_home(
        self, system: deployment.Deployment
    ) -> None:
        home = node_of(system, "side-0")
        for node in system.sidecars:
            node.settings["program_idle_ms"] = 200
            node.settings["lease_ms"] = 300
            node.process.terminate()
            system.restart(node)
        talk = talk_module.Talk(system)
        talk.ask("first")
        home.process.kill()
        talk.ask("second")
        harness.eventually(
            lambda: all(
                n.state()["programs"] == 0
                for n in system.sidecars
                if n.process.running
            ),
            what="the idle program is dropped from memory",
        )
        talk.ask("third")
        talk.entry = 1
        talk.ask("fourth")


def holder(system: deployment.Deployment, talk: talk_module.Talk) -> str:
    """Returns the host that holds a program in memory now."""
    held = {n.host for n in system.sidecars if n.state()["programs"]}
    assert held, "some home holds the program"
    return sorted(held - {talk.home} or held)[0]
