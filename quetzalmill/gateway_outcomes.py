"""How a request ends at a gateway, and the answers that tell it."""

import json

import attrs


@attrs.frozen(kw_only=True)
class Refused:
    """The request has not run and never will.

    Attributes:
        status: The HTTP status.
        reason: Why, for the caller and the log.
        retry_after_ms: When to come back; None to leave it open.
    """

    status: int
    reason: str
    retry_after_ms: float | None = None


@attrs.frozen(kw_only=True)
class Answered:
    """An endpoint's whole answer.

    Attributes:
        status: The HTTP status.
        headers: The headers that go to the caller.
        body: The whole body.
    """

    status: int
    headers: dict[str, str]
    body: bytes = attrs.field(repr=False)


@attrs.frozen(kw_only=True)
class Streamed:
    """An endpoint's answer went to the caller as it arrived.

    Attributes:
        status: The HTTP status.
        complete: Whether the endpoint ended it.
        events: Events that were passed on.
        outputs: The data of each event.
    """

    status: int
    complete: bool
    events: int
    outputs: tuple[bytes, ...] = attrs.field(repr=False)


@attrs.frozen(kw_only=True)
class Unknown:
    """The request may have run, and no answer can be given.

    Attributes:
        status: 502 when the answer was lost, 504 when time ran out.
        reason: Why, for the caller and the log.
    """

    status: int
    reason: str


@attrs.frozen(kw_only=True)
class CallerLeft:
    """The caller has gone before the answer."""


Outcome = Refused | Answered | Streamed | Unknown | CallerLeft


def problem_body(reason: str, ran: str) -> bytes:
    """Returns the body of an answer of the gateway's own."""
    return json.dumps({"message": reason, "ran": ran}).encode()


def retry_after(retry_after_ms: float) -> str:
    """Returns a time as the header for it holds it, in seconds."""
    return f"{max(0.0, retry_after_ms) / 1000.0:.3f}"


def describe(outcome: Outcome) -> tuple[str, str]:
    """Returns the kind of an outcome and what it says, for the log."""
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
