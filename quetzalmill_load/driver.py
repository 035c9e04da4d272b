"""Drives a workload against a deployment, open loop, and records it.

Programs start at their moments whatever has become of the others. A request
that is refused as not run is sent again when the refusal says so.
"""

from collections.abc import Callable
import random
from typing import Any
import uuid

import attrs
import trio

from quetzalmill import codec
from quetzalmill import errors
from quetzalmill import http_client
from quetzalmill import http_message
from quetzalmill_load import cluster as cluster_module
from quetzalmill_load import workload

MAX_REFUSALS = 4
"""Refusals of one call after which its program ends as refused."""

CALL_TIMEOUT_MS = 30_000.0
"""How long a caller waits for a call without a deadline."""

CLIENT_DELAY_MS = 2.0
"""One-way delay between a caller and an entry."""

_WORD = "kelp"
_REFUSED = (429, 503)
_DEFAULT_RETRY_MS = 500.0


@attrs.define(kw_only=True)
class Request:
    """One request as the tool sent it.

    Attributes:
        team: Its team.
        sent_ms: When it was sent, from the start of the run.
        ended_ms: When its answer was whole.
        status: The HTTP status, 0 when the connection broke.
        code: The error code of a refusal.
        counted: Whether it counts against its team's rate.
        history_tokens: Tokens that the program's history held before.
        cached_tokens: Tokens of the prompt that an engine had cached.
        served_tokens: Tokens of the prompt and the answer.
    """

    team: str
    sent_ms: float
    ended_ms: float = 0.0
    status: int = 0
    code: str = ""
    counted: bool = True
    history_tokens: int = 0
    cached_tokens: int = 0
    served_tokens: int = 0


@attrs.define(kw_only=True)
class Outcome:
    """What became of a program.

    Attributes:
        program: The program.
        state: ``done``, ``refused``, ``failed`` or ``unfinished``.
        latency_ms: From its start to its end.
    """

    program: workload.Program
    state: str
    latency_ms: float


@attrs.define
class Record:
    """All that a run recorded."""

    requests: list[Request] = attrs.field(factory=list)
    outcomes: list[Outcome] = attrs.field(factory=list)


@attrs.frozen
class _Answer:
    request: Request
    body: dict[str, Any]


class _ProgramEndedError(errors.QuetzalmillError):
    def __init__(self, state: str) -> None:
        super().__init__(state)
        self.state = state


