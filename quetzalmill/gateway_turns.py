"""Reserves budgets for turns, finds their stored prompts and stores them.

A request's own headers decide whether it is charged to a budget; its route
only decides whether its conversation is stored.
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
from quetzalmill import homes as homes_module
from quetzalmill import logs
from quetzalmill import peer_calls
from quetzalmill import turn_allowance
from quetzalmill import turn_keeper

SETTLE_TIMEOUT_MS = 3_000.0
"""How long a settlement is sent again. Nobody waits for it, and a program
should not be charged too much because its owner was briefly unreachable."""

_BUDGET_SPENT = 402
_NO_SUCH_TURN = 404
_RETRY_AFTER_MS = 300.0
_OUTAGE_RETRY_RANGE_MS = (700.0, 1_200.0)
_NEXT_OWNER_DELAY_MS = 30.0
_RELEASE_RETRY_MS = 50.0
_MAX_RELEASE_RETRY_MS = 400.0

_SEPARATOR = "/"
_REPLACEMENT = "\x1f"
"""Stands for the separator in a team's name; no name holds it, and the account
stays as short, as it is part of a store key."""

_log = logs.get("gateway_turns")


@attrs.frozen
class Prepared:
    """A turn that is ready to run.

    Attributes:
        body: Its complete prompt.
        cached_at: The endpoint that ran the previous turn; empty if unknown.
        is_start: Whether it is the first turn of a program.
        released_tokens: The tokens that it may send to the caller before it
            requests the release of the rest.
    """

    body: bytes = attrs.field(repr=False)
    cached_at: str
    is_start: bool
    released_tokens: int


class Turns:
    """Prepares and completes the turns that reach one gateway.

    Args:
        state: The gateway's local view.
        source: Finds chains.
        keeper: Stores completed turns durably.
        owners: The budget owner of each partition, used while this gateway
            owns it.
        client: Makes datagram calls to peers.
        nursery: Runs settlements.
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
        max_wait_ms: float,
        by_parts: bool = True,
        homes: homes_module.Homes = homes_module.EVERYWHERE,
    ) -> Prepared | outcomes.Refused:
        """Reserves the budget and finds the chain.

        While no gateway reaches the store, a stored turn could not be
        completed, so it is refused before it uses an engine's time and the
        program's tokens.

        Args:
            call: The turn.
            team: The team that it runs for.
            is_stored: Whether its conversation is stored.
            max_wait_ms: The time after which it is too late to run it.
            by_parts: Whether its response is streamed, so that it can pause
                until the rest of its tokens is released.
            homes: The regions whose gateways may read its conversation.
        """
        if is_stored and self._state.store_is_unavailable():
            return outcomes.Refused(
                status=503,
                reason="the store that keeps turns is away",
                retry_after_ms=self._random.uniform(*_OUTAGE_RETRY_RANGE_MS),
            )
        with trio.move_on_after(max(0.0, max_wait_ms) / 1000.0):
            try:
                return await self._prepare(
                    call, team, is_stored, by_parts, homes
                )
            except trio.Cancelled:
                # It will not run, and the program's next turn needs the tokens.
                self.settle(call, team, 0)
                raise
        return outcomes.Refused(
            status=503,
            reason="its budget and its conversation were not there in time",
            retry_after_ms=_RETRY_AFTER_MS,
        )

    async def _prepare(
        self,
        call: gateway_calls.Call,
        team: str,
        is_stored: bool,
        by_parts: bool,
        homes: homes_module.Homes,
    ) -> Prepared | outcomes.Refused:
        chain = None
        if is_stored and call.previous_turn_id:
            chain = self._source.find_cached(call.previous_turn_id)
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
        found = await self._find(call, team, chain, reserved.holder, homes)
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
        """Returns a turn's allowance; unlimited if it has no budget."""
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
            request_release=lambda: self._wait_for_release(part, message),
        )

    async def end(
        self,
        call: gateway_calls.Call,
        team: str,
        streamed: outcomes.Streamed,
        ran_on: str,
        *,
        timeout_ms: float,
        homes: homes_module.RequestHomes,
    ) -> bool:
        """Stores a complete turn; returns whether it is durable."""
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
        return await self._keeper.make_durable(
            turn, timeout_ms=timeout_ms, current_homes=homes.current
        )

    def settle(
        self,
        call: gateway_calls.Call,
        team: str,
        used_tokens: int,
        *,
        is_stored_here: bool = False,
        ran_on: str = "",
    ) -> None:
        """Replaces a turn's reservation by the tokens that it used.

        Args:
            call: The turn.
            team: The team that it runs for.
            used_tokens: The most tokens that may have reached the caller.
            is_stored_here: Whether this gateway now has it as a stored turn.
            ran_on: The endpoint that ran it; empty if none did.
        """
        if not has_budget(call):
            return
        message = gateway_messages.SettleTurn(
            program_id=_account(call, team),
            turn_id=call.request_id,
            used_tokens=used_tokens,
            holder=self._state.address if is_stored_here else "",
            ran_on=ran_on,
        )
        part = self._state.partition_of(call.program_id)
        # The gateway that has claimed the partition may not be the one that
        # should own it now. A settlement without a reservation has no effect.
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
        homes: homes_module.Homes,
    ) -> list[conversations.Turn] | outcomes.Refused:
        if not call.previous_turn_id:
            return []
        # A program may continue from a turn of an earlier program of its team.
        part = self._state.partition_of(team)
        match chain or await self._source.find(
            call.previous_turn_id, part, holder, homes
        ):
            case chain_source.Found(turns):
                if all(turn.team == team for turn in turns):
                    return turns
                return outcomes.Refused(
                    status=_NO_SUCH_TURN, reason="the turn is another team's"
                )
            case chain_source.NotFound():
                return outcomes.Refused(
                    status=_NO_SUCH_TURN, reason="there is no such turn"
                )
            case chain_source.Undetermined(reason):
                return outcomes.Refused(
                    status=503, reason=reason, retry_after_ms=_RETRY_AFTER_MS
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
            await trio.sleep(_NEXT_OWNER_DELAY_MS / 1000.0)
        self.settle(call, team, 0)
        return outcomes.Refused(
            status=503,
            reason=f"the budget cannot be reserved: {reason}",
            # An outage lasts for seconds, and all that it stops would return
            # at the same time.
            retry_after_ms=self._random.uniform(*_OUTAGE_RETRY_RANGE_MS)
            if self._state.store_is_unavailable()
            else _RETRY_AFTER_MS,
        )

    def _next_owner(self, part: int, asked: set[str]) -> str | None:
        """Returns whom to ask next: the owner, or who claimed the partition.

        When the store becomes unavailable, gateways notice at different times.
        One that has not noticed yet ranks as the owner but cannot claim.
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
        except errors.ControlCallError as error:
            return gateway_messages.ReserveReply(
                granted=False, reason=str(error)
            )
        return reply

    async def _wait_for_release(
        self, part: int, message: gateway_messages.ReleaseTurn
    ) -> None:
        """Returns once an owner has released the rest of a turn's tokens.

        A running turn is not aborted for lack of tokens: its owner may change,
        the store may recover, and other turns may free budget as they end. The
        wait ends with the turn's deadline or when its caller disconnects.
        """
        wait_ms = _RELEASE_RETRY_MS
        while True:
            asked: set[str] = set()
            reason = "no known gateway owns the budget"
            while (owner := self._next_owner(part, asked)) is not None:
                asked.add(owner)
                reply = await self._ask_release(owner, part, message)
                if reply.granted:
                    return
                reason = reply.reason
                if reply.spent:
                    break
            if wait_ms == _RELEASE_RETRY_MS:
                _log.info(
                    "turn_waits_for_tokens",
                    turn_id=message.turn_id,
                    reason=reason,
                )
            await trio.sleep(wait_ms / 1000.0)
            wait_ms = min(2.0 * wait_ms, _MAX_RELEASE_RETRY_MS)

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
        except errors.ControlCallError as error:
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
                ack_timeout_ms=SETTLE_TIMEOUT_MS,
            )
        except errors.ControlCallError as error:
            # The reservation then stays, as an upper bound of what was sent.
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
    return f"{team.replace(_SEPARATOR, _REPLACEMENT)}/{call.program_id}"


def program_of(account: str) -> str:
    """Returns the program id of a budget account; it may hold any character."""
    return account.partition(_SEPARATOR)[2]
