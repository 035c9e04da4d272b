"""Chooses the endpoint for a call.

The choice weighs the estimated wait, the prefill of uncached prompt tokens and
the network distance. Load reports are stale, so they are corrected by what this
process has sent since. The module is plain synchronous code.
"""

from collections.abc import Sequence
import enum
import random

import attrs

from quetzalmill import scheduler

MAX_MOVE_COST_FRACTION = 0.75
"""A program moves off its cache only below this fraction of the cost there."""

RUNNING_WORK_FRACTION = 0.25
"""Fraction of the running work that delays a call started beside it."""

PREFILL_DELAY_FRACTION = 0.5
"""Fraction of a prefill's time charged per concurrent request it delays."""


class Policy(enum.Enum):
    """A method of choosing an endpoint."""

    CACHE_AND_WAIT = "cache_and_wait"
    LEAST_OUTSTANDING = "least_outstanding"
    ROUND_ROBIN = "round_robin"


@attrs.frozen(kw_only=True)
class Candidate:
    """An endpoint that may run a call.

    Attributes:
        endpoint: Its name.
        slots: Maximum number of concurrent requests.
        outstanding: Requests there, as reported plus those sent since.
        waiting_units: Service units there, as reported plus those sent since.
        units_per_s: Service units that it completes per second, 0 if unknown.
        cached_tokens: Tokens of the program's history cached there.
        distance_ms: One-way network delay from this process.
    """

    endpoint: str
    slots: int
    outstanding: int
    waiting_units: float
    units_per_s: float
    cached_tokens: int
    distance_ms: float


class Placement:
    """Chooses endpoints by one policy."""

    def __init__(self, policy: Policy, rng: random.Random) -> None:
        self._policy = policy
        self._rng = rng
        self._choice_count = 0

    def choose(
        self, candidates: Sequence[Candidate], *, prompt_tokens: int
    ) -> Candidate | None:
        """Returns the endpoint for a call, None without candidates."""
        if not candidates:
            return None
        match self._policy:
            case Policy.ROUND_ROBIN:
                self._choice_count += 1
                return candidates[self._choice_count % len(candidates)]
            case Policy.LEAST_OUTSTANDING:
                return min(
                    candidates,
                    key=lambda c: (c.outstanding, self._rng.random()),
                )
            case Policy.CACHE_AND_WAIT:
                return self._by_cost(candidates, prompt_tokens)

    def _by_cost(
        self, candidates: Sequence[Candidate], prompt_tokens: int
    ) -> Candidate:
        candidates = _with_speeds(candidates)
        best = min(
            candidates,
            key=lambda c: (cost_ms(c, prompt_tokens), self._rng.random()),
        )
        warm = max(candidates, key=lambda c: c.cached_tokens)
        if warm.cached_tokens == 0 or warm is best:
            return best
        best_cost_ms = cost_ms(best, prompt_tokens)
        if best_cost_ms < MAX_MOVE_COST_FRACTION * cost_ms(warm, prompt_tokens):
            return best
        return warm


def cost_ms(candidate: Candidate, prompt_tokens: int) -> float:
    """Returns the estimated time until the call's first token.

    Concurrent requests share the engine, so running work delays a call even
    while a slot is free, but far less than a queue does.
    """
    occupied = min(1.0, candidate.outstanding / candidate.slots)
    excess = max(0, candidate.outstanding + 1 - candidate.slots)
    queued = excess / (excess + candidate.slots)
    wait_fraction = RUNNING_WORK_FRACTION * occupied + queued
    wait_units = wait_fraction * candidate.waiting_units
    missing_tokens = max(0, prompt_tokens - candidate.cached_tokens)
    prefill_units = missing_tokens * scheduler.PREFILL_UNITS_PER_TOKEN
    # A prefill delays every request that decodes concurrently.
    concurrent = min(candidate.outstanding, candidate.slots)
    prefill_units *= 1.0 + PREFILL_DELAY_FRACTION * concurrent
    work_ms = (wait_units + prefill_units) / candidate.units_per_s * 1000.0
    return work_ms + 2.0 * candidate.distance_ms


def _with_speeds(candidates: Sequence[Candidate]) -> list[Candidate]:
    """Assumes that an unmeasured endpoint is as fast as the fastest one.

    With a lower estimate it would get no work and never be measured.
    """
    best = max(candidate.units_per_s for candidate in candidates)
    guess = best or _DEFAULT_UNITS_PER_S
    return [
        attrs.evolve(candidate, units_per_s=candidate.units_per_s or guess)
        for candidate in candidates
    ]


_DEFAULT_UNITS_PER_S = 200.0
