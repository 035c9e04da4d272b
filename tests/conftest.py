"""Shared test setup: logging, and the tests that are known to fail.

KNOWN-RED.txt lists tests that are expected to fail. Each entry has a line
``test: <node id>``. Only these tests may fail; all of them still run, and the
outcome of each is printed at the end of the run.
"""

from collections.abc import Iterator
import pathlib
import signal

import pytest
import structlog

from quetzalmill import early_signals

_KNOWN_RED = pathlib.Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
_PREFIX = "test: "


@pytest.fixture(autouse=True)
def _logging_of_one_test() -> Iterator[None]:
    """Resets the logging configuration, whose stream ends with the test."""
    yield
    structlog.reset_defaults()


@pytest.fixture(autouse=True)
def _signals_of_one_test() -> Iterator[None]:
    """Restores the signal handlers, which a daemon's command line sets."""
    before = {n: signal.getsignal(n) for n in early_signals.HANDLED}
    yield
    for number, handler in before.items():
        signal.signal(number, handler)


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Marks the tests that are known to fail."""
    known = _known_red()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED", strict=False))


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Prints the outcome of each test that is known to fail."""
    for outcome in ("xfailed", "xpassed"):
        for report in terminalreporter.stats.get(outcome, []):
            terminalreporter.write_line(f"KNOWN-RED {outcome}: {report.nodeid}")


def _known_red() -> set[str]:
    if not _KNOWN_RED.exists():
        return set()
    lines = _KNOWN_RED.read_text().splitlines()
    return {
        line.removeprefix(_PREFIX).strip()
        for line in lines
        if line.startswith(_PREFIX)
    }


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption(
        "--fault-seeds",
        default="1-3",
        help="First and last seed of the fault pair tests.",
    )


def pytest_generate_tests(metafunc: pytest.Metafunc) -> None:
    if "fault_seed" in metafunc.fixturenames:
        first, _, last = metafunc.config.getoption("--fault-seeds").partition(
            "-"
        )
        seeds = range(int(first), int(last or first) + 1)
        metafunc.parametrize("fault_seed", seeds)
