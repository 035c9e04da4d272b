"""The sidecar process, which runs on each host that has endpoints.

It constructs and connects the home of programs, the executor of the endpoints
and the control traffic, and runs them in one event loop. The logic is in those
modules.
"""

import random
from typing import Any

import trio

from quetzalmill import call_run
from quetzalmill import commit_pace
from quetzalmill import control
from quetzalmill import daemon
from quetzalmill import endpoint_port
from quetzalmill import engine_orders
from quetzalmill import executor as executor_module
from quetzalmill import executor_link
from quetzalmill import home as home_module
from quetzalmill import http_message
from quetzalmill import logs
from quetzalmill import memory_keeper
from quetzalmill import messages
from quetzalmill import metrics as metrics_module
from quetzalmill import metrics_report
from quetzalmill import objects
from quetzalmill import placement
from quetzalmill import process_core
from quetzalmill import program_id
from quetzalmill import retry_budget
from quetzalmill import routing
from quetzalmill import settings as settings_module
from quetzalmill import sidecar_api
from quetzalmill import sidecar_beats
from quetzalmill import turn_log
from quetzalmill import turns

COMMIT_TIMEOUT_MS = 1_500.0
"""Maximum time that an answer waits for its turn to be committed."""

SHUTDOWN_HEARTBEATS = 2
"""Heartbeat intervals after which other processes know of a shutdown."""

_HOUSEKEEPING_INTERVAL_MS = 100.0

_log = logs.get("sidecar")


def run(settings: settings_module.SidecarSettings) -> int:
    """Runs a sidecar until it is asked to stop; returns its exit code."""
    logs.configure(settings.log_level)
    return daemon.run(lambda: _main(settings))


async def _main(settings: settings_module.SidecarSettings) -> int:
    async with trio.open_nursery() as nursery:
        sidecar = Sidecar(settings, nursery)
        await sidecar.start()
        await sidecar.until_ended()
        nursery.cancel_scope.cancel()
    return 0


