"""Measures how state, messages, CPU and memory grow with the fleet.

Real processes give CPU time and resident memory; pure structures and messages
are measured in this process. Each slope comes from at least three sizes, by
least squares, with the values themselves beside it.
"""

from collections.abc import Callable, Sequence
import functools
import gc
import os
import subprocess
import sys
import time
import tracemalloc
from typing import Any
import uuid

import attrs
import numpy as np

from quetzalmill import change_log
from quetzalmill import codec
from quetzalmill import configuration
from quetzalmill import entry_control
from quetzalmill import messages
from quetzalmill import objects
from quetzalmill import programs
from quetzalmill import shares
from quetzalmill import team_rates
from quetzalmill import turns
from quetzalmill_load import cluster as cluster_module
from quetzalmill_load import processes

OBSERVED_S = 8.0
"""How long idle processes are observed."""

TEAM_COUNTS = (100, 400, 1_600)
SIDECAR_COUNTS = (6, 12, 24)
ENTRY_COUNTS = (2, 4, 8)
HEARD_COUNTS = (36, 120, 360)
TURN_COUNTS = (5, 20, 80)
ANSWER_CHARACTERS = (320, 1_280, 5_120)
CHANGES = 40
"""Configuration changes that are published one after the other."""

_TURN_CHARACTERS = 4_000
_PROGRAMS = 50
_REPEATS = 20
_BEAT_MS = 500
_QUIET_S = 2.0
_WAITED_CHANGES = 5
_IMPORTS = (
    "sys",
    "asyncio",
    "trio",
    "trio_asyncio",
    "grpclib.client",
    "h11",
    "msgspec",
    "attrs",
    "structlog",
    "statsd",
    "typer",
    "quetzalmill.objects",
    "quetzalmill.control",
    "quetzalmill.sidecar",
    "quetzalmill.entry",
    "quetzalmill.main",
)


@attrs.frozen(kw_only=True)
class Slope:
    """One quantity at several sizes.

    Attributes:
        quantity: What was measured, with its unit.
        per: What it grows with.
        sizes: The sizes.
        values: The quantity at each size.
        slope: How much one more adds.
        intercept: What is there without any.
    """

    quantity: str
    per: str
    sizes: list[int]
    values: list[float]
    slope: float
    intercept: float


_IMPORT_PROGRAM = """
import importlib, re, sys
importlib.import_module(sys.argv[1])
status = open("/proc/self/status").read()
print(re.search(r"VmRSS:\\s+(\\d+)", status).group(1))
"""


def fit(
    quantity: str, per: str, sizes: Sequence[int], values: Sequence[float]
) -> Slope:
    """Fits a line through values by least squares."""
    slope, intercept = np.polyfit(sizes, values, 1)
    return Slope(
        quantity=quantity,
        per=per,
        sizes=list(sizes),
        values=list(values),
        slope=float(slope),
        intercept=float(intercept),
    )


def measure_structures() -> list[Slope]:
    """Measures structures and messages within this process."""
    return [*_configuration(), *_beats(), *_programs()]


def measure_imports() -> dict[str, int]:
    """Returns the resident bytes of Python after importing one module."""
    found: dict[str, int] = {}
    for name in _IMPORTS:
        done = subprocess.run(
            [sys.executable, "-c", _IMPORT_PROGRAM, name],
            env={"PYTHONPATH": os.pathsep.join(sys.path)},
            capture_output=True,
            check=True,
            timeout=60,
        )
        found[name] = int(done.stdout) * 1024
    return found


def measure_processes() -> list[Slope]:
    """Measures real idle processes at growing sizes, then changes."""
    return [*_by_sidecars(), *_by_entries(), *_by_teams()]


def table(slopes: Sequence[Slope]) -> str:
    """Returns slopes as text."""
    lines = ["| quantity | per | sizes | values | slope | at 0 |", "|---" * 6]
    lines[1] += "|"
    for each in slopes:
        values = ", ".join(f"{value:.4g}" for value in each.values)
        sizes = ", ".join(str(size) for size in each.sizes)
        lines.append(
            f"| {each.quantity} | {each.per} | {sizes} | {values} "
            f"| {each.slope:.4g} | {each.intercept:.4g} |"
        )
    return "\n".join(lines)


