"""Orders to engines, including those of an old sidecar that was paused."""

from collections.abc import Iterator
from typing import Any

import pytest

from tests import deployment
from tests import harness


class System:
    """One entry and one sidecar beside an engine."""

    def __init__(self, running: deployment.Deployment, *options: str) -> None:
        self.running = running
        self.engine = running.fleet.emulator("engine", *options)
        running.start_sidecar()

    def want(self, version: str) -> int:
        """Publishes the wanted version of the engine; returns the revision."""
        reply = self.running.publish(
            [
                deployment.change(
                    "endpoint",
                    "engine-0",
                    {
                        "host": "side-0",
                        "address": self.engine.address,
                        "wanted": {"version": version},
                    },
                )
            ]
        )
        assert reply.status == 200, reply
        return int(reply.body["revision"])

    def obeyed(self) -> list[dict[str, Any]]:
        """Returns the orders that the engine executed, oldest first."""
        reply = harness.call(self.engine.address, "GET", "/debug/orders")
        orders: list[dict[str, Any]] = reply.body["orders"]
        return orders

    def wait_obeyed(self, version: str, fencing: int) -> None:
        """Waits until the engine's newest order is the published one."""
        expected = {"order": {"version": version}, "fencing": fencing}
        harness.eventually(
            lambda: self.obeyed()[-1:] == [expected],
            15.0,
            f"the engine has version {version}",
        )


@pytest.fixture(params=["--checks-fencing", "--no-checks-fencing"])
def system(request: pytest.FixtureRequest) -> Iterator[System]:
    with deployment.running(entries=1) as running:
        yield System(running, request.param)


class TestOrders:
    """The engine ends up with the order that was published last."""

    def test_newest_order_wins(self, system: System) -> None:
        for version in ("1", "2", "3"):
            revision = system.want(version)
        system.wait_obeyed("3", revision)

    def test_resumed_sidecar_cannot_restore_an_old_order(
        self, system: System
    ) -> None:
        system.wait_obeyed("1", system.want("1"))
        old = system.running.sidecars[0]
        old.process.freeze()
        system.running.start_sidecar(host="side-0", failure_domain="rawson")
        revision = system.want("2")
        system.wait_obeyed("2", revision)
        before = len(system.obeyed())
        old.process.resume()
        harness.eventually(
            lambda: not old.process.running, 15.0, "the old sidecar stops"
        )
        assert [o["fencing"] for o in system.obeyed()[before:]] in (
            [],
            [revision],
        )
