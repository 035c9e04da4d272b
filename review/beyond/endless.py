"""A stream that goes on without end, and the budget of its program."""

import asyncio
import random

from standins_2 import deployment as deployment_module
from standins_2 import http1
from standins_2 import program
from standins_2 import replica

TENANT = "hule930"
PROGRAMS = 200
GAP_S = 0.25
TURNS = 4
FAULTY_SHARE = 0.03
EVENTS_PER_S = 250
STEP_S = 0.02


class Endless(replica.Replica):
    """A replica whose streams, when it is faulty, do not end.

    It repeats the last event until its channel is closed.
    """

    faulty = False
    endless = 0

    async def work(
        self, run: replica.Run, request: http1.Message, channel: http1.Channel
    ) -> None:
        """Runs a turn."""
        if not self.faulty or random.random() >= FAULTY_SHARE:
            await super().work(run, request, channel)
            return
        self.endless += 1
        await self.start_stream(run, channel)
        for number in range(1, self.events + 1):
            await asyncio.sleep(self.work_s)
            await channel.send(http1.chunk(replica.event(number)))
        run.ended = "endless"
        count = int(EVENTS_PER_S * STEP_S)
        while True:
            await asyncio.sleep(STEP_S)
            await channel.send(http1.chunk(count * replica.event(self.events)))


async def run_program(
    deployment: deployment_module.Deployment, number: int
) -> int:
    """Runs one program; returns the tokens that it was handed."""
    name = f"p{number:04x}"
    await asyncio.sleep(GAP_S * number)
    previous = ""
    tokens = 0
    for index in range(TURNS):
        turn = await program.send_turn(
            deployment,
            deployment.front(random.choice(deployment_module.ZONES)),
            tenant=TENANT,
            program=name,
            body=f"question {index} of {name}\n".encode() * 40,
            previous=previous,
        )
        tokens += turn.tokens
        deployment.note(
            f"{name} turn {index}: attempt {turn.attempt_id} status"
            f" {turn.status} events {len(turn.events)} complete"
            f" {turn.complete}; {tokens} tokens of"
            f" {program.BUDGET_TOKENS} so far"
        )
        if not turn.complete:
            break
        previous = turn.attempt_id
        await asyncio.sleep(0.1)
    return tokens


async def case(trouble: bool, deployment: deployment_module.Deployment) -> bool:
    """Plays the case; returns whether a budget was exceeded."""
    made = [
        deployment.add(
            Endless, deployment_module.ENGINE, zone, events=8, slots=24
        )
        for zone in deployment_module.ZONES
    ]
    for each in made[:2]:
        assert isinstance(each, Endless)
        each.faulty = trouble
    await deployment.start()
    tokens = await asyncio.gather(
        *(run_program(deployment, number) for number in range(PROGRAMS))
    )
    most = program.BUDGET_TOKENS + program.TURN_TOKENS
    over = [each for each in tokens if each > most]
    endless = sum(each.endless for each in made if isinstance(each, Endless))
    deployment.note(
        f"{endless} endless answers among {len(deployment.runs)} runs;"
        f" {len(over)} of {PROGRAMS} programs were handed more than {most}"
        f" tokens, at most {max(tokens)}"
    )
    return bool(over)


if __name__ == "__main__":
    deployment_module.run(case, [deployment_module.tenant(TENANT)])
