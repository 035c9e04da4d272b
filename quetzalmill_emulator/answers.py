"""The deterministic answers of the engine emulator and its token counts.

A token is a word. Tests compute the expected answers with these functions.
"""

import hashlib
import json
from typing import Any

MESSAGE_OVERHEAD_TOKENS = 4
"""Tokens that each message adds to those of its words."""

DEFAULT_ANSWER_TOKENS = 32

_QUOTED_CHARACTERS = 40
_DIGEST_DIGITS = 12

Message = dict[str, Any]


def message_text(message: Message) -> str:
    """Returns the text of a message; the texts of content parts are joined."""
    content = message.get("content") or ""
    if isinstance(content, list):
        return " ".join(str(part.get("text", "")) for part in content)
    return str(content)


def message_tokens(message: Message) -> int:
    """Returns the number of tokens of a message in a prompt."""
    return len(message_text(message).split()) + MESSAGE_OVERHEAD_TOKENS


def prompt_tokens(messages: list[Message]) -> int:
    """Returns the number of tokens of a prompt."""
    return sum(message_tokens(message) for message in messages)


def digest(messages: list[Message]) -> str:
    """Returns the digest of a prompt, which its answer contains."""
    canonical = json.dumps(
        messages, sort_keys=True, separators=(",", ":"), ensure_ascii=False
    )
    return hashlib.sha256(canonical.encode()).hexdigest()[:_DIGEST_DIGITS]


def answer_words(messages: list[Message], answer_tokens: int) -> list[str]:
    """Returns the words of the answer to a prompt."""
    asked = [m for m in messages if m.get("role") == "user"]
    quoted = message_text(asked[-1])[:_QUOTED_CHARACTERS] if asked else ""
    start = (
        f'answer to "{quoted}" after {len(messages)} messages'
        f" digest {digest(messages)}"
    ).split()
    filler = [f"word{n}" for n in range(len(start) + 1, answer_tokens + 1)]
    return (start + filler)[:answer_tokens]


def answer_text(
    messages: list[Message], answer_tokens: int = DEFAULT_ANSWER_TOKENS
) -> str:
    """Returns the answer to a prompt."""
    return " ".join(answer_words(messages, answer_tokens))
