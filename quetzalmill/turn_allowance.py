"""What a running turn may hand out of its program's budget."""

from collections.abc import Awaitable, Callable

import attrs

from quetzalmill import event_relay


@attrs.define(kw_only=True, eq=False)
class Allowance:
    """The tokens that the budget's owner has released to one turn.

    Attributes:
        most_tokens: What the turn generates at most. What an endpoint sends
            beyond it is passed on and charged, as the turn runs already.
        released_tokens: What it may hand out without asking.
        event_tokens: The tokens in an event.
        ask: Returns once the owner has released the rest.
        is_waiting: Whether events are held back until then.
    """

    most_tokens: int
    released_tokens: int
    event_tokens: int
    ask: Callable[[], Awaitable[None]]
    is_waiting: bool = False

    def holds(self, events: int) -> bool:
        """Returns whether so many events in all may go out."""
        tokens = min(events * self.event_tokens, self.most_tokens)
        return tokens <= self.released_tokens

    async def let_out(
        self, relay: event_relay.EventRelay, events: event_relay.Events
    ) -> None:
        """Returns once the events that the relay was fed last may go out."""
        if self.holds(relay.events):
            return
        self.is_waiting = True
        try:
            await self.ask()
            self.released_tokens = self.most_tokens
            self.is_waiting = False
        finally:
            if self.is_waiting:
                relay.take_back(events)
