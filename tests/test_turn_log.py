"""The writer of a home's stream, and takeovers, over a log that misbehaves."""

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
    """A log in memory whose coming appends take the given courses.

    Courses are ``lost`` (taken, reply lost), ``twice`` (taken twice, reply
    lost), ``late`` (reply lost, taken before the next append), ``not done``
    and ``fenced`` (a fence by B is taken first).
    """

    def __init__(self, *courses: str) -> None:
        self.streams: dict[str, list[Any]] = {}
        self.courses = list(courses)
        self.first_offsets: dict[str, int] = {}
        self._late: list[tuple[str, list[Any]]] = []

    async def append(self, stream: str, records: list[Any]) -> int:
        """Appends as the next course says."""
        await trio.lowlevel.checkpoint()
        for late_stream, late in self._late:
            self._held(late_stream).extend(late)
        self._late = []
        course = self.courses.pop(0) if self.courses else ""
        held = self._held(stream)
        if course == "not done":
            raise errors.NotDoneError("refused")
        if course == "late":
            self._late.append((stream, records))
            raise errors.OutcomeUnknownError("no reply")
        if "fenced" in course:
            held.append(fence_batch(2, B))
        held.extend(records)
        if "twice" in course:
            held.append(fence_batch(2, B))
            held.extend(records)
        if course.startswith(("lost", "twice")):
            raise errors.OutcomeUnknownError("no reply")
        return len(held) - len(records) + 1

    async def read(
        self, stream: str, from_offset: int, *, limit: int, wait_ms: float
    ) -> log_port.Page:
        """Reads what is there."""
        await trio.lowlevel.checkpoint()
        held = self._held(stream)
        if from_offset < self.first_offsets.get(stream, 1):
            raise errors.RetentionError(self.first_offsets[stream])
        records = [
            log_port.LogRecord(offset=n, data=data)
            for n, data in enumerate(held, start=1)
            if from_offset <= n < from_offset + limit
        ]
        return log_port.Page(records=records, end=len(held) + 1)

    def _held(self, stream: str) -> list[Any]:
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


def started(epoch: int = 1) -> turns.ProgramRecord:
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


def turn(call: int, previous: str, epoch: int = 1) -> turns.TurnRecord:
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
    """A record is durable exactly if it stands before every fence."""

    @pytest.mark.parametrize(
        ("courses", "first", "second"),
        [
            ([], "durable", "durable"),
            (["not done"], "durable", "durable"),
            (["lost"], "durable", "durable"),
            (["late"], "durable", "durable"),
            (["fenced"], "fenced", "fenced"),
            (["lost fenced"], "fenced", "fenced"),
            (["late", "fenced"], "durable", "fenced"),
            (["twice"], "durable", "fenced"),
            (["", "fenced"], "durable", "fenced"),
            (["", "not done", "lost fenced"], "durable", "fenced"),
        ],
    )
    def test_two_records(
        self, courses: list[str], first: str, second: str
    ) -> None:
        log = FakeLog(*courses)
        one = turn(1, turns.EMPTY_CHAIN)
        two = turn(2, one.chain)

        async def commit_both(writer: turn_log.TurnWriter) -> list[str]:
            return [
                (await writer.commit(one)).value,
                (await writer.commit(two)).value,
            ]

        assert with_writer(log, commit_both) == [first, second]
        found = trio.run(turn_log.read_root, log, STREAM, ROOT).records
        fences = [isinstance(r, turns.FenceRecord) for r in found]
        kept = found[: fences.index(True)] if True in fences else found
        whole = [r for r, v in ((one, first), (two, second)) if v == "durable"]
        assert kept == whole

    def test_buffer_is_bounded_and_flushed(self) -> None:
        log = FakeLog(*["not done"] * 3)
        one = turn(1, turns.EMPTY_CHAIN)

        async def fill(writer: turn_log.TurnWriter) -> bool:
            result = await writer.commit(one)
            assert result is turn_log.Commit.BUFFERED
            assert writer.has_pending(ROOT)
            was_full = writer.is_full
            await writer.flushed()
            assert not (writer.is_full or writer.has_pending(ROOT))
            return was_full

        assert with_writer(log, fill, patience_ms=5.0, buffer_bytes=10)


