"""A slash in a program's id splits its token budget in two."""

import sys

from standins import deployment as deployment_module
from standins import desired_state
from standins import replica as replica_module
from standins import wire

MACHINES = 3
REPLICAS = 2
EVENTS = 8
MOST_TOKENS = EVENTS * replica_module.CHUNK_TOKENS
BUDGET_TOKENS = 10 * MOST_TOKENS
PROGRAMS = 6
MAX_TURNS = 60
DEADLINE_MS = 4_000


async def play(
    deployment: deployment_module.Deployment, has_trouble: bool
) -> bool:
    """Plays the case; returns whether BUDGET held."""
    for number in range(REPLICAS):
        await deployment.add_replica(
            replica_module.Replica(
                f"i-{number}",
                slots=24,
                queue=72,
                work_ms=(5, 15),
                events=EVENTS,
                gap_ms=5.0,
            ),
            "asesor",
            "zone-a",
        )
    routes = [desired_state.turns_route("rack", "asesor")]
    await deployment.start(
        desired_state.document(routes, engine="asesor"), machines=MACHINES
    )
    is_held = True
    for number in range(PROGRAMS):
        program_id = f"3fa81c{number}"
        if has_trouble:
            program_id = f"rack/{program_id}"
        tokens = await _program(deployment, program_id)
        limit = BUDGET_TOKENS + MOST_TOKENS
        print(f"{program_id}: {tokens} tokens of {BUDGET_TOKENS}")
        if tokens > limit:
            deployment.record.add("BUDGET", program=program_id, tokens=tokens)
            is_held = False
    return is_held


async def _program(
    deployment: deployment_module.Deployment, program_id: str
) -> int:
    """Runs a program that loops until its budget is spent.

    Its turns come through one machine after the other. Returns the tokens that
    were handed to the requester.
    """
    tokens = 0
    refusals_in_a_row = 0
    for number in range(MAX_TURNS):
        machine = deployment.machines[number % len(deployment.machines)]
        request_id = deployment.new_id()
        client = wire.Client(machine.front)
        headers = deployment.headers(
            request_id,
            desired_state.key_of("tenant1"),
            DEADLINE_MS,
            Program_Id=program_id,
            Session_Id=str(number),
            Program_Deadline_Ms="30000",
            Token_Budget=str(BUDGET_TOKENS),
            Token_Usage=f"100,{MOST_TOKENS}",
        )
        answer = await client.request(
            "POST",
            "/rack/1",
            headers,
            b"turn the racks",
            timeout_s=DEADLINE_MS / 1000 + 1.0,
        )
        client.close()
        events = answer.body.count(b"\n\n")
        handed = events * replica_module.CHUNK_TOKENS
        tokens += handed
        deployment.record.add(
            "answered",
            program=program_id,
            id=request_id,
            node=machine.name,
            status=answer.status,
            tokens=handed,
        )
        refusals_in_a_row = refusals_in_a_row + 1 if answer.status == 402 else 0
        if refusals_in_a_row == len(deployment.machines):
            break
    return tokens


if __name__ == "__main__":
    sys.exit(deployment_module.main(play))
