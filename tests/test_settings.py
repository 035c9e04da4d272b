"""Tests of settings files, log lines and metrics."""

import json
from pathlib import Path
import socket

import attrs
import pytest

from quetzalmill import errors
from quetzalmill import logs
from quetzalmill import metrics
from quetzalmill import settings
from quetzalmill import settings_rules
from tests import harness

ENTRY_TEXT = """
role = "entry"
host = "entry-1"
failure_domain = "rawson"
http_address = "127.0.0.1:7100"
operator_address = "127.0.0.1:7101"
control_address = "127.0.0.1:7102"
log_address = "127.0.0.1:7000"
"""

SIDECAR_TEXT = """
role = "sidecar"
host = "engine-1"
failure_domain = "rawson"
http_address = "127.0.0.1:7200"
control_address = "127.0.0.1:7201"
log_address = "127.0.0.1:7000"
entries = ["127.0.0.1:7102"]
"""


def write(tmp_path: Path, text: str) -> str:
    path = tmp_path / "settings.toml"
    path.write_text(text)
    return str(path)


def problems_of(path: str) -> list[str]:
    with pytest.raises(errors.SettingsError) as caught:
        settings.load_any(path)
    return caught.value.problems


class TestLoad:
    """Valid files."""

    def test_entry_has_defaults(self, tmp_path: Path) -> None:
        loaded = settings.load_any(write(tmp_path, ENTRY_TEXT))
        assert isinstance(loaded, settings.EntrySettings)
        assert loaded.host == "entry-1"
        assert loaded.share_lease_ms == 3_000
        assert loaded.hosts_address is None

    def test_sidecar_accepts_policies(self, tmp_path: Path) -> None:
        text = SIDECAR_TEXT + 'queue_policy = "fifo"\n'
        loaded = settings.load_any(write(tmp_path, text))
        assert isinstance(loaded, settings.SidecarSettings)
        assert loaded.queue_policy == settings.FIFO

    def test_role_may_be_omitted_where_the_command_names_it(
        self, tmp_path: Path
    ) -> None:
        text = ENTRY_TEXT.replace('role = "entry"', "")
        assert settings.load_entry(write(tmp_path, text)).host == "entry-1"

    def test_listeners_are_the_addresses_it_listens_on(
        self, tmp_path: Path
    ) -> None:
        loaded = settings.load_sidecar(write(tmp_path, SIDECAR_TEXT))
        assert settings.listeners(loaded) == {
            "http_address": "127.0.0.1:7200",
            "control_address": "127.0.0.1:7201",
        }


class TestMistakes:
    """Invalid files and the problems reported for them."""

    @pytest.mark.parametrize(
        ("line", "words"),
        [
            ("beat_msec = 5", ["beat_msec", 'did you mean "beat_ms"']),
            ("colour = 5", ["colour", "remove it"]),
            ('beat_ms = "500ms"', ["beat_ms", "whole number of milliseconds"]),
            ("beat_ms = true", ["beat_ms", "whole number"]),
            ("beat_ms = 0", ["beat_ms", "from 1 to"]),
            ("retry_share = 0.1", ["retry_share", "remove it"]),
            ('log_level = "loud"', ["log_level", '"debug"']),
            (
                'statsd_address = "localhost:1"',
                ["statsd_address", "IP address"],
            ),
            ('statsd_address = "127.0.0.1:0"', ["statsd_address", "port"]),
            ('peers = "127.0.0.1:1"', ["peers", "write a list"]),
            ('peers = ["a:1"]', ["peers", "holds an item"]),
            ('peers = ["[::1]:1", "[0::1]:1"]', ["peers", "twice"]),
            ("peer_timeout_ms = 400", ["peer_timeout_ms", "beat_ms"]),
        ],
    )
    def test_line_is_reported(
        self, tmp_path: Path, line: str, words: list[str]
    ) -> None:
        path = write(tmp_path, ENTRY_TEXT + line + "\n")
        (problem,) = problems_of(path)
        for word in [path, *words]:
            assert word in problem

    @pytest.mark.parametrize(
        ("old", "new", "word"),
        [
            ('host = "entry-1"', "", "host: is missing"),
            ('"entry-1"', '"entry 1"', "host: is 'entry 1'"),
            ("127.0.0.1:7100", "0.0.0.0:7100", "announced"),
            ("127.0.0.1:7101", "127.0.0.1:7100", "listens on too"),
            ('"entry"', '"entrance"', '"entry" or "sidecar"'),
            ('role = "entry"', "", "role: is missing"),
            ('"127.0.0.1:7000"', '"127.0.0.1:7000', "is not TOML"),
        ],
    )
    def test_replacement_is_reported(
        self, tmp_path: Path, old: str, new: str, word: str
    ) -> None:
        path = write(tmp_path, ENTRY_TEXT.replace(old, new))
        (problem,) = problems_of(path)
        assert word in problem

    def test_all_mistakes_are_reported_together(self, tmp_path: Path) -> None:
        text = (
            ENTRY_TEXT.replace("127.0.0.1:7000", "log") + "beat_ms = 0\nx = 1"
        )
        assert len(problems_of(write(tmp_path, text))) == 3

    def test_missing_file_is_named(self, tmp_path: Path) -> None:
        path = str(tmp_path / "absent.toml")
        (problem,) = problems_of(path)
        assert problem.startswith(f"{path}: cannot be read")

    def test_file_of_another_role_is_rejected(self, tmp_path: Path) -> None:
        with pytest.raises(errors.SettingsError, match='says "sidecar"'):
            settings.load_sidecar(write(tmp_path, ENTRY_TEXT))

    def test_fraction_is_from_0_to_1(self, tmp_path: Path) -> None:
        text = SIDECAR_TEXT + "retry_share = 1.5\n"
        (problem,) = problems_of(write(tmp_path, text))
        assert "retry_share" in problem
        assert "from 0 to 1" in problem

    def test_sidecar_needs_an_entry(self, tmp_path: Path) -> None:
        text = SIDECAR_TEXT.replace('["127.0.0.1:7102"]', "[]")
        (problem,) = problems_of(write(tmp_path, text))
        assert "at least 1" in problem


