"""The exit codes of commands and daemons."""

import enum


class ExitCode(enum.IntEnum):
    """How a command ended; scripts may rely on these numbers."""

    OK = 0
    REJECTED = 1
    USAGE = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    UNKNOWN = 5
    TIMEOUT = 6
