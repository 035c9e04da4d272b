"""An answer that comes byte by byte without an end, and its requester."""

import asyncio
import dataclasses
import random

from standins_2 import deployment as deployment_module
from standins_2 import http1
from standins_2 import replica

TENANT = "hule930"
REQUESTS = 1400
GAP_S = 0.04
REPLICAS = {"rawson": 2, "madryn": 2, "camarones": 2, "trelew": 1}
FAULTY_REPLICAS = 4
FAULTY_SHARE = 0.03
FOR_S = 5.0
CALM_S = 3.0
TRICKLE_S = 0.3
TIMEOUT_S = 2.5
LATE_S = 0.5
DEADLINE_S = 5.0
WORK_S = 0.1


class Trickling(replica.Replica):
    """A replica whose answers, when it is faulty, do not end.

    It sends a byte of the body now and then until its channel is closed.
    """

    garble: replica.Garble | None = None

    async def work(
        self, run: replica.Run, request: http1.Message, channel: http1.Channel
    ) -> None:
        """Runs a request."""
        if self.garble is None or not self.garble.spoils():
            await super().work(run, request, channel)
            return
        run.ended = "trickling"
        headers = {**self.headers(run), "Transfer-Encoding": "chunked"}
        lines = [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""])
        await channel.send(head.encode())
        while True:
            await channel.send(http1.chunk(b"."))
            await asyncio.sleep(TRICKLE_S)


@dataclasses.dataclass
class Tally:
    """The bookings and how long they took."""

    served: int = 0
    at_timeout: int = 0
    late: int = 0


async def book(
    deployment: deployment_module.Deployment, number: int, tally: Tally
) -> None:
    """Sends a payment and waits for its answer until the deadline."""
    await asyncio.sleep(GAP_S * number)
    loop = asyncio.get_running_loop()
    attempt_id = deployment.attempt_id()
    headers = {
        "Host": deployment_module.HOST,
        "Attempt-Id": attempt_id,
        "Deadline-Ms": str(int(DEADLINE_S * 1000)),
        "Authorization": f"Token key-{TENANT}",
    }
    began_s = loop.time()
    status, reason = 0, ""
    try:
        response = await http1.call(
            deployment.front(random.choice(deployment_module.ZONES)),
            "POST /pago/2f HTTP/1.1",
            headers,
            b"p" * 600,
            DEADLINE_S,
        )
        status = response.status
    except http1.BrokenError as error:
        reason = str(error)
    took_s = loop.time() - began_s
    tally.served += status == 200
    tally.at_timeout += took_s > TIMEOUT_S
    tally.late += took_s > TIMEOUT_S + LATE_S
    ended = [
        run.ended for run in deployment.runs if run.attempt_id == attempt_id
    ]
    deployment.note(
        f"attempt {attempt_id}: {status} {reason} after {took_s:.2f} s; at the"
        f" replica: {ended}"
    )


async def case(trouble: bool, deployment: deployment_module.Deployment) -> bool:
    """Plays the case; returns whether requests were held past their time."""
    garble = replica.Garble(FAULTY_SHARE, FOR_S, CALM_S)
    for zone, count in REPLICAS.items():
        for _ in range(count):
            made = deployment.add(
                Trickling, deployment_module.APP, zone, work_s=WORK_S
            )
            assert isinstance(made, Trickling)
            if len(deployment.replicas) <= FAULTY_REPLICAS:
                made.garble = garble
    await deployment.start()
    if trouble:
        garble.begin()
    tally = Tally()
    await asyncio.gather(
        *(book(deployment, number, tally) for number in range(REQUESTS))
    )
    deployment.note(
        f"{REQUESTS} payments, {tally.served} served; {garble.spoilt} of"
        f" {garble.answers} answers without an end; {tally.at_timeout}"
        f" payments had no answer at timeoutMs, {tally.late} of these none"
        f" {LATE_S} s later"
    )
    return tally.late > tally.at_timeout / 2


if __name__ == "__main__":
    deployment_module.run(case, [deployment_module.tenant(TENANT)])
