"""The upper bound on a program's spending, as the store holds it."""

import attrs

_SLACK_SUFFIX = "-"
"""Suffix of a stored bound from which one turn's limit was deducted."""


@attrs.frozen
class StoredBound:
    """The upper bound on a program's spending that the store holds.

    Attributes:
        tokens: The most tokens that may have been sent.
        slack_used: Whether an owner has deducted one turn's limit from a bound.
    """

    tokens: int
    slack_used: bool

    def encode(self) -> bytes:
        """Returns the value to store."""
        return (
            f"{self.tokens}{_SLACK_SUFFIX if self.slack_used else ''}".encode()
        )


def decode(value: bytes) -> StoredBound:
    """Parses a stored value."""
    text = value.decode()
    return StoredBound(
        int(text.removesuffix(_SLACK_SUFFIX)), text.endswith(_SLACK_SUFFIX)
    )
