"""Callers of mixed traffic that retry until the outcome is known.

Each caller is a thread with its own random numbers and records the outcomes
that were reported to it, so that a test can compare them with what the
endpoints have run.
"""

import http.client
import random
import threading
import time
from typing import Any

import attrs

from quetzalmill_emulator import answers
from tests import deployment
from tests import harness

SETTLE_S = 25.0
"""The time in which the outcome of a call must be known, also during faults."""

CALL_MS = 4_000
READ_TIMEOUT_S = 8.0
_PAUSE_S = 0.05
_MAX_PAUSE_S = 0.3
_NOT_ADMITTED = frozenset(
    {
        "configuration_stale",
        "key_unknown",
        "key_withdrawn",
        "over_rate",
        "rate_unknown",
    }
)

LOST = harness.Reply(0, {}, {"code": "lost", "ran": "unknown"})


class Caller(threading.Thread):
    """Sends requests through randomly chosen entries.

    Attributes:
        error: The exception that ended the thread, if any.
    """

    def __init__(
        self, system: deployment.Deployment, team: str, rng: random.Random
    ) -> None:
        super().__init__(daemon=True)
        self._system = system
        self._key = system.keys[team]
        self._rng = rng
        self.error: BaseException | None = None

    def run(self) -> None:
        """Runs ``work`` and records an exception."""
        try:
            self.work()
        except BaseException as error:
            self.error = error

    def work(self) -> None:
        """Sends this caller's requests."""
        raise NotImplementedError

    def send(
        self, method: str, path: str, body: Any, **headers: str
    ) -> harness.Reply:
        """Sends one request through a random entry.

        Returns ``LOST`` if the connection fails.
        """
        entry = self._rng.choice(self._system.entries)
        all_headers = deployment.bearer(
            self._key, Quetzalmill_Deadline_Ms=str(CALL_MS), **headers
        )
        try:
            return harness.call(
                entry.http, method, path, body, all_headers, READ_TIMEOUT_S
            )
        except (OSError, http.client.HTTPException):
            return LOST


class Agent(Caller):
    """One program with model calls, bookings and a sub-program.

    Attributes:
        programs: The ids of the program and its sub-programs.
        bookings: The reported outcomes of each booking, by reference.
        calls: The number of requests that succeeded.
    """

    def __init__(
        self,
        system: deployment.Deployment,
        team: str,
        rng: random.Random,
        service: str,
    ) -> None:
        super().__init__(system, team, rng)
        self._service = service
        self.programs: list[str] = []
        self.bookings: dict[str, list[str]] = {}
        self.calls = 0

    def work(self) -> None:
        """Runs the program to its end."""
        program = self._start({})
        kinds = self._rng.sample("mmmbbc", 6)
        self._run_calls(program, kinds)
        self._send_until_settled("DELETE", f"/v1/programs/{program}", None)

    def _run_calls(self, program: str, kinds: list[str]) -> None:
        prompt: list[dict[str, Any]] = []
        for number, kind in enumerate(kinds, start=1):
            if kind == "b":
                self._book(program, number)
                continue
            if kind == "c":
                self._run_calls(self._start({"parent": program}), ["m", "b"])
            prompt = self._call_model(program, number, prompt)
        view = self._send_until_settled(
            "GET", f"/v1/programs/{program}", None
        ).body
        assert view["next_call"] == len(kinds) + 1, view

    def _start(self, fields: dict[str, Any]) -> str:
        program = str(
            self._send_until_settled("POST", "/v1/programs", fields).body[
                "program"
            ]
        )
        self.programs.append(program)
        return program

    def _call_model(
        self, program: str, number: int, prompt: list[dict[str, Any]]
    ) -> list[dict[str, Any]]:
        """Sends a model call, checks the answer and returns the history."""
        new = {"role": "user", "content": f"{program} call {number}"}
        body = {"model": "planner", "messages": [new], "answer_tokens": 24}
        reply = self._send_until_settled(
            "POST", "/v1/chat/completions", body, program, number
        )
        text = reply.body["choices"][0]["message"]["content"]
        assert text == answers.answer_text([*prompt, new], 24), (program, text)
        return [*prompt, new, {"role": "assistant", "content": text}]

    def _book(self, program: str, number: int) -> None:
        reference = f"{program}/{number}"
        reply = self._send_until_settled(
            "POST",
            "/v1/services/booking/bookings",
            {"reference": reference},
            program,
            number,
            reference,
        )
        assert reply.status != 200 or reply.body["run"] == 1, reply

    def _send_until_settled(
        self,
        method: str,
        path: str,
        body: Any,
        program: str = "",
        number: int = 0,
        reference: str = "",
    ) -> harness.Reply:
        """Sends a request and retries it until its outcome is known."""
        headers = {}
        if program:
            headers["Quetzalmill_Program"] = program
            headers["Quetzalmill_Call"] = str(number)
        outcomes = self.bookings.setdefault(reference, []) if reference else []
        deadline_s = time.monotonic() + SETTLE_S
        while True:
            reply = self.send(method, path, body, **headers)
            if reply.status in (200, 201):
                outcomes.append("yes")
                self.calls += 1
                return reply
            outcomes.append("lost" if reply is LOST else str(reply.body["ran"]))
            if "history" in reply.body.get("details", {}) and reference:
                return reply
            if outcomes[-1] == "no" and reference and "lost" not in outcomes:
                assert self._runs(reference) == 0, (reference, outcomes, reply)
            assert time.monotonic() < deadline_s, (path, number, reply)
            _pause(reply)

    def _runs(self, reference: str) -> int:
        return run_counts(self._service).get(reference, 0)


