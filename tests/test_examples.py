"""Tests of the files under ``examples``."""

import json
import re
import tomllib
from typing import Any

import attrs
import pytest

from quetzalmill import fleet_file
from quetzalmill import main
from quetzalmill import objects
from quetzalmill import selectors
from quetzalmill import settings
from tests import deployment as deployment_module
from tests import harness

EXAMPLES = harness.REPOSITORY / "examples"
DEPLOYMENTS = ("cooperative", "kovacs")
ROLES = (settings.ENTRY, settings.SIDECAR)
_COMMENTED_FIELD = re.compile(r"^# ([a-z_]+ = .*)$", re.MULTILINE)


@pytest.fixture(name="fleet", params=DEPLOYMENTS)
def fixture_fleet(request: pytest.FixtureRequest) -> list[Any]:
    """The objects of a deployment."""
    return fleet_file.load(str(EXAMPLES / f"{request.param}-fleet.toml"))


def specs(fleet: list[fleet_file.FileObject], kind: str) -> dict[str, Any]:
    """Returns the specifications of a kind by name."""
    return {item.name: item.spec for item in fleet if item.kind == kind}


def selected(
    selector: str, candidates: dict[str, dict[str, Any]]
) -> list[dict[str, Any]]:
    """Returns the specifications that a selector selects."""
    parsed = selectors.parse(selector)
    return [
        spec
        for spec in candidates.values()
        if parsed.matches(spec.get("labels", {}))
    ]


class TestCheck:
    """The result of ``quetzalmill check`` on the examples."""

    @pytest.mark.parametrize("deployment", DEPLOYMENTS)
    def test_deployment_has_no_problems(
        self, capsys: pytest.CaptureFixture[str], deployment: str
    ) -> None:
        paths = [
            str(EXAMPLES / f"{deployment}-{part}.toml")
            for part in (*ROLES, "fleet")
        ]
        with pytest.raises(SystemExit) as ended:
            main.run(["check", "--json", *paths])
        assert json.loads(capsys.readouterr().out)["problems"] == []
        assert ended.value.code == 0


class TestSettings:
    """Commented-out fields in the settings files."""

    @pytest.mark.parametrize(
        "name", [f"{name}-{role}" for name in DEPLOYMENTS for role in ROLES]
    )
    def test_every_field_is_shown_with_its_default(self, name: str) -> None:
        path = EXAMPLES / f"{name}.toml"
        text = path.read_text()
        loaded = settings.load_any(str(path))
        shown = tomllib.loads("\n".join(_COMMENTED_FIELD.findall(text)))
        fields = {f.name: f.default for f in attrs.fields(type(loaded))}
        assert set(shown) | set(tomllib.loads(text)) == {*fields, "role"}
        del shown["statsd_address"]
        assert shown == {name: fields[name] for name in shown}


class TestFleet:
    """The published objects."""

    def test_each_of_eight_teams_may_use_a_model_or_route(
        self, fleet: list[fleet_file.FileObject]
    ) -> None:
        models_and_routes = specs(fleet, objects.MODEL) | specs(
            fleet, objects.ROUTE
        )
        teams = specs(fleet, objects.TEAM)
        assert len(teams) == 8
        for team in teams.values():
            assert selected(team["selector"], models_and_routes)

    def test_models_and_routes_have_endpoints_of_their_kind(
        self, fleet: list[fleet_file.FileObject]
    ) -> None:
        endpoints = specs(fleet, objects.ENDPOINT)
        for kind, expected in (
            (objects.MODEL, objects.ENGINE),
            (objects.ROUTE, objects.SERVICE),
        ):
            for spec in specs(fleet, kind).values():
                found = selected(spec["selector"], endpoints)
                kinds = {each.get("kind", objects.ENGINE) for each in found}
                assert kinds == {expected}

    @pytest.mark.parametrize(
        ("deployment", "engines", "services"),
        [("cooperative", 4, 7), ("kovacs", 5, 4)],
    )
    def test_number_of_endpoints(
        self, deployment: str, engines: int, services: int
    ) -> None:
        fleet = fleet_file.load(str(EXAMPLES / f"{deployment}-fleet.toml"))
        endpoints = specs(fleet, objects.ENDPOINT).values()
        kinds = [spec.get("kind", objects.ENGINE) for spec in endpoints]
        assert kinds.count(objects.ENGINE) == engines
        assert kinds.count(objects.SERVICE) == services
        assert len({spec["address"] for spec in endpoints}) == len(endpoints)


class TestPublish:
    """Publishing the objects to a real entry."""

    def test_entry_accepts_the_objects(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        with deployment_module.running(entries=1) as running:
            operator = running.entries[0].operator
            for name in DEPLOYMENTS:
                path = str(EXAMPLES / f"{name}-fleet.toml")
                words = ["config", "publish", path, "--operator", operator]
                with pytest.raises(SystemExit) as ended:
                    main.run(words)
                assert ended.value.code == 0, capsys.readouterr().err
