"""Starts real processes and reads what they cost from ``/proc``.

A ``Group`` ends every process that it started, and only those.

CPU time and resident memory are read instead of wall time, so that a busy
machine does not change what is measured.
"""

from collections.abc import Callable, Iterator
import contextlib
import http.client
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any, Self

from quetzalmill import early_signals
from quetzalmill import errors

MAX_PROCESSES = 150
"""Processes that one deployment may start."""

READY_TIMEOUT_S = 30.0
"""How long a process may take until it is ready."""

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_EMULATOR = "quetzalmill_emulator"
_LOWEST_PORT = 10_000
_HIGHEST_PORT = 32_000
_POLL_S = 0.01
_END_TIMEOUT_S = 10.0
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_KIB_BYTES = 1024
_READY_PREFIX = "ready address="

_given_ports: set[int] = set()
_draws = random.SystemRandom()


@contextlib.contextmanager
def default_signal_actions() -> Iterator[None]:
    """Lets processes that are started in it begin with the default actions.

    Ignored signals stay ignored in a new program, which would hide that it does
    not handle them itself. Only for the main thread.
    """
    ignored = [
        number
        for number in early_signals.HANDLED
        if signal.getsignal(number) is signal.SIG_IGN
    ]
    for number in ignored:
        signal.signal(number, signal.SIG_DFL)
    try:
        yield
    finally:
        for number in ignored:
            signal.signal(number, signal.SIG_IGN)


class LoadError(errors.QuetzalmillError):
    """A measurement could not be made."""


class Process:
    """One process that was started here.

    Attributes:
        name: What its starter calls it.
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
        with (
            self._stdout.open("ab") as out,
            self._stderr.open("ab") as err,
            default_signal_actions(),
        ):
            self._popen = subprocess.Popen(
                [sys.executable, "-m", module, *args],
                cwd=directory,
                env={"PYTHONPATH": str(_ROOT), "PATH": "/usr/bin:/bin"},
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
        """Waits for the line that names the address of an emulator.

        Raises:
            LoadError: It does not come in time.
        """

        def read() -> bool:
            self._expect_running()
            for line in self._stdout.read_text().splitlines(keepends=True):
                if line.startswith(_READY_PREFIX) and line.endswith("\n"):
                    self.address = line.removeprefix(_READY_PREFIX).split()[0]
            return bool(self.address)

        wait_until(read, f"{self.name} is ready", timeout_s)

    def wait_ready(
        self, address: str, timeout_s: float = READY_TIMEOUT_S
    ) -> None:
        """Waits until ``/ready`` at the address answers 200.

        Raises:
            LoadError: It does not in time.
        """

        def ready() -> bool:
            self._expect_running()
            try:
                return ask(address, "GET", "/ready")[0] == 200
            except (OSError, http.client.HTTPException):
                return False

        wait_until(ready, f"{self.name} is ready", timeout_s)
        self.address = address

    def kill(self) -> None:
        """Ends the process at once, also a frozen one."""
        self._popen.kill()
        self._popen.wait(_END_TIMEOUT_S)

    def freeze(self) -> None:
        """Stops the process until ``resume``."""
        self._popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Lets a frozen process go on."""
        self._popen.send_signal(signal.SIGCONT)

    def send_signal(self, number: int) -> None:
        """Sends a signal; does nothing once the process has ended."""
        self._popen.send_signal(number)

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

    def cpu_s(self) -> float:
        """Returns the CPU time of the process so far, 0 once it has ended."""
        try:
            text = pathlib.Path(f"/proc/{self.pid}/stat").read_text()
        except OSError:
            return 0.0
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S

    def resident_bytes(self) -> int:
        """Returns the resident memory, 0 once the process has ended."""
        try:
            text = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        except OSError:
            return 0
        for line in text.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * _KIB_BYTES
        return 0

    def _expect_running(self) -> None:
        if not self.running:
            raise LoadError(
                f"{self.name} ended with {self.exit_code}:\n{self.output()}"
            )


class Group:
    """Processes that end together; a context manager."""

    def __init__(self) -> None:
        self._files = tempfile.TemporaryDirectory(prefix="quetzalmill-")
        self.processes: list[Process] = []
        self.directory = pathlib.Path(self._files.name)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *unused: object) -> None:
        for process in self.processes:
            if process.running:
                process.kill()
        self._files.cleanup()

    def start(self, name: str, module: str, *args: str) -> Process:
        """Starts ``python -m module args``.

        Raises:
            LoadError: Too many processes were started already.
        """
        if len(self.processes) >= MAX_PROCESSES:
            raise LoadError(f"more than {MAX_PROCESSES} processes")
        unique = f"{name}-{len(self.processes)}"
        process = Process(unique, module, list(args), self.directory)
        self.processes.append(process)
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
        process = self.start(kind, _EMULATOR, kind, "--address", address, *args)
        process.wait_ready_line()
        return process

    def write(self, name: str, text: str) -> pathlib.Path:
        """Writes a file and returns its path."""
        path = self.directory / name
        path.write_text(text)
        return path


def free_address() -> str:
    """Returns a loopback address that is free and was not returned before.

    Its port lies below those that outgoing connections take, so that none of
    them holds it while a killed process is started again.
    """
    while True:
        port = _draws.randrange(_LOWEST_PORT, _HIGHEST_PORT)
        if port not in _given_ports and _is_free(port):
            _given_ports.add(port)
            return f"127.0.0.1:{port}"


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
        return True


def ask(
    address: str, method: str, path: str, body: Any = None
) -> tuple[int, Any]:
    """Sends one JSON request; returns the status and the decoded body.

    Raises:
        OSError: The connection failed.
        http.client.HTTPException: The response is broken.
    """
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=10)
    try:
        data = None if body is None else json.dumps(body)
        connection.request(method, path, body=data)
        response = connection.getresponse()
        text = response.read()
        return response.status, json.loads(text) if text else None
    finally:
        connection.close()


def wait_until(
    condition: Callable[[], bool],
    what: str,
    timeout_s: float = READY_TIMEOUT_S,
) -> None:
    """Waits until ``condition()`` is true.

    Raises:
        LoadError: It is not within ``timeout_s`` seconds.
    """
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline_s:
            raise LoadError(f"not in time: {what}")
        time.sleep(_POLL_S)
