"""Folds the log's records into the configuration that decisions read.

Every process folds the same records in the same order and so reaches the same
state at the same offset. A change names the revision it was based on; every
process skips a change based on an older revision, which resolves races between
operators. The module performs no I/O.
"""

import collections
from collections.abc import Iterable
import enum
from typing import Any, TypeVar

import attrs

from quetzalmill import codec
from quetzalmill import errors
from quetzalmill import objects

_T = TypeVar("_T")

MAX_REMEMBERED_RECORDS = 2048
"""Record ids that are remembered to recognise duplicates."""

MAX_FORMER_HOSTS = 1_024
"""Remembered hosts of endpoints that were changed since."""


class Verdict(enum.Enum):
    """The result of applying a record."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    REJECTED = "rejected"


@attrs.frozen(kw_only=True)
class Outcome:
    """The result of applying a record, with its revision.

    Attributes:
        verdict: Whether the record took effect.
        revision: Its offset; on a conflict, the object's current revision.
        detail: The conflicting object, or the errors of the record.
    """

    verdict: Verdict
    revision: int
    detail: str = ""


@attrs.frozen(kw_only=True)
class Snapshot:
    """The complete configuration at one offset.

    Attributes:
        offset: The last offset that the snapshot covers.
        objects: Every object.
        outcomes: Remembered record ids with their outcomes, oldest first.
        routing_revision: The last offset that changed endpoints or selectors.
        former_hosts: Hosts of endpoints that were changed, with the offset of
            the change, oldest first.
    """

    offset: int
    objects: list[objects.StoredObject]
    outcomes: list[tuple[str, Outcome]]
    routing_revision: int
    former_hosts: list[tuple[str, int]] = attrs.field(factory=list)


class Configuration:
    """The configuration at one offset of the log."""

    def __init__(self) -> None:
        self.applied_offset = 0
        self.routing_revision = 0
        self._former_hosts: dict[str, int] = {}
        self._objects: dict[str, dict[str, objects.StoredObject]] = {}
        self._specs: dict[tuple[str, str], Any] = {}
        self._outcomes: collections.OrderedDict[str, Outcome] = (
            collections.OrderedDict()
        )

    def apply(self, offset: int, record: objects.ConfigRecord) -> Outcome:
        """Folds the record at ``offset``, which must be the next one.

        Returns:
            The outcome of the record; a duplicate gets the first outcome.
        """
        if offset <= self.applied_offset:
            return self._outcomes.get(
                record.record_id,
                Outcome(verdict=Verdict.REJECTED, revision=offset),
            )
        self.applied_offset = offset
        known = self._outcomes.get(record.record_id)
        if known is not None:
            return known
        outcome = self._validate(offset, record)
        if outcome.verdict is Verdict.ACCEPTED:
            for change in record.changes:
                self._set(offset, change)
        self._record_outcome(record.record_id, outcome)
        return outcome

    def skip(self, offset: int) -> None:
        """Skips a record that could not be decoded."""
        self.applied_offset = max(self.applied_offset, offset)

    def outcome_of(self, record_id: str) -> Outcome | None:
        """Returns the outcome of a record, if it is remembered."""
        return self._outcomes.get(record_id)

    def get(self, kind: str, name: str) -> objects.StoredObject | None:
        """Returns an object with its revision."""
        return self._objects.get(kind, {}).get(name)

    def revision(self, kind: str, name: str) -> int:
        """Returns the object's revision, 0 if it does not exist."""
        stored = self.get(kind, name)
        return stored.revision if stored else 0

    def all_of(self, kind: str) -> list[objects.StoredObject]:
        """Returns all objects of a kind, ordered by name."""
        found = self._objects.get(kind, {})
        return [found[name] for name in sorted(found)]

    def spec(self, kind: str, name: str, expected: type[_T]) -> _T | None:
        """Returns an object's typed specification."""
        value = self._specs.get((kind, name))
        return value if isinstance(value, expected) else None

    def specs(self, kind: str, expected: type[_T]) -> dict[str, _T]:
        """Returns the typed specifications of a kind, by name."""
        found: dict[str, _T] = {}
        for stored in self.all_of(kind):
            value = self._specs[(kind, stored.name)]
            if isinstance(value, expected):
                found[stored.name] = value
        return found

    def team(self, name: str) -> objects.TeamSpec | None:
        """Returns a team."""
        return self.spec(objects.TEAM, name, objects.TeamSpec)

    def key(self, key_id: str) -> objects.KeySpec | None:
        """Returns a key by its id."""
        return self.spec(objects.KEY, key_id, objects.KeySpec)

    def model(self, name: str) -> objects.ModelSpec | None:
        """Returns a model."""
        return self.spec(objects.MODEL, name, objects.ModelSpec)

    def route(self, name: str) -> objects.RouteSpec | None:
        """Returns a route."""
        return self.spec(objects.ROUTE, name, objects.RouteSpec)

    def endpoint(self, name: str) -> objects.EndpointSpec | None:
        """Returns an endpoint."""
        return self.spec(objects.ENDPOINT, name, objects.EndpointSpec)

    def process(self, host: str) -> objects.ProcessSpec | None:
        """Returns the most recently announced process of a host."""
        return self.spec(objects.PROCESS, host, objects.ProcessSpec)

    def is_evacuated(self, failure_domain: str) -> bool:
        """Returns whether no requests may be sent to a failure domain."""
        return self.get(objects.EVACUATION, failure_domain) is not None

    def evacuations(self) -> dict[str, int]:
        """Returns the evacuated domains with their orders' revisions."""
        return {
            stored.name: stored.revision
            for stored in self.all_of(objects.EVACUATION)
        }

    def former_hosts(self, since_offset: int) -> set[str] | None:
        """Returns the previous hosts of endpoints that changed.

        Args:
            since_offset: Only changes after this offset are considered.

        Returns:
            The hosts, or None if some may have been evicted.
        """
        offsets = list(self._former_hosts.values())
        if len(offsets) >= MAX_FORMER_HOSTS and offsets[0] > since_offset:
            return None
        return {
            host
            for host, offset in self._former_hosts.items()
            if offset > since_offset
        }

    def snapshot(self) -> Snapshot:
        """Returns the complete state, for another process or the log."""
        return Snapshot(
            offset=self.applied_offset,
            objects=[
                stored
                for kind in sorted(self._objects)
                for stored in self.all_of(kind)
            ],
            outcomes=list(self._outcomes.items()),
            routing_revision=self.routing_revision,
            former_hosts=list(self._former_hosts.items()),
        )

    def restore(self, snapshot: Snapshot) -> bool:
        """Replaces the state by a snapshot if that is newer.

        Returns:
            Whether the snapshot was newer and was applied.
        """
        if snapshot.offset <= self.applied_offset:
            return False
        self._objects = {}
        self._specs = {}
        for stored in snapshot.objects:
            self._store(stored)
        self._outcomes = collections.OrderedDict(snapshot.outcomes)
        self.applied_offset = snapshot.offset
        self.routing_revision = snapshot.routing_revision
        self._former_hosts = dict(snapshot.former_hosts)
        return True

    def _validate(self, offset: int, record: objects.ConfigRecord) -> Outcome:
        problems = validate_changes(record.changes)
        if problems:
            return Outcome(
                verdict=Verdict.REJECTED,
                revision=offset,
                detail="; ".join(problems),
            )
        for change in record.changes:
            current = self.revision(change.kind, change.name)
            if change.base_revision not in (objects.ANY_REVISION, current):
                return Outcome(
                    verdict=Verdict.CONFLICT,
                    revision=current,
                    detail=f"{change.kind}/{change.name}",
                )
        return Outcome(verdict=Verdict.ACCEPTED, revision=offset)

    def _set(self, offset: int, change: objects.ObjectChange) -> None:
        if change.kind in (objects.ENDPOINT, objects.MODEL, objects.ROUTE):
            self.routing_revision = offset
        if change.kind == objects.ENDPOINT:
            self._record_former_host(change.name, offset)
        if change.spec is None:
            self._objects.get(change.kind, {}).pop(change.name, None)
            self._specs.pop((change.kind, change.name), None)
            return
        self._store(
            objects.StoredObject(
                kind=change.kind,
                name=change.name,
                revision=offset,
                spec=change.spec,
            )
        )

    def _record_former_host(self, endpoint: str, offset: int) -> None:
        before = self.endpoint(endpoint)
        if before is None:
            return
        self._former_hosts.pop(before.host, None)
        self._former_hosts[before.host] = offset
        if len(self._former_hosts) > MAX_FORMER_HOSTS:
            del self._former_hosts[next(iter(self._former_hosts))]

    def _store(self, stored: objects.StoredObject) -> None:
        self._objects.setdefault(stored.kind, {})[stored.name] = stored
        self._specs[(stored.kind, stored.name)] = codec.from_plain(
            stored.spec, objects.SPEC_TYPES[stored.kind]
        )

    def _record_outcome(self, record_id: str, outcome: Outcome) -> None:
        self._outcomes[record_id] = outcome
        while len(self._outcomes) > MAX_REMEMBERED_RECORDS:
            self._outcomes.popitem(last=False)


def validate_changes(changes: Iterable[objects.ObjectChange]) -> list[str]:
    """Returns a message for each malformed change."""
    problems: list[str] = []
    seen: set[tuple[str, str]] = set()
    for change in changes:
        problem = _problem_of(change)
        if problem:
            problems.append(f"{change.kind}/{change.name}: {problem}")
        if (change.kind, change.name) in seen:
            problems.append(f"{change.kind}/{change.name}: it stands twice")
        seen.add((change.kind, change.name))
    return problems


def _problem_of(change: objects.ObjectChange) -> str | None:
    spec_type = objects.SPEC_TYPES.get(change.kind)
    if spec_type is None:
        kinds = ", ".join(sorted(objects.SPEC_TYPES))
        return f"the kind is unknown; use one of {kinds}"
    if change.spec is None:
        return None
    unknown = set(change.spec) - {a.name for a in attrs.fields(spec_type)}
    if unknown:
        return f"unknown field {sorted(unknown)[0]!r}"
    try:
        codec.from_plain(change.spec, spec_type)
    except errors.CodecError as error:
        return str(error)
    return None
