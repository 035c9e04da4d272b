"""Decides which gateways may be sending to cold endpoints.

The table of one gateway is built from its readings of the topic ``members``.
Two gateways that send within the same second have each other in their views:

- A gateway sends only while its last reading began less than ``read_valid_ms``
  ago, and only ``settle_ms`` after its registration was acknowledged. Whoever
  sends within a second of it has read the topic after that registration.
- A gateway that left is marked in the topic, and stays in views for
  ``removal_ms`` after a reader first saw the mark. By then the marked gateway's
  last reading without the mark is outdated.

``settle_ms`` and ``removal_ms`` therefore have to exceed ``read_valid_ms`` plus
the window of the shares. All times are of one clock that counts suspension.
"""

import attrs

from quetzalmill import cold_shares

MARGIN_MS = 480.0
"""Allowance for differences between clock rates: ten percent of the waits."""


@attrs.frozen(kw_only=True)
class Timing:
    """The waits of the protocol; other values only in tests.

    Attributes:
        read_valid_ms: How long a reading is valid. Three of the reads that
            begin every half second may fail.
        settle_ms: The wait after a registration was acknowledged.
        removal_ms: How long a marked gateway stays in the view.
    """

    read_valid_ms: float = 2_000.0
    settle_ms: float = (
        2_000.0 + cold_shares.WINDOW_MS + cold_shares.SEND_JITTER_MS + MARGIN_MS
    )
    removal_ms: float = (
        2_000.0 + cold_shares.WINDOW_MS + cold_shares.SEND_JITTER_MS + MARGIN_MS
    )


@attrs.frozen
class Registered:
    """The record of a gateway that may be sending.

    Attributes:
        registration_id: Differs for each registration; empty in records of
            older versions.
    """

    registration_id: str


@attrs.frozen
class Marked:
    """The record of a gateway that left, or that others do not hear.

    Attributes:
        mark_id: Differs for each mark. Otherwise a mark that is written again,
            after a registration in between, would seem to be the first one.
    """

    mark_id: str


Member = Registered | Marked

_ABSENT = Marked("")
"""Stands for a record that was deleted."""


@attrs.frozen
class _Removal:
    mark: Marked
    seen_ms: float


class MemberTable:
    """The members of the topic as one gateway knows them.

    Args:
        address: The gateway's address.
        timing: The waits of the protocol.
    """

    def __init__(self, address: str, timing: Timing | None = None) -> None:
        self._address = address
        self._timing = Timing() if timing is None else timing
        self._present: set[str] = set()
        self._removals: dict[str, _Removal] = {}
        self._registration_id: str | None = None
        self._registered_ms = float("-inf")
        self._read_began_ms = float("-inf")
        self._own_is_read = False
        self._left = False

    def record_registration(
        self, registration_id: str, acknowledged_ms: float
    ) -> None:
        """Records that a registration of this gateway was acknowledged."""
        self._registration_id = registration_id
        self._registered_ms = acknowledged_ms
        self._own_is_read = False

    def record_leave(self) -> None:
        """Records that this gateway leaves; it sends no more from now on."""
        self._left = True

    def apply_read(
        self, members: dict[str, Member], began_ms: float, ended_ms: float
    ) -> None:
        """Applies a reading of the whole topic.

        Args:
            members: The records by address.
            began_ms: When the reading began.
            ended_ms: When it ended.
        """
        self._read_began_ms = began_ms
        present = set()
        removals = {}
        for address in {*members, *self._present, *self._removals}:
            match members.get(address, _ABSENT):
                case Registered():
                    present.add(address)
                case Marked() as mark:
                    known = self._removals.get(address)
                    if known is None or known.mark != mark:
                        known = _Removal(mark, ended_ms)
                    if address in members or self._holds(known, ended_ms):
                        removals[address] = known
        self._present, self._removals = present, removals
        self._own_is_read = self._registration_id is not None and members.get(
            self._address
        ) == Registered(self._registration_id)

    def needs_registration(self) -> bool:
        """Returns whether the last reading lacked its own registration."""
        if self._left:
            return False
        return self._registration_id is None or (
            self._read_began_ms >= self._registered_ms and not self._own_is_read
        )

    def may_send(self, now_ms: float) -> bool:
        """Returns whether this gateway may send to cold endpoints."""
        return (
            not self._left
            and self._own_is_read
            and self.read_age_ms(now_ms) < self._timing.read_valid_ms
            and now_ms - self._registered_ms > self._timing.settle_ms
        )

    def settles_in_ms(self, now_ms: float) -> float:
        """Returns how long it still waits after its registration."""
        if self._registration_id is None:
            return self._timing.settle_ms
        since_ms = now_ms - self._registered_ms
        return max(0.0, self._timing.settle_ms - since_ms)

    def read_age_ms(self, now_ms: float) -> float:
        """Returns the time since the last reading began."""
        return now_ms - self._read_began_ms

    def present(self) -> set[str]:
        """Returns the addresses of the gateways that are not marked."""
        return self._present

    def view(self, now_ms: float) -> set[str]:
        """Returns the addresses of the gateways that may be sending."""
        leaving = {
            address
            for address, removal in self._removals.items()
            if self._holds(removal, now_ms)
        }
        return self._present | leaving

    def _holds(self, removal: _Removal, now_ms: float) -> bool:
        return now_ms - removal.seen_ms <= self._timing.removal_ms
