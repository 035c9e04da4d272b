"""Sends a request, and its hedge if ``hedging`` decides on one.

The first complete response wins; the other attempt is cancelled at once, which
closes its connection, so that its endpoint stops work.
"""

from collections.abc import Awaitable, Callable

import attrs
import trio

from quetzalmill import clock as clock_module
from quetzalmill import dispatch_job
from quetzalmill import endpoint_health
from quetzalmill import endpoint_pool
from quetzalmill import endpoint_record
from quetzalmill import endpoint_selection
from quetzalmill import gateway_outcomes as outcomes
from quetzalmill import hedging
from quetzalmill import http_server
from quetzalmill import retry_timeout

_SERVER_ERROR = 500

Send = Callable[
    [
        dispatch_job.Job,
        endpoint_record.EndpointState,
        http_server.Exchange,
        dispatch_job.Progress | None,
    ],
    Awaitable[dispatch_job.SendResult],
]


@attrs.frozen(kw_only=True, eq=False)
class _Attempt:
    """One of the two attempts, at one endpoint."""

    endpoint_state: endpoint_record.EndpointState
    sent_ms: float
    progress: dispatch_job.Progress = attrs.field(factory=dispatch_job.Progress)


_Ended = tuple[_Attempt, dispatch_job.SendResult]


