"""The HTTP interface for callers.

It authenticates, admits against the team's rate, forwards requests to homes
and encodes answers as chat completions or service responses. A caller's key is
never passed on.
"""

from collections.abc import Callable
import secrets

import attrs

from quetzalmill import admission as admission_module
from quetzalmill import caller_requests
from quetzalmill import caller_responses
from quetzalmill import clock as clock_module
from quetzalmill import codec
from quetzalmill import configuration
from quetzalmill import errors
from quetzalmill import forwarding
from quetzalmill import http_message
from quetzalmill import http_server
from quetzalmill import keys
from quetzalmill import logs
from quetzalmill import messages
from quetzalmill import metrics as metrics_module
from quetzalmill import objects
from quetzalmill import problems
from quetzalmill import selectors
from quetzalmill import shutdown as shutdown_module
from quetzalmill import sse
from quetzalmill import suspects as suspects_module

COMPLETIONS_PATH = "/v1/chat/completions"
PROGRAMS_PATH = "/v1/programs"
SERVICES_PATH = "/v1/services/"

STALE_RETRY_MS = 1_000.0
"""When callers should retry while the configuration may be out of date."""

PROGRAM_REQUEST_TIMEOUT_MS = 10_000.0
"""Timeout of a request to start, describe or end a program."""

_BEARER = "bearer "

_log = logs.get("callers_api")


@attrs.frozen(kw_only=True)
class Caller:
    """The sender of a request.

    Attributes:
        team: The team; empty on open routes without a key.
        key_id: The key's id; empty without a key.
    """

    team: str
    key_id: str


ANONYMOUS = Caller(team="", key_id="")


