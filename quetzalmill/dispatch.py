"""Sends a request to endpoints until one has run it.

A request that must run at most once is sent again only if the endpoint states
that it did not run it, or if no connection was made.
"""

import random

import trio

from quetzalmill import body_reader
from quetzalmill import clock as clock_module
from quetzalmill import cold_endpoints
from quetzalmill import dispatch_job
from quetzalmill import endpoint_health
from quetzalmill import endpoint_pool
from quetzalmill import endpoint_record
from quetzalmill import endpoint_selection
from quetzalmill import errors
from quetzalmill import gateway_calls
from quetzalmill import gateway_outcomes as outcomes
from quetzalmill import hedged_sending
from quetzalmill import hedging
from quetzalmill import homes as homes_module
from quetzalmill import http_client
from quetzalmill import http_connection
from quetzalmill import http_message
from quetzalmill import http_server
from quetzalmill import logs
from quetzalmill import member_table
from quetzalmill import reply_reader
from quetzalmill import response_memory
from quetzalmill import response_verdicts
from quetzalmill import retry_timeout
from quetzalmill import route_table
from quetzalmill import speed_recorder

MAX_CONNECT_FAILURES = 4
"""Failed connection attempts after which a request is refused."""

STALL_GAP_MULTIPLE = 4.0
"""Multiple of its route's longest gap between events after which a resumable
stream counts as stalled and continues at another endpoint. Callers disconnect
after eight times the gap."""

MIN_REMAINING_MS = 20.0
"""Minimum time left before the deadline for sending a request; no endpoint can
answer in less."""

RETRY_SPREAD_MS = 100.0
"""By how much retries that wait for a cold endpoint's share are spread."""

PROBE_TIMEOUT_MS = 300.0
"""Timeout for the connection that checks whether an endpoint is alive."""

_RETRY_AFTER_RANGE_MS = (100.0, 400.0)
_MISDIRECTED = 421
_SERVER_ERROR = 500

_log = logs.get("dispatch")


