"""Commands on the complete configuration: show, publish, history and wait."""

from typing import Annotated

import attrs
import typer

from quetzalmill import clock
from quetzalmill import commands_publish
from quetzalmill import commands_report
from quetzalmill import errors
from quetzalmill import fleet_file
from quetzalmill import object_rules
from quetzalmill import operator_client
from quetzalmill import options
from quetzalmill import revision_wait

app = typer.Typer(
    no_args_is_help=True, help="Show, publish and follow configurations."
)


@attrs.frozen(kw_only=True)
class _ShowReport:
    """What ``config show --json`` prints."""

    revision: int
    objects: list[operator_client.ListedObject]


@app.command()
def show(
    operators: options.Operator,
    kind: Annotated[
        str | None,
        typer.Option("--kind", help="Show only objects of this kind."),
    ] = None,
    as_json: options.Json = False,
) -> None:
    """Print the objects in force, as a file that can be published again."""
    if kind is not None and kind not in object_rules.OPERATOR_KINDS:
        known = ", ".join(object_rules.OPERATOR_KINDS)
        raise typer.BadParameter(f"{kind!r} is none of {known}")
    kinds = [kind] if kind else list(object_rules.OPERATOR_KINDS)
    client = commands_publish.connect(operators)
    lists = [client.list_objects(name) for name in kinds]
    # The lists may come from entries at different revisions; the oldest
    # revision is the safe base.
    revision = min(listed.revision for listed in lists)
    found = [item for listed in lists for item in listed.objects]
    if as_json:
        commands_report.print_json(
            _ShowReport(revision=revision, objects=found)
        )
        return
    typer.echo(f"# revision {revision}")
    typer.echo(
        fleet_file.dump(
            fleet_file.FileObject(
                kind=item.kind, name=item.name, spec=item.spec
            )
            for item in found
        )
    )


@app.command()
def publish(
    path: options.FleetFile,
    operators: options.Operator,
    author: options.Author,
    record_id: options.RecordId = None,
    base: options.Base = None,
    timeout_s: options.TimeoutS = options.DEFAULT_TIMEOUT_S,
    as_json: options.Json = False,
) -> None:
    """Publish the objects of FILE together, or none of them.

    Objects that the file does not name stay as they are.
    """
    found = fleet_file.load(path)
    publication = commands_publish.prepare(
        operators,
        author=author,
        record_id=record_id,
        timeout_s=timeout_s,
        base=base,
        as_json=as_json,
    )
    outcome = commands_publish.publish(publication, found)
    commands_publish.report(publication, outcome)


@app.command()
def history(
    operators: options.Operator,
    limit: options.Limit = options.DEFAULT_LIMIT,
    as_json: options.Json = False,
) -> None:
    """Print the last records and whether they took effect."""
    records = commands_publish.connect(operators).history(limit)
    if as_json:
        commands_report.print_json(records)
        return
    commands_report.print_table(
        ["REVISION", "APPLIED", "AUTHOR", "RECORD", "OBJECTS"],
        [_history_row(record) for record in records],
    )


@app.command()
def processes(
    operators: options.Operator, as_json: options.Json = False
) -> None:
    """Print every known process and the revision that it has in force."""
    found = commands_publish.connect(operators).processes()
    if as_json:
        commands_report.print_json(found)
        return
    commands_report.print_table(
        ["HOST", "ROLE", "INSTANCE", "REVISION", "LIVE", "LEAVING", "HEARD"],
        [_process_row(process) for process in found],
    )


@app.command()
def wait(
    revision: Annotated[
        int,
        typer.Argument(metavar="REVISION", min=0, help="Revision to wait for."),
    ],
    operators: options.Operator,
    timeout_s: options.TimeoutS = options.DEFAULT_TIMEOUT_S,
    as_json: options.Json = False,
) -> None:
    """Wait until every live process has REVISION in force."""
    client = commands_publish.connect(operators)
    progress = revision_wait.wait(
        client, clock.SystemClock(), revision, timeout_s * 1000.0
    )
    if as_json:
        commands_report.print_json(progress)
    if progress.lagging:
        names = ", ".join(
            f"{item.host} at {item.applied_offset}" for item in progress.lagging
        )
        raise errors.OperatorTimeoutError(
            f"revision {revision} is not in force after {timeout_s:g} s on "
            f"{names}; check these with `quetzalmill state`"
        )
    if not as_json:
        typer.echo(
            f"revision {revision} is in force on {progress.reached} processes"
        )


def _process_row(process: operator_client.ProcessState) -> list[str]:
    heartbeat_age_ms = process.heard_ms_ago
    return [
        process.host,
        process.role,
        process.instance,
        str(process.applied_offset),
        "yes" if process.live else "no",
        "yes" if process.leaving else "no",
        "never"
        if heartbeat_age_ms is None
        else f"{heartbeat_age_ms:.0f} ms ago",
    ]


def _history_row(record: operator_client.HistoryRecord) -> list[str]:
    names = [
        f"{'-' if change.spec is None else ''}{change.kind}/{change.name}"
        for change in record.changes
    ]
    return [
        str(record.offset),
        "yes" if record.applied else "no",
        record.author,
        record.record_id,
        " ".join(names),
    ]
