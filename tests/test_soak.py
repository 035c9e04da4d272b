"""Tests of the fault soak: its checks, its schedule, and a few seeds."""

import pathlib
import signal
import types
from typing import Any

import attrs
import pytest

from quetzalmill_emulator import platform_endpoint
from quetzalmill_soak import checks
from quetzalmill_soak import gateway_watch
from quetzalmill_soak import main
from quetzalmill_soak import record as record_module
from quetzalmill_soak import schedule

_SIGNED = {"response-signature": "signed-llm-0"}
_STREAM = b"".join(
    f"id: {number}\ndata: r1-e{number}\n\n".encode()
    for number in range(1, checks.EVENTS + 1)
)
_TURN = record_module.Attempt(
    request_id="r1",
    kind="turn",
    team="weddings",
    key="k",
    gateway=0,
    program_id="p",
    body=b"hello",
    sent_s=100.0,
    ended_s=100.1,
    status=200,
    headers=_SIGNED,
    answer=_STREAM,
)
_RUN = platform_endpoint.Run(
    request_id="r1",
    team="weddings",
    body=b"hello",
    headers={},
    endpoint_id="llm-0",
    started_s=100.05,
)
_SIGNED_RUN = attrs.evolve(_RUN, started_s=96.4, signed=True)
_REFUSED = attrs.evolve(_TURN, status=503, answer=b"", headers={})
_CUT = attrs.evolve(_TURN, status=None, answer=b"")


def _judge(
    attempt: record_module.Attempt,
    runs: list[platform_endpoint.Run],
    record: record_module.Record | None = None,
    budget: int = 1_000,
    rate: checks.Rate | None = None,
) -> list[str]:
    record = record or record_module.Record()
    record.attempts.append(attempt)
    rates = {} if rate is None else {"weddings": rate}
    return checks.judge(record, runs, {"p": (budget, 0)}, rates)


