"""Property tests of drain notices over random sequences of events.

One endpoint restarts repeatedly under its id. Its registry entries are read
late, twice or out of order, lapse and reappear. Its responses and a peer's
heartbeats arrive in between, and the gateway freezes at times.
"""

from typing import Any

import attrs
import hypothesis
from hypothesis import strategies

from quetzalmill import endpoint_leaving
from quetzalmill import endpoint_pool
from quetzalmill import endpoint_record

_DRAIN_MS = 2_000.0

_MAX_EXAMPLES = 1_500
"""Sequences of events for each test; a few seconds of processor time."""

_LONGEST_EXIT_MS = 15_000.0
"""How long an instance may keep serving after it started to drain."""


@attrs.frozen
class _Wait:
    """Time passes; several seconds are a freeze of the gateway."""

    ms: int


@attrs.frozen
class _Drain:
    """The endpoint starts to drain; its entry may never announce it."""

    in_entry: bool


@attrs.frozen
class _Restart:
    """The endpoint stops and restarts under its id."""

    clock_step_ms: int
    moves: bool


@attrs.frozen
class _Write:
    """The endpoint writes its entry."""

    with_start: bool


@attrs.frozen
class _Read:
    """The gateway reads an entry, the newest or an earlier one."""

    back: int
    whole_list: bool


@attrs.frozen
class _Lapse:
    """The gateway reads that the entry has been removed."""

    store_was_unavailable: bool


@attrs.frozen
class _Send:
    """The gateway sends a request if it may."""


@attrs.frozen
class _Answer:
    """The oldest request gets its response."""


@attrs.frozen
class _Heartbeat:
    """A peer reports, correctly or not, that some instances are draining."""

    starts_back: tuple[int, ...]


_Event = (
    _Wait
    | _Drain
    | _Restart
    | _Write
    | _Read
    | _Lapse
    | _Send
    | _Answer
    | _Heartbeat
)


@attrs.define(eq=False)
class _Instance:
    """The actual state of one instance of the endpoint."""

    number: int
    start_unix_ms: int
    address: str
    drain_started_ms: float | None = None
    in_entry: bool = False
    first_notice_ms: float | None = None


@attrs.frozen
class _Entry:
    instance: _Instance
    endpoint: endpoint_record.Endpoint


