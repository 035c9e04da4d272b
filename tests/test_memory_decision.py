"""Tests of the decision on memory, without a network."""

import pytest

from quetzalmill import memory_account
from quetzalmill import memory_decision

_LIMIT_BYTES = 38_000_000
_BODY_BYTES = 4_194_304
_STEP_BYTES = 16_384
_BODY = memory_account.Kind.BODY


def _charge(
    account: memory_account.MemoryAccount, team: str, size_bytes: int
) -> memory_account.Charge:
    charge = account.open(_BODY, team, 0.0)
    account.add(charge, size_bytes)
    return charge


def _read_body(
    account: memory_account.MemoryAccount,
    charge: memory_account.Charge,
    size_bytes: int,
    now_ms: float,
) -> bool:
    """Returns whether a body gets all its memory without waiting."""
    while charge.is_open and charge.held_bytes < size_bytes:
        more_bytes = min(_STEP_BYTES, size_bytes - charge.held_bytes)
        match memory_decision.decide(
            account, charge, more_bytes, now_ms=now_ms, waited_ms=0.0
        ):
            case memory_decision.Grant():
                account.add(charge, more_bytes)
            case memory_decision.Revoke(victim=victim):
                account.close(victim)
            case _:
                return False
        assert account.held_bytes <= _LIMIT_BYTES
    return charge.is_open


class TestCrowdOfOneTeam:
    """48 bodies of 4 MiB that stop before the end."""

    @pytest.fixture
    def account(self) -> memory_account.MemoryAccount:
        account = memory_account.MemoryAccount(_LIMIT_BYTES)
        for _ in range(48):
            charge = account.open(_BODY, "crowd", 0.0)
            _read_body(account, charge, _BODY_BYTES - 1, 0.0)
        return account

    @pytest.mark.parametrize("team", ["crowd", "other"])
    def test_small_body_is_always_read(
        self, account: memory_account.MemoryAccount, team: str
    ) -> None:
        for _ in range(200):
            charge = account.open(_BODY, team, 1.0)
            assert _read_body(account, charge, _STEP_BYTES, 1.0)
            account.close(charge)

    def test_large_body_of_another_team_is_read(
        self, account: memory_account.MemoryAccount
    ) -> None:
        charge = account.open(_BODY, "other", 1.0)
        assert _read_body(account, charge, _BODY_BYTES, 1.0)

    @pytest.mark.parametrize(
        ("now_ms", "is_read"),
        [(1.0, False), (memory_decision.STALLED_MS, True)],
    )
    def test_stalled_bodies_give_way_to_their_own_team(
        self,
        account: memory_account.MemoryAccount,
        now_ms: float,
        is_read: bool,
    ) -> None:
        charge = account.open(_BODY, "crowd", now_ms)
        assert _read_body(account, charge, _BODY_BYTES, now_ms) is is_read