def _configuration() -> list[Slope]:
    memory: list[float] = []
    snapshot_bytes: list[float] = []
    snapshot_ms: list[float] = []
    restore_ms: list[float] = []
    bucket_bytes: list[float] = []
    for count in TEAM_COUNTS:
        held, used = _allocated(functools.partial(_configured, count))
        memory.append(used)
        snapshot = held.snapshot()
        snapshot_bytes.append(len(codec.to_msgpack(snapshot)))
        snapshot_ms.append(_cpu_ms(functools.partial(_encode_snapshot, held)))
        restore_ms.append(_cpu_ms(functools.partial(_restore, snapshot)))
        bucket_bytes.append(_allocated(functools.partial(_buckets, count))[1])
    per = "team with one key"
    return [
        fit("configuration in memory, bytes", per, TEAM_COUNTS, memory),
        fit("buckets of an entry, bytes", per, TEAM_COUNTS, bucket_bytes),
        fit("snapshot as sent, bytes", per, TEAM_COUNTS, snapshot_bytes),
        fit("encoding a snapshot, CPU ms", per, TEAM_COUNTS, snapshot_ms),
        fit("restoring a snapshot, CPU ms", per, TEAM_COUNTS, restore_ms),
    ]


def _encode_snapshot(config: configuration.Configuration) -> bytes:
    return codec.to_msgpack(config.snapshot())


def _restore(snapshot: configuration.Snapshot) -> bool:
    return configuration.Configuration().restore(snapshot)


def _encode_prompt(program: programs.Program) -> bytes:
    prompt = program.prompt([{"role": "user", "content": "go on"}])
    return codec.to_json(prompt)


def _beats() -> list[Slope]:
    sizes: list[float] = []
    encode_ms: list[float] = []
    decode_ms: list[float] = []
    leases: list[float] = []
    for count in HEARD_COUNTS:
        reply = _beat_reply(count)
        data = codec.to_msgpack(reply)
        sizes.append(len(data))
        encode_ms.append(_cpu_ms(functools.partial(codec.to_msgpack, reply)))
        decode_ms.append(
            _cpu_ms(
                functools.partial(
                    codec.from_msgpack, data, messages.HeartbeatReply
                )
            )
        )
        request = messages.LeaseRequest(
            renewed=[_program_id(index) for index in range(count)], ended=[]
        )
        leases.append(len(codec.to_msgpack(request)))
    per = "sidecar with 13 endpoints"
    return [
        fit("reply to a beat, bytes", per, HEARD_COUNTS, sizes),
        fit("encoding a reply, CPU ms", per, HEARD_COUNTS, encode_ms),
        fit("decoding a reply, CPU ms", per, HEARD_COUNTS, decode_ms),
        fit("request for leases, bytes", "program", HEARD_COUNTS, leases),
    ]


def _programs() -> list[Slope]:
    memory: list[float] = []
    prompt_ms: list[float] = []
    for count in TURN_COUNTS:
        held, used = _allocated(functools.partial(_program_trees, count))
        memory.append(used / _PROGRAMS)
        program = next(iter(held[0].programs.values()))
        prompt_ms.append(_cpu_ms(functools.partial(_encode_prompt, program)))
    per = f"turn of {_TURN_CHARACTERS} new characters"
    logged = [
        float(len(codec.to_json(turns.encode(_turn("r", 1, characters)))))
        for characters in ANSWER_CHARACTERS
    ]
    return [
        fit(
            "turn in the log, bytes",
            "character of the answer",
            ANSWER_CHARACTERS,
            logged,
        ),
        fit("program at its home, bytes", per, TURN_COUNTS, memory),
        fit("building a prompt, CPU ms", per, TURN_COUNTS, prompt_ms),
    ]


def _by_sidecars() -> list[Slope]:
    found = [
        _observe(entries=3, sidecars=count, teams=8) for count in SIDECAR_COUNTS
    ]
    return _idle_slopes(found, "sidecar (3 entries)", SIDECAR_COUNTS)


def _by_entries() -> list[Slope]:
    found = [
        _observe(entries=count, sidecars=6, teams=8) for count in ENTRY_COUNTS
    ]
    return _idle_slopes(found, "entry (6 sidecars)", ENTRY_COUNTS)


def _by_teams() -> list[Slope]:
    found = [
        _observe(entries=3, sidecars=3, teams=count, changes=CHANGES)
        for count in TEAM_COUNTS
    ]
    per = "team (3 entries, 3 sidecars)"
    return [
        *_idle_slopes(found, per, TEAM_COUNTS),
        fit(
            "entry, CPU ms for each change",
            per,
            TEAM_COUNTS,
            [each.entry_change_ms for each in found],
        ),
        fit(
            "sidecar, CPU ms for each change",
            per,
            TEAM_COUNTS,
            [each.sidecar_change_ms for each in found],
        ),
        fit(
            "slowest change until in force everywhere, wall ms",
            per,
            TEAM_COUNTS,
            [each.slowest_change_ms for each in found],
        ),
    ]


