"""The gateway process, which routes callers' requests to endpoints.

All gateways are equal, and none holds durable state. They coordinate budgets
through the platform's store and everything else through heartbeats.
"""

from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import trio

from quetzalmill import budget_handlers
from quetzalmill import budget_owner
from quetzalmill import budget_peers
from quetzalmill import chain_source
from quetzalmill import clock as clock_module
from quetzalmill import codec
from quetzalmill import cold_endpoints
from quetzalmill import control_method
from quetzalmill import conversations
from quetzalmill import dispatch
from quetzalmill import errors
from quetzalmill import evacuation_report
from quetzalmill import gateway_calls
from quetzalmill import gateway_handler
from quetzalmill import gateway_memory
from quetzalmill import gateway_messages
from quetzalmill import gateway_metrics
from quetzalmill import gateway_settings
from quetzalmill import gateway_state
from quetzalmill import gateway_turns
from quetzalmill import http_client
from quetzalmill import http_message
from quetzalmill import http_server
from quetzalmill import instances
from quetzalmill import keyed_store
from quetzalmill import leaving_watch
from quetzalmill import logs
from quetzalmill import member_table
from quetzalmill import members
from quetzalmill import peer_calls
from quetzalmill import peer_http
from quetzalmill import peer_link
from quetzalmill import process_signals
from quetzalmill import response_memory
from quetzalmill import route_table
from quetzalmill import turn_expiry
from quetzalmill import turn_keeper
from quetzalmill import turn_store

CONNECT_TIMEOUT_MS = 400.0
"""How long connecting to an endpoint may take; several round trips."""

TABLE_TIMEOUT_MS = 500.0
"""How long fetching a peer's route table may take."""

TABLE_POLL_MS = 250.0
"""The interval between checks for a peer with a newer route table."""

_CACHE_FRACTION = 0.25
"""The fraction of the memory for cached turns; starting a process takes up to a
third of the memory of the smallest hosts."""

_ANSWERS_FRACTION = 0.125
"""The fraction of the memory for responses that are buffered completely; half
as much as for turns, which are useful for longer."""

_BYTES_PER_MB = 1_048_576

_log = logs.get("gateway")


DecodeTable = Callable[[bytes], route_table.RouteTable]
"""Decodes a route table; raises ``errors.CodecError``."""


