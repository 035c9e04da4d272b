"""Validation rules for published objects.

The operators' commands validate a file before they send it, and an entry
validates the received changes before it appends them. Rules that involve other
objects are not here.
"""

from collections.abc import Mapping
import re
from typing import Any

import attrs

from quetzalmill import codec
from quetzalmill import errors
from quetzalmill import objects
from quetzalmill import selectors
from quetzalmill import settings_rules

OPERATOR_KINDS = (
    objects.TEAM,
    objects.KEY,
    objects.ENDPOINT,
    objects.MODEL,
    objects.ROUTE,
)
"""The kinds that operators use in files, in dependency order."""

_NAME = re.compile(r"[A-Za-z0-9]([A-Za-z0-9._-]{0,126}[A-Za-z0-9])?")
_SHA256 = re.compile(r"[0-9a-f]{64}")
_POSITIVE_FIELDS = frozenset({"rate_per_s", "burst", "weight", "slots"})
_NATURAL_FIELDS = frozenset({"memory_tokens", "crashes"})


def problems_of(kind: str, name: str, spec: Mapping[str, Any]) -> list[str]:
    """Returns every error of an object, each with its field and remedy.

    Args:
        kind: The stated kind, which may be unknown.
        name: The object's name.
        spec: The specification as plain data.
    """
    target = objects.SPEC_TYPES.get(kind)
    if target is None:
        known = ", ".join(objects.SPEC_TYPES)
        return [f"{kind!r} is not a kind; write one of {known}"]
    place = f"{kind}/{name}"
    problems = [f"{place}: {text}" for text in _spec_problems(spec, target)]
    if not _NAME.fullmatch(name):
        problems.insert(
            0,
            f"{place}: the name is not letters, digits, dots, hyphens and "
            "underscores; rename it",
        )
    return problems


def _spec_problems(spec: Mapping[str, Any], target: type[Any]) -> list[str]:
    fields = {field.name: field for field in attrs.fields(target)}
    problems = [
        settings_rules.unknown_key_problem(key, list(fields))
        for key in spec
        if key not in fields
    ]
    for name, field in fields.items():
        if name in spec:
            problem = _field_problem(name, spec[name], field.type, target)
            if problem:
                problems.append(f"{name}: {problem}")
        elif field.default is attrs.NOTHING:
            problems.append(f"{name}: is missing; add it")
    return problems


def _field_problem(
    name: str, value: Any, expected: Any, target: type[Any]
) -> str | None:
    try:
        codec.from_plain(value, expected)
    except errors.CodecError as error:
        return f"is {value!r}; {error}"
    if name in _POSITIVE_FIELDS and not 0 < value < float("inf"):
        return f"is {value!r}; write a number above 0"
    if name in _NATURAL_FIELDS and value < 0:
        return f"is {value!r}; write 0 or more"
    if name.endswith("address"):
        return settings_rules.problem_with(
            settings_rules.SingleAddress(), value
        )
    return _text_problem(name, value, target)


def _text_problem(name: str, value: Any, target: type[Any]) -> str | None:
    """Checks the fields whose text has a format of its own."""
    match name:
        case "selector":
            return _selector_problem(value)
        case "labels":
            return _labels_problem(value)
        case "kind" if target is objects.EndpointSpec:
            options = (objects.ENGINE, objects.SERVICE)
            return settings_rules.problem_with(
                settings_rules.Choice(options), value
            )
        case "secret_sha256" if not _SHA256.fullmatch(value):
            return "is not 64 hexadecimal digits; issue a key with `key issue`"
        case _:
            return None


def _selector_problem(text: str) -> str | None:
    try:
        selectors.parse(text)
    except errors.SelectorError as error:
        return str(error)
    return None


def _labels_problem(labels: Mapping[str, str]) -> str | None:
    """Checks that a selector can match every label and value."""
    for key, value in labels.items():
        try:
            term = selectors.parse(f"{key}={value}").terms
        except errors.SelectorError:
            term = ()
        if term != (selectors.Equals(key, value),):
            return (
                f"label {key!r} = {value!r} cannot be selected; use letters, "
                "digits and . _ / - inside"
            )
    return None
