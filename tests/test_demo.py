"""The newcomer's first command works."""

import subprocess
import sys

from tests import harness

BOUND_S = 120.0


class TestDemo:
    """The examples of both deployments, end to end."""

    def test_runs_both_programs_and_ends(self) -> None:
        done = subprocess.run(
            [sys.executable, "-m", "quetzalmill_load.demo"],
            cwd=harness.REPOSITORY,
            capture_output=True,
            text=True,
            timeout=BOUND_S,
            check=False,
        )
        assert done.returncode == 0, done.stdout + done.stderr
        assert done.stdout.count('"run": 1') == 2
        assert "Everything has ended" in done.stdout
