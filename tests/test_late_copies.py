"""Clients of the log and of processes whose peer repeats an answer.

A late copy follows an earlier request on a connection that is kept. It arrives
with the next request, so the check before a connection is used again does not
find it. Each test asks for what a reader takes a copy for.
"""

import json

import pytest
import trio

from quetzalmill import codec
from quetzalmill import errors
from quetzalmill import host_list
from quetzalmill import http_client
from quetzalmill import log_port
from quetzalmill import objects
from quetzalmill import operator_client
from quetzalmill import settings_rules
from tests import late_copies

_TIMEOUT_MS = 2_000.0
_DONE = late_copies.reply(200, b'{"offset": 4, "end": 5}')
_BUSY = late_copies.reply(503, b"{}")
_CHANGE = objects.ConfigRecord(record_id="1", author="", changes=[])


class TestLog:
    """The log service, of whose answers none names a request."""

    def test_copy_does_not_make_a_record_durable(self) -> None:
        """A call whose record is not in the log may run again elsewhere."""

        async def use(address: str) -> None:
            port = _port(address)
            await port.append("calls", [1])
            with pytest.raises(errors.NotExecutedError):
                await port.append("calls", [2])

        late_copies.ask(
            [late_copies.reply(200, b'{"first_offset": 4}'), _BUSY], use
        )

    def test_copy_of_a_refusal_is_not_taken_for_not_appended(self) -> None:
        """An operator would be told that a record in force is not."""

        async def use(address: str) -> int:
            port = _port(address)
            with pytest.raises(errors.NotExecutedError):
                await port.append("config", [1])
            return await port.append("config", [1])

        appended = late_copies.reply(200, b'{"first_offset": 4}')
        assert late_copies.ask([_BUSY, appended], use) == 4

    def test_page_holds_the_stream_that_was_asked_for(self) -> None:
        """A new home would miss the calls that the old one has started."""

        async def use(address: str) -> list[log_port.Page]:
            port = _port(address)
            return [
                await port.read(stream, 1, limit=9, wait_ms=0.0)
                for stream in ("a", "b")
            ]

        pages = late_copies.ask([_log_page("a", 2), _log_page("b", 2)], use)
        assert [page.records[0].data for page in pages] == ["a", "b"]


class TestOperator:
    """The operator's client has a connection for each request."""

    def test_each_outcome_is_that_of_the_record_sent(self) -> None:
        """A copy would call a record refused that is in force, or back."""

        async def use(address: str) -> list[operator_client.Outcome]:
            host, _, port = address.partition(":")
            client = operator_client.OperatorClient(
                [settings_rules.Address(host, int(port))]
            )
            return [
                await trio.to_thread.run_sync(
                    client.publish, _CHANGE, _TIMEOUT_MS
                )
                for _ in range(3)
            ]

        outcomes: list[operator_client.Outcome] = [
            operator_client.Unavailable("busy"),
            operator_client.Accepted(4),
            operator_client.Conflict(4, "team/field"),
        ]
        answers = [
            late_copies.reply(status, codec.to_json(outcome))
            for status, outcome in zip((503, 200, 409), outcomes, strict=True)
        ]
        assert late_copies.ask(answers, use)[1:] == outcomes[1:]


class TestHostList:
    """All answers of the list answer the same question."""

    def test_copy_is_one_read_old_at_most(self) -> None:
        """The list lags behind anyway; the read after it is current."""

        async def use(address: str) -> list[str]:
            hosts = host_list.HttpHostList(
                http_client.HttpClient(), address, timeout_ms=_TIMEOUT_MS
            )
            return [(await hosts.read())[0].host for _ in range(3)]

        answers = [
            late_copies.reply(
                200, b'{"hosts": [{"host": "%d", "state": "live"}]}' % number
            )
            for number in range(3)
        ]
        found = late_copies.ask(answers, use)
        assert found[0] == "0"
        assert found[1] in ("0", "1")
        assert found[2] == "2"


def _port(address: str) -> log_port.HttpLogPort:
    return log_port.HttpLogPort(
        http_client.HttpClient(), address, timeout_ms=_TIMEOUT_MS
    )


def _log_page(data: str, end: int) -> late_copies.Answer:
    page = {"records": [{"offset": end - 1, "data": data}], "end": end}
    return late_copies.reply(200, json.dumps(page).encode())
