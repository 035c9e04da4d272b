"""Limits the rate of log lines and keeps logging from blocking the process."""

import select
import time
from typing import Any, TextIO

import attrs
import structlog

LINES_PER_S = 50.0
"""Sustained rate of log lines for each event; several times a gateway's share
of the requests at normal load."""

BURST_LINES = 200.0
"""Maximum burst of log lines for each event."""

_MAX_CHAR_BYTES = 4
_PIECE_CHARS = select.PIPE_BUF // _MAX_CHAR_BYTES


@attrs.define
class _TokenBucket:
    lines: float
    refilled_s: float
    left_out: int = 0


class EventRateLimit:
    """A structlog processor that limits the rate of each event.

    The next line of an event that was dropped carries the number of dropped
    lines as ``left_out``.
    """

    def __init__(self) -> None:
        self._buckets: dict[str, _TokenBucket] = {}

    def __call__(
        self, _logger: Any, _method: str, event: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        """Returns the event.

        Raises:
            structlog.DropEvent: The event exceeds its rate.
        """
        now_s = time.monotonic()
        name = str(event.get("event"))
        bucket = self._buckets.setdefault(
            name, _TokenBucket(BURST_LINES, now_s)
        )
        refill = (now_s - bucket.refilled_s) * LINES_PER_S
        bucket.lines = min(BURST_LINES, bucket.lines + refill)
        bucket.refilled_s = now_s
        if bucket.lines < 1.0:
            bucket.left_out += 1
            raise structlog.DropEvent
        bucket.lines -= 1.0
        if bucket.left_out:
            event["left_out"] = bucket.left_out
            bucket.left_out = 0
        return event


class NonBlockingStream:
    """Writes lines to a stream and drops those that would block.

    If the reader of a pipe stops reading, lines are lost, but the process does
    not stall. A pipe that is writable accepts ``select.PIPE_BUF`` bytes; longer
    lines are written in pieces, and end where the pipe is full.

    Args:
        stream: The stream to write to.
    """

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream
        self._poll = select.poll()
        self._poll.register(stream.fileno(), select.POLLOUT)
        self._unwritten = ""
        self.dropped_lines = 0

    def write(self, text: str) -> int:
        """Keeps a line, or a part of it, until it is flushed."""
        self._unwritten += text
        return len(text)

    def flush(self) -> None:
        """Writes what was kept, or counts it as dropped."""
        text, self._unwritten = self._unwritten, ""
        for start in range(0, len(text), _PIECE_CHARS):
            if not self._write_piece(text[start : start + _PIECE_CHARS]):
                self.dropped_lines += 1
                break

    def _write_piece(self, text: str) -> bool:
        """Returns whether it was written."""
        if not self._is_writable():
            return False
        try:
            self._stream.write(text)
            self._stream.flush()
        except OSError:
            # The reader of a pipe has closed it, or a disk is full.
            return False
        return True

    def _is_writable(self) -> bool:
        ready = self._poll.poll(0)
        return bool(ready and ready[0][1] & select.POLLOUT)
