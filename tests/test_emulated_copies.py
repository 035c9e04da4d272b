"""Tests of what emulated endpoints send where another answer is due."""

import pathlib

import h11
import pytest

from quetzalmill import http_message
from quetzalmill_emulator import late_copies
from quetzalmill_emulator import platform_endpoint
from quetzalmill_load import platform_cluster
from tests import gateway_case

_OTHER = "a1b2"
_OWN = "c3d4"


class TestForms:
    """The bytes of late copies."""

    @pytest.mark.parametrize("copy", late_copies.FORMS, ids=str)
    def test_only_a_cut_copy_does_not_end(
        self, copy: late_copies.LateCopy
    ) -> None:
        client = h11.Connection(h11.CLIENT)
        client.send(
            h11.Request(method="GET", target="/", headers=[("host", "h")])
        )
        client.send(h11.EndOfMessage())
        client.receive_data(late_copies.encode(copy, _OTHER, _OWN))
        event = client.next_event()
        assert (event is h11.NEED_DATA) == late_copies.is_cut(copy)
        if isinstance(event, h11.Response):
            while not isinstance(event, h11.EndOfMessage):
                event = client.next_event()
                assert event is not h11.NEED_DATA

    @pytest.mark.parametrize(
        ("names", "ids"),
        [
            (late_copies.Names.OTHER, [_OTHER]),
            (late_copies.Names.NONE, []),
            (late_copies.Names.EMPTY, [""]),
            (late_copies.Names.OTHER_THEN_OWN, [_OTHER, _OWN]),
            (late_copies.Names.OWN_THEN_OTHER, [_OWN, _OTHER]),
        ],
    )
    def test_ids(self, names: late_copies.Names, ids: list[str]) -> None:
        copy = late_copies.LateCopy(names=names)
        head = late_copies.encode(copy, _OTHER, _OWN).decode()
        assert ids == [
            line.removeprefix("Attempt-Id: ")
            for line in head.split("\r\n")
            if line.startswith("Attempt-Id: ")
        ]


class TestEndpoint:
    """Responses of an emulated endpoint, as its client receives them."""

    def test_misdirected_response_names_its_request(
        self, tmp_path: pathlib.Path
    ) -> None:
        async def case(cluster: platform_cluster.Cluster) -> None:
            await cluster.add_endpoint("app-1", "app")
            address = cluster.entries["app-1"]["addr"]
            for request_id in ("a1", None):
                headers = {"Expect-Instance": "app-2"}
                if request_id is not None:
                    headers["Attempt-Id"] = request_id
                response = await cluster.client.request(
                    address,
                    http_message.Request(
                        method="POST", path="/book/1", headers=headers
                    ),
                    timeout_ms=2_000.0,
                )
                assert response.status == 421
                assert response.headers["instance-id"] == "app-1"
                assert response.headers.get("attempt-id") == request_id

        gateway_case.run(tmp_path, case)

    @pytest.mark.parametrize("glued", [False, True])
    def test_copy_precedes_the_next_answer_on_a_connection_that_refused(
        self, tmp_path: pathlib.Path, glued: bool
    ) -> None:
        async def case(cluster: platform_cluster.Cluster) -> None:
            app = await cluster.add_endpoint("app-1", "app")
            copy = late_copies.LateCopy(
                names=late_copies.Names.NONE, glued=glued
            )
            app.faults = [copy, platform_endpoint.Fault.SHED]
            statuses = []
            for number in range(3):
                response = await cluster.client.request(
                    cluster.entries["app-1"]["addr"],
                    http_message.Request(
                        method="POST",
                        path="/book/1",
                        headers={
                            "Expect-Instance": "app-1",
                            "Attempt-Id": f"a{number}",
                        },
                    ),
                    timeout_ms=2_000.0,
                )
                named = response.headers.get("attempt-id")
                statuses.append((response.status, named))
            assert statuses == [
                (200, "a0"),
                (503, "a1"),
                (503, None),
            ]
            assert app.late_copies == 1

        gateway_case.run(tmp_path, case)
