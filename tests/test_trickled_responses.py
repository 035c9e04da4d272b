"""Tests of responses whose bodies arrive byte by byte and do not end."""

from collections.abc import AsyncIterator
import contextlib
import pathlib

import pytest
import trio

from quetzalmill import errors
from quetzalmill import http_client
from quetzalmill import http_message
from quetzalmill_emulator import platform_endpoint
from quetzalmill_load import platform_cluster
from tests import gateway_case

_Fault = platform_endpoint.Fault
_DEADLINE_MS = 1_000
_PAUSE_S = 0.02
_MAX_S = 10.0
_HEADS = {
    "length": b"Content-Length: 1000000\r\n\r\n",
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n",
    "connection": b"\r\n",
}
_PIECES = {"length": b".", "chunks": b"1\r\n.\r\n", "connection": b"."}


async def _call(
    cluster: platform_cluster.Cluster,
    gateway: platform_cluster.Gateway,
    path: str,
) -> http_message.Response:
    """Sends a request; fails if it is unanswered seconds after its deadline."""
    _, response = await cluster.call(
        gateway, path, headers={"Deadline-Ms": str(_DEADLINE_MS)}
    )
    return response


class TestGateway:
    """Endpoints of a gateway, whose callers wait."""

    @pytest.mark.parametrize("path", ["/book/1", "/lookup/1"])
    def test_trickled_response_is_given_up_at_the_deadline(
        self, path: str, tmp_path: pathlib.Path
    ) -> None:
        """The caller got no response as long as the endpoint went on."""

        async def case(cluster: platform_cluster.Cluster) -> None:
            app = await cluster.add_endpoint("app-1", "app")
            app.faults = [_Fault.TRICKLE]
            gateway = await cluster.add_gateway()
            response = await _call(cluster, gateway, path)
            assert response.status == 504
            assert len(app.runs) == 1

        gateway_case.run(tmp_path, case)

    def test_trickled_lookup_is_sent_to_another_endpoint(
        self, tmp_path: pathlib.Path
    ) -> None:
        """A lookup waited for its first endpoint until its deadline."""

        async def case(cluster: platform_cluster.Cluster) -> None:
            apps = await _add_apps(cluster, [_Fault.TRICKLE])
            gateway = await cluster.add_gateway()
            response = await _call(cluster, gateway, "/lookup/1")
            assert response.status == 200
            assert [len(app.runs) for app in apps] == [1, 1]

        gateway_case.run(tmp_path, case)

    @pytest.mark.parametrize("path", ["/book/1", "/lookup/1"])
    def test_trickled_refusal_is_tried_elsewhere(
        self, path: str, tmp_path: pathlib.Path
    ) -> None:
        """A request waited for the end of a refusal that its head states."""

        async def case(cluster: platform_cluster.Cluster) -> None:
            apps = await _add_apps(cluster, [_Fault.SHED_TRICKLE])
            gateway = await cluster.add_gateway()
            response = await _call(cluster, gateway, path)
            assert response.status == 200
            assert sum(len(app.runs) for app in apps) == 1
            assert sum(len(app.refused) for app in apps) == 1

        gateway_case.run(tmp_path, case)


async def _add_apps(
    cluster: platform_cluster.Cluster, faults: list[platform_endpoint.AnyFault]
) -> list[platform_endpoint.PlatformEndpoint]:
    """Adds two endpoints; whichever gets a request takes the next fault."""
    apps = [await cluster.add_endpoint(f"app-{n}", "app") for n in (1, 2)]
    for app in apps:
        app.faults = faults
    return apps


@pytest.mark.parametrize("framing", _HEADS)
class TestClient:
    """Responses in each framing, read by the client."""

    def test_whole_response_has_a_time_limit(self, framing: str) -> None:
        """Only the pauses between chunks were limited."""

        async def read(address: str) -> None:
            async with http_client.HttpClient().stream(
                address,
                http_message.Request(method="GET", path="/"),
                timeout_ms=_DEADLINE_MS / 4,
                whole_timeout_ms=_DEADLINE_MS / 2,
            ) as response:
                await response.read()

        async def run() -> None:
            async with _trickling(framing) as address:
                with (
                    trio.fail_after(_MAX_S),
                    pytest.raises(errors.ResponseTimeoutError),
                ):
                    await read(address)

        trio.run(run)


@contextlib.asynccontextmanager
async def _trickling(framing: str) -> AsyncIterator[str]:
    """Serves responses without an end and yields the address."""

    async def serve(stream: trio.SocketStream) -> None:
        async with stream:
            await stream.receive_some()
            await stream.send_all(b"HTTP/1.1 200 X\r\n" + _HEADS[framing])
            with contextlib.suppress(trio.BrokenResourceError):
                while True:
                    await stream.send_all(_PIECES[framing])
                    await trio.sleep(_PAUSE_S)

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        yield f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        nursery.cancel_scope.cancel()
