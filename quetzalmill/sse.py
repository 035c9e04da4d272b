"""Encodes and parses server-sent events."""

import attrs

from quetzalmill import errors
from quetzalmill import line_buffer

CONTENT_TYPE = "text/event-stream"
DONE = "[DONE]"
"""The data of the last event of a streamed completion."""

_MAX_EVENT_BYTES = 4_194_304


@attrs.frozen(kw_only=True)
class Event:
    """One server-sent event.

    Attributes:
        data: The data, with its lines joined by newlines.
        name: The event type; empty for an ordinary message.
        event_id: The event id; empty if there is none.
    """

    data: str
    name: str = ""
    event_id: str = ""


def encode_event(data: str, name: str = "") -> bytes:
    """Returns the bytes of one event."""
    lines = [f"event: {name}"] if name else []
    lines += [f"data: {line}" for line in data.split("\n")]
    return ("\n".join(lines) + "\n\n").encode()


class SseParser:
    """Parses events incrementally from the chunks of a body."""

    def __init__(self, max_event_bytes: int = _MAX_EVENT_BYTES) -> None:
        self._max_event_bytes = max_event_bytes
        self._lines = line_buffer.LineBuffer()
        self._data: list[str] = []
        self._data_bytes = 0
        self._name = ""
        self._id = ""

    def feed(self, chunk: bytes) -> list[Event]:
        """Parses a chunk of the body; returns the events that it completes.

        Raises:
            errors.BadMessageError: An event is too large or is not UTF-8.
        """
        events = []
        for line in self._lines.feed(chunk):
            event = self._parse_line(line.removesuffix(b"\r"))
            if event is not None:
                events.append(event)
        if (
            self._data_bytes + self._lines.incomplete_bytes
            > self._max_event_bytes
        ):
            raise errors.BadMessageError("an event is too large", 502)
        return events

    def _parse_line(self, line: bytes) -> Event | None:
        if not line:
            return self._dispatch_event()
        field, _, raw_value = line.partition(b":")
        try:
            value = raw_value.removeprefix(b" ").decode()
        except UnicodeDecodeError as error:
            raise errors.BadMessageError("an event is not UTF-8", 502) from (
                error
            )
        match field:
            case b"data":
                self._data.append(value)
                self._data_bytes += len(raw_value)
            case b"event":
                self._name = value
            case b"id":
                self._id = value
        return None

    def _dispatch_event(self) -> Event | None:
        event = None
        if self._data:
            event = Event(
                data="\n".join(self._data),
                name=self._name,
                event_id=self._id,
            )
        self._data = []
        self._data_bytes = 0
        self._name = ""
        self._id = ""
        return event
