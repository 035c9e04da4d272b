"""The request queue of one endpoint, which decides what runs next.

Teams are served by weighted deficit round robin, counted in service units.
Within a team, the program with the least attained service goes first, but
requests close to their deadline go before all others. The module is plain
synchronous code and gets the time as an argument.
"""

import collections
from typing import Generic, TypeVar

import attrs

QUANTUM_UNITS = 256.0
"""Service units added to the deficit of a team of weight 1 per round."""

URGENT_MS = 2_000.0
"""Slack below which a request goes before the others of its team."""

PREFILL_UNITS_PER_TOKEN = 0.05
"""Service units per prompt token; a generated token takes one unit."""

_T = TypeVar("_T")


@attrs.define(kw_only=True, eq=False)
class QueuedRequest(Generic[_T]):
    """A request in the queue.

    Attributes:
        item: The queued object.
        team: The team that the request belongs to.
        weight: The team's weight.
        cost_units: Estimated service units of the request.
        attained_units: Service units that its program has used so far.
        arrived_ms: When it was queued.
        deadline_ms: Its caller's deadline, on this process's clock.
        alone: Whether it must not run concurrently with other requests.
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
    """Deficit round robin over teams, least attained service within a team."""

    def __init__(self) -> None:
        self._teams: collections.OrderedDict[str, list[QueuedRequest[_T]]] = (
            collections.OrderedDict()
        )
        self._deficits: dict[str, float] = {}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._teams.values())

    def push(self, request: QueuedRequest[_T]) -> None:
        """Adds a request."""
        if request.team not in self._teams:
            self._teams[request.team] = []
            self._deficits[request.team] = 0.0
        self._teams[request.team].append(request)

    def remove(self, request: QueuedRequest[_T]) -> None:
        """Removes a request, if it is queued."""
        queue = self._teams.get(request.team, [])
        if request in queue:
            queue.remove(request)
        self._drop_if_empty(request.team)

    def all_waiting(self) -> list[QueuedRequest[_T]]:
        """Returns every request in the queue."""
        return [w for queue in self._teams.values() for w in queue]

    def requeue(self, request: QueuedRequest[_T]) -> None:
        """Puts back a popped request that did not run and refunds its cost."""
        self.push(request)
        self._deficits[request.team] += request.cost_units

    def units_ahead(self, team: str, weight: float, cost_units: float) -> float:
        """Returns the service units that run before a new request of a team.

        A long queue of one team does not delay another team: while the new
        request and its team's queue are served, each other team is served at
        most as much, by weight.
        """
        own = sum(w.cost_units for w in self._teams.get(team, []))
        units_per_weight = (own + cost_units) / weight
        return own + sum(
            min(
                sum(request.cost_units for request in queue),
                units_per_weight * queue[0].weight,
            )
            for name, queue in self._teams.items()
            if name != team
        )

    def waiting_units(self) -> float:
        """Returns the service units of all queued requests."""
        return sum(request.cost_units for request in self.all_waiting())

    def pop(self, now_ms: float) -> QueuedRequest[_T] | None:
        """Removes and returns the request that runs next."""
        while self._teams:
            team = next(iter(self._teams))
            best = _first_of_team(self._teams[team], now_ms)
            if len(self._teams) == 1:
                # Service used while no other team waits is not charged
                # against the team's later turns.
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
    """First come, first served; the baseline for comparisons."""

    def units_ahead(self, team: str, weight: float, cost_units: float) -> float:
        """Returns the service units of all queued requests."""
        return self.waiting_units()

    def pop(self, now_ms: float) -> QueuedRequest[_T] | None:
        """Removes and returns the request that has waited longest."""
        requests = self.all_waiting()
        if not requests:
            return None
        first = min(requests, key=lambda each: each.arrived_ms)
        self.remove(first)
        return first


def _first_of_team(
    queue: list[QueuedRequest[_T]], now_ms: float
) -> QueuedRequest[_T]:
    return min(queue, key=lambda request: _rank(request, now_ms))


def _rank(
    request: QueuedRequest[_T], now_ms: float
) -> tuple[float, float, float]:
    slack_ms = request.deadline_ms - now_ms
    if slack_ms < URGENT_MS:
        return (0.0, slack_ms, request.arrived_ms)
    return (1.0, request.attained_units, request.arrived_ms)
