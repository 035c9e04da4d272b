"""Tests of the budgets of running turns when gateways or the store fail.

Complete gateways run as processes on the emulated platform. A turn sends up to
five events of nine tokens, with a limit of fifty tokens; two events are
released when it starts.
"""

import contextlib
import json
import pathlib

import trio

from quetzalmill import errors
from quetzalmill import http_message
from quetzalmill_load import platform_cluster
from tests import gateway_case

_PARTS = 4
"""Partitions of the emulated platform."""


class TestRunningTurns:
    """Running turns."""

    def test_all_power_fails_while_sub_agents_run(
        self, tmp_path: pathlib.Path
    ) -> None:
        """They have sent few tokens, so most of the budget is left."""

        async def case(cluster: platform_cluster.Cluster) -> None:
            engine = await cluster.add_endpoint("llm-1", "llm", events=5)
            engine.pause_s = 0.5
            gateway = await cluster.add_gateway()

            async def send() -> None:
                with contextlib.suppress(errors.HttpError):
                    await cluster.turn(gateway, b"side", budget=150)

            async with trio.open_nursery() as nursery:
                for _ in range(3):
                    nursery.start_soon(send)
                while len(engine.runs) < 3:
                    await trio.sleep(0.01)
                cluster.stop(gateway)
            engine.pause_s = 0.005
            fresh = await cluster.add_gateway()
            for _ in range(2):
                _, response = await cluster.turn(fresh, b"main", budget=150)
                assert response.status == 200

        gateway_case.run(tmp_path, case)

    def test_owner_is_killed_while_turns_run(
        self, tmp_path: pathlib.Path
    ) -> None:
        """The turns complete, though the new owner did not admit them."""

        async def case(cluster: platform_cluster.Cluster) -> None:
            engine = await cluster.add_endpoint("llm-1", "llm", events=5)
            engine.pause_s = 0.2
            gateways = [await cluster.add_gateway() for _ in range(2)]
            gateway, killed = await _sorted_by_partitions(cluster, gateways)
            programs = [f"p{number}" for number in range(8)]
            bodies: list[bytes] = []

            async def send(program: str) -> None:
                _, response = await cluster.turn(
                    gateway, b"hi", program=program, budget=50
                )
                bodies.append(response.body)

            async with trio.open_nursery() as nursery:
                for program in programs:
                    nursery.start_soon(send, program)
                while len(engine.runs) < len(programs):
                    await trio.sleep(0.01)
                cluster.stop(killed)
            assert "partition_claimed" in killed.log()
            assert [body.endswith(b"data: e5\n\n") for body in bodies] == [
                True
            ] * len(programs)
            assert len(engine.runs) == len(programs)

        gateway_case.run(tmp_path, case)

    def test_store_is_unavailable_while_a_turn_runs(
        self, tmp_path: pathlib.Path
    ) -> None:
        """It sends no more than the stored bound until the store recovers."""

        async def case(cluster: platform_cluster.Cluster) -> None:
            engine = await cluster.add_endpoint("llm-1", "llm", events=5)
            engine.pause_s = 0.1
            gateway = await cluster.add_gateway()
            bodies: list[bytes] = []

            async def send() -> None:
                _, response = await cluster.turn(
                    gateway, b"hi", path=platform_cluster.QUOTE_PATH, budget=50
                )
                bodies.append(response.body)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send)
                while not engine.runs:
                    await trio.sleep(0.01)
                cluster.store.down = True
                # The engine has sent all its events after 0.6 s.
                await trio.sleep(1.2)
                assert not bodies
                cluster.store.down = False
            assert bodies[0].endswith(b"data: e5\n\n")
            assert len(engine.runs) == 1

        gateway_case.run(tmp_path, case)


async def _sorted_by_partitions(
    cluster: platform_cluster.Cluster, gateways: list[platform_cluster.Gateway]
) -> list[platform_cluster.Gateway]:
    """Returns the gateways, those with the fewest partitions first.

    Waits until every partition has an owner; which one gets more is random.
    """
    owned: list[int] = []

    async def is_shared() -> bool:
        owned[:] = [await _owned_partitions(cluster, each) for each in gateways]
        return sum(owned) == _PARTS

    await cluster.until(is_shared)
    order = sorted(range(len(gateways)), key=owned.__getitem__)
    return [gateways[number] for number in order]


async def _owned_partitions(
    cluster: platform_cluster.Cluster, gateway: platform_cluster.Gateway
) -> int:
    """Returns how many partitions a gateway reports as its own."""
    response = await cluster.client.request(
        gateway.metrics,
        http_message.Request(method="GET", path="/state"),
        timeout_ms=500.0,
        new_connection=True,
    )
    return len(json.loads(response.body)["owned_parts"])


class TestProgramIds:
    """Program ids with characters that the account's name uses itself."""

    def test_program_id_with_a_slash_has_one_budget(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Each gateway asks the same owner, whatever the id's last part is."""

        async def case(cluster: platform_cluster.Cluster) -> None:
            engine = await cluster.add_endpoint("llm-1", "llm", events=5)
            gateways = [await cluster.add_gateway() for _ in range(2)]
            for number in range(_PARTS):
                program = f"{number}/a/{number}"
                engine.runs.clear()
                for turn in range(10):
                    await cluster.turn(
                        gateways[turn % 2],
                        b"loop",
                        budget=100,
                        program=program,
                    )
                # A turn sends five events of nine tokens and reserves fifty.
                assert len(engine.runs) * 45 <= 100 + 50

        gateway_case.run(tmp_path, case)
