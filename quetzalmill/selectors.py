"""Label selectors, by which objects select endpoints, models or routes.

A selector is a comma-separated list of terms that must all match. An empty
selector matches everything.
"""

from collections.abc import Mapping
import functools
import re

import attrs

from quetzalmill import errors

_WORD = r"[A-Za-z0-9](?:[A-Za-z0-9._/-]*[A-Za-z0-9])?"
_TERM_SEPARATOR = re.compile(r",(?![^()]*\))")
_EQUALS = re.compile(rf"({_WORD})\s*==?\s*({_WORD})")
_NOT_EQUALS = re.compile(rf"({_WORD})\s*!=\s*({_WORD})")
_IN = re.compile(rf"({_WORD})\s+in\s*\(([^()]*)\)")
_EXISTS = re.compile(rf"({_WORD})")
_NOT_EXISTS = re.compile(rf"!\s*({_WORD})")
_MAX_CACHED_SELECTORS = 4096


@attrs.frozen
class Equals:
    """The label has this value."""

    key: str
    value: str


@attrs.frozen
class NotEquals:
    """The label is absent or has another value."""

    key: str
    value: str


@attrs.frozen
class In:
    """The label has one of these values."""

    key: str
    values: frozenset[str]


@attrs.frozen
class Exists:
    """The label is present."""

    key: str


@attrs.frozen
class NotExists:
    """The label is absent."""

    key: str


Term = Equals | NotEquals | In | Exists | NotExists


@attrs.frozen
class Selector:
    """Terms that must all match; no terms match everything."""

    terms: tuple[Term, ...] = ()

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Returns whether the labels match every term."""
        return all(_matches(term, labels) for term in self.terms)


@functools.lru_cache(maxsize=_MAX_CACHED_SELECTORS)
def parse(text: str) -> Selector:
    """Returns the selector that ``text`` describes.

    Raises:
        errors.SelectorError: A term is malformed; the message names it.
    """
    if not text.strip():
        return Selector()
    terms = _TERM_SEPARATOR.split(text)
    return Selector(tuple(_parse_term(term.strip()) for term in terms))


def _parse_term(text: str) -> Term:
    if found := _EQUALS.fullmatch(text):
        return Equals(found[1], found[2])
    if found := _NOT_EQUALS.fullmatch(text):
        return NotEquals(found[1], found[2])
    if found := _NOT_EXISTS.fullmatch(text):
        return NotExists(found[1])
    if found := _EXISTS.fullmatch(text):
        return Exists(found[1])
    if found := _IN.fullmatch(text):
        return _parse_in(text, found[1], found[2])
    raise errors.SelectorError(
        f"selector term {text!r} cannot be read; write key=value, "
        "key!=value, key, !key or key in (a b)"
    )


def _parse_in(text: str, key: str, list_text: str) -> Term:
    values = list_text.replace(",", " ").split()
    if values and all(re.fullmatch(_WORD, value) for value in values):
        return In(key, frozenset(values))
    raise errors.SelectorError(
        f"selector term {text!r} needs values in its parentheses; write "
        f"{key} in (a b)"
    )


def _matches(term: Term, labels: Mapping[str, str]) -> bool:
    match term:
        case Equals(key, value):
            return labels.get(key) == value
        case NotEquals(key, value):
            return labels.get(key) != value
        case In(key, values):
            return labels.get(key) in values
        case Exists(key):
            return key in labels
        case NotExists(key):
            return key not in labels
