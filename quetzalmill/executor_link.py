"""Access to the executors of this sidecar and of other sidecars."""

from collections.abc import AsyncIterator
import contextlib

import attrs

from quetzalmill import answer
from quetzalmill import codec
from quetzalmill import configuration
from quetzalmill import control
from quetzalmill import errors
from quetzalmill import exchange_ids
from quetzalmill import executor
from quetzalmill import fleet_view
from quetzalmill import http_client
from quetzalmill import http_connection
from quetzalmill import http_message
from quetzalmill import internal_api
from quetzalmill import messages
from quetzalmill import objects

_STATUS_UNAVAILABLE = 503


class ExecutorLink:
    """Runs executions at any sidecar."""

    def __init__(
        self,
        host: str,
        *,
        config: configuration.Configuration,
        local: executor.Executor,
        client: http_client.HttpClient,
        control_client: control.ControlClient,
        fleet: fleet_view.FleetView,
        timeout_ms: float,
    ) -> None:
        self._host = host
        self._config = config
        self._local = local
        self._client = client
        self._control = control_client
        self._fleet = fleet
        self._timeout_ms = timeout_ms
        self.mismatched_frames = 0

    @contextlib.asynccontextmanager
    async def run(
        self, host: str, execution: messages.Execution
    ) -> AsyncIterator[AsyncIterator[messages.Frame]]:
        """Runs an execution at a sidecar and yields its frames.

        Raises:
            errors.ConnectFailedError: The execution was not delivered, or
                was refused before it was read.
            errors.HttpError: The connection failed; the call may have run.
        """
        if host == self._host:
            found = self._local.submit(execution)
            try:
                yield found.follow()
            finally:
                self._local.abandon(execution)
            return
        process = self._fleet.process(host)
        if process is None:
            raise errors.ConnectFailedError(f"host {host} is unknown")
        if not execution.instance:
            execution = attrs.evolve(execution, instance=process.instance)
        idempotent = execution.call.idempotent
        request = exchange_ids.named(
            http_message.Request(
                method="POST",
                path=internal_api.EXECUTIONS_PATH,
                body=codec.to_msgpack(execution),
            )
        )
        # The sidecar enforces the deadline and reports if the call ran.
        whole_timeout_ms = execution.call.time_left_ms + self._timeout_ms
        async with self._client.stream(
            process.http_address,
            request,
            timeout_ms=self._timeout_ms,
            whole_timeout_ms=whole_timeout_ms,
            idle_timeout_ms=whole_timeout_ms,
            new_connection=not idempotent,
            idempotent=idempotent,
            max_body_bytes=internal_api.MAX_ANSWER_BYTES,
        ) as response:
            exchange_ids.require_own(request, response.headers)
            _require_ok(host, response.status)
            yield self._frames(response, execution)

    def is_newer(self, host: str, offset: int) -> bool:
        """Returns whether a host's process was published after an offset.

        A process that is not published yet counts as newer than any offset.
        """
        if host == self._host:
            return False
        known = self._fleet.process(host)
        published = self._config.get(objects.PROCESS, host)
        if known is None or published is None:
            return True
        if published.spec.get("instance") != known.instance:
            return True
        return published.revision > offset

    async def fence(
        self, host: str, request: messages.FenceRequest
    ) -> messages.FenceReply:
        """Fences the epochs of earlier homes at a sidecar.

        Raises:
            errors.ControlCallError: The sidecar did not answer.
        """
        if host == self._host:
            return self._local.fence(request)
        process = self._fleet.process(host)
        if process is None:
            raise errors.ControlCallError(f"host {host} is unknown")
        reply: messages.FenceReply = await self._control.call(
            process.control_address,
            messages.FENCE,
            request,
            timeout_ms=self._timeout_ms,
        )
        return reply

    def _frames(
        self,
        response: http_connection.StreamedResponse,
        execution: messages.Execution,
    ) -> AsyncIterator[messages.Frame]:
        call = execution.call
        # A call that runs at most once has one answer for all attempts.
        attempt = execution.attempt if call.idempotent else None
        reader = answer.FrameReader(call.program, call.number, attempt)
        return reader.read(response, self._count_mismatched)

    def _count_mismatched(self, frames: int) -> None:
        self.mismatched_frames += frames


def _require_ok(host: str, status: int) -> None:
    message = f"host {host} answered with status {status}"
    if status == _STATUS_UNAVAILABLE or 400 <= status < 500:
        raise errors.ConnectFailedError(message)
    if status != 200:
        raise errors.ConnectionLostError(message)