@attrs.frozen(kw_only=True)
class _Idle:
    entry_core_part: float
    sidecar_core_part: float
    entry_bytes: float
    sidecar_bytes: float
    entry_change_ms: float = 0.0
    sidecar_change_ms: float = 0.0
    slowest_change_ms: float = 0.0


def _idle_slopes(
    found: list[_Idle], per: str, sizes: Sequence[int]
) -> list[Slope]:
    return [
        fit(
            f"{role}, {what}",
            per,
            sizes,
            [float(getattr(each, field)) for each in found],
        )
        for role, what, field in (
            ("entry", "parts of a core when idle", "entry_core_part"),
            ("sidecar", "parts of a core when idle", "sidecar_core_part"),
            ("entry", "resident bytes", "entry_bytes"),
            ("sidecar", "resident bytes", "sidecar_bytes"),
        )
    ]


def _observe(
    *, entries: int, sidecars: int, teams: int, changes: int = 0
) -> _Idle:
    size = cluster_module.Size(
        entries=entries, engines=0, services=0, beat_ms=_BEAT_MS
    )
    with processes.Group() as group:
        cluster = cluster_module.Cluster(
            group, size, cluster_module.Policies(), 1
        )
        cluster.start()
        for index in range(sidecars):
            cluster.start_sidecar(f"side-{index}")
        for node in cluster.sidecars:
            node.process.wait_ready(node.settings["http_address"])
        cluster.publish([_endpoint(index) for index in range(sidecars)])
        spec = {"rate_per_s": 10.0, "burst": 20.0}
        cluster.add_teams({f"team-{index}": spec for index in range(teams)})
        time.sleep(2.0)
        before = cluster.usage()
        started_s = time.monotonic()
        time.sleep(OBSERVED_S)
        idle_s = time.monotonic() - started_s
        after = cluster.usage()
        idle = _Idle(
            entry_core_part=(after.entry_s - before.entry_s) / idle_s / entries,
            sidecar_core_part=(after.sidecar_s - before.sidecar_s)
            / idle_s
            / sidecars,
            entry_bytes=after.entry_bytes,
            sidecar_bytes=after.sidecar_bytes,
        )
        return _with_changes(cluster, idle, changes) if changes else idle


def _with_changes(
    cluster: cluster_module.Cluster, idle: _Idle, changes: int
) -> _Idle:
    before = cluster.usage()
    started_s = time.monotonic()
    for index in range(changes):
        revision = cluster.publish_only([_rate_change(index)])
    time.sleep(_QUIET_S)
    elapsed_s = time.monotonic() - started_s
    after = cluster.usage()
    cluster.wait_revision(revision)
    slowest_s = 0.0
    for index in range(_WAITED_CHANGES):
        asked_s = time.monotonic()
        cluster.publish([_rate_change(index)])
        slowest_s = max(slowest_s, time.monotonic() - asked_s)
    entries = len(cluster.entries)
    sidecars = len(cluster.sidecars)
    entry_s = (after.entry_s - before.entry_s) / entries
    sidecar_s = (after.sidecar_s - before.sidecar_s) / sidecars
    entry_s -= idle.entry_core_part * elapsed_s
    sidecar_s -= idle.sidecar_core_part * elapsed_s
    return attrs.evolve(
        idle,
        entry_change_ms=entry_s * 1000.0 / changes,
        sidecar_change_ms=sidecar_s * 1000.0 / changes,
        slowest_change_ms=slowest_s * 1000.0,
    )


def _rate_change(index: int) -> dict[str, Any]:
    return {
        "kind": "team",
        "name": "team-0",
        "base_revision": -1,
        "spec": {"rate_per_s": 10.0 + index, "burst": 20.0},
    }


def _endpoint(index: int) -> dict[str, Any]:
    return {
        "kind": "endpoint",
        "name": f"engine-{index}",
        "base_revision": -1,
        "spec": {
            "host": f"side-{index}",
            "address": "127.0.0.1:9",
            "kind": "service",
        },
    }


def _configured(teams: int) -> configuration.Configuration:
    config = configuration.Configuration()
    for index in range(teams):
        key = {"team": f"team-{index}", "secret_sha256": uuid.uuid4().hex * 2}
        team = {"rate_per_s": 10.0, "burst": 20.0}
        config.apply(
            index + 1,
            objects.ConfigRecord(
                record_id=uuid.uuid4().hex,
                author="load",
                changes=[
                    _change(objects.TEAM, f"team-{index}", team),
                    _change(objects.KEY, uuid.uuid4().hex[:12], key),
                ],
            ),
        )
    return config


