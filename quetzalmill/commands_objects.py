"""Commands that list, set and delete teams, endpoints, models and routes."""

from typing import Annotated, Any

import typer

from quetzalmill import commands_publish
from quetzalmill import commands_report
from quetzalmill import objects
from quetzalmill import operator_client
from quetzalmill import options

team_app = typer.Typer(
    no_args_is_help=True, help="Teams, their rates and their access."
)
endpoint_app = typer.Typer(
    no_args_is_help=True, help="Engines and services that serve requests."
)
model_app = typer.Typer(
    no_args_is_help=True, help="Models that callers request."
)
route_app = typer.Typer(
    no_args_is_help=True, help="Services that callers request."
)
quarantine_app = typer.Typer(
    no_args_is_help=True, help="Requests that crashed endpoints."
)


@team_app.command("set")
def set_team(
    name: options.Name,
    operators: options.Operator,
    author: options.Author,
    record_id: options.RecordId = None,
    rate_per_s: Annotated[
        float | None,
        typer.Option("--rate-per-s", help="Requests per second, fleet-wide."),
    ] = None,
    burst: Annotated[
        float | None, typer.Option("--burst", help="Largest burst.")
    ] = None,
    weight: Annotated[
        float | None,
        typer.Option("--weight", help="Weight on contended endpoints."),
    ] = None,
    selector: options.Selector = None,
    base: options.Base = None,
    timeout_s: options.TimeoutS = options.DEFAULT_TIMEOUT_S,
    as_json: options.Json = False,
) -> None:
    """Create a team or change the fields that are given."""
    fields = {
        "rate_per_s": rate_per_s,
        "burst": burst,
        "weight": weight,
        "selector": selector,
    }
    publication = commands_publish.prepare(
        operators,
        author=author,
        record_id=record_id,
        timeout_s=timeout_s,
        base=base,
        as_json=as_json,
    )
    _set(publication, objects.TEAM, name, fields)


@endpoint_app.command("set")
def set_endpoint(
    name: options.Name,
    operators: options.Operator,
    author: options.Author,
    record_id: options.RecordId = None,
    host: Annotated[
        str | None, typer.Option("--host", help="Host of its sidecar.")
    ] = None,
    address: Annotated[
        str | None, typer.Option("--address", help="Its IP:port.")
    ] = None,
    kind: Annotated[
        str | None, typer.Option("--kind", help="engine or service.")
    ] = None,
    slots: Annotated[
        int | None, typer.Option("--slots", help="Concurrent requests.")
    ] = None,
    memory_tokens: Annotated[
        int | None,
        typer.Option("--memory-tokens", help="Tokens it can cache."),
    ] = None,
    checks_fencing: Annotated[
        bool | None,
        typer.Option(
            "--checks-fencing/--ignores-fencing",
            help="Whether it refuses requests with an old fencing number.",
        ),
    ] = None,
    label: options.Label = None,
    remove_label: options.RemoveLabel = None,
    base: options.Base = None,
    timeout_s: options.TimeoutS = options.DEFAULT_TIMEOUT_S,
    as_json: options.Json = False,
) -> None:
    """Create an endpoint or change the fields that are given."""
    fields = {
        "host": host,
        "address": address,
        "kind": kind,
        "slots": slots,
        "memory_tokens": memory_tokens,
        "checks_fencing": checks_fencing,
    }
    publication = commands_publish.prepare(
        operators,
        author=author,
        record_id=record_id,
        timeout_s=timeout_s,
        base=base,
        as_json=as_json,
    )
    labels = _label_change(label, remove_label)
    _set(publication, objects.ENDPOINT, name, fields, labels)


@model_app.command("set")
def set_model(
    name: options.Name,
    operators: options.Operator,
    author: options.Author,
    record_id: options.RecordId = None,
    selector: options.Selector = None,
    label: options.Label = None,
    remove_label: options.RemoveLabel = None,
    base: options.Base = None,
    timeout_s: options.TimeoutS = options.DEFAULT_TIMEOUT_S,
    as_json: options.Json = False,
) -> None:
    """Create a model or change the fields that are given."""
    publication = commands_publish.prepare(
        operators,
        author=author,
        record_id=record_id,
        timeout_s=timeout_s,
        base=base,
        as_json=as_json,
    )
    labels = _label_change(label, remove_label)
    fields = {"selector": selector}
    _set(publication, objects.MODEL, name, fields, labels)


