"""Reads the bodies of endpoints' responses, and relays streams.

Load pattern: a faulty endpoint sends a sound head and then a body that does not
end, byte by byte or as fast as it can, while others respond as usual.
"""

import contextlib

import trio

from quetzalmill import clock as clock_module
from quetzalmill import dispatch_job
from quetzalmill import endpoint_record
from quetzalmill import errors
from quetzalmill import gateway_calls
from quetzalmill import gateway_outcomes as outcomes
from quetzalmill import http_connection
from quetzalmill import http_server
from quetzalmill import logs
from quetzalmill import response_memory
from quetzalmill import retry_timeout
from quetzalmill import speed_recorder
from quetzalmill import stream_body

STREAM_GRACE_MS = 100.0
"""How long a stream may continue after its deadline. Endpoints stop at the
deadline themselves, so only a faulty one still sends."""

MAX_DISCARD_MS = 50.0
"""How long the rest of a refusal may take to arrive. Its request waits for it,
only so that the connection can be reused."""

MAX_DISCARDED_BYTES = 65_536
"""The most of it that is read."""

_log = logs.get("dispatch")


class BodyReader:
    """Reads bodies within the time and the memory that they may take.

    Args:
        memory: The memory of the bodies.
        timeout: Decides how long a body may keep its request waiting.
        clock: The process's clock.
    """

    def __init__(
        self,
        memory: response_memory.ResponseMemory,
        timeout: retry_timeout.RetryTimeout,
        clock: clock_module.Clock,
    ) -> None:
        self._memory = memory
        self._timeout = timeout
        self._clock = clock

    async def read(
        self,
        job: dispatch_job.Job,
        endpoint_state: endpoint_record.EndpointState,
        response: http_connection.StreamedResponse,
    ) -> bytes:
        """Reads a body; one that is too slow counts against its endpoint.

        Raises:
            errors.ResponseTimeoutError: It did not end in time.
            errors.HttpError: It was cut off, is malformed or too large.
        """
        max_wait_ms = self._timeout.max_body_wait_ms(
            job.route,
            sends=job.sends,
            has_alternative=job.has_alternative,
            remaining_ms=job.deadline_ms - self._clock.now_ms(),
        )
        with trio.move_on_after(max(0.0, max_wait_ms) / 1000.0):
            return await self._memory.read(response)
        endpoint_state.health.record_failure(self._clock.now_ms())
        raise errors.ResponseTimeoutError("the response did not end in time")

    async def relay(
        self,
        job: dispatch_job.Job,
        reply: gateway_calls.Reply,
        response: http_connection.StreamedResponse,
        exchange: http_server.Exchange,
        timer: speed_recorder.Timer,
    ) -> outcomes.Streamed:
        """Relays a stream to the caller, without ending the response."""
        relay = job.relay
        if relay.started:
            relay.resume()
        else:
            relay.start(reply.status)
            await exchange.start_stream(reply.status, reply.headers)
        remaining_ms = job.deadline_ms + STREAM_GRACE_MS - self._clock.now_ms()
        charge = self._memory.open_charge()
        try:
            with trio.fail_after(max(0.0, remaining_ms) / 1000.0):
                await stream_body.relay(job, response, exchange, timer, charge)
        except (errors.HttpError, trio.TooSlowError) as error:
            _log.info(
                "stream_broke_off",
                request_id=job.call.request_id,
                reason=repr(error),
            )
            relay.discard_incomplete()
            return relay.outcome(complete=False)
        finally:
            charge.close()
        return relay.outcome(complete=True)


async def discard(response: http_connection.StreamedResponse) -> None:
    """Reads a body that is not needed, so that its connection can be reused.

    One that is long, slow or broken is left; its connection is then closed.
    """
    remaining_bytes = MAX_DISCARDED_BYTES
    with (
        trio.move_on_after(MAX_DISCARD_MS / 1000.0),
        contextlib.suppress(errors.HttpError),
    ):
        async for chunk in response:
            remaining_bytes -= len(chunk)
            if remaining_bytes < 0:
                return