class HedgedSender:
    """Sends requests of safe routes with hedges, all others without.

    Args:
        decider: Decides on hedges.
        selector: Selects endpoints.
        pool: The endpoints.
        latencies: The average latencies of routes.
        clock: The process's clock.
        send: Sends a request to one endpoint. With a progress, it waits for the
            response until the request's deadline.
    """

    def __init__(
        self,
        decider: hedging.Hedging,
        selector: endpoint_selection.EndpointSelector,
        pool: endpoint_pool.EndpointPool,
        latencies: endpoint_health.AverageLatencies,
        clock: clock_module.Clock,
        send: Send,
    ) -> None:
        self._hedging = decider
        self._selector = selector
        self._pool = pool
        self._latencies = latencies
        self._clock = clock
        self._send = send

    async def send(
        self,
        job: dispatch_job.Job,
        endpoint_state: endpoint_record.EndpointState,
        exchange: http_server.Exchange,
    ) -> dispatch_job.SendResult:
        """Sends a request to an endpoint, and perhaps to another one."""
        route = self._hedging.enabled_route(job.route)
        if route is None:
            return await self._send(job, endpoint_state, exchange, None)
        if len(job.tried) == 1:
            self._hedging.count_request()
        now_ms = self._clock.now_ms()
        first = _Attempt(endpoint_state=endpoint_state, sent_ms=now_ms)
        delay_ms = self._hedging.delay_ms(route, now_ms)
        max_wait_ms = retry_timeout.MAX_WAIT_FRACTION * (
            job.deadline_ms - now_ms
        )
        if (
            delay_ms is None
            or delay_ms >= max_wait_ms
            or job.sends + 1 >= job.route.max_attempts
        ):
            result = await self._send(job, endpoint_state, exchange, None)
            self._record(route, first, result)
            return result
        return await self._race(
            job, route, first, exchange, delay_ms, max_wait_ms
        )

    async def _race(
        self,
        job: dispatch_job.Job,
        route: hedging.SafeRoute,
        first: _Attempt,
        exchange: http_server.Exchange,
        delay_ms: float,
        max_wait_ms: float,
    ) -> dispatch_job.SendResult:
        may_give_up = job.has_alternative
        sender, ended = trio.open_memory_channel[_Ended](2)

        async def run(attempt: _Attempt) -> None:
            result = await self._send(
                job, attempt.endpoint_state, exchange, attempt.progress
            )
            self._record(route, attempt, result)
            sender.send_nowait((attempt, result))

        hedge: _Attempt | None = None
        winner: _Ended | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run, first)
            with trio.move_on_after(delay_ms / 1000.0):
                winner = await ended.receive()
            if winner is None:
                hedge = self._choose_hedge(job, route, first)
            if hedge is not None:
                nursery.start_soon(run, hedge)
            elif winner is None and may_give_up:
                # Without a hedge, the next endpoint gets the rest of the time.
                with trio.move_on_after((max_wait_ms - delay_ms) / 1000.0):
                    winner = await ended.receive()
                if winner is None and not first.progress.has_head:
                    overdue = dispatch_job.Lost(
                        "no response in time", timed_out=True
                    )
                    self._record(route, first, overdue)
                    winner = first, overdue
            if winner is None:
                winner = await ended.receive()
            if hedge is not None and not _is_final(winner[1]):
                other = await ended.receive()
                if _is_final(other[1]) or _rank(other[1]) < _rank(winner[1]):
                    winner = other
            nursery.cancel_scope.cancel()
        attempt, result = winner
        if hedge is not None:
            self._end_race(job, route, first, hedge, winner, delay_ms)
        if isinstance(result, outcomes.Answered):
            job.ran_on = attempt.endpoint_state.endpoint.endpoint_id
        return result

    def _choose_hedge(
        self,
        job: dispatch_job.Job,
        route: hedging.SafeRoute,
        first: _Attempt,
    ) -> _Attempt | None:
        now_ms = self._clock.now_ms()
        usable = self._pool.usable(
            job.service.name, now_ms, job.current_homes()
        )
        decision = self._hedging.decide(
            route,
            sends=job.sends,
            tried=job.tried,
            failure_domain=first.endpoint_state.endpoint.failure_domain,
            candidates=[
                hedging.Candidate(
                    endpoint_id=known.endpoint.endpoint_id,
                    failure_domain=known.endpoint.failure_domain,
                    load=self._pool.estimated_load(known, now_ms),
                    slots=known.endpoint.slots,
                )
                for known in usable
            ],
        )
        match decision:
            case hedging.NoHedge(reason=reason):
                job.hedge = reason.value
                return None
            case hedging.Hedge(endpoint_ids=endpoint_ids):
                chosen = self._selector.choose(
                    job, may_repeat=False, among=endpoint_ids
                )
        if chosen is None:
            job.hedge = hedging.Reason.NO_ENDPOINT.value
            return None
        job.tried.append(chosen.endpoint.endpoint_id)
        return _Attempt(endpoint_state=chosen, sent_ms=now_ms)

    def _end_race(
        self,
        job: dispatch_job.Job,
        route: hedging.SafeRoute,
        first: _Attempt,
        hedge: _Attempt,
        winner: _Ended,
        delay_ms: float,
    ) -> None:
        """Records who won, and the latency of a cancelled attempt."""
        attempt, result = winner
        if isinstance(result, outcomes.CallerLeft):
            job.hedge = "caller_left"
            return
        if not _is_final(result):
            job.hedge = "both_failed"
            return
        job.hedge = "first_won" if attempt is first else "hedge_won"
        loser = hedge if attempt is first else first
        now_ms = self._clock.now_ms()
        took_ms = now_ms - loser.sent_ms
        # A shorter time says nothing of how slow the response would have been.
        if took_ms < delay_ms or loser.progress.has_ended:
            return
        self._hedging.record(route, took_ms, now_ms)
        average_ms = self._latencies.average_ms(route.name)
        if average_ms > 0.0:
            state = loser.endpoint_state
            ratio = took_ms / average_ms / state.speed.slowness(now_ms)
            state.health.record_latency(ratio, now_ms)

    def _record(
        self,
        route: hedging.SafeRoute,
        attempt: _Attempt,
        result: dispatch_job.SendResult,
    ) -> None:
        attempt.progress.has_ended = True
        timed_out = isinstance(result, dispatch_job.Lost) and result.timed_out
        if _rank(result) == 0 or timed_out:
            now_ms = self._clock.now_ms()
            self._hedging.record(route, now_ms - attempt.sent_ms, now_ms)


def _is_final(result: dispatch_job.SendResult) -> bool:
    """Returns whether a result ends the request, so nothing else can win."""
    return _rank(result) == 0 or isinstance(result, outcomes.CallerLeft)


def _rank(result: dispatch_job.SendResult) -> int:
    """Returns the order of results, that of the best one first.

    A lost response precedes a refusal, as the request may have run.
    """
    match result:
        case outcomes.Answered(status=status):
            return 0 if status < _SERVER_ERROR else 1
        case dispatch_job.TryNext():
            return 3
        case dispatch_job.Withheld():
            return 4
        case _:
            return 2
