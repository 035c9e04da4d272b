"""The records that a program's home keeps in the log.

Each home process appends to a stream of its own. A program's turns are chained
by a hash, so a missing or a foreign turn is detected. A fence in the stream
ends the home's ownership of a program: what the home appends after it has no
effect. The module holds the record types, their encoding and the chain hash;
it performs no I/O.
"""

import hashlib
from typing import Any

import attrs

from quetzalmill import codec
from quetzalmill import errors

EMPTY_CHAIN = ""
"""The chain hash of a program without turns."""


@attrs.frozen(kw_only=True)
class BudgetLimits:
    """What a program may spend; None sets no limit.

    Attributes:
        calls: Calls of the program and its sub-programs.
        tokens: Generated tokens.
        time_ms: Milliseconds during which at least one call is running.
    """

    calls: int | None = None
    tokens: int | None = None
    time_ms: float | None = None


@attrs.frozen(kw_only=True)
class ProgramRecord:
    """A program was started.

    Attributes:
        program: Its id.
        root: The root program; the program itself if it has no parent.
        parent: The parent program; empty for a root.
        team: The team that it belongs to.
        limits: Its budget.
        deadline_ms: Time from its start to its deadline, None for no deadline.
        epoch: The home's epoch.
        applied_offset: The configuration offset that the home had applied.
    """

    program: str
    root: str
    parent: str
    team: str
    limits: BudgetLimits
    deadline_ms: float | None
    epoch: int
    applied_offset: int


@attrs.frozen(kw_only=True)
class TurnRecord:
    """A call of a program ended with an answer.

    Attributes:
        program: The program.
        root: Its root program.
        epoch: The home's epoch.
        call: The call's number.
        digest: Digest of the request, to recognise a retry of the same call.
        previous_chain: The chain hash before the turn.
        chain: The chain hash that includes the turn.
        messages: The new messages of a model call.
        answer: The assistant's message of a model call, None otherwise.
        status: The HTTP status of the answer.
        content_type: The answer's content type.
        body: The complete answer body; a streamed answer is kept unstreamed.
        tokens: Generated tokens that were charged.
        time_ms: How long the call ran.
        ran: Whether the call ran: ``yes`` or ``unknown``.
        applied_offset: The configuration offset that the home had applied; an
            older one while an earlier home may have run later calls.
        time_totals_ms: The time during which calls were running so far, of
            the program first and then of each of its ancestors.
        endpoint: The engine that ran a model call; empty for a service.
        cached_tokens: Tokens of the history that the engine may now cache.
    """

    program: str
    root: str
    epoch: int
    call: int
    digest: str
    previous_chain: str
    chain: str
    messages: list[Any]
    answer: dict[str, Any] | None
    status: int
    content_type: str
    body: str
    tokens: int
    time_ms: float
    ran: str
    applied_offset: int
    time_totals_ms: list[float] = attrs.field(factory=list)
    endpoint: str = ""
    cached_tokens: int = 0


@attrs.frozen(kw_only=True)
class ChargeRecord:
    """A call used a part of the program's budget but produced no turn.

    Attributes:
        program: The program.
        root: Its root program.
        epoch: The home's epoch.
        calls: Calls that are charged.
        tokens: Generated tokens that are charged.
        time_totals_ms: As in ``TurnRecord``.
    """

    program: str
    root: str
    epoch: int
    calls: int
    tokens: int
    time_totals_ms: list[float]


@attrs.frozen(kw_only=True)
class ReleaseRecord:
    """A home releases a root program and has no call of it running.

    Attributes:
        root: The root program.
        epoch: The home's epoch.
        doubts: The unsettled programs: an earlier home may have started any
            of their next calls.
    """

    root: str
    epoch: int
    doubts: list[str] = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class EndRecord:
    """A program ended; its id is never reused."""

    program: str
    root: str
    epoch: int


@attrs.frozen(kw_only=True)
class FenceRecord:
    """Another process takes over a root program and all its descendants.

    Attributes:
        record_id: Unique, to find the record after a lost reply.
        root: The root program.
        epoch: The new home's epoch.
        host: The new home's host.
        instance: The new home's instance.
    """

    record_id: str
    root: str
    epoch: int
    host: str
    instance: str


Record = (
    ProgramRecord
    | TurnRecord
    | ChargeRecord
    | ReleaseRecord
    | EndRecord
    | FenceRecord
)

_TYPES: dict[str, type[Any]] = {
    "program": ProgramRecord,
    "turn": TurnRecord,
    "charge": ChargeRecord,
    "release": ReleaseRecord,
    "end": EndRecord,
    "fence": FenceRecord,
}
_NAMES = {record_type: name for name, record_type in _TYPES.items()}


def encode(record: Record) -> dict[str, Any]:
    """Returns a record in the plain form that the log stores."""
    return {"kind": _NAMES[type(record)], "body": codec.to_plain(record)}


def decode(data: Any) -> Record:
    """Reads a record back from its plain form.

    Raises:
        errors.CodecError: The data does not encode a record of this module.
    """
    if not isinstance(data, dict) or data.get("kind") not in _TYPES:
        raise errors.CodecError("the data is not a program record")
    record: Record = codec.from_plain(data.get("body"), _TYPES[data["kind"]])
    return record


def chain_hash(previous_chain: str, digest: str, body: str) -> str:
    """Returns the chain hash after a turn."""
    text = "\0".join((previous_chain, digest, body))
    return hashlib.sha256(text.encode()).hexdigest()[:32]


def stream_of(host: str, instance: str) -> str:
    """Returns the name of the stream that a home process appends to."""
    return f"turns.{host}.{instance}"
