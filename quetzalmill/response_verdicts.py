"""Judges what the head of an endpoint's response may be believed to say.

An endpoint may send the response to an earlier request once more where the next
one is due, whole or cut, or bytes that belong to no request. So a head says
something of a request only if it names that request, and something definite
only if its parts agree. All readers of endpoints' responses decide here.

``http_connection`` does its part before: it rejects heads that contain parts of
two responses, keeps no connection on which bytes are left, and remembers which
requests a connection has carried.
"""

import attrs

from quetzalmill import gateway_calls
from quetzalmill import route_table

_PAYMENT_REQUIRED = 402
_MISDIRECTED = 421
_UNAVAILABLE = 503
_PROMISES = frozenset({408, _MISDIRECTED, 429, _UNAVAILABLE})
"""Statuses that tell a caller that its request has not run and will not."""
_TURN_PROMISES = _PROMISES | {_PAYMENT_REQUIRED}
"""Those of a turn, which 402 refuses if the program's budget is spent."""


@attrs.frozen
class Unrelated:
    """It says nothing of the request, whose own response may follow."""


@attrs.frozen
class NotRun:
    """The endpoint did not run the request and will not."""


@attrs.frozen
class Ran:
    """The endpoint ran the request, and this is its response."""


@attrs.frozen
class Unclear:
    """It is the response to the request, which may or may not have run."""

    reason: str


Verdict = Unrelated | NotRun | Ran | Unclear


def judge(
    reply: gateway_calls.Reply,
    call: gateway_calls.Call,
    route: route_table.Route,
    *,
    exchange: int,
) -> Verdict:
    """Returns what a final response says of the request that was sent.

    Args:
        reply: The head of the response.
        call: The request.
        route: Its route.
        exchange: Which of its connection's requests it is, 1 for the first.
    """
    if not _belongs_to(reply, call, exchange):
        return Unrelated()
    if reply.not_run:
        if reply.is_genuine or not _is_refusal(reply.status):
            return Unclear("the answer says both that it ran and did not run")
        return NotRun()
    if not reply.is_genuine:
        return Unclear("the answer is not the endpoint's")
    if reply.status in _promises(call, route):
        # Passed on, the status would promise what the endpoint did not state.
        return Unclear(f"the endpoint ran it and answered {reply.status}")
    return Ran()


def needs_new_connection(call: gateway_calls.Call) -> bool:
    """Returns whether only a new connection ties responses to a request."""
    return not call.request_id


def may_keep_connection(reply: gateway_calls.Reply) -> bool:
    """Returns whether a connection may carry requests after a response.

    A second copy of a response that names no request could pass for the
    response to a request without an id.
    """
    return reply.correlation is gateway_calls.Correlation.OWN


def speaks_for_endpoint(
    endpoint_id: str,
    answered_by: str | None,
    status: int,
    correlation: gateway_calls.Correlation,
) -> bool:
    """Returns whether a head may be believed about the endpoint itself.

    It may be late and answer another request, or come from another endpoint
    that has taken over the address. One that names no request, such as an
    interim head, still comes from the process at the other end.

    Args:
        endpoint_id: The endpoint that the request was sent to.
        answered_by: The endpoint that the head names; None without one.
        status: The HTTP status.
        correlation: Whose request the head names.
    """
    if answered_by is None and status == _MISDIRECTED:
        return False
    if answered_by not in (None, endpoint_id):
        return False
    return correlation is not gateway_calls.Correlation.FOREIGN


def _belongs_to(
    reply: gateway_calls.Reply, call: gateway_calls.Call, exchange: int
) -> bool:
    match reply.correlation:
        case gateway_calls.Correlation.OWN:
            return True
        case gateway_calls.Correlation.UNNAMED:
            return not call.request_id and exchange == 1
        case gateway_calls.Correlation.FOREIGN:
            return False


def _promises(
    call: gateway_calls.Call, route: route_table.Route
) -> frozenset[int]:
    """Returns the statuses that may not follow a run of the request."""
    if route.is_safe:
        return frozenset()
    is_turn = route.stateful or call.budget_tokens is not None
    return _TURN_PROMISES if is_turn else _PROMISES


def _is_refusal(status: int) -> bool:
    return 400 <= status < 500 or status == _UNAVAILABLE
