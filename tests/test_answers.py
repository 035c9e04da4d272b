"""Frames that arrive late, twice, mixed up or incompletely."""

import functools
import json
from typing import Any

import pytest
import trio

from quetzalmill import answer
from quetzalmill import clock
from quetzalmill import codec
from quetzalmill import completion
from quetzalmill import configuration
from quetzalmill import errors
from quetzalmill import fleet_view
from quetzalmill import home_link
from quetzalmill import http_client
from quetzalmill import http_message
from quetzalmill import http_server
from quetzalmill import messages
from quetzalmill import program_id
from tests import harness

PIECES = 6


def frame(
    program: str, position: int, attempt: int = 0, **fields: Any
) -> messages.Frame:
    kind = (
        messages.FrameKind.END
        if position == PIECES
        else messages.FrameKind.DATA
    )
    return messages.Frame(
        program=program,
        call=1,
        attempt=attempt,
        kind=kind,
        data=f"{program}{position}".encode(),
        position=position,
        **fields,
    )


def encode(*frames: messages.Frame) -> bytes:
    return b"".join(answer.encode_frame(each) for each in frames)


class TestFrameReader:
    """A reader returns each frame of its call once and detects gaps."""

    @pytest.mark.parametrize(
        ("foreign", "dropped"),
        [
            ([frame("b", 1)], 1),
            ([frame("a", 0)], 1),
            ([frame("a", 1, attempt=2), frame("b", 7)], 2),
        ],
    )
    def test_foreign_late_and_second_frames_are_dropped(
        self, foreign: list[messages.Frame], dropped: int
    ) -> None:
        reader = answer.FrameReader("a", 1, attempt=0)
        found = reader.feed(encode(frame("a", 0), *foreign, frame("a", 1)))
        assert [each.position for each in found] == [0, 1]
        assert reader.mismatched == dropped

    def test_missing_frame_breaks_the_answer_off(self) -> None:
        reader = answer.FrameReader("a", 1)
        reader.feed(encode(frame("a", 0)))
        with pytest.raises(errors.ConnectionLostError):
            reader.feed(encode(frame("a", 2)))


class TestMixedUpAnswers:
    """A home, or a proxy in front of it, mixes up two answers."""

    @pytest.mark.parametrize("swapped_at", range(PIECES + 1))
    def test_answer_with_foreign_frame_is_cut_off(
        self, swapped_at: int
    ) -> None:
        found = trio.run(_call_both, swapped_at)
        for program in ("a", "b"):
            texts, ended = found[program]
            complete = [f"{program}{n}" for n in range(PIECES + 1)]
            assert texts == complete[: len(texts)]
            assert not ended, "an answer with a foreign frame is incomplete"
        assert found["mismatched"][0] >= 2


class TestContinuedAnswer:
    """A second attempt continues the forwarded answer or raises an error."""

    @pytest.mark.parametrize(
        ("first", "second", "forwarded"),
        [
            (["ab", "cd"], ["abc", "def", None], ["", "ef", None]),
            (["ab", "cd"], ["a", "bcd", "e", None], ["e", None]),
            (["ab", None], ["a", "b", None], []),
            (["ab"], ["ab", None], [None]),
            (["abc"], ["ab", None], "shorter"),
            (["abc"], ["abx", None], "differ"),
        ],
    )
    def test_second_attempt(
        self,
        first: list[str | None],
        second: list[str | None],
        forwarded: Any,
    ) -> None:
        assembly = completion.Assembly()
        for each in first:
            assembly.add(chunk(each))
        assembly.restart()
        if isinstance(forwarded, str):
            with pytest.raises(completion.DivergedError, match=forwarded):
                _continue(assembly, second)
            return
        found = _continue(assembly, second)
        assert [each for each in found if each != ""] == [
            each for each in forwarded if each != ""
        ]

    @pytest.mark.parametrize(
        "data",
        [b"[]", b'{"choices": 3}', b'{"choices": [[]]}', b'{"choices": [{}'],
    )
    def test_malformed_chunk_raises_codec_error(self, data: bytes) -> None:
        with pytest.raises(errors.CodecError):
            completion.Assembly().add(data)


def chunk(content: str | None) -> bytes:
    """Returns a chunk with content, or with the finish reason for None."""
    choice: dict[str, Any] = {"index": 0, "delta": {}, "finish_reason": None}
    if content is None:
        choice["finish_reason"] = "stop"
    else:
        choice["delta"] = {"content": content}
    return json.dumps({"choices": [choice]}).encode()


def _continue(
    assembly: completion.Assembly, pieces: list[str | None]
) -> list[str | None]:
    forwarded = [assembly.add(chunk(each)) for each in pieces]
    assembly.require_complete()
    choices = [json.loads(each)["choices"][0] for each in forwarded if each]
    return [
        None if each["finish_reason"] else each["delta"].get("content", "")
        for each in choices
    ]


async def _call_both(swapped_at: int) -> dict[str, Any]:
    """Sends two calls to a server that swaps one frame of their answers."""
    found: dict[str, Any] = {}
    both = _Barrier()

    async def handle(
        request: http_message.Request, exchange: http_server.Exchange
    ) -> None:
        call = codec.from_msgpack(request.body, messages.Call)
        await both.arrive()
        await exchange.start_stream(200, {})
        other = "b" if call.program == "a" else "a"
        for position in range(PIECES + 1):
            sent = other if position == swapped_at else call.program
            await exchange.send(encode(frame(sent, position)))
        await exchange.finish()

    async with trio.open_nursery() as nursery:
        address = harness.free_address()
        serve = functools.partial(
            http_server.serve,
            address,
            handle,
            limits=http_message.Limits(),
            stopping=trio.Event(),
        )
        await nursery.start(serve)
        link = _link()
        async with trio.open_nursery() as asking:
            for program in ("a", "b"):
                asking.start_soon(_ask, link, address, program, found)
        found["mismatched"] = (link.mismatched_frames,)
        nursery.cancel_scope.cancel()
    return found


class _Barrier:
    """Blocks the first request until the second has arrived."""

    def __init__(self) -> None:
        self._arrived = 0
        self._complete = trio.Event()

    async def arrive(self) -> None:
        self._arrived += 1
        if self._arrived == 2:
            self._complete.set()
        await self._complete.wait()


async def _ask(
    link: home_link.HomeLink,
    address: str,
    program: str,
    found: dict[str, Any],
) -> None:
    texts: list[str] = []
    ended = False
    target = home_link.Target(
        home=program_id.Home(host="side-0", instance="1"),
        address=address,
        take_over=False,
    )
    try:
        async with link.call(target, _call(program), lambda: True) as frames:
            assert not isinstance(frames, http_message.Response)
            async for each in frames:
                texts.append(each.data.decode())
                ended = answer.is_last(each)
    except errors.ConnectionLostError:
        pass
    found[program] = (texts, ended)


def _link() -> home_link.HomeLink:
    config = configuration.Configuration()
    return home_link.HomeLink(
        "rawson",
        config=config,
        fleet=fleet_view.FleetView(config, timeout_ms=60_000.0),
        client=http_client.HttpClient(),
        timeout_ms=5_000.0,
        clock=clock.SystemClock(),
    )


def _call(program: str) -> messages.Call:
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
        time_left_ms=5_000.0,
        fingerprint="",
        suspect=False,
        applied_offset=0,
    )
