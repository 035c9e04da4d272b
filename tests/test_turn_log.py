"""The turn writer and takeovers over a log that fails and loses replies."""

from collections.abc import Awaitable, Callable
import random
from typing import Any

import attrs
import pytest
import trio

from quetzalmill import clock
from quetzalmill import codec
from quetzalmill import commit_pace
from quetzalmill import errors
from quetzalmill import log_port
from quetzalmill import metrics
from quetzalmill import program_id
from quetzalmill import programs
from quetzalmill import takeover
from quetzalmill import turn_log
from quetzalmill import turns

A = program_id.Home(host="side-a", instance="a1")
B = program_id.Home(host="side-b", instance="b1")
C = program_id.Home(host="side-c", instance="c1")
ROOT = program_id.new_root("c0", A)
STREAM = turns.stream_of(A.host, A.instance)


class FakeLog:
    """An in-memory log whose next appends have the given outcomes.

    Outcomes are ``lost`` (stored, reply lost), ``twice`` (stored twice with a
    fence by B between, reply lost), ``late`` (reply lost, stored before the
    next append), ``not done`` and ``fenced`` (a fence by B is stored first).
    """

    def __init__(self, *outcomes: str) -> None:
        self.streams: dict[str, list[Any]] = {}
        self.outcomes = list(outcomes)
        self.first_offsets: dict[str, int] = {}
        self._late: list[tuple[str, list[Any]]] = []

    async def append(self, stream: str, records: list[Any]) -> int:
        """Appends with the next outcome."""
        await trio.lowlevel.checkpoint()
        for late_stream, late in self._late:
            self._stored(late_stream).extend(late)
        self._late = []
        outcome = self.outcomes.pop(0) if self.outcomes else ""
        stored = self._stored(stream)
        if outcome == "not executed":
            raise errors.NotExecutedError("refused")
        if outcome == "late":
            self._late.append((stream, records))
            raise errors.OutcomeUnknownError("no reply")
        if "fenced" in outcome:
            stored.append(fence_batch(2, B))
        stored.extend(records)
        if "twice" in outcome:
            stored.append(fence_batch(2, B))
            stored.extend(records)
        if outcome.startswith(("lost", "twice")):
            raise errors.OutcomeUnknownError("no reply")
        return len(stored) - len(records) + 1

    async def read(
        self, stream: str, from_offset: int, *, limit: int, wait_ms: float
    ) -> log_port.Page:
        """Reads the stored records."""
        await trio.lowlevel.checkpoint()
        stored = self._stored(stream)
        if from_offset < self.first_offsets.get(stream, 1):
            raise errors.RetentionError(self.first_offsets[stream])
        records = [
            log_port.LogRecord(offset=n, data=data)
            for n, data in enumerate(stored, start=1)
            if from_offset <= n < from_offset + limit
        ]
        return log_port.Page(records=records, end=len(stored) + 1)

    def _stored(self, stream: str) -> list[Any]:
        return self.streams.setdefault(stream, [])


def fence_batch(epoch: int, home: program_id.Home) -> Any:
    fence = turns.FenceRecord(
        record_id=f"f{epoch}{home.host}",
        root=ROOT,
        epoch=epoch,
        host=home.host,
        instance=home.instance,
    )
    batch = turn_log.Batch(
        batch_id=f"fence {epoch} {home.host}", records=[turns.encode(fence)]
    )
    return codec.to_plain(batch)


def program_record(epoch: int = 1) -> turns.ProgramRecord:
    return turns.ProgramRecord(
        program=ROOT,
        root=ROOT,
        parent="",
        team="keepers",
        limits=turns.BudgetLimits(),
        deadline_ms=None,
        epoch=epoch,
        applied_offset=1,
    )