class TestTakeover:
    """One home at a time holds a program, with all that was durable."""

    @pytest.mark.parametrize(
        "courses", [[], ["lost"], ["late"], ["late", "lost"]]
    )
    def test_fence_with_lost_replies(self, courses: list[str]) -> None:
        log = FakeLog(*courses)
        log.streams[STREAM] = [record_batch(started(), turn(1, ""))]
        taken = take_over(log, B, gone={A})
        assert isinstance(taken, takeover.Taken)
        assert (taken.epoch, len(taken.records)) == (2, 2)

    def test_later_fence_of_the_same_epoch_loses(self) -> None:
        log = FakeLog()
        log.streams[STREAM] = [
            record_batch(started()),
            fence_batch(2, B),
            record_batch(turn(1, "")),
            fence_batch(2, A),
        ]
        held = take_over(log, A, gone=set())
        assert held == takeover.HeldBy(home=B)
        taken = take_over(log, A, gone={B})
        assert isinstance(taken, takeover.Taken)
        assert (taken.epoch, len(taken.records)) == (3, 1)

    def test_unknown_process_leaves_no_trace(self) -> None:
        log = FakeLog()
        assert take_over(log, B, gone={A}) == takeover.NotRecorded()
        assert not any(log.streams.values())

    def test_forgotten_fence_is_not_set_anew(self) -> None:
        log = FakeLog()
        log.streams[STREAM] = [record_batch(started()), fence_batch(2, B)]
        stream = turns.stream_of(B.host, B.instance)
        log.streams[stream] = [fence_batch(3, A), record_batch()]
        log.first_offsets[stream] = 2
        assert take_over(log, C, gone={A, B}) == takeover.NotRecorded()
        assert len(log.streams[stream]) == 2

    def test_released_program_is_taken_from_a_live_home(self) -> None:
        log = FakeLog()
        released = turns.ReleaseRecord(root=ROOT, epoch=1)
        log.streams[STREAM] = [record_batch(started()), record_batch(released)]
        assert isinstance(take_over(log, B, gone=set()), takeover.Taken)
        log.streams[STREAM] = [record_batch(started(), released, turn(1, ""))]
        assert take_over(log, B, gone=set()) == takeover.HeldBy(home=A)


class TestRestoredFamily:
    """A family is what its records say, in their order."""

    @pytest.mark.parametrize(
        ("records", "next_call"),
        [
            ([started(), turn(1, "")], 2),
            ([started(), turn(1, ""), turn(1, "")], 2),
            ([started(), turn(1, "", epoch=2), turn(2, "", epoch=1)], 2),
            ([started(), turn(2, "x")], None),
            ([started(), turn(1, ""), turn(2, "other")], None),
            ([turn(2, "x"), started()], None),
        ],
    )
    def test_turns_continue_the_chain_or_nothing_goes_on(
        self, records: list[turns.Record], next_call: int | None
    ) -> None:
        family = programs.restore_family(ROOT, records, 2, 0.0)
        found = family.programs.get(ROOT)
        assert (found and found.next_call) == next_call

    def test_without_the_root_nothing_goes_on(self) -> None:
        child = attrs.evolve(
            started(), program=program_id.new_child("d0", ROOT), parent=ROOT
        )
        assert not programs.restore_family(ROOT, [child], 2, 0.0).programs

    @pytest.mark.parametrize(
        ("epoch", "in_doubt"), [(2, False), (3, True), (1, False)]
    )
    def test_release_ends_the_doubt_of_its_own_home_only(
        self, epoch: int, in_doubt: bool
    ) -> None:
        released = turns.ReleaseRecord(root=ROOT, epoch=1)
        family = programs.restore_family(ROOT, [started(), released], epoch, 0)
        quiet = 1 if family.released_epoch == epoch - 1 else epoch
        family.doubt_all_but(quiet)
        assert bool(family.in_doubt) is in_doubt


def take_over(
    log: FakeLog, own: program_id.Home, gone: set[program_id.Home]
) -> takeover.Takeover:
    async def main() -> takeover.Takeover:
        return await takeover.take_over(
            log, ROOT, A, own, lambda home: home in gone, may_fence=True
        )

    return trio.run(main)


def with_writer(
    log: FakeLog,
    use: Callable[[turn_log.TurnWriter], Awaitable[Any]],
    patience_ms: float = 10_000.0,
    buffer_bytes: int = 1_000_000,
) -> Any:
    async def main() -> Any:
        writer = turn_log.TurnWriter(
            log,
            STREAM,
            pace=commit_pace.CommitPace(1.0, random.Random(1)),
            patience_ms=patience_ms,
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
