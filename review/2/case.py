"""One unreadable entry of another writer ends all gateways repeatedly."""

import asyncio
import collections
import sys
import time

from standins import deployment as deployment_module
from standins import desired_state
from standins import replica as replica_module
from standins import wire

MACHINES = 4
REPLICAS = 3
REQUESTERS = 8
WARM_UP_S = 3.0
OBSERVED_S = 14.0
DEADLINE_MS = 1_500
UNREADABLE = b"[" * 2_000
READABLE = b'["another writer"]'
"""Bytes of another writer that are JSON, but no entry."""

MAX_ENDS = 3
MIN_MACHINES = 2


async def play(
    deployment: deployment_module.Deployment, has_trouble: bool
) -> bool:
    """Plays the case; returns whether the machines kept running and served."""
    record = deployment.record
    for number in range(REPLICAS):
        await deployment.add_replica(
            replica_module.Replica(
                f"j-{number}", slots=6, queue=24, work_ms=(20, 60)
            ),
            "registro",
            "zone-a",
        )
    routes = [desired_state.route("estado", "safe", "registro", timeoutMs=1500)]
    await deployment.start(
        desired_state.document(routes, plain="registro"), machines=MACHINES
    )
    deployment.restart_ended_processes()
    begins_s = time.monotonic()
    served: collections.Counter[bool] = collections.Counter()
    late_served: collections.Counter[bool] = collections.Counter()

    async def requester(number: int) -> None:
        turn = number
        while time.monotonic() - begins_s < WARM_UP_S + OBSERVED_S:
            turn += 1
            machine = deployment.machines[turn % len(deployment.machines)]
            request_id = deployment.new_id()
            sent_s = time.monotonic() - begins_s
            record.add("sent", id=request_id, node=machine.name)
            client = wire.Client(machine.front)
            answer = await client.request(
                "GET",
                "/estado/2f",
                deployment.headers(
                    request_id, desired_state.key_of("tenant1"), DEADLINE_MS
                ),
                timeout_s=DEADLINE_MS / 1000,
            )
            client.close()
            record.add(
                "answered",
                id=request_id,
                status=answer.status,
                end=answer.end or "-",
            )
            is_served = answer.is_complete and answer.status == 200
            served[is_served] += 1
            if sent_s > WARM_UP_S + OBSERVED_S / 2:
                late_served[is_served] += 1
            await asyncio.sleep(0.1)

    async def other_writer() -> None:
        await asyncio.sleep(WARM_UP_S)
        if not served[True] or served[False]:
            raise RuntimeError("requests fail before the entry is written")
        value = UNREADABLE if has_trouble else READABLE
        deployment.store.put("keyed.servers", "old-inventory", value)
        record.add("entry_written", key="old-inventory", size=len(value))

    await asyncio.gather(
        other_writer(), *(requester(number) for number in range(REQUESTERS))
    )
    for run in deployment.runs():
        record.add("run", id=run.request_id, replica=run.replica_id)
    ends = {each.name: len(each.ends) for each in deployment.machines}
    often = [name for name, count in ends.items() if count >= MAX_ENDS]
    print(
        f"processes that ended by themselves, by machine: {ends}; in the last "
        f"{OBSERVED_S / 2:.0f} s {late_served[True]} requests were served and "
        f"{late_served[False]} were not"
    )
    return len(often) < max(MIN_MACHINES, len(ends) // 10)


if __name__ == "__main__":
    sys.exit(deployment_module.main(play))
