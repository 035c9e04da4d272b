"""A request on its way to endpoints, and how one send of it may end."""

import attrs

from quetzalmill import event_relay
from quetzalmill import gateway_calls
from quetzalmill import gateway_outcomes as outcomes
from quetzalmill import route_table


@attrs.define(kw_only=True, eq=False)
class Job:
    """One request on its way.

    Attributes:
        call: The caller's request.
        route: Its route.
        service: The service chosen for it.
        team: The team it runs for; empty on a public route.
        body: What the endpoint gets.
        deadline_ms: When the caller or the route gives it up.
        priority: Its rank at the endpoint.
        tried: Endpoints that it was sent to.
        sends: Times that an endpoint got it.
        ran_on: The endpoint that answered last.
        endpoint_died: Whether an endpoint died while it ran there.
        load: Requests at the endpoint that was chosen last, before this one.
        unread_tokens: Prompt tokens that it had to read anew, as estimated.
        relay: What has gone out of its stream.
    """

    call: gateway_calls.Call
    route: route_table.Route
    service: route_table.Service
    team: str
    body: bytes
    deadline_ms: float
    priority: int | None
    tried: list[str] = attrs.field(factory=list)
    sends: int = 0
    ran_on: str = ""
    endpoint_died: bool = False
    load: int = 0
    unread_tokens: int = 0
    relay: event_relay.EventRelay = attrs.field(factory=event_relay.EventRelay)


@attrs.frozen
class TryNext:
    """The request has surely not run here; another endpoint may get it."""

    reason: str


@attrs.frozen
class Withheld:
    """The request was withdrawn before it was sent; nothing is spent."""

    reason: str


@attrs.frozen
class Lost:
    """The request may have run here."""

    reason: str
    timed_out: bool = False


SendResult = outcomes.Outcome | TryNext | Withheld | Lost
