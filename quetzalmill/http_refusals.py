"""The bodies of responses that a server sends without its handler."""

import json

_ERROR_CODES = {
    400: "bad_request",
    408: "request_timeout",
    413: "body_too_large",
    431: "headers_too_large",
    500: "internal_error",
    501: "not_implemented",
    503: "overloaded",
}


def body(status: int, message: str, ran: str) -> bytes:
    """Returns the body of an error.

    Args:
        status: The HTTP status.
        message: The reason, for the caller.
        ran: Whether the request has run: ``no`` or ``unknown``.
    """
    code = _ERROR_CODES.get(status, "bad_request")
    return json.dumps({"code": code, "message": message, "ran": ran}).encode()
