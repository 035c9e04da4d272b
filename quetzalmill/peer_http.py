"""Control calls between gateways, over HTTP/1.1 and MessagePack.

They carry large or rare messages: chains of turns, accounts, route tables.
Gateways use HTTP anyway, while ``grpclib`` needed a second event loop and
libraries that took a quarter of the startup time. That matters when all
gateways start at once after a power failure.
"""

from collections.abc import Mapping
import inspect
from typing import Any

import trio

from quetzalmill import codec
from quetzalmill import control_method
from quetzalmill import errors
from quetzalmill import exchange_ids
from quetzalmill import host_memory
from quetzalmill import http_client
from quetzalmill import http_message
from quetzalmill import http_server
from quetzalmill import http_server_connection
from quetzalmill import logs

CONNECT_TIMEOUT_MS = 300.0
"""How long connecting to a peer may take; several round trips, with one lost
packet sent again."""

MAX_MESSAGE_BYTES = 8_388_608
"""The largest message; chains of many long turns are smaller."""

IDLE_MS = 15_000.0
"""How long a server keeps an idle connection; as long as callers do."""

MAX_CONNECTIONS = 512
"""The most connections of peers; several from each of a hundred gateways."""

_TEAM = "(peers)"
"""What messages are charged to. Peers are not told apart."""
_CONTENT_TYPE = "application/msgpack"
_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404
_FAILED = 500

_log = logs.get("peer_http")


class PeerClient:
    """Makes control calls to peers."""

    def __init__(self) -> None:
        self._http = http_client.HttpClient(
            connect_timeout_ms=CONNECT_TIMEOUT_MS,
            # Shorter than at the server, so that no connection is closed just
            # as it is used.
            idle_timeout_ms=IDLE_MS / 2.0,
        )

    async def call(
        self,
        address: str,
        method: control_method.Method,
        message: Any,
        *,
        timeout_ms: float,
    ) -> Any:
        """Makes one call and returns its reply.

        An existing connection may stall forever while new ones work, or carry
        an answer to an earlier call, so a failed call also closes the idle
        connections to its address.

        Raises:
            errors.ControlCallError: No reply came within ``timeout_ms``; the
                call may or may not have taken effect.
        """
        request = exchange_ids.named(
            http_message.Request(
                method="POST",
                path=f"/{method.name}",
                headers={"content-type": _CONTENT_TYPE},
                body=codec.to_msgpack(message),
            )
        )
        try:
            response = await self._http.request(
                address,
                request,
                timeout_ms=timeout_ms,
                max_body_bytes=MAX_MESSAGE_BYTES,
            )
            exchange_ids.require_own(request, response.headers)
            if response.status != _OK:
                raise errors.ControlCallError(
                    f"{method.name} to {address} got {response.status}"
                )
            return codec.from_msgpack(response.body, method.reply_type)
        except (errors.HttpError, errors.CodecError) as error:
            self._http.close_idle(address)
            raise errors.ControlCallError(
                f"{method.name} to {address} failed: {error!r}"
            ) from error

    async def aclose(self) -> None:
        """Closes every idle connection."""
        await self._http.aclose()


class PeerServer:
    """Serves control calls of peers.

    Args:
        handlers: The handler of each method.
        memory: The memory of the process; unlimited if left out.
    """

    def __init__(
        self,
        handlers: Mapping[control_method.Method, control_method.Handler],
        memory: host_memory.HostMemory | None = None,
    ) -> None:
        self._memory = memory
        self._handlers = {
            f"/{method.name}": (method, handler)
            for method, handler in handlers.items()
        }

    async def serve(
        self,
        address: str,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves at an address until cancelled."""
        await http_server.serve(
            address,
            self._answer,
            limits=http_message.Limits(
                max_body_bytes=MAX_MESSAGE_BYTES,
                idle_timeout_ms=IDLE_MS,
                max_connections=MAX_CONNECTIONS,
            ),
            stopping=trio.Event(),
            on_error=_report_error,
            check_head=_accept_peer,
            memory=self._memory,
            task_status=task_status,
        )

    async def _answer(
        self, request: http_message.Request, exchange: http_server.Exchange
    ) -> None:
        exchange_ids.repeat(request, exchange)
        found = self._handlers.get(request.path)
        if found is None:
            await exchange.respond(_NOT_FOUND)
            return
        method, handler = found
        try:
            message = codec.from_msgpack(request.body, method.request_type)
        except errors.CodecError as error:
            _log.warning(
                "call_unreadable", method=method.name, reason=str(error)
            )
            await exchange.respond(_BAD_REQUEST)
            return
        reply = handler(message)
        if inspect.isawaitable(reply):
            reply = await reply
        await exchange.respond(
            _OK, codec.to_msgpack(reply), content_type=_CONTENT_TYPE
        )


def _accept_peer(
    request: http_message.Request,
) -> http_server_connection.Accepted | http_server_connection.Rejected:
    del request
    return http_server_connection.Accepted(_TEAM)


def _report_error(error: BaseException) -> None:
    _log.error("call_failed", reason=repr(error))
