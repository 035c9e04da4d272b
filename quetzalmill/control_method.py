"""What a control call is, whatever carries it."""

from collections.abc import Callable
from typing import Any

import attrs


@attrs.frozen(kw_only=True)
class Method:
    """One control call.

    Attributes:
        name: The method's name on the wire.
        request_type: The attrs class of the request.
        reply_type: The attrs class of the reply.
    """

    name: str
    request_type: type[Any]
    reply_type: type[Any]


Handler = Callable[[Any], Any]
"""Takes a request; returns a reply, or an awaitable of one under trio."""
