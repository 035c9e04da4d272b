"""Passes the events of a stream on, from one endpoint or from several.

The load pattern: endpoints break off, hang or are replaced amid their streams.
A caller gets whole events only, so that a stream that goes on at another
endpoint continues where the last whole event ended.

Bytes without an event have a bound, since a server in trouble may send some
without end.
"""

import re

import attrs

from quetzalmill import errors
from quetzalmill import gateway_outcomes as outcomes
from quetzalmill import sse

MAX_EVENT_BYTES = 262_144
"""The most bytes without a whole event; a hundred times the largest events of
the users' engines."""

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_BAD_GATEWAY = 502


@attrs.frozen
class Events:
    """Whole events, as the caller gets them.

    Attributes:
        data: Their bytes.
        outputs: The data of each.
        before_id: The id of the last event before them.
    """

    data: bytes = attrs.field(repr=False)
    outputs: list[bytes] = attrs.field(repr=False)
    before_id: str


class EventRelay:
    """What has gone out of one caller's stream.

    Attributes:
        status: The status that the caller got; 0 before the head.
        last_id: The id of the last event that went out; empty without one.
    """

    def __init__(self) -> None:
        self.status = 0
        self.last_id = ""
        self._outputs: list[bytes] = []
        self._rest = b""
        self._parser = sse.SseParser(MAX_EVENT_BYTES)
        self._is_resumed = False

    @property
    def events(self) -> int:
        """How many events have gone out."""
        return len(self._outputs)

    @property
    def started(self) -> bool:
        """Whether the caller has got the head."""
        return self.status != 0

    def start(self, status: int) -> None:
        """Records that the head goes out."""
        self.status = status

    def resume(self) -> None:
        """Begins to read another endpoint's answer.

        What the one before had sent of an event is dropped, as the next one
        sends it again.
        """
        self._rest = b""
        self._parser = sse.SseParser(MAX_EVENT_BYTES)
        self._is_resumed = True

    def feed(self, piece: bytes) -> Events:
        """Takes a piece of the body; returns the events that it ends.

        Raises:
            errors.BadMessageError: There is no event in too many bytes, or an
                event is not UTF-8.
        """
        *ended, self._rest = _split(self._rest + piece)
        if len(self._rest) > MAX_EVENT_BYTES:
            raise errors.BadMessageError(
                "the stream goes on without an event", _BAD_GATEWAY
            )
        before_id = self.last_id
        passed: list[bytes] = []
        outputs: list[bytes] = []
        for raw in ended:
            events = self._parser.feed(raw)
            if events and self._is_repeated(events[-1]):
                continue
            passed.append(raw)
            outputs += [event.data.encode() for event in events]
            if events and events[-1].event_id:
                self.last_id = events[-1].event_id
        self._outputs += outputs
        return Events(b"".join(passed), outputs, before_id)

    def take_back(self, events: Events) -> None:
        """Records that the events fed last did not go out after all."""
        del self._outputs[len(self._outputs) - len(events.outputs) :]
        self.last_id = events.before_id

    def finish(self) -> bytes:
        """Returns what is left at the whole end of a body."""
        rest, self._rest = self._rest, b""
        return rest

    def outcome(self, *, complete: bool) -> outcomes.Streamed:
        """Returns what has gone out."""
        return outcomes.Streamed(
            status=self.status,
            complete=complete,
            events=len(self._outputs),
            outputs=tuple(self._outputs),
        )

    def _is_repeated(self, event: sse.Event) -> bool:
        """Returns whether a resumed stream sends what has gone out."""
        new, last = event.event_id, self.last_id
        return (
            self._is_resumed
            and new.isdecimal()
            and last.isdecimal()
            and int(new) <= int(last)
        )


def _split(data: bytes) -> list[bytes]:
    """Splits after each event; the last part is the event under way."""
    parts = []
    start = 0
    for end in _EVENT_END.finditer(data):
        parts.append(data[start : end.end()])
        start = end.end()
    return [*parts, data[start:]]
