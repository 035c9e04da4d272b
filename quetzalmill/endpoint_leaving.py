"""Which starts of endpoints have said that they leave.

An endpoint says so in its entry or in an answer, whichever comes first, and
news overtake each other: an entry may be read late, read again, or lapse with
the store and come back. So the word holds for the start that gave it, whatever
is heard of that start later. Only another start of the same id gets requests.
"""

import enum
from typing import Protocol

import attrs

LEFT_MS = 20_000.0
"""How long after the last sign of its leaving a start may still run. Endpoints
exit some seconds after the time for which they promised to serve; what cannot
be told from such a start afterwards is another one."""

LAST_RESORT_PART = 0.5
"""The part of the promised time in which an endpoint that leaves may still be
used if no other is left. The rest is for the time that its word took to come
here, and that a request takes to get there."""

MOST_MARKS = 4_096
"""Starts that are remembered as leaving, the newest ones; many times what the
largest sites run at once."""

MOST_TOLD = 64
"""Starts that one beat tells of, the newest ones; at some twenty bytes each
they take a small part of a datagram."""


class Source(enum.StrEnum):
    """What said first that an endpoint leaves."""

    ANSWER = "answer"
    ENTRY = "entry"
    PEER = "peer"


@attrs.frozen(kw_only=True)
class Boot:
    """What tells one start of an endpoint from another.

    Attributes:
        endpoint_id: The endpoint's id.
        service: The service that it belongs to.
        address: IP address and port.
        started_unix_ms: When it started; 0 if it does not say.
    """

    endpoint_id: str
    service: str
    address: str
    started_unix_ms: int

    def may_be(self, other: "Boot") -> bool:
        """Returns whether nothing shows that another start is not this one."""
        starts = {self.started_unix_ms, other.started_unix_ms}
        return (
            self.endpoint_id == other.endpoint_id
            and self.service == other.service
            and self.address == other.address
            and (len(starts) == 1 or 0 in starts)
        )


@attrs.define(kw_only=True, eq=False)
class Mark:
    """A start that has said that it leaves.

    Attributes:
        boot: The start.
        source: What said so first.
        by: Who passed it on: the request that was answered, or the store.
        first_ms: When it was heard first.
        last_ms: When it was heard last.
        last_sent_ms: When a request went there since; None if none did.
        has_left: Whether its entry was gone, or another start in its place.
    """

    boot: Boot
    source: Source
    by: str
    first_ms: float
    last_ms: float
    last_sent_ms: float | None = None
    has_left: bool = False


@attrs.frozen
class Staying:
    """Nothing says that the start leaves."""


@attrs.frozen
class Leaving:
    """The start has said that it leaves."""

    mark: Mark


@attrs.frozen
class Outdated:
    """The start came before one that has said that it leaves."""


Verdict = Staying | Leaving | Outdated


def tells_of(told_unix_ms: int, started_unix_ms: int) -> bool:
    """Returns whether a peer's word may be of a start.

    Args:
        told_unix_ms: The start that it tells of; a later one than is known
            here means that the one known here has ended.
        started_unix_ms: The start that is known here.
    """
    return not 0 < told_unix_ms < started_unix_ms


class Observer(Protocol):
    """Is told of endpoints that leave."""

    def said_leaving(self, mark: Mark) -> None:
        """Takes over the first sign of a start's leaving."""

    def peer_said_leaving(self, boot: Boot, host: str) -> None:
        """Takes over the first word of a peer that a start leaves."""

    def has_left(self, mark: Mark) -> None:
        """Takes over that a start that left gets no request any more."""


class Marks:
    """The starts that have said that they leave."""

    def __init__(self) -> None:
        self._by_id: dict[str, list[Mark]] = {}
        self._in_order: dict[Mark, None] = {}

    def __len__(self) -> int:
        """Returns how many starts are remembered."""
        return len(self._in_order)

    def told(self, now_ms: float) -> dict[str, int]:
        """Returns the start times of those that leave now, by endpoint.

        Those that have surely ended are left out, so that nothing is told of
        them for ever.
        """
        told: dict[str, int] = {}
        for mark in reversed(self._in_order):
            if now_ms - mark.last_ms <= LEFT_MS:
                told.setdefault(
                    mark.boot.endpoint_id, mark.boot.started_unix_ms
                )
            if len(told) == MOST_TOLD:
                break
        return told

    def judge(self, boot: Boot, now_ms: float) -> Verdict:
        """Returns what is known of a start."""
        mark = self._find(boot, now_ms)
        if mark is not None:
            return Leaving(mark)
        if any(
            0 < boot.started_unix_ms < each.boot.started_unix_ms
            and now_ms - each.last_ms <= LEFT_MS
            for each in self._by_id.get(boot.endpoint_id, ())
        ):
            # Later it is a new start after all, by a clock that was set back.
            return Outdated()
        return Staying()

    def note(
        self, boot: Boot, source: Source, by: str, now_ms: float
    ) -> tuple[Mark, bool]:
        """Records a sign; returns the mark and whether it is the first."""
        known = self._find(boot, now_ms)
        if known is not None:
            known.last_ms = now_ms
            if known.boot == boot:
                return known, False
        # One of both names no start, so they need not be of the same one.
        mark = Mark(
            boot=boot,
            source=source,
            by=by,
            first_ms=now_ms if known is None else known.first_ms,
            last_ms=now_ms,
        )
        self._by_id.setdefault(boot.endpoint_id, []).append(mark)
        self._in_order[mark] = None
        if len(self._in_order) > MOST_MARKS:
            self._forget(next(iter(self._in_order)))
        return mark, known is None

    def _find(self, boot: Boot, now_ms: float) -> Mark | None:
        """Returns the mark of a start, or else one that may be of it."""
        found = None
        for mark in self._by_id.get(boot.endpoint_id, ()):
            is_same = mark.boot == boot
            if is_same and boot.started_unix_ms > 0:
                return mark
            if now_ms - mark.last_ms <= LEFT_MS and (
                is_same or (found is None and mark.boot.may_be(boot))
            ):
                found = mark
        return found

    def _forget(self, mark: Mark) -> None:
        del self._in_order[mark]
        marks = self._by_id[mark.boot.endpoint_id]
        marks.remove(mark)
        if not marks:
            del self._by_id[mark.boot.endpoint_id]


def is_last_resort(mark: Mark, now_ms: float, drain_ms: float) -> bool:
    """Returns whether a start that leaves may be used if no other is left.

    Args:
        mark: What it said.
        now_ms: The current time.
        drain_ms: How long endpoints serve after their word.
    """
    return now_ms - mark.first_ms < LAST_RESORT_PART * drain_ms
