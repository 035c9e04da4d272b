"""Tests of program budgets: the ledger and the owner of a partition."""

from collections.abc import Awaitable, Callable
import random

import attrs
import pytest
import trio
import trio.testing

from quetzalmill import budget_owner
from quetzalmill import budget_peers
from quetzalmill import clock as clock_module
from quetzalmill import errors
from quetzalmill import gateway_messages
from quetzalmill import keyed_store
from quetzalmill import outage_grants
from quetzalmill import program_budgets
from quetzalmill import stored_bound
from tests import memory_store


class TestBudgetLedger:
    """The accounts of the programs of one partition."""

    def test_turns_are_granted_up_to_the_budget(self) -> None:
        ledger = program_budgets.BudgetLedger()
        granted = 0
        for turn in range(10):
            outcome = ledger.reserve(
                "p", str(turn), budget_tokens=100, most_tokens=30, now_ms=0.0
            )
            granted += isinstance(outcome, program_budgets.Granted)
        assert granted == 3

    def test_settling_frees_what_was_not_used(self) -> None:
        ledger = program_budgets.BudgetLedger()
        _reserve(ledger, "1", most_tokens=100)
        assert isinstance(_reserve(ledger, "2"), program_budgets.Spent)
        ledger.settle("p", "1", 10)
        assert isinstance(_reserve(ledger, "2"), program_budgets.Granted)

    def test_repeated_request_reserves_once(self) -> None:
        ledger = program_budgets.BudgetLedger()
        for _ in range(9):
            assert isinstance(_reserve(ledger, "1"), program_budgets.Granted)
        assert ledger.programs["p"].granted_tokens == 30

    def test_bound_is_between_the_grants_and_the_budget(self) -> None:
        ledger = program_budgets.BudgetLedger()
        for turn in range(3):
            outcome = _reserve(ledger, str(turn), release_all=True)
            assert isinstance(outcome, program_budgets.Granted)
            if outcome.bound is not None:
                ledger.made_durable("p", outcome.bound)
            program = ledger.programs["p"]
            assert program.granted_tokens <= program.durable_tokens <= 100

    def test_bound_does_not_fall_while_it_is_written(self) -> None:
        """A turn is settled while the write of its bound is in flight."""
        ledger = program_budgets.BudgetLedger()
        first = _reserve(ledger, "1", most_tokens=90)
        ledger.settle("p", "1", 5)
        second = _reserve(ledger, "2", most_tokens=10)
        assert isinstance(first, program_budgets.Granted)
        assert isinstance(second, program_budgets.Granted)
        assert first.bound is not None and second.bound is not None
        assert second.bound.tokens >= first.bound.tokens

    def test_one_turn_is_deducted_from_the_bound_only_once(self) -> None:
        """The budget may be exceeded by the limit of one turn, not of two."""
        first = program_budgets.BudgetLedger()
        first.load("p", stored_bound.StoredBound(100, False), 0.0)
        outcome = _reserve(first, "1")
        assert isinstance(outcome, program_budgets.Granted)
        assert outcome.bound == stored_bound.StoredBound(100, True)
        second = program_budgets.BudgetLedger()
        value = outcome.bound.encode()
        second.load("p", stored_bound.decode(value), 0.0)
        assert isinstance(_reserve(second, "2"), program_budgets.Spent)

    def test_program_continues_after_a_crash_of_its_owner(self) -> None:
        """A turn's limit is half of the budget and it uses a twelfth."""
        sent_tokens = 0
        ledger = program_budgets.BudgetLedger()
        bound = stored_bound.StoredBound(0, False)
        for turn in range(6):
            outcome = ledger.reserve(
                "p", str(turn), budget_tokens=580, most_tokens=290, now_ms=0.0
            )
            assert isinstance(outcome, program_budgets.Granted)
            bound = outcome.bound or bound
            ledger.made_durable("p", bound)
            ledger.settle("p", str(turn), 45)
            sent_tokens += 45
            if turn == 2:
                ledger = program_budgets.BudgetLedger()
                ledger.load("p", bound, 0.0)
        assert sent_tokens <= 580 + 290

    def test_settled_turns_lower_the_bound(self) -> None:
        """Sub-agents run in parallel, then all hosts lose power.

        The new owner knows only the bound. If it still covered the limits of
        all turns, it would end the program.
        """
        ledger, bound = _with_three_running_turns(release_all=True)
        assert bound.tokens > 80
        for turn in range(3):
            bound = ledger.settle("p", str(turn), 5) or bound
        after = program_budgets.BudgetLedger()
        after.load("p", bound, 0.0)
        for turn in range(3, 5):
            assert isinstance(
                _reserve(after, str(turn)), program_budgets.Granted
            )

    def test_turns_cut_by_a_crash_leave_the_program_its_budget(self) -> None:
        """Sub-agents have sent few tokens when all hosts lose power."""
        _, bound = _with_three_running_turns()
        after = program_budgets.BudgetLedger()
        after.load("p", bound, 0.0)
        for turn in range(3, 5):
            assert isinstance(
                _reserve(after, str(turn)), program_budgets.Granted
            )

    def test_bound_in_flight_is_not_lowered(self) -> None:
        """The owner knows only the bound and its first caller leaves at once.

        The write that records the deduction ends after the turn was settled.
        If the bound were lowered in between, the ledger would assume a higher
        bound than the store has.
        """
        ledger = program_budgets.BudgetLedger()
        ledger.load("p", stored_bound.StoredBound(96, False), 0.0)
        outcome = _reserve(ledger, "1", most_tokens=30)
        assert isinstance(outcome, program_budgets.Granted)
        assert outcome.bound is not None
        lower = ledger.settle("p", "1", 0)
        ledger.made_durable("p", outcome.bound)
        stored = lower or outcome.bound
        assert ledger.programs["p"].durable_tokens <= stored.tokens

    def test_lower_bound_applies_before_it_is_stored(self) -> None:
        """Its write may be lost or late; grants beyond it need a new one."""
        ledger, _ = _with_three_running_turns(release_all=True)
        lower = [ledger.settle("p", str(turn), 5) for turn in range(3)][-1]
        assert lower is not None
        outcome = _reserve(ledger, "3")
        assert isinstance(outcome, program_budgets.Granted)
        assert outcome.bound is not None
        assert outcome.bound.tokens > lower.tokens

    @pytest.mark.parametrize("seed", range(200))
    def test_crashes_during_parallel_turns_never_overspend(
        self, seed: int
    ) -> None:
        """Owners crash at random, with the last lower bound stored or not."""
        rng = random.Random(seed)
        ledger = program_budgets.BudgetLedger()
        stored: stored_bound.StoredBound | None = None
        running: list[str] = []
        sent_tokens = 0
        for turn in range(120):
            outcome = _reserve(
                ledger, str(turn), most_tokens=20, release_all=True
            )
            if isinstance(outcome, program_budgets.Granted):
                if outcome.bound is not None:
                    stored = outcome.bound
                    ledger.made_durable("p", stored)
                running.append(str(turn))
            while running and rng.random() < 0.6:
                ended = running.pop(rng.randrange(len(running)))
                used = rng.choice([0, 5, 20])
                sent_tokens += used
                lower = ledger.settle("p", ended, used)
                if lower is not None and rng.random() < 0.7:
                    stored = lower
                    ledger.made_durable("p", lower)
            if rng.random() < 0.05:
                # Running turns send all that was released to them.
                sent_tokens += 20 * len(running)
                running = []
                ledger = program_budgets.BudgetLedger()
                if stored is not None:
                    ledger.load("p", stored, 0.0)
        sent_tokens += 20 * len(running)
        assert sent_tokens <= 100 + 20

    def test_idle_program_is_forgotten(self) -> None:
        ledger = program_budgets.BudgetLedger()
        _reserve(ledger, "1")
        assert ledger.forget_idle(10.0, 5.0) == []
        # The turn has ended too; only its settlement was lost.
        assert ledger.forget_idle(10.0, 100.0) == ["p"]


