"""Calls as gateways see them, whatever names they have on the wire."""

from typing import Protocol

import attrs

from quetzalmill import http_message


@attrs.frozen
class PromptPart:
    """A part of a prompt that endpoints cache as a whole."""

    part_id: str
    tokens: int


@attrs.frozen(kw_only=True)
class Call:
    """A caller's request.

    Attributes:
        request_id: Names this attempt of the caller.
        host: The host that it names.
        key: The key that came with it; empty without one.
        deadline_ms: How long the caller waits from its arrival; None if it
            does not say.
        program_id: The agent program; empty outside of one.
        program_left_ms: When the program should end; None if not said.
        budget_tokens: What the program's turns may generate; None if not said.
        previous_turn_id: The turn that it continues; empty at a start.
        prompt_parts: The parts of its prompt, in order.
        prompt_tokens: The tokens of its prompt.
        most_tokens: The most tokens that it generates.
        http: The request as it came.
    """

    request_id: str
    host: str
    key: str = attrs.field(repr=False)
    deadline_ms: float | None
    program_id: str
    program_left_ms: float | None
    budget_tokens: int | None
    previous_turn_id: str
    prompt_parts: tuple[PromptPart, ...]
    prompt_tokens: int
    most_tokens: int
    http: http_message.Request = attrs.field(repr=False)


@attrs.frozen(kw_only=True)
class Send:
    """What an endpoint is told besides the caller's own request.

    Attributes:
        endpoint_id: The endpoint that alone may run it.
        team: The team that it runs for; empty on a public route.
        left_ms: The time that is left for it.
        priority: Its rank at the endpoint, 0 first; None for the usual one.
        body: The body.
        after_event_id: The event after which a stream goes on; empty to begin
            as the caller asked.
    """

    endpoint_id: str
    team: str
    left_ms: float
    priority: int | None
    body: bytes = attrs.field(repr=False)
    after_event_id: str = ""


@attrs.frozen(kw_only=True)
class Load:
    """What an endpoint says of its load."""

    running: int
    waiting: int
    slots: int


@attrs.frozen(kw_only=True)
class Reply:
    """The head of an endpoint's answer.

    Attributes:
        status: The HTTP status.
        headers: The headers that go to the caller.
        is_own: Whether it answers the request that was sent.
        is_genuine: Whether it bears the endpoint's proof of its answer.
        not_run: Whether the endpoint says that it did not run the request.
        load: What it says of its load, or None.
        is_leaving: Whether the endpoint that was asked says that it leaves.
    """

    status: int
    headers: dict[str, str]
    is_own: bool
    is_genuine: bool
    not_run: bool
    load: Load | None
    is_leaving: bool


class Dialect(Protocol):
    """Translates between HTTP as it is spoken and the types here."""

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
        """Decodes the head of an endpoint's answer, or one before it.

        Args:
            call: The request that was sent.
            endpoint_id: The endpoint that it was sent to.
            status: The HTTP status; below 200 for an interim head.
            headers: The headers.
        """
