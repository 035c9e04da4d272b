"""Decides which requests a gateway sends to endpoints that are cold.

Load pattern: a service is scaled up under load, or its endpoints restart, and
the idle new endpoints get more requests than they bear while they are cold.
They crash, the load moves to the next ones, and these crash as well. A gateway
therefore sends only its share (``cold_shares``) to a cold endpoint, and first
those requests that suit one: short ones whose prompt no warm endpoint has
cached, as the others are served better elsewhere.

Services without ``cold_per_s`` are not affected.
"""

from collections.abc import Callable
from typing import Any, TypeGuard

import attrs

from quetzalmill import clock as clock_module
from quetzalmill import cold_shares
from quetzalmill import dispatch_job
from quetzalmill import endpoint_pool
from quetzalmill import endpoint_record
from quetzalmill import gateway_calls
from quetzalmill import logs
from quetzalmill import member_table
from quetzalmill import route_table

MAX_STATED_COLD_MS = 60_000.0
"""The longest time for which one response may state that its endpoint stays
cold. Services start within seconds, and an error must not last."""

NO_SHARE_RETRY_MS = 500.0
"""The time until a retry if this gateway has no share or its last reading of
the members is outdated; another gateway may have a share at once."""

MAX_RETRY_MS = 1_000.0
"""The longest time until a retry. Shares are free again after a second."""

MIN_CACHED_FRACTION = 0.5
"""The fraction of a prompt from which on it counts as cached elsewhere. Most
prompts begin with a part that all endpoints have cached."""

_SIZE_WEIGHT = 0.05
"""Weight of a request in the average size; the last twenty or so count."""

_MAX_EPISODES = 1_024

_log = logs.get("cold_endpoints")


@attrs.define(kw_only=True)
class _Episode:
    """The time in which an endpoint is cold, for the log.

    Attributes:
        service: Its service.
        since_ms: When this gateway first found it cold.
        sent: Requests that this gateway sent it meanwhile.
        held_back: Requests for which it was left out meanwhile.
    """

    service: str
    since_ms: float
    sent: int = 0
    held_back: int = 0


