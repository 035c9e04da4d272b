"""Commands that run processes, check settings and show a process's state."""

import json
from typing import Annotated

import attrs
import typer

from quetzalmill import commands_daemon
from quetzalmill import commands_exit
from quetzalmill import commands_publish
from quetzalmill import commands_report
from quetzalmill import errors
from quetzalmill import fleet_file
from quetzalmill import objects
from quetzalmill import operator_client
from quetzalmill import options
from quetzalmill import settings
from quetzalmill import settings_fleet


@attrs.frozen(kw_only=True)
class _CheckReport:
    """What ``check --json`` prints."""

    problems: list[str]
    hints: list[str]


def entry(path: options.SettingsFile) -> None:
    """Run an entry with SETTINGS until SIGTERM."""
    raise typer.Exit(commands_daemon.run(settings.ENTRY, path))


def sidecar(path: options.SettingsFile) -> None:
    """Run a sidecar with SETTINGS until SIGTERM."""
    raise typer.Exit(commands_daemon.run(settings.SIDECAR, path))


def check(
    paths: Annotated[
        list[str],
        typer.Argument(
            metavar="SETTINGS...", help="Settings files and files of objects."
        ),
    ],
    as_json: options.Json = False,
) -> None:
    """Check settings files and files of objects, and their consistency."""
    report = _check_files(list(dict.fromkeys(paths)))
    if as_json:
        commands_report.print_json(report)
    else:
        for problem in report.problems:
            typer.echo(problem, err=True)
        for hint in report.hints:
            typer.echo(f"hint: {hint}", err=True)
        if not report.problems:
            typer.echo(f"valid: {', '.join(paths)}")
    if report.problems:
        raise typer.Exit(commands_exit.ExitCode.USAGE)


def drain(
    host: Annotated[
        str, typer.Argument(metavar="HOST", help="Host of the process.")
    ],
    operators: options.Operator,
    author: options.Author,
    record_id: options.RecordId = None,
    timeout_s: options.TimeoutS = options.DEFAULT_TIMEOUT_S,
    as_json: options.Json = False,
) -> None:
    """Make the process on HOST accept no new work.

    It finishes its running requests and stays up until it is stopped.
    """
    publication = commands_publish.prepare(
        operators,
        author=author,
        record_id=record_id,
        timeout_s=timeout_s,
        as_json=as_json,
    )
    present = commands_publish.require(
        publication.client, objects.PROCESS, host
    )
    change = objects.ObjectChange(
        kind=objects.PROCESS,
        name=host,
        base_revision=present.revision,
        spec=present.spec | {"leaving": True},
    )
    outcome = commands_publish.publish_changes(publication, [change])
    commands_publish.report(publication, outcome)


def state(
    address: Annotated[
        str,
        typer.Argument(
            metavar="ADDRESS",
            help="HTTP or operator address of the process, IP:port.",
        ),
    ],
) -> None:
    """Print the state of the process at ADDRESS as JSON."""
    parsed = commands_publish.parse_address(address, "ADDRESS")
    dump = operator_client.OperatorClient([parsed]).state()
    typer.echo(json.dumps(dump, indent=2))


def _check_files(paths: list[str]) -> _CheckReport:
    problems: list[str] = []
    processes: dict[str, settings.ProcessSettings] = {}
    fleets: dict[str, list[fleet_file.FileObject]] = {}
    for path in paths:
        try:
            if fleet_file.is_fleet_table(settings.read_table(path)):
                fleets[path] = fleet_file.load(path)
            else:
                processes[path] = settings.load_any(path)
        except errors.SettingsError as error:
            problems += error.problems
    compared = settings_fleet.compare(processes, fleets)
    return _CheckReport(
        problems=problems + compared.problems, hints=compared.hints
    )
