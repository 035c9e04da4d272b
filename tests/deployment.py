"""Runs a small deployment of real processes for tests."""

from collections.abc import Iterator
import contextlib
from typing import Any
import uuid

import attrs

from quetzalmill import keys
from tests import harness

DOMAINS = ("rawson", "madryn", "camarones", "trelew")

FAST_TIMEOUTS = {
    "beat_ms": 100,
    "peer_timeout_ms": 500,
}
"""Settings that let processes detect each other's failures quickly."""

FAST_ENTRY_SETTINGS = {"config_lease_ms": 1500, "share_lease_ms": 1000}
FAST_SIDECAR_SETTINGS = {"commit_interval_ms": 5, "memory_check_ms": 300}


@attrs.define
class Node:
    """One process of the system.

    Attributes:
        host: The host name.
        process: The running process.
        settings: The settings, as written to the settings file.
    """

    host: str
    process: harness.Process
    settings: dict[str, Any]

    @property
    def http(self) -> str:
        """Returns the address of its HTTP interface."""
        return str(self.settings["http_address"])

    @property
    def operator(self) -> str:
        """Returns the address of its operator API."""
        return str(self.settings["operator_address"])

    def state(self) -> dict[str, Any]:
        """Returns a dump of its state."""
        address = self.settings.get("operator_address") or self.http
        dump: dict[str, Any] = harness.call(address, "GET", "/state").body
        return dump


class Deployment:
    """A log emulator, entries and sidecars on loopback."""

    def __init__(self, fleet: harness.Fleet, *log_options: str) -> None:
        self.fleet = fleet
        self.log = fleet.emulator("log", *log_options)
        self.entries: list[Node] = []
        self.sidecars: list[Node] = []
        self.engines: list[harness.Process] = []
        self.keys: dict[str, str] = {}

    @property
    def log_address(self) -> str:
        """Returns the address of the log emulator."""
        return self.log.address

    def start_entries(
        self,
        count: int,
        overrides: dict[int, dict[str, Any]] | None = None,
        **settings: Any,
    ) -> None:
        """Starts entries that are peers of each other.

        Args:
            count: The number of entries.
            overrides: Settings of individual entries, by index.
            **settings: Settings of all entries.
        """
        controls = [harness.free_address() for _ in range(count)]
        for index, control in enumerate(controls):
            values = {
                "host": f"entry-{index}",
                "failure_domain": DOMAINS[index % len(DOMAINS)],
                "http_address": harness.free_address(),
                "operator_address": harness.free_address(),
                "control_address": control,
                "log_address": self.log_address,
                "peers": [c for c in controls if c != control],
                **FAST_TIMEOUTS,
                **FAST_ENTRY_SETTINGS,
                **settings,
                **(overrides or {}).get(index, {}),
            }
            self.entries.append(self._start("entry", values))
        for entry in self.entries:
            entry.process.wait_ready(entry.http)

    def start_sidecar(self, **settings: Any) -> Node:
        """Starts another sidecar."""
        index = len(self.sidecars)
        values = {
            "host": f"side-{index}",
            "failure_domain": DOMAINS[index % len(DOMAINS)],
            "http_address": harness.free_address(),
            "control_address": harness.free_address(),
            "log_address": self.log_address,
            "entries": [e.settings["control_address"] for e in self.entries],
            **FAST_TIMEOUTS,
            **FAST_SIDECAR_SETTINGS,
            **settings,
        }
        node = self._start("sidecar", values)
        self.sidecars.append(node)
        node.process.wait_ready(node.http)
        return node

    def restart(self, node: Node) -> None:
        """Restarts an ended process with the same settings."""
        role = "entry" if "operator_address" in node.settings else "sidecar"
        node.process = self._start(role, node.settings).process
        node.process.wait_ready(node.http)

    def publish(
        self, changes: list[dict[str, Any]], entry: int = 0
    ) -> harness.Reply:
        """Publishes changes and returns the response."""
        record = {
            "record_id": uuid.uuid4().hex,
            "author": "test",
            "changes": changes,
        }
        return harness.call(
            self.entries[entry].operator,
            "POST",
            "/operator/v1/publish",
            record,
        )

    def publish_ok(self, *changes: dict[str, Any]) -> int:
        """Publishes changes and waits until all processes have applied them."""
        reply = self.publish(list(changes))
        assert reply.status == 200, reply
        revision = int(reply.body["revision"])
        self.wait_revision(revision)
        return revision

    def wait_revision(self, revision: int) -> None:
        """Waits until all running processes have applied a revision."""
        nodes = [n for n in self.entries + self.sidecars if n.process.running]
        harness.eventually(
            lambda: all(n.state()["applied_offset"] >= revision for n in nodes),
            what=f"all processes have applied revision {revision}",
        )

    def add_team(self, team: str, **spec: Any) -> str:
        """Publishes a team with one key and returns the key."""
        issued = keys.issue()
        values = {"rate_per_s": 1000.0, "burst": 1000.0, **spec}
        self.publish_ok(
            change("team", team, values),
            change(
                "key",
                issued.key_id,
                {"team": team, "secret_sha256": issued.secret_sha256},
            ),
        )
        self.keys[team] = issued.key
        return issued.key

    def wait_shares_settled(self) -> None:
        """Waits until the shares are settled among all running entries."""
        count = len([e for e in self.entries if e.process.running])

        def settled() -> bool:
            shares = [
                e.state()["shares"] for e in self.entries if e.process.running
            ]
            return all(
                s["settled"] and len(s["holders"]) == count for s in shares
            )

        harness.eventually(settled, what="the shares are settled")

    def wait_tokens(self, team: str, at_least: float) -> None:
        """Waits until the entries together hold enough tokens of a team."""

        def enough() -> bool:
            levels = [e.state()["tokens"].get(team, 0) for e in self.entries]
            return bool(sum(levels) >= at_least)

        harness.eventually(enough, what=f"{team} has {at_least} tokens")

    def _start(self, role: str, values: dict[str, Any]) -> Node:
        name = f"{values['host']}-{uuid.uuid4().hex[:6]}"
        text = "".join(f"{k} = {_toml_value(v)}\n" for k, v in values.items())
        path = self.fleet.write(f"{name}.toml", text)
        process = self.fleet.start(name, "quetzalmill", role, str(path))
        return Node(host=values["host"], process=process, settings=values)


@contextlib.contextmanager
def running(entries: int = 1, **settings: Any) -> Iterator[Deployment]:
    """Starts the log emulator and entries; stops everything afterwards."""
    with harness.Fleet() as fleet:
        deployment = Deployment(fleet)
        deployment.start_entries(entries, **settings)
        yield deployment


def change(
    kind: str, name: str, spec: dict[str, Any] | None, base: int = -1
) -> dict[str, Any]:
    """Returns the change of an object in the format of the operator API."""
    return {"kind": kind, "name": name, "base_revision": base, "spec": spec}


def bearer(key: str, **headers: str) -> dict[str, str]:
    """Returns a caller's headers; underscores in names become hyphens."""
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    return {"Authorization": f"Bearer {key}", **named}


def _toml_value(value: Any) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, list):
        return "[" + ", ".join(_toml_value(each) for each in value) + "]"
    if isinstance(value, str):
        return f'"{value}"'
    return str(value)
