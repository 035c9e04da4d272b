"""Requests that crash the endpoints that run them.

The system tests use real processes.
"""

from collections.abc import Iterator
from concurrent import futures
import socket
import threading
from typing import Any

import pytest
import trio

from quetzalmill import endpoint_port
from quetzalmill import http_client
from quetzalmill import messages
from quetzalmill import suspects
from tests import deployment
from tests import harness

MARKER = "CRASH-THE-ENGINE"
ENGINES = 5


class System:
    """Two entries and a sidecar beside each of five engines."""

    def __init__(self, running: deployment.Deployment) -> None:
        self.running = running
        self.engines = [
            running.fleet.emulator("engine", "--crash-marker", MARKER)
            for _ in range(ENGINES)
        ]
        for _ in range(ENGINES):
            running.start_sidecar(endpoint_failure_ms=200)
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

    @property
    def crashed_engines(self) -> int:
        """Returns how many engines have crashed."""
        return sum(1 for engine in self.engines if not engine.running)

    def ask(self, text: str, entry: int = 0, **fields: Any) -> harness.Reply:
        """Sends a completion request as a program of one call."""
        body = {
            "model": "planner",
            "messages": [{"role": "user", "content": text}],
            **fields,
        }
        return harness.call(
            self.running.entries[entry].http,
            "POST",
            "/v1/chat/completions",
            body,
            deployment.bearer(self.running.keys["keepers"]),
        )


@pytest.fixture
def system() -> Iterator[System]:
    with deployment.running(entries=2) as running:
        yield System(running)


class TestSuspects:
    """Which crashes count against a request."""

    def test_one_crash_counts_once(self) -> None:
        known = suspects.Suspects()
        counts = [
            known.record_crash(
                "f", "team", failure=failure, crashes_before=0, now_ms=0.0
            ).crashes
            for failure in ("engine-0/1", "engine-0/1", "engine-0/2")
        ]
        assert counts == [1, 1, 2]


class TestEarlierAttempts:
    """What the failure of one attempt means for the next one."""

    @pytest.mark.parametrize(
        ("details", "ran", "crashes"),
        [
            # Only an endpoint that is known to have crashed counts.
            ({"crashes": 1}, messages.Ran.UNKNOWN, 2),
            ({}, messages.Ran.UNKNOWN, 1),
            ({}, messages.Ran.NO, 1),
        ],
    )
    def test_lost_answer_is_no_crash(
        self, details: dict[str, int], ran: messages.Ran, crashes: int
    ) -> None:
        """A link fails during one attempt, an endpoint crashes in the next."""
        frame = messages.Frame(
            program="p",
            call=2,
            attempt=1,
            kind=messages.FrameKind.FAILED,
            ran=ran,
            details=details,
        )
        earlier = suspects.EarlierAttempts(crashed=False).after(frame)
        assert earlier.unknown == (ran is messages.Ran.UNKNOWN)
        suspect = suspects.Suspects().record_crash(
            "f",
            "team",
            failure="engine-0/1",
            crashes_before=int(earlier.crashed),
            now_ms=0.0,
        )
        assert suspect.crashes == crashes


class TestEndpointUp:
    """Whether a stopped endpoint is detected."""

    def test_stopping_process_that_still_accepts_is_down(self) -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        address = f"127.0.0.1:{listener.getsockname()[1]}"

        def stop() -> None:
            accepted, _ = listener.accept()
            listener.close()
            accepted.close()

        async def main() -> bool:
            port = endpoint_port.EndpointPort(http_client.HttpClient())
            return await port.is_up(address)

        stopping = threading.Thread(target=stop)
        stopping.start()
        assert not trio.run(main)
        stopping.join()


class TestCrashingRequest:
    """A request that crashes each endpoint that runs it."""

    def test_crashes_no_more_than_two_endpoints(self, system: System) -> None:
        replies = [
            system.ask(f"{MARKER} now", entry=attempt % 2)
            for attempt in range(8)
        ]
        assert system.crashed_engines <= 2
        assert replies[-1].status == 422
        assert replies[-1].body["code"] == "quarantined"
        assert system.ask("a good question").status == 200

    def test_restarted_processes_still_refuse_it(self, system: System) -> None:
        for attempt in range(4):
            system.ask(f"{MARKER} again", entry=attempt % 2)
        entry = system.running.entries[1]
        harness.eventually(
            lambda: _quarantined(system), what="the log has the quarantine"
        )
        entry.process.kill()
        system.running.restart(entry)
        reply = harness.eventually(
            lambda: _unless_undecided(system.ask(f"{MARKER} again", entry=1)),
            what="the new entry decides",
        )
        assert reply.body["code"] == "quarantined"
        assert system.crashed_engines <= 2

    def test_operator_can_release_it(self, system: System) -> None:
        for attempt in range(4):
            system.ask(f"{MARKER} once more", entry=attempt % 2)
        stored = harness.eventually(
            lambda: _quarantined(system), what="the log has the quarantine"
        )[0]
        system.running.publish_ok(
            deployment.change("quarantine", stored["name"], None)
        )
        reply = system.ask(f"{MARKER} once more", entry=1, max_tokens=1)
        assert reply.body.get("code") != "quarantined"

    def test_concurrent_harmless_requests_are_not_refused(
        self, system: System
    ) -> None:
        with futures.ThreadPoolExecutor() as pool:
            harmless = [
                pool.submit(
                    system.ask,
                    f"innocent {index}",
                    index % 2,
                    answer_tokens=60,
                    max_tokens=60,
                )
                for index in range(10)
            ]
            system.ask(f"{MARKER} beside others")
            first = [each.result(30) for each in harmless]
        again = [system.ask(f"innocent {index}") for index in range(10)]
        assert system.crashed_engines <= 2
        assert [reply.status for reply in again] == [200] * 10
        assert all(r.body.get("code") != "quarantined" for r in first)


def _quarantined(system: System) -> list[dict[str, Any]]:
    listed = harness.call(
        system.running.entries[0].operator,
        "GET",
        "/operator/v1/objects?kind=quarantine",
    )
    found: list[dict[str, Any]] = listed.body["objects"]
    return found


def _unless_undecided(reply: harness.Reply) -> harness.Reply | None:
    undecided = ("configuration_stale", "rate_unknown", "over_rate", "no_home")
    return None if reply.body.get("code") in undecided else reply
