"""Property tests of the shares of cold endpoints over random orders of events.

Three gateways register, read, send all they may, are marked and start again;
writes are applied late or lose their response, and clocks differ in their rate.
One that is suspended, or cut off from the store, has no events for a while.

An order is a list of words, each an event and the number of a gateway, or the
milliseconds of a wait:

- ``g`` registers, ``m`` is marked; in capitals the write waits for an ``a``
- ``a`` applies the oldest waiting write; ``A`` also loses its response
- ``r`` reads; ``b`` begins a slow read, which ``e`` ends
- ``s`` sends as many requests as it may, ``x`` ends and starts again
- ``w`` time passes
"""

import collections
from typing import Any

import attrs
import hypothesis
from hypothesis import strategies
import pytest

from quetzalmill import cold_shares
from quetzalmill import member_table

_TOKENS = 5
_GATEWAYS = 3
_CLOCK_RATES = (1.0, 0.97, 1.03)
_MAX_EXAMPLES = 2_000
"""Orders of events; several seconds of processor time."""


@attrs.define(eq=False)
class _Gateway:
    number: int
    table: member_table.MemberTable
    windows: cold_shares.SendWindows = attrs.field(
        factory=cold_shares.SendWindows
    )
    slow: tuple[float, dict[str, member_table.Member]] | None = None

    def clock_ms(self, real_ms: float) -> float:
        return real_ms * _CLOCK_RATES[self.number]


class _World:
    """The topic and the gateways; ``sent_ms`` are sends in real time."""

    def __init__(self, same_marks: bool, **timing: float) -> None:
        self._timing = member_table.Timing(**timing)
        self._same_marks = same_marks
        self._gateways = [self._start(each) for each in range(_GATEWAYS)]
        self._topic: dict[str, member_table.Member] = {}
        self._late: collections.deque[
            tuple[_Gateway, str, member_table.Member]
        ] = collections.deque()
        self._ids = 0
        self._now_ms = 0.0
        self.sent_ms: list[float] = []

    def play(self, word: str) -> None:
        event, number = word[0], int(word[1:] or 0)
        if event == "w":
            self._now_ms += number
            return
        gateway = self._gateways[number]
        self._ids += 1
        match event:
            case "g" | "G":
                record = member_table.Registered(str(self._ids))
                self._late.append((gateway, str(number), record))
            case "m" | "M":
                mark_id = "" if self._same_marks else str(self._ids)
                mark = member_table.Marked(mark_id)
                self._late.append((gateway, str(number), mark))
            case "r" | "b":
                gateway.slow = self._now_ms, dict(self._topic)
            case "s":
                self._send(gateway)
            case "x":
                self._gateways[number] = self._start(number)
        if event in "gm":
            self._apply(*self._late.pop())
        elif event in "aA" and self._late:
            self._apply(*self._late.popleft(), answered=event == "a")
        elif event in "re" and gateway.slow is not None:
            began_ms, found = gateway.slow
            gateway.slow = None
            times = gateway.clock_ms(began_ms), gateway.clock_ms(self._now_ms)
            gateway.table.apply_read(found, *times)

    def _start(self, number: int) -> _Gateway:
        table = member_table.MemberTable(str(number), self._timing)
        return _Gateway(number, table)

    def _apply(
        self,
        writer: _Gateway,
        address: str,
        record: member_table.Member,
        answered: bool = True,
    ) -> None:
        self._topic[address] = record
        # A process that has ended learns nothing.
        learns = answered and writer is self._gateways[writer.number]
        if isinstance(record, member_table.Registered) and learns:
            writer.table.record_registration(
                record.registration_id, writer.clock_ms(self._now_ms)
            )

    def _send(self, gateway: _Gateway) -> None:
        now_ms = gateway.clock_ms(self._now_ms)
        if not gateway.table.may_send(now_ms):
            return
        view = gateway.table.view(now_ms)
        allowed = cold_shares.share(_TOKENS, str(gateway.number), view, "e1")
        while gateway.windows.wait_ms("e1", allowed, now_ms) == 0.0:
            gateway.windows.record("e1", now_ms)
            self.sent_ms.append(self._now_ms)


def _most(order: str, same_marks: bool = False, **timing: float) -> int:
    """Returns the most requests sent in any second."""
    world = _World(same_marks, **timing)
    for word in order.split():
        world.play(word)
    sent_ms = world.sent_ms
    return max(
        (sum(0 <= at - each < 1_000 for each in sent_ms) for at in sent_ms),
        default=0,
    )


_WAITS = ("w100", "w600", "w1100", "w1900", "w2300", "w3700")
_WORDS = [f"{event}{number}" for event in "gGmMrbesx" for number in range(3)]
_STEPS = strategies.one_of(
    strategies.sampled_from([*_WORDS, *_WAITS, "a", "A"]),
    # All that lets a gateway send, and sends around a mark.
    *[
        strategies.builds(
            pattern.format,
            strategies.integers(0, 2),
            strategies.integers(0, 2),
            strategies.integers(0, 2),
            strategies.sampled_from(_WAITS),
        )
        for pattern in (
            "g{0} r{0} {3} r{0} s{0}",
            "r{0} s{0} r{1} {3} s{1}",
            "r{0} s{0} m{1} r{2} {3} s{2}",
        )
    ],
)
_ORDERS = strategies.builds(
    lambda start, steps: " ".join([start, *steps]),
    strategies.sampled_from(["", "g0 g1 w3700 r0 r1", "g0 w3700 r0"]),
    strategies.lists(_STEPS, max_size=16),
)


class TestBound:
    """The gateways together never exceed the endpoint's rate."""

    @hypothesis.settings(max_examples=_MAX_EXAMPLES, deadline=None)
    @hypothesis.given(_ORDERS)
    def test_any_order(self, order: str) -> None:
        assert _most(order) <= _TOKENS

    def test_whole_rate_is_used(self) -> None:
        """Otherwise a protocol under which nobody sends would pass."""
        assert _most("g0 g1 w3700 r0 r1 s0 s1") == _TOKENS

    @pytest.mark.parametrize(
        ("order", "rule_off"),
        [
            ("g0 w3700 r0 s0 g1 r1 w100 s1", {"settle_ms": 0.0}),
            # The wait covers the window of the one that sent alone, too.
            (
                "g0 w3700 r0 g1 w1900 s0 w600 r1 s1",
                {"settle_ms": 2_200.0},
            ),
            ("g0 w3700 r0 g1 w3700 r1 s0 s1", {"read_valid_ms": 1e9}),
            (
                "g0 g1 w3700 r0 r1 s1 m1 r0 w100 s0",
                {"removal_ms": 0.0},
            ),
            # A mark that is written again must not pass for the first one.
            (
                "g0 g1 w3700 m1 r0 g1 w3700 r1 s1 m1 r0 s0",
                {"same_marks": True},
            ),
        ],
    )
    def test_each_rule_is_needed(
        self, order: str, rule_off: dict[str, Any]
    ) -> None:
        assert _most(order, **rule_off) > _TOKENS
        assert _most(order) <= _TOKENS

    @pytest.mark.parametrize("rule", ["settle_ms", "removal_ms"])
    def test_random_orders_find_a_missing_wait(self, rule: str) -> None:
        """A search that finds no fault with a rule off proves nothing."""
        rule_off: dict[str, Any] = {rule: 0.0}
        hypothesis.find(
            _ORDERS,
            lambda order: _most(order, **rule_off) > _TOKENS,
            settings=hypothesis.settings(
                max_examples=20_000,
                derandomize=True,
                database=None,
                phases=[hypothesis.Phase.generate],
            ),
        )
