"""Serves callers' requests at one gateway."""

import random

import trio

from quetzalmill import crash_counts
from quetzalmill import dispatch
from quetzalmill import dispatch_job
from quetzalmill import engine_rank
from quetzalmill import errors
from quetzalmill import event_relay
from quetzalmill import gateway_calls
from quetzalmill import gateway_metrics
from quetzalmill import gateway_outcomes as outcomes
from quetzalmill import gateway_responses
from quetzalmill import gateway_state
from quetzalmill import gateway_turns
from quetzalmill import head_check
from quetzalmill import homes as homes_module
from quetzalmill import http_message
from quetzalmill import http_server
from quetzalmill import load_control
from quetzalmill import logs
from quetzalmill import route_table
from quetzalmill import shutdown as shutdown_module
from quetzalmill import turn_allowance

CRASHING_RETRY_MS = 60_000.0
"""The retry time of a request that has crashed several endpoints."""

RATE_WAIT_FRACTION = 0.25
"""The fraction of its remaining time that a request may wait for its team's
rate; callers no longer retry after more than a third."""

MAX_START_WAIT_MS = 250.0
"""The longest wait of a program's first turn. The program's deadline is already
running, and once started it uses its team's rate even if it finishes late."""

DURABLE_WRITE_MS = 150.0
"""Time reserved, of a turn's remaining time, for storing it durably."""

_log = logs.get("gateway")


class GatewayHandler:
    """Answers each request of a caller.

    Args:
        state: The gateway's local view.
        dialect: The protocol spoken with callers and endpoints.
        dispatcher: Sends requests to endpoints.
        turns: Prepares and completes turns.
        metrics: Counts requests.
        record_bytes: The size of the store's largest record; 0 if unknown.

    Attributes:
        random: Breaks ties.
        shutdown: Decides what is still taken, and ends it in time.
        check_head: Checks a request before its body is read.
    """

    def __init__(
        self,
        state: gateway_state.GatewayState,
        dialect: gateway_calls.Dialect,
        dispatcher: dispatch.Dispatcher,
        turns: gateway_turns.Turns,
        metrics: gateway_metrics.GatewayMetrics,
        record_bytes: int = 0,
    ) -> None:
        self._state = state
        self._dialect = dialect
        self._dispatcher = dispatcher
        self._turns = turns
        self._metrics = metrics
        self.record_bytes = record_bytes
        self.random = random.Random()
        self.shutdown = shutdown_module.Shutdown()
        self.check_head = head_check.HeadCheck(
            state, dialect, self._record_refusal
        ).check

    async def handle(
        self, request: http_message.Request, exchange: http_server.Exchange
    ) -> None:
        """Answers one request."""
        arrived_ms = self._state.clock.now_ms()
        try:
            call = self._dialect.decode_call(request)
        except errors.BadMessageError as error:
            await gateway_responses.refuse(
                exchange,
                outcomes.Refused(status=error.status, reason=str(error)),
            )
            return
        active = _ActiveRequest(self, call, exchange, arrived_ms)
        outcome: outcomes.Outcome = outcomes.CallerLeft()
        with trio.CancelScope() as scope:
            exchange.cancel_on_disconnect(scope)
            with self.shutdown.limit() as limit:
                outcome = await active.run()
            if limit.cancelled_caught:
                outcome = active.outcome_at_shutdown()
            if self.shutdown.period is not None:
                gateway_responses.close_if_refused(exchange, outcome)
            await gateway_responses.send(
                exchange, outcome, end_is_durable=active.end_is_durable
            )
        if not exchange.started:
            # The caller has disconnected.
            exchange.abort()
        self._record(active, outcome, exchange)

    def _record_refusal(
        self,
        call: gateway_calls.Call,
        refused: outcomes.Refused,
        exchange: http_server.Exchange,
    ) -> None:
        """Records a request that was refused before its body was read."""
        now_ms = self._state.clock.now_ms()
        active = _ActiveRequest(self, call, exchange, now_ms)
        self._record(active, refused, exchange)

    def _record(
        self,
        active: "_ActiveRequest",
        outcome: outcomes.Outcome,
        exchange: http_server.Exchange,
    ) -> None:
        """Counts a request and writes its log line."""
        took_ms = self._state.clock.now_ms() - active.arrived_ms
        kind, detail = outcomes.describe(outcome)
        if kind == "streamed" and not active.end_is_durable:
            kind = "not_durable"
        if exchange.disconnected and kind not in ("refused", "answered"):
            kind = "caller_left"
        job = active.job
        route = "" if active.route is None else active.route.name
        self._metrics.request(kind, route, took_ms)
        if homes_module.is_refusal(outcome):
            self._metrics.home_refusal(route)
        if job is not None:
            self._metrics.dispatched(job)
        table = self._state.table
        _log.info(
            "request",
            request_id=active.call.request_id,
            outcome=kind,
            detail=detail,
            route=route or None,
            team=active.team or None,
            program_id=active.call.program_id or None,
            table=None if table is None else table.version,
            tried=",".join(job.tried) if job else None,
            answers=",".join(map(str, job.answers)) if job else None,
            ready_ms=round(active.prepared_ms - active.arrived_ms)
            if active.prepared_ms
            else None,
            load=job.load if job else None,
            unread=job.uncached_tokens if job else None,
            homes=str(active.homes.current()) or None if active.homes else None,
            affinity=job.affinity or None if job else None,
            hedge=job.hedge or None if job else None,
            took_ms=round(took_ms),
        )

    # Used by _ActiveRequest, which holds the state of one request.

    @property
    def state(self) -> gateway_state.GatewayState:
        """The gateway's local view."""
        return self._state

    @property
    def dispatcher(self) -> dispatch.Dispatcher:
        """Sends requests to endpoints."""
        return self._dispatcher

    @property
    def turns(self) -> gateway_turns.Turns:
        """Prepares and completes turns."""
        return self._turns


