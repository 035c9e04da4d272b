"""The rank of a turn at an engine, where more urgent turns are admitted first.

The load pattern: more turns than slots wait at every engine. Then slots go by
the operator's priorities, to programs under way before new ones, and to
programs that can still end in time before those whose time is over; what these
are worth has mostly gone, and they may still end late.
"""

HIGHEST = 0
LOWEST = 9
"""The ranks that engines know, the first one first."""

_BASE = 2
_RANKS_FOR_PRIORITY = 2
_UNDER_WAY = -1
_LATE = 3
"""More than a priority, so that late programs of one class yield to those of
the next that can still end in time."""


def rank(
    priority: int, *, is_under_way: bool, program_left_ms: float | None
) -> int:
    """Returns the rank of a turn.

    Args:
        priority: The operator's priority, 0 first.
        is_under_way: Whether its program has had a turn before.
        program_left_ms: When its program should end; None if not said.
    """
    found = _BASE + _RANKS_FOR_PRIORITY * priority
    if is_under_way:
        found += _UNDER_WAY
    if program_left_ms is not None and program_left_ms <= 0.0:
        found += _LATE
    return max(HIGHEST, min(LOWEST, found))
