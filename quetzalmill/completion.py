"""Reads and builds chat completion requests, chunks and responses.

It checks the format of a request, joins a stream's chunks into one answer and
continues a broken stream with the answer of another attempt.
"""

from typing import Any

import attrs

from quetzalmill import codec
from quetzalmill import errors

DEFAULT_ANSWER_TOKENS = 1024
"""Tokens reserved for an answer if the request sets no maximum."""

MAX_ANSWER_TOKENS = 1 << 31
"""The largest ``max_tokens`` that a request may set."""

MAX_NESTING = 64
"""Levels of lists and objects in a request."""

_BYTES_PER_TOKEN = 4


class InvalidRequestError(errors.QuetzalmillError):
    """A chat completion request is malformed."""


class DivergedError(errors.QuetzalmillError):
    """Another attempt's answer does not continue what was forwarded before."""


@attrs.frozen(kw_only=True)
class CompletionRequest:
    """A checked chat completion request.

    Attributes:
        model: The model that the caller names.
        messages: The new messages.
        stream: Whether the answer is to be streamed.
        max_tokens: The longest answer, None if the caller sets no limit.
        fields: The complete request.
    """

    model: str
    messages: list[Any]
    stream: bool
    max_tokens: int | None
    fields: dict[str, Any]


def parse_request(body: bytes) -> CompletionRequest:
    """Returns a request that has been checked.

    Raises:
        InvalidRequestError: The body is not a chat completion request.
    """
    try:
        fields = codec.from_json(body, dict[str, Any])
    except errors.CodecError as error:
        raise InvalidRequestError(f"the body is no JSON object: {error}") from (
            error
        )
    # Deeper nesting may be decoded here and fail where it is encoded.
    if not _is_nesting_allowed(fields):
        raise InvalidRequestError(
            f"the body: at most {MAX_NESTING} levels of nesting are allowed"
        )
    model = fields.get("model")
    if not isinstance(model, str) or not model:
        raise InvalidRequestError("model: a non-empty string is needed")
    listed = fields.get("messages")
    if not isinstance(listed, list) or not listed:
        raise InvalidRequestError("messages: a non-empty list is needed")
    for index, message in enumerate(listed):
        if not isinstance(message, dict) or not isinstance(
            message.get("role"), str
        ):
            raise InvalidRequestError(
                f"messages[{index}]: an object with a role is needed"
            )
    return CompletionRequest(
        model=model,
        messages=listed,
        stream=_read_flag(fields, "stream"),
        max_tokens=_read_max_tokens(fields),
        fields=fields,
    )


def _is_nesting_allowed(fields: dict[str, Any]) -> bool:
    level: list[Any] = [fields]
    for _ in range(MAX_NESTING):
        level = [child for value in level for child in _children(value)]
        if not level:
            return True
    return False


def _children(value: Any) -> list[Any]:
    """Returns the lists and objects directly inside a list or an object."""
    inside = value.values() if isinstance(value, dict) else value
    return [each for each in inside if isinstance(each, dict | list)]


def prompt_body(
    request: CompletionRequest, prompt: list[Any], max_tokens: int
) -> bytes:
    """Returns the body for an engine: the full prompt, answer streamed."""
    fields = dict(request.fields)
    fields["messages"] = prompt
    fields["stream"] = True
    fields["max_tokens"] = max_tokens
    fields["stream_options"] = {"include_usage": True}
    return codec.to_json(fields)


def estimate_tokens(messages: list[Any]) -> int:
    """Returns a rough estimate of the tokens of messages."""
    return len(codec.to_json(messages)) // _BYTES_PER_TOKEN + 1


