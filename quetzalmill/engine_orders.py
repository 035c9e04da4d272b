"""Orders to engines: the model, adapters or role that an operator wants.

Only the engine's own sidecar sends orders, one at a time, with the endpoint's
revision as fencing number. An engine may refuse older fencing numbers or not
check them. For engines that don't check, the newest order is resent
periodically, so that an order of a resumed old process does not persist.
"""

from collections.abc import Callable

import attrs
import trio

from quetzalmill import clock as clock_module
from quetzalmill import configuration
from quetzalmill import endpoint_port
from quetzalmill import errors
from quetzalmill import logs
from quetzalmill import objects

RESEND_INTERVAL_MS = 10_000.0
"""Time after which a confirmed order is sent again."""

RETRY_INTERVAL_MS = 1_000.0
"""Time after which a failed order is retried."""

_POLL_INTERVAL_MS = 200.0

_log = logs.get("engine_orders")


@attrs.define(kw_only=True)
class _SentOrder:
    revision: int
    next_ms: float


class OrderSchedule:
    """Tracks when each endpoint's order is due, without any I/O."""

    def __init__(self) -> None:
        self._sent: dict[str, _SentOrder] = {}

    def is_due(self, endpoint: str, revision: int, now_ms: float) -> bool:
        """Returns whether the order of a revision must be sent now."""
        sent = self._sent.get(endpoint)
        if sent is None or sent.revision < revision:
            return True
        return now_ms >= sent.next_ms

    def obeyed(self, endpoint: str, revision: int, now_ms: float) -> None:
        """Records that an engine confirmed an order."""
        self._sent[endpoint] = _SentOrder(
            revision=revision, next_ms=now_ms + RESEND_INTERVAL_MS
        )

    def failed(self, endpoint: str, revision: int, now_ms: float) -> None:
        """Records that an order failed or that its outcome is unknown."""
        self._sent[endpoint] = _SentOrder(
            revision=revision, next_ms=now_ms + RETRY_INTERVAL_MS
        )

    def keep_only(self, endpoints: set[str]) -> None:
        """Forgets endpoints that are no longer served here."""
        for endpoint in set(self._sent) - endpoints:
            del self._sent[endpoint]


class OrderKeeper:
    """Sends the orders of one sidecar."""

    def __init__(
        self,
        host: str,
        *,
        config: configuration.Configuration,
        port: endpoint_port.EndpointPort,
        may_order: Callable[[], bool],
        clock: clock_module.Clock,
    ) -> None:
        self._host = host
        self._config = config
        self._port = port
        self._may_order = may_order
        self._clock = clock
        self._schedule = OrderSchedule()

    async def run(self) -> None:
        """Sends due orders until cancelled."""
        while True:
            await trio.sleep(_POLL_INTERVAL_MS / 1000.0)
            for endpoint in self._endpoints():
                await self._send_if_due(endpoint)

    def _endpoints(self) -> list[str]:
        served = [
            name
            for name, spec in self._config.specs(
                objects.ENDPOINT, objects.EndpointSpec
            ).items()
            if spec.host == self._host and spec.kind == objects.ENGINE
        ]
        self._schedule.keep_only(set(served))
        return served

    async def _send_if_due(self, endpoint: str) -> None:
        spec = self._config.endpoint(endpoint)
        revision = self._config.revision(objects.ENDPOINT, endpoint)
        if spec is None or not spec.wanted:
            return
        if not self._schedule.is_due(endpoint, revision, self._clock.now_ms()):
            return
        # A process that was paused may have been replaced in the meantime; its
        # next heartbeat reports that.
        if not self._may_order():
            return
        try:
            await self._port.order(spec.address, spec.wanted, revision)
        except errors.RefusedByEndpointError as error:
            _log.warning("order_refused", endpoint=endpoint, reason=str(error))
            self._schedule.failed(endpoint, revision, self._clock.now_ms())
        except errors.ExternalSystemError as error:
            _log.info("order_failed", endpoint=endpoint, reason=str(error))
            self._schedule.failed(endpoint, revision, self._clock.now_ms())
        else:
            self._schedule.obeyed(endpoint, revision, self._clock.now_ms())
