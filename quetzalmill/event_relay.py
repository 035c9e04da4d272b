"""Forwards the events of a stream, from one endpoint or several in turn.

Load pattern: endpoints abort, hang or are replaced in the middle of a stream.
A caller receives complete events only, so that a stream that is resumed at
another endpoint continues after the last complete event.

The bytes without a complete event are limited, as a faulty server may send
them endlessly.
"""

import re

import attrs

from quetzalmill import errors
from quetzalmill import gateway_outcomes as outcomes
from quetzalmill import sse

MAX_EVENT_BYTES = 262_144
"""The most bytes without a complete event; a hundred times the largest events
of the users' engines."""

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_MAX_ID_DIGITS = 20
"""The length of the longest event ids that are compared as numbers."""

_BAD_GATEWAY = 502


@attrs.frozen
class Events:
    """Complete events, as the caller receives them.

    Attributes:
        data: Their bytes.
        outputs: The data of each.
        before_id: The id of the last event before them.
    """

    data: bytes = attrs.field(repr=False)
    outputs: list[bytes] = attrs.field(repr=False)
    before_id: str


class EventRelay:
    """Tracks which events of a stream have been sent to the caller.

    Attributes:
        status: The status that was sent to the caller; 0 before that.
        last_id: The id of the last event that was sent; empty without one.
    """

    def __init__(self) -> None:
        self.status = 0
        self.last_id = ""
        self._outputs: list[bytes] = []
        self._incomplete = b""
        self._parser = sse.SseParser(MAX_EVENT_BYTES)
        self._is_resumed = False

    @property
    def events(self) -> int:
        """The number of events that have been sent."""
        return len(self._outputs)

    @property
    def started(self) -> bool:
        """Whether the response head has been sent."""
        return self.status != 0

    def start(self, status: int) -> None:
        """Records that the response head is sent."""
        self.status = status

    def resume(self) -> None:
        """Starts reading another endpoint's response.

        An incomplete event of the previous endpoint is discarded, as the next
        one sends it again.
        """
        self._incomplete = b""
        self._parser = sse.SseParser(MAX_EVENT_BYTES)
        self._is_resumed = True

    def feed(self, piece: bytes) -> Events:
        """Reads a piece of the body; returns the events that it completes.

        Raises:
            errors.BadMessageError: There are too many bytes without an event,
                or an event is not UTF-8.
        """
        *ended, self._incomplete = _split_events(self._incomplete + piece)
        if len(self._incomplete) > MAX_EVENT_BYTES:
            raise errors.BadMessageError(
                "the stream goes on without an event", _BAD_GATEWAY
            )
        before_id = self.last_id
        forwarded: list[bytes] = []
        outputs: list[bytes] = []
        for raw in ended:
            events = self._parser.feed(raw)
            if events and self._is_repeated(events[-1]):
                continue
            forwarded.append(raw)
            outputs += [event.data.encode() for event in events]
            if events and events[-1].event_id:
                self.last_id = events[-1].event_id
        self._outputs += outputs
        return Events(b"".join(forwarded), outputs, before_id)

    def mark_unsent(self, events: Events) -> None:
        """Records that the events returned last were not sent after all."""
        del self._outputs[len(self._outputs) - len(events.outputs) :]
        self.last_id = events.before_id

    def finish(self) -> bytes:
        """Returns the bytes left at the end of a complete body."""
        incomplete, self._incomplete = self._incomplete, b""
        return incomplete

    def outcome(self, *, complete: bool) -> outcomes.Streamed:
        """Returns an outcome with the events that have been sent."""
        return outcomes.Streamed(
            status=self.status,
            complete=complete,
            events=len(self._outputs),
            outputs=tuple(self._outputs),
        )

    def _is_repeated(self, event: sse.Event) -> bool:
        """Returns whether a resumed stream repeats an event already sent."""
        new, last = event.event_id, self.last_id
        return (
            self._is_resumed
            and _is_number(new)
            and _is_number(last)
            and int(new) <= int(last)
        )


def _is_number(event_id: str) -> bool:
    return event_id.isdecimal() and len(event_id) <= _MAX_ID_DIGITS


def _split_events(data: bytes) -> list[bytes]:
    """Splits after each event; the last element is an incomplete event."""
    parts = []
    start = 0
    for end in _EVENT_END.finditer(data):
        parts.append(data[start : end.end()])
        start = end.end()
    return [*parts, data[start:]]
