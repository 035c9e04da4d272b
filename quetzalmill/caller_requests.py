"""Reads callers' requests and checks them before anything is decided."""

from typing import Any

import attrs

from quetzalmill import codec
from quetzalmill import completion
from quetzalmill import errors
from quetzalmill import http_message
from quetzalmill import problems
from quetzalmill import program_id

INVALID = "invalid_request"
"""The code of a request that is malformed."""

PROGRAM_HEADER = "quetzalmill-program"
CALL_HEADER = "quetzalmill-call"
IDEMPOTENT_HEADER = "quetzalmill-idempotent"
DEADLINE_HEADER = "quetzalmill-deadline-ms"
HISTORY_HEADER = "quetzalmill-history"

MAX_CALL_NUMBER = 1_000_000
"""The largest number of a call within a program."""

MAX_BUDGET = 1 << 53
"""The largest number in a budget or deadline."""

_BUDGET_FIELDS = ("calls", "tokens", "time_ms")
_PROGRAM_FIELDS = {"budget", "deadline_ms", "parent"}


@attrs.frozen(kw_only=True)
class CallHeaders:
    """What the headers say about a call.

    Attributes:
        program: The program; empty for a program of one call.
        number: The call's number, 1 for a program of one call.
        idempotent: Whether it may run again; None if the caller is silent.
        time_left_ms: How long the caller waits.
        expected_chain: The history hash that the caller holds.
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
        calls: The budget's calls.
        tokens: The budget's generated tokens.
        time_ms: The budget's time under way.
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
    """Checks the headers of a call.

    Raises:
        problems.CallerError: One of them is malformed.
    """
    headers = request.headers
    program = headers.get(PROGRAM_HEADER, "")
    number = _number(headers.get(CALL_HEADER), CALL_HEADER, MAX_CALL_NUMBER)
    if program and number is None:
        raise _invalid(f"{CALL_HEADER} is needed with {PROGRAM_HEADER}")
    if program:
        require_program_id(program)
    left_ms = _number(
        headers.get(DEADLINE_HEADER), DEADLINE_HEADER, int(longest_ms)
    )
    return CallHeaders(
        program=program,
        number=number if program and number else 1,
        idempotent=_flag(headers.get(IDEMPOTENT_HEADER)),
        time_left_ms=longest_ms if left_ms is None else left_ms,
        expected_chain=headers.get(HISTORY_HEADER, ""),
    )


def read_completion(body: bytes) -> completion.CompletionRequest:
    """Checks a chat completion request.

    Raises:
        problems.CallerError: It is malformed.
    """
    try:
        return completion.parse_request(body)
    except completion.InvalidRequestError as error:
        raise _invalid(str(error)) from error


def read_new_program(body: bytes) -> NewProgram:
    """Checks a request to start a program.

    Raises:
        problems.CallerError: It is malformed.
    """
    try:
        fields = codec.from_json(body or b"{}", dict[str, Any])
    except errors.CodecError as error:
        raise _invalid(f"the body is no JSON object: {error}") from error
    _reject_unknown(fields, _PROGRAM_FIELDS, "the body")
    budget = _given(fields, "budget", {})
    if not isinstance(budget, dict):
        raise _invalid("budget: an object is needed")
    _reject_unknown(budget, set(_BUDGET_FIELDS), "budget")
    parent = _given(fields, "parent", "")
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
    """Checks that a program's id has the form of those that are issued.

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


def _given(fields: dict[str, Any], name: str, default: Any) -> Any:
    value = fields.get(name)
    return default if value is None else value


def _positive(fields: dict[str, Any], name: str, shown: str) -> float | None:
    value = fields.get(name)
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise _invalid(f"{shown}: a number is needed")
    if not 0 < value <= MAX_BUDGET:
        raise _invalid(f"{shown}: a number from 1 to {MAX_BUDGET} is needed")
    return float(value)


def _positive_whole(
    fields: dict[str, Any], name: str, shown: str
) -> int | None:
    value = _positive(fields, name, shown)
    if value is None:
        return None
    if not value.is_integer():
        raise _invalid(f"{shown}: a whole number is needed")
    return int(value)


def _number(text: str | None, name: str, largest: int) -> int | None:
    if text is None:
        return None
    if not text.isascii() or not text.isdigit() or len(text) > 12:
        raise _invalid(f"{name}: a whole number from 1 is needed")
    number = int(text)
    if number < 1:
        raise _invalid(f"{name}: a whole number from 1 is needed")
    return min(number, largest)


def _flag(text: str | None) -> bool | None:
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
