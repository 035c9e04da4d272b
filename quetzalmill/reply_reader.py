"""Reads the heads of endpoints' responses and records what they report."""

from quetzalmill import clock as clock_module
from quetzalmill import dispatch_job
from quetzalmill import endpoint_pool
from quetzalmill import gateway_calls
from quetzalmill import http_connection
from quetzalmill import logs
from quetzalmill import response_claims

_LOG_WORDS: dict[type[response_claims.Claim], str] = {
    response_claims.Unrelated: "skipped",
    response_claims.NotRun: "not_run",
    response_claims.Ran: "ran",
    response_claims.Unclear: "unclear",
}

_log = logs.get("dispatch")


class ReplyReader:
    """Reads the heads of the responses to requests being dispatched.

    Args:
        pool: The endpoints.
        dialect: The codec for the platform's headers.
        clock: The process's clock.
    """

    def __init__(
        self,
        pool: endpoint_pool.EndpointPool,
        dialect: gateway_calls.Dialect,
        clock: clock_module.Clock,
    ) -> None:
        self._pool = pool
        self._dialect = dialect
        self._clock = clock

    def hooks(
        self, job: dispatch_job.Job, endpoint_state: endpoint_pool.EndpointState
    ) -> http_connection.RequestHooks:
        """Returns the callbacks for one send of a request."""

        def on_interim(head: http_connection.ResponseHead) -> None:
            reply = self._decode(job, endpoint_state, head)
            self._record_drain_notice(job, endpoint_state, reply)

        def is_foreign(head: http_connection.ResponseHead) -> bool:
            reply = self._decode(job, endpoint_state, head)
            claim = _claim_of(reply, job, head)
            if not isinstance(claim, response_claims.Unrelated):
                return False
            self._record_skipped(job, endpoint_state, head, reply, claim)
            return True

        return http_connection.RequestHooks(
            may_send=lambda: self._pool.may_send(
                endpoint_state, self._clock.now_ms()
            ),
            on_interim=on_interim,
            is_foreign=is_foreign,
        )

    def read(
        self,
        job: dispatch_job.Job,
        endpoint_state: endpoint_pool.EndpointState,
        head: http_connection.ResponseHead,
    ) -> tuple[gateway_calls.Reply, response_claims.Claim]:
        """Decodes the head of a response and records what it reports.

        Returns the head and what it says of the request.
        """
        reply = self._decode(job, endpoint_state, head)
        claim = _claim_of(reply, job, head)
        self._record_drain_notice(job, endpoint_state, reply)
        match claim:
            case response_claims.NotRun() | response_claims.Ran():
                self._record_load(endpoint_state, reply.load)
        _add_answer(job, endpoint_state, head, reply, claim)
        return reply, claim

    def _decode(
        self,
        job: dispatch_job.Job,
        endpoint_state: endpoint_pool.EndpointState,
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
        endpoint_state: endpoint_pool.EndpointState,
        reply: gateway_calls.Reply,
    ) -> None:
        if reply.is_draining:
            self._pool.record_drain_notice(
                endpoint_state, job.call.request_id, self._clock.now_ms()
            )

    def _record_load(
        self,
        endpoint_state: endpoint_pool.EndpointState,
        load: gateway_calls.Load | None,
    ) -> None:
        if load is not None:
            endpoint_state.reported_running = load.running
            endpoint_state.reported_waiting = load.waiting
            endpoint_state.reported_ms = self._clock.now_ms()

    def _record_skipped(
        self,
        job: dispatch_job.Job,
        endpoint_state: endpoint_pool.EndpointState,
        head: http_connection.ResponseHead,
        reply: gateway_calls.Reply,
        claim: response_claims.Claim,
    ) -> None:
        _add_answer(job, endpoint_state, head, reply, claim)
        _log.warning(
            "foreign_response_skipped",
            request_id=job.call.request_id,
            address=endpoint_state.endpoint.address,
            status=head.status,
        )


def _add_answer(
    job: dispatch_job.Job,
    endpoint_state: endpoint_pool.EndpointState,
    head: http_connection.ResponseHead,
    reply: gateway_calls.Reply,
    claim: response_claims.Claim,
) -> None:
    job.answers.append(
        dispatch_job.EndpointAnswer(
            endpoint_id=endpoint_state.endpoint.endpoint_id,
            connection=f"{head.connection}.{head.exchange}",
            status=head.status,
            names=reply.correlation.value,
            claim=_LOG_WORDS[type(claim)],
        )
    )


def _claim_of(
    reply: gateway_calls.Reply,
    job: dispatch_job.Job,
    head: http_connection.ResponseHead,
) -> response_claims.Claim:
    return response_claims.claim_of(
        reply, job.call, job.route, exchange=head.exchange
    )
