"""Prefers endpoints that handled an object recently, on sticky routes.

Load patterns:

- Requests about the same few objects arrive at several gateways in turn. An
  endpoint that handled the object recently does half of the work, so all
  gateways should choose the same one, without messages.
- One object becomes hot: more requests than its endpoint has slots for. Waiting
  there outweighs the gain, and the rest must spread.

Rendezvous hashing over the usable endpoints gives all gateways the same order
for an object; the first one that is not overloaded is preferred. A gateway also
prefers the endpoint to which it last sent the object itself, which may differ
after an overload or a change of the endpoints. The preference only lowers an
endpoint's estimate, so that a longer wait outweighs it.
"""

from collections.abc import Callable
import hashlib
import re

import attrs

from quetzalmill import endpoint_choice
from quetzalmill import endpoint_leaving
from quetzalmill import endpoint_record
from quetzalmill import route_table

SAVED_FRACTION = 0.5
"""The fraction of a request's work that is saved where the object was handled
recently."""

RECENT_MS = 20_000.0
"""How long a sent request counts as recent; not measured, as endpoints do not
report for how long they keep an object."""

LOAD_BOUND = 1.25
"""The multiple of the average load per slot up to which an endpoint is
preferred; the usual bound for hashing with bounded loads."""

MAX_OBJECTS = 4_096
"""How many objects are remembered; about 1 MB with keys of usual length."""

MAX_KEY_BYTES = 256
"""The longest key that is used as it is; longer ones are hashed."""

_SEPARATORS = re.compile("[;,]")
"""Cookies of one header are separated by semicolons, and repeated headers by
commas; a cookie's value contains neither."""


def object_key(cookies: str, name: str) -> str:
    """Returns the key of the object that a request is about; empty if none.

    The first cookie of that name that is not empty counts, so that all gateways
    read a repeated one alike.

    Args:
        cookies: The value of the header with the cookies.
        name: The name of the cookie.
    """
    for cookie in _SEPARATORS.split(cookies):
        found, _, value = cookie.partition("=")
        value = value.strip(' \t"')
        if found.strip(" \t") != name or not value:
            continue
        data = value.encode(errors="surrogatepass")
        if len(data) > MAX_KEY_BYTES:
            return hashlib.blake2b(data, digest_size=16).hexdigest()
        return value
    return ""


@attrs.frozen
class _Handled:
    instance: endpoint_leaving.EndpointInstance
    at_ms: float


class ObjectAffinity:
    """Which endpoints a gateway prefers for an object.

    Args:
        max_objects: How many objects are remembered; beyond that, the one sent
            longest ago is forgotten.
    """

    def __init__(self, max_objects: int = MAX_OBJECTS) -> None:
        self._max_objects = max_objects
        self._handled: dict[tuple[str, str], _Handled] = {}

    def __len__(self) -> int:
        """Returns how many objects are remembered."""
        return len(self._handled)

    def record(
        self,
        route: route_table.Route,
        key: str,
        endpoint: endpoint_record.Endpoint,
        now_ms: float,
    ) -> None:
        """Records that an endpoint has handled an object."""
        if not (route.is_sticky and key):
            return
        entry = (endpoint.service, key)
        self._handled.pop(entry, None)
        self._handled[entry] = _Handled(endpoint.instance(), now_ms)
        if len(self._handled) > self._max_objects:
            del self._handled[next(iter(self._handled))]

    def gains_ms(
        self,
        route: route_table.Route,
        key: str,
        usable: list[endpoint_record.EndpointState],
        load: Callable[[endpoint_record.EndpointState], float],
        *,
        average_ms: float,
        now_ms: float,
    ) -> dict[str, float]:
        """Returns by how much to lower the estimates of preferred endpoints.

        Args:
            route: The request's route.
            key: The object that it is about; empty if unknown.
            usable: The endpoints that may get it, all of one service.
            load: Returns the requests at an endpoint.
            average_ms: The average latency of the route; 0 if unknown.
            now_ms: The current time.

        Returns:
            The gains by endpoint id; empty if no endpoint is preferred.
        """
        if not (route.is_sticky and key and usable):
            return {}
        preferred = [_first_by_hash(key, usable, load)]
        handled = self._handled.get((preferred[0].endpoint.service, key))
        if handled is not None and now_ms - handled.at_ms <= RECENT_MS:
            preferred += [
                each
                for each in usable
                if each.endpoint.instance() == handled.instance
            ]
        gain_ms = SAVED_FRACTION * average_ms
        return {each.endpoint.endpoint_id: gain_ms for each in preferred}


def lowered(
    estimates: list[endpoint_choice.Estimate], gains_ms: dict[str, float]
) -> list[endpoint_choice.Estimate]:
    """Returns estimates, lower by the gains of preferred endpoints."""
    return [
        attrs.evolve(
            each,
            extra_ms=each.extra_ms
            - gains_ms.get(each.endpoint_state.endpoint.endpoint_id, 0.0),
        )
        for each in estimates
    ]


def describe(gains_ms: dict[str, float], endpoint_id: str) -> str:
    """Returns how a choice relates to the preference, for log and metrics."""
    if not gains_ms:
        return ""
    return "preferred" if endpoint_id in gains_ms else "other"


def _first_by_hash(
    key: str,
    usable: list[endpoint_record.EndpointState],
    load: Callable[[endpoint_record.EndpointState], float],
) -> endpoint_record.EndpointState:
    """Returns the first endpoint by hash that is not overloaded.

    That is one with a free slot; if there is none, one within the bound.
    """
    ranked = sorted(
        usable,
        key=lambda each: _weight(key, each.endpoint.endpoint_id),
        reverse=True,
    )
    loads = {
        each.endpoint.endpoint_id: load(each) / max(1, each.endpoint.slots)
        for each in ranked
    }
    # At least one is at most as loaded as the average.
    bound = max(1.0, LOAD_BOUND * sum(loads.values()) / len(loads))
    free = [each for each in ranked if loads[each.endpoint.endpoint_id] < 1.0]
    return next(
        each
        for each in free or ranked
        if loads[each.endpoint.endpoint_id] <= bound
    )


def _weight(key: str, endpoint_id: str) -> bytes:
    data = f"{endpoint_id}/{key}".encode(errors="surrogatepass")
    return hashlib.blake2b(data, digest_size=8).digest()