class Dispatcher:
    """Sends requests to the endpoints of a pool.

    Args:
        pool: The endpoints.
        client: The connections to them.
        dialect: The codec for the platform's headers.
        clock: The process's clock.
        failure_domain: The gateway's failure domain.
        answers: The bounded memory for buffered responses.
        cold: The requests to cold endpoints; by default none are sent to those
            of services that limit them.
        hedge_limit: The maximum of hedges as a fraction of the requests of safe
            routes; 0 for none.
    """

    def __init__(
        self,
        pool: endpoint_pool.EndpointPool,
        client: http_client.HttpClient,
        dialect: gateway_calls.Dialect,
        clock: clock_module.Clock,
        failure_domain: str,
        answers: response_memory.ResponseMemory,
        cold: cold_endpoints.ColdEndpoints | None = None,
        hedge_limit: float = 0.0,
    ) -> None:
        self._pool = pool
        self._client = client
        self._dialect = dialect
        self._clock = clock
        self._random = random.Random()
        self._latencies = endpoint_health.AverageLatencies()
        self.recorder = speed_recorder.SpeedRecorder(failure_domain)
        self._retry_timeout = retry_timeout.RetryTimeout()
        self._bodies = body_reader.BodyReader(
            answers, self._retry_timeout, clock
        )
        self._cold = cold or cold_endpoints.ColdEndpoints(
            pool, member_table.MemberTable(""), "", clock
        )
        self._replies = reply_reader.ReplyReader(
            pool, dialect, clock, self._cold
        )
        self._selector = endpoint_selection.EndpointSelector(
            pool,
            self._cold,
            self.recorder,
            self._latencies,
            clock,
            failure_domain,
            self._random,
        )
        self.prefixes = self._selector.prefixes
        self._hedged = hedged_sending.HedgedSender(
            hedging.Hedging(hedge_limit),
            self._selector,
            pool,
            self._latencies,
            clock,
            self._attempt,
        )

    async def run(
        self, job: dispatch_job.Job, exchange: http_server.Exchange
    ) -> outcomes.Outcome:
        """Runs a request; relays a stream as it arrives."""
        outcome = await self._run(job, exchange)
        if job.relay.started and not isinstance(outcome, outcomes.Streamed):
            # The response head has been sent, so the only way to report a
            # failure is an incomplete stream.
            return job.relay.outcome(complete=False)
        return outcome

    async def _run(
        self, job: dispatch_job.Job, exchange: http_server.Exchange
    ) -> outcomes.Outcome:
        reason = "no endpoint is known"
        retry_after_ms = self._random.uniform(*_RETRY_AFTER_RANGE_MS)
        connect_failures = 0
        response_lost = False
        failed: outcomes.Answered | None = None
        while connect_failures < MAX_CONNECT_FAILURES:
            remaining_ms = job.deadline_ms - self._clock.now_ms()
            if remaining_ms < MIN_REMAINING_MS:
                break
            endpoint_state = self._selector.choose(
                job, may_repeat=response_lost and job.route.is_safe
            )
            if endpoint_state is None:
                cold_ms = self._cold.retry_after_ms(job, self._clock.now_ms())
                if cold_ms is not None:
                    reason = "only cold endpoints remain"
                    retry_after_ms = cold_ms + self._random.uniform(
                        0.0, RETRY_SPREAD_MS
                    )
                elif (
                    job.current_homes().regions is not None
                    and not response_lost
                ):
                    reason = homes_module.REASON
                elif not job.tried:
                    reason = (
                        self._selector.reason_without_endpoint(job) or reason
                    )
                break
            job.tried.append(endpoint_state.endpoint.endpoint_id)
            sends_before = job.sends
            outcome = await self._hedged.send(job, endpoint_state, exchange)
            match outcome:
                case dispatch_job.TryNext():
                    reason = outcome.reason
                    connect_failures += job.sends == sends_before
                    if job.sends >= job.route.max_attempts:
                        break
                case dispatch_job.Withheld():
                    reason = outcome.reason
                case dispatch_job.Lost():
                    reason = outcome.reason
                    response_lost = True
                    if not self._may_retry(job):
                        return failed or _unknown(outcome)
                    if outcome.timed_out:
                        self._retry_timeout.record_early_retry()
                case outcomes.Answered(status=status) if (
                    status >= _SERVER_ERROR and self._may_retry(job)
                ):
                    # Another endpoint may succeed; if none does, this
                    # response is returned.
                    failed = outcome
                case outcomes.Streamed(complete=False) if (
                    self._may_retry(job) and not exchange.disconnected
                ):
                    response_lost = True
                    _log.info(
                        "stream_resumed",
                        request_id=job.call.request_id,
                        after=job.relay.last_id or None,
                    )
                case _:
                    return outcome
        if failed is not None:
            return failed
        if response_lost:
            return outcomes.Unknown(status=502, reason=reason)
        return outcomes.Refused(
            status=503, reason=reason, retry_after_ms=retry_after_ms
        )

    def load_per_slot(
        self,
        service: str,
        homes: homes_module.Homes = homes_module.EVERYWHERE,
    ) -> float:
        """Returns a service's load in requests per slot, in some regions."""
        return self._selector.load_per_slot(service, homes)

    def _may_retry(self, job: dispatch_job.Job) -> bool:
        return (
            job.route.is_retryable
            and job.sends < job.route.max_attempts
            and job.deadline_ms - self._clock.now_ms() > MIN_REMAINING_MS
        )

    async def _attempt(
        self,
        job: dispatch_job.Job,
        endpoint_state: endpoint_record.EndpointState,
        exchange: http_server.Exchange,
        progress: dispatch_job.Progress | None,
    ) -> dispatch_job.SendResult:
        """Sends a request to one endpoint and records how it went."""
        sent_ms = self._clock.now_ms()
        endpoint_state.running += 1
        endpoint_state.health.pending_sent_ms.append(sent_ms)
        try:
            return await self._send_request(
                job, endpoint_state, exchange, sent_ms, progress
            )
        except errors.ConnectFailedError as error:
            endpoint_pool.failed(endpoint_state, self._clock.now_ms())
            endpoint_state.health.record_failure(self._clock.now_ms())
            self._cold.record_failed_connection(
                job.service, endpoint_state, error, self._clock.now_ms()
            )
            return dispatch_job.TryNext(str(error))
        except errors.RequestWithdrawnError:
            if self._pool.is_evacuated(endpoint_state):
                return dispatch_job.Withheld("the domain is evacuated")
            return dispatch_job.Withheld("the endpoint leaves")
        except errors.ResponseTimeoutError as error:
            return dispatch_job.Lost(str(error), timed_out=True)
        except errors.HttpError as error:
            if exchange.disconnected:
                return outcomes.CallerLeft()
            endpoint_state.health.record_failure(self._clock.now_ms())
            lost = dispatch_job.Lost(str(error))
        finally:
            endpoint_state.running -= 1
            self._pool.durations.record(
                job.service.name, self._clock.now_ms() - sent_ms
            )
            self._end_pending(endpoint_state, sent_ms)
        # Not while the error is handled: its traceback keeps what was received.
        await self._probe(job, endpoint_state)
        return lost

    def _end_pending(
        self, endpoint_state: endpoint_record.EndpointState, sent_ms: float
    ) -> None:
        """Ends the wait for a response head, unless it has already ended.

        An overdue head counts as a failure of the endpoint whatever ended the
        wait, even if the caller disconnected.
        """
        health = endpoint_state.health
        if sent_ms not in health.pending_sent_ms:
            return
        health.pending_sent_ms.remove(sent_ms)
        now_ms = self._clock.now_ms()
        if now_ms - sent_ms > endpoint_health.OVERDUE_MS:
            health.record_failure(now_ms)

    async def _send_request(
        self,
        job: dispatch_job.Job,
        endpoint_state: endpoint_record.EndpointState,
        exchange: http_server.Exchange,
        sent_ms: float,
        progress: dispatch_job.Progress | None,
    ) -> dispatch_job.SendResult:
        endpoint = endpoint_state.endpoint
        remaining_ms = job.deadline_ms - self._clock.now_ms()
        request = self._dialect.encode_send(
            job.call,
            gateway_calls.Send(
                endpoint_id=endpoint.endpoint_id,
                team=job.team,
                remaining_ms=remaining_ms,
                priority=job.priority,
                body=job.body,
                after_event_id=job.relay.last_id,
            ),
        )
        max_wait_ms = remaining_ms
        if progress is None:
            max_wait_ms = self._retry_timeout.max_wait_ms(
                job.route,
                sends=job.sends,
                has_alternative=job.has_alternative,
                remaining_ms=remaining_ms,
                average_ms=self._latencies.average_ms(job.route.name),
            )
        job.sends += 1
        try:
            async with self._client.stream(
                endpoint.address,
                request,
                timeout_ms=max_wait_ms,
                whole_timeout_ms=remaining_ms + body_reader.STREAM_GRACE_MS,
                idle_timeout_ms=self._idle_ms(job, remaining_ms),
                new_connection=response_verdicts.needs_new_connection(job.call),
                request_name=job.call.request_id,
                hooks=self._replies.hooks(job, endpoint_state),
            ) as response:
                self._end_pending(endpoint_state, sent_ms)
                if progress is not None:
                    progress.has_head = True
                reply, verdict = self._replies.read(
                    job, endpoint_state, response.head
                )
                timer = speed_recorder.Timer(
                    clock=self._clock,
                    sent_ms=sent_ms,
                    is_resumed=job.relay.started,
                )
                outcome = await self._handle_reply(
                    job,
                    endpoint_state,
                    reply,
                    verdict,
                    response,
                    exchange,
                    timer,
                )
                self.recorder.record(
                    job, endpoint_state, reply.load, timer, outcome
                )
                if _ended_by_endpoint(job, exchange):
                    self._record_outcome(job, endpoint_state, outcome, sent_ms)
                response.may_reuse_connection = (
                    endpoint_state.drain_notice is None
                    and response_verdicts.may_keep_connection(reply)
                )
                return outcome
        except (errors.ConnectFailedError, errors.RequestWithdrawnError):
            job.sends -= 1
            raise

    def _idle_ms(self, job: dispatch_job.Job, remaining_ms: float) -> float:
        """Returns the longest gap allowed within an endpoint's response."""
        route = job.route
        may_resume = job.sends < route.max_attempts and job.has_alternative
        if not (route.resumable and may_resume and route.max_event_gap_ms):
            return remaining_ms
        return min(remaining_ms, STALL_GAP_MULTIPLE * route.max_event_gap_ms)

    def _record_outcome(
        self,
        job: dispatch_job.Job,
        endpoint_state: endpoint_record.EndpointState,
        outcome: dispatch_job.SendResult,
        sent_ms: float,
    ) -> None:
        """Counts the result of a send in the health of its endpoint."""
        health, now_ms = endpoint_state.health, self._clock.now_ms()
        match outcome:
            case dispatch_job.TryNext():
                health.record_failure(now_ms, endpoint_health.REFUSAL_WEIGHT)
            case outcomes.Answered(status=status) if status >= _SERVER_ERROR:
                health.record_failure(now_ms)
            case outcomes.Answered():
                health.record_response(now_ms)
                took_ms = now_ms - sent_ms
                ratio = self._latencies.record(job.route.name, took_ms)
                # The reported slowness is counted apart from the average.
                ratio /= endpoint_state.speed.slowness(now_ms)
                health.record_latency(ratio, now_ms)
            case outcomes.Streamed(complete=True):
                health.record_response(now_ms)
            case outcomes.Streamed():
                health.record_failure(now_ms)

    async def _handle_reply(
        self,
        job: dispatch_job.Job,
        endpoint_state: endpoint_record.EndpointState,
        reply: gateway_calls.Reply,
        verdict: response_verdicts.Verdict,
        response: http_connection.StreamedResponse,
        exchange: http_server.Exchange,
        timer: speed_recorder.Timer,
    ) -> dispatch_job.SendResult:
        match verdict:
            case response_verdicts.NotRun():
                await body_reader.discard(response)
                if reply.status == _MISDIRECTED:
                    endpoint_pool.failed(endpoint_state, self._clock.now_ms())
                return dispatch_job.TryNext(
                    f"the endpoint refused with {reply.status}"
                )
            case response_verdicts.Unclear(reason=reason):
                raise errors.BadMessageError(reason)
            case response_verdicts.Unrelated():
                raise errors.BadMessageError("the answer is not to the request")
        endpoint_pool.succeeded(endpoint_state)
        job.ran_on = endpoint_state.endpoint.endpoint_id
        self._selector.record_ran(job, endpoint_state)
        is_stream = job.route.retry_mode is route_table.RetryMode.STREAM
        if is_stream and 200 <= reply.status < 300:
            streamed = await self._bodies.relay(
                job, reply, response, exchange, timer
            )
            if not streamed.complete and _ended_by_endpoint(job, exchange):
                await self._probe(job, endpoint_state)
            return streamed
        body = await self._bodies.read(job, endpoint_state, response)
        return outcomes.Answered(
            status=reply.status, headers=reply.headers, body=body
        )

    async def _probe(
        self,
        job: dispatch_job.Job,
        endpoint_state: endpoint_record.EndpointState,
    ) -> None:
        """Checks by connecting whether an endpoint has died."""
        address = endpoint_state.endpoint.address
        host, port = http_message.split_address(address)
        try:
            with trio.fail_after(PROBE_TIMEOUT_MS / 1000.0):
                stream = await trio.open_tcp_stream(host, port)
                await stream.aclose()
        except (OSError, trio.TooSlowError) as error:
            endpoint_pool.failed(endpoint_state, self._clock.now_ms())
            self._cold.record_failed_connection(
                job.service, endpoint_state, error, self._clock.now_ms()
            )
            job.endpoint_died = True
            _log.warning(
                "endpoint_died",
                request_id=job.call.request_id,
                endpoint=endpoint_state.endpoint.endpoint_id,
                reason=repr(error),
            )


def _ended_by_endpoint(
    job: dispatch_job.Job, exchange: http_server.Exchange
) -> bool:
    """Returns whether the endpoint, not the caller or a budget, ended it."""
    waits = job.allowance is not None and job.allowance.is_waiting
    return not exchange.disconnected and not waits


def _unknown(lost: dispatch_job.Lost) -> outcomes.Unknown:
    return outcomes.Unknown(
        status=504 if lost.timed_out else 502, reason=lost.reason
    )
