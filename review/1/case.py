"""A late second copy of a refusal makes a payment run twice."""

import asyncio
import collections
import sys
import time

from standins import deployment as deployment_module
from standins import desired_state
from standins import replica as replica_module
from standins import wire

REPLICAS = 5
REQUESTERS = 50
WARM_UP_S = 2.0
WINDOW_S = 5.0
SHARE = 0.6
"""The share of replicas that hand out wrong bytes."""

PART = 0.03
"""The part of their answers that is followed by wrong bytes."""

COOL_DOWN_S = 1.0
DEADLINE_S = 2.5
ROUTES = ("pago", "retiro")
RETRIES = {"pago": 2, "retiro": 1}
PROMISES = (408, 421, 429, 503)


class Copier:
    """Sends second copies of refusals, late: when the next answer is due."""

    def __init__(
        self, replica: replica_module.Replica, record: deployment_module.Record
    ) -> None:
        self._replica = replica
        self._record = record
        self._from_answers: int | None = None
        self.copies = 0
        self.window_answers = 0
        self.is_on = False
        replica.after_refusal = self._keep_refusal
        replica.before_run = self._send_copy

    def end(self) -> None:
        """Ends the disruption."""
        self.is_on = False
        if self._from_answers is not None:
            self.window_answers = self._replica.answers - self._from_answers

    def _may_copy(self) -> bool:
        if not self.is_on:
            return False
        if self._from_answers is None:
            self._from_answers = self._replica.answers
        answers = self._replica.answers - self._from_answers
        return self.copies + 1 <= PART * answers

    def _keep_refusal(
        self, request: wire.Request, channel: wire.Channel, data: bytes
    ) -> None:
        channel.notes["refusal"] = (request.headers["attempt-id"], data)

    async def _send_copy(
        self, request: wire.Request, channel: wire.Channel
    ) -> None:
        refused_id, data = channel.notes.pop("refusal", ("", b""))
        if not data or not self._may_copy():
            return
        self.copies += 1
        self._record.add(
            "second_copy",
            replica=self._replica.replica_id,
            of=refused_id,
            where_due=request.headers["attempt-id"],
        )
        await channel.write(data)


async def play(
    deployment: deployment_module.Deployment, has_trouble: bool
) -> bool:
    """Plays the case; returns whether TWICE and REFUSED held."""
    record = deployment.record
    for number in range(REPLICAS):
        await deployment.add_replica(
            replica_module.Replica(
                f"i-{number}", slots=6, queue=3, work_ms=(60, 150)
            ),
            "registro",
            "zone-a",
        )
    copiers = [
        Copier(replica, record)
        for replica in deployment.replicas[: int(SHARE * REPLICAS)]
    ]
    routes = [
        desired_state.route(
            "pago", "unsafe", "registro", timeoutMs=2500, maxAttempts=2
        ),
        desired_state.route(
            "retiro", "unsafe", "registro", timeoutMs=5000, maxAttempts=1
        ),
    ]
    await deployment.start(
        desired_state.document(routes, plain="registro"), machines=2
    )
    ends_s = time.monotonic() + WARM_UP_S + WINDOW_S + COOL_DOWN_S
    answers: dict[str, int] = {}
    names = desired_state.tenant_names()

    async def attempt(
        number: int, trial: int, order: str, left_s: float
    ) -> float | None:
        """Sends one attempt; returns when to come back, or None."""
        route = ROUTES[number % 2]
        place = number // 2 + trial
        machine = deployment.machines[place % len(deployment.machines)]
        request_id = deployment.new_id()
        record.add(
            "sent", id=request_id, order=order, route=route, node=machine.name
        )
        client = wire.Client(machine.front)
        answer = await client.request(
            "POST",
            f"/{route}/2f",
            deployment.headers(
                request_id,
                desired_state.key_of(names[number % len(names)]),
                int(1000 * left_s),
            ),
            f"order {order}".encode(),
            timeout_s=left_s + 0.5,
        )
        client.close()
        answers[request_id] = answer.status
        record.add("answered", id=request_id, status=answer.status)
        if answer.status not in PROMISES:
            return None
        return float(answer.headers.get("retry-after", "0.1"))

    async def requester(number: int) -> None:
        """Sends orders; one that was refused is sent again, at most twice."""
        while time.monotonic() < ends_s:
            order = deployment.new_id()
            until_s = time.monotonic() + DEADLINE_S
            for trial in range(1 + RETRIES[ROUTES[number % 2]]):
                left_s = until_s - time.monotonic()
                back_s = await attempt(number, trial, order, left_s)
                if back_s is None or back_s > left_s / 3:
                    break
                await asyncio.sleep(back_s)
            await asyncio.sleep(0.05)

    async def trouble() -> None:
        await asyncio.sleep(WARM_UP_S)
        for copier in copiers:
            copier.is_on = has_trouble
        await asyncio.sleep(WINDOW_S)
        for copier in copiers:
            copier.end()

    await asyncio.gather(
        trouble(), *(requester(number) for number in range(REQUESTERS))
    )
    copies = sum(copier.copies for copier in copiers)
    window_answers = sum(copier.window_answers for copier in copiers)
    print(f"second copies {copies} of {window_answers} answers in the window")
    return _judge(deployment, answers)


def _judge(
    deployment: deployment_module.Deployment, answers: dict[str, int]
) -> bool:
    record = deployment.record
    runs = collections.Counter(run.request_id for run in deployment.runs())
    for run in deployment.runs():
        record.add("run", id=run.request_id, replica=run.replica_id)
    if not runs:
        raise RuntimeError("no request ran")
    twice = [each for each, count in runs.items() if count > 1]
    refused = [each for each in runs if answers.get(each) in PROMISES]
    for request_id in twice:
        record.add("TWICE", id=request_id, runs=runs[request_id])
    for request_id in refused:
        record.add("REFUSED", id=request_id, status=answers[request_id])
    counts = collections.Counter(answers.values())
    print(
        f"requests {len(answers)}, statuses {dict(sorted(counts.items()))}, "
        f"ran twice {len(twice)}, refused though run {len(refused)}"
    )
    return not twice and not refused


if __name__ == "__main__":
    sys.exit(deployment_module.main(play))
