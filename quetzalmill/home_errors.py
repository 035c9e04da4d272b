"""Errors by which a home refuses a request."""

from typing import Any

from quetzalmill import errors
from quetzalmill import messages
from quetzalmill import program_id
from quetzalmill import programs


class UnknownProgramError(errors.QuetzalmillError):
    """The program is not known, or its records have been lost.

    Attributes:
        ran: Whether an earlier request may have run the refused call.
    """

    ran = messages.Ran.NO


class MovedError(errors.QuetzalmillError):
    """Another process is the program's home.

    Attributes:
        home: That process, None if it is not known here.
    """

    def __init__(self, home: program_id.Home | None) -> None:
        super().__init__("the program has another home")
        self.home = home


class RefusedError(errors.QuetzalmillError):
    """A request is refused and is not run.

    Attributes:
        ran: Whether an earlier request may have run the refused call.
        status: The HTTP status.
        code: A short error code.
        retry_after_ms: Retry-after delay, None if a retry does not help.
        details: Further fields for the caller.
    """

    ran = messages.Ran.NO

    def __init__(
        self,
        status: int,
        code: str,
        message: str,
        retry_after_ms: float | None = None,
        details: dict[str, Any] | None = None,
    ) -> None:
        super().__init__(message)
        self.status = status
        self.code = code
        self.retry_after_ms = retry_after_ms
        self.details = details or {}


def refusal_of(admission: programs.Admission) -> RefusedError:
    """Returns the refusal for a call that was not admitted."""
    match admission:
        case programs.OrderConflict(
            expected_call=expected, chain=chain, reason=reason
        ):
            return RefusedError(
                409,
                "order_conflict",
                f"{reason}; call {expected} is expected",
                details={"expected_call": expected, "history": chain},
            )
        case programs.BudgetSpent(program=program, limit=limit):
            return RefusedError(
                402,
                "budget_spent",
                f"the budget of program {program} is spent: {limit}",
            )
        case _:
            return RefusedError(404, "program_ended", "the program has ended")
