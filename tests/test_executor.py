"""Decisions of the executor, the workers, the router and the call runner."""

from collections.abc import AsyncIterator, Awaitable, Callable
import contextlib
import functools
import random
from typing import Any

import attrs
import pytest
import trio
import trio.testing

from quetzalmill import answer
from quetzalmill import call_preparation
from quetzalmill import call_run
from quetzalmill import clock
from quetzalmill import codec
from quetzalmill import configuration
from quetzalmill import endpoint_port
from quetzalmill import errors
from quetzalmill import executor
from quetzalmill import fleet_view
from quetzalmill import http_client
from quetzalmill import http_message
from quetzalmill import http_server
from quetzalmill import messages
from quetzalmill import objects
from quetzalmill import placement
from quetzalmill import programs
from quetzalmill import retry_budget
from quetzalmill import routing
from quetzalmill import suspects
from quetzalmill import turn_log
from quetzalmill import turns

PROCESS = {
    "role": objects.SIDECAR,
    "http_address": "127.0.0.1:1",
    "control_address": "127.0.0.1:1",
    "failure_domain": "rawson",
}
OK = endpoint_port.ServiceAnswer(status=200, content_type="", body=b"done")


class TestFence:
    """A fence reports correctly what was started and prevents later starts."""

    def test_a_job_taken_from_the_queue_counts_as_started(self) -> None:
        async def scenario(made: executor.Executor, port: FakePort) -> None:
            made.submit(execution())
            reply = made.fence(fence(epoch=2))
            await trio.testing.wait_all_tasks_blocked()
            assert reply.seen or not port.ran

        run(scenario)

    def test_a_queued_job_of_an_older_epoch_never_starts(self) -> None:
        async def scenario(made: executor.Executor, port: FakePort) -> None:
            port.hold = trio.Event()
            made.submit(execution(program="busy"))
            queued = made.submit(execution())
            assert not made.fence(fence(epoch=2)).seen
            port.hold.set()
            assert (await end_of(queued)).code == "fenced"
            assert port.ran == ["busy"]

        run(scenario)


class TestRefusal:
    """No refusal of a started call claims that the call did not run."""

    @pytest.mark.parametrize(
        "change",
        [
            lambda made: setattr(made, "leaving", True),
            lambda made: made.fence(fence(epoch=9)),
            lambda made: made.publish_endpoint(None),
        ],
        ids=["leaving", "fenced", "endpoint withdrawn"],
    )
    def test_started_call_whose_answer_was_evicted(
        self,
        monkeypatch: pytest.MonkeyPatch,
        change: Callable[[Any], None],
    ) -> None:
        monkeypatch.setattr(executor, "MAX_CACHED_ANSWERS", 0)

        async def scenario(made: executor.Executor, port: FakePort) -> None:
            await end_of(made.submit(execution()))
            await end_of(made.submit(execution(program="other")))
            change(made)
            refusal = await end_of(made.submit(execution()))
            assert refusal.ran is messages.Ran.UNKNOWN
            assert port.ran == ["p", "other"]

        run(scenario)

    def test_execution_for_an_earlier_process_does_not_run(self) -> None:
        async def scenario(made: executor.Executor, port: FakePort) -> None:
            found = made.submit(execution(instance="before"))
            assert (await end_of(found)).code == "sidecar_replaced"
            assert not port.ran

        run(scenario)


class TestEvacuation:
    """Work that was sent here before the order, but not started."""

    def test_queued_job_is_refused_and_the_running_one_ends(self) -> None:
        async def scenario(made: _Executor, port: FakePort) -> None:
            port.hold = trio.Event()
            running = made.submit(execution(program="busy"))
            queued = made.submit(execution())
            made.publish_evacuation({})
            refusal = await end_of(queued)
            assert (refusal.code, refusal.ran) == ("evacuated", messages.Ran.NO)
            port.hold.set()
            assert (await end_of(running)).data == OK.body
            made.publish_evacuation(None)
            assert (await end_of(made.submit(execution()))).data == OK.body

        run(scenario)


