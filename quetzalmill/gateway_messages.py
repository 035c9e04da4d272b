"""Control calls between gateways."""

import attrs

from quetzalmill import control_method
from quetzalmill import conversations
from quetzalmill import program_budgets


@attrs.frozen(kw_only=True)
class ReserveTurn:
    """Asks a program's owner to reserve tokens for a turn.

    Attributes:
        program_id: The program, with its team.
        turn_id: The turn.
        budget_tokens: What all turns of the program may generate.
        most_tokens: What this turn may generate.
        previous_id: The turn that it continues, if the asker lacks it.
        by_parts: Whether the asker asks for the rest before it hands out more
            than was released; gateways of an older release do not.
    """

    program_id: str
    turn_id: str
    budget_tokens: int
    most_tokens: int
    previous_id: str = ""
    by_parts: bool = False


@attrs.frozen(kw_only=True)
class ReserveReply:
    """Whether a turn may run.

    Attributes:
        granted: Whether it may.
        spent: Whether the budget does not hold it; if neither is set, the
            owner cannot tell now.
        reason: Why not.
        holder: The address of a gateway that holds the previous turn; empty
            if the owner knows none.
        is_first: Whether the program has had no turn before.
        ran_on: The endpoint that ran the program's last turn; empty if the
            owner knows none.
        released_tokens: What the turn may hand out before it asks for the
            rest; None if all of it, as from owners of an older release.
    """

    granted: bool
    spent: bool = False
    reason: str = ""
    holder: str = ""
    is_first: bool = False
    ran_on: str = ""
    released_tokens: int | None = None


@attrs.frozen(kw_only=True)
class ReleaseTurn:
    """Asks a program's owner to release the rest of a turn that runs.

    Attributes:
        program_id: The program, with its team.
        turn_id: The turn.
        budget_tokens: What all turns of the program may generate.
        most_tokens: What this turn may generate.
        before_tokens: What was released to it before.
    """

    program_id: str
    turn_id: str
    budget_tokens: int
    most_tokens: int
    before_tokens: int


@attrs.frozen(kw_only=True)
class ReleaseReply:
    """Whether a turn may hand out all that it may generate.

    Attributes:
        granted: Whether it may.
        spent: Whether the budget does not hold it now; if neither is set, the
            owner cannot tell.
        reason: Why not.
    """

    granted: bool
    spent: bool = False
    reason: str = ""


@attrs.frozen(kw_only=True)
class SettleTurn:
    """Tells a program's owner what a turn handed out.

    Attributes:
        program_id: The program, with its team.
        turn_id: The turn.
        used_tokens: What it handed out.
        holder: The address of the gateway that holds the turn; empty if it
            did not end whole or is not kept.
        ran_on: The endpoint that ran it; empty if none did.
    """

    program_id: str
    turn_id: str
    used_tokens: int
    holder: str
    ran_on: str = ""


@attrs.frozen(kw_only=True)
class SettleReply:
    """Says that a turn was settled."""


@attrs.frozen(kw_only=True)
class HandOver:
    """Asks a former owner of a partition for its accounts.

    A peer that still believes itself the owner stops being it, unless it is
    only asked for the epoch.
    """

    part: int
    only_epoch: bool = False


@attrs.frozen(kw_only=True)
class HandOverReply:
    """The accounts of a former owner.

    Attributes:
        epoch: The epoch under which it owned the partition; 0 if it did not.
        accounts: The accounts, by program.
    """

    epoch: int
    accounts: dict[str, program_budgets.Account]


@attrs.frozen(kw_only=True)
class FetchChain:
    """Asks for a chain of turns.

    Attributes:
        turn_id: The newest turn.
        part: The partition that the store keeps the chain in.
        load: Whether to read the store if the chain is not at hand.
    """

    turn_id: str
    part: int
    load: bool


@attrs.frozen(kw_only=True)
class ChainReply:
    """A chain, as far as the peer has it.

    Attributes:
        turns: The turns, oldest first, ending with the newest.
        missing_id: The turn before them that it lacks; empty if whole.
        certain: Whether a missing turn surely does not exist.
        is_too_large: Whether the peer has more than a small call holds.
    """

    turns: list[conversations.Turn]
    missing_id: str
    certain: bool
    is_too_large: bool = False


@attrs.frozen(kw_only=True)
class StoreTurn:
    """Asks a peer to make a turn durable."""

    turn: conversations.Turn


@attrs.frozen(kw_only=True)
class StoreReply:
    """Says whether the turn is durable."""

    durable: bool


@attrs.frozen(kw_only=True)
class FetchTable:
    """Asks for the newest route table."""

    newer_than: int


@attrs.frozen(kw_only=True)
class TableReply:
    """A route table as the operator wrote it; empty if not newer."""

    document: bytes


RESERVE_TURN = control_method.Method(
    name="ReserveTurn", request_type=ReserveTurn, reply_type=ReserveReply
)
RELEASE_TURN = control_method.Method(
    name="ReleaseTurn", request_type=ReleaseTurn, reply_type=ReleaseReply
)
SETTLE_TURN = control_method.Method(
    name="SettleTurn", request_type=SettleTurn, reply_type=SettleReply
)
HAND_OVER = control_method.Method(
    name="HandOver", request_type=HandOver, reply_type=HandOverReply
)
FETCH_CHAIN = control_method.Method(
    name="FetchChain", request_type=FetchChain, reply_type=ChainReply
)
STORE_TURN = control_method.Method(
    name="StoreTurn", request_type=StoreTurn, reply_type=StoreReply
)
FETCH_TABLE = control_method.Method(
    name="FetchTable", request_type=FetchTable, reply_type=TableReply
)
