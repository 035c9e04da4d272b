"""Answers between the project's own processes, which name their requests."""

from collections.abc import AsyncIterator, Callable
import contextlib
import functools
from typing import Any
import unittest.mock

import attrs
import pytest
import trio

from quetzalmill import answer
from quetzalmill import clock
from quetzalmill import codec
from quetzalmill import configuration
from quetzalmill import conversations
from quetzalmill import errors
from quetzalmill import exchange_ids
from quetzalmill import executor_link
from quetzalmill import fleet_view
from quetzalmill import forwarding
from quetzalmill import gateway_messages
from quetzalmill import home_link
from quetzalmill import http_client
from quetzalmill import http_message
from quetzalmill import http_server
from quetzalmill import internal_api
from quetzalmill import messages
from quetzalmill import objects
from quetzalmill import peer_http
from quetzalmill import program_id
from quetzalmill import sidecar_api
from tests import late_copies

_TIMEOUT_MS = 2_000.0


def _unnamed(answer: late_copies.Answer) -> late_copies.Answer:
    return answer


class TestPeers:
    """Control calls between gateways; an answer repeats its call's id."""

    @pytest.mark.parametrize("name", [late_copies.named, _unnamed])
    def test_answer_to_a_call_is_believed(
        self, name: Callable[[late_copies.Answer], late_copies.Answer]
    ) -> None:
        """Also that of a gateway of an earlier version, without an id."""
        found = late_copies.ask([name(_accounts(5))], _hand_over)
        assert found.epoch == 5

    def test_copy_does_not_hand_over_another_partition(self) -> None:
        """Its accounts would replace those of the partition, as exact ones."""

        async def use(address: str) -> list[int]:
            client = peer_http.PeerClient()
            epochs = []
            for part in range(3):
                with contextlib.suppress(errors.ControlCallError):
                    reply = await _hand_over(address, client, part)
                    epochs.append(reply.epoch)
            return epochs

        answers = [late_copies.named(_accounts(epoch)) for epoch in (5, 6, 7)]
        # The second call fails; the third has a new connection.
        assert late_copies.ask(answers, use) == [5, 7]

    def test_copy_does_not_make_a_turn_durable(self) -> None:
        """The caller would be told its end, and no gateway has stored it."""

        async def use(address: str) -> None:
            client = peer_http.PeerClient()
            assert (await _store_turn(address, client)).durable
            with pytest.raises(errors.ControlCallError):
                await _store_turn(address, client)

        answers = [
            late_copies.named(
                _answer(gateway_messages.StoreReply(durable=each))
            )
            for each in (True, False)
        ]
        late_copies.ask(answers, use)

    def test_copy_does_not_answer_for_another_turn(self) -> None:
        """The caller would get a 404 for a turn that exists."""

        async def use(address: str) -> None:
            client = peer_http.PeerClient()
            assert (await _fetch_chain(address, client, "none")).certain
            with pytest.raises(errors.ControlCallError):
                await _fetch_chain(address, client, "turn")

        answers = [
            late_copies.named(
                _answer(
                    gateway_messages.ChainReply(
                        turns=[], missing_id=missing_id, certain=True
                    )
                )
            )
            for missing_id in ("none", "")
        ]
        late_copies.ask(answers, use)

    def test_gateway_repeats_the_id_of_a_call(self) -> None:
        """Each answer to a call names it, also one that refuses it."""

        async def run() -> list[str | None]:
            server = peer_http.PeerServer({})
            client = http_client.HttpClient()
            request = http_message.Request(
                method="POST",
                path="/Unknown",
                headers={exchange_ids.HEADER: "a1"},
            )
            async with trio.open_nursery() as nursery:
                port = await nursery.start(server.serve, "127.0.0.1:0")
                found = [
                    await client.request(
                        f"127.0.0.1:{port}", each, timeout_ms=_TIMEOUT_MS
                    )
                    for each in (request, attrs.evolve(request, headers={}))
                ]
                nursery.cancel_scope.cancel()
            return [each.headers.get(exchange_ids.HEADER) for each in found]

        assert trio.run(run) == ["a1", None]


