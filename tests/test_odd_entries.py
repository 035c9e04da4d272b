"""Real gateways and odd records of other writers in the topics they follow."""

import json
import pathlib
import socket
from typing import Any

import pytest
import trio

from quetzalmill_load import platform_cluster
from tests import gateway_case

_DEEP = b"[" * 3_000 + b"]" * 3_000
_VALUES = (
    b"1e400",
    b"NaN",
    b"9" * 400,
    b"9" * 5_000,
    b"-1",
    b"null",
    b"true",
    b"[]",
    b'"\\ud800"',
    b'"\xff"',
    _DEEP,
)
"""Values that no field of an entry has; some exhaust a number or the stack."""

_PORTS = ("0", "-1", "65536", "99999", "9" * 5_000, "+80", "")
_NOISE = (b"", b" ", b"{", b"\x00\xff", b"[]", b"7", _DEEP, b"[" * 3_000)
_LOOKUP_PAUSE_S = 0.02


def _odd_entries(sound: dict[str, Any]) -> list[bytes]:
    """Returns entries that each differ from a sound one in one field."""
    encoded = {name: json.dumps(sound[name]).encode() for name in sound}
    variants = [
        {key: value for key, value in encoded.items() if key != name}
        for name in sound
        if name != "born"
    ]
    variants += [
        {**encoded, name: value}
        for name in sound
        for value in _VALUES
        if not (name == "version" and value == b"9" * 400)
    ]
    host = sound["addr"].partition(":")[0]
    variants += [
        {**encoded, "addr": json.dumps(f"{host}:{port}").encode()}
        for port in _PORTS
    ]
    variants.append({**encoded, "state": b'"resting"'})
    variants += [{**encoded, "other": value} for value in (_DEEP, b'"\xff"')]
    documents = [
        b"{"
        + b",".join(b'"%s":%s' % (name.encode(), entry[name]) for name in entry)
        + b"}"
        for entry in variants
    ]
    return [each for each in [*documents, *_NOISE] if each]


class _Lookups:
    """Look-ups that go on in the background; their statuses are counted."""

    def __init__(
        self,
        cluster: platform_cluster.Cluster,
        gateway: platform_cluster.Gateway,
    ) -> None:
        self._cluster = cluster
        self._gateway = gateway
        self.statuses: list[int] = []

    async def run(self) -> None:
        """Sends look-ups one after another until cancelled."""
        while True:
            _, response = await self._cluster.call(self._gateway, "/lookup/1")
            self.statuses.append(response.status)
            await trio.sleep(_LOOKUP_PAUSE_S)


