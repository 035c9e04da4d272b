"""Tests of the emulators, as processes and in-process."""

from collections.abc import Iterator
import http.client
import json
import threading
from typing import Any

import pytest

from quetzalmill import clock
from quetzalmill import sse
from quetzalmill_emulator import answers
from quetzalmill_emulator import batch
from quetzalmill_emulator import hosts
from quetzalmill_emulator import kv_cache
from quetzalmill_emulator import news
from tests import harness

_LOST = (OSError, http.client.HTTPException)


@pytest.fixture
def fleet() -> Iterator[harness.Fleet]:
    with harness.Fleet() as started:
        yield started


def _append(address: str, *records: Any, stream: str = "s") -> harness.Reply:
    body = {"records": list(records)}
    return harness.call(address, "POST", f"/streams/{stream}/append", body)


def _read(address: str, query: str, stream: str = "s") -> harness.Reply:
    path = f"/streams/{stream}/records?{query}"
    return harness.call(address, "GET", path)


def _faults(address: str, **faults: Any) -> None:
    reply = harness.call(address, "POST", "/faults", faults)
    assert reply.status == 200


def _user(text: str) -> answers.Message:
    return {"role": "user", "content": text}


class TestLog:
    """The log service."""

    def test_records_keep_their_order_and_offsets(
        self, fleet: harness.Fleet
    ) -> None:
        address = fleet.emulator("log").address
        first = _append(address, {"n": 1}, {"n": 2}).body
        assert first == {"first_offset": 1, "offsets_end": 3}
        assert _append(address, "three").body["first_offset"] == 3
        assert _append(address, 1, stream="t%2Fu").body["first_offset"] == 1
        reply = _read(address, "from=2&max=5").body
        assert reply["records"] == [
            {"offset": 2, "data": {"n": 2}},
            {"offset": 3, "data": "three"},
        ]
        assert reply["end"] == 4
        assert len(_read(address, "from=1&max=2").body["records"]) == 2
        streams = harness.call(address, "GET", "/streams").body["streams"]
        assert streams["t/u"] == {"first": 1, "end": 2}

    def test_reader_waits_for_a_record(self, fleet: harness.Fleet) -> None:
        address = fleet.emulator("log").address
        found: list[harness.Reply] = []

        def wait() -> None:
            found.append(_read(address, "from=1&wait_ms=10000"))

        reader = threading.Thread(target=wait)
        reader.start()
        _append(address, "news")
        reader.join(10)
        assert found[0].body["records"][0]["data"] == "news"
        assert _read(address, "from=2&wait_ms=1").body["records"] == []

    def test_retention_drops_old_records(self, fleet: harness.Fleet) -> None:
        address = fleet.emulator("log", "--retain-records", "2").address
        assert _read(address, "from=1").status == 200
        _append(address, 1, 2, 3)
        gone = _read(address, "from=1")
        assert (gone.status, gone.body) == (410, {"first_offset": 2})
        path = "/streams/s/truncate"
        harness.call(address, "POST", path, {"before": 100})
        assert _read(address, "from=3").body == {"first_offset": 4}
        assert _read(address, "from=4").body == {"records": [], "end": 4}

    def test_records_expire(self, fleet: harness.Fleet) -> None:
        address = fleet.emulator("log", "--retain-ms", "50").address
        _append(address, 1)
        harness.eventually(lambda: _read(address, "from=1").status == 410)

    def test_appends_are_limited(self, fleet: harness.Fleet) -> None:
        address = fleet.emulator(
            "log", "--appends-per-s", "0.001", "--append-burst", "2"
        ).address
        replies = [_append(address, 1) for _ in range(3)]
        assert [reply.status for reply in replies] == [200, 200, 429]
        assert int(replies[2].headers["retry-after"]) > 0

    def test_faults_apply_to_their_streams(self, fleet: harness.Fleet) -> None:
        address = fleet.emulator("log").address
        _faults(address, down=True, stream="s")
        for request in (_append, _read):
            with pytest.raises(_LOST):
                request(address, "from=1")
        assert _append(address, 1, stream="other").status == 200
        _faults(address, reject_appends=True)
        assert _append(address, 1).status == 503
        _faults(address)
        assert _append(address, 1).body["first_offset"] == 1

    def test_append_with_lost_reply_takes_effect(
        self, fleet: harness.Fleet
    ) -> None:
        address = fleet.emulator("log").address
        _faults(address, lose_replies=1)
        with pytest.raises(_LOST):
            _append(address, "kept")
        assert _append(address, "next").body["first_offset"] == 2
        assert _read(address, "from=1").body["records"][0]["data"] == "kept"
        state = harness.call(address, "GET", "/state").body
        assert (state["appends"], state["lost_replies"]) == (2, 1)

    def test_outage_ends_waiting_reads(self, fleet: harness.Fleet) -> None:
        address = fleet.emulator("log").address
        failed: list[BaseException] = []

        def wait() -> None:
            try:
                _read(address, "from=1&wait_ms=30000")
            except _LOST as error:
                failed.append(error)

        reader = threading.Thread(target=wait)
        reader.start()
        _faults(address, down=True)
        reader.join(10)
        assert failed

    @pytest.mark.parametrize(
        ("method", "path", "body", "status"),
        [
            ("POST", "/streams/s/append", {"record": 1}, 422),
            ("POST", "/streams/s/append", b"{", 422),
            ("POST", "/faults", {"dwon": True}, 422),
            ("GET", "/streams/s/records?from=x", None, 422),
            ("GET", "/nowhere", None, 404),
        ],
    )
    def test_bad_requests(
        self,
        fleet: harness.Fleet,
        method: str,
        path: str,
        body: Any,
        status: int,
    ) -> None:
        address = fleet.emulator("log").address
        assert harness.call(address, method, path, body).status == status


