"""Turns a run's record into the measures that its users go by."""

import collections
from collections.abc import Sequence
from typing import Any

import attrs
import numpy as np

from quetzalmill import rate_limit
from quetzalmill_load import driver
from quetzalmill_load import workload

_REFUSED = (429, 503)
_EMPTY = float("nan")


@attrs.frozen(kw_only=True)
class TeamReport:
    """How one team fared.

    Attributes:
        team: Its name.
        floods: Whether it sent several times its rate.
        programs: Programs that it started.
        done: Programs that ended whole.
        refused: Programs given up after refusals.
        failed: Programs that failed or did not end in the run.
        p50_ms: Program latency.
        p95_ms: Program latency.
        p99_ms: Program latency.
        served_share: Its part of all tokens that were served.
        fair_share: Its part of all teams' rates.
        refusals: Requests refused with 429 or 503.
        wrongful_refusals: Those of them that were within its rate.
        shortfall: Requests fewer than an exact bucket would have admitted.
    """

    team: str
    floods: bool
    programs: int
    done: int
    refused: int
    failed: int
    p50_ms: float
    p95_ms: float
    p99_ms: float
    served_share: float
    fair_share: float
    refusals: int
    wrongful_refusals: int
    shortfall: int


@attrs.frozen(kw_only=True)
class RunReport:
    """The measures of one run.

    Attributes:
        shape: Whose programs were run.
        policies: The policies in force.
        seed: The seed.
        fault: The fault brought about; empty for none.
        programs: Programs of the teams that keep to their rates.
        done: Those of them that ended whole.
        p50_ms: Their latency; one that did not end whole counts as the cap.
        p95_ms: Their latency.
        p99_ms: Their latency.
        recomputed_share: Part of the prefix tokens that were computed again.
        worst_team_ratio: Worst team's p95 over the median team's p95, of the
            teams that keep to their rates.
        refusals: Requests refused with 429 or 503.
        wrongful_refusals: Those within their team's rate.
        refusal_codes: Refusals and failures of requests by code.
        double_runs: Non-idempotent requests that ran more than once.
        requests: Requests sent.
        cpu_ms_per_request: CPU of entries and sidecars for each request.
        entry_cpu_ms_per_request: The entries' part of it.
        entry_bytes: The largest entry's resident memory at the end.
        sidecar_bytes: The largest sidecar's resident memory at the end.
        control_messages_per_request: Beats by their interval, and asks to
            admit, for each request.
        teams: The teams.
        latencies_ms: Latencies of the programs above, for plots.
    """

    shape: str
    policies: str
    seed: int
    fault: str
    programs: int
    done: int
    p50_ms: float
    p95_ms: float
    p99_ms: float
    recomputed_share: float
    worst_team_ratio: float
    refusals: int
    wrongful_refusals: int
    refusal_codes: dict[str, int]
    double_runs: int
    requests: int
    cpu_ms_per_request: float
    entry_cpu_ms_per_request: float
    entry_bytes: int
    sidecar_bytes: int
    control_messages_per_request: float
    teams: list[TeamReport]
    latencies_ms: list[float]


@attrs.frozen(kw_only=True)
class Cost:
    """What the system's processes used during a run."""

    entry_cpu_s: float
    sidecar_cpu_s: float
    entry_bytes: int
    sidecar_bytes: int
    control_messages: float
    double_runs: int


