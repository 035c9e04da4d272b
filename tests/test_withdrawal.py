"""Tests of keys and configuration under faults, with real processes."""

from collections.abc import Iterator
from concurrent import futures
import functools
import time
from typing import Any
import uuid

import pytest

from quetzalmill import keys
from quetzalmill_emulator import fault_proxy
from tests import deployment
from tests import harness

BOUND_S = 15.0
"""Maximum time until an accepted change is in force everywhere."""


class System:
    """Three entries, the last behind a proxy to the log, and two sidecars."""

    def __init__(self, running: deployment.Deployment, proxy: Any) -> None:
        self.running = running
        self.proxy = proxy
        self.engine = running.fleet.emulator("engine", "--slots", "1")

    def issue(self, team: str) -> tuple[str, str]:
        """Publishes a new key of a team; returns its id and the key."""
        issued = keys.issue()
        self.running.publish_ok(
            deployment.change(
                "key",
                issued.key_id,
                {"team": team, "secret_sha256": issued.secret_sha256},
            )
        )
        return issued.key_id, issued.key

    def withdraw(self, key_id: str, team: str, entry: int = 0) -> int:
        """Withdraws a key; returns the revision of the change."""
        reply = self.running.publish(
            [
                deployment.change(
                    "key",
                    key_id,
                    {
                        "team": team,
                        "secret_sha256": "0" * 64,
                        "withdrawn": True,
                    },
                )
            ],
            entry,
        )
        assert reply.status == 200, reply
        return int(reply.body["revision"])

    def ask(self, key: str, entry: int, **fields: Any) -> harness.Reply:
        """Sends a short completion request."""
        body = {
            "model": "planner",
            "messages": [{"role": "user", "content": "cover?"}],
            **fields,
        }
        return harness.call(
            self.running.entries[entry].http,
            "POST",
            "/v1/chat/completions",
            body,
            deployment.bearer(key),
        )


@pytest.fixture(scope="module")
def system() -> Iterator[System]:
    with harness.Fleet() as fleet, fault_proxy.FaultProxy(seed=4) as proxy:
        running = deployment.Deployment(fleet)
        link = proxy.link("log", running.log_address)
        running.start_entries(3, {2: {"log_address": link}})
        created = System(running, proxy)
        for _ in range(2):
            running.start_sidecar()
        running.publish_ok(
            deployment.change(
                "endpoint",
                "engine-0",
                {
                    "host": "side-0",
                    "address": created.engine.address,
                    "slots": 1,
                },
            ),
            deployment.change("model", "planner", {"selector": ""}),
        )
        running.wait_shares_settled()
        running.add_team("keepers")
        yield created


class TestWithdrawnKey:
    """A withdrawn key stops working within seconds, everywhere."""

    def test_new_requests_are_refused_on_every_entry(
        self, system: System
    ) -> None:
        key_id, key = system.issue("keepers")
        assert system.ask(key, 1).status == 200
        system.withdraw(key_id, "keepers")
        for entry in range(3):
            harness.eventually(
                functools.partial(_is_refused, system, key, entry),
                BOUND_S,
                f"entry {entry} refuses the key",
            )

    def test_entry_cut_from_the_log_gets_changes_from_peers(
        self, system: System
    ) -> None:
        key_id, key = system.issue("keepers")
        system.proxy.set_faults("log", cut_requests=True, cut_replies=True)
        try:
            revision = system.withdraw(key_id, "keepers")
            entry = system.running.entries[2]
            harness.eventually(
                lambda: entry.state()["applied_offset"] >= revision,
                BOUND_S,
                "the entry without the log has the withdrawal",
            )
            assert entry.state()["keys"][key_id] is True
            assert system.ask(key, 2).status == 401
        finally:
            system.proxy.heal("log")

    def test_running_stream_is_aborted(self, system: System) -> None:
        key_id, key = system.issue("keepers")
        with _long_stream(system, key) as answer:
            events = answer.events()
            next(events)
            system.withdraw(key_id, "keepers")
            started_s = time.monotonic()
            data = [event.data for event in events]
        assert "key_withdrawn" in data[-1]
        assert "[DONE]" not in data
        assert time.monotonic() - started_s < BOUND_S

    def test_queued_request_is_refused_as_not_run(self, system: System) -> None:
        _, busy_key = system.issue("keepers")
        key_id, key = system.issue("keepers")
        with (
            _long_stream(system, busy_key) as busy,
            futures.ThreadPoolExecutor() as pool,
        ):
            next(busy.events())
            before = _received(system)
            queued = pool.submit(system.ask, key, 0, user="queued behind")
            harness.eventually(
                lambda: _queued(system) == 1, what="the request is queued"
            )
            system.withdraw(key_id, "keepers")
            reply = queued.result(BOUND_S)
            harness.eventually(
                lambda: _queued(system) == 0, BOUND_S, "the queue is empty"
            )
            assert _received(system) == before
        assert (reply.status, reply.body["ran"]) in (
            (401, "no"),
            (401, "unknown"),
        )


class TestNoKeyLeaks:
    """Keys do not appear in requests to endpoints or in logs."""

    def test_engine_sees_no_key(self, system: System) -> None:
        _, key = system.issue("keepers")
        assert system.ask(key, 0).status == 200
        received = str(
            harness.call(system.engine.address, "GET", "/debug/requests").body
        )
        secret = key.rpartition("_")[2]
        assert secret not in received
        assert "authorization" not in received.lower()

    def test_logs_hold_no_key(self, system: System) -> None:
        _, key = system.issue("keepers")
        system.ask(key, 0)
        secret = key.rpartition("_")[2]
        for node in system.running.entries + system.running.sidecars:
            assert secret not in node.process.output()


