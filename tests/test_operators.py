"""Tests of what commands report when run against a real entry."""

from collections.abc import Iterator
from typing import Any

import pytest

from quetzalmill import commands_exit
from quetzalmill import main
from tests import deployment

Exit = commands_exit.ExitCode


@pytest.fixture(scope="module")
def system() -> Iterator[deployment.Deployment]:
    with deployment.running(entries=1) as running:
        running.wait_shares_settled()
        yield running


class TestDeletedTeam:
    """A team cannot be deleted while its keys still work."""

    def test_team_is_deleted_only_after_its_keys_are_withdrawn(
        self, system: deployment.Deployment, capsys: Any
    ) -> None:
        system.add_team("drivers")
        key_id = system.keys["drivers"].split("_")[1]
        code, _, err = _run(system, capsys, "team delete drivers")
        assert code == Exit.REJECTED
        assert f"its keys still work: {key_id}; withdraw them first" in err
        assert _run(system, capsys, f"key withdraw {key_id}")[0] == Exit.OK
        assert _run(system, capsys, "team delete drivers")[0] == Exit.OK

    def test_one_record_may_delete_team_and_key(
        self, system: deployment.Deployment
    ) -> None:
        system.add_team("guests")
        key_id = system.keys["guests"].split("_")[1]
        system.publish_ok(
            deployment.change("team", "guests", None),
            deployment.change("key", key_id, None),
        )


class TestHints:
    """Accepted objects that have no effect yet."""

    @pytest.mark.parametrize(
        ("command", "hint"),
        [
            (
                "model set agent --selector model=agent",
                "model/agent: its selector chooses no engine endpoint",
            ),
            (
                "route set tides --selector does=tides",
                "route/tides: its selector chooses no service endpoint",
            ),
            (
                "endpoint set a --host h --address 127.0.0.1:8000",
                "endpoint/a: no sidecar on host h is known yet",
            ),
            (
                "evacuation order nowhere",
                "evacuation/nowhere: no process of this failure domain is "
                "known yet",
            ),
            ("team set field --rate-per-s 1 --burst 1", ""),
        ],
    )
    def test_hint_is_printed_with_the_outcome(
        self,
        system: deployment.Deployment,
        capsys: Any,
        command: str,
        hint: str,
    ) -> None:
        code, out, err = _run(system, capsys, command)
        assert code == Exit.OK
        assert out.startswith("accepted at revision ")
        assert (f"note: {hint}" in err) if hint else (err == "")

    def test_hint_disappears_with_its_cause(
        self, system: deployment.Deployment, capsys: Any
    ) -> None:
        _run(system, capsys, "model set planner --selector model=planner")
        _, _, err = _run(
            system,
            capsys,
            "endpoint set b --host h --address 127.0.0.1:8001 "
            "--label model=planner",
        )
        assert "model/planner" not in err


def _run(
    system: deployment.Deployment, capsys: Any, command: str
) -> tuple[int, str, str]:
    """Runs a command; returns its exit code and what it printed."""
    address = system.entries[0].operator
    words = [*command.split(" "), "--operator", address, "--author", "ana"]
    with pytest.raises(SystemExit) as ended:
        main.run(words)
    captured = capsys.readouterr()
    return int(ended.value.code or 0), captured.out, captured.err
