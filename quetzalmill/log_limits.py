"""Keeps logging from growing without bound and from blocking the process."""

import select
import time
from typing import Any, TextIO

import attrs
import structlog

LINES_PER_S = 50.0
"""Lines of one event that are logged a second on average; a gateway's share
of the requests at the usual load fits several times."""

BURST_LINES = 200.0
"""Lines of one event that are logged at once."""


@attrs.define
class _Allowance:
    lines: float
    filled_s: float
    left_out: int = 0


class VolumeLimit:
    """A processor that leaves out lines of an event that comes too often.

    The next line of that event says how many were left out before it.
    """

    def __init__(self) -> None:
        self._allowances: dict[str, _Allowance] = {}

    def __call__(
        self, _logger: Any, _method: str, event: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        """Passes an event on, or drops it."""
        now_s = time.monotonic()
        name = str(event.get("event"))
        allowance = self._allowances.setdefault(
            name, _Allowance(BURST_LINES, now_s)
        )
        gained = (now_s - allowance.filled_s) * LINES_PER_S
        allowance.lines = min(BURST_LINES, allowance.lines + gained)
        allowance.filled_s = now_s
        if allowance.lines < 1.0:
            allowance.left_out += 1
            raise structlog.DropEvent
        allowance.lines -= 1.0
        if allowance.left_out:
            event["left_out"] = allowance.left_out
            allowance.left_out = 0
        return event


class UnblockedStream:
    """Writes lines to a stream only while it takes them.

    A reader that has stopped reading costs lines, never the process's time.
    Lines are short against what a pipe takes once it is writable.

    Args:
        stream: Where the lines go.
    """

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream
        self._poll = select.poll()
        self._poll.register(stream.fileno(), select.POLLOUT)
        self.lost_lines = 0

    def write(self, text: str) -> int:
        """Writes a text, or counts it as lost."""
        ready = self._poll.poll(0)
        if ready and ready[0][1] & select.POLLOUT:
            return self._stream.write(text)
        self.lost_lines += 1
        return len(text)

    def flush(self) -> None:
        """Hands on what was written."""
        ready = self._poll.poll(0)
        if ready and ready[0][1] & select.POLLOUT:
            self._stream.flush()
