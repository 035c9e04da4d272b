"""A request being dispatched to endpoints, and the results of one send."""

import attrs

from quetzalmill import event_relay
from quetzalmill import gateway_calls
from quetzalmill import gateway_outcomes as outcomes
from quetzalmill import homes as homes_module
from quetzalmill import route_table
from quetzalmill import turn_allowance


@attrs.frozen(kw_only=True)
class EndpointAnswer:
    """The head of a final response, as it is logged.

    Attributes:
        endpoint_id: The endpoint that the request was sent to.
        connection: The numbers of the connection and of its exchange.
        status: The HTTP status.
        correlation: ``own``, ``unnamed`` or ``foreign``, by the request that it
            names.
        verdict: What it was taken for.
    """

    endpoint_id: str
    connection: str
    status: int
    correlation: str
    verdict: str

    def __str__(self) -> str:
        """Returns the form that the log line of a request lists."""
        return (
            f"{self.endpoint_id}@{self.connection}:{self.status}"
            f":{self.correlation}:{self.verdict}"
        )


@attrs.define(kw_only=True, eq=False)
class Job:
    """One request being dispatched.

    Attributes:
        call: The caller's request.
        route: Its route.
        service: The service chosen for it.
        team: The team it runs for; empty on a public route.
        body: The body sent to the endpoint.
        deadline_ms: When the caller or the route stops waiting for it.
        priority: Its priority at the endpoint.
        tried: Endpoints that were chosen for it.
        sends: How many endpoints have received it.
        answers: The heads that came back, skipped ones too.
        has_alternative: Whether another endpoint could get it after the last
            chosen one.
        ran_on: The endpoint that responded last.
        endpoint_died: Whether an endpoint died while running it.
        load: Requests at the last chosen endpoint, without this one.
        uncached_tokens: Prompt tokens not cached there, as estimated.
        relay: The state of its relayed stream.
        allowance: How many tokens it may relay under a token budget; None
            without a budget.
        homes: Its home regions; None for all.
        affinity: Whether the last chosen endpoint was a preferred one for its
            object, ``preferred`` or ``other``; empty without a preference.
        hedge: What became of its last hedge: ``first_won``, ``hedge_won``,
            ``both_failed``, ``caller_left``, or why none was sent; empty if it
            was not slow.
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
    answers: list[EndpointAnswer] = attrs.field(factory=list)
    has_alternative: bool = False
    ran_on: str = ""
    endpoint_died: bool = False
    load: int = 0
    uncached_tokens: int = 0
    relay: event_relay.EventRelay = attrs.field(factory=event_relay.EventRelay)
    allowance: turn_allowance.Allowance | None = None
    homes: homes_module.RequestHomes | None = None
    affinity: str = ""
    hedge: str = ""

    def current_homes(self) -> homes_module.Homes:
        """Returns the regions whose endpoints may get it now."""
        if self.homes is None:
            return homes_module.EVERYWHERE
        return self.homes.current()


@attrs.define(kw_only=True)
class Progress:
    """How far one attempt of a hedged request has come.

    Attributes:
        has_head: Whether the head of the response has arrived.
        has_ended: Whether the attempt has ended by itself.
    """

    has_head: bool = False
    has_ended: bool = False


@attrs.frozen
class TryNext:
    """The request certainly did not run here; another endpoint may get it."""

    reason: str


@attrs.frozen
class Withheld:
    """The request was withdrawn before sending; it used up no attempt."""

    reason: str


@attrs.frozen
class Lost:
    """The response was lost; the request may have run here."""

    reason: str
    timed_out: bool = False


SendResult = outcomes.Outcome | TryNext | Withheld | Lost
