"""Appends configuration records so that each takes effect at most once.

The log may lose the reply to an append that took effect. Every record has a
unique id; after a lost reply the stream is searched for it before the record
is appended again, and the fold ignores duplicates.
"""

import secrets
from typing import Any

import trio

from quetzalmill import codec
from quetzalmill import errors
from quetzalmill import log_port
from quetzalmill import objects

CONFIG_STREAM = "config"
"""The log stream of configuration records."""

MAX_APPEND_ATTEMPTS = 20
"""Maximum attempts to append a record while the log throttles appends."""

_THROTTLED_WAIT_MS = 50.0

SNAPSHOT_STREAM = "config-snapshots"
"""The log stream of configuration snapshots."""


def new_record(
    author: str, changes: list[objects.ObjectChange]
) -> objects.ConfigRecord:
    """Returns a record with a new unique id."""
    return objects.ConfigRecord(
        record_id=secrets.token_hex(12), author=author, changes=changes
    )


def process_change(
    host: str, spec: objects.ProcessSpec
) -> objects.ObjectChange:
    """Returns the change that announces a process."""
    return objects.ObjectChange(
        kind=objects.PROCESS,
        name=host,
        base_revision=objects.ANY_REVISION,
        spec=codec.to_plain(spec),
    )


async def append_record(
    port: log_port.LogPort, record: objects.ConfigRecord
) -> None:
    """Appends a configuration record once.

    Raises:
        errors.NotExecutedError: It was not appended.
        errors.OutcomeUnknownError: It may have been appended; appending the
            same record again is harmless.
    """
    data: Any = codec.to_plain(record)
    for _ in range(MAX_APPEND_ATTEMPTS - 1):
        try:
            await port.append(CONFIG_STREAM, [data])
            return
        except errors.ThrottledError:
            await trio.sleep(_THROTTLED_WAIT_MS / 1000.0)
    await port.append(CONFIG_STREAM, [data])


def decode_record(data: Any) -> objects.ConfigRecord | None:
    """Decodes a record; returns None if it is malformed."""
    try:
        return codec.from_plain(data, objects.ConfigRecord)
    except errors.CodecError:
        return None
