"""Checks the guarantees of the gateways against the record of a run."""

from collections.abc import Iterable
import itertools
import re

import attrs

from quetzalmill_emulator import platform_endpoint
from quetzalmill_load import platform_cluster
from quetzalmill_soak import record as record_module

NOT_RUN = frozenset({402, 408, 421, 429, 503})
"""Statuses that guarantee that a request has not run and never will."""

TURN_UNKNOWN = frozenset({404, 410})
"""Statuses that report an unknown turn."""

EVENTS = 4
"""The number of events in each engine's stream."""

_EVENT_ENDS = (b"\n\n", b"\r\n\r\n")

APPLY_S = 2.0
"""The users' bound on the time until a desired state is applied."""

STRETCH_S = 5.0
"""The users' bound on the time that an unstable store adds to ``APPLY_S``."""

SETTLE_S = 3.0
"""The users' time without a fault after which the bounds hold again."""

DRAIN_S = 2.0
"""The users' time after which a draining endpoint gets no new requests."""

LATE_S = 0.5
"""The users' bound on how late an answer may be after its deadline."""

STANDS_STILL = frozenset(
    {"KillGateway", "KillAll", "StopGateway", "PauseGateway"}
)
"""Faults that may make a gateway lose a drain notice."""

EVACUATE_S = 5.0
"""The users' bound on the time until an evacuated domain gets no requests."""

HIDES_ORDERS = STANDS_STILL | {"StoreDown", "CutLink", "DelayLink"}
"""Faults during which a gateway may not learn of an order."""

RATE_WINDOW_S = 5.0
RATE_OVER = 0.1
RATE_SLACK = 20
"""The users' bounds on how far a team may exceed its rate in a window."""

COLD_S = 3.0
"""How long an endpoint is cold after it has started again."""

COLD_PER_S = 2.0
COLD_OVER = 1.5
COLD_SLACK = 2
"""The rate of a cold endpoint and how far it may be exceeded. Rate and slack
are lower than the users', as the soak's callers send few requests: without
shares 7 and 13 a second arrived in two runs of seed 6."""

Runs = dict[str, list[platform_endpoint.Run]]
"""The runs of each request, by request id."""

Signs = dict[tuple[int, str, int], list[float]]
"""The times of forwarded drain notices.

The key is the gateway's index, the endpoint's id and its start time.
"""


@attrs.frozen(kw_only=True)
class Rate:
    """A team's rate and burst."""

    per_s: float
    burst: float


def judge(
    record: record_module.Record,
    runs: Iterable[platform_endpoint.Run],
    budgets: dict[str, tuple[int, int]],
    rates: dict[str, Rate],
    refused: Iterable[platform_endpoint.Run] = (),
) -> list[str]:
    """Returns a line for each violated guarantee.

    Args:
        record: The record of the run.
        runs: All requests that endpoints ran.
        budgets: The token budget of each program and the maximum tokens of
            one turn, by program id.
        rates: The rate of each rate-limited team.
        refused: All requests that endpoints refused.
    """
    runs = list(runs)
    arrivals: Runs = {}
    for run in [*runs, *refused]:
        arrivals.setdefault(run.request_id, []).append(run)
    notices = _drain_notices(record, arrivals)
    by_id: Runs = {}
    for run in runs:
        by_id.setdefault(run.request_id, []).append(run)
    sent = {attempt.request_id: attempt for attempt in record.attempts}
    broken = [
        f"a run of a request that nobody sent: {request_id}"
        for request_id in by_id
        if request_id not in sent
    ]
    for attempt in record.attempts:
        ran = by_id.get(attempt.request_id, [])
        for promise in (
            _at_most_once,
            _not_run,
            _own_answer,
            _forwarded_request,
        ):
            if problem := promise(attempt, ran):
                broken.append(f"{problem}: {attempt} ran {ran}")
        for rule in (
            _known_turn,
            _cut_without_fault,
            _answered_in_time,
            _withdrawn,
            _drained,
        ):
            if problem := rule(attempt, ran, record):
                broken.append(f"{problem}: {attempt} ran {ran}")
        arrived = arrivals.get(attempt.request_id, [])
        if problem := _sent_after_notice(attempt, arrived, record, notices):
            broken.append(f"{problem}: {attempt} reached {arrived}")
        if problem := _evacuated(attempt, arrived, record):
            broken.append(f"{problem}: {attempt} reached {arrived}")
    broken += _budgets(record, budgets)
    for team, rate in rates.items():
        broken += _rate(team, rate, by_id)
    return broken


