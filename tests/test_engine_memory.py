"""Release of engine memory held for programs, with real processes."""

from collections.abc import Iterator
from typing import Any

import pytest

from tests import deployment
from tests import harness

LEASE_MS = 1200


class System:
    """One entry and two sidecars with one engine each."""

    def __init__(self, running: deployment.Deployment) -> None:
        self.running = running
        self.engines = [running.fleet.emulator("engine") for _ in range(2)]
        for _ in range(2):
            running.start_sidecar(lease_ms=LEASE_MS, program_idle_ms=3000)
        running.publish_ok(
            deployment.change("model", "planner", {"selector": ""}),
            *(
                deployment.change(
                    "endpoint",
                    f"engine-{index}",
                    {"host": f"side-{index}", "address": engine.address},
                )
                for index, engine in enumerate(self.engines)
            ),
        )
        running.wait_shares_settled()
        running.add_team("keepers")

    def send(
        self, method: str, path: str, body: Any = None, **headers: str
    ) -> harness.Reply:
        """Sends a request with the team's key."""
        key = self.running.keys["keepers"]
        return harness.call(
            self.running.entries[0].http,
            method,
            path,
            body,
            deployment.bearer(key, **headers),
        )

    def program_with_history(self) -> str:
        """Starts a program and makes one call; returns the program's id."""
        program = str(self.send("POST", "/v1/programs", {}).body["program"])
        assert self.ask(program, 1).status == 200
        return program

    def ask(self, program: str, call: int) -> harness.Reply:
        """Makes one model call of a program."""
        return self.send(
            "POST",
            "/v1/chat/completions",
            {
                "model": "planner",
                "messages": [{"role": "user", "content": f"question {call}"}],
            },
            Quetzalmill_Program=program,
            Quetzalmill_Call=str(call),
        )

    def held(self) -> set[str]:
        """Returns the programs that the engines hold memory for."""
        sessions: set[str] = set()
        for engine in self.engines:
            listed = harness.call(engine.address, "GET", "/kv")
            sessions.update(listed.body["sessions"])
        return sessions

    def wait_free(self, program: str) -> None:
        """Waits until no engine holds memory for a program."""
        harness.eventually(
            lambda: program not in self.held(),
            15.0,
            f"memory of {program} is released",
        )


@pytest.fixture
def system() -> Iterator[System]:
    with deployment.running(entries=1) as running:
        yield System(running)


class TestEngineMemory:
    """No memory stays held for programs that no longer exist."""

    def test_ended_programs_are_freed_and_live_ones_kept(
        self, system: System
    ) -> None:
        ended = system.program_with_history()
        live = system.program_with_history()
        assert system.send("DELETE", f"/v1/programs/{ended}").status == 200
        system.wait_free(ended)
        harness.eventually(
            lambda: system.ask(live, 2).status == 200,
            what="the live program's call succeeds",
        )
        assert live in system.held()

    def test_idle_programs_are_freed(self, system: System) -> None:
        system.wait_free(system.program_with_history())

    def test_single_requests_are_freed(self, system: System) -> None:
        reply = system.send(
            "POST",
            "/v1/chat/completions",
            {
                "model": "planner",
                "messages": [{"role": "user", "content": "only this"}],
            },
        )
        assert reply.status == 200
        harness.eventually(
            lambda: not system.held(), 15.0, "all memory is released"
        )

    def test_programs_of_a_killed_home_are_freed(self, system: System) -> None:
        program = system.program_with_history()
        home = program.rpartition(".")[2]
        node = next(n for n in system.running.sidecars if n.host == home)
        node.process.kill()
        system.running.restart(node)
        system.wait_free(program)

    def test_old_home_frees_nothing_of_a_moved_program(
        self, system: System
    ) -> None:
        program = system.program_with_history()
        home = program.rpartition(".")[2]
        node = next(n for n in system.running.sidecars if n.host == home)
        node.process.freeze()
        harness.eventually(
            lambda: system.ask(program, 2).status == 200,
            15.0,
            "the program is taken over",
        )
        node.process.resume()
        assert system.ask(program, 3).status == 200
        assert system.send("DELETE", f"/v1/programs/{program}").status == 200
        system.wait_free(program)