class _World:
    """The endpoint, and the pool of a gateway that receives its updates."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self.pool = endpoint_pool.EndpointPool(_DRAIN_MS)
        self.instances = [_Instance(0, 1_000_000, "10.0.0.1:80")]
        self.entries: list[_Entry] = []
        self.sent: list[tuple[endpoint_record.EndpointState, _Instance]] = []
        self.play(_Write(with_start=True))
        self.play(_Read(0, whole_list=True))

    @property
    def current(self) -> _Instance:
        return self.instances[-1]

    def play(self, event: _Event) -> None:
        match event:
            case _Wait(ms=ms):
                self.now_ms += ms
            case _Drain(in_entry=in_entry):
                if self.current.drain_started_ms is None:
                    self.current.drain_started_ms = self.now_ms
                    self.current.in_entry = in_entry
            case _Restart():
                self._restart(event)
            case _Write(with_start=with_start):
                self._write(with_start)
            case _Read(back=back, whole_list=whole_list):
                if back < len(self.entries):
                    self.read(self.entries[-1 - back], whole_list=whole_list)
            case _Lapse(store_was_unavailable=store_was_unavailable):
                self.pool.remove(
                    "e1",
                    self.now_ms,
                    store_was_unavailable=store_was_unavailable,
                )
            case _Send():
                self._send()
            case _Answer():
                self._answer()
            case _Heartbeat(starts_back=starts_back):
                reported = [
                    ("front-2", self.instances[-1 - back].start_unix_ms)
                    for back in starts_back
                    if back < len(self.instances)
                ]
                self.pool.apply_peer_drain_notices(
                    {"e1": reported}, self.now_ms
                )

    def is_running(self) -> bool:
        """Returns whether the newest instance may still run."""
        drain_started_ms = self.current.drain_started_ms
        return (
            drain_started_ms is None
            or self.now_ms - drain_started_ms <= _LONGEST_EXIT_MS
        )

    def late_targets(self) -> list[_Instance]:
        """Returns the instances that a request might reach but must not."""
        instance = self.current
        return [
            instance
            for known in self.pool.usable("app", self.now_ms)
            if known.endpoint.address == instance.address
            and self.is_running()
            and instance.first_notice_ms is not None
            and self.now_ms - instance.first_notice_ms > _DRAIN_MS
        ]

    def read(self, entry: _Entry, *, whole_list: bool = False) -> None:
        if any(
            each.start_unix_ms < entry.instance.start_unix_ms
            for each in self.instances[entry.instance.number + 1 :]
        ):
            # After a clock was set back, an entry read late looks like a newer
            # instance; see docs/design/leaving.md.
            return
        if entry.endpoint.leaving:
            self._receive_notice(entry.instance)
        if whole_list:
            self.pool.replace_all(
                [entry.endpoint], self.now_ms, store_was_unavailable=False
            )
        else:
            self.pool.update(entry.endpoint, self.now_ms)

    def _restart(self, event: _Restart) -> None:
        last = self.current
        self.instances.append(
            _Instance(
                last.number + 1,
                last.start_unix_ms + event.clock_step_ms,
                f"10.0.0.{last.number + 2}:80" if event.moves else last.address,
            )
        )

    def _write(self, with_start: bool) -> None:
        instance = self.current
        endpoint = endpoint_record.Endpoint(
            endpoint_id="e1",
            service="app",
            address=instance.address,
            failure_domain="a",
            slots=4,
            leaving=instance.drain_started_ms is not None and instance.in_entry,
            started_unix_ms=instance.start_unix_ms if with_start else 0,
            cold_ms=0.0,
        )
        if self.is_running():
            self.entries.append(_Entry(instance, endpoint))

    def _send(self) -> None:
        for known in self.pool.usable("app", self.now_ms):
            endpoint, instance = known.endpoint, self.current
            if (
                self.is_running()
                and endpoint.address == instance.address
                # Otherwise it would be an instance unknown to the gateway.
                and endpoint.started_unix_ms in (0, instance.start_unix_ms)
                and self.pool.may_send(known, self.now_ms)
            ):
                self.sent.append((known, instance))

    def _answer(self) -> None:
        if not self.sent:
            return
        known, instance = self.sent.pop(0)
        if instance.drain_started_ms is not None:
            self._receive_notice(instance)
            self.pool.record_drain_notice(known, "r1", self.now_ms)

    def _receive_notice(self, instance: _Instance) -> None:
        if instance.first_notice_ms is None:
            instance.first_notice_ms = self.now_ms


_ALWAYS: tuple[_Event, ...] = (
    _Wait(1),
    _Wait(700),
    _Wait(2_100),
    _Send(),
    _Answer(),
    _Drain(in_entry=False),
    _Drain(in_entry=True),
    _Read(0, whole_list=False),
    _Read(0, whole_list=True),
    _Read(1, whole_list=False),
)

_SOMETIMES: tuple[tuple[_Event, ...], ...] = (
    (_Write(with_start=True), _Write(with_start=False)),
    (_Lapse(store_was_unavailable=True), _Lapse(store_was_unavailable=False)),
    (
        _Restart(clock_step_ms=1, moves=False),
        _Restart(clock_step_ms=60_000, moves=False),
        _Restart(clock_step_ms=700, moves=True),
        _Write(with_start=True),
    ),
    (_Restart(clock_step_ms=-400, moves=False), _Write(with_start=True)),
    (_Heartbeat((0,)), _Heartbeat((1,)), _Heartbeat(())),
    (_Wait(5_000), _Wait(21_000)),
)


@strategies.composite
def _histories(draw: strategies.DrawFn) -> list[_Event]:
    """Draws events of few kinds, so that they coincide more often."""
    chosen = draw(strategies.sets(strategies.sampled_from(_SOMETIMES)))
    kinds = [*_ALWAYS, *(event for group in chosen for event in group)]
    return draw(
        strategies.lists(
            strategies.sampled_from(kinds), min_size=12, max_size=40
        )
    )


def _bounded(test: Any) -> Any:
    return hypothesis.settings(
        derandomize=True, deadline=None, max_examples=_MAX_EXAMPLES
    )(hypothesis.given(events=_histories())(test))


class TestOrders:
    """What holds for updates in any order."""

    @_bounded
    def test_no_request_is_sent_after_the_drain_time(
        self, events: list[_Event]
    ) -> None:
        world = _World()
        for event in events:
            world.play(event)
            assert not world.late_targets(), event

    @_bounded
    def test_healthy_endpoint_becomes_usable_again(
        self, events: list[_Event]
    ) -> None:
        world = _World()
        for event in events:
            world.play(event)
        if world.current.drain_started_ms is not None:
            world.play(_Restart(700, moves=False))
        for wait_ms in (0, endpoint_leaving.MAX_EXIT_MS + 1):
            world.play(_Wait(int(wait_ms)))
            world.play(_Write(with_start=True))
            world.read(world.entries[-1])
        usable = world.pool.usable("app", world.now_ms)
        assert [each.endpoint.address for each in usable] == [
            world.current.address
        ]