def _change(kind: str, name: str, spec: dict[str, Any]) -> objects.ObjectChange:
    return objects.ObjectChange(
        kind=kind, name=name, base_revision=objects.ANY_REVISION, spec=spec
    )


def _buckets(teams: int) -> team_rates.TeamRates:
    ledger = shares.ShareHolder("entry-0", "instance", lease_ms=3_000.0)
    rates = team_rates.TeamRates(ledger)
    spec = objects.TeamSpec(rate_per_s=10.0, burst=20.0)
    holders = shares.HolderSet(
        revision=1, holders={"entry-0": "instance"}, lease_ms=3_000.0
    )
    rates.configure(
        1,
        {f"team-{index}": spec for index in range(teams)},
        holders,
        holders,
        now_ms=0.0,
    )
    return rates


def _beat_reply(sidecars: int) -> messages.HeartbeatReply:
    """Returns the answer to a sidecar while every endpoint's load changes."""
    processes = change_log.ChangeLog[objects.ProcessSpec]("entry")
    processes.replace(
        {f"side-{index}": _process("sidecar") for index in range(sidecars)}
    )
    told = processes.since(change_log.Position(), sidecars)
    loads = change_log.ChangeLog[messages.EndpointLoad]("entry")
    loads.replace(_loads(sidecars))
    return messages.HeartbeatReply(
        host="entry-0",
        spec=_process("entry"),
        applied_offset=100_000,
        freshness_ms=120.5,
        snapshot=None,
        records=[],
        processes=processes.since(
            change_log.Position(instance="entry", version=told.version),
            entry_control.PROCESSES_PER_REPLY,
        ),
        lagging={},
        loads=loads.since(change_log.Position(), entry_control.LOADS_PER_REPLY),
        suspects=[],
    )


def _loads(sidecars: int) -> dict[str, messages.EndpointLoad]:
    return {
        f"engine-{index}-{replica}": messages.EndpointLoad(
            endpoint=f"engine-{index}-{replica}",
            running=7,
            queued=3,
            waiting_units=1234.5,
            units_per_s=678.9,
            up=True,
        )
        for index in range(sidecars)
        for replica in range(13)
    }


def _process(role: str) -> objects.ProcessSpec:
    return objects.ProcessSpec(
        role=role,
        instance=uuid.uuid4().hex[:16],
        http_address="192.0.2.100:8080",
        control_address="192.0.2.100:8081",
        failure_domain="camarones",
    )


def _program_trees(turn_count: int) -> list[programs.ProgramTree]:
    found: list[programs.ProgramTree] = []
    for index in range(_PROGRAMS):
        root = _program_id(index)
        tree = programs.ProgramTree(root=root, epoch=1, used_ms=0.0)
        record = turns.ProgramRecord(
            program=root,
            root=root,
            parent="",
            team="team-1",
            limits=turns.BudgetLimits(),
            deadline_ms=None,
            epoch=1,
            applied_offset=1,
        )
        program = tree.start(record, 0.0)
        for call in range(1, turn_count + 1):
            tree.finish(program, _turn(root, call), 0.0)
        found.append(tree)
    return found


def _turn(
    root: str, call: int, characters: int = _TURN_CHARACTERS // 2
) -> turns.TurnRecord:
    text = uuid.uuid4().hex * (characters // 32)
    answer = {"role": "assistant", "content": text}
    return turns.TurnRecord(
        program=root,
        root=root,
        epoch=1,
        call=call,
        digest=uuid.uuid4().hex,
        previous_chain="",
        chain=uuid.uuid4().hex,
        messages=[{"role": "user", "content": uuid.uuid4().hex * 60}],
        answer=answer,
        status=200,
        content_type="application/json",
        body=codec.to_json({"choices": [{"message": answer}]}).decode(),
        tokens=500,
        time_ms=1.0,
        ran="yes",
        applied_offset=1,
    )


def _program_id(index: int) -> str:
    return f"{index:020x}.side-{index % 360}.0123456789abcdef"


def _allocated(build: Callable[[], Any]) -> tuple[Any, float]:
    """Returns what ``build`` returns and the bytes that it holds."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    built = build()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return built, float(after - before)


def _cpu_ms(action: Callable[[], Any]) -> float:
    action()
    started_s = time.process_time()
    for _ in range(_REPEATS):
        action()
    return (time.process_time() - started_s) * 1000.0 / _REPEATS
