"""Reads the heads of endpoints' responses and records what they report."""

from quetzalmill import clock as clock_module
from quetzalmill import cold_endpoints
from quetzalmill import dispatch_job
from quetzalmill import endpoint_pool
from quetzalmill import endpoint_record
from quetzalmill import gateway_calls
from quetzalmill import http_connection
from quetzalmill import logs
from quetzalmill import response_verdicts

_LOG_WORDS: dict[type[response_verdicts.Verdict], str] = {
    response_verdicts.Unrelated: "skipped",
    response_verdicts.NotRun: "not_run",
    response_verdicts.Ran: "ran",
    response_verdicts.Unclear: "unclear",
}

_log = logs.get("dispatch")


class ReplyReader:
    """Reads the heads of the responses to requests being dispatched.

    Args:
        pool: The endpoints.
        dialect: The codec for the platform's headers.
        clock: The process's clock.
        cold: The requests to cold endpoints.
    """

    def __init__(
        self,
        pool: endpoint_pool.EndpointPool,
        dialect: gateway_calls.Dialect,
        clock: clock_module.Clock,
        cold: cold_endpoints.ColdEndpoints,
    ) -> None:
        self._pool = pool
        self._dialect = dialect
        self._clock = clock
        self._cold = cold

    def hooks(
        self,
        job: dispatch_job.Job,
        endpoint_state: endpoint_record.EndpointState,
    ) -> http_connection.RequestHooks:
        """Returns the callbacks for one send of a request."""

        def may_send() -> bool:
            now_ms = self._clock.now_ms()
            return self._pool.may_send(
                endpoint_state, now_ms, job.current_homes()
            ) and self._cold.take(job.service, endpoint_state, now_ms)

        def on_interim(head: http_connection.ResponseHead) -> None:
            reply = self._decode(job, endpoint_state, head)
            self._record_drain_notice(job, endpoint_state, reply)
            self._record_cold(job, endpoint_state, reply)

        def is_unrelated(head: http_connection.ResponseHead) -> bool:
            reply = self._decode(job, endpoint_state, head)
            verdict = _judge(reply, job, head)
            if not isinstance(verdict, response_verdicts.Unrelated):
                return False
            self._record_skipped(job, endpoint_state, head, reply, verdict)
            return True

        return http_connection.RequestHooks(
            may_send=may_send,
            on_interim=on_interim,
            is_unrelated=is_unrelated,
        )

    def read(
        self,
        job: dispatch_job.Job,
        endpoint_state: endpoint_record.EndpointState,
        head: http_connection.ResponseHead,
    ) -> tuple[gateway_calls.Reply, response_verdicts.Verdict]:
        """Decodes the head of a response and records what it reports.

        Returns the head and what it says of the request.
        """
        reply = self._decode(job, endpoint_state, head)
        verdict = _judge(reply, job, head)
        self._record_drain_notice(job, endpoint_state, reply)
        self._record_cold(job, endpoint_state, reply)
        match verdict:
            case response_verdicts.NotRun() | response_verdicts.Ran():
                self._record_load(endpoint_state, reply.load)
        _add_answer(job, endpoint_state, head, reply, verdict)
        return reply, verdict

    def _decode(
        self,
        job: dispatch_job.Job,
        endpoint_state: endpoint_record.EndpointState,
        head: http_connection.ResponseHead,
    ) -> gateway_calls.Reply:
        return self._dialect.decode_reply(
            job.call,
            endpoint_state.endpoint.endpoint_id,
            head.status,
            head.headers,
        )

    def _record_drain_notice(
        self,
        job: dispatch_job.Job,
        endpoint_state: endpoint_record.EndpointState,
        reply: gateway_calls.Reply,
    ) -> None:
        if reply.is_draining:
            self._pool.record_drain_notice(
                endpoint_state, job.call.request_id, self._clock.now_ms()
            )

    def _record_cold(
        self,
        job: dispatch_job.Job,
        endpoint_state: endpoint_record.EndpointState,
        reply: gateway_calls.Reply,
    ) -> None:
        self._cold.record_stated(
            job.service, endpoint_state, reply.cold_ms, self._clock.now_ms()
        )

    def _record_load(
        self,
        endpoint_state: endpoint_record.EndpointState,
        load: gateway_calls.Load | None,
    ) -> None:
        if load is not None:
            endpoint_state.reported_running = load.running
            endpoint_state.reported_waiting = load.waiting
            endpoint_state.reported_ms = self._clock.now_ms()
            endpoint_state.speed.record_slowness(
                load.slowness_percent, endpoint_state.reported_ms
            )

    def _record_skipped(
        self,
        job: dispatch_job.Job,
        endpoint_state: endpoint_record.EndpointState,
        head: http_connection.ResponseHead,
        reply: gateway_calls.Reply,
        verdict: response_verdicts.Verdict,
    ) -> None:
        _add_answer(job, endpoint_state, head, reply, verdict)
        _log.warning(
            "foreign_response_skipped",
            request_id=job.call.request_id,
            address=endpoint_state.endpoint.address,
            status=head.status,
        )


def _add_answer(
    job: dispatch_job.Job,
    endpoint_state: endpoint_record.EndpointState,
    head: http_connection.ResponseHead,
    reply: gateway_calls.Reply,
    verdict: response_verdicts.Verdict,
) -> None:
    job.answers.append(
        dispatch_job.EndpointAnswer(
            endpoint_id=endpoint_state.endpoint.endpoint_id,
            connection=f"{head.connection}.{head.exchange}",
            status=head.status,
            correlation=reply.correlation.value,
            verdict=_LOG_WORDS[type(verdict)],
        )
    )


def _judge(
    reply: gateway_calls.Reply,
    job: dispatch_job.Job,
    head: http_connection.ResponseHead,
) -> response_verdicts.Verdict:
    return response_verdicts.judge(
        reply, job.call, job.route, exchange=head.exchange
    )
