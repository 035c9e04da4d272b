"""The cache events and the load that an engine reports, late and with gaps."""

from collections import deque
import random
from typing import Any

import attrs

from quetzalmill import clock

_MAX_HISTORY = 10_000


@attrs.frozen
class _Event:
    seq: int
    visible_ms: float
    fields: dict[str, Any]


class CacheEvents:
    """The cache events of an engine, visible after a lag; some are lost.

    Args:
        lag_ms: The delay until an event is visible.
        loss: The fraction of events that are lost.
        seed: The seed that selects the lost events.
        system_clock: The clock that is read.
    """

    def __init__(
        self, lag_ms: float, loss: float, seed: int, system_clock: clock.Clock
    ) -> None:
        self._lag_ms = lag_ms
        self._loss = loss
        self._random = random.Random(seed)
        self._clock = system_clock
        self._last_seq = 0
        self._events: deque[_Event] = deque(maxlen=_MAX_HISTORY)

    def add(self, name: str, session: str, tokens: int) -> None:
        """Records an event."""
        self._last_seq += 1
        if self._random.random() < self._loss:
            return
        visible_ms = self._clock.now_ms() + self._lag_ms
        fields = {"event": name, "session": session, "tokens": tokens}
        self._events.append(_Event(self._last_seq, visible_ms, fields))

    def after(self, seq: int) -> list[dict[str, Any]]:
        """Returns the events after ``seq`` that are visible now."""
        now_ms = self._clock.now_ms()
        return [
            {"seq": event.seq, **event.fields}
            for event in self._events
            if event.seq > seq and event.visible_ms <= now_ms
        ]


class LaggingLoad:
    """The load of an engine, reported with a lag."""

    def __init__(self, lag_ms: float, system_clock: clock.Clock) -> None:
        self._lag_ms = lag_ms
        self._clock = system_clock
        self._history: deque[tuple[float, dict[str, int]]] = deque(
            [(0.0, {"running": 0, "waiting": 0, "cached_tokens": 0})],
            maxlen=_MAX_HISTORY,
        )

    def record(self, running: int, waiting: int, cached_tokens: int) -> None:
        """Records the current load."""
        load = {
            "running": running,
            "waiting": waiting,
            "cached_tokens": cached_tokens,
        }
        if load != self._history[-1][1]:
            self._history.append((self._clock.now_ms(), load))
        self._drop_old()

    def seen(self) -> dict[str, int]:
        """Returns the load that is reported now."""
        self._drop_old()
        return self._history[0][1]

    def _drop_old(self) -> None:
        seen_ms = self._clock.now_ms() - self._lag_ms
        while len(self._history) > 1 and self._history[1][0] <= seen_ms:
            self._history.popleft()
