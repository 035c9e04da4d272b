"""This process's local view of the other processes and their endpoints.

Evidence that a process is shutting down takes effect at once and is permanent
for that instance; a late report that it is alive does not override it. Silence
only stops new work. What an entry reports about others is stored per entry and
is all as recent as that entry's last answer, so unchanged rows are not sent
again. The module is plain synchronous code.
"""

import attrs

from quetzalmill import change_log
from quetzalmill import configuration
from quetzalmill import messages
from quetzalmill import objects


@attrs.frozen(kw_only=True)
class ProcessReport:
    """The last report of a process, received directly or from an entry.

    Attributes:
        host: Its host.
        spec: Its specification.
        applied_offset: The configuration offset that it had applied.
        at_ms: When it is known to have been alive, on this process's clock.
    """

    host: str
    spec: objects.ProcessSpec
    applied_offset: int
    at_ms: float


@attrs.define(kw_only=True)
class _RelayedView:
    """What one entry reports about other processes.

    Attributes:
        at_ms: When the last heartbeat that it answered was sent, on this
            process's clock.
        applied_offset: The offset applied by all processes not in `lagging`.
        lagging: Offsets of the processes that are behind it.
        processes: A copy of the entry's table of processes.
        loads: A copy of the entry's table of loads.
    """

    at_ms: float = 0.0
    applied_offset: int = 0
    lagging: dict[str, int] = attrs.field(factory=dict)
    processes: change_log.Mirror[objects.ProcessSpec] = attrs.field(
        factory=change_log.Mirror
    )
    loads: change_log.Mirror[messages.EndpointLoad] = attrs.field(
        factory=change_log.Mirror
    )


