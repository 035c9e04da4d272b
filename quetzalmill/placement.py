"""Chooses the endpoint for a call.

The choice weighs the estimated wait, the prefill of what is not cached there
and the distance. Reports of load are stale, so they are corrected by what this
process has sent since. The module is plain synchronous code.
"""

from collections.abc import Sequence
import enum
import random

import attrs

from quetzalmill import scheduler

CLEAR_GAIN = 0.75
"""A program leaves its cache only for less than this part of its cost."""

SHARING_PART = 0.25
"""The part of the work under way that delays a call beside it."""

HARM_PART = 0.5
"""The part of a prefill's time that counts again for each request beside it."""


class Policy(enum.Enum):
    """How an endpoint is chosen."""

    CACHE_AND_WAIT = "cache_and_wait"
    LEAST_OUTSTANDING = "least_outstanding"
    ROUND_ROBIN = "round_robin"


@attrs.frozen(kw_only=True)
class Candidate:
    """An endpoint that may run a call.

    Attributes:
        endpoint: Its name.
        slots: Requests that it runs at once.
        outstanding: Requests there, as reported and as sent since.
        waiting_units: Service units there, as reported and as sent since.
        units_per_s: Service units that it does a second, 0 if unknown.
        cached_tokens: Tokens of the program's history cached there.
        distance_ms: One-way distance from here.
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

    def __init__(self, policy: Policy, chance: random.Random) -> None:
        self._policy = policy
        self._chance = chance
        self._turn = 0

    def choose(
        self, candidates: Sequence[Candidate], *, prompt_tokens: int
    ) -> Candidate | None:
        """Returns the endpoint for a call, None without candidates."""
        if not candidates:
            return None
        match self._policy:
            case Policy.ROUND_ROBIN:
                self._turn += 1
                return candidates[self._turn % len(candidates)]
            case Policy.LEAST_OUTSTANDING:
                return min(
                    candidates,
                    key=lambda c: (c.outstanding, self._chance.random()),
                )
            case Policy.CACHE_AND_WAIT:
                return self._by_cost(candidates, prompt_tokens)

    def _by_cost(
        self, candidates: Sequence[Candidate], prompt_tokens: int
    ) -> Candidate:
        candidates = _with_speeds(candidates)
        best = min(
            candidates,
            key=lambda c: (cost_ms(c, prompt_tokens), self._chance.random()),
        )
        warm = max(candidates, key=lambda c: c.cached_tokens)
        if warm.cached_tokens == 0 or warm is best:
            return best
        gain = cost_ms(best, prompt_tokens)
        if gain < CLEAR_GAIN * cost_ms(warm, prompt_tokens):
            return best
        return warm


def cost_ms(candidate: Candidate, prompt_tokens: int) -> float:
    """Returns the estimated time until the call's first token.

    Requests that run at once share the engine, so work under way delays a
    call also while a slot is free, but far less than a queue does.
    """
    occupied = min(1.0, candidate.outstanding / candidate.slots)
    excess = max(0, candidate.outstanding + 1 - candidate.slots)
    queued = excess / (excess + candidate.slots)
    ahead = SHARING_PART * occupied + queued
    wait_units = ahead * candidate.waiting_units
    missing_tokens = max(0, prompt_tokens - candidate.cached_tokens)
    prefill_units = missing_tokens * scheduler.PREFILL_UNITS_PER_TOKEN
    # A prompt that is computed holds up all that decode beside it.
    beside = min(candidate.outstanding, candidate.slots)
    prefill_units *= 1.0 + HARM_PART * beside
    work_ms = (wait_units + prefill_units) / candidate.units_per_s * 1000.0
    return work_ms + 2.0 * candidate.distance_ms


def _with_speeds(candidates: Sequence[Candidate]) -> list[Candidate]:
    """Takes an endpoint that is not measured yet to be as fast as the best.

    A slower guess would keep work from it, and so from ever being measured.
    """
    best = max(candidate.units_per_s for candidate in candidates)
    guess = best or _DEFAULT_UNITS_PER_S
    return [
        attrs.evolve(candidate, units_per_s=candidate.units_per_s or guess)
        for candidate in candidates
    ]


_DEFAULT_UNITS_PER_S = 200.0
