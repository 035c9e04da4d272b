"""Tests of endpoints that drain one after the other under load.

The callers and checks are those of the soak test, without its faults.
"""

import pathlib

import attrs
import trio

from quetzalmill import errors
from quetzalmill_load import platform_cluster
from quetzalmill_soak import callers
from quetzalmill_soak import checks
from quetzalmill_soak import record as record_module
from tests import gateway_case

_DRAINING = platform_cluster.Told.DRAINING
_REMOVED = platform_cluster.Told.REMOVED

_LATE_S = checks.DRAIN_S + 1.0
"""Delay after which an entry announces the drain: only when no requests may
arrive any more."""

_PROGRAMS = 16
"""Enough that each of four partitions has one, except with a probability of one
in 25."""

_KINDS = {"lookup": "/lookup/1", "booking": "/book/1"}


class TestRollingRestart:
    """All endpoints of a service drain and restart, one at a time."""

    _DRAIN_MODES = ((_DRAINING, 0.0), (_DRAINING, _LATE_S), (_REMOVED, _LATE_S))
    _CALLERS = 8

    def test_no_caller_fails(self, tmp_path: pathlib.Path) -> None:
        """With streams, stored conversations and tools at two gateways."""

        async def case(cluster: platform_cluster.Cluster) -> None:
            for number in range(len(self._DRAIN_MODES)):
                for service, events in (("llm", checks.EVENTS), ("app", 0)):
                    endpoint = await cluster.add_endpoint(
                        f"{service}-{number}", service, events
                    )
                    endpoint.names_request = True
            for _ in range(2):
                await cluster.add_gateway()
            # Turns may be refused while the second gateway takes over
            # partitions from the first; that is not what this tests.
            await cluster.until(lambda: _serve_turns(cluster))
            for endpoint in cluster.all_instances:
                endpoint.runs.clear()
            record = record_module.Record()
            active_callers = [
                callers.Caller(
                    cluster,
                    record,
                    {"weddings": platform_cluster.KEY},
                    f"c{number}",
                )
                for number in range(self._CALLERS)
            ]
            async with trio.open_nursery() as nursery:
                end_s = trio.current_time() + sum(
                    late_s + checks.DRAIN_S + 1.0
                    for _, late_s in self._DRAIN_MODES
                )
                for caller in active_callers:
                    nursery.start_soon(caller.run, end_s)
                for number, (announcement, late_s) in enumerate(
                    self._DRAIN_MODES
                ):
                    async with trio.open_nursery() as leaving:
                        for service in ("llm", "app"):
                            leaving.start_soon(
                                _drain_and_restart,
                                cluster,
                                f"{service}-{number}",
                                announcement,
                                late_s,
                            )
            _assert_kept(cluster, record, active_callers)

        gateway_case.run(tmp_path, case)


class TestStoreUnavailable:
    """Endpoints drain while the store is unavailable."""

    _WORKERS = 6

    def test_endpoints_drain_one_after_the_other(
        self, tmp_path: pathlib.Path
    ) -> None:
        async def case(cluster: platform_cluster.Cluster) -> None:
            for number in range(3):
                await cluster.add_endpoint(f"app-{number}", "app")
            for _ in range(2):
                await cluster.add_gateway()
            record = record_module.Record()
            done = trio.Event()
            async with trio.open_nursery() as nursery:
                for number in range(self._WORKERS):
                    nursery.start_soon(_work, cluster, record, number, done)
                cluster.store.down = True
                # These entries are not read until the store recovers.
                await cluster.leave("app-0", _DRAINING, late_s=1.0)
                await cluster.leave("app-1", _REMOVED, late_s=1.0)
                done.set()
            _assert_kept(cluster, record, [])

        gateway_case.run(tmp_path, case)


async def _serve_turns(cluster: platform_cluster.Cluster) -> bool:
    """Returns whether turns of about all partitions succeed."""
    answers = [
        await cluster.turn(gateway, b"hi", program=f"settling-{number}")
        for gateway in cluster.gateways
        for number in range(_PROGRAMS)
    ]
    return all(response.status == 200 for _, response in answers)


async def _drain_and_restart(
    cluster: platform_cluster.Cluster,
    endpoint_id: str,
    announcement: platform_cluster.Told,
    late_s: float,
) -> None:
    await cluster.leave(endpoint_id, announcement, late_s=late_s)
    await cluster.start_endpoint_again(endpoint_id)


async def _work(
    cluster: platform_cluster.Cluster,
    record: record_module.Record,
    number: int,
    done: trio.Event,
) -> None:
    """Calls tools at one gateway, one call at a time."""
    gateway = number % len(cluster.gateways)
    kind = sorted(_KINDS)[number // len(cluster.gateways) % len(_KINDS)]
    while not done.is_set():
        attempt = record_module.Attempt(
            request_id="",
            kind=kind,
            team="weddings",
            key=platform_cluster.KEY,
            gateway=gateway,
            body=b"{}",
            sent_s=trio.current_time(),
        )
        record.attempts.append(attempt)
        try:
            request_id, response = await cluster.call(
                cluster.gateways[gateway], _KINDS[kind], body=attempt.body
            )
        except errors.HttpError as error:
            attempt.reason = repr(error)
        else:
            attempt.request_id = request_id
            attempt.status = response.status
            attempt.headers = response.headers
            attempt.answer = response.body
            attempt.answered_s = trio.current_time()
        attempt.ended_s = trio.current_time()


def _assert_kept(
    cluster: platform_cluster.Cluster,
    record: record_module.Record,
    active_callers: list[callers.Caller],
) -> None:
    """Checks that no call failed and that all guarantees were kept."""
    failed = [
        attrs.evolve(attempt, answer=b"")
        for attempt in record.attempts
        # A program that loops must be stopped by its budget.
        if attempt.status not in (200, 402)
    ]
    budgets = {
        program: budget
        for caller in active_callers
        for program, budget in caller.budgets.items()
    }
    broken = checks.judge(
        record,
        [run for instance in cluster.all_instances for run in instance.runs],
        budgets,
        {},
        [run for instance in cluster.all_instances for run in instance.refused],
    )
    assert any(
        run.signed
        for instance in cluster.all_instances
        for run in instance.runs
    )
    assert (len(failed), failed[:3]) == (0, [])
    assert (len(broken), broken[:3]) == (0, [])