@route_app.command("set")
def set_route(
    name: options.Name,
    operators: options.Operator,
    author: options.Author,
    record_id: options.RecordId = None,
    selector: options.Selector = None,
    is_open: Annotated[
        bool | None,
        typer.Option(
            "--open/--keyed", help="Whether requests without a key are served."
        ),
    ] = None,
    label: options.Label = None,
    remove_label: options.RemoveLabel = None,
    base: options.Base = None,
    timeout_s: options.TimeoutS = options.DEFAULT_TIMEOUT_S,
    as_json: options.Json = False,
) -> None:
    """Create a route or change the fields that are given."""
    publication = commands_publish.prepare(
        operators,
        author=author,
        record_id=record_id,
        timeout_s=timeout_s,
        base=base,
        as_json=as_json,
    )
    labels = _label_change(label, remove_label)
    fields = {"selector": selector, "open": is_open}
    _set(publication, objects.ROUTE, name, fields, labels)


def _add_list(app: typer.Typer, kind: str) -> None:
    @app.command("list", help=f"List every {kind} in force.")
    def list_objects(
        operators: options.Operator, as_json: options.Json = False
    ) -> None:
        listed = commands_publish.connect(operators).list_objects(kind)
        print_objects(listed.objects, as_json)


def _add_delete(app: typer.Typer, kind: str, word: str, help_text: str) -> None:
    @app.command(word, help=help_text)
    def delete_object(
        name: options.Name,
        operators: options.Operator,
        author: options.Author,
        record_id: options.RecordId = None,
        base: options.Base = None,
        timeout_s: options.TimeoutS = options.DEFAULT_TIMEOUT_S,
        as_json: options.Json = False,
    ) -> None:
        publication = commands_publish.prepare(
            operators,
            author=author,
            record_id=record_id,
            timeout_s=timeout_s,
            base=base,
            as_json=as_json,
        )
        outcome = commands_publish.delete(publication, kind, name)
        commands_publish.report(publication, outcome)


for _app, _kind in (
    (team_app, objects.TEAM),
    (endpoint_app, objects.ENDPOINT),
    (model_app, objects.MODEL),
    (route_app, objects.ROUTE),
):
    _add_list(_app, _kind)
    _add_delete(_app, _kind, "delete", f"Delete a {_kind}.")
_add_list(quarantine_app, objects.QUARANTINE)
_add_delete(
    quarantine_app,
    objects.QUARANTINE,
    "release",
    "Let the request with this fingerprint run again.",
)


def print_objects(
    listed: list[operator_client.ListedObject], as_json: bool
) -> None:
    """Prints objects as JSON or as a table of their fields."""
    if as_json:
        commands_report.print_json(listed)
        return
    fields = list(dict.fromkeys(name for item in listed for name in item.spec))
    commands_report.print_table(
        ["NAME", "REVISION", *(field.upper() for field in fields)],
        [
            [item.name, str(item.revision)]
            + [_cell(item.spec.get(field)) for field in fields]
            for item in listed
        ],
    )


def _cell(value: Any) -> str:
    match value:
        case None:
            return ""
        case bool():
            return "yes" if value else "no"
        case dict():
            return ",".join(f"{key}={text}" for key, text in value.items())
        case float():
            return f"{value:g}"
        case _:
            return str(value)


def _label_change(
    added: list[str] | None, removed: list[str] | None
) -> commands_publish.LabelChange | None:
    """Returns the change of labels that the options specify, if any.

    Raises:
        typer.BadParameter: A text is not ``key=value``.
    """
    if not added and not removed:
        return None
    new_labels = dict(_label_pair(text) for text in added or [])
    removed_keys = set(removed or [])

    def change(present: dict[str, str]) -> dict[str, str]:
        kept = {
            key: text
            for key, text in present.items()
            if key not in removed_keys
        }
        return kept | new_labels

    return change


def _label_pair(text: str) -> tuple[str, str]:
    key, separator, value = text.partition("=")
    if not separator:
        raise typer.BadParameter(
            f"{text!r} is not a label; write key=value", param_hint="--label"
        )
    return key, value


def _set(
    publication: commands_publish.Publication,
    kind: str,
    name: str,
    fields: dict[str, Any],
    label_change: commands_publish.LabelChange | None = None,
) -> None:
    outcome = commands_publish.update(
        publication, kind, name, fields, label_change
    )
    commands_publish.report(publication, outcome)