@attrs.frozen
class Sent:
    """One request of a flood.

    Attributes:
        reference: The reference under which the service counts it.
        sent_s: The time when it was sent.
        done_s: The time when its response was complete.
        ran: Whether it ran, according to the response.
        code: The error code of the response; empty if it succeeded.
        admitted: Whether the team's rate limit admitted it.
    """

    reference: str
    sent_s: float
    done_s: float
    ran: str
    code: str
    admitted: bool


class Flood(Caller):
    """Bookings without a program, at several times a team's rate.

    Attributes:
        sent: The requests that were sent, with their outcomes.
    """

    def __init__(
        self, system: deployment.Deployment, team: str, rng: random.Random
    ) -> None:
        super().__init__(system, team, rng)
        self._name = f"{team}-{rng.random()}"
        self._ended = threading.Event()
        self.sent: list[Sent] = []

    def work(self) -> None:
        """Sends requests until ``end`` is called."""
        while not self._ended.wait(_PAUSE_S / 2):
            reference = f"{self._name}-{len(self.sent)}"
            sent_s = time.monotonic()
            reply = self.send(
                "POST",
                "/v1/services/booking/bookings",
                {"reference": reference},
                Quetzalmill_Idempotent="false",
            )
            code = "" if reply.status == 200 else str(reply.body["code"])
            self.sent.append(
                Sent(
                    reference=reference,
                    sent_s=sent_s,
                    done_s=time.monotonic(),
                    ran="yes" if not code else str(reply.body["ran"]),
                    code=code,
                    admitted=reply is not LOST and code not in _NOT_ADMITTED,
                )
            )

    def end(self) -> None:
        """Ends the flood."""
        self._ended.set()
        self.join(2 * READ_TIMEOUT_S)


def run_counts(service: str) -> dict[str, int]:
    """Returns how often a service has run each reference."""
    reply = harness.call(service, "GET", "/debug/runs")
    counts: dict[str, int] = reply.body["references"]
    return counts


def max_rate_excess(sent: list[Sent], rate_per_s: float, burst: float) -> float:
    """Returns the maximum excess of admitted requests over rate and burst.

    Every window from the sending of one request to the response of another is
    checked, with the requests that lie completely within it.
    """
    admitted = [each for each in sent if each.admitted]
    most = -burst
    for first in admitted:
        inside = [each for each in admitted if each.sent_s >= first.sent_s]
        inside.sort(key=lambda each: each.done_s)
        for count, last in enumerate(inside, start=1):
            window_s = last.done_s - first.sent_s
            most = max(most, count - rate_per_s * window_s - burst)
    return most


def _pause(reply: harness.Reply) -> None:
    after_ms = reply.body.get("retry_after_ms") or 0
    time.sleep(min(_MAX_PAUSE_S, max(_PAUSE_S, after_ms / 1000)))
