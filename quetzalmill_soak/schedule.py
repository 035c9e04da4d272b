"""Generates a schedule of faults from a seed.

Faults follow each other and overlap. Every fault ends by itself, so the seed
and the size are enough to repeat the faults of a run.
"""

import random
import typing

import attrs

from quetzalmill_emulator import late_copies


@attrs.frozen(kw_only=True)
class KillGateway:
    """A gateway process is killed and restarted after a delay."""

    gateway: int
    for_s: float


@attrs.frozen(kw_only=True)
class KillAll:
    """All gateways are killed at once and restarted after a delay."""

    for_s: float


@attrs.frozen(kw_only=True)
class PauseGateway:
    """A gateway process is paused with SIGSTOP."""

    gateway: int
    for_s: float


@attrs.frozen(kw_only=True)
class StopGateway:
    """A gateway is stopped with SIGTERM and restarted once it has exited.

    Attributes:
        gateway: The index of the gateway.
        repeated: The name of a signal that is sent until it has exited; empty
            for none.
    """

    gateway: int
    repeated: str = ""


@attrs.frozen(kw_only=True)
class ReloadGateway:
    """A gateway is told to reload its settings with SIGHUP.

    Attributes:
        gateway: The index of the gateway.
        for_s: The period in which it is told again and again, also while it
            stops and starts; 0 for once.
    """

    gateway: int
    for_s: float = 0.0


@attrs.frozen(kw_only=True)
class StoreDown:
    """The store refuses every call."""

    for_s: float


@attrs.frozen(kw_only=True)
class StoreAnswersLost:
    """The store executes some appends without answering them."""

    count: int


@attrs.frozen(kw_only=True)
class StoreForgets:
    """The store drops the history of the operator and of the endpoints."""


@attrs.frozen(kw_only=True)
class CutLink:
    """A link holds bytes back, one way or both; connections stay open.

    Attributes:
        link: The name of the link.
        requests: Whether bytes towards the server are held back.
        replies: Whether bytes from the server are held back.
        for_s: The duration.
    """

    link: str
    requests: bool
    replies: bool
    for_s: float


@attrs.frozen(kw_only=True)
class DelayLink:
    """A link delays all bytes."""

    link: str
    delay_ms: float
    for_s: float


@attrs.frozen(kw_only=True)
class ResetLink:
    """All open connections of a link are reset."""

    link: str


@attrs.frozen(kw_only=True)
class EndpointFails:
    """An endpoint injects a fault into its next requests.

    Attributes:
        endpoint: The index of the endpoint.
        how: The name of the fault, see ``platform_endpoint.Fault``.
        count: The number of requests.
    """

    endpoint: int
    how: str
    count: int


@attrs.frozen(kw_only=True)
class EndpointMisleads:
    """An endpoint sends what may pass for a refusal of requests that run.

    Attributes:
        endpoint: The index of the endpoint.
        answers: What it sends, one for a request.
    """

    endpoint: int
    answers: tuple[late_copies.Misleading, ...]


@attrs.frozen(kw_only=True)
class EndpointLeaves:
    """An endpoint drains, stops and restarts as a new instance.

    Attributes:
        endpoint: The index of the endpoint.
        told: What its registry entry says, see ``platform_cluster.Told``.
        late_s: The delay of the registry entry after the responses that
            carry the drain notice.
        away_s: The time from its stop to its restart.
    """

    endpoint: int
    told: str
    late_s: float
    away_s: float


@attrs.frozen(kw_only=True)
class UnreadableEntry:
    """Another writer puts a record among the entries of the endpoints.

    Attributes:
        name: Its key.
        value: Its content.
    """

    name: str
    value: bytes = attrs.field(repr=False)


@attrs.frozen(kw_only=True)
class ReplaceKey:
    """The operator withdraws the key of one team and issues another."""


@attrs.frozen(kw_only=True)
class EvacuateDomain:
    """The operator evacuates a failure domain and later withdraws the order.

    Attributes:
        domain: The name of the domain.
        for_s: How long the order stands.
    """

    domain: str
    for_s: float


Fault = (
    KillGateway
    | KillAll
    | PauseGateway
    | StopGateway
    | ReloadGateway
    | StoreDown
    | StoreAnswersLost
    | StoreForgets
    | CutLink
    | DelayLink
    | ResetLink
    | EndpointFails
    | EndpointMisleads
    | EndpointLeaves
    | UnreadableEntry
    | ReplaceKey
    | EvacuateDomain
)

KINDS: tuple[type[Fault], ...] = typing.get_args(Fault)


@attrs.frozen
class Entry:
    """A fault and its start, in seconds from the start of the run."""

    at_s: float
    fault: Fault


@attrs.frozen(kw_only=True)
class Size:
    """The size of the system under test.

    Attributes:
        gateways: The number of gateway processes.
        engines: The number of engines.
        services: The number of plain endpoints.
        callers: The number of concurrent callers.
        faults: The number of faults of one run.
        extra_faults: The number of further faults, of the kinds that were
            added after the first seeds were recorded.
        misleading: The number of endpoints that mislead.
        evacuations: The number of orders to evacuate a failure domain. If two
            of a domain overlap, the first withdrawal ends both.
        length_s: The period in which faults start.
    """

    gateways: int = 4
    engines: int = 2
    services: int = 3
    callers: int = 12
    faults: int = 10
    extra_faults: int = 4
    misleading: int = 2
    evacuations: int = 1
    length_s: float = 12.0


