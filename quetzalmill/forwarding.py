"""Forwards callers' requests to the homes of their programs.

It repeats what may be repeated while homes move or fail, until the caller's
deadline, and forwards each piece of an answer exactly once.
"""

from collections.abc import Awaitable, Callable

import attrs
import trio

from quetzalmill import clock as clock_module
from quetzalmill import codec
from quetzalmill import completion
from quetzalmill import errors
from quetzalmill import home_link as home_link_module
from quetzalmill import http_message
from quetzalmill import internal_api
from quetzalmill import messages
from quetzalmill import problems

RETRY_MS = 100.0
"""Delay before a request is sent to a home again."""

UNREACHABLE_RETRY_MS = 1_000.0
"""Retry-after delay while no home can be reached."""

MAX_RAN_QUERIES = 32
"""Concurrent queries to homes whether a refused call may have run."""

PieceSink = Callable[[bytes], Awaitable[None]]
"""Receives the pieces of a model's answer, in order."""


class Forwarder:
    """Forwards requests to homes and retries them."""

    def __init__(
        self, link: home_link_module.HomeLink, clock: clock_module.Clock
    ) -> None:
        self._link = link
        self._clock = clock
        self._ran_queries = 0

    async def start_program(
        self, start: messages.ProgramStart, time_left_ms: float
    ) -> messages.ProgramView:
        """Starts a program at a new home, or a sub-program at its parent's.

        Raises:
            problems.CallerError: The program was not started.
        """
        deadline_ms = self._clock.now_ms() + time_left_ms
        while True:
            target = (
                self._link.home_of(start.parent)
                if start.parent
                else self._link.new_home()
            )
            if target is None:
                raise _no_home()
            if not start.parent:
                start = attrs.evolve(
                    start, program=self._link.new_program(target)
                )
            response = await self._ask(
                target, "POST", "", codec.to_msgpack(start), {}
            )
            if response is not None and response.status == 201:
                return codec.from_json(response.body, messages.ProgramView)
            self._handle_refusal(start.parent, target, response)
            await self._wait_to_retry(deadline_ms)

    async def ask(
        self,
        method: str,
        program: str,
        query: dict[str, str],
        time_left_ms: float,
    ) -> http_message.Response:
        """Sends a request about a program and returns the 200 response.

        Raises:
            problems.CallerError: The request was refused, or no home answered
                in time.
        """
        deadline_ms = self._clock.now_ms() + time_left_ms
        while True:
            target = self._link.home_of(program)
            if target is None:
                raise _no_home()
            response = await self._ask(
                target, method, f"/{program}", b"", query
            )
            if response is not None and response.status == 200:
                self._link.record_home(program, target.home)
                return response
            self._handle_refusal(program, target, response)
            await self._wait_to_retry(deadline_ms)

    async def call(
        self,
        call: messages.Call,
        sink: PieceSink | None,
        is_key_valid: Callable[[], bool],
    ) -> messages.Frame:
        """Runs a call at its home and returns the answer's last frame.

        Args:
            call: The call.
            sink: Receives a model's answer in pieces; None for an answer that
                is not streamed.
            is_key_valid: Whether the caller's key is still valid.

        Raises:
            problems.CallerError: The call was refused or failed.
        """
        deadline_ms = self._clock.now_ms() + call.time_left_ms
        # An earlier request for the same call of a program may have run it.
        relay = _Relay(sink, may_have_run=not call.single)
        target = (
            self._link.new_home()
            if call.single
            else self._link.home_of(call.program)
        )
        while True:
            if target is None:
                raise _no_home(relay.ran)
            remaining_ms = max(1.0, deadline_ms - self._clock.now_ms())
            try:
                last = await self._attempt(
                    target,
                    attrs.evolve(call, time_left_ms=remaining_ms),
                    relay,
                    is_key_valid,
                )
            except problems.CallerError as error:
                # The home of a single call does not know earlier attempts.
                if call.single and relay.may_have_run:
                    error.ran = messages.Ran.UNKNOWN
                raise
            if last is not None:
                return relay.checked(last)
            await self._wait_to_retry(deadline_ms, relay.ran)
            relay.restart()
            target = (
                self._link.new_home()
                if call.single
                else self._link.home_of(call.program)
            )

    async def prior_run_status(self, call: messages.Call) -> messages.Ran:
        """Returns whether an earlier request may have run a refused call."""
        if call.single:
            return messages.Ran.NO
        target = self._link.home_of(call.program)
        if target is None or target.take_over:
            return messages.Ran.UNKNOWN
        if self._ran_queries >= MAX_RAN_QUERIES:
            return messages.Ran.UNKNOWN
        self._ran_queries += 1
        try:
            response = await self._link.request(
                target, "POST", internal_api.RAN_PATH, codec.to_msgpack(call)
            )
            if response.status != 200:
                # A refusal of the question says nothing of the call.
                return messages.Ran.UNKNOWN
            reply = codec.from_json(response.body, internal_api.RanReply)
        except (errors.HttpError, errors.CodecError):
            return messages.Ran.UNKNOWN
        finally:
            self._ran_queries -= 1
        return reply.ran

    async def _attempt(
        self,
        target: home_link_module.Target,
        call: messages.Call,
        relay: "_Relay",
        is_key_valid: Callable[[], bool],
    ) -> messages.Frame | None:
        """Returns the last frame, or None if the call must be sent again."""
        try:
            async with self._link.call(target, call, is_key_valid) as found:
                if isinstance(found, http_message.Response):
                    program = "" if call.single else call.program
                    self._handle_refusal(program, target, found)
                    return None
                if not call.single:
                    self._link.record_home(call.program, target.home)
                async for frame in found:
                    match frame.kind:
                        case messages.FrameKind.DATA:
                            await relay.take(frame.data)
                        case messages.FrameKind.MOVED:
                            relay.broke_off = True
                            return None
                        case messages.FrameKind.FAILED:
                            raise _failed(frame, call, relay)
                        case _:
                            return frame
        except errors.ConnectFailedError:
            self._link.record_refused(target.home)
            return None
        except home_link_module.NoLongerAllowedError as error:
            raise problems.CallerError(
                401,
                "key_withdrawn",
                str(error),
                ran=messages.Ran.UNKNOWN,
            ) from error
        except (
            errors.HttpError,
            errors.CodecError,
            home_link_module.HomeGoneError,
        ) as error:
            if call.single and not call.idempotent:
                raise _outcome_unknown(str(error)) from error
            relay.may_have_run = True
            relay.broke_off = True
        return None

    async def _ask(
        self,
        target: home_link_module.Target,
        method: str,
        path: str,
        body: bytes,
        query: dict[str, str],
    ) -> http_message.Response | None:
        try:
            return await self._link.request(
                target, method, internal_api.PROGRAMS_PATH + path, body, query
            )
        except errors.ConnectFailedError:
            self._link.record_refused(target.home)
            return None
        except errors.HttpError:
            return None

    def _handle_refusal(
        self,
        program: str,
        target: home_link_module.Target,
        response: http_message.Response | None,
    ) -> None:
        """Records where a program moved; raises on any other refusal."""
        if response is None:
            return
        if not home_link_module.is_moved(response):
            raise _error_from(response)
        home = home_link_module.moved_to(response)
        if home is None and program:
            successor = self._link.successor(program, target.home)
            home = successor.home if successor else None
            if home is not None:
                self._link.record_release(program, home)
        elif home is not None and program:
            self._link.record_home(program, home)

    async def _wait_to_retry(
        self,
        deadline_ms: float,
        ran: messages.Ran = messages.Ran.UNKNOWN,
    ) -> None:
        if self._clock.now_ms() + RETRY_MS >= deadline_ms:
            raise problems.CallerError(
                504,
                "deadline",
                "the program's home did not answer in time",
                ran=ran,
                retry_after_ms=UNREACHABLE_RETRY_MS,
            )
        await trio.sleep(RETRY_MS / 1000.0)