def judge_cold(
    endpoints: Iterable[platform_endpoint.PlatformEndpoint],
) -> list[str]:
    """Returns a line for each cold endpoint that received too much."""
    bound = COLD_PER_S * COLD_OVER + COLD_SLACK
    return [
        f"{most} requests in a second at the cold {endpoint.endpoint_id}"
        for endpoint in endpoints
        if (most := endpoint.most_cold_arrivals()) > bound
    ]


def outputs(answer: bytes) -> tuple[bytes, ...]:
    """Returns the data of the events of a stream."""
    return tuple(
        line[len(b"data: ") :]
        for line in answer.split(b"\n")
        if line.startswith(b"data: ")
    )


def _at_most_once(
    attempt: record_module.Attempt, ran: list[platform_endpoint.Run]
) -> str:
    if attempt.kind != "lookup" and len(ran) > 1:
        return "ran more than once"
    return ""


def _not_run(
    attempt: record_module.Attempt, ran: list[platform_endpoint.Run]
) -> str:
    # A lookup may run at one endpoint and be refused by another.
    if attempt.kind != "lookup" and attempt.status in NOT_RUN and ran:
        return "refused as not run, but ran"
    return ""


def _own_answer(
    attempt: record_module.Attempt, ran: list[platform_endpoint.Run]
) -> str:
    if attempt.status != 200:
        return ""
    signed = attempt.headers.get("response-signature", "")
    if signed not in {f"signed-{run.endpoint_id}" for run in ran}:
        return "an answer that is not of an endpoint that ran it"
    if attempt.kind != "turn":
        whole = b"done by " + signed.removeprefix("signed-").encode()
        return "" if attempt.answer == whole else "an answer that is not whole"
    numbers = re.findall(rb"^id: (\d+)$", attempt.answer, re.MULTILINE)
    if [int(number) for number in numbers] != list(range(1, len(numbers) + 1)):
        return "events are missing or stand twice"
    if not attempt.answer.endswith(_EVENT_ENDS):
        return "a stream that ends inside an event and looks complete"
    own = attempt.request_id.encode()
    if len(numbers) != EVENTS or not all(
        data.startswith(own) for data in outputs(attempt.answer)
    ):
        return "a stream that looks complete and is not its own"
    return ""


def _forwarded_request(
    attempt: record_module.Attempt, ran: list[platform_endpoint.Run]
) -> str:
    if any(run.body != attempt.body for run in ran):
        return "ran with another body"
    if any(run.team != attempt.team for run in ran):
        return "ran for another team"
    if any("authorization" in run.headers for run in ran):
        return "an endpoint saw the key"
    return ""


def _known_turn(
    attempt: record_module.Attempt,
    ran: list[platform_endpoint.Run],
    record: record_module.Record,
) -> str:
    del ran, record
    if attempt.continues and attempt.status in TURN_UNKNOWN:
        return "a turn that ended whole is unknown"
    return ""


def _cut_without_fault(
    attempt: record_module.Attempt,
    ran: list[platform_endpoint.Run],
    record: record_module.Record,
) -> str:
    """A planned stop alone must not cut off a request that was forwarded."""
    if attempt.status is not None or not ran:
        return ""
    if record.disturbed(
        attempt.gateway,
        attempt.sent_s - SETTLE_S,
        attempt.ended_s,
        besides="StopGateway",
    ):
        return ""
    return "cut without any fault but a planned stop"


def _answered_in_time(
    attempt: record_module.Attempt,
    ran: list[platform_endpoint.Run],
    record: record_module.Record,
) -> str:
    """Whatever endpoints send, callers get an answer within their deadline."""
    del ran
    ended_s = attempt.ended_s if attempt.answered_s is None else 0.0
    if ended_s < attempt.sent_s + attempt.wait_s + LATE_S:
        return ""
    if record.disturbed(
        attempt.gateway,
        attempt.sent_s - SETTLE_S,
        attempt.ended_s,
        only=STANDS_STILL,
    ):
        return ""
    return "not answered in time"


