"""Divides the request rate of a cold endpoint among gateways.

Load pattern: an endpoint has just started, and all gateways, each with a small
load of its own, send to it at once because it is idle. Together they exceed
what it bears while it is cold, and it crashes; its successor meets the same.

Each gateway may send a fixed number of requests in any sliding second, its
share. The shares follow from the gateways in its view (``member_table``)
alone, so that they need no messages while requests arrive.
"""

import collections
from collections.abc import Collection
import functools
import hashlib

WINDOW_MS = 1_000.0
"""The window of the platform's bound, any sliding second."""

SEND_JITTER_MS = 20.0
"""By how much two sends may move closer together between the check and their
first bytes. Sends count for this much longer than the window."""

_MAX_ENDPOINTS = 4_096
"""Endpoints with sends on record from which on outdated ones are removed."""

_WEIGHT_CACHE_SIZE = 65_536


def share(
    tokens: int, address: str, view: Collection[str], endpoint_id: str
) -> int:
    """Returns how many requests a gateway may send in any sliding second.

    The gateway of rank ``r`` among ``n`` has the tokens ``t`` with ``t mod n =
    r``. A gateway with a larger view never gets more, so the shares of gateways
    with different views add up to at most ``tokens`` if each view contains all
    gateways that send.

    Args:
        tokens: The requests of all gateways in any sliding second.
        address: The gateway's address.
        view: The addresses of the gateways that may be sending.
        endpoint_id: The endpoint; it determines who gets what is left over.
    """
    if address not in view:
        return 0
    return len(range(rank(address, view, endpoint_id), tokens, len(view)))


def rank(address: str, among: Collection[str], name: str) -> int:
    """Returns a gateway's rank by rendezvous hashing, from 0."""
    own = _weight(name, address)
    return sum(_weight(name, other) > own for other in among)


class SendWindows:
    """The recent sends of one gateway to each endpoint.

    Sends to warm endpoints count too, as an endpoint may have become cold
    before this gateway learns of it.
    """

    def __init__(self) -> None:
        self._sent_ms: dict[str, collections.deque[float]] = {}

    def record(self, endpoint_id: str, now_ms: float) -> None:
        """Records a send."""
        if len(self._sent_ms) >= _MAX_ENDPOINTS:
            self._remove_outdated(now_ms)
        sent_ms = self._sent_ms.setdefault(endpoint_id, collections.deque())
        _trim(sent_ms, now_ms)
        sent_ms.append(now_ms)

    def count(self, endpoint_id: str, now_ms: float) -> int:
        """Returns the number of sends within the window."""
        sent_ms = self._sent_ms.get(endpoint_id)
        if sent_ms is None:
            return 0
        _trim(sent_ms, now_ms)
        return len(sent_ms)

    def wait_ms(
        self, endpoint_id: str, allowed: int, now_ms: float
    ) -> float | None:
        """Returns the time until another send is within the share.

        Args:
            endpoint_id: The endpoint.
            allowed: The share, in requests in any sliding second.
            now_ms: The current time.

        Returns:
            0 if a send is within the share now, None if none ever is.
        """
        if allowed <= 0:
            return None
        count = self.count(endpoint_id, now_ms)
        if count < allowed:
            return 0.0
        blocking_ms = self._sent_ms[endpoint_id][count - allowed]
        return blocking_ms + WINDOW_MS + SEND_JITTER_MS - now_ms

    def _remove_outdated(self, now_ms: float) -> None:
        for endpoint_id in list(self._sent_ms):
            if not self.count(endpoint_id, now_ms):
                del self._sent_ms[endpoint_id]


def _trim(sent_ms: collections.deque[float], now_ms: float) -> None:
    """Removes the sends before the window."""
    while sent_ms and now_ms - sent_ms[0] >= WINDOW_MS + SEND_JITTER_MS:
        sent_ms.popleft()


@functools.lru_cache(maxsize=_WEIGHT_CACHE_SIZE)
def _weight(endpoint_id: str, address: str) -> tuple[bytes, str]:
    """Returns a gateway's rendezvous weight; different for each address."""
    text = f"{endpoint_id}/{address}".encode("utf-8", "surrogatepass")
    return hashlib.blake2b(text, digest_size=8).digest(), address
