"""Decides which hosts a request with home regions may reach.

Load pattern: one team, or one route, whose data has to stay in some regions,
among many that may be served anywhere. Its requests arrive at gateways of all
regions, while endpoints of other regions are idle and its own ones fail, drain
or move. It must wait for, or be refused by, its own regions alone.

A region is known only through the gateway's settings: a failure domain that
they do not list is in no region, and so in nobody's home regions. Names are
compared as they are written.
"""

from collections.abc import Callable, Mapping
import random

import attrs

from quetzalmill import gateway_outcomes as outcomes
from quetzalmill import peers as peers_module
from quetzalmill import route_table

REASON = "no endpoint in the home regions"
"""The reason on the wire of a request that no endpoint there can serve."""

RETRY_AFTER_MS = 1_000.0
"""The retry time of such a request; endpoints renew their entries about every
1,200 ms, so an earlier retry would mostly meet the same endpoints."""

REFUSED = outcomes.Refused(
    status=503, reason=REASON, retry_after_ms=RETRY_AFTER_MS
)

MAX_LOGGED_REGIONS = 8
"""How many unknown regions a log line names."""


@attrs.frozen
class Homes:
    """The home regions of one request.

    Attributes:
        regions: The regions whose hosts may get it; None for all.
        zones: The region of each failure domain.
        own_region: This gateway's region; empty if unknown.
    """

    regions: frozenset[str] | None = None
    zones: Mapping[str, str] = attrs.field(factory=dict, repr=False)
    own_region: str = ""

    def allows_own(self) -> bool:
        """Returns whether this gateway is in the home regions."""
        return self.regions is None or self.own_region in self.regions - {""}

    def allows_domain(self, failure_domain: str) -> bool:
        """Returns whether hosts of a failure domain may get the request."""
        if self.regions is None:
            return True
        region = self.zones.get(failure_domain, "")
        return bool(region) and region in self.regions

    def allows_host(self, region: str, failure_domain: str) -> bool:
        """Returns whether a host that states its own region may get it.

        A host whose settings differ from this gateway's is in doubt, and must
        be in the home regions by both.

        Args:
            region: The region that it states; empty if it states none.
            failure_domain: Its failure domain.
        """
        if self.regions is None:
            return True
        stated = {region, self.zones.get(failure_domain, "")} - {""}
        return bool(stated) and stated <= self.regions

    def narrowed(self, *limits: frozenset[str]) -> "Homes":
        """Returns these homes, limited further by lists that are not empty."""
        regions = self.regions
        for limit in limits:
            if limit:
                regions = limit if regions is None else regions & limit
        return attrs.evolve(self, regions=regions)

    def within(self, other: "Homes") -> "Homes":
        """Returns the regions that are in both."""
        if self.regions is None or other.regions is None:
            return other if self.regions is None else self
        return attrs.evolve(self, regions=self.regions & other.regions)

    def __str__(self) -> str:
        """Returns the form for the log line of a request."""
        if self.regions is None:
            return ""
        # The empty name stands for an unreadable list.
        return ",".join(sorted(self.regions - {""}))[:200] or "none"


EVERYWHERE = Homes()


class RequestHomes:
    """The home regions of one request while it is served.

    Lists that the operator adds meanwhile apply to what is sent from then on.
    Lists that the operator removes apply until its end, as the caller sent it
    under them.

    Args:
        zones: The region of each failure domain.
        own_region: This gateway's region; empty if unknown.
        newest_table: Returns the route table in force.
        route: Its route.
        team: The name of its team; empty without one.
    """

    def __init__(
        self,
        zones: Mapping[str, str],
        own_region: str,
        newest_table: Callable[[], route_table.RouteTable | None],
        route: route_table.Route,
        team: str,
    ) -> None:
        self._newest_table = newest_table
        self._route_name = route.name
        self._team = team
        self._seen: route_table.RouteTable | None = None
        unlimited = Homes(None, zones, own_region)
        self._homes = unlimited.narrowed(route.home_regions)

    def current(self) -> Homes:
        """Returns the home regions by all lists up to now."""
        table = self._newest_table()
        if table is not None and table is not self._seen:
            self._seen = table
            self._homes = self._homes.narrowed(
                *(
                    route.home_regions
                    for route in table.routes
                    if route.name == self._route_name
                )
            )
            team = table.teams.get(self._team)
            if team is not None:
                self._homes = self._homes.narrowed(team.home_regions)
        return self._homes


