"""How well an endpoint has answered lately, as gateways saw it.

The load pattern: an endpoint fails, refuses or delays a part of its requests
while its own report and its other answers are good. Failures in a row do not
show that, so failures and answers are counted over the last seconds, and
gateways tell each other what they counted. All counts fade, so an endpoint that
has recovered gets work again.
"""

import math

import attrs

MEMORY_MS = 4_000.0
"""The time in which counts fade to a third; several of the pauses in which one
gateway sends to one endpoint again."""

USUAL_ANSWERS = 8.0
"""Good answers that are taken for granted, so that a single failure among few
answers does not keep an endpoint from work."""

FAILURE_COST_MS = 1_000.0
"""What a failure costs a program: about the time until its turn is sent again
and has come as far as before."""

REFUSAL_WEIGHT = 0.5
"""What a refusal that truly did not run counts of a failure; another endpoint
can still take the request."""

OVERDUE_MS = 1_000.0
"""How long an endpoint may take for the first byte of an answer before that
counts against it; several times the usual time under load."""

USUAL_TIMES = 4.0
"""Times as usual that are taken for granted, for the same reason."""

_MOST_SLOWNESS = 12.0
_USUAL_NEWS_WEIGHT = 0.02


@attrs.frozen
class Trouble:
    """Failures and answers of late, as one gateway counts them."""

    failures: float
    answers: float


@attrs.define(kw_only=True)
class Health:
    """What one gateway has seen of an endpoint lately.

    Attributes:
        failures: Failures, fading.
        answers: Answers, fading.
        times: How many times of answers were compared, fading.
        time_ratios: Those times relative to the usual ones, fading.
        counted_ms: When the counts were last brought up to date.
        awaited_ms: When the requests were sent whose answer has not begun.
    """

    failures: float = 0.0
    answers: float = 0.0
    times: float = 0.0
    time_ratios: float = 0.0
    counted_ms: float = 0.0
    awaited_ms: list[float] = attrs.field(factory=list)

    def note_answer(self, now_ms: float) -> None:
        """Counts a good answer."""
        self._fade(now_ms)
        self.answers += 1.0

    def note_failure(self, now_ms: float, weight: float = 1.0) -> None:
        """Counts a failure."""
        self._fade(now_ms)
        self.failures += weight

    def note_time(self, ratio: float, now_ms: float) -> None:
        """Counts how long an answer took, relative to the usual time."""
        self._fade(now_ms)
        self.times += 1.0
        self.time_ratios += min(ratio, _MOST_SLOWNESS)

    def trouble(self, now_ms: float) -> Trouble:
        """Returns the counts of now; requests overdue count as failures."""
        self._fade(now_ms)
        overdue = sum(
            now_ms - sent_ms > OVERDUE_MS for sent_ms in self.awaited_ms
        )
        return Trouble(self.failures + overdue, self.answers)

    def slowness(self, now_ms: float) -> float:
        """Returns how many times as long as usual it takes; 1 if unknown."""
        self._fade(now_ms)
        return (USUAL_TIMES + self.time_ratios) / (USUAL_TIMES + self.times)

    def _fade(self, now_ms: float) -> None:
        elapsed_ms = max(0.0, now_ms - self.counted_ms)
        left = math.exp(-elapsed_ms / MEMORY_MS)
        self.counted_ms = now_ms
        self.failures *= left
        self.answers *= left
        self.times *= left
        self.time_ratios *= left


class UsualTimes:
    """How long answers take by route, over all endpoints."""

    def __init__(self) -> None:
        self._usual_ms: dict[str, float] = {}

    def note(self, route: str, took_ms: float) -> float:
        """Takes in a time; returns its ratio to the usual one before."""
        usual_ms = self._usual_ms.get(route, took_ms)
        self._usual_ms[route] = usual_ms + _USUAL_NEWS_WEIGHT * (
            took_ms - usual_ms
        )
        return took_ms / usual_ms if usual_ms > 0.0 else 1.0

    def usual_ms(self, route: str) -> float:
        """Returns the usual time of a route; 0 if none was seen."""
        return self._usual_ms.get(route, 0.0)


def cost_ms(seen: list[Trouble]) -> float:
    """Returns what the likely failure of a request costs.

    Args:
        seen: What this gateway and its peers count.
    """
    failures = sum(each.failures for each in seen)
    answers = sum(each.answers for each in seen)
    part = failures / (USUAL_ANSWERS + failures + answers)
    return FAILURE_COST_MS * part
