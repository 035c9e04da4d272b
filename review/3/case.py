"""A body that goes on without end, in small chunks, blocks a gateway."""

import asyncio
import os
import sys
import time

from standins import deployment as deployment_module
from standins import desired_state
from standins import replica as replica_module
from standins import wire

MACHINES = 3
REPLICAS = 5
SHARE = 0.6
"""The share of replicas that hand out wrong bytes."""

PART = 0.03
"""The part of their answers that is wrong."""

REQUESTERS = 24
WARM_UP_S = 2.0
WINDOW_S = 5.0
COOL_DOWN_S = 8.0
TURN_MS = 4_000
GAP_S = 2.0
"""When requesters abandon a stream that brings no event."""

TIMEOUT_MS = 2_500
DEADLINE_MS = 5_000
LATE_S = 0.5
CHUNK = b"1\r\nx\r\n"
FLOOD = CHUNK * 2_000
FLOOD_PAUSE_S = 0.05
"""Limits an endless answer to 240 kB a second."""


class FaultyReplica(replica_module.Replica):
    """An engine some of whose answers go on without an event, or an end."""

    is_faulty = False
    _answers_before: int | None = None
    faulty_answers = 0

    async def stream(
        self, channel: wire.Channel, request_id: str, headers: dict[str, str]
    ) -> None:
        """Sends the answer."""
        if not self._may_fail():
            await super().stream(channel, request_id, headers)
            return
        self.faulty_answers += 1
        await channel.start_chunks(200, headers)
        while not channel.is_closed_by_peer():
            await channel.write(FLOOD)
            await asyncio.sleep(FLOOD_PAUSE_S)

    def _may_fail(self) -> bool:
        if not self.is_faulty:
            return False
        if self._answers_before is None:
            self._answers_before = self.answers
        answers = self.answers - self._answers_before
        return self.faulty_answers + 1 <= PART * answers


async def play(
    deployment: deployment_module.Deployment, has_trouble: bool
) -> bool:
    """Plays the case; returns whether the rule held."""
    record = deployment.record
    faulty: list[FaultyReplica] = []
    for number in range(REPLICAS):
        replica = FaultyReplica(
            f"i-{number}",
            slots=24,
            queue=72,
            work_ms=(10, 30),
            events=8,
            gap_ms=10.0,
        )
        if number < int(SHARE * REPLICAS):
            faulty.append(replica)
        await deployment.add_replica(replica, "asesor", "zone-a")
        await deployment.add_replica(
            replica_module.Replica(
                f"j-{number}", slots=6, queue=24, work_ms=(20, 60)
            ),
            "registro",
            "zone-a",
        )
    routes = [
        desired_state.turns_route("rack", "asesor", timeoutMs=TURN_MS),
        desired_state.route(
            "retiro", "unsafe", "registro", timeoutMs=TIMEOUT_MS, maxAttempts=1
        ),
    ]
    await deployment.start(
        desired_state.document(routes, engine="asesor", plain="registro"),
        machines=MACHINES,
    )
    begins_s = time.monotonic()
    ends_s = begins_s + WARM_UP_S + WINDOW_S + COOL_DOWN_S
    took: list[tuple[str, float, int]] = []

    async def send(number: int, route: str) -> None:
        machine = deployment.machines[number % len(deployment.machines)]
        request_id = deployment.new_id()
        deadline_ms = TURN_MS if route == "rack" else DEADLINE_MS
        headers = deployment.headers(
            request_id, desired_state.key_of("tenant1"), deadline_ms
        )
        if route == "rack":
            headers |= {
                "Program-Id": request_id,
                "Session-Id": "1",
                "Program-Deadline-Ms": "9000",
                "Token-Budget": "1000",
                "Token-Usage": "100,200",
            }
        client = wire.Client(machine.front)
        sent_s = time.monotonic()
        record.add("sent", id=request_id, route=route, node=machine.name)
        answer = await client.request(
            "POST",
            f"/{route}/1",
            headers,
            b"three sacks",
            timeout_s=deadline_ms / 1000,
            gap_s=GAP_S if route == "rack" else None,
        )
        client.close()
        took_s = time.monotonic() - sent_s
        took.append((route, took_s, answer.status))
        record.add(
            "answered",
            id=request_id,
            status=answer.status,
            end=answer.end or "-",
            took=f"{took_s:.3f}",
        )

    async def requester(number: int) -> None:
        while time.monotonic() < ends_s:
            await send(number, ("rack", "retiro")[number // 3 % 2])
            await asyncio.sleep(0.05)

    silent: dict[str, float] = {}

    async def check_ready(machine: deployment_module.Machine) -> None:
        assert machine.process is not None
        while time.monotonic() < ends_s:
            client = wire.Client(machine.ready)
            asked_s = time.monotonic()
            before = _cpu_s(machine.process.pid)
            answer = await client.request(
                "GET", "/ready", {"Host": "x"}, timeout_s=30.0
            )
            client.close()
            took_s = time.monotonic() - asked_s
            silent[machine.name] = max(silent.get(machine.name, 0.0), took_s)
            record.add(
                "ready",
                node=machine.name,
                status=answer.status,
                took=f"{took_s:.3f}",
                cpu=f"{_cpu_s(machine.process.pid) - before:.2f}",
            )
            await asyncio.sleep(max(0.0, 0.25 - took_s))

    async def trouble() -> None:
        await asyncio.sleep(WARM_UP_S)
        for replica in faulty:
            replica.is_faulty = has_trouble
        await asyncio.sleep(WINDOW_S)
        for replica in faulty:
            replica.is_faulty = False

    await asyncio.gather(
        trouble(),
        *(requester(number) for number in range(REQUESTERS)),
        *(check_ready(machine) for machine in deployment.machines),
    )
    # Turns are abandoned by their requesters before their timeout.
    bookings = [took_s for route, took_s, _ in took if route == "retiro"]
    late = [each for each in bookings if each > TIMEOUT_MS / 1000]
    very = [each for each in late if each > TIMEOUT_MS / 1000 + LATE_S]
    print(
        f"faulty answers {[each.faulty_answers for each in faulty]} of "
        f"{[each.answers for each in faulty]}; bookings {len(bookings)}, "
        f"unanswered at timeoutMs {len(late)}, half a second later "
        f"{len(very)}; "
        f"longest readiness check by machine {silent}"
    )
    return len(very) * 2 <= len(late)


def _cpu_s(pid: int) -> float:
    """Returns the processor time that a process has used."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


if __name__ == "__main__":
    sys.exit(deployment_module.main(play))
