"""Periodically sends the metrics that are read from a process's state.

Gauges are sent as read. Counters are read as running totals and sent as the
increase since the previous report, so the components that keep the totals do
not depend on metrics.
"""

from collections.abc import Callable, Mapping

import trio

from quetzalmill import metrics as metrics_module

REPORT_INTERVAL_MS = 1_000.0
"""Time between two reports."""

Reader = Callable[[], float]


class Reporter:
    """Sends the periodic reports of one process."""

    def __init__(
        self,
        metrics: metrics_module.Metrics,
        *,
        gauges: Mapping[metrics_module.Metric, Reader],
        totals: Mapping[metrics_module.Metric, Reader],
    ) -> None:
        """Creates a reporter that reads the given values.

        Args:
            metrics: Sends the reports.
            gauges: Read the current values.
            totals: Read the counts since the process started.
        """
        self._metrics = metrics
        self._gauges = gauges
        self._totals = totals
        self._reported_totals: dict[metrics_module.Metric, int] = {}

    async def run(self) -> None:
        """Reports until cancelled."""
        while True:
            await trio.sleep(REPORT_INTERVAL_MS / 1000.0)
            self.report()

    def report(self) -> None:
        """Sends one report."""
        for metric, read in self._gauges.items():
            self._metrics.gauge(metric, read())
        for metric, read in self._totals.items():
            total = int(read())
            increase = total - self._reported_totals.get(metric, 0)
            self._reported_totals[metric] = total
            if increase:
                self._metrics.count(metric, increase)
