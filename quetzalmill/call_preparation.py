"""Prepares a call for an endpoint: its prompt, its limits, its digest."""

import hashlib
from typing import Any

import attrs

from quetzalmill import completion
from quetzalmill import messages
from quetzalmill import programs


@attrs.frozen(kw_only=True)
class Prepared:
    """A call prepared for an endpoint.

    Attributes:
        call: The call as the entry sent it.
        digest: The digest of the request.
        body: The body for the endpoint.
        new_messages: The new messages of a model call.
        prompt_tokens: Estimated tokens of the full prompt.
        answer_tokens: Tokens reserved for the answer, its maximum.
    """

    call: messages.Call
    digest: str
    body: bytes
    new_messages: list[Any]
    prompt_tokens: int
    answer_tokens: int


def prepare(
    tree: programs.ProgramTree,
    program: programs.Program,
    call: messages.Call,
) -> Prepared:
    """Returns a call prepared for an endpoint.

    Raises:
        completion.InvalidRequestError: The body is not a completion request.
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
    remaining = tree.remaining_tokens(program)
    answer_tokens = request.max_tokens
    if answer_tokens is None:
        answer_tokens = completion.DEFAULT_ANSWER_TOKENS
        if remaining is not None:
            answer_tokens = max(1, min(answer_tokens, remaining))
    prompt = program.prompt(request.messages)
    return Prepared(
        call=call,
        digest=digest,
        body=completion.prompt_body(request, prompt, answer_tokens),
        new_messages=request.messages,
        prompt_tokens=completion.estimate_tokens(prompt),
        answer_tokens=answer_tokens,
    )


def digest_of(call: messages.Call) -> str:
    """Returns the digest that identifies a repeated call."""
    parts: list[Any] = [call.kind.value, call.target, call.method, call.path]
    text = "\0".join(parts).encode() + b"\0" + call.body
    return hashlib.sha256(text).hexdigest()[:32]
