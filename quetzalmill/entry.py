"""The entry process, which runs on the entry hosts behind the balancer.

It connects the callers' and operators' APIs, the reader of the log, the teams'
rates and the control traffic, and runs them on one event loop. The decisions
are made in those modules.
"""

from typing import Any

import trio

from quetzalmill import admission as admission_module
from quetzalmill import announcement
from quetzalmill import callers_api
from quetzalmill import codec
from quetzalmill import config_tail
from quetzalmill import control
from quetzalmill import daemon
from quetzalmill import entry_control
from quetzalmill import errors
from quetzalmill import forwarding
from quetzalmill import freshness as freshness_module
from quetzalmill import home_link
from quetzalmill import host_list
from quetzalmill import host_watch
from quetzalmill import http_message
from quetzalmill import http_server
from quetzalmill import logs
from quetzalmill import messages
from quetzalmill import metrics as metrics_module
from quetzalmill import metrics_report
from quetzalmill import objects
from quetzalmill import operator_api
from quetzalmill import process_core
from quetzalmill import settings as settings_module
from quetzalmill import share_keeper
from quetzalmill import shares
from quetzalmill import team_rates

BALANCER_NOTICE_MS = 2_000.0
"""Time for the balancer to react before an entry stops accepting."""

_HOUSEKEEPING_MS = 50.0
_QUARANTINE_MS = 500.0

_log = logs.get("entry")


def run(settings: settings_module.EntrySettings) -> int:
    """Runs an entry until it is asked to stop; returns its exit code."""
    logs.configure(settings.log_level)
    return daemon.run(lambda: _main(settings))


async def _main(settings: settings_module.EntrySettings) -> int:
    async with trio.open_nursery() as nursery:
        entry = Entry(settings, nursery)
        await entry.start()
        await entry.until_ended()
        nursery.cancel_scope.cancel()
    return 0


