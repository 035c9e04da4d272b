"""Runs seeds: callers and faults concurrently, then the checks."""

import pathlib
import tempfile
import time
from typing import Annotated

import attrs
import trio
import typer

from quetzalmill_soak import callers
from quetzalmill_soak import checks
from quetzalmill_soak import record as record_module
from quetzalmill_soak import schedule
from quetzalmill_soak import world as world_module

RECOVER_S = 12.0
"""The users' bound on the time from the last fault to normal service."""

_FAILED = 1

app = typer.Typer(add_completion=False)


@attrs.frozen(kw_only=True)
class Result:
    """The result of one seed.

    Attributes:
        seed: The seed.
        faults: The faults, a line each.
        broken: The violated guarantees, a line each.
        attempts: The number of requests that were sent.
        served: The number of requests that succeeded.
    """

    seed: int
    faults: list[str]
    broken: list[str]
    attempts: int
    served: int


def play(seed: int, size: schedule.Size, path: pathlib.Path) -> Result:
    """Runs one seed; the gateways write their logs under ``path``."""
    return trio.run(_play, seed, size, path)


async def _play(seed: int, size: schedule.Size, path: pathlib.Path) -> Result:
    entries = schedule.draw(seed, size)
    async with world_module.run(path, seed, size) as world:
        started_s = trio.current_time()
        all_callers = [
            callers.Caller(
                world.cluster, world.record, world.keys, f"s{seed}c{number}"
            )
            for number in range(size.callers)
        ]
        async with trio.open_nursery() as watching:
            watching.start_soon(world.watch.run)
            async with trio.open_nursery() as nursery:
                for caller in all_callers:
                    nursery.start_soon(caller.run, started_s + size.length_s)
                for entry in entries:
                    nursery.start_soon(_apply_later, world, entry, started_s)
            await world.heal()
            recovered = await _recovers_in_time(world, all_callers)
            watching.cancel_scope.cancel()
        budgets = {
            program: budget
            for caller in all_callers
            for program, budget in caller.budgets.items()
        }
        rates = {world_module.LIMITED_TEAM: world_module.LIMITED_RATE}
        broken = checks.judge(
            world.record, world.runs(), budgets, rates, world.refused()
        )
        broken += world.watch.broken
        broken += checks.judge_cold(world.cluster.all_instances)
        if not recovered:
            broken.append(f"not served {RECOVER_S:.0f} s after the last fault")
        attempts = world.record.attempts
        return Result(
            seed=seed,
            faults=[f"{entry.at_s:5.2f} {entry.fault}" for entry in entries],
            broken=broken,
            attempts=len(attempts),
            served=sum(attempt.status == 200 for attempt in attempts),
        )


async def _apply_later(
    world: world_module.World, entry: schedule.Entry, started_s: float
) -> None:
    await trio.sleep_until(started_s + entry.at_s)
    await world.apply(entry.fault)


async def _recovers_in_time(
    world: world_module.World, all_callers: list[callers.Caller]
) -> bool:
    """Returns whether every gateway serves again within ``RECOVER_S``."""
    old = [chain for caller in all_callers for chain in caller.ended]
    last = callers.Caller(world.cluster, world.record, world.keys, "last")
    last.ended = old[:1] + old[-1:]
    before = len(world.record.attempts)
    with trio.move_on_after(RECOVER_S):
        while True:
            await last.run(trio.current_time() + 0.5)
            answers = world.record.attempts[before:]
            if _all_gateways_serve(world, answers):
                return True
    return False


def _all_gateways_serve(
    world: world_module.World, answers: list[record_module.Attempt]
) -> bool:
    """Returns whether every gateway has answered a request successfully."""
    serving = {each.gateway for each in answers if each.status == 200}
    return len(serving) == len(world.cluster.gateways)


@app.command()
def soak(
    first: Annotated[int, typer.Option(help="The first seed.")] = 1,
    seeds: Annotated[int, typer.Option(help="How many seeds.")] = 50,
    minutes: Annotated[
        float, typer.Option(help="Plays fresh seeds for so long instead.")
    ] = 0.0,
    gateways: Annotated[int, typer.Option(help="Gateway processes.")] = 4,
    callers_at_once: Annotated[
        int, typer.Option("--callers", help="Callers at a time.")
    ] = 12,
    faults: Annotated[int, typer.Option(help="Faults of a seed.")] = 10,
    keep: Annotated[
        pathlib.Path, typer.Option(help="Where logs of failed seeds go.")
    ] = pathlib.Path("out/soak"),
) -> None:
    """Plays seeds and prints what broke; exits with 1 if anything did."""
    size = schedule.Size(
        gateways=gateways, callers=callers_at_once, faults=faults
    )
    end_s = time.monotonic() + 60.0 * minutes
    seed = int(time.time()) if minutes else first
    failed = played = 0
    while time.monotonic() < end_s if minutes else played < seeds:
        failed += not _play_and_print(seed + played, size, keep)
        played += 1
    print(f"{played - failed} passed, {failed} failed")
    raise typer.Exit(_FAILED if failed else 0)


def _play_and_print(seed: int, size: schedule.Size, keep: pathlib.Path) -> bool:
    """Runs a seed; returns whether every guarantee held."""
    with tempfile.TemporaryDirectory() as temporary:
        path = pathlib.Path(temporary)
        result = play(seed, size, path)
        print(
            f"seed {seed}: {result.served} of {result.attempts} requests "
            f"served, {len(result.broken)} promises broken",
            flush=True,
        )
        if not result.broken:
            return True
        kept = keep / str(seed)
        kept.mkdir(parents=True, exist_ok=True)
        for log in path.glob("*.log"):
            (kept / log.name).write_bytes(log.read_bytes())
        lines = [*result.faults, *result.broken]
        (kept / "broken.txt").write_text("\n".join(lines) + "\n")
        print("\n".join(lines[: len(result.faults) + 5]), flush=True)
        return False


def run() -> None:
    """Runs the command line."""
    app()
