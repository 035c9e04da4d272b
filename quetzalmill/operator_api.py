"""The HTTP API for operators, served by each entry.

The response to a publication states the outcome: accepted, rejected, in
conflict with a newer revision, or not known yet. A record id that is sent
again gets the original outcome.
"""

from collections.abc import Callable
from typing import Any

import attrs
import trio

from quetzalmill import announcement
from quetzalmill import clock as clock_module
from quetzalmill import codec
from quetzalmill import config_store
from quetzalmill import configuration
from quetzalmill import errors
from quetzalmill import fleet_view
from quetzalmill import http_message
from quetzalmill import http_server
from quetzalmill import log_port
from quetzalmill import logs
from quetzalmill import object_hints
from quetzalmill import object_rules
from quetzalmill import objects

OUTCOME_WAIT_MS = 3_000.0
"""Maximum time that a publication waits for its record's outcome."""

UNAVAILABLE_RETRY_MS = 1_000.0
"""Retry delay that is returned after the log refused an append."""

_PREFIX = "/operator/v1/"
_POLL_MS = 10.0
_HISTORY_LIMIT = 100
_HISTORY_MAX = 1_000

_log = logs.get("operator_api")


class OperatorApi:
    """Handles operators' requests."""

    def __init__(
        self,
        *,
        store: config_store.ConfigStore,
        port: log_port.LogPort,
        fleet: fleet_view.FleetView,
        own: Callable[[], tuple[str, objects.ProcessSpec]],
        dump: Callable[[], dict[str, Any]],
        clock: clock_module.Clock,
    ) -> None:
        self._store = store
        self._port = port
        self._fleet = fleet
        self._own = own
        self._dump = dump
        self._clock = clock

    async def handle(
        self, request: http_message.Request, exchange: http_server.Exchange
    ) -> None:
        """Handles one request."""
        match (request.method, request.path.removeprefix(_PREFIX)):
            case ("GET", "/state"):
                await exchange.respond(200, codec.to_json(self._dump()))
            case ("GET", "/health" | "/ready"):
                await exchange.respond(200, b"{}")
            case ("POST", "publish"):
                await self._publish(request, exchange)
            case ("GET", "objects"):
                await self._objects(request, exchange)
            case ("GET", "history"):
                await self._history(request, exchange)
            case ("GET", "processes"):
                await self._processes(exchange)
            case _:
                await _respond(exchange, 404, {"message": "no such path"})

    async def _publish(
        self, request: http_message.Request, exchange: http_server.Exchange
    ) -> None:
        try:
            record = codec.from_json(request.body, objects.ConfigRecord)
        except errors.CodecError as error:
            await _reject(exchange, [str(error)])
            return
        problems = self._problems_of(record)
        if problems:
            await _reject(exchange, problems)
            return
        known = self._store.config.outcome_of(record.record_id)
        if known is None:
            known = await self._append(record, exchange)
        if known is not None:
            await self._respond_outcome(exchange, record, known)

    async def _append(
        self, record: objects.ConfigRecord, exchange: http_server.Exchange
    ) -> configuration.Outcome | None:
        """Appends a record; responds and returns None on an unknown outcome."""
        try:
            await announcement.append_record(self._port, record)
        except errors.OutcomeUnknownError as error:
            _log.warning("append_reply_lost", reason=str(error))
        except errors.ExternalSystemError as error:
            await _respond(
                exchange,
                503,
                {
                    "outcome": "unavailable",
                    "message": str(error),
                    "retry_after_ms": UNAVAILABLE_RETRY_MS,
                },
            )
            return None
        with trio.move_on_after(OUTCOME_WAIT_MS / 1000.0):
            while True:
                known = self._store.config.outcome_of(record.record_id)
                if known is not None:
                    return known
                await trio.sleep(_POLL_MS / 1000.0)
        await _respond(
            exchange, 504, {"outcome": "unknown", "record_id": record.record_id}
        )
        return None

    def _problems_of(self, record: objects.ConfigRecord) -> list[str]:
        problems = configuration.validate_changes(record.changes)
        if not record.changes:
            problems.append("the record changes nothing")
        for change in record.changes:
            problems.extend(self._valid_key_problems(record, change))
            if change.spec is None or change.kind not in objects.SPEC_TYPES:
                continue
            problems.extend(
                object_rules.problems_of(change.kind, change.name, change.spec)
            )
            problems.extend(self._missing_team_problems(record, change))
        return list(dict.fromkeys(problems))

    def _missing_team_problems(
        self, record: objects.ConfigRecord, change: objects.ObjectChange
    ) -> list[str]:
        if change.kind != objects.KEY or change.spec is None:
            return []
        team = change.spec.get("team")
        added = {c.name for c in record.changes if c.kind == objects.TEAM}
        if self._store.config.team(str(team)) or team in added:
            return []
        return [f"key/{change.name}: there is no team {team!r}"]

    def _valid_key_problems(
        self, record: objects.ConfigRecord, change: objects.ObjectChange
    ) -> list[str]:
        """Returns why a team with valid keys may not be deleted."""
        if change.kind != objects.TEAM or change.spec is not None:
            return []
        withdrawn = {
            each.name
            for each in record.changes
            if each.kind == objects.KEY
            and (each.spec is None or each.spec.get("withdrawn"))
        }
        keys = self._store.config.specs(objects.KEY, objects.KeySpec)
        valid = [
            name
            for name, spec in keys.items()
            if spec.team == change.name
            and not spec.withdrawn
            and name not in withdrawn
        ]
        if not valid:
            return []
        return [
            f"team/{change.name}: its keys still work: {', '.join(valid)}; "
            "withdraw them first"
        ]

    async def _respond_outcome(
        self,
        exchange: http_server.Exchange,
        record: objects.ConfigRecord,
        outcome: configuration.Outcome,
    ) -> None:
        _log.info(
            "published",
            record_id=record.record_id,
            author=record.author,
            outcome=outcome.verdict.value,
            revision=outcome.revision,
        )
        match outcome.verdict:
            case configuration.Verdict.ACCEPTED:
                body = {
                    "outcome": "accepted",
                    "revision": outcome.revision,
                    "hints": object_hints.hints_of(
                        self._store.config, record.changes
                    ),
                }
                await _respond(exchange, 200, body)
            case configuration.Verdict.CONFLICT:
                await _respond(
                    exchange,
                    409,
                    {
                        "outcome": "conflict",
                        "revision": outcome.revision,
                        "object": outcome.detail,
                    },
                )
            case configuration.Verdict.REJECTED:
                await _reject(exchange, [outcome.detail])

    async def _objects(
        self, request: http_message.Request, exchange: http_server.Exchange
    ) -> None:
        config = self._store.config
        kind = request.query.get("kind", "")
        kinds = [kind] if kind else sorted(objects.SPEC_TYPES)
        name = request.query.get("name")
        found = [
            codec.to_plain(stored)
            for each in kinds
            for stored in config.all_of(each)
            if name is None or stored.name == name
        ]
        await _respond(
            exchange,
            200,
            {"revision": config.applied_offset, "objects": found},
        )

    async def _history(
        self, request: http_message.Request, exchange: http_server.Exchange
    ) -> None:
        text = request.query.get("limit", str(_HISTORY_LIMIT))
        limit = int(text) if text.isdigit() else _HISTORY_LIMIT
        limit = max(1, min(limit, _HISTORY_MAX))
        first = max(1, self._store.config.applied_offset - limit + 1)
        try:
            page = await self._read_history(first, limit)
        except errors.ExternalSystemError as error:
            await _respond(
                exchange, 503, {"message": f"the log cannot be read: {error}"}
            )
            return
        records = [self._history_row(record) for record in page.records]
        await _respond(exchange, 200, {"records": records})

    async def _read_history(self, first: int, limit: int) -> log_port.Page:
        stream = announcement.CONFIG_STREAM
        try:
            return await self._port.read(stream, first, limit=limit, wait_ms=0)
        except errors.RetentionError as error:
            return await self._port.read(
                stream, error.first_offset, limit=limit, wait_ms=0
            )

    def _history_row(self, logged: log_port.LogRecord) -> dict[str, Any]:
        record = announcement.decode_record(logged.data)
        if record is None:
            return {"offset": logged.offset, "record_id": "", "applied": False}
        outcome = self._store.config.outcome_of(record.record_id)
        applied = (
            outcome is not None
            and outcome.verdict is configuration.Verdict.ACCEPTED
            and outcome.revision == logged.offset
        )
        row: dict[str, Any] = codec.to_plain(record)
        return {"offset": logged.offset, "applied": applied, **row}

    async def _processes(self, exchange: http_server.Exchange) -> None:
        now_ms = self._clock.now_ms()
        own_host, own_spec = self._own()
        rows = [
            self._process_row(host, now_ms)
            for host in sorted(
                {
                    *self._store.config.specs(
                        objects.PROCESS, objects.ProcessSpec
                    ),
                    *(
                        heard.host
                        for role in (objects.ENTRY, objects.SIDECAR)
                        for heard in self._fleet.live_processes(role, now_ms)
                    ),
                }
            )
            if host != own_host
        ]
        rows.append(
            {
                "host": own_host,
                "role": own_spec.role,
                "instance": own_spec.instance,
                "applied_offset": self._store.config.applied_offset,
                "heard_ms_ago": 0.0,
                "leaving": own_spec.leaving,
                "live": True,
            }
        )
        await _respond(exchange, 200, {"processes": rows})

    def _process_row(self, host: str, now_ms: float) -> dict[str, Any]:
        process = self._fleet.process(host)
        heard = self._fleet.last_report(host)
        return attrs.asdict(
            _ProcessRow(
                host=host,
                role=process.role if process else "",
                instance=process.instance if process else "",
                applied_offset=heard.applied_offset if heard else 0,
                heard_ms_ago=now_ms - heard.at_ms if heard else None,
                leaving=self._fleet.is_leaving(host),
                live=self._fleet.is_alive(host, now_ms),
            )
        )


@attrs.frozen(kw_only=True)
class _ProcessRow:
    host: str
    role: str
    instance: str
    applied_offset: int
    heard_ms_ago: float | None
    leaving: bool
    live: bool


async def _respond(
    exchange: http_server.Exchange, status: int, body: dict[str, Any]
) -> None:
    await exchange.respond(status, codec.to_json(body))


async def _reject(exchange: http_server.Exchange, problems: list[str]) -> None:
    await _respond(exchange, 422, {"outcome": "rejected", "problems": problems})
