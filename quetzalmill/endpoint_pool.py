"""The endpoints that a gateway may send to, and their state.

Everything is keyed by the endpoint's id and instance, since an address may be
reassigned to another service and an endpoint may restart under its id.
"""

from collections.abc import Iterable
import math

import attrs

from quetzalmill import endpoint_health
from quetzalmill import endpoint_leaving
from quetzalmill import endpoint_record
from quetzalmill import evacuation
from quetzalmill import homes as homes_module
from quetzalmill import request_durations

INITIAL_BACKOFF_MS = 300.0
"""Backoff after the first failure to connect; about the time until a restarted
process listens."""

MAX_BACKOFF_MS = 2_000.0
"""Maximum backoff between two attempts at a failing endpoint."""

LAPSED_GRACE_MS = 2_000.0
"""Grace period in which an endpoint stays in use after its entry lapsed while
the platform's store was unavailable. Live endpoints have renewed their entries
by then."""

MIN_REPORTED_FAILURES = 0.3
"""Decayed failure count from which on peers are informed; what is left of one
failure after somewhat more than the decay's time constant."""

AVERAGE_LOAD_MS = 4_000.0
"""Time constant of the average load of an endpoint, the same as for its health:
many requests long, yet short enough to show one that has become slow."""


class EndpointPool:
    """The endpoints of all services.

    Args:
        drain_ms: How long endpoints serve after announcing their drain.

    Attributes:
        report_age_ms: The age of the peers' running counts.
        durations: The average duration of requests at endpoints.
        observer: Receives events of draining endpoints; None for nobody.
        evacuations: The failure domains that get no requests.
    """

    def __init__(self, drain_ms: float = 0.0) -> None:
        self._drain_ms = drain_ms
        self._notices = endpoint_leaving.DrainNotices()
        self._by_id: dict[str, endpoint_record.EndpointState] = {}
        self.durations = request_durations.RequestDurations()
        self._peer_load_ms: float | None = None
        self._domain_cold_ms: dict[str, float] = {}
        self.report_age_ms = 0.0
        self.observer: endpoint_leaving.Observer | None = None
        self.evacuations = evacuation.Evacuations(self.mark_domain_cold)

    def get(self, endpoint_id: str) -> endpoint_record.EndpointState | None:
        """Returns the state of an endpoint, or None if it is unknown."""
        return self._by_id.get(endpoint_id)

    def all(self) -> list[endpoint_record.EndpointState]:
        """Returns the state of all endpoints, usable or not."""
        return list(self._by_id.values())

    def __len__(self) -> int:
        """Returns the number of known endpoints."""
        return len(self._by_id)

    def update(self, endpoint: endpoint_record.Endpoint, now_ms: float) -> bool:
        """Applies a registry entry; returns whether the state changed."""
        known = self._by_id.get(endpoint.endpoint_id)
        announces_drain = endpoint.leaving
        instance = endpoint.instance()
        drain_notice: endpoint_leaving.DrainNotice | None = None
        match self._notices.classify(_likely_instance(known, instance), now_ms):
            case endpoint_leaving.Superseded():
                return False
            case endpoint_leaving.Draining(drain_notice=drain_notice):
                if known is not None and _is_other_instance(
                    known.endpoint, endpoint
                ):
                    # The instance in the entry has been replaced.
                    return False
                endpoint = attrs.evolve(endpoint, leaving=True)
        if (
            known is None
            or _is_other_instance(known.endpoint, endpoint)
            or (known.drain_notice is not None and drain_notice is None)
        ):
            self._drop(endpoint.endpoint_id)
            is_restarted = known is not None
            known = endpoint_record.EndpointState(
                endpoint=endpoint, drain_notice=drain_notice
            )
            known.cold_since_ms = (
                now_ms
                if is_restarted
                else self._domain_cold_ms.get(
                    endpoint.failure_domain, float("-inf")
                )
            )
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
                or known.lapsed_ms is not None
            )
            known.endpoint = endpoint
            known.drain_notice = drain_notice
            known.lapsed_ms = None
        known.cold_until_ms = now_ms + endpoint.cold_ms
        if announces_drain:
            # An entry without a start time may be of an instance that is not
            # known yet.
            self._record_notice(
                known, instance, endpoint_leaving.Source.ENTRY, "store", now_ms
            )
        return changed

    def record_drain_notice(
        self, known: endpoint_record.EndpointState, by: str, now_ms: float
    ) -> None:
        """Records that an endpoint announced its drain in a response.

        Args:
            known: The responding instance; another one may have replaced it.
            by: The id of the request that it responded to.
            now_ms: The current time.
        """
        self._record_notice(
            known,
            known.endpoint.instance(),
            endpoint_leaving.Source.ANSWER,
            by,
            now_ms,
        )
        newest = self._by_id.get(known.endpoint.endpoint_id)
        if newest is not None and not _is_other_instance(
            newest.endpoint, known.endpoint
        ):
            # Its entry lapsed and reappeared before it responded.
            newest.drain_notice = known.drain_notice
            newest.endpoint = attrs.evolve(newest.endpoint, leaving=True)

    def _record_notice(
        self,
        known: endpoint_record.EndpointState,
        instance: endpoint_leaving.EndpointInstance,
        source: endpoint_leaving.Source,
        by: str,
        now_ms: float,
    ) -> None:
        known.drain_notice, is_first = self._notices.record(
            instance, source, by, now_ms
        )
        known.endpoint = attrs.evolve(known.endpoint, leaving=True)
        if is_first and self.observer is not None:
            self.observer.drain_announced(known.drain_notice)

    def remove(
        self, endpoint_id: str, now_ms: float, *, store_was_unavailable: bool
    ) -> bool:
        """Handles the removal of an entry; returns whether it was known.

        Args:
            endpoint_id: The endpoint.
            now_ms: The current time.
            store_was_unavailable: Whether the entry may have lapsed only
                because the store was unavailable; it is then kept for a grace
                period.
        """
        known = self._by_id.get(endpoint_id)
        if known is None:
            return False
        if store_was_unavailable and known.drain_notice is None:
            if known.lapsed_ms is None:
                known.lapsed_ms = now_ms
        else:
            self._drop(endpoint_id)
        return True

    def _drop(self, endpoint_id: str) -> None:
        known = self._by_id.pop(endpoint_id, None)
        if (
            known is None
            or known.drain_notice is None
            or known.drain_notice.removed
        ):
            return
        known.drain_notice.removed = True
        if self.observer is not None:
            self.observer.removed(known.drain_notice)

    def replace_all(
        self,
        endpoints: Iterable[endpoint_record.Endpoint],
        now_ms: float,
        *,
        store_was_unavailable: bool,
    ) -> None:
        """Applies a complete list of entries; removes those not in it."""
        listed = {each.endpoint_id: each for each in endpoints}
        for endpoint in listed.values():
            self.update(endpoint, now_ms)
        for endpoint_id in set(self._by_id) - set(listed):
            self.remove(
                endpoint_id, now_ms, store_was_unavailable=store_was_unavailable
            )

    def remove_lapsed(self, now_ms: float) -> list[str]:
        """Removes entries past their grace period; returns their ids."""
        gone = [
            endpoint_id
            for endpoint_id, known in self._by_id.items()
            if known.lapsed_ms is not None
            and now_ms - known.lapsed_ms > LAPSED_GRACE_MS
        ]
        for endpoint_id in gone:
            self._drop(endpoint_id)
        return gone

    def extend_grace_period(self, now_ms: float) -> None:
        """Restarts the grace period of lapsed entries.

        Called while the store is unavailable.
        """
        for known in self._by_id.values():
            if known.lapsed_ms is not None:
                known.lapsed_ms = now_ms

    def mark_domain_cold(self, failure_domain: str, now_ms: float) -> None:
        """Counts the endpoints of a failure domain as newly started.

        Called when an order to evacuate the domain is withdrawn. It also holds
        for endpoints whose entries are read again later.
        """
        members = [
            known
            for known in self._by_id.values()
            if known.endpoint.failure_domain == failure_domain
        ]
        for known in members:
            known.cold_since_ms = now_ms
        if members:
            self._domain_cold_ms[failure_domain] = now_ms

    def usable(
        self,
        service: str,
        now_ms: float,
        homes: homes_module.Homes = homes_module.EVERYWHERE,
    ) -> list[endpoint_record.EndpointState]:
        """Returns the endpoints of a service that may get new work.

        If no others are left, endpoints that only peers report as draining are
        used, since a peer may be wrong. Those that announced it themselves are
        used only for a short time.
        """
        of_service = [
            known
            for known in self._by_id.values()
            if known.endpoint.service == service
            and not self.is_evacuated(known)
            and homes.allows_domain(known.endpoint.failure_domain)
        ]
        unmarked = [known for known in of_service if known.drain_notice is None]
        staying = [known for known in unmarked if not known.drain_reporters]
        if unmarked:
            return _prefer_available(staying or unmarked, now_ms)
        return _prefer_available(
            [
                known
                for known in of_service
                if known.drain_notice is not None
                and endpoint_leaving.is_last_resort(
                    known.drain_notice, now_ms, self._drain_ms
                )
            ],
            now_ms,
        )

    def is_evacuated(self, known: endpoint_record.EndpointState) -> bool:
        """Returns whether an endpoint's failure domain is evacuated."""
        return self.evacuations.is_evacuated(known.endpoint.failure_domain)

    def may_send(
        self,
        known: endpoint_record.EndpointState,
        now_ms: float,
        homes: homes_module.Homes = homes_module.EVERYWHERE,
    ) -> bool:
        """Returns whether an endpoint that was chosen may still get work.

        A connection is made between the choice and the first byte sent, and a
        drain notice, an order to evacuate, another failure domain of the
        endpoint or other home regions may have arrived meanwhile.
        """
        endpoint = known.endpoint
        if self.is_evacuated(known) or not homes.allows_domain(
            endpoint.failure_domain
        ):
            return False
        if self._by_id.get(endpoint.endpoint_id) is not known:
            return False
        if known.drain_notice is None and not known.drain_reporters:
            return True
        if known not in self.usable(endpoint.service, now_ms, homes):
            return False
        if known.drain_notice is not None:
            known.drain_notice.last_sent_ms = now_ms
        return True

    def apply_peer_running(
        self, running: dict[str, int], now_ms: float, age_ms: float
    ) -> None:
        """Applies the running requests of all other gateways.

        Args:
            running: The requests, by endpoint id.
            now_ms: The current time.
            age_ms: The age of these counts.
        """
        if self._peer_load_ms is None:
            weight = 1.0
        else:
            elapsed_ms = max(0.0, now_ms - self._peer_load_ms)
            weight = 1.0 - math.exp(-elapsed_ms / AVERAGE_LOAD_MS)
        self._peer_load_ms = now_ms
        self.report_age_ms = age_ms
        for endpoint_id, known in self._by_id.items():
            known.peers_running = running.get(endpoint_id, 0)
            known.peers_average += weight * (
                known.peers_running - known.peers_average
            )

    def drain_notices_to_report(self, now_ms: float) -> dict[str, int]:
        """Returns the start times of draining instances, to announce to peers.

        These are only notices that this gateway received itself; otherwise
        gateways would keep repeating each other's outdated reports.
        """
        return self._notices.announced(now_ms)

    def apply_peer_drain_notices(
        self, announced: dict[str, list[tuple[str, int]]], now_ms: float
    ) -> None:
        """Applies the drain reports of the other gateways.

        Args:
            announced: Hosts and the instance start times that they report, by
                endpoint id.
            now_ms: The current time.
        """
        for endpoint_id, known in self._by_id.items():
            known.drain_reporters = [
                host
                for host, start in announced.get(endpoint_id, ())
                if endpoint_leaving.may_concern(
                    start, known.endpoint.started_unix_ms
                )
            ]
            if known.drain_reporters and known.drain_reported_ms is None:
                known.drain_reported_ms = now_ms
                if known.drain_notice is None and self.observer is not None:
                    self.observer.peer_announced_drain(
                        known.endpoint.instance(), known.drain_reporters[0]
                    )

    def estimated_load(
        self, known: endpoint_record.EndpointState, now_ms: float
    ) -> float:
        """Returns an estimate of the requests at an endpoint now."""
        return known.estimated_load(
            now_ms,
            self.report_age_ms,
            self.durations.average_ms(known.endpoint.service),
        )

    def apply_peer_failures(
        self, trouble: dict[str, list[endpoint_health.FailureCounts]]
    ) -> None:
        """Applies the failure counts of the other gateways, by endpoint id."""
        for endpoint_id, known in self._by_id.items():
            known.peer_failures = trouble.get(endpoint_id, [])

    def trouble(
        self, now_ms: float
    ) -> dict[str, endpoint_health.FailureCounts]:
        """Returns this gateway's counts of the endpoints with failures."""
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
            if each.failures >= MIN_REPORTED_FAILURES
        }

    def running(self) -> dict[str, int]:
        """Returns the running requests of this gateway, by endpoint id."""
        return {
            endpoint_id: known.running
            for endpoint_id, known in self._by_id.items()
            if known.running
        }


