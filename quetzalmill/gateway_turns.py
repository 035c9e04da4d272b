"""Turns of programs: their budget, their stored prompt, their durable end.

What a request carries decides whether it is charged to a budget; its route
only says whether its conversation is stored.
"""

import random

import attrs
import trio

from quetzalmill import budget_owner
from quetzalmill import chain_source
from quetzalmill import conversations
from quetzalmill import errors
from quetzalmill import gateway_calls
from quetzalmill import gateway_messages
from quetzalmill import gateway_outcomes as outcomes
from quetzalmill import gateway_state
from quetzalmill import logs
from quetzalmill import peer_calls
from quetzalmill import turn_allowance
from quetzalmill import turn_keeper

SETTLE_TIMEOUT_MS = 3_000.0
"""How long a settlement is sent again; nobody waits for it, and a program whose
owner was cut off for a moment should not pay for it."""

_BUDGET_SPENT = 402
_NO_SUCH_TURN = 404
_COME_BACK_MS = 300.0
_STORE_BACK_MS = (700.0, 1_200.0)
_OWNER_CHANGE_MS = 30.0
_RELEASE_AGAIN_MS = 50.0
_RELEASE_AGAIN_MOST_MS = 400.0

_log = logs.get("gateway_turns")


@attrs.frozen
class Prepared:
    """A turn that may run.

    Attributes:
        body: Its whole prompt.
        cached_at: The endpoint that ran the turn before; empty if unknown.
        is_start: Whether it begins a program.
        released_tokens: What it may hand out before it asks for the rest.
    """

    body: bytes = attrs.field(repr=False)
    cached_at: str
    is_start: bool
    released_tokens: int


