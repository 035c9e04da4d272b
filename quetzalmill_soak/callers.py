"""Callers that run agent programs against the gateways.

They keep connections open as long as the gateway does, retry only requests that
may be retried, and record every attempt.
"""

import random

import trio

from quetzalmill import errors
from quetzalmill import http_client
from quetzalmill import http_message
from quetzalmill_load import platform_cluster
from quetzalmill_soak import checks
from quetzalmill_soak import record as record_module

DEADLINE_MS = 4_000.0
"""The maximum wait for an answer, as of the users' callers."""

MOST_TOKENS = 50
"""The maximum number of tokens that one turn may generate."""

TURN_TRIES = 3
"""How often a turn is sent from its start before its program fails."""

_MAX_RETRIES = 1
_MAX_DELAY_FRACTION = 1.0 / 3.0
_PATHS = {"turn": "/chat/1", "lookup": "/lookup/1", "booking": "/book/1"}


class Caller:
    """Runs agent programs one after another.

    Args:
        cluster: The system under test.
        record: Receives every attempt.
        keys: The current key of each team.
        seed: The seed of the programs, and the prefix of all ids.
    """

    def __init__(
        self,
        cluster: platform_cluster.Cluster,
        record: record_module.Record,
        keys: dict[str, str],
        seed: str,
    ) -> None:
        self._cluster = cluster
        self._record = record
        self._keys = keys
        self._rng = random.Random(seed)
        self._client = http_client.HttpClient()
        self._seed = seed
        self._sent = 0
        self.ended: list[list[record_module.Turn]] = []
        self.budgets: dict[str, tuple[int, int]] = {}

    async def run(self, until_s: float) -> None:
        """Runs programs until a time of the event loop's clock."""
        number = 0
        while trio.current_time() < until_s:
            number += 1
            team = self._rng.choice(sorted(self._keys))
            await self._program(f"{self._seed}-{number}", team)
            await trio.sleep(self._rng.uniform(0.0, 0.1))
        await self._client.aclose()

    async def _program(self, program_id: str, team: str) -> None:
        turns = self._rng.randint(1, 5)
        loops = self._rng.random() < 0.1
        budget = 3 * MOST_TOKENS if loops else (turns + 3) * MOST_TOKENS * 3
        self.budgets[program_id] = (budget, MOST_TOKENS)
        chain: list[record_module.Turn] = []
        if self.ended and self._rng.random() < 0.2:
            # Some programs continue the conversation of another one.
            chain = self._rng.choice(self.ended)
            team = chain[0].team
        for number in range(20 if loops else turns):
            turn = await self._turn(program_id, team, chain, number, budget)
            if turn is None:
                return
            chain = [*chain, turn]
            self.ended.append(chain)
            if not await self._tools(program_id, team):
                return

    async def _turn(
        self,
        program_id: str,
        team: str,
        chain: list[record_module.Turn],
        number: int,
        budget: int,
    ) -> record_module.Turn | None:
        """Returns a completed turn, or None if the program fails."""
        text = f"{program_id} says {number}".encode()
        headers = {
            "Program-Id": program_id,
            "Session-Id": program_id,
            "Program-Deadline-Ms": "8000",
            "Token-Budget": str(budget),
            "Token-Usage": f"10,{MOST_TOKENS}",
        }
        if chain:
            headers["Previous-Turn"] = chain[-1].turn_id
        for _ in range(TURN_TRIES):
            attempt = await self._request(
                "turn", team, program_id, text, headers, chain
            )
            if attempt.status == 200:
                return record_module.Turn(
                    turn_id=attempt.request_id,
                    team=team,
                    input=text,
                    outputs=checks.outputs(attempt.answer),
                )
            if attempt.status in (400, 401, 402, 404):
                return None
            await trio.sleep(self._rng.uniform(0.1, 0.4))
        return None

    async def _tools(self, program_id: str, team: str) -> bool:
        """Calls tools; returns whether the program may continue."""
        for kind in ("lookup", "booking"):
            if self._rng.random() < 0.5:
                headers = {"Program-Id": program_id}
                attempt = await self._request(
                    kind, team, program_id, b"{}", headers, []
                )
                if attempt.status != 200:
                    return False
        return True

    async def _request(
        self,
        kind: str,
        team: str,
        program_id: str,
        body: bytes,
        headers: dict[str, str],
        chain: list[record_module.Turn],
    ) -> record_module.Attempt:
        """Sends a request and retries it where that is allowed."""
        deadline_s = trio.current_time() + DEADLINE_MS / 1000.0
        gateways = len(self._cluster.gateways)
        gateway = self._rng.randrange(gateways)
        tries = 0
        while True:
            self._sent += 1
            attempt = record_module.Attempt(
                request_id=f"{self._seed}-{self._sent}",
                kind=kind,
                team=team,
                key=self._keys[team],
                gateway=gateway,
                program_id=program_id,
                body=prompt(chain, body),
                continues=bool(chain),
            )
            await self._send(attempt, body, headers, deadline_s)
            tries += 1
            may_retry = attempt.status in (429, 503) or (
                kind == "lookup" and attempt.status in (None, 502, 504)
            )
            remaining_s = deadline_s - trio.current_time()
            if not may_retry or tries > _MAX_RETRIES or remaining_s <= 0.0:
                return attempt
            delay_s = float(attempt.headers.get("retry-after", "0"))
            await trio.sleep(min(delay_s, _MAX_DELAY_FRACTION * remaining_s))
            gateway = (gateway + 1) % gateways

    async def _send(
        self,
        attempt: record_module.Attempt,
        body: bytes,
        headers: dict[str, str],
        deadline_s: float,
    ) -> None:
        remaining_ms = max(1.0, 1000.0 * (deadline_s - trio.current_time()))
        request = http_message.Request(
            method="POST",
            path=_PATHS[attempt.kind],
            host=platform_cluster.HOST,
            headers={
                **headers,
                "Attempt-Id": attempt.request_id,
                "Deadline-Ms": str(int(remaining_ms)),
                "Authorization": f"Token {attempt.key}",
            },
            body=body,
        )
        attempt.wait_s = remaining_ms / 1000.0
        attempt.sent_s = trio.current_time()
        self._record.attempts.append(attempt)
        address = self._cluster.gateways[attempt.gateway].callers
        try:
            async with self._client.stream(
                address,
                request,
                timeout_ms=remaining_ms + 1000.0 * checks.LATE_S,
                whole_timeout_ms=2.0 * remaining_ms + 1000.0 * checks.LATE_S,
            ) as response:
                attempt.answered_s = trio.current_time()
                attempt.headers = response.headers
                async for chunk in response:
                    attempt.answer += chunk
                attempt.status = response.status
        except errors.HttpError as error:
            attempt.reason = repr(error)
        finally:
            attempt.ended_s = trio.current_time()


def prompt(chain: list[record_module.Turn], text: bytes) -> bytes:
    """Returns the body that an engine must receive for a turn after a chain."""
    history = [
        turn.input + b"".join(output + b"\n" for output in turn.outputs)
        for turn in chain
    ]
    return b"".join(history) + text
