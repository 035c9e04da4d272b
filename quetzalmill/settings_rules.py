"""Validation rules for the values of settings.

A rule says what is wrong with a value and how to fix it; the caller adds the
file and the field.
"""

import difflib
import ipaddress
import re
from typing import Any

import attrs

MAX_PORT = 65535

_NAME = re.compile(r"[A-Za-z0-9]([A-Za-z0-9_-]{0,61}[A-Za-z0-9])?")
_SIMILARITY_CUTOFF = 0.6


@attrs.frozen
class Address:
    """Where a process listens or is reached.

    Attributes:
        ip: An IPv4 or IPv6 address, without brackets.
        port: From 1 to ``MAX_PORT``.
    """

    ip: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.ip}]" if ":" in self.ip else self.ip
        return f"{host}:{self.port}"


@attrs.frozen
class Name:
    """Letters, digits, hyphens and underscores, such as a host name."""


@attrs.frozen
class SingleAddress:
    """A single ``IP:port``.

    Attributes:
        listens: Whether the process itself listens on it.
    """

    listens: bool = False


@attrs.frozen
class AddressList:
    """A list of distinct ``IP:port`` addresses.

    Attributes:
        minimum: The least number of addresses.
    """

    minimum: int = 0


@attrs.frozen
class WholeNumber:
    """A whole number between two bounds, both included.

    Attributes:
        low: The least value.
        high: The greatest value.
        unit: The unit, for messages.
    """

    low: int
    high: int
    unit: str


@attrs.frozen
class Fraction:
    """A number from 0 to 1."""


@attrs.frozen
class Choice:
    """One of a fixed set of words.

    Attributes:
        options: The words.
    """

    options: tuple[str, ...]


Rule = Name | SingleAddress | AddressList | WholeNumber | Fraction | Choice


def parse_address(text: str) -> Address | None:
    """Returns the address in ``text``, or None when it is not ``IP:port``."""
    ip_text, separator, port_text = text.rpartition(":")
    if not separator or not _is_port(port_text):
        return None
    if ip_text.startswith("[") and ip_text.endswith("]"):
        ip_text = ip_text[1:-1]
    elif ":" in ip_text:
        return None
    try:
        ip = ipaddress.ip_address(ip_text)
    except ValueError:
        return None
    return Address(str(ip), int(port_text))


def problem_with(rule: Rule, value: Any) -> str | None:
    """Returns what is wrong with ``value`` and how to fix it, or None."""
    match rule:
        case Name():
            return _name_problem(value)
        case SingleAddress(listens=listens):
            return _address_problem(value, listens)
        case AddressList(minimum=minimum):
            return _address_list_problem(value, minimum)
        case WholeNumber():
            return _whole_number_problem(value, rule)
        case Fraction():
            return _fraction_problem(value)
        case Choice(options=options):
            return _choice_problem(value, options)


def closest_match(word: str, known: list[str]) -> str | None:
    """Returns the known word most similar to ``word``, if any is similar."""
    near = difflib.get_close_matches(word, known, 1, _SIMILARITY_CUTOFF)
    return near[0] if near else None


def unknown_key_problem(key: str, known: list[str]) -> str:
    """Returns the problem text for a key that is not a known one."""
    near = closest_match(key, known)
    fix = f'did you mean "{near}"?' if near else "remove it"
    return f"{key}: is not a known field; {fix}"


def _is_port(text: str) -> bool:
    if not (text.isascii() and text.isdigit() and len(text) <= 5):
        return False
    return 1 <= int(text) <= MAX_PORT


def _name_problem(value: Any) -> str | None:
    if isinstance(value, str) and _NAME.fullmatch(value):
        return None
    return (
        f"is {value!r}; write a name of at most 63 letters, digits, hyphens "
        "and underscores"
    )


def _address_problem(value: Any, listens: bool) -> str | None:
    address = parse_address(value) if isinstance(value, str) else None
    if address is None:
        return (
            f"is {value!r}; write an IP address and a port from 1 to "
            f'{MAX_PORT}, such as "127.0.0.1:7100"'
        )
    if ipaddress.ip_address(address.ip).is_unspecified:
        reason = "announced to other processes" if listens else "reached"
        return (
            f"is {value!r}, which cannot be {reason}; write the IP address "
            "of one interface"
        )
    return None


def _address_list_problem(value: Any, minimum: int) -> str | None:
    if not isinstance(value, list):
        return f'is {value!r}; write a list such as ["127.0.0.1:7102"]'
    for item in value:
        problem = _address_problem(item, listens=False)
        if problem:
            return f"holds an item that {problem}"
    distinct = {parse_address(item) for item in value}
    if len(distinct) < len(value):
        return "lists an address twice; list each address once"
    if len(value) < minimum:
        return f"holds {len(value)} addresses; name at least {minimum}"
    return None


def _whole_number_problem(value: Any, rule: WholeNumber) -> str | None:
    # bool is a subclass of int in Python, but TOML tells the two apart.
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    if is_integer and rule.low <= value <= rule.high:
        return None
    return (
        f"is {value!r}; write a whole number of {rule.unit} from {rule.low} "
        f"to {rule.high}"
    )


def _fraction_problem(value: Any) -> str | None:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if is_number and 0 <= value <= 1:
        return None
    return f"is {value!r}; write a number from 0 to 1"


def _choice_problem(value: Any, options: tuple[str, ...]) -> str | None:
    if value in options:
        return None
    words = ", ".join(f'"{option}"' for option in options)
    return f"is {value!r}; write one of {words}"
