"""The HTTP paths and refusals between the project's own processes."""

from typing import Any

import attrs

from quetzalmill import messages

CALLS_PATH = "/internal/v1/calls"
"""Where a home takes calls of its programs."""

RAN_PATH = CALLS_PATH + "/ran"
"""Where a home tells whether a call may have run."""

EXECUTIONS_PATH = "/internal/v1/executions"
"""Where a sidecar takes attempts at its endpoints."""

PROGRAMS_PATH = "/internal/v1/programs"
"""Where a home starts, shows and ends programs."""

TAKE_OVER = "take_over"
"""Query field that asks a sidecar to take a program over."""

MAX_ANSWER_BYTES = 32 * 1024 * 1024
"""The largest answer that one process reads from another."""


@attrs.frozen(kw_only=True)
class RanReply:
    """Whether a call may have run, as far as its program's home knows."""

    ran: messages.Ran


@attrs.frozen(kw_only=True)
class Problem:
    """The body of a refusal between processes.

    Attributes:
        code: A short error code; ``moved`` when another process is the home.
        message: One sentence.
        retry_after_ms: When to come back, None if that does not help.
        host: The program's home, when another process is.
        instance: That process.
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
