"""The messages that the project's own processes exchange.

Control messages travel by ``control``; calls and answer frames travel as HTTP
bodies. The module holds data and the table of control methods only.
"""

import enum
from typing import Any

import attrs

from quetzalmill import change_log
from quetzalmill import configuration
from quetzalmill import control_method
from quetzalmill import objects


@attrs.frozen(kw_only=True)
class NumberedRecord:
    """A configuration record with its offset."""

    offset: int
    record: objects.ConfigRecord


@attrs.frozen(kw_only=True)
class EndpointLoad:
    """What a sidecar knows of the work at one of its endpoints.

    Attributes:
        endpoint: The endpoint's name.
        running: Requests under way.
        queued: Requests that wait for a slot.
        waiting_units: Service units of queued and running work, in tokens.
        units_per_s: Service units that the endpoint has lately done a second.
        up: Whether the endpoint answers.
    """

    endpoint: str
    running: int
    queued: int
    waiting_units: float
    units_per_s: float
    up: bool


@attrs.frozen(kw_only=True)
class Suspect:
    """A request that ran while an endpoint ended.

    Attributes:
        fingerprint: The fingerprint over team and content.
        team: The team that sent it.
        crashes: Endpoints that ended while they ran it.
        age_ms: How long ago the last crash was.
    """

    fingerprint: str
    team: str
    crashes: int
    age_ms: float


@attrs.frozen(kw_only=True)
class SidecarBeat:
    """A sidecar's regular message to an entry.

    Attributes:
        host: The sidecar's host.
        spec: The sending process.
        applied_offset: The configuration offset that it has applied.
        number: Counts this process's beats; loads of a beat that arrives
            after a later one are passed over.
        loads: The loads of its endpoints that changed since the last beat
            that the entry answered.
        processes_at: Where it stands in the entry's table of processes.
        loads_at: Where it stands in the entry's table of loads.
    """

    host: str
    spec: objects.ProcessSpec
    applied_offset: int
    number: int
    loads: list[EndpointLoad]
    processes_at: change_log.Position
    loads_at: change_log.Position


@attrs.frozen(kw_only=True)
class EntryBeat:
    """An entry's regular message to another entry.

    Attributes:
        host: The sending entry's host.
        spec: The sending process.
        applied_offset: The configuration offset that it has applied.
        processes_at: Where it stands in the other's table of processes.
        loads_at: Where it stands in the other's table of loads.
    """

    host: str
    spec: objects.ProcessSpec
    applied_offset: int
    processes_at: change_log.Position
    loads_at: change_log.Position


@attrs.frozen(kw_only=True)
class BeatReply:
    """An entry's answer to a beat.

    Attributes:
        host: The answering entry's host.
        spec: The answering process.
        applied_offset: The configuration offset that it has applied.
        freshness_ms: How long ago its state was known to be the log's end,
            None when that was never so.
        snapshot: The whole state, when single records do not reach back.
        records: The records that the sender lacks.
        processes: Changes of the table of sidecars that are alive: to a
            sidecar all of them, to an entry those that this one hears itself.
        lagging: Offsets of those that lag behind ``applied_offset``.
        loads: Changes of the table of their endpoints' loads.
        suspects: Requests suspected of ending endpoints.
    """

    host: str
    spec: objects.ProcessSpec
    applied_offset: int
    freshness_ms: float | None
    snapshot: configuration.Snapshot | None
    records: list[NumberedRecord]
    processes: change_log.Changes[objects.ProcessSpec]
    lagging: dict[str, int]
    loads: change_log.Changes[EndpointLoad]
    suspects: list[Suspect]


@attrs.frozen(kw_only=True)
class AdmitRequest:
    """Asks another entry to admit requests of a team from its own bucket."""

    team: str
    wanted: int


@attrs.frozen(kw_only=True)
class AdmitReply:
    """The answer to ``AdmitRequest``.

    Attributes:
        granted: Requests admitted; they count against the answering entry.
        retry_after_ms: When asking again can help; None when that cannot be
            told, since the entry holds no share or may not use it now.
    """

    granted: int
    retry_after_ms: float | None


@attrs.frozen(kw_only=True)
class FenceRequest:
    """Ends an old home's right to run calls of a program at a sidecar.

    Attributes:
        root: The root program.
        epoch: The new home's epoch; older ones are refused from now on.
        program: The program whose call is in doubt.
        call: The number of that call.
        since_offset: The configuration offset before which the call cannot
            have been started.
    """

    root: str
    epoch: int
    program: str
    call: int
    since_offset: int


@attrs.frozen(kw_only=True)
class FenceReply:
    """The answer to ``FenceRequest``.

    Attributes:
        instance: The answering process.
        seen: Whether the call was started there.
        complete: Whether the process remembers all that it started since the
            offset that the request names.
    """

    instance: str
    seen: bool
    complete: bool


@attrs.frozen(kw_only=True)
class LeaseRequest:
    """Renews or ends a home's leases on engine memory.

    Attributes:
        renewed: Sessions whose lease is renewed.
        ended: Sessions whose memory is to be freed now.
    """

    renewed: list[str]
    ended: list[str]


@attrs.frozen(kw_only=True)
class SuspectReport:
    """Tells an entry which requests ran while an endpoint ended."""

    suspects: list[Suspect]


@attrs.frozen(kw_only=True)
class Acknowledgement:
    """An empty answer."""

    accepted: bool = True


