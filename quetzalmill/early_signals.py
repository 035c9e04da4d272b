"""Keeps signals from ending a process before and after it can handle them.

The default action of SIGHUP, SIGTERM and SIGINT ends a process at once. The
handlers installed here only record them; those from before the event loop runs
are handled once it does. Import nothing slow here, since programs import this
module first.
"""

import signal
import types

HANDLED = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)

_recorded: list[int] = []


def install() -> None:
    """Records signals from now on."""
    for number in HANDLED:
        signal.signal(number, _record)


def ignore() -> None:
    """Ignores signals until the process has exited.

    The interpreter restores the default action of handled signals while it
    ends, but not of ignored ones.
    """
    for number in HANDLED:
        signal.signal(number, signal.SIG_IGN)


def take() -> list[int]:
    """Returns the signals recorded so far, each only once."""
    taken = []
    while _recorded:
        taken.append(_recorded.pop(0))
    return taken


def _record(number: int, frame: types.FrameType | None) -> None:
    del frame
    _recorded.append(number)
