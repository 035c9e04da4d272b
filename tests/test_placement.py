"""The choice of an endpoint."""

import random

import attrs
import pytest

from quetzalmill import placement

IDLE = placement.Candidate(
    endpoint="idle",
    slots=4,
    outstanding=0,
    waiting_units=0.0,
    units_per_s=600.0,
    cached_tokens=0,
    distance_ms=4.0,
)


def choose(
    policy: placement.Policy, *candidates: placement.Candidate, tokens: int
) -> str:
    chooser = placement.Placement(policy, random.Random(1))
    chosen = chooser.choose(candidates, prompt_tokens=tokens)
    assert chosen is not None
    return chosen.endpoint


class TestCacheAndWait:
    """The wait, the uncached prefill and the distance are weighed."""

    def test_program_stays_with_its_cache(self) -> None:
        warm = attrs.evolve(
            IDLE, endpoint="warm", cached_tokens=3_000, outstanding=2
        )
        policy = placement.Policy.CACHE_AND_WAIT
        assert choose(policy, IDLE, warm, tokens=3_200) == "warm"

    def test_program_leaves_a_cache_behind_a_long_queue(self) -> None:
        warm = attrs.evolve(
            IDLE,
            endpoint="warm",
            cached_tokens=3_000,
            outstanding=30,
            waiting_units=3_000.0,
        )
        policy = placement.Policy.CACHE_AND_WAIT
        assert choose(policy, IDLE, warm, tokens=3_200) == "idle"

    def test_unmeasured_endpoint_is_not_assumed_slow(self) -> None:
        measured = attrs.evolve(
            IDLE, endpoint="measured", outstanding=8, waiting_units=800.0
        )
        fresh = attrs.evolve(IDLE, endpoint="fresh", units_per_s=0.0)
        policy = placement.Policy.CACHE_AND_WAIT
        assert choose(policy, measured, fresh, tokens=3_000) == "fresh"

    def test_long_prompt_goes_where_it_delays_no_request(self) -> None:
        near = attrs.evolve(
            IDLE,
            endpoint="near",
            outstanding=2,
            waiting_units=10.0,
            distance_ms=0.0,
        )
        policy = placement.Policy.CACHE_AND_WAIT
        assert choose(policy, near, IDLE, tokens=3_000) == "idle"
        assert choose(policy, near, IDLE, tokens=10) == "near"


class TestBaselines:
    """The policies that serve as baselines."""

    def test_least_outstanding(self) -> None:
        busy = attrs.evolve(IDLE, endpoint="busy", outstanding=1)
        policy = placement.Policy.LEAST_OUTSTANDING
        assert choose(policy, busy, IDLE, tokens=10) == "idle"

    def test_round_robin_takes_turns(self) -> None:
        chooser = placement.Placement(
            placement.Policy.ROUND_ROBIN, random.Random(1)
        )
        other = attrs.evolve(IDLE, endpoint="other")
        chosen = [
            chooser.choose([IDLE, other], prompt_tokens=1) for _ in range(4)
        ]
        names = [each.endpoint for each in chosen if each]
        assert sorted(names[:2]) == ["idle", "other"]
        assert names[:2] == names[2:]


@pytest.mark.parametrize("policy", placement.Policy)
def test_no_candidate_gives_no_choice(policy: placement.Policy) -> None:
    chooser = placement.Placement(policy, random.Random(1))
    assert chooser.choose([], prompt_tokens=1) is None