class Driver:
    """Runs the programs of one workload."""

    def __init__(
        self,
        cluster: cluster_module.Cluster,
        load: workload.Workload,
        seed: int,
    ) -> None:
        self._cluster = cluster
        self._load = load
        self._chance = random.Random(seed)
        self._client = http_client.HttpClient()
        self._start_s = 0.0
        self.record = Record()

    async def run(
        self,
        cap_s: float,
        events: list[tuple[float, Callable[[], None]]] | None = None,
    ) -> None:
        """Runs the workload; what runs after ``cap_s`` is cut off.

        Args:
            cap_s: The longest time of the run.
            events: Moments in seconds with what happens then, such as a fault.
        """
        self._start_s = trio.current_time()
        with trio.move_on_after(cap_s):
            async with trio.open_nursery() as nursery:
                for at_s, action in events or []:
                    nursery.start_soon(self._at, at_s, action)
                for program in self._load.programs:
                    nursery.start_soon(self._program, program)

    async def _at(self, at_s: float, action: Callable[[], None]) -> None:
        await trio.sleep_until(self._start_s + at_s)
        await trio.to_thread.run_sync(action)

    def _now_ms(self) -> float:
        return (trio.current_time() - self._start_s) * 1000.0

    async def _program(self, program: workload.Program) -> None:
        await trio.sleep_until(self._start_s + program.start_ms / 1000.0)
        outcome = Outcome(program=program, state="unfinished", latency_ms=0.0)
        self.record.outcomes.append(outcome)
        try:
            await self._steps(program, program.steps, "")
            outcome.state = "done"
        except _ProgramEndedError as error:
            outcome.state = error.state
        finally:
            outcome.latency_ms = self._now_ms() - program.start_ms

    async def _steps(
        self,
        program: workload.Program,
        steps: tuple[workload.Step, ...],
        parent: str,
    ) -> None:
        name = await self._start(program, parent)
        number = 0
        history_tokens = 0
        for step in steps:
            match step:
                case workload.Pause(pause_ms=pause_ms):
                    await trio.sleep(pause_ms / 1000.0)
                case workload.SubProgram(steps=inner):
                    await self._steps(program, inner, name)
                case workload.ServiceCall():
                    number += 1
                    await self._order(program, name, number)
                case workload.ModelCall():
                    number += 1
                    history_tokens = await self._ask_model(
                        program, name, number, step, history_tokens
                    )
        await self._send(program, "DELETE", f"/v1/programs/{name}", {}, None)

    async def _start(self, program: workload.Program, parent: str) -> str:
        wanted = {"parent": parent} if parent else {}
        answer = await self._send(program, "POST", "/v1/programs", {}, wanted)
        return str(answer.body["program"])

    async def _order(
        self, program: workload.Program, name: str, number: int
    ) -> None:
        headers = {**_headers(name, number), "quetzalmill-idempotent": "false"}
        path = f"/v1/services/{cluster_module.ROUTE}/orders"
        body = {"reference": uuid.uuid4().hex}
        await self._send(program, "POST", path, headers, body)

    async def _ask_model(
        self,
        program: workload.Program,
        name: str,
        number: int,
        step: workload.ModelCall,
        history_tokens: int,
    ) -> int:
        """Makes a model call; returns the tokens of the history after it."""
        text = f"{name} {number} " + f"{_WORD} " * step.new_tokens
        body = {
            "model": cluster_module.MODEL,
            "messages": [{"role": "user", "content": text}],
            "max_tokens": step.answer_tokens,
        }
        answer = await self._send(
            program,
            "POST",
            "/v1/chat/completions",
            _headers(name, number),
            body,
        )
        usage = answer.body["usage"]
        request = answer.request
        request.history_tokens = history_tokens
        request.cached_tokens = usage["prompt_tokens_details"]["cached_tokens"]
        request.served_tokens = usage["total_tokens"]
        return int(usage["total_tokens"])

    async def _send(
        self,
        program: workload.Program,
        method: str,
        path: str,
        headers: dict[str, str],
        body: dict[str, Any] | None,
    ) -> _Answer:
        """Sends a request until it is not refused; returns its answer.

        Raises:
            _ProgramEndedError: It failed, or was refused too often.
        """
        timeout_ms = program.deadline_ms or CALL_TIMEOUT_MS
        until_ms = self._now_ms() + timeout_ms
        for _ in range(MAX_REFUSALS):
            left_ms = max(1.0, until_ms - self._now_ms())
            answer = await self._once(
                program, method, path, headers, body, left_ms
            )
            if answer.request.status in (200, 201):
                return answer
            if answer.request.status not in _REFUSED:
                raise _ProgramEndedError("failed")
            wait_ms = answer.body.get("retry_after_ms") or _DEFAULT_RETRY_MS
            if self._now_ms() + wait_ms >= until_ms:
                break
            await trio.sleep(wait_ms / 1000.0)
        raise _ProgramEndedError("refused")

    async def _once(
        self,
        program: workload.Program,
        method: str,
        path: str,
        headers: dict[str, str],
        body: dict[str, Any] | None,
        left_ms: float,
    ) -> _Answer:
        key = self._cluster.keys[program.team]
        message = http_message.Request(
            method=method,
            path=path,
            headers={
                "authorization": f"Bearer {key}",
                "content-type": "application/json",
                "quetzalmill-deadline-ms": str(int(left_ms) or 1),
                **headers,
            },
            body=b"" if body is None else codec.to_json(body),
        )
        entry = self._chance.choice(self._cluster.entries)
        request = Request(
            team=program.team,
            sent_ms=self._now_ms(),
            counted="/v1/programs" not in path,
        )
        self.record.requests.append(request)
        await trio.sleep(CLIENT_DELAY_MS / 1000.0)
        try:
            response = await self._client.request(
                entry.settings["http_address"],
                message,
                timeout_ms=left_ms + 1_000.0,
                max_body_bytes=16_000_000,
            )
        except errors.HttpError as error:
            request.code = type(error).__name__
            request.ended_ms = self._now_ms()
            return _Answer(request, {})
        await trio.sleep(CLIENT_DELAY_MS / 1000.0)
        request.ended_ms = self._now_ms()
        request.status = response.status
        answer = codec.from_json(response.body or b"{}", dict[str, Any])
        if response.status not in (200, 201):
            request.code = str(answer.get("code", ""))
        return _Answer(request, answer)


def _headers(program: str, call: int) -> dict[str, str]:
    return {
        "quetzalmill-program": program,
        "quetzalmill-call": str(call),
    }
