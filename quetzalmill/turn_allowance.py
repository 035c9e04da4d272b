"""The tokens of its program's budget that a running turn may send."""

from collections.abc import Awaitable, Callable

import attrs

from quetzalmill import event_relay


@attrs.define(kw_only=True, eq=False)
class Allowance:
    """The tokens that the budget's owner has released to one turn.

    Attributes:
        most_tokens: The token limit of the turn. Tokens that an endpoint sends
            beyond it are forwarded and charged, since the turn already runs.
        released_tokens: The tokens that it may send without a request.
        event_tokens: The tokens in an event.
        request_release: Requests the remaining tokens; returns once they are
            released.
        is_waiting: Whether events are held back until then.
    """

    most_tokens: int
    released_tokens: int
    event_tokens: int
    request_release: Callable[[], Awaitable[None]]
    is_waiting: bool = False

    def covers(self, events: int) -> bool:
        """Returns whether this many events in total may be sent."""
        tokens = min(events * self.event_tokens, self.most_tokens)
        return tokens <= self.released_tokens

    async def wait_for_release(
        self, relay: event_relay.EventRelay, events: event_relay.Events
    ) -> None:
        """Waits until the last events fed to the relay may be sent.

        Takes them back from the relay if the wait fails.
        """
        if self.covers(relay.events):
            return
        self.is_waiting = True
        try:
            await self.request_release()
            self.released_tokens = self.most_tokens
            self.is_waiting = False
        finally:
            if self.is_waiting:
                relay.mark_unsent(events)