_ENDPOINT_FAULTS = ("shed", "lose answer", "forged", "crossed", "cut stream")
_EXTRA_ENDPOINT_FAULTS = (
    "late copy",
    "tiny chunks",
    "cut head",
    "cut event",
    "undelimited",
)
_MISLEADING: tuple[late_copies.Misleading, ...] = (
    *late_copies.FORMS,
    *(late_copies.SignedFailure(status) for status in (408, 421, 429, 503)),
)
_UNREADABLE = (b"[" * 2_000, b'{"coldLeftMs":' + b"9" * 400 + b"}", b"\xff")
_MAX_OUTAGE_S = 4.0
_MAX_CUT_S = 3.0
_MAX_DELAY_MS = 120.0
_MAX_ENTRY_DELAY_S = 5.0
"""Exceeds the time after which a draining endpoint gets no new requests."""


DOMAINS = ("a", "b")
"""The failure domains of the endpoints."""

_EVACUATIONS_START_S = 3.0
_MIN_EVACUATION_S = 6.0
_MAX_EVACUATION_S = 9.0
"""Longer than an order may take, so that requests come after that."""


def draw(seed: int, size: Size) -> list[Entry]:
    """Returns the schedule of a seed, sorted by time."""
    rng = random.Random(seed)
    # A generator of its own, so that drawing the drain settings does not
    # change the other faults of known seeds.
    drain_rng = random.Random(f"leaving {seed}")
    entries = [
        Entry(
            rng.uniform(0.5, size.length_s),
            _fault(rng, drain_rng, size),
        )
        for _ in range(size.faults)
    ]
    # These have a generator of their own for the same reason.
    extra_rng = random.Random(f"extra {seed}")
    entries += [
        Entry(
            extra_rng.uniform(0.5, size.length_s),
            _extra_fault(extra_rng, size),
        )
        for _ in range(size.extra_faults)
    ]
    misleading_rng = random.Random(f"misleading {seed}")
    entries += [
        Entry(
            misleading_rng.uniform(0.5, size.length_s),
            _misleading_fault(misleading_rng, size),
        )
        for _ in range(size.misleading)
    ]
    evacuation_rng = random.Random(f"evacuation {seed}")
    entries += [
        Entry(
            evacuation_rng.uniform(0.5, _EVACUATIONS_START_S),
            EvacuateDomain(
                domain=evacuation_rng.choice(DOMAINS),
                for_s=evacuation_rng.uniform(
                    _MIN_EVACUATION_S, _MAX_EVACUATION_S
                ),
            ),
        )
        for _ in range(size.evacuations)
    ]
    return sorted(entries, key=lambda entry: entry.at_s)


def links(size: Size) -> list[str]:
    """Returns the names of all links: to the store and to the endpoints."""
    names = [f"store-{number}" for number in range(size.gateways)]
    names += [f"llm-{number}" for number in range(size.engines)]
    return names + [f"app-{number}" for number in range(size.services)]


def _fault(rng: random.Random, drain_rng: random.Random, size: Size) -> Fault:
    gateway = rng.randrange(size.gateways)
    link = rng.choice(links(size))
    endpoint = rng.randrange(size.engines + size.services)
    cut_directions = rng.choice([(True, False), (False, True), (True, True)])
    kinds: list[Fault] = [
        KillGateway(gateway=gateway, for_s=rng.uniform(0.1, 3.0)),
        KillGateway(gateway=gateway, for_s=rng.uniform(0.1, 0.5)),
        KillAll(for_s=rng.uniform(0.1, 1.5)),
        PauseGateway(gateway=gateway, for_s=rng.uniform(0.2, 5.0)),
        StopGateway(gateway=gateway),
        ReloadGateway(gateway=gateway),
        StoreDown(for_s=rng.uniform(0.3, _MAX_OUTAGE_S)),
        StoreAnswersLost(count=rng.randint(1, 6)),
        StoreForgets(),
        CutLink(
            link=link,
            requests=cut_directions[0],
            replies=cut_directions[1],
            for_s=rng.uniform(0.5, _MAX_CUT_S),
        ),
        DelayLink(
            link=link,
            delay_ms=rng.uniform(10.0, _MAX_DELAY_MS),
            for_s=rng.uniform(1.0, 4.0),
        ),
        ResetLink(link=link),
        EndpointFails(
            endpoint=endpoint,
            how=rng.choice(_ENDPOINT_FAULTS),
            count=rng.randint(1, 5),
        ),
        EndpointLeaves(
            endpoint=endpoint,
            told=drain_rng.choice(("draining", "removed")),
            late_s=drain_rng.choice(
                (0.0, drain_rng.uniform(0.1, _MAX_ENTRY_DELAY_S))
            ),
            away_s=rng.uniform(0.1, 1.5),
        ),
        ReplaceKey(),
    ]
    return rng.choice(kinds)


def _extra_fault(rng: random.Random, size: Size) -> Fault:
    gateway = rng.randrange(size.gateways)
    faults: list[Fault] = [
        StopGateway(
            gateway=gateway,
            repeated=rng.choice(("SIGHUP", "SIGTERM", "SIGINT")),
        ),
        ReloadGateway(gateway=gateway, for_s=rng.uniform(0.5, 4.0)),
        UnreadableEntry(
            name=f"other-{rng.randrange(3)}", value=rng.choice(_UNREADABLE)
        ),
        EndpointFails(
            endpoint=rng.randrange(size.engines + size.services),
            how=rng.choice(_EXTRA_ENDPOINT_FAULTS),
            count=rng.randint(1, 3),
        ),
    ]
    return rng.choice(faults)


def _misleading_fault(rng: random.Random, size: Size) -> Fault:
    return EndpointMisleads(
        endpoint=rng.randrange(size.engines + size.services),
        answers=tuple(rng.sample(_MISLEADING, 4)),
    )
