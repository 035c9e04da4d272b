"""Chooses the endpoint with the lowest estimated latency for a request.

Estimates are in milliseconds; only their order matters. They cover these load
patterns:

- Even load: the endpoint that has the conversation's prompt cached wins.
- A hot endpoint: waiting there outweighs computing the prompt again elsewhere.
- A wave of equal requests from several gateways: counting the requests of peer
  gateways spreads it.
- An endpoint that fails or delays some of its requests while others do not.
- Engines of different speeds, and hosts that are slowed for a time.
- Several gateways whose load reports are about as old as a request lasts: all
  would choose, and overload, the endpoint that seemed least loaded. Each
  request therefore considers only a few endpoints.
- Bytes that fill the links between failure domains: a request stays in its
  gateway's own domain unless another one is better by more than a margin, or
  only the other one has a free slot.
"""

from collections.abc import Collection
import random

import attrs

from quetzalmill import crossing_cost
from quetzalmill import endpoint_record
from quetzalmill import endpoint_speeds
from quetzalmill import gateway_calls

QUEUE_MS = 300.0
"""How long a request waits behind one full batch at an average endpoint."""

PLAIN_FULL_MS = 60.0
"""How much slower a nearly full endpoint other than an engine is than an idle
one."""

FAILURE_MS = 40.0
"""Penalty for each consecutive recent failure."""

COLD_MS = 100.0
"""Penalty for an endpoint that is still slow after its start."""

SAMPLE_SIZE = 2
"""Randomly chosen endpoints that a request considers. With more, gateways with
the same stale load reports choose the same endpoint; with one, a failing or
slow endpoint would get as much as others."""

_JITTER = 0.05
_MAX_PARTS = 20_000


class PrefixCacheIndex:
    """Tracks which prompt parts each endpoint has cached.

    Beyond the limit, the parts recorded longest ago are forgotten.
    """

    def __init__(self, max_parts: int = _MAX_PARTS) -> None:
        self._max_parts = max_parts
        self._read: dict[tuple[str, str], None] = {}

    def record(
        self, endpoint_id: str, parts: tuple[gateway_calls.PromptPart, ...]
    ) -> None:
        """Records that an endpoint has processed the parts of a prompt."""
        for part in parts:
            key = (endpoint_id, part.part_id)
            self._read.pop(key, None)
            self._read[key] = None
        while len(self._read) > self._max_parts:
            del self._read[next(iter(self._read))]

    def uncached_tokens(
        self, endpoint_id: str, parts: tuple[gateway_calls.PromptPart, ...]
    ) -> int:
        """Returns the prompt tokens that an endpoint has not cached.

        A part counts as cached only if all parts before it are.
        """
        for number, part in enumerate(parts):
            if (endpoint_id, part.part_id) not in self._read:
                return sum(each.tokens for each in parts[number:])
        return 0