class Entry:
    """The components of one entry process."""

    def __init__(
        self, settings: settings_module.EntrySettings, nursery: trio.Nursery
    ) -> None:
        self._settings = settings
        self._nursery = nursery
        self._core = process_core.ProcessCore(
            objects.ENTRY,
            settings,
            nursery,
            control_address=settings.advertised_control_address
            or settings.control_address,
        )
        self._freshness = freshness_module.Freshness(settings.config_lease_ms)
        self._ledger = shares.ShareHolder(
            settings.host,
            self._core.identity.spec.instance,
            lease_ms=settings.share_lease_ms,
        )
        self._rates = team_rates.TeamRates(self._ledger)
        self._tail = config_tail.ConfigTail(
            self._core.store,
            self._core.log_port,
            on_end_read=self._on_log_end_read,
            on_failure=self._on_log_failed,
            lease_ms=min(settings.config_lease_ms, settings.share_lease_ms),
            clock=self._core.clock,
        )
        self._control = self._new_control()
        self._share_keeper = self._new_share_keeper()
        self._admission = self._new_admission()
        self._home_link = self._new_home_link()
        self._callers_api = self._new_callers_api()
        self._operator_api = operator_api.OperatorApi(
            store=self._core.store,
            port=self._core.log_port,
            fleet=self._core.fleet,
            own=lambda: (self._core.identity.host, self._core.identity.spec),
            dump=self._dump,
            clock=self._core.clock,
        )

    async def start(self) -> None:
        """Starts the servers and the background tasks."""
        settings = self._settings
        self._core.store.on_change(self._share_keeper.configuration_changed)
        server = control.ControlServer(
            {
                messages.SIDECAR_HEARTBEAT: self._control.on_sidecar_heartbeat,
                messages.ENTRY_HEARTBEAT: self._control.on_entry_heartbeat,
                messages.ADMIT: self._admission.on_admit,
                messages.SUSPECTS: self._on_suspects,
            }
        )
        await server.start(settings.control_address)
        await self._nursery.start(self._serve_operators)
        await self._nursery.start(self._serve_callers)
        for task in (
            self._tail.run,
            self._tail.keep_snapshots,
            self._control.run,
            self._share_keeper.run,
            self._home_link.watch_forever,
            self._publish_quarantines,
            self._watch_shutdown_requests,
            self._new_reporter(server).run,
        ):
            self._nursery.start_soon(task)
        if settings.hosts_address is not None:
            self._nursery.start_soon(
                self._new_host_watch(settings.hosts_address).run
            )
        self._core.start_announcing()

    async def until_ended(self) -> None:
        """Serves until a signal or a newer process stops this one."""
        await self._core.until_ended(self._drain)

    async def _start_shutdown(self) -> None:
        """Stops being ready, but keeps serving requests that still arrive."""
        if self._core.identity.spec.leaving:
            return
        self._core.identity.mark_leaving()
        _log.info("leaving", host=self._core.identity.host)
        await self._core.announce_leaving()

    async def _watch_shutdown_requests(self) -> None:
        while not self._core.identity.spec.leaving:
            await trio.sleep(_HOUSEKEEPING_MS / 1000.0)
            if self._core.is_asked_to_shut_down():
                await self._start_shutdown()

    async def _drain(self) -> None:
        """Stops being ready, then completes the running requests."""
        timeout_ms = self._settings.drain_timeout_ms
        self._callers_api.shutdown.begin(
            self._core.clock.now_ms(),
            rotation_ms=BALANCER_NOTICE_MS,
            grace_ms=timeout_ms,
        )
        with trio.move_on_after(timeout_ms / 1000.0):
            await self._start_shutdown()
            await trio.sleep(BALANCER_NOTICE_MS / 1000.0)
            self._core.stopping.set()
            while self._callers_api.running:
                await trio.sleep(_HOUSEKEEPING_MS / 1000.0)
            await self._core.stop_serving()

    async def _serve_callers(
        self, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        settings = self._settings
        await self._core.serve(
            settings.http_address,
            self._callers_api.handle,
            http_message.Limits(
                max_header_bytes=settings.max_header_bytes,
                max_body_bytes=settings.max_body_bytes,
            ),
            task_status,
        )

    async def _serve_operators(
        self, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        await http_server.serve(
            self._settings.operator_address,
            self._operator_api.handle,
            limits=http_message.Limits(
                max_body_bytes=self._settings.max_body_bytes
            ),
            stopping=trio.Event(),
            on_error=process_core.report_error,
            memory=self._core.memory,
            task_status=task_status,
        )

    def _on_log_end_read(self, asked_ms: float) -> None:
        self._freshness.log_end_read(asked_ms)
        self._rates.log_end_read(asked_ms, self._core.clock.now_ms())

    def _on_log_failed(self) -> None:
        self._rates.log_read_failed(self._core.clock.now_ms())

    def _on_suspects(
        self, report: messages.SuspectReport
    ) -> messages.Acknowledgement:
        self._control.record_suspects(report.suspects)
        return messages.Acknowledgement()

    async def _publish_quarantines(self) -> None:
        """Appends quarantined requests to the log to make them durable."""
        while True:
            await trio.sleep(_QUARANTINE_MS / 1000.0)
            now_ms = self._core.clock.now_ms()
            self._core.suspects.forget_old(now_ms)
            for suspect in self._core.suspects.unpublished(now_ms):
                await self._publish_quarantine(suspect)

    async def _publish_quarantine(self, suspect: messages.Suspect) -> None:
        spec = objects.QuarantineSpec(
            team=suspect.team, crashes=suspect.crashes
        )
        change = objects.ObjectChange(
            kind=objects.QUARANTINE,
            name=suspect.fingerprint,
            base_revision=0,
            spec=codec.to_plain(spec),
        )
        record = announcement.new_record(self._core.identity.host, [change])
        try:
            await announcement.append_record(self._core.log_port, record)
        except errors.ExternalSystemError as error:
            _log.warning("quarantine_not_appended", reason=str(error))

    def _is_trusted(self) -> bool:
        return self._freshness.is_trusted(
            self._core.clock.now_ms(),
            self._control.entry_hosts(),
            self._core.identity.host,
        )

    def _is_ready(self) -> bool:
        if self._core.identity.spec.leaving or not self._is_trusted():
            return False
        return self._core.store.config.applied_offset > 0

    def _dump(self) -> dict[str, Any]:
        now_ms = self._core.clock.now_ms()
        return {
            **self._core.dump(),
            "ready": self._is_ready(),
            "trusted": self._is_trusted(),
            "configuration_age_ms": self._freshness.age_ms(now_ms),
            "log_answers": self._tail.log_answers,
            "requests_running": self._callers_api.running,
            "may_mint": self._ledger.may_mint(now_ms),
            "shares": {
                "revision": self._ledger.newest.revision,
                "holders": self._ledger.newest.holders,
                "settled": self._ledger.is_settled,
                "in_force_offset": self._ledger.in_force_offset,
            },
            "tokens": self._rates.levels(),
            "admissions_asked": self._admission.asked,
            "mismatched_frames": self._home_link.mismatched_frames,
        }

    def _address_of(self, host: str) -> str | None:
        if not self._core.fleet.is_alive(host, self._core.clock.now_ms()):
            return None
        process = self._core.fleet.process(host)
        return process.control_address if process else None

    def _new_host_watch(self, address: str) -> host_watch.HostWatch:
        return host_watch.HostWatch(
            host_list.HttpHostList(
                self._core.client,
                address,
                timeout_ms=process_core.LOG_TIMEOUT_MS,
            ),
            fleet=self._core.fleet,
            clock=self._core.clock,
        )

    def _new_control(self) -> entry_control.EntryControl:
        settings = self._settings
        return entry_control.EntryControl(
            self._core.identity,
            seeds=settings.peers,
            heartbeat_ms=settings.beat_ms,
            timeout_ms=settings.peer_timeout_ms,
            store=self._core.store,
            fleet=self._core.fleet,
            freshness=self._freshness,
            rates=self._rates,
            suspects=self._core.suspects,
            client=self._core.control,
            clock=self._core.clock,
        )

    def _new_share_keeper(self) -> share_keeper.ShareKeeper:
        settings = self._settings
        return share_keeper.ShareKeeper(
            self._core.identity,
            store=self._core.store,
            port=self._core.log_port,
            fleet=self._core.fleet,
            ledger=self._ledger,
            rates=self._rates,
            freshness=self._freshness,
            lease_ms=settings.share_lease_ms,
            heartbeat_ms=settings.beat_ms,
            clock=self._core.clock,
        )

    def _new_admission(self) -> admission_module.Admission:
        return admission_module.Admission(
            self._settings.host,
            config=self._core.store.config,
            rates=self._rates,
            client=self._core.control,
            address_of=self._address_of,
            timeout_ms=self._settings.peer_timeout_ms,
            nursery=self._nursery,
            clock=self._core.clock,
        )

    def _new_home_link(self) -> home_link.HomeLink:
        settings = self._settings
        return home_link.HomeLink(
            settings.failure_domain,
            config=self._core.store.config,
            fleet=self._core.fleet,
            client=self._core.client,
            timeout_ms=settings.peer_timeout_ms,
            clock=self._core.clock,
        )

    def _new_callers_api(self) -> callers_api.CallersApi:
        return callers_api.CallersApi(
            config=self._core.store.config,
            admission=self._admission,
            forwarder=forwarding.Forwarder(self._home_link, self._core.clock),
            suspects=self._core.suspects,
            is_configuration_fresh=self._is_trusted,
            is_ready=self._is_ready,
            call_timeout_ms=self._settings.call_timeout_ms,
            metrics=self._core.metrics,
            clock=self._core.clock,
        )

    def _new_reporter(
        self, server: control.ControlServer
    ) -> metrics_report.Reporter:
        sent = (server.traffic, self._core.control.traffic)
        return metrics_report.Reporter(
            self._core.metrics,
            gauges={
                metrics_module.EVACUATED_DOMAINS: lambda: len(
                    self._core.store.config.evacuations()
                ),
                metrics_module.APPLIED_OFFSET: lambda: (
                    self._core.store.config.applied_offset
                ),
                metrics_module.PEERS_LIVE: lambda: self._core.fleet.count_live(
                    self._core.clock.now_ms()
                ),
            },
            totals={
                metrics_module.SHARE_ASKS: lambda: self._admission.asked,
                metrics_module.STALE_ANSWERS: lambda: (
                    self._home_link.mismatched_frames
                ),
                metrics_module.LOG_ERRORS: lambda: (
                    self._core.log_port.failed_calls
                ),
                metrics_module.CONTROL_MESSAGES: lambda: sum(
                    each.messages for each in sent
                ),
                metrics_module.CONTROL_BYTES: lambda: sum(
                    each.sent_bytes for each in sent
                ),
            },
        )
