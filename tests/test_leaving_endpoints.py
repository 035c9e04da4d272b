"""Tests of endpoints that announce in their responses that they are draining.

Gateways run as processes on the emulated platform. A drain notice is a response
with ``Server-Leaving: 1``; registry entries stay ``ready`` unless a test
changes them.
"""

from collections.abc import Callable
import contextlib
import functools
import pathlib
import signal

import pytest
import trio

from quetzalmill import errors
from quetzalmill import http_message
from quetzalmill_emulator import platform_endpoint
from quetzalmill_load import platform_cluster
from tests import gateway_case

_NOTICE = platform_endpoint.SIGN
_Fault = platform_endpoint.Fault
_QUOTE = platform_cluster.QUOTE_PATH + "1"
_DRAIN_S = platform_cluster.DRAIN_MS / 1000.0

_MANY = 16
"""Number of requests; of two equal endpoints each would get half of them. The
probability that one gets none is one in 65,000."""


class TestNotice:
    """Drain notices in responses."""

    @pytest.mark.parametrize(
        ("path", "fault"),
        [
            ("/lookup/1", None),
            ("/book/1", None),
            ("/lookup/1", _Fault.SHED),
            ("/book/1", _Fault.SHED),
            ("/lookup/1", _Fault.ERROR),
            ("/chat/1", None),
            (_QUOTE, None),
            (_QUOTE, _Fault.CUT_STREAM),
        ],
    )
    def test_no_request_follows_a_response_with_the_notice(
        self,
        tmp_path: pathlib.Path,
        path: str,
        fault: platform_endpoint.Fault | None,
    ) -> None:
        async def case(cluster: platform_cluster.Cluster) -> None:
            leaving, other = await _add_two(cluster, path)
            gateway = await cluster.add_gateway()
            leaving.leaving = _NOTICE
            if fault is not None:
                leaving.faults.append(fault)
            await _receive_notice(cluster, gateway, leaving, path)
            await _discredit(cluster, gateway, other, path)
            assert await _count_reaching(cluster, gateway, leaving, path) == 0

        gateway_case.run(tmp_path, case)

    def test_notice_applies_from_the_response_head(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Other requests go elsewhere while the stream with the notice runs."""

        async def case(cluster: platform_cluster.Cluster) -> None:
            leaving, other = await _add_two(cluster, _QUOTE, events=25)
            leaving.pause_s = 0.1
            gateway = await cluster.add_gateway()
            leaving.leaving = _NOTICE
            begun: set[str] = set()
            bodies: dict[str, bytes] = {}

            async def send(request_id: str) -> None:
                async with cluster.client.stream(
                    gateway.callers,
                    _turn(request_id),
                    timeout_ms=6_000.0,
                    whole_timeout_ms=12_000.0,
                    new_connection=True,
                ) as response:
                    body = b""
                    async for piece in response:
                        begun.add(request_id)
                        body += piece
                    bodies[request_id] = body

            async with trio.open_nursery() as nursery:
                for number in range(_MANY):
                    request_id = f"{number:016x}"
                    nursery.start_soon(send, request_id)
                    await _until(
                        functools.partial(begun.issuperset, [request_id])
                    )
                    if leaving.runs:
                        break
                # Few enough that the other endpoint has slots for all of them.
                expected = _arrived(leaving) + _arrived(other) + 5
                for number in range(_MANY, _MANY + 5):
                    nursery.start_soon(send, f"{number:016x}")
                await _until(
                    lambda: _arrived(leaving) + _arrived(other) == expected
                )
            assert _arrived(leaving) == 1
            assert bodies[leaving.runs[0].request_id].endswith(b"data: e25\n\n")

        gateway_case.run(tmp_path, case)

    @pytest.mark.parametrize("value", ["0", "", "yes", "11", "true, 1"])
    def test_wrong_value_changes_nothing(
        self, tmp_path: pathlib.Path, value: str
    ) -> None:
        async def case(cluster: platform_cluster.Cluster) -> None:
            app, _ = await _add_two(cluster, "/lookup/1")
            gateway = await cluster.add_gateway()
            app.leaving = value
            await _reach(cluster, gateway, app)
            before = len(app.runs)
            await _reach(cluster, gateway, app)
            assert len(app.runs) > before

        gateway_case.run(tmp_path, case)

    def test_response_of_another_endpoint_at_the_address(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Neither the addressed endpoint nor its address counts as draining."""

        async def case(cluster: platform_cluster.Cluster) -> None:
            app, _ = await _add_two(cluster, "/lookup/1")
            gateway = await cluster.add_gateway()
            app.endpoint_id, app.leaving = "other-9", _NOTICE

            async def is_misdirected() -> bool:
                await cluster.call(gateway, "/lookup/1")
                return app.misdirected > 0

            await cluster.until(is_misdirected)
            app.endpoint_id, app.leaving = "app-0", None
            cluster.put_entry("app-0")
            # From now on, only an endpoint that is not draining is used.
            await trio.sleep(_DRAIN_S)
            await cluster.end_endpoint("app-1")
            await _reach(cluster, gateway, app)

        gateway_case.run(tmp_path, case)

    def test_running_work_completes(self, tmp_path: pathlib.Path) -> None:
        """A turn that started before the notice ends at the same endpoint."""

        async def case(cluster: platform_cluster.Cluster) -> None:
            engine = await cluster.add_endpoint("llm-0", "llm", events=20)
            engine.pause_s = 0.1
            gateway = await cluster.add_gateway()
            answers: list[http_message.Response] = []

            async def send(path: str) -> None:
                _, response = await cluster.turn(
                    gateway, b"hi", path=path, program=path
                )
                answers.append(response)

            async with trio.open_nursery() as nursery:
                for path in ("/chat/1", _QUOTE):
                    nursery.start_soon(send, path)
                await _until(lambda: len(engine.runs) == 2)
                other = await cluster.add_endpoint("llm-1", "llm", events=20)
                await _until(lambda: "endpoint=llm-1" in gateway.log())
                engine.leaving = _NOTICE
                cluster.put_entry("llm-0", state="draining")
            assert [each.body.endswith(b"data: e20\n\n") for each in answers]
            assert all(each.body.count(b"data: ") == 20 for each in answers)
            assert len(engine.runs) == 2
            assert not other.runs

        gateway_case.run(tmp_path, case)

    def test_conversation_continues_elsewhere(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Gateways hold its history, so it does not need the old endpoint."""

        async def case(cluster: platform_cluster.Cluster) -> None:
            engine = await cluster.add_endpoint("llm-0", "llm", events=1)
            gateway = await cluster.add_gateway()
            first, _ = await cluster.turn(gateway, b"hello")
            engine.leaving = _NOTICE
            second, response = await cluster.turn(gateway, b"more", first)
            assert response.status == 200
            other = await cluster.add_endpoint("llm-1", "llm", events=1)
            await _until(lambda: "endpoint=llm-1" in gateway.log())
            for _ in range(_MANY):
                _, response = await cluster.turn(gateway, b"last", second)
                assert response.status == 200
            assert len(engine.runs) == 2
            assert {run.body for run in other.runs} == {
                b"helloe1\nmoree1\nlast"
            }

        gateway_case.run(tmp_path, case)


class TestEntries:
    """Entries that are older than the notice, or of a later instance."""

    @pytest.mark.parametrize("how", ["again", "lapsed", "outage", "whole"])
    def test_older_entry_does_not_reactivate_an_endpoint(
        self, tmp_path: pathlib.Path, how: str
    ) -> None:
        async def case(cluster: platform_cluster.Cluster) -> None:
            leaving, other = await _add_two(cluster, "/lookup/1")
            gateway = await cluster.add_gateway()
            leaving.leaving = _NOTICE
            await _receive_notice(cluster, gateway, leaving)
            event = "endpoints_read" if how == "whole" else "endpoint=marker"
            if how == "outage":
                cluster.store.down = True
                await _until(lambda: "endpoints_not_read" in gateway.log())
            if how in ("lapsed", "outage"):
                cluster.remove_entry("app-0")
            before = gateway.log().count(event)
            cluster.put_entry("app-0", coldLeftMs=5)
            if how == "whole":
                # Dropped history that gateways have not read yet makes them
                # read the complete list.
                cluster.store.forget("keyed.servers")
            await cluster.add_endpoint("marker", "marks")
            cluster.store.down = False
            await _until(lambda: gateway.log().count(event) > before)
            await _discredit(cluster, gateway, other, "/lookup/1")
            assert await _count_reaching(cluster, gateway, leaving) == 0

        gateway_case.run(tmp_path, case)

    @pytest.mark.parametrize("announcement", list(platform_cluster.Told))
    def test_new_instance_within_a_second_is_used(
        self, tmp_path: pathlib.Path, announcement: platform_cluster.Told
    ) -> None:
        async def case(cluster: platform_cluster.Cluster) -> None:
            leaving, _ = await _add_two(cluster, "/lookup/1")
            gateway = await cluster.add_gateway()
            leaving.leaving = _NOTICE
            await _receive_notice(cluster, gateway, leaving)
            if announcement is platform_cluster.Told.DRAINING:
                cluster.put_entry("app-0", state="draining")
            await cluster.end_endpoint("app-0")
            fresh = await cluster.start_endpoint_again("app-0")
            await _reach(cluster, gateway, fresh)

        gateway_case.run(tmp_path, case)


class TestGateways:
    """Gateways that freeze, restart or learn of a drain from a peer."""

    def test_gateway_frozen_during_the_drain_keeps_the_notice(
        self, tmp_path: pathlib.Path
    ) -> None:
        async def case(cluster: platform_cluster.Cluster) -> None:
            leaving, other = await _add_two(cluster, "/lookup/1")
            gateway = await cluster.add_gateway()
            leaving.leaving = _NOTICE
            await _receive_notice(cluster, gateway, leaving)
            cluster.stop(gateway, signal.SIGSTOP)
            await trio.sleep(_DRAIN_S + 0.5)
            cluster.stop(gateway, signal.SIGCONT)
            await cluster.until(lambda: cluster.is_ready(gateway))
            await _discredit(cluster, gateway, other, "/lookup/1")
            assert await _count_reaching(cluster, gateway, leaving) == 0

        gateway_case.run(tmp_path, case)

    def test_gateway_frozen_while_an_endpoint_drains_and_stops(
        self, tmp_path: pathlib.Path
    ) -> None:
        """It resumes with open connections to it, and no call fails."""

        async def case(cluster: platform_cluster.Cluster) -> None:
            leaving, other = await _add_two(cluster, "/book/1")
            frozen = await cluster.add_gateway()
            awake = await cluster.add_gateway()
            await _reach(cluster, frozen, leaving, "/book/1")
            cluster.stop(frozen, signal.SIGSTOP)
            leaving.leaving = _NOTICE
            await _receive_notice(cluster, awake, leaving, "/book/1")
            await cluster.leave("app-0", platform_cluster.Told.DRAINING)
            cluster.stop(frozen, signal.SIGCONT)
            await cluster.until(lambda: cluster.is_ready(frozen))
            before = len(other.runs)
            await _count_reaching(cluster, frozen, leaving, "/book/1")
            assert len(other.runs) == before + _MANY

        gateway_case.run(tmp_path, case)

    def test_restarted_gateway_learns_it_from_one_response(
        self, tmp_path: pathlib.Path
    ) -> None:
        async def case(cluster: platform_cluster.Cluster) -> None:
            leaving, _ = await _add_two(cluster, "/lookup/1")
            gateway = await cluster.add_gateway()
            leaving.leaving = _NOTICE
            await _receive_notice(cluster, gateway, leaving)
            cluster.stop(gateway)
            cluster.start_again(gateway)
            await cluster.until(lambda: cluster.is_ready(gateway))
            assert await _count_reaching(cluster, gateway, leaving) <= 1

        gateway_case.run(tmp_path, case)

    def test_peer_sends_nothing_after_a_reported_drain(
        self, tmp_path: pathlib.Path
    ) -> None:
        async def case(cluster: platform_cluster.Cluster) -> None:
            leaving, _ = await _add_two(cluster, "/lookup/1")
            gateway = await cluster.add_gateway()
            peer = await cluster.add_gateway()
            leaving.leaving = _NOTICE
            await _receive_notice(cluster, gateway, leaving)
            await _until(lambda: _has_notice(peer, "app-0"))
            assert await _count_reaching(cluster, peer, leaving) == 0

        gateway_case.run(tmp_path, case)


class TestWholeService:
    """All endpoints of a service drain at once."""

    @pytest.mark.parametrize("path", ["/lookup/1", "/book/1", _QUOTE])
    def test_served_at_first_and_then_refused_at_once(
        self, tmp_path: pathlib.Path, path: str
    ) -> None:
        """Callers are served for a fraction of the endpoints' drain time."""

        async def case(cluster: platform_cluster.Cluster) -> None:
            endpoints = await _add_two(cluster, path)
            gateway = await cluster.add_gateway()
            for endpoint in endpoints:
                endpoint.leaving = _NOTICE
            announced_s = trio.current_time()
            assert (await _send(cluster, gateway, path)).status == 200
            assert (await _send(cluster, gateway, path)).status == 200
            await trio.sleep_until(announced_s + _DRAIN_S)
            before = sum(_arrived(endpoint) for endpoint in endpoints)
            # Well before the callers' deadline of four seconds.
            with trio.fail_after(2.0):
                response = await _send(cluster, gateway, path)
            assert response.status == 503
            assert float(response.headers["retry-after"]) > 0
            assert sum(_arrived(each) for each in endpoints) == before

        gateway_case.run(tmp_path, case)


async def _add_two(
    cluster: platform_cluster.Cluster, path: str, events: int = 3
) -> list[platform_endpoint.PlatformEndpoint]:
    """Adds two endpoints of the service that a path is for."""
    is_turn = _is_turn(path)
    service = "llm" if is_turn else "app"
    return [
        await cluster.add_endpoint(
            f"{service}-{number}", service, events if is_turn else 0
        )
        for number in range(2)
    ]


def _is_turn(path: str) -> bool:
    return path.startswith(("/chat/", platform_cluster.QUOTE_PATH))


async def _send(
    cluster: platform_cluster.Cluster,
    gateway: platform_cluster.Gateway,
    path: str,
) -> http_message.Response:
    """Sends a request, or the first turn of a new program."""
    if not _is_turn(path):
        _, response = await cluster.call(gateway, path)
        return response
    program = f"p{trio.current_time()}"
    _, response = await cluster.turn(gateway, b"hi", program=program, path=path)
    return response


def _turn(request_id: str) -> http_message.Request:
    return http_message.Request(
        method="POST",
        path=_QUOTE,
        host=platform_cluster.HOST,
        headers={
            "Attempt-Id": request_id,
            "Deadline-Ms": "4000",
            "Authorization": f"Token {platform_cluster.KEY}",
            "Program-Id": request_id,
            "Session-Id": "s1",
            "Program-Deadline-Ms": "5000",
            "Token-Budget": "1000",
            "Token-Usage": "10,300",
        },
        body=b"hi",
    )


def _arrived(endpoint: platform_endpoint.PlatformEndpoint) -> int:
    return len(endpoint.runs) + len(endpoint.refused)


async def _reach(
    cluster: platform_cluster.Cluster,
    gateway: platform_cluster.Gateway,
    endpoint: platform_endpoint.PlatformEndpoint,
    path: str = "/lookup/1",
) -> None:
    """Sends requests until one more has reached an endpoint."""
    before = _arrived(endpoint)

    async def has_reached() -> bool:
        # Sequential requests may all go to one endpoint, as both are idle.
        async with trio.open_nursery() as nursery:
            for _ in range(4):
                nursery.start_soon(_send, cluster, gateway, path)
        return _arrived(endpoint) > before

    await cluster.until(has_reached)


async def _receive_notice(
    cluster: platform_cluster.Cluster,
    gateway: platform_cluster.Gateway,
    endpoint: platform_endpoint.PlatformEndpoint,
    path: str = "/lookup/1",
) -> None:
    """Sends requests until a gateway has received a drain notice."""
    await _reach(cluster, gateway, endpoint, path)
    assert (endpoint.runs + endpoint.refused)[-1].signed


async def _discredit(
    cluster: platform_cluster.Cluster,
    gateway: platform_cluster.Gateway,
    endpoint: platform_endpoint.PlatformEndpoint,
    path: str,
) -> None:
    """Makes an endpoint refuse a few requests, so that others are preferred."""
    endpoint.faults += [_Fault.SHED] * 3
    for _ in range(6):
        with contextlib.suppress(errors.HttpError):
            await _send(cluster, gateway, path)
    endpoint.faults.clear()


async def _count_reaching(
    cluster: platform_cluster.Cluster,
    gateway: platform_cluster.Gateway,
    endpoint: platform_endpoint.PlatformEndpoint,
    path: str = "/lookup/1",
) -> int:
    """Returns how many of ``_MANY`` requests reach an endpoint.

    All of them must succeed.
    """
    before = _arrived(endpoint)
    for _ in range(_MANY):
        response = await _send(cluster, gateway, path)
        assert response.status == 200
    return _arrived(endpoint) - before


def _has_notice(gateway: platform_cluster.Gateway, endpoint_id: str) -> bool:
    """Returns whether a gateway has logged that an endpoint is draining."""
    return any(
        f"endpoint={endpoint_id}" in line and "leaving" in line
        for line in gateway.log().splitlines()
        if "leaving=False" not in line
    )


async def _until(holds: Callable[[], bool]) -> None:
    with trio.fail_after(platform_cluster.START_TIMEOUT_S):
        while not holds():
            await trio.sleep(0.02)
