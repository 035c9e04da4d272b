"""Tests of what a gateway takes and ends while it shuts down."""

import pathlib
import signal

import pytest
import trio

from quetzalmill import errors
from quetzalmill import http_client
from quetzalmill import http_message
from quetzalmill import shutdown
from quetzalmill_load import platform_cluster
from tests import gateway_case

_GRACE_S = 8.0
"""The time from SIGTERM to SIGKILL on the emulated platform."""

_PERIOD = shutdown.Period(rotation_end_ms=3_000.0, end_ms=6_900.0)


class TestPeriod:
    """Which requests are taken; the shutdown begins at 0 ms."""

    @pytest.mark.parametrize(
        ("now_ms", "deadline_ms", "average_ms", "is_admitted"),
        [
            (1_000.0, 5_000.0, 300.0, True),
            (1_000.0, 6_900.0, 9_000.0, True),
            # Callers are still routed here, and it is likely to complete.
            (1_000.0, 9_000.0, 300.0, True),
            (1_000.0, 9_000.0, 2_000.0, False),
            # A late request is taken only if it cannot outlast the period.
            (3_500.0, 6_900.0, 300.0, True),
            (3_500.0, 7_000.0, 300.0, False),
        ],
    )
    def test_admission(
        self,
        now_ms: float,
        deadline_ms: float,
        average_ms: float,
        is_admitted: bool,
    ) -> None:
        assert is_admitted == _PERIOD.admits(
            now_ms, deadline_ms=deadline_ms, average_ms=average_ms
        )


class TestPlannedStop:
    """SIGTERM to a gateway whose endpoint takes longer than its grace."""

    def test_late_booking_is_refused_instead_of_cut(
        self, tmp_path: pathlib.Path
    ) -> None:
        """It arrives after three seconds and may outlast the grace period."""

        async def case(cluster: platform_cluster.Cluster) -> None:
            app = await cluster.add_endpoint("app-1", "app")
            app.pause_s = 2.0 * _GRACE_S
            gateway = await cluster.add_gateway()
            host, _, port = gateway.callers.rpartition(":")
            cluster.stop(gateway, signal.SIGTERM)
            await trio.sleep(2.9)
            # A new connection gets half a second for its first request.
            stream = await trio.open_tcp_stream(host, int(port))
            await trio.sleep(0.4)
            with trio.fail_after(2.0):
                await stream.send_all(_booking("f" * 16))
                answer = await stream.receive_some()
                rest = await stream.receive_some()
            assert answer.startswith(b"HTTP/1.1 503 ")
            assert b"connection: close\r\n" in answer.lower()
            assert rest == b""
            assert not app.runs
            await _until_ended(gateway)

        gateway_case.run(tmp_path, case)

    def test_booking_that_outlasts_the_grace_is_answered(
        self, tmp_path: pathlib.Path
    ) -> None:
        """The answer promises nothing, since the endpoint still works on it."""

        async def case(cluster: platform_cluster.Cluster) -> None:
            _allow_long_requests(cluster)
            app = await cluster.add_endpoint("app-1", "app")
            app.pause_s = 2.0 * _GRACE_S
            gateway = await cluster.add_gateway()
            statuses: list[int] = []

            async def send() -> None:
                client = http_client.HttpClient()
                response = await client.request(
                    gateway.callers,
                    _request("f" * 16, "/book/1"),
                    timeout_ms=20_000.0,
                )
                statuses.append(response.status)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send)
                while not app.runs:
                    await trio.sleep(0.01)
                cluster.stop(gateway, signal.SIGTERM)
                await _until_ended(gateway)
            assert statuses == [504]

        gateway_case.run(tmp_path, case)

    def test_stream_that_outlasts_the_grace_does_not_look_complete(
        self, tmp_path: pathlib.Path
    ) -> None:
        async def case(cluster: platform_cluster.Cluster) -> None:
            _allow_long_requests(cluster)
            engine = await cluster.add_endpoint("llm-1", "llm", events=50)
            engine.pause_s = 0.4
            gateway = await cluster.add_gateway()

            async def send() -> None:
                with pytest.raises(errors.ConnectionLostError):
                    await cluster.turn(
                        gateway, b"hi", path=platform_cluster.QUOTE_PATH + "1"
                    )

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send)
                while not engine.runs:
                    await trio.sleep(0.01)
                cluster.stop(gateway, signal.SIGTERM)
                await _until_ended(gateway)
            assert "outcome=broke_off" in gateway.log()

        gateway_case.run(tmp_path, case)


def _allow_long_requests(cluster: platform_cluster.Cluster) -> None:
    state = platform_cluster.desired_state(2)
    for route in state["routes"]:
        route["timeoutMs"] = 20_000
    cluster.store.put("keyed.op", "config", state)


def _request(request_id: str, path: str) -> http_message.Request:
    return http_message.Request(
        method="POST",
        path=path,
        host=platform_cluster.HOST,
        headers={
            "Attempt-Id": request_id,
            "Deadline-Ms": "20000",
            "Authorization": f"Token {platform_cluster.KEY}",
        },
    )


def _booking(request_id: str) -> bytes:
    return (
        "POST /book/1 HTTP/1.1\r\n"
        f"Host: {platform_cluster.HOST}\r\n"
        f"Attempt-Id: {request_id}\r\n"
        "Deadline-Ms: 4000\r\n"
        f"Authorization: Token {platform_cluster.KEY}\r\n"
        "Content-Length: 0\r\n\r\n"
    ).encode()


async def _until_ended(gateway: platform_cluster.Gateway) -> None:
    """Waits until a gateway ends by itself within the grace period."""
    with trio.fail_after(_GRACE_S):
        while gateway.process.poll() is None:
            await trio.sleep(0.02)
    assert gateway.process.returncode == 0
