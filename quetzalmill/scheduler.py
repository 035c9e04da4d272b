"""The queue before one endpoint: who runs next.

Between teams it is deficit round robin in service units, weighted; within a
team the program with the least attained service goes first, raised as its
deadline nears. A request that cannot end before its deadline is refused. The
module is plain synchronous code; the time comes in as an argument.
"""

import collections
from typing import Generic, TypeVar

import attrs

QUANTUM_UNITS = 256.0
"""Service units that a team of weight one gains in a round."""

URGENT_MS = 2_000.0
"""Slack below which a request goes before its team's others."""

PREFILL_UNITS_PER_TOKEN = 0.05
"""Service units of one prompt token; a generated token takes one unit."""

_T = TypeVar("_T")


@attrs.define(kw_only=True, eq=False)
class Waiting(Generic[_T]):
    """A request in the queue.

    Attributes:
        item: What the caller of the queue put in.
        team: The team it belongs to.
        weight: The team's weight.
        cost_units: Service units that it is expected to take.
        attained_units: Service units that its program has had.
        arrived_ms: When it was put in.
        deadline_ms: When its caller gives up, on this process's clock.
        alone: Whether it must run with no other beside it.
    """

    item: _T
    team: str
    weight: float
    cost_units: float
    attained_units: float
    arrived_ms: float
    deadline_ms: float
    alone: bool = False


class FairQueue(Generic[_T]):
    """Deficit round robin between teams, least attained service within."""

    def __init__(self) -> None:
        self._teams: collections.OrderedDict[str, list[Waiting[_T]]] = (
            collections.OrderedDict()
        )
        self._deficits: dict[str, float] = {}

    def __len__(self) -> int:
        return sum(len(waiting) for waiting in self._teams.values())

    def push(self, waiting: Waiting[_T]) -> None:
        """Adds a request."""
        if waiting.team not in self._teams:
            self._teams[waiting.team] = []
            self._deficits[waiting.team] = 0.0
        self._teams[waiting.team].append(waiting)

    def remove(self, waiting: Waiting[_T]) -> None:
        """Takes a request out without running it."""
        queue = self._teams.get(waiting.team, [])
        if waiting in queue:
            queue.remove(waiting)
        self._drop_if_empty(waiting.team)

    def all_waiting(self) -> list[Waiting[_T]]:
        """Returns every request in the queue."""
        return [w for queue in self._teams.values() for w in queue]

    def put_back(self, waiting: Waiting[_T]) -> None:
        """Returns a request that was taken out and did not run."""
        self.push(waiting)
        self._deficits[waiting.team] += waiting.cost_units

    def units_ahead(self, team: str, weight: float, cost_units: float) -> float:
        """Returns the service units that run before a new request of a team.

        A team's queue does not hold up another one's: while the new request
        and what its team has in the queue are served, each other team is
        served as much, by weight.
        """
        own = sum(w.cost_units for w in self._teams.get(team, []))
        part = (own + cost_units) / weight
        return own + sum(
            min(
                sum(waiting.cost_units for waiting in queue),
                part * queue[0].weight,
            )
            for name, queue in self._teams.items()
            if name != team
        )

    def waiting_units(self) -> float:
        """Returns the service units of all requests in the queue."""
        return sum(waiting.cost_units for waiting in self.all_waiting())

    def pop(self, now_ms: float) -> Waiting[_T] | None:
        """Takes out the request that runs next."""
        while self._teams:
            team = next(iter(self._teams))
            best = _first_of_team(self._teams[team], now_ms)
            if len(self._teams) == 1:
                # What a team takes while nobody else waits is not held
                # against it later.
                self._deficits[team] = best.cost_units
            if self._deficits[team] >= best.cost_units:
                self._deficits[team] -= best.cost_units
                self.remove(best)
                return best
            self._deficits[team] += QUANTUM_UNITS * best.weight
            self._teams.move_to_end(team)
        return None

    def _drop_if_empty(self, team: str) -> None:
        if team in self._teams and not self._teams[team]:
            del self._teams[team]
            del self._deficits[team]


class FifoQueue(FairQueue[_T]):
    """First come, first served; the baseline for measurements."""

    def units_ahead(self, team: str, weight: float, cost_units: float) -> float:
        """Returns the service units of all requests in the queue."""
        return self.waiting_units()

    def pop(self, now_ms: float) -> Waiting[_T] | None:
        """Takes out the request that has waited longest."""
        waiting = self.all_waiting()
        if not waiting:
            return None
        first = min(waiting, key=lambda each: each.arrived_ms)
        self.remove(first)
        return first


def _first_of_team(queue: list[Waiting[_T]], now_ms: float) -> Waiting[_T]:
    return min(queue, key=lambda waiting: _rank(waiting, now_ms))


def _rank(waiting: Waiting[_T], now_ms: float) -> tuple[float, float, float]:
    slack_ms = waiting.deadline_ms - now_ms
    if slack_ms < URGENT_MS:
        return (0.0, slack_ms, waiting.arrived_ms)
    return (1.0, waiting.attained_units, waiting.arrived_ms)
