"""Encodes and decodes the attrs values that processes exchange.

JSON is used for the log and for operators, MessagePack between processes.
The module defines no message types; callers pass the type they expect.
"""

from typing import Any, TypeVar

import msgspec

from quetzalmill import errors

_T = TypeVar("_T")


def to_json(value: Any) -> bytes:
    """Returns ``value`` as JSON bytes."""
    return msgspec.json.encode(value)


def from_json(data: bytes, expected: type[_T]) -> _T:
    """Decodes JSON into ``expected``.

    Raises:
        errors.CodecError: The bytes are not such a value.
    """
    try:
        return msgspec.json.decode(data, type=expected)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise errors.CodecError(str(error)) from error
    except RecursionError as error:
        raise errors.CodecError("the value is nested too deeply") from error


def to_msgpack(value: Any) -> bytes:
    """Returns ``value`` as MessagePack bytes."""
    return msgspec.msgpack.encode(value)


def from_msgpack(data: bytes, expected: type[_T]) -> _T:
    """Decodes MessagePack into ``expected``.

    Raises:
        errors.CodecError: The bytes are not such a value.
    """
    try:
        return msgspec.msgpack.decode(data, type=expected)
    except msgspec.DecodeError as error:
        raise errors.CodecError(str(error)) from error
    except RecursionError as error:
        raise errors.CodecError("the value is nested too deeply") from error


def to_plain(value: Any) -> Any:
    """Converts ``value`` to dicts, lists and scalars."""
    return msgspec.to_builtins(value)


def from_plain(value: Any, expected: type[_T]) -> _T:
    """Converts dicts, lists and scalars into ``expected``.

    Raises:
        errors.CodecError: The value does not match ``expected``.
    """
    try:
        return msgspec.convert(value, type=expected)
    except msgspec.ValidationError as error:
        raise errors.CodecError(str(error)) from error
    except RecursionError as error:
        raise errors.CodecError("the value is nested too deeply") from error
