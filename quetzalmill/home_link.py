"""Connects an entry to the homes of programs.

It finds a program's home, follows it when it moves, and asks another sidecar
to take the program over when the home has failed. Calls of a program may be
sent again, since the home identifies them by number; a single non-idempotent
call may not.
"""

import collections
from collections.abc import AsyncIterator, Callable
import contextlib
import random
import secrets

import attrs
import trio

from quetzalmill import answer
from quetzalmill import clock as clock_module
from quetzalmill import codec
from quetzalmill import configuration
from quetzalmill import errors
from quetzalmill import exchange_ids
from quetzalmill import fleet_view
from quetzalmill import http_client
from quetzalmill import http_message
from quetzalmill import internal_api
from quetzalmill import messages
from quetzalmill import objects
from quetzalmill import program_id
from quetzalmill import shares

MAX_TRACKED_MOVES = 100_000
"""Programs whose newer home an entry remembers."""

_WATCH_INTERVAL_MS = 100.0
_STATUS_MOVED = 410


@attrs.frozen(kw_only=True)
class Target:
    """A sidecar that a request goes to.

    Attributes:
        home: The process.
        address: Where it serves HTTP.
        take_over: Whether it is to take the program over.
    """

    home: program_id.Home
    address: str
    take_over: bool


class HomeGoneError(errors.QuetzalmillError):
    """The home was declared failed while a request was with it."""


class NoLongerAllowedError(errors.QuetzalmillError):
    """The caller's key was withdrawn while its request was running."""


@attrs.define(kw_only=True, eq=False)
class _ActiveCall:
    home: program_id.Home
    scope: trio.CancelScope
    is_key_valid: Callable[[], bool]
    reason: errors.QuetzalmillError | None = None

    def end(self, reason: errors.QuetzalmillError) -> None:
        self.reason = reason
        self.scope.cancel()