class Sidecar:
    """The components of one sidecar process."""

    def __init__(
        self, settings: settings_module.SidecarSettings, nursery: trio.Nursery
    ) -> None:
        self._settings = settings
        self._nursery = nursery
        self._core = process_core.ProcessCore(
            objects.SIDECAR,
            settings,
            nursery,
            control_address=settings.control_address,
        )
        self._endpoint_port = endpoint_port.EndpointPort(self._core.client)
        self._retries = retry_budget.RetryBudget(settings.retry_share)
        self._executor = self._new_executor()
        self._link = self._new_link()
        self._writer = self._new_writer()
        self._runner = self._new_runner()
        self._home = self._new_home()
        self._heartbeats = self._new_heartbeats()
        self._memory = self._new_memory()
        self._orders = engine_orders.OrderKeeper(
            settings.host,
            config=self._core.store.config,
            port=self._endpoint_port,
            may_order=self._heartbeats.was_answered,
            clock=self._core.clock,
        )
        self._api = sidecar_api.SidecarApi(
            home=self._home,
            executor=self._executor,
            catch_up=self._heartbeats.catch_up,
            dump=self._dump,
            is_ready=self._is_ready,
        )

    async def start(self) -> None:
        """Starts the servers and all periodic tasks."""
        settings = self._settings
        self._core.store.on_change(self._executor.configuration_changed)
        server = control.ControlServer(
            {
                messages.FENCE: self._executor.fence,
                messages.LEASE: self._grant_leases,
            }
        )
        await server.start(settings.control_address)
        await self._nursery.start(self._serve)
        for task in (
            self._heartbeats.run,
            self._writer.run,
            self._memory.renew_forever,
            self._memory.free_forever,
            self._orders.run,
            self._housekeeping,
            self._new_reporter(server).run,
        ):
            self._nursery.start_soon(task)
        self._nursery.start_soon(self._home.verify_forever, settings.beat_ms)
        self._core.start_announcing()

    async def until_ended(self) -> None:
        """Serves until a signal or a newer process stops this one."""
        await self._core.until_ended(self._drain)

    async def _begin_shutdown(self) -> None:
        """Stops accepting work and transfers programs; continues to serve."""
        if self._core.identity.spec.leaving:
            return
        self._core.identity.mark_leaving()
        self._home.leaving = True
        _log.info("leaving", host=self._core.identity.host)
        await self._heartbeats.send_heartbeats()
        await self._core.announce_leaving()
        self._nursery.start_soon(self._home.drained)
        await trio.sleep(SHUTDOWN_HEARTBEATS * self._settings.beat_ms / 1000.0)
        self._executor.leaving = True

    async def _drain(self) -> None:
        """Finishes the running work and stops serving, within the timeout."""
        timeout_ms = self._settings.drain_timeout_ms
        with trio.move_on_after(timeout_ms / 1000.0):
            await self._begin_shutdown()
            await self._home.drained()
            while not self._executor.idle:
                await trio.sleep(_HOUSEKEEPING_INTERVAL_MS / 1000.0)
            await self._core.stop_serving()

    async def _serve(
        self, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        settings = self._settings
        await self._core.serve(
            settings.http_address,
            self._api.handle,
            http_message.Limits(
                max_header_bytes=settings.max_header_bytes,
                max_body_bytes=16 * settings.max_body_bytes,
            ),
            task_status,
        )

    async def _housekeeping(self) -> None:
        while True:
            await trio.sleep(_HOUSEKEEPING_INTERVAL_MS / 1000.0)
            self._executor.recheck()
            self._core.suspects.forget_old(self._core.clock.now_ms())
            if self._is_asked_to_shut_down():
                self._nursery.start_soon(self._begin_shutdown)

    def _is_asked_to_shut_down(self) -> bool:
        if self._core.identity.spec.leaving:
            return False
        return self._core.is_asked_to_shut_down()

    def _grant_leases(
        self, request: messages.LeaseRequest
    ) -> messages.Acknowledgement:
        self._memory.grant(request)
        return messages.Acknowledgement()

    def _on_fence(self, record: turns.FenceRecord) -> None:
        _log.info("program_taken_over", program=record.root, by=record.host)
        self._home.fenced(record)

    def _is_gone(self, host: str, instance: str) -> bool:
        return self._core.fleet.is_leaving(
            host
        ) or self._core.fleet.is_considered_dead(
            host, instance, self._core.clock.now_ms()
        )

    def _is_ready(self) -> bool:
        return (
            self._heartbeats.was_ever_answered
            and not self._core.identity.spec.leaving
        )

    def _dump(self) -> dict[str, Any]:
        return {
            **self._core.dump(),
            "ready": self._is_ready(),
            "programs": sum(
                len(tree.programs) for tree in self._home.program_trees.values()
            ),
            "calls_running": self._home.running,
            "log_is_down": self._writer.log_is_down,
            "may_be_fenced": self._home.may_be_fenced(),
            "buffered_bytes": self._writer.buffered_bytes,
            "appends": self._writer.appends,
            "loads": [
                {
                    "endpoint": load.endpoint,
                    "running": load.running,
                    "queued": load.queued,
                    "up": load.up,
                }
                for load in self._executor.loads()
            ],
            "mismatched_frames": self._link.mismatched_frames,
        }

    def _new_executor(self) -> executor_module.Executor:
        settings = self._settings
        return executor_module.Executor(
            executor_module.Options(
                host=settings.host,
                instance=self._core.identity.spec.instance,
                fair_queue=settings.queue_policy == settings_module.FAIR,
                max_queue=settings.max_queue,
                limits_memory=settings.limit_policy == settings_module.MEMORY,
                failure_ms=settings.endpoint_failure_ms,
                failure_domain=settings.failure_domain,
            ),
            config=self._core.store.config,
            port=self._endpoint_port,
            known_suspects=self._core.suspects,
            report=self._report_suspect,
            on_start=lambda program: self._memory.started(program),
            on_finished=lambda program: self._memory.finished(program),
            nursery=self._nursery,
            metrics=self._core.metrics,
            clock=self._core.clock,
        )

    async def _report_suspect(self, suspect: messages.Suspect) -> None:
        _log.warning(
            "endpoint_crash_suspect",
            fingerprint=suspect.fingerprint,
            team=suspect.team,
            crashes=suspect.crashes,
        )
        await self._heartbeats.report(suspect)

    def _new_link(self) -> executor_link.ExecutorLink:
        return executor_link.ExecutorLink(
            self._settings.host,
            config=self._core.store.config,
            local=self._executor,
            client=self._core.client,
            control_client=self._core.control,
            fleet=self._core.fleet,
            timeout_ms=self._settings.peer_timeout_ms,
        )

    def _new_writer(self) -> turn_log.TurnWriter:
        settings = self._settings
        return turn_log.TurnWriter(
            self._core.log_port,
            turns.stream_of(settings.host, self._core.identity.spec.instance),
            pace=commit_pace.CommitPace(
                settings.commit_interval_ms, random.Random()
            ),
            max_wait_ms=COMMIT_TIMEOUT_MS,
            buffer_bytes=settings.commit_buffer_bytes,
            on_fence=self._on_fence,
            metrics=self._core.metrics,
            clock=self._core.clock,
        )

    def _new_runner(self) -> call_run.CallRunner:
        settings = self._settings
        return call_run.CallRunner(
            config=self._core.store.config,
            router=routing.Router(
                settings.host,
                settings.failure_domain,
                config=self._core.store.config,
                fleet=self._core.fleet,
                chooser=placement.Placement(
                    placement.Policy(settings.placement_policy),
                    random.Random(),
                ),
                report_lag_ms=settings.beat_ms,
                clock=self._core.clock,
            ),
            link=self._link,
            writer=self._writer,
            retries=self._retries,
            metrics=self._core.metrics,
            clock=self._core.clock,
        )

    def _new_home(self) -> home_module.Home:
        settings = self._settings
        return home_module.Home(
            home_module.Options(
                own=program_id.Home(
                    host=settings.host,
                    instance=self._core.identity.spec.instance,
                ),
                idle_ms=settings.program_idle_ms,
                call_timeout_ms=settings.call_timeout_ms,
            ),
            config=self._core.store.config,
            runner=self._runner,
            writer=self._writer,
            port=self._core.log_port,
            is_considered_dead=self._is_gone,
            was_silent=lambda: self._heartbeats.was_silent(),
            nursery=self._nursery,
            metrics=self._core.metrics,
            clock=self._core.clock,
        )

    def _new_heartbeats(self) -> sidecar_beats.SidecarHeartbeats:
        settings = self._settings
        return sidecar_beats.SidecarHeartbeats(
            self._core.identity,
            seeds=settings.entries,
            heartbeat_ms=settings.beat_ms,
            timeout_ms=settings.peer_timeout_ms,
            store=self._core.store,
            fleet=self._core.fleet,
            executor=self._executor,
            suspects=self._core.suspects,
            client=self._core.control,
            clock=self._core.clock,
        )

    def _new_memory(self) -> memory_keeper.MemoryKeeper:
        settings = self._settings
        return memory_keeper.MemoryKeeper(
            settings.host,
            lease_ms=settings.lease_ms,
            check_ms=settings.memory_check_ms,
            timeout_ms=settings.peer_timeout_ms,
            config=self._core.store.config,
            fleet=self._core.fleet,
            home=self._home,
            runner=self._runner,
            port=self._endpoint_port,
            client=self._core.control,
            clock=self._core.clock,
        )

    def _new_reporter(
        self, server: control.ControlServer
    ) -> metrics_report.Reporter:
        sent = (server.traffic, self._core.control.traffic)
        return metrics_report.Reporter(
            self._core.metrics,
            gauges={
                metrics_module.QUEUE_LENGTH: lambda: sum(
                    load.queued for load in self._executor.loads()
                ),
                metrics_module.RUNNING: lambda: sum(
                    load.running for load in self._executor.loads()
                ),
                metrics_module.RUNNING_LIMIT: self._executor.slots,
                metrics_module.PROGRAMS: lambda: sum(
                    len(tree.programs)
                    for tree in self._home.program_trees.values()
                ),
                metrics_module.COMMIT_BUFFER_BYTES: lambda: (
                    self._writer.buffered_bytes
                ),
                metrics_module.ENGINE_MEMORY_TOKENS: lambda: (
                    self._memory.held_tokens
                ),
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
                metrics_module.RETRIES: lambda: self._retries.spent,
                metrics_module.RETRIES_REFUSED: lambda: self._retries.denied,
                metrics_module.STALE_ANSWERS: lambda: (
                    self._link.mismatched_frames
                ),
                metrics_module.TAKEOVERS: lambda: self._home.takeovers,
                metrics_module.COMMITS: lambda: self._writer.appends,
                metrics_module.LEASES_LAPSED: lambda: (
                    self._memory.leases_lapsed
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