class TestPublishing:
    """Publishing during races, lost replies and outages of the log."""

    def test_of_two_operators_one_gets_a_conflict(self, system: System) -> None:
        base = system.running.publish_ok(
            deployment.change("team", "raced", {"rate_per_s": 1, "burst": 1})
        )
        replies = [
            system.running.publish(
                [
                    deployment.change(
                        "team", "raced", {"rate_per_s": rate, "burst": 1}, base
                    )
                ],
                entry,
            )
            for entry, rate in ((0, 5), (1, 7))
        ]
        assert [reply.status for reply in replies] == [200, 409]
        assert replies[1].body["object"] == "team/raced"
        assert replies[1].body["revision"] == replies[0].body["revision"]

    def test_lost_reply_is_answered_accepted(self, system: System) -> None:
        harness.call(
            system.running.log_address,
            "POST",
            "/faults",
            {"lose_replies": 1, "stream": "config"},
        )
        record = {
            "record_id": uuid.uuid4().hex,
            "author": "test",
            "changes": [
                deployment.change("team", "lost", {"rate_per_s": 1, "burst": 1})
            ],
        }
        first = _publish(system, record)
        again = _publish(system, record)
        assert first.status == again.status == 200
        assert first.body["revision"] == again.body["revision"]

    def test_outage_refuses_publishing_and_keeps_serving(
        self, system: System
    ) -> None:
        _, key = system.issue("keepers")
        log = system.running.log_address
        harness.call(log, "POST", "/faults", {"reject_appends": True})
        try:
            reply = system.running.publish(
                [deployment.change("team", "x", {"rate_per_s": 1, "burst": 1})]
            )
            assert reply.status == 503
            assert reply.body["outcome"] == "unavailable"
            assert system.ask(key, 0).status == 200
        finally:
            harness.call(log, "POST", "/faults", {})


class TestOutage:
    """A process that starts during an outage of the log uses a peer's state."""

    def test_processes_start_during_an_outage(self, system: System) -> None:
        _, key = system.issue("keepers")
        log = system.running.log_address
        entry = system.running.entries[1]
        harness.call(log, "POST", "/faults", {"down": True})
        try:
            entry.process.kill()
            system.running.restart(entry)
            sidecar = system.running.start_sidecar()
            offsets = [
                node.state()["applied_offset"]
                for node in (system.running.entries[0], entry, sidecar)
            ]
            assert len(set(offsets)) == 1
            harness.eventually(
                lambda: system.ask(key, 1).status in (200, 503),
                BOUND_S,
                "the new entry answers",
            )
            assert _seen_offsets_grow(entry)
        finally:
            harness.call(log, "POST", "/faults", {})
        system.running.publish_ok(
            deployment.change("team", "after", {"rate_per_s": 1, "burst": 1})
        )

    def test_restart_after_the_log_was_truncated(self, system: System) -> None:
        system.running.publish_ok(
            deployment.change("team", "old", {"rate_per_s": 1, "burst": 1})
        )
        end = system.running.entries[0].state()["applied_offset"] + 1
        harness.call(
            system.running.log_address,
            "POST",
            "/streams/config/truncate",
            {"before": end},
        )
        entry = system.running.entries[1]
        entry.process.kill()
        system.running.restart(entry)
        revision = system.running.publish_ok(
            deployment.change("team", "new", {"rate_per_s": 1, "burst": 1})
        )
        assert entry.state()["applied_offset"] >= revision


def _is_refused(system: System, key: str, entry: int) -> bool:
    return system.ask(key, entry).status == 401


def _received(system: System) -> int:
    listed = harness.call(system.engine.address, "GET", "/debug/requests")
    return len(listed.body)


def _queued(system: System) -> int:
    loads = system.running.sidecars[0].state()["loads"]
    return int(loads[0]["queued"])


class TestEntryCutOff:
    """An entry refuses requests if its configuration may be outdated."""

    def test_single_entry_refuses_until_the_log_recovers(
        self, system: System
    ) -> None:
        _, key = system.issue("keepers")
        log = system.running.log_address
        harness.call(log, "POST", "/faults", {"down": True})
        for entry in system.running.entries[:2]:
            entry.process.kill()
        harness.eventually(
            lambda: _code(system.ask(key, 2)) == "configuration_stale",
            BOUND_S,
            "the entry refuses",
        )
        harness.call(log, "POST", "/faults", {})
        harness.eventually(
            lambda: _code(system.ask(key, 2)) != "configuration_stale",
            BOUND_S,
            "the entry decides again",
        )


def _code(reply: harness.Reply) -> str:
    return str(reply.body.get("code", ""))


def _long_stream(system: System, key: str, text: str = "long") -> Any:
    body = {
        "model": "planner",
        "stream": True,
        "answer_tokens": 800,
        "max_tokens": 800,
        "messages": [{"role": "user", "content": text}],
    }
    return harness.stream(
        system.running.entries[0].http,
        "POST",
        "/v1/chat/completions",
        body,
        deployment.bearer(key),
    )


def _publish(system: System, record: dict[str, Any]) -> harness.Reply:
    return harness.call(
        system.running.entries[0].operator,
        "POST",
        "/operator/v1/publish",
        record,
    )


def _seen_offsets_grow(node: deployment.Node) -> bool:
    seen = [node.state()["applied_offset"] for _ in range(20)]
    return seen == sorted(seen)