class TestJudgement:
    """Each guarantee has a record that violates only this one."""

    @pytest.mark.parametrize(
        ("attempt", "runs"),
        [
            (_TURN, [_RUN]),
            (_REFUSED, []),
            (attrs.evolve(_CUT, ended_s=106.0), []),
            (attrs.evolve(_TURN, kind="lookup", answer=b"done by llm-0"),)
            + ([_RUN, _RUN],),
        ],
    )
    def test_kept_promises(
        self,
        attempt: record_module.Attempt,
        runs: list[platform_endpoint.Run],
    ) -> None:
        assert not _judge(attempt, runs)

    @pytest.mark.parametrize(
        ("problem", "attempt", "runs"),
        [
            ("nobody sent", _TURN, [_RUN, attrs.evolve(_RUN, request_id="x")]),
            ("more than once", _TURN, [_RUN, _RUN]),
            ("as not run", _REFUSED, [_RUN]),
            (
                "not of an endpoint",
                attrs.evolve(_TURN, headers={}),
                [_RUN],
            ),
            ("looks complete", attrs.evolve(_TURN, answer=b""), [_RUN]),
            (
                "missing or stand twice",
                attrs.evolve(_TURN, answer=_STREAM + _STREAM),
                [_RUN],
            ),
            (
                "not its own",
                attrs.evolve(_TURN, answer=_STREAM.replace(b"r1", b"r2")),
                [_RUN],
            ),
            (
                "not whole",
                attrs.evolve(_TURN, kind="booking", answer=b"done by"),
                [_RUN],
            ),
            (
                "ends inside an event",
                attrs.evolve(_TURN, answer=_STREAM[:-1]),
                [_RUN],
            ),
            ("another body", _TURN, [attrs.evolve(_RUN, body=b"")]),
            ("another team", _TURN, [attrs.evolve(_RUN, team="rallies")]),
            (
                "saw the key",
                _TURN,
                [attrs.evolve(_RUN, headers={"authorization": "k"})],
            ),
            (
                "is unknown",
                attrs.evolve(_REFUSED, status=404, continues=True),
                [],
            ),
            ("planned stop", _CUT, [_RUN]),
        ],
    )
    def test_broken_promises(
        self,
        problem: str,
        attempt: record_module.Attempt,
        runs: list[platform_endpoint.Run],
    ) -> None:
        broken = _judge(attempt, runs)
        assert len(broken) == 1
        assert problem in broken[0]

    def test_request_may_be_cut_by_a_fault_of_its_gateway(self) -> None:
        for gateway, count in ((0, 0), (None, 0), (1, 1)):
            fault = record_module.Disturbance(
                name="KillGateway", gateway=gateway, from_s=99.0, to_s=100.05
            )
            record = record_module.Record(disturbances=[fault])
            assert len(_judge(_CUT, [_RUN], record)) == count

    def test_planned_stop_excuses_no_cut(self) -> None:
        fault = record_module.Disturbance(
            name="StopGateway", gateway=0, from_s=99.0, to_s=101.0
        )
        record = record_module.Record(disturbances=[fault])
        assert _judge(_CUT, [_RUN], record)

    def test_answer_comes_in_time_unless_the_gateway_stands_still(
        self,
    ) -> None:
        """Also while endpoints answer nonsense or no store can be reached."""
        silent = attrs.evolve(_CUT, wait_s=4.0, ended_s=104.6)
        assert "not answered in time" in _judge(silent, [])[0]
        assert not _judge(attrs.evolve(silent, ended_s=104.4), [])
        assert not _judge(attrs.evolve(silent, answered_s=104.0), [])
        for name, count in (("StoreDown", 1), ("PauseGateway", 0)):
            fault = record_module.Disturbance(
                name=name, gateway=0, from_s=99.0, to_s=101.0
            )
            record = record_module.Record(disturbances=[fault])
            assert len(_judge(silent, [], record)) == count

    def test_withdrawn_key_works_no_longer_than_allowed(self) -> None:
        for at_s, count in ((98.5, 0), (97.5, 1)):
            record = record_module.Record(withdrawn={"k": at_s})
            assert len(_judge(_TURN, [_RUN], record)) == count

    def test_draining_endpoint_gets_no_requests(self) -> None:
        for left_s, back_s, count in (
            (98.5, 110.0, 0),
            (97.5, 110.0, 1),
            (90.0, 95.0, 0),
        ):
            record = record_module.Record(left={"llm-0": [(left_s, back_s)]})
            assert len(_judge(_TURN, [_RUN], record)) == count

    def test_evacuated_domain_gets_no_requests(self) -> None:
        down = record_module.Disturbance(
            name="StoreDown", gateway=None, from_s=96.0, to_s=97.5
        )
        for domain, from_s, to_s, faults, count in (
            ("a", 95.5, 110.0, [], 0),
            ("a", 94.5, 110.0, [], 1),
            ("a", 90.0, 100.0, [], 0),
            ("b", 94.5, 110.0, [], 0),
            ("a", 94.5, 110.0, [down], 0),
        ):
            record = record_module.Record(
                disturbances=faults,
                domains={"llm-0": "a"},
                evacuated={domain: [(from_s, to_s)]},
            )
            assert len(_judge(_TURN, [_RUN], record)) == count

    @pytest.mark.parametrize(
        ("first", "sent_s", "gateway", "count"),
        [
            (_SIGNED_RUN, 98.4, 0, 0),
            (_SIGNED_RUN, 98.6, 0, 1),
            (_SIGNED_RUN, 98.6, 1, 0),
            (attrs.evolve(_SIGNED_RUN, signed=False), 98.6, 0, 0),
            (attrs.evolve(_SIGNED_RUN, started_unix_ms=0), 98.6, 0, 0),
            (attrs.evolve(_SIGNED_RUN, endpoint_id="llm-1"), 98.6, 0, 0),
        ],
    )
    def test_endpoint_with_a_drain_notice_gets_no_requests(
        self,
        first: platform_endpoint.Run,
        sent_s: float,
        gateway: int,
        count: int,
    ) -> None:
        """Counts per instance and gateway, from the response headers on."""
        broken = self._sent_after_notice(first, sent_s, gateway, [])
        assert len(broken) == count

    def test_refused_request_counts_as_sent_after_the_notice(self) -> None:
        refused = attrs.evolve(_RUN, request_id="r2")
        signed, later = self._notice_and_later_attempt(_SIGNED_RUN, 98.6, 0)
        record = record_module.Record(attempts=[signed[0]])
        record.attempts.append(
            attrs.evolve(later[0], status=503, headers={}, answer=b"")
        )
        broken = checks.judge(record, [signed[1]], {}, {}, [refused])
        assert len(broken) == 1
        assert "left by answer" in broken[0]

    @pytest.mark.parametrize(
        ("name", "gateway", "from_s", "to_s", "count"),
        [
            ("PauseGateway", 0, 97.0, 97.5, 0),
            ("KillAll", None, 97.0, 97.5, 0),
            ("StopGateway", 0, 97.0, 97.5, 0),
            ("PauseGateway", 1, 97.0, 97.5, 1),
            ("PauseGateway", 0, 95.0, 96.0, 1),
            ("StoreDown", None, 95.0, 101.0, 1),
        ],
    )
    def test_only_a_stopped_or_paused_gateway_may_lose_a_notice(
        self,
        name: str,
        gateway: int | None,
        from_s: float,
        to_s: float,
        count: int,
    ) -> None:
        fault = record_module.Disturbance(
            name=name, gateway=gateway, from_s=from_s, to_s=to_s
        )
        broken = self._sent_after_notice(_SIGNED_RUN, 98.6, 0, [fault])
        assert len(broken) == count

    def _sent_after_notice(
        self,
        first: platform_endpoint.Run,
        sent_s: float,
        gateway: int,
        faults: list[record_module.Disturbance],
    ) -> list[str]:
        signed, later = self._notice_and_later_attempt(first, sent_s, gateway)
        record = record_module.Record(
            attempts=[signed[0], later[0]], disturbances=faults
        )
        return checks.judge(record, [signed[1], later[1]], {}, {})

    def _notice_and_later_attempt(
        self, run: platform_endpoint.Run, sent_s: float, gateway: int
    ) -> list[tuple[record_module.Attempt, platform_endpoint.Run]]:
        """Returns an attempt with a drain notice at 96.5 s, and a later one."""
        signed = attrs.evolve(
            _TURN,
            sent_s=96.3,
            answered_s=96.5,
            ended_s=99.0,
            headers={"response-signature": f"signed-{run.endpoint_id}"},
        )
        later = attrs.evolve(
            _TURN,
            request_id="r2",
            sent_s=sent_s,
            gateway=gateway,
            answer=_STREAM.replace(b"r1", b"r2"),
        )
        return [(signed, run), (later, attrs.evolve(_RUN, request_id="r2"))]

    def test_budget(self) -> None:
        received_tokens = checks.EVENTS * 9
        assert not _judge(_TURN, [_RUN], budget=received_tokens)
        assert _judge(_TURN, [_RUN], budget=received_tokens - 1)

    def test_rate(self) -> None:
        lookup = attrs.evolve(_TURN, kind="lookup", answer=b"done by llm-0")
        rate = checks.Rate(per_s=1.0, burst=5.0)
        # Within five seconds, (5 + 5) x 1.1 + 20 = 31 requests may run.
        assert not _judge(lookup, [_RUN] * 31, rate=rate)
        assert _judge(lookup, [_RUN] * 32, rate=rate)


