"""Commands that run processes, check their settings and look inside them."""

from collections.abc import Iterator
import contextlib
import importlib
import json
import sys
from typing import Annotated, Any

import attrs
import typer

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
    """Run an entry until SIGTERM."""
    loaded = settings.load_entry(path)
    raise typer.Exit(_run_daemon("quetzalmill.entry", loaded))


def sidecar(path: options.SettingsFile) -> None:
    """Run a sidecar until SIGTERM."""
    loaded = settings.load_sidecar(path)
    raise typer.Exit(_run_daemon("quetzalmill.sidecar", loaded))


def check(
    paths: Annotated[
        list[str],
        typer.Argument(
            metavar="SETTINGS...", help="Settings files and files of objects."
        ),
    ],
    as_json: options.Json = False,
) -> None:
    """Check settings files and files of objects, also against each other."""
    report = _check_files(list(dict.fromkeys(paths)))
    if as_json:
        commands_report.print_json(report)
    else:
        for problem in report.problems:
            typer.echo(problem, err=True)
        for hint in report.hints:
            typer.echo(f"hint: {hint}", err=True)
        if not report.problems:
            typer.echo(f"{len(paths)} files are right")
    if report.problems:
        raise typer.Exit(commands_report.ExitCode.USAGE)


def drain(
    host: Annotated[
        str, typer.Argument(metavar="HOST", help="Host of the process.")
    ],
    operators: options.Operator,
    author: options.Author,
    record_id: options.RecordId,
    timeout_s: options.TimeoutS = options.DEFAULT_TIMEOUT_S,
    as_json: options.Json = False,
) -> None:
    """Let a process take no new work and hand its programs over."""
    client = commands_publish.connect(operators)
    present = commands_publish.require(client, objects.PROCESS, host)
    change = objects.ObjectChange(
        kind=objects.PROCESS,
        name=host,
        base_revision=present.revision,
        spec=present.spec | {"leaving": True},
    )
    publication = commands_publish.Publication(
        client=client, author=author, record_id=record_id, timeout_s=timeout_s
    )
    outcome = commands_publish.publish_changes(publication, [change])
    commands_report.print_outcome(outcome, record_id, as_json)


def state(
    address: Annotated[
        str,
        typer.Argument(
            metavar="ADDRESS",
            help="HTTP or operator address of the process, IP:port.",
        ),
    ],
) -> None:
    """Print the state of a process as JSON."""
    parsed = commands_publish.parse_address(address, "ADDRESS")
    dump = operator_client.OperatorClient([parsed]).state()
    typer.echo(json.dumps(dump, indent=2))


def _run_daemon(module: str, loaded: settings.AnySettings) -> int:
    with _without_rich():
        daemon: Any = importlib.import_module(module)
    status = daemon.run(loaded)
    return int(status)


@contextlib.contextmanager
def _without_rich() -> Iterator[None]:
    """Keeps ``rich`` out of a daemon.

    ``structlog`` imports it wherever it is installed, for a renderer that is
    not used here, and it would cost each daemon several megabytes.
    """
    missing = object()
    before: Any = sys.modules.get("rich", missing)
    sys.modules["rich"] = None  # type: ignore[assignment]
    try:
        yield
    finally:
        del sys.modules["rich"]
        if before is not missing:
            sys.modules["rich"] = before


def _check_files(paths: list[str]) -> _CheckReport:
    problems: list[str] = []
    processes: dict[str, settings.AnySettings] = {}
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
