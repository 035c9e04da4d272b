"""The steps that all commands share which read or change objects."""

from collections.abc import Callable, Iterable
from typing import Any

import attrs
import typer

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
        client: Where it publishes.
        author: Who is named in the history.
        record_id: The record's id.
        timeout_s: How long to ask for a lost outcome.
        base: The revision that the operator had seen, if given.
    """

    client: operator_client.OperatorClient
    author: str
    record_id: str
    timeout_s: float
    base: int | None = None


LabelChange = Callable[[dict[str, str]], dict[str, str]]
"""Makes an object's new labels from its present ones."""


def connect(operators: list[str]) -> operator_client.OperatorClient:
    """Returns a client of the entries that ``--operator`` names.

    Raises:
        typer.BadParameter: A text is not ``IP:port``.
    """
    texts = [text for item in operators for text in item.split(",") if text]
    return operator_client.OperatorClient(
        [parse_address(text.strip(), "--operator") for text in texts]
    )


def parse_address(text: str, option: str) -> settings_rules.Address:
    """Returns the address that an option or argument names.

    Raises:
        typer.BadParameter: The text is not ``IP:port``.
    """
    address = settings_rules.parse_address(text)
    if address is None:
        raise typer.BadParameter(
            f"{text!r} is no IP number and port, such as 127.0.0.1:7101",
            param_hint=option,
        )
    return address


def publish(
    publication: Publication, items: Iterable[fleet_file.FileObject]
) -> operator_client.Outcome:
    """Publishes the specifications of objects as one record.

    Raises:
        errors.OperatorError: The present revisions cannot be read.
    """
    wanted = list(items)
    problems = [
        problem
        for item in wanted
        for problem in object_rules.problems_of(item.kind, item.name, item.spec)
    ]
    if problems:
        return operator_client.Rejected(problems)
    present = {
        kind: publication.client.list_objects(kind)
        for kind in dict.fromkeys(item.kind for item in wanted)
    }
    changes = [
        objects.ObjectChange(
            kind=item.kind,
            name=item.name,
            base_revision=_base_revision(
                present[item.kind].revision_of(item.name), publication.base
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
        label_change: Makes the new labels from the present ones.

    Raises:
        errors.OperatorError: The present object cannot be read.
    """
    present = publication.client.list_objects(kind, name).find(name)
    spec = dict(present.spec) if present else {}
    spec |= {key: value for key, value in fields.items() if value is not None}
    if label_change:
        spec["labels"] = label_change(spec.get("labels", {}))
    problems = object_rules.problems_of(kind, name, spec)
    if problems:
        return operator_client.Rejected(problems)
    base = _base_revision(present.revision if present else 0, publication.base)
    return publish_changes(
        publication,
        [
            objects.ObjectChange(
                kind=kind, name=name, base_revision=base, spec=spec
            )
        ],
    )


def delete(
    publication: Publication, kind: str, name: str
) -> operator_client.Outcome:
    """Publishes an object's deletion.

    Raises:
        errors.OperatorError: The present object cannot be read.
    """
    present = require(publication.client, kind, name)
    base = _base_revision(present.revision, publication.base)
    return publish_changes(
        publication,
        [
            objects.ObjectChange(
                kind=kind, name=name, base_revision=base, spec=None
            )
        ],
    )


def require(
    client: operator_client.OperatorClient, kind: str, name: str
) -> operator_client.ListedObject:
    """Returns an object that has to exist.

    Raises:
        errors.OperatorRefusedError: It does not exist.
        errors.OperatorError: It cannot be read.
    """
    listed = client.list_objects(kind)
    present = listed.find(name)
    if present is None:
        near = settings_rules.suggestion(
            name, [item.name for item in listed.objects]
        )
        mend = f"did you mean {near}?" if near else f"see `{kind} list`"
        raise errors.OperatorRefusedError(
            f"{kind}/{name} does not exist; {mend}"
        )
    return present


def publish_changes(
    publication: Publication, changes: list[objects.ObjectChange]
) -> operator_client.Outcome:
    """Publishes changes that are ready as one record."""
    record = objects.ConfigRecord(
        record_id=publication.record_id,
        author=publication.author,
        changes=changes,
    )
    return publication.client.publish(record, publication.timeout_s * 1000.0)


def _base_revision(present: int, seen: int | None) -> int:
    """Returns the revision to name as the base of a change.

    An object that is newer than the operator has seen is given the revision
    seen, so that the fold finds the conflict for every reader alike.
    """
    return present if seen is None else min(present, seen)
