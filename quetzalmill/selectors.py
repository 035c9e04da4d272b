"""Label selectors: which endpoints, models or routes an object chooses.

A selector is a comma-separated list of terms that must all hold. An empty
selector chooses everything.
"""

from collections.abc import Mapping
import functools
import re

import attrs

from quetzalmill import errors

_WORD = r"[A-Za-z0-9](?:[A-Za-z0-9._/-]*[A-Za-z0-9])?"
_OUTSIDE_PARENTHESES = re.compile(r",(?![^()]*\))")
_EQUALS = re.compile(rf"({_WORD})\s*==?\s*({_WORD})")
_DIFFERS = re.compile(rf"({_WORD})\s*!=\s*({_WORD})")
_ONE_OF = re.compile(rf"({_WORD})\s+in\s*\(([^()]*)\)")
_HAS = re.compile(rf"({_WORD})")
_LACKS = re.compile(rf"!\s*({_WORD})")
_CACHE_ENTRIES = 4096


@attrs.frozen
class Equals:
    """The label has this value."""

    key: str
    value: str


@attrs.frozen
class Differs:
    """The label is absent or has another value."""

    key: str
    value: str


@attrs.frozen
class OneOf:
    """The label has one of these values."""

    key: str
    values: frozenset[str]


@attrs.frozen
class Has:
    """The label is present."""

    key: str


@attrs.frozen
class Lacks:
    """The label is absent."""

    key: str


Term = Equals | Differs | OneOf | Has | Lacks


@attrs.frozen
class Selector:
    """Terms that must all hold; none choose everything."""

    terms: tuple[Term, ...] = ()

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Returns whether the labels fulfil every term."""
        return all(_holds(term, labels) for term in self.terms)


@functools.lru_cache(maxsize=_CACHE_ENTRIES)
def parse(text: str) -> Selector:
    """Returns the selector that ``text`` describes.

    Raises:
        errors.SelectorError: A term cannot be read; the message names it.
    """
    if not text.strip():
        return Selector()
    terms = _OUTSIDE_PARENTHESES.split(text)
    return Selector(tuple(_parse_term(term.strip()) for term in terms))


def _parse_term(text: str) -> Term:
    if found := _EQUALS.fullmatch(text):
        return Equals(found[1], found[2])
    if found := _DIFFERS.fullmatch(text):
        return Differs(found[1], found[2])
    if found := _LACKS.fullmatch(text):
        return Lacks(found[1])
    if found := _HAS.fullmatch(text):
        return Has(found[1])
    if found := _ONE_OF.fullmatch(text):
        return _parse_one_of(text, found[1], found[2])
    raise errors.SelectorError(
        f"selector term {text!r} cannot be read; write key=value, "
        "key!=value, key, !key or key in (a b)"
    )


def _parse_one_of(text: str, key: str, list_text: str) -> Term:
    values = list_text.replace(",", " ").split()
    if values and all(re.fullmatch(_WORD, value) for value in values):
        return OneOf(key, frozenset(values))
    raise errors.SelectorError(
        f"selector term {text!r} needs values in its parentheses; write "
        f"{key} in (a b)"
    )


def _holds(term: Term, labels: Mapping[str, str]) -> bool:
    match term:
        case Equals(key, value):
            return labels.get(key) == value
        case Differs(key, value):
            return labels.get(key) != value
        case OneOf(key, values):
            return labels.get(key) in values
        case Has(key):
            return key in labels
        case Lacks(key):
            return key not in labels
