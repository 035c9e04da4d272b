"""Runs an emulator as an HTTP server process."""

from collections.abc import Awaitable, Callable
import signal
import traceback
from typing import Any, TypeVar

import attrs
import trio

from quetzalmill import codec
from quetzalmill import errors
from quetzalmill import http_message
from quetzalmill import http_server

_MAX_BODY_BYTES = 33_554_432
_LIMITS = http_message.Limits(max_body_bytes=_MAX_BODY_BYTES)

_T = TypeVar("_T")


class RefusedError(errors.QuetzalmillError):
    """A request that is answered with an error status.

    Attributes:
        status: The HTTP status.
        body: The response body, sent as JSON.
        headers: Additional response headers.
    """

    def __init__(
        self,
        status: int,
        body: dict[str, Any],
        headers: dict[str, str] | None = None,
    ) -> None:
        super().__init__(f"{status}: {body}")
        self.status = status
        self.body = body
        self.headers = headers or {}


def refusal(status: int, code: str, message: str) -> RefusedError:
    """Returns a refusal whose body has a code and a message."""
    return RefusedError(status, {"code": code, "message": message})


async def reply(
    exchange: http_server.Exchange, value: Any, status: int = 200
) -> None:
    """Responds with ``value`` as JSON."""
    await exchange.respond(status, codec.to_json(value))


def read_body(request: http_message.Request, expected: type[_T]) -> _T:
    """Decodes a small JSON body into an attrs class.

    Raises:
        RefusedError: The body has an unknown field or a value of a wrong type.
    """
    try:
        fields = codec.from_json(request.body or b"{}", dict[str, Any])
        known = {field.name for field in attrs.fields(expected)}  # type: ignore[arg-type]
        unknown = sorted(fields.keys() - known)
        if unknown:
            raise refusal(422, "unknown_field", ", ".join(unknown))
        return codec.from_plain(fields, expected)
    except errors.CodecError as error:
        raise refusal(422, "bad_body", str(error)) from error


def read_number(request: http_message.Request, name: str, default: int) -> int:
    """Returns an integer field of the query.

    Raises:
        RefusedError: The field is not an integer.
    """
    text = request.query.get(name, "")
    if not text:
        return default
    if not text.removeprefix("-").isdecimal():
        raise refusal(422, "bad_query", f"{name}: {text!r} is no number")
    return int(text)


def launch(
    address: str,
    handler: http_server.Handler,
    background: Callable[[], Awaitable[None]] | None = None,
) -> None:
    """Serves until SIGTERM or SIGINT; prints a line when it is ready.

    Args:
        address: The listening address; port 0 picks a free port.
        handler: Handles the requests; may raise ``RefusedError``.
        background: Runs concurrently with the server and is cancelled when it
            stops.
    """
    trio.run(_main, address, handler, background)


async def _main(
    address: str,
    handler: http_server.Handler,
    background: Callable[[], Awaitable[None]] | None,
) -> None:
    stopping = trio.Event()

    async def handle(
        request: http_message.Request, exchange: http_server.Exchange
    ) -> None:
        await _handle(handler, request, exchange)

    async def serve(
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        await http_server.serve(
            address,
            handle,
            limits=_LIMITS,
            stopping=stopping,
            on_error=traceback.print_exception,
            task_status=task_status,
        )

    async with trio.open_nursery() as background_nursery:
        background_nursery.start_soon(_stop_on_signal, stopping)
        if background is not None:
            background_nursery.start_soon(background)
        async with trio.open_nursery() as server_nursery:
            port = await server_nursery.start(serve)
            host, _ = http_message.split_address(address)
            print(f"ready address={host}:{port}", flush=True)
        background_nursery.cancel_scope.cancel()


async def _handle(
    handler: http_server.Handler,
    request: http_message.Request,
    exchange: http_server.Exchange,
) -> None:
    if request.path in ("/health", "/ready"):
        await reply(exchange, {"ready": True})
        return
    try:
        await handler(request, exchange)
    except RefusedError as error:
        body = codec.to_json(error.body)
        await exchange.respond(error.status, body, error.headers)


async def _stop_on_signal(stopping: trio.Event) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            stopping.set()
            return
