"""The frames of a call's answer, which any number of readers can follow."""

from collections.abc import AsyncIterator, Callable
from typing import Any

import attrs
import trio

from quetzalmill import codec
from quetzalmill import errors
from quetzalmill import line_buffer
from quetzalmill import messages

_LAST_KINDS = (
    messages.FrameKind.END,
    messages.FrameKind.FAILED,
    messages.FrameKind.MOVED,
)


class Answer:
    """A growing list of frames; the last frame ends the answer."""

    def __init__(self) -> None:
        self._frames: list[messages.Frame] = []
        self._changed = trio.Event()
        self.readers = 0

    @property
    def ended(self) -> bool:
        """Returns whether the last frame has been appended."""
        return bool(self._frames) and is_last(self._frames[-1])

    @property
    def last(self) -> messages.Frame | None:
        """Returns the newest frame."""
        return self._frames[-1] if self._frames else None

    @property
    def size_bytes(self) -> int:
        """Returns the size of the content so far."""
        return sum(len(frame.data) for frame in self._frames)

    def append(self, frame: messages.Frame) -> None:
        """Appends a frame; frames after the last one are ignored."""
        if self.ended:
            return
        position = len(self._frames)
        self._frames.append(attrs.evolve(frame, position=position))
        self._changed.set()
        self._changed = trio.Event()

    async def follow(self) -> AsyncIterator[messages.Frame]:
        """Yields every frame from the first to the last."""
        position = 0
        self.readers += 1
        try:
            while True:
                while position < len(self._frames):
                    frame = self._frames[position]
                    position += 1
                    yield frame
                    if is_last(frame):
                        return
                await self._changed.wait()
        finally:
            self.readers -= 1


def is_last(frame: messages.Frame) -> bool:
    """Returns whether a frame ends its answer."""
    return frame.kind in _LAST_KINDS


def failed(
    call: messages.Call,
    *,
    status: int,
    code: str,
    message: str,
    ran: messages.Ran = messages.Ran.NO,
    retry_after_ms: float | None = None,
    attempt: int = 0,
    details: dict[str, Any] | None = None,
) -> messages.Frame:
    """Returns the frame that refuses a call or reports its failure."""
    return messages.Frame(
        program=call.program,
        call=call.number,
        attempt=attempt,
        kind=messages.FrameKind.FAILED,
        status=status,
        code=code,
        message=message,
        ran=ran,
        retry_after_ms=retry_after_ms,
        details=details or {},
    )


def encode_frame(frame: messages.Frame) -> bytes:
    """Returns a frame as one line of JSON."""
    return codec.to_json(frame) + b"\n"


class FrameReader:
    """Decodes the frames of one call from pieces of an HTTP body.

    Frames of other calls and duplicates are dropped and counted. A missing
    frame ends the answer with an error.
    """

    def __init__(
        self, program: str, call: int, attempt: int | None = None
    ) -> None:
        """Initializes a reader for the frames of one call.

        Args:
            program: The program.
            call: The number of the call.
            attempt: The attempt; None accepts the frames of any attempt.
        """
        self._program = program
        self._call = call
        self._attempt = attempt
        self._next_position = 0
        self._lines = line_buffer.LineBuffer()
        self.mismatched = 0

    def feed(self, piece: bytes) -> list[messages.Frame]:
        """Returns the frames that a piece completes.

        Raises:
            errors.CodecError: A line is not a frame.
            errors.ConnectionLostError: An earlier frame is missing.
        """
        frames = [
            codec.from_json(line, messages.Frame)
            for line in self._lines.feed(piece)
        ]
        matching = [frame for frame in frames if self._accept(frame)]
        self.mismatched += len(frames) - len(matching)
        return matching

    async def read(
        self,
        pieces: AsyncIterator[bytes],
        count_mismatched: Callable[[int], None],
    ) -> AsyncIterator[messages.Frame]:
        """Yields the frames of a body to its end.

        Args:
            pieces: The body.
            count_mismatched: Called with the number of dropped frames.

        Raises:
            errors.CodecError: A line is not a frame.
            errors.ConnectionLostError: The answer broke off.
        """
        last: messages.Frame | None = None
        try:
            async for piece in pieces:
                for frame in self.feed(piece):
                    last = frame
                    yield frame
        finally:
            count_mismatched(self.mismatched)
        self.require_end(last)

    def require_end(self, last: messages.Frame | None) -> None:
        """Checks that an answer ended with its last frame.

        Raises:
            errors.ConnectionLostError: It broke off.
        """
        if last is None or not is_last(last):
            raise errors.ConnectionLostError("the answer broke off")

    def _accept(self, frame: messages.Frame) -> bool:
        if frame.program != self._program or frame.call != self._call:
            return False
        if self._attempt is not None and frame.attempt != self._attempt:
            return False
        if frame.position > self._next_position:
            raise errors.ConnectionLostError("frames of the answer are missing")
        if frame.position < self._next_position:
            return False
        self._next_position += 1
        return True
