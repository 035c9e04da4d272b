"""Starts the daemons with as few modules in memory as possible.

A daemon does not need the library that parses the operators' commands, so this
module does not import it.
"""

from collections.abc import Iterator
import contextlib
import importlib
import sys
from typing import Any

from quetzalmill import commands_exit
from quetzalmill import early_signals
from quetzalmill import errors
from quetzalmill import settings

ROLES = (settings.ENTRY, settings.SIDECAR)
"""The roles of daemons, which are also the names of their commands."""


def run(role: str, path: str) -> int:
    """Runs a daemon until it is asked to stop.

    Args:
        role: One of ``ROLES``.
        path: Its settings file.

    Returns:
        The exit code of the process.
    """
    early_signals.install()
    try:
        loaded = _load(role, path)
    except errors.SettingsError as error:
        for problem in error.problems:
            print(problem, file=sys.stderr)
        return commands_exit.ExitCode.USAGE
    exit_code = int(import_daemon(role).run(loaded))
    early_signals.ignore()
    return exit_code


def import_daemon(role: str) -> Any:
    """Returns the module that runs a role.

    ``rich`` is hidden during the import: ``structlog`` imports it if installed,
    for a renderer that is not used here, at a cost of several megabytes of
    memory per daemon.
    """
    with _without_module("rich"):
        return importlib.import_module(f"quetzalmill.{role}")


def _load(role: str, path: str) -> settings.ProcessSettings:
    if role == settings.ENTRY:
        return settings.load_entry(path)
    return settings.load_sidecar(path)


@contextlib.contextmanager
def _without_module(name: str) -> Iterator[None]:
    """Makes imports of a module fail as if it were not installed."""
    missing = object()
    previous: Any = sys.modules.get(name, missing)
    sys.modules[name] = None  # type: ignore[assignment]
    try:
        yield
    finally:
        del sys.modules[name]
        if previous is not missing:
            sys.modules[name] = previous
