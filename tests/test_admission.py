"""Admission at one entry, with simulated peers."""

from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import pytest
import trio
import trio.testing

from quetzalmill import admission
from quetzalmill import configuration
from quetzalmill import control_method
from quetzalmill import errors
from quetzalmill import messages
from quetzalmill import objects
from quetzalmill import rate_limit
from quetzalmill import shares
from quetzalmill import team_rates
from tests import trio_clock

TEAM = "keepers"
RATE_PER_S = 10.0
BURST = 20.0
HOLDERS = {"h0": "i0", "h1": "i1", "h2": "i2"}
LEASE_MS = 1e9


@attrs.define
class Peers:
    """The other holders, each with its own bucket and answer delay.

    Attributes:
        delay_ms: How long each takes to answer; None for never.
        asked: The requests wanted in each question, by peer.
    """

    delay_ms: dict[str, float | None]
    asked: dict[str, list[int]] = attrs.field(factory=dict)
    _buckets: dict[str, rate_limit.Bucket] = attrs.field(factory=dict)

    async def call(
        self,
        address: str,
        method: control_method.Method,
        message: messages.AdmitRequest,
        *,
        timeout_ms: float,
    ) -> messages.AdmitReply:
        """Answers as an entry with a third of the rate does."""
        assert method is messages.ADMIT
        self.asked.setdefault(address, []).append(message.wanted)
        delay_ms = self.delay_ms[address]
        if delay_ms is None:
            await trio.sleep(timeout_ms / 1000.0)
            raise errors.ControlCallError("no answer")
        await trio.sleep(delay_ms / 1000.0)
        bucket = self._buckets.setdefault(
            address,
            rate_limit.Bucket(
                rate_per_s=RATE_PER_S,
                burst=BURST,
                fraction=1 / 3,
                tokens=BURST / 3,
                filled_ms=0.0,
            ),
        )
        now_ms = trio_clock.TrioClock().now_ms()
        return messages.AdmitReply(
            granted=bucket.take(message.wanted, now_ms),
            retry_after_ms=bucket.next_token_ms(now_ms),
        )


def run(
    peers: Peers,
    check: Callable[[admission.Admission], Awaitable[None]],
) -> None:
    """Runs a check with an entry that holds a third of the team's rate."""

    async def main() -> None:
        spec = objects.TeamSpec(rate_per_s=RATE_PER_S, burst=BURST)
        config = configuration.Configuration()
        change = objects.ObjectChange(
            kind=objects.TEAM,
            name=TEAM,
            base_revision=objects.ANY_REVISION,
            spec=attrs.asdict(spec),
        )
        config.apply(
            1,
            objects.ConfigRecord(record_id="1", author="t", changes=[change]),
        )
        ledger = shares.ShareHolder("h0", "i0", lease_ms=LEASE_MS)
        rates = team_rates.TeamRates(ledger)
        holders = shares.HolderSet(
            revision=1, holders=HOLDERS, lease_ms=LEASE_MS
        )
        rates.configure(1, {}, holders, holders, 0.0)
        for host, instance in HOLDERS.items():
            rates.record_reply(
                host, instance, applied_offset=1, asked_ms=0.0, now_ms=0.0
            )
        rates.settle(0.0, frozenset())
        rates.configure(2, {TEAM: spec}, holders, holders, 0.0)
        async with trio.open_nursery() as nursery:
            entry = admission.Admission(
                "h0",
                config=config,
                rates=rates,
                client=peers,  # type: ignore[arg-type]
                address_of=lambda host: host,
                timeout_ms=1_500.0,
                nursery=nursery,
                clock=trio_clock.TrioClock(),
            )
            await check(entry)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


async def admit_at_once(
    entry: admission.Admission, count: int
) -> list[tuple[Any, float]]:
    """Sends requests at the same moment; returns verdicts and delays."""
    results: list[tuple[Any, float]] = []
    start_s = trio.current_time()

    async def one() -> None:
        verdict = await entry.admit(TEAM)
        results.append((verdict, (trio.current_time() - start_s) * 1000.0))

    async with trio.open_nursery() as nursery:
        for _ in range(count):
            nursery.start_soon(one)
    return results


def admitted(results: list[tuple[Any, float]]) -> list[float]:
    """Returns the delays of the admitted requests."""
    return [
        ms for verdict, ms in results if isinstance(verdict, admission.Admitted)
    ]


class TestAdmission:
    """Which requests are admitted, and how fast and at what cost."""

    @pytest.mark.parametrize(
        ("delay_ms", "least", "slowest_ms"),
        [
            ({"h1": 2.0, "h2": 2.0}, 19, 260.0),
            ({"h1": None, "h2": 2.0}, 12, 360.0),
            ({"h1": None, "h2": None}, 6, 600.0),
        ],
    )
    def test_burst_is_admitted_at_the_holders_that_answer(
        self, delay_ms: dict[str, float | None], least: int, slowest_ms: float
    ) -> None:
        async def check(entry: admission.Admission) -> None:
            results = await admit_at_once(entry, 40)
            assert least <= len(admitted(results)) <= BURST + 3
            assert max(ms for _, ms in results) <= slowest_ms

        run(Peers(delay_ms=delay_ms), check)

    def test_request_without_a_due_token_is_refused_at_once(self) -> None:
        async def check(entry: admission.Admission) -> None:
            results = await admit_at_once(entry, 60)
            refused = [
                ms
                for verdict, ms in results
                if not isinstance(verdict, admission.Admitted)
            ]
            assert len(refused) >= 30
            assert max(refused) <= admission.HEDGE_DELAY_MS

        run(Peers(delay_ms={"h1": 2.0, "h2": 2.0}), check)

    def test_flood_asks_peers_rarely_and_gets_its_rate(self) -> None:
        peers = Peers(delay_ms={"h1": 2.0, "h2": 2.0})
        seconds = 10

        async def check(entry: admission.Admission) -> None:
            granted = 0
            for _ in range(seconds * 10):
                granted += len(admitted(await admit_at_once(entry, 20)))
                await trio.sleep(0.1)
            spent_s = trio.current_time()
            assert granted >= 0.9 * RATE_PER_S * spent_s
            assert granted <= RATE_PER_S * spent_s + BURST
            for asked in peers.asked.values():
                pauses = spent_s * 1000 / admission.ASK_INTERVAL_MS
                assert len(asked) <= BURST + pauses

        run(peers, check)

    def test_retry_after_the_stated_delay_is_admitted(self) -> None:
        async def check(entry: admission.Admission) -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(admit_at_once, entry, 60)
                await trio.sleep(0.1)
                nursery.start_soon(admit_at_once, entry, 20)
                await trio.testing.wait_all_tasks_blocked()
                refused = await entry.admit(TEAM)
                assert isinstance(refused, admission.OverRate)
                await trio.sleep(refused.retry_after_ms / 1000.0)
                (back_ms,) = admitted(await admit_at_once(entry, 1))
                assert back_ms <= admission.ASK_INTERVAL_MS

        run(Peers(delay_ms={"h1": 2.0, "h2": 2.0}), check)