def build(
    load: workload.Workload,
    record: driver.Record,
    cost: Cost,
    *,
    shape: str,
    policies: str,
    seed: int,
    fault: str,
    cap_ms: float,
) -> RunReport:
    """Builds the report of a run.

    Args:
        load: What was to be run.
        record: What happened.
        cost: What it took.
        shape: Whose programs were run.
        policies: The policies in force.
        seed: The seed.
        fault: The fault brought about.
        cap_ms: The latency of a program that did not end whole.
    """
    teams = [_team(team, load, record, cap_ms) for team in load.teams]
    quiet = [team for team in teams if not team.floods]
    names = {team.team for team in quiet}
    latencies = [
        _latency(outcome, cap_ms)
        for outcome in record.outcomes
        if outcome.program.team in names
    ]
    requests = max(1, len(record.requests))
    cpu_s = cost.entry_cpu_s + cost.sidecar_cpu_s
    return RunReport(
        shape=shape,
        policies=policies,
        seed=seed,
        fault=fault,
        programs=len(latencies),
        done=sum(team.done for team in quiet),
        p50_ms=percentile(latencies, 50),
        p95_ms=percentile(latencies, 95),
        p99_ms=percentile(latencies, 99),
        recomputed_share=_recomputed_share(record.requests),
        worst_team_ratio=_worst_team_ratio(quiet),
        refusals=sum(team.refusals for team in teams),
        wrongful_refusals=sum(team.wrongful_refusals for team in teams),
        refusal_codes=_codes(record.requests),
        double_runs=cost.double_runs,
        requests=len(record.requests),
        cpu_ms_per_request=cpu_s * 1000.0 / requests,
        entry_cpu_ms_per_request=cost.entry_cpu_s * 1000.0 / requests,
        entry_bytes=cost.entry_bytes,
        sidecar_bytes=cost.sidecar_bytes,
        control_messages_per_request=cost.control_messages / requests,
        teams=teams,
        latencies_ms=latencies,
    )


def wrongful_refusals(
    team: workload.Team, requests: Sequence[driver.Request]
) -> int:
    """Counts the refusals of requests that were within the team's rate.

    An exact bucket takes a token for each request that was not refused, at
    the moment at which it was sent. A refusal while it holds one is wrongful.
    """
    bucket = _full_bucket(team)
    wrongful = 0
    for request in sorted(requests, key=lambda each: each.sent_ms):
        if request.team != team.name or not request.counted:
            continue
        if request.status not in _REFUSED:
            bucket.take(1, request.sent_ms)
            continue
        bucket.fill(request.sent_ms)
        if bucket.tokens >= 1.0:
            wrongful += 1
    return wrongful


def shortfall(team: workload.Team, requests: Sequence[driver.Request]) -> int:
    """Returns how many requests too few were admitted.

    An exact bucket judges the same requests at the moments at which they were
    sent. Tokens that lie in parts at several entries show here once, however
    often a request is refused beside them.
    """
    mine = [r for r in requests if r.team == team.name and r.counted]
    bucket = _full_bucket(team)
    exact = sum(
        bucket.take(1, request.sent_ms)
        for request in sorted(mine, key=lambda each: each.sent_ms)
    )
    admitted = sum(1 for request in mine if request.status not in _REFUSED)
    return max(0, exact - admitted)


def percentile(values: Sequence[float], rank: float) -> float:
    """Returns a percentile, not-a-number without values."""
    return float(np.percentile(values, rank)) if values else _EMPTY


def table(reports: Sequence[RunReport]) -> str:
    """Returns medians and spreads by shape, fault and policies as text."""
    groups: dict[tuple[str, str, str], list[RunReport]] = {}
    for report in reports:
        key = (report.shape, report.fault, report.policies)
        groups.setdefault(key, []).append(report)
    lines = [
        "| shape | fault | policies | runs | p50 ms | p95 ms | p99 ms "
        "| recomputed | worst/median team | done | refused | wrongful "
        "| double runs | CPU ms/request |",
        "|---" * 14 + "|",
    ]
    for (shape, fault, policies), found in groups.items():
        done = sum(report.done for report in found)
        programs = sum(report.programs for report in found)
        lines.append(
            f"| {shape} | {fault or '-'} | {policies} | {len(found)} "
            f"| {_spread(found, 'p50_ms', 0)} | {_spread(found, 'p95_ms', 0)} "
            f"| {_spread(found, 'p99_ms', 0)} "
            f"| {_spread(found, 'recomputed_share', 3)} "
            f"| {_spread(found, 'worst_team_ratio', 2)} "
            f"| {done}/{programs} "
            f"| {sum(report.refusals for report in found)} "
            f"| {sum(report.wrongful_refusals for report in found)} "
            f"| {sum(report.double_runs for report in found)} "
            f"| {_spread(found, 'cpu_ms_per_request', 1)} |"
        )
    return "\n".join(lines)


