"""Takes a root program over from a home that is gone.

A takeover appends a fence to the stream of the home that is gone. The first
fence of an epoch in the stream's order wins; everyone reads the same order. The
new home then reads the program's records up to its own fence, so it has every
turn that the old home could ever report as durable.
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

MAX_HOMES = 64
"""Homes that one root program is followed through."""


@attrs.frozen(kw_only=True)
class Taken:
    """The program is this process's now.

    Attributes:
        records: Its records from all homes, in order.
        epoch: The epoch of this home.
    """

    records: list[turns.Record]
    epoch: int


@attrs.frozen(kw_only=True)
class HeldBy:
    """Another process that is alive holds the program."""

    home: program_id.Home


@attrs.frozen(kw_only=True)
class NotRecorded:
    """The log holds nothing about the program."""


Takeover = Taken | HeldBy | NotRecorded


async def take_over(
    port: log_port.LogPort,
    root: str,
    first_home: program_id.Home,
    own: program_id.Home,
    is_gone: Callable[[program_id.Home], bool],
    *,
    may_fence: bool,
) -> Takeover:
    """Takes a root program over, or finds who holds it.

    Args:
        port: The log.
        root: The root program.
        first_home: The home that the program's id names.
        own: This process.
        is_gone: Whether a home answers no more, as far as is known here.
        may_fence: Whether the program may be taken over; otherwise it is only
            found.

    Raises:
        errors.NotDoneError: The log could not be used; asking again is safe.
    """
    records: list[turns.Record] = []
    home = first_home
    epoch = 1
    for _ in range(MAX_HOMES):
        stream = turns.stream_of(home.host, home.instance)
        found = await turn_log.read_root(port, stream, root)
        fence = _first_fence(found.records, epoch)
        written = _written(found.records, epoch, fence)
        records.extend(written)
        if fence is not None:
            home = program_id.Home(host=fence.host, instance=fence.instance)
            epoch = fence.epoch
            continue
        if home == own:
            return Taken(records=records, epoch=epoch)
        if not (may_fence and (_is_released(written) or is_gone(home))):
            return HeldBy(home=home)
        if not records or (found.is_cut and not written):
            # An id that names a process which never existed must not make a
            # stream. What the log has forgotten may have been a fence.
            return NotRecorded()
        with contextlib.suppress(errors.OutcomeUnknownError):
            await _append_fence(port, stream, root, epoch + 1, own)
        del records[len(records) - len(written) :]
    raise errors.NotDoneError(f"program {root} has had too many homes")


def _first_fence(
    records: list[turns.Record], epoch: int
) -> turns.FenceRecord | None:
    for record in records:
        if isinstance(record, turns.FenceRecord) and record.epoch > epoch:
            return record
    return None


def _is_released(records: list[turns.Record]) -> bool:
    return bool(records) and isinstance(records[-1], turns.ReleaseRecord)


def _written(
    records: list[turns.Record],
    epoch: int,
    fence: turns.FenceRecord | None,
) -> list[turns.Record]:
    """Returns what a home wrote at one epoch before it was fenced.

    A home that lost a program and got it back has records of both epochs in
    its stream, and some may stand behind the fence that ended the first.
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