def _with_three_running_turns(
    *, release_all: bool = False
) -> tuple[program_budgets.BudgetLedger, stored_bound.StoredBound]:
    """Returns a ledger with three running turns, and its stored bound."""
    ledger = program_budgets.BudgetLedger()
    bound = stored_bound.StoredBound(0, False)
    for turn in range(3):
        outcome = _reserve(ledger, str(turn), release_all=release_all)
        assert isinstance(outcome, program_budgets.Granted)
        bound = outcome.bound or bound
        ledger.made_durable("p", bound)
    return ledger, bound


def _reserve(
    ledger: program_budgets.BudgetLedger,
    turn_id: str,
    most_tokens: int = 30,
    *,
    release_all: bool = False,
) -> program_budgets.Granted | program_budgets.Spent:
    return ledger.reserve(
        "p",
        turn_id,
        budget_tokens=100,
        most_tokens=most_tokens,
        now_ms=0.0,
        release_all=release_all,
    )


class _FakePeers(budget_peers.BudgetPeers):
    """Replaces the calls to other gateways.

    Attributes:
        others: The owners on the other gateways.
        silent_s: How long one of them does not reply.
    """

    def __init__(self) -> None:
        self.others: list[budget_owner.BudgetOwner] = []
        self.silent_s = 0.0

    def holders(self, part: int) -> list[str]:
        return []

    async def epochs(self, part: int) -> dict[str, int]:
        # A silent peer does not own the partition.
        await trio.sleep(self.silent_s)
        return {
            str(number): other.known_epoch()
            for number, other in enumerate(self.others)
        }

    async def hand_over(
        self, part: int, addresses: list[str]
    ) -> list[gateway_messages.HandOverReply]:
        await trio.lowlevel.checkpoint()
        replies = []
        for address in addresses:
            epoch, accounts = self.others[int(address)].hand_over()
            replies.append(
                gateway_messages.HandOverReply(
                    epoch=epoch,
                    accounts=accounts,
                    loss_age_ms=self.others[int(address)].loss_age_ms(),
                )
            )
        return replies


