"""Tests of signals that come in series, from a process's start to its exit."""

import pathlib
import signal
import subprocess
import time

import pytest
import trio

from quetzalmill import commands_daemon
from quetzalmill import main
from quetzalmill_load import platform_cluster
from tests import deployment
from tests import gateway_case
from tests import harness

_IMPORTING_MARK = "msgspec"
"""A library whose binary is mapped while a gateway still imports modules."""


class TestStartedProcesses:
    """What processes inherit from the process of the tests."""

    def test_signals_that_tests_ignore_are_not_ignored_by_processes(
        self, tmp_path: pathlib.Path
    ) -> None:
        """A process would seem to handle what it only ignores."""

        async def case(cluster: platform_cluster.Cluster) -> None:
            gateway = await cluster.add_gateway()
            cluster.stop(gateway, signal.SIGKILL)
            cluster.start_again(gateway)
            status = pathlib.Path(f"/proc/{gateway.process.pid}/status")
            ignored = status.read_text().partition("SigIgn:")[2].split()[0]
            assert not int(ignored, 16) & 1 << (signal.SIGHUP - 1)

        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        gateway_case.run(tmp_path, case)


class TestGateway:
    """Signals to gateways as processes on the emulated platform."""

    def test_reload_signal_does_not_end_a_starting_gateway(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Reloads are requested from the imports until it is ready."""

        async def case(cluster: platform_cluster.Cluster) -> None:
            gateway = await cluster.add_gateway()
            cluster.stop(gateway, signal.SIGKILL)
            cluster.start_again(gateway)
            await _until_importing(gateway.process)
            with trio.fail_after(platform_cluster.START_TIMEOUT_S):
                while not await cluster.is_ready(gateway):
                    gateway.process.send_signal(signal.SIGHUP)
                    await trio.sleep(0.01)
            gateway.process.send_signal(signal.SIGHUP)
            await cluster.until(lambda: _has_reloaded(gateway))

        gateway_case.run(tmp_path, case)

    def test_stop_signal_of_a_starting_gateway_is_obeyed(
        self, tmp_path: pathlib.Path
    ) -> None:
        """It shuts down instead of ending by the signal."""

        async def case(cluster: platform_cluster.Cluster) -> None:
            gateway = await cluster.add_gateway()
            cluster.stop(gateway, signal.SIGKILL)
            cluster.start_again(gateway)
            await _until_importing(gateway.process)
            gateway.process.send_signal(signal.SIGTERM)
            assert await trio.to_thread.run_sync(gateway.process.wait) == 0
            assert "event=process_ended" in gateway.log()

        gateway_case.run(tmp_path, case)

    @pytest.mark.parametrize(
        "which", [signal.SIGHUP, signal.SIGTERM, signal.SIGINT]
    )
    def test_signals_during_shutdown_cut_no_request(
        self, tmp_path: pathlib.Path, which: signal.Signals
    ) -> None:
        """A booking that runs at SIGTERM is answered, whatever follows."""

        async def case(cluster: platform_cluster.Cluster) -> None:
            app = await cluster.add_endpoint("app-1", "app")
            app.pause_s = 1.5
            gateway = await cluster.add_gateway()
            statuses: list[int] = []

            async def book() -> None:
                _, response = await cluster.call(gateway, "/book/1")
                statuses.append(response.status)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(book)
                while not app.runs:
                    await trio.sleep(0.01)
                gateway.process.send_signal(signal.SIGTERM)
                while gateway.process.poll() is None:
                    await trio.sleep(0.02)
                    gateway.process.send_signal(which)
            assert statuses == [200]
            assert gateway.process.wait() == 0

        gateway_case.run(tmp_path, case)

    def test_unreadable_settings_do_not_end_the_gateway(
        self, tmp_path: pathlib.Path
    ) -> None:
        """The file may hold anything while it is being replaced."""

        async def case(cluster: platform_cluster.Cluster) -> None:
            gateway = await cluster.add_gateway()
            before = gateway.settings_path.read_bytes()
            for content in (b"", b"\xff\xfe", b"x = " + b"[" * 5_000):
                gateway.settings_path.write_bytes(content)
                gateway.process.send_signal(signal.SIGHUP)
                await trio.sleep(0.1)
            gateway.settings_path.write_bytes(before)
            gateway.process.send_signal(signal.SIGHUP)
            await cluster.until(lambda: _has_reloaded(gateway))
            assert gateway.log().count("settings_not_reloaded") == 3

        gateway_case.run(tmp_path, case)


class TestDaemons:
    """Signals to entries and sidecars, which read their settings once."""

    @pytest.mark.parametrize("which", [signal.SIGHUP, signal.SIGTERM])
    def test_signals_during_shutdown_are_not_fatal(
        self, which: signal.Signals
    ) -> None:
        with deployment.running() as system:
            system.start_sidecar()
            for node in (*system.entries, *system.sidecars):
                node.process.send_signal(signal.SIGHUP)
                _wait_handled(node.process)
                node.process.send_signal(signal.SIGTERM)
                while node.process.running:
                    node.process.send_signal(which)
                    time.sleep(0.01)
                assert node.process.exit_code == 0

    def test_roles_are_known_without_slow_imports(self) -> None:
        assert main._DAEMONS == commands_daemon.ROLES


def _wait_handled(process: harness.Process) -> None:
    """Waits until a daemon has handled a reload signal."""
    harness.eventually(
        lambda: "settings_not_reloaded" in process.output(),
        what="the signal is handled",
    )


async def _until_importing(process: subprocess.Popen[bytes]) -> None:
    """Waits until a process runs its own code but is not ready yet."""
    maps = pathlib.Path(f"/proc/{process.pid}/maps")
    with trio.fail_after(platform_cluster.START_TIMEOUT_S):
        while _IMPORTING_MARK not in maps.read_text():
            await trio.sleep(0.001)


async def _has_reloaded(gateway: platform_cluster.Gateway) -> bool:
    return "settings_reloaded" in gateway.log()
