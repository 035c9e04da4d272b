"""The endpoints that a gateway may send to, and what it knows of each.

Everything is keyed by the endpoint's id and start, since an address may pass
to another service and an id may start anew.
"""

from collections.abc import Iterable
import math

import attrs

from quetzalmill import endpoint_health
from quetzalmill import endpoint_leaving
from quetzalmill import held_times

DOWN_FIRST_MS = 300.0
"""How long an endpoint is left alone after one failure to connect; about the
time that a restarted process needs before it listens."""

DOWN_MOST_MS = 2_000.0
"""The longest that a failing endpoint is left alone between two tries."""

DOUBT_MS = 2_000.0
"""How long an endpoint stays in use whose entry lapsed while the platform's
store was away. Entries of living ones are back by then."""

LEAST_TROUBLE = 0.3
"""Failures, fading, from which on peers are told; what is left of one failure
after about the time in which counts fade to a third."""

LOAD_NEWS_MS = 1_000.0
"""How long the load that an endpoint reported stands for its load."""

USUAL_LOAD_MS = 4_000.0
"""The time over which the usual load of an endpoint is taken, as its health is:
many requests long, yet short enough to show one that has turned slow."""


@attrs.frozen(kw_only=True)
class Endpoint:
    """One start of one endpoint.

    Attributes:
        endpoint_id: Its id.
        service: The service that it belongs to.
        address: IP address and port.
        failure_domain: Where it stands.
        slots: Requests that it runs at once.
        leaving: Whether its entry says that it takes no new work.
        started_unix_ms: When it started; 0 if it does not say.
        cold_ms: How long it stays slow after its start.
    """

    endpoint_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    leaving: bool
    started_unix_ms: int
    cold_ms: float

    def boot(self) -> endpoint_leaving.Boot:
        """Returns what tells this start from others."""
        return endpoint_leaving.Boot(
            endpoint_id=self.endpoint_id,
            service=self.service,
            address=self.address,
            started_unix_ms=self.started_unix_ms,
        )


@attrs.define(kw_only=True, eq=False)
class Condition:
    """What a gateway has seen of an endpoint.

    Attributes:
        endpoint: The endpoint.
        running: Requests that this gateway has there.
        peers_running: Requests that the other gateways have there.
        peers_usual: The same, over the last seconds.
        reported_running: Requests that it said it runs.
        reported_waiting: Requests that it said wait there.
        reported_ms: When it said so.
        failures: Failures to connect or answer since the last success.
        down_until_ms: Until when it is left alone.
        doubted_ms: When its entry lapsed, or None.
        cold_until_ms: Until when it is slow after its start.
        health: How well it answered this gateway lately.
        peers_trouble: What the other gateways count of that.
        mark: That it has said that it leaves; None if it has not.
        peers_say: Hosts whose gateways say now that it leaves.
        peers_said_ms: When one said so first; None if none did.
    """

    endpoint: Endpoint
    running: int = 0
    peers_running: int = 0
    peers_usual: float = 0.0
    reported_running: int = 0
    reported_waiting: int = 0
    reported_ms: float = float("-inf")
    failures: int = 0
    down_until_ms: float = 0.0
    doubted_ms: float | None = None
    cold_until_ms: float = 0.0
    health: endpoint_health.Health = attrs.field(factory=endpoint_health.Health)
    peers_trouble: list[endpoint_health.Trouble] = attrs.field(factory=list)
    mark: endpoint_leaving.Mark | None = None
    peers_say: list[str] = attrs.field(factory=list)
    peers_said_ms: float | None = None

    def failure_cost_ms(self, now_ms: float) -> float:
        """Returns what the likely failure of a request here costs."""
        own = self.health.trouble(now_ms)
        return endpoint_health.cost_ms([own, *self.peers_trouble])

    def all_running(self) -> int:
        """Returns the requests there by all that the gateways know."""
        return self.running + self.peers_running

    def load(self, now_ms: float) -> int:
        """Returns the requests there, running or waiting, at most."""
        known = self.all_running()
        if now_ms - self.reported_ms > LOAD_NEWS_MS:
            return known
        return max(known, self.reported_running + self.reported_waiting)

    def likely_load(
        self, now_ms: float, news_age_ms: float, held_ms: float
    ) -> float:
        """Returns the requests there now, as far as old news tell.

        A request is gone after ``held_ms`` and others have come, so the older
        the news, the more the usual load counts.

        Args:
            now_ms: The current time.
            news_age_ms: How old ``peers_running`` is.
            held_ms: How long endpoints hold a request.
        """
        usual = self.running + self.peers_usual
        reported_age_ms = now_ms - self.reported_ms
        if reported_age_ms < news_age_ms:
            seen = float(self.reported_running + self.reported_waiting)
            news_age_ms = reported_age_ms
        else:
            seen = float(self.all_running())
        weight = math.exp(-max(0.0, news_age_ms) / held_ms)
        return max(float(self.running), usual + weight * (seen - usual))