def turn_record(call: int, previous: str, epoch: int = 1) -> turns.TurnRecord:
    body = f"answer {call}"
    return turns.TurnRecord(
        program=ROOT,
        root=ROOT,
        epoch=epoch,
        call=call,
        digest=f"d{call}",
        previous_chain=previous,
        chain=turns.chain_hash(previous, f"d{call}", body),
        messages=[],
        answer=None,
        status=200,
        content_type="",
        body=body,
        tokens=1,
        time_ms=1.0,
        ran="yes",
        applied_offset=1,
    )


def record_batch(*records: turns.Record) -> Any:
    batch = turn_log.Batch(
        batch_id=repr(records)[:90],
        records=[turns.encode(each) for each in records],
    )
    return codec.to_plain(batch)


class TestTurnWriter:
    """A record is durable exactly if it precedes every fence."""

    @pytest.mark.parametrize(
        ("outcomes", "first", "second"),
        [
            ([], "durable", "durable"),
            (["not executed"], "durable", "durable"),
            (["lost"], "durable", "durable"),
            (["late"], "durable", "durable"),
            (["fenced"], "fenced", "fenced"),
            (["lost fenced"], "fenced", "fenced"),
            (["late", "fenced"], "durable", "fenced"),
            (["twice"], "durable", "fenced"),
            (["", "fenced"], "durable", "fenced"),
            (["", "not executed", "lost fenced"], "durable", "fenced"),
        ],
    )
    def test_outcome_of_two_commits(
        self, outcomes: list[str], first: str, second: str
    ) -> None:
        log = FakeLog(*outcomes)
        one = turn_record(1, turns.EMPTY_CHAIN)
        two = turn_record(2, one.chain)

        async def commit_both(writer: turn_log.TurnWriter) -> list[str]:
            return [
                (await writer.commit(one)).value,
                (await writer.commit(two)).value,
            ]

        assert with_writer(log, commit_both) == [first, second]
        found = trio.run(turn_log.read_root, log, STREAM, ROOT).records
        fences = [isinstance(r, turns.FenceRecord) for r in found]
        kept = found[: fences.index(True)] if True in fences else found
        durable = [
            r for r, v in ((one, first), (two, second)) if v == "durable"
        ]
        assert kept == durable

    def test_buffer_is_bounded_and_flushed(self) -> None:
        log = FakeLog(*["not executed"] * 3)
        one = turn_record(1, turns.EMPTY_CHAIN)

        async def fill(writer: turn_log.TurnWriter) -> bool:
            result = await writer.commit(one)
            assert result is turn_log.Commit.BUFFERED
            assert writer.has_pending(ROOT)
            was_full = writer.is_full
            await writer.wait_flushed()
            assert not (writer.is_full or writer.has_pending(ROOT))
            return was_full

        assert with_writer(log, fill, max_wait_ms=5.0, buffer_bytes=10)


class TestTakeover:
    """One home at a time owns a program, with every durable record."""

    @pytest.mark.parametrize(
        "outcomes", [[], ["lost"], ["late"], ["late", "lost"]]
    )
    def test_fence_with_lost_replies(self, outcomes: list[str]) -> None:
        log = FakeLog(*outcomes)
        log.streams[STREAM] = [
            record_batch(program_record(), turn_record(1, ""))
        ]
        taken = take_over(log, B, dead={A})
        assert isinstance(taken, takeover.Taken)
        assert (taken.epoch, len(taken.records)) == (2, 2)

    def test_later_fence_of_the_same_epoch_loses(self) -> None:
        log = FakeLog()
        log.streams[STREAM] = [
            record_batch(program_record()),
            fence_batch(2, B),
            record_batch(turn_record(1, "")),
            fence_batch(2, A),
        ]
        found = take_over(log, A, dead=set())
        assert found == takeover.HeldBy(home=B)
        taken = take_over(log, A, dead={B})
        assert isinstance(taken, takeover.Taken)
        assert (taken.epoch, len(taken.records)) == (3, 1)

    def test_unknown_process_creates_no_stream(self) -> None:
        log = FakeLog()
        assert take_over(log, B, dead={A}) == takeover.NotRecorded()
        assert not any(log.streams.values())

    def test_expired_fence_is_not_appended_again(self) -> None:
        log = FakeLog()
        log.streams[STREAM] = [
            record_batch(program_record()),
            fence_batch(2, B),
        ]
        stream = turns.stream_of(B.host, B.instance)
        log.streams[stream] = [fence_batch(3, A), record_batch()]
        log.first_offsets[stream] = 2
        assert take_over(log, C, dead={A, B}) == takeover.NotRecorded()
        assert len(log.streams[stream]) == 2

    def test_released_program_is_taken_from_a_live_home(self) -> None:
        log = FakeLog()
        released = turns.ReleaseRecord(root=ROOT, epoch=1)
        log.streams[STREAM] = [
            record_batch(program_record()),
            record_batch(released),
        ]
        assert isinstance(take_over(log, B, dead=set()), takeover.Taken)
        log.streams[STREAM] = [
            record_batch(program_record(), released, turn_record(1, ""))
        ]
        assert take_over(log, B, dead=set()) == takeover.HeldBy(home=A)


