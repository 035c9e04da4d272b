"""Tests of the metrics that processes send to statsd."""

import collections
from collections.abc import Iterator
import socket
import threading

import pytest

from quetzalmill import metrics
from quetzalmill import metrics_report
from tests import conversation
from tests import deployment
from tests import harness

SENT = {
    "entry": {
        "requests.keepers": "c",
        "requests.few": "c",
        "refusals.key_unknown": "c",
        "refusals.over_rate": "c",
        "outcomes_unknown": "c",
        "admitted.keepers": "c",
        "over_rate.few": "c",
        "request_ms": "ms",
        "first_token_ms": "ms",
        "evacuated_domains": "g",
        "applied_offset": "g",
        "peers_live": "g",
        "log_errors": "c",
        "control_messages": "c",
        "control_bytes": "c",
    },
    "sidecar": {
        "program_ms.keepers": "ms",
        "queue_ms.keepers": "ms",
        "queue_length": "g",
        "running": "g",
        "running_limit": "g",
        "retries": "c",
        "programs": "g",
        "commits": "c",
        "commit_ms": "ms",
        "commit_buffer_bytes": "g",
        "prompt_tokens": "c",
        "prompt_tokens_computed": "c",
        "engine_memory_tokens": "g",
        "endpoint_failures": "c",
        "evacuated_domains": "g",
        "applied_offset": "g",
        "peers_live": "g",
        "log_errors": "c",
        "control_messages": "c",
        "control_bytes": "c",
    },
}


class TestDeployment:
    """Metrics of a deployment under traffic and faults."""

    def test_metrics_arrive_with_correct_values(self, statsd: "Statsd") -> None:
        with deployment.running(statsd_address=statsd.address) as running:
            engine = running.fleet.emulator("engine")
            running.start_sidecar(statsd_address=statsd.address)
            running.publish_ok(
                deployment.change(
                    "endpoint",
                    "engine-0",
                    {"host": "side-0", "address": engine.address, "slots": 3},
                ),
                deployment.change("model", "planner", {"selector": ""}),
            )
            running.wait_shares_settled()
            running.add_team("few", rate_per_s=0.01, burst=1.0)
            running.add_team("keepers")
            running.wait_tokens("few", 1.0)
            first = conversation.Conversation(running)
            first.ask("first")
            first.ask("second")
            statsd.wait("sidecar.side-0.engine_memory_tokens", above=0)
            assert first.request("DELETE", f"/v1/programs/{first.program}")
            limited = conversation.Conversation(running, team="few")
            limited.ask("within the rate")
            assert not limited.send(2, "over the rate").done
            entry = running.entries[0].http
            assert harness.call(entry, "GET", "/v1/programs/x").status == 401
            second = conversation.Conversation(running)
            engine.freeze()
            expired = second.request(
                "POST",
                "/v1/chat/completions",
                {"model": "planner", "messages": [{"role": "user"}]},
                Quetzalmill_Deadline_Ms="300",
            )
            assert expired.body["ran"] == "unknown", expired
            engine.kill()
            assert not second.send(1, "no engine").done
            harness.call(running.log_address, "POST", "/faults", {"down": True})
            second.request("DELETE", f"/v1/programs/{second.program}")
            for role, names in SENT.items():
                host = "entry-0" if role == "entry" else "side-0"
                for name, kind in names.items():
                    statsd.wait(f"{role}.{host}.{name}", kind=kind)
            assert statsd.last("sidecar.side-0.running_limit") == 3
            assert statsd.total("entry.entry-0.requests.few") == 3
            assert statsd.total("entry.entry-0.over_rate.few") == 1
            assert statsd.total("entry.entry-0.admitted.keepers") == 4
            prompt = statsd.total("sidecar.side-0.prompt_tokens")
            computed = statsd.total("sidecar.side-0.prompt_tokens_computed")
            assert 0 < computed < prompt


class TestReporter:
    """Reports of totals as increases since the previous report."""

    def test_totals_are_sent_as_increases(self, statsd: "Statsd") -> None:
        sender = metrics.Metrics(statsd.address, "entry", "e")
        totals = iter([3, 3, 5])
        reporter = metrics_report.Reporter(
            sender,
            gauges={metrics.PROGRAMS: lambda: 7},
            totals={metrics.RETRIES: lambda: next(totals)},
        )
        for _ in range(3):
            reporter.report()
        sender.count(metrics.TAKEOVERS)
        statsd.wait("entry.e.takeovers")
        assert statsd.values["entry.e.retries"] == [("c", 3.0), ("c", 2.0)]
        assert statsd.values["entry.e.programs"] == [("g", 7.0)] * 3
        sender.close()


class Statsd:
    """A statsd server that keeps the metrics that it receives.

    Attributes:
        address: Where it listens.
        values: Kinds and values in order, by name without the common prefix.
    """

    def __init__(self) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(("127.0.0.1", 0))
        self._socket.settimeout(0.1)
        self._closing = False
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        self.values: dict[str, list[tuple[str, float]]] = (
            collections.defaultdict(list)
        )
        self._thread = threading.Thread(target=self._receive, daemon=True)
        self._thread.start()

    def wait(self, name: str, kind: str = "", above: float = -1) -> None:
        """Waits for a metric of the given kind with a value above a bound."""

        def arrived() -> bool:
            return any(
                kind in ("", found) and value > above
                for found, value in list(self.values.get(name, ()))
            )

        harness.eventually(arrived, what=f"{name} arrives")

    def total(self, name: str) -> float:
        """Returns the sum of a counter."""
        return sum(value for _, value in self.values[name])

    def last(self, name: str) -> float:
        """Returns the last value of a gauge."""
        return self.values[name][-1][1]

    def close(self) -> None:
        """Stops receiving."""
        self._closing = True
        self._thread.join()
        self._socket.close()

    def _receive(self) -> None:
        while not self._closing:
            try:
                line = self._socket.recv(512).decode()
            except TimeoutError:
                continue
            name, _, rest = line.partition(":")
            value, _, kind = rest.partition("|")
            short = name.removeprefix("quetzalmill.")
            self.values[short].append((kind, float(value)))


@pytest.fixture
def statsd() -> Iterator[Statsd]:
    receiver = Statsd()
    yield receiver
    receiver.close()
