"""Steps shared by the commands that read or change objects."""

from collections.abc import Callable, Iterable
from typing import Any
import uuid

import attrs
import typer

from quetzalmill import commands_base
from quetzalmill import commands_report
from quetzalmill import errors
from quetzalmill import fleet_file
from quetzalmill import object_rules
from quetzalmill import objects
from quetzalmill import operator_client
from quetzalmill import settings_rules


@attrs.frozen(kw_only=True)
class Publication:
    """How a command publishes.

    Attributes:
        client: Sends the publication.
        author: The author shown in the history.
        record_id: The record's id.
        is_retry: Whether a record with that id may have been sent before.
        timeout_s: How long to retry when the outcome is lost.
        base: The revision given with ``--base``, if any.
        as_json: Whether the outcome is printed as JSON.
    """

    client: operator_client.OperatorClient
    author: str
    record_id: str
    is_retry: bool = False
    timeout_s: float
    base: int | None = None
    as_json: bool = False


_LIST_COMMANDS = {
    objects.TEAM: "team list",
    objects.KEY: "key list",
    objects.ENDPOINT: "endpoint list",
    objects.MODEL: "model list",
    objects.ROUTE: "route list",
    objects.PROCESS: "config processes",
    objects.QUARANTINE: "quarantine list",
    objects.EVACUATION: "evacuation list",
}
"""The command that lists the objects of a kind."""

LabelChange = Callable[[dict[str, str]], dict[str, str]]
"""Maps an object's current labels to its new ones."""


def prepare(
    operators: list[str],
    *,
    author: str,
    record_id: str | None,
    timeout_s: float,
    base: int | None = None,
    as_json: bool = False,
) -> Publication:
    """Returns a publication built from the options of a command.

    Raises:
        typer.BadParameter: An operator address is not ``IP:port``.
    """
    return Publication(
        client=connect(operators),
        author=author,
        record_id=record_id or uuid.uuid4().hex,
        is_retry=record_id is not None,
        timeout_s=timeout_s,
        base=base,
        as_json=as_json,
    )


def connect(operators: list[str]) -> operator_client.OperatorClient:
    """Returns a client of the entries that ``--operator`` names.

    Raises:
        typer.BadParameter: A text is not ``IP:port``, or there is none.
    """
    texts = [text.strip() for item in operators for text in item.split(",")]
    addresses = [parse_address(text, "--operator") for text in texts if text]
    if not addresses:
        raise typer.BadParameter(
            "names no address; write one such as 127.0.0.1:7101",
            param_hint="--operator",
        )
    return operator_client.OperatorClient(addresses)


def parse_address(text: str, option: str) -> settings_rules.Address:
    """Returns the address that an option or argument names.

    Raises:
        typer.BadParameter: The text is not ``IP:port``.
    """
    address = settings_rules.parse_address(text)
    if address is None:
        raise typer.BadParameter(
            f"{text!r} is not an IP address and port, such as 127.0.0.1:7101",
            param_hint=option,
        )
    return address


def publish(
    publication: Publication, items: Iterable[fleet_file.FileObject]
) -> operator_client.Outcome:
    """Publishes the specifications of objects as one record.

    Raises:
        errors.OperatorError: The current revisions cannot be read.
    """
    wanted = list(items)
    problems = [
        problem
        for item in wanted
        for problem in object_rules.problems_of(item.kind, item.name, item.spec)
    ]
    if problems:
        return operator_client.Rejected(problems)
    client = publication.client
    current = {
        kind: client.list_objects(kind)
        for kind in dict.fromkeys(item.kind for item in wanted)
    }
    base = commands_base.BaseRevisions(client, publication.base)
    changes = [
        objects.ObjectChange(
            kind=item.kind,
            name=item.name,
            base_revision=base.of(
                item.kind,
                item.name,
                current[item.kind].revision_of(item.name),
            ),
            spec=item.spec,
        )
        for item in wanted
    ]
    return publish_changes(publication, changes)


def update(
    publication: Publication,
    kind: str,
    name: str,
    fields: dict[str, Any],
    label_change: LabelChange | None = None,
) -> operator_client.Outcome:
    """Publishes an object with some fields changed.

    Args:
        publication: How to publish.
        kind: The object's kind.
        name: The object's name; it is created if it does not exist.
        fields: New values; fields that are None keep their value.
        label_change: Maps the current labels to the new ones.

    Raises:
        errors.OperatorError: The current object cannot be read.
    """
    current = publication.client.list_objects(kind, name).find(name)
    spec = dict(current.spec) if current else {}
    spec |= {key: value for key, value in fields.items() if value is not None}
    if label_change:
        spec["labels"] = label_change(spec.get("labels", {}))
    problems = object_rules.problems_of(kind, name, spec)
    if problems:
        return operator_client.Rejected(problems)
    revision = current.revision if current else 0
    return _publish_one(publication, kind, name, revision, spec)


def delete(
    publication: Publication, kind: str, name: str
) -> operator_client.Outcome:
    """Publishes an object's deletion.

    Raises:
        errors.OperatorError: The object does not exist or cannot be read.
    """
    if not publication.is_retry:
        current = require(publication.client, kind, name)
        return _publish_one(publication, kind, name, current.revision, None)
    # An earlier attempt may have deleted the object; publishing again under
    # the same record id then returns that attempt's outcome.
    revision = publication.client.list_objects(kind, name).revision_of(name)
    return _publish_one(publication, kind, name, revision, None)


def require(
    client: operator_client.OperatorClient, kind: str, name: str
) -> operator_client.ListedObject:
    """Returns an object that has to exist.

    Raises:
        errors.OperatorRefusedError: It does not exist.
        errors.OperatorError: It cannot be read.
    """
    listed = client.list_objects(kind)
    current = listed.find(name)
    if current is None:
        closest = settings_rules.closest_match(
            name, [item.name for item in listed.objects]
        )
        advice = (
            f"did you mean {closest}?"
            if closest
            else f"see `{_LIST_COMMANDS[kind]}`"
        )
        raise errors.OperatorRefusedError(
            f"{kind}/{name} does not exist; {advice}"
        )
    return current


def publish_changes(
    publication: Publication, changes: list[objects.ObjectChange]
) -> operator_client.Outcome:
    """Publishes prepared changes as one record."""
    record = objects.ConfigRecord(
        record_id=publication.record_id,
        author=publication.author,
        changes=changes,
    )
    return publication.client.publish(
        record,
        publication.timeout_s * 1000.0,
        sent_before=publication.is_retry,
    )


def report(publication: Publication, outcome: operator_client.Outcome) -> None:
    """Prints the outcome of a publication.

    Raises:
        typer.Exit: The publication was not accepted.
    """
    commands_report.print_outcome(
        outcome, publication.record_id, publication.as_json
    )


def _publish_one(
    publication: Publication,
    kind: str,
    name: str,
    revision: int,
    spec: dict[str, Any] | None,
) -> operator_client.Outcome:
    base = commands_base.BaseRevisions(publication.client, publication.base)
    change = objects.ObjectChange(
        kind=kind,
        name=name,
        base_revision=base.of(kind, name, revision),
        spec=spec,
    )
    return publish_changes(publication, [change])