def failed(known: endpoint_record.EndpointState, now_ms: float) -> None:
    """Backs off from an endpoint, longer with each consecutive failure."""
    known.failures += 1
    wait_ms = INITIAL_BACKOFF_MS * 2.0 ** min(known.failures - 1, 5)
    known.down_until_ms = now_ms + min(MAX_BACKOFF_MS, wait_ms)


def succeeded(known: endpoint_record.EndpointState) -> None:
    """Ends the backoff from an endpoint."""
    known.failures = 0
    known.down_until_ms = 0.0


def _prefer_available(
    endpoint_states: list[endpoint_record.EndpointState], now_ms: float
) -> list[endpoint_record.EndpointState]:
    available = [
        known for known in endpoint_states if known.down_until_ms <= now_ms
    ]
    return available or endpoint_states


def _likely_instance(
    known: endpoint_record.EndpointState | None,
    instance: endpoint_leaving.EndpointInstance,
) -> endpoint_leaving.EndpointInstance:
    """Returns the known instance if an entry without a start time may be it."""
    if (
        instance.started_unix_ms
        or known is None
        or known.drain_notice is not None
    ):
        return instance
    known_instance = known.endpoint.instance()
    return known_instance if known_instance.may_match(instance) else instance


def _is_other_instance(
    old: endpoint_record.Endpoint, new: endpoint_record.Endpoint
) -> bool:
    return not old.instance().may_match(new.instance())
