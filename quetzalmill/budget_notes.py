"""What an owner of budgets remembers of turns besides their tokens.

Nothing of it must last: an owner that lacks it looks elsewhere or asks again.
"""

from typing import TypeVar

from quetzalmill import gateway_messages

_REMEMBERED_HOLDERS = 20_000
_REMEMBERED_PROGRAMS = 20_000
_MOST_POSTPONED = 2_000

_REMEMBERED_ENDED = 2_000
"""Turns that have ended; a question about one comes late by three seconds at
most, in which a partition ends some hundred turns."""

_Value = TypeVar("_Value")


class BudgetNotes:
    """The notes on the turns of one partition."""

    def __init__(self) -> None:
        self._holders: dict[str, str] = {}
        self._ran_on: dict[str, str] = {}
        self._ended: dict[str, bool] = {}
        self._postponed: dict[str, gateway_messages.SettleTurn] = {}

    def settled(self, message: gateway_messages.SettleTurn) -> None:
        """Takes note of how a turn ended."""
        turn_id = message.turn_id
        if message.holder:
            _remember(
                self._holders, turn_id, message.holder, _REMEMBERED_HOLDERS
            )
        if message.ran_on:
            _remember(
                self._ran_on,
                message.program_id,
                message.ran_on,
                _REMEMBERED_PROGRAMS,
            )
        given_up = message.used_tokens == 0
        _remember(self._ended, turn_id, given_up, _REMEMBERED_ENDED)

    def postpone(self, message: gateway_messages.SettleTurn) -> None:
        """Keeps a settlement until there is an account to apply it to."""
        _remember(self._postponed, message.turn_id, message, _MOST_POSTPONED)

    def take_postponed(self) -> list[gateway_messages.SettleTurn]:
        """Returns the settlements that were kept, and forgets them."""
        postponed, self._postponed = self._postponed, {}
        return list(postponed.values())

    def holder(self, turn_id: str) -> str:
        """Returns the address of a gateway that holds a turn, or nothing."""
        return self._holders.get(turn_id, "")

    def ran_on(self, program_id: str) -> str:
        """Returns the endpoint that ran a program's last turn, or nothing."""
        return self._ran_on.get(program_id, "")

    def began(self, turn_id: str) -> None:
        """Takes note that a turn runs, perhaps again."""
        self._ended.pop(turn_id, None)

    def has_ended(self, turn_id: str) -> bool:
        """Returns whether a turn was settled lately, or given up."""
        return turn_id in self._ended

    def is_given_up(self, turn_id: str) -> bool:
        """Returns whether a turn was given up lately before it ran."""
        return self._ended.get(turn_id, False)


def _remember(
    known: dict[str, _Value], turn_id: str, value: _Value, most: int
) -> None:
    """Keeps a value for a turn; the oldest goes where there are too many."""
    known[turn_id] = value
    if len(known) > most:
        del known[next(iter(known))]
