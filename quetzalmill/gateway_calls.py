"""Calls as gateways see them, independent of their names on the wire."""

import enum
from typing import Protocol

import attrs

from quetzalmill import http_message


@attrs.frozen
class PromptPart:
    """A part of a prompt that endpoints cache as one unit."""

    part_id: str
    tokens: int


@attrs.frozen(kw_only=True)
class Call:
    """A caller's request.

    Attributes:
        request_id: Identifies this attempt of the caller.
        host: The host that it is addressed to.
        key: Its API key; empty without one.
        deadline_ms: How long the caller waits from its arrival; None if
            unspecified.
        program_id: The agent program; empty outside of one.
        program_remaining_ms: The time until the program's deadline; None if
            unspecified.
        budget_tokens: The tokens that the program's turns may generate; None if
            unspecified.
        previous_turn_id: The turn that it continues; empty for a first turn.
        prompt_parts: The parts of its prompt, in order.
        prompt_tokens: The number of tokens in its prompt.
        most_tokens: The maximum number of tokens that it generates.
        http: The original HTTP request.
        object_key: The object that it is about, as a short name; empty if
            unknown.
    """

    request_id: str
    host: str
    key: str = attrs.field(repr=False)
    deadline_ms: float | None
    program_id: str
    program_remaining_ms: float | None
    budget_tokens: int | None
    previous_turn_id: str
    prompt_parts: tuple[PromptPart, ...]
    prompt_tokens: int
    most_tokens: int
    http: http_message.Request = attrs.field(repr=False)
    object_key: str = ""


@attrs.frozen(kw_only=True)
class Send:
    """What is sent to an endpoint in addition to the caller's request.

    Attributes:
        endpoint_id: The only endpoint that may run it.
        team: The team that it runs for; empty on a public route.
        remaining_ms: The time until its deadline.
        priority: Its priority at the endpoint, 0 first; None for the default.
        body: The body.
        after_event_id: The event after which a stream resumes; empty to start
            as the caller requested.
    """

    endpoint_id: str
    team: str
    remaining_ms: float
    priority: int | None
    body: bytes = attrs.field(repr=False)
    after_event_id: str = ""


@attrs.frozen(kw_only=True)
class Load:
    """The load that an endpoint reports.

    Attributes:
        running: Requests that it runs.
        waiting: Requests that wait there.
        slots: Requests that it runs concurrently.
        slowness_percent: How long work takes on its host now, where 100 is
            normal; None if it does not report that.
    """

    running: int
    waiting: int
    slots: int
    slowness_percent: int | None = None


class Correlation(enum.Enum):
    """Whose request a response answers, by the request id that it names."""

    OWN = "own"
    UNNAMED = "unnamed"
    FOREIGN = "foreign"


@attrs.frozen(kw_only=True)
class Reply:
    """The head of an endpoint's response, before any of it is believed.

    Attributes:
        status: The HTTP status.
        headers: The headers for the caller.
        correlation: Whether it names the request that was sent.
        is_genuine: Whether it carries the endpoint's signature.
        not_run: Whether it states that its request was not run.
        load: The load that it reports, or None.
        is_draining: Whether the addressed endpoint states that it is draining.
        cold_ms: How long the addressed endpoint states that it stays cold; 0
            if it states nothing.
    """

    status: int
    headers: dict[str, str]
    correlation: Correlation
    is_genuine: bool
    not_run: bool
    load: Load | None
    is_draining: bool
    cold_ms: float = 0.0


class Dialect(Protocol):
    """Translates between a platform's HTTP headers and the types here."""

    def decode_call(self, request: http_message.Request) -> Call:
        """Decodes a caller's request.

        Raises:
            errors.BadMessageError: A header is malformed.
        """

    def encode_send(self, call: Call, send: Send) -> http_message.Request:
        """Returns the request to send to an endpoint."""

    def decode_reply(
        self,
        call: Call,
        endpoint_id: str,
        status: int,
        headers: dict[str, str],
    ) -> Reply:
        """Decodes the head of an endpoint's response, final or interim.

        Args:
            call: The request that was sent.
            endpoint_id: The endpoint that it was sent to.
            status: The HTTP status; below 200 for an interim head.
            headers: The headers.
        """
