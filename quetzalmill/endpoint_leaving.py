"""Tracks which endpoint instances have announced that they are draining.

An instance is one process run of an endpoint. It announces its drain in its
registry entry or in a response, whichever arrives first. Updates may arrive out
of order: an entry may be read late, read again, or lapse with the store and
reappear. A drain notice therefore holds for its instance whatever is received
about that instance later. Only another instance with the same endpoint id gets
requests again.
"""

import enum
from typing import Protocol

import attrs

MAX_EXIT_MS = 20_000.0
"""How long after its last drain notice an instance may still run. Endpoints
exit a few seconds after the drain time that they promise to serve. After this
time, an entry that cannot be distinguished from the draining instance belongs
to another one."""

LAST_RESORT_FRACTION = 0.5
"""Fraction of the promised drain time in which a draining endpoint may still be
used if no other is left. The rest covers the delay of its notice and the time
that a request takes to reach it."""

MAX_NOTICES = 4_096
"""Maximum number of drain notices kept, the newest ones; many times the number
of endpoints at the largest sites."""

MAX_ANNOUNCED = 64
"""Maximum number of draining instances in one heartbeat, the newest ones; at
about twenty bytes each they take a small fraction of a datagram."""


class Source(enum.StrEnum):
    """The first source of an endpoint's drain notice."""

    ANSWER = "answer"
    ENTRY = "entry"
    PEER = "peer"


@attrs.frozen(kw_only=True)
class EndpointInstance:
    """The identity of an endpoint instance, one process run of an endpoint.

    Attributes:
        endpoint_id: The endpoint's id.
        service: The service that it belongs to.
        address: IP address and port.
        started_unix_ms: When it started; 0 if unknown.
    """

    endpoint_id: str
    service: str
    address: str
    started_unix_ms: int

    def may_match(self, other: "EndpointInstance") -> bool:
        """Returns whether both may be the same instance."""
        starts = {self.started_unix_ms, other.started_unix_ms}
        return (
            self.endpoint_id == other.endpoint_id
            and self.service == other.service
            and self.address == other.address
            and (len(starts) == 1 or 0 in starts)
        )


@attrs.define(kw_only=True, eq=False)
class DrainNotice:
    """The notice that an endpoint instance is draining.

    Attributes:
        instance: The instance.
        source: Its first source.
        by: The id of the request whose response announced it, or "store".
        first_seen_ms: When it was first received.
        last_seen_ms: When it was last received.
        last_sent_ms: When the last request was sent there since; None if none
            was.
        removed: Whether its entry was removed or another instance replaced it.
    """

    instance: EndpointInstance
    source: Source
    by: str
    first_seen_ms: float
    last_seen_ms: float
    last_sent_ms: float | None = None
    removed: bool = False


@attrs.frozen
class Active:
    """No notice shows that the instance is draining."""


@attrs.frozen
class Draining:
    """The instance has announced that it is draining."""

    drain_notice: DrainNotice


@attrs.frozen
class Superseded:
    """The instance is older than one that is draining."""


DrainStatus = Active | Draining | Superseded


def may_concern(announced_unix_ms: int, started_unix_ms: int) -> bool:
    """Returns whether a peer's drain notice may concern a known instance.

    Args:
        announced_unix_ms: When the instance in the notice started; if that is
            later than the known one, the known one has ended.
        started_unix_ms: When the known instance started.
    """
    return not 0 < announced_unix_ms < started_unix_ms


class Observer(Protocol):
    """Receives events of draining endpoints."""

    def drain_announced(self, drain_notice: DrainNotice) -> None:
        """Handles the first drain notice of an instance."""

    def peer_announced_drain(
        self, instance: EndpointInstance, host: str
    ) -> None:
        """Handles the first notice from a peer that an instance is draining."""

    def removed(self, drain_notice: DrainNotice) -> None:
        """Handles the removal of a draining instance; it gets no requests."""


class DrainNotices:
    """The drain notices of endpoint instances, limited in number."""

    def __init__(self) -> None:
        self._by_id: dict[str, list[DrainNotice]] = {}
        self._in_order: dict[DrainNotice, None] = {}

    def __len__(self) -> int:
        """Returns the number of notices kept."""
        return len(self._in_order)

    def announced(self, now_ms: float) -> dict[str, int]:
        """Returns the start times of draining instances, by endpoint id.

        Instances that have certainly ended are omitted, so that gateways do not
        announce them forever.
        """
        announced: dict[str, int] = {}
        for drain_notice in reversed(self._in_order):
            if now_ms - drain_notice.last_seen_ms <= MAX_EXIT_MS:
                announced.setdefault(
                    drain_notice.instance.endpoint_id,
                    drain_notice.instance.started_unix_ms,
                )
            if len(announced) == MAX_ANNOUNCED:
                break
        return announced

    def classify(
        self, instance: EndpointInstance, now_ms: float
    ) -> DrainStatus:
        """Returns the drain status of an instance."""
        drain_notice = self._find(instance, now_ms)
        if drain_notice is not None:
            return Draining(drain_notice)
        if any(
            0 < instance.started_unix_ms < each.instance.started_unix_ms
            and now_ms - each.last_seen_ms <= MAX_EXIT_MS
            for each in self._by_id.get(instance.endpoint_id, ())
        ):
            # After MAX_EXIT_MS, a lower start time means a new instance on a
            # host whose clock was set back.
            return Superseded()
        return Active()

    def record(
        self, instance: EndpointInstance, source: Source, by: str, now_ms: float
    ) -> tuple[DrainNotice, bool]:
        """Records a notice; returns it and whether it is the first."""
        known = self._find(instance, now_ms)
        if known is not None:
            known.last_seen_ms = now_ms
            if known.instance == instance:
                return known, False
        # One of the two has no start time, so they may be of different
        # instances.
        drain_notice = DrainNotice(
            instance=instance,
            source=source,
            by=by,
            first_seen_ms=now_ms if known is None else known.first_seen_ms,
            last_seen_ms=now_ms,
        )
        self._by_id.setdefault(instance.endpoint_id, []).append(drain_notice)
        self._in_order[drain_notice] = None
        if len(self._in_order) > MAX_NOTICES:
            self._forget(next(iter(self._in_order)))
        return drain_notice, known is None

    def _find(
        self, instance: EndpointInstance, now_ms: float
    ) -> DrainNotice | None:
        """Returns an instance's notice, or else one that may match it."""
        found = None
        for drain_notice in self._by_id.get(instance.endpoint_id, ()):
            is_same = drain_notice.instance == instance
            if is_same and instance.started_unix_ms > 0:
                return drain_notice
            if now_ms - drain_notice.last_seen_ms <= MAX_EXIT_MS and (
                is_same
                or (found is None and drain_notice.instance.may_match(instance))
            ):
                found = drain_notice
        return found

    def _forget(self, drain_notice: DrainNotice) -> None:
        del self._in_order[drain_notice]
        notices = self._by_id[drain_notice.instance.endpoint_id]
        notices.remove(drain_notice)
        if not notices:
            del self._by_id[drain_notice.instance.endpoint_id]


def is_last_resort(
    drain_notice: DrainNotice, now_ms: float, drain_ms: float
) -> bool:
    """Returns whether a draining instance may be used if no other is left.

    Args:
        drain_notice: Its drain notice.
        now_ms: The current time.
        drain_ms: How long endpoints serve after announcing their drain.
    """
    return now_ms - drain_notice.first_seen_ms < LAST_RESORT_FRACTION * drain_ms
