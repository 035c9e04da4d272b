"""Tests of files of objects and of checks between files."""

from pathlib import Path

import attrs
import pytest

from quetzalmill import errors
from quetzalmill import fleet_file
from quetzalmill import settings
from quetzalmill import settings_fleet

FLEET = """
[team.field]
rate_per_s = 5
burst = 10
selector = "use in (field office)"

[endpoint.agent-1]
host = "engine-1"
address = "127.0.0.1:8000"
labels = { model = "agent", "gpu/size" = "80" }

[model.agent]
selector = "model=agent"
"""

ENTRY = settings.EntrySettings(
    host="entry-1",
    failure_domain="rawson",
    http_address="127.0.0.1:7100",
    operator_address="127.0.0.1:7101",
    control_address="127.0.0.1:7102",
    log_address="127.0.0.1:7000",
)
SIDECAR = settings.SidecarSettings(
    host="engine-1",
    failure_domain="rawson",
    http_address="127.0.0.1:7200",
    control_address="127.0.0.1:7201",
    log_address="127.0.0.1:7000",
    entries=["127.0.0.1:7102"],
)


def write(tmp_path: Path, text: str) -> str:
    path = tmp_path / "fleet.toml"
    path.write_text(text)
    return str(path)


class TestLoad:
    """Files of objects."""

    def test_objects_come_in_order_of_kind(self, tmp_path: Path) -> None:
        found = fleet_file.load(write(tmp_path, FLEET))
        names = [f"{item.kind}/{item.name}" for item in found]
        assert names == ["team/field", "endpoint/agent-1", "model/agent"]

    def test_dump_loads_again(self, tmp_path: Path) -> None:
        found = fleet_file.load(write(tmp_path, FLEET))
        again = fleet_file.load(write(tmp_path, fleet_file.dump(found)))
        assert again == found

    @pytest.mark.parametrize(
        ("old", "new", "words"),
        [
            ("[team.field]", "[teem.field]", ["teem", '"team"']),
            ("rate_per_s = 5", "rate = 5", ["team/field: rate", "rate_per_s"]),
            ("rate_per_s = 5", "", ["rate_per_s: is missing"]),
            ("rate_per_s = 5", "rate_per_s = 0", ["rate_per_s", "above 0"]),
            ("rate_per_s = 5", "rate_per_s = inf", ["rate_per_s", "above 0"]),
            ("burst = 10", 'burst = "10"', ["burst", "Expected `float`"]),
            ("use in (field office)", "use in (", ["selector", "use in ("]),
            ("127.0.0.1:8000", "engine:8000", ["address", "IP address"]),
            ("gpu/size", "gpu size", ["labels", "gpu size"]),
            ('"80"', '"a b"', ["labels", "a b"]),
            ("[model.agent]", '[model."a b"]', ["model/a b", "name"]),
            ("[model.agent]", "[model]", ["model.selector", "is not a table"]),
            (FLEET, "", ["defines no object"]),
            (FLEET, "team = 5", ["team: is not a table"]),
        ],
    )
    def test_mistake_is_named(
        self, tmp_path: Path, old: str, new: str, words: list[str]
    ) -> None:
        path = write(tmp_path, FLEET.replace(old, new))
        with pytest.raises(errors.SettingsError) as caught:
            fleet_file.load(path)
        for word in [path, *words]:
            assert word in str(caught.value)

    def test_endpoint_kind_is_checked(self, tmp_path: Path) -> None:
        path = write(tmp_path, FLEET.replace("host =", 'kind = "x"\nhost ='))
        with pytest.raises(errors.SettingsError, match='"engine", "service"'):
            fleet_file.load(path)


class TestCompare:
    """Checks of several files against each other."""

    def test_valid_files_have_no_problems_or_hints(
        self, tmp_path: Path
    ) -> None:
        fleet = fleet_file.load(write(tmp_path, FLEET))
        report = settings_fleet.compare(
            {"e": ENTRY, "s": SIDECAR}, {"f": fleet}
        )
        assert report == settings_fleet.FleetReport([], [])

    def test_same_host_is_a_problem(self) -> None:
        other = attrs.evolve(SIDECAR, host="entry-1")
        report = settings_fleet.compare({"e": ENTRY, "s": other}, {})
        (problem,) = report.problems
        assert problem.startswith("s: host")

    def test_same_address_is_a_problem(self) -> None:
        other = attrs.evolve(SIDECAR, http_address="127.0.0.1:7101")
        report = settings_fleet.compare({"e": ENTRY, "s": other}, {})
        (problem,) = report.problems
        assert "s: http_address" in problem
        assert "e: operator_address" in problem

    def test_unknown_entry_is_a_hint(self) -> None:
        other = attrs.evolve(SIDECAR, entries=["127.0.0.1:1"])
        report = settings_fleet.compare({"e": ENTRY, "s": other}, {})
        assert report.problems == []
        assert "s: entries" in report.hints[0]

    def test_unknown_peer_is_a_hint(self) -> None:
        other = attrs.evolve(ENTRY, peers=["127.0.0.1:1"])
        assert settings_fleet.compare({"e": other}, {}).hints

    def test_unknown_endpoint_host_is_a_hint(self, tmp_path: Path) -> None:
        fleet = fleet_file.load(write(tmp_path, FLEET))
        other = attrs.evolve(SIDECAR, host="engine-2")
        report = settings_fleet.compare({"s": other}, {"f": fleet})
        assert "endpoint/agent-1" in report.hints[0]
