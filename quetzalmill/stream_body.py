"""Relays the body of an endpoint's stream to the caller."""

import trio

from quetzalmill import dispatch_job
from quetzalmill import errors
from quetzalmill import event_relay
from quetzalmill import http_connection
from quetzalmill import http_server
from quetzalmill import response_memory
from quetzalmill import speed_recorder

MAX_BYTES_AT_ONCE = 4_096
"""The most bytes of a stream that are searched for events before other tasks
run. They may hold more than a thousand events."""


async def relay(
    job: dispatch_job.Job,
    response: http_connection.StreamedResponse,
    exchange: http_server.Exchange,
    timer: speed_recorder.Timer | None = None,
    charge: response_memory.ResponseCharge | None = None,
) -> None:
    """Sends the complete events of a body, as far as its budget allows.

    Args:
        job: The request.
        response: The endpoint's response.
        exchange: The caller's request and response.
        timer: Receives the times of the events; None for nobody.
        charge: Where what the relay holds is charged; None for nowhere.

    Raises:
        errors.HttpError: The body broke off, inside an event or before any,
            there is no memory for it, or the caller has disconnected.
    """
    async for piece in response:
        received_ms = 0.0 if timer is None else timer.clock.now_ms()
        for start in range(0, len(piece), MAX_BYTES_AT_ONCE):
            if start:
                await trio.lowlevel.checkpoint()
            events = job.relay.feed(piece[start : start + MAX_BYTES_AT_ONCE])
            if charge is not None:
                _hold(charge, job.relay, events)
            if timer is not None:
                timer.record(len(events.outputs), received_ms)
            if job.allowance is not None:
                await job.allowance.wait_for_release(job.relay, events)
            await exchange.send(events.data)
        if timer is not None:
            timer.held_ms += timer.clock.now_ms() - received_ms
    rest = job.relay.finish()
    if not job.relay.events and not response.is_delimited:
        raise errors.ConnectionLostError("the stream ended without an event")
    await exchange.send(rest)


def _hold(
    charge: response_memory.ResponseCharge,
    relay: event_relay.EventRelay,
    events: event_relay.Events,
) -> None:
    """Charges what the relay holds; without memory takes the events back."""
    try:
        charge.hold(relay.held_bytes)
    except errors.BadMessageError:
        relay.mark_unsent(events)
        raise
