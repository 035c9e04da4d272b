"""The definition of a control call, independent of its transport."""

from collections.abc import Callable
from typing import Any

import attrs


@attrs.frozen(kw_only=True)
class Method:
    """One kind of control call.

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
