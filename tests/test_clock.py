"""Tests of the manual clock."""

from quetzalmill import clock


class TestManualClock:
    """The clock that tests advance."""

    def test_advance_adds_milliseconds(self) -> None:
        manual = clock.ManualClock(5.0)
        manual.advance(2.5)
        assert manual.now_ms() == 7.5
