"""The engine emulator's KV cache: one prompt prefix per session."""

from collections.abc import Callable
import hashlib
import json

import attrs

from quetzalmill_emulator import answers

OnEvent = Callable[[str, str, int], None]
"""Called with the name of an event, the session and its tokens."""


@attrs.frozen
class Block:
    """One message whose tokens are in the cache.

    Attributes:
        digest: The digest of the message and all messages before it.
        tokens: The number of tokens of the message.
    """

    digest: str
    tokens: int


def blocks_of(messages: list[answers.Message]) -> list[Block]:
    """Returns the blocks of a prompt."""
    blocks: list[Block] = []
    digest = ""
    for message in messages:
        role = message.get("role", "")
        text = json.dumps([digest, role, answers.message_text(message)])
        digest = hashlib.sha256(text.encode()).hexdigest()[:16]
        blocks.append(Block(digest, answers.message_tokens(message)))
    return blocks


def tokens_of(blocks: list[Block]) -> int:
    """Returns the total number of tokens of the blocks."""
    return sum(block.tokens for block in blocks)


@attrs.define
class _Session:
    blocks: list[Block]
    users: int = 0

    def tokens(self) -> int:
        return tokens_of(self.blocks)


class KvCache:
    """Holds the prefixes of sessions and the reservations of running requests.

    Args:
        memory_tokens: The capacity in tokens.
        on_event: Called for each change.
    """

    def __init__(self, memory_tokens: int, on_event: OnEvent) -> None:
        self._memory_tokens = memory_tokens
        self._on_event = on_event
        # Ordered by last use, least recently used first.
        self._sessions: dict[str, _Session] = {}
        self._reserved_tokens = 0

    def sessions(self) -> dict[str, int]:
        """Returns the number of cached tokens of each session."""
        return {name: s.tokens() for name, s in self._sessions.items()}

    def cached_tokens(self) -> int:
        """Returns the number of cached tokens of all sessions."""
        return sum(s.tokens() for s in self._sessions.values())

    def acquire(
        self, session: str, blocks: list[Block], answer_tokens: int
    ) -> int | None:
        """Reserves memory for a request and marks its session as in use.

        Returns:
            The number of cached tokens of the prompt, or None when there is
            not enough memory.
        """
        held = self._sessions.get(session) if session else None
        matched = _common_prefix(held.blocks, blocks) if held else []
        cached = tokens_of(matched)
        needed = tokens_of(blocks) + answer_tokens - cached
        if held is not None:
            held.blocks = matched
            held.users += 1
        if not self._evict_until_fits(needed):
            if held is not None:
                held.users -= 1
            return None
        if session and held is None:
            held = self._sessions[session] = _Session([], users=1)
        if held is not None:
            self._mark_most_recent(session)
        self._reserved_tokens += needed
        return cached

    def finish(
        self, session: str, blocks: list[Block], reserved_tokens: int
    ) -> None:
        """Releases a reservation and caches the new prefix of the session."""
        self._reserved_tokens -= reserved_tokens
        held = self._sessions.get(session)
        if held is None:
            return
        held.users -= 1
        if len(blocks) >= len(held.blocks):
            held.blocks = blocks
        if not held.blocks and not held.users:
            del self._sessions[session]
            return
        self._mark_most_recent(session)
        self._on_event("stored", session, held.tokens())

    def release(self, session: str) -> bool | None:
        """Frees a session.

        Returns:
            True when it was freed, None when it is in use, False when it is
            unknown.
        """
        held = self._sessions.get(session)
        if held is None:
            return False
        if held.users:
            return None
        del self._sessions[session]
        self._on_event("released", session, held.tokens())
        return True

    def export(self, session: str) -> list[Block] | None:
        """Returns a session's blocks, or None when it is unknown."""
        held = self._sessions.get(session)
        return None if held is None else list(held.blocks)

    def put(self, session: str, blocks: list[Block]) -> bool:
        """Stores the blocks of a session that another engine exported."""
        held = self._sessions.get(session)
        if held is not None and held.users:
            return False
        if held is not None:
            del self._sessions[session]
        if not self._evict_until_fits(tokens_of(blocks)):
            return False
        self._sessions[session] = _Session(blocks)
        self._on_event("stored", session, tokens_of(blocks))
        return True

    def _mark_most_recent(self, session: str) -> None:
        self._sessions[session] = self._sessions.pop(session)

    def _evict_until_fits(self, tokens: int) -> bool:
        """Evicts idle sessions, oldest use first, until ``tokens`` fit."""
        idle = [n for n, s in self._sessions.items() if not s.users]
        while self._free_tokens() < tokens and idle:
            session = idle.pop(0)
            held = self._sessions.pop(session)
            self._on_event("evicted", session, held.tokens())
        return self._free_tokens() >= tokens

    def _free_tokens(self) -> int:
        used = self.cached_tokens() + self._reserved_tokens
        return self._memory_tokens - used


def _common_prefix(left: list[Block], right: list[Block]) -> list[Block]:
    length = 0
    for one, other in zip(left, right, strict=False):
        if one != other:
            break
        length += 1
    return left[:length]
