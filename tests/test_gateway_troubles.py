"""Tests of failures that operators of similar systems have reported.

Gateways run as processes on the emulated platform.
"""

import pathlib
import signal

import pytest
import trio

from quetzalmill import errors
from quetzalmill import http_client
from quetzalmill import http_message
from quetzalmill_emulator import late_copies
from quetzalmill_emulator import platform_endpoint
from quetzalmill_emulator import platform_store
from quetzalmill_load import platform_cluster
from tests import gateway_case

_NOT_RUN = (408, 421, 429, 503)
"""Statuses that promise that a request has not run."""


class TestPlannedStop:
    """SIGTERM while callers keep sending requests on their connections."""

    _CALLERS = 16

    def test_accepted_requests_complete(self, tmp_path: pathlib.Path) -> None:
        """Each request that ran got a complete response."""

        async def case(cluster: platform_cluster.Cluster) -> None:
            app = await cluster.add_endpoint("app-1", "app")
            app.pause_s = 0.03
            gateway = await cluster.add_gateway()
            answered: set[str] = set()

            async def caller(number: int) -> None:
                client = http_client.HttpClient()
                for each in range(1_000):
                    request_id = f"{number:04x}{each:012x}"
                    try:
                        response = await client.request(
                            gateway.callers,
                            _booking(request_id),
                            timeout_ms=4_000.0,
                        )
                    except errors.HttpError:
                        return
                    if response.status == 200:
                        answered.add(request_id)

            async with trio.open_nursery() as nursery:
                for number in range(self._CALLERS):
                    nursery.start_soon(caller, number)
                await trio.sleep(0.5)
                cluster.stop(gateway, signal.SIGTERM)
            ran = {run.request_id for run in app.runs}
            assert len(ran) > 5 * self._CALLERS
            assert ran == answered
            assert await trio.to_thread.run_sync(gateway.process.wait) == 0

        gateway_case.run(tmp_path, case)


def _booking(request_id: str) -> http_message.Request:
    return http_message.Request(
        method="POST",
        path="/book/1",
        host=platform_cluster.HOST,
        headers={
            "Attempt-Id": request_id,
            "Deadline-Ms": "4000",
            "Authorization": f"Token {platform_cluster.KEY}",
        },
    )


class TestPause:
    """A process that is paused while others take over its work."""

    def test_resumed_owner_grants_nothing_on_its_old_claim(
        self, tmp_path: pathlib.Path
    ) -> None:
        """A program runs turns at each gateway; each gateway is paused once."""

        async def case(cluster: platform_cluster.Cluster) -> None:
            engine = await cluster.add_endpoint("llm-1", "llm", events=5)
            gateways = [await cluster.add_gateway() for _ in range(2)]
            for paused, other in (gateways, reversed(gateways)):
                await self._loop(cluster, paused, 2)
                cluster.stop(paused, signal.SIGSTOP)
                await self._loop(cluster, other, 3)
                cluster.stop(paused, signal.SIGCONT)
                await self._loop(cluster, paused, 2)
            # A turn sends five events of nine tokens and reserves fifty.
            assert len(engine.runs) * 45 <= 250 + 50
            assert len(engine.runs) >= 3

        gateway_case.run(tmp_path, case)

    async def _loop(
        self,
        cluster: platform_cluster.Cluster,
        gateway: platform_cluster.Gateway,
        count: int,
    ) -> None:
        for _ in range(count):
            await cluster.turn(gateway, b"loop", budget=250)


class TestSilentEndpoint:
    """An endpoint whose registry entry lapses while it still works."""

    def test_running_stream_continues(self, tmp_path: pathlib.Path) -> None:
        """The stream completes and runs only once."""

        async def case(cluster: platform_cluster.Cluster) -> None:
            engine = await cluster.add_endpoint("llm-1", "llm", events=20)
            engine.pause_s = 0.1
            gateway = await cluster.add_gateway()
            bodies: list[bytes] = []

            async def send(path: str) -> None:
                _, response = await cluster.turn(gateway, b"hi", path=path)
                bodies.append(response.body)

            async def is_gone() -> bool:
                return "endpoint_gone" in gateway.log()

            async with trio.open_nursery() as nursery:
                for path in ("/chat/1", platform_cluster.QUOTE_PATH + "1"):
                    nursery.start_soon(send, path)
                while len(engine.runs) < 2:
                    await trio.sleep(0.01)
                other = await cluster.add_endpoint("llm-2", "llm", events=20)
                cluster.store.put("keyed.servers", "llm-1", None)
                await cluster.until(is_gone)
            assert [body.endswith(b"data: e20\n\n") for body in bodies] == [
                True,
                True,
            ]
            assert len(engine.runs) == 2
            assert not other.runs

        gateway_case.run(tmp_path, case)


