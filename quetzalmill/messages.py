"""The messages that the project's own processes exchange.

Control messages are sent by ``control``; calls and answer frames are HTTP
bodies. The module defines only data types and the control methods.
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
    """The load of an endpoint as its sidecar measures it.

    Attributes:
        endpoint: The endpoint's name.
        running: Running requests.
        queued: Requests that wait for a slot.
        waiting_units: Service units of queued and running work, in tokens.
        units_per_s: The endpoint's recent rate, in service units a second.
        up: Whether the endpoint responds.
    """

    endpoint: str
    running: int
    queued: int
    waiting_units: float
    units_per_s: float
    up: bool


@attrs.frozen(kw_only=True)
class Suspect:
    """A request that was running when an endpoint crashed.

    Attributes:
        fingerprint: The fingerprint of its team and content.
        team: The team that sent it.
        crashes: Endpoints that crashed while running it.
        age_ms: The time since the last crash.
    """

    fingerprint: str
    team: str
    crashes: int
    age_ms: float


@attrs.frozen(kw_only=True)
class SidecarHeartbeat:
    """A sidecar's heartbeat to an entry.

    Attributes:
        host: The sidecar's host.
        spec: The sending process.
        applied_offset: The configuration offset that it has applied.
        number: Sequence number of this process's heartbeats; the loads of one
            that arrives after a later one are ignored.
        loads: The loads of its endpoints that changed since the last
            heartbeat that the entry answered.
        processes_at: How far it has read the entry's table of processes.
        loads_at: How far it has read the entry's table of loads.
    """

    host: str
    spec: objects.ProcessSpec
    applied_offset: int
    number: int
    loads: list[EndpointLoad]
    processes_at: change_log.Position
    loads_at: change_log.Position


@attrs.frozen(kw_only=True)
class EntryHeartbeat:
    """An entry's heartbeat to another entry.

    Attributes:
        host: The sending entry's host.
        spec: The sending process.
        applied_offset: The configuration offset that it has applied.
        processes_at: How far it has read the other's table of processes.
        loads_at: How far it has read the other's table of loads.
    """

    host: str
    spec: objects.ProcessSpec
    applied_offset: int
    processes_at: change_log.Position
    loads_at: change_log.Position


@attrs.frozen(kw_only=True)
class HeartbeatReply:
    """An entry's reply to a heartbeat.

    Attributes:
        host: The replying entry's host.
        spec: The replying process.
        applied_offset: The configuration offset that it has applied.
        freshness_ms: The time since its configuration was last known to match
            the end of the log, None if it never was.
        snapshot: The full configuration, if the missing records are no longer
            available one by one.
        records: The records that the sender lacks.
        processes: Changes of the table of live sidecars: to a sidecar all of
            them, to an entry those whose heartbeats this entry receives.
        lagging: Offsets of the sidecars that lag behind ``applied_offset``.
        loads: Changes of the table of the sidecars' endpoint loads.
        suspects: Requests suspected of crashing endpoints.
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
    """Asks another entry to admit requests of a team from its token bucket."""

    team: str
    wanted: int


@attrs.frozen(kw_only=True)
class AdmitReply:
    """The reply to ``AdmitRequest``.

    Attributes:
        granted: Requests admitted; they count against the replying entry.
        retry_after_ms: When a retry can help; None if that is unknown since
            the entry has no share of the rate or may not use it now.
    """

    granted: int
    retry_after_ms: float | None


@attrs.frozen(kw_only=True)
class FenceRequest:
    """Fences an old home: a sidecar refuses its executions from now on.

    Attributes:
        root: The root program.
        epoch: The new home's epoch; older ones are refused from now on.
        program: The program of the unsettled call.
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
    """The reply to ``FenceRequest``.

    Attributes:
        instance: The replying process.
        seen: Whether the call was started there.
        complete: Whether the process still has a record of every call that
            it started since the offset in the request.
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
    """Reports to an entry which requests were running at a crash."""

    suspects: list[Suspect]


@attrs.frozen(kw_only=True)
class Acknowledgement:
    """An empty reply."""

    accepted: bool = True


SIDECAR_HEARTBEAT = control_method.Method(
    name="BeatSidecar", request_type=SidecarHeartbeat, reply_type=HeartbeatReply
)
ENTRY_HEARTBEAT = control_method.Method(
    name="BeatEntry", request_type=EntryHeartbeat, reply_type=HeartbeatReply
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
    """The kind of target of a call."""

    MODEL = "model"
    SERVICE = "service"


@attrs.frozen(kw_only=True)
class Call:
    """One call of a program, as an entry forwards it to the program's home.

    Attributes:
        program: The program; a single request has a program of its own.
        single: Whether the program consists of this call alone.
        number: The caller's number of the call, from 1.
        team: The team whose key came with the request; empty on open routes.
        key_id: The id of that key; empty on open routes.
        kind: Whether it goes to a model or a service.
        target: The model's or route's name.
        method: The HTTP method of a service call.
        path: The path and query of a service call.
        content_type: The content type of ``body``.
        body: The request body; for a model a chat completion request.
        stream: Whether the caller wants a model's answer streamed.
        idempotent: Whether the call may be executed more than once.
        time_left_ms: The time until the caller's deadline.
        fingerprint: The fingerprint of team and content.
        suspect: Whether the request is suspected of crashing endpoints.
        applied_offset: The configuration offset that the sender used.
        expected_chain: The chain hash that the caller expects; may be empty.
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
    """One attempt at a call, as a home sends it to an endpoint's sidecar.

    Attributes:
        call: The call; for a model its body contains the full prompt.
        root: The root program, by which epochs are fenced.
        epoch: The home's epoch.
        attempt: The number of the attempt, from 1.
        endpoint: The endpoint that runs it.
        attained_units: Service units that the program has received so far.
        prompt_tokens: An estimate of the prompt's length.
        answer_tokens: The most tokens that the answer may have.
        instance: The sidecar process that may run it; any if empty.
        decided_offset: The configuration offset that the home used.
        alone: Whether it must run alone, as an earlier attempt may have
            crashed an endpoint.
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
        time_ms: The budget's time with running calls, None for no limit.
        deadline_ms: Time until the program's deadline, None for none.
        applied_offset: The configuration offset that the sender used.
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
    """The state of a program that callers may see.

    Attributes:
        program: Its id.
        parent: Its parent; empty for a root.
        team: Its team.
        next_call: The number of the next call.
        history: The chain hash over its turns.
        durable: Whether all of its turns are in the log.
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
    """The kind of one part of an answer."""

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
    """One part of an answer, labelled with its program, call and attempt.

    Attributes:
        program: The program that the frame belongs to.
        call: The call that it answers.
        attempt: The attempt that produced it; 0 from a home.
        kind: Which part it is.
        status: The HTTP status, in head and failed frames.
        content_type: The content type, in head frames.
        data: Answer bytes; for a model one chat completion chunk.
        code: A short error code, in failed frames.
        message: One sentence, in failed frames.
        ran: Whether the request ran, in failed frames.
        retry_after_ms: When to retry, in failed frames.
        details: Further fields of end, failed and moved frames.
        position: Its index among the answer's frames, from 0.
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
