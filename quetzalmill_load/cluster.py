"""A small deployment of real processes on loopback, for measurements."""

import time
from typing import Any
import uuid

import attrs

from quetzalmill import keys
from quetzalmill_load import processes

DOMAINS = ("rawson", "madryn", "camarones", "trelew")
"""Failure domains that processes are spread over."""

MODEL = "planner"
"""The model that all engines serve."""

ROUTE = "orders"
"""The route to all plain services."""

_SETTLE_S = 0.5


@attrs.frozen(kw_only=True)
class Policies:
    """The policies that sidecars run with.

    Attributes:
        queue: ``fair`` or ``fifo``.
        placement: ``cache_and_wait``, ``least_outstanding`` or
            ``round_robin``.
        limit: ``fixed`` or ``memory``.
    """

    queue: str = "fair"
    placement: str = "cache_and_wait"
    limit: str = "fixed"

    @property
    def name(self) -> str:
        """Returns the policies as one word."""
        return f"{self.placement}+{self.queue}+{self.limit}"


@attrs.frozen(kw_only=True)
class Size:
    """How large a deployment is.

    Attributes:
        entries: Entry processes.
        engines: Engines, each with a sidecar.
        services: Plain services, each with a sidecar.
        slots: Requests that an engine runs at once.
        memory_tokens: Tokens that an engine's cache holds.
        prefill_tokens_per_s: An engine's prefill rate.
        decode_ms: The time of an engine's decoding step.
        chunk_tokens: Tokens in one piece of a streamed answer.
        beat_ms: Time between two heartbeats.
    """

    entries: int = 3
    engines: int = 4
    services: int = 2
    slots: int = 4
    memory_tokens: int = 60_000
    prefill_tokens_per_s: float = 8_000.0
    decode_ms: float = 4.0
    chunk_tokens: int = 8
    beat_ms: int = 200


@attrs.define
class Node:
    """A process of the system with its settings."""

    process: processes.Process
    settings: dict[str, Any]
    role: str


@attrs.frozen
class Usage:
    """CPU time and memory of the system's processes at one moment.

    Attributes:
        entry_s: CPU seconds of all entries.
        sidecar_s: CPU seconds of all sidecars.
        entry_bytes: The largest resident memory of an entry.
        sidecar_bytes: The largest resident memory of a sidecar.
    """

    entry_s: float
    sidecar_s: float
    entry_bytes: int
    sidecar_bytes: int


