"""Starts the daemons with as few modules in memory as possible.

A daemon never needs the library that parses the operators' commands, so this
module does without it.
"""

from collections.abc import Iterator
import contextlib
import importlib
import sys
from typing import Any

from quetzalmill import commands_exit
from quetzalmill import errors
from quetzalmill import settings

ROLES = (settings.ENTRY, settings.SIDECAR)
"""The roles of daemons, which are the names of their commands too."""


def run(role: str, path: str) -> int:
    """Runs a daemon until it is asked to end.

    Args:
        role: One of ``ROLES``.
        path: Its settings file.

    Returns:
        The exit code of the process.
    """
    try:
        loaded = _load(role, path)
    except errors.SettingsError as error:
        for problem in error.problems:
            print(problem, file=sys.stderr)
        return commands_exit.ExitCode.USAGE
    return int(import_daemon(role).run(loaded))


def import_daemon(role: str) -> Any:
    """Returns the module that runs a role.

    ``structlog`` imports ``rich`` wherever it is installed, for a renderer
    that is not used here, and it would cost each daemon several megabytes.
    """
    with _without_module("rich"):
        return importlib.import_module(f"quetzalmill.{role}")


def _load(role: str, path: str) -> settings.AnySettings:
    if role == settings.ENTRY:
        return settings.load_entry(path)
    return settings.load_sidecar(path)


@contextlib.contextmanager
def _without_module(name: str) -> Iterator[None]:
    """Makes a module look as if it were not installed."""
    missing = object()
    before: Any = sys.modules.get(name, missing)
    sys.modules[name] = None  # type: ignore[assignment]
    try:
        yield
    finally:
        del sys.modules[name]
        if before is not missing:
            sys.modules[name] = before