class TestService:
    """The plain service."""

    def test_runs_are_counted(self, fleet: harness.Fleet) -> None:
        address = fleet.emulator("service", "--name", "stock").address
        body = {"reference": "r1"}
        for run in (1, 2):
            headers = {"X-Request-Id": f"p/{run}"}
            reply = harness.call(address, "POST", "/pay", body, headers)
            assert reply.body == {
                "service": "stock",
                "path": "/pay",
                "run": run,
                "reference": "r1",
            }
        seen = harness.call(address, "GET", "/debug/runs").body
        assert seen["runs"] == {"p/1": 1, "p/2": 1}
        assert seen["references"] == {"r1": 2}
        assert seen["requests"] == 2
        assert seen["headers_seen"][1]["x-request-id"] == "p/2"

    @pytest.mark.parametrize(
        ("faults", "runs"),
        [
            ({"drop_after_run": 1}, 1),
            ({"close_before_run": 1}, 0),
            ({"hang": True}, 1),
        ],
    )
    def test_faults(
        self, fleet: harness.Fleet, faults: dict[str, Any], runs: int
    ) -> None:
        address = fleet.emulator("service").address

        def runs_so_far() -> int:
            seen = harness.call(address, "GET", "/debug/runs").body
            return int(seen["runs"].get("a", 0))

        harness.call(address, "POST", "/debug/faults", faults)
        headers = {"X-Request-Id": "a"}
        timeout_s = 0.3 if "hang" in faults else harness.CALL_TIMEOUT_S
        with pytest.raises(_LOST):
            harness.call(address, "POST", "/x", None, headers, timeout_s)
        harness.eventually(lambda: runs_so_far() == runs)
        harness.call(address, "POST", "/debug/faults", {})
        harness.call(address, "POST", "/x", None, headers)
        assert runs_so_far() == runs + 1


