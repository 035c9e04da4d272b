"""The entry process: stands on the entry hosts behind the balancer.

It wires callers' and operators' interfaces, the tail of the log, the teams'
rates and the control traffic together, and runs them on one loop. Decisions
live in the modules it wires.
"""

from typing import Any

import trio

from quetzalmill import admission as admission_module
from quetzalmill import announcement
from quetzalmill import callers_api
from quetzalmill import clock as clock_module
from quetzalmill import codec
from quetzalmill import config_store
from quetzalmill import config_tail
from quetzalmill import control
from quetzalmill import daemon
from quetzalmill import entry_control
from quetzalmill import errors
from quetzalmill import fleet_view
from quetzalmill import forwarding
from quetzalmill import freshness as freshness_module
from quetzalmill import home_link
from quetzalmill import host_list
from quetzalmill import host_watch
from quetzalmill import http_client
from quetzalmill import http_message
from quetzalmill import http_server
from quetzalmill import log_port
from quetzalmill import logs
from quetzalmill import messages
from quetzalmill import metrics as metrics_module
from quetzalmill import metrics_report
from quetzalmill import objects
from quetzalmill import operator_api
from quetzalmill import settings as settings_module
from quetzalmill import share_keeper
from quetzalmill import shares
from quetzalmill import suspects as suspects_module
from quetzalmill import team_rates

LOG_TIMEOUT_MS = 2_000.0
"""How long an answer of the log service may take."""

NOTICE_MS = 2_000.0
"""How long a leaving entry still accepts connections, for the balancer."""

_HOUSEKEEPING_MS = 50.0
_QUARANTINE_MS = 500.0

_log = logs.get("entry")