class EndpointPool:
    """The endpoints of all services.

    Args:
        drain_ms: How long endpoints serve after they said that they leave.

    Attributes:
        news_age_ms: How old the news of what peers run are.
        held: How long endpoints hold requests.
        observer: Is told of endpoints that leave; None for nobody.
    """

    def __init__(self, drain_ms: float = 0.0) -> None:
        self._drain_ms = drain_ms
        self._marks = endpoint_leaving.Marks()
        self._by_id: dict[str, Condition] = {}
        self.held = held_times.HeldTimes()
        self._heard_ms: float | None = None
        self.news_age_ms = 0.0
        self.observer: endpoint_leaving.Observer | None = None

    def get(self, endpoint_id: str) -> Condition | None:
        """Returns what is known of an endpoint, or None."""
        return self._by_id.get(endpoint_id)

    def all(self) -> list[Condition]:
        """Returns what is known of all endpoints, usable or not."""
        return list(self._by_id.values())

    def __len__(self) -> int:
        """Returns how many endpoints are known."""
        return len(self._by_id)

    def update(self, endpoint: Endpoint, now_ms: float) -> bool:
        """Takes over an entry; returns whether it changed what is believed."""
        known = self._by_id.get(endpoint.endpoint_id)
        says_leaving = endpoint.leaving
        boot = endpoint.boot()
        mark: endpoint_leaving.Mark | None = None
        match self._marks.judge(_likely_boot(known, boot), now_ms):
            case endpoint_leaving.Outdated():
                return False
            case endpoint_leaving.Leaving(mark=mark):
                if known is not None and _is_new_start(
                    known.endpoint, endpoint
                ):
                    # The start that it tells of has been replaced.
                    return False
                endpoint = attrs.evolve(endpoint, leaving=True)
        if (
            known is None
            or _is_new_start(known.endpoint, endpoint)
            or (known.mark is not None and mark is None)
        ):
            self._drop(endpoint.endpoint_id)
            known = Condition(endpoint=endpoint, mark=mark)
            self._by_id[endpoint.endpoint_id] = known
            changed = True
        else:
            endpoint = attrs.evolve(
                endpoint,
                started_unix_ms=endpoint.started_unix_ms
                or known.endpoint.started_unix_ms,
            )
            changed = (
                attrs.evolve(known.endpoint, cold_ms=endpoint.cold_ms)
                != endpoint
                or known.doubted_ms is not None
            )
            known.endpoint = endpoint
            known.mark = mark
            known.doubted_ms = None
        known.cold_until_ms = now_ms + endpoint.cold_ms
        if says_leaving:
            # Without a start it may be of one that is not heard of yet.
            self._mark(
                known, boot, endpoint_leaving.Source.ENTRY, "store", now_ms
            )
        return changed

    def note_leaving(self, known: Condition, by: str, now_ms: float) -> None:
        """Records that an endpoint said in an answer that it leaves.

        Args:
            known: The start that answered; another one may have replaced it.
            by: The request that it answered.
            now_ms: The current time.
        """
        self._mark(
            known,
            known.endpoint.boot(),
            endpoint_leaving.Source.ANSWER,
            by,
            now_ms,
        )
        newest = self._by_id.get(known.endpoint.endpoint_id)
        if newest is not None and not _is_new_start(
            newest.endpoint, known.endpoint
        ):
            # Its entry lapsed and came back while it answered.
            newest.mark = known.mark
            newest.endpoint = attrs.evolve(newest.endpoint, leaving=True)

    def _mark(
        self,
        known: Condition,
        boot: endpoint_leaving.Boot,
        source: endpoint_leaving.Source,
        by: str,
        now_ms: float,
    ) -> None:
        known.mark, is_first = self._marks.note(boot, source, by, now_ms)
        known.endpoint = attrs.evolve(known.endpoint, leaving=True)
        if is_first and self.observer is not None:
            self.observer.said_leaving(known.mark)

    def remove(
        self, endpoint_id: str, now_ms: float, *, store_was_away: bool
    ) -> bool:
        """Takes over that an entry is gone; returns whether it was known.

        Args:
            endpoint_id: The endpoint.
            now_ms: The current time.
            store_was_away: Whether the entry may have lapsed only because
                the store could not be reached; it then stays for a while.
        """
        known = self._by_id.get(endpoint_id)
        if known is None:
            return False
        if store_was_away and known.mark is None:
            if known.doubted_ms is None:
                known.doubted_ms = now_ms
        else:
            self._drop(endpoint_id)
        return True

    def _drop(self, endpoint_id: str) -> None:
        known = self._by_id.pop(endpoint_id, None)
        if known is None or known.mark is None or known.mark.has_left:
            return
        known.mark.has_left = True
        if self.observer is not None:
            self.observer.has_left(known.mark)

    def replace_all(
        self,
        endpoints: Iterable[Endpoint],
        now_ms: float,
        *,
        store_was_away: bool,
    ) -> None:
        """Takes over a whole list; what it lacks is gone."""
        listed = {each.endpoint_id: each for each in endpoints}
        for endpoint in listed.values():
            self.update(endpoint, now_ms)
        for endpoint_id in set(self._by_id) - set(listed):
            self.remove(endpoint_id, now_ms, store_was_away=store_was_away)

    def drop_doubted(self, now_ms: float) -> list[str]:
        """Removes lapsed entries that did not come back; returns their ids."""
        gone = [
            endpoint_id
            for endpoint_id, known in self._by_id.items()
            if known.doubted_ms is not None
            and now_ms - known.doubted_ms > DOUBT_MS
        ]
        for endpoint_id in gone:
            self._drop(endpoint_id)
        return gone

    def extend_doubt(self, now_ms: float) -> None:
        """Restarts the time of lapsed entries while the store is away."""
        for known in self._by_id.values():
            if known.doubted_ms is not None:
                known.doubted_ms = now_ms

    def usable(self, service: str, now_ms: float) -> list[Condition]:
        """Returns the endpoints of a service that may get new work.

        A peer may be wrong, so what only peers say to leave is used before
        none is; what has said so itself only for a short time.
        """
        of_service = [
            known
            for known in self._by_id.values()
            if known.endpoint.service == service
        ]
        unmarked = [known for known in of_service if known.mark is None]
        staying = [known for known in unmarked if not known.peers_say]
        if unmarked:
            return _up_first(staying or unmarked, now_ms)
        return _up_first(
            [
                known
                for known in of_service
                if known.mark is not None
                and endpoint_leaving.is_last_resort(
                    known.mark, now_ms, self._drain_ms
                )
            ],
            now_ms,
        )

    def may_send(self, known: Condition, now_ms: float) -> bool:
        """Returns whether an endpoint that was chosen may still get work.

        Between choice and first byte lies a connection that is made, and its
        leaving may have been heard meanwhile.
        """
        endpoint = known.endpoint
        if self._by_id.get(endpoint.endpoint_id) is not known:
            return False
        if known.mark is None and not known.peers_say:
            return True
        if known not in self.usable(endpoint.service, now_ms):
            return False
        if known.mark is not None:
            known.mark.last_sent_ms = now_ms
        return True

    def hear_running(
        self, running: dict[str, int], now_ms: float, age_ms: float
    ) -> None:
        """Takes over what all other gateways run, by endpoint.

        Args:
            running: The requests, by endpoint.
            now_ms: The current time.
            age_ms: How old that is.
        """
        if self._heard_ms is None:
            weight = 1.0
        else:
            elapsed_ms = max(0.0, now_ms - self._heard_ms)
            weight = 1.0 - math.exp(-elapsed_ms / USUAL_LOAD_MS)
        self._heard_ms = now_ms
        self.news_age_ms = age_ms
        for endpoint_id, known in self._by_id.items():
            known.peers_running = running.get(endpoint_id, 0)
            known.peers_usual += weight * (
                known.peers_running - known.peers_usual
            )

    def leaving_told(self, now_ms: float) -> dict[str, int]:
        """Returns the starts that peers are told to leave, by endpoint.

        Only what was said to this gateway itself, lest gateways keep telling
        each other what nobody said any more.
        """
        return self._marks.told(now_ms)

    def hear_leaving(
        self, told: dict[str, list[tuple[str, int]]], now_ms: float
    ) -> None:
        """Takes over what the other gateways say.

        Args:
            told: Hosts and the starts that they tell of, by endpoint.
            now_ms: The current time.
        """
        for endpoint_id, known in self._by_id.items():
            known.peers_say = [
                host
                for host, start in told.get(endpoint_id, ())
                if endpoint_leaving.tells_of(
                    start, known.endpoint.started_unix_ms
                )
            ]
            if known.peers_say and known.peers_said_ms is None:
                known.peers_said_ms = now_ms
                if known.mark is None and self.observer is not None:
                    self.observer.peer_said_leaving(
                        known.endpoint.boot(), known.peers_say[0]
                    )

    def likely_load(self, known: Condition, now_ms: float) -> float:
        """Returns the requests at an endpoint now, as far as news tell."""
        return known.likely_load(
            now_ms, self.news_age_ms, self.held.usual_ms(known.endpoint.service)
        )

    def hear_trouble(
        self, trouble: dict[str, list[endpoint_health.Trouble]]
    ) -> None:
        """Takes over what the other gateways count, by endpoint."""
        for endpoint_id, known in self._by_id.items():
            known.peers_trouble = trouble.get(endpoint_id, [])

    def trouble(self, now_ms: float) -> dict[str, endpoint_health.Trouble]:
        """Returns what this gateway counts, by endpoint that fails at all."""
        counted = {
            endpoint_id: known.health.trouble(now_ms)
            for endpoint_id, known in self._by_id.items()
        }
        return {
            endpoint_id: attrs.evolve(
                each,
                failures=round(each.failures, 2),
                answers=round(each.answers, 2),
            )
            for endpoint_id, each in counted.items()
            if each.failures >= LEAST_TROUBLE
        }

    def running(self) -> dict[str, int]:
        """Returns what this gateway runs, by endpoint."""
        return {
            endpoint_id: known.running
            for endpoint_id, known in self._by_id.items()
            if known.running
        }


def failed(known: Condition, now_ms: float) -> None:
    """Leaves an endpoint alone for a while, longer with each failure."""
    known.failures += 1
    wait_ms = DOWN_FIRST_MS * 2.0 ** min(known.failures - 1, 5)
    known.down_until_ms = now_ms + min(DOWN_MOST_MS, wait_ms)


def succeeded(known: Condition) -> None:
    """Puts an endpoint back into ordinary use."""
    known.failures = 0
    known.down_until_ms = 0.0


def _up_first(conditions: list[Condition], now_ms: float) -> list[Condition]:
    up = [known for known in conditions if known.down_until_ms <= now_ms]
    return up or conditions


def _likely_boot(
    known: Condition | None, boot: endpoint_leaving.Boot
) -> endpoint_leaving.Boot:
    """Returns the start that is known if an entry names none and may be it."""
    if boot.started_unix_ms or known is None or known.mark is not None:
        return boot
    known_boot = known.endpoint.boot()
    return known_boot if known_boot.may_be(boot) else boot


def _is_new_start(old: Endpoint, new: Endpoint) -> bool:
    return not old.boot().may_be(new.boot())
