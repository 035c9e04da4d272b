"""Encodes a call's details in the headers and chunks of its response."""

from typing import Any

from quetzalmill import caller_requests
from quetzalmill import codec
from quetzalmill import messages


def answer_headers(call: messages.Call, last: messages.Frame) -> dict[str, str]:
    """Returns the headers of the answer to a call."""
    headers = {
        caller_requests.PROGRAM_HEADER: call.program,
        caller_requests.CALL_HEADER: str(call.number),
    }
    if not call.single:
        headers[caller_requests.HISTORY_HEADER] = str(
            last.details.get("history", "")
        )
        durable = bool(last.details.get("durable"))
        headers["quetzalmill-durable"] = str(durable).lower()
    return headers


def final_chunk(call: messages.Call, last: messages.Frame) -> str:
    """Returns the chunk that ends a stream with the details of its call."""
    details: dict[str, Any] = {
        "program": call.program,
        "call": call.number,
        **last.details,
    }
    chunk = {
        "object": "chat.completion.chunk",
        "choices": [],
        "quetzalmill": details,
    }
    return codec.to_json(chunk).decode()