BEAT_SIDECAR = control_method.Method(
    name="BeatSidecar", request_type=SidecarBeat, reply_type=BeatReply
)
BEAT_ENTRY = control_method.Method(
    name="BeatEntry", request_type=EntryBeat, reply_type=BeatReply
)
ADMIT = control_method.Method(
    name="Admit", request_type=AdmitRequest, reply_type=AdmitReply
)
FENCE = control_method.Method(
    name="Fence", request_type=FenceRequest, reply_type=FenceReply
)
LEASE = control_method.Method(
    name="Lease", request_type=LeaseRequest, reply_type=Acknowledgement
)
SUSPECTS = control_method.Method(
    name="Suspects", request_type=SuspectReport, reply_type=Acknowledgement
)


class CallKind(enum.Enum):
    """What a call is made to."""

    MODEL = "model"
    SERVICE = "service"


@attrs.frozen(kw_only=True)
class Call:
    """One call of a program, as an entry hands it to the program's home.

    Attributes:
        program: The program; a single request has a program of its own.
        single: Whether the program consists of this call alone.
        number: The caller's number of the call, from 1.
        team: The team whose key came with the request; empty on open routes.
        key_id: The id of that key; empty on open routes.
        kind: Whether it goes to a model or a service.
        target: The model's or route's name.
        method: The HTTP method towards a service.
        path: The path and query towards a service.
        content_type: The content type of ``body``.
        body: The request body; for a model the usual JSON request.
        stream: Whether the caller wants a model's answer in pieces.
        idempotent: Whether the call may be run again.
        time_left_ms: How long the caller still waits.
        fingerprint: The fingerprint over team and content.
        suspect: Whether the request is known to have ended an endpoint.
        applied_offset: The configuration offset that the sender decided by.
        expected_chain: The chain hash that the caller holds; may be empty.
    """

    program: str
    single: bool
    number: int
    team: str
    key_id: str
    kind: CallKind
    target: str
    method: str
    path: str
    content_type: str
    body: bytes
    stream: bool
    idempotent: bool
    time_left_ms: float
    fingerprint: str
    suspect: bool
    applied_offset: int
    expected_chain: str = ""


@attrs.frozen(kw_only=True)
class Execution:
    """One attempt at a call, as a home hands it to an endpoint's sidecar.

    Attributes:
        call: The call; for a model its body holds the whole prompt.
        root: The root program, by which epochs are fenced.
        epoch: The home's epoch.
        attempt: The number of the attempt, from 1.
        endpoint: The endpoint that runs it.
        attained_units: Service units that the program has had so far.
        prompt_tokens: An estimate of the prompt's length.
        answer_tokens: The most tokens that the answer may have.
        instance: The sidecar process that may run it; any when empty.
        decided_offset: The configuration offset that the home decided by.
        alone: Whether it must run alone, as an earlier attempt may have ended
            an endpoint.
    """

    call: Call
    root: str
    epoch: int
    attempt: int
    endpoint: str
    attained_units: float
    prompt_tokens: int
    answer_tokens: int
    instance: str = ""
    decided_offset: int = 0
    alone: bool = False


@attrs.frozen(kw_only=True)
class ProgramStart:
    """Asks a home to start a program.

    Attributes:
        program: The new program's id; empty for a sub-program, whose id the
            home chooses.
        parent: The parent program; empty for a root.
        team: The team that it belongs to.
        calls: The budget's calls, None for no limit.
        tokens: The budget's tokens, None for no limit.
        time_ms: The budget's time under way, None for no limit.
        deadline_ms: Time until the program's deadline, None for none.
        applied_offset: The configuration offset that the sender decided by.
    """

    program: str
    parent: str
    team: str
    calls: int | None
    tokens: int | None
    time_ms: float | None
    deadline_ms: float | None
    applied_offset: int


@attrs.frozen(kw_only=True)
class ProgramView:
    """What callers are told of a program.

    Attributes:
        program: Its id.
        parent: Its parent; empty for a root.
        team: Its team.
        next_call: The number of the call that is expected.
        history: The chain hash over its turns.
        durable: Whether the log has all of its turns.
        ended: Whether it has ended.
        spent: Calls, tokens and milliseconds used or reserved.
    """

    program: str
    parent: str
    team: str
    next_call: int
    history: str
    durable: bool
    ended: bool
    spent: dict[str, float]


class FrameKind(enum.Enum):
    """The parts of an answer."""

    HEAD = "head"
    DATA = "data"
    END = "end"
    FAILED = "failed"
    MOVED = "moved"


class Ran(enum.Enum):
    """Whether a request was run."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class Frame:
    """One part of an answer, marked with what it answers.

    Attributes:
        program: The program that the frame belongs to.
        call: The call that it answers.
        attempt: The attempt that made it; 0 from a home.
        kind: Which part it is.
        status: The HTTP status, in head and failed frames.
        content_type: The content type, in head frames.
        data: Answer bytes; for a model one chunk of the usual stream.
        code: A short error code, in failed frames.
        message: One sentence, in failed frames.
        ran: Whether the request ran, in failed frames.
        retry_after_ms: When to come back, in failed frames.
        details: Further fields of end, failed and moved frames.
        position: Its place in the answer, from 0.
    """

    program: str
    call: int
    attempt: int
    kind: FrameKind
    status: int = 200
    content_type: str = ""
    data: bytes = b""
    code: str = ""
    message: str = ""
    ran: Ran = Ran.NO
    retry_after_ms: float | None = None
    details: dict[str, Any] = attrs.field(factory=dict)
    position: int = 0
