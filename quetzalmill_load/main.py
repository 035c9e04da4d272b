"""The command line of the load tool."""

import json
import pathlib
import signal
import subprocess
import sys
from typing import Annotated

import typer

from quetzalmill import codec
from quetzalmill_load import cluster
from quetzalmill_load import path_cost as path_cost_module
from quetzalmill_load import processes
from quetzalmill_load import report
from quetzalmill_load import runs
from quetzalmill_load import slopes as slopes_module
from quetzalmill_load import workload

MAX_DURATION_S = 120.0
"""The longest time that one run may start programs."""

MAX_SEEDS = 10
"""Runs of one policy in one comparison."""

BASELINE = "least_outstanding+fifo+fixed"
"""The policies that others are compared with."""

_OWN = "cache_and_wait+fair+fixed"
_TARGET_PART = 0.75

_commands = typer.Typer(
    add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False
)


def run() -> None:
    """Runs the command line; ends all that it started when told to end."""
    signal.signal(signal.SIGTERM, _end)
    try:
        _commands()
    except processes.LoadError as error:
        print(f"error: {error}", file=sys.stderr)
        sys.exit(1)


@_commands.command()
def saturation(
    shape: workload.Shape,
    policies: str = BASELINE,
    guess_per_s: float = 6.0,
    duration_s: float = 20.0,
) -> None:
    """Prints the programs a second that a deployment serves at most."""
    found = runs.saturation(
        shape,
        _parse(policies),
        guess_per_s=guess_per_s,
        duration_s=min(duration_s, MAX_DURATION_S),
        size=cluster.Size(),
    )
    print(f"{shape.value} {policies}: {found:.2f} programs/s")


@_commands.command()
def compare(
    shape: workload.Shape,
    policies: Annotated[
        list[str], typer.Option(help="placement+queue+limit; may repeat.")
    ] = [BASELINE, _OWN],  # noqa: B006
    programs_per_s: Annotated[
        float, typer.Option(help="0 for 3/4 of the baseline's saturation.")
    ] = 0.0,
    duration_s: float = 40.0,
    seeds: int = 3,
    fault: str = "",
    flood: bool = True,
    output: Annotated[
        pathlib.Path | None, typer.Option(help="Base name of the results.")
    ] = None,
) -> None:
    """Runs policies against the same programs, seed by seed.

    Each policy meets every seed's programs in a deployment of its own, one
    after the other. Writes JSON and a plot beside the table when an output
    is named.
    """
    duration_s = min(duration_s, MAX_DURATION_S)
    if programs_per_s <= 0.0:
        programs_per_s = _TARGET_PART * runs.saturation(
            shape,
            _parse(BASELINE),
            guess_per_s=6.0,
            duration_s=20.0,
            size=cluster.Size(),
        )
    print(f"programs_per_s={programs_per_s:.2f} commit={_commit()}", flush=True)
    reports: list[report.RunReport] = []
    for seed in range(1, min(seeds, MAX_SEEDS) + 1):
        for each in policies:
            plan = runs.Plan(
                shape=shape,
                policies=_parse(each),
                seed=seed,
                programs_per_s=programs_per_s,
                duration_s=duration_s,
                flood=flood,
                fault=fault,
            )
            reports.append(runs.run(plan))
            _print_run(reports[-1])
    print(report.table(reports))
    if output is not None:
        output.with_suffix(".json").write_bytes(codec.to_json(reports))
        report.plot(reports, str(output.with_suffix(".png")))


@_commands.command()
def slopes(
    output: Annotated[
        pathlib.Path | None, typer.Option(help="File for the JSON.")
    ] = None,
) -> None:
    """Measures the slopes that docs/CAPACITY.md is worked out from."""
    print(f"commit={_commit()}", flush=True)
    for name, resident_bytes in slopes_module.measure_imports().items():
        print(f"import {name}: {resident_bytes / 1e6:.1f} MB resident")
    structures = slopes_module.measure_structures()
    print(slopes_module.table(structures), flush=True)
    found = slopes_module.measure_processes()
    print(slopes_module.table(found))
    if output is not None:
        output.write_bytes(codec.to_json([*structures, *found]))


@_commands.command()
def path_cost(
    output: Annotated[
        pathlib.Path | None, typer.Option(help="File for the JSON.")
    ] = None,
) -> None:
    """Measures what entry and sidecar add to a streamed call."""
    print(f"commit={_commit()}", flush=True)
    found = path_cost_module.measure()
    print(path_cost_module.table(found))
    if output is not None:
        output.write_bytes(codec.to_json(found))


def _end(number: int, frame: object) -> None:
    raise SystemExit(128 + number)


def _parse(text: str) -> cluster.Policies:
    parts = text.split("+")
    if len(parts) != 3:
        raise processes.LoadError(f"{text!r} is not placement+queue+limit")
    placement, queue, limit = parts
    return cluster.Policies(queue=queue, placement=placement, limit=limit)


def _print_run(found: report.RunReport) -> None:
    print(
        f"shape={found.shape} policies={found.policies} seed={found.seed} "
        f"fault={found.fault or '-'} p50_ms={found.p50_ms:.0f} "
        f"p95_ms={found.p95_ms:.0f} recomputed={found.recomputed_share:.3f} "
        f"worst_ratio={found.worst_team_ratio:.2f} "
        f"done={found.done}/{found.programs} "
        f"wrongful={found.wrongful_refusals} "
        f"double_runs={found.double_runs} "
        f"cpu_ms_per_request={found.cpu_ms_per_request:.1f} "
        f"codes={json.dumps(found.refusal_codes)}",
        flush=True,
    )
    print(report.team_table(found), flush=True)


def _commit() -> str:
    """Returns the commit that is measured, if git can tell."""
    try:
        found = subprocess.run(
            ["git", "describe", "--always", "--dirty"],
            capture_output=True,
            check=True,
            timeout=10,
            cwd=pathlib.Path(__file__).parent,
        )
    except (OSError, subprocess.SubprocessError):
        return "unknown"
    return found.stdout.decode().strip()
