"""Decides which programs may begin while engines are full.

The load pattern: a burst, or callers that all return after an outage, brings
more programs than the engines carry. If all begin, every turn waits at every
engine and nearly all programs end late. So a program's first turn is refused
at once while more turns run and wait than the engines hold, the less urgent
ones first, and those under way end in time.

Gateways see the load some hundred milliseconds late and all alike. A part of
the first turns goes, falling as the load rises, since a limit that lets all or
none go would have the load swing. Each one refused is told another moment to
come back.
"""

import random

import attrs

FIRST_REFUSED = 1.1
"""Requests for each slot from which on the least urgent first turns are
refused. A few more than slots are there while answers and news are on their
way, and a program that is kept waiting for no need ends late."""

ALL_REFUSED = 1.5
"""Requests for each slot from which on all of them are: half a batch waits."""

URGENT_MARGIN = 0.25
"""How much later this begins for each step of urgency, so that a class of
programs yields before the next one does."""

LEAST_WAIT_MS = 150.0
"""The shortest time after which to come back; a turn of an engine's batch takes
about that long to end."""

WAIT_MS_PER_LOAD = 600.0
"""How much longer for each further batch that waits; about the time in which
engines work it off."""

LONGEST_WAIT_MS = 1_000.0
"""The longest time after which to come back. Programs last seconds and their
time runs, and callers wait no longer than a third of their deadline."""


@attrs.frozen(kw_only=True)
class Decision:
    """Whether a program may begin.

    Attributes:
        admitted: Whether it may.
        pressure: Requests at the engines for each of their slots.
        retry_after_ms: When to come back; 0 when admitted.
    """

    admitted: bool
    pressure: float
    retry_after_ms: float = 0.0


def pressure(loads: list[int], slots: list[int]) -> float:
    """Returns the requests at a service's engines for each of their slots.

    Args:
        loads: The requests that run and wait, by engine.
        slots: The requests that each runs at once.
    """
    held = sum(slots)
    return sum(loads) / held if held else 0.0


def may_begin(
    found: float, *, rank: int, lowest_rank: int, random_source: random.Random
) -> Decision:
    """Decides whether a program may begin.

    Args:
        found: The pressure on the engines.
        rank: The priority of the program, 0 first.
        lowest_rank: The last priority among programs.
        random_source: Decides between first turns that are alike.
    """
    margin = URGENT_MARGIN * max(0, lowest_rank - rank)
    over = (found - FIRST_REFUSED - margin) / (ALL_REFUSED - FIRST_REFUSED)
    if over <= 0.0 or random_source.random() >= over:
        return Decision(admitted=True, pressure=found)
    wait_ms = LEAST_WAIT_MS + WAIT_MS_PER_LOAD * max(0.0, found - 1.0)
    return Decision(
        admitted=False,
        pressure=found,
        retry_after_ms=min(
            LONGEST_WAIT_MS, wait_ms * random_source.uniform(0.7, 1.6)
        ),
    )
