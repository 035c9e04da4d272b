"""Tests of the commands and of their errors."""

from collections.abc import Iterator
import json
from pathlib import Path
import re
import socket
import subprocess
import sys
from typing import Any

import attrs
import click
import pytest
import typer.main

from quetzalmill import commands_app
from quetzalmill import commands_base
from quetzalmill import commands_daemon
from quetzalmill import commands_exit
from quetzalmill import keys
from quetzalmill import main
from quetzalmill import objects
from tests import fake_operator
from tests import harness

TEAM = {"rate_per_s": 5.0, "burst": 10.0}
KEY = {"team": "field", "secret_sha256": "0" * 64}
PROCESS = {
    "role": "sidecar",
    "instance": "0a1b",
    "http_address": "127.0.0.1:7200",
    "control_address": "127.0.0.1:7201",
    "failure_domain": "rawson",
}
FLEET = "[team.field]\nrate_per_s = 5.0\nburst = 10.0\n"
SETTINGS = """
role = "entry"
host = "entry-1"
failure_domain = "rawson"
http_address = "127.0.0.1:7100"
operator_address = "127.0.0.1:7101"
control_address = "127.0.0.1:7102"
log_address = "127.0.0.1:7000"
"""

Exit = commands_exit.ExitCode
Fault = fake_operator.Fault


@attrs.frozen
class Result:
    """A command's exit code and output."""

    code: int
    out: str
    err: str

    def json(self) -> Any:
        """Returns the JSON value that it printed."""
        return json.loads(self.out)


class Cli:
    """Runs commands in this process against a fake entry by default."""

    def __init__(
        self,
        capture: pytest.CaptureFixture[str],
        fake: fake_operator.FakeOperator,
    ) -> None:
        self.fake = fake
        self._capture = capture

    def run(self, *words: str) -> Result:
        """Runs a command; ``words`` are split at spaces."""
        arguments = [part for word in words for part in word.split(" ")]
        with pytest.raises(SystemExit) as ended:
            main.run(arguments)
        captured = self._capture.readouterr()
        return Result(int(ended.value.code or 0), captured.out, captured.err)

    def last_change(self) -> dict[str, Any]:
        """Returns the only change of the last publication."""
        (change,) = self.fake.received[-1]["changes"]
        return dict(change)