class TestHomes:
    """Requests of entries to homes."""

    def test_copy_of_a_refusal_does_not_refuse_a_call(self) -> None:
        """The caller would be told "not run" of a call that ran."""

        async def use(address: str) -> list[int | messages.FrameKind]:
            link = _home_link()
            found: list[int | messages.FrameKind] = []
            for program in ("a", "b", "b"):
                with contextlib.suppress(errors.ConnectionLostError):
                    found.append(await _call(link, address, program))
            return found

        unknown = late_copies.reply(404, _problem(code="program_unknown"))
        answers = [unknown, _frames("b"), _frames("b")]
        # The second answer is lost, so the call is sent again.
        assert late_copies.ask(
            [late_copies.named(each) for each in answers], use
        ) == [
            404,
            messages.FrameKind.END,
        ]

    def test_copy_of_a_view_does_not_show_another_program(self) -> None:
        async def use(address: str) -> list[bytes]:
            link = _home_link()
            found = []
            for program in ("a", "b", "b"):
                with contextlib.suppress(errors.ConnectionLostError):
                    response = await link.request(
                        _target(address), "GET", f"/{program}"
                    )
                    found.append(response.body)
            return found

        answers = [late_copies.reply(200, each) for each in (b"a", b"b", b"c")]
        found = late_copies.ask(
            [late_copies.named(each) for each in answers], use
        )
        assert found == [b"a", b"c"]

    def test_answer_of_an_earlier_version_is_believed(self) -> None:
        async def use(address: str) -> int | messages.FrameKind:
            return await _call(_home_link(), address, "a")

        assert late_copies.ask([_frames("a")], use) is messages.FrameKind.END


class TestPriorRuns:
    """What a home answers when an entry asks whether a call has run."""

    @pytest.mark.parametrize(
        ("status", "ran", "expected"),
        [
            (200, messages.Ran.NO, messages.Ran.NO),
            (200, messages.Ran.YES, messages.Ran.YES),
            (400, messages.Ran.NO, messages.Ran.UNKNOWN),
            (404, messages.Ran.NO, messages.Ran.UNKNOWN),
            (503, messages.Ran.NO, messages.Ran.UNKNOWN),
        ],
    )
    def test_refusal_of_the_question_says_nothing_of_the_call(
        self, status: int, ran: messages.Ran, expected: messages.Ran
    ) -> None:
        """The caller would be told "not run" of a call that ran."""
        problem = internal_api.Problem(code="code", message="text", ran=ran)
        answer = late_copies.reply(status, codec.to_json(problem))

        async def use(address: str) -> messages.Ran:
            link = _home_link()
            home_of = unittest.mock.Mock(return_value=_target(address))
            with unittest.mock.patch.object(link, "home_of", home_of):
                forwarder = forwarding.Forwarder(link, clock.SystemClock())
                return await forwarder.prior_run_status(_program_call("a"))

        assert late_copies.ask([answer], use) is expected


class TestExecutors:
    """Executions that a home sends to other sidecars."""

    def test_late_refusal_is_not_taken_for_not_delivered(self) -> None:
        """The call runs, and would be counted as one that did not."""

        async def use(address: str) -> None:
            link = _executor_link(address)
            await _execute(link, "a")
            with pytest.raises(errors.ConnectionLostError):
                await _execute(link, "b")
            assert await _execute(link, "b") is messages.FrameKind.END

        answers = [_frames(each, attempt=1) for each in ("a", "b", "b")]
        behind = late_copies.reply(503, _problem(code="configuration_behind"))
        late_copies.ask(
            [late_copies.named(each) for each in answers],
            use,
            late_copies.named(behind),
        )

    def test_connection_that_carried_a_refusal_is_not_kept(self) -> None:
        async def use(address: str) -> None:
            link = _executor_link(address)
            with pytest.raises(errors.ConnectFailedError):
                await _execute(link, "a")
            assert await _execute(link, "b") is messages.FrameKind.END

        behind = late_copies.reply(503, _problem(code="configuration_behind"))
        late_copies.ask([behind, _frames("b", attempt=1)], use)

    def test_answer_of_an_earlier_version_is_believed(self) -> None:
        async def use(address: str) -> messages.FrameKind:
            return await _execute(_executor_link(address), "a")

        found = late_copies.ask([_frames("a", attempt=1)], use)
        assert found is messages.FrameKind.END


class TestSidecar:
    """The internal interface of a sidecar."""

    def test_answers_repeat_the_id_of_the_request(self) -> None:
        api = sidecar_api.SidecarApi(
            home=unittest.mock.Mock(),
            executor=unittest.mock.Mock(),
            catch_up=unittest.mock.Mock(),
            dump=dict,
            is_ready=lambda: True,
        )

        async def run() -> list[str | None]:
            client = http_client.HttpClient()
            serve = functools.partial(
                http_server.serve,
                "127.0.0.1:0",
                api.handle,
                limits=http_message.Limits(),
                stopping=trio.Event(),
            )
            async with trio.open_nursery() as nursery:
                port = await nursery.start(serve)
                found = [
                    await client.request(
                        f"127.0.0.1:{port}",
                        http_message.Request(
                            method="POST", path=path, headers=headers
                        ),
                        timeout_ms=_TIMEOUT_MS,
                    )
                    for path in (internal_api.CALLS_PATH, "/unknown")
                    for headers in ({exchange_ids.HEADER: "a1"}, {})
                ]
                nursery.cancel_scope.cancel()
            return [each.headers.get(exchange_ids.HEADER) for each in found]

        assert trio.run(run) == ["a1", None, "a1", None]


