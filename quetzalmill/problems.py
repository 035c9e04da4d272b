"""The errors that callers receive, and their encoding.

Each has a status, a short code, one sentence, whether the request ran, and
when to retry where that can help.
"""

import math
from typing import Any

import attrs

from quetzalmill import codec
from quetzalmill import errors
from quetzalmill import messages


class CallerError(errors.QuetzalmillError):
    """A request that ends with an error for its caller.

    Attributes:
        status: The HTTP status.
        code: A short error code.
        ran: Whether the request ran.
        retry_after_ms: When to retry, None if a retry does not help.
        details: Further fields of the body.
    """

    def __init__(
        self,
        status: int,
        code: str,
        message: str,
        *,
        ran: messages.Ran = messages.Ran.NO,
        retry_after_ms: float | None = None,
        details: dict[str, Any] | None = None,
    ) -> None:
        super().__init__(message)
        self.status = status
        self.code = code
        self.ran = ran
        self.retry_after_ms = retry_after_ms
        self.details = details or {}


@attrs.frozen(kw_only=True)
class CallerProblem:
    """The JSON body of an error."""

    code: str
    message: str
    ran: str
    retry_after_ms: int | None = None
    details: dict[str, Any] = attrs.field(factory=dict)


def problem_of(error: CallerError) -> CallerProblem:
    """Returns the body for an error."""
    retry_after_ms = error.retry_after_ms
    return CallerProblem(
        code=error.code,
        message=str(error),
        ran=error.ran.value,
        retry_after_ms=None
        if retry_after_ms is None
        else math.ceil(retry_after_ms),
        details=error.details,
    )


def body_of(error: CallerError) -> bytes:
    """Returns the JSON body for an error.

    Message and code are repeated under ``error``, where common clients of
    chat completions look for them.
    """
    plain = codec.to_plain(problem_of(error))
    client_error = {
        "message": str(error),
        "type": error.code,
        "code": error.code,
    }
    return codec.to_json({**plain, "error": client_error})


def headers_of(error: CallerError) -> dict[str, str]:
    """Returns the response headers for an error."""
    if error.retry_after_ms is None:
        return {}
    return {"retry-after": str(max(1, math.ceil(error.retry_after_ms / 1000)))}


def from_frame(frame: messages.Frame) -> CallerError:
    """Returns the error that a failed frame reports."""
    return CallerError(
        frame.status,
        frame.code,
        frame.message,
        ran=frame.ran,
        retry_after_ms=frame.retry_after_ms,
        details=frame.details,
    )