class TestRestoredTree:
    """A program tree is restored from its records, in log order."""

    @pytest.mark.parametrize(
        ("records", "next_call"),
        [
            ([program_record(), turn_record(1, "")], 2),
            ([program_record(), turn_record(1, ""), turn_record(1, "")], 2),
            (
                [
                    program_record(),
                    turn_record(1, "", epoch=2),
                    turn_record(2, "", epoch=1),
                ],
                2,
            ),
            ([program_record(), turn_record(2, "x")], None),
            (
                [program_record(), turn_record(1, ""), turn_record(2, "other")],
                None,
            ),
            ([turn_record(2, "x"), program_record()], None),
        ],
    )
    def test_turns_continue_the_chain_or_nothing_is_restored(
        self, records: list[turns.Record], next_call: int | None
    ) -> None:
        tree = programs.restore_tree(ROOT, records, 2, 0.0)
        found = tree.programs.get(ROOT)
        assert (found and found.next_call) == next_call

    def test_without_the_root_nothing_is_restored(self) -> None:
        child = attrs.evolve(
            program_record(),
            program=program_id.new_child("d0", ROOT),
            parent=ROOT,
        )
        assert not programs.restore_tree(ROOT, [child], 2, 0.0).programs

    @pytest.mark.parametrize(
        ("epoch", "is_charged"), [(2, False), (3, True), (1, False)]
    )
    def test_release_settles_calls_of_its_own_home_only(
        self, epoch: int, is_charged: bool
    ) -> None:
        released = turns.ReleaseRecord(root=ROOT, epoch=1)
        tree = programs.restore_tree(
            ROOT, [program_record(), released], epoch, 0
        )
        idle = 1 if tree.released_epoch == epoch - 1 else epoch
        tree.mark_unsettled_except(idle)
        assert bool(tree.double_charged) is is_charged


def take_over(
    log: FakeLog, own: program_id.Home, dead: set[program_id.Home]
) -> takeover.Takeover:
    async def main() -> takeover.Takeover:
        return await takeover.take_over(
            log, ROOT, A, own, lambda home: home in dead, may_fence=True
        )

    return trio.run(main)


def with_writer(
    log: FakeLog,
    use: Callable[[turn_log.TurnWriter], Awaitable[Any]],
    max_wait_ms: float = 10_000.0,
    buffer_bytes: int = 1_000_000,
) -> Any:
    async def main() -> Any:
        writer = turn_log.TurnWriter(
            log,
            STREAM,
            pace=commit_pace.CommitPace(1.0, random.Random(1)),
            max_wait_ms=max_wait_ms,
            buffer_bytes=buffer_bytes,
            on_fence=lambda record: None,
            metrics=metrics.Metrics(None, "sidecar", A.host),
            clock=clock.SystemClock(),
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(writer.run)
            with trio.fail_after(10):
                found = await use(writer)
            nursery.cancel_scope.cancel()
        return found

    return trio.run(main)
