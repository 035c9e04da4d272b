"""Makes a call ready for endpoints: its prompt, its limits, its digest."""

import hashlib
from typing import Any

import attrs

from quetzalmill import completion
from quetzalmill import messages
from quetzalmill import programs


@attrs.frozen(kw_only=True)
class Prepared:
    """A call made ready for endpoints.

    Attributes:
        call: The call as the entry sent it.
        digest: Digest of the request.
        body: The body for the endpoint.
        new_messages: The new messages of a model call.
        prompt_tokens: An estimate of the whole prompt.
        answer_tokens: The most tokens that are reserved for the answer.
    """

    call: messages.Call
    digest: str
    body: bytes
    new_messages: list[Any]
    prompt_tokens: int
    answer_tokens: int


def prepare(
    family: programs.Family,
    program: programs.Program,
    call: messages.Call,
) -> Prepared:
    """Makes an admitted call ready.

    Raises:
        completion.InvalidRequestError: The body is no completion request.
    """
    digest = digest_of(call)
    if call.kind is messages.CallKind.SERVICE:
        return Prepared(
            call=call,
            digest=digest,
            body=call.body,
            new_messages=[],
            prompt_tokens=0,
            answer_tokens=0,
        )
    request = completion.parse_request(call.body)
    room = family.token_room(program)
    wanted = request.max_tokens
    if wanted is None:
        wanted = completion.DEFAULT_ANSWER_TOKENS
        if room is not None:
            wanted = max(1, min(wanted, room))
    prompt = program.prompt(request.messages)
    return Prepared(
        call=call,
        digest=digest,
        body=completion.prompt_body(request, prompt, wanted),
        new_messages=request.messages,
        prompt_tokens=completion.estimate_tokens(prompt),
        answer_tokens=wanted,
    )


def digest_of(call: messages.Call) -> str:
    """Returns the digest by which the same call sent again is known."""
    parts: list[Any] = [call.kind.value, call.target, call.method, call.path]
    text = "\0".join(parts).encode() + b"\0" + call.body
    return hashlib.sha256(text).hexdigest()[:32]
