"""Runs a test case on the emulated platform with gateways as processes."""

from collections.abc import Awaitable, Callable
import pathlib

import trio

from quetzalmill_load import platform_cluster

Case = Callable[[platform_cluster.Cluster], Awaitable[None]]


def run(path: pathlib.Path, case: Case) -> None:
    """Runs a case on a new platform."""

    async def with_cluster() -> None:
        async with platform_cluster.run(path) as cluster:
            await case(cluster)

    trio.run(with_cluster)