def run(settings: settings_module.EntrySettings) -> int:
    """Runs an entry until it is asked to end; returns its exit code."""
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
    """The parts of one entry process."""

    def __init__(
        self, settings: settings_module.EntrySettings, nursery: trio.Nursery
    ) -> None:
        self._settings = settings
        self._nursery = nursery
        self._clock = clock_module.SystemClock()
        self._identity = _identity_of(settings)
        self._store = config_store.ConfigStore()
        self._fleet = fleet_view.FleetView(
            self._store.config, timeout_ms=settings.peer_timeout_ms
        )
        self._metrics = metrics_module.Metrics(
            settings.statsd_address, objects.ENTRY, settings.host
        )
        self._suspects = suspects_module.Suspects()
        self._freshness = freshness_module.Freshness(settings.config_lease_ms)
        self._ledger = shares.ShareHolder(
            settings.host,
            self._identity.spec.instance,
            lease_ms=settings.share_lease_ms,
        )
        self._rates = team_rates.TeamRates(self._ledger)
        self._client = http_client.HttpClient()
        self._control = control.ControlClient()
        self._log_port = log_port.HttpLogPort(
            self._client, settings.log_address, timeout_ms=LOG_TIMEOUT_MS
        )
        self._tail = config_tail.ConfigTail(
            self._store,
            self._log_port,
            on_end_read=self._log_end_read,
            on_failure=self._log_failed,
            lease_ms=min(settings.config_lease_ms, settings.share_lease_ms),
            clock=self._clock,
        )
        self._beats = self._new_beats()
        self._keeper = self._new_keeper()
        self._admission = self._new_admission()
        self._home_link = self._new_home_link()
        self._callers = self._new_callers()
        self._operators = operator_api.OperatorApi(
            store=self._store,
            port=self._log_port,
            fleet=self._fleet,
            own=lambda: (self._identity.host, self._identity.spec),
            dump=self._dump,
            clock=self._clock,
        )
        self._stopping = trio.Event()
        self._replaced = trio.Event()
        self._served = trio.Event()

    async def start(self) -> None:
        """Starts listening and every regular task."""
        settings = self._settings
        self._store.on_change(self._fleet.configuration_changed)
        self._store.on_change(self._quarantines_changed)
        self._store.on_change(self._keeper.configuration_changed)
        server = control.ControlServer(
            {
                messages.BEAT_SIDECAR: self._beats.on_sidecar_beat,
                messages.BEAT_ENTRY: self._beats.on_entry_beat,
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
            self._beats.run,
            self._keeper.run,
            self._home_link.watch_forever,
            self._publish_quarantines,
            self._leave_when_told,
            self._new_reporter(server).run,
        ):
            self._nursery.start_soon(task)
        if settings.hosts_address is not None:
            self._nursery.start_soon(
                self._new_host_watch(settings.hosts_address).run
            )
        self._nursery.start_soon(
            daemon.announce,
            self._identity,
            self._store,
            self._log_port,
            self._replaced,
        )
        _log.info("entry_started", host=settings.host)

    async def until_ended(self) -> None:
        """Serves until a signal or a newer process ends this one."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_when_replaced, nursery.cancel_scope)
            await daemon.wait_for_signal()
            nursery.cancel_scope.cancel()
        if not self._replaced.is_set():
            await self._drain()
        _log.info("entry_ended", host=self._settings.host)

    async def _cancel_when_replaced(self, scope: trio.CancelScope) -> None:
        await self._replaced.wait()
        scope.cancel()

    async def _leave(self) -> None:
        """Stops being ready and goes on serving what still comes."""
        if self._identity.spec.leaving:
            return
        self._identity.leave()
        _log.info("leaving", host=self._identity.host)
        await daemon.announce_leaving(
            self._identity, self._log_port, LOG_TIMEOUT_MS
        )

    async def _leave_when_told(self) -> None:
        while not self._identity.spec.leaving:
            await trio.sleep(_HOUSEKEEPING_MS / 1000.0)
            if self._fleet.is_leaving(self._identity.host):
                await self._leave()

    async def _drain(self) -> None:
        """Stops being ready, then serves what runs to its end."""
        timeout_ms = self._settings.drain_timeout_ms
        with trio.move_on_after(timeout_ms / 1000.0):
            await self._leave()
            await trio.sleep(NOTICE_MS / 1000.0)
            self._stopping.set()
            while self._callers.running:
                await trio.sleep(_HOUSEKEEPING_MS / 1000.0)
            await self._served.wait()

    async def _serve_callers(
        self, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        settings = self._settings
        await http_server.serve(
            settings.http_address,
            self._callers.handle,
            limits=http_message.Limits(
                max_header_bytes=settings.max_header_bytes,
                max_body_bytes=settings.max_body_bytes,
            ),
            stopping=self._stopping,
            on_error=_report_error,
            task_status=task_status,
        )
        self._served.set()

    async def _serve_operators(
        self, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        await http_server.serve(
            self._settings.operator_address,
            self._operators.handle,
            limits=http_message.Limits(
                max_body_bytes=self._settings.max_body_bytes
            ),
            stopping=trio.Event(),
            on_error=_report_error,
            task_status=task_status,
        )

    def _log_end_read(self, asked_ms: float) -> None:
        self._freshness.log_end_read(asked_ms)
        self._rates.log_end_read(asked_ms, self._clock.now_ms())

    def _log_failed(self) -> None:
        self._rates.log_read_failed(self._clock.now_ms())

    def _on_suspects(
        self, report: messages.SuspectReport
    ) -> messages.Acknowledgement:
        self._beats.note_suspects(report.suspects)
        return messages.Acknowledgement()

    def _quarantines_changed(self) -> None:
        self._suspects.configuration_changed(
            self._store.config, self._clock.now_ms()
        )

    async def _publish_quarantines(self) -> None:
        """Puts quarantined requests into the log, so that they last."""
        while True:
            await trio.sleep(_QUARANTINE_MS / 1000.0)
            now_ms = self._clock.now_ms()
            self._suspects.forget_old(now_ms)
            for suspect in self._suspects.unpublished(now_ms):
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
        record = announcement.new_record(self._identity.host, [change])
        try:
            await announcement.append_record(self._log_port, record)
        except errors.PortError as error:
            _log.warning("quarantine_not_appended", reason=str(error))

    def _is_trusted(self) -> bool:
        return self._freshness.is_trusted(
            self._clock.now_ms(),
            self._beats.entry_hosts(),
            self._identity.host,
        )

    def _is_ready(self) -> bool:
        if self._identity.spec.leaving or not self._is_trusted():
            return False
        return self._store.config.applied_offset > 0

    def _dump(self) -> dict[str, Any]:
        config = self._store.config
        now_ms = self._clock.now_ms()
        return {
            "host": self._identity.host,
            "role": objects.ENTRY,
            "instance": self._identity.spec.instance,
            "leaving": self._identity.spec.leaving,
            "applied_offset": config.applied_offset,
            "ready": self._is_ready(),
            "trusted": self._is_trusted(),
            "configuration_age_ms": self._freshness.age_ms(now_ms),
            "log_answers": self._tail.log_answers,
            "requests_running": self._callers.running,
            "may_mint": self._ledger.may_mint(now_ms),
            "shares": {
                "revision": self._ledger.newest.revision,
                "holders": self._ledger.newest.holders,
                "settled": self._ledger.is_settled,
                "in_force_offset": self._ledger.in_force_offset,
            },
            "tokens": self._rates.levels(),
            "admissions_asked": self._admission.asked,
            "heard": [
                each.host
                for role in (objects.ENTRY, objects.SIDECAR)
                for each in self._fleet.heard(role, now_ms)
            ],
            "keys": {
                stored.name: stored.spec.get("withdrawn", False)
                for stored in config.all_of(objects.KEY)
            },
            "suspects": {
                each.fingerprint: each.crashes
                for each in self._suspects.all_known(now_ms)
            },
            "mismatched_frames": self._home_link.mismatched_frames,
        }

    def _address_of(self, host: str) -> str | None:
        if not self._fleet.is_alive(host, self._clock.now_ms()):
            return None
        process = self._fleet.process(host)
        return process.control_address if process else None

    def _new_host_watch(self, address: str) -> host_watch.HostWatch:
        return host_watch.HostWatch(
            host_list.HttpHostList(
                self._client, address, timeout_ms=LOG_TIMEOUT_MS
            ),
            fleet=self._fleet,
            clock=self._clock,
        )

    def _new_beats(self) -> entry_control.EntryControl:
        settings = self._settings
        return entry_control.EntryControl(
            self._identity,
            seeds=settings.peers,
            beat_ms=settings.beat_ms,
            timeout_ms=settings.peer_timeout_ms,
            store=self._store,
            fleet=self._fleet,
            freshness=self._freshness,
            rates=self._rates,
            suspects=self._suspects,
            client=self._control,
            clock=self._clock,
        )

    def _new_keeper(self) -> share_keeper.ShareKeeper:
        settings = self._settings
        return share_keeper.ShareKeeper(
            self._identity,
            store=self._store,
            port=self._log_port,
            fleet=self._fleet,
            ledger=self._ledger,
            rates=self._rates,
            freshness=self._freshness,
            lease_ms=settings.share_lease_ms,
            beat_ms=settings.beat_ms,
            clock=self._clock,
        )

    def _new_admission(self) -> admission_module.Admission:
        return admission_module.Admission(
            self._settings.host,
            config=self._store.config,
            rates=self._rates,
            client=self._control,
            address_of=self._address_of,
            timeout_ms=self._settings.peer_timeout_ms,
            nursery=self._nursery,
            clock=self._clock,
        )

    def _new_home_link(self) -> home_link.HomeLink:
        settings = self._settings
        return home_link.HomeLink(
            settings.failure_domain,
            config=self._store.config,
            fleet=self._fleet,
            client=self._client,
            timeout_ms=settings.peer_timeout_ms,
            clock=self._clock,
        )

    def _new_callers(self) -> callers_api.CallersApi:
        return callers_api.CallersApi(
            config=self._store.config,
            admission=self._admission,
            forwarder=forwarding.Forwarder(self._home_link, self._clock),
            suspects=self._suspects,
            is_trusted=self._is_trusted,
            is_ready=self._is_ready,
            call_timeout_ms=self._settings.call_timeout_ms,
            metrics=self._metrics,
            clock=self._clock,
        )

    def _new_reporter(
        self, server: control.ControlServer
    ) -> metrics_report.Reporter:
        sent = (server.traffic, self._control.traffic)
        return metrics_report.Reporter(
            self._metrics,
            gauges={
                metrics_module.APPLIED_OFFSET: lambda: (
                    self._store.config.applied_offset
                ),
                metrics_module.PEERS_LIVE: lambda: self._fleet.count_heard(
                    self._clock.now_ms()
                ),
            },
            totals={
                metrics_module.SHARE_ASKS: lambda: self._admission.asked,
                metrics_module.STALE_ANSWERS: lambda: (
                    self._home_link.mismatched_frames
                ),
                metrics_module.LOG_ERRORS: lambda: self._log_port.failed_calls,
                metrics_module.CONTROL_MESSAGES: lambda: sum(
                    each.messages for each in sent
                ),
                metrics_module.CONTROL_BYTES: lambda: sum(
                    each.sent_bytes for each in sent
                ),
            },
        )


def _identity_of(settings: settings_module.EntrySettings) -> daemon.Identity:
    return daemon.Identity(
        host=settings.host,
        spec=objects.ProcessSpec(
            role=objects.ENTRY,
            instance=daemon.new_instance(),
            http_address=settings.http_address,
            control_address=settings.advertised_control_address
            or settings.control_address,
            failure_domain=settings.failure_domain,
        ),
    )


def _report_error(error: BaseException) -> None:
    _log.error("handler_failed", reason=repr(error))
