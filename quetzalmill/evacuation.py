"""Decides which failure domains are evacuated, from store records and peers.

Load pattern: a failure domain is about to lose its power or network, and an
operator orders that no more requests are sent there. The order must reach all
gateways within seconds while the store fails for some of them and heartbeats
are lost, repeated and reordered.

Positions in the operator's topic order everything that is known. A position is
the number of records before it, so a record at offset ``o`` is known at
position ``o + 1``. The newer statement about a domain wins, whatever its
source; of two at the same position, the one that evacuates. A reader that has
read the topic from a snapshot on knows the state of all domains at its
position, including those without an order. A report to peers says the same, so
that it acts as a snapshot of the topic.
"""

from collections.abc import Callable, Iterable

import attrs

from quetzalmill import logs

MAX_NAME_BYTES = 255
"""The longest name of a failure domain; the longest key of the store."""

MAX_DOMAINS = 64
"""The most domains with an order; several times those of the largest site. The
names then fill a quarter of a heartbeat's datagram."""

RECENT_CHANGE_MS = 3_000.0
"""How long after a change every heartbeat carries the report; fifteen of small
fleets, of which some arrive."""

MAX_POSITION = 2**63 - 1
"""The highest position that is accepted from a peer, that of the store."""

STORE = "store"
"""The source of a change that was read from the store."""

_MAX_LOGGED_CHARACTERS = 64
_MAX_LOGGED_PEERS = 256
"""The most peers whose unusable reports are logged, once each."""

_log = logs.get("evacuation")


@attrs.frozen(kw_only=True)
class Issued:
    """An order to evacuate a domain; known at a position."""

    domain: str
    position: int


@attrs.frozen(kw_only=True)
class Withdrawn:
    """The withdrawal of an order; known at a position."""

    domain: str
    position: int


@attrs.frozen(kw_only=True)
class Unreadable:
    """A record that is neither an order nor a withdrawal.

    Attributes:
        domain: The domain that it names; empty if that is unreadable too.
        reason: Why it cannot be read.
    """

    domain: str
    reason: str


Change = Issued | Withdrawn | Unreadable


@attrs.frozen(kw_only=True)
class Report:
    """What a gateway knows, as sent in heartbeats.

    Attributes:
        position: The position at which every domain that is not listed is
            known to have no order; 0 for none.
        evacuated: The domains with an order, and the position of each.
        unordered: Domains without an order that are known at another position
            than ``position``; 0 if the domain's newest record is unreadable.
    """

    position: int = 0
    evacuated: dict[str, int] = attrs.field(factory=dict)
    unordered: dict[str, int] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class Moment:
    """When and from whom a gateway learned something.

    Attributes:
        now_ms: The gateway's current time.
        source: ``STORE``, or the host of a peer.
    """

    now_ms: float
    source: str = STORE


@attrs.frozen(kw_only=True)
class InForce:
    """An order in force at this gateway.

    Attributes:
        since: When and from whom it was learned.
        position: The position of the newest record that ordered it.
    """

    since: Moment
    position: int


