"""Answers the budget calls of other gateways."""

from collections.abc import Awaitable, Callable

from quetzalmill import budget_owner
from quetzalmill import gateway_messages
from quetzalmill import gateway_turns


class BudgetHandlers:
    """Passes budget calls to the owner of their partition.

    Args:
        owners: The budget owner of each partition.
        partition_of: Returns the partition of a program.
    """

    def __init__(
        self,
        owners: list[budget_owner.BudgetOwner],
        partition_of: Callable[[str], int],
    ) -> None:
        self._owners = owners
        self._partition_of = partition_of

    def reserve(
        self, message: gateway_messages.ReserveTurn
    ) -> (
        gateway_messages.ReserveReply | Awaitable[gateway_messages.ReserveReply]
    ):
        """Reserves tokens for a turn."""
        return self._owner(message.program_id).reserve(message)

    def release(
        self, message: gateway_messages.ReleaseTurn
    ) -> (
        gateway_messages.ReleaseReply | Awaitable[gateway_messages.ReleaseReply]
    ):
        """Releases the remaining tokens of a turn."""
        return self._owner(message.program_id).release(message)

    def settle(
        self, message: gateway_messages.SettleTurn
    ) -> gateway_messages.SettleReply:
        """Records how many tokens a turn sent."""
        self._owner(message.program_id).settle(message)
        return gateway_messages.SettleReply()

    def hand_over(
        self, message: gateway_messages.HandOver
    ) -> gateway_messages.HandOverReply:
        """Hands a partition's accounts over, or tells only their epoch."""
        owner = self._owners[message.part]
        if message.only_epoch:
            return gateway_messages.HandOverReply(
                epoch=owner.known_epoch(), accounts={}
            )
        epoch, accounts = owner.hand_over()
        return gateway_messages.HandOverReply(
            epoch=epoch, accounts=accounts, loss_age_ms=owner.loss_age_ms()
        )

    def _owner(self, account: str) -> budget_owner.BudgetOwner:
        program_id = gateway_turns.program_of(account)
        return self._owners[self._partition_of(program_id)]
