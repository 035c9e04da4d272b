"""Orders to engines: which model, adapters or role an operator wants.

Orders leave only through the sidecar beside the engine, one at a time, with
the endpoint's revision as fencing number. An engine may refuse an older number
or ignore it. For one that ignores it, the newest order is sent again from time
to time, so that an order of a process that was paused does not stay.
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

RESEND_MS = 10_000.0
"""Time after which an order that was obeyed is sent again."""

RETRY_MS = 1_000.0
"""Time after which an order is tried again that was not obeyed."""

_POLL_MS = 200.0

_log = logs.get("engine_orders")


@attrs.define(kw_only=True)
class _Sent:
    revision: int
    next_ms: float


class OrderBook:
    """Which order is due at which endpoint; plain data."""

    def __init__(self) -> None:
        self._sent: dict[str, _Sent] = {}

    def is_due(self, endpoint: str, revision: int, now_ms: float) -> bool:
        """Returns whether the order of a revision is to be sent now."""
        sent = self._sent.get(endpoint)
        if sent is None or sent.revision < revision:
            return True
        return now_ms >= sent.next_ms

    def obeyed(self, endpoint: str, revision: int, now_ms: float) -> None:
        """Notes that an engine has taken an order."""
        self._sent[endpoint] = _Sent(
            revision=revision, next_ms=now_ms + RESEND_MS
        )

    def failed(self, endpoint: str, revision: int, now_ms: float) -> None:
        """Notes that an engine has not taken an order, or may not have."""
        self._sent[endpoint] = _Sent(
            revision=revision, next_ms=now_ms + RETRY_MS
        )

    def keep_only(self, endpoints: set[str]) -> None:
        """Forgets endpoints that are served here no more."""
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
        self._book = OrderBook()

    async def run(self) -> None:
        """Sends orders as they are due, until cancelled."""
        while True:
            await trio.sleep(_POLL_MS / 1000.0)
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
        self._book.keep_only(set(served))
        return served

    async def _send_if_due(self, endpoint: str) -> None:
        spec = self._config.endpoint(endpoint)
        revision = self._config.revision(objects.ENDPOINT, endpoint)
        if spec is None or not spec.wanted:
            return
        if not self._book.is_due(endpoint, revision, self._clock.now_ms()):
            return
        # A process that was paused may have been replaced meanwhile, and
        # learns of it with its next heartbeat.
        if not self._may_order():
            return
        try:
            await self._port.order(spec.address, spec.wanted, revision)
        except errors.RefusedByEndpointError as error:
            _log.warning("order_refused", endpoint=endpoint, reason=str(error))
            self._book.failed(endpoint, revision, self._clock.now_ms())
        except errors.PortError as error:
            _log.info("order_failed", endpoint=endpoint, reason=str(error))
            self._book.failed(endpoint, revision, self._clock.now_ms())
        else:
            self._book.obeyed(endpoint, revision, self._clock.now_ms())