class ColdEndpoints:
    """The requests of one gateway to cold endpoints.

    Args:
        pool: The endpoints.
        table: The gateways that may be sending.
        address: This gateway's address in ``table``.
        clock: The clock of ``table``, which counts suspension.
        count: Called for each request by what was decided: ``sent``,
            ``held_back`` at the choice, ``withdrawn`` before its first byte, or
            ``refused``.
    """

    def __init__(
        self,
        pool: endpoint_pool.EndpointPool,
        table: member_table.MemberTable,
        address: str,
        clock: clock_module.Clock,
        count: Callable[[str], None] = lambda _: None,
    ) -> None:
        self._pool = pool
        self._table = table
        self._address = address
        self._clock = clock
        self._count = count
        self._windows = cold_shares.SendWindows()
        self._sizes: dict[str, float] = {}
        self._episodes: dict[str, _Episode] = {}

    def admissible(
        self,
        job: dispatch_job.Job,
        candidates: list[endpoint_record.EndpointState],
        uncached: dict[str, int],
        now_ms: float,
    ) -> list[endpoint_record.EndpointState]:
        """Returns the candidates that a request may be sent to.

        Args:
            job: The request.
            candidates: Endpoints of its service.
            uncached: Its prompt tokens that each has not cached, by id.
            now_ms: The current time of the pool.
        """
        service = job.service
        if service.cold_per_s <= 0.0:
            return candidates
        is_short = self._record_size(service, job.call)
        warm, free = [], []
        has_held = False
        for each in candidates:
            if not self._observe(service, each, now_ms):
                warm.append(each)
            elif self._wait_ms(service, each) == 0.0:
                free.append(each)
            else:
                has_held = True
                self._episodes[each.endpoint.endpoint_id].held_back += 1
        if has_held:
            self._count("held_back")
        if any(_has_room(each, now_ms) for each in warm) and not (
            is_short and not _is_cached(job.call, warm, uncached)
        ):
            return warm
        return warm + free

    def take(
        self,
        service: route_table.Service,
        known: endpoint_record.EndpointState,
        now_ms: float,
    ) -> bool:
        """Takes a share if one is needed; returns whether to send.

        Called immediately before the first byte is sent, since the choice may
        be long ago if the process was suspended since.
        """
        if service.cold_per_s <= 0.0:
            return True
        if self._observe(service, known, now_ms):
            if self._wait_ms(service, known) != 0.0:
                self._count("withdrawn")
                return False
            self._episodes[known.endpoint.endpoint_id].sent += 1
            self._count("sent")
        self._windows.record(known.endpoint.endpoint_id, self._clock.now_ms())
        return True

    def retry_after_ms(
        self, job: dispatch_job.Job, now_ms: float
    ) -> float | None:
        """Returns the time until a cold endpoint may be sent a request.

        Returns None if no cold endpoint is held back.
        """
        service = job.service
        if service.cold_per_s <= 0.0:
            return None
        waits_ms = [
            min(wait_ms, cold_until_ms(service, each) - now_ms, MAX_RETRY_MS)
            for each in self._pool.usable(
                service.name, now_ms, job.current_homes()
            )
            if self._observe(service, each, now_ms)
            and (wait_ms := self._wait_ms(service, each)) > 0.0
        ]
        if not waits_ms:
            return None
        self._count("refused")
        return min(waits_ms)

    def record_stated(
        self,
        service: route_table.Service,
        known: endpoint_record.EndpointState,
        cold_ms: float,
        now_ms: float,
    ) -> None:
        """Records how long an endpoint stays cold, as a response states.

        An earlier statement is not shortened, as responses may be late.
        """
        if service.cold_per_s <= 0.0 or cold_ms <= 0.0:
            return
        known.stated_cold_until_ms = max(
            known.stated_cold_until_ms,
            now_ms + min(cold_ms, MAX_STATED_COLD_MS),
        )
        self._observe(service, known, now_ms)

    def record_failed_connection(
        self,
        service: route_table.Service,
        known: endpoint_record.EndpointState,
        error: Exception,
        now_ms: float,
    ) -> None:
        """Counts an endpoint as newly started if nothing listened there.

        What listens there next has just started, although its entry may still
        be that of the process before. Other failures may be those of a link.

        Args:
            service: The endpoint's service.
            known: The endpoint.
            error: The failure, with the cause that it was raised from.
            now_ms: The current time of the pool.
        """
        cause = error.__cause__
        causes = (
            cause.exceptions
            if isinstance(cause, BaseExceptionGroup)
            else [cause]
        )
        if service.cold_per_s > 0.0 and any(
            isinstance(each, ConnectionRefusedError) for each in causes
        ):
            known.cold_since_ms = now_ms

    def count_cold(
        self, table: route_table.RouteTable | None, now_ms: float
    ) -> int:
        """Returns the number of cold endpoints of limited services."""
        return len(self._cold(table, now_ms))

    def describe(
        self,
        table: route_table.RouteTable | None,
        now_ms: float,
        *,
        over: float,
        slack: float,
    ) -> dict[str, Any]:
        """Returns the cold endpoints and this gateway's shares of them.

        Args:
            table: The route table; None if none is known yet.
            now_ms: The current time of the pool.
            over: The factor of the operators' bound.
            slack: The requests that the bound adds.
        """
        clock_ms = self._clock.now_ms()
        age_ms = self._table.read_age_ms(clock_ms)
        return {
            "may_send": self._table.may_send(clock_ms),
            "members": sorted(self._table.view(clock_ms)),
            "read_age_ms": round(age_ms) if age_ms < float("inf") else None,
            "endpoints": {
                known.endpoint.endpoint_id: {
                    "service": service.name,
                    "left_ms": round(cold_until_ms(service, known) - now_ms),
                    "share": self._share(service, known, clock_ms),
                    "sent": self._windows.count(
                        known.endpoint.endpoint_id, clock_ms
                    ),
                    "bound": service.cold_per_s * over + slack,
                }
                for service, known in self._cold(table, now_ms)
            },
        }

    def _cold(
        self, table: route_table.RouteTable | None, now_ms: float
    ) -> list[tuple[route_table.Service, endpoint_record.EndpointState]]:
        found: list[
            tuple[route_table.Service, endpoint_record.EndpointState]
        ] = []
        if not has_limits(table):
            return found
        for known in self._pool.all():
            service = table.services.get(known.endpoint.service)
            if (
                service is not None
                and service.cold_per_s > 0.0
                and self._observe(service, known, now_ms)
            ):
                found.append((service, known))
        return found

    def _observe(
        self,
        service: route_table.Service,
        known: endpoint_record.EndpointState,
        now_ms: float,
    ) -> bool:
        """Returns whether an endpoint is cold; logs when that changes."""
        endpoint_id = known.endpoint.endpoint_id
        episode = self._episodes.get(endpoint_id)
        is_cold = cold_until_ms(service, known) > now_ms
        if is_cold and episode is None:
            if len(self._episodes) >= _MAX_EPISODES:
                del self._episodes[next(iter(self._episodes))]
            self._episodes[endpoint_id] = _Episode(
                service=service.name, since_ms=now_ms
            )
            _log.info(
                "endpoint_cold", endpoint=endpoint_id, service=service.name
            )
        elif episode is not None and not is_cold:
            del self._episodes[endpoint_id]
            _log.info(
                "endpoint_warm",
                endpoint=endpoint_id,
                service=episode.service,
                after_ms=round(now_ms - episode.since_ms),
                sent=episode.sent,
                held_back=episode.held_back,
            )
        return is_cold

    def _share(
        self,
        service: route_table.Service,
        known: endpoint_record.EndpointState,
        clock_ms: float,
    ) -> int:
        return cold_shares.share(
            int(service.cold_per_s),
            self._address,
            self._table.view(clock_ms),
            known.endpoint.endpoint_id,
        )

    def _wait_ms(
        self, service: route_table.Service, known: endpoint_record.EndpointState
    ) -> float:
        """Returns the time until this gateway may send to a cold endpoint."""
        clock_ms = self._clock.now_ms()
        if not self._table.may_send(clock_ms):
            return max(NO_SHARE_RETRY_MS, self._table.settles_in_ms(clock_ms))
        wait_ms = self._windows.wait_ms(
            known.endpoint.endpoint_id,
            self._share(service, known, clock_ms),
            clock_ms,
        )
        return NO_SHARE_RETRY_MS if wait_ms is None else wait_ms

    def _record_size(
        self, service: route_table.Service, call: gateway_calls.Call
    ) -> bool:
        """Adds a request to the average; returns whether it is a short one."""
        size = float(call.prompt_tokens + call.most_tokens)
        average = self._sizes.get(service.name, size)
        self._sizes[service.name] = average + _SIZE_WEIGHT * (size - average)
        return size <= average


def has_limits(
    table: route_table.RouteTable | None,
) -> TypeGuard[route_table.RouteTable]:
    """Returns whether some service limits the rate of cold endpoints."""
    return table is not None and any(
        service.cold_per_s > 0.0 for service in table.services.values()
    )


def cold_until_ms(
    service: route_table.Service, known: endpoint_record.EndpointState
) -> float:
    """Returns until when an endpoint is cold, by the clock of the pool."""
    return max(
        known.cold_until_ms,
        known.stated_cold_until_ms,
        known.cold_since_ms + service.cold_start_ms,
    )


def _has_room(known: endpoint_record.EndpointState, now_ms: float) -> bool:
    return known.load(now_ms) < known.endpoint.slots


def _is_cached(
    call: gateway_calls.Call,
    warm: list[endpoint_record.EndpointState],
    uncached: dict[str, int],
) -> bool:
    """Returns whether a warm endpoint has a good part of the prompt cached."""
    tokens = sum(part.tokens for part in call.prompt_parts)
    most_cached = tokens - min(
        (uncached[each.endpoint.endpoint_id] for each in warm), default=tokens
    )
    return tokens > 0 and most_cached >= MIN_CACHED_FRACTION * tokens
