"""What this process knows of the other processes and their endpoints.

Evidence that a process leaves counts at once and sticks for that instance; a
late report that it lives overrides none of it. Silence only stops new work.
What an entry tells of others is kept by entry: all of it is as fresh as that
entry's last answer, so nothing is sent again while it does not change.
The module is plain synchronous code.
"""

import attrs

from quetzalmill import change_log
from quetzalmill import configuration
from quetzalmill import messages
from quetzalmill import objects


@attrs.frozen(kw_only=True)
class HeardProcess:
    """A process as last heard, directly or through an entry.

    Attributes:
        host: Its host.
        spec: The process.
        applied_offset: The configuration offset that it had applied.
        at_ms: When it was heard, on this process's clock.
    """

    host: str
    spec: objects.ProcessSpec
    applied_offset: int
    at_ms: float


@attrs.define(kw_only=True)
class _Source:
    """What one entry tells of other processes.

    Attributes:
        at_ms: When it last answered, on this process's clock.
        applied_offset: The offset that its processes have, if not lagging.
        lagging: Offsets of processes that lag behind that.
        processes: The copy of its table of processes.
        loads: The copy of its table of loads.
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
    """Processes and loads, as heard and as published."""

    def __init__(
        self, config: configuration.Configuration, *, timeout_ms: float
    ) -> None:
        self._config = config
        self._timeout_ms = timeout_ms
        self._heard: dict[str, HeardProcess] = {}
        self._loads: dict[str, tuple[messages.EndpointLoad, float]] = {}
        self._sources: dict[str, _Source] = {}
        self._leaving: set[tuple[str, str]] = set()
        self._published: dict[str, str] = {}
        self._replaced: set[tuple[str, str]] = set()
        self._listed: dict[str, str] = {}
        self._listed_leaving: set[str] = set()

    def configuration_changed(self) -> None:
        """Notes which instances the newest configuration has replaced."""
        for host, spec in self._config.specs(
            objects.PROCESS, objects.ProcessSpec
        ).items():
            before = self._published.get(host)
            if before is not None and before != spec.instance:
                self._replaced.add((host, before))
            self._published[host] = spec.instance
            if spec.leaving:
                self._leaving.add((host, spec.instance))

    def note(
        self,
        host: str,
        spec: objects.ProcessSpec,
        *,
        applied_offset: int,
        at_ms: float,
    ) -> None:
        """Notes that a process was alive at ``at_ms``."""
        if spec.leaving:
            self._leaving.add((host, spec.instance))
        known = self._heard.get(host)
        if known is not None and known.at_ms > at_ms:
            return
        if (host, spec.instance) in self._replaced:
            return
        self._heard[host] = HeardProcess(
            host=host, spec=spec, applied_offset=applied_offset, at_ms=at_ms
        )

    def positions(
        self, source: str
    ) -> tuple[change_log.Position, change_log.Position]:
        """Returns where this process stands in an entry's two tables."""
        known = self._sources.get(source, _Source())
        return known.processes.position, known.loads.position

    def note_reply(self, reply: messages.BeatReply, at_ms: float) -> None:
        """Notes an entry's answer to a beat that was sent at ``at_ms``."""
        self.note(
            reply.host,
            reply.spec,
            applied_offset=reply.applied_offset,
            at_ms=at_ms,
        )
        source = self._sources.setdefault(reply.host, _Source())
        if at_ms < source.at_ms:
            return
        source.at_ms = at_ms
        source.applied_offset = reply.applied_offset
        source.lagging = reply.lagging
        source.processes.take(reply.spec.instance, reply.processes)
        source.loads.take(reply.spec.instance, reply.loads)
        for host, spec in reply.processes.rows.items():
            if spec.leaving:
                self._leaving.add((host, spec.instance))

    def note_host_list(self, listed: dict[str, bool], now_ms: float) -> None:
        """Notes which hosts the host list shows, and whether they leave.

        The list lags. Leaving sticks for the instances that were known when
        the list began to say so; one that started later takes no work for as
        long as the list says so. A host that was listed and is no more proves
        that its instance of then is gone, if that is silent too.
        """
        for host, leaves in listed.items():
            process = self.process(host)
            if leaves and process and host not in self._listed_leaving:
                self._leaving.add((host, process.instance))
            if process:
                self._listed[host] = process.instance
        self._listed_leaving = {h for h, leaves in listed.items() if leaves}
        for host in set(self._listed) - set(listed):
            if not self.is_alive(host, now_ms):
                self._replaced.add((host, self._listed.pop(host)))

    def note_loads(
        self, loads: list[messages.EndpointLoad], at_ms: float
    ) -> None:
        """Notes reports of endpoints' loads."""
        for load in loads:
            self._loads[load.endpoint] = (load, at_ms)

    def load(self, endpoint: str) -> tuple[messages.EndpointLoad, float] | None:
        """Returns an endpoint's last report and when it was noted."""
        newest = self._loads.get(endpoint)
        for source in self._sources.values():
            told = source.loads.rows.get(endpoint)
            if told is not None and (
                newest is None or source.at_ms > newest[1]
            ):
                newest = (told, source.at_ms)
        return newest

    def loads(self) -> list[messages.EndpointLoad]:
        """Returns the last report of every known endpoint."""
        endpoints = set(self._loads)
        for source in self._sources.values():
            endpoints.update(source.loads.rows)
        found = [self.load(endpoint) for endpoint in sorted(endpoints)]
        return [report[0] for report in found if report is not None]

    def direct_loads(self, now_ms: float) -> dict[str, messages.EndpointLoad]:
        """Returns the loads that sidecars have lately told themselves."""
        return {
            endpoint: load
            for endpoint, (load, at_ms) in self._loads.items()
            if now_ms - at_ms <= self._timeout_ms
        }

    def process(self, host: str) -> objects.ProcessSpec | None:
        """Returns the newest process known on a host."""
        heard = self.last_heard(host)
        if heard is None or (host, heard.spec.instance) in self._replaced:
            return self._config.process(host)
        return heard.spec

    def is_alive(self, host: str, now_ms: float) -> bool:
        """Returns whether the host's newest process was heard lately."""
        heard = self.last_heard(host)
        if heard is None or now_ms - heard.at_ms > self._timeout_ms:
            return False
        return (host, heard.spec.instance) not in self._replaced

    def is_leaving(self, host: str) -> bool:
        """Returns whether the host's newest process takes no new work."""
        process = self.process(host)
        if process is None:
            return False
        return self.is_told_to_leave(host, process.instance)

    def is_told_to_leave(self, host: str, instance: str) -> bool:
        """Returns whether one instance of a host is to take no new work.

        A process asks this of itself. What is known of the host's instance
        before it, which may have left just now, does not concern it.
        """
        if host in self._listed_leaving:
            return True
        return (host, instance) in self._leaving

    def takes_work(self, host: str, now_ms: float) -> bool:
        """Returns whether new work may go to a host."""
        return self.is_alive(host, now_ms) and not self.is_leaving(host)

    def is_gone(self, host: str, instance: str, now_ms: float) -> bool:
        """Returns whether an instance was replaced or is silent."""
        process = self.process(host)
        if process is None or process.instance != instance:
            return True
        return not self.is_alive(host, now_ms)

    def heard(self, role: str, now_ms: float) -> list[HeardProcess]:
        """Returns the live processes of a role, ordered by host."""
        hosts = set(self._heard)
        for source in self._sources.values():
            hosts.update(source.processes.rows)
        found = [self.last_heard(host) for host in sorted(hosts)]
        return [
            attrs.evolve(heard, spec=self._with_evidence(heard))
            for heard in found
            if heard is not None
            and heard.spec.role == role
            and self.is_alive(heard.host, now_ms)
        ]

    def count_heard(self, now_ms: float) -> int:
        """Returns how many processes were heard in time."""
        roles = (objects.ENTRY, objects.SIDECAR)
        return sum(len(self.heard(role, now_ms)) for role in roles)

    def heard_directly(self, role: str, now_ms: float) -> list[HeardProcess]:
        """Returns the processes of a role that were lately heard here."""
        return [
            attrs.evolve(heard, spec=self._with_evidence(heard))
            for host, heard in sorted(self._heard.items())
            if heard.spec.role == role
            and now_ms - heard.at_ms <= self._timeout_ms
            and (host, heard.spec.instance) not in self._replaced
        ]

    def replaced(self) -> frozenset[str]:
        """Returns ``host instance`` of processes that surely run no more."""
        return frozenset(f"{host} {inst}" for host, inst in self._replaced)

    def last_heard(self, host: str) -> HeardProcess | None:
        """Returns a process as last heard, directly or through an entry."""
        newest = self._heard.get(host)
        for source in self._sources.values():
            spec = source.processes.rows.get(host)
            if spec is None or (host, spec.instance) in self._replaced:
                continue
            if newest is None or source.at_ms > newest.at_ms:
                newest = HeardProcess(
                    host=host,
                    spec=spec,
                    applied_offset=source.lagging.get(
                        host, source.applied_offset
                    ),
                    at_ms=source.at_ms,
                )
        return newest

    def working_hosts(self, role: str, now_ms: float) -> list[str]:
        """Returns the hosts of a role that take new work."""
        return [
            heard.host
            for heard in self.heard(role, now_ms)
            if self.takes_work(heard.host, now_ms)
        ]

    def _with_evidence(self, heard: HeardProcess) -> objects.ProcessSpec:
        if (heard.host, heard.spec.instance) not in self._leaving:
            return heard.spec
        return attrs.evolve(heard.spec, leaving=True)
