"""The objects that operators publish and the records that carry them.

Every object has a kind, a name and a specification. Its revision is the log
offset of the record that last changed it. Processes also publish themselves,
team shares and quarantined requests as objects, so one fold covers all of
them.
"""

from typing import Any

import attrs

ANY_REVISION = -1
"""A base revision that matches any revision of an object."""

TEAM = "team"
KEY = "key"
ENDPOINT = "endpoint"
MODEL = "model"
ROUTE = "route"
PROCESS = "process"
SHARES = "shares"
QUARANTINE = "quarantine"
EVACUATION = "evacuation"

ENTRY = "entry"
SIDECAR = "sidecar"

ENGINE = "engine"
SERVICE = "service"


@attrs.frozen(kw_only=True)
class TeamSpec:
    """The limits and permissions of a team.

    Attributes:
        rate_per_s: Requests per second over all entries.
        burst: Requests that may be admitted at once over all entries.
        weight: The team's relative weight at contended endpoints.
        selector: Label selector of the models and routes it may use.
    """

    rate_per_s: float
    burst: float
    weight: float = 1.0
    selector: str = ""


@attrs.frozen(kw_only=True)
class KeySpec:
    """A key of a team; only the hash of its secret is published.

    Attributes:
        team: The team that the key belongs to.
        secret_sha256: Hexadecimal SHA-256 of the whole key.
        withdrawn: Whether the key is no longer valid.
    """

    team: str
    secret_sha256: str
    withdrawn: bool = False


@attrs.frozen(kw_only=True)
class EndpointSpec:
    """A back end: a model engine or a plain service.

    Attributes:
        host: The host whose sidecar serves the endpoint.
        address: IP address and port, such as ``127.0.0.1:8000``.
        kind: ``engine`` or ``service``.
        labels: Labels that selectors match.
        slots: Requests that may run concurrently.
        memory_tokens: Tokens of cached history that the engine can hold.
        checks_fencing: Whether it refuses orders with an older fencing number.
        wanted: The desired state of an engine, such as a model, a version,
            adapters or a role; empty for no orders.
    """

    host: str
    address: str
    kind: str = ENGINE
    labels: dict[str, str] = attrs.field(factory=dict)
    slots: int = 8
    memory_tokens: int = 200_000
    checks_fencing: bool = False
    wanted: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class ModelSpec:
    """A model that callers name in requests.

    Attributes:
        selector: Label selector of the engine endpoints that serve it.
        labels: Labels that teams' selectors match.
    """

    selector: str
    labels: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class RouteSpec:
    """A plain service that callers name in the request path.

    Attributes:
        selector: Label selector of the service endpoints behind it.
        labels: Labels that teams' selectors match.
        open: Whether requests without a key are served.
    """

    selector: str
    labels: dict[str, str] = attrs.field(factory=dict)
    open: bool = False


@attrs.frozen(kw_only=True)
class ProcessSpec:
    """The most recently announced process of a host.

    Attributes:
        role: ``entry`` or ``sidecar``.
        instance: Random id of this process; a restart creates a new one.
        http_address: Where it serves HTTP.
        control_address: Where it serves control calls.
        failure_domain: The failure domain of its host.
        leaving: Whether it is shutting down and accepts no new work.
    """

    role: str
    instance: str
    http_address: str
    control_address: str
    failure_domain: str
    leaving: bool = False


@attrs.frozen(kw_only=True)
class SharesSpec:
    """The entries that hold shares of the teams' rates.

    Attributes:
        holders: The instance of each entry, by host name.
        lease_ms: The longest lease under which they mint.
        previous: The previous holders; the author of a record has seen that
            no entry acts on older ones.
        previous_lease_ms: The longest lease of the previous holders.
    """

    holders: dict[str, str]
    lease_ms: float
    previous: dict[str, str] = attrs.field(factory=dict)
    previous_lease_ms: float = 0.0


@attrs.frozen(kw_only=True)
class QuarantineSpec:
    """A request that crashed endpoints and is refused everywhere.

    Attributes:
        team: The team that sent it.
        crashes: Number of endpoints that crashed while they ran it.
    """

    team: str
    crashes: int


@attrs.frozen(kw_only=True)
class EvacuationSpec:
    """An order to send no more requests to a failure domain, its name.

    Attributes:
        reason: Why, for other operators.
    """

    reason: str = ""


SPEC_TYPES: dict[str, type[Any]] = {
    TEAM: TeamSpec,
    KEY: KeySpec,
    ENDPOINT: EndpointSpec,
    MODEL: ModelSpec,
    ROUTE: RouteSpec,
    PROCESS: ProcessSpec,
    SHARES: SharesSpec,
    QUARANTINE: QuarantineSpec,
    EVACUATION: EvacuationSpec,
}


@attrs.frozen(kw_only=True)
class ObjectChange:
    """One object's new specification, or its deletion.

    Attributes:
        kind: One of the kinds named in this module.
        name: The object's name within its kind.
        base_revision: The revision that the change was based on; 0 for an
            object that does not exist, ``ANY_REVISION`` to overwrite.
        spec: The specification as plain data; None deletes the object.
    """

    kind: str
    name: str
    base_revision: int
    spec: dict[str, Any] | None


@attrs.frozen(kw_only=True)
class ConfigRecord:
    """Changes that take effect together or not at all.

    Attributes:
        record_id: Unique; a second record with the same id has no effect.
        author: Who appended it; shown in the history for operators.
        changes: The changes, at most one for each object.
    """

    record_id: str
    author: str
    changes: list[ObjectChange]


@attrs.frozen(kw_only=True)
class StoredObject:
    """An object with its revision, as the fold stores it."""

    kind: str
    name: str
    revision: int
    spec: dict[str, Any]
