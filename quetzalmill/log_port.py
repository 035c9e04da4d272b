"""Client of the platform's append-only log service.

It speaks the log's HTTP protocol and reports each failure as not executed or
as of unknown outcome. It neither retries nor interprets records: its callers
know which record ids to look for after a lost reply.

Nothing in an answer names its request, and a copy of an earlier answer on a
kept connection would decide whether records are durable. So each call has a
connection of its own.
"""

from typing import Any, Protocol

import attrs

from quetzalmill import codec
from quetzalmill import errors
from quetzalmill import http_client
from quetzalmill import http_message

MAX_PAGE_BYTES = 64 * 1024 * 1024
"""The largest response body of a read."""

_STATUS_GONE = 410
_STATUS_TOO_MANY = 429
_STATUS_UNAVAILABLE = 503


@attrs.frozen(kw_only=True)
class LogRecord:
    """One record of a stream.

    Attributes:
        offset: Its position; the first record of a stream has offset 1.
        data: The record as plain data.
    """

    offset: int
    data: Any


@attrs.frozen(kw_only=True)
class Page:
    """Consecutive records of a stream.

    Attributes:
        records: The records read, oldest first.
        end: The offset that the stream's next record will have.
    """

    records: list[LogRecord]
    end: int


@attrs.frozen(kw_only=True)
class _Appended:
    """The log's answer to an append."""

    first_offset: int


@attrs.frozen(kw_only=True)
class _NotKept:
    """The log's answer to a read before the first record that it keeps."""

    first_offset: int = 1


class LogPort(Protocol):
    """The operations of the log service that the system uses."""

    async def append(self, stream: str, records: list[Any]) -> int:
        """Appends records together and returns the first one's offset.

        Raises:
            errors.NotExecutedError: Nothing was appended; ``ThrottledError``
                when the log throttles appends.
            errors.OutcomeUnknownError: The records may have been appended.
        """

    async def read(
        self, stream: str, from_offset: int, *, limit: int, wait_ms: float
    ) -> Page:
        """Reads records, waiting up to ``wait_ms`` for the first one.

        Raises:
            errors.RetentionError: The records are no longer kept.
            errors.NotExecutedError: The log could not be read.
        """


class HttpLogPort:
    """Reaches the log service by HTTP."""

    def __init__(
        self,
        client: http_client.HttpClient,
        address: str,
        *,
        timeout_ms: float,
    ) -> None:
        self._client = client
        self._address = address
        self._timeout_ms = timeout_ms
        self.failed_calls = 0

    async def append(self, stream: str, records: list[Any]) -> int:
        """Appends records together; see ``LogPort.append``."""
        request = http_message.Request(
            method="POST",
            path=f"/streams/{stream}/append",
            body=codec.to_json({"records": records}),
        )
        try:
            response = await self._client.request(
                self._address,
                request,
                timeout_ms=self._timeout_ms,
                new_connection=True,
            )
        except errors.ConnectFailedError as error:
            raise self._failed(errors.NotExecutedError(str(error))) from error
        except errors.HttpError as error:
            raise self._failed(
                errors.OutcomeUnknownError(str(error))
            ) from error
        if response.status == _STATUS_TOO_MANY:
            raise self._failed(
                errors.ThrottledError("the log takes no more appends now")
            )
        if _is_refusal(response.status):
            raise self._failed(
                errors.NotExecutedError(f"the log answered {response.status}")
            )
        if response.status != 200:
            raise self._failed(
                errors.OutcomeUnknownError(
                    f"the log answered {response.status}"
                )
            )
        try:
            return codec.from_json(response.body, _Appended).first_offset
        except errors.CodecError as error:
            raise self._failed(
                errors.OutcomeUnknownError(f"an unreadable answer: {error}")
            ) from error

    async def read(
        self, stream: str, from_offset: int, *, limit: int, wait_ms: float
    ) -> Page:
        """Reads records; see ``LogPort.read``."""
        request = http_message.Request(
            method="GET",
            path=f"/streams/{stream}/records",
            query={
                "from": str(from_offset),
                "max": str(limit),
                "wait_ms": str(int(wait_ms)),
            },
        )
        try:
            response = await self._client.request(
                self._address,
                request,
                timeout_ms=self._timeout_ms + wait_ms,
                new_connection=True,
                max_body_bytes=MAX_PAGE_BYTES,
            )
        except errors.HttpError as error:
            raise self._failed(errors.NotExecutedError(str(error))) from error
        try:
            if response.status == _STATUS_GONE:
                kept = codec.from_json(response.body, _NotKept)
                raise errors.RetentionError(kept.first_offset)
            if response.status == 200:
                return codec.from_json(response.body, Page)
        except errors.CodecError as error:
            raise self._failed(
                errors.NotExecutedError(f"an unreadable answer: {error}")
            ) from error
        raise self._failed(
            errors.NotExecutedError(f"the log answered {response.status}")
        )

    def _failed(
        self, error: errors.ExternalSystemError
    ) -> errors.ExternalSystemError:
        """Counts a failure and returns it."""
        self.failed_calls += 1
        return error


def _is_refusal(status: int) -> bool:
    """Returns whether a status says that nothing was appended.

    Others, such as that of a failure within the log or of a proxy before it,
    say nothing of it.
    """
    return status == _STATUS_UNAVAILABLE or 400 <= status < 500
