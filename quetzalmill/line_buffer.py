"""Splits a stream of bytes into lines in time linear in its length.

Load pattern: a faulty server sends one long line in pieces of a few bytes.
Searching or copying what came before for each piece would take quadratic time.
"""


class LineBuffer:
    """Collects pieces and returns the lines that they complete."""

    def __init__(self) -> None:
        self._incomplete = bytearray()

    @property
    def incomplete_bytes(self) -> int:
        """The size of the last line, which has not ended."""
        return len(self._incomplete)

    def feed(self, piece: bytes) -> list[bytes]:
        """Adds a piece; returns complete lines without their line feeds."""
        first, *others = piece.split(b"\n")
        self._incomplete += first
        if not others:
            return []
        *lines, last = others
        completed = bytes(self._incomplete)
        self._incomplete = bytearray(last)
        return [completed, *lines]
