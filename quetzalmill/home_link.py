"""Reaches the homes of programs from an entry.

It finds a program's home, follows it when it moves, and asks another sidecar
to take the program over when the home is gone. Calls of a program may be sent
again, since the home knows them by number; a single non-idempotent call may
not.
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
from quetzalmill import fleet_view
from quetzalmill import http_client
from quetzalmill import http_message
from quetzalmill import internal_api
from quetzalmill import messages
from quetzalmill import objects
from quetzalmill import program_id
from quetzalmill import shares

REMEMBERED_MOVES = 100_000
"""Programs whose newer home an entry remembers."""

_WATCH_MS = 100.0
_STATUS_MOVED = 410


@attrs.frozen(kw_only=True)
class Target:
    """A sidecar that a request goes to.

    Attributes:
        home: The process.
        address: Where it serves HTTP.
        take_over: Whether it is asked to take the program over.
    """

    home: program_id.Home
    address: str
    take_over: bool


class HomeGoneError(errors.QuetzalmillError):
    """The home went silent while a request was with it."""


class NoLongerAllowedError(errors.QuetzalmillError):
    """The caller's key was withdrawn while its request was under way."""


@attrs.define(kw_only=True, eq=False)
class _Watched:
    home: program_id.Home
    scope: trio.CancelScope
    may_go_on: Callable[[], bool]
    reason: errors.QuetzalmillError | None = None

    def end(self, reason: errors.QuetzalmillError) -> None:
        self.reason = reason
        self.scope.cancel()


class HomeLink:
    """An entry's way to the homes of programs."""

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
        self._chance = random.Random()
        self._moved: collections.OrderedDict[str, program_id.Home] = (
            collections.OrderedDict()
        )
        self._given_up: set[str] = set()
        self._ended: set[program_id.Home] = set()
        self._watched: set[_Watched] = set()
        self.mismatched_frames = 0

    def new_home(self) -> Target | None:
        """Chooses the home of a new program, None when none takes work."""
        hosts = self._possible_homes()
        near = [h for h in hosts if self._is_near(h)] or hosts
        if not near:
            return None
        pair = [self._chance.choice(near), self._chance.choice(near)]
        return self._target(min(pair, key=self._load_of), take_over=False)

    def new_program(self, target: Target) -> str:
        """Returns an id for a program that starts at ``target``."""
        return program_id.new_root(secrets.token_hex(10), target.home)

    def home_of(self, program: str) -> Target | None:
        """Returns where a program's requests go now.

        A home that is gone is replaced by the sidecar that every entry
        chooses alike, which is asked to take the program over.
        """
        root = program_id.root_of(program)
        home = self._moved.get(root) or program_id.first_home(program)
        if home is None:
            return None
        process = self._fleet.process(home.host)
        if process and not self._is_gone(home):
            return Target(
                home=home,
                address=process.http_address,
                take_over=root in self._given_up,
            )
        return self.successor(program, home)

    def successor(
        self, program: str, gone: program_id.Home | None
    ) -> Target | None:
        """Returns the sidecar that takes over from a home that is gone."""
        root = program_id.root_of(program)
        hosts = self._possible_homes()
        others = [h for h in hosts if gone is None or h != gone.host]
        if not (others or hosts):
            return None
        chosen = max(others or hosts, key=lambda host: shares.rank(root, host))
        return self._target(chosen, take_over=True)

    def note_home(self, program: str, home: program_id.Home) -> None:
        """Remembers a program's newer home."""
        root = program_id.root_of(program)
        self._given_up.discard(root)
        if home == program_id.first_home(program):
            self._moved.pop(root, None)
            return
        self._moved[root] = home
        self._moved.move_to_end(root)
        while len(self._moved) > REMEMBERED_MOVES:
            self._moved.popitem(last=False)

    def note_refused(self, home: program_id.Home) -> None:
        """Notes that a home takes no connection; a leaving one has ended."""
        if self._fleet.is_leaving(home.host):
            self._ended.add(home)

    def ask_to_take_over(self, program: str, home: program_id.Home) -> None:
        """Remembers that a program's home gave it up to be taken over."""
        self.note_home(program, home)
        self._given_up.add(program_id.root_of(program))

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
            errors.HttpError: It failed; every such request may be repeated.
        """
        return await self._client.request(
            target.address,
            http_message.Request(
                method=method,
                path=path,
                query=_query(target) | (query or {}),
                body=body,
            ),
            timeout_ms=3 * self._timeout_ms,
            idempotent=True,
        )

    @contextlib.asynccontextmanager
    async def call(
        self,
        target: Target,
        call: messages.Call,
        may_go_on: Callable[[], bool],
    ) -> AsyncIterator[http_message.Response | AsyncIterator[messages.Frame]]:
        """Hands a call to a home.

        Yields the frames of its answer, or the response that refuses it.

        Raises:
            errors.ConnectFailedError: The call was not handed over.
            errors.HttpError: The answer broke off.
            HomeGoneError: The home went silent.
            NoLongerAllowedError: ``may_go_on`` turned false.
        """
        request = http_message.Request(
            method="POST",
            path=internal_api.CALLS_PATH,
            query=_query(target),
            body=codec.to_msgpack(call),
        )
        watched = _Watched(
            home=target.home, scope=trio.CancelScope(), may_go_on=may_go_on
        )
        self._watched.add(watched)
        try:
            with watched.scope:
                async with self._open(target, request, call) as response:
                    yield response
        finally:
            self._watched.discard(watched)
        if watched.reason is not None:
            raise watched.reason

    async def watch_forever(self) -> None:
        """Ends calls whose home is gone or whose key is withdrawn."""
        while True:
            await trio.sleep(_WATCH_MS / 1000.0)
            now_ms = self._clock.now_ms()
            for each in list(self._watched):
                home = each.home
                if self._fleet.is_gone(home.host, home.instance, now_ms):
                    each.end(HomeGoneError(f"{home.host} went silent"))
                elif not each.may_go_on():
                    each.end(NoLongerAllowedError("the key is withdrawn"))

    @contextlib.asynccontextmanager
    async def _open(
        self,
        target: Target,
        request: http_message.Request,
        call: messages.Call,
    ) -> AsyncIterator[http_message.Response | AsyncIterator[messages.Frame]]:
        patience_ms = call.time_left_ms + self._timeout_ms
        async with self._client.stream(
            target.address,
            request,
            timeout_ms=patience_ms,
            idle_timeout_ms=patience_ms,
            fresh_connection=call.single and not call.idempotent,
            idempotent=not call.single or call.idempotent,
            max_body_bytes=internal_api.MAX_ANSWER_BYTES,
        ) as response:
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
        return self._fleet.is_gone(
            home.host, home.instance, self._clock.now_ms()
        )

    def _possible_homes(self) -> list[str]:
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
    """Returns whether a home answered that it is not the home any more."""
    return response.status == _STATUS_MOVED


def _query(target: Target) -> dict[str, str]:
    return {internal_api.TAKE_OVER: "1"} if target.take_over else {}
