"""Bounded in-memory records of recent turns, for the owner of their budgets.

Nothing here needs to be durable: an owner that lacks an entry looks elsewhere
or asks again.
"""

from typing import TypeVar

from quetzalmill import gateway_messages

_MAX_HOLDERS = 20_000
_MAX_PROGRAMS = 20_000
_MAX_POSTPONED = 2_000

_MAX_ENDED = 2_000
"""Ended turns. A request about one is late by at most three seconds, in which
some hundred turns of a partition end."""

_Value = TypeVar("_Value")


class RecentTurns:
    """The recent turns of one partition; the oldest entries are dropped."""

    def __init__(self) -> None:
        self._holders: dict[str, str] = {}
        self._last_endpoints: dict[str, str] = {}
        self._ended: dict[str, bool] = {}
        self._postponed: dict[str, gateway_messages.SettleTurn] = {}

    def record_settlement(self, message: gateway_messages.SettleTurn) -> None:
        """Records how a turn ended."""
        turn_id = message.turn_id
        if message.holder:
            _remember(self._holders, turn_id, message.holder, _MAX_HOLDERS)
        if message.ran_on:
            _remember(
                self._last_endpoints,
                message.program_id,
                message.ran_on,
                _MAX_PROGRAMS,
            )
        given_up = message.used_tokens == 0
        _remember(self._ended, turn_id, given_up, _MAX_ENDED)

    def postpone(self, message: gateway_messages.SettleTurn) -> None:
        """Queues a settlement until there is an account to apply it to."""
        _remember(self._postponed, message.turn_id, message, _MAX_POSTPONED)

    def take_postponed(self) -> list[gateway_messages.SettleTurn]:
        """Removes and returns the queued settlements."""
        postponed, self._postponed = self._postponed, {}
        return list(postponed.values())

    def holder(self, turn_id: str) -> str:
        """Returns the address of a turn's holder; empty if unknown."""
        return self._holders.get(turn_id, "")

    def ran_on(self, program_id: str) -> str:
        """Returns the endpoint of a program's last turn; empty if unknown."""
        return self._last_endpoints.get(program_id, "")

    def record_start(self, turn_id: str) -> None:
        """Records that a turn starts, perhaps for a second time."""
        self._ended.pop(turn_id, None)

    def has_ended(self, turn_id: str) -> bool:
        """Returns whether a turn was recently settled or given up."""
        return turn_id in self._ended

    def is_given_up(self, turn_id: str) -> bool:
        """Returns whether a turn was recently given up before it ran."""
        return self._ended.get(turn_id, False)


def _remember(
    known: dict[str, _Value], turn_id: str, value: _Value, limit: int
) -> None:
    """Adds a value and drops the oldest one beyond the limit."""
    known[turn_id] = value
    if len(known) > limit:
        del known[next(iter(known))]
