"""Measures what entry and sidecar add to a call, against a direct one.

The same calls go to one engine directly and through an entry and a sidecar,
in turns, in one run. CPU time is read from the processes; wall times are
compared between calls that are made right after each other.
"""

from collections.abc import Sequence
import time
import uuid

import attrs
import numpy as np
import trio

from quetzalmill import codec
from quetzalmill import http_client
from quetzalmill import http_message
from quetzalmill_load import cluster as cluster_module
from quetzalmill_load import processes
from quetzalmill_load import slopes

ANSWER_TOKENS = (8, 64, 256)
"""Lengths of the streamed answers that are compared."""

CALLS = 30
"""Calls of each kind and length, one after the other."""

_TIMEOUT_MS = 60_000.0
_IDLE_S = 5.0
_BURST_CALLS = 32


@attrs.frozen(kw_only=True)
class Cost:
    """What calls of one answer length cost.

    Attributes:
        answer_tokens: Tokens of each answer, one in each streamed piece.
        direct_first_ms: Median time to the first piece, direct.
        path_first_ms: The same through entry and sidecar.
        direct_ms: Median time to the end, direct.
        path_ms: The same through entry and sidecar.
        entry_cpu_ms: CPU of the entry for each call.
        sidecar_cpu_ms: CPU of the sidecar for each call.
    """

    answer_tokens: int
    direct_first_ms: float
    path_first_ms: float
    direct_ms: float
    path_ms: float
    entry_cpu_ms: float
    sidecar_cpu_ms: float


@attrs.frozen(kw_only=True)
class Report:
    """The cost of the path.

    Attributes:
        costs: By answer length.
        entry_slope: The entry's CPU ms by streamed token.
        sidecar_slope: The sidecar's CPU ms by streamed token.
        idle: Usage of both processes after an idle time.
        idle_entry_core_part: Part of a core that the idle entry takes.
        idle_sidecar_core_part: The same of the sidecar.
        busy: Usage after many calls at once.
    """

    costs: list[Cost]
    entry_slope: slopes.Slope
    sidecar_slope: slopes.Slope
    idle: cluster_module.Usage
    idle_entry_core_part: float
    idle_sidecar_core_part: float
    busy: cluster_module.Usage


def measure() -> Report:
    """Starts one entry, sidecar and engine and measures them."""
    size = cluster_module.Size(
        entries=1,
        engines=1,
        services=0,
        slots=_BURST_CALLS,
        memory_tokens=200_000,
        decode_ms=1.0,
        chunk_tokens=1,
        beat_ms=500,
    )
    with processes.Group() as group:
        cluster = cluster_module.Cluster(
            group, size, cluster_module.Policies(), 1
        )
        cluster.start()
        cluster.add_teams({"team-0": {"rate_per_s": 1e6, "burst": 1e6}})
        before = cluster.usage()
        started_s = time.monotonic()
        time.sleep(_IDLE_S)
        idle_s = time.monotonic() - started_s
        idle = cluster.usage()
        idle_entry = (idle.entry_s - before.entry_s) / idle_s
        idle_sidecar = (idle.sidecar_s - before.sidecar_s) / idle_s
        costs = [
            trio.run(_compare, cluster, tokens, idle_entry, idle_sidecar)
            for tokens in ANSWER_TOKENS
        ]
        trio.run(_burst, cluster)
        return Report(
            costs=costs,
            entry_slope=_slope("entry", [c.entry_cpu_ms for c in costs]),
            sidecar_slope=_slope("sidecar", [c.sidecar_cpu_ms for c in costs]),
            idle=idle,
            idle_entry_core_part=idle_entry,
            idle_sidecar_core_part=idle_sidecar,
            busy=cluster.usage(),
        )


