"""Starts real processes for tests and sends HTTP requests to them.

A ``Fleet`` stops all processes that it started, and only those. Tests are
synchronous code; every wait has a timeout.
"""

from collections.abc import Callable, Iterator
import contextlib
import http.client
import json
import pathlib
import random
import time
from typing import Any, TypeVar

import attrs

from quetzalmill import sse
from quetzalmill_load import processes

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
READY_TIMEOUT_S = 15.0
CALL_TIMEOUT_S = 15.0

_LOWEST_PORT = 10_000
_HIGHEST_PORT = 32_000
_POLL_S = 0.01
_END_TIMEOUT_S = 10.0
_SHOWN_CHARACTERS = 4000
_READY_PREFIX = "ready address="
_EMULATOR = "quetzalmill_emulator"

_T = TypeVar("_T")

_given_ports: set[int] = set()
_draws = random.SystemRandom()


@attrs.frozen
class Reply:
    """A complete response; the body is decoded if it is JSON, else bytes."""

    status: int
    headers: dict[str, str]
    body: Any


class EventStream:
    """A response that is read as a stream of server-sent events.

    Attributes:
        status: The HTTP status.
        headers: The headers by lower-case name.
    """

    def __init__(self, response: http.client.HTTPResponse) -> None:
        self._response = response
        self.status = response.status
        self.headers = _lowercase_headers(response)

    def events(self) -> Iterator[sse.Event]:
        """Yields events until the body ends.

        Raises:
            OSError: The connection failed.
            http.client.HTTPException: The body ended early.
        """
        parser = sse.SseParser()
        while chunk := self._response.read1(65_536):
            yield from parser.feed(chunk)

    def body(self) -> Any:
        """Reads the body of a response that is not an event stream."""
        return _decode(self._response.read())


Process = processes.Process


class Fleet(processes.Group):
    """The processes of one test; prints their output if the test fails."""

    def __exit__(self, *raised: object) -> None:
        if raised[0] is not None:
            self._show_output()
        super().__exit__(*raised)

    def _show_output(self) -> None:
        for process in self.processes:
            output = process.output()[-_SHOWN_CHARACTERS:]
            state = process.exit_code
            print(f"--- {process.name} (exit code {state}):\n{output}")


def free_address() -> str:
    """Returns a free loopback address; see ``processes.free_address``."""
    return processes.free_address()


def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = CALL_TIMEOUT_S,
) -> Reply:
    """Sends one request on a new connection.

    Args:
        address: IP address and port.
        method: The HTTP method.
        path: The path with its query.
        body: The body; anything but bytes is sent as JSON.
        headers: Additional headers.
        timeout_s: The timeout of connecting and of each read.

    Raises:
        OSError: The connection failed or timed out.
        http.client.HTTPException: The response ended early or is malformed.
    """
    with contextlib.closing(_connect(address, timeout_s)) as connection:
        _send(connection, method, path, body, headers)
        response = connection.getresponse()
        body = _decode(response.read())
        return Reply(response.status, _lowercase_headers(response), body)


@contextlib.contextmanager
def stream(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = CALL_TIMEOUT_S,
) -> Iterator[EventStream]:
    """Sends one request and yields its streamed response; see ``call``."""
    with contextlib.closing(_connect(address, timeout_s)) as connection:
        _send(connection, method, path, body, headers)
        yield EventStream(connection.getresponse())


def eventually(
    predicate: Callable[[], _T | None],
    timeout_s: float = 10.0,
    what: str = "the condition holds",
) -> _T:
    """Polls ``predicate`` until its result is truthy, and returns the result.

    Raises:
        AssertionError: The predicate stayed falsy; names the last result.
    """
    deadline_s = time.monotonic() + timeout_s
    while True:
        result = predicate()
        if result:
            return result
        if time.monotonic() > deadline_s:
            raise AssertionError(
                f"not within {timeout_s} s: {what}; last: {result!r}"
            )
        time.sleep(_POLL_S)


def _connect(address: str, timeout_s: float) -> http.client.HTTPConnection:
    host, _, port = address.rpartition(":")
    return http.client.HTTPConnection(host, int(port), timeout=timeout_s)


def _send(
    connection: http.client.HTTPConnection,
    method: str,
    path: str,
    body: Any,
    headers: dict[str, str] | None,
) -> None:
    data = body
    all_headers = dict(headers or {})
    if body is not None and not isinstance(body, bytes):
        data = json.dumps(body).encode()
        all_headers.setdefault("Content-Type", "application/json")
    connection.request(method, path, body=data, headers=all_headers)


def _decode(data: bytes) -> Any:
    try:
        return json.loads(data)
    except ValueError:
        return data


def _lowercase_headers(response: http.client.HTTPResponse) -> dict[str, str]:
    return {name.lower(): value for name, value in response.getheaders()}
