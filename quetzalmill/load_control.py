"""Decides which programs may start while engines are full.

Load pattern: a burst, or callers that all return after an outage, brings more
programs than the engines can serve. If all start, every turn waits at every
engine and nearly all programs end late. A program's first turn is therefore
refused immediately while more turns run and wait than the engines have slots.
Less urgent programs are refused first, so that running programs end in time.

All gateways see the load with the same delay of a few hundred milliseconds, so
a hard limit would make the load oscillate. Instead, the fraction of first turns
that are admitted falls as the load rises, and the retry delays of refused turns
are randomized.
"""

import random

import attrs

MIN_SHEDDING_LOAD = 1.1
"""Load per slot above which some first turns of the lowest priority are
refused. It is above 1 because responses and load reports in transit inflate the
count, and a program that is refused needlessly ends late."""

FULL_SHEDDING_LOAD = 1.5
"""Load per slot from which on all first turns of the lowest priority are
refused: half a batch waits."""

PRIORITY_MARGIN = 0.25
"""How much higher both limits are for each step of priority, so that lower
priorities are refused first."""

MIN_RETRY_AFTER_MS = 150.0
"""Minimum retry delay before randomization; about the time until some turn of
an engine's batch ends."""

RETRY_AFTER_MS_PER_LOAD = 600.0
"""Additional retry delay for each full batch that waits; about the time in
which engines process one."""

MAX_RETRY_AFTER_MS = 1_000.0
"""Maximum retry delay. Programs last only seconds and their time keeps running,
and callers wait at most a third of their deadline."""


@attrs.frozen(kw_only=True)
class Decision:
    """Whether a program may start.

    Attributes:
        admitted: Whether it may.
        load_per_slot: The load per slot of the engines.
        retry_after_ms: The time until a retry; 0 when admitted.
    """

    admitted: bool
    load_per_slot: float
    retry_after_ms: float = 0.0


def load_per_slot(loads: list[int], slots: list[int]) -> float:
    """Returns the load per slot of a service's engines; 0 without slots.

    Args:
        loads: The running and waiting requests of each engine.
        slots: The slots of each engine.
    """
    slot_count = sum(slots)
    return sum(loads) / slot_count if slot_count else 0.0


def admit_program(
    load: float, *, rank: int, lowest_rank: int, random_source: random.Random
) -> Decision:
    """Decides whether a program may start.

    Args:
        load: The load per slot of the engines.
        rank: The program's priority; 0 is the most urgent.
        lowest_rank: The least urgent priority of all programs.
        random_source: The source of randomness for the decision and the delay.
    """
    margin = PRIORITY_MARGIN * max(0, lowest_rank - rank)
    refused_fraction = (load - MIN_SHEDDING_LOAD - margin) / (
        FULL_SHEDDING_LOAD - MIN_SHEDDING_LOAD
    )
    if refused_fraction <= 0.0 or random_source.random() >= refused_fraction:
        return Decision(admitted=True, load_per_slot=load)
    wait_ms = MIN_RETRY_AFTER_MS + RETRY_AFTER_MS_PER_LOAD * max(
        0.0, load - 1.0
    )
    return Decision(
        admitted=False,
        load_per_slot=load,
        retry_after_ms=min(
            MAX_RETRY_AFTER_MS, wait_ms * random_source.uniform(0.7, 1.6)
        ),
    )