class _Relay:
    """Forwards each piece once, however often the call is sent again."""

    def __init__(self, sink: PieceSink | None, *, may_have_run: bool) -> None:
        self._sink = sink
        self.may_have_run = may_have_run
        self.broke_off = False
        self._forwarded: list[bytes] = []
        self._assembly: completion.Assembly | None = None

    @property
    def ran(self) -> messages.Ran:
        if self.may_have_run:
            return messages.Ran.UNKNOWN
        return messages.Ran.NO

    def checked(self, last: messages.Frame) -> messages.Frame:
        """Returns the last frame if the answer covers all forwarded pieces."""
        if self._assembly is not None:
            try:
                self._assembly.require_complete()
            except completion.DivergedError as error:
                raise _outcome_unknown(str(error)) from error
        return last

    def restart(self) -> None:
        if not self._forwarded:
            return
        assembly = completion.Assembly()
        try:
            for piece in self._forwarded:
                assembly.add(piece)
            assembly.restart()
        except completion.DivergedError as error:
            raise _outcome_unknown(str(error)) from error
        self._assembly = assembly

    async def take(self, piece: bytes) -> None:
        if self._sink is None:
            return
        forwarded: bytes | None = piece
        if self._assembly is not None:
            try:
                forwarded = self._assembly.add(piece)
            except completion.DivergedError as error:
                raise _outcome_unknown(str(error)) from error
        if forwarded is not None:
            self._forwarded.append(forwarded)
            await self._sink(forwarded)


def _failed(
    frame: messages.Frame, call: messages.Call, relay: _Relay
) -> problems.CallerError:
    """Returns the error for a frame, corrected for an attempt that broke off.

    For a non-idempotent call a home checks whether an earlier home started it,
    so its answer holds. An idempotent one may have run at the earlier home.
    """
    error = problems.from_frame(frame)
    if relay.broke_off and call.idempotent and error.ran is messages.Ran.NO:
        error.ran = messages.Ran.UNKNOWN
    return error


def _no_home(
    ran: messages.Ran = messages.Ran.NO,
) -> problems.CallerError:
    return problems.CallerError(
        503,
        "no_home",
        "no sidecar takes the program",
        ran=ran,
        retry_after_ms=UNREACHABLE_RETRY_MS,
    )


def _outcome_unknown(message: str) -> problems.CallerError:
    return problems.CallerError(
        502, "answer_lost", message, ran=messages.Ran.UNKNOWN
    )


def _error_from(response: http_message.Response) -> problems.CallerError:
    try:
        problem = codec.from_json(response.body, internal_api.Problem)
    except errors.CodecError:
        return _outcome_unknown(f"the home answered {response.status}")
    return problems.CallerError(
        response.status,
        problem.code,
        problem.message,
        ran=problem.ran,
        retry_after_ms=problem.retry_after_ms,
        details=problem.details,
    )