class TestAddress:
    """Addresses as written in settings."""

    @pytest.mark.parametrize("text", ["127.0.0.1:80", "[::1]:80"])
    def test_address_round_trips(self, text: str) -> None:
        assert str(settings_rules.parse_address(text)) == text

    @pytest.mark.parametrize(
        "text", ["", "80", "host:80", "::1:80", "127.0.0.1:", "127.0.0.1:+8"]
    )
    def test_other_text_is_rejected(self, text: str) -> None:
        assert settings_rules.parse_address(text) is None


class TestLogs:
    """Log lines."""

    def test_line_has_pairs_in_order(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        logs.configure("info")
        logs.get("quetzalmill.entry").info("started", offset=3)
        line = capsys.readouterr().err
        assert line.startswith("time=")
        assert line.endswith("level=info event=started module=entry offset=3\n")

    def test_lower_levels_are_left_out(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        logs.configure("warning")
        logs.get("x").info("started")
        assert capsys.readouterr().err == ""

    @pytest.mark.parametrize(
        ("name", "value"),
        [
            ("key", "hunter2"),
            ("Authorization", "hunter2"),
            ("error", "sent qm_0a1b_hunter2 twice"),
            ("head", b"authorization: Bearer hunter2"),
            ("headers", [("authorization", "Bearer hunter2")]),
        ],
    )
    def test_keys_are_masked(
        self, capsys: pytest.CaptureFixture[str], name: str, value: object
    ) -> None:
        logs.configure("info")
        logs.get("x").info("refused", **{name: value})
        line = capsys.readouterr().err
        assert "hunter2" not in line
        assert logs.MASK in line

    def test_exception_stays_on_one_line(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        logs.configure("info")
        try:
            raise ValueError("two\nlines")
        except ValueError:
            logs.get("x").exception("failed")
        assert capsys.readouterr().err.count("\n") == 1


class TestMetrics:
    """Metrics as statsd receives them."""

    def test_values_arrive_with_their_names(self) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
            server.bind(("127.0.0.1", 0))
            server.settimeout(5.0)
            address = f"127.0.0.1:{server.getsockname()[1]}"
            sender = metrics.Metrics(address, "entry", "entry-1")
            sender.count(metrics.REQUESTS, part="team.a")
            sender.gauge(metrics.RUNNING, 4)
            sender.time(metrics.QUEUE_MS, 1.5)
            received = [server.recv(512) for _ in range(3)]
            sender.close()
        assert received == [
            b"quetzalmill.entry.entry-1.requests.team_a:1|c",
            b"quetzalmill.entry.entry-1.running:4|g",
            b"quetzalmill.entry.entry-1.queue_ms:1.500000|ms",
        ]

    def test_nothing_happens_without_address(self) -> None:
        sender = metrics.Metrics(None, "entry", "entry-1")
        sender.count(metrics.REQUESTS)
        sender.close()

    def test_names_differ(self) -> None:
        names = {metric.name for metric in metrics.METRICS}
        assert len(names) == len(metrics.METRICS)


class TestPages:
    """The documentation pages that list settings and metrics."""

    @pytest.mark.parametrize(
        ("heading", "role"),
        [
            ("## Entry", settings.EntrySettings),
            ("## Sidecar", settings.SidecarSettings),
        ],
    )
    def test_settings_page_lists_fields_and_defaults(
        self, heading: str, role: type[settings.ProcessSettings]
    ) -> None:
        rows = rows_of("settings.md", heading)
        assert [(row[0], row[2]) for row in rows] == [
            (f"`{field.name}`", default_text(field.default))
            for field in attrs.fields(role)
        ]

    def test_metrics_page_lists_metrics(self) -> None:
        assert rows_of("metrics.md", "# Metrics") == [
            [
                f"`{metric.name}`",
                metric.kind.value,
                metric.unit,
                metric.part,
                metric.meaning,
            ]
            for metric in metrics.METRICS
        ]


def rows_of(page: str, heading: str) -> list[list[str]]:
    """Returns the cells of the first table after a heading."""
    text = (harness.REPOSITORY / "docs" / page).read_text()
    table = text.partition(heading)[2].partition("|---")[2].partition("\n\n")[0]
    return [
        [cell.strip() for cell in line.strip("|").split("|")]
        for line in table.splitlines()[1:]
    ]


def default_text(default: object) -> str:
    """Returns a default as the page writes it."""
    if default is attrs.NOTHING:
        return "required"
    if default is None:
        return "none"
    if isinstance(default, attrs.Factory):  # type: ignore[arg-type]
        return "`[]`"
    return f"`{json.dumps(default)}`"
