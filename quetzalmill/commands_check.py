"""The command that checks a file of objects before it is published."""

from collections.abc import Callable
from typing import Annotated, Any

import typer

from quetzalmill import commands_publish
from quetzalmill import commands_report
from quetzalmill import errors
from quetzalmill import findings
from quetzalmill import fleet_file
from quetzalmill import object_findings
from quetzalmill import object_rules
from quetzalmill import options
from quetzalmill import settings


def check(
    path: options.FleetFile,
    against: Annotated[
        str | None,
        typer.Option(
            "--against", metavar="FILE", help="File of the objects in force."
        ),
    ] = None,
    operators: Annotated[
        list[str] | None,
        typer.Option(
            "--operator",
            metavar="IP:PORT",
            help="Read the objects in force from these entries.",
        ),
    ] = None,
    as_json: options.Json = False,
) -> None:
    """Check the objects of FILE and show what publishing them would change.

    Ends with 2 if there are errors, else with 1 if there are warnings.
    """
    if against is not None and operators:
        raise typer.BadParameter("give either --against or --operator")
    found = findings.ordered(_findings(path, against, operators))
    print_findings(found, as_json, commands_report.print_json)


def print_findings(
    found: list[findings.Finding],
    as_json: bool,
    print_json: Callable[[findings.Report], None],
) -> None:
    """Prints findings and exits with their code."""
    if as_json:
        print_json(findings.report(found))
    else:
        for each in found:
            typer.echo(each.text())
        if not found:
            typer.echo("no findings")
    raise typer.Exit(findings.exit_code(found))


def _findings(
    path: str, against: str | None, operators: list[str] | None
) -> list[findings.Finding]:
    known: dict[str, Any] | None = None
    read = path
    try:
        file = object_findings.by_entry(fleet_file.load(path))
        if against is not None:
            read = against
            known = object_findings.by_entry(fleet_file.load(against))
    except errors.SettingsError as error:
        return object_findings.unreadable(error, _table_or_empty(read))
    if operators:
        known = object_findings.by_entry(_read_in_force(operators))
    found = object_findings.check(file, known or {})
    if known is not None:
        found += findings.differences(known, file, is_complete=False)
    return found


def _table_or_empty(path: str) -> dict[str, object]:
    try:
        return settings.read_table(path)
    except errors.SettingsError:
        return {}


def _read_in_force(operators: list[str]) -> list[fleet_file.FileObject]:
    client = commands_publish.connect(operators)
    return [
        fleet_file.FileObject(kind=item.kind, name=item.name, spec=item.spec)
        for kind in object_rules.OPERATOR_KINDS
        for item in client.list_objects(kind).objects
    ]
