"""Tests of the rate of cold endpoints with gateways as processes."""

import pathlib
import signal
from typing import Any

import trio

from quetzalmill import codec
from quetzalmill import http_message
from quetzalmill_load import platform_cluster
from tests import gateway_case

_COLD_PER_S = 6
_SETTLED_S = 4.5


class TestColdEndpoint:
    """An endpoint that is cold, behind two gateways."""

    def test_rate_holds_also_after_suspension_and_without_the_store(
        self, tmp_path: pathlib.Path
    ) -> None:
        """The gateways together would exceed it, each within its share."""

        async def case(cluster: platform_cluster.Cluster) -> None:
            services = platform_cluster.desired_state()["services"]
            services[1] |= {"coldStartS": 3.0, "coldPerS": _COLD_PER_S}
            state = platform_cluster.desired_state(2, services=services)
            cluster.store.put("keyed.op", "config", state)
            endpoint = await cluster.add_endpoint("app-1", "app")
            first = await cluster.add_gateway()
            second = await cluster.add_gateway(apart=True)
            await trio.sleep(_SETTLED_S)
            endpoint.cold_until_s = trio.current_time() + 60.0
            statuses = {first.name: [0], second.name: [0]}
            refusals: list[dict[str, str]] = []

            async def send(gateway: platform_cluster.Gateway) -> None:
                _, response = await cluster.call(gateway, "/lookup/1")
                statuses[gateway.name].append(response.status)
                if response.status == 503:
                    refusals.append(response.headers)

            async def read(
                gateway: platform_cluster.Gateway, path: str
            ) -> bytes:
                request = http_message.Request(method="GET", path=path)
                response = await cluster.client.request(
                    gateway.metrics, request, timeout_ms=2_000.0
                )
                return response.body

            async def burst(*gateways: platform_cluster.Gateway) -> None:
                endpoint.cold_arrivals_s.clear()
                statuses.update({each.name: [] for each in gateways})
                async with trio.open_nursery() as nursery:
                    for _ in range(12):
                        for gateway in gateways:
                            nursery.start_soon(send, gateway)
                        await trio.sleep(0.1)

            # The first responses tell that it is cold.
            for gateway in (first, second):
                await send(gateway)
            await trio.sleep(1.1)
            await burst(first, second)
            assert 0 < endpoint.most_cold_arrivals() <= _COLD_PER_S
            assert all(200 in each for each in statuses.values())
            waits_s = [float(each["retry-after"]) for each in refusals]
            assert 0 < max(waits_s) <= 1.1
            shown = codec.from_json(await read(first, "/state"), dict[str, Any])
            assert len(shown["cold"]["members"]) == 2
            assert shown["cold"]["endpoints"]["app-1"]["share"] == 3
            shown_metrics = await read(first, "/metrics")
            assert b'cold_requests_total{decision="refused"}' in shown_metrics
            assert b'{name="cold_endpoints"} 1.0' in shown_metrics

            cluster.stop(first, signal.SIGSTOP)
            cluster.store_apart_down = True
            await trio.sleep(2.5)
            cluster.stop(first, signal.SIGCONT)
            await burst(first, second)
            assert endpoint.most_cold_arrivals() <= _COLD_PER_S
            assert statuses[second.name] == [503] * 12

        gateway_case.run(tmp_path, case)
