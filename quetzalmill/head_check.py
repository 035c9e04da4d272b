"""Checks the route and the key of a request.

Load pattern: many callers without a valid key send large bodies. The check
needs only the head, so that such bodies are never read.
"""

from collections.abc import Callable
import functools

import attrs

from quetzalmill import errors
from quetzalmill import gateway_calls
from quetzalmill import gateway_outcomes as outcomes
from quetzalmill import gateway_responses
from quetzalmill import gateway_state
from quetzalmill import http_exchange
from quetzalmill import http_message
from quetzalmill import http_server_connection
from quetzalmill import route_table

NO_TABLE_RETRY_MS = 500.0
"""The retry time while no route table, or only an outdated one, is known; a
gateway takes about that long to start."""

RecordRefusal = Callable[
    [gateway_calls.Call, outcomes.Refused, http_exchange.Exchange], None
]
"""Counts and logs a call that was refused."""


@attrs.frozen(kw_only=True)
class Access:
    """What a request may use.

    Attributes:
        route: The route that it matches; None if it matches none.
        team: The name of its team; empty for callers without one.
        refused: Why it is refused; None if it is not.
    """

    route: route_table.Route | None = None
    team: str = ""
    refused: outcomes.Refused | None = None


def check(
    state: gateway_state.GatewayState, call: gateway_calls.Call
) -> Access:
    """Matches the route and the key of a call."""
    table = state.table
    if table is None:
        return Access(
            refused=outcomes.Refused(
                status=503,
                reason="no route table is known yet",
                retry_after_ms=NO_TABLE_RETRY_MS,
            )
        )
    route = table.match(call.host, call.http.path)
    if route is None:
        return Access(refused=_refuse_unmatched(state, 404, "no route matches"))
    team = table.team_for(call.key) if call.key else None
    if team is None and table.teams and not route.public:
        return Access(
            route=route,
            refused=_refuse_unmatched(state, 401, "the key is not known"),
        )
    return Access(route=route, team="" if team is None else team.name)


class HeadCheck:
    """Checks requests of which only the head has been read.

    Args:
        state: The gateway's local view.
        dialect: The protocol spoken with callers.
        record: Records each refusal.
    """

    def __init__(
        self,
        state: gateway_state.GatewayState,
        dialect: gateway_calls.Dialect,
        record: RecordRefusal,
    ) -> None:
        self._state = state
        self._dialect = dialect
        self._record = record

    def check(
        self, request: http_message.Request
    ) -> http_server_connection.Accepted | http_server_connection.Rejected:
        """Returns whether the body may be read."""
        try:
            call = self._dialect.decode_call(request)
        except errors.BadMessageError as error:
            refused = outcomes.Refused(status=error.status, reason=str(error))
            return http_server_connection.Rejected(
                functools.partial(gateway_responses.refuse, refused=refused)
            )
        access = check(self._state, call)
        if access.refused is None:
            return http_server_connection.Accepted(access.team)
        return http_server_connection.Rejected(
            functools.partial(self._refuse, call, access.refused)
        )

    async def _refuse(
        self,
        call: gateway_calls.Call,
        refused: outcomes.Refused,
        exchange: http_exchange.Exchange,
    ) -> None:
        try:
            await gateway_responses.refuse(exchange, refused)
        finally:
            self._record(call, refused, exchange)


def _refuse_unmatched(
    state: gateway_state.GatewayState, status: int, reason: str
) -> outcomes.Refused:
    """Refuses a request for good only if the route table is fresh."""
    if state.table_is_fresh():
        return outcomes.Refused(status=status, reason=reason)
    return outcomes.Refused(
        status=503,
        reason=f"{reason} in a route table that may be out of date",
        retry_after_ms=NO_TABLE_RETRY_MS,
    )
