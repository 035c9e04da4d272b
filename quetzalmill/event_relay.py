"""Forwards the events of a stream, from one endpoint or several in turn.

Load pattern: endpoints abort, hang or are replaced in the middle of a stream.
A caller receives complete events only, so that a stream that is resumed at
another endpoint continues after the last complete event.

The bytes without a complete event that carries data are limited, as a faulty
server may send them endlessly. They may come a few at a time, so each byte is
searched only once.
"""

import re

import attrs

from quetzalmill import errors
from quetzalmill import gateway_outcomes as outcomes
from quetzalmill import sse

MAX_EVENT_BYTES = 262_144
"""The most bytes without a complete event that carries data; a hundred times
the largest events of the users' engines."""

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_MAX_END_BYTES = 4
_MAX_ID_DIGITS = 20
"""The length of the longest event ids that are compared as numbers."""

_OUTPUT_OVERHEAD_BYTES = 64
"""The memory of an object and of the reference to it."""

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

    Args:
        keeps_outputs: Whether the data of the events is kept until the end, as
            for a turn that is stored.

    Attributes:
        status: The status that was sent to the caller; 0 before that.
        last_id: The id of the last event that was sent; empty without one.
        events: The number of events that have been sent.
    """

    def __init__(self, *, keeps_outputs: bool = True) -> None:
        self.status = 0
        self.last_id = ""
        self.events = 0
        self._keeps_outputs = keeps_outputs
        self._outputs: list[bytes] = []
        self._output_bytes = 0
        self._incomplete = bytearray()
        self._bytes_without_data = 0
        self._parser = sse.SseParser(MAX_EVENT_BYTES)
        self._is_resumed = False

    @property
    def held_bytes(self) -> int:
        """About the memory that it takes."""
        return len(self._incomplete) + self._output_bytes

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
        self.discard_incomplete()
        self._is_resumed = True

    def discard_incomplete(self) -> None:
        """Discards an incomplete event, as its stream has broken off."""
        self._incomplete = bytearray()
        self._bytes_without_data = 0
        self._parser = sse.SseParser(MAX_EVENT_BYTES)

    def feed(self, piece: bytes) -> Events:
        """Reads a piece of the body; returns the events that it completes.

        Raises:
            errors.BadMessageError: There are too many bytes without an event,
                or an event is not UTF-8.
        """
        # Kept apart until all are read: after an error none of them is sent.
        last_id = self.last_id
        forwarded: list[bytes] = []
        outputs: list[bytes] = []
        for raw in self._split(piece):
            events = self._parser.feed(raw)
            self._bytes_without_data += len(raw)
            if events:
                self._bytes_without_data = 0
            if events and self._is_repeated(events[-1], last_id):
                continue
            forwarded.append(raw)
            outputs += [event.data.encode() for event in events]
            if events and events[-1].event_id:
                last_id = events[-1].event_id
        if self._bytes_without_data + len(self._incomplete) > MAX_EVENT_BYTES:
            raise errors.BadMessageError(
                "the stream goes on without an event", _BAD_GATEWAY
            )
        before_id, self.last_id = self.last_id, last_id
        self.events += len(outputs)
        if self._keeps_outputs:
            self._outputs += outputs
            self._output_bytes += _memory_of(outputs)
        return Events(b"".join(forwarded), outputs, before_id)

    def mark_unsent(self, events: Events) -> None:
        """Records that the events returned last were not sent after all."""
        self.events -= len(events.outputs)
        if self._keeps_outputs:
            del self._outputs[self.events :]
            self._output_bytes -= _memory_of(events.outputs)
        self.last_id = events.before_id

    def finish(self) -> bytes:
        """Returns the bytes left at the end of a body: blanks and comments.

        Raises:
            errors.ConnectionLostError: The body ended inside an event.
        """
        rest = bytes(self._incomplete)
        if any(
            line and not line.startswith(b":") for line in rest.splitlines()
        ):
            raise errors.ConnectionLostError("the stream ended inside an event")
        self._incomplete = bytearray()
        return rest

    def outcome(self, *, complete: bool) -> outcomes.Streamed:
        """Returns an outcome with the events that have been sent."""
        return outcomes.Streamed(
            status=self.status,
            complete=complete,
            events=self.events,
            outputs=tuple(self._outputs),
        )

    def _split(self, piece: bytes) -> list[bytes]:
        """Returns the events that a piece completes; keeps the rest."""
        # An event's end may have begun in an earlier piece.
        search_start = max(0, len(self._incomplete) - _MAX_END_BYTES + 1)
        self._incomplete += piece
        ends = [
            match.end()
            for match in _EVENT_END.finditer(self._incomplete, search_start)
        ]
        if not ends:
            return []
        data = bytes(self._incomplete)
        self._incomplete = bytearray(data[ends[-1] :])
        return [
            data[start:end]
            for start, end in zip([0, *ends], ends, strict=False)
        ]

    def _is_repeated(self, event: sse.Event, last_id: str) -> bool:
        """Returns whether a resumed stream repeats an event already sent."""
        return (
            self._is_resumed
            and _is_number(event.event_id)
            and _is_number(last_id)
            and int(event.event_id) <= int(last_id)
        )


def _memory_of(outputs: list[bytes]) -> int:
    return sum(len(data) + _OUTPUT_OVERHEAD_BYTES for data in outputs)


def _is_number(event_id: str) -> bool:
    return event_id.isdecimal() and len(event_id) <= _MAX_ID_DIGITS
