"""Estimates how many requests a program makes, from those of the whole fleet.

Load pattern: programs of one route make nine requests, those of another thirty,
and a team's rate suffices for few of either. If all counted the same, long
programs would start that the rate cannot carry to their end, and short ones
would be refused although it could. A single gateway of many sees too few
programs to estimate their size, so gateways exchange their counts. Counts only
grow, so lost and repeated updates do no harm.
"""

from collections.abc import Iterable

import attrs

DEFAULT_TURNS = 5.0
"""Turns of a program, assumed until one has been seen."""

DEFAULT_OTHERS = 1.0
"""Other requests for each turn, assumed until one has been seen."""

_PRIOR_PROGRAMS = 30.0
"""Weight of the assumed values, in programs; a fleet sees that many within its
first seconds."""


@attrs.frozen(kw_only=True)
class ProgramCounts:
    """The requests that one gateway has admitted since its start.

    Attributes:
        starts: Programs that started, by the route of their first turn.
        turns: Turns, first ones included, by route.
        others: Requests other than turns.
    """

    starts: dict[str, int] = attrs.field(factory=dict)
    turns: dict[str, int] = attrs.field(factory=dict)
    others: int = 0


class ProgramSizes:
    """Counts admitted requests and estimates the requests of a program."""

    def __init__(self) -> None:
        self._starts: dict[str, int] = {}
        self._turns: dict[str, int] = {}
        self._others = 0
        self._peers = ProgramCounts()

    def record(self, route: str, *, is_start: bool) -> None:
        """Counts an admitted request.

        Args:
            route: The route of a turn; empty for other requests.
            is_start: Whether it starts a program.
        """
        if not route and not is_start:
            self._others += 1
            return
        self._turns[route] = self._turns.get(route, 0) + 1
        if is_start:
            self._starts[route] = self._starts.get(route, 0) + 1

    def counts(self) -> ProgramCounts:
        """Returns this gateway's counts, to report to its peers."""
        return ProgramCounts(
            starts=dict(self._starts),
            turns=dict(self._turns),
            others=self._others,
        )

    def apply_report(self, peers: Iterable[ProgramCounts]) -> None:
        """Replaces the peers' counts with their latest reports."""
        starts: dict[str, int] = {}
        turns: dict[str, int] = {}
        others = 0
        for each in peers:
            _add(starts, each.starts)
            _add(turns, each.turns)
            others += each.others
        self._peers = ProgramCounts(starts=starts, turns=turns, others=others)

    def requests(self, route: str) -> int:
        """Returns the estimated requests of a program, first turn included."""
        starts = self._starts.get(route, 0) + self._peers.starts.get(route, 0)
        turns = self._turns.get(route, 0) + self._peers.turns.get(route, 0)
        all_turns = sum(self._turns.values()) + sum(self._peers.turns.values())
        others = self._others + self._peers.others
        prior_turns = _PRIOR_PROGRAMS * DEFAULT_TURNS
        turns_each = (prior_turns + turns) / (_PRIOR_PROGRAMS + starts)
        others_each = (prior_turns * DEFAULT_OTHERS + others) / (
            prior_turns + all_turns
        )
        return max(1, round(turns_each * (1.0 + others_each)))


def _add(total: dict[str, int], counts: dict[str, int]) -> None:
    for name, count in counts.items():
        total[name] = total.get(name, 0) + count