class Evacuations:
    """The evacuated failure domains as known to one gateway.

    Args:
        on_withdrawn: Called with a domain and the time when its order ends.
    """

    def __init__(
        self,
        on_withdrawn: Callable[[str, float], None] = lambda domain, now_ms: (
            None
        ),
    ) -> None:
        self._on_withdrawn = on_withdrawn
        self._in_force: dict[str, InForce] = {}
        self._unordered: dict[str, int] = {}
        self._position = 0
        self._is_full = False
        self._logged_peers: set[str] = set()
        self._report = Report()
        self._changed_ms = float("-inf")

    def __len__(self) -> int:
        """Returns the number of evacuated domains."""
        return len(self._in_force)

    def is_evacuated(self, domain: str) -> bool:
        """Returns whether no requests may be sent to a domain."""
        return domain in self._in_force

    def in_force(self) -> dict[str, InForce]:
        """Returns the orders in force, by domain."""
        return dict(self._in_force)

    def report(self) -> Report:
        """Returns what to send to peers."""
        return self._report

    def report_to_send(self, now_ms: float, *, is_whole: bool) -> Report | None:
        """Returns the report for a heartbeat, or None to save its bytes.

        Without an order only full heartbeats carry it, except after a change.
        """
        if (
            is_whole
            or self._in_force
            or now_ms - self._changed_ms < RECENT_CHANGE_MS
        ):
            return self._report
        return None

    def needs_snapshot(self) -> bool:
        """Returns whether an order was left out that there is room for now."""
        return self._is_full and self._count() < MAX_DOMAINS

    def apply_changes(
        self, changes: Iterable[Change], position: int, moment: Moment
    ) -> None:
        """Applies records that were read from the store.

        Args:
            changes: The records about evacuations, oldest first.
            position: The position up to which the topic was read.
            moment: The current time.
        """
        for change in changes:
            match change:
                case Issued(domain=domain, position=known):
                    self._issue(domain, known, moment)
                case Withdrawn(domain=domain, position=known):
                    self._withdraw(domain, known, moment)
                case Unreadable():
                    _log_unreadable(change)
        self._advance(position)

    def apply_snapshot(
        self, changes: Iterable[Change], position: int, moment: Moment
    ) -> None:
        """Applies the newest record of each key of the store.

        Args:
            changes: The records about evacuations.
            position: The position of the snapshot; records that were appended
                while it was read may be later.
            moment: The current time.
        """
        listed = {change.domain: change for change in changes}
        if self._is_full:
            self._is_full = False
            self._position = 0
        # Peers may know the record before an unreadable one.
        unclear = {
            change.domain: self._known_position(change.domain)
            for change in listed.values()
            if isinstance(change, Unreadable)
            and change.domain
            and change.domain not in self._in_force
            and position > self._position
        }
        for domain in [*self._in_force, *self._unordered]:
            if domain not in listed:
                self._withdraw(domain, position, moment)
        self.apply_changes(listed.values(), position, moment)
        for domain, known in unclear.items():
            self._set_unordered(domain, known)
        self._update_report()

    def apply_report(self, report: Report | None, moment: Moment) -> None:
        """Applies a peer's report, if there is one; it may be old."""
        if report is None or report == self._report:
            return
        if not _is_usable(report):
            self._log_peer(moment.source)
            return
        listed = {*report.evacuated, *report.unordered}
        for domain in {*listed, *self._in_force, *self._unordered}:
            if domain in report.evacuated:
                self._issue(domain, report.evacuated[domain], moment)
            else:
                known = report.unordered.get(domain, report.position)
                self._withdraw(domain, known, moment)
            if domain not in self._in_force:
                self._set_unordered(domain, self._known_position(domain))
        self._position = max(self._position, report.position)
        self._update_report()

    def _advance(self, position: int) -> None:
        """Records that all records up to a position were applied.

        A withdrawal need not be listed once everything up to it was read. One
        from before ``_position`` is kept, as something unreadable may have
        followed it.
        """
        position = max(self._position, position)
        self._unordered = {
            domain: known
            for domain, known in self._unordered.items()
            if known == 0 or not self._position <= known <= position
        }
        self._position = position
        self._update_report()

    def _known_position(self, domain: str) -> int:
        order = self._in_force.get(domain)
        if order is not None:
            return order.position
        return self._unordered.get(domain, self._position)

    def _issue(self, domain: str, position: int, moment: Moment) -> None:
        known = self._known_position(domain)
        order = self._in_force.get(domain)
        if position < known or (order is not None and position == known):
            return
        if order is not None:
            self._in_force[domain] = attrs.evolve(order, position=position)
            return
        if not self._make_room(domain):
            return
        self._unordered.pop(domain, None)
        self._in_force[domain] = InForce(since=moment, position=position)
        self._changed_ms = moment.now_ms
        _log_change(domain, True, position, moment)

    def _withdraw(self, domain: str, position: int, moment: Moment) -> None:
        if position <= self._known_position(domain):
            return
        order = self._in_force.pop(domain, None)
        self._unordered.pop(domain, None)
        self._set_unordered(domain, position)
        if order is None:
            return
        self._changed_ms = moment.now_ms
        self._on_withdrawn(domain, moment.now_ms)
        _log_change(domain, False, position, moment)

    def _set_unordered(self, domain: str, position: int) -> None:
        if domain in self._unordered or self._make_room(domain):
            self._unordered[domain] = position

    def _make_room(self, domain: str) -> bool:
        """Returns whether a domain may be added.

        Without room for all domains this gateway's reports claim nothing about
        the domains that they do not list.
        """
        if domain in self._unordered or self._count() < MAX_DOMAINS:
            return True
        if not self._is_full:
            _log.warning(
                "evacuations_full", domain=_shorten(domain), limit=MAX_DOMAINS
            )
        self._is_full = True
        if self._unordered:
            del self._unordered[next(iter(self._unordered))]
            return True
        return False

    def _count(self) -> int:
        return len(self._in_force) + len(self._unordered)

    def _update_report(self) -> None:
        self._unordered = {
            domain: known
            for domain, known in self._unordered.items()
            if known != self._position
        }
        self._report = Report(
            position=0 if self._is_full else self._position,
            evacuated={
                domain: order.position
                for domain, order in self._in_force.items()
            },
            unordered=dict(self._unordered),
        )

    def _log_peer(self, peer: str) -> None:
        if (
            peer not in self._logged_peers
            and len(self._logged_peers) < _MAX_LOGGED_PEERS
        ):
            self._logged_peers.add(peer)
            _log.warning("evacuations_unusable", peer=_shorten(peer))


def is_name(domain: str) -> bool:
    """Returns whether a text may be the name of a failure domain."""
    return (
        0 < len(domain.encode("utf-8", "surrogatepass")) <= MAX_NAME_BYTES
        and domain.isprintable()
        and "\N{REPLACEMENT CHARACTER}" not in domain
    )


def _is_usable(report: Report) -> bool:
    known = {**report.unordered, **report.evacuated}
    return (
        0 <= report.position <= MAX_POSITION
        and len(report.evacuated) + len(report.unordered) <= MAX_DOMAINS
        and all(map(is_name, known))
        and all(0 <= each <= MAX_POSITION for each in known.values())
    )


def _log_change(
    domain: str, evacuated: bool, position: int, moment: Moment
) -> None:
    _log.warning(
        "domain_evacuated" if evacuated else "evacuation_withdrawn",
        domain=domain,
        offset=position - 1,
        source=moment.source,
    )


def _log_unreadable(change: Unreadable) -> None:
    _log.warning(
        "evacuation_unreadable",
        domain=_shorten(change.domain),
        reason=_shorten(change.reason),
    )


def _shorten(text: str) -> str:
    return text[:_MAX_LOGGED_CHARACTERS]
