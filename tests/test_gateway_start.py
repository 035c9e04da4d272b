"""Tests of the order in which a starting gateway opens its addresses."""

from typing import Any
import unittest.mock

import pytest
import trio

from quetzalmill import gateway
from quetzalmill import gateway_settings
from quetzalmill import http_server
from tests import memory_store


class TestStart:
    """The addresses that are open when a gateway reports that it is ready."""

    def test_ready_comes_after_the_callers_address(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Otherwise the first callers' connections are refused."""
        opened: list[str] = []

        async def serve(
            address: str,
            *_: Any,
            task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
            **__: Any,
        ) -> None:
            opened.append(address)
            task_status.started(1)

        monkeypatch.setattr(http_server, "serve", serve)
        one = gateway.Gateway(
            gateway_settings.GatewaySettings(
                host="h",
                failure_domain="a",
                callers_address="10.0.0.1:1",
                ready_address="10.0.0.1:2",
                peer_address="10.0.0.1:3",
                calls_port=5,
                metrics_address="10.0.0.1:4",
                seeds=(),
                parts=1,
                memory_mb=100.0,
                link_mbps=0.0,
                rate_slack=0.0,
                drain_ms=0.0,
                grace_ms=1_000.0,
                out_of_rotation_ms=100.0,
            ),
            memory_store.MemoryStore(),
            unittest.mock.Mock(),
            unittest.mock.Mock(),
            unittest.mock.Mock(),
        )

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                one._wire(nursery)
                await one._serve_all(nursery)

        trio.run(run)
        assert opened == ["10.0.0.1:1", "10.0.0.1:4", "10.0.0.1:2"]
