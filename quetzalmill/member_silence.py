"""Decides which members of the topic a gateway marks as gone.

A gateway that crashed leaves its record behind, and with it a share of every
cold endpoint that nobody uses. A mark of a gateway that still runs does no
harm but takes its shares for some seconds, so evidence is required: a long
silence, observed without a gap, by a gateway that hears half of the members. A
gateway that hears fewer waits longer, since they may be records of machines
that no longer exist.

Load pattern: a gateway is suspended or loses its links, and at its return all
others seem silent; it would mark them all, and no gateway could send.
"""

import attrs

from quetzalmill import cold_shares

MARK_AFTER_MS = 15_000.0
"""The silence after which a member is marked; as long as peers stay in the
table of peers (``peers.PEER_EXPIRY_MS``)."""

MINORITY_MARK_AFTER_MS = 60_000.0
"""The silence if fewer than half of the members are heard. If this gateway is
the one cut off, the others lose their shares for a few seconds a minute."""

RANK_DELAY_MS = 1_500.0
"""Additional silence for each heard gateway that marks before this one, so that
usually one gateway writes; three reads of the topic."""

MAX_GAP_MS = 2_000.0
"""The longest gap between two observations of one silence."""

MAX_MARKS = 8
"""The most members that are marked at a time, to bound the writes."""


@attrs.define
class MemberSilence:
    """The silences that one gateway observes.

    Args:
        address: The gateway's address.
    """

    _address: str
    _since_ms: dict[str, float] = attrs.field(factory=dict, init=False)
    _last_ms: float = attrs.field(default=float("-inf"), init=False)

    def update(
        self, present: set[str], heard: set[str], now_ms: float
    ) -> list[str]:
        """Returns the members that should be marked now.

        Args:
            present: The members that are not marked.
            heard: The gateways heard from recently.
            now_ms: The current time, by a clock that counts suspension.
        """
        if now_ms - self._last_ms > MAX_GAP_MS:
            self._since_ms = {}
        self._last_ms = now_ms
        others = present - {self._address}
        silent = others - heard
        self._since_ms = {
            address: self._since_ms.get(address, now_ms) for address in silent
        }
        markers = (heard & present) | {self._address}
        is_minority = 2 * len(markers) < len(present)
        after_ms = MINORITY_MARK_AFTER_MS if is_minority else MARK_AFTER_MS
        due = sorted(
            address
            for address, since_ms in self._since_ms.items()
            if now_ms - since_ms
            >= after_ms
            + RANK_DELAY_MS * cold_shares.rank(self._address, markers, address)
        )
        for address in due[:MAX_MARKS]:
            # If the write fails or the member returns, it starts anew.
            del self._since_ms[address]
        return due[:MAX_MARKS]