class TestRouter:
    """A home sends no attempt that the sidecar there would refuse."""

    def test_endpoint_of_an_evacuated_domain_is_not_chosen(self) -> None:
        config = configuration.Configuration()
        fleet = fleet_view.FleetView(config, timeout_ms=1_000.0)
        for host in ("h1", "h2"):
            process = PROCESS | {
                "instance": "i",
                "failure_domain": f"domain-{host}",
            }
            publish(config, objects.PROCESS, host, process)
            fleet.record(
                host,
                codec.from_plain(process, objects.ProcessSpec),
                applied_offset=0,
                at_ms=0.0,
            )
            spec = {"host": host, "address": "127.0.0.1:1", "kind": "service"}
            publish(config, objects.ENDPOINT, host, spec)
        publish(config, objects.ROUTE, "booking", {"selector": ""})
        router = routing.Router(
            "h1",
            "domain-h1",
            config=config,
            fleet=fleet,
            chooser=placement.Placement(
                placement.Policy.CACHE_AND_WAIT, random.Random(1)
            ),
            report_lag_ms=0.0,
            clock=clock.ManualClock(),
        )

        def chosen() -> str | None:
            found = router.choose(
                execution().call,
                prompt_tokens=0,
                cached={},
                excluded=set(),
            )
            return found.endpoint if found else None

        assert chosen() == "h1"
        publish(config, objects.EVACUATION, "domain-h1", {})
        assert chosen() == "h2"
        publish(config, objects.EVACUATION, "domain-h2", {})
        assert chosen() is None
        publish(config, objects.EVACUATION, "domain-h1", None)
        assert chosen() == "h1"


