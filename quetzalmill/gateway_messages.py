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
        budget_tokens: The tokens that all turns of the program may generate.
        most_tokens: The token limit of this turn.
        previous_id: The turn that it continues, if the sender lacks it.
        by_parts: Whether the sender requests the remaining tokens before it
            sends more than was released; gateways of an older version do not.
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
        granted: Whether it may run.
        spent: Whether the budget does not cover it; if neither is set, the
            owner cannot decide now.
        reason: Why it may not run.
        holder: The address of a gateway that holds the previous turn; empty
            if the owner knows none.
        is_first: Whether the program has had no turn before.
        ran_on: The endpoint that ran the program's last turn; empty if the
            owner knows none.
        released_tokens: The tokens that the turn may send before it requests
            the remaining ones; None if all of them, as from owners of an older
            version.
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
    """Asks a program's owner to release the remaining tokens of a running turn.

    Attributes:
        program_id: The program, with its team.
        turn_id: The turn.
        budget_tokens: The tokens that all turns of the program may generate.
        most_tokens: The token limit of this turn.
        before_tokens: The tokens that were released to it so far.
    """

    program_id: str
    turn_id: str
    budget_tokens: int
    most_tokens: int
    before_tokens: int


@attrs.frozen(kw_only=True)
class ReleaseReply:
    """Whether a turn may send up to its token limit.

    Attributes:
        granted: Whether it may.
        spent: Whether the budget does not cover it now; if neither is set, the
            owner cannot decide.
        reason: Why it may not.
    """

    granted: bool
    spent: bool = False
    reason: str = ""


@attrs.frozen(kw_only=True)
class SettleTurn:
    """Reports to a program's owner how many tokens a turn sent.

    Attributes:
        program_id: The program, with its team.
        turn_id: The turn.
        used_tokens: The tokens that it sent to the caller.
        holder: The address of the gateway that holds the turn; empty if its
            answer is incomplete or it is not cached.
        ran_on: The endpoint that ran it; empty if none did.
    """

    program_id: str
    turn_id: str
    used_tokens: int
    holder: str
    ran_on: str = ""


@attrs.frozen(kw_only=True)
class SettleReply:
    """Confirms that a turn was settled."""


@attrs.frozen(kw_only=True)
class HandOver:
    """Asks a former owner of a partition for its accounts.

    A peer that still considers itself the owner gives the partition up, unless
    only the epoch is requested.
    """

    part: int
    only_epoch: bool = False


@attrs.frozen(kw_only=True)
class HandOverReply:
    """The accounts of a former owner.

    Attributes:
        epoch: The epoch under which it owned the partition; 0 if it never did.
        accounts: The accounts, by program.
        loss_age_ms: How long ago accounts that these follow on were lost. From
            gateways of an older version as if that were now.
    """

    epoch: int
    accounts: dict[str, program_budgets.Account]
    loss_age_ms: float = 0.0


@attrs.frozen(kw_only=True)
class FetchChain:
    """Asks for a chain of turns.

    Attributes:
        turn_id: The newest turn.
        part: The partition of the store that holds the chain.
        load: Whether to read the store.
    """

    turn_id: str
    part: int
    load: bool


@attrs.frozen(kw_only=True)
class ChainReply:
    """A chain, as far as the peer has it.

    Attributes:
        turns: The turns, oldest first, ending with the newest.
        missing_id: The turn before them that it lacks; empty if complete.
        certain: Whether a missing turn is known not to exist.
        is_too_large: Whether the chain does not fit into a datagram.
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
    """Asks for the newest route table.

    Attributes:
        newer_than: The version that the sender has.
    """

    newer_than: int


@attrs.frozen(kw_only=True)
class TableReply:
    """The route table as the operator wrote it; empty if none is newer."""

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