class CallersApi:
    """Handles callers' requests.

    Attributes:
        running: The number of requests that are being handled.
        shutdown: Ends those that still run when a shutdown has to end.
    """

    def __init__(
        self,
        *,
        config: configuration.Configuration,
        admission: admission_module.Admission,
        forwarder: forwarding.Forwarder,
        suspects: suspects_module.Suspects,
        is_configuration_fresh: Callable[[], bool],
        is_ready: Callable[[], bool],
        call_timeout_ms: float,
        metrics: metrics_module.Metrics,
        clock: clock_module.Clock,
    ) -> None:
        self._config = config
        self._admission = admission
        self._forwarder = forwarder
        self._suspects = suspects
        self._is_configuration_fresh = is_configuration_fresh
        self._is_ready = is_ready
        self._call_timeout_ms = call_timeout_ms
        self._metrics = metrics
        self._clock = clock
        self.running = 0
        self.shutdown = shutdown_module.Shutdown()

    async def handle(
        self, request: http_message.Request, exchange: http_server.Exchange
    ) -> None:
        """Handles one request; turns a ``CallerError`` into a response."""
        self.running += 1
        try:
            with self.shutdown.limit() as limit:
                await self._route(request, exchange)
            if limit.cancelled_caught:
                raise _shut_down()
        except problems.CallerError as error:
            self._count_error(error)
            _log.info(
                "request_failed",
                path=request.path,
                status=error.status,
                code=error.code,
                ran=error.ran.value,
                program=request.headers.get(caller_requests.PROGRAM_HEADER),
            )
            if exchange.started:
                # Only an incomplete stream can report it.
                exchange.abort()
                return
            await exchange.respond(
                error.status,
                problems.body_of(error),
                problems.headers_of(error),
            )
        finally:
            self.running -= 1

    async def _route(
        self, request: http_message.Request, exchange: http_server.Exchange
    ) -> None:
        path = request.path
        match (request.method, path):
            case ("GET", "/health"):
                await exchange.respond(200, b"{}")
            case ("GET", "/ready"):
                await exchange.respond(200 if self._is_ready() else 503, b"{}")
            case _:
                started_ms = self._clock.now_ms()
                try:
                    await self._serve(request, exchange)
                finally:
                    took_ms = self._clock.now_ms() - started_ms
                    self._metrics.time(metrics_module.REQUEST_MS, took_ms)

    async def _serve(
        self, request: http_message.Request, exchange: http_server.Exchange
    ) -> None:
        path = request.path
        match (request.method, path):
            case ("POST", _) if path == COMPLETIONS_PATH:
                await self._complete(request, exchange)
            case ("POST", _) if path == PROGRAMS_PATH:
                await self._start_program(request, exchange)
            case ("GET" | "DELETE", _) if path.startswith(PROGRAMS_PATH + "/"):
                await self._describe_or_end_program(request, exchange)
            case (method, _) if (
                path.startswith(SERVICES_PATH) and method != "CONNECT"
            ):
                await self._call_service(request, exchange)
            case _:
                raise problems.CallerError(
                    404, "not_found", f"there is no {request.method} {path}"
                )

    async def _start_program(
        self, request: http_message.Request, exchange: http_server.Exchange
    ) -> None:
        caller = self._authenticate(request)
        wanted = caller_requests.read_new_program(request.body)
        view = await self._forwarder.start_program(
            messages.ProgramStart(
                program="",
                parent=wanted.parent,
                team=caller.team,
                calls=wanted.calls,
                tokens=wanted.tokens,
                time_ms=wanted.time_ms,
                deadline_ms=wanted.deadline_ms,
                applied_offset=self._config.applied_offset,
            ),
            PROGRAM_REQUEST_TIMEOUT_MS,
        )
        await exchange.respond(201, codec.to_json(view))

    async def _describe_or_end_program(
        self, request: http_message.Request, exchange: http_server.Exchange
    ) -> None:
        caller = self._authenticate(request)
        program = request.path.removeprefix(PROGRAMS_PATH + "/")
        caller_requests.require_program_id(program)
        response = await self._forwarder.ask(
            request.method,
            program,
            {"team": caller.team},
            PROGRAM_REQUEST_TIMEOUT_MS,
        )
        await exchange.respond(200, response.body)

    async def _complete(
        self, request: http_message.Request, exchange: http_server.Exchange
    ) -> None:
        caller, call = _read_before_home(self._read_completion, request)
        await self._admit_call(caller, call)
        if call.stream:
            await self._respond_streamed(call, caller, exchange)
        else:
            await self._respond_complete(call, caller, exchange)

    def _read_completion(
        self, request: http_message.Request
    ) -> tuple[Caller, messages.Call]:
        caller = self._authenticate(request)
        wanted = caller_requests.read_completion(request.body)
        model = self._config.model(wanted.model)
        if model is None:
            raise problems.CallerError(
                404, "model_unknown", f"there is no model {wanted.model!r}"
            )
        self._require_allowed(caller, model.labels, f"model {wanted.model}")
        call = self._call_of(
            request,
            caller,
            messages.CallKind.MODEL,
            wanted.model,
            stream=wanted.stream,
            idempotent=True,
        )
        return caller, call

    async def _call_service(
        self, request: http_message.Request, exchange: http_server.Exchange
    ) -> None:
        caller, call = _read_before_home(self._read_service, request)
        if caller is not ANONYMOUS:
            await self._admit_call(caller, call)
        await self._respond_complete(call, caller, exchange)

    def _read_service(
        self, request: http_message.Request
    ) -> tuple[Caller, messages.Call]:
        route_name, _, path = request.path.removeprefix(
            SERVICES_PATH
        ).partition("/")
        route = self._config.route(route_name)
        if route is None:
            self._authenticate(request)
            raise problems.CallerError(
                404, "route_unknown", f"there is no route {route_name!r}"
            )
        caller = self._caller_of_route(request, route)
        if caller is not ANONYMOUS:
            self._require_allowed(caller, route.labels, f"route {route_name}")
        call = self._call_of(
            attrs.evolve(request, path="/" + path),
            caller,
            messages.CallKind.SERVICE,
            route_name,
            stream=False,
            idempotent=request.method in ("GET", "HEAD"),
        )
        return caller, call

    async def _admit_call(self, caller: Caller, call: messages.Call) -> None:
        try:
            await self._admit(caller)
        except problems.CallerError as error:
            error.ran = await self._forwarder.prior_run_status(call)
            raise

    async def _respond_complete(
        self,
        call: messages.Call,
        caller: Caller,
        exchange: http_server.Exchange,
    ) -> None:
        last = await self._forwarder.call(call, None, self._key_check(caller))
        await exchange.respond(
            last.status,
            last.data,
            caller_responses.answer_headers(call, last),
            content_type=last.content_type or "application/json",
        )

    async def _respond_streamed(
        self,
        call: messages.Call,
        caller: Caller,
        exchange: http_server.Exchange,
    ) -> None:
        started = False
        started_ms = self._clock.now_ms()

        async def start_response() -> None:
            nonlocal started
            if not started:
                started = True
                self._metrics.time(
                    metrics_module.FIRST_TOKEN_MS,
                    self._clock.now_ms() - started_ms,
                )
                await exchange.start_stream(
                    200,
                    {
                        "content-type": sse.CONTENT_TYPE,
                        "cache-control": "no-cache",
                        caller_requests.PROGRAM_HEADER: call.program,
                        caller_requests.CALL_HEADER: str(call.number),
                    },
                )

        async def send_chunk(piece: bytes) -> None:
            await start_response()
            await exchange.send(sse.encode_event(piece.decode()))

        try:
            last = await self._forwarder.call(
                call, send_chunk, self._key_check(caller)
            )
        except problems.CallerError as error:
            if not started:
                raise
            self._count_error(error)
            await exchange.send(
                sse.encode_event(problems.body_of(error).decode())
            )
        else:
            await start_response()
            await exchange.send(
                sse.encode_event(caller_responses.final_chunk(call, last))
            )
            await exchange.send(sse.encode_event(sse.DONE))
        await exchange.finish()

    def _call_of(
        self,
        request: http_message.Request,
        caller: Caller,
        kind: messages.CallKind,
        target: str,
        *,
        stream: bool,
        idempotent: bool,
    ) -> messages.Call:
        headers = caller_requests.read_call_headers(
            request, self._call_timeout_ms
        )
        content = request.target().encode() + b"\0" + request.body
        fingerprint = suspects_module.fingerprint(caller.team, target, content)
        if self._suspects.is_quarantined(fingerprint):
            raise problems.CallerError(
                422, "quarantined", "the request ended endpoints before"
            )
        if headers.idempotent is not None:
            idempotent = headers.idempotent
        return messages.Call(
            program=headers.program or f"{secrets.token_hex(10)}.0.single",
            single=not headers.program,
            number=headers.number,
            team=caller.team,
            key_id=caller.key_id,
            kind=kind,
            target=target,
            method=request.method,
            path=request.target(),
            content_type=request.headers.get("content-type", ""),
            body=request.body,
            stream=stream,
            idempotent=idempotent,
            time_left_ms=headers.time_left_ms,
            fingerprint=fingerprint,
            suspect=self._suspects.is_suspect(fingerprint),
            applied_offset=self._config.applied_offset,
            expected_chain=headers.expected_chain,
        )

    def _authenticate(self, request: http_message.Request) -> Caller:
        self._require_fresh_configuration()
        text = request.headers.get("authorization", "")
        if not text.lower().startswith(_BEARER):
            raise _key_unknown("a key is needed: Authorization: Bearer <key>")
        key = text[len(_BEARER) :].strip()
        key_id = keys.key_id_of(key)
        spec = self._config.key(key_id) if key_id else None
        if spec is None or key_id is None or spec.withdrawn:
            raise _key_unknown("the key is unknown or withdrawn")
        if not keys.matches(key, spec.secret_sha256):
            raise _key_unknown("the key is unknown or withdrawn")
        self._metrics.count(metrics_module.REQUESTS, part=spec.team)
        return Caller(team=spec.team, key_id=key_id)

    def _count_error(self, error: problems.CallerError) -> None:
        if error.ran is messages.Ran.UNKNOWN:
            self._metrics.count(metrics_module.OUTCOMES_UNKNOWN)
        else:
            self._metrics.count(metrics_module.REFUSALS, part=error.code)

    def _caller_of_route(
        self, request: http_message.Request, route: objects.RouteSpec
    ) -> Caller:
        if route.open and "authorization" not in request.headers:
            self._require_fresh_configuration()
            self._metrics.count(metrics_module.REQUESTS)
            return ANONYMOUS
        return self._authenticate(request)

    def _require_fresh_configuration(self) -> None:
        if not self._is_configuration_fresh():
            raise problems.CallerError(
                503,
                "configuration_stale",
                "this entry is cut off and may have an old configuration",
                retry_after_ms=STALE_RETRY_MS,
            )

    def _key_check(self, caller: Caller) -> Callable[[], bool]:
        if caller is ANONYMOUS:
            return lambda: True

        def still_allowed() -> bool:
            spec = self._config.key(caller.key_id)
            return spec is not None and not spec.withdrawn

        return still_allowed

    def _require_allowed(
        self, caller: Caller, labels: dict[str, str], what: str
    ) -> None:
        team = self._config.team(caller.team)
        if team is None:
            raise problems.CallerError(
                403, "team_unknown", f"there is no team {caller.team!r}"
            )
        try:
            allowed = selectors.parse(team.selector).matches(labels)
        except errors.SelectorError:
            allowed = False
        if not allowed:
            raise problems.CallerError(
                403,
                "not_allowed",
                f"{what} is not open to team {caller.team}",
            )

    async def _admit(self, caller: Caller) -> None:
        match await self._admission.admit(caller.team):
            case admission_module.Admitted():
                self._metrics.count(metrics_module.ADMITTED, part=caller.team)
            case admission_module.OverRate(retry_after_ms=retry_after_ms):
                self._metrics.count(metrics_module.OVER_RATE, part=caller.team)
                raise problems.CallerError(
                    429,
                    "over_rate",
                    f"team {caller.team} has used up its rate",
                    retry_after_ms=retry_after_ms,
                )
            case admission_module.NoHolderReachable():
                raise problems.CallerError(
                    503,
                    "rate_unknown",
                    "no entry that holds the team's rate can be reached",
                    retry_after_ms=admission_module.UNKNOWN_RETRY_MS,
                )


def _read_before_home(
    read: Callable[[http_message.Request], tuple[Caller, messages.Call]],
    request: http_message.Request,
) -> tuple[Caller, messages.Call]:
    """Reads a call; refuses it with ``ran`` unknown if it may have run before.

    A malformed request never ran; any other call of a program may have, if
    this request is a retry.
    """
    try:
        return read(request)
    except problems.CallerError as error:
        in_program = caller_requests.PROGRAM_HEADER in request.headers
        if in_program and error.code != caller_requests.INVALID:
            error.ran = messages.Ran.UNKNOWN
        raise


def _key_unknown(message: str) -> problems.CallerError:
    return problems.CallerError(401, "key_unknown", message)


def _shut_down() -> problems.CallerError:
    """Returns the error for a call that outlasts its entry's shutdown."""
    return problems.CallerError(
        504,
        "shut_down",
        "the entry shuts down before the call has ended",
        ran=messages.Ran.UNKNOWN,
        retry_after_ms=0.0,
    )