@attrs.define
class _Gateways:
    store: memory_store.MemoryStore
    peers: _FakePeers
    nursery: trio.Nursery
    listening_ms: float = 0.0
    claims: list[bool] = attrs.field(factory=list)
    outage_ms: float = 0.0
    newest_epoch: int = 0

    def owner(self) -> budget_owner.BudgetOwner:
        """Returns the owner on one more gateway."""
        return budget_owner.BudgetOwner(
            0,
            self.store,
            clock_module.SystemClock(),
            self.nursery,
            self.peers,
            lambda answered: None,
            lambda: not self.store.down,
            {},
            lambda: self.listening_ms,
            lambda succeeded, took_ms: self.claims.append(succeeded),
            lambda: self.outage_ms,
            lambda part, epoch: epoch >= self.newest_epoch,
        )


def _settlement(turn_id: str, used_tokens: int) -> gateway_messages.SettleTurn:
    return gateway_messages.SettleTurn(
        program_id="t/p", turn_id=turn_id, used_tokens=used_tokens, holder=""
    )


async def _reserve_turn(
    owner: budget_owner.BudgetOwner, turn_id: str, most_tokens: int = 30
) -> gateway_messages.ReserveReply:
    reply = owner.reserve(
        gateway_messages.ReserveTurn(
            program_id="t/p",
            turn_id=turn_id,
            budget_tokens=100,
            most_tokens=most_tokens,
        )
    )
    if isinstance(reply, gateway_messages.ReserveReply):
        return reply
    return await reply


class _SlowStore(memory_store.MemoryStore):
    """A store whose calls take longer than the pause between turns."""

    async def _enter(self) -> None:
        await trio.sleep(0.02)
        await super()._enter()


class _SlowSnapshotStore(memory_store.MemoryStore):
    """A store that takes longer to send a partition than a turn waits."""

    async def newest(
        self, topic: str, part: int, *, timeout_ms: float
    ) -> keyed_store.Records:
        """Returns the newest record of each key, after a delay."""
        await trio.sleep(1.3 * budget_owner.RESERVE_TIMEOUT_MS / 1000.0)
        return await super().newest(topic, part, timeout_ms=timeout_ms)


class _FaultyStore(memory_store.MemoryStore):
    """A store that injects faults into the calls of owners.

    Attributes:
        refusals: How many of the next writes are refused.
        unanswered: How many of the next writes are applied but not answered.
        failed_reads: How many of the next reads fail.
        refused_claims: How many of the next claims are refused.
        read_s: How long a read takes.
    """

    def __init__(self) -> None:
        super().__init__()
        self.refusals = 0
        self.unanswered = 0
        self.failed_reads = 0
        self.refused_claims = 0
        self.read_s = 0.1

    async def claim(
        self,
        topic: str,
        part: int,
        fence: keyed_store.Fence,
        *,
        timeout_ms: float,
    ) -> None:
        """Fences off writers with lower epochs, unless it is to refuse."""
        if self.refused_claims:
            self.refused_claims -= 1
            raise errors.NotExecutedError("too much is waiting")
        await super().claim(topic, part, fence, timeout_ms=timeout_ms)

    async def newest(
        self, topic: str, part: int, *, timeout_ms: float
    ) -> keyed_store.Records:
        """Returns the newest record of each key, unless it is to fail."""
        await trio.sleep(self.read_s)
        if self.failed_reads:
            self.failed_reads -= 1
            raise errors.NotExecutedError("too much is waiting")
        return await super().newest(topic, part, timeout_ms=timeout_ms)

    async def append_fenced(
        self,
        topic: str,
        part: int,
        records: list[keyed_store.KeyedRecord],
        fence: keyed_store.Fence,
        sequence: int,
        *,
        timeout_ms: float,
    ) -> None:
        """Appends records, unless it is to refuse."""
        if self.refusals:
            self.refusals -= 1
            raise errors.NotExecutedError("too much is waiting")
        await super().append_fenced(
            topic, part, records, fence, sequence, timeout_ms=timeout_ms
        )
        if self.unanswered:
            self.unanswered -= 1
            raise errors.OutcomeUnknownError("the answer was lost")


def _run(
    case: Callable[[_Gateways], Awaitable[None]],
    store: memory_store.MemoryStore | None = None,
) -> None:
    async def run() -> None:
        async with trio.open_nursery() as nursery:
            await case(
                _Gateways(
                    store or memory_store.MemoryStore(), _FakePeers(), nursery
                )
            )
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