@pytest.fixture(name="cli")
def fixture_cli(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> Iterator[Cli]:
    with fake_operator.serving() as fake:
        monkeypatch.setenv("QUETZALMILL_OPERATOR", fake.address)
        monkeypatch.setenv("QUETZALMILL_AUTHOR", "ana")
        yield Cli(capsys, fake)


@pytest.fixture(name="refusing")
def fixture_refusing() -> Iterator[str]:
    """An address that refuses connections for as long as the test runs."""
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        yield f"127.0.0.1:{bound.getsockname()[1]}"


class TestHelp:
    """The help of the program and of each command."""

    def test_program_lists_its_commands(self, cli: Cli) -> None:
        result = cli.run("--help")
        assert result.code == Exit.OK
        for command in ("entry", "sidecar", "check", "config", "key"):
            assert f"\n  {command} " in result.out

    def test_help_does_not_escape_brackets(self, cli: Cli) -> None:
        assert "SETTINGS  [required]" in cli.run("entry --help").out

    def test_unknown_command_is_a_usage_error(self, cli: Cli) -> None:
        result = cli.run("publsh")
        assert result.code == Exit.USAGE
        assert "No such command 'publsh'" in result.err

    def test_module_runs_the_program(self) -> None:
        ended = subprocess.run(
            [sys.executable, "-m", "quetzalmill", "check", "absent.toml"],
            cwd=harness.REPOSITORY,
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
        )
        assert ended.returncode == Exit.USAGE
        assert "absent.toml: cannot be read" in ended.stderr


class TestPage:
    """The operators' page of the documentation."""

    def test_every_command_is_on_the_page(self) -> None:
        group = typer.main.get_command(commands_app.app)
        assert isinstance(group, click.Group)
        found = [" ".join(path) for path in command_paths(group)]
        assert len(found) > len(group.commands)
        assert [name for name in found if not on_page(name)] == []

    def test_every_exit_code_is_on_the_page(self) -> None:
        codes = re.findall(r"^\| (\d) \|", page_text(), re.MULTILINE)
        assert [int(code) for code in codes] == list(Exit)


class TestDaemons:
    """The commands ``entry`` and ``sidecar``."""

    @pytest.mark.parametrize("role", commands_daemon.ROLES)
    def test_settings_are_checked_before_the_start(
        self, cli: Cli, tmp_path: Path, role: str
    ) -> None:
        path = tmp_path / "settings.toml"
        path.write_text("beat_msec = 5")
        result = cli.run(role, str(path))
        assert result.code == Exit.USAGE
        assert (
            f'{path}: beat_msec: is not a known field; did you mean "beat_'
            in (result.err)
        )
        assert f"{path}: host: is missing" in result.err

    @pytest.mark.parametrize("role", commands_daemon.ROLES)
    def test_missing_settings_are_a_usage_error(
        self, cli: Cli, role: str
    ) -> None:
        result = cli.run(role)
        assert result.code == Exit.USAGE
        assert "Missing argument 'SETTINGS'" in result.err

    @pytest.mark.parametrize("role", commands_daemon.ROLES)
    def test_daemon_runs_with_its_settings(
        self,
        cli: Cli,
        tmp_path: Path,
        monkeypatch: pytest.MonkeyPatch,
        role: str,
    ) -> None:
        path = tmp_path / "settings.toml"
        path.write_text(settings_of(role))
        started: list[Any] = []

        def run(loaded: Any) -> int:
            started.append(loaded)
            return 0

        daemon = commands_daemon.import_daemon(role)
        monkeypatch.setattr(daemon, "run", run)
        assert cli.run(role, str(path)).code == 0
        assert started[0].host == "entry-1"

    def test_daemon_does_not_import_the_command_parser(self) -> None:
        code = (
            "import sys\n"
            "from quetzalmill import commands_daemon, main\n"
            "for role in commands_daemon.ROLES:\n"
            "    commands_daemon.import_daemon(role)\n"
            "try:\n"
            "    main.run(['entry', 'absent.toml'])\n"
            "except SystemExit:\n"
            "    print([name for name in ('typer', 'click', 'rich')\n"
            "           if name in sys.modules])\n"
        )
        ended = subprocess.run(
            [sys.executable, "-c", code],
            cwd=harness.REPOSITORY,
            capture_output=True,
            text=True,
            timeout=30,
            check=True,
        )
        assert ended.stdout == "[]\n"


class TestCheck:
    """The command ``check``."""

    def test_valid_files(self, cli: Cli, tmp_path: Path) -> None:
        fleet, entry = tmp_path / "fleet.toml", tmp_path / "entry.toml"
        fleet.write_text(FLEET)
        entry.write_text(SETTINGS)
        result = cli.run("check", str(fleet), str(entry))
        assert result.code == Exit.OK
        assert result.out == f"valid: {fleet}, {entry}\n"

    def test_mistakes_of_all_files_are_reported_together(
        self, cli: Cli, tmp_path: Path
    ) -> None:
        fleet, entry = tmp_path / "fleet.toml", tmp_path / "entry.toml"
        fleet.write_text(FLEET.replace("burst", "brust"))
        entry.write_text(SETTINGS.replace(":7101", ":7100"))
        result = cli.run("check", str(fleet), str(entry), "--json")
        assert result.code == Exit.USAGE
        problems = "\n".join(result.json()["problems"])
        assert f"{fleet}: team/field: brust: is not a known field" in problems
        assert f"{fleet}: team/field: burst: is missing" in problems
        assert f"{entry}: operator_address: is '127.0.0.1:7100'" in problems

    def test_files_are_compared(self, cli: Cli, tmp_path: Path) -> None:
        first, second = tmp_path / "1.toml", tmp_path / "2.toml"
        first.write_text(SETTINGS)
        second.write_text(SETTINGS)
        result = cli.run("check", str(first), str(second))
        assert result.code == Exit.USAGE
        assert f"{second}: host: is 'entry-1', as in {first}" in result.err


class TestOperatorOption:
    """The option that names the entries."""

    def test_option_is_required(
        self, cli: Cli, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.delenv("QUETZALMILL_OPERATOR")
        result = cli.run("config show")
        assert result.code == Exit.USAGE
        assert "QUETZALMILL_OPERATOR" in result.err

    @pytest.mark.parametrize(
        ("text", "words"),
        [
            ("entry-1:7101", "'entry-1:7101' is not an IP address and port"),
            (",", "names no address"),
        ],
    )
    def test_mistake_is_named(self, cli: Cli, text: str, words: str) -> None:
        result = cli.run("config show --operator", text)
        assert result.code == Exit.USAGE
        assert words in result.err

    def test_second_entry_is_asked(self, cli: Cli, refusing: str) -> None:
        both = f"{refusing},{cli.fake.address}"
        assert cli.run("team list --operator", both).code == Exit.OK

    @pytest.mark.parametrize(
        "command",
        [
            "config show",
            "config publish FILE",
            "config history",
            "config processes",
            "config wait 1 --timeout-s 0.1",
            "team list",
            "team set field --rate-per-s 5 --burst 5",
            "team delete field",
            "endpoint list",
            "model list",
            "route list",
            "key list",
            "key issue field",
            "key withdraw 0a1b",
            "drain engine-1",
        ],
    )
    def test_no_entry_is_unavailable(
        self, cli: Cli, refusing: str, tmp_path: Path, command: str
    ) -> None:
        path = tmp_path / "fleet.toml"
        path.write_text(FLEET)
        words = command.replace("FILE", str(path))
        result = cli.run(words, "--operator", refusing)
        assert result.code == Exit.UNAVAILABLE
        assert f"unavailable: no response ({refusing}: " in result.err


class TestPublish:
    """The command ``config publish``."""

    @pytest.fixture(name="path")
    def fixture_path(self, tmp_path: Path) -> str:
        path = tmp_path / "fleet.toml"
        path.write_text(FLEET)
        return str(path)

    def test_accepted(self, cli: Cli, path: str) -> None:
        result = cli.run("config publish", path)
        assert (result.code, result.out) == (
            Exit.OK,
            "accepted at revision 1\n",
        )
        assert cli.fake.stored["team", "field"].spec == TEAM
        assert cli.fake.received[0]["author"] == "ana"

    @pytest.mark.parametrize(
        ("faults", "code", "outcome"),
        [
            ([], Exit.OK, "accepted"),
            ([Fault.LOST_REPLY], Exit.OK, "accepted"),
            ([Fault.REJECTED], Exit.REJECTED, "rejected"),
            ([Fault.UNAVAILABLE], Exit.UNAVAILABLE, "unavailable"),
            ([Fault.UNKNOWN] * 9, Exit.UNKNOWN, "unknown"),
        ],
    )
    def test_json_and_exit_code_for_scripts(
        self,
        cli: Cli,
        path: str,
        faults: list[Fault],
        code: Exit,
        outcome: str,
    ) -> None:
        cli.fake.faults = list(faults)
        result = cli.run("config publish --timeout-s 0.3 --json", path)
        assert result.code == code
        assert result.json()["outcome"] == outcome
        assert result.json()["record_id"] == cli.fake.received[0]["record_id"]

    def test_file_with_mistakes_is_not_sent(
        self, cli: Cli, tmp_path: Path
    ) -> None:
        path = tmp_path / "fleet.toml"
        path.write_text(FLEET.replace("5.0", "0"))
        result = cli.run("config publish", str(path))
        assert result.code == Exit.USAGE
        assert f"{path}: team/field: rate_per_s: is 0" in result.err
        assert cli.fake.received == []

    def test_unknown_outcome_prints_the_record_id(
        self, cli: Cli, path: str
    ) -> None:
        cli.fake.faults = [Fault.UNKNOWN] * 9
        result = cli.run("config publish --timeout-s 0.1", path)
        record_id = cli.fake.received[0]["record_id"]
        assert result.code == Exit.UNKNOWN
        assert f"--record-id {record_id}" in result.err

    def test_same_record_id_takes_effect_once(
        self, cli: Cli, path: str
    ) -> None:
        results = [
            cli.run("config publish --record-id r1", path) for _ in range(2)
        ]
        assert [result.out for result in results] == [
            "accepted at revision 1\n"
        ] * 2
        assert cli.fake.revision == 1


class TestBase:
    """The option ``--base``."""

    def set_field(self, cli: Cli, base: int) -> Result:
        return cli.run(f"team set field --burst 9 --base {base}")

    def test_unchanged_object_is_accepted(self, cli: Cli) -> None:
        cli.fake.put(objects.TEAM, "field", TEAM)
        assert self.set_field(cli, base=1).code == Exit.OK

    def test_newer_object_conflicts(self, cli: Cli) -> None:
        cli.fake.put(objects.TEAM, "other", TEAM)
        cli.fake.put(objects.TEAM, "field", TEAM)
        result = self.set_field(cli, base=1)
        assert result.code == Exit.CONFLICT
        assert "conflict with revision 2 of team/field" in result.err

    def test_object_deleted_since_conflicts(
        self, cli: Cli, tmp_path: Path
    ) -> None:
        path = tmp_path / "fleet.toml"
        path.write_text(FLEET)
        cli.run("config publish", str(path))
        cli.run("team delete field")
        result = cli.run("config publish --base 1", str(path))
        assert result.code == Exit.CONFLICT
        assert "of team/field, which no longer exists" in result.err

    def test_object_deleted_before_is_created(self, cli: Cli) -> None:
        words = "team set field --rate-per-s 5 --burst 9"
        cli.run(words)
        cli.run("team delete field")
        assert cli.run(f"{words} --base 2").code == Exit.OK

    def test_history_too_short_is_rejected(
        self, cli: Cli, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(commands_base, "HISTORY_RECORDS", 1)
        for name in ("a", "b", "c"):
            cli.run(f"team set {name} --rate-per-s 5 --burst 9")
        result = cli.run("team set d --rate-per-s 5 --burst 9 --base 1")
        assert result.code == Exit.REJECTED
        assert "no longer reaches back to revision 1" in result.err


class TestShow:
    """The command ``config show``."""

    def test_output_can_be_published(self, cli: Cli, tmp_path: Path) -> None:
        cli.fake.put(objects.TEAM, "field", TEAM)
        cli.fake.put(objects.KEY, "0a1b", KEY)
        result = cli.run("config show")
        assert result.out.startswith("# revision 2\n")
        path = tmp_path / "fleet.toml"
        path.write_text(result.out)
        assert cli.run("config publish --base 2", str(path)).code == Exit.OK

    def test_json_holds_one_kind(self, cli: Cli) -> None:
        cli.fake.put(objects.TEAM, "field", TEAM)
        cli.fake.put(objects.KEY, "0a1b", KEY)
        shown = cli.run("config show --kind key --json").json()
        assert shown["revision"] == 2
        assert [item["name"] for item in shown["objects"]] == ["0a1b"]

    def test_unknown_kind_is_a_usage_error(self, cli: Cli) -> None:
        result = cli.run("config show --kind teams")
        assert result.code == Exit.USAGE
        assert "'teams' is none of team, key" in result.err


class TestHistory:
    """The command ``config history``."""

    def test_conflicts_are_shown_as_not_applied(self, cli: Cli) -> None:
        cli.run("team set field --rate-per-s 5 --burst 9 --record-id first")
        cli.run("team set field --burst 7 --base 0 --record-id second")
        cli.run("team delete field --record-id third")
        lines = cli.run("config history").out.splitlines()
        rows = [line.split() for line in lines[1:]]
        assert rows == [
            ["1", "yes", "ana", "first", "team/field"],
            ["2", "no", "ana", "second", "team/field"],
            ["3", "yes", "ana", "third", "-team/field"],
        ]

    def test_limit_shows_the_last_records(self, cli: Cli) -> None:
        for burst in (7, 8):
            cli.run(f"team set field --rate-per-s 5 --burst {burst}")
        (record,) = cli.run("config history --limit 1 --json").json()
        assert record["offset"] == 2

    def test_limit_of_zero_is_a_usage_error(self, cli: Cli) -> None:
        assert cli.run("config history --limit 0").code == Exit.USAGE


class TestProcesses:
    """The commands ``config processes`` and ``config wait``."""

    def put(self, cli: Cli, host: str, applied_offset: int) -> None:
        cli.fake.processes.append(
            {
                "host": host,
                "role": "entry",
                "instance": "0a1b",
                "applied_offset": applied_offset,
                "heard_ms_ago": 12.4,
                "leaving": False,
                "live": True,
            }
        )

    def test_processes_are_listed(self, cli: Cli) -> None:
        self.put(cli, "entry-1", 5)
        row = cli.run("config processes").out.splitlines()[1].split()
        assert " ".join(row) == "entry-1 entry 0a1b 5 yes no 12 ms ago"

    def test_wait_ends_when_all_processes_have_the_revision(
        self, cli: Cli
    ) -> None:
        self.put(cli, "entry-1", 5)
        result = cli.run("config wait 5")
        assert result.code == Exit.OK
        assert result.out == "revision 5 is in force on 1 processes\n"

    def test_wait_prints_lagging_processes(self, cli: Cli) -> None:
        self.put(cli, "entry-1", 5)
        self.put(cli, "entry-2", 4)
        result = cli.run("config wait 5 --timeout-s 0.1 --json")
        assert result.code == Exit.TIMEOUT
        assert "entry-2 at 4" in result.err
        assert result.json()["lagging"][0]["host"] == "entry-2"


class TestObjects:
    """The commands that set, list and delete objects."""

    @pytest.mark.parametrize(
        ("command", "spec"),
        [
            (
                "team set field --rate-per-s 5 --burst 10 --selector use=field",
                {**TEAM, "selector": "use=field"},
            ),
            (
                "endpoint set a --host h --address 127.0.0.1:8000 --slots 4 "
                "--kind engine --memory-tokens 9 --checks-fencing --label x=1",
                {
                    "host": "h",
                    "address": "127.0.0.1:8000",
                    "kind": "engine",
                    "slots": 4,
                    "memory_tokens": 9,
                    "checks_fencing": True,
                    "labels": {"x": "1"},
                },
            ),
            (
                "model set agent --selector model=agent --label use=field",
                {"selector": "model=agent", "labels": {"use": "field"}},
            ),
            (
                "route set tide --selector does=tide --open",
                {"selector": "does=tide", "open": True},
            ),
        ],
    )
    def test_object_is_created(
        self, cli: Cli, command: str, spec: dict[str, Any]
    ) -> None:
        assert cli.run(command).out == "accepted at revision 1\n"
        change = cli.last_change()
        assert change["spec"] == spec
        assert change["base_revision"] == 0

    @pytest.mark.parametrize(
        ("command", "problem"),
        [
            ("team set field --rate-per-s 5", "team/field: burst: is missing"),
            (
                "endpoint set a --host h --address engine:1",
                "endpoint/a: address: is 'engine:1'",
            ),
            (
                "model set agent --selector =",
                "model/agent: selector: selector term '='",
            ),
            (
                "route set tide --label x=1",
                "route/tide: selector: is missing",
            ),
        ],
    )
    def test_mistake_is_rejected_before_it_is_sent(
        self, cli: Cli, command: str, problem: str
    ) -> None:
        result = cli.run(command)
        assert result.code == Exit.REJECTED
        assert f"rejected because {problem}" in result.err
        assert cli.fake.received == []

    def test_other_fields_are_unchanged(self, cli: Cli) -> None:
        cli.fake.put(objects.TEAM, "field", TEAM)
        cli.run("team set field --burst 20")
        change = cli.last_change()
        assert change["spec"] == TEAM | {"burst": 20.0}
        assert change["base_revision"] == 1

    def test_labels_are_set_and_removed(self, cli: Cli) -> None:
        spec = {"selector": "", "labels": {"a": "1", "b": "2"}}
        cli.fake.put(objects.MODEL, "agent", spec)
        cli.run("model set agent --label c=3 --label a=4 --remove-label b")
        assert cli.last_change()["spec"]["labels"] == {"a": "4", "c": "3"}

    def test_label_without_value_is_a_usage_error(self, cli: Cli) -> None:
        result = cli.run("model set agent --label fast")
        assert result.code == Exit.USAGE
        assert "'fast' is not a label; write key=value" in result.err

    def test_list_is_a_table(self, cli: Cli) -> None:
        cli.fake.put(
            objects.ROUTE,
            "tide",
            {"selector": "", "open": True, "labels": {"x": "1", "y": "2"}},
        )
        lines = cli.run("route list").out.splitlines()
        assert lines[0].split() == (
            ["NAME", "REVISION", "SELECTOR", "OPEN", "LABELS"]
        )
        assert lines[1].split() == ["tide", "1", "yes", "x=1,y=2"]

    def test_list_as_json(self, cli: Cli) -> None:
        cli.fake.put(objects.TEAM, "field", TEAM)
        (item,) = cli.run("team list --json").json()
        assert (item["name"], item["revision"]) == ("field", 1)
        assert item["spec"] == TEAM

    def test_delete(self, cli: Cli) -> None:
        cli.fake.put(objects.TEAM, "field", TEAM)
        assert cli.run("team delete field").out == "accepted at revision 2\n"
        assert cli.fake.stored == {}

    def test_delete_of_an_unknown_name_suggests_a_similar_one(
        self, cli: Cli
    ) -> None:
        cli.fake.put(objects.TEAM, "field", TEAM)
        result = cli.run("team delete feild")
        assert result.code == Exit.REJECTED
        assert "team/feild does not exist; did you mean field?" in result.err

    def test_delete_is_retried_under_its_record_id(self, cli: Cli) -> None:
        cli.fake.put(objects.TEAM, "field", TEAM)
        words = "team delete field --record-id r1"
        assert cli.run(words).out == cli.run(words).out
        assert cli.fake.revision == 2

    def test_concurrent_change_is_a_conflict(self, cli: Cli) -> None:
        cli.fake.put(objects.TEAM, "field", TEAM)
        cli.fake.faults = [Fault.RACED]
        result = cli.run("team set field --burst 20 --json")
        assert result.code == Exit.CONFLICT
        assert result.json()["revision"] == 2
        assert result.json()["object"] == "team/field"


class TestQuarantine:
    """The commands that list and release quarantined requests."""

    def test_list_and_release(self, cli: Cli) -> None:
        spec = {"team": "field", "crashes": 2}
        cli.fake.put(objects.QUARANTINE, "ab12", spec)
        lines = cli.run("quarantine list").out.splitlines()
        assert lines[1].split() == ["ab12", "1", "field", "2"]
        released = cli.run("quarantine release ab12")
        assert released.out == "accepted at revision 2\n"
        assert cli.fake.stored == {}

    def test_unknown_fingerprint(self, cli: Cli) -> None:
        result = cli.run("quarantine release ab12")
        assert result.code == Exit.REJECTED
        assert "see `quarantine list`" in result.err


class TestKeys:
    """The commands that issue, withdraw and list keys."""

    def test_issued_key_is_shown_once(self, cli: Cli) -> None:
        cli.fake.put(objects.TEAM, "field", TEAM)
        report = cli.run("key issue field --json").json()
        stored = cli.fake.stored["key", report["key_id"]].spec
        assert keys.matches(report["key"], stored["secret_sha256"])
        assert report["key"] not in json.dumps(cli.fake.received)

    def test_key_is_the_last_line_printed(self, cli: Cli) -> None:
        cli.fake.put(objects.TEAM, "field", TEAM)
        key = cli.run("key issue field").out.splitlines()[-1]
        assert keys.key_id_of(key)

    def test_team_has_to_exist(self, cli: Cli) -> None:
        result = cli.run("key issue field")
        assert result.code == Exit.REJECTED
        assert "team/field does not exist; see `team list`" in result.err

    @pytest.mark.parametrize(
        ("fault", "code"),
        [
            (Fault.UNKNOWN, Exit.UNKNOWN),
            (Fault.REJECTED, Exit.REJECTED),
            (Fault.UNAVAILABLE, Exit.UNAVAILABLE),
        ],
    )
    def test_key_that_is_not_accepted_is_not_shown(
        self, cli: Cli, fault: Fault, code: Exit
    ) -> None:
        cli.fake.put(objects.TEAM, "field", TEAM)
        cli.fake.faults = [fault] * 9
        result = cli.run("key issue field --timeout-s 0.1")
        assert result.code == code
        assert result.out == ""
        assert "qm_" not in result.err

    @pytest.mark.parametrize("text", ["0a1b", "qm_0a1b_secret"])
    def test_withdraw(self, cli: Cli, text: str) -> None:
        cli.fake.put(objects.KEY, "0a1b", KEY)
        assert cli.run("key withdraw", text).code == Exit.OK
        change = cli.last_change()
        assert change["spec"] == KEY | {"withdrawn": True}
        assert change["base_revision"] == 1

    def test_withdraw_of_an_unknown_key(self, cli: Cli) -> None:
        result = cli.run("key withdraw qm_0a1b_secret")
        assert result.code == Exit.REJECTED
        assert "key/0a1b does not exist" in result.err
        assert "secret" not in result.err

    def test_list_of_one_team(self, cli: Cli) -> None:
        cli.fake.put(objects.KEY, "0a1b", KEY)
        cli.fake.put(objects.KEY, "2c3d", KEY | {"team": "office"})
        listed = cli.run("key list --team office --json").json()
        assert [item["name"] for item in listed] == ["2c3d"]


class TestDrain:
    """The command ``drain``."""

    def test_process_keeps_its_instance(self, cli: Cli) -> None:
        cli.fake.put(objects.PROCESS, "engine-1", PROCESS)
        assert cli.run("drain engine-1").code == Exit.OK
        change = cli.last_change()
        assert change["spec"] == PROCESS | {"leaving": True}
        assert change["base_revision"] == 1

    def test_unknown_host(self, cli: Cli) -> None:
        result = cli.run("drain engine-1")
        assert result.code == Exit.REJECTED
        assert "see `config processes`" in result.err


class TestState:
    """The command ``state``."""

    def test_dump_is_json(self, cli: Cli) -> None:
        assert cli.run("state", cli.fake.address).json()["role"] == "entry"

    def test_no_process_is_unavailable(self, cli: Cli, refusing: str) -> None:
        result = cli.run("state", refusing)
        assert result.code == Exit.UNAVAILABLE
        assert refusing in result.err

    def test_host_name_is_a_usage_error(self, cli: Cli) -> None:
        result = cli.run("state entry-1:7101")
        assert result.code == Exit.USAGE
        assert "'entry-1:7101' is not an IP address and port" in result.err


def settings_of(role: str) -> str:
    """Returns valid settings of a role."""
    if role == "entry":
        return SETTINGS
    text = SETTINGS.replace('"entry"', '"sidecar"')
    text = text.replace('operator_address = "127.0.0.1:7101"\n', "")
    return text + 'entries = ["127.0.0.1:7302"]\n'


def command_paths(group: click.Group) -> Iterator[list[str]]:
    """Yields the words of each command."""
    for name, command in group.commands.items():
        if isinstance(command, click.Group):
            yield from ([name, *rest] for rest in command_paths(command))
        else:
            yield [name]


def page_text() -> str:
    """Returns the operators' page."""
    return (harness.REPOSITORY / "docs" / "operators.md").read_text()


def on_page(name: str) -> bool:
    """Returns whether the operators' page shows a command as code."""
    return re.search(rf"(`|quetzalmill ){name}\b", page_text()) is not None
