"""An HTTP/1.1 server with one task for each connection.

The server reads each request completely, within limits and as far as memory is
available, and passes it to a handler together with an ``Exchange`` that writes
the response. A caller that closes its side of the connection counts as
disconnected, even if it closes it only for writing.
"""

from collections.abc import Callable

import trio

from quetzalmill import host_memory
from quetzalmill import http_exchange
from quetzalmill import http_listener
from quetzalmill import http_message
from quetzalmill import http_server_connection
from quetzalmill import memory_decision

_BACKLOG_WAIT_S = 0.01
_FULL_RECHECK_S = 0.05
"""The interval in which a full connection table looks for one to close."""

Exchange = http_exchange.Exchange
Handler = http_server_connection.Handler
ErrorHook = http_server_connection.ErrorHook


def _ignore_error(error: BaseException) -> None:
    del error


async def serve(
    address: str,
    handler: Handler,
    *,
    limits: http_message.Limits,
    stopping: trio.Event,
    on_error: ErrorHook = _ignore_error,
    current_limits: Callable[[], http_message.Limits] | None = None,
    check_head: http_server_connection.HeadCheck = (
        http_server_connection.accept_all
    ),
    memory: host_memory.HostMemory | None = None,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves until ``stopping`` is set and all running exchanges have ended.

    Args:
        address: The address to listen on; port 0 picks a free port.
        handler: Responds to each request.
        limits: The limits of the connections.
        stopping: Once set, no more connections are accepted and idle ones are
            closed.
        on_error: Called with each exception that escapes from the handler.
        current_limits: Returns the limits of a new connection, if they can
            change; ``max_connections`` is still taken from ``limits``.
        check_head: Called for each request that has a body, before it is read.
        memory: The memory of the process; unlimited if left out.
        task_status: Reports the port that the server listens on.
    """
    listener = await http_listener.listen(address)
    state = http_server_connection.ServerState(
        handler=handler,
        current_limits=current_limits or (lambda: limits),
        stopping=stopping,
        on_error=on_error,
        check_head=check_head,
        memory=memory or host_memory.HostMemory(),
    )
    server = _Server(state, limits.max_connections)
    with listener:
        task_status.started(listener.getsockname()[1])
        await server.run(listener)


class _Server:
    """Accepts connections and closes them when the server stops."""

    def __init__(
        self,
        state: http_server_connection.ServerState,
        max_connections: int,
    ) -> None:
        self._state = state
        self._max_connections = max_connections
        self._connections = 0
        self._closed = trio.Event()

    async def run(self, listener: trio.socket.SocketType) -> None:
        """Accepts until the server stops, then waits for connections to end."""
        async with trio.open_nursery() as connections:
            async with trio.open_nursery() as accepting:
                accepting.start_soon(self._accept, listener, connections)
                await self._state.stopping.wait()
                accepting.cancel_scope.cancel()
            await self._accept_backlog(listener, connections)
            listener.close()
            for connection in list(self._state.idle):
                connection.end_idle()

    async def _accept(
        self, listener: trio.socket.SocketType, connections: trio.Nursery
    ) -> None:
        while True:
            accepted = await http_listener.accept(listener)
            try:
                await self._make_room()
            except trio.Cancelled:
                # The server stops; what it has accepted is still served.
                self._connections += 1
                connections.start_soon(self._serve_connection, accepted)
                raise
            self._connections += 1
            connections.start_soon(self._serve_connection, accepted)

    async def _make_room(self) -> None:
        """Waits until another connection may be served.

        The connection that has been idle or has stalled longest is closed for
        it. If all run requests or make progress, it waits for one of them.
        """
        while self._connections >= self._max_connections:
            memory = self._state.memory
            victim = memory_decision.longest_without_progress(
                self._state.closable, trio.current_time() * 1000.0
            )
            if victim is not None:
                memory.revoke(victim, host_memory.Action.TABLE_FULL)
            closed = self._closed = trio.Event()
            with trio.move_on_after(_FULL_RECHECK_S):
                await closed.wait()

    async def _accept_backlog(
        self, listener: trio.socket.SocketType, connections: trio.Nursery
    ) -> None:
        """Accepts the connections that are already in the listen backlog."""
        for _ in range(http_listener.BACKLOG):
            with trio.move_on_after(_BACKLOG_WAIT_S) as scope:
                accepted = await http_listener.accept(listener)
                self._connections += 1
                connections.start_soon(self._serve_connection, accepted)
            if scope.cancelled_caught:
                return

    async def _serve_connection(self, accepted: trio.socket.SocketType) -> None:
        stream = trio.SocketStream(accepted)
        try:
            connection = http_server_connection.Connection(stream, self._state)
            await connection.run()
        finally:
            self._connections -= 1
            await trio.aclose_forcefully(stream)
            self._closed.set()
