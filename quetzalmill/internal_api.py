"""The HTTP paths and error bodies between the project's own processes."""

from typing import Any

import attrs

from quetzalmill import messages

CALLS_PATH = "/internal/v1/calls"
"""Where a home accepts calls of its programs."""

RAN_PATH = CALLS_PATH + "/ran"
"""Where a home reports whether a call may have run."""

EXECUTIONS_PATH = "/internal/v1/executions"
"""Where a sidecar accepts executions for its endpoints."""

PROGRAMS_PATH = "/internal/v1/programs"
"""Where a home starts, describes and ends programs."""

TAKE_OVER = "take_over"
"""Query field that asks a sidecar to take a program over."""

MAX_ANSWER_BYTES = 32 * 1024 * 1024
"""The largest answer that one process reads from another."""


@attrs.frozen(kw_only=True)
class RanReply:
    """Whether a call may have run, in the local view of its program's home."""

    ran: messages.Ran


@attrs.frozen(kw_only=True)
class Problem:
    """The body of a refusal between processes.

    Attributes:
        code: A short error code; ``moved`` when another process is the home.
        message: One sentence.
        retry_after_ms: When to retry, None if a retry does not help.
        host: The host of the program's home, if that is another process.
        instance: The instance of that home.
        details: Further fields for the caller.
        ran: Whether the call may have run, by this or an earlier request.
    """

    code: str
    message: str
    retry_after_ms: float | None = None
    host: str = ""
    instance: str = ""
    details: dict[str, Any] = attrs.field(factory=dict)
    ran: messages.Ran = messages.Ran.NO
