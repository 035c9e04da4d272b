"""Tests of the commands of evacuations."""

from collections.abc import Iterator
import json
import pathlib

import pytest
import trio

from quetzalmill import commands_exit
from quetzalmill import main
from quetzalmill import objects
from quetzalmill_load import platform_cluster
from tests import fake_operator
from tests import gateway_case

Exit = commands_exit.ExitCode


@pytest.fixture(name="fake")
def fixture_fake(
    monkeypatch: pytest.MonkeyPatch,
) -> Iterator[fake_operator.FakeOperator]:
    with fake_operator.serving() as fake:
        monkeypatch.setenv("QUETZALMILL_OPERATOR", fake.address)
        monkeypatch.setenv("QUETZALMILL_AUTHOR", "ana")
        yield fake


def _run(command: str) -> int:
    with pytest.raises(SystemExit) as ended:
        main.run(command.split(" "))
    return int(ended.value.code or 0)


class TestCommands:
    """Orders as operators give them."""

    def test_order_and_withdrawal(
        self,
        fake: fake_operator.FakeOperator,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        for _ in range(2):
            assert _run("evacuation order rawson --reason fire") == Exit.OK
        assert _run("evacuation list --json") == Exit.OK
        listed = json.loads(capsys.readouterr().out.splitlines()[-1])
        assert listed[0]["spec"] == {"reason": "fire"}
        assert _run("evacuation withdraw rawson") == Exit.OK
        assert (objects.EVACUATION, "rawson") not in fake.stored

    @pytest.mark.usefixtures("fake")
    @pytest.mark.parametrize(
        "command", ["withdraw rawson", "order a/b", "withdraw a/b"]
    )
    def test_what_cannot_be_done_is_rejected(self, command: str) -> None:
        assert _run(f"evacuation {command}") == Exit.REJECTED

    def test_process_that_is_no_gateway_is_named(
        self,
        fake: fake_operator.FakeOperator,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        assert _run(f"evacuation in-force {fake.address}") == Exit.REJECTED
        assert fake.address in capsys.readouterr().err

    def test_orders_in_force_at_a_gateway(
        self, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        async def case(cluster: platform_cluster.Cluster) -> None:
            cluster.store.evacuate("a")
            at = await cluster.add_gateway()
            command = f"evacuation in-force {at.metrics}"
            assert await trio.to_thread.run_sync(_run, command) == Exit.OK
            row = capsys.readouterr().out.splitlines()[1].split()
            assert row[:2] == [at.metrics, "a"]
            assert row[-2:] == ["store", "1"]

        gateway_case.run(tmp_path, case)