class _Process:
    """A gateway's process that has ended, or runs if ``code`` is None."""

    def __init__(self, code: int | None) -> None:
        self._code = code

    def poll(self) -> int | None:
        """Returns the exit code."""
        return self._code

    def send_signal(self, number: int) -> None:
        """Ends the process as the default action does."""
        self._code = -number


class TestColdEndpoints:
    """The rate of endpoints that have started again."""

    @pytest.mark.parametrize(("requests", "count"), [(5, 0), (6, 1)])
    def test_bound(self, requests: int, count: int) -> None:
        endpoint = platform_endpoint.PlatformEndpoint("llm-0")
        endpoint.cold_arrivals_s = [0.05 * each for each in range(requests)]
        endpoint.cold_arrivals_s.append(1.5)
        assert len(checks.judge_cold([endpoint])) == count


class TestGatewayWatch:
    """Ends of gateways' processes, by the signals that they were sent."""

    @pytest.mark.parametrize(
        ("sent", "code", "count"),
        [
            (None, None, 0),
            # It ended by itself, for example after an unreadable entry.
            (None, 1, 1),
            (None, 0, 1),
            (signal.SIGKILL, None, 0),
            # The default action of a signal that it should have handled.
            (signal.SIGHUP, None, 1),
            (signal.SIGTERM, None, 1),
        ],
    )
    def test_end_that_no_signal_explains_is_noted(
        self, sent: int | None, code: int | None, count: int
    ) -> None:
        gateway = types.SimpleNamespace(process=_Process(code))
        cluster: Any = types.SimpleNamespace(gateways=[gateway])
        watch = gateway_watch.GatewayWatch(cluster, record_module.Record())
        if sent is not None:
            watch.signal(0, sent)
        watch.check_end(0)
        assert len(watch.broken) == count

    def test_stopped_process_ends_with_zero(self) -> None:
        stopped = {int(signal.SIGTERM), int(signal.SIGHUP)}
        assert gateway_watch.expected_codes(stopped) == {0}


class TestSchedule:
    """The schedule that is drawn from a seed."""

    def test_schedule_is_determined_by_the_seed(self) -> None:
        size = schedule.Size()
        assert schedule.draw(5, size) == schedule.draw(5, size)
        assert schedule.draw(5, size) != schedule.draw(6, size)

    def test_every_kind_of_fault_is_drawn(self) -> None:
        drawn = {
            type(entry.fault)
            for seed in range(40)
            for entry in schedule.draw(seed, schedule.Size())
        }
        assert drawn == set(schedule.KINDS)


class TestSeeds:
    """Complete runs with real gateways.

    55: gateways kept sending to an endpoint whose responses carried a drain
    notice, as long as its registry entry did not.
    17: a booking got no answer while its endpoint only answered other requests.
    1796416716: a reload signal ended a gateway that was still starting.
    2, 17, 55: requests that ran were refused, or ran twice, as late copies and
    signed failures were believed.
    """

    @pytest.mark.parametrize("seed", [1, 2, 17, 55, 1796416716])
    def test_seed(self, seed: int, tmp_path: pathlib.Path) -> None:
        result = main.play(seed, schedule.Size(), tmp_path)
        assert not result.broken
        assert result.served > 0