class TestCachedAnswers:
    """The answer cache is bounded, even while one call never ends."""

    def test_hanging_call_does_not_prevent_eviction_of_others(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(executor, "MAX_CACHED_ANSWERS", 2)

        async def scenario(made: executor.Executor, port: FakePort) -> None:
            port.hold = held = trio.Event()
            hanging = made.submit(execution(program="hanging"))
            await trio.testing.wait_all_tasks_blocked()
            port.hold = None
            for number in range(8):
                await end_of(made.submit(execution(program=f"p{number}")))
            assert made.cached_answers == 2
            held.set()
            assert (await end_of(hanging)).data == OK.body

        run(scenario, slots=2)

    def test_total_size_is_bounded(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(
            executor, "MAX_CACHED_ANSWER_BYTES", 3 * len(OK.body)
        )

        async def scenario(made: executor.Executor, port: FakePort) -> None:
            for number in range(8):
                await end_of(made.submit(execution(program=f"p{number}")))
            assert made.cached_answers == 3

        run(scenario)


class TestEvictedStarts:
    """A fence is incomplete only if a start at or after its offset is lost."""

    @pytest.mark.parametrize(
        ("since_offset", "complete"), [(3, False), (4, True)]
    )
    def test_complete(
        self,
        monkeypatch: pytest.MonkeyPatch,
        since_offset: int,
        complete: bool,
    ) -> None:
        monkeypatch.setattr(executor, "MAX_TRACKED_STARTS", 1)

        async def scenario(made: executor.Executor, port: FakePort) -> None:
            for program in ("a", "b"):
                await end_of(made.submit(execution(program=program)))
            request = attrs.evolve(fence(epoch=2), since_offset=since_offset)
            assert made.fence(request).complete is complete

        run(scenario)


class TestEngineRefusals:
    """How an engine's status is mapped to whether a call ran."""

    @pytest.mark.parametrize(
        ("status", "error"),
        [
            (400, errors.RefusedByEndpointError),
            (429, errors.NotExecutedError),
            (503, errors.NotExecutedError),
            (500, errors.OutcomeUnknownError),
            (502, errors.OutcomeUnknownError),
        ],
    )
    def test_status(
        self, status: int, error: type[errors.QuetzalmillError]
    ) -> None:
        async def answering(
            request: http_message.Request, exchange: http_server.Exchange
        ) -> None:
            await exchange.respond(status, b"{}")

        async def scenario(address: str) -> None:
            port = endpoint_port.EndpointPort(http_client.HttpClient())
            model = execution(kind=messages.CallKind.MODEL)
            with pytest.raises(error) as raised:
                async with port.run_model(address, model, 5_000.0):
                    pass
            assert raised.type is error

        serve(answering, scenario)


class TestKeptConnection:
    """A request that may have arrived is never reported as not sent."""

    def test_server_ends_after_it_got_the_second_request(self) -> None:
        async def scenario() -> None:
            listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
            port = listener.socket.getsockname()[1]

            async def server() -> None:
                stream = await listener.accept()
                await stream.receive_some(65_536)
                await stream.send_all(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                )
                await stream.receive_some(65_536)
                await listener.aclose()
                await stream.aclose()

            client = http_client.HttpClient()
            post = http_message.Request(method="POST", path="/", body=b"x")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(server)
                ask = functools.partial(
                    client.request,
                    f"127.0.0.1:{port}",
                    post,
                    timeout_ms=5_000.0,
                    idempotent=True,
                )
                assert (await ask()).status == 200
                with pytest.raises(errors.ConnectionLostError):
                    await ask()

        trio.run(scenario)


class FakePort:
    """Replaces the endpoints; records what ran."""

    def __init__(self) -> None:
        self.ran: list[str] = []
        self.hold: trio.Event | None = None

    async def run_service(
        self, address: str, execution: messages.Execution, timeout_ms: float
    ) -> endpoint_port.ServiceAnswer:
        self.ran.append(execution.call.program)
        if self.hold is not None:
            await self.hold.wait()
        return OK


class FakeLink:
    """Replaces the link to the sidecars of hosts a and b."""

    def __init__(self, script: list[Any], *, seen: bool) -> None:
        self._script = script
        self._seen = seen
        self.hosts: list[str] = []

    @contextlib.asynccontextmanager
    async def run(
        self, host: str, execution: messages.Execution
    ) -> AsyncIterator[AsyncIterator[messages.Frame]]:
        self.hosts.append(host)
        step = self._script.pop(0)
        if isinstance(step, Exception):
            raise step

        async def frames() -> AsyncIterator[messages.Frame]:
            yield step

        yield frames()

    def is_newer(self, host: str, offset: int) -> bool:
        return True

    async def fence(
        self, host: str, request: messages.FenceRequest
    ) -> messages.FenceReply:
        seen = self._seen and host == "a"
        return messages.FenceReply(instance=host, seen=seen, complete=True)


class FakeRouter:
    """A router with one endpoint on each of hosts a and b."""

    def matching(
        self, kind: messages.CallKind, target: str
    ) -> dict[str, objects.EndpointSpec]:
        return {
            host: objects.EndpointSpec(host=host, address="127.0.0.1:1")
            for host in ("a", "b")
        }

    def choose(
        self, call: messages.Call, *, excluded: set[str], **known: Any
    ) -> routing.Target | None:
        left = [host for host in ("a", "b") if host not in excluded]
        return routing.Target(endpoint=left[0], host=left[0]) if left else None

    def sent(self, endpoint: str, units: float) -> None:
        pass

    def ended(self, sent: None) -> None:
        pass


class FakeWriter:
    """Commits every record immediately."""

    log_is_down = False

    def __init__(self, log_answers: bool) -> None:
        self._log_answers = log_answers

    async def read_fences(self) -> bool:
        return self._log_answers

    async def commit(self, record: turns.Record) -> turn_log.Commit:
        return turn_log.Commit.DURABLE


def publish(
    config: configuration.Configuration,
    kind: str,
    name: str,
    spec: dict[str, Any] | None,
) -> None:
    change = objects.ObjectChange(
        kind=kind, name=name, base_revision=-1, spec=spec
    )
    record = objects.ConfigRecord(
        record_id=f"{kind} {name} {spec}", author="t", changes=[change]
    )
    config.apply(config.applied_offset + 1, record)


def new_tree(*, unsettled: bool) -> programs.ProgramTree:
    """Returns a tree of one program, optionally with an unsettled call."""
    tree = programs.ProgramTree(root="p", epoch=2, used_ms=0.0)
    record = turns.ProgramRecord(
        program="p",
        root="p",
        parent="",
        team="t",
        limits=turns.BudgetLimits(),
        deadline_ms=None,
        epoch=1,
        applied_offset=1,
    )
    tree.start(record, 0.0)
    if unsettled:
        tree.unsettled_programs["p"] = 2
    return tree


def run_call(
    link: FakeLink,
    *,
    unsettled: bool = False,
    idempotent: bool = False,
    may_be_fenced: bool = False,
    log_answers: bool = True,
    tree: programs.ProgramTree | None = None,
) -> messages.Frame:
    """Runs one call through the runner and returns its last frame."""
    tree = tree or new_tree(unsettled=unsettled)
    call = attrs.evolve(execution().call, idempotent=idempotent)
    config = configuration.Configuration()
    for host in ("a", "b"):
        publish(config, objects.PROCESS, host, {**PROCESS, "instance": host})
    runner = call_run.CallRunner(
        config=config,
        router=FakeRouter(),  # type: ignore[arg-type]
        link=link,  # type: ignore[arg-type]
        writer=FakeWriter(log_answers),  # type: ignore[arg-type]
        retries=retry_budget.RetryBudget(1.0),
        clock=clock.SystemClock(),
    )
    now_ms = clock.SystemClock().now_ms()
    running = call_run.Run(
        tree=tree,
        program=tree.programs["p"],
        prepared=call_preparation.Prepared(
            call=call,
            digest="d",
            body=b"",
            new_messages=[],
            prompt_tokens=0,
            answer_tokens=0,
        ),
        answer=answer.Answer(),
        started_ms=now_ms,
        deadline_ms=now_ms + 10_000.0,
        may_be_fenced=lambda: may_be_fenced,
    )
    trio.run(runner.run, running)
    last = running.answer.last
    assert last is not None
    return last


def execution(
    program: str = "p",
    kind: messages.CallKind = messages.CallKind.SERVICE,
    instance: str = "",
) -> messages.Execution:
    call = messages.Call(
        program=program,
        single=False,
        number=1,
        team="t",
        key_id="",
        kind=kind,
        target="booking",
        method="POST",
        path="/",
        content_type="",
        body=b"",
        stream=False,
        idempotent=False,
        time_left_ms=10_000.0,
        fingerprint=program,
        suspect=False,
        applied_offset=1,
    )
    return messages.Execution(
        call=call,
        root=program,
        epoch=1,
        attempt=1,
        endpoint="booking",
        attained_units=0.0,
        prompt_tokens=0,
        answer_tokens=0,
        instance=instance,
        decided_offset=3,
    )


def fence(epoch: int) -> messages.FenceRequest:
    """Returns a fence of the program's first call."""
    return messages.FenceRequest(
        root="p", epoch=epoch, program="p", call=1, since_offset=1
    )


async def end_of(found: answer.Answer) -> messages.Frame:
    with trio.fail_after(5):
        return [frame async for frame in found.follow()][-1]


def run(
    scenario: Callable[[Any, FakePort], Awaitable[None]], slots: int = 1
) -> None:
    """Runs a scenario with an executor of one service."""
    port = FakePort()
    config = configuration.Configuration()
    spec = {
        "host": "here",
        "address": "127.0.0.1:1",
        "kind": objects.SERVICE,
        "slots": slots,
    }

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            made = _Executor(
                executor.Options(
                    host="here",
                    instance="now",
                    fair_queue=True,
                    max_queue=10,
                    failure_ms=10.0,
                    failure_domain="rawson",
                ),
                config=config,
                port=port,  # type: ignore[arg-type]
                known_suspects=suspects.Suspects(),
                report=lambda suspect: trio.lowlevel.checkpoint(),
                on_start=lambda program: None,
                on_finished=lambda program: None,
                nursery=nursery,
                clock=clock.SystemClock(),
            )
            made.publish_endpoint(spec)
            await scenario(made, port)

    trio.run(main)


class _Executor(executor.Executor):
    """An executor whose endpoint a test can publish or remove."""

    def publish_endpoint(self, spec: dict[str, Any] | None) -> None:
        publish(self._config, objects.ENDPOINT, "booking", spec)
        self.configuration_changed()

    def publish_evacuation(self, spec: dict[str, Any] | None) -> None:
        publish(self._config, objects.EVACUATION, "rawson", spec)
        self.configuration_changed()


def lost() -> errors.ConnectionLostError:
    return errors.ConnectionLostError("broke off")


def refused(code: str) -> messages.Frame:
    return answer.failed(
        execution().call, status=503, code=code, message="refused"
    )


def finished() -> messages.Frame:
    return messages.Frame(
        program="p",
        call=1,
        attempt=1,
        kind=messages.FrameKind.END,
        status=200,
        data=b"done",
    )


def serve(
    handler: http_server.Handler,
    scenario: Callable[[str], Awaitable[None]],
) -> None:
    """Runs a scenario against a server on loopback."""

    async def main() -> None:
        stopping = trio.Event()
        async with trio.open_nursery() as nursery:
            port = await nursery.start(
                lambda task_status: http_server.serve(
                    "127.0.0.1:0",
                    handler,
                    limits=http_message.Limits(),
                    stopping=stopping,
                    on_error=lambda error: None,
                    task_status=task_status,
                )
            )
            await scenario(f"127.0.0.1:{port}")
            nursery.cancel_scope.cancel()

    trio.run(main)


class TestRunner:
    """The home retries only calls known not to have run, and reports it."""

    def test_started_call_is_not_sent_elsewhere_after_a_retry(
        self,
    ) -> None:
        link = FakeLink([lost(), errors.ConnectFailedError("gone")], seen=True)
        assert run_call(link).ran is messages.Ran.UNKNOWN
        assert link.hosts == ["a", "a"]

    @pytest.mark.parametrize(
        "refusal",
        [errors.ConnectFailedError("gone"), refused("sidecar_replaced")],
        ids=["unreachable", "replaced"],
    )
    def test_call_of_an_earlier_home_is_not_sent_elsewhere(
        self, refusal: Any
    ) -> None:
        link = FakeLink([refusal], seen=True)
        assert run_call(link, unsettled=True).ran is messages.Ran.UNKNOWN
        assert link.hosts == ["a"]

    @pytest.mark.parametrize("unsettled", [False, True])
    def test_idempotent_call_that_may_have_run_is_reported_unknown(
        self, unsettled: bool
    ) -> None:
        script = [] if unsettled else [lost()]
        link = FakeLink([*script, refused("key_withdrawn")], seen=False)
        end = run_call(link, unsettled=unsettled, idempotent=True)
        assert end.ran is messages.Ran.UNKNOWN

    @pytest.mark.parametrize(
        ("idempotent", "seen", "stays"),
        [(True, False, True), (False, True, True), (False, False, False)],
    )
    def test_call_started_nowhere_settles_the_program(
        self, idempotent: bool, seen: bool, stays: bool
    ) -> None:
        link = FakeLink([finished()], seen=seen)
        tree = new_tree(unsettled=True)
        end = run_call(link, tree=tree, idempotent=idempotent)
        assert end.kind is messages.FrameKind.END
        assert bool(tree.unsettled_programs) is stays

    @pytest.mark.parametrize(
        ("log_answers", "may_be_fenced", "runs"),
        [(True, True, True), (False, False, True), (False, True, False)],
    )
    def test_newer_sidecar_gets_calls_of_a_home_that_is_not_replaced(
        self, log_answers: bool, may_be_fenced: bool, runs: bool
    ) -> None:
        link = FakeLink([finished()], seen=False)
        end = run_call(
            link, log_answers=log_answers, may_be_fenced=may_be_fenced
        )
        assert (end.kind is messages.FrameKind.END) is runs
        assert len(link.hosts) == runs
        if not runs:
            assert end.ran is messages.Ran.UNKNOWN

    def test_refused_call_that_did_not_run_is_retried_elsewhere(
        self,
    ) -> None:
        link = FakeLink([refused("queue_full"), finished()], seen=False)
        assert run_call(link).kind is messages.FrameKind.END
        assert link.hosts == ["a", "b"]
