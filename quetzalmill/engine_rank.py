"""The rank of a turn at an engine, where lower numbers are admitted first.

Load pattern: more turns than slots wait at every engine. Slots are then
assigned by the operator's priorities, to started programs before new ones, and
to programs that can still meet their deadline before those past it, which have
lost most of their value but may still finish late.
"""

HIGHEST = 0
LOWEST = 9
"""The range of ranks that engines accept; the lowest number is served first."""

_BASE_RANK = 2
_RANKS_FOR_PRIORITY = 2
_STARTED_OFFSET = -1
_LATE_OFFSET = 3
"""More than the ranks of one priority, so that programs past their deadline
yield to those of the next priority that can still meet theirs."""


def rank(
    priority: int, *, is_under_way: bool, program_remaining_ms: float | None
) -> int:
    """Returns the rank of a turn.

    Args:
        priority: The operator's priority, 0 first.
        is_under_way: Whether its program has had a turn before.
        program_remaining_ms: The time until its program's deadline; None
            without one.
    """
    found = _BASE_RANK + _RANKS_FOR_PRIORITY * priority
    if is_under_way:
        found += _STARTED_OFFSET
    if program_remaining_ms is not None and program_remaining_ms <= 0.0:
        found += _LATE_OFFSET
    return max(HIGHEST, min(LOWEST, found))
