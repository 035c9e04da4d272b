"""A requester's agent program: turns of one conversation, with a budget."""

import asyncio
import dataclasses

from standins_2 import deployment as deployment_module
from standins_2 import http1

DEADLINE_S = 4.0
TURN_TOKENS = 288
BUDGET_TOKENS = 8 * TURN_TOKENS


@dataclasses.dataclass
class Turn:
    """What a requester saw of one attempt of a turn."""

    attempt_id: str
    previous: str = ""
    status: int = 0
    events: list[bytes] = dataclasses.field(default_factory=list)
    complete: bool = False

    @property
    def tokens(self) -> int:
        """The tokens that it was handed."""
        return len(self.events) * deployment_module.EVENT_TOKENS


async def send_turn(
    deployment: deployment_module.Deployment,
    address: str,
    *,
    tenant: str,
    program: str,
    body: bytes,
    previous: str = "",
    path: str = "/rack-keep/2f",
    budget: int = BUDGET_TOKENS,
    deadline_s: float = DEADLINE_S,
) -> Turn:
    """Sends a turn on a new channel and reads its events."""
    turn = Turn(deployment.attempt_id(), previous)
    headers = {
        "Host": deployment_module.HOST,
        "Attempt-Id": turn.attempt_id,
        "Deadline-Ms": str(int(deadline_s * 1000)),
        "Authorization": f"Token key-{tenant}",
        "Model": "m",
        "Program-Id": program,
        "Session-Id": f"{program}-1",
        "Program-Deadline-Ms": "20000",
        "Token-Budget": str(budget),
        "Token-Usage": f"1840,{TURN_TOKENS}",
        "Prompt-Prefix": f"5c1e07a2:512,{program}:600",
    }
    if previous:
        headers["Previous-Turn"] = previous
    pending = bytearray()

    def on_data(data: bytes) -> None:
        pending.extend(data)
        *events, rest = bytes(pending).split(b"\n\n")
        turn.events += [each for each in events if b"data:" in each]
        pending[:] = rest

    try:
        channel = await http1.connect(address)
    except http1.BrokenError:
        return turn
    try:
        async with asyncio.timeout(deadline_s):
            await channel.send(
                http1.encode(f"POST {path} HTTP/1.1", headers, body)
            )
            response = await http1.read_head(channel.reader)
            if response is None:
                return turn
            turn.status = response.status
            if "chunked" in response.headers.get("transfer-encoding", ""):
                await http1.read_chunks(channel.reader, on_data)
                turn.complete = turn.status == 200
            else:
                await http1.read_body(channel.reader, response)
    except (http1.BrokenError, TimeoutError):
        pass
    finally:
        channel.reset()
    return turn