class TestBudgetOwner:
    """Successive and concurrent owners of one partition."""

    def test_first_bound_of_a_term_is_appended(self) -> None:
        """A claim and the first write must not share a sequence number."""

        async def case(gateways: _Gateways) -> None:
            assert (await _reserve_turn(gateways.owner(), "1")).granted
            bound = gateways.store.value("budgets", 0, "t/p")
            assert bound is not None and int(bound) >= 30

        _run(case)

    def test_owner_after_a_crash_charges_the_bound(self) -> None:
        async def case(gateways: _Gateways) -> None:
            assert (await _reserve_turn(gateways.owner(), "1", 90)).granted
            assert (await _reserve_turn(gateways.owner(), "2", 20)).granted
            reply = await _reserve_turn(gateways.owner(), "3", 20)
            assert reply.spent and not reply.granted

        _run(case)

    def test_living_owner_hands_over_exact_accounts(self) -> None:
        async def case(gateways: _Gateways) -> None:
            first = gateways.owner()
            assert (await _reserve_turn(first, "1", 90)).granted
            first.settle(_settlement("1", 10))
            gateways.peers.others = [first]
            assert (await _reserve_turn(gateways.owner(), "2", 80)).granted

        _run(case)

    def test_started_gateway_listens_before_it_claims(self) -> None:
        """After a power failure all gateways start one soon after another."""

        async def case(gateways: _Gateways) -> None:
            first = gateways.owner()
            assert (await _reserve_turn(first, "1", 90)).granted
            first.settle(_settlement("1", 10))
            gateways.listening_ms = 500.0

            async def become_reachable() -> None:
                await trio.sleep(0.3)
                gateways.peers.others = [first]

            gateways.nursery.start_soon(become_reachable)
            assert (await _reserve_turn(gateways.owner(), "2", 80)).granted
            assert (await _reserve_turn(gateways.owner(), "3", 10)).granted

        _run(case)

    def test_claim_outlives_the_requests_that_wait_for_it(self) -> None:
        """Otherwise each request restarts it and the partition has no owner."""

        async def case(gateways: _Gateways) -> None:
            owner = gateways.owner()
            granted: list[str] = []

            async def ask(turn_id: str) -> None:
                if (await _reserve_turn(owner, turn_id, 1)).granted:
                    granted.append(turn_id)

            async with trio.open_nursery() as nursery:
                for number in range(20):
                    nursery.start_soon(ask, str(number))
                    await trio.sleep(0.2)
            # All requests that are still waiting when the one claim ends.
            assert len(granted) >= 16
            assert gateways.claims == [True]

        _run(case, _SlowSnapshotStore())

    def test_claim_that_fails_keeps_the_accounts_it_was_handed(self) -> None:
        """The previous owner has given them up, so no other gateway does."""
        store = _FaultyStore()

        async def case(gateways: _Gateways) -> None:
            first, second = gateways.owner(), gateways.owner()
            assert (await _reserve_turn(first, "1", 84)).granted
            first.settle(_settlement("1", 62))
            gateways.peers.others = [first]
            store.refusals = 1_000
            assert not (await _reserve_turn(second, "2", 19)).granted
            store.refusals = 0
            for turn_id in ("3", "4"):
                assert (await _reserve_turn(second, turn_id, 19)).granted
            assert gateways.claims[0] and gateways.claims[-1]
            assert not any(gateways.claims[1:-1]) and gateways.claims[1:-1]

        _run(case, store)

    def test_claim_whose_first_write_is_not_answered_keeps_the_accounts(
        self,
    ) -> None:
        """The store may then hold an epoch for which no accounts exist."""
        store = _FaultyStore()

        async def case(gateways: _Gateways) -> None:
            first, second = gateways.owner(), gateways.owner()
            assert (await _reserve_turn(first, "1", 84)).granted
            first.settle(_settlement("1", 62))
            gateways.peers.others = [first]
            store.unanswered = 1
            for turn_id in ("2", "3"):
                assert (await _reserve_turn(second, turn_id, 19)).granted

        _run(case, store)

    def test_owner_fenced_off_by_an_unfinished_claim_keeps_its_accounts(
        self,
    ) -> None:
        async def case(gateways: _Gateways) -> None:
            owner = gateways.owner()
            assert (await _reserve_turn(owner, "1", 84)).granted
            owner.settle(_settlement("1", 62))
            fence = keyed_store.Fence("budgets", 1 << 80)
            await gateways.store.claim("budgets", 0, fence, timeout_ms=100.0)
            # This turn needs a write, from which the owner learns of the claim.
            assert not (await _reserve_turn(owner, "2", 38)).spent
            owner.settle(_settlement("2", 0))
            for turn_id in ("3", "4"):
                assert (await _reserve_turn(owner, turn_id, 19)).granted

        _run(case)

    def test_turn_settled_during_a_claim_is_charged_what_it_used(self) -> None:
        """No owner exists then, but the settlement is acknowledged."""

        async def case(gateways: _Gateways) -> None:
            first, second = gateways.owner(), gateways.owner()
            assert (await _reserve_turn(first, "1", 90)).granted
            gateways.peers.others = [first]

            async def settle() -> None:
                await trio.sleep(0.3)
                second.settle(_settlement("1", 10))

            gateways.nursery.start_soon(settle)
            gateways.listening_ms = 500.0
            assert (await _reserve_turn(second, "2", 40)).granted

        _run(case)

    def test_turn_given_up_here_is_charged_if_another_owner_granted_it(
        self,
    ) -> None:
        """Its gateway asked here first, in vain, as the claim took too long.

        The claim then adopts the other owner's accounts, in which the turn is
        still running.
        """

        async def case(gateways: _Gateways) -> None:
            first, second = gateways.owner(), gateways.owner()
            gateways.peers.others = [first]
            assert (await _reserve_turn(first, "0", 10)).granted
            gateways.listening_ms = 2_000.0
            assert not (await _reserve_turn(second, "1", 60)).granted
            assert (await _reserve_turn(first, "1", 60)).granted
            await trio.sleep(1.0)
            assert (await _reserve_turn(second, "2", 40)).spent
            assert (await _release(second, "1", 60)).granted

        _run(case)

    def test_two_gateways_that_both_claim_do_not_keep_fencing_each_other(
        self,
    ) -> None:
        """They do not reach each other, and a peer of both does not reply."""

        async def case(gateways: _Gateways) -> None:
            gateways.peers.silent_s = 0.25
            owners = [gateways.owner(), gateways.owner()]
            granted: list[str] = []

            async def ask(number: int) -> None:
                reply = await _reserve_turn(owners[number % 2], str(number), 1)
                if reply.granted:
                    granted.append(str(number))

            async with trio.open_nursery() as nursery:
                for number in range(90):
                    nursery.start_soon(ask, number)
                    await trio.sleep(0.1)
            assert len(granted) >= 80

        _run(case, _FaultyStore())

    def test_failed_read_is_retried_for_requests_that_can_wait(self) -> None:
        store = _FaultyStore()
        store.failed_reads = 1

        async def case(gateways: _Gateways) -> None:
            owner = gateways.owner()
            granted: list[str] = []

            async def ask(turn_id: str) -> None:
                if (await _reserve_turn(owner, turn_id, 1)).granted:
                    granted.append(turn_id)

            async with trio.open_nursery() as nursery:
                for number in range(10):
                    nursery.start_soon(ask, str(number))
            assert len(granted) == 10

        _run(case, store)

    def test_claim_that_the_store_refuses_does_not_end_the_current_term(
        self,
    ) -> None:
        """The store refuses one gateway, and the other continues to grant."""
        store = _FaultyStore()

        async def case(gateways: _Gateways) -> None:
            first, second = gateways.owner(), gateways.owner()
            assert (await _reserve_turn(first, "1", 20)).granted
            first.settle(_settlement("1", 1))
            gateways.peers.others = [first]
            store.refused_claims = 1_000
            assert not (await _reserve_turn(second, "2", 20)).granted
            assert (await _reserve_turn(first, "3", 20)).granted

        _run(case, store)

    def test_unfinished_claim_hands_over_the_accounts_it_received(self) -> None:
        """Their previous owner may have crashed by then."""
        store = _FaultyStore()

        async def case(gateways: _Gateways) -> None:
            first, second = gateways.owner(), gateways.owner()
            assert (await _reserve_turn(first, "1", 84)).granted
            first.settle(_settlement("1", 62))
            gateways.peers.others = [first]
            replies: list[gateway_messages.ReserveReply] = []

            async def ask(turn_id: str) -> None:
                replies.append(await _reserve_turn(second, turn_id, 1))

            store.refusals = 3
            gateways.nursery.start_soon(ask, "2")
            # It has fetched the accounts and is opening its term.
            await trio.sleep(0.12)
            store.refusals = 0
            gateways.peers.others = [second]
            third = gateways.owner()
            for turn_id in ("3", "4"):
                assert (await _reserve_turn(third, turn_id, 18)).granted

        _run(case, store)

    def test_accounts_of_an_older_owner_do_not_count(self) -> None:
        async def case(gateways: _Gateways) -> None:
            oldest = gateways.owner()
            assert (await _reserve_turn(oldest, "1", 10)).granted
            crashed = gateways.owner()
            assert (await _reserve_turn(crashed, "2", 80)).granted
            gateways.peers.others = [oldest]
            assert not (await _reserve_turn(gateways.owner(), "3", 40)).granted

        _run(case)

    def test_superseded_owner_grants_nothing_beyond_its_bounds(self) -> None:
        async def case(gateways: _Gateways) -> None:
            first, second = gateways.owner(), gateways.owner()
            granted = 0
            for turn in range(20):
                for owner in (first, second):
                    reply = await _reserve_turn(
                        owner, f"{id(owner)}-{turn}", 10
                    )
                    granted += 10 * reply.granted
            # The budget and the token limit of one turn.
            assert granted <= 100 + 10

        _run(case)

    def test_lost_answer_neither_loses_nor_doubles(self) -> None:
        async def case(gateways: _Gateways) -> None:
            owner = gateways.owner()
            assert (await _reserve_turn(owner, "1", 10)).granted
            gateways.store.lost_answers = 3
            assert (await _reserve_turn(owner, "2", 60)).granted
            bound = gateways.store.value("budgets", 0, "t/p")
            assert bound is not None and int(bound) >= 70

        _run(case)

    def test_outage_grants_only_within_the_bound(self) -> None:
        async def case(gateways: _Gateways) -> None:
            owner = gateways.owner()
            assert (await _reserve_turn(owner, "1", 10)).granted
            gateways.store.down = True
            owner.settle(_settlement("1", 2))
            assert (await _reserve_turn(owner, "2", 10)).granted
            reply = await _reserve_turn(owner, "3", 60)
            assert not reply.granted and not reply.spent

        _run(case)

    @pytest.mark.parametrize("seed", range(20))
    def test_random_faults_never_overspend(self, seed: int) -> None:
        """Owners start, crash and hand over at random, and replies get lost."""
        rng = random.Random(seed)

        async def case(gateways: _Gateways) -> None:
            owners = [gateways.owner() for _ in range(3)]
            granted = 0
            for turn in range(60):
                gateways.store.lost_answers = rng.randrange(2)
                gateways.store.down = rng.random() < 0.1
                slot = rng.randrange(3)
                if rng.random() < 0.15:
                    owners[slot] = gateways.owner()
                gateways.peers.others = [
                    owner
                    for owner in owners
                    if owner is not owners[slot] and rng.random() < 0.7
                ]
                reply = await _reserve_turn(owners[slot], str(turn), 10)
                used = rng.choice([0, 5, 10]) if reply.granted else 0
                granted += used
                if reply.granted:
                    owners[slot].settle(_settlement(str(turn), used))
            # The budget and the token limit of one turn.
            assert granted <= 100 + 10

        _run(case)

    def test_writes_of_an_old_term_do_not_reach_the_next(self) -> None:
        """An owner hands over while it retries writes, then claims again.

        Its queued writes are older than those of the owner in between.
        """

        async def case(gateways: _Gateways) -> None:
            first, second = gateways.owner(), gateways.owner()
            assert (await _reserve_turn(first, "1", 10)).granted
            gateways.store.down = True
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_reserve_turn, first, "2", 10)
                await trio.sleep(0.1)
                nursery.start_soon(_reserve_turn, first, "3", 10)
            gateways.store.down = False
            gateways.peers.others = [first]
            assert (await _reserve_turn(second, "4", 80)).granted
            gateways.peers.others = [second]
            assert (await _reserve_turn(first, "5", 5)).granted
            await trio.sleep(2.0)
            bound = gateways.store.value("budgets", 0, "t/p")
            assert bound is not None and int(bound) >= 10 + 80 + 5

        _run(case)

    def test_turn_that_waits_for_an_old_term_is_not_granted_by_the_next(
        self,
    ) -> None:
        """The next term does not know the turn, so it would not be charged."""

        async def case(gateways: _Gateways) -> None:
            first = gateways.owner()
            assert (await _reserve_turn(first, "1", 10)).granted
            granted = 10

            async def ask(turn_id: str) -> None:
                nonlocal granted
                if (await _reserve_turn(first, turn_id, 20)).granted:
                    granted += 20

            async with trio.open_nursery() as nursery:
                gateways.store.down = True
                nursery.start_soon(ask, "2")
                await trio.sleep(0.2)
                for turn_id in ("3", "4"):
                    nursery.start_soon(ask, turn_id)
                await trio.sleep(0.2)
                gateways.store.down = False
                # Another gateway asks for the accounts and then dies.
                first.hand_over()
                assert (await _reserve_turn(first, "5", 1)).granted
                granted += 1
            for number in range(20):
                if (await _reserve_turn(first, f"last {number}", 10)).granted:
                    granted += 10
            # The budget and the token limit of one turn.
            assert granted <= 100 + 20

        _run(case)

    @pytest.mark.parametrize("seed", range(60))
    def test_outage_grants_only_within_the_bound_of_parallel_turns(
        self, seed: int
    ) -> None:
        """Bounds rise and fall while slow writes of others are in flight."""
        rng = random.Random(seed)

        async def case(gateways: _Gateways) -> None:
            owner = gateways.owner()
            sent_tokens = 0

            async def turns(name: str) -> None:
                nonlocal sent_tokens
                for number in range(4):
                    turn_id = f"{name}/{number}"
                    await trio.sleep(rng.uniform(0.0, 0.1))
                    if not (await _reserve_turn(owner, turn_id, 15)).granted:
                        continue
                    await trio.sleep(rng.uniform(0.0, 0.03))
                    used = rng.choice([0, 1])
                    sent_tokens += used
                    owner.settle(_settlement(turn_id, used))

            async with trio.open_nursery() as nursery:
                for name in range(6):
                    nursery.start_soon(turns, str(name))
            await trio.sleep(1.0)
            bound = gateways.store.value("budgets", 0, "t/p")
            gateways.store.down = True
            granted = 0
            while (await _reserve_turn(owner, f"last/{granted}", 1)).granted:
                granted += 1
            assert bound is not None and sent_tokens + granted <= int(bound)

        _run(case, _SlowStore())