class Cluster:
    """The processes of a deployment; ``group`` ends them."""

    def __init__(
        self, group: processes.Group, size: Size, policies: Policies, seed: int
    ) -> None:
        self._group = group
        self.size = size
        self._policies = policies
        self._seed = seed
        self.log = group.emulator("log")
        self.log_address = self.log.address
        self.entries: list[Node] = []
        self.sidecars: list[Node] = []
        self.services: list[str] = []
        self.engines: list[str] = []
        self.keys: dict[str, str] = {}

    def start(self) -> None:
        """Starts every process and publishes endpoints, model and route."""
        self._start_entries()
        changes = [
            _change("model", MODEL, {"selector": "does=chat"}),
            _change("route", ROUTE, {"selector": "does=orders"}),
        ]
        for index in range(self.size.engines):
            changes.append(self._start_engine(index))
        for index in range(self.size.services):
            changes.append(self._start_service(index))
        for node in self.sidecars:
            node.process.wait_ready(node.settings["http_address"])
        self.publish(changes)

    def publish(self, changes: list[dict[str, Any]]) -> int:
        """Publishes changes and waits until all processes have them.

        Raises:
            processes.LoadError: They are rejected or do not arrive.
        """
        revision = self.publish_only(changes)
        self.wait_revision(revision)
        return revision

    def wait_revision(self, revision: int) -> None:
        """Waits until all processes have applied a revision.

        Raises:
            processes.LoadError: They do not in time.
        """
        processes.wait_until(
            lambda: all(
                state["applied_offset"] >= revision for state in self.states()
            ),
            f"revision {revision} is everywhere",
        )

    def publish_only(self, changes: list[dict[str, Any]]) -> int:
        """Publishes changes and returns their revision at once.

        Raises:
            processes.LoadError: They are rejected.
        """
        record = {
            "record_id": uuid.uuid4().hex,
            "author": "load",
            "changes": changes,
        }
        address = self.entries[0].settings["operator_address"]
        status, body = processes.ask(
            address, "POST", "/operator/v1/publish", record
        )
        if status != 200:
            raise processes.LoadError(f"publishing: {status} {body}")
        return int(body["revision"])

    def add_teams(self, teams: dict[str, dict[str, Any]]) -> None:
        """Publishes teams with one key each, once the shares are settled."""
        count = len(self.entries)
        processes.wait_until(
            lambda: all(
                state["shares"]["settled"]
                and len(state["shares"]["holders"]) == count
                for state in self.states()[:count]
            ),
            "the shares are settled",
        )
        changes: list[dict[str, Any]] = []
        for team, spec in teams.items():
            issued = keys.issue()
            key = {"team": team, "secret_sha256": issued.secret_sha256}
            changes.append(_change("team", team, spec))
            changes.append(_change("key", issued.key_id, key))
            self.keys[team] = issued.key
        self.publish(changes)
        time.sleep(_SETTLE_S)

    def states(self) -> list[dict[str, Any]]:
        """Returns the state dumps of entries, then of sidecars."""
        found = []
        for node in self.entries + self.sidecars:
            if not node.process.running:
                continue
            address = node.settings.get(
                "operator_address", node.settings["http_address"]
            )
            found.append(processes.ask(address, "GET", "/state")[1])
        return found

    def usage(self) -> Usage:
        """Returns what the processes have used so far."""
        return Usage(
            entry_s=sum(n.process.cpu_s() for n in self.entries),
            sidecar_s=sum(n.process.cpu_s() for n in self.sidecars),
            entry_bytes=max(n.process.resident_bytes() for n in self.entries),
            sidecar_bytes=max(
                (n.process.resident_bytes() for n in self.sidecars), default=0
            ),
        )

    def double_runs(self) -> int:
        """Returns how many non-idempotent requests ran more than once."""
        counts = [
            processes.ask(address, "GET", "/debug/runs")[1]["references"]
            for address in self.services
        ]
        runs: dict[str, int] = {}
        for each in counts:
            for reference, count in each.items():
                runs[reference] = runs.get(reference, 0) + count
        return sum(1 for count in runs.values() if count > 1)

    def kill_sidecar(self, index: int) -> None:
        """Ends a sidecar without notice."""
        self.sidecars[index].process.kill()

    def restart_sidecar(self, index: int) -> None:
        """Starts a sidecar again that has ended."""
        node = self.sidecars[index]
        node.process = self._start_node("sidecar", node.settings).process

    def set_log_down(self, down: bool) -> None:
        """Takes the log down or brings it back."""
        processes.ask(self.log_address, "POST", "/faults", {"down": down})

    def start_sidecar(self, name: str) -> Node:
        """Starts one more sidecar without waiting for it."""
        settings = {
            "host": name,
            "failure_domain": DOMAINS[len(self.sidecars) % len(DOMAINS)],
            "http_address": processes.free_address(),
            "control_address": processes.free_address(),
            "log_address": self.log_address,
            "entries": [e.settings["control_address"] for e in self.entries],
            "beat_ms": self.size.beat_ms,
            "queue_policy": self._policies.queue,
            "placement_policy": self._policies.placement,
            "limit_policy": self._policies.limit,
            "log_level": "error",
        }
        node = self._start_node("sidecar", settings)
        self.sidecars.append(node)
        return node

    def _start_entries(self) -> None:
        controls = [processes.free_address() for _ in range(self.size.entries)]
        for index, control in enumerate(controls):
            settings = {
                "host": f"entry-{index}",
                "failure_domain": DOMAINS[index % len(DOMAINS)],
                "http_address": processes.free_address(),
                "operator_address": processes.free_address(),
                "control_address": control,
                "log_address": self.log_address,
                "peers": [c for c in controls if c != control],
                "beat_ms": self.size.beat_ms,
                "log_level": "error",
            }
            self.entries.append(self._start_node("entry", settings))
        for entry in self.entries:
            entry.process.wait_ready(entry.settings["http_address"])

    def _start_engine(self, index: int) -> dict[str, Any]:
        address = self._group.emulator(
            "engine",
            f"--seed={self._seed + index}",
            f"--slots={self.size.slots}",
            f"--memory-tokens={self.size.memory_tokens}",
            f"--prefill-tokens-per-s={self.size.prefill_tokens_per_s}",
            f"--decode-ms={self.size.decode_ms}",
            f"--chunk-tokens={self.size.chunk_tokens}",
        ).address
        self.engines.append(address)
        spec = {
            "host": f"engine-host-{index}",
            "address": address,
            "labels": {"does": "chat"},
            "slots": self.size.slots,
            "memory_tokens": self.size.memory_tokens,
        }
        self.start_sidecar(str(spec["host"]))
        return _change("endpoint", f"engine-{index}", spec)

    def _start_service(self, index: int) -> dict[str, Any]:
        address = self._group.emulator("service", "--work-ms=20").address
        self.services.append(address)
        spec = {
            "host": f"service-host-{index}",
            "address": address,
            "kind": "service",
            "labels": {"does": "orders"},
        }
        self.start_sidecar(str(spec["host"]))
        return _change("endpoint", f"service-{index}", spec)

    def _start_node(self, role: str, settings: dict[str, Any]) -> Node:
        name = f"{settings['host']}.toml"
        text = "".join(f"{k} = {_toml(v)}\n" for k, v in settings.items())
        path = self._group.write(name, text)
        process = self._group.start(
            settings["host"], "quetzalmill", role, str(path)
        )
        return Node(process, settings, role)


def _change(kind: str, name: str, spec: dict[str, Any]) -> dict[str, Any]:
    return {"kind": kind, "name": name, "base_revision": -1, "spec": spec}


def _toml(value: Any) -> str:
    if isinstance(value, list):
        return "[" + ", ".join(_toml(each) for each in value) + "]"
    if isinstance(value, str):
        return f'"{value}"'
    return str(value)