class TestHosts:
    """The host list."""

    def test_states_are_listed(self, fleet: harness.Fleet) -> None:
        address = fleet.emulator("hosts").address
        leaving = {"host": "a", "state": "leaving"}
        harness.call(address, "POST", "/hosts", leaving)
        reply = harness.call(address, "GET", "/hosts")
        assert reply.body == {"hosts": [leaving]}
        harness.call(address, "DELETE", "/hosts/a")
        assert harness.call(address, "GET", "/hosts").body == {"hosts": []}
        bad = {"host": "a", "state": "gone"}
        assert harness.call(address, "POST", "/hosts", bad).status == 422

    def test_changes_become_visible_after_the_lag(self) -> None:
        manual = clock.ManualClock()
        listed = hosts.HostList(10.0, manual)
        listed.change("a", "live")
        assert listed.visible() == []
        manual.advance(10.0)
        listed.change("a", "leaving")
        listed.change("a", hosts.REMOVED)
        assert listed.visible() == [{"host": "a", "state": "live"}]
        manual.advance(10.0)
        assert listed.visible() == []

    def test_process_exits_on_sigterm(self, fleet: harness.Fleet) -> None:
        assert fleet.emulator("hosts").terminate() == 0


def _complete(
    address: str,
    messages: list[answers.Message],
    headers: dict[str, str] | None = None,
    **fields: Any,
) -> harness.Reply:
    body = {"model": "m", "messages": messages, **fields}
    path = "/v1/chat/completions"
    return harness.call(address, "POST", path, body, headers)


def _requests(address: str) -> list[dict[str, Any]]:
    found: list[dict[str, Any]] = harness.call(
        address, "GET", "/debug/requests"
    ).body["requests"]
    return found


