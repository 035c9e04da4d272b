"""Tests of what a gateway's log tells about endpoints' answers."""

import pathlib
import re

from quetzalmill_emulator import platform_endpoint
from quetzalmill_load import platform_cluster
from tests import gateway_case


class TestAnswers:
    """The line of a request, and the counters."""

    def test_refusals_of_own_and_of_other_requests_are_told_apart(
        self, tmp_path: pathlib.Path
    ) -> None:
        """So that a refusal that is wrongly believed shows in the log."""

        async def case(cluster: platform_cluster.Cluster) -> None:
            app = await cluster.add_endpoint("app-1", "app")
            app.faults = [
                platform_endpoint.Fault.SHED,
                platform_endpoint.Fault.LATE_COPY,
            ]
            gateway = await cluster.add_gateway()
            first, _ = await cluster.call(gateway, "/book/1")
            second, _ = await cluster.call(gateway, "/book/1")
            lines: dict[str, str] = {}

            async def is_logged() -> bool:
                # A gateway logs a request after it has answered.
                lines.update(_request_lines(gateway.log()))
                return {first, second} <= lines.keys()

            await cluster.until(is_logged)
            refused = re.search(
                r"answers=app-1@(\d+)\.1:503:own:not_run ", lines[first]
            )
            assert refused is not None
            exchange = f"app-1@{refused[1]}.2"
            assert (
                f"answers={exchange}:503:foreign:skipped,"
                f"{exchange}:200:own:ran " in lines[second]
            )

        gateway_case.run(tmp_path, case)


def _request_lines(log: str) -> dict[str, str]:
    """Returns the lines of requests, by the request's id."""
    lines = {}
    for line in log.splitlines():
        found = re.search(r"event=request .*request_id=(\w+) .*took_ms=", line)
        if found is not None:
            lines[found[1]] = line
    return lines