async def _reserve_initial(
    owner: budget_owner.BudgetOwner, turn_id: str, most_tokens: int = 30
) -> gateway_messages.ReserveReply:
    reply = owner.reserve(
        gateway_messages.ReserveTurn(
            program_id="t/p",
            turn_id=turn_id,
            budget_tokens=100,
            most_tokens=most_tokens,
            by_parts=True,
        )
    )
    if isinstance(reply, gateway_messages.ReserveReply):
        return reply
    return await reply


async def _release(
    owner: budget_owner.BudgetOwner, turn_id: str, most_tokens: int = 30
) -> gateway_messages.ReleaseReply:
    """Requests the remaining tokens of a turn after its initial release."""
    reply = owner.release(
        gateway_messages.ReleaseTurn(
            program_id="t/p",
            turn_id=turn_id,
            budget_tokens=100,
            most_tokens=most_tokens,
            before_tokens=program_budgets.initial_release(most_tokens),
        )
    )
    if isinstance(reply, gateway_messages.ReleaseReply):
        return reply
    return await reply


def _stored_bound(gateways: _Gateways) -> int:
    value = gateways.store.value("budgets", 0, "t/p")
    assert value is not None
    return stored_bound.decode(value).tokens


class TestReleasesOfOwners:
    """Turns that run while the owner changes or the store is unavailable."""

    def test_remaining_tokens_are_released_once_the_bound_covers_them(
        self,
    ) -> None:
        async def case(gateways: _Gateways) -> None:
            owner = gateways.owner()
            reply = await _reserve_initial(owner, "1", 60)
            assert reply.granted and reply.released_tokens == 30
            assert 30 <= _stored_bound(gateways) < 60
            for _ in range(3):
                assert (await _release(owner, "1", 60)).granted
            assert 60 <= _stored_bound(gateways) < 90

        _run(case)

    def test_gateway_of_an_older_version_gets_all_at_once(self) -> None:
        """It sends all tokens of a turn without a further request."""

        async def case(gateways: _Gateways) -> None:
            reply = await _reserve_turn(gateways.owner(), "1", 60)
            assert reply.granted and reply.released_tokens == 60
            assert _stored_bound(gateways) >= 60

        _run(case)

    def test_turns_continue_after_their_owner_was_killed(self) -> None:
        """The budget just covers them; the new owner knows only the bound."""

        async def case(gateways: _Gateways) -> None:
            first, second = gateways.owner(), gateways.owner()
            for turn_id in ("1", "2", "3"):
                assert (await _reserve_initial(first, turn_id, 33)).granted
            for turn_id in ("1", "2", "3"):
                assert (await _release(second, turn_id, 33)).granted

        _run(case)

    def test_adopted_turn_is_charged_what_it_sends_beyond(self) -> None:
        async def case(gateways: _Gateways) -> None:
            first, second = gateways.owner(), gateways.owner()
            assert (await _reserve_initial(first, "1", 60)).granted
            assert (await _release(second, "1", 60)).granted
            # The turn sent its initial release of 30 tokens and one more. The
            # bound was 36, from which its limit of 60 was deducted.
            second.settle(_settlement("1", 31))
            assert (await _reserve_initial(second, "2", 99)).granted
            assert (await _reserve_initial(second, "3", 1)).spent

        _run(case)

    def test_releases_are_handed_over_with_the_accounts(self) -> None:
        """An adopted turn keeps what earlier owners released to it."""

        async def case(gateways: _Gateways) -> None:
            lost, first, second = (gateways.owner() for _ in range(3))
            assert (await _reserve_initial(lost, "1", 60)).granted
            assert (await _release(first, "1", 60)).granted
            gateways.peers.others = [first]
            assert (await _reserve_initial(second, "2", 30)).granted
            writes = gateways.store.writes
            assert (await _release(second, "1", 60)).granted
            # Its previous owner had released it, so no new bound is needed.
            assert gateways.store.writes == writes
            second.settle(_settlement("1", 31))
            second.settle(_settlement("2", 0))
            assert (await _reserve_initial(second, "3", 99)).granted
            assert (await _reserve_initial(second, "4", 1)).spent

        _run(case)

    def test_bound_stays_low_when_accounts_are_handed_over(self) -> None:
        """Otherwise a crash right after it would end the program."""

        async def case(gateways: _Gateways) -> None:
            first, second = gateways.owner(), gateways.owner()
            for turn_id in ("1", "2", "3"):
                assert (await _reserve_initial(first, turn_id)).granted
            gateways.peers.others = [first]
            assert (await _reserve_initial(second, "4", 1)).granted
            assert _stored_bound(gateways) == 48
            gateways.peers.others = []
            last = gateways.owner()
            for turn_id in ("5", "6"):
                assert (await _reserve_initial(last, turn_id)).granted

        _run(case)

    def test_outage_lets_turns_continue_within_the_bound(self) -> None:
        """A new turn must not take the tokens of a running one."""

        async def case(gateways: _Gateways) -> None:
            owner = gateways.owner()
            assert (await _reserve_initial(owner, "1", 8)).granted
            assert _stored_bound(gateways) == 12
            gateways.store.down = True
            assert not (await _reserve_initial(owner, "2", 8)).granted
            reply = await _reserve_initial(owner, "3", 4)
            assert reply.granted and reply.released_tokens == 4
            assert (await _release(owner, "1", 8)).granted

        _run(case)

    def test_waiting_turn_takes_no_tokens_from_others(self) -> None:
        async def case(gateways: _Gateways) -> None:
            owner = gateways.owner()
            assert (await _reserve_initial(owner, "1", 16)).granted
            assert (await _reserve_initial(owner, "2", 6)).granted
            assert _stored_bound(gateways) == 12
            gateways.store.down = True
            reply = await _release(owner, "1", 16)
            assert not reply.granted and not reply.spent
            owner.settle(_settlement("2", 0))
            assert (await _reserve_initial(owner, "3", 1)).granted is False
            gateways.store.down = False
            await trio.sleep(1.0)
            assert (await _release(owner, "1", 16)).granted

        _run(case)

    def test_release_within_the_bound_overtakes_one_that_waits(self) -> None:
        async def case(gateways: _Gateways) -> None:
            owner = gateways.owner()
            assert (await _reserve_initial(owner, "1", 16)).granted
            assert (await _reserve_initial(owner, "2", 4)).granted
            assert _stored_bound(gateways) == 12
            gateways.store.down = True
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_release, owner, "1", 16)
                await trio.sleep(0.1)
                assert (await _release(owner, "2", 4)).granted

        _run(case)

    def test_request_after_the_end_of_the_turn_reserves_nothing(self) -> None:
        """A datagram was late, or the owner was claiming the partition."""

        async def case(gateways: _Gateways) -> None:
            owner = gateways.owner()
            assert (await _reserve_initial(owner, "1", 60)).granted
            owner.settle(_settlement("1", 20))
            assert not (await _release(owner, "1", 60)).granted
            owner.settle(_settlement("2", 20))
            assert not (await _release(owner, "2", 60)).granted
            assert (await _reserve_initial(owner, "3", 80)).granted

        _run(case)

    def test_retried_turn_gets_its_remaining_tokens(self) -> None:
        """A caller sends an attempt again with the same id."""

        async def case(gateways: _Gateways) -> None:
            owner = gateways.owner()
            for _ in range(2):
                assert (await _reserve_initial(owner, "1", 30)).granted
                assert (await _release(owner, "1", 30)).granted
                owner.settle(_settlement("1", 20))

        _run(case)

    def test_turn_that_ends_while_its_release_waits_for_the_store(self) -> None:
        async def case(gateways: _Gateways) -> None:
            owner = gateways.owner()
            assert (await _reserve_initial(owner, "1", 60)).granted
            async with trio.open_nursery() as nursery:
                replies: list[bool] = []

                async def ask() -> None:
                    replies.append((await _release(owner, "1", 60)).granted)

                nursery.start_soon(ask)
                await trio.sleep(0.005)
                owner.settle(_settlement("1", 20))
            assert replies == [False]
            assert (await _reserve_initial(owner, "3", 80)).granted

        _run(case, _SlowStore())

    def test_lost_replies_release_once(self) -> None:
        async def case(gateways: _Gateways) -> None:
            owner = gateways.owner()
            assert (await _reserve_initial(owner, "1", 60)).granted
            gateways.store.lost_answers = 2
            assert (await _release(owner, "1", 60)).granted
            assert _stored_bound(gateways) >= 60
            owner.settle(_settlement("1", 60))
            assert (await _reserve_initial(owner, "2", 40)).granted
            assert (await _reserve_initial(owner, "3", 1)).spent

        _run(case)

    def test_superseded_owner_releases_nothing_beyond_its_bounds(self) -> None:
        async def case(gateways: _Gateways) -> None:
            first, second = gateways.owner(), gateways.owner()
            assert (await _reserve_initial(first, "1", 60)).granted
            assert (await _reserve_initial(second, "2", 60)).granted
            gateways.store.down = True
            assert not (await _release(first, "1", 60)).granted

        _run(case)


