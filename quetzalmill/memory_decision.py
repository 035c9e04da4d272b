"""Decides who may take memory, who waits, and who is disconnected.

Load pattern: many callers that nobody controls send large bodies at the same
time, mostly stop just before the end, and keep their connections open; others
do not read their responses. Ordinary callers send small requests meanwhile.
"""

from collections.abc import Iterable

import attrs

from quetzalmill import memory_account

SMALL_BYTES = 24_576
"""A charge of this size is small: a connection with a head of the default
limit, or a body of several times the usual size."""

RESERVE_FRACTION = 0.125
"""The fraction of the account that only small charges may take, so that an
ordinary request is served while large ones hold the rest."""

TEAM_FACTOR = 2.0
"""A team may hold this many times of what it leaves free: two thirds if it is
alone, so that another team always finds memory."""

STALLED_MS = 1_000.0
"""A party without progress for this long is disconnected if others need its
memory; several times the longest pause of TCP after one lost packet."""

MAX_WAIT_MS = 2_000.0
"""How long a body waits for memory in total before it is refused; half of the
usual deadline of a request, so that a retry elsewhere is still in time."""


@attrs.frozen
class Grant:
    """The memory may be taken."""


@attrs.frozen
class Revoke:
    """Another charge is to be closed first.

    Attributes:
        victim: That charge; its party is disconnected.
    """

    victim: memory_account.Charge


@attrs.frozen
class Wait:
    """Nothing can be taken now, but memory may become free."""


@attrs.frozen
class Refuse:
    """The request is refused; it has not run."""


Decision = Grant | Revoke | Wait | Refuse


def order(charge: memory_account.Charge) -> tuple[int, int]:
    """Returns the sort key of bodies: least still to come, then oldest."""
    return charge.remaining_bytes, charge.number


def first_body(
    account: memory_account.MemoryAccount, now_ms: float
) -> memory_account.Charge | None:
    """Returns the large body that is to be completed before others.

    None if there is none that makes progress or waits for memory.
    """
    return min(
        (
            each
            for each in account.charges()
            if each.kind is memory_account.Kind.BODY
            and each.is_revocable
            and each.remaining_bytes > 0
            and each.held_bytes > SMALL_BYTES
            and (each.is_waiting or now_ms - each.progress_ms < STALLED_MS)
        ),
        key=order,
        default=None,
    )


def fits(
    account: memory_account.MemoryAccount,
    charge: memory_account.Charge,
    more_bytes: int,
    first: memory_account.Charge | None = None,
) -> bool:
    """Returns whether a charge may grow without any other one being closed.

    Args:
        account: All charges.
        charge: The one that is to grow.
        more_bytes: By how much.
        first: The body from ``first_body``. Other large bodies leave free all
            that it still needs; if all took a step each in turn, none could be
            completed.
    """
    connections = memory_account.Kind.CONNECTION
    others_bytes = account.held_bytes - charge.held_bytes
    if charge.kind is not connections and others_bytes <= account.held_by_kind(
        connections
    ):
        # A single request is served however small the host is.
        return True
    free_bytes = account.free_bytes - more_bytes
    if charge.held_bytes + more_bytes <= SMALL_BYTES:
        return free_bytes >= 0
    free_bytes -= int(RESERVE_FRACTION * account.limit_bytes)
    if charge.kind is connections:
        # They are of many callers, so they have no limit of a team.
        return free_bytes >= 0
    team_bytes = account.held_by_team(charge.team) + more_bytes
    if charge is first:
        # Bodies of several teams would otherwise reach the limits of their
        # teams together and block each other.
        alone_bytes = (1.0 - RESERVE_FRACTION) * account.limit_bytes
        alone_bytes *= TEAM_FACTOR / (1.0 + TEAM_FACTOR)
        if team_bytes <= alone_bytes and free_bytes >= 0:
            return True
    elif (
        first is not None
        and charge.kind is memory_account.Kind.BODY
        and order(first) < order(charge)
    ):
        free_bytes -= first.remaining_bytes
        if first.team == charge.team:
            team_bytes += first.remaining_bytes
    return team_bytes <= TEAM_FACTOR * free_bytes


def decide(
    account: memory_account.MemoryAccount,
    charge: memory_account.Charge,
    more_bytes: int,
    *,
    now_ms: float,
    waited_ms: float,
) -> Decision:
    """Decides on a charge that is to grow.

    Args:
        account: All charges.
        charge: The one that is to grow.
        more_bytes: By how much.
        now_ms: The current time.
        waited_ms: How long it has waited for memory in total.
    """
    if fits(account, charge, more_bytes, first_body(account, now_ms)):
        return Grant()
    victim = find_victim(
        account,
        charge,
        now_ms=now_ms,
        is_small=charge.held_bytes + more_bytes <= SMALL_BYTES,
    )
    if victim is not None:
        return Revoke(victim)
    return Refuse() if waited_ms >= MAX_WAIT_MS else Wait()


def find_victim(
    account: memory_account.MemoryAccount,
    charge: memory_account.Charge,
    *,
    now_ms: float,
    is_small: bool,
) -> memory_account.Charge | None:
    """Returns the charge to close for another one; None if there is none.

    Large charges come before small ones, and connections last. Of these it is
    one of the team that holds most, the one without progress longest, then the
    one with most still to come. A team gives way only to those that hold no
    more than it does; connections are of many callers, so what has stalled
    gives way to them in any case. Small charges also displace large ones that
    make progress.
    """
    own_bytes = account.held_by_team(charge.team)
    connections = memory_account.Kind.CONNECTION
    best: memory_account.Charge | None = None
    best_rank = (False, False, 0, 0.0, 0)
    for each in account.charges():
        if each is charge or not each.is_revocable or not each.held_bytes:
            continue
        team_bytes = account.held_by_team(each.team)
        is_large = each.held_bytes > SMALL_BYTES
        stalled_ms = 0.0 if each.is_waiting else now_ms - each.progress_ms
        is_stalled = stalled_ms >= STALLED_MS
        if not is_stalled and not (is_small and is_large):
            continue
        if team_bytes < own_bytes and not (
            charge.kind is connections and is_stalled and is_large
        ):
            continue
        rank = (
            is_large,
            each.kind is not connections,
            team_bytes,
            stalled_ms,
            each.remaining_bytes,
        )
        if best is None or rank > best_rank:
            best, best_rank = each, rank
    return best


def longest_without_progress(
    closable: Iterable[memory_account.Charge], now_ms: float
) -> memory_account.Charge | None:
    """Returns the charge to revoke for a new connection in a full table.

    It is the connection that has been idle, or has stalled in a request that
    has not run, for the longest time; or a response that its caller has
    stopped reading. None if all others run requests or make progress.
    """
    candidates = [
        each
        for each in closable
        if each.is_revocable
        and each.is_open
        and not each.is_waiting
        and (each.is_idle or now_ms - each.progress_ms >= STALLED_MS)
    ]
    return min(candidates, key=lambda each: each.progress_ms, default=None)