def team_table(report: RunReport) -> str:
    """Returns the teams of one run as text."""
    lines = [
        "| team | programs | done | refused | failed | p50 ms | p95 ms "
        "| p99 ms | served share | fair share | refusals | wrongful "
        "| shortfall |",
        "|---" * 13 + "|",
    ]
    for team in report.teams:
        name = f"{team.team} (floods)" if team.floods else team.team
        lines.append(
            f"| {name} | {team.programs} | {team.done} | {team.refused} "
            f"| {team.failed} | {team.p50_ms:.0f} | {team.p95_ms:.0f} "
            f"| {team.p99_ms:.0f} | {team.served_share:.3f} "
            f"| {team.fair_share:.3f} | {team.refusals} "
            f"| {team.wrongful_refusals} | {team.shortfall} |"
        )
    return "\n".join(lines)


def plot(reports: Sequence[RunReport], path: str) -> None:
    """Draws the distribution of program latency by policies."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    shapes = sorted({report.shape for report in reports})
    figure, axes = pyplot.subplots(
        1, len(shapes), figsize=(6 * len(shapes), 4), squeeze=False
    )
    for axis, shape in zip(axes[0], shapes, strict=True):
        pooled: dict[str, list[float]] = collections.defaultdict(list)
        for report in reports:
            if report.shape == shape:
                pooled[report.policies] += report.latencies_ms
        for policies, values in pooled.items():
            ranked = np.sort(values)
            parts = np.arange(1, len(ranked) + 1) / len(ranked)
            axis.step(ranked / 1000.0, parts, label=policies)
        axis.set_title(shape)
        axis.set_xscale("log")
        axis.set_xlabel("program latency, s")
        axis.set_ylabel("part of programs")
        axis.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=90)
    pyplot.close(figure)


def _team(
    team: workload.Team,
    load: workload.Workload,
    record: driver.Record,
    cap_ms: float,
) -> TeamReport:
    mine = [o for o in record.outcomes if o.program.team == team.name]
    states = collections.Counter(outcome.state for outcome in mine)
    latencies = [_latency(outcome, cap_ms) for outcome in mine]
    served: dict[str, int] = collections.defaultdict(int)
    for request in record.requests:
        served[request.team] += request.served_tokens
    refused = [
        r
        for r in record.requests
        if r.team == team.name and r.status in _REFUSED
    ]
    return TeamReport(
        team=team.name,
        floods=team.floods,
        programs=len(mine),
        done=states["done"],
        refused=states["refused"],
        failed=states["failed"] + states["unfinished"],
        p50_ms=percentile(latencies, 50),
        p95_ms=percentile(latencies, 95),
        p99_ms=percentile(latencies, 99),
        served_share=served[team.name] / max(1, sum(served.values())),
        fair_share=team.rate_per_s / sum(t.rate_per_s for t in load.teams),
        refusals=len(refused),
        wrongful_refusals=wrongful_refusals(team, record.requests),
        shortfall=shortfall(team, record.requests),
    )


def _full_bucket(team: workload.Team) -> rate_limit.Bucket:
    return rate_limit.Bucket(
        rate_per_s=team.rate_per_s,
        burst=team.burst,
        fraction=1.0,
        tokens=team.burst,
        filled_ms=0.0,
    )


def _latency(outcome: driver.Outcome, cap_ms: float) -> float:
    return outcome.latency_ms if outcome.state == "done" else cap_ms


def _recomputed_share(requests: Sequence[driver.Request]) -> float:
    history = sum(r.history_tokens for r in requests)
    again = sum(max(0, r.history_tokens - r.cached_tokens) for r in requests)
    return again / history if history else _EMPTY


def _worst_team_ratio(teams: Sequence[TeamReport]) -> float:
    found = [team.p95_ms for team in teams if team.programs]
    return max(found) / float(np.median(found)) if found else _EMPTY


def _codes(requests: Sequence[driver.Request]) -> dict[str, int]:
    counts = collections.Counter(
        f"{request.status} {request.code}"
        for request in requests
        if request.status not in (200, 201)
    )
    return dict(sorted(counts.items()))


def _spread(reports: Sequence[RunReport], field: str, digits: int) -> str:
    values: list[Any] = [getattr(report, field) for report in reports]
    median = float(np.median(values))
    if len(values) == 1:
        return f"{median:.{digits}f}"
    low, high = min(values), max(values)
    return f"{median:.{digits}f} ({low:.{digits}f}-{high:.{digits}f})"
