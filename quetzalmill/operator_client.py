"""A synchronous client of the operators' HTTP interface.

Entries are tried in order. Reads are safe to retry. A publication is retried
only under its own record id, which takes effect at most once, so sending it
again also reveals the outcome after a lost response.
"""

from collections.abc import Callable
import time
from typing import Any, TypeVar
import urllib.parse

import attrs
import trio

from quetzalmill import clock
from quetzalmill import codec
from quetzalmill import errors
from quetzalmill import http_client
from quetzalmill import http_message
from quetzalmill import objects
from quetzalmill import settings_rules

PREFIX = "/operator/v1"

_ATTEMPT_TIMEOUT_MS = 10_000.0
_BODY_TIMEOUT_MS = 30_000.0
_INITIAL_BACKOFF_MS = 100.0
_MAX_BACKOFF_MS = 2_000.0
_MAX_RESPONSE_BYTES = 64 * 1024 * 1024
_MAX_QUOTED_BYTES = 200

_T = TypeVar("_T")


@attrs.frozen
class Accepted:
    """The record is in force from this revision on.

    Attributes:
        revision: That revision.
        hints: What the operator may want to check.
    """

    revision: int
    hints: list[str] = attrs.field(factory=list)


@attrs.frozen
class Conflict:
    """An object changed after the revision that the record was based on.

    Attributes:
        revision: The object's current revision.
        object: The object, such as ``team/field``.
    """

    revision: int
    object: str


@attrs.frozen
class Rejected:
    """The record has mistakes and was not appended."""

    problems: list[str]


@attrs.frozen
class Unavailable:
    """The record was certainly not appended; it may be sent again later.

    Attributes:
        message: The reason.
        retry_after_ms: Time to wait before the next attempt.
    """

    message: str
    retry_after_ms: float = 0.0


@attrs.frozen
class Unknown:
    """The record may or may not have been appended."""

    record_id: str


Outcome = Accepted | Conflict | Rejected | Unavailable | Unknown


@attrs.frozen(kw_only=True)
class ObjectList:
    """Objects of one kind, as one entry has them in force.

    Attributes:
        revision: The log offset that the entry had applied.
        objects: The objects.
    """

    revision: int
    objects: list["ListedObject"]

    def revision_of(self, name: str) -> int:
        """Returns an object's revision, 0 when it does not exist."""
        found = self.find(name)
        return found.revision if found else 0

    def find(self, name: str) -> "ListedObject | None":
        """Returns the object with that name, if it exists."""
        for item in self.objects:
            if item.name == name:
                return item
        return None


@attrs.frozen(kw_only=True)
class ListedObject:
    """One object in a list."""

    kind: str
    name: str
    revision: int
    spec: dict[str, Any]


@attrs.frozen(kw_only=True)
class HistoryRecord:
    """A record of the log.

    Attributes:
        offset: Its position in the log, which is the revision of the objects
            that it changed.
        record_id: Its id.
        applied: Whether it took effect; one that conflicted did not.
        author: Who appended it, empty when the record cannot be read.
        changes: What it changes.
    """

    offset: int
    record_id: str
    applied: bool
    author: str = ""
    changes: list[objects.ObjectChange] = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class ProcessState:
    """What an entry knows about a process.

    Attributes:
        host: Its host.
        role: ``entry`` or ``sidecar``.
        instance: Id of the process's lifetime; each restart has a new one.
        applied_offset: The log offset that it has in force.
        heard_ms_ago: Time since its last heartbeat; None before the first.
        leaving: Whether it accepts no new work.
        live: Whether it counts as live.
    """

    host: str
    role: str
    instance: str
    applied_offset: int
    heard_ms_ago: float | None
    leaving: bool
    live: bool


@attrs.frozen
class _HistoryList:
    records: list[HistoryRecord]


@attrs.frozen
class _ProcessList:
    processes: list[ProcessState]


