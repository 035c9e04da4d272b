"""Tests of the word that an endpoint leaves, over orders of events.

One endpoint id starts again and again. Its entries are read late, twice or out
of order, lapse and come back; its answers and a peer's beats come in between,
and the gateway stands still at times.
"""

from typing import Any

import attrs
import hypothesis
from hypothesis import strategies

from quetzalmill import endpoint_leaving
from quetzalmill import endpoint_pool

_DRAIN_MS = 2_000.0

_EXAMPLES = 1_500
"""Orders that are played; some seconds of processor time for each test."""

_LONGEST_EXIT_MS = 15_000.0
"""How long a start may go on serving after it said that it leaves."""


@attrs.frozen
class _Wait:
    """Time passes; seconds of it are a freeze."""

    ms: int


@attrs.frozen
class _Leave:
    """The endpoint begins to leave; its entry may never say so."""

    entry_says: bool


@attrs.frozen
class _Restart:
    """The endpoint ends and starts again under its id."""

    clock_step_ms: int
    moves: bool


@attrs.frozen
class _Write:
    """The endpoint writes its entry."""

    says_start: bool


@attrs.frozen
class _Read:
    """The gateway reads an entry, the newest or an earlier one."""

    back: int
    whole_list: bool


@attrs.frozen
class _Lapse:
    """The gateway reads that the entry is gone."""

    store_was_away: bool


@attrs.frozen
class _Send:
    """The gateway sends a request, if it may."""


@attrs.frozen
class _Answer:
    """The oldest request is answered."""


@attrs.frozen
class _Beat:
    """A peer says that some starts leave, rightly or not."""

    starts_back: tuple[int, ...]


_Event = (
    _Wait
    | _Leave
    | _Restart
    | _Write
    | _Read
    | _Lapse
    | _Send
    | _Answer
    | _Beat
)


@attrs.define(eq=False)
class _Boot:
    """One start of the endpoint as it really is."""

    number: int
    start_unix_ms: int
    address: str
    left_ms: float | None = None
    entry_says: bool = False
    first_sign_ms: float | None = None


@attrs.frozen
class _Entry:
    boot: _Boot
    endpoint: endpoint_pool.Endpoint