class Assembly:
    """Joins the chunks of one call's attempts into its answer."""

    def __init__(self) -> None:
        self.text = ""
        self.tokens = 0
        self.usage: dict[str, Any] = {}
        self._finish_reason: str | None = None
        self._tool_calls: dict[int, dict[str, Any]] = {}
        self._first_chunk: dict[str, Any] = {}
        self._to_repeat = ""
        self._finish_forwarded = False

    def restart(self) -> None:
        """Expects another attempt to repeat what was forwarded so far.

        Raises:
            DivergedError: Tool calls were forwarded; they cannot be matched.
        """
        if self._tool_calls:
            raise DivergedError("tool calls were passed on already")
        self._finish_forwarded = self._finish_reason is not None
        self._finish_reason = None
        self._to_repeat = self.text
        self.text = ""
        self.tokens = 0

    def require_complete(self) -> None:
        """Checks at the end of an attempt that it repeated everything.

        Raises:
            DivergedError: Its answer is shorter than what was forwarded.
        """
        if self._to_repeat:
            raise DivergedError("the attempt's answer is shorter")

    def prompt_tokens(self) -> tuple[int, int]:
        """Returns the prompt's tokens and the cached ones; 0 if unknown."""
        details = self.usage.get("prompt_tokens_details")
        cached = (
            details.get("cached_tokens") if isinstance(details, dict) else 0
        )
        prompt = self.usage.get("prompt_tokens")
        return (
            prompt if isinstance(prompt, int) else 0,
            cached if isinstance(cached, int) else 0,
        )

    def add(self, chunk: bytes) -> bytes | None:
        """Adds a chunk and returns what is to be forwarded, if anything.

        Raises:
            DivergedError: The chunk differs from what was forwarded.
            errors.CodecError: The chunk is malformed.
        """
        try:
            return self._add(chunk)
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            raise errors.CodecError(f"malformed chunk: {error!r}") from error

    def _add(self, chunk: bytes) -> bytes | None:
        fields = codec.from_json(chunk, dict[str, Any])
        self._first_chunk = self._first_chunk or fields
        if isinstance(fields.get("usage"), dict):
            self.usage = fields["usage"]
        choices = fields.get("choices") or []
        if not choices:
            return None
        choice = choices[0]
        delta = choice.get("delta") or {}
        self._finish_reason = choice.get("finish_reason") or self._finish_reason
        self._add_tool_calls(delta.get("tool_calls") or [])
        content = delta.get("content") or ""
        self.text += content
        self.tokens += 1 if content else 0
        if self._to_repeat and content:
            return self._skip_repeated(fields, content)
        if self._to_repeat or (self._finish_forwarded and not content):
            return None
        return chunk

    def message(self) -> dict[str, Any]:
        """Returns the assistant's message."""
        message: dict[str, Any] = {"role": "assistant", "content": self.text}
        if self._tool_calls:
            message["tool_calls"] = [
                self._tool_calls[index] for index in sorted(self._tool_calls)
            ]
        return message

    def used_tokens(self) -> int:
        """Returns the generated tokens, as reported or else as counted."""
        reported = self.usage.get("completion_tokens")
        return reported if isinstance(reported, int) else self.tokens

    def body(self, program: str) -> str:
        """Returns the complete answer as a response without streaming."""
        answer = {
            "id": self._first_chunk.get("id", ""),
            "object": "chat.completion",
            "created": self._first_chunk.get("created", 0),
            "model": self._first_chunk.get("model", ""),
            "choices": [
                {
                    "index": 0,
                    "message": self.message(),
                    "finish_reason": self._finish_reason or "stop",
                }
            ],
            "usage": self.usage,
        }
        return codec.to_json(answer).decode()

    def _skip_repeated(
        self, fields: dict[str, Any], content: str
    ) -> bytes | None:
        """Returns a chunk without the text that was forwarded before."""
        expected = self._to_repeat
        if len(content) <= len(expected):
            if not expected.startswith(content):
                raise DivergedError("the attempts' answers differ")
            self._to_repeat = expected[len(content) :]
            if self._to_repeat or self._finish_forwarded:
                return None
            if self._finish_reason is None:
                return None
            fields["choices"][0]["delta"] = {}
            return codec.to_json(fields)
        if not content.startswith(expected):
            raise DivergedError("the attempts' answers differ")
        self._to_repeat = ""
        fields["choices"][0]["delta"]["content"] = content[len(expected) :]
        return codec.to_json(fields)

    def _add_tool_calls(self, deltas: list[dict[str, Any]]) -> None:
        for delta in deltas:
            index = int(delta.get("index", 0))
            known = self._tool_calls.setdefault(
                index,
                {
                    "id": delta.get("id", ""),
                    "type": "function",
                    "function": {"name": "", "arguments": ""},
                },
            )
            function = delta.get("function") or {}
            known["function"]["name"] += function.get("name") or ""
            known["function"]["arguments"] += function.get("arguments") or ""


def replay_chunk(body: str) -> bytes:
    """Returns a complete answer as the only chunk of a stream."""
    answer = codec.from_json(body.encode(), dict[str, Any])
    choice = answer["choices"][0]
    chunk = {
        "id": answer.get("id", ""),
        "object": "chat.completion.chunk",
        "created": answer.get("created", 0),
        "model": answer.get("model", ""),
        "choices": [
            {
                "index": 0,
                "delta": choice["message"],
                "finish_reason": choice["finish_reason"],
            }
        ],
    }
    return codec.to_json(chunk)


def _read_flag(fields: dict[str, Any], name: str) -> bool:
    value = fields.get(name, False)
    if not isinstance(value, bool):
        raise InvalidRequestError(f"{name}: true or false is needed")
    return value


def _read_max_tokens(fields: dict[str, Any]) -> int | None:
    value = fields.get("max_tokens", fields.get("max_completion_tokens"))
    if value is None:
        return None
    if not isinstance(value, int) or isinstance(value, bool) or value < 1:
        raise InvalidRequestError("max_tokens: a positive number is needed")
    if value > MAX_ANSWER_TOKENS:
        raise InvalidRequestError(
            f"max_tokens: at most {MAX_ANSWER_TOKENS} is allowed"
        )
    return value
