"""The memory that one process holds for its callers and endpoints.

Every buffer that another party can make grow is a charge of the account:
connections with their heads, bodies, prompts, and responses. The account only
counts; ``memory_decision`` decides who may take more.
"""

from collections.abc import Iterable
import enum

import attrs

CONNECTIONS = "(connections)"
"""The team of connections whose caller is not known yet; no name of a team has
parentheses, and a team of this name would only share the limit."""


class Kind(enum.Enum):
    """What a charge is for; the values are names of metrics."""

    CONNECTION = "connections"
    BODY = "bodies"
    PROMPT = "prompts"
    RESPONSE = "responses"
    UNREAD = "unread_responses"


@attrs.define(eq=False, kw_only=True)
class Charge:
    """Memory that is held for one party.

    Attributes:
        kind: What it is for.
        team: The team that it is held for.
        progress_ms: When its party last made progress.
        number: Its position in the order in which charges were opened.
        held_bytes: Its size.
        remaining_bytes: How much may follow.
        waited_ms: How long it has waited for memory in total.
        is_revocable: Whether its party may be disconnected now: either its
            request has not run, or it does not read its response.
        is_waiting: Whether it waits for memory, so that its party cannot make
            progress.
        is_idle: Whether it is a connection that has no request.
        is_open: Whether it is part of the account.
    """

    kind: Kind
    team: str
    progress_ms: float
    number: int = 0
    held_bytes: int = 0
    remaining_bytes: int = 0
    waited_ms: float = 0.0
    is_revocable: bool = True
    is_waiting: bool = False
    is_idle: bool = False
    is_open: bool = True


class MemoryAccount:
    """Counts the memory that is held.

    Args:
        limit_bytes: The memory that all charges may hold together.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self._charges: set[Charge] = set()
        self._by_team: dict[str, int] = {}
        self._by_kind = dict.fromkeys(Kind, 0)
        self._held_bytes = 0
        self._opened_charges = 0

    @property
    def held_bytes(self) -> int:
        """The memory that all charges hold."""
        return self._held_bytes

    @property
    def free_bytes(self) -> int:
        """The memory that is left; negative while too much is held."""
        return self.limit_bytes - self._held_bytes

    def charges(self) -> Iterable[Charge]:
        """Returns the open charges."""
        return self._charges

    def held_by_team(self, team: str) -> int:
        """Returns the memory that a team holds."""
        return self._by_team.get(team, 0)

    def held_by_kind(self, kind: Kind) -> int:
        """Returns the memory that charges of a kind hold."""
        return self._by_kind[kind]

    def open(self, kind: Kind, team: str, now_ms: float) -> Charge:
        """Adds an empty charge."""
        self._opened_charges += 1
        charge = Charge(
            kind=kind,
            team=team,
            progress_ms=now_ms,
            number=self._opened_charges,
        )
        self._charges.add(charge)
        return charge

    def add(self, charge: Charge, more_bytes: int) -> None:
        """Changes the size of a charge; one that was closed stays empty."""
        if not charge.is_open:
            return
        charge.held_bytes += more_bytes
        self._held_bytes += more_bytes
        self._by_kind[charge.kind] += more_bytes
        held_bytes = self._by_team.get(charge.team, 0) + more_bytes
        if held_bytes:
            self._by_team[charge.team] = held_bytes
        else:
            # The names of past teams must not accumulate.
            self._by_team.pop(charge.team, None)

    def close(self, charge: Charge) -> None:
        """Removes a charge; closing it again does nothing."""
        self.add(charge, -charge.held_bytes)
        charge.is_open = False
        self._charges.discard(charge)
