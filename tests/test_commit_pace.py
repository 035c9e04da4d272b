"""A log that accepts few appends: turns are batched instead of being lost."""

from concurrent import futures
import random

from quetzalmill import commit_pace
from tests import deployment
from tests import harness

PROGRAMS = 24
CALLS = 4


class TestCommitPace:
    """The interval between appends."""

    def test_interval_grows_to_its_maximum_and_shrinks_again(self) -> None:
        pace = commit_pace.CommitPace(20.0, random.Random(1))
        for _ in range(50):
            pace.refused()
        assert pace.interval_ms == commit_pace.MAX_INTERVAL_MS
        for _ in range(2_000):
            pace.accepted()
        assert pace.interval_ms == 20.0


class TestThrottledLog:
    """Many programs over a log that accepts twelve appends a second."""

    def test_every_turn_is_durable(self) -> None:
        with harness.Fleet() as fleet:
            running = deployment.Deployment(
                fleet, "--appends-per-s", "12", "--append-burst", "4"
            )
            running.start_entries(1)
            engine = fleet.emulator("engine", "--slots", "64")
            for _ in range(3):
                running.start_sidecar()
            running.publish_ok(
                deployment.change("model", "planner", {"selector": ""}),
                *(
                    deployment.change(
                        "endpoint",
                        f"engine-{index}",
                        {"host": f"side-{index}", "address": engine.address},
                    )
                    for index in range(3)
                ),
            )
            running.wait_shares_settled()
            key = running.add_team("keepers")
            with futures.ThreadPoolExecutor(PROGRAMS) as pool:
                durable_values = list(
                    pool.map(
                        lambda _: _run_program(running, key), range(PROGRAMS)
                    )
                )
        assert durable_values == [["true"] * CALLS] * PROGRAMS


def _run_program(running: deployment.Deployment, key: str) -> list[str]:
    """Runs one program; returns each call's durability header."""
    address = running.entries[0].http
    headers = deployment.bearer(key)
    started = harness.call(address, "POST", "/v1/programs", {}, headers)
    assert started.status == 201, started
    durable_values = []
    for number in range(1, CALLS + 1):
        reply = harness.call(
            address,
            "POST",
            "/v1/chat/completions",
            {
                "model": "planner",
                "answer_tokens": 4,
                "messages": [{"role": "user", "content": "turn it?"}],
            },
            deployment.bearer(
                key,
                Quetzalmill_Program=started.body["program"],
                Quetzalmill_Call=str(number),
            ),
        )
        assert reply.status == 200, reply
        durable_values.append(reply.headers["quetzalmill-durable"])
    return durable_values
