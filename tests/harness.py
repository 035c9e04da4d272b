"""Starts real processes for tests and speaks HTTP to them.

A ``Fleet`` ends every process that it started, and only those. Tests are
plain synchronous code; what they wait for has a bound.
"""

from collections.abc import Callable, Iterator
import contextlib
import http.client
import json
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import types
from typing import Any, Self, TypeVar

import attrs

from quetzalmill import sse

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
    """A whole response: its JSON value, or its bytes when it is not JSON."""

    status: int
    headers: dict[str, str]
    body: Any


class EventStream:
    """A response whose server-sent events are read one after the other.

    Attributes:
        status: The HTTP status.
        headers: The headers by lower-case name.
    """

    def __init__(self, response: http.client.HTTPResponse) -> None:
        self._response = response
        self.status = response.status
        self.headers = _lower(response)

    def events(self) -> Iterator[sse.Event]:
        """Yields events until the body ends.

        Raises:
            OSError: The connection broke.
            http.client.HTTPException: The body ended early.
        """
        parser = sse.SseParser()
        while piece := self._response.read1(65_536):
            yield from parser.feed(piece)

    def body(self) -> Any:
        """Reads an answer that is no stream of events."""
        return _decode(self._response.read())


class Process:
    """One process under test.

    Attributes:
        name: What the test calls it.
        address: Where it serves HTTP, once it is ready.
        pid: Its process id.
    """

    def __init__(
        self, name: str, module: str, args: list[str], directory: pathlib.Path
    ) -> None:
        self.name = name
        self.address = ""
        self._stdout = directory / f"{name}.stdout"
        self._stderr = directory / f"{name}.stderr"
        with self._stdout.open("ab") as out, self._stderr.open("ab") as err:
            self._popen = subprocess.Popen(
                [sys.executable, "-m", module, *args],
                cwd=directory,
                env={"PYTHONPATH": str(REPOSITORY), "PATH": "/usr/bin:/bin"},
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=err,
            )
        self.pid = self._popen.pid

    @property
    def running(self) -> bool:
        """Whether the process has not ended; a frozen one is running."""
        return self._popen.poll() is None

    @property
    def exit_code(self) -> int | None:
        """The exit code; negative for a signal, None while running."""
        return self._popen.poll()

    def output(self) -> str:
        """Returns what the process wrote, standard error last."""
        return self._stdout.read_text() + self._stderr.read_text()

    def wait_ready_line(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Waits for the line that names the address."""

        def read() -> str | None:
            self._expect_running()
            for line in self._stdout.read_text().splitlines(keepends=True):
                if line.startswith(_READY_PREFIX) and line.endswith("\n"):
                    return line.removeprefix(_READY_PREFIX).split()[0]
            return None

        self.address = eventually(read, timeout_s, f"{self.name} is ready")

    def wait_ready(
        self, address: str, timeout_s: float = READY_TIMEOUT_S
    ) -> None:
        """Waits until ``/ready`` at the address answers 200."""

        def ready() -> bool:
            self._expect_running()
            try:
                return call(address, "GET", "/ready", timeout_s=2).status == 200
            except (OSError, http.client.HTTPException):
                return False

        eventually(ready, timeout_s, f"{self.name} is ready")
        self.address = address

    def kill(self) -> None:
        """Ends the process at once, also a frozen one."""
        self._popen.kill()
        self._popen.wait(_END_TIMEOUT_S)

    def freeze(self) -> None:
        """Stops the process until ``wake``."""
        self._popen.send_signal(signal.SIGSTOP)

    def wake(self) -> None:
        """Lets a frozen process go on."""
        self._popen.send_signal(signal.SIGCONT)

    def signal_terminate(self) -> None:
        """Asks the process to end and returns at once."""
        self._popen.terminate()

    def wait_end(self, timeout_s: float = _END_TIMEOUT_S) -> int:
        """Waits for the process to end; returns its exit code."""
        return self._popen.wait(timeout_s)

    def terminate(self, timeout_s: float = _END_TIMEOUT_S) -> int:
        """Asks the process to end and waits; returns its exit code."""
        self.signal_terminate()
        return self.wait_end(timeout_s)

    def _expect_running(self) -> None:
        if not self.running:
            raise AssertionError(
                f"{self.name} ended with {self.exit_code}:\n{self.output()}"
            )


class Fleet:
    """The processes of one test; a context manager that ends them all."""

    def __init__(self) -> None:
        self._files = tempfile.TemporaryDirectory(prefix="quetzalmill-test-")
        self._processes: list[Process] = []
        self.directory = pathlib.Path(self._files.name)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        if error is not None:
            self._show_output()
        self.close()

    def start(self, name: str, module: str, *args: str) -> Process:
        """Starts ``python -m module args``; the caller waits for it."""
        process = Process(name, module, list(args), self.directory)
        self._processes.append(process)
        return process

    def emulator(
        self, kind: str, *args: str, address: str = "127.0.0.1:0"
    ) -> Process:
        """Starts an emulator and waits until it is ready.

        Args:
            kind: ``log``, ``engine``, ``service`` or ``hosts``.
            *args: Further options.
            address: Where it listens; port 0 takes a free port.
        """
        name = f"{kind}-{len(self._processes)}"
        process = self.start(name, _EMULATOR, kind, "--address", address, *args)
        process.wait_ready_line()
        return process

    def write(self, name: str, text: str) -> pathlib.Path:
        """Writes a file, such as settings, and returns its path."""
        path = self.directory / name
        path.write_text(text)
        return path

    def close(self) -> None:
        """Ends all processes and removes their files."""
        for process in self._processes:
            if process.running:
                process.kill()
        self._files.cleanup()

    def _show_output(self) -> None:
        for process in self._processes:
            output = process.output()[-_SHOWN_CHARACTERS:]
            state = process.exit_code
            print(f"--- {process.name} (exit code {state}):\n{output}")


def free_port() -> int:
    """Returns a loopback port that is free and was not returned before.

    It lies below the ports that outgoing connections take, so that none of
    them holds it while a test starts a killed process again.
    """
    while True:
        port = _draws.randrange(_LOWEST_PORT, _HIGHEST_PORT)
        if port not in _given_ports and _is_free(port):
            _given_ports.add(port)
            return port


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def free_address() -> str:
    """Returns a free loopback address."""
    return f"127.0.0.1:{free_port()}"


def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = CALL_TIMEOUT_S,
) -> Reply:
    """Sends one request on a connection of its own.

    Args:
        address: IP address and port.
        method: The HTTP method.
        path: The path with its query.
        body: Bytes as they are; anything else is sent as JSON.
        headers: Further headers.
        timeout_s: The time that connecting and each read may take.

    Raises:
        OSError: The connection failed, broke or timed out.
        http.client.HTTPException: The response ended early or is broken.
    """
    with contextlib.closing(_connect(address, timeout_s)) as connection:
        _send(connection, method, path, body, headers)
        response = connection.getresponse()
        body = _decode(response.read())
        return Reply(response.status, _lower(response), body)


@contextlib.contextmanager
def stream(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = CALL_TIMEOUT_S,
) -> Iterator[EventStream]:
    """Sends one request and yields its streamed answer; see ``call``."""
    with contextlib.closing(_connect(address, timeout_s)) as connection:
        _send(connection, method, path, body, headers)
        yield EventStream(connection.getresponse())


def eventually(
    predicate: Callable[[], _T | None],
    timeout_s: float = 10.0,
    what: str = "the condition holds",
) -> _T:
    """Calls ``predicate`` until its result is truthy, and returns that.

    Raises:
        AssertionError: The time is over; names the last result.
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


def _lower(response: http.client.HTTPResponse) -> dict[str, str]:
    return {name.lower(): value for name, value in response.getheaders()}
