"""Commands that issue, withdraw and list callers' keys."""

from typing import Annotated

import attrs
import typer

from quetzalmill import commands_objects
from quetzalmill import commands_publish
from quetzalmill import commands_report
from quetzalmill import fleet_file
from quetzalmill import keys
from quetzalmill import objects
from quetzalmill import operator_client
from quetzalmill import options

app = typer.Typer(no_args_is_help=True, help="Keys that callers present.")


@attrs.frozen(kw_only=True)
class _IssueReport:
    """What ``key issue --json`` prints for an issued key."""

    key_id: str
    key: str
    team: str
    revision: int
    record_id: str


@app.command()
def issue(
    team: Annotated[
        str, typer.Argument(metavar="TEAM", help="Team of the key.")
    ],
    operators: options.Operator,
    author: options.Author,
    timeout_s: options.TimeoutS = options.DEFAULT_TIMEOUT_S,
    as_json: options.Json = False,
) -> None:
    """Issue a key to TEAM and show it; it cannot be shown again."""
    client = commands_publish.connect(operators)
    commands_publish.require(client, objects.TEAM, team)
    issued = keys.issue()
    publication = commands_publish.Publication(
        client=client,
        author=author,
        record_id=f"key-{issued.key_id}",
        timeout_s=timeout_s,
        as_json=as_json,
    )
    spec = {"team": team, "secret_sha256": issued.secret_sha256}
    item = fleet_file.FileObject(
        kind=objects.KEY, name=issued.key_id, spec=spec
    )
    outcome = commands_publish.publish(publication, [item])
    match outcome:
        case operator_client.Accepted(revision):
            _print_issued(issued, team, revision, publication)
        case operator_client.Unknown():
            typer.echo(
                f"the key is not shown; once `key list` shows {issued.key_id}, "
                "withdraw it",
                err=True,
            )
            commands_publish.report(publication, outcome)
        case _:
            commands_publish.report(publication, outcome)


@app.command()
def withdraw(
    key_id: Annotated[
        str,
        typer.Argument(metavar="KEY_ID", help="Key id or complete key."),
    ],
    operators: options.Operator,
    author: options.Author,
    record_id: options.RecordId = None,
    timeout_s: options.TimeoutS = options.DEFAULT_TIMEOUT_S,
    as_json: options.Json = False,
) -> None:
    """Withdraw the key KEY_ID; it stops working within seconds.

    KEY_ID may also be the complete key, such as one that has leaked.
    """
    publication = commands_publish.prepare(
        operators,
        author=author,
        record_id=record_id,
        timeout_s=timeout_s,
        as_json=as_json,
    )
    name = keys.key_id_of(key_id) or key_id
    present = commands_publish.require(publication.client, objects.KEY, name)
    change = objects.ObjectChange(
        kind=objects.KEY,
        name=name,
        base_revision=present.revision,
        spec=present.spec | {"withdrawn": True},
    )
    outcome = commands_publish.publish_changes(publication, [change])
    commands_publish.report(publication, outcome)


@app.command("list")
def list_keys(
    operators: options.Operator,
    team: Annotated[
        str | None, typer.Option("--team", help="List only keys of this team.")
    ] = None,
    as_json: options.Json = False,
) -> None:
    """List key ids with their teams; the keys themselves are not stored."""
    listed = commands_publish.connect(operators).list_objects(objects.KEY)
    found = [
        item
        for item in listed.objects
        if team is None or item.spec.get("team") == team
    ]
    commands_objects.print_objects(found, as_json)


def _print_issued(
    issued: keys.IssuedKey,
    team: str,
    revision: int,
    publication: commands_publish.Publication,
) -> None:
    if publication.as_json:
        commands_report.print_json(
            _IssueReport(
                key_id=issued.key_id,
                key=issued.key,
                team=team,
                revision=revision,
                record_id=publication.record_id,
            )
        )
        return
    typer.echo(f"accepted at revision {revision}")
    typer.echo(f"key id {issued.key_id} for team {team}; shown only now:")
    typer.echo(issued.key)
