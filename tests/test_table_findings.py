"""Tests of the check of a desired state before it is sent."""

from collections.abc import Callable
import json
import pathlib
from typing import Any

import pytest
import trio
import typer.testing

from quetzalmill_load import platform_cluster
from quetzalmill_platform import table_check
from tests import gateway_case

_Change = Callable[[dict[str, Any]], Any]
_APP = typer.Typer()
_APP.command()(table_check.check)


def _check(*arguments: object) -> tuple[int, list[tuple[str, str]], str]:
    """Returns the exit code, the codes with their entries, and the output."""
    result = typer.testing.CliRunner().invoke(
        _APP, ["--json", *map(str, arguments)]
    )
    found = json.loads(result.stdout)["findings"]
    codes = [(each["code"], each["entry"]) for each in found]
    return result.exit_code, codes, result.output


def _state(change: _Change = lambda _: None) -> dict[str, Any]:
    state = platform_cluster.desired_state(7)
    change(state)
    return state


def _route(**changes: Any) -> _Change:
    """Returns a change of the route of lookups."""
    return lambda state: state["routes"][2].update(changes)


def _team(**changes: Any) -> _Change:
    return lambda state: state["tenants"][1].update(changes)


def _disjoint(state: dict[str, Any]) -> None:
    _route(allowedRegions=["eu"])(state)
    _team(allowedRegions=["us"])(state)


@pytest.mark.parametrize(
    ("change", "exit_code", "code", "entry"),
    [
        (lambda state: state.pop("version"), 2, "invalid-document", "document"),
        (_route(timeoutMs="x"), 2, "invalid-entry", "routes/lookup"),
        (_route(name="chat"), 2, "duplicate-name", "routes/chat"),
        (_route(service="x"), 2, "unknown-service", "routes/lookup"),
        (_route(allowedRegions="eu"), 2, "regions-unreadable", "routes/lookup"),
        (_route(pathPrefix="/chat/"), 1, "never-matched", "routes/lookup"),
        (_route(pathPrefix="x"), 1, "prefix-without-slash", "routes/lookup"),
        (
            _route(split=[{"service": "app", "weight": 0}]),
            1,
            "no-weight",
            "routes/lookup",
        ),
        (_route(timeoutMs=9), 1, "target-above-timeout", "routes/lookup"),
        (_route(kind="unsafe"), 1, "attempts-unused", "routes/lookup"),
        (_route(stateful=True), 1, "no-retention", "routes/lookup"),
        (
            lambda state: state["services"].append({"name": "x"}),
            1,
            "unused-service",
            "services/x",
        ),
        (_team(apiKeys=[]), 1, "no-key", "tenants/rallies"),
        (_team(burst=0.5), 1, "burst-below-one", "tenants/rallies"),
        (_disjoint, 1, "regions-disjoint", "tenants/rallies"),
        (
            _team(apiKeys=["x", platform_cluster.KEY]),
            2,
            "key-of-two-teams",
            "tenants/rallies",
        ),
    ],
)
def test_each_finding(
    tmp_path: pathlib.Path,
    change: _Change,
    exit_code: int,
    code: str,
    entry: str,
) -> None:
    file, good = tmp_path / "new.json", tmp_path / "good.json"
    good.write_text(json.dumps(_state()))
    file.write_text(json.dumps(_state(change)))
    expected = _check(good)[1]
    ended, found, out = _check(file)
    assert ended == exit_code
    assert (code, entry) in found and (code, entry) not in expected
    # Keys are secrets.
    assert platform_cluster.KEY not in out


def test_differences_from_what_is_in_force(tmp_path: pathlib.Path) -> None:
    """They are read from a file or from the platform's store."""
    file, old = tmp_path / "new.json", tmp_path / "old.json"
    state = platform_cluster.desired_state(1)
    state["services"].append({"name": "added"})
    del state["routes"][3]
    state["tenants"][0]["apiKeys"] = ["new-key"]
    file.write_text(json.dumps(state))
    old.write_text(json.dumps(platform_cluster.desired_state(1)))

    async def case(cluster: platform_cluster.Cluster) -> None:
        for source in (
            ["--against", old],
            ["--store", cluster.store_address],
        ):
            ended, found, out = await trio.to_thread.run_sync(
                _check, file, *source
            )
            assert ended == 2
            assert "changes apiKeys" in out and "new-key" not in out
            for each in (
                ("version-not-newer", "document"),
                ("added", "services/added"),
                ("removed", "routes/book"),
                ("changed", "tenants/weddings"),
            ):
                assert each in found

    gateway_case.run(tmp_path, case)
    old.write_text("{}")
    assert ("in-force-unreadable", "document") in _check(
        file, "--against", old
    )[1]
