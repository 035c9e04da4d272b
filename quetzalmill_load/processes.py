"""Starts real processes and reads what they cost from ``/proc``.

CPU time and resident memory are read instead of wall time, so that a busy
machine does not change what is measured.
"""

from collections.abc import Callable
import http.client
import json
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any, Self

from quetzalmill import errors

MAX_PROCESSES = 150
"""Processes that one deployment may start."""

READY_TIMEOUT_S = 30.0
"""How long a process may take until it is ready."""

_POLL_S = 0.02
_END_TIMEOUT_S = 5.0
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_KIB_BYTES = 1024
_READY_PREFIX = "ready address="

_given_ports: set[int] = set()


class LoadError(errors.QuetzalmillError):
    """A measurement could not be made."""


class Process:
    """One process that the load tool started."""

    def __init__(
        self, name: str, module: str, args: list[str], directory: pathlib.Path
    ) -> None:
        self.name = name
        self._output = directory / f"{name}.out"
        with self._output.open("ab") as out:
            self._popen = subprocess.Popen(
                [sys.executable, "-m", module, *args],
                cwd=directory,
                env={"PYTHONPATH": os.pathsep.join(sys.path), "PATH": ""},
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=subprocess.STDOUT,
            )
        self.pid = self._popen.pid

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self._popen.poll() is None

    def output(self) -> str:
        """Returns what the process wrote."""
        return self._output.read_text(errors="replace")

    def listening_address(self) -> str:
        """Waits for the line that names the address of an emulator.

        Raises:
            LoadError: It does not come in time.
        """

        def read() -> str:
            for line in self.output().splitlines(keepends=True):
                if line.startswith(_READY_PREFIX) and line.endswith("\n"):
                    return line.removeprefix(_READY_PREFIX).split()[0]
            return ""

        wait_until(lambda: bool(read()), f"{self.name} is ready")
        return read()

    def wait_ready(self, address: str) -> None:
        """Waits until ``/ready`` answers 200.

        Raises:
            LoadError: It does not in time.
        """

        def ready() -> bool:
            if not self.running:
                raise LoadError(f"{self.name} ended: {self.output()[-2000:]}")
            try:
                return ask(address, "GET", "/ready")[0] == 200
            except (OSError, http.client.HTTPException):
                return False

        wait_until(ready, f"{self.name} is ready")

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

    def kill(self) -> None:
        """Ends the process at once."""
        if self.running:
            self._popen.kill()
        self._popen.wait(_END_TIMEOUT_S)


class Group:
    """The processes of one measurement; a context manager that ends them."""

    def __init__(self) -> None:
        self._files = tempfile.TemporaryDirectory(prefix="quetzalmill-load-")
        self._processes: list[Process] = []
        self.directory = pathlib.Path(self._files.name)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *unused: object) -> None:
        for process in self._processes:
            process.kill()
        self._files.cleanup()

    def start(self, name: str, module: str, *args: str) -> Process:
        """Starts ``python -m module args``.

        Raises:
            LoadError: Too many processes were started already.
        """
        if len(self._processes) >= MAX_PROCESSES:
            raise LoadError(f"more than {MAX_PROCESSES} processes")
        unique = f"{name}-{len(self._processes)}"
        process = Process(unique, module, list(args), self.directory)
        self._processes.append(process)
        return process

    def emulator(self, kind: str, *args: str) -> tuple[Process, str]:
        """Starts an emulator; returns it with its address."""
        process = self.start(
            kind,
            "quetzalmill_emulator",
            kind,
            "--address",
            "127.0.0.1:0",
            *args,
        )
        return process, process.listening_address()

    def write(self, name: str, text: str) -> pathlib.Path:
        """Writes a file and returns its path."""
        path = self.directory / name
        path.write_text(text)
        return path


def free_address() -> str:
    """Returns a loopback address that is free and was not returned before."""
    while True:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = int(probe.getsockname()[1])
        if port not in _given_ports:
            _given_ports.add(port)
            return f"127.0.0.1:{port}"


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


def wait_until(condition: Callable[[], bool], what: str) -> None:
    """Waits until ``condition()`` is true.

    Raises:
        LoadError: It is not within ``READY_TIMEOUT_S``.
    """
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline_s:
            raise LoadError(f"not in time: {what}")
        time.sleep(_POLL_S)
