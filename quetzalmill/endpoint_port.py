"""The client of model engines and plain services.

It implements the endpoints' HTTP protocols and classifies each failure as not
executed or as unknown. Once the first byte of a request has been sent, a
failure is unknown. Requests to endpoints never contain a caller's key.

Nothing in a response names its request, and a faulty endpoint may send a
second copy of a response where the next one is due. So each request has a
connection of its own.
"""

from collections.abc import AsyncIterator
import contextlib
from typing import Any

import attrs
import trio

from quetzalmill import codec
from quetzalmill import errors
from quetzalmill import http_client
from quetzalmill import http_connection
from quetzalmill import http_message
from quetzalmill import messages
from quetzalmill import sse

MAX_ANSWER_BYTES = 8 * 1024 * 1024
"""Maximum size of an endpoint's answer, in its body and in memory."""

_EVENT_OVERHEAD_BYTES = 320
"""The memory of an event besides its data, in the answer that keeps it."""

_STATUS_CONFLICT = 409
_ADMIN_TIMEOUT_MS = 2_000.0
_BUSY_STATUSES = (429, 503)
_MAX_UP_PROBES = 5
_UP_PROBE_PAUSE_MS = 50.0


@attrs.frozen(kw_only=True)
class ServiceAnswer:
    """The complete answer of a plain service."""

    status: int
    content_type: str
    body: bytes