class FleetView:
    """Known processes and loads, from reports and the configuration."""

    def __init__(
        self, config: configuration.Configuration, *, timeout_ms: float
    ) -> None:
        self._config = config
        self._timeout_ms = timeout_ms
        self._direct_reports: dict[str, ProcessReport] = {}
        self._loads: dict[str, tuple[messages.EndpointLoad, float]] = {}
        self._relayed_views: dict[str, _RelayedView] = {}
        self._leaving_instances: set[tuple[str, str]] = set()
        self._published_instances: dict[str, str] = {}
        self._replaced_instances: set[tuple[str, str]] = set()
        self._listed_instances: dict[str, str] = {}
        self._hosts_listed_leaving: set[str] = set()

    def configuration_changed(self) -> None:
        """Records the instances that the newest configuration replaced."""
        for host, spec in self._config.specs(
            objects.PROCESS, objects.ProcessSpec
        ).items():
            before = self._published_instances.get(host)
            if before is not None and before != spec.instance:
                self._replaced_instances.add((host, before))
            self._published_instances[host] = spec.instance
            if spec.leaving:
                self._leaving_instances.add((host, spec.instance))

    def record(
        self,
        host: str,
        spec: objects.ProcessSpec,
        *,
        applied_offset: int,
        at_ms: float,
    ) -> None:
        """Records that a process was alive at ``at_ms``."""
        if spec.leaving:
            self._leaving_instances.add((host, spec.instance))
        known = self._direct_reports.get(host)
        if known is not None and known.at_ms > at_ms:
            return
        if (host, spec.instance) in self._replaced_instances:
            return
        self._direct_reports[host] = ProcessReport(
            host=host, spec=spec, applied_offset=applied_offset, at_ms=at_ms
        )

    def positions(
        self, source: str
    ) -> tuple[change_log.Position, change_log.Position]:
        """Returns the positions reached in an entry's processes and loads."""
        known = self._relayed_views.get(source, _RelayedView())
        return known.processes.position, known.loads.position

    def record_reply(
        self, reply: messages.HeartbeatReply, at_ms: float
    ) -> None:
        """Applies an entry's answer to a heartbeat sent at ``at_ms``."""
        self.record(
            reply.host,
            reply.spec,
            applied_offset=reply.applied_offset,
            at_ms=at_ms,
        )
        source = self._relayed_views.setdefault(reply.host, _RelayedView())
        if at_ms < source.at_ms:
            return
        source.at_ms = at_ms
        source.applied_offset = reply.applied_offset
        source.lagging = reply.lagging
        source.processes.take(reply.spec.instance, reply.processes)
        source.loads.take(reply.spec.instance, reply.loads)
        for host, spec in reply.processes.rows.items():
            if spec.leaving:
                self._leaving_instances.add((host, spec.instance))

    def record_host_list(self, listed: dict[str, bool], now_ms: float) -> None:
        """Applies the host list: its hosts, and whether each shuts down.

        The list lags. Shutting down is permanent for the instance that was
        known when the list first showed it; an instance that started later
        gets no work while the list still shows it. A host that is no longer
        listed proves that the instance seen while it was listed has ended, if
        that instance is silent too.
        """
        for host, shutting_down in listed.items():
            process = self.process(host)
            if (
                shutting_down
                and process
                and host not in self._hosts_listed_leaving
            ):
                self._leaving_instances.add((host, process.instance))
            if process:
                self._listed_instances[host] = process.instance
        self._hosts_listed_leaving = {
            h for h, shutting_down in listed.items() if shutting_down
        }
        for host in set(self._listed_instances) - set(listed):
            if not self.is_alive(host, now_ms):
                self._replaced_instances.add(
                    (host, self._listed_instances.pop(host))
                )

    def record_loads(
        self, loads: list[messages.EndpointLoad], at_ms: float
    ) -> None:
        """Records the loads of endpoints as reported at ``at_ms``."""
        for load in loads:
            self._loads[load.endpoint] = (load, at_ms)

    def load(self, endpoint: str) -> tuple[messages.EndpointLoad, float] | None:
        """Returns an endpoint's last load report and its time."""
        newest = self._loads.get(endpoint)
        for source in self._relayed_views.values():
            relayed = source.loads.rows.get(endpoint)
            if relayed is not None and (
                newest is None or source.at_ms > newest[1]
            ):
                newest = (relayed, source.at_ms)
        return newest

    def loads(self) -> list[messages.EndpointLoad]:
        """Returns the last load report of every known endpoint."""
        endpoints = set(self._loads)
        for source in self._relayed_views.values():
            endpoints.update(source.loads.rows)
        found = [self.load(endpoint) for endpoint in sorted(endpoints)]
        return [report[0] for report in found if report is not None]

    def direct_loads(self, now_ms: float) -> dict[str, messages.EndpointLoad]:
        """Returns the loads received from their own sidecars recently."""
        return {
            endpoint: load
            for endpoint, (load, at_ms) in self._loads.items()
            if now_ms - at_ms <= self._timeout_ms
        }

    def process(self, host: str) -> objects.ProcessSpec | None:
        """Returns the newest process known on a host."""
        report = self.last_report(host)
        if (
            report is None
            or (host, report.spec.instance) in self._replaced_instances
        ):
            return self._config.process(host)
        return report.spec

    def is_alive(self, host: str, now_ms: float) -> bool:
        """Returns whether the host's newest process was reported recently."""
        report = self.last_report(host)
        if report is None or now_ms - report.at_ms > self._timeout_ms:
            return False
        return (host, report.spec.instance) not in self._replaced_instances

    def is_leaving(self, host: str) -> bool:
        """Returns whether the host's newest process is shutting down."""
        process = self.process(host)
        if process is None:
            return False
        return self.is_asked_to_shut_down(host, process.instance)

    def is_asked_to_shut_down(self, host: str, instance: str) -> bool:
        """Returns whether one instance of a host must accept no new work.

        A process calls this for its own instance. Evidence about the host's
        previous instance, which may have just shut down, does not count.
        """
        if host in self._hosts_listed_leaving:
            return True
        return (host, instance) in self._leaving_instances

    def takes_work(self, host: str, now_ms: float) -> bool:
        """Returns whether new work may go to a host."""
        return self.is_alive(host, now_ms) and not self.is_leaving(host)

    def is_considered_dead(
        self, host: str, instance: str, now_ms: float
    ) -> bool:
        """Returns whether an instance was replaced or is considered dead."""
        process = self.process(host)
        if process is None or process.instance != instance:
            return True
        return not self.is_alive(host, now_ms)

    def live_processes(self, role: str, now_ms: float) -> list[ProcessReport]:
        """Returns the live processes of a role, ordered by host."""
        hosts = set(self._direct_reports)
        for source in self._relayed_views.values():
            hosts.update(source.processes.rows)
        found = [self.last_report(host) for host in sorted(hosts)]
        return [
            attrs.evolve(report, spec=self._with_evidence(report))
            for report in found
            if report is not None
            and report.spec.role == role
            and self.is_alive(report.host, now_ms)
        ]

    def count_live(self, now_ms: float) -> int:
        """Returns the number of live entries and sidecars."""
        roles = (objects.ENTRY, objects.SIDECAR)
        return sum(len(self.live_processes(role, now_ms)) for role in roles)

    def direct_processes(self, role: str, now_ms: float) -> list[ProcessReport]:
        """Returns the processes of a role that reported here recently."""
        return [
            attrs.evolve(report, spec=self._with_evidence(report))
            for host, report in sorted(self._direct_reports.items())
            if report.spec.role == role
            and now_ms - report.at_ms <= self._timeout_ms
            and (host, report.spec.instance) not in self._replaced_instances
        ]

    def replaced(self) -> frozenset[str]:
        """Returns ``host instance`` of each process known to have ended."""
        return frozenset(
            f"{host} {inst}" for host, inst in self._replaced_instances
        )

    def last_report(self, host: str) -> ProcessReport | None:
        """Returns a host's last report, received directly or from an entry."""
        newest = self._direct_reports.get(host)
        for source in self._relayed_views.values():
            spec = source.processes.rows.get(host)
            if (
                spec is None
                or (host, spec.instance) in self._replaced_instances
            ):
                continue
            if newest is None or source.at_ms > newest.at_ms:
                newest = ProcessReport(
                    host=host,
                    spec=spec,
                    applied_offset=source.lagging.get(
                        host, source.applied_offset
                    ),
                    at_ms=source.at_ms,
                )
        return newest

    def working_hosts(self, role: str, now_ms: float) -> list[str]:
        """Returns the hosts of a role that accept new work."""
        return [
            report.host
            for report in self.live_processes(role, now_ms)
            if self.takes_work(report.host, now_ms)
        ]

    def _with_evidence(self, report: ProcessReport) -> objects.ProcessSpec:
        if (report.host, report.spec.instance) not in self._leaving_instances:
            return report.spec
        return attrs.evolve(report.spec, leaving=True)
