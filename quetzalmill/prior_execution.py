"""Determines whether an earlier home may have started a non-idempotent call.

After a takeover the new home asks every sidecar that could have received the
call, and fences the old epoch there. The call may run only if each of them has
been running since before the call could be sent, still has a complete record
of the calls that it started, and did not start this one.
"""

import attrs
import trio

from quetzalmill import configuration
from quetzalmill import errors
from quetzalmill import executor_link
from quetzalmill import messages
from quetzalmill import objects
from quetzalmill import programs
from quetzalmill import routing

MAX_SIDECARS_ASKED = 64
"""Sidecars that are asked about one call."""


@attrs.frozen(kw_only=True)
class NotStarted:
    """No sidecar started the call, and the old home can no longer start it."""


@attrs.frozen(kw_only=True)
class StartedAt:
    """A sidecar has a record of starting the call.

    Attributes:
        target: An endpoint of that sidecar.
        instance: That sidecar's process.
    """

    target: routing.Target
    instance: str


@attrs.frozen(kw_only=True)
class Undetermined:
    """A sidecar could not rule out that it started the call.

    Attributes:
        reason: Which sidecar and why, in one sentence.
    """

    reason: str


Finding = NotStarted | StartedAt | Undetermined


async def investigate(
    tree: programs.ProgramTree,
    program: programs.Program,
    call: messages.Call,
    *,
    config: configuration.Configuration,
    router: routing.Router,
    link: executor_link.ExecutorLink,
) -> Finding:
    """Fences the old home wherever it may have sent the call; asks there.

    Returns what the replies show together.
    """
    since_offset = tree.unsettled_programs[program.record.program]
    targets = _targets(call, config, router, since_offset)
    if targets is None:
        return Undetermined(reason="the routing has changed too much since")
    request = messages.FenceRequest(
        root=tree.root,
        epoch=tree.epoch,
        program=call.program,
        call=call.number,
        since_offset=since_offset,
    )
    findings: list[Finding] = []

    async def ask(target: routing.Target) -> None:
        findings.append(
            await _query(target, request, since_offset, config, link)
        )

    async with trio.open_nursery() as nursery:
        for target in targets:
            nursery.start_soon(ask, target)
    return _combine(findings)


def _targets(
    call: messages.Call,
    config: configuration.Configuration,
    router: routing.Router,
    since_offset: int,
) -> list[routing.Target] | None:
    """Returns one endpoint for each host that may have got the call.

    These are the hosts whose endpoints may have matched since an offset. An
    endpoint that changed since then may have matched before, and any endpoint
    may have if the model or route itself changed. None if there are too many
    to ask.
    """
    former = config.former_hosts(since_offset)
    if former is None:
        return None
    kind = objects.ROUTE
    if call.kind is messages.CallKind.MODEL:
        kind = objects.MODEL
    published = config.get(kind, call.target)
    any_matched = published is None or published.revision > since_offset
    endpoints = router.matching(call.kind, call.target)
    for name, spec in config.specs(
        objects.ENDPOINT, objects.EndpointSpec
    ).items():
        is_new = config.revision(objects.ENDPOINT, name) > since_offset
        if any_matched or is_new:
            endpoints[name] = spec
    hosts = dict.fromkeys(former, "")
    hosts.update({spec.host: name for name, spec in endpoints.items()})
    if len(hosts) > MAX_SIDECARS_ASKED:
        return None
    return [
        routing.Target(endpoint=name, host=host) for host, name in hosts.items()
    ]


async def _query(
    target: routing.Target,
    request: messages.FenceRequest,
    since_offset: int,
    config: configuration.Configuration,
    link: executor_link.ExecutorLink,
) -> Finding:
    try:
        reply = await link.fence(target.host, request)
    except errors.ControlCallError as error:
        return Undetermined(reason=str(error))
    if reply.seen:
        return StartedAt(target=target, instance=reply.instance)
    process = config.get(objects.PROCESS, target.host)
    if process is None or process.spec.get("instance") != reply.instance:
        return Undetermined(reason=f"the process on {target.host} is not known")
    if process.revision > since_offset:
        return Undetermined(reason=f"{target.host} has restarted since")
    if not reply.complete:
        return Undetermined(reason=f"{target.host} has forgotten older calls")
    return NotStarted()


def _combine(findings: list[Finding]) -> Finding:
    for finding in findings:
        if isinstance(finding, StartedAt):
            return finding
    for finding in findings:
        if isinstance(finding, Undetermined):
            return finding
    return NotStarted()
