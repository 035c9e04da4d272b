"""The ``quetzalmill`` program: starts a daemon or an operator's command."""

import sys

from quetzalmill import early_signals

_DAEMONS = ("entry", "sidecar")
"""``commands_daemon.ROLES``, which takes long to import."""


def run(arguments: list[str] | None = None) -> None:
    """Runs one command and exits with its exit code.

    Args:
        arguments: The command line without the program's name; that of the
            process when it is None.
    """
    words = sys.argv[1:] if arguments is None else arguments
    if _starts_daemon(words):
        early_signals.install()
        # Imported late because a signal must not end the process meanwhile.
        from quetzalmill import commands_daemon

        sys.exit(commands_daemon.run(words[0], words[1]))
    # Imported late so that daemons do not keep the command parser in memory.
    from quetzalmill import commands_app

    commands_app.run(words)


def _starts_daemon(words: list[str]) -> bool:
    """Returns whether the words are exactly a role and a settings file."""
    if len(words) != 2 or words[0] not in _DAEMONS:
        return False
    return not words[1].startswith("-")
