"""Sends the outcome of a request to its caller."""

from quetzalmill import gateway_outcomes as outcomes
from quetzalmill import http_server


async def send(
    exchange: http_server.Exchange,
    outcome: outcomes.Outcome,
    *,
    end_is_durable: bool,
) -> None:
    """Sends a response, or ends one that was streamed.

    Args:
        exchange: The exchange with the caller.
        outcome: The outcome of the request.
        end_is_durable: Whether a complete stream may end as such; false if it
            is a turn that could not be stored.

    Raises:
        errors.ConnectionLostError: The caller has disconnected.
    """
    match outcome:
        case outcomes.Refused():
            await refuse(exchange, outcome)
        case outcomes.Unknown():
            body = outcomes.problem_body(outcome.reason, "unknown")
            await exchange.respond(outcome.status, body)
        case outcomes.Answered():
            headers = dict(outcome.headers)
            content_type = headers.pop("content-type", "")
            await exchange.respond(
                outcome.status, outcome.body, headers, content_type
            )
        case outcomes.Streamed(complete=True) if end_is_durable:
            await exchange.finish()
        case _:
            exchange.abort()


async def refuse(
    exchange: http_server.Exchange, refused: outcomes.Refused
) -> None:
    """Sends a refusal; raises the errors of ``send``."""
    headers = {}
    if refused.retry_after_ms is not None:
        headers["retry-after"] = outcomes.retry_after(refused.retry_after_ms)
    body = outcomes.problem_body(refused.reason, "no")
    await exchange.respond(refused.status, body, headers)


def close_if_refused(
    exchange: http_server.Exchange, outcome: outcomes.Outcome
) -> None:
    """Makes the caller of a refused request use another connection."""
    if isinstance(outcome, outcomes.Refused):
        exchange.close_connection()
