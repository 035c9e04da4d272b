"""Draws a schedule of faults from a seed.

Faults come in series and overlap. Every fault ends by itself, so a seed's
schedule is all that has to be kept of a run to bring it about again.
"""

import random
import typing

import attrs


@attrs.frozen(kw_only=True)
class KillGateway:
    """A gateway's process is killed and started again later."""

    gateway: int
    for_s: float


@attrs.frozen(kw_only=True)
class KillAll:
    """All gateways are killed at once and started again later."""

    for_s: float


@attrs.frozen(kw_only=True)
class PauseGateway:
    """A gateway's process stands still for a while."""

    gateway: int
    for_s: float


@attrs.frozen(kw_only=True)
class StopGateway:
    """A gateway is asked to end, and started again once it has."""

    gateway: int


@attrs.frozen(kw_only=True)
class ReloadGateway:
    """A gateway is told that its settings have changed."""

    gateway: int


@attrs.frozen(kw_only=True)
class StoreDown:
    """The store refuses every call."""

    for_s: float


@attrs.frozen(kw_only=True)
class StoreAnswersLost:
    """The store does some appends and does not answer them."""

    count: int


@attrs.frozen(kw_only=True)
class StoreForgets:
    """The store drops the history of the operator and of the endpoints."""


@attrs.frozen(kw_only=True)
class CutLink:
    """A link carries nothing, one way or both, while connections stay open.

    Attributes:
        link: The link's name.
        requests: Whether bytes towards the server are held back.
        replies: Whether bytes from the server are held back.
        for_s: How long.
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
    """An endpoint does something wrong with its next requests.

    Attributes:
        endpoint: The endpoint's number.
        how: The name of the fault, see ``platform_endpoint.Fault``.
        count: The number of requests.
    """

    endpoint: int
    how: str
    count: int


@attrs.frozen(kw_only=True)
class EndpointLeaves:
    """An endpoint leaves, and comes back as a new boot of the same id.

    Attributes:
        endpoint: The endpoint's number.
        told: What its entry says, see ``platform_cluster.Told``.
        late_s: How much later than its answers the entry says so.
        away_s: The time from its end to its new boot.
    """

    endpoint: int
    told: str
    late_s: float
    away_s: float


@attrs.frozen(kw_only=True)
class ReplaceKey:
    """The operator withdraws the key of one team and issues another."""


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
    | EndpointLeaves
    | ReplaceKey
)

KINDS: tuple[type[Fault], ...] = typing.get_args(Fault)


@attrs.frozen
class Entry:
    """A fault and when it begins."""

    at_s: float
    fault: Fault


@attrs.frozen(kw_only=True)
class Size:
    """How large the system under soak is.

    Attributes:
        gateways: Gateway processes.
        engines: Engines.
        services: Plain endpoints.
        callers: Callers at a time.
        faults: Faults of one run.
        length_s: The time in which faults begin.
    """

    gateways: int = 4
    engines: int = 2
    services: int = 3
    callers: int = 12
    faults: int = 10
    length_s: float = 12.0


_ENDPOINT_FAULTS = ("shed", "lose answer", "forged", "crossed", "cut stream")
_LONGEST_OUTAGE_S = 4.0
_LONGEST_CUT_S = 3.0
_LONGEST_DELAY_MS = 120.0
_LATEST_ENTRY_S = 5.0
"""Beyond the time after which a leaving endpoint gets no work."""


def draw(seed: int, size: Size) -> list[Entry]:
    """Returns the schedule of a seed, in the order of time."""
    draws = random.Random(seed)
    # Draws of their own leave the other faults of known seeds as they were.
    leaving_draws = random.Random(f"leaving {seed}")
    entries = [
        Entry(
            draws.uniform(0.5, size.length_s),
            _fault(draws, leaving_draws, size),
        )
        for _ in range(size.faults)
    ]
    return sorted(entries, key=lambda entry: entry.at_s)


def links(size: Size) -> list[str]:
    """Returns the names of all links: to the store and to the endpoints."""
    names = [f"store-{number}" for number in range(size.gateways)]
    names += [f"llm-{number}" for number in range(size.engines)]
    return names + [f"app-{number}" for number in range(size.services)]


def _fault(
    draws: random.Random, leaving_draws: random.Random, size: Size
) -> Fault:
    gateway = draws.randrange(size.gateways)
    link = draws.choice(links(size))
    endpoint = draws.randrange(size.engines + size.services)
    way = draws.choice([(True, False), (False, True), (True, True)])
    kinds: list[Fault] = [
        KillGateway(gateway=gateway, for_s=draws.uniform(0.1, 3.0)),
        KillGateway(gateway=gateway, for_s=draws.uniform(0.1, 0.5)),
        KillAll(for_s=draws.uniform(0.1, 1.5)),
        PauseGateway(gateway=gateway, for_s=draws.uniform(0.2, 5.0)),
        StopGateway(gateway=gateway),
        ReloadGateway(gateway=gateway),
        StoreDown(for_s=draws.uniform(0.3, _LONGEST_OUTAGE_S)),
        StoreAnswersLost(count=draws.randint(1, 6)),
        StoreForgets(),
        CutLink(
            link=link,
            requests=way[0],
            replies=way[1],
            for_s=draws.uniform(0.5, _LONGEST_CUT_S),
        ),
        DelayLink(
            link=link,
            delay_ms=draws.uniform(10.0, _LONGEST_DELAY_MS),
            for_s=draws.uniform(1.0, 4.0),
        ),
        ResetLink(link=link),
        EndpointFails(
            endpoint=endpoint,
            how=draws.choice(_ENDPOINT_FAULTS),
            count=draws.randint(1, 5),
        ),
        EndpointLeaves(
            endpoint=endpoint,
            told=leaving_draws.choice(("draining", "removed")),
            late_s=leaving_draws.choice(
                (0.0, leaving_draws.uniform(0.1, _LATEST_ENTRY_S))
            ),
            away_s=draws.uniform(0.1, 1.5),
        ),
        ReplaceKey(),
    ]
    return draws.choice(kinds)
