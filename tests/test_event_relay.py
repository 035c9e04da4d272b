"""Tests of forwarding streams event by event."""

from collections.abc import Iterator
import re
import types

import pytest

from quetzalmill import errors
from quetzalmill import event_relay


def _event(number: int) -> bytes:
    return f"id: {number}\ndata: e{number}\n\n".encode()


class TestWholeEvents:
    """Events from a single endpoint's response."""

    @pytest.mark.parametrize("size", [1, 3, 7, 1_000])
    @pytest.mark.parametrize("line_end", [b"\n", b"\r\n"])
    def test_events_do_not_depend_on_piece_size(
        self, size: int, line_end: bytes
    ) -> None:
        body = b"".join(_event(number) for number in range(1, 6))
        body = body.replace(b"\n", line_end) + b": bye"
        relay = event_relay.EventRelay()
        passed = [
            relay.feed(body[start : start + size]).data
            for start in range(0, len(body), size)
        ]
        assert b"".join([*passed, relay.finish()]) == body
        outcome = relay.outcome(complete=True)
        assert outcome.outputs == (b"e1", b"e2", b"e3", b"e4", b"e5")
        assert relay.last_id == "5"

    @pytest.mark.parametrize("size", range(1, 16))
    @pytest.mark.parametrize("line_end", [b"\n", b"\r\n"])
    def test_body_that_ends_inside_an_event_is_not_complete(
        self, line_end: bytes, size: int
    ) -> None:
        """Also if only the blank line or half of a line end is missing."""
        event = _event(2).replace(b"\n", line_end)
        relay = event_relay.EventRelay()
        relay.feed(_event(1) + event[:size])
        with pytest.raises(errors.ConnectionLostError):
            relay.finish()

    @pytest.mark.parametrize("rest", [b"", b"\n", b"\r\n", b": bye", b": a\n"])
    def test_body_may_end_after_an_event(self, rest: bytes) -> None:
        relay = event_relay.EventRelay()
        sent = relay.feed(_event(1) + rest).data + relay.finish()
        assert sent == _event(1) + rest

    def test_incomplete_event_is_held_back(self) -> None:
        relay = event_relay.EventRelay()
        assert relay.feed(_event(1) + b"id: 2\nda").data == _event(1)
        assert relay.feed(b"ta: e2\n\n").data == _event(2)

    def test_bytes_are_not_searched_again_for_each_piece(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Else a stream in pieces of one byte takes quadratic time."""
        searched_bytes = 0
        pattern = event_relay._EVENT_END

        def finditer(data: bytes, start: int = 0) -> Iterator[re.Match[bytes]]:
            nonlocal searched_bytes
            searched_bytes += len(data) - start
            return pattern.finditer(data, start)

        monkeypatch.setattr(
            event_relay, "_EVENT_END", types.SimpleNamespace(finditer=finditer)
        )
        relay = event_relay.EventRelay()
        for _ in range(10_000):
            relay.feed(b"x")
        assert searched_bytes <= 5 * 10_000

    @pytest.mark.parametrize(
        "filler", [b"x", b": y\n", b"data: z\n", b": y\n\n", b"id: 1\n\n"]
    )
    def test_bytes_without_an_event_are_limited(self, filler: bytes) -> None:
        relay = event_relay.EventRelay()
        sent_bytes = 0
        with pytest.raises(errors.BadMessageError):
            while sent_bytes < 2 * event_relay.MAX_EVENT_BYTES:
                relay.feed(filler * 1_000)
                sent_bytes += 1_000 * len(filler)


class TestHeldBytes:
    """What the relay keeps of a stream that does not end."""

    def test_incomplete_event_is_counted(self) -> None:
        relay = event_relay.EventRelay()
        relay.feed(_event(1))
        before_bytes = relay.held_bytes
        relay.feed(b"data: " + b"x" * 9_000)
        assert relay.held_bytes >= before_bytes + 9_000

    @pytest.mark.parametrize("keeps_outputs", [True, False])
    def test_outputs_are_kept_only_to_be_stored(
        self, keeps_outputs: bool
    ) -> None:
        """Guards against an endless stream that is kept for nothing."""
        relay = event_relay.EventRelay(keeps_outputs=keeps_outputs)
        relay.feed(_event(1))
        last = relay.feed(_event(2) + _event(3))
        relay.mark_unsent(last)
        outcome = relay.outcome(complete=False)
        assert outcome.events == 1
        assert outcome.outputs == ((b"e1",) if keeps_outputs else ())
        assert (relay.held_bytes > 0) == keeps_outputs


class TestResumed:
    """A stream that is resumed at another endpoint."""

    def test_continues_after_the_last_complete_event(self) -> None:
        relay = event_relay.EventRelay()
        relay.feed(_event(1) + _event(2) + b"id: 3\ndata: half")
        assert relay.last_id == "2"
        relay.resume()
        assert relay.feed(_event(3)).data == _event(3)
        assert relay.outcome(complete=True).events == 3

    def test_event_id_of_thousands_of_digits(self) -> None:
        """Python refuses to convert numbers of more than 4,300 digits."""
        relay = event_relay.EventRelay()
        event = b"id: " + b"9" * 5_000 + b"\ndata: e1\n\n"
        relay.feed(event)
        relay.resume()
        assert relay.feed(event).data == event

    def test_events_before_an_unreadable_one_are_asked_for_again(self) -> None:
        """They came in one piece with it, so they were not sent."""
        relay = event_relay.EventRelay()
        relay.feed(_event(1))
        with pytest.raises(errors.BadMessageError):
            relay.feed(_event(2) + b"id: 3\ndata: \xff\n\n")
        assert relay.last_id == "1"
        assert relay.outcome(complete=False).outputs == (b"e1",)

    def test_repeated_events_are_sent_once(self) -> None:
        """The new endpoint ignores the resume position and starts over."""
        relay = event_relay.EventRelay()
        relay.feed(_event(1) + _event(2))
        relay.resume()
        again = relay.feed(_event(1) + _event(2) + _event(3))
        assert again.data == _event(3)
        assert relay.outcome(complete=True).outputs == (b"e1", b"e2", b"e3")