class OperatorClient:
    """Sends each request to the first entry that responds."""

    def __init__(
        self,
        addresses: list[settings_rules.Address],
        time_source: clock.Clock | None = None,
        sleep_s: Callable[[float], None] = time.sleep,
    ) -> None:
        """Creates the client without sending anything.

        Args:
            addresses: Operator addresses of entries, at least one.
            time_source: The clock for timeouts.
            sleep_s: Sleeps for that many seconds.
        """
        self._addresses = addresses
        self._clock = time_source or clock.SystemClock()
        self._sleep_s = sleep_s

    def list_objects(self, kind: str, name: str | None = None) -> ObjectList:
        """Returns the objects of a kind, or the one with that name.

        Raises:
            errors.OperatorUnavailableError: No entry responded.
            errors.OperatorRefusedError: The entry refused the request.
        """
        query = {"kind": kind} if name is None else {"kind": kind, "name": name}
        path = f"{PREFIX}/objects?{urllib.parse.urlencode(query)}"
        return self._get(path, ObjectList)

    def history(self, limit: int) -> list[HistoryRecord]:
        """Returns the last records of the log, at most ``limit``.

        Raises:
            errors.OperatorUnavailableError: No entry responded.
            errors.OperatorRefusedError: The entry refused the request.
        """
        return self._get(
            f"{PREFIX}/history?limit={limit}", _HistoryList
        ).records

    def processes(self) -> list[ProcessState]:
        """Returns every process that an entry knows about.

        Raises:
            errors.OperatorUnavailableError: No entry responded.
            errors.OperatorRefusedError: The entry refused the request.
        """
        return self._get(f"{PREFIX}/processes", _ProcessList).processes

    def state(self) -> dict[str, Any]:
        """Returns the state dump of the first process that responds.

        Raises:
            errors.OperatorUnavailableError: No process responded.
            errors.OperatorRefusedError: The process refused the request.
        """
        return self._get("/state", dict[str, Any])

    def publish(
        self,
        record: objects.ConfigRecord,
        timeout_ms: float,
        *,
        sent_before: bool = False,
    ) -> Outcome:
        """Publishes a record and retries until its outcome is known.

        Args:
            record: The record; it takes effect at most once.
            timeout_ms: How long to retry after lost responses.
            sent_before: Whether the record may have been sent before.

        Returns:
            ``Unknown`` only when the timeout expired after a lost response, and
            ``Unavailable`` only when no attempt can have taken effect.
        """
        deadline_ms = self._clock.now_ms() + timeout_ms
        backoff_ms = _INITIAL_BACKOFF_MS
        body = codec.to_json(record)
        maybe_appended = sent_before
        while True:
            outcome = self._publish_round(record.record_id, body, deadline_ms)
            match outcome:
                case Accepted() | Conflict() | Rejected():
                    return outcome
                case Unknown():
                    maybe_appended = True
                case Unavailable() if not maybe_appended:
                    return outcome
            if self._clock.now_ms() + backoff_ms >= deadline_ms:
                return Unknown(record.record_id)
            self._sleep_s(backoff_ms / 1000.0)
            backoff_ms = min(backoff_ms * 2, _MAX_BACKOFF_MS)

    def _publish_round(
        self, record_id: str, body: bytes, deadline_ms: float
    ) -> Outcome:
        """Sends the record to each entry once, until one knows the outcome."""
        failures: list[str] = []
        retry_after_ms = 0.0
        maybe_appended = False
        for address in self._addresses:
            remaining_ms = max(
                deadline_ms - self._clock.now_ms(), _INITIAL_BACKOFF_MS
            )
            outcome = _publish_once(address, record_id, body, remaining_ms)
            match outcome:
                case Accepted() | Conflict() | Rejected():
                    return outcome
                case Unknown():
                    maybe_appended = True
                case Unavailable():
                    failures.append(f"{address}: {outcome.message}")
                    retry_after_ms = max(retry_after_ms, outcome.retry_after_ms)
        if maybe_appended:
            return Unknown(record_id)
        return Unavailable("; ".join(failures), retry_after_ms)

    def _get(self, path: str, expected: type[_T]) -> _T:
        failures: list[str] = []
        for address in self._addresses:
            try:
                response = _exchange(
                    address, "GET", path, body_timeout_ms=_BODY_TIMEOUT_MS
                )
                return _decode(response, expected)
            except (errors.HttpError, errors.CodecError) as error:
                failures.append(f"{address}: {error}")
        raise errors.OperatorUnavailableError(
            f"no response ({'; '.join(failures)}); check the addresses "
            "and that a process runs there"
        )


def _publish_once(
    address: settings_rules.Address,
    record_id: str,
    body: bytes,
    timeout_ms: float,
) -> Outcome:
    try:
        response = _exchange(
            address,
            "POST",
            f"{PREFIX}/publish",
            body,
            timeout_ms=timeout_ms,
        )
        return _outcome_of(response, record_id)
    except errors.ConnectFailedError as error:
        return Unavailable(str(error))
    except (errors.HttpError, errors.CodecError):
        return Unknown(record_id)


def _outcome_of(response: http_message.Response, record_id: str) -> Outcome:
    match response.status:
        case 200:
            return codec.from_json(response.body, Accepted)
        case 409:
            return codec.from_json(response.body, Conflict)
        case 422:
            return codec.from_json(response.body, Rejected)
        case 503:
            return codec.from_json(response.body, Unavailable)
        case status if 400 <= status < 500:
            return Rejected([_error_text(response)])
        case _:
            return Unknown(record_id)


def _decode(response: http_message.Response, expected: type[_T]) -> _T:
    if response.status == 200:
        return codec.from_json(response.body, expected)
    if 400 <= response.status < 500:
        raise errors.OperatorRefusedError(_error_text(response))
    raise errors.BadMessageError(_error_text(response), response.status)


def _error_text(response: http_message.Response) -> str:
    """Returns the status and the body's message, or the start of the body."""
    text = response.body[:_MAX_QUOTED_BYTES].decode("utf-8", "replace")
    try:
        message = codec.from_json(response.body, dict[str, Any]).get("message")
    except errors.CodecError:
        message = None
    return f"status {response.status}: {message or text}"


def _exchange(
    address: settings_rules.Address,
    method: str,
    path: str,
    body: bytes = b"",
    *,
    timeout_ms: float = _ATTEMPT_TIMEOUT_MS,
    body_timeout_ms: float = 0.0,
) -> http_message.Response:
    """Sends one request on a new connection.

    Raises:
        errors.ConnectFailedError: No byte of the request was sent.
        errors.ConnectionLostError: The connection was lost before the
            complete response arrived.
        errors.ResponseTimeoutError: The response did not arrive in time.
        errors.BadMessageError: The response is malformed or larger than
            allowed.
    """
    timeout_ms = min(timeout_ms, _ATTEMPT_TIMEOUT_MS)
    request = http_message.Request(
        method=method,
        path=path,
        headers={"content-type": "application/json"} if body else {},
        body=body,
    )

    async def send() -> http_message.Response:
        client = http_client.HttpClient(connect_timeout_ms=timeout_ms)
        try:
            return await client.request(
                str(address),
                request,
                timeout_ms=timeout_ms,
                body_timeout_ms=body_timeout_ms,
                new_connection=True,
                max_body_bytes=_MAX_RESPONSE_BYTES,
            )
        finally:
            await client.aclose()

    try:
        return trio.run(send)
    except errors.ConnectFailedError as error:
        reason = str(error).removeprefix(f"{address}: ")
        raise errors.ConnectFailedError(f"cannot connect: {reason}") from error
