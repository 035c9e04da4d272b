"""Tests of the check of a file of objects before it is published."""

import json
import pathlib
from typing import Any

import pytest

from quetzalmill import main
from tests import fake_operator

_GOOD = """
[team.field]
rate_per_s = 5
burst = 10
selector = "use=a"
[key.k1]
team = "field"
secret_sha256 = "HASH"
[endpoint.e1]
host = "engine-1"
address = "127.0.0.1:8000"
labels = { model = "agent" }
[model.agent]
selector = "model=agent"
labels = { use = "a" }
""".replace("HASH", "0" * 64)
_OTHER = '[endpoint.e2]\nhost = "x"\naddress = "127.0.0.1:8000"\n'


def _check(
    capsys: pytest.CaptureFixture[str], *arguments: object
) -> tuple[int, Any, str]:
    """Returns the exit code, the codes with their entries, and the output."""
    with pytest.raises(SystemExit) as ended:
        main.run(["config", "check", "--json", *map(str, arguments)])
    out = capsys.readouterr().out
    found = json.loads(out)["findings"]
    codes = [(each["code"], each["entry"]) for each in found]
    return int(ended.value.code or 0), codes, out


@pytest.mark.parametrize(
    ("good", "bad", "exit_code", "code", "entry"),
    [
        ("burst = 10", "", 2, "invalid", "team/field"),
        ('team = "field"', 'team = "x"', 2, "unknown-team", "key/k1"),
        ("burst = 10", "burst = 0.5", 1, "burst-below-one", "team/field"),
        ('"use=a"', '"use=b"', 1, "selects-nothing", "team/field"),
        ('"agent" }', '"b" }', 1, "selects-no-endpoint", "model/agent"),
        ('"agent" }', '"b" }', 1, "never-selected", "endpoint/e1"),
        ("[model", _OTHER + "[model", 1, "address-shared", "endpoint/e2"),
        (
            "labels = { m",
            "memory_tokens = 0\nlabels = { m",
            1,
            "engine-without-memory",
            "endpoint/e1",
        ),
    ],
)
def test_each_finding(
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
    good: str,
    bad: str,
    exit_code: int,
    code: str,
    entry: str,
) -> None:
    file = tmp_path / "fleet.toml"
    file.write_text(_GOOD)
    assert _check(capsys, file)[:2] == (0, [])
    file.write_text(_GOOD.replace(good, bad, 1))
    ended, found, _ = _check(capsys, file)
    assert ended == exit_code
    assert (code, entry) in found


def test_differences_from_what_is_in_force(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Objects in force count, as publishing lays the file over them."""
    file, old = tmp_path / "new.toml", tmp_path / "old.toml"
    old.write_text(_GOOD)
    file.write_text(
        '[team.field]\nrate_per_s = 5\nburst = 9\nselector = "use=a"\n'
        '[model.new]\nselector = "model=agent"\n'
    )
    expected = [("changed", "team/field"), ("added", "model/new")]
    ended, found, out = _check(capsys, file, "--against", old)
    assert (ended, found) == (0, expected)
    assert "changes burst" in out
    with fake_operator.serving() as fake:
        fake.put("endpoint", "e1", {"labels": {"model": "agent"}})
        fake.put("model", "agent", {"labels": {"use": "a"}})
        fake.put("team", "field", {"burst": 10})
        ended, found, out = _check(capsys, file, "--operator", fake.address)
        assert (ended, found) == (0, expected)


@pytest.mark.parametrize("key", ['["qm_s3cret"]', "{ a = 'qm_s3cret' }"])
def test_no_secret_is_printed(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str], key: str
) -> None:
    """An operator may write the key itself where its hash belongs."""
    file = tmp_path / "fleet.toml"
    file.write_text(f'[key.k1]\nteam = "field"\nsecret_sha256 = {key}\n')
    good = tmp_path / "good.toml"
    good.write_text(_GOOD)
    for arguments in ([file], [good, "--against", file]):
        ended, found, out = _check(capsys, *arguments)
        assert ended == 2
        assert ("invalid", "key/k1") in found
        assert "s3cret" not in out
