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
from quetzalmill_emulator import platform_endpoint
from quetzalmill_emulator import platform_store
from quetzalmill_load import platform_cluster
from tests import gateway_case


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

    def test_late_copy_of_refusal_does_not_run_booking_twice(
        self, tmp_path: pathlib.Path
    ) -> None:
        """The booking that runs gets its own answer, not the copy."""

        async def case(cluster: platform_cluster.Cluster) -> None:
            apps = [
                await cluster.add_endpoint(f"app-{number}", "app")
                for number in range(2)
            ]
            gateway = await cluster.add_gateway()
            for app in apps:
                app.faults = [
                    platform_endpoint.Fault.SHED,
                    platform_endpoint.Fault.LATE_COPY,
                ]
            _, refused = await cluster.call(gateway, "/book/1")
            _, response = await cluster.call(gateway, "/book/1")
            assert refused.status == 503
            assert sum(app.late_copies for app in apps) == 1
            assert sum(len(app.runs) for app in apps) == 1
            assert response.status == 200

        gateway_case.run(tmp_path, case)

    def test_refusal_that_names_no_request_refuses_none(
        self, tmp_path: pathlib.Path
    ) -> None:
        """It is a lost answer, and its connection, which may repeat it, ends.

        The booking is not sent to another endpoint.
        """

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
            for app in apps:
                app.faults = [platform_endpoint.Fault.LATE_COPY]
            _, response = await cluster.call(gateway, "/book/1")
            assert sum(app.late_copies for app in apps) == 0
            assert sum(len(app.runs) for app in apps) == 1
            assert response.status == 200

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

    def test_late_copy_of_refusal_does_not_break_a_turn_off(
        self, tmp_path: pathlib.Path
    ) -> None:
        """The turn's events, which follow the copy, are delivered whole."""

        async def case(cluster: platform_cluster.Cluster) -> None:
            engine = await cluster.add_endpoint("llm-1", "llm", events=3)
            engine.faults = [
                platform_endpoint.Fault.SHED,
                platform_endpoint.Fault.LATE_COPY,
            ]
            gateway = await cluster.add_gateway()
            _, refused = await cluster.turn(gateway, b"hi", program="first")
            _, response = await cluster.turn(gateway, b"hi", program="second")
            assert refused.status == 503
            assert engine.late_copies == 1
            assert response.body.count(b"data:") == 3

        gateway_case.run(tmp_path, case)