class TestTinyChunks:
    """A stream without an event, in endless chunks of one byte."""

    _BOOKINGS = 20

    def test_endless_tiny_chunks_do_not_block_the_gateway(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Bookings are answered meanwhile, and the stream ends in time."""

        async def case(cluster: platform_cluster.Cluster) -> None:
            engine = await cluster.add_endpoint("llm-1", "llm", events=1)
            await cluster.add_endpoint("app-1", "app")
            engine.faults = [platform_endpoint.Fault.TINY_CHUNKS]
            gateway = await cluster.add_gateway()
            statuses: list[int] = []

            async def turn() -> None:
                with pytest.raises(errors.ConnectionLostError):
                    await cluster.turn(gateway, b"hi")

            async def book(delay_s: float) -> None:
                await trio.sleep(delay_s)
                _, response = await cluster.call(gateway, "/book/1")
                statuses.append(response.status)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(turn)
                while not engine.runs:
                    await trio.sleep(0.01)
                for number in range(self._BOOKINGS):
                    nursery.start_soon(book, 0.15 * number)
            assert statuses == [200] * self._BOOKINGS

        gateway_case.run(tmp_path, case)


class TestLargeTurn:
    """A turn that is larger than a record of the store."""

    def test_large_turn_does_not_stop_later_turns_of_its_team(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Those after it complete at each gateway.

        Its input fits into a record, but not together with its output.
        """

        async def case(cluster: platform_cluster.Cluster) -> None:
            await cluster.add_endpoint("llm-1", "llm", events=2)
            gateways = [await cluster.add_gateway() for _ in range(2)]
            large = b"x" * platform_store.RECORD_BYTES
            with trio.fail_after(2.0), pytest.raises(errors.HttpError):
                await cluster.turn(gateways[0], large, program="large")
            for gateway in gateways:
                for number in range(2):
                    _, response = await cluster.turn(
                        gateway, b"hi", program=f"{gateway.name}-{number}"
                    )
                    assert response.status == 200

        gateway_case.run(tmp_path, case)

    def test_turn_that_cannot_be_stored_is_refused_at_once(
        self, tmp_path: pathlib.Path
    ) -> None:
        async def case(cluster: platform_cluster.Cluster) -> None:
            engine = await cluster.add_endpoint("llm-1", "llm", events=2)
            gateway = await cluster.add_gateway()
            large = b"x" * (platform_store.RECORD_BYTES + 1)
            _, response = await cluster.turn(gateway, large)
            assert response.status == 413
            assert not engine.runs

        gateway_case.run(tmp_path, case)


class TestUnreadableEntry:
    """An entry of another writer among those of the endpoints."""

    def test_unreadable_entry_does_not_end_gateways(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Gateways that run and that start go on without the entry."""

        async def case(cluster: platform_cluster.Cluster) -> None:
            await cluster.add_endpoint("app-1", "app")
            gateway = await cluster.add_gateway()
            cluster.store.put_bytes("keyed.servers", "other", b"[" * 2_000)

            async def has_read_it() -> bool:
                return "endpoint_unreadable" in gateway.log()

            await cluster.until(has_read_it)
            started = await cluster.add_gateway()
            for each in (gateway, started):
                _, response = await cluster.call(each, "/lookup/1")
                assert response.status == 200
                assert each.process.poll() is None

        gateway_case.run(tmp_path, case)


class TestOnlyEndpoint:
    """The only usable endpoint of a service is slow."""

    _PAUSE_S = 0.6
    """Longer than a look-up's objective, and than four gaps between events."""

    def test_overdue_lookup_is_not_given_up_without_another_endpoint(
        self, tmp_path: pathlib.Path
    ) -> None:
        async def case(cluster: platform_cluster.Cluster) -> None:
            app = await cluster.add_endpoint("app-1", "app")
            app.pause_s = self._PAUSE_S
            gateway = await cluster.add_gateway()
            _, response = await cluster.call(gateway, "/lookup/1")
            assert response.status == 200
            assert len(app.runs) == 1

        gateway_case.run(tmp_path, case)

    def test_lookup_whose_answer_is_lost_is_sent_there_again(
        self, tmp_path: pathlib.Path
    ) -> None:
        """A booking is not."""

        async def case(cluster: platform_cluster.Cluster) -> None:
            app = await cluster.add_endpoint("app-1", "app")
            gateway = await cluster.add_gateway()
            for path, status, runs in (
                ("/lookup/1", 200, 2),
                ("/book/1", 502, 1),
            ):
                app.faults = [platform_endpoint.Fault.LOSE_ANSWER]
                app.runs.clear()
                _, response = await cluster.call(gateway, path)
                assert (response.status, len(app.runs)) == (status, runs)

        gateway_case.run(tmp_path, case)

    def test_stalled_stream_is_not_cut_without_another_endpoint(
        self, tmp_path: pathlib.Path
    ) -> None:
        async def case(cluster: platform_cluster.Cluster) -> None:
            engine = await cluster.add_endpoint("llm-1", "llm", events=3)
            engine.pause_s = self._PAUSE_S
            gateway = await cluster.add_gateway()
            path = platform_cluster.QUOTE_PATH + "1"
            _, response = await cluster.turn(gateway, b"hello", path=path)
            assert response.body.endswith(b"data: e3\n\n")
            assert len(engine.runs) == 1

        gateway_case.run(tmp_path, case)


class TestLateCopyOfRefusal:
    """A refusal that an endpoint sends again where another answer is due."""

    @pytest.mark.parametrize("apps", [1, 2])
    @pytest.mark.parametrize("copy", late_copies.FORMS, ids=str)
    def test_late_copy_of_refusal_does_not_run_booking_twice(
        self, tmp_path: pathlib.Path, copy: late_copies.LateCopy, apps: int
    ) -> None:
        """Nor is the booking, which runs, refused as not run.

        It gets its own answer if a whole copy names another request or none.
        """

        async def case(cluster: platform_cluster.Cluster) -> None:
            endpoints = [
                await cluster.add_endpoint(f"app-{number}", "app")
                for number in range(apps)
            ]
            gateway = await cluster.add_gateway()
            for endpoint in endpoints:
                endpoint.faults = [platform_endpoint.Fault.SHED, copy]
            _, refused = await cluster.call(gateway, "/book/1")
            _, response = await cluster.call(gateway, "/book/1")
            assert refused.status == 503
            assert "retry-after" in refused.headers
            assert sum(each.late_copies for each in endpoints) == 1
            assert sum(len(each.runs) for each in endpoints) == 1
            assert response.status not in _NOT_RUN
            if _names_another_request_or_none(copy):
                assert response.status == 200
            if response.status == 200:
                assert response.body.startswith(b"done by app-")
            assert gateway.process.poll() is None

        gateway_case.run(tmp_path, case)

    def test_refusal_that_names_no_request_is_not_believed(
        self, tmp_path: pathlib.Path
    ) -> None:
        """It may be the copy of another one, and so may what follows it.

        Endpoints name the request in all responses to one that has an id.
        """

        async def case(cluster: platform_cluster.Cluster) -> None:
            app = await cluster.add_endpoint("app-1", "app")
            gateway = await cluster.add_gateway()
            app.faults = [
                platform_endpoint.Fault.SHED_UNNAMED,
                platform_endpoint.Fault.LATE_COPY,
            ]
            _, unknown = await cluster.call(
                gateway, "/book/1", headers={"Deadline-Ms": "1000"}
            )
            _, response = await cluster.call(gateway, "/book/1")
            assert unknown.status in (502, 504)
            assert app.late_copies == 0
            assert len(app.runs) == 1
            assert response.status == 200

        gateway_case.run(tmp_path, case)

    def test_refusal_that_names_no_request_sends_it_to_no_other_endpoint(
        self, tmp_path: pathlib.Path
    ) -> None:
        async def case(cluster: platform_cluster.Cluster) -> None:
            apps = [
                await cluster.add_endpoint(f"app-{number}", "app")
                for number in range(2)
            ]
            gateway = await cluster.add_gateway()
            for app in apps:
                app.faults = [platform_endpoint.Fault.SHED_UNNAMED]
            _, lost = await cluster.call(gateway, "/book/1")
            assert lost.status == 502
            assert sum(len(app.refused) for app in apps) == 1
            assert not any(app.runs for app in apps)

        gateway_case.run(tmp_path, case)

    def test_booking_is_answered_in_time_after_a_copy_alone(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Its own answer, which is awaited behind the copy, never comes."""

        async def case(cluster: platform_cluster.Cluster) -> None:
            app = await cluster.add_endpoint("app-1", "app")
            gateway = await cluster.add_gateway()
            app.faults = [
                late_copies.LateCopy(names=late_copies.Names.NONE),
                platform_endpoint.Fault.SHED,
                platform_endpoint.Fault.HANG,
            ]
            for status in (200, 503):
                _, response = await cluster.call(gateway, "/book/1")
                assert response.status == status
            with trio.fail_after(3.0):
                _, response = await cluster.call(
                    gateway, "/book/1", headers={"Deadline-Ms": "1000"}
                )
            assert app.late_copies == 1
            assert response.status in (502, 504)

        gateway_case.run(tmp_path, case)

    def test_refusal_of_request_without_id_does_not_refuse_the_next_one(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Nothing would tell its copy from a refusal of the next request."""

        async def case(cluster: platform_cluster.Cluster) -> None:
            app = await cluster.add_endpoint("app-1", "app")
            app.faults = [
                platform_endpoint.Fault.SHED,
                platform_endpoint.Fault.LATE_COPY,
            ]
            gateway = await cluster.add_gateway()
            await cluster.call(gateway, "/book/1", headers={"Attempt-Id": ""})
            _, response = await cluster.call(gateway, "/book/1")
            assert app.late_copies == 0
            assert response.status == 200

        gateway_case.run(tmp_path, case)

    @pytest.mark.parametrize(
        "copy",
        [
            platform_endpoint.Fault.LATE_COPY,
            late_copies.LateCopy(names=late_copies.Names.NONE),
            late_copies.LateCopy(names=late_copies.Names.EMPTY, glued=True),
            late_copies.LateCopy(
                names=late_copies.Names.NONE, change=late_copies.Change.BARE_421
            ),
            late_copies.LateCopy(
                names=late_copies.Names.NONE, change=late_copies.Change.SUCCESS
            ),
        ],
        ids=str,
    )
    def test_late_copy_of_refusal_does_not_break_a_turn_off(
        self, tmp_path: pathlib.Path, copy: platform_endpoint.AnyFault
    ) -> None:
        """The turn's events, which follow the copy, are delivered whole."""

        async def case(cluster: platform_cluster.Cluster) -> None:
            engine = await cluster.add_endpoint("llm-1", "llm", events=3)
            engine.faults = [platform_endpoint.Fault.SHED, copy]
            gateway = await cluster.add_gateway()
            _, refused = await cluster.turn(gateway, b"hi", program="first")
            _, response = await cluster.turn(gateway, b"hi", program="second")
            assert refused.status == 503
            assert engine.late_copies == 1
            assert response.body.count(b"data:") == 3

        gateway_case.run(tmp_path, case)


def _names_another_request_or_none(copy: late_copies.LateCopy) -> bool:
    """Returns whether a copy is whole and tells that it is not the answer."""
    return not late_copies.is_cut(copy) and (
        copy.change is late_copies.Change.INTERIM
        or copy.names
        in (
            late_copies.Names.OTHER,
            late_copies.Names.NONE,
            late_copies.Names.EMPTY,
        )
    )


class TestSignedFailure:
    """A request runs, and its signed answer has a status of a refusal."""

    @pytest.mark.parametrize("apps", [1, 2])
    @pytest.mark.parametrize("status", _NOT_RUN)
    def test_signed_failure_of_booking_that_ran_promises_nothing(
        self, tmp_path: pathlib.Path, status: int, apps: int
    ) -> None:
        """To its caller the status would say that the booking did not run."""

        async def case(cluster: platform_cluster.Cluster) -> None:
            endpoints = [
                await cluster.add_endpoint(f"app-{number}", "app")
                for number in range(apps)
            ]
            for endpoint in endpoints:
                endpoint.faults = [late_copies.SignedFailure(status)]
            gateway = await cluster.add_gateway()
            _, response = await cluster.call(gateway, "/book/1")
            assert sum(len(each.runs) for each in endpoints) == 1
            assert response.status in (502, 504)
            assert "response-signature" not in response.headers

        gateway_case.run(tmp_path, case)


class TestMisdirected:
    """A booking that reaches an address that another endpoint has taken."""

    def test_booking_is_sent_to_the_endpoint_that_can_run_it(
        self, tmp_path: pathlib.Path
    ) -> None:
        """A 421 on a new connection refuses it there, not for good."""

        async def case(cluster: platform_cluster.Cluster) -> None:
            taken = await cluster.add_endpoint("app-0", "app")
            await cluster.add_endpoint("app-1", "app")
            gateway = await cluster.add_gateway()
            taken.endpoint_id = "other-9"
            while not taken.misdirected:
                _, response = await cluster.call(gateway, "/book/1")
                assert response.status == 200

        gateway_case.run(tmp_path, case)
