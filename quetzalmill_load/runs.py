"""Runs workloads against fresh deployments."""

from collections.abc import Callable
import functools
import time

import attrs
import trio

from quetzalmill_load import cluster as cluster_module
from quetzalmill_load import driver as driver_module
from quetzalmill_load import processes
from quetzalmill_load import report
from quetzalmill_load import workload

DRAIN_S = 30.0
"""How long programs may still run after the last one has started."""

UNLIMITED_PER_S = 1_000_000.0
"""A rate that refuses nothing, to find saturation."""

FAULTS = ("", "sidecar", "log")
"""The faults that a run can bring about."""

_FAULT_FROM = 0.4
_FAULT_TO = 0.65
_TARGET_SEED = 11
_OVERLOAD = 3.0


@attrs.frozen(kw_only=True)
class Plan:
    """One run.

    Attributes:
        shape: Whose programs are run.
        policies: The sidecars' policies.
        seed: The seed.
        programs_per_s: Programs of all teams within their rates.
        duration_s: How long programs are started.
        flood: Whether one team sends several times its rate.
        fault: One of ``FAULTS``.
        size: How large the deployment is.
    """

    shape: workload.Shape
    policies: cluster_module.Policies
    seed: int
    programs_per_s: float
    duration_s: float
    flood: bool = True
    fault: str = ""
    size: cluster_module.Size = attrs.field(factory=cluster_module.Size)


def run(plan: Plan) -> report.RunReport:
    """Starts a deployment, runs the plan against it and reports."""
    load = workload.draw(
        plan.shape,
        seed=plan.seed,
        programs_per_s=plan.programs_per_s,
        duration_s=plan.duration_s,
        flood=plan.flood,
    )
    cap_s = plan.duration_s + DRAIN_S
    with processes.Group() as group:
        cluster = cluster_module.Cluster(
            group, plan.size, plan.policies, plan.seed
        )
        cluster.start()
        cluster.add_teams(
            {
                team.name: {"rate_per_s": team.rate_per_s, "burst": team.burst}
                for team in load.teams
            }
        )
        driver = driver_module.Driver(cluster, load, plan.seed)
        before = cluster.usage()
        started_s = time.monotonic()
        trio.run(driver.run, cap_s, _events(plan, cluster))
        cost = _cost(cluster, before, time.monotonic() - started_s)
        return report.build(
            load,
            driver.record,
            cost,
            shape=plan.shape.value,
            policies=plan.policies.name,
            seed=plan.seed,
            fault=plan.fault,
            cap_ms=DRAIN_S * 1000.0,
        )


def saturation(
    shape: workload.Shape,
    policies: cluster_module.Policies,
    *,
    guess_per_s: float,
    duration_s: float,
    size: cluster_module.Size,
) -> float:
    """Returns the programs a second that a deployment serves when overloaded.

    Teams are not limited; the calls that end within the second half of the
    run are counted and divided by a program's mean number of calls.

    Args:
        shape: Whose programs are run.
        policies: The sidecars' policies.
        guess_per_s: About how many it may serve; three times that is sent.
        duration_s: How long programs are started.
        size: How large the deployment is.
    """
    load = workload.draw(
        shape,
        seed=_TARGET_SEED,
        programs_per_s=_OVERLOAD * guess_per_s,
        duration_s=duration_s,
        flood=False,
    )
    with processes.Group() as group:
        cluster = cluster_module.Cluster(group, size, policies, _TARGET_SEED)
        cluster.start()
        unlimited = {"rate_per_s": UNLIMITED_PER_S, "burst": UNLIMITED_PER_S}
        cluster.add_teams({team.name: unlimited for team in load.teams})
        driver = driver_module.Driver(cluster, load, _TARGET_SEED)
        trio.run(driver.run, duration_s)
    half_ms = duration_s * 500.0
    ended = sum(
        1
        for request in driver.record.requests
        if request.counted
        and request.status == 200
        and half_ms <= request.ended_ms < 2 * half_ms
    )
    return ended / (half_ms / 1000.0) / workload.mean_calls(shape)


def _events(
    plan: Plan, cluster: cluster_module.Cluster
) -> list[tuple[float, Callable[[], None]]]:
    from_s = plan.duration_s * _FAULT_FROM
    to_s = plan.duration_s * _FAULT_TO
    match plan.fault:
        case "sidecar":
            return [
                (from_s, functools.partial(cluster.kill_sidecar, 0)),
                (to_s, functools.partial(cluster.restart_sidecar, 0)),
            ]
        case "log":
            return [
                (from_s, functools.partial(cluster.set_log_down, True)),
                (to_s, functools.partial(cluster.set_log_down, False)),
            ]
        case _:
            return []


def _cost(
    cluster: cluster_module.Cluster,
    before: cluster_module.Usage,
    elapsed_s: float,
) -> report.Cost:
    after = cluster.usage()
    entries = len(cluster.entries)
    beats_per_round = 2 * len(cluster.sidecars) + entries * (entries - 1)
    rounds = elapsed_s * 1000.0 / cluster.size.beat_ms
    asked = sum(
        state.get("admissions_asked", 0) for state in cluster.states()[:entries]
    )
    return report.Cost(
        entry_cpu_s=after.entry_s - before.entry_s,
        sidecar_cpu_s=after.sidecar_s - before.sidecar_s,
        entry_bytes=after.entry_bytes,
        sidecar_bytes=after.sidecar_bytes,
        control_messages=beats_per_round * rounds + asked,
        double_runs=cluster.double_runs(),
    )