class TestHonestCrowd:
    """Bodies of 4 MiB that are all sent to their end."""

    @pytest.mark.parametrize("teams", [1, 4, 16])
    @pytest.mark.parametrize("bodies", [8, 16])
    def test_bodies_complete_one_after_another(
        self, teams: int, bodies: int
    ) -> None:
        """Guards against bodies that share the memory until none fits."""
        account = memory_account.MemoryAccount(_LIMIT_BYTES)
        reading = [
            account.open(_BODY, f"team-{number % teams}", 0.0)
            for number in range(bodies)
        ]
        for charge in reading:
            charge.remaining_bytes = _BODY_BYTES
        while reading:
            granted = 0
            for charge in list(reading):
                decision = memory_decision.decide(
                    account, charge, _STEP_BYTES, now_ms=0.0, waited_ms=0.0
                )
                if decision != memory_decision.Grant():
                    continue
                granted += 1
                account.add(charge, _STEP_BYTES)
                charge.remaining_bytes -= _STEP_BYTES
                if not charge.remaining_bytes:
                    account.close(charge)
                    reading.remove(charge)
            assert granted, f"{len(reading)} bodies block each other"

    def test_stalled_body_is_not_waited_for(self) -> None:
        """Guards against memory that is kept free for a stopped body."""
        account = memory_account.MemoryAccount(_LIMIT_BYTES)
        stalled = _charge(account, "team", _BODY_BYTES // 2)
        stalled.remaining_bytes = _BODY_BYTES // 2
        assert memory_decision.first_body(account, 0.0) is stalled
        now_ms = memory_decision.STALLED_MS
        assert memory_decision.first_body(account, now_ms) is None


class TestCrowdOfManyTeams:
    """48 bodies of 48 teams, which make progress or run already."""

    @pytest.mark.parametrize(
        ("is_running", "small_bodies"),
        # Those that run leave the reserve; others give way beyond it.
        [(True, 200), (False, 400)],
    )
    def test_small_bodies_are_read_at_once(
        self, is_running: bool, small_bodies: int
    ) -> None:
        account = memory_account.MemoryAccount(_LIMIT_BYTES)
        for number in range(48):
            charge = account.open(_BODY, f"crowd-{number}", 0.0)
            _read_body(account, charge, _BODY_BYTES - 1, 0.0)
            charge.is_revocable = not is_running
        for _ in range(small_bodies):
            charge = account.open(_BODY, "other", 1.0)
            assert _read_body(account, charge, _STEP_BYTES, 1.0)


class TestHeads:
    """Heads that are charged to their connections."""

    @pytest.mark.parametrize(
        ("held_fraction", "is_granted"),
        [(0.6, True), (0.85, True), (0.9, False)],
    )
    def test_only_the_reserve_bounds_large_heads(
        self, held_fraction: float, is_granted: bool
    ) -> None:
        """Guards against 503 for long heads while memory is free."""
        account = memory_account.MemoryAccount(_LIMIT_BYTES)
        while account.held_bytes < held_fraction * _LIMIT_BYTES:
            _connection(account, memory_decision.SMALL_BYTES)
        charge = _connection(account, memory_decision.SMALL_BYTES)
        decision = memory_decision.decide(
            account, charge, 2 * _STEP_BYTES, now_ms=0.0, waited_ms=0.0
        )
        assert (decision == memory_decision.Grant()) is is_granted


class TestVictims:
    """Who is disconnected for others."""

    def test_team_with_less_does_not_give_way(self) -> None:
        account = memory_account.MemoryAccount(_BODY_BYTES)
        _charge(account, "little", _BODY_BYTES // 4)
        charge = _charge(account, "much", _BODY_BYTES // 2)
        decision = memory_decision.decide(
            account, charge, _BODY_BYTES, now_ms=9e9, waited_ms=0.0
        )
        assert decision == memory_decision.Wait()

    @pytest.mark.parametrize(
        "kind",
        [_BODY, memory_account.Kind.CONNECTION],
        ids=lambda kind: kind.value,
    )
    def test_stalled_large_body_goes_before_idle_connections(
        self, kind: memory_account.Kind
    ) -> None:
        """Guards against ordinary callers that are closed for hostile ones."""
        account = memory_account.MemoryAccount(_BODY_BYTES)
        hostile = _charge(account, "hostile", _BODY_BYTES // 4)
        hostile.progress_ms = 5_000.0
        while account.free_bytes > 0:
            _connection(account, memory_decision.SMALL_BYTES)
        charge = account.open(kind, "", 9_000.0)
        if kind is memory_account.Kind.CONNECTION:
            charge.team = memory_account.CONNECTIONS
        decision = memory_decision.decide(
            account, charge, _STEP_BYTES, now_ms=9_000.0, waited_ms=0.0
        )
        assert decision == memory_decision.Revoke(hostile)

    def test_idle_connection_goes_when_nothing_else_has_stalled(self) -> None:
        account = memory_account.MemoryAccount(_BODY_BYTES)
        while account.free_bytes > 0:
            _connection(account, memory_decision.SMALL_BYTES)
        charge = _connection(account, 0)
        decision = memory_decision.decide(
            account, charge, _STEP_BYTES, now_ms=9_000.0, waited_ms=0.0
        )
        assert isinstance(decision, memory_decision.Revoke)

    def test_running_request_is_never_revoked(self) -> None:
        account = memory_account.MemoryAccount(_BODY_BYTES)
        _charge(account, "much", _BODY_BYTES).is_revocable = False
        decision = memory_decision.decide(
            account,
            account.open(_BODY, "other", 0.0),
            _BODY_BYTES,
            now_ms=9e9,
            waited_ms=memory_decision.MAX_WAIT_MS,
        )
        assert decision == memory_decision.Refuse()

    def test_single_body_may_exceed_the_account(self) -> None:
        account = memory_account.MemoryAccount(1)
        assert _read_body(account, account.open(_BODY, "", 0.0), 1, 0.0)
        assert memory_decision.fits(account, *_only(account))


class TestFullTable:
    """Who is disconnected for a new connection."""

    @pytest.mark.parametrize(
        ("now_ms", "is_waiting", "is_closed"),
        [
            (memory_decision.STALLED_MS - 1.0, False, False),
            (memory_decision.STALLED_MS, False, True),
            (memory_decision.STALLED_MS, True, False),
        ],
    )
    def test_only_a_stalled_request_is_closed(
        self, now_ms: float, is_waiting: bool, is_closed: bool
    ) -> None:
        """Guards against requests that are closed while they make progress."""
        account = memory_account.MemoryAccount(_LIMIT_BYTES)
        charge = _connection(account, memory_decision.SMALL_BYTES)
        charge.is_waiting = is_waiting
        victim = memory_decision.longest_without_progress([charge], now_ms)
        assert (victim is charge) is is_closed

    def test_idle_connection_is_closed_at_once(self) -> None:
        account = memory_account.MemoryAccount(_LIMIT_BYTES)
        _connection(account, memory_decision.SMALL_BYTES)
        idle = _connection(account, memory_decision.SMALL_BYTES)
        idle.is_idle = True
        charges = account.charges()
        assert memory_decision.longest_without_progress(charges, 1.0) is idle


def _connection(
    account: memory_account.MemoryAccount, size_bytes: int
) -> memory_account.Charge:
    charge = account.open(
        memory_account.Kind.CONNECTION, memory_account.CONNECTIONS, 0.0
    )
    account.add(charge, size_bytes)
    return charge


def _only(
    account: memory_account.MemoryAccount,
) -> tuple[memory_account.Charge, int]:
    (charge,) = account.charges()
    return charge, _BODY_BYTES