class TestEngine:
    """The model engine as a process."""

    def test_answer_and_its_usage(self, fleet: harness.Fleet) -> None:
        address = fleet.emulator("engine").address
        messages = [_user("when does the tide turn at camarones tonight")]
        reply = _complete(address, messages, answer_tokens=20).body
        answer = reply["choices"][0]["message"]["content"]
        assert answer.startswith(
            'answer to "when does the tide turn at camarones ton"'
            f" after 1 messages digest {answers.digest(messages)} word"
        )
        assert answer == answers.answer_text(messages, 20)
        assert reply["usage"] == {
            "prompt_tokens": 12,
            "completion_tokens": 20,
            "total_tokens": 32,
            "prompt_tokens_details": {"cached_tokens": 0},
        }

    @pytest.mark.parametrize("chunk_tokens", ["1", "5"])
    def test_stream_ends_with_usage(
        self, fleet: harness.Fleet, chunk_tokens: str
    ) -> None:
        address = fleet.emulator(
            "engine", "--chunk-tokens", chunk_tokens
        ).address
        messages = [_user("hello")]
        body = {"model": "m", "messages": messages, "stream": True}
        with harness.stream(
            address, "POST", "/v1/chat/completions", body
        ) as stream:
            data = [event.data for event in stream.events()]
        assert data[-1] == sse.DONE
        chunks = [json.loads(text) for text in data[:-1]]
        assert chunks[-1]["usage"]["completion_tokens"] == 32
        assert chunks[-2]["choices"][0]["finish_reason"] == "stop"
        text = "".join(
            chunk["choices"][0]["delta"]["content"] for chunk in chunks[:-2]
        )
        assert text == answers.answer_text(messages)

    def test_session_keeps_its_prefix_until_released(
        self, fleet: harness.Fleet
    ) -> None:
        address = fleet.emulator("engine").address
        headers = {"X-Session": "s", "X-Request-Id": "r1", "X-Any": "y"}
        messages = [_user("one")]
        first = _complete(address, messages, headers).body
        answer = first["choices"][0]["message"]
        follow_up = [*messages, answer, _user("two")]
        second = _complete(address, follow_up, headers).body
        cached = second["usage"]["prompt_tokens_details"]["cached_tokens"]
        assert cached == answers.prompt_tokens([*messages, answer])
        held = harness.call(address, "GET", "/kv").body["sessions"]
        usage = second["usage"]
        assert held == {"s": usage["total_tokens"] + 4}
        seen = _requests(address)
        assert seen[0]["headers"]["x-any"] == "y"
        assert [r["request_id"] for r in seen] == ["r1", "r1"]
        assert seen[1]["digest"] == answers.digest(follow_up)
        harness.call(address, "POST", "/kv/release", {"session": "s"})
        held = harness.call(address, "GET", "/kv").body["sessions"]
        assert held == {}

    def test_exported_session_is_imported_by_another_engine(
        self, fleet: harness.Fleet
    ) -> None:
        source = fleet.emulator("engine").address
        target = fleet.emulator("engine").address
        messages = [_user("one two three")]
        headers = {"X-Session": "s"}
        first = _complete(source, messages, headers).body
        exported = harness.call(
            source, "POST", "/kv/export", {"session": "s"}
        ).body
        reply = harness.call(target, "POST", "/kv/import", exported)
        assert reply.body["tokens"] == exported["tokens"] > 0
        follow_up = [*messages, first["choices"][0]["message"], _user("x")]
        usage = _complete(target, follow_up, headers).body["usage"]
        cached = usage["prompt_tokens_details"]["cached_tokens"]
        assert cached == exported["tokens"]

    @pytest.mark.parametrize("how", ["cancel", "disconnect"])
    def test_request_is_cancelled(self, fleet: harness.Fleet, how: str) -> None:
        address = fleet.emulator("engine").address
        body = {"messages": [_user("x")], "stream": True}
        body["answer_tokens"] = 50_000
        path = "/v1/chat/completions"
        headers = {"X-Request-Id": "long"}
        with harness.stream(address, "POST", path, body, headers) as stream:
            events = stream.events()
            next(events)
            if how == "cancel":
                cancel = {"request_id": "long"}
                reply = harness.call(address, "POST", "/cancel", cancel)
                assert reply.body == {"cancelled": 1}
                assert list(events)[-1].data == sse.DONE
        harness.eventually(lambda: _requests(address)[0]["cancelled"])

    def test_load_and_cache_events_lag(self, fleet: harness.Fleet) -> None:
        address = fleet.emulator(
            "engine", "--event-loss", "0", "--load-lag-ms", "100"
        ).address
        messages = [_user("x")]
        _complete(address, messages, {"X-Session": "s"})

        def events() -> list[dict[str, Any]]:
            found: list[dict[str, Any]] = harness.call(
                address, "GET", "/events?after=0"
            ).body["events"]
            return found

        seen = harness.eventually(events)
        assert (seen[0]["event"], seen[0]["session"]) == ("stored", "s")
        harness.eventually(
            lambda: (
                harness.call(address, "GET", "/load").body
                == {
                    "running": 0,
                    "waiting": 0,
                    "cached_tokens": seen[0]["tokens"],
                }
            )
        )

    @pytest.mark.parametrize("checks", [True, False])
    def test_stale_fencing_number_is_refused_if_checked(
        self, fleet: harness.Fleet, checks: bool
    ) -> None:
        options = ["--checks-fencing"] if checks else []
        address = fleet.emulator("engine", *options).address
        statuses = []
        for fencing in (5, 4, 5):
            order = {"order": {"load": "m"}, "fencing": fencing}
            reply = harness.call(address, "POST", "/orders", order)
            statuses.append(reply.status)
        assert statuses == [200, 409 if checks else 200, 200]
        obeyed = harness.call(address, "GET", "/debug/orders").body["orders"]
        assert len(obeyed) == (2 if checks else 3)

    def test_marked_request_crashes_the_process(
        self, fleet: harness.Fleet
    ) -> None:
        engine = fleet.emulator("engine", "--crash-marker", "BOOM")
        _complete(engine.address, [_user("fine")])
        with pytest.raises(_LOST):
            _complete(engine.address, [_user("a BOOM b")], answer_tokens=10_000)
        assert engine.wait_end() == 70

    @pytest.mark.parametrize(
        "body",
        [
            b"{",
            {"messages": []},
            {"messages": [{"role": "user", "content": "x"}], "max_tokens": -1},
            {"messages": [{"role": "user", "content": "x " * 500}]},
        ],
    )
    def test_bad_requests(self, fleet: harness.Fleet, body: Any) -> None:
        address = fleet.emulator("engine", "--memory-tokens", "400").address
        reply = harness.call(address, "POST", "/v1/chat/completions", body)
        assert reply.status == 400


_SETTINGS = batch.BatchSettings(
    slots=2,
    memory_tokens=100,
    prefill_tokens_per_s=1000.0,
    decode_ms=10.0,
    decode_ms_per_request=1.0,
)


