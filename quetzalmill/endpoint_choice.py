"""Chooses the endpoint for a request by the time that it would take there.

The estimates are in milliseconds and need only rank endpoints rightly. They
answer these load patterns: an even load, where the conversation's cache
decides; a hot endpoint, where the wait there outweighs reading the prompt
anew; a wave of equal requests from several gateways, which the requests that
peers run keep apart; an endpoint that fails or delays a part of its requests
while others do not; several gateways with news about as old as a request
lasts, which would all choose the endpoint that seemed least loaded, and fill
it, so each request looks at a few only.
"""

import random

import attrs

from quetzalmill import endpoint_pool
from quetzalmill import gateway_calls

PREFILL_TOKENS_PER_MS = 70.0
"""How fast an engine reads a prompt; the order of today's engines."""

FULL_BATCH_MS = 120.0
"""How much longer a turn takes in a full batch than alone."""

QUEUE_MS = 300.0
"""How long a request waits behind a whole batch of others."""

PLAIN_FULL_MS = 60.0
"""How much a nearly full plain endpoint is slower than an idle one."""

CROSS_DOMAIN_MS = 9.0
"""The way to another failure domain and back."""

FAILURE_MS = 40.0
"""What each recent failure in a row counts."""

COLD_MS = 100.0
"""What an endpoint counts that has just started and is still slow."""

LOOKED_AT = 2
"""Endpoints at random that a request is placed among. Looking at more makes
gateways with the same old news choose alike; with one, an endpoint that fails
or is slow would get as much as others."""

_JITTER = 0.05
_REMEMBERED_PARTS = 20_000


class PrefixMemory:
    """Remembers which endpoints have read which parts of prompts."""

    def __init__(self, most_parts: int = _REMEMBERED_PARTS) -> None:
        self._most_parts = most_parts
        self._read: dict[tuple[str, str], None] = {}

    def note(
        self, endpoint_id: str, parts: tuple[gateway_calls.PromptPart, ...]
    ) -> None:
        """Records that an endpoint has read the parts of a prompt."""
        for part in parts:
            key = (endpoint_id, part.part_id)
            self._read.pop(key, None)
            self._read[key] = None
        while len(self._read) > self._most_parts:
            del self._read[next(iter(self._read))]

    def unread_tokens(
        self, endpoint_id: str, parts: tuple[gateway_calls.PromptPart, ...]
    ) -> int:
        """Returns the tokens that an endpoint would have to read anew.

        A part counts as read only if all parts before it are.
        """
        for number, part in enumerate(parts):
            if (endpoint_id, part.part_id) not in self._read:
                return sum(each.tokens for each in parts[number:])
        return 0


def look_at(unread: dict[str, int], random_source: random.Random) -> set[str]:
    """Returns the endpoints among which a request is placed.

    One that has read most of the prompt is always among them.

    Args:
        unread: The prompt tokens that each endpoint has not read, by id.
        random_source: Chooses the endpoints.
    """
    if len(unread) <= LOOKED_AT:
        return set(unread)
    least = min(unread.values())
    best = [each for each, tokens in unread.items() if tokens == least]
    chosen = set(random_source.sample(list(unread), LOOKED_AT))
    if len(best) < len(unread):
        chosen.add(random_source.choice(best))
    return chosen


@attrs.frozen(kw_only=True)
class Estimate:
    """An endpoint and what a request would take there beyond its own work.

    Attributes:
        condition: The endpoint.
        extra_ms: What it would take.
        unread_tokens: Prompt tokens that the endpoint has not read.
    """

    condition: endpoint_pool.Condition
    extra_ms: float
    unread_tokens: int


def estimate(
    condition: endpoint_pool.Condition,
    *,
    unread_tokens: int,
    failure_domain: str,
    is_engine: bool,
    now_ms: float,
    usual_ms: float = 0.0,
    load: float | None = None,
) -> Estimate:
    """Returns what a request would take at one endpoint.

    Args:
        condition: The endpoint.
        unread_tokens: Prompt tokens that it would have to read.
        failure_domain: Where the gateway stands.
        is_engine: Whether it is an engine.
        now_ms: The current time.
        usual_ms: How long such requests take over all endpoints.
        load: The requests there; what is known last if left out.
    """
    slots = max(1, condition.endpoint.slots)
    if load is None:
        load = condition.load(now_ms)
    full_ms = FULL_BATCH_MS if is_engine else PLAIN_FULL_MS
    extra_ms = full_ms * min(load, slots) / slots
    if load >= slots:
        extra_ms += QUEUE_MS * (load - slots + 1) / slots
    # All requests in a batch wait while a prompt is read.
    delayed = 1 + min(load, slots)
    extra_ms += unread_tokens / PREFILL_TOKENS_PER_MS * delayed
    if condition.endpoint.failure_domain != failure_domain:
        extra_ms += CROSS_DOMAIN_MS
    extra_ms += FAILURE_MS * condition.failures
    extra_ms += condition.failure_cost_ms(now_ms)
    extra_ms += usual_ms * (condition.health.slowness(now_ms) - 1.0)
    if condition.cold_until_ms > now_ms:
        extra_ms += COLD_MS
    return Estimate(
        condition=condition, extra_ms=extra_ms, unread_tokens=unread_tokens
    )


def choose(
    estimates: list[Estimate], random_source: random.Random
) -> Estimate | None:
    """Returns the best estimate; near-equal ones win by chance."""
    if not estimates:
        return None
    return min(
        estimates,
        key=lambda each: (
            each.extra_ms * random_source.uniform(1.0 - _JITTER, 1.0 + _JITTER)
            + random_source.random()
        ),
    )