def sample_candidates(
    uncached: dict[str, int],
    random_source: random.Random,
    own_domain: Collection[str] = (),
) -> set[str]:
    """Returns the endpoints that are considered for a request.

    Those of the gateway's own failure domain are sampled apart from the others.
    One with most of the prompt cached is always among them, and one with most
    of it cached in the own domain.

    Args:
        uncached: The uncached prompt tokens of each endpoint, by id.
        random_source: The source of randomness for the sample.
        own_domain: The ids of endpoints in the gateway's own failure domain.
    """
    if len(uncached) <= SAMPLE_SIZE:
        return set(uncached)
    own = {each: uncached[each] for each in uncached if each in own_domain}
    if len(own) in (0, len(uncached)):
        return _sample(uncached, SAMPLE_SIZE, random_source)
    distant = [each for each in uncached if each not in own]
    # The gateways of a domain with few endpoints would all consider the same
    # ones, and fill the one that seems least loaded.
    own_size = min(SAMPLE_SIZE, (len(own) + 1) // 2)
    chosen = _sample(own, own_size, random_source)
    chosen.update(random_source.sample(distant, min(SAMPLE_SIZE, len(distant))))
    if min(uncached.values()) < min(own.values()):
        chosen.update(_sample(uncached, 0, random_source))
    return chosen


def _sample(
    uncached: dict[str, int], size: int, random_source: random.Random
) -> set[str]:
    """Returns random endpoints and one with most of the prompt cached."""
    chosen = set(random_source.sample(list(uncached), min(size, len(uncached))))
    least = min(uncached.values())
    best = [each for each, tokens in uncached.items() if tokens == least]
    if len(best) < len(uncached):
        chosen.add(random_source.choice(best))
    return chosen


@attrs.frozen(kw_only=True)
class Estimate:
    """The estimated latency of a request at an endpoint beyond its own work.

    Attributes:
        endpoint_state: The endpoint.
        extra_ms: The additional latency.
        uncached_tokens: Prompt tokens that the endpoint has not cached.
        is_own_domain: Whether it is in the gateway's own failure domain.
        has_free_slot: Whether one of its slots is estimated to be free.
        margin_ms: By how much it has to be better than the endpoints of the
            gateway's own failure domain.
    """

    endpoint_state: endpoint_record.EndpointState
    extra_ms: float
    uncached_tokens: int
    is_own_domain: bool
    has_free_slot: bool
    margin_ms: float


def estimate(
    endpoint_state: endpoint_record.EndpointState,
    *,
    uncached_tokens: int,
    failure_domain: str,
    is_engine: bool,
    now_ms: float,
    average_ms: float = 0.0,
    load: float | None = None,
    margin_ms: float = 0.0,
    speed: endpoint_speeds.Speed = endpoint_speeds.Speed(),
) -> Estimate:
    """Returns the latency estimate of a request at one endpoint.

    Args:
        endpoint_state: The endpoint.
        uncached_tokens: Prompt tokens that it would have to compute.
        failure_domain: The gateway's failure domain.
        is_engine: Whether the endpoint is an engine.
        now_ms: The current time.
        average_ms: The average latency of such requests at all endpoints.
        load: The requests there; by default the last known number.
        margin_ms: By how much another failure domain has to be better.
        speed: The endpoint's speed; only its slowness counts for an endpoint
            other than an engine.
    """
    slots = max(1, endpoint_state.endpoint.slots)
    if load is None:
        load = endpoint_state.load(now_ms)
    slowness = endpoint_state.health.slowness(now_ms)
    if is_engine:
        full_ms, wait_ratio = speed.full_batch_ms, speed.wait_ratio
        extra_ms = speed.excess_ms
    else:
        full_ms, wait_ratio = PLAIN_FULL_MS * speed.slowness, speed.slowness
        slowness *= speed.slowness
        extra_ms = 0.0
    extra_ms += full_ms * min(load, slots) / slots
    if load >= slots:
        extra_ms += QUEUE_MS * wait_ratio * (load - slots + 1) / slots
    # All requests in a batch wait during the prefill of a prompt.
    delayed_requests = 1 + min(load, slots)
    extra_ms += uncached_tokens / speed.prefill_tokens_per_ms * delayed_requests
    is_own_domain = endpoint_state.endpoint.failure_domain == failure_domain
    if not is_own_domain:
        extra_ms += crossing_cost.CROSS_DOMAIN_MS
    extra_ms += FAILURE_MS * endpoint_state.failures
    extra_ms += endpoint_state.failure_cost_ms(now_ms)
    extra_ms += average_ms * (slowness - 1.0)
    if endpoint_state.cold_until_ms > now_ms:
        extra_ms += COLD_MS
    return Estimate(
        endpoint_state=endpoint_state,
        extra_ms=extra_ms,
        uncached_tokens=uncached_tokens,
        is_own_domain=is_own_domain,
        has_free_slot=load + 1.0 <= slots,
        margin_ms=0.0 if is_own_domain else margin_ms,
    )


def choose(
    estimates: list[Estimate], random_source: random.Random
) -> Estimate | None:
    """Returns the best estimate; ties and near-ties are broken randomly.

    Other failure domains have to be better by their margin, unless only their
    endpoints have a free slot.
    """
    if not estimates:
        return None
    own_is_full = not any(
        each.is_own_domain and each.has_free_slot for each in estimates
    )

    def cost_ms(each: Estimate) -> float:
        jitter = random_source.uniform(1.0 - _JITTER, 1.0 + _JITTER)
        own_ms = each.extra_ms * jitter + random_source.random()
        if own_is_full and each.has_free_slot:
            return own_ms
        return own_ms + each.margin_ms

    return min(estimates, key=cost_ms)
