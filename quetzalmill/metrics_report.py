"""Sends the metrics that a process can read off its own state on a timer.

Gauges are read as they are. Counters that the parts of a process keep as
running totals are sent as what came since the report before, so those parts
need not know of metrics.
"""

from collections.abc import Callable, Mapping

import trio

from quetzalmill import metrics as metrics_module

REPORT_MS = 1_000.0
"""Time between two reports."""

Reader = Callable[[], float]


class Reporter:
    """The regular reports of one process."""

    def __init__(
        self,
        metrics: metrics_module.Metrics,
        *,
        gauges: Mapping[metrics_module.Metric, Reader],
        totals: Mapping[metrics_module.Metric, Reader],
    ) -> None:
        """Takes what to read.

        Args:
            metrics: Where reports go.
            gauges: Values as they are now.
            totals: Counts since the process started.
        """
        self._metrics = metrics
        self._gauges = gauges
        self._totals = totals
        self._reported: dict[metrics_module.Metric, int] = {}

    async def run(self) -> None:
        """Reports until cancelled."""
        while True:
            await trio.sleep(REPORT_MS / 1000.0)
            self.report()

    def report(self) -> None:
        """Sends one report."""
        for metric, read in self._gauges.items():
            self._metrics.gauge(metric, read())
        for metric, read in self._totals.items():
            total = int(read())
            since = total - self._reported.get(metric, 0)
            self._reported[metric] = total
            if since:
                self._metrics.count(metric, since)
