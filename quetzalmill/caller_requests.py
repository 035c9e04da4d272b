"""Parses and validates callers' requests."""

from typing import Any

import attrs

from quetzalmill import codec
from quetzalmill import completion
from quetzalmill import errors
from quetzalmill import http_message
from quetzalmill import problems
from quetzalmill import program_id

INVALID = "invalid_request"
"""The error code for a malformed request."""

PROGRAM_HEADER = "quetzalmill-program"
CALL_HEADER = "quetzalmill-call"
IDEMPOTENT_HEADER = "quetzalmill-idempotent"
DEADLINE_HEADER = "quetzalmill-deadline-ms"
HISTORY_HEADER = "quetzalmill-history"

MAX_CALL_NUMBER = 1_000_000
"""The largest call number within a program; larger ones are lowered to it."""

MAX_BUDGET = 1 << 53
"""The largest value of a budget or deadline."""

_BUDGET_FIELDS = ("calls", "tokens", "time_ms")
_PROGRAM_FIELDS = {"budget", "deadline_ms", "parent"}


@attrs.frozen(kw_only=True)
class CallHeaders:
    """The headers of a call.

    Attributes:
        program: The program; empty for a program of one call.
        number: The call's number, 1 for a program of one call.
        idempotent: Whether it may run again; None if the caller does not say.
        time_left_ms: How long the caller waits.
        expected_chain: The chain hash that the caller expects; empty for any.
    """

    program: str
    number: int
    idempotent: bool | None
    time_left_ms: float
    expected_chain: str


@attrs.frozen(kw_only=True)
class NewProgram:
    """A checked request to start a program.

    Attributes:
        calls: The budget of calls.
        tokens: The budget of generated tokens.
        time_ms: The budget of time during which calls run.
        deadline_ms: Time until the program's deadline.
        parent: The parent program; empty for none.
    """

    calls: int | None
    tokens: int | None
    time_ms: float | None
    deadline_ms: float | None
    parent: str


def read_call_headers(
    request: http_message.Request, longest_ms: float
) -> CallHeaders:
    """Returns the headers of a call.

    A deadline beyond ``longest_ms`` is lowered to it.

    Raises:
        problems.CallerError: One of the headers is malformed.
    """
    headers = request.headers
    program = headers.get(PROGRAM_HEADER, "")
    number = _read_number(
        headers.get(CALL_HEADER), CALL_HEADER, MAX_CALL_NUMBER
    )
    if program and number is None:
        raise _invalid(f"{CALL_HEADER} is needed with {PROGRAM_HEADER}")
    if program:
        require_program_id(program)
    remaining_ms = _read_number(
        headers.get(DEADLINE_HEADER), DEADLINE_HEADER, int(longest_ms)
    )
    return CallHeaders(
        program=program,
        number=number if program and number else 1,
        idempotent=_read_flag(headers.get(IDEMPOTENT_HEADER)),
        time_left_ms=longest_ms if remaining_ms is None else remaining_ms,
        expected_chain=headers.get(HISTORY_HEADER, ""),
    )


def read_completion(body: bytes) -> completion.CompletionRequest:
    """Returns a chat completion request.

    Raises:
        problems.CallerError: The body is malformed.
    """
    try:
        return completion.parse_request(body)
    except completion.InvalidRequestError as error:
        raise _invalid(str(error)) from error


def read_new_program(body: bytes) -> NewProgram:
    """Returns a request to start a program.

    Raises:
        problems.CallerError: The body is malformed.
    """
    try:
        fields = codec.from_json(body or b"{}", dict[str, Any])
    except errors.CodecError as error:
        raise _invalid(f"the body is no JSON object: {error}") from error
    _reject_unknown(fields, _PROGRAM_FIELDS, "the body")
    budget = _value_or(fields, "budget", {})
    if not isinstance(budget, dict):
        raise _invalid("budget: an object is needed")
    _reject_unknown(budget, set(_BUDGET_FIELDS), "budget")
    parent = _value_or(fields, "parent", "")
    if not isinstance(parent, str):
        raise _invalid("parent: a program id is needed")
    if parent:
        require_program_id(parent)
    return NewProgram(
        calls=_positive_whole(budget, "calls", "budget.calls"),
        tokens=_positive_whole(budget, "tokens", "budget.tokens"),
        time_ms=_positive(budget, "time_ms", "budget.time_ms"),
        deadline_ms=_positive(fields, "deadline_ms", "deadline_ms"),
        parent=parent,
    )


def require_program_id(text: str) -> None:
    """Checks that a program id has the format of issued ids.

    Raises:
        problems.CallerError: It has not, so there is no such program.
    """
    if program_id.first_home(text) is None:
        raise problems.CallerError(
            404, "program_unknown", f"{text!r} is no program's id"
        )


def _reject_unknown(
    fields: dict[str, Any], known: set[str], where: str
) -> None:
    unknown = sorted(set(fields) - known)
    if unknown:
        raise _invalid(f"{where} has the unknown field {unknown[0]!r}")


def _value_or(fields: dict[str, Any], name: str, default: Any) -> Any:
    value = fields.get(name)
    return default if value is None else value


def _positive(fields: dict[str, Any], name: str, label: str) -> float | None:
    value = fields.get(name)
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise _invalid(f"{label}: a number is needed")
    if not 0 < value <= MAX_BUDGET:
        raise _invalid(f"{label}: a number from 1 to {MAX_BUDGET} is needed")
    return float(value)


def _positive_whole(
    fields: dict[str, Any], name: str, label: str
) -> int | None:
    value = _positive(fields, name, label)
    if value is None:
        return None
    if not value.is_integer():
        raise _invalid(f"{label}: a whole number is needed")
    return int(value)


def _read_number(text: str | None, name: str, largest: int) -> int | None:
    if text is None:
        return None
    if not text.isascii() or not text.isdigit() or len(text) > 12:
        raise _invalid(f"{name}: a whole number from 1 is needed")
    number = int(text)
    if number < 1:
        raise _invalid(f"{name}: a whole number from 1 is needed")
    return min(number, largest)


def _read_flag(text: str | None) -> bool | None:
    match text:
        case None:
            return None
        case "true":
            return True
        case "false":
            return False
        case _:
            raise _invalid(f"{IDEMPOTENT_HEADER}: true or false is needed")


def _invalid(message: str) -> problems.CallerError:
    return problems.CallerError(422, INVALID, message)
