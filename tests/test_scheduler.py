"""The request queue of an endpoint."""

import pytest

from quetzalmill import scheduler

FAR_MS = 1e9


def queued_request(
    item: str,
    team: str,
    *,
    cost: float = 100.0,
    weight: float = 1.0,
    attained: float = 0.0,
    arrived: float = 0.0,
    deadline: float = FAR_MS,
) -> scheduler.QueuedRequest[str]:
    return scheduler.QueuedRequest(
        item=item,
        team=team,
        weight=weight,
        cost_units=cost,
        attained_units=attained,
        arrived_ms=arrived,
        deadline_ms=deadline,
    )


def served(queue: scheduler.FairQueue[str], count: int) -> list[str]:
    """Pops requests and returns their teams."""
    found = [queue.pop(0.0) for _ in range(count)]
    return [each.team for each in found if each]


class TestBetweenTeams:
    """Teams are served by weight, regardless of their load."""

    def test_flood_does_not_delay_a_small_team(self) -> None:
        queue = scheduler.FairQueue[str]()
        for index in range(50):
            queue.push(queued_request(f"flood-{index}", "flood"))
        for index in range(5):
            queue.push(queued_request(f"small-{index}", "small"))
        assert served(queue, 12).count("small") == 5

    @pytest.mark.parametrize(
        ("cost_a", "cost_b", "weight_a"),
        [(100.0, 100.0, 1.0), (400.0, 50.0, 1.0), (100.0, 100.0, 3.0)],
    )
    def test_units_follow_weights(
        self, cost_a: float, cost_b: float, weight_a: float
    ) -> None:
        queue = scheduler.FairQueue[str]()
        for index in range(400):
            queue.push(
                queued_request(f"a{index}", "a", cost=cost_a, weight=weight_a)
            )
            queue.push(queued_request(f"b{index}", "b", cost=cost_b))
        units = {"a": 0.0, "b": 0.0}
        while sum(units.values()) < 20_000.0:
            taken = queue.pop(0.0)
            assert taken is not None
            units[taken.team] += taken.cost_units
        assert units["a"] / units["b"] == pytest.approx(weight_a, rel=0.1)

    def test_service_used_while_alone_is_not_charged(self) -> None:
        queue = scheduler.FairQueue[str]()
        for index in range(60):
            queue.push(queued_request(f"a{index}", "a"))
        served(queue, 30)
        for index in range(30):
            queue.push(queued_request(f"b{index}", "b"))
        assert served(queue, 12).count("a") >= 4

    def test_requeued_request_is_not_charged(self) -> None:
        queue = scheduler.FairQueue[str]()
        queue.push(queued_request("a", "a"))
        queue.push(queued_request("b0", "b"))
        queue.push(queued_request("b1", "b"))
        first = queue.pop(0.0)
        assert first is not None
        for _ in range(20):
            queue.requeue(first)
            first = queue.pop(0.0)
            assert first is not None
        assert sorted([first.team, *served(queue, 2)]) == ["a", "b", "b"]


class TestWithinTeam:
    """Least attained service first, requests near their deadline before it."""

    def test_least_attained_goes_first(self) -> None:
        queue = scheduler.FairQueue[str]()
        queue.push(queued_request("long", "a", attained=900.0))
        queue.push(queued_request("short", "a", attained=10.0, arrived=1.0))
        taken = queue.pop(0.0)
        assert taken is not None
        assert taken.item == "short"

    def test_near_deadline_goes_first(self) -> None:
        queue = scheduler.FairQueue[str]()
        queue.push(queued_request("calm", "a"))
        queue.push(
            queued_request(
                "urgent",
                "a",
                attained=900.0,
                deadline=scheduler.URGENT_MS / 2.0,
            )
        )
        taken = queue.pop(0.0)
        assert taken is not None
        assert taken.item == "urgent"


class TestUnitsAhead:
    """The service units that run before a new request."""

    def test_other_teams_count_only_as_far_as_they_are_served(self) -> None:
        queue = scheduler.FairQueue[str]()
        for index in range(50):
            queue.push(queued_request(f"flood-{index}", "flood"))
        assert queue.units_ahead("small", 1.0, 100.0) == 100.0
        assert queue.units_ahead("flood", 1.0, 100.0) == 5_000.0

    def test_first_come_first_served_counts_all(self) -> None:
        queue = scheduler.FifoQueue[str]()
        for index in range(50):
            queue.push(queued_request(f"flood-{index}", "flood"))
        assert queue.units_ahead("small", 1.0, 100.0) == 5_000.0


class TestFifo:
    """The baseline serves requests in order of arrival."""

    def test_order_of_arrival(self) -> None:
        queue = scheduler.FifoQueue[str]()
        queue.push(queued_request("late", "a", arrived=2.0))
        queue.push(queued_request("early", "b", arrived=1.0, attained=900.0))
        taken = queue.pop(0.0)
        assert taken is not None
        assert taken.item == "early"