class Gateway:
    """Assembles and runs one gateway.

    Args:
        settings: Its settings.
        store: The platform's store.
        dialect: The protocol spoken with callers and endpoints.
        decode_table: Decodes the route tables that peers send.
        reload: Reads the settings again; raises ``errors.SettingsError``.
    """

    def __init__(
        self,
        settings: gateway_settings.GatewaySettings,
        store: keyed_store.KeyedStore,
        dialect: gateway_calls.Dialect,
        decode_table: DecodeTable,
        reload: Callable[[], gateway_settings.GatewaySettings],
    ) -> None:
        self._settings = settings
        self._store = store
        self._dialect = dialect
        self._decode_table = decode_table
        self._reload = reload
        self.clock = clock_module.SystemClock()
        self.metrics = gateway_metrics.GatewayMetrics()
        self.state = gateway_state.GatewayState(
            host=settings.host,
            instance=instances.new_instance_id(),
            address=settings.peer_address,
            failure_domain=settings.failure_domain,
            parts=settings.parts,
            clock=self.clock,
            link_mbps=settings.link_mbps,
            rate_slack=settings.rate_slack,
            drain_ms=settings.drain_ms,
            region=settings.region,
            zones=settings.zones,
        )
        for address in settings.seeds:
            self.state.peers.add_address(address, self.clock.now_ms())
        self._memory = gateway_memory.create(settings, self.metrics)
        cache_bytes = int(settings.memory_mb * _CACHE_FRACTION * _BYTES_PER_MB)
        self._cache = conversations.TurnCache(cache_bytes)
        self._control = peer_http.PeerClient()
        self._client = http_client.HttpClient(
            connect_timeout_ms=CONNECT_TIMEOUT_MS, memory=self._memory
        )
        self.state.pool.observer = leaving_watch.LeavingWatch(
            self._client, self.metrics
        )
        table = member_table.MemberTable(settings.peer_address)
        boot_clock = clock_module.BootClock()
        self._members = members.Members(
            store,
            settings.host,
            settings.peer_address,
            lambda address: self.state.peers.add_address(
                address, self.clock.now_ms()
            ),
            table,
            boot_clock,
            lambda: cold_endpoints.has_limits(self.state.table),
            lambda: {peer.address for peer in self.state.alive_peers()},
        )
        self._cold = cold_endpoints.ColdEndpoints(
            self.state.pool,
            table,
            settings.peer_address,
            boot_clock,
            self.metrics.cold_request,
        )
        self._stop_requested = trio.Event()
        self._stopping = trio.Event()
        self._callers_drained = trio.Event()

    async def run(
        self, follow: list[Callable[["Gateway"], Awaitable[None]]]
    ) -> None:
        """Runs until SIGTERM or SIGINT, then finishes running requests.

        Signals are handled from before the first address is open until the
        process has shut down.

        Args:
            follow: Tasks that keep configuration and endpoints up to date.
        """
        async with trio.open_nursery() as nursery:
            await nursery.start(
                process_signals.handle,
                self._stop_requested.set,
                self._reload_settings,
            )
            self._wire(nursery)
            link = peer_link.PeerLink(self.state, self._settings.peer_address)
            await nursery.start(link.run)
            await nursery.start(self._calls.run)
            server = peer_http.PeerServer(
                self._control_handlers(), self._memory
            )
            await nursery.start(server.serve, self._settings.peer_address)
            nursery.start_soon(self._follow_peer_tables)
            nursery.start_soon(self._members.run)
            expiry = turn_expiry.TurnExpiry(
                self.state, self._store, self._owners
            )
            nursery.start_soon(expiry.run)
            for task in follow:
                nursery.start_soon(task, self)
            await self._serve_all(nursery)
            _log.info("process_started", host=self.state.host)
            await self._stop_requested.wait()
            await self._drain(link)
            await self._control.aclose()
            nursery.cancel_scope.cancel()
        _log.info("process_ended", host=self.state.host)

    def dump(self) -> dict[str, Any]:
        """Returns a summary of the gateway's state, without keys."""
        now_ms = self.clock.now_ms()
        table = self.state.table
        return {
            "host": self.state.host,
            "instance": self.state.instance,
            "leaving": self.state.leaving,
            "ready": self.state.is_ready(),
            "table_version": None if table is None else table.version,
            "store_reached": self.state.store_reached(),
            "peers": [heartbeat.host for heartbeat in self.state.alive_peers()],
            "heard_part": self.state.peers.live_fraction(now_ms),
            "owned_parts": [
                part
                for part in range(self._settings.parts)
                if self.state.owner(part) == self.state.address
            ],
            "turns_held": len(self._cache),
            "region": self.state.region,
            "zones": dict(self.state.zones),
            "running": self.state.pool.running(),
            "endpoint_speeds": self._recorder.describe(self.state.pool, now_ms),
            "endpoints_leaving": leaving_watch.describe(
                self.state.pool, now_ms
            ),
            "evacuated_domains": evacuation_report.describe(
                self.state.pool.evacuations, now_ms, self.clock.unix_ms()
            ),
            "cold": self._cold.describe(
                table,
                now_ms,
                over=self._settings.cold_over,
                slack=self._settings.cold_slack,
            ),
            "crashes": {
                each.fingerprint: each.crashes
                for each in self.state.crashes.all_known()
            },
        }

    def _wire(self, nursery: trio.Nursery) -> None:
        parts = range(self._settings.parts)
        answered = self.state.record_store_availability
        writers = [
            turn_store.TurnWriter(part, self._store, nursery, answered)
            for part in parts
        ]
        partitions = [
            turn_store.TurnPartition(
                part, self._store, self._cache, self.clock, nursery
            )
            for part in parts
        ]
        self._owners = [
            budget_owner.BudgetOwner(
                part,
                self._store,
                self.clock,
                nursery,
                budget_peers.BudgetPeers(self.state.alive_peers, self._control),
                answered,
                self.state.store_reached,
                self.state.holds,
                self.state.listening_ms,
                self.metrics.claim,
                self.state.store_outage_ms,
                self.state.may_grant_unstored,
            )
            for part in parts
        ]
        self._budgets = budget_handlers.BudgetHandlers(
            self._owners, self.state.partition_of
        )
        self._calls = peer_calls.PeerCalls(
            self._settings.peer_address,
            {
                gateway_messages.RESERVE_TURN: self._budgets.reserve,
                gateway_messages.RELEASE_TURN: self._budgets.release,
                gateway_messages.SETTLE_TURN: self._budgets.settle,
                gateway_messages.FETCH_CHAIN: self._serve_chain,
            },
            self.clock,
            self._settings.calls_port,
        )
        self._source = chain_source.ChainSource(
            self._cache,
            partitions,
            self.state.alive_peers,
            self.state.owner,
            self.state.address,
            self._control,
            self._calls,
            self.state.stored_homes,
        )
        self._keeper = turn_keeper.TurnKeeper(
            self._cache,
            writers,
            self.state.partition_of,
            self.state.alive_peers,
            self.state.store_reached,
            self._control,
        )
        turns = gateway_turns.Turns(
            self.state,
            self._source,
            self._keeper,
            self._owners,
            self._calls,
            nursery,
        )
        dispatcher = dispatch.Dispatcher(
            self.state.pool,
            self._client,
            self._dialect,
            self.clock,
            self._settings.failure_domain,
            response_memory.ResponseMemory(
                int(
                    self._settings.memory_mb * _ANSWERS_FRACTION * _BYTES_PER_MB
                ),
                self._memory,
            ),
            self._cold,
            self._settings.hedge_limit,
        )
        self._recorder = dispatcher.recorder
        self._handler = gateway_handler.GatewayHandler(
            self.state,
            self._dialect,
            dispatcher,
            turns,
            self.metrics,
            self._settings.record_bytes,
        )

    def _control_handlers(
        self,
    ) -> dict[control_method.Method, control_method.Handler]:
        return {
            gateway_messages.HAND_OVER: self._budgets.hand_over,
            gateway_messages.FETCH_CHAIN: self._source.answer,
            gateway_messages.STORE_TURN: self._keeper.write_for_peer,
            gateway_messages.FETCH_TABLE: self._serve_table,
        }

    def _serve_chain(
        self, message: gateway_messages.FetchChain
    ) -> gateway_messages.ChainReply:
        return self._source.answer_datagram(message)

    def _serve_table(
        self, message: gateway_messages.FetchTable
    ) -> gateway_messages.TableReply:
        table = self.state.table
        if table is None or table.version <= message.newer_than:
            return gateway_messages.TableReply(document=b"")
        return gateway_messages.TableReply(document=table.document)

    async def _follow_peer_tables(self) -> None:
        """Fetches the route table of any peer that has a newer one."""
        while True:
            await trio.sleep(TABLE_POLL_MS / 1000.0)
            table = self.state.table
            own = 0 if table is None else table.version
            newer = [
                heartbeat
                for heartbeat in self.state.alive_peers()
                if heartbeat.table_version > own
            ]
            if newer:
                best = max(newer, key=lambda heartbeat: heartbeat.table_version)
                await self._fetch_table(best.address, own)

    async def _fetch_table(self, address: str, newer_than: int) -> None:
        try:
            reply: gateway_messages.TableReply = await self._control.call(
                address,
                gateway_messages.FETCH_TABLE,
                gateway_messages.FetchTable(newer_than=newer_than),
                timeout_ms=TABLE_TIMEOUT_MS,
            )
            if reply.document:
                table = self._decode_table(reply.document)
                self.state.apply_route_table(table, f"peer {address}")
        except (errors.ControlCallError, errors.CodecError) as error:
            _log.info("table_not_fetched", peer=address, reason=str(error))

    async def _serve_all(self, nursery: trio.Nursery) -> None:
        """Opens all addresses, that of readiness last.

        Callers may connect as soon as readiness is reported.
        """
        settings = self._settings
        await nursery.start(self._serve_callers)
        await nursery.start(self._serve_internal, settings.metrics_address)
        await nursery.start(self._serve_internal, settings.ready_address)

    async def _serve_callers(
        self, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        await http_server.serve(
            self._settings.callers_address,
            self._handler.handle,
            limits=gateway_memory.limits(self._settings.max_fds),
            stopping=self._stopping,
            on_error=_report_error,
            current_limits=self.state.caller_limits,
            check_head=self._handler.check_head,
            memory=self._memory,
            task_status=task_status,
        )
        self._callers_drained.set()

    async def _serve_internal(
        self,
        address: str,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        await http_server.serve(
            address,
            self._answer_internal,
            limits=gateway_memory.INTERNAL_LIMITS,
            stopping=trio.Event(),
            on_error=_report_error,
            memory=self._memory,
            task_status=task_status,
        )

    async def _answer_internal(
        self, request: http_message.Request, exchange: http_server.Exchange
    ) -> None:
        match request.path:
            case "/ready":
                ready = self.state.is_ready()
                await exchange.respond(200 if ready else 503)
            case "/metrics":
                self._set_gauges()
                await exchange.respond(
                    200, self.metrics.text(), content_type="text/plain"
                )
            case "/state":
                await exchange.respond(200, codec.to_json(self.dump()))
            case _:
                await exchange.respond(404)

    def _set_gauges(self) -> None:
        table = self.state.table
        gateway_memory.set_gauges(self.metrics, self._memory)
        self.metrics.set_state(
            "table_version", 0 if table is None else table.version
        )
        self.metrics.set_state("store_reached", self.state.store_reached())
        self.metrics.set_state("peers", len(self.state.alive_peers()))
        self.metrics.set_state("endpoints", len(self.state.pool))
        cold = self._cold.count_cold(table, self.clock.now_ms())
        self.metrics.set_state("cold_endpoints", cold)
        self.metrics.set_state("turns_held", len(self._cache))
        self.metrics.set_state(
            "evacuated_domains", len(self.state.pool.evacuations)
        )
        now_ms = self.clock.now_ms()
        self.metrics.set_state(
            "endpoints_slow",
            self._recorder.slowed_endpoints(self.state.pool, now_ms),
        )
        self.metrics.set_speeds(self._recorder.speeds.describe(now_ms))

    def _reload_settings(self) -> None:
        """Adds new seeds; other changes take effect at a restart."""
        try:
            settings = self._reload()
        except errors.SettingsError as error:
            _log.error("settings_not_reloaded", reason=str(error))
            return
        for address in settings.seeds:
            self.state.peers.add_address(address, self.clock.now_ms())
        changed = [
            name
            for name, value in attrs.asdict(settings).items()
            if value != attrs.asdict(self._settings)[name]
        ]
        _log.info("settings_reloaded", changed=",".join(changed) or None)

    async def _drain(self, link: peer_link.PeerLink) -> None:
        """Leaves the rotation, then waits for running requests to finish."""
        _log.info("process_stopping", running=len(self.state.pool.running()))
        self.state.leaving = True
        link.send_now()
        settings = self._settings
        self._handler.shutdown.begin(
            self.clock.now_ms(),
            rotation_ms=settings.out_of_rotation_ms,
            grace_ms=settings.grace_ms,
        )
        with trio.move_on_after(settings.grace_ms / 1000.0):
            await trio.sleep(settings.out_of_rotation_ms / 1000.0)
            self._stopping.set()
            await self._callers_drained.wait()
            await self._members.leave()


def _report_error(error: BaseException) -> None:
    _log.error("handler_failed", reason=repr(error))
