"""Takes a root program over from a home that is considered dead.

A takeover appends a fence to the stream of the old home. The first fence of an
epoch in the stream's order wins; every process reads the same order. The new
home then reads the program's records up to its own fence, so it has every turn
that the old home could ever report as durable.
"""

from collections.abc import Callable
import contextlib
import secrets

import attrs

from quetzalmill import codec
from quetzalmill import errors
from quetzalmill import log_port
from quetzalmill import program_id
from quetzalmill import turn_log
from quetzalmill import turns

MAX_HOMES_FOLLOWED = 64
"""Homes that are followed to find the current one of a root program."""


@attrs.frozen(kw_only=True)
class Taken:
    """This process now owns the program.

    Attributes:
        records: Its records from all homes, in order.
        epoch: The epoch of this home.
    """

    records: list[turns.Record]
    epoch: int


@attrs.frozen(kw_only=True)
class HeldBy:
    """Another process that may be alive owns the program."""

    home: program_id.Home


@attrs.frozen(kw_only=True)
class NotRecorded:
    """The log has no usable record of the program."""


Takeover = Taken | HeldBy | NotRecorded


async def take_over(
    port: log_port.LogPort,
    root: str,
    first_home: program_id.Home,
    own: program_id.Home,
    is_considered_dead: Callable[[program_id.Home], bool],
    *,
    may_fence: bool,
) -> Takeover:
    """Takes a root program over, or finds its current home.

    Args:
        port: The log.
        root: The root program.
        first_home: The home that the program's id names.
        own: This process.
        is_considered_dead: Whether a home is dead in the local view.
        may_fence: Whether the program may be taken over; otherwise its home
            is only looked up.

    Raises:
        errors.NotExecutedError: The log could not be read or appended to, or
            the program has had too many homes; retrying is safe.
    """
    records: list[turns.Record] = []
    home = first_home
    epoch = 1
    for _ in range(MAX_HOMES_FOLLOWED):
        stream = turns.stream_of(home.host, home.instance)
        found = await turn_log.read_root(port, stream, root)
        fence = _first_fence(found.records, epoch)
        written = _records_before_fence(found.records, epoch, fence)
        records.extend(written)
        if fence is not None:
            home = program_id.Home(host=fence.host, instance=fence.instance)
            epoch = fence.epoch
            continue
        if home == own:
            return Taken(records=records, epoch=epoch)
        if not (
            may_fence and (_is_released(written) or is_considered_dead(home))
        ):
            return HeldBy(home=home)
        if not records or (found.is_truncated and not written):
            # An id that names a process which never existed must not create
            # a stream. A record that the log no longer keeps may have been a
            # fence.
            return NotRecorded()
        with contextlib.suppress(errors.OutcomeUnknownError):
            await _append_fence(port, stream, root, epoch + 1, own)
        del records[len(records) - len(written) :]
    raise errors.NotExecutedError(f"program {root} has had too many homes")


def _first_fence(
    records: list[turns.Record], epoch: int
) -> turns.FenceRecord | None:
    for record in records:
        if isinstance(record, turns.FenceRecord) and record.epoch > epoch:
            return record
    return None


def _is_released(records: list[turns.Record]) -> bool:
    return bool(records) and isinstance(records[-1], turns.ReleaseRecord)


def _records_before_fence(
    records: list[turns.Record],
    epoch: int,
    fence: turns.FenceRecord | None,
) -> list[turns.Record]:
    """Returns the records that a home wrote in an epoch before its fence.

    A home that lost a program and took it over again has records of both
    epochs in its stream, and some may follow the fence that ended the first.
    """
    end = len(records) if fence is None else records.index(fence)
    return [
        record
        for record in records[:end]
        if record.epoch == epoch and not isinstance(record, turns.FenceRecord)
    ]


async def _append_fence(
    port: log_port.LogPort,
    stream: str,
    root: str,
    epoch: int,
    own: program_id.Home,
) -> None:
    fence = turns.FenceRecord(
        record_id=secrets.token_hex(8),
        root=root,
        epoch=epoch,
        host=own.host,
        instance=own.instance,
    )
    batch = turn_log.Batch(
        batch_id=secrets.token_hex(8), records=[turns.encode(fence)]
    )
    await port.append(stream, [codec.to_plain(batch)])
