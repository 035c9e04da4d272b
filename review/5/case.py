"""A SIGHUP during a planned stop ends the process at once."""

import asyncio
import signal
import sys

from standins import deployment as deployment_module
from standins import desired_state
from standins import replica as replica_module
from standins import wire

MACHINES = 3
REPLICAS = 3
REQUESTERS = 12
HUP_AFTER_S = 1.0
SENDING_S = 3.0
"""How long after SIGTERM requests are sent; the platform's readiness checks
take a machine out of rotation in about that time."""

DEADLINE_MS = 4_000
GRACE_S = 8.0


async def play(
    deployment: deployment_module.Deployment, has_trouble: bool
) -> bool:
    """Plays the case; returns whether LOST held."""
    record = deployment.record
    for number in range(REPLICAS):
        await deployment.add_replica(
            replica_module.Replica(
                f"i-{number}",
                slots=16,
                queue=48,
                work_ms=(40, 90),
                events=7,
                gap_ms=40.0,
            ),
            "agent-llm",
            "zone-a",
        )
        await deployment.add_replica(
            replica_module.Replica(
                f"j-{number}", slots=6, queue=24, work_ms=(100, 250)
            ),
            "rental-app",
            "zone-a",
        )
    routes = [
        desired_state.turns_route("quote", "agent-llm"),
        desired_state.route("booking", "unsafe", "rental-app", timeoutMs=5000),
    ]
    await deployment.start(
        desired_state.document(routes, engine="agent-llm", plain="rental-app"),
        machines=MACHINES,
    )
    machine = deployment.machines[0]
    ended = asyncio.Event()
    lost: list[str] = []
    answered: list[str] = []

    async def send(client: wire.Client, number: int) -> bool:
        """Sends one request; returns whether the channel may be used again."""
        route = ("quote", "booking")[number % 2]
        request_id = deployment.new_id()
        sent = asyncio.Event()
        headers = deployment.headers(
            request_id, desired_state.key_of("tenant1"), DEADLINE_MS
        )
        if route == "quote":
            headers |= {
                "Program-Id": request_id,
                "Session-Id": "1",
                "Program-Deadline-Ms": "8000",
                "Token-Budget": "1000",
                "Token-Usage": "100,200",
            }
        record.add("sent", id=request_id, route=route)
        answer = await client.request(
            "POST",
            f"/{route}/1",
            headers,
            b"three microphones",
            timeout_s=DEADLINE_MS / 1000 + 1.0,
            on_sent=sent.set,
        )
        record.add(
            "answered",
            id=request_id,
            status=answer.status,
            whole=answer.is_complete,
            end=answer.end or "-",
        )
        if answer.is_complete:
            answered.append(request_id)
        elif sent.is_set():
            lost.append(request_id)
        return answer.is_complete

    async def requester(number: int) -> None:
        client = wire.Client(machine.front)
        while not ended.is_set() and await send(client, number):
            await asyncio.sleep(0.02)
        client.close()

    requesters = [
        asyncio.create_task(requester(number)) for number in range(REQUESTERS)
    ]
    await asyncio.sleep(2.0)
    before = len(answered)
    if lost or not before:
        raise RuntimeError("requests fail before the stop")
    machine.is_stopped_by_us = True
    machine.signal(signal.SIGTERM)
    record.add("SIGTERM", node=machine.name)
    await asyncio.sleep(HUP_AFTER_S)
    if has_trouble:
        deployment.rewrite_settings(machine)
        machine.signal(signal.SIGHUP)
        record.add("SIGHUP", node=machine.name)
    await asyncio.sleep(SENDING_S - HUP_AFTER_S)
    ended.set()
    await asyncio.gather(*requesters)
    assert machine.process is not None
    async with asyncio.timeout(GRACE_S):
        code = await machine.process.wait()
    ran = {run.request_id for run in deployment.runs()}
    for request_id in ran:
        record.add("run", id=request_id)
    passed_on = [each for each in lost if each in ran]
    for request_id in passed_on:
        record.add("LOST", id=request_id)
    print(
        f"answered {before} before SIGTERM and {len(answered) - before} after "
        f"it; cut off after a replica had them {len(passed_on)}; exit code "
        f"{code}"
    )
    return not passed_on


if __name__ == "__main__":
    sys.exit(deployment_module.main(play))