def _job(name: str, tokens: int = 6, priority: int = 0) -> batch.Job:
    return batch.Job(
        request_id=name,
        session=name,
        priority=priority,
        messages=[_user("x " * (tokens - 4))],
        words=["y", "y"],
        received_ms=0.0,
    )


class _BatchRun:
    """A batch that is advanced in simulated time."""

    def __init__(self) -> None:
        self.events: list[tuple[str, str]] = []
        self.cache = kv_cache.KvCache(100, self._record_event)
        self.batch = batch.Batch(_SETTINGS, self.cache)
        self.now_ms = 0.0

    def step(self) -> bool:
        duration_ms = self.batch.begin_step(self.now_ms)
        if duration_ms is None:
            return False
        self.now_ms += duration_ms
        self.batch.end_step(self.now_ms)
        return True

    def run_all(self) -> None:
        while self.step():
            pass

    def _record_event(self, name: str, session: str, tokens: int) -> None:
        del tokens
        self.events.append((name, session))


class TestBatch:
    """The time model of a batch."""

    def test_steps_take_prefill_and_decode_time(self) -> None:
        run = _BatchRun()
        run.batch.submit(_job("a", tokens=6))
        run.batch.submit(_job("b", tokens=8))
        ends = []
        while run.step():
            ends.append(run.now_ms)
        # The prefill of b shares a step with the decoding of a.
        assert ends == [6.0, 6.0 + 8.0 + 11.0, 25.0 + 11.0]

    def test_priority_precedes_arrival_order(self) -> None:
        run = _BatchRun()
        jobs = [_job("a"), _job("b"), _job("c"), _job("d", priority=-1)]
        for job in jobs:
            run.batch.submit(job)
        waiting = [job.request_id for job in run.batch.waiting]
        assert waiting == ["d", "a", "b", "c"]
        run.step()
        assert [job.request_id for job in run.batch.running] == ["d", "a"]

    def test_idle_sessions_are_evicted_oldest_first(self) -> None:
        run = _BatchRun()
        for name in ("a", "b", "c"):
            run.batch.submit(_job(name, tokens=30))
            run.run_all()
        assert list(run.cache.sessions()) == ["b", "c"]
        assert ("evicted", "a") in run.events

    def test_requests_wait_for_memory(self) -> None:
        run = _BatchRun()
        run.batch.submit(_job("a", tokens=60))
        run.batch.submit(_job("b", tokens=60))
        run.step()
        assert [job.request_id for job in run.batch.running] == ["a"]
        run.run_all()
        assert list(run.cache.sessions()) == ["b"]

    def test_cancelled_request_releases_its_memory(self) -> None:
        run = _BatchRun()
        job = _job("a", tokens=20)
        run.batch.submit(job)
        run.step()
        assert run.cache.release("a") is None
        run.batch.cancel(job, run.now_ms)
        assert run.cache.sessions() == {"a": 20}
        assert run.cache.release("a")
        run.batch.submit(_job("b", tokens=94))
        run.run_all()
        assert run.cache.sessions() == {"b": 100}


class TestNews:
    """The cache events and the load that an engine reports."""

    def test_lost_events_are_the_same_for_a_seed(self) -> None:
        seen = []
        for _ in range(2):
            manual = clock.ManualClock()
            events = news.CacheEvents(10.0, 0.5, 7, manual)
            for n in range(20):
                events.add("stored", f"s{n}", 1)
            assert events.after(0) == []
            manual.advance(10.0)
            seen.append([event["seq"] for event in events.after(0)])
        assert seen[0] == seen[1]
        assert 0 < len(seen[0]) < 20

    def test_load_is_reported_late(self) -> None:
        manual = clock.ManualClock()
        load = news.LaggingLoad(10.0, manual)
        manual.advance(5.0)
        load.record(1, 2, 3)
        manual.advance(9.0)
        assert load.seen()["running"] == 0
        manual.advance(1.0)
        assert load.seen() == {"running": 1, "waiting": 2, "cached_tokens": 3}