class HomeLink:
    """An entry's client for the homes of programs."""

    def __init__(
        self,
        failure_domain: str,
        *,
        config: configuration.Configuration,
        fleet: fleet_view.FleetView,
        client: http_client.HttpClient,
        timeout_ms: float,
        clock: clock_module.Clock,
    ) -> None:
        self._failure_domain = failure_domain
        self._config = config
        self._fleet = fleet
        self._client = client
        self._timeout_ms = timeout_ms
        self._clock = clock
        self._random = random.Random()
        self._newer_homes: collections.OrderedDict[str, program_id.Home] = (
            collections.OrderedDict()
        )
        self._released: set[str] = set()
        self._ended: set[program_id.Home] = set()
        self._active_calls: set[_ActiveCall] = set()
        self.mismatched_frames = 0

    def new_home(self) -> Target | None:
        """Returns the home for a new program, None if no sidecar accepts one.

        Of two random sidecars, in this failure domain if it has any, the less
        loaded one is chosen.
        """
        hosts = self._candidate_hosts()
        near = [h for h in hosts if self._is_near(h)] or hosts
        if not near:
            return None
        pair = [self._random.choice(near), self._random.choice(near)]
        return self._target(min(pair, key=self._load_of), take_over=False)

    def new_program(self, target: Target) -> str:
        """Returns an id for a program that starts at ``target``."""
        return program_id.new_root(secrets.token_hex(10), target.home)

    def home_of(self, program: str) -> Target | None:
        """Returns where requests about a program go at present.

        A failed home is replaced by its successor, which is asked to take the
        program over. None if the id is malformed or no sidecar accepts
        programs.
        """
        root = program_id.root_of(program)
        home = self._newer_homes.get(root) or program_id.first_home(program)
        if home is None:
            return None
        process = self._fleet.process(home.host)
        if process and not self._is_gone(home):
            return Target(
                home=home,
                address=process.http_address,
                take_over=root in self._released,
            )
        return self.successor(program, home)

    def successor(
        self, program: str, failed: program_id.Home | None
    ) -> Target | None:
        """Returns the sidecar that takes over from a failed home.

        Rendezvous hashing makes all entries choose the same one.
        """
        root = program_id.root_of(program)
        hosts = self._candidate_hosts()
        others = [h for h in hosts if failed is None or h != failed.host]
        if not (others or hosts):
            return None
        chosen = max(others or hosts, key=lambda host: shares.rank(root, host))
        return self._target(chosen, take_over=True)

    def record_home(self, program: str, home: program_id.Home) -> None:
        """Remembers a program's newer home."""
        root = program_id.root_of(program)
        self._released.discard(root)
        if home == program_id.first_home(program):
            self._newer_homes.pop(root, None)
            return
        self._newer_homes[root] = home
        self._newer_homes.move_to_end(root)
        while len(self._newer_homes) > MAX_TRACKED_MOVES:
            self._newer_homes.popitem(last=False)

    def record_refused(self, home: program_id.Home) -> None:
        """Records a refused connection; a home shutting down has stopped."""
        if self._fleet.is_leaving(home.host):
            self._ended.add(home)

    def record_release(self, program: str, home: program_id.Home) -> None:
        """Records that a program was released and who is to take it over."""
        self.record_home(program, home)
        self._released.add(program_id.root_of(program))

    async def request(
        self,
        target: Target,
        method: str,
        path: str,
        body: bytes = b"",
        query: dict[str, str] | None = None,
    ) -> http_message.Response:
        """Sends a request about a program to its home.

        Raises:
            errors.HttpError: The request failed; it may be repeated.
        """
        request = exchange_ids.named(
            http_message.Request(
                method=method,
                path=path,
                query=_query(target) | (query or {}),
                body=body,
            )
        )
        response = await self._client.request(
            target.address,
            request,
            timeout_ms=3 * self._timeout_ms,
            idempotent=True,
        )
        try:
            exchange_ids.require_own(request, response.headers)
        except errors.ConnectionLostError:
            self._client.close_idle(target.address)
            raise
        return response

    @contextlib.asynccontextmanager
    async def call(
        self,
        target: Target,
        call: messages.Call,
        is_key_valid: Callable[[], bool],
    ) -> AsyncIterator[http_message.Response | AsyncIterator[messages.Frame]]:
        """Sends a call to a home.

        Yields the frames of its answer, or the response that refuses it.

        Raises:
            errors.ConnectFailedError: The call was not sent.
            errors.HttpError: The answer broke off.
            HomeGoneError: The home was declared failed.
            NoLongerAllowedError: ``is_key_valid`` became false.
        """
        request = exchange_ids.named(
            http_message.Request(
                method="POST",
                path=internal_api.CALLS_PATH,
                query=_query(target),
                body=codec.to_msgpack(call),
            )
        )
        active = _ActiveCall(
            home=target.home,
            scope=trio.CancelScope(),
            is_key_valid=is_key_valid,
        )
        self._active_calls.add(active)
        try:
            with active.scope:
                async with self._open(target, request, call) as response:
                    yield response
        finally:
            self._active_calls.discard(active)
        if active.reason is not None:
            raise active.reason

    async def watch_forever(self) -> None:
        """Aborts calls whose home has failed or whose key is withdrawn."""
        while True:
            await trio.sleep(_WATCH_INTERVAL_MS / 1000.0)
            now_ms = self._clock.now_ms()
            for each in list(self._active_calls):
                home = each.home
                if self._fleet.is_considered_dead(
                    home.host, home.instance, now_ms
                ):
                    each.end(HomeGoneError(f"{home.host} went silent"))
                elif not each.is_key_valid():
                    each.end(NoLongerAllowedError("the key is withdrawn"))

    @contextlib.asynccontextmanager
    async def _open(
        self,
        target: Target,
        request: http_message.Request,
        call: messages.Call,
    ) -> AsyncIterator[http_message.Response | AsyncIterator[messages.Frame]]:
        timeout_ms = call.time_left_ms + self._timeout_ms
        async with self._client.stream(
            target.address,
            request,
            timeout_ms=timeout_ms,
            whole_timeout_ms=timeout_ms,
            new_connection=call.single and not call.idempotent,
            idempotent=not call.single or call.idempotent,
            max_body_bytes=internal_api.MAX_ANSWER_BYTES,
        ) as response:
            exchange_ids.require_own(request, response.headers)
            if response.status == 200:
                reader = answer.FrameReader(call.program, call.number)
                yield reader.read(response, self._count_mismatched)
                return
            yield http_message.Response(
                status=response.status,
                headers=response.headers,
                body=await response.read(),
            )

    def _count_mismatched(self, frames: int) -> None:
        self.mismatched_frames += frames

    def _is_gone(self, home: program_id.Home) -> bool:
        if home in self._ended:
            return True
        return self._fleet.is_considered_dead(
            home.host, home.instance, self._clock.now_ms()
        )

    def _candidate_hosts(self) -> list[str]:
        now_ms = self._clock.now_ms()
        hosts = self._fleet.working_hosts(objects.SIDECAR, now_ms)
        engines = {
            spec.host
            for spec in self._config.specs(
                objects.ENDPOINT, objects.EndpointSpec
            ).values()
            if spec.kind == objects.ENGINE
        }
        return [host for host in hosts if host in engines] or hosts

    def _is_near(self, host: str) -> bool:
        process = self._fleet.process(host)
        return (
            process is not None
            and process.failure_domain == self._failure_domain
        )

    def _load_of(self, host: str) -> float:
        total = 0.0
        for load in self._fleet.loads():
            spec = self._config.endpoint(load.endpoint)
            if spec is not None and spec.host == host:
                total += (load.running + load.queued) / spec.slots
        return total

    def _target(self, host: str, *, take_over: bool) -> Target | None:
        process = self._fleet.process(host)
        if process is None:
            return None
        return Target(
            home=program_id.Home(host=host, instance=process.instance),
            address=process.http_address,
            take_over=take_over,
        )


def moved_to(response: http_message.Response) -> program_id.Home | None:
    """Returns the home that a refusal names, None when it names none."""
    problem = codec.from_json(response.body, internal_api.Problem)
    if not problem.host:
        return None
    return program_id.Home(host=problem.host, instance=problem.instance)


def is_moved(response: http_message.Response) -> bool:
    """Returns whether a process answered that it is no longer the home."""
    return response.status == _STATUS_MOVED


def _query(target: Target) -> dict[str, str]:
    return {internal_api.TAKE_OVER: "1"} if target.take_over else {}
