"""The port to the platform's list of hosts, which lags behind reality.

It implements the list's HTTP protocol. The port is read-only, so a failed read
has no side effects.
"""

import enum
from typing import Protocol

import attrs

from quetzalmill import codec
from quetzalmill import errors
from quetzalmill import http_client
from quetzalmill import http_message

MAX_LIST_BYTES = 4 * 1024 * 1024
"""Maximum size of the list, in bytes."""

_PATH = "/hosts"


class HostState(enum.Enum):
    """The state of a host as the platform reports it."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen(kw_only=True)
class ListedHost:
    """An entry of the host list."""

    host: str
    state: HostState


class HostListPort(Protocol):
    """The interface to the platform's host list."""

    async def read(self) -> list[ListedHost]:
        """Returns the current host list.

        Raises:
            errors.NotExecutedError: The list could not be read.
        """


class HttpHostList:
    """Reads the host list over HTTP."""

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

    async def read(self) -> list[ListedHost]:
        """Returns the listed hosts; see ``HostListPort.read``."""
        request = http_message.Request(method="GET", path=_PATH)
        try:
            response = await self._client.request(
                self._address,
                request,
                timeout_ms=self._timeout_ms,
                idempotent=True,
                max_body_bytes=MAX_LIST_BYTES,
            )
        except errors.HttpError as error:
            raise errors.NotExecutedError(str(error)) from error
        if response.status != 200:
            raise errors.NotExecutedError(
                f"the list answered {response.status}"
            )
        try:
            found = codec.from_json(response.body, dict[str, list[ListedHost]])
            return found["hosts"]
        except (errors.CodecError, KeyError) as error:
            raise errors.NotExecutedError(
                f"no list of hosts: {error}"
            ) from error
