"""The components that every process of the system has, connected.

An entry and a sidecar each have one core: their identity, their copy of the
configuration, their view of the fleet, and their clients for the log and for
other processes. It also implements what both share: announcing themselves,
serving HTTP and shutting down.
"""

from collections.abc import Awaitable, Callable
from typing import Any

import trio

from quetzalmill import clock as clock_module
from quetzalmill import config_store
from quetzalmill import control
from quetzalmill import daemon
from quetzalmill import fleet_view
from quetzalmill import host_memory
from quetzalmill import http_client
from quetzalmill import http_message
from quetzalmill import http_server
from quetzalmill import instances
from quetzalmill import log_port
from quetzalmill import logs
from quetzalmill import metrics as metrics_module
from quetzalmill import objects
from quetzalmill import process_signals
from quetzalmill import settings as settings_module
from quetzalmill import suspects as suspects_module

LOG_TIMEOUT_MS = 2_000.0
"""Timeout of a request to the log service."""

_log = logs.get("process_core")


class ProcessCore:
    """The common components of one process.

    Attributes:
        identity: The identity that this process announces.
        nursery: The nursery in which its tasks run.
        clock: Its clock.
        store: Its copy of the configuration.
        fleet: Its local view of other processes.
        metrics: Its metrics.
        suspects: Requests suspected of crashing endpoints.
        client: Its HTTP client.
        control: Its client for control calls.
        log_port: Its client for the log.
        stopping: Set when it accepts no more connections from callers.
    """

    def __init__(
        self,
        role: str,
        settings: settings_module.EntrySettings
        | settings_module.SidecarSettings,
        nursery: trio.Nursery,
        *,
        control_address: str,
    ) -> None:
        self.identity = daemon.Identity(
            host=settings.host,
            spec=objects.ProcessSpec(
                role=role,
                instance=instances.new_instance_id(),
                http_address=settings.http_address,
                control_address=control_address,
                failure_domain=settings.failure_domain,
            ),
        )
        self.nursery = nursery
        self.clock = clock_module.SystemClock()
        self.store = config_store.ConfigStore()
        self.fleet = fleet_view.FleetView(
            self.store.config, timeout_ms=settings.peer_timeout_ms
        )
        self.metrics = metrics_module.Metrics(
            settings.statsd_address, role, settings.host
        )
        self.suspects = suspects_module.Suspects()
        self.client = http_client.HttpClient()
        self.control = control.ControlClient()
        self.log_port = log_port.HttpLogPort(
            # The log's client uses each connection once.
            http_client.HttpClient(max_idle=0),
            settings.log_address,
            timeout_ms=LOG_TIMEOUT_MS,
        )
        self.memory = host_memory.of_machine()
        self.stopping = trio.Event()
        self._stop_requested = trio.Event()
        self._replaced = trio.Event()
        self._served = trio.Event()
        self.store.on_change(self.fleet.configuration_changed)
        self._evacuated: set[str] = set()
        self.store.on_change(self._log_evacuations)
        self.store.on_change(self._quarantines_changed)

    def start_announcing(self) -> None:
        """Announces the process and watches whether another replaces it."""
        self.nursery.start_soon(
            daemon.announce,
            self.identity,
            self.store,
            self.log_port,
            self._replaced,
        )

    def is_asked_to_shut_down(self) -> bool:
        """Returns whether this instance is asked to accept no new work."""
        return self.fleet.is_asked_to_shut_down(
            self.identity.host, self.identity.spec.instance
        )

    async def announce_leaving(self) -> None:
        """Announces in the log that this process accepts no new work."""
        await daemon.announce_leaving(
            self.identity, self.log_port, LOG_TIMEOUT_MS
        )

    async def serve(
        self,
        address: str,
        handler: http_server.Handler,
        limits: http_message.Limits,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves HTTP until ``stopping`` is set and all responses are sent."""
        await http_server.serve(
            address,
            handler,
            limits=limits,
            stopping=self.stopping,
            on_error=report_error,
            memory=self.memory,
            task_status=task_status,
        )
        self._served.set()

    async def stop_serving(self) -> None:
        """Accepts no more connections; returns when all responses are sent."""
        self.stopping.set()
        await self._served.wait()

    async def until_ended(self, drain: Callable[[], Awaitable[None]]) -> None:
        """Returns after a signal and ``drain``, or once it was replaced."""
        role = self.identity.spec.role
        _log.info("process_started", role=role, host=self.identity.host)
        async with trio.open_nursery() as nursery:
            await nursery.start(
                process_signals.handle,
                self._stop_requested.set,
                _report_no_reload,
            )
            nursery.start_soon(self._stop_when_replaced)
            await self._stop_requested.wait()
            if not self._replaced.is_set():
                await drain()
            nursery.cancel_scope.cancel()
        _log.info("process_ended", role=role, host=self.identity.host)

    def dump(self) -> dict[str, Any]:
        """Returns the fields that the state dumps of all processes have."""
        now_ms = self.clock.now_ms()
        config = self.store.config
        return {
            "host": self.identity.host,
            "role": self.identity.spec.role,
            "instance": self.identity.spec.instance,
            "leaving": self.identity.spec.leaving,
            "applied_offset": config.applied_offset,
            "heard": [
                each.host
                for role in (objects.ENTRY, objects.SIDECAR)
                for each in self.fleet.live_processes(role, now_ms)
            ],
            "keys": {
                stored.name: stored.spec.get("withdrawn", False)
                for stored in config.all_of(objects.KEY)
            },
            "evacuated_domains": config.evacuations(),
            "suspects": {
                each.fingerprint: each.crashes
                for each in self.suspects.all_known(now_ms)
            },
        }

    def _log_evacuations(self) -> None:
        evacuated = self.store.config.evacuations()
        for domain in sorted(self._evacuated ^ set(evacuated)):
            _log.warning(
                "domain_evacuated"
                if domain in evacuated
                else "evacuation_withdrawn",
                domain=domain,
                offset=self.store.config.applied_offset,
            )
        self._evacuated = set(evacuated)

    async def _stop_when_replaced(self) -> None:
        await self._replaced.wait()
        self._stop_requested.set()

    def _quarantines_changed(self) -> None:
        self.suspects.configuration_changed(
            self.store.config, self.clock.now_ms()
        )


def _report_no_reload() -> None:
    _log.info("settings_not_reloaded", reason="they are read at a start only")


def report_error(error: BaseException) -> None:
    """Logs an exception that a request handler did not catch."""
    _log.error("handler_failed", reason=repr(error))