def _withdrawn(
    attempt: record_module.Attempt,
    ran: list[platform_endpoint.Run],
    record: record_module.Record,
) -> str:
    at_s = record.withdrawn.get(attempt.key)
    if at_s is None or not ran or attempt.sent_s < at_s + APPLY_S:
        return ""
    disturbed = record.disturbed(
        attempt.gateway, attempt.sent_s - SETTLE_S, attempt.ended_s
    )
    if disturbed and attempt.sent_s < at_s + APPLY_S + STRETCH_S + SETTLE_S:
        return ""
    return "ran with a key that was withdrawn" if not disturbed else ""


def _drained(
    attempt: record_module.Attempt,
    ran: list[platform_endpoint.Run],
    record: record_module.Record,
) -> str:
    for run in ran:
        for left_s, back_s in record.left.get(run.endpoint_id, []):
            late = attempt.sent_s > left_s + DRAIN_S and (
                run.started_s < back_s
            )
            if late and not record.disturbed(
                attempt.gateway, left_s - SETTLE_S, run.started_s
            ):
                return f"ran at an endpoint that left at {left_s:.2f}"
    return ""


def _drain_notices(record: record_module.Record, arrivals: Runs) -> Signs:
    notices: Signs = {}
    for attempt in record.attempts:
        signature = attempt.headers.get("response-signature")
        for run in arrivals.get(attempt.request_id, []):
            was_forwarded = signature == f"signed-{run.endpoint_id}"
            if run.signed and was_forwarded and attempt.answered_s is not None:
                notices.setdefault(_notice_key(attempt, run), []).append(
                    attempt.answered_s
                )
    return notices


def _notice_key(
    attempt: record_module.Attempt, run: platform_endpoint.Run
) -> tuple[int, str, int]:
    return attempt.gateway, run.endpoint_id, run.started_unix_ms


def _sent_after_notice(
    attempt: record_module.Attempt,
    arrived: list[platform_endpoint.Run],
    record: record_module.Record,
    notices: Signs,
) -> str:
    """Checks drain notices in responses.

    Unlike one in a registry entry, it binds a gateway that received it even
    if the store is unavailable.
    """
    for run in arrived:
        for notice_s in notices.get(_notice_key(attempt, run), []):
            if attempt.sent_s > notice_s + DRAIN_S and not record.disturbed(
                attempt.gateway, notice_s, run.started_s, only=STANDS_STILL
            ):
                return (
                    f"reached an endpoint that left by answer at {notice_s:.2f}"
                )
    return ""


def _evacuated(
    attempt: record_module.Attempt,
    arrived: list[platform_endpoint.Run],
    record: record_module.Record,
) -> str:
    for run in arrived:
        domain = record.domains.get(run.endpoint_id, "")
        for from_s, to_s in record.evacuated.get(domain, []):
            late = from_s + EVACUATE_S < run.started_s < to_s
            if late and not record.disturbed(
                attempt.gateway,
                run.started_s - SETTLE_S,
                run.started_s,
                only=HIDES_ORDERS,
            ):
                return f"reached a domain evacuated at {from_s:.2f}"
    return ""


def _budgets(
    record: record_module.Record, budgets: dict[str, tuple[int, int]]
) -> list[str]:
    broken = []
    for program_id, (budget, max_turn_tokens) in budgets.items():
        events = sum(
            len(outputs(attempt.answer))
            for attempt in record.attempts
            if attempt.kind == "turn" and attempt.program_id == program_id
        )
        tokens = events * platform_cluster.EVENT_TOKENS
        if tokens > budget + max_turn_tokens:
            broken.append(
                f"program {program_id} got {tokens} tokens of {budget}"
            )
    return broken


def _rate(team: str, rate: Rate, by_id: Runs) -> list[str]:
    times_s = sorted(
        run.started_s
        for run in itertools.chain.from_iterable(by_id.values())
        if run.team == team
    )
    allowed = (rate.per_s * RATE_WINDOW_S + rate.burst) * (1.0 + RATE_OVER)
    first = 0
    for last, at_s in enumerate(times_s):
        while times_s[first] < at_s - RATE_WINDOW_S:
            first += 1
        if last - first + 1 > allowed + RATE_SLACK:
            return [
                f"team {team} had {last - first + 1} runs within "
                f"{RATE_WINDOW_S:.0f} s of {at_s:.2f}, not {allowed:.0f}"
            ]
    return []
