"""Watches the gateways' processes: how they end, and whether they answer."""

import signal

import attrs
import trio

from quetzalmill import errors
from quetzalmill import http_message
from quetzalmill_load import platform_cluster
from quetzalmill_soak import checks
from quetzalmill_soak import record as record_module

SILENCE_S = 2.0
"""The users' time without an answer to a readiness check after which callers
are no longer routed to a gateway."""

_PAUSE_S = 0.25
_STOPS = frozenset({signal.SIGTERM, signal.SIGINT})
_READY = http_message.Request(method="GET", path="/ready")


def expected_codes(sent: set[int]) -> set[int]:
    """Returns how a process may end, as an exit code.

    Args:
        sent: The signals that it has received since its start.
    """
    codes = set()
    if sent & _STOPS:
        codes.add(0)
    if signal.SIGKILL in sent:
        codes.add(-signal.SIGKILL)
    return codes


@attrs.define(eq=False)
class GatewayWatch:
    """Sends signals to gateways, and notes what they do not explain.

    Attributes:
        cluster: The gateways.
        record: The record of the run, for its disturbances.
        broken: What was noted, a line each.
    """

    cluster: platform_cluster.Cluster
    record: record_module.Record
    broken: list[str] = attrs.field(factory=list)
    _sent: dict[int, set[int]] = attrs.field(factory=dict)

    def signal(self, number: int, which: int) -> None:
        """Sends a signal to a gateway, unless its process has ended."""
        process = self.cluster.gateways[number].process
        if process.poll() is None:
            self._sent.setdefault(number, set()).add(which)
            process.send_signal(which)

    def start_again(self, number: int) -> None:
        """Starts a gateway whose process has ended."""
        self.check_end(number)
        self._sent.pop(number, None)
        self.cluster.start_again(self.cluster.gateways[number])

    def check_end(self, number: int) -> None:
        """Notes an end that no signal explains."""
        code = self.cluster.gateways[number].process.poll()
        sent = self._sent.get(number, set())
        if code is not None and code not in expected_codes(sent):
            self.broken.append(
                f"gateway {number} ended with {code} after signals {sent}"
            )

    async def run(self) -> None:
        """Asks all gateways for their readiness until cancelled."""
        async with trio.open_nursery() as nursery:
            for number in range(len(self.cluster.gateways)):
                nursery.start_soon(self._ask_forever, number)

    async def _ask_forever(self, number: int) -> None:
        while True:
            asked_s = trio.current_time()
            try:
                await self.cluster.client.request(
                    self.cluster.gateways[number].ready,
                    _READY,
                    timeout_ms=1000.0 * SILENCE_S,
                    new_connection=True,
                )
            except errors.HttpError:
                self._check_silence(number, asked_s)
            await trio.sleep(_PAUSE_S)

    def _check_silence(self, number: int, asked_s: float) -> None:
        silent_s = trio.current_time() - asked_s
        if silent_s >= SILENCE_S and not self.record.disturbed(
            number,
            asked_s - checks.SETTLE_S,
            trio.current_time(),
            only=checks.STANDS_STILL,
        ):
            self.broken.append(
                f"gateway {number} was silent for {silent_s:.1f} s"
                f" from {asked_s:.2f}"
            )