class _World:
    """The endpoint, and a gateway's pool that hears of it."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self.pool = endpoint_pool.EndpointPool(_DRAIN_MS)
        self.boots = [_Boot(0, 1_000_000, "10.0.0.1:80")]
        self.entries: list[_Entry] = []
        self.sent: list[tuple[endpoint_pool.Condition, _Boot]] = []
        self.play(_Write(says_start=True))
        self.play(_Read(0, whole_list=True))

    @property
    def current(self) -> _Boot:
        return self.boots[-1]

    def play(self, event: _Event) -> None:
        match event:
            case _Wait(ms=ms):
                self.now_ms += ms
            case _Leave(entry_says=entry_says):
                if self.current.left_ms is None:
                    self.current.left_ms = self.now_ms
                    self.current.entry_says = entry_says
            case _Restart():
                self._restart(event)
            case _Write(says_start=says_start):
                self._write(says_start)
            case _Read(back=back, whole_list=whole_list):
                if back < len(self.entries):
                    self.read(self.entries[-1 - back], whole_list=whole_list)
            case _Lapse(store_was_away=store_was_away):
                self.pool.remove(
                    "e1", self.now_ms, store_was_away=store_was_away
                )
            case _Send():
                self._send()
            case _Answer():
                self._answer()
            case _Beat(starts_back=starts_back):
                told = [
                    ("front-2", self.boots[-1 - back].start_unix_ms)
                    for back in starts_back
                    if back < len(self.boots)
                ]
                self.pool.hear_leaving({"e1": told}, self.now_ms)

    def is_running(self) -> bool:
        """Returns whether the newest start has not ended yet."""
        left_ms = self.current.left_ms
        return left_ms is None or self.now_ms - left_ms <= _LONGEST_EXIT_MS

    def late_targets(self) -> list[_Boot]:
        """Returns whom a request would reach that is not to get any."""
        boot = self.current
        return [
            boot
            for known in self.pool.usable("app", self.now_ms)
            if known.endpoint.address == boot.address
            and self.is_running()
            and boot.first_sign_ms is not None
            and self.now_ms - boot.first_sign_ms > _DRAIN_MS
        ]

    def read(self, entry: _Entry, *, whole_list: bool = False) -> None:
        if any(
            each.start_unix_ms < entry.boot.start_unix_ms
            for each in self.boots[entry.boot.number + 1 :]
        ):
            # After a clock was set back, an entry read late looks like a newer
            # start; see docs/design/leaving.md.
            return
        if entry.endpoint.leaving:
            self._sign(entry.boot)
        if whole_list:
            self.pool.replace_all(
                [entry.endpoint], self.now_ms, store_was_away=False
            )
        else:
            self.pool.update(entry.endpoint, self.now_ms)

    def _restart(self, event: _Restart) -> None:
        last = self.current
        self.boots.append(
            _Boot(
                last.number + 1,
                last.start_unix_ms + event.clock_step_ms,
                f"10.0.0.{last.number + 2}:80" if event.moves else last.address,
            )
        )

    def _write(self, says_start: bool) -> None:
        boot = self.current
        endpoint = endpoint_pool.Endpoint(
            endpoint_id="e1",
            service="app",
            address=boot.address,
            failure_domain="a",
            slots=4,
            leaving=boot.left_ms is not None and boot.entry_says,
            started_unix_ms=boot.start_unix_ms if says_start else 0,
            cold_ms=0.0,
        )
        if self.is_running():
            self.entries.append(_Entry(boot, endpoint))

    def _send(self) -> None:
        for known in self.pool.usable("app", self.now_ms):
            endpoint, boot = known.endpoint, self.current
            if (
                self.is_running()
                and endpoint.address == boot.address
                # Or it would be a start that the gateway has not heard of.
                and endpoint.started_unix_ms in (0, boot.start_unix_ms)
                and self.pool.may_send(known, self.now_ms)
            ):
                self.sent.append((known, boot))

    def _answer(self) -> None:
        if not self.sent:
            return
        known, boot = self.sent.pop(0)
        if boot.left_ms is not None:
            self._sign(boot)
            self.pool.note_leaving(known, "r1", self.now_ms)

    def _sign(self, boot: _Boot) -> None:
        if boot.first_sign_ms is None:
            boot.first_sign_ms = self.now_ms


_ALWAYS: tuple[_Event, ...] = (
    _Wait(1),
    _Wait(700),
    _Wait(2_100),
    _Send(),
    _Answer(),
    _Leave(entry_says=False),
    _Leave(entry_says=True),
    _Read(0, whole_list=False),
    _Read(0, whole_list=True),
    _Read(1, whole_list=False),
)

_AT_TIMES: tuple[tuple[_Event, ...], ...] = (
    (_Write(says_start=True), _Write(says_start=False)),
    (_Lapse(store_was_away=True), _Lapse(store_was_away=False)),
    (
        _Restart(clock_step_ms=1, moves=False),
        _Restart(clock_step_ms=60_000, moves=False),
        _Restart(clock_step_ms=700, moves=True),
        _Write(says_start=True),
    ),
    (_Restart(clock_step_ms=-400, moves=False), _Write(says_start=True)),
    (_Beat((0,)), _Beat((1,)), _Beat(())),
    (_Wait(5_000), _Wait(21_000)),
)


@strategies.composite
def _histories(draw: strategies.DrawFn) -> list[_Event]:
    """Draws events of few kinds, so that they meet more often."""
    chosen = draw(strategies.sets(strategies.sampled_from(_AT_TIMES)))
    kinds = [*_ALWAYS, *(event for group in chosen for event in group)]
    return draw(
        strategies.lists(
            strategies.sampled_from(kinds), min_size=12, max_size=40
        )
    )


def _bounded(test: Any) -> Any:
    return hypothesis.settings(
        derandomize=True, deadline=None, max_examples=_EXAMPLES
    )(hypothesis.given(events=_histories())(test))


class TestOrders:
    """What holds in whatever order the news come."""

    @_bounded
    def test_no_request_later_than_the_promised_time_after_a_sign(
        self, events: list[_Event]
    ) -> None:
        world = _World()
        for event in events:
            world.play(event)
            assert not world.late_targets(), event

    @_bounded
    def test_no_sound_endpoint_stays_without_requests(
        self, events: list[_Event]
    ) -> None:
        world = _World()
        for event in events:
            world.play(event)
        if world.current.left_ms is not None:
            world.play(_Restart(700, moves=False))
        for wait_ms in (0, endpoint_leaving.LEFT_MS + 1):
            world.play(_Wait(int(wait_ms)))
            world.play(_Write(says_start=True))
            world.read(world.entries[-1])
        usable = world.pool.usable("app", world.now_ms)
        assert [each.endpoint.address for each in usable] == [
            world.current.address
        ]
