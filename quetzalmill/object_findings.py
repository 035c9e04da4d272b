"""Findings in operators' files of objects, before they are published.

The rules of single objects are in ``object_rules``. Here are those that involve
several objects: the file is laid over the objects in force, as publishing does.
"""

from collections.abc import Iterable, Mapping
from typing import Any

from quetzalmill import errors
from quetzalmill import findings
from quetzalmill import fleet_file
from quetzalmill import objects
from quetzalmill import selectors

_SELECTED_KINDS = {
    objects.MODEL: objects.ENGINE,
    objects.ROUTE: objects.SERVICE,
}

_Objects = Mapping[str, Mapping[str, Any]]
"""Specifications by ``kind/name``."""


def by_entry(found: Iterable[fleet_file.FileObject]) -> dict[str, Any]:
    """Returns the specifications of objects by ``kind/name``."""
    return {f"{each.kind}/{each.name}": each.spec for each in found}


def unreadable(
    error: errors.SettingsError, table: Mapping[str, Any]
) -> list[findings.Finding]:
    """Returns the mistakes of a file, without the values of keys.

    Args:
        error: The mistakes.
        table: The content of the file; empty if it is not TOML.
    """
    keys = table.get(objects.KEY)
    specs = keys.values() if isinstance(keys, dict) else ()
    hidden = [
        repr(value)
        for spec in specs
        for value in (spec.values() if isinstance(spec, dict) else [spec])
    ]
    found = []
    for problem in error.problems:
        path, _, text = problem.partition(": ")
        entry, separator, rest = text.partition(": ")
        if entry.startswith(f"{objects.KEY}/"):
            for value in hidden:
                rest = rest.replace(value, "(hidden)")
        if not separator:
            entry, rest = path, text
        found.append(findings.error("invalid", entry, rest))
    return found


def check(file: _Objects, in_force: _Objects) -> list[findings.Finding]:
    """Returns the findings on a file whose single objects are valid.

    Args:
        file: The objects of the file.
        in_force: The objects in force; empty if unknown.
    """
    after = {**in_force, **file}
    found: list[findings.Finding] = []
    for entry, spec in file.items():
        kind = entry.partition("/")[0]
        match kind:
            case objects.MODEL | objects.ROUTE:
                found += _check_target(entry, spec, after)
            case objects.TEAM:
                found += _check_team(entry, spec, after)
            case objects.KEY:
                found += _check_key(entry, spec, after)
            case objects.ENDPOINT:
                found += _check_endpoint(entry, spec, after)
    return found


def _check_target(
    entry: str, spec: Mapping[str, Any], after: _Objects
) -> list[findings.Finding]:
    endpoint_kind = _SELECTED_KINDS[entry.partition("/")[0]]
    if any(
        each.get("kind", objects.ENGINE) == endpoint_kind
        and _selects(spec, each)
        for each in _of_kind(after, objects.ENDPOINT).values()
    ):
        return []
    return [
        findings.warning(
            "selects-no-endpoint",
            entry,
            f"its selector chooses no {endpoint_kind} endpoint, so no request "
            "can be served; correct it or add the endpoint",
        )
    ]


def _check_team(
    entry: str, spec: Mapping[str, Any], after: _Objects
) -> list[findings.Finding]:
    found = []
    targets = [*_of_kind(after, objects.MODEL).values()]
    targets += _of_kind(after, objects.ROUTE).values()
    if not any(_selects(spec, each) for each in targets):
        found.append(
            findings.warning(
                "selects-nothing",
                entry,
                "its selector matches no model or route, so the team may use "
                "nothing; correct it or the labels",
            )
        )
    if spec["burst"] < 1.0:
        found.append(
            findings.warning(
                "burst-below-one",
                entry,
                "burst is below 1, so no request is ever admitted; write 1 or "
                "more",
            )
        )
    return found


def _check_key(
    entry: str, spec: Mapping[str, Any], after: _Objects
) -> list[findings.Finding]:
    if f"{objects.TEAM}/{spec['team']}" in after:
        return []
    return [
        findings.error(
            "unknown-team",
            entry,
            f"team {spec['team']!r} does not exist; add it or name another",
        )
    ]


def _check_endpoint(
    entry: str, spec: Mapping[str, Any], after: _Objects
) -> list[findings.Finding]:
    found = []
    endpoint_kind = spec.get("kind", objects.ENGINE)
    if not any(
        _selects(each, spec)
        for kind, selected in _SELECTED_KINDS.items()
        if selected == endpoint_kind
        for each in _of_kind(after, kind).values()
    ):
        found.append(
            findings.warning(
                "never-selected",
                entry,
                "no model or route selects it, so it gets no requests; set its "
                "labels",
            )
        )
    sharing = sorted(
        other
        for other, each in _of_kind(after, objects.ENDPOINT).items()
        if other != entry and each["address"] == spec["address"]
    )
    if sharing:
        found.append(
            findings.warning(
                "address-shared",
                entry,
                f"has the address of {sharing[0]}, so its slots are counted "
                "twice; correct one of them",
            )
        )
    if endpoint_kind == objects.ENGINE and spec.get("memory_tokens") == 0:
        found.append(
            findings.warning(
                "engine-without-memory",
                entry,
                "memory_tokens is 0, so the engine can hold no history; write "
                "its size or set kind = 'service'",
            )
        )
    return found


def _of_kind(after: _Objects, kind: str) -> _Objects:
    return {
        entry: spec
        for entry, spec in after.items()
        if entry.startswith(f"{kind}/")
    }


def _selects(selecting: Mapping[str, Any], labelled: Mapping[str, Any]) -> bool:
    try:
        selector = selectors.parse(str(selecting.get("selector", "")))
    except errors.SelectorError:
        return False
    return selector.matches(labelled.get("labels", {}))