class Turns:
    """Prepares and ends the turns that reach one gateway.

    Args:
        state: What the gateway believes.
        source: Finds chains.
        keeper: Makes ended turns safe.
        owners: The budgets of each partition, for when this gateway owns it.
        client: The small calls to peers.
        nursery: Where settlements run.
    """

    def __init__(
        self,
        state: gateway_state.GatewayState,
        source: chain_source.ChainSource,
        keeper: turn_keeper.TurnKeeper,
        owners: list[budget_owner.BudgetOwner],
        client: peer_calls.PeerCalls,
        nursery: trio.Nursery,
    ) -> None:
        self._state = state
        self._source = source
        self._keeper = keeper
        self._owners = owners
        self._client = client
        self._nursery = nursery
        self._random = random.Random()

    async def prepare(
        self,
        call: gateway_calls.Call,
        team: str,
        *,
        is_stored: bool,
        patience_ms: float,
        by_parts: bool = True,
    ) -> Prepared | outcomes.Refused:
        """Reserves the budget and finds the chain.

        While no gateway reaches the store, a stored turn could not end, so it
        is refused before it costs an engine's time and the program's tokens.

        Args:
            call: The turn.
            team: The team that it runs for.
            is_stored: Whether its conversation is stored.
            patience_ms: The time after which it could not run any more.
            by_parts: Whether its answer goes out in parts, so that it can wait
                for the rest of its tokens midway.
        """
        if is_stored and self._state.store_is_away():
            return outcomes.Refused(
                status=503,
                reason="the store that keeps turns is away",
                retry_after_ms=self._random.uniform(*_STORE_BACK_MS),
            )
        with trio.move_on_after(max(0.0, patience_ms) / 1000.0):
            try:
                return await self._prepare(call, team, is_stored, by_parts)
            except trio.Cancelled:
                # It will not run; its program's next turn needs the tokens.
                self.settle(call, team, 0)
                raise
        return outcomes.Refused(
            status=503,
            reason="its budget and its conversation were not there in time",
            retry_after_ms=_COME_BACK_MS,
        )

    async def _prepare(
        self,
        call: gateway_calls.Call,
        team: str,
        is_stored: bool,
        by_parts: bool,
    ) -> Prepared | outcomes.Refused:
        chain = None
        if is_stored and call.previous_turn_id:
            chain = self._source.find_here(call.previous_turn_id)
        reserved = await self._reserve(
            call, team, lacks_chain=chain is None, by_parts=by_parts
        )
        if isinstance(reserved, outcomes.Refused):
            return reserved
        if not is_stored:
            return Prepared(
                body=call.http.body,
                cached_at=reserved.ran_on,
                is_start=reserved.is_first,
                released_tokens=_released(reserved, call),
            )
        found = await self._find(call, team, chain, reserved.holder)
        if isinstance(found, outcomes.Refused):
            self.settle(call, team, 0)
            return found
        return Prepared(
            body=conversations.prompt(found, call.http.body),
            cached_at=found[-1].ran_on if found else "",
            is_start=not found,
            released_tokens=_released(reserved, call),
        )

    def allowance(
        self,
        call: gateway_calls.Call,
        team: str,
        prepared: Prepared,
        event_tokens: int,
    ) -> turn_allowance.Allowance:
        """Returns what a turn may hand out; all of it if it has no budget."""
        message = gateway_messages.ReleaseTurn(
            program_id=_account(call, team),
            turn_id=call.request_id,
            budget_tokens=call.budget_tokens or 0,
            most_tokens=call.most_tokens,
            before_tokens=prepared.released_tokens,
        )
        part = self._state.partition_of(call.program_id)
        return turn_allowance.Allowance(
            most_tokens=call.most_tokens,
            released_tokens=prepared.released_tokens,
            event_tokens=event_tokens,
            ask=lambda: self._until_released(part, message),
        )

    async def end(
        self,
        call: gateway_calls.Call,
        team: str,
        streamed: outcomes.Streamed,
        ran_on: str,
        *,
        timeout_ms: float,
    ) -> bool:
        """Returns whether a whole turn is durable, so that it may end."""
        turn = conversations.Turn(
            turn_id=call.request_id,
            team=team,
            program_id=call.program_id,
            previous_id=call.previous_turn_id,
            input=call.http.body,
            outputs=streamed.outputs,
            ended_unix_ms=self._state.clock.unix_ms(),
            ran_on=ran_on,
        )
        return await self._keeper.make_durable(turn, timeout_ms=timeout_ms)

    def settle(
        self,
        call: gateway_calls.Call,
        team: str,
        used_tokens: int,
        *,
        is_kept: bool = False,
        ran_on: str = "",
    ) -> None:
        """Replaces a turn's reservation by what it handed out.

        Args:
            call: The turn.
            team: The team that it runs for.
            used_tokens: What it handed out, at most.
            is_kept: Whether this gateway now holds it as a stored turn.
            ran_on: The endpoint that ran it; empty if none did.
        """
        if not has_budget(call):
            return
        message = gateway_messages.SettleTurn(
            program_id=_account(call, team),
            turn_id=call.request_id,
            used_tokens=used_tokens,
            holder=self._state.address if is_kept else "",
            ran_on=ran_on,
        )
        part = self._state.partition_of(call.program_id)
        # Who holds the partition may not be who seems to own it now. A
        # settlement that finds no reservation changes nothing.
        for owner in {self._state.owner(part), *self._state.holders(part)}:
            if owner == self._state.address:
                self._owners[part].settle(message)
            else:
                self._nursery.start_soon(self._send_settlement, owner, message)

    async def _find(
        self,
        call: gateway_calls.Call,
        team: str,
        chain: chain_source.Found | None,
        holder: str,
    ) -> list[conversations.Turn] | outcomes.Refused:
        if not call.previous_turn_id:
            return []
        # A program may go on from a turn of an earlier one of its team.
        part = self._state.partition_of(team)
        match chain or await self._source.find(
            call.previous_turn_id, part, holder
        ):
            case chain_source.Found(turns):
                if all(turn.team == team for turn in turns):
                    return turns
                return outcomes.Refused(
                    status=_NO_SUCH_TURN, reason="the turn is another team's"
                )
            case chain_source.Absent():
                return outcomes.Refused(
                    status=_NO_SUCH_TURN, reason="there is no such turn"
                )
            case chain_source.CannotTell(reason):
                return outcomes.Refused(
                    status=503, reason=reason, retry_after_ms=_COME_BACK_MS
                )

    async def _reserve(
        self,
        call: gateway_calls.Call,
        team: str,
        *,
        lacks_chain: bool,
        by_parts: bool,
    ) -> outcomes.Refused | gateway_messages.ReserveReply:
        """Returns the owner's reply once the turn's tokens are reserved."""
        if call.budget_tokens is None or not has_budget(call):
            return gateway_messages.ReserveReply(granted=True)
        message = gateway_messages.ReserveTurn(
            program_id=_account(call, team),
            turn_id=call.request_id,
            budget_tokens=call.budget_tokens,
            most_tokens=call.most_tokens,
            previous_id=call.previous_turn_id if lacks_chain else "",
            by_parts=by_parts,
        )
        part = self._state.partition_of(call.program_id)
        reason = ""
        asked: set[str] = set()
        while (owner := self._next_owner(part, asked)) is not None:
            asked.add(owner)
            reply = await self._ask_owner(owner, part, message)
            if reply.granted:
                return reply
            if reply.spent:
                return outcomes.Refused(
                    status=_BUDGET_SPENT, reason=reply.reason
                )
            reason = reply.reason
            await trio.sleep(_OWNER_CHANGE_MS / 1000.0)
        self.settle(call, team, 0)
        return outcomes.Refused(
            status=503,
            reason=f"the budget cannot be reserved: {reason}",
            retry_after_ms=_COME_BACK_MS,
        )

    def _next_owner(self, part: int, asked: set[str]) -> str | None:
        """Returns who to ask next: the owner, or who claimed the partition.

        As the store goes away, some gateways notice later than others, and
        one that has not noticed seems to be the owner but can claim nothing.
        """
        for owner in (self._state.owner(part), *self._state.holders(part)):
            if owner not in asked:
                return owner
        return None

    async def _ask_owner(
        self, owner: str, part: int, message: gateway_messages.ReserveTurn
    ) -> gateway_messages.ReserveReply:
        if owner == self._state.address:
            own = self._owners[part].reserve(message)
            if isinstance(own, gateway_messages.ReserveReply):
                return own
            return await own
        try:
            reply: gateway_messages.ReserveReply = await self._client.call(
                owner,
                gateway_messages.RESERVE_TURN,
                message,
                timeout_ms=budget_owner.RESERVE_TIMEOUT_MS,
            )
        except errors.ControlError as error:
            return gateway_messages.ReserveReply(
                granted=False, reason=str(error)
            )
        return reply

    async def _until_released(
        self, part: int, message: gateway_messages.ReleaseTurn
    ) -> None:
        """Returns once an owner has released the rest of a turn.

        The turn runs, so it is not broken off: its owner may change, the store
        may come back, and turns beside it leave room as they end. Its deadline
        and its caller end the wait.
        """
        wait_ms = _RELEASE_AGAIN_MS
        while True:
            asked: set[str] = set()
            reason = "no gateway is known that owns the budget"
            while (owner := self._next_owner(part, asked)) is not None:
                asked.add(owner)
                reply = await self._ask_release(owner, part, message)
                if reply.granted:
                    return
                reason = reply.reason
                if reply.spent:
                    break
            if wait_ms == _RELEASE_AGAIN_MS:
                _log.info(
                    "turn_waits_for_tokens",
                    turn_id=message.turn_id,
                    reason=reason,
                )
            await trio.sleep(wait_ms / 1000.0)
            wait_ms = min(2.0 * wait_ms, _RELEASE_AGAIN_MOST_MS)

    async def _ask_release(
        self, owner: str, part: int, message: gateway_messages.ReleaseTurn
    ) -> gateway_messages.ReleaseReply:
        if owner == self._state.address:
            own = self._owners[part].release(message)
            if isinstance(own, gateway_messages.ReleaseReply):
                return own
            return await own
        try:
            reply: gateway_messages.ReleaseReply = await self._client.call(
                owner,
                gateway_messages.RELEASE_TURN,
                message,
                timeout_ms=budget_owner.RELEASE_TIMEOUT_MS,
            )
        except errors.ControlError as error:
            return gateway_messages.ReleaseReply(
                granted=False, reason=str(error)
            )
        return reply

    async def _send_settlement(
        self, owner: str, message: gateway_messages.SettleTurn
    ) -> None:
        try:
            await self._client.call(
                owner,
                gateway_messages.SETTLE_TURN,
                message,
                timeout_ms=SETTLE_TIMEOUT_MS,
                sign_ms=SETTLE_TIMEOUT_MS,
            )
        except errors.ControlError as error:
            # The reservation then stands for the most that was handed out.
            _log.info(
                "settlement_lost", turn_id=message.turn_id, reason=str(error)
            )


def has_budget(call: gateway_calls.Call) -> bool:
    """Returns whether a request is charged to its program's budget."""
    return call.budget_tokens is not None and bool(call.program_id)


def _released(
    reply: gateway_messages.ReserveReply, call: gateway_calls.Call
) -> int:
    if reply.released_tokens is None:
        return call.most_tokens
    return reply.released_tokens


def _account(call: gateway_calls.Call, team: str) -> str:
    return f"{team}/{call.program_id}"