class _ActiveRequest:
    """A request that is being served."""

    def __init__(
        self,
        handler: GatewayHandler,
        call: gateway_calls.Call,
        exchange: http_server.Exchange,
        arrived_ms: float,
    ) -> None:
        self._handler = handler
        self._state = handler.state
        self.call = call
        self._exchange = exchange
        self.arrived_ms = arrived_ms
        self.prepared_ms = 0.0
        self.route: route_table.Route | None = None
        self.team = ""
        self.homes: homes_module.RequestHomes | None = None
        self._is_start = False
        self._has_started = bool(call.previous_turn_id)
        self.job: dispatch_job.Job | None = None
        self.end_is_durable = True

    async def run(self) -> outcomes.Outcome:
        """Runs the request and returns its outcome."""
        refused = self._admit()
        if refused is not None:
            return refused
        assert self.route is not None and self._state.table is not None
        table = self._state.table
        self.homes = self._state.homes_of(self.route, self.team)
        picked = self._state.pick_service(
            self.route,
            self.homes.current(),
            self._handler.random,
        )
        if picked is None:
            return homes_module.REFUSED
        service = table.services.get(picked)
        if service is None:
            return outcomes.Refused(
                status=503, reason="the route's service is not configured"
            )
        refused = self._check_shutdown(service)
        if refused is not None:
            return refused
        if self._is_turn():
            return await self._run_turn(service)
        self.prepared_ms = self._state.clock.now_ms()
        return await self._run(service, self.call.http.body, 0.0)

    def _admit(self) -> outcomes.Refused | None:
        """Checks route, key, crashes and rate; returns a refusal or None."""
        access = head_check.check(self._state, self.call)
        self.route, self.team = access.route, access.team
        if self.route is None or access.refused is not None:
            return access.refused
        self._is_start = self.route.stateful and not self._has_started
        if self._state.crashes.is_refused(self._fingerprint()):
            return outcomes.Refused(
                status=503,
                reason="the request has ended several endpoints",
                retry_after_ms=CRASHING_RETRY_MS,
            )
        # The token is taken just before the request is dispatched, as a
        # request that does not run must not use up its team's rate.
        return outcomes.refuse_over_rate(
            self._state.rate_queues.peek(
                self.team,
                is_start=self._is_start,
                max_wait_ms=self._max_rate_wait_ms(),
                route=self._turn_route(),
            )
        )

    def _check_shutdown(
        self, service: route_table.Service
    ) -> outcomes.Refused | None:
        """Returns why a shutdown leaves no time for it; None if it does."""
        period = self._handler.shutdown.period
        if period is None or period.admits(
            self._state.clock.now_ms(),
            deadline_ms=self._deadline_ms(),
            average_ms=self._state.pool.durations.average_ms(service.name),
        ):
            return None
        return outcomes.SHUT_DOWN

    def outcome_at_shutdown(self) -> outcomes.Outcome:
        """Returns the outcome if the shutdown ends the request now."""
        if self.job is None or not self.job.sends:
            return outcomes.SHUT_DOWN
        if self.job.relay.started:
            return self.job.relay.outcome(complete=False)
        return outcomes.Unknown(status=504, reason="the gateway shuts down")

    async def _acquire_rate(self) -> outcomes.Refused | None:
        """Takes a token of the team's rate; returns a refusal or None."""
        return outcomes.refuse_over_rate(
            await self._state.rate_queues.acquire(
                self.team,
                is_start=self._is_start,
                max_wait_ms=self._max_rate_wait_ms(),
                route=self._turn_route(),
            )
        )

    def _is_turn(self) -> bool:
        """Returns whether the request is a turn of a program."""
        assert self.route is not None
        return self.route.stateful or gateway_turns.has_budget(self.call)

    def _turn_route(self) -> str:
        """Returns the route's name for turns; empty for other requests."""
        assert self.route is not None
        return self.route.name if self._is_turn() else ""

    def _max_rate_wait_ms(self) -> float:
        max_wait_ms = max(0.0, RATE_WAIT_FRACTION * self._remaining_ms())
        if self._is_start:
            return min(max_wait_ms, MAX_START_WAIT_MS)
        return max_wait_ms

    async def _run_turn(self, service: route_table.Service) -> outcomes.Outcome:
        assert self.route is not None and self.homes is not None
        turns = self._handler.turns
        is_stored = self.route.stateful
        if is_stored and 0 < self._handler.record_bytes < len(
            self.call.http.body
        ):
            return outcomes.TOO_LARGE_TO_STORE
        refused = self._check_start(service)
        if refused is not None:
            return refused
        reserve_ms = DURABLE_WRITE_MS if is_stored else 0.0
        prepared = await turns.prepare(
            self.call,
            self.team,
            is_stored=is_stored,
            max_wait_ms=self._remaining_ms() - reserve_ms,
            by_parts=self.route.retry_mode is route_table.RetryMode.STREAM,
            homes=self.homes.current(),
        )
        self.prepared_ms = self._state.clock.now_ms()
        if isinstance(prepared, outcomes.Refused):
            return prepared
        if prepared.is_start and not self._is_start:
            # If the conversation is not stored, only the budget's owner knows
            # whether the turn is the program's first.
            self._is_start = True
            refused = self._check_start(service)
            if refused is not None:
                turns.settle(self.call, self.team, 0)
                return refused
        self._has_started = not prepared.is_start
        if prepared.cached_at:
            # The previous turn may have gone through another gateway.
            self._handler.dispatcher.prefixes.record(
                prepared.cached_at, self.call.prompt_parts[:-1]
            )
        used_tokens: int | None = None  # Unknown: all that was released.
        is_stored_here = False
        allowance = turns.allowance(
            self.call, self.team, prepared, service.event_tokens
        )
        try:
            outcome = await self._run(
                service, prepared.body, reserve_ms, allowance
            )
            match outcome:
                case outcomes.Streamed():
                    used_tokens = outcome.events * service.event_tokens
                    if outcome.complete and is_stored:
                        self.end_is_durable = await self._make_durable(outcome)
                        is_stored_here = self.end_is_durable
                case outcomes.Answered():
                    used_tokens = self.call.most_tokens
                case outcomes.Refused():
                    used_tokens = 0
            return outcome
        finally:
            turns.settle(
                self.call,
                self.team,
                allowance.released_tokens
                if used_tokens is None
                else used_tokens,
                is_stored_here=is_stored_here,
                ran_on="" if self.job is None else self.job.ran_on,
            )

    def _check_start(
        self, service: route_table.Service
    ) -> outcomes.Refused | None:
        """Returns why a program may not start now; None if it may."""
        assert self._state.table is not None and self.homes is not None
        if not self._is_start or not service.is_engine:
            return None
        decision = load_control.admit_program(
            self._handler.dispatcher.load_per_slot(
                service.name, self.homes.current()
            ),
            rank=self._operator_priority(),
            lowest_rank=self._state.table.lowest_priority(service.name),
            random_source=self._handler.random,
        )
        if decision.admitted:
            return None
        return outcomes.Refused(
            status=503,
            reason=f"the engines hold {decision.load_per_slot:.2f} "
            "requests a slot",
            retry_after_ms=decision.retry_after_ms,
        )

    async def _make_durable(self, streamed: outcomes.Streamed) -> bool:
        assert self.homes is not None
        return await self._handler.turns.end(
            self.call,
            self.team,
            streamed,
            "" if self.job is None else self.job.ran_on,
            timeout_ms=max(DURABLE_WRITE_MS, self._remaining_ms()),
            homes=self.homes,
        )

    async def _run(
        self,
        service: route_table.Service,
        body: bytes,
        reserve_ms: float,
        allowance: turn_allowance.Allowance | None = None,
    ) -> outcomes.Outcome:
        assert self.route is not None
        is_chain = len(body) > len(self.call.http.body)
        if is_chain and not self._exchange.hold_prompt(len(body)):
            return outcomes.NO_MEMORY
        refused = await self._acquire_rate()
        if refused is not None:
            return refused
        self.job = dispatch_job.Job(
            call=self.call,
            route=self.route,
            service=service,
            team=self.team,
            body=body,
            deadline_ms=self._deadline_ms() - reserve_ms,
            priority=self._priority() if service.is_engine else None,
            relay=event_relay.EventRelay(keeps_outputs=self.route.stateful),
            allowance=allowance,
            homes=self.homes,
        )
        outcome = await self._handler.dispatcher.run(self.job, self._exchange)
        self._count_crashes(outcome)
        return outcome

    def _deadline_ms(self) -> float:
        assert self.route is not None
        limit_ms = self.route.timeout_ms
        if self.call.deadline_ms is not None:
            limit_ms = min(limit_ms, self.call.deadline_ms)
        return self.arrived_ms + limit_ms

    def _remaining_ms(self) -> float:
        return self._deadline_ms() - self._state.clock.now_ms()

    def _operator_priority(self) -> int:
        assert self.route is not None and self._state.table is not None
        team = self._state.table.teams.get(self.team)
        if team is not None and team.priority is not None:
            return team.priority
        return self.route.priority

    def _priority(self) -> int:
        remaining_ms = self.call.program_remaining_ms
        if remaining_ms is not None:
            remaining_ms -= self._state.clock.now_ms() - self.arrived_ms
        return engine_rank.rank(
            self._operator_priority(),
            is_under_way=self._has_started,
            program_remaining_ms=remaining_ms,
        )

    def _fingerprint(self) -> str:
        return crash_counts.fingerprint(
            self.team, self.call.http.target(), self.call.http.body
        )

    def _count_crashes(self, outcome: outcomes.Outcome) -> None:
        crashes = self._state.crashes
        assert self.job is not None
        if self.job.endpoint_died:
            count = crashes.record_crash(
                self._fingerprint(), self._state.clock.now_ms()
            )
            _log.info(
                "crash_counted",
                request_id=self.call.request_id,
                fingerprint=count.fingerprint,
                crashes=count.crashes,
            )
        elif crashes.all_known():
            match outcome:
                case outcomes.Answered() | outcomes.Streamed(complete=True):
                    crashes.ended_well(self._fingerprint())