class TestManyOddEntries:
    """Many odd entries at once, all with an address where nobody listens."""

    def test_odd_entries_do_not_disturb_lookups_or_end_the_following(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Such entries were taken for endpoints; look-ups got 503."""

        async def case(cluster: platform_cluster.Cluster) -> None:
            await cluster.add_endpoint("app-1", "app")
            gateway = await cluster.add_gateway()
            with socket.create_server(("127.0.0.1", 0)) as closed:
                port = closed.getsockname()[1]
            odd = _odd_entries(
                {**cluster.entries["app-1"], "addr": f"127.0.0.1:{port}"}
            )
            lookups = _Lookups(cluster, gateway)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(lookups.run)
                await trio.sleep(0.3)
                for number, value in enumerate(odd):
                    cluster.store.put_bytes(
                        "keyed.servers", f"odd-{number}", value
                    )
                # Look-ups go to the new endpoint only if it is followed.
                await trio.sleep(2.0)
                added = await cluster.add_endpoint("app-2", "app")
                with trio.fail_after(5.0):
                    while not added.runs:
                        await trio.sleep(0.05)
                nursery.cancel_scope.cancel()
            assert set(lookups.statuses) == {200}
            assert gateway.process.poll() is None

            cluster.stop(gateway)
            cluster.start_again(gateway)
            await cluster.until(lambda: cluster.is_ready(gateway))
            lookups = _Lookups(cluster, gateway)
            with trio.move_on_after(1.0):
                await lookups.run()
            assert set(lookups.statuses) == {200}

        gateway_case.run(tmp_path, case)


class TestLongEntry:
    """An entry that is logged while nobody reads the gateway's output."""

    def test_long_value_in_an_entry_does_not_block_the_gateway(
        self, tmp_path: pathlib.Path
    ) -> None:
        """The log quoted the whole value; a pipe holds less than that."""

        async def case(cluster: platform_cluster.Cluster) -> None:
            await cluster.add_endpoint("app-1", "app")
            gateway = await cluster.add_gateway(output_read=False)
            odd = {**cluster.entries["app-1"], "state": "x" * 200_000}
            cluster.store.put("keyed.servers", "odd", odd)
            await trio.sleep(1.0)
            _, response = await cluster.call(gateway, "/lookup/1")
            assert response.status == 200

        gateway_case.run(tmp_path, case)


class TestUnprintableEntry:
    """An entry that is logged where the output has another encoding."""

    def test_character_that_the_output_lacks_does_not_end_the_gateway(
        self, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setenv("PYTHONIOENCODING", "ascii")

        async def case(cluster: platform_cluster.Cluster) -> None:
            await cluster.add_endpoint("app-1", "app")
            gateway = await cluster.add_gateway()
            state = {**cluster.entries["app-1"], "state": "\xe9\u5f85"}
            cluster.store.put("keyed.servers", "odd", state)

            async def has_read_it() -> bool:
                return "endpoint_unreadable" in gateway.log()

            await cluster.until(has_read_it)
            _, response = await cluster.call(gateway, "/lookup/1")
            assert response.status == 200

        gateway_case.run(tmp_path, case)


class TestOddEntryOfAnEndpoint:
    """An odd entry in place of an endpoint's own, until its next one."""

    def test_running_stream_continues_and_the_endpoint_is_used_again(
        self, tmp_path: pathlib.Path
    ) -> None:
        async def case(cluster: platform_cluster.Cluster) -> None:
            engine = await cluster.add_endpoint("llm-1", "llm", events=20)
            engine.pause_s = 0.1
            gateway = await cluster.add_gateway()
            bodies: list[bytes] = []

            async def send() -> None:
                _, response = await cluster.turn(gateway, b"hi")
                bodies.append(response.body)

            async def is_gone(endpoint_id: str) -> bool:
                return any(
                    "endpoint_gone" in line and endpoint_id in line
                    for line in gateway.log().splitlines()
                )

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send)
                while not engine.runs:
                    await trio.sleep(0.01)
                other = await cluster.add_endpoint("llm-2", "llm", events=2)
                cluster.store.put_bytes("keyed.servers", "llm-1", b"{")
                await cluster.until(lambda: is_gone("llm-1"))
                _, response = await cluster.turn(gateway, b"hi", program="p2")
                assert response.status == 200
                assert len(other.runs) == 1
            assert bodies[0].endswith(b"data: e20\n\n")
            assert len(engine.runs) == 1
            cluster.put_entry("llm-1")
            cluster.remove_entry("llm-2")
            await cluster.until(lambda: is_gone("llm-2"))
            _, response = await cluster.turn(gateway, b"hi", program="p3")
            assert response.status == 200
            assert len(engine.runs) == 2

        gateway_case.run(tmp_path, case)


class TestOddDesiredState:
    """A desired state with a version that is too large a number."""

    def test_huge_version_does_not_end_gateways(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Gateways go on with the one before, and follow the next one."""

        async def case(cluster: platform_cluster.Cluster) -> None:
            await cluster.add_endpoint("app-1", "app")
            gateway = await cluster.add_gateway()
            state = platform_cluster.desired_state()
            huge = json.dumps({**state, "version": 10**30}).encode()
            cluster.store.put_bytes("keyed.op", "config", huge)

            async def has_read_it() -> bool:
                return "table_" in gateway.log().partition("table_applied")[2]

            async def has_next() -> bool:
                _, response = await cluster.call(gateway, "/next/1")
                return response.status == 200

            await cluster.until(has_read_it)
            await trio.sleep(1.0)
            _, response = await cluster.call(gateway, "/lookup/1")
            assert response.status == 200
            routes = [
                *state["routes"],
                {**state["routes"][2], "name": "n", "pathPrefix": "/next/"},
            ]
            cluster.store.put(
                "keyed.op",
                "config",
                platform_cluster.desired_state(2, routes=routes),
            )
            await cluster.until(has_next)
            assert gateway.process.poll() is None

        gateway_case.run(tmp_path, case)


class TestOddMember:
    """A record of another writer among the addresses of the gateways."""

    @pytest.mark.parametrize(
        "key", ["fe80::1%\0:80", "x:80", "::1:0", "", "\n"]
    )
    def test_address_to_which_nothing_can_be_sent_does_not_end_gateways(
        self, tmp_path: pathlib.Path, key: str
    ) -> None:
        """Each gateway reads the addresses when it starts."""

        async def case(cluster: platform_cluster.Cluster) -> None:
            await cluster.add_endpoint("app-1", "app")
            cluster.store.put_bytes("keyed.members", key, b"host")
            gateway = await cluster.add_gateway()
            # It sends a heartbeat to each address five times a second.
            await trio.sleep(0.6)
            _, response = await cluster.call(gateway, "/lookup/1")
            assert response.status == 200
            assert gateway.process.poll() is None

        gateway_case.run(tmp_path, case)