def _answer(message: Any) -> late_copies.Answer:
    return late_copies.reply(200, codec.to_msgpack(message))


def _accounts(epoch: int) -> late_copies.Answer:
    return _answer(gateway_messages.HandOverReply(epoch=epoch, accounts={}))


async def _hand_over(
    address: str, client: peer_http.PeerClient | None = None, part: int = 0
) -> gateway_messages.HandOverReply:
    reply: gateway_messages.HandOverReply = await (
        client or peer_http.PeerClient()
    ).call(
        address,
        gateway_messages.HAND_OVER,
        gateway_messages.HandOver(part=part),
        timeout_ms=_TIMEOUT_MS,
    )
    return reply


async def _store_turn(
    address: str, client: peer_http.PeerClient
) -> gateway_messages.StoreReply:
    turn = conversations.Turn(
        turn_id="turn",
        team="team",
        program_id="program",
        previous_id="",
        input=b"",
        outputs=(),
        ended_unix_ms=0,
    )
    reply: gateway_messages.StoreReply = await client.call(
        address,
        gateway_messages.STORE_TURN,
        gateway_messages.StoreTurn(turn=turn),
        timeout_ms=_TIMEOUT_MS,
    )
    return reply


async def _fetch_chain(
    address: str, client: peer_http.PeerClient, turn_id: str
) -> gateway_messages.ChainReply:
    reply: gateway_messages.ChainReply = await client.call(
        address,
        gateway_messages.FETCH_CHAIN,
        gateway_messages.FetchChain(turn_id=turn_id, part=0, load=True),
        timeout_ms=_TIMEOUT_MS,
    )
    return reply


def _home_link() -> home_link.HomeLink:
    config = configuration.Configuration()
    return home_link.HomeLink(
        "rawson",
        config=config,
        fleet=fleet_view.FleetView(config, timeout_ms=60_000.0),
        client=http_client.HttpClient(),
        timeout_ms=_TIMEOUT_MS,
        clock=clock.SystemClock(),
    )


def _target(address: str) -> home_link.Target:
    home = program_id.Home(host="side-0", instance="1")
    return home_link.Target(home=home, address=address, take_over=False)


def _executor_link(address: str) -> executor_link.ExecutorLink:
    config = configuration.Configuration()
    fleet = fleet_view.FleetView(config, timeout_ms=60_000.0)
    spec = objects.ProcessSpec(
        role=objects.SIDECAR,
        instance="1",
        http_address=address,
        control_address=address,
        failure_domain="rawson",
    )
    fleet.record("side-1", spec, applied_offset=0, at_ms=0.0)
    return executor_link.ExecutorLink(
        "side-0",
        config=config,
        local=unittest.mock.Mock(),
        client=http_client.HttpClient(),
        control_client=unittest.mock.Mock(),
        fleet=fleet,
        timeout_ms=_TIMEOUT_MS,
    )


async def _call(
    link: home_link.HomeLink, address: str, program: str
) -> int | messages.FrameKind:
    """Returns the status of a refusal, or the kind of the last frame."""
    call = _program_call(program)
    async with link.call(_target(address), call, lambda: True) as found:
        if isinstance(found, http_message.Response):
            return found.status
        return await _last_kind(found)


async def _execute(
    link: executor_link.ExecutorLink, program: str
) -> messages.FrameKind:
    """Returns the kind of the last frame of an idempotent call's answer."""
    execution = messages.Execution(
        call=_program_call(program),
        root=program,
        epoch=1,
        attempt=1,
        endpoint="engine",
        attained_units=0.0,
        prompt_tokens=1,
        answer_tokens=1,
    )
    async with link.run("side-1", execution) as frames:
        return await _last_kind(frames)


async def _last_kind(
    frames: AsyncIterator[messages.Frame],
) -> messages.FrameKind:
    return [each.kind async for each in frames][-1]


def _program_call(program: str) -> messages.Call:
    return messages.Call(
        program=program,
        single=False,
        number=1,
        team="keepers",
        key_id="",
        kind=messages.CallKind.MODEL,
        target="planner",
        method="POST",
        path="/",
        content_type="",
        body=b"{}",
        stream=True,
        idempotent=True,
        time_left_ms=_TIMEOUT_MS,
        fingerprint="",
        suspect=False,
        applied_offset=0,
    )


def _frames(program: str, attempt: int = 0) -> late_copies.Answer:
    end = messages.Frame(
        program=program, call=1, attempt=attempt, kind=messages.FrameKind.END
    )
    return late_copies.reply(200, answer.encode_frame(end))


def _problem(*, code: str) -> bytes:
    return codec.to_json(internal_api.Problem(code=code, message="refused"))
