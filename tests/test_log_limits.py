"""Tests of the limits on logging."""

import contextlib
import os
import sys
import threading

import pytest
import structlog

from quetzalmill import log_limits
from quetzalmill import logs


class TestVolumeLimit:
    """Events that exceed their rate."""

    def test_burst_of_one_event_is_limited_and_others_pass(self) -> None:
        limit = log_limits.EventRateLimit()
        passed = 0
        for _ in range(10_000):
            try:
                limit(None, "info", {"event": "request"})
            except structlog.DropEvent:
                continue
            passed += 1
        assert passed < 2 * log_limits.BURST_LINES
        assert limit(None, "info", {"event": "other"}) == {"event": "other"}

    def test_next_line_has_the_number_of_dropped_lines(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        now_s = [0.0]
        monkeypatch.setattr(
            "quetzalmill.log_limits.time.monotonic", lambda: now_s[0]
        )
        limit = log_limits.EventRateLimit()
        for _ in range(int(log_limits.BURST_LINES)):
            limit(None, "info", {"event": "request"})
        for _ in range(3):
            with pytest.raises(structlog.DropEvent):
                limit(None, "info", {"event": "request"})
        now_s[0] = 1.0
        assert limit(None, "info", {"event": "request"})["left_out"] == 3


class TestLongValues:
    """Values of other writers, such as in the reason why one is unreadable."""

    def test_long_value_is_cut_but_not_a_traceback(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        logs.configure(stream=sys.stdout)
        try:
            raise ValueError("y" * 5_000)
        except ValueError:
            logs.get("x").exception("failed", reason="x" * 200_000)
        line = capsys.readouterr().out
        assert line.count("x") < 2 * logs.MAX_VALUE_CHARS
        assert line.count("y") > 5_000


class TestUnblockedStream:
    """A pipe whose reader does not read."""

    def test_full_pipe_does_not_block(self) -> None:
        reader, writer = os.pipe()
        with os.fdopen(reader, "rb"), os.fdopen(writer, "w") as stream:
            unblocked = log_limits.NonBlockingStream(stream)
            for _ in range(2_000):
                unblocked.write("x" * 200 + "\n")
                unblocked.flush()
            assert unblocked.dropped_lines > 0
            os.read(reader, 1_000_000)
            stream.flush()

    @pytest.mark.parametrize("char", ["x", "\U0001f512"])
    def test_line_longer_than_a_pipe_accepts_does_not_block(
        self, char: str
    ) -> None:
        """A gateway that logs one would serve nothing until it is read."""
        reader, writer = os.pipe()
        with os.fdopen(reader, "rb"), os.fdopen(writer, "w") as stream:
            unblocked = log_limits.NonBlockingStream(stream)

            def write() -> None:
                unblocked.write(char * 200_000)
                unblocked.flush()

            thread = threading.Thread(target=write, daemon=True)
            thread.start()
            thread.join(5.0)
            is_blocked = thread.is_alive()
            while thread.is_alive():
                os.read(reader, 1_000_000)
            assert not is_blocked
            assert unblocked.dropped_lines == 1

    def test_closed_pipe_does_not_end_the_process(self) -> None:
        """A log line is no reason to end a task that logs one."""
        reader, writer = os.pipe()
        stream = os.fdopen(writer, "w")
        unblocked = log_limits.NonBlockingStream(stream)
        os.close(reader)
        unblocked.write("x\n")
        unblocked.flush()
        assert unblocked.dropped_lines == 1
        with contextlib.suppress(BrokenPipeError):
            stream.close()
