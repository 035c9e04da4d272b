"""Tests that snapshots preserve configuration records that expired."""

from quetzalmill import config_tail
from tests import deployment
from tests import harness

SNAPSHOT_BOUND_S = 30.0


class TestRetention:
    """Restarts of all processes after the log has truncated the records."""

    def test_configuration_is_restored_from_a_snapshot(self) -> None:
        with deployment.running(entries=2) as running:
            sidecar = running.start_sidecar()
            running.wait_shares_settled()
            key = running.add_team("keepers")
            for number in range(config_tail.SNAPSHOT_RECORDS):
                reply = running.publish(
                    [
                        deployment.change(
                            "team",
                            f"team-{number % 10}",
                            {"rate_per_s": number + 1, "burst": 1},
                        )
                    ]
                )
                assert reply.status == 200, reply
            covered = harness.eventually(
                lambda: _snapshot_offset(running),
                SNAPSHOT_BOUND_S,
                "a snapshot is in the log",
            )
            harness.call(
                running.log_address,
                "POST",
                "/streams/config/truncate",
                {"before": covered + 1},
            )
            before = _teams(running)
            nodes = [*running.entries, sidecar]
            for node in nodes:
                node.process.kill()
            for node in nodes:
                running.restart(node)
            assert _teams(running) == before
            reply = harness.call(
                running.entries[1].http,
                "GET",
                "/v1/programs/none",
                headers=deployment.bearer(key),
            )
            assert reply.status == 404


def _snapshot_offset(running: deployment.Deployment) -> int:
    """Returns the offset that the newest snapshot covers, 0 if none."""
    listed = harness.call(
        running.log_address, "GET", "/streams/config-snapshots/records"
    ).body["records"]
    return int(listed[-1]["data"]["offset"]) if listed else 0


def _teams(running: deployment.Deployment) -> dict[str, object]:
    reply = harness.call(
        running.entries[0].operator, "GET", "/operator/v1/objects?kind=team"
    )
    return {each["name"]: each["spec"] for each in reply.body["objects"]}
