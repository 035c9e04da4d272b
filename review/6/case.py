"""An answer without a length that is reset before it is whole.

The replica answers before it has read a long body, and breaks off.
"""

import asyncio
import random
import socket
import struct

from standins_2 import deployment as deployment_module
from standins_2 import http1
from standins_2 import replica

TENANT = "hule930"
REQUESTS = 800
GAP_S = 0.08
BODY_BYTES = 1_000_000
ANSWER = b"".join(b"row %04d of the answer\n" % row for row in range(200))
REPLICAS = {"rawson": 2, "madryn": 2, "camarones": 2, "trelew": 1}
FAULTY_REPLICAS = 4
FAULTY_SHARE = 0.03
FOR_S = 5.0
CALM_S = 3.0
LONG_BYTES = 65_536
DEADLINE_S = 5.0
PAUSE_S = 0.1


class Undelimited(replica.Replica):
    """A replica whose answers have no length and end with their channel.

    When it is faulty, it begins to answer some long requests before it has
    read them, and resets the channel in the middle of the answer.
    """

    garble: replica.Garble | None = None

    async def serve_early(
        self, head: http1.Message, channel: http1.Channel
    ) -> bool:
        """Answers before the body is read; returns whether it has."""
        length = int(head.headers.get("content-length", "0"))
        if (
            self.garble is None
            or length <= LONG_BYTES
            or head.headers.get("expect-instance") != self.id
            or not self.garble.spoils()
        ):
            return False
        run = self.begin(head)
        run.ended = "reset in its answer"
        transport = channel.writer.transport
        assert isinstance(transport, asyncio.ReadTransport)
        transport.pause_reading()
        await channel.send(self._head(run) + ANSWER[: len(ANSWER) // 2])
        await asyncio.sleep(PAUSE_S)
        channel.writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        channel.reset()
        return True

    async def work(
        self, run: replica.Run, request: http1.Message, channel: http1.Channel
    ) -> None:
        """Answers a request that was read whole, and ends the channel."""
        await asyncio.sleep(self.work_s)
        await channel.send(self._head(run) + ANSWER)
        run.ended = "answered"
        channel.writer.close()
        raise http1.BrokenError("the answer has ended with its channel")

    def _head(self, run: replica.Run) -> bytes:
        lines = [
            f"{name}: {value}" for name, value in self.headers(run).items()
        ]
        return "\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""]).encode()


async def send(
    deployment: deployment_module.Deployment, number: int
) -> tuple[bool, bool]:
    """Sends one request.

    Returns whether it got a whole success, and one that is not the replica's
    whole body.
    """
    await asyncio.sleep(GAP_S * number)
    attempt_id = deployment.attempt_id()
    headers = {
        "Host": deployment_module.HOST,
        "Attempt-Id": attempt_id,
        "Deadline-Ms": str(int(DEADLINE_S * 1000)),
        "Authorization": f"Token key-{TENANT}",
    }
    try:
        response = await http1.call(
            deployment.front(random.choice(deployment_module.ZONES)),
            "POST /retiro/2f HTTP/1.1",
            headers,
            b"b" * BODY_BYTES,
            DEADLINE_S,
        )
    except http1.BrokenError as error:
        deployment.note(f"attempt {attempt_id}: {error}")
        return False, False
    is_success = response.status == 200
    is_whole = response.body == ANSWER
    ended = [
        run.ended for run in deployment.runs if run.attempt_id == attempt_id
    ]
    deployment.note(
        f"attempt {attempt_id}: {response.status}, {len(response.body)} of"
        f" {len(ANSWER)} bytes with content-length"
        f" {response.headers.get('content-length')}, signature"
        f" {response.headers.get('response-signature')};"
        f" at the replica: {ended}"
    )
    return is_success and is_whole, is_success and not is_whole


async def case(trouble: bool, deployment: deployment_module.Deployment) -> bool:
    """Plays the case; returns whether a cut answer looked complete."""
    garble = replica.Garble(FAULTY_SHARE, FOR_S, CALM_S)
    for zone, count in REPLICAS.items():
        for _ in range(count):
            made = deployment.add(Undelimited, deployment_module.APP, zone)
            assert isinstance(made, Undelimited)
            if len(deployment.replicas) <= FAULTY_REPLICAS:
                made.garble = garble
    await deployment.start()
    if trouble:
        garble.begin()
    results = await asyncio.gather(
        *(send(deployment, number) for number in range(REQUESTS))
    )
    whole = sum(each[0] for each in results)
    cut = sum(each[1] for each in results)
    deployment.note(
        f"{REQUESTS} requests: {garble.spoilt} of {garble.answers} answers"
        f" broken off by a reset, {whole} whole successes, {cut} successes"
        " that are cut"
    )
    return cut > 0


if __name__ == "__main__":
    deployment_module.run(case, [deployment_module.tenant(TENANT)])
