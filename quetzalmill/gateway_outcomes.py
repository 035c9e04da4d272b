"""The outcomes of a request at a gateway, and responses that report them."""

import json

import attrs

from quetzalmill import team_buckets


@attrs.frozen(kw_only=True)
class Refused:
    """The request has not run and will not.

    Attributes:
        status: The HTTP status.
        reason: Why, for the caller and the log.
        retry_after_ms: The time until a retry; None if unspecified.
    """

    status: int
    reason: str
    retry_after_ms: float | None = None


@attrs.frozen(kw_only=True)
class Answered:
    """An endpoint's complete response.

    Attributes:
        status: The HTTP status.
        headers: The headers for the caller.
        body: The complete body.
    """

    status: int
    headers: dict[str, str]
    body: bytes = attrs.field(repr=False)


@attrs.frozen(kw_only=True)
class Streamed:
    """An endpoint's response was relayed to the caller as it arrived.

    Attributes:
        status: The HTTP status.
        complete: Whether it was relayed to its end.
        events: The number of events relayed.
        outputs: The data of each event; empty unless the stream is a turn that
            is stored.
    """

    status: int
    complete: bool
    events: int
    outputs: tuple[bytes, ...] = attrs.field(repr=False)


@attrs.frozen(kw_only=True)
class Unknown:
    """The request may have run, but there is no response.

    Attributes:
        status: 502 if the response was lost, 504 if it timed out.
        reason: Why, for the caller and the log.
    """

    status: int
    reason: str


@attrs.frozen(kw_only=True)
class CallerLeft:
    """The caller disconnected before the response."""


Outcome = Refused | Answered | Streamed | Unknown | CallerLeft

SHUT_DOWN = Refused(
    status=503, reason="the gateway shuts down", retry_after_ms=0.0
)
"""Other gateways take the request at once."""

TOO_LARGE_TO_STORE = Refused(
    status=413, reason="the turn is larger than the store's records"
)
"""It could run, but not be kept, and so not end whole."""

NO_MEMORY = Refused(
    status=503, reason="memory is short", retry_after_ms=1_000.0
)
"""Its conversation does not fit into the memory that is free."""


def refuse_over_rate(admission: team_buckets.Admission) -> Refused | None:
    """Returns the refusal of a request over its team's rate, or None."""
    if admission.admitted:
        return None
    return Refused(
        status=429,
        reason=f"the team's rate is used up, level {admission.level:.1f}",
        retry_after_ms=admission.retry_after_ms,
    )


def problem_body(reason: str, ran: str) -> bytes:
    """Returns the body of a response that the gateway itself generates."""
    return json.dumps({"message": reason, "ran": ran}).encode()


def retry_after(retry_after_ms: float) -> str:
    """Returns the value of a Retry-After header, in seconds."""
    return f"{max(0.0, retry_after_ms) / 1000.0:.3f}"


def describe(outcome: Outcome) -> tuple[str, str]:
    """Returns the kind and the details of an outcome, for the log."""
    match outcome:
        case Refused():
            return "refused", f"{outcome.status}: {outcome.reason}"
        case Unknown():
            return "unknown", f"{outcome.status}: {outcome.reason}"
        case Answered():
            return "answered", str(outcome.status)
        case Streamed(complete=True):
            return "streamed", f"{outcome.events} events"
        case Streamed():
            return "broke_off", f"after {outcome.events} events"
        case _:
            return "caller_left", ""
