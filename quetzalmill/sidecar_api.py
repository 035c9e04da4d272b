"""The internal HTTP API of a sidecar for entries and other sidecars.

It decodes requests, passes them to the home or the executor, and streams their
frames. Callers have no access to it.
"""

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

from quetzalmill import answer
from quetzalmill import codec
from quetzalmill import completion
from quetzalmill import errors
from quetzalmill import exchange_ids
from quetzalmill import executor as executor_module
from quetzalmill import home as home_module
from quetzalmill import home_errors
from quetzalmill import http_message
from quetzalmill import http_server
from quetzalmill import internal_api
from quetzalmill import messages

_CONFIG_BEHIND_RETRY_MS = 1_000.0

_FRAMES_TYPE = "application/x-ndjson"


class SidecarApi:
    """Handles the requests of entries and other sidecars."""

    def __init__(
        self,
        *,
        home: home_module.Home,
        executor: executor_module.Executor,
        catch_up: Callable[[int], Awaitable[bool]],
        dump: Callable[[], dict[str, Any]],
        is_ready: Callable[[], bool],
    ) -> None:
        self._home = home
        self._executor = executor
        self._catch_up = catch_up
        self._dump = dump
        self._is_ready = is_ready

    async def handle(
        self, request: http_message.Request, exchange: http_server.Exchange
    ) -> None:
        """Handles one request."""
        exchange_ids.repeat(request, exchange)
        match (request.method, request.path):
            case ("GET", "/state"):
                await exchange.respond(200, codec.to_json(self._dump()))
            case ("GET", "/health"):
                await exchange.respond(200, b"{}")
            case ("GET", "/ready"):
                status = 200 if self._is_ready() else 503
                await exchange.respond(status, b"{}")
            case ("POST", internal_api.EXECUTIONS_PATH):
                await self._handle_errors(self._execute, request, exchange)
            case ("POST", internal_api.RAN_PATH):
                await self._handle_errors(
                    self._report_prior_run, request, exchange
                )
            case ("POST", _) if request.path == internal_api.CALLS_PATH:
                await self._handle_errors(self._call, request, exchange)
            case _ if request.path.startswith(internal_api.PROGRAMS_PATH):
                await self._handle_errors(self._program, request, exchange)
            case _:
                await _refuse(exchange, 404, "not_found", "no such path")

    async def _execute(
        self, request: http_message.Request, exchange: http_server.Exchange
    ) -> None:
        execution = codec.from_msgpack(request.body, messages.Execution)
        await self._require(execution.call.applied_offset)
        found = self._executor.submit(execution)
        await exchange.start_stream(200, {"content-type": _FRAMES_TYPE})
        try:
            await _write(exchange, found.follow())
        finally:
            self._executor.abandon(execution)

    async def _call(
        self, request: http_message.Request, exchange: http_server.Exchange
    ) -> None:
        call = codec.from_msgpack(request.body, messages.Call)
        try:
            await self._require(call.applied_offset)
            async with self._home.call(
                call, take_over=_takes_over(request)
            ) as frames:
                await exchange.start_stream(200, {"content-type": _FRAMES_TYPE})
                await _write(exchange, frames)
        except (
            home_errors.RefusedError,
            home_errors.UnknownProgramError,
        ) as error:
            error.ran = self._home.prior_run_status(call)
            raise

    async def _report_prior_run(
        self, request: http_message.Request, exchange: http_server.Exchange
    ) -> None:
        call = codec.from_msgpack(request.body, messages.Call)
        reply = internal_api.RanReply(ran=self._home.prior_run_status(call))
        await exchange.respond(200, codec.to_json(reply))

    async def _program(
        self, request: http_message.Request, exchange: http_server.Exchange
    ) -> None:
        program = request.path.removeprefix(internal_api.PROGRAMS_PATH).lstrip(
            "/"
        )
        team = request.query.get("team", "")
        take_over = _takes_over(request)
        match request.method:
            case "POST":
                start = codec.from_msgpack(request.body, messages.ProgramStart)
                await self._require(start.applied_offset)
                view = await self._home.start(start, take_over=take_over)
                await exchange.respond(201, codec.to_json(view))
            case "DELETE":
                await self._home.end(program, team, take_over=take_over)
                await exchange.respond(200, b"{}")
            case _:
                view = await self._home.show(program, team, take_over=take_over)
                await exchange.respond(200, codec.to_json(view))

    async def _require(self, offset: int) -> None:
        if not await self._catch_up(offset):
            raise home_errors.RefusedError(
                503,
                "configuration_behind",
                f"the configuration at offset {offset} is not here yet",
                _CONFIG_BEHIND_RETRY_MS,
            )

    async def _handle_errors(
        self,
        handler: http_server.Handler,
        request: http_message.Request,
        exchange: http_server.Exchange,
    ) -> None:
        try:
            await handler(request, exchange)
        except errors.CodecError as error:
            await _refuse(exchange, 400, "bad_message", str(error))
        except completion.InvalidRequestError as error:
            await _refuse(exchange, 422, "invalid_request", str(error))
        except home_errors.UnknownProgramError as error:
            await _refuse(
                exchange, 404, "program_unknown", str(error), error.ran
            )
        except home_errors.MovedError as error:
            await exchange.respond(410, codec.to_json(_moved(error)))
        except home_errors.RefusedError as error:
            problem = internal_api.Problem(
                code=error.code,
                message=str(error),
                retry_after_ms=error.retry_after_ms,
                details=error.details,
                ran=error.ran,
            )
            await exchange.respond(error.status, codec.to_json(problem))


async def _write(
    exchange: http_server.Exchange, frames: AsyncIterator[messages.Frame]
) -> None:
    async for frame in frames:
        await exchange.send(answer.encode_frame(frame))
    await exchange.finish()


async def _refuse(
    exchange: http_server.Exchange,
    status: int,
    code: str,
    message: str,
    ran: messages.Ran = messages.Ran.NO,
) -> None:
    problem = internal_api.Problem(code=code, message=message, ran=ran)
    await exchange.respond(status, codec.to_json(problem))


def _takes_over(request: http_message.Request) -> bool:
    return request.query.get(internal_api.TAKE_OVER) == "1"


def _moved(error: home_errors.MovedError) -> internal_api.Problem:
    home = error.home
    return internal_api.Problem(
        code="moved",
        message=str(error),
        host=home.host if home else "",
        instance=home.instance if home else "",
    )
