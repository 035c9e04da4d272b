"""An HTTP/1.1 client with a connection pool for each address.

The error type says whether bytes of the request may have reached the server:
``ConnectFailedError`` and ``RequestWithdrawnError`` mean that none was sent,
all others that some were.
"""

from collections.abc import AsyncIterator
import contextlib

import h11
import trio

from quetzalmill import errors
from quetzalmill import host_memory
from quetzalmill import http_connect
from quetzalmill import http_connection
from quetzalmill import http_message
from quetzalmill import response_memory

_DEFAULT_MAX_BODY_BYTES = 16_777_216
_NO_HOOKS = http_connection.RequestHooks()


class HttpClient:
    """Sends requests and pools idle connections for each address.

    Args:
        connect_timeout_ms: The time allowed for connecting.
        max_idle: The maximum number of idle connections for each address.
        idle_timeout_ms: How long an idle connection is kept.
        memory: The memory of the process; unlimited if left out.
    """

    def __init__(
        self,
        *,
        connect_timeout_ms: float = 2000.0,
        max_idle: int = 16,
        idle_timeout_ms: float = 15_000.0,
        memory: host_memory.HostMemory | None = None,
    ) -> None:
        self._connect_timeout_ms = connect_timeout_ms
        self._max_idle = max_idle
        self._idle_timeout_ms = idle_timeout_ms
        self._idle: dict[str, list[http_connection.Connection]] = {}
        self._memory = memory or host_memory.HostMemory()
        self._closed = False
        self._last_sweep_s = 0.0

    async def request(
        self,
        address: str,
        request: http_message.Request,
        *,
        timeout_ms: float,
        body_timeout_ms: float = 0.0,
        new_connection: bool = False,
        idempotent: bool = False,
        max_body_bytes: int = _DEFAULT_MAX_BODY_BYTES,
    ) -> http_message.Response:
        """Sends a request and reads the complete response.

        Args:
            address: IP address and port of the server.
            request: The request; hop-by-hop headers are not sent.
            timeout_ms: The time allowed from connecting to the response head,
                and for any pause within the body.
            body_timeout_ms: The additional time in which the whole body must
                arrive.
            new_connection: Whether to use a new connection.
            idempotent: Whether the request may be sent again if a pooled
                connection turns out to be closed.
            max_body_bytes: The maximum size of the response body.

        Raises:
            errors.ConnectFailedError: No byte of the request was sent.
            errors.ConnectionLostError: The connection was lost early.
            errors.ResponseTimeoutError: The response did not end in time.
            errors.BadMessageError: The request is invalid, or the response is
                malformed or too large.
        """
        async with self.stream(
            address,
            request,
            timeout_ms=timeout_ms,
            whole_timeout_ms=timeout_ms + body_timeout_ms,
            new_connection=new_connection,
            idempotent=idempotent,
            max_body_bytes=max_body_bytes,
        ) as response:
            return http_message.Response(
                status=response.status,
                headers=response.headers,
                body=await response.read(),
            )

    @contextlib.asynccontextmanager
    async def stream(
        self,
        address: str,
        request: http_message.Request,
        *,
        timeout_ms: float,
        whole_timeout_ms: float,
        idle_timeout_ms: float | None = None,
        new_connection: bool = False,
        idempotent: bool = False,
        max_body_bytes: int = _DEFAULT_MAX_BODY_BYTES,
        hooks: http_connection.RequestHooks = _NO_HOOKS,
        request_name: str = "",
    ) -> AsyncIterator[http_connection.StreamedResponse]:
        """Sends a request and yields the response with its body unread.

        The connection is closed unless the body is read to its end. Raises the
        errors of ``request``, and ``errors.RequestWithdrawnError`` if a hook
        withdrew the request.

        Args:
            address: IP address and port of the server.
            request: The request; hop-by-hop headers are not sent.
            timeout_ms: The time allowed from connecting to the response head.
            whole_timeout_ms: The time allowed from connecting to the end of
                the response, however steadily its body arrives.
            idle_timeout_ms: The time allowed between two chunks of the body;
                defaults to ``timeout_ms``.
            new_connection: Whether to use a new connection.
            idempotent: Whether the request may be sent again if a pooled
                connection turns out to be closed.
            max_body_bytes: The maximum size of the response body.
            hooks: Callbacks that run before the response head arrives.
            request_name: What its responses name it by; pooled connections
                that have carried this name are not used.
        """
        start_s = trio.current_time()
        deadline_s = start_s + timeout_ms / 1000.0
        kept = None
        if not new_connection:
            kept = self._take_idle(address, request_name)
        connection, head = await self._open(
            address, request, deadline_s, kept, idempotent, hooks
        )
        connection.record_name(request_name)
        response = http_connection.StreamedResponse(
            connection,
            head,
            timeout_ms if idle_timeout_ms is None else idle_timeout_ms,
            max_body_bytes,
            is_delimited=http_connection.is_delimited(request.method, head),
            deadline_s=start_s + whole_timeout_ms / 1000.0,
        )
        try:
            yield response
        except BaseException:
            connection.close()
            raise
        if response.may_reuse_connection:
            self._release(address, connection)
        else:
            connection.close()

    def close_idle(self, address: str) -> None:
        """Closes the idle connections to an address."""
        for connection in self._idle.pop(address, []):
            connection.close()

    async def aclose(self) -> None:
        """Closes the idle connections and stops pooling."""
        self._closed = True
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._idle.clear()
        await trio.lowlevel.checkpoint()

    async def _open(
        self,
        address: str,
        request: http_message.Request,
        deadline_s: float,
        kept: http_connection.Connection | None,
        idempotent: bool,
        hooks: http_connection.RequestHooks,
    ) -> tuple[http_connection.Connection, h11.Response]:
        if kept is not None:
            try:
                return kept, await kept.exchange(request, deadline_s, hooks)
            except errors.ConnectionLostError as lost:
                if not idempotent or kept.received_bytes:
                    raise
                return await self._retry_on_new_connection(
                    address, request, deadline_s, hooks, lost
                )
        connection = await self._connect(address, deadline_s)
        return connection, await connection.exchange(request, deadline_s, hooks)

    async def _retry_on_new_connection(
        self,
        address: str,
        request: http_message.Request,
        deadline_s: float,
        hooks: http_connection.RequestHooks,
        lost: errors.ConnectionLostError,
    ) -> tuple[http_connection.Connection, h11.Response]:
        try:
            connection = await self._connect(address, deadline_s)
            return connection, await connection.exchange(
                request, deadline_s, hooks
            )
        except (
            errors.ConnectFailedError,
            errors.RequestWithdrawnError,
        ) as error:
            # The server may have received the first copy of the request.
            raise lost from error

    async def _connect(
        self, address: str, deadline_s: float
    ) -> http_connection.Connection:
        timeout_s = self._connect_timeout_ms / 1000.0
        limit_s = min(deadline_s, trio.current_time() + timeout_s)
        try:
            with trio.move_on_at(limit_s):
                stream = await http_connect.connect(address)
                charge = response_memory.ResponseCharge(self._memory)
                return http_connection.Connection(
                    address, stream, charge=charge
                )
        except (OSError, ValueError) as error:
            raise errors.ConnectFailedError(f"{address}: {error}") from error
        raise errors.ConnectFailedError(f"{address}: connecting timed out")

    def _take_idle(
        self, address: str, request_name: str
    ) -> http_connection.Connection | None:
        connections = self._idle.get(address, [])
        oldest_s = trio.current_time() - self._idle_timeout_ms / 1000.0
        while connections:
            connection = connections.pop()
            if (
                connection.idle_since_s >= oldest_s
                and not connection.has_carried(request_name)
                and connection.is_alive()
            ):
                return connection
            connection.close()
        self._idle.pop(address, None)
        return None

    def _release(
        self, address: str, connection: http_connection.Connection
    ) -> None:
        self._close_expired()
        connections = self._idle.setdefault(address, [])
        full = len(connections) >= self._max_idle
        if self._closed or full or not connection.prepare_reuse():
            connection.close()
            return
        connection.idle_since_s = trio.current_time()
        connections.append(connection)

    def _close_expired(self) -> None:
        """Closes idle connections that exceed the idle timeout.

        Connections to addresses that are no longer used would otherwise stay
        open.
        """
        now_s = trio.current_time()
        oldest_s = now_s - self._idle_timeout_ms / 1000.0
        if self._last_sweep_s > oldest_s:
            return
        self._last_sweep_s = now_s
        for address, connections in list(self._idle.items()):
            for connection in connections:
                if connection.idle_since_s < oldest_s:
                    connection.close()
            kept = [c for c in connections if c.idle_since_s >= oldest_s]
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]
