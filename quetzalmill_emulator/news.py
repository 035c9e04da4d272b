"""What the engine emulator tells about itself, late and with gaps."""

from collections import deque
import random
from typing import Any

import attrs

from quetzalmill import clock

_MAX_KEPT = 10_000


@attrs.frozen
class _Event:
    seq: int
    visible_ms: float
    fields: dict[str, Any]


class CacheEvents:
    """Cache events; each is seen late, and some are never seen.

    Args:
        lag_ms: How late an event is seen.
        loss: The share of events that are never seen.
        seed: Decides which ones.
        system_clock: Tells the time.
    """

    def __init__(
        self, lag_ms: float, loss: float, seed: int, system_clock: clock.Clock
    ) -> None:
        self._lag_ms = lag_ms
        self._loss = loss
        self._random = random.Random(seed)
        self._clock = system_clock
        self._last_seq = 0
        self._events: deque[_Event] = deque(maxlen=_MAX_KEPT)

    def add(self, name: str, session: str, tokens: int) -> None:
        """Records an event."""
        self._last_seq += 1
        if self._random.random() < self._loss:
            return
        visible_ms = self._clock.now_ms() + self._lag_ms
        fields = {"event": name, "session": session, "tokens": tokens}
        self._events.append(_Event(self._last_seq, visible_ms, fields))

    def after(self, seq: int) -> list[dict[str, Any]]:
        """Returns the events after ``seq`` that are seen by now."""
        now_ms = self._clock.now_ms()
        return [
            {"seq": event.seq, **event.fields}
            for event in self._events
            if event.seq > seq and event.visible_ms <= now_ms
        ]


class LaggingLoad:
    """The load as it was some time ago."""

    def __init__(self, lag_ms: float, system_clock: clock.Clock) -> None:
        self._lag_ms = lag_ms
        self._clock = system_clock
        self._past: deque[tuple[float, dict[str, int]]] = deque(
            [(0.0, {"running": 0, "waiting": 0, "cached_tokens": 0})],
            maxlen=_MAX_KEPT,
        )

    def record(self, running: int, waiting: int, cached_tokens: int) -> None:
        """Records the load of this moment."""
        load = {
            "running": running,
            "waiting": waiting,
            "cached_tokens": cached_tokens,
        }
        if load != self._past[-1][1]:
            self._past.append((self._clock.now_ms(), load))
        self._forget()

    def seen(self) -> dict[str, int]:
        """Returns the load that is reported now."""
        self._forget()
        return self._past[0][1]

    def _forget(self) -> None:
        seen_ms = self._clock.now_ms() - self._lag_ms
        while len(self._past) > 1 and self._past[1][0] <= seen_ms:
            self._past.popleft()
