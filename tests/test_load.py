"""The load tool's draws and measures."""

import pytest

from quetzalmill_load import driver
from quetzalmill_load import report
from quetzalmill_load import slopes
from quetzalmill_load import workload


def draw(shape: workload.Shape, seed: int) -> workload.Workload:
    return workload.draw(
        shape, seed=seed, programs_per_s=3.0, duration_s=60.0, flood=True
    )


@pytest.mark.parametrize("shape", workload.Shape)
class TestWorkload:
    """What is drawn follows from the seed."""

    def test_same_seed_draws_the_same(self, shape: workload.Shape) -> None:
        assert draw(shape, 1) == draw(shape, 1)
        assert draw(shape, 1) != draw(shape, 2)

    def test_one_team_sends_several_times_its_rate(
        self, shape: workload.Shape
    ) -> None:
        drawn = draw(shape, 1)
        (flooding,) = [team for team in drawn.teams if team.floods]
        calls = sum(
            workload.calls_of(program.steps)
            for program in drawn.programs
            if program.team == flooding.name
        )
        assert calls / 60.0 > 2.0 * flooding.rate_per_s


class TestWrongfulRefusals:
    """Refusals are held against an exact bucket."""

    TEAM = workload.Team(name="a", rate_per_s=1.0, burst=2.0, floods=False)

    @pytest.mark.parametrize(
        ("sent_ms", "statuses", "wrongful"),
        [
            ([0.0, 1.0, 2.0], [200, 200, 429], 0),
            ([0.0, 1.0, 2.0], [200, 429, 200], 1),
            ([0.0, 1.0, 1_100.0], [200, 200, 429], 1),
            ([0.0, 1.0, 900.0], [200, 200, 503], 0),
        ],
    )
    def test_counts(
        self, sent_ms: list[float], statuses: list[int], wrongful: int
    ) -> None:
        requests = [
            driver.Request(team="a", sent_ms=at_ms, status=status)
            for at_ms, status in zip(sent_ms, statuses, strict=True)
        ]
        assert report.wrongful_refusals(self.TEAM, requests) == wrongful

    def test_other_requests_do_not_count(self) -> None:
        requests = [
            driver.Request(team="b", sent_ms=0.0, status=429),
            driver.Request(team="a", sent_ms=0.0, status=503, counted=False),
        ]
        assert report.wrongful_refusals(self.TEAM, requests) == 0


class TestShortfall:
    """Requests that an exact bucket would have admitted, counted once."""

    def test_refusals_beside_one_token_count_once(self) -> None:
        team = TestWrongfulRefusals.TEAM
        requests = [
            driver.Request(team="a", sent_ms=float(index), status=status)
            for index, status in enumerate([200, 429, 429, 429])
        ]
        assert report.wrongful_refusals(team, requests) == 3
        assert report.shortfall(team, requests) == 1


class TestSlopes:
    """Lines through measured values."""

    def test_line(self) -> None:
        found = slopes.fit("bytes", "team", [1, 2, 4], [12.0, 14.0, 18.0])
        assert found.slope == pytest.approx(2.0)
        assert found.intercept == pytest.approx(10.0)
