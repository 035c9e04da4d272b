"""Tests of the log service's client against a log that answers nonsense."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import pytest
import trio

from quetzalmill import errors
from quetzalmill import http_client
from quetzalmill import http_message
from quetzalmill import http_server
from quetzalmill import log_port

_UNREADABLE = [
    b"",
    b"[" * 2_000,
    b"\xff",
    b"{}",
    b'{"first_offset": "one", "records": 1, "end": null}',
]

_Result = TypeVar("_Result")


def _with_log(
    status: int,
    body: bytes,
    use: Callable[[log_port.HttpLogPort], Awaitable[_Result]],
) -> _Result:
    """Runs ``use`` against a log that gives one answer to everything."""

    async def handle(
        request: http_message.Request, exchange: http_server.Exchange
    ) -> None:
        del request
        await exchange.respond(status, body)

    async def serve(
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        await http_server.serve(
            "127.0.0.1:0",
            handle,
            limits=http_message.Limits(),
            stopping=trio.Event(),
            task_status=task_status,
        )

    async def run() -> _Result:
        async with trio.open_nursery() as nursery:
            port = await nursery.start(serve)
            client = log_port.HttpLogPort(
                http_client.HttpClient(), f"127.0.0.1:{port}", timeout_ms=2_000
            )
            try:
                return await use(client)
            finally:
                nursery.cancel_scope.cancel()

    return trio.run(run)


class TestUnreadableAnswers:
    """Answers that do not decode, which must not end a process."""

    @pytest.mark.parametrize("body", _UNREADABLE)
    def test_unreadable_answer_to_an_append_leaves_its_outcome_unknown(
        self, body: bytes
    ) -> None:
        with pytest.RaisesGroup(errors.OutcomeUnknownError):
            _with_log(200, body, lambda port: port.append("config", [{}]))

    @pytest.mark.parametrize("status", [200, 410])
    @pytest.mark.parametrize("body", [*_UNREADABLE[:3], _UNREADABLE[4]])
    def test_unreadable_answer_to_a_read_is_a_failed_read(
        self, status: int, body: bytes
    ) -> None:
        with pytest.RaisesGroup(errors.NotExecutedError):
            _with_log(
                status,
                body,
                lambda port: port.read("config", 1, limit=1, wait_ms=0),
            )


class TestStatuses:
    """What the status of an answer says of an append."""

    @pytest.mark.parametrize(
        ("status", "error"),
        [
            (400, errors.NotExecutedError),
            (429, errors.ThrottledError),
            (503, errors.NotExecutedError),
            (204, errors.OutcomeUnknownError),
            (500, errors.OutcomeUnknownError),
            (502, errors.OutcomeUnknownError),
            (504, errors.OutcomeUnknownError),
        ],
    )
    def test_only_a_refusal_says_that_nothing_was_appended(
        self, status: int, error: type[errors.ExternalSystemError]
    ) -> None:
        """An operator is told that a refused record is not in force."""
        with pytest.RaisesGroup(pytest.RaisesExc(error)):
            _with_log(status, b"{}", lambda log: log.append("config", [1]))
