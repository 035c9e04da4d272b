"""Files in which operators define the objects of a fleet.

A file has tables such as ``[team.field]``: the first word is the kind, the
second the object's name, and the table's content its specification.
"""

from collections.abc import Iterable
import json
from typing import Any

import attrs

from quetzalmill import errors
from quetzalmill import object_rules
from quetzalmill import settings
from quetzalmill import settings_rules


@attrs.frozen(kw_only=True)
class FileObject:
    """One object of a file."""

    kind: str
    name: str
    spec: dict[str, Any]


def is_fleet_table(table: dict[str, Any]) -> bool:
    """Returns whether a TOML table holds objects rather than settings."""
    kinds = object_rules.OPERATOR_KINDS
    return any(isinstance(table.get(kind), dict) for kind in kinds)


def load(path: str) -> list[FileObject]:
    """Reads and checks a file.

    Raises:
        errors.SettingsError: The file has mistakes or cannot be read.
    """
    table = settings.read_table(path)
    found = _objects_in(table)
    problems = _kind_problems(table)
    for item in found:
        problems += object_rules.problems_of(item.kind, item.name, item.spec)
    if not found and not problems:
        problems.append("defines no object; add a table such as [team.field]")
    if problems:
        raise errors.SettingsError([f"{path}: {text}" for text in problems])
    return found


def dump(found: Iterable[FileObject]) -> str:
    """Returns the text of a file that defines these objects."""
    return "\n".join(_table_text(item) for item in found)


def _objects_in(table: dict[str, Any]) -> list[FileObject]:
    return [
        FileObject(kind=kind, name=name, spec=spec)
        for kind in object_rules.OPERATOR_KINDS
        if isinstance(table.get(kind), dict)
        for name, spec in table[kind].items()
        if isinstance(spec, dict)
    ]


def _kind_problems(table: dict[str, Any]) -> list[str]:
    problems: list[str] = []
    kinds = list(object_rules.OPERATOR_KINDS)
    for kind, content in table.items():
        if kind not in kinds:
            problems.append(
                settings_rules.unknown_key_problem(kind, kinds)
                + " (the kinds are "
                + ", ".join(kinds)
                + ")"
            )
        elif not isinstance(content, dict):
            problems.append(f"{kind}: is not a table; write [{kind}.NAME]")
        else:
            problems += [
                f"{kind}.{name}: is not a table; write [{kind}.NAME] above it"
                for name, spec in content.items()
                if not isinstance(spec, dict)
            ]
    return problems


def _table_text(item: FileObject) -> str:
    lines = [f"[{item.kind}.{_toml(item.name)}]"]
    lines += [f"{name} = {_toml(value)}" for name, value in item.spec.items()]
    return "\n".join(lines) + "\n"


def _toml(value: Any) -> str:
    """Returns a value of a specification as TOML."""
    if isinstance(value, dict):
        pairs = (f"{_toml(key)} = {_toml(item)}" for key, item in value.items())
        return "{ " + ", ".join(pairs) + " }" if value else "{}"
    # JSON and TOML have the same syntax for numbers, booleans and strings.
    return json.dumps(value, ensure_ascii=False)