class EndpointPort:
    """Sends requests to the endpoints of one sidecar."""

    def __init__(self, client: http_client.HttpClient) -> None:
        self._client = client

    @contextlib.asynccontextmanager
    async def run_model(
        self, address: str, execution: messages.Execution, timeout_ms: float
    ) -> AsyncIterator[AsyncIterator[bytes]]:
        """Runs a model call and yields the chunks of its event stream.

        Raises:
            errors.NotExecutedError: The engine was unreachable or busy.
            errors.RefusedByEndpointError: The engine refused the request.
            errors.OutcomeUnknownError: The exchange failed after the request
                was sent; the call may have run.
        """
        call = execution.call
        request = http_message.Request(
            method="POST",
            path="/v1/chat/completions",
            headers={
                "content-type": "application/json",
                "x-request-id": request_id(execution),
                "x-session": call.program,
                "x-priority": "0",
            },
            body=call.body,
        )
        try:
            async with self._client.stream(
                address,
                request,
                timeout_ms=timeout_ms,
                whole_timeout_ms=timeout_ms,
                new_connection=True,
                max_body_bytes=MAX_ANSWER_BYTES,
            ) as response:
                _require_ok(response.status)
                yield _events_of(response)
        except errors.ConnectFailedError as error:
            raise errors.NotExecutedError(str(error)) from error
        except errors.HttpError as error:
            raise errors.OutcomeUnknownError(str(error)) from error

    async def run_service(
        self, address: str, execution: messages.Execution, timeout_ms: float
    ) -> ServiceAnswer:
        """Runs a call to a plain service.

        Raises:
            errors.NotExecutedError: No byte of the request was sent.
            errors.OutcomeUnknownError: The call may have run.
        """
        call = execution.call
        request = http_message.Request(
            method=call.method,
            path=call.path,
            headers={
                "content-type": call.content_type,
                "x-request-id": request_id(execution),
            },
            body=call.body,
        )
        try:
            response = await self._client.request(
                address,
                request,
                timeout_ms=timeout_ms,
                new_connection=True,
                max_body_bytes=MAX_ANSWER_BYTES,
            )
        except errors.ConnectFailedError as error:
            raise errors.NotExecutedError(str(error)) from error
        except errors.HttpError as error:
            raise errors.OutcomeUnknownError(str(error)) from error
        return ServiceAnswer(
            status=response.status,
            content_type=response.headers.get("content-type", ""),
            body=response.body,
        )

    async def cancel(self, address: str, execution: messages.Execution) -> None:
        """Cancels a request at an engine that no caller waits for any more."""
        await self._post(
            address, "/cancel", {"request_id": request_id(execution)}
        )

    async def release(self, address: str, session: str) -> None:
        """Releases the memory that an engine holds for a program."""
        await self._post(address, "/kv/release", {"session": session})

    async def order(
        self, address: str, order: dict[str, str], fencing: int
    ) -> None:
        """Sends an order with a fencing number to an engine.

        Raises:
            errors.RefusedByEndpointError: The engine has seen a newer number.
            errors.NotExecutedError: The order was not executed, or possibly
                not; it may be sent again.
        """
        body = codec.to_json({"order": order, "fencing": fencing})
        response = await self._response(address, "POST", "/orders", body)
        if response.status == _STATUS_CONFLICT:
            raise errors.RefusedByEndpointError("the order is out of date")
        if response.status != 200:
            raise errors.NotExecutedError(
                f"the engine answered {response.status}"
            )

    async def sessions(self, address: str) -> dict[str, int]:
        """Returns the tokens of history that an engine holds, by program."""
        body = await self._request(address, "GET", "/kv", b"")
        listed = codec.from_json(body, dict[str, dict[str, int]])
        return listed.get("sessions", {})

    async def is_up(self, address: str) -> bool:
        """Returns whether an endpoint accepts connections and keeps them open.

        A process that ends closes its sockets one by one, so a connection may
        still be accepted and then lost. Therefore lost connections are retried.
        """
        request = http_message.Request(method="GET", path="/load")
        for _ in range(_MAX_UP_PROBES):
            try:
                await self._client.request(
                    address,
                    request,
                    timeout_ms=_ADMIN_TIMEOUT_MS,
                    new_connection=True,
                )
            except errors.ConnectFailedError:
                return False
            except errors.ConnectionLostError:
                await trio.sleep(_UP_PROBE_PAUSE_MS / 1000.0)
            except errors.HttpError:
                return True
            else:
                return True
        return True

    async def _post(self, address: str, path: str, body: Any) -> None:
        await self._request(address, "POST", path, codec.to_json(body))

    async def _request(
        self, address: str, method: str, path: str, body: bytes
    ) -> bytes:
        return (await self._response(address, method, path, body)).body

    async def _response(
        self, address: str, method: str, path: str, body: bytes
    ) -> http_message.Response:
        request = http_message.Request(method=method, path=path, body=body)
        try:
            response = await self._client.request(
                address,
                request,
                timeout_ms=_ADMIN_TIMEOUT_MS,
                new_connection=True,
                max_body_bytes=MAX_ANSWER_BYTES,
            )
        except errors.HttpError as error:
            raise errors.NotExecutedError(str(error)) from error
        return response


def request_id(execution: messages.Execution) -> str:
    """Returns the request id of an attempt at an endpoint.

    All attempts of a non-idempotent call have the same id.
    """
    call = execution.call
    if not call.idempotent:
        return f"{call.program}/{call.number}"
    return f"{call.program}/{call.number}/{execution.epoch}.{execution.attempt}"


def _require_ok(status: int) -> None:
    message = f"the engine answered {status}"
    if status in _BUSY_STATUSES:
        raise errors.NotExecutedError(message)
    if 400 <= status < 500:
        raise errors.RefusedByEndpointError(message)
    if status != 200:
        raise errors.OutcomeUnknownError(message)


async def _events_of(
    response: http_connection.StreamedResponse,
) -> AsyncIterator[bytes]:
    parser = sse.SseParser()
    held_bytes = 0
    async for piece in response:
        for event in parser.feed(piece):
            if event.data == sse.DONE:
                return
            data = event.data.encode()
            held_bytes += len(data) + _EVENT_OVERHEAD_BYTES
            if held_bytes > MAX_ANSWER_BYTES:
                raise errors.BadMessageError(
                    "the engine's stream has too many events", 502
                )
            yield data
    raise errors.ConnectionLostError("the engine's stream broke off")
