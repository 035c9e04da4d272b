"""Calls through all real processes, end to end, without faults."""

from collections.abc import Iterator
import json
from typing import Any

import pytest

from tests import deployment
from tests import harness


@pytest.fixture(scope="module")
def system() -> Iterator[deployment.Deployment]:
    with deployment.running(entries=1) as running:
        engine = running.fleet.emulator("engine")
        service = running.fleet.emulator("service")
        for _ in range(2):
            running.start_sidecar()
        running.publish_ok(
            deployment.change(
                "endpoint",
                "engine-0",
                {"host": "side-0", "address": engine.address},
            ),
            deployment.change(
                "endpoint",
                "booking-0",
                {
                    "host": "side-1",
                    "address": service.address,
                    "kind": "service",
                    "labels": {"does": "booking"},
                },
            ),
            deployment.change("model", "planner", {"selector": ""}),
            deployment.change("route", "booking", {"selector": "does=booking"}),
        )
        running.wait_shares_settled()
        running.add_team("keepers")
        yield running


class TestWholePath:
    """A program of model and service calls passes every process."""

    def test_program_runs_end_to_end(
        self, system: deployment.Deployment
    ) -> None:
        caller = Caller(system)
        program = caller.start_program({"budget": {"calls": 5}})
        first = caller.stream(program, 1, "when do we turn the harvest")
        second = caller.stream(program, 2, "and when do we cover it")
        booked = caller.book(program, 3, {"reference": "rack-7"})
        assert first.startswith('answer to "when do we turn the harvest"')
        assert "after 3 messages" in second
        assert booked.status == 200
        assert booked.body["run"] == 1
        caller.end(program)

    def test_same_call_again_gets_the_same_answer(
        self, system: deployment.Deployment
    ) -> None:
        caller = Caller(system)
        program = caller.start_program({})
        first = caller.book(program, 1, {"reference": "again"})
        again = caller.book(program, 1, {"reference": "again"})
        assert again.body == first.body
        assert first.body["run"] == 1

    def test_plain_client_needs_no_extra_headers(
        self, system: deployment.Deployment
    ) -> None:
        caller = Caller(system)
        reply = caller.post(
            "/v1/chat/completions",
            {
                "model": "planner",
                "messages": [{"role": "user", "content": "hello"}],
            },
        )
        assert reply.status == 200
        message = reply.body["choices"][0]["message"]
        assert message["content"].startswith('answer to "hello"')


class Caller:
    """A caller with one team's key."""

    def __init__(
        self,
        system: deployment.Deployment,
        team: str = "keepers",
        entry: int = 0,
    ) -> None:
        self._address = system.entries[entry].http
        self._key = system.keys[team]

    def post(self, path: str, body: Any, **headers: str) -> harness.Reply:
        """Sends one request with the key."""
        return harness.call(
            self._address,
            "POST",
            path,
            body,
            deployment.bearer(self._key, **headers),
        )

    def start_program(self, body: dict[str, Any]) -> str:
        """Starts a program and returns its id."""
        reply = self.post("/v1/programs", body)
        assert reply.status == 201, reply
        return str(reply.body["program"])

    def stream(self, program: str, call: int, text: str) -> str:
        """Makes a streamed model call and returns the answer's text."""
        body = {
            "model": "planner",
            "stream": True,
            "messages": [{"role": "user", "content": text}],
        }
        headers = deployment.bearer(
            self._key,
            Quetzalmill_Program=program,
            Quetzalmill_Call=str(call),
        )
        with harness.stream(
            self._address, "POST", "/v1/chat/completions", body, headers
        ) as answer:
            assert answer.status == 200, answer.body()
            return joined(answer)

    def book(
        self, program: str, call: int, body: dict[str, Any]
    ) -> harness.Reply:
        """Makes a non-idempotent booking."""
        return self.post(
            "/v1/services/booking/bookings",
            body,
            Quetzalmill_Program=program,
            Quetzalmill_Call=str(call),
            Quetzalmill_Idempotent="false",
        )

    def end(self, program: str) -> None:
        """Ends a program."""
        reply = harness.call(
            self._address,
            "DELETE",
            f"/v1/programs/{program}",
            headers=deployment.bearer(self._key),
        )
        assert reply.status == 200, reply


def joined(answer: harness.EventStream) -> str:
    """Returns the text of a streamed answer, which must be complete."""
    text = ""
    for event in answer.events():
        if event.data == "[DONE]":
            return text
        for choice in json.loads(event.data).get("choices", []):
            text += choice["delta"].get("content") or ""
    raise AssertionError(f"the stream ended early after {text!r}")
