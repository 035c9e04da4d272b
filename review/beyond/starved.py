"""Look-ups that ran when replicas crashed, and whether they run again."""

import asyncio
import collections
import dataclasses
import random

from standins_2 import deployment as deployment_module
from standins_2 import http1
from standins_2 import replica

OFFICE, OTHERS = "oficina", "hule930"
PATHS = ("/estado/2f", "/estado/4b")
CLERKS = 4
MIN_RUNNING = 3
POLL_S = 1.0
PLAY_S = 40.0
CRASH_AT_S = 6.0
DOWN_S = 4.5
CRASH_ZONE = "trelew"
REPLICAS = {"rawson": 2, "madryn": 2, "camarones": 2, "trelew": 1}
DEADLINE_S = 1.5
WORK_S = 0.15


@dataclasses.dataclass
class Tally:
    """The requests of one tenant."""

    sent: int = 0
    served: int = 0
    statuses: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )


async def look_up(
    deployment: deployment_module.Deployment,
    tenant: str,
    path: str,
    tally: Tally,
) -> None:
    """Looks up a status; sends it once more after a failure."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + DEADLINE_S
    tally.sent += 1
    zone = CRASH_ZONE
    if tenant == OTHERS:
        zone = random.choice(deployment_module.ZONES)
    for _ in range(2):
        left_s = end_s - loop.time()
        if left_s <= 0.05:
            return
        attempt_id = deployment.attempt_id()
        headers = {
            "Host": deployment_module.HOST,
            "Attempt-Id": attempt_id,
            "Deadline-Ms": str(int(left_s * 1000)),
            "Authorization": f"Token key-{tenant}",
        }
        status, pause_s, reason = 0, 0.0, ""
        try:
            response = await http1.call(
                deployment.front(zone),
                f"GET {path} HTTP/1.1",
                headers,
                timeout_s=left_s,
            )
            status = response.status
            pause_s = float(response.headers.get("retry-after", "0"))
            if status != 200:
                reason = response.body.decode(errors="replace")
        except http1.BrokenError as error:
            reason = str(error)
        tally.statuses[status] += 1
        if tenant == OFFICE:
            deployment.note(
                f"{tenant} {path} attempt {attempt_id}: {status} {reason}"
            )
        if status == 200:
            tally.served += 1
            return
        if pause_s > left_s / 3:
            return
        await asyncio.sleep(pause_s)


async def poll(
    deployment: deployment_module.Deployment, tally: Tally, end_s: float
) -> None:
    """Has the office's clerks look at the same status again and again."""
    async with asyncio.TaskGroup() as group:
        while deployment.now_s() < end_s:
            for _ in range(CLERKS):
                group.create_task(look_up(deployment, OFFICE, PATHS[0], tally))
            await asyncio.sleep(POLL_S)


async def others(
    deployment: deployment_module.Deployment, tally: Tally, end_s: float
) -> None:
    """Sends the look-ups of another tenant."""
    async with asyncio.TaskGroup() as group:
        while deployment.now_s() < end_s:
            group.create_task(look_up(deployment, OTHERS, PATHS[1], tally))
            await asyncio.sleep(0.1)


async def crash(deployment: deployment_module.Deployment) -> None:
    """Crashes the replica of one zone once, while it runs look-ups."""
    await asyncio.sleep(CRASH_AT_S)
    hit = [each for each in deployment.replicas if each.zone == CRASH_ZONE]
    while (running := sum(each.running for each in hit)) < MIN_RUNNING:
        await asyncio.sleep(0.01)
    for each in hit:
        each.crash()
    deployment.note(
        f"{len(hit)} replicas of {CRASH_ZONE} crash with {running} running"
    )
    await asyncio.sleep(DOWN_S)
    for each in hit:
        deployment.replicas.remove(each)
        made = deployment.add(
            replica.Replica, deployment_module.APP, CRASH_ZONE, work_s=WORK_S
        )
        await made.start()
    deployment.note(f"{len(hit)} replicas of {CRASH_ZONE} are back")


async def case(trouble: bool, deployment: deployment_module.Deployment) -> bool:
    """Plays the case; returns whether the office was starved."""
    for zone, count in REPLICAS.items():
        for _ in range(count):
            deployment.add(
                replica.Replica, deployment_module.APP, zone, work_s=WORK_S
            )
    await deployment.start()
    end_s = deployment.now_s() + PLAY_S
    office, rest = Tally(), Tally()
    async with asyncio.TaskGroup() as group:
        group.create_task(poll(deployment, office, end_s))
        group.create_task(others(deployment, rest, end_s))
        if trouble:
            group.create_task(crash(deployment))
    share = office.served / office.sent
    share_all = (office.served + rest.served) / (office.sent + rest.sent)
    deployment.note(
        f"served: {OFFICE} {office.served} of {office.sent} ({share:.3f}),"
        f" {OTHERS} {rest.served} of {rest.sent}, all {share_all:.3f};"
        f" statuses {dict(office.statuses)} and {dict(rest.statuses)}"
    )
    return share < share_all / 4


if __name__ == "__main__":
    deployment_module.run(
        case,
        [
            deployment_module.tenant(OFFICE),
            deployment_module.tenant(OTHERS),
        ],
    )