_NEW_PROGRAM = gateway_messages.ReserveTurn(
    program_id="t/new",
    turn_id="n",
    budget_tokens=100,
    most_tokens=30,
    by_parts=True,
)


class TestOutages:
    """Turns that an owner is asked for while the store is unavailable."""

    def test_turn_that_needs_the_store_is_refused_at_once(self) -> None:
        """Guards against holding turns that cannot run until their end."""

        async def case(gateways: _Gateways) -> None:
            owner = gateways.owner()
            assert (await _reserve_turn(owner, "1")).granted
            gateways.store.down, gateways.outage_ms = True, 700.0
            before_s = trio.current_time()
            assert not (await _reserve_turn(owner, "2")).granted
            assert trio.current_time() == before_s
            gateways.store.down, gateways.outage_ms = False, 0.0
            owner.settle(_settlement("1", 0))
            # The refused turn has left nothing reserved.
            assert (await _reserve_turn(owner, "3", 100)).granted

        _run(case)

    def test_new_program_starts_and_its_bound_is_stored_later(self) -> None:
        """Guards against refusing all new programs in an outage."""

        async def case(gateways: _Gateways) -> None:
            owner = gateways.owner()
            assert (await _reserve_turn(owner, "1")).granted
            gateways.store.down, gateways.outage_ms = True, 700.0
            reply = owner.reserve(_NEW_PROGRAM)
            assert isinstance(reply, gateway_messages.ReserveReply)
            assert reply.granted and reply.is_first
            assert gateways.store.value("budgets", 0, "t/new") is None
            gateways.store.down, gateways.outage_ms = False, 0.0
            await trio.sleep(2.0)
            assert gateways.store.value("budgets", 0, "t/new") == b"24"

        _run(case)

    def test_replaced_owner_starts_no_program(self) -> None:
        """Guards against two owners that each grant the limit of one turn."""

        async def case(gateways: _Gateways) -> None:
            owner = gateways.owner()
            assert (await _reserve_turn(owner, "1")).granted
            gateways.store.down, gateways.outage_ms = True, 700.0
            gateways.newest_epoch = owner.known_epoch() + 1
            reply = owner.reserve(_NEW_PROGRAM)
            assert isinstance(reply, gateway_messages.ReserveReply)
            assert not reply.granted

        _run(case)

    def test_loss_is_known_after_a_handover(self) -> None:
        """Guards against a second excess once the accounts are exact again."""

        async def case(gateways: _Gateways) -> None:
            first, second, third = (gateways.owner() for _ in range(3))
            assert (await _reserve_turn(first, "1")).granted
            assert (await _reserve_turn(second, "2")).granted
            gateways.peers.others = [second]
            assert (await _reserve_turn(third, "3")).granted
            third.hand_over()
            assert 0.0 <= third.loss_age_ms() < outage_grants.UNCERTAIN_MS

        _run(case)