def table(report: Report) -> str:
    """Returns the report as text."""
    lines = [
        "| answer tokens | first ms direct | first ms path | end ms direct "
        "| end ms path | entry CPU ms | sidecar CPU ms |",
        "|---" * 7 + "|",
    ]
    for cost in report.costs:
        lines.append(
            f"| {cost.answer_tokens} | {cost.direct_first_ms:.1f} "
            f"| {cost.path_first_ms:.1f} | {cost.direct_ms:.1f} "
            f"| {cost.path_ms:.1f} | {cost.entry_cpu_ms:.2f} "
            f"| {cost.sidecar_cpu_ms:.2f} |"
        )
    lines.append("")
    lines.append(slopes.table([report.entry_slope, report.sidecar_slope]))
    mib = 1024.0 * 1024.0
    lines.append(
        f"\nidle: entry {report.idle.entry_bytes / mib:.1f} MiB, "
        f"{report.idle_entry_core_part:.4f} of a core; "
        f"sidecar {report.idle.sidecar_bytes / mib:.1f} MiB, "
        f"{report.idle_sidecar_core_part:.4f} of a core; "
        f"after {_BURST_CALLS} calls at once: "
        f"entry {report.busy.entry_bytes / mib:.1f} MiB, "
        f"sidecar {report.busy.sidecar_bytes / mib:.1f} MiB"
    )
    return "\n".join(lines)


@attrs.frozen
class _Timed:
    first_ms: float
    whole_ms: float


async def _compare(
    cluster: cluster_module.Cluster,
    tokens: int,
    idle_entry: float,
    idle_sidecar: float,
) -> Cost:
    client = http_client.HttpClient()
    await _call_path(client, cluster, tokens)
    direct: list[_Timed] = []
    path: list[_Timed] = []
    before = cluster.usage()
    started_s = time.monotonic()
    for _ in range(CALLS):
        direct.append(await _call_direct(client, cluster, tokens))
        path.append(await _call_path(client, cluster, tokens))
    elapsed_s = time.monotonic() - started_s
    after = cluster.usage()
    entry_s = after.entry_s - before.entry_s - idle_entry * elapsed_s
    sidecar_s = after.sidecar_s - before.sidecar_s - idle_sidecar * elapsed_s
    return Cost(
        answer_tokens=tokens,
        direct_first_ms=_median([each.first_ms for each in direct]),
        path_first_ms=_median([each.first_ms for each in path]),
        direct_ms=_median([each.whole_ms for each in direct]),
        path_ms=_median([each.whole_ms for each in path]),
        entry_cpu_ms=entry_s * 1000.0 / CALLS,
        sidecar_cpu_ms=sidecar_s * 1000.0 / CALLS,
    )


async def _burst(cluster: cluster_module.Cluster) -> None:
    client = http_client.HttpClient()
    async with trio.open_nursery() as nursery:
        for _ in range(_BURST_CALLS):
            nursery.start_soon(_call_path, client, cluster, ANSWER_TOKENS[-1])


async def _call_direct(
    client: http_client.HttpClient, cluster: cluster_module.Cluster, tokens: int
) -> _Timed:
    return await _timed(client, cluster.engines[0], _body(tokens), {})


async def _call_path(
    client: http_client.HttpClient, cluster: cluster_module.Cluster, tokens: int
) -> _Timed:
    key = cluster.keys["team-0"]
    return await _timed(
        client,
        cluster.entries[0].settings["http_address"],
        _body(tokens),
        {"authorization": f"Bearer {key}"},
    )


async def _timed(
    client: http_client.HttpClient,
    address: str,
    body: bytes,
    headers: dict[str, str],
) -> _Timed:
    request = http_message.Request(
        method="POST",
        path="/v1/chat/completions",
        headers={"content-type": "application/json", **headers},
        body=body,
    )
    started_s = time.monotonic()
    first_s = 0.0
    async with client.stream(
        address,
        request,
        timeout_ms=_TIMEOUT_MS,
        whole_timeout_ms=_TIMEOUT_MS,
    ) as response:
        if response.status != 200:
            raise processes.LoadError(f"a call got status {response.status}")
        async for _ in response:
            first_s = first_s or time.monotonic()
    ended_s = time.monotonic()
    return _Timed(
        (first_s - started_s) * 1000.0, (ended_s - started_s) * 1000.0
    )


def _body(tokens: int) -> bytes:
    return codec.to_json(
        {
            "model": cluster_module.MODEL,
            "stream": True,
            "messages": [{"role": "user", "content": uuid.uuid4().hex}],
            "max_tokens": tokens,
            "answer_tokens": tokens,
        }
    )


def _slope(role: str, values: Sequence[float]) -> slopes.Slope:
    return slopes.fit(
        f"{role}, CPU ms for each call",
        "streamed token",
        ANSWER_TOKENS,
        values,
    )


def _median(values: Sequence[float]) -> float:
    return float(np.median(values))
