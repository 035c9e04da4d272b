"""A clock based on trio's, for tests that use a mock clock."""

import trio


class TrioClock:
    """Reads trio's clock, which tests may advance or let jump ahead."""

    def now_ms(self) -> float:
        """Returns trio's time in milliseconds."""
        return trio.current_time() * 1000.0

    def unix_ms(self) -> int:
        """Returns a constant wall-clock time."""
        return 1