def is_refusal(outcome: outcomes.Outcome) -> bool:
    """Returns whether the home regions could not serve a request."""
    return isinstance(outcome, outcomes.Refused) and outcome.reason == REASON


def pick_service(
    route: route_table.Route,
    homes: Homes,
    can_serve: Callable[[str], bool],
    random_source: random.Random,
) -> str | None:
    """Returns one of a route's services, at random by their weights.

    For a request with home regions only services that can serve it there are
    considered; None if there is none.

    Args:
        route: The route.
        homes: The home regions of the request.
        can_serve: Returns whether a service has a usable endpoint there.
        random_source: Chooses.
    """
    shares = route.shares
    if homes.regions is not None:
        # A service of weight 0 gets no requests in place of the others.
        shares = tuple(
            each
            for each in shares
            if can_serve(each.service) and (each.weight or len(shares) == 1)
        )
        if not shares:
            return None
    if len(shares) == 1:
        return shares[0].service
    weights = [share.weight for share in shares]
    return random_source.choices(shares, weights)[0].service


def stored_homes(
    table: route_table.RouteTable,
    teams: Callable[[str], bool],
    unlimited: Homes,
) -> Homes:
    """Returns the regions in which a partition of stored turns may be read.

    The store sends a reader the bodies of all turns in the partition, so all
    lists that apply to any of them count.

    Args:
        table: The route table.
        teams: Returns whether the turns of a team are in the partition.
        unlimited: The homes of a request without home regions.
    """
    if not any(route.stateful for route in table.routes):
        return unlimited
    return unlimited.narrowed(
        *(route.home_regions for route in table.routes if route.stateful),
        *(
            team.home_regions
            for team in table.teams.values()
            if team.home_regions and teams(team.name)
        ),
    )


def chain_reader(
    part: int,
    owner: str,
    own_address: str,
    peers: list[peers_module.Heartbeat],
    *,
    request: Homes,
    stored: Homes,
) -> str:
    """Returns the gateway that is to read a stored conversation.

    It is the owner of the partition, unless that must not read it. Then it is
    this gateway or another one that may. If there is none, all turns in the
    partition have no home region in common, or no gateway there is live; then
    only the home regions of the request count, and this gateway may read as
    well, as the caller connected to it.

    Args:
        part: The partition that holds the conversation.
        owner: The address of the partition's owner.
        own_address: This gateway's address.
        peers: The live peers.
        request: The home regions of the request.
        stored: The regions in which the partition may be read.
    """
    for homes in (stored.within(request), request):
        if homes.regions is None:
            return owner
        allowed = _readers(peers, homes)
        if owner in allowed or (owner == own_address and homes.allows_own()):
            return owner
        if homes.allows_own():
            return own_address
        if allowed:
            return allowed[part % len(allowed)]
    return own_address


def sweeper(
    part: int,
    owner: str,
    own_address: str,
    peers: list[peers_module.Heartbeat],
    stored: Homes,
) -> str:
    """Returns the gateway that reads a partition to remove expired turns.

    All gateways that know the same peers return the same one: the owner,
    unless others may read the partition and the owner must not.
    """
    if stored.regions is None:
        return owner
    allowed = _readers(peers, stored)
    if stored.allows_own():
        allowed = sorted([*allowed, own_address])
    if owner in allowed or not allowed:
        return owner
    return allowed[part % len(allowed)]


def _readers(peers: list[peers_module.Heartbeat], homes: Homes) -> list[str]:
    return sorted(
        each.address for each in receivers(peers, homes) if each.store_reached
    )


def receivers(
    peers: list[peers_module.Heartbeat], homes: Homes
) -> list[peers_module.Heartbeat]:
    """Returns the peers that may get the body of a request."""
    if homes.regions is None:
        return peers
    return [
        each
        for each in peers
        if homes.allows_host(each.region, each.failure_domain)
    ]


def unknown_regions(
    table: route_table.RouteTable, zones: Mapping[str, str]
) -> list[str]:
    """Returns regions that the table lists and no failure domain is in."""
    lists = [
        *(route.home_regions for route in table.routes),
        *(team.home_regions for team in table.teams.values()),
    ]
    listed = frozenset[str]().union(*lists) - {""}
    unknown = sorted(listed - set(zones.values()))
    return [name[:64] for name in unknown[:MAX_LOGGED_REGIONS]]
