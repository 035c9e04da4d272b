"""Tests of the decoders of the platform's headers, documents and settings."""

from collections.abc import Callable
import contextlib
import functools
import json
import pathlib
import sys
from typing import Any

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from quetzalmill import errors
from quetzalmill import gateway_calls
from quetzalmill import http_message
from quetzalmill import logs
from quetzalmill_load import platform_cluster
from quetzalmill_platform import boot
from quetzalmill_platform import desired_state
from quetzalmill_platform import front
from quetzalmill_platform import registry
from quetzalmill_platform import wire

_DIALECT = wire.PlatformDialect()


def _request(**headers: str) -> http_message.Request:
    return http_message.Request(
        method="POST",
        path="/chat/1",
        headers={
            name.replace("_", "-"): value for name, value in headers.items()
        },
        body=b"hello",
    )


class TestDialect:
    """Headers of callers and endpoints."""

    @pytest.mark.parametrize(
        ("header", "longest"), [("program_id", 127), ("attempt_id", 255)]
    )
    def test_longest_id(self, header: str, longest: int) -> None:
        """A team name and a program id share one store key of 255 bytes."""
        _DIALECT.decode_call(_request(**{header: "x" * longest}))
        with pytest.raises(errors.BadMessageError):
            _DIALECT.decode_call(_request(**{header: "x" * (longest + 1)}))
        with pytest.raises(errors.BadMessageError):
            _DIALECT.decode_call(_request(**{header: "\xe9" * longest}))

    def test_turn(self) -> None:
        call = _DIALECT.decode_call(
            _request(
                attempt_id="a1",
                deadline_ms="4000",
                authorization="Token k1",
                program_id="p1",
                program_deadline_ms="5200",
                token_budget="2304",
                token_usage="1840,288",
                previous_turn="a0",
                prompt_prefix="5c:800,91:410",
            )
        )
        assert call.request_id == "a1"
        assert call.key == "k1"
        assert call.deadline_ms == 4000.0
        assert call.budget_tokens == 2304
        assert (call.prompt_tokens, call.most_tokens) == (1840, 288)
        assert call.previous_turn_id == "a0"
        assert call.prompt_parts == (
            gateway_calls.PromptPart("5c", 800),
            gateway_calls.PromptPart("91", 410),
        )

    @pytest.mark.parametrize(
        "headers",
        [
            {"deadline_ms": "soon"},
            {"deadline_ms": "-1"},
            {"deadline_ms": "nan"},
            {"token_budget": "inf"},
            {"token_usage": "1"},
            {"token_usage": "1,-2"},
        ],
    )
    def test_malformed_header(self, headers: dict[str, str]) -> None:
        with pytest.raises(errors.BadMessageError):
            _DIALECT.decode_call(_request(**headers))

    def test_caller_cannot_set_reserved_headers(self) -> None:
        call = _DIALECT.decode_call(
            _request(
                attempt_id="a1",
                authorization="Token k1",
                tenant="other",
                hold="h",
                pin_ms="9",
                kv_backup="x",
                kv_from="y",
                request_priority="0",
                expect_instance="e9",
                x_custom="kept",
            )
        )
        sent = _DIALECT.encode_send(
            call,
            gateway_calls.Send(
                endpoint_id="e1",
                team="weddings",
                remaining_ms=1234.5,
                priority=3,
                body=b"prompt",
            ),
        )
        assert sent.headers == {
            "attempt-id": "a1",
            "x-custom": "kept",
            "expect-instance": "e1",
            "deadline-ms": "1234",
            "tenant": "weddings",
            "request-priority": "3",
        }
        assert sent.body == b"prompt"

    @pytest.mark.parametrize(
        ("status", "headers", "correlation", "is_genuine", "not_run"),
        [
            (
                200,
                {"attempt-id": "a1", "response-signature": "s"},
                "own",
                True,
                False,
            ),
            (200, {"attempt-id": "a2"}, "foreign", False, False),
            (503, {"not-executed": "1"}, "unnamed", False, True),
            (
                503,
                {"not-executed": "1", "attempt-id": "a2"},
                "foreign",
                False,
                True,
            ),
            (421, {}, "unnamed", False, True),
            (503, {}, "unnamed", False, False),
        ],
    )
    def test_reply(
        self,
        status: int,
        headers: dict[str, str],
        correlation: str,
        is_genuine: bool,
        not_run: bool,
    ) -> None:
        call = _DIALECT.decode_call(_request(attempt_id="a1"))
        reply = _DIALECT.decode_reply(call, "e1", status, headers)
        assert reply.correlation.value == correlation
        assert reply.is_genuine == is_genuine
        assert reply.not_run == not_run


class TestLeavingHeader:
    """Responses with the ``server-leaving`` header of a draining endpoint."""

    def _reply(
        self,
        status: int,
        headers: dict[str, str],
        dialect: wire.PlatformDialect = _DIALECT,
    ) -> gateway_calls.Reply:
        call = dialect.decode_call(_request(attempt_id="a1"))
        return dialect.decode_reply(call, "e1", status, headers)

    @pytest.mark.parametrize("status", [100, 103, 200, 404, 429, 500, 503, 504])
    def test_any_status_counts(self, status: int) -> None:
        headers = {"server-leaving": "1", "attempt-id": "a1"}
        assert self._reply(status, headers).is_draining

    @pytest.mark.parametrize("value", ["1", " 1\t", "1, 1", "1,1 , 1"])
    def test_repeated_values_and_blanks_are_accepted(self, value: str) -> None:
        assert self._reply(200, {"server-leaving": value}).is_draining

    @pytest.mark.parametrize(
        "value", ["", "0", "true", "01", "1.0", "11", "1, 0", "1,", "\u00b9"]
    )
    def test_other_values_are_ignored(self, value: str) -> None:
        assert not self._reply(200, {"server-leaving": value}).is_draining

    def test_response_without_the_header_does_not_count(self) -> None:
        assert not self._reply(200, {"attempt-id": "a1"}).is_draining

    @pytest.mark.parametrize(
        ("status", "headers", "is_draining"),
        [
            (200, {"attempt-id": "a1"}, True),
            (200, {}, True),
            (503, {"instance-id": "e1"}, True),
            (200, {"attempt-id": "a1", "instance-id": "e1"}, True),
            (200, {"attempt-id": "a0"}, False),
            (200, {"attempt-id": "a0", "instance-id": "e1"}, False),
            (200, {"attempt-id": "a1", "instance-id": "e2"}, False),
            (503, {"instance-id": "e2"}, False),
            (421, {"attempt-id": "a1"}, False),
            (421, {}, False),
            (421, {"attempt-id": "a1", "instance-id": "e1"}, True),
        ],
    )
    def test_response_counts_only_for_the_endpoint_that_sent_it(
        self, status: int, headers: dict[str, str], is_draining: bool
    ) -> None:
        reply = self._reply(status, {**headers, "server-leaving": "1"})
        assert reply.is_draining == is_draining

    def test_header_is_not_forwarded_to_callers(self) -> None:
        reply = self._reply(200, {"server-leaving": "1", "x-own": "kept"})
        assert reply.headers == {"x-own": "kept"}

    @pytest.mark.parametrize(
        ("value", "instance_id", "cold_ms"),
        [
            ("1500", "e1", 1_500.0),
            ("10, 1500", "e1", 1_500.0),
            ("1500", "e2", 0.0),
            ("-1", "e1", 0.0),
            ("soon", "e1", 0.0),
            ("9" * 5_000, "e1", 0.0),
        ],
    )
    def test_cold_time(
        self, value: str, instance_id: str, cold_ms: float
    ) -> None:
        headers = {"cold-ms": value, "instance-id": instance_id}
        reply = self._reply(200, headers)
        assert (reply.cold_ms, reply.headers) == (cold_ms, {})

    def test_unknown_value_is_logged_once_for_an_endpoint(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        logs.configure(stream=sys.stdout)
        dialect = wire.PlatformDialect()
        for _ in range(3):
            self._reply(200, {"server-leaving": "x" * 9_000}, dialect)
        lines = capsys.readouterr().out.splitlines()
        assert len(lines) == 1
        assert "leaving_header_unknown" in lines[0]
        assert len(lines[0]) < 300


class TestDesiredState:
    """The operator's desired state."""

    def test_complete_state(self) -> None:
        document = msgspec.json.encode(platform_cluster.desired_state(7))
        table = desired_state.decode(document)
        assert table.version == 7
        assert table.services["app"].cold_per_s == 0.0
        assert len(table.routes) == 4
        assert table.services["llm"].is_engine
        assert table.team_of_key["key-of-rallies"] == "rallies"
        assert table.document == document

    def test_team_name_too_long_for_a_store_key_is_skipped(self) -> None:
        teams = [{"name": "x" * length} for length in (127, 128)]
        state = platform_cluster.desired_state(tenants=teams)
        table = desired_state.decode(msgspec.json.encode(state))
        assert list(table.teams) == ["x" * 127]

    def test_invalid_entry_is_skipped(self) -> None:
        state = platform_cluster.desired_state()
        state["routes"][0]["kind"] = "unheard of"
        del state["routes"][1]["host"]
        table = desired_state.decode(msgspec.json.encode(state))
        assert [route.name for route in table.routes] == ["lookup", "book"]

    def test_cold_rate_of_a_service(self) -> None:
        cold = {"coldStartS": 3.0, "coldPerS": 28.0}
        services = [{"name": "app", **cold}, {"name": "bad", "coldPerS": -1}]
        state = platform_cluster.desired_state(services=services)
        table = desired_state.decode(msgspec.json.encode(state))
        assert list(table.services) == ["app"]
        assert table.services["app"].cold_start_ms == 3_000.0
        assert table.services["app"].cold_per_s == 28.0

    @pytest.mark.parametrize(
        "version", [-1, 2**63, 2**70, True, 1.5, "7", None]
    )
    def test_version_that_no_heartbeat_can_carry(self, version: Any) -> None:
        """A gateway that applied it ended at its next heartbeat."""
        document = json.dumps(platform_cluster.desired_state(version)).encode()
        with pytest.raises(errors.CodecError):
            desired_state.decode(document)

    @pytest.mark.parametrize("document", [b"", b"[]", b"{}", b"\xff", b"7"])
    def test_not_a_desired_state(self, document: bytes) -> None:
        with pytest.raises(errors.CodecError):
            desired_state.decode(document)


class TestRegistry:
    """The registry entries of endpoints."""

    _ENTRY: dict[str, Any] = {
        "service": "llm",
        "addr": "10.0.0.9:80",
        "zone": "a",
        "version": "v1",
        "slots": 24,
        "state": "ready",
        "coldLeftMs": 0,
        "callSeq": 4,
        "born": 17,
    }

    def test_complete_entry(self) -> None:
        endpoint = registry.decode("e1", msgspec.json.encode(self._ENTRY))
        assert endpoint.endpoint_id == "e1"
        assert endpoint.started_unix_ms == 17
        assert not endpoint.leaving

    def test_draining(self) -> None:
        entry = {**self._ENTRY, "state": "draining"}
        assert registry.decode("e1", msgspec.json.encode(entry)).leaving

    @pytest.mark.parametrize(
        "change",
        [
            {"state": "unheard of"},
            {"state": 7},
            {"state": []},
            {"addr": "nowhere"},
            {"addr": None},
            {"service": 3},
            {"slots": "many"},
            {"slots": -1},
            {"slots": 10**400},
            {"coldLeftMs": 10**400},
            {"coldLeftMs": "1"},
            {"born": "17"},
            {"zone": 7},
            {"addr": "127.0.0.1:99999"},
            {"addr": "10.0.0.9:0"},
            {"addr": "desk.example:80"},
            {"addr": "10.0.0.9:+80"},
            {"addr": "10.0.0.9:8_0"},
            {"addr": "10.0.0.9:\u0668\u0660"},
            {"addr": "0.0.0.0:80"},
            {"addr": "224.0.0.1:80"},
            {"addr": "fe80::1%\0:80"},
            {"service": ""},
            {"service": "x" * 256},
            {"zone": None},
            {"version": None},
            {"version": []},
            {"version": 1.5},
            {"version": "x" * 256},
            {"slots": True},
            {"slots": 8.0},
            {"coldLeftMs": None},
            {"coldLeftMs": True},
            {"callSeq": None},
            {"callSeq": "4"},
            {"callSeq": -1},
            {"callSeq": 4.5},
            {"callSeq": 10**400},
            {"born": None},
            {"born": 17.5},
        ],
    )
    def test_entry_with_an_invalid_field(self, change: dict[str, Any]) -> None:
        value = json.dumps({**self._ENTRY, **change}).encode()
        with pytest.raises(errors.CodecError):
            registry.decode("e1", value)

    @pytest.mark.parametrize("name", sorted({*_ENTRY} - {"born"}))
    def test_entry_without_a_field_names_no_endpoint(self, name: str) -> None:
        """A gateway would send requests to whatever it names."""
        entry = {key: self._ENTRY[key] for key in self._ENTRY if key != name}
        with pytest.raises(errors.CodecError):
            registry.decode("e1", msgspec.json.encode(entry))

    def test_entry_with_unreadable_bytes_in_another_field(self) -> None:
        value = _document({**self._ENTRY, "other": 1}, "other", b'"\xff"')
        with pytest.raises(errors.CodecError):
            registry.decode("e1", value)

    @pytest.mark.parametrize(
        "change",
        [
            {"version": 1},
            {"coldLeftMs": 12.5},
            {"callSeq": 0},
            {"addr": "[::1]:80"},
            {"stage": "both", "models": [{"name": "m", "adapters": []}]},
        ],
    )
    def test_entry_that_an_endpoint_may_write(
        self, change: dict[str, Any]
    ) -> None:
        """New fields come with new versions of the endpoints' software."""
        value = msgspec.json.encode({**self._ENTRY, **change})
        assert registry.decode("e1", value).slots == 24

    def test_entry_without_its_start(self) -> None:
        """The users' examples of entries have none."""
        entry = {**self._ENTRY}
        del entry["born"]
        endpoint = registry.decode("e1", msgspec.json.encode(entry))
        assert endpoint.started_unix_ms == 0

    @pytest.mark.parametrize(
        "value", [b"\xff\x00", b"[]", b"null", b"{}", b"[" * 2_000]
    )
    def test_not_an_entry(self, value: bytes) -> None:
        with pytest.raises(errors.CodecError):
            registry.decode("e1", value)

    @pytest.mark.parametrize("endpoint_id", ["", "a b ", "\xe9", "a\r\nb: c"])
    def test_id_that_no_header_can_carry(self, endpoint_id: str) -> None:
        with pytest.raises(errors.CodecError):
            registry.decode(endpoint_id, msgspec.json.encode(self._ENTRY))


_NESTED = b"[" * 2_000 + b"]" * 2_000

_VALUES = st.one_of(
    st.sampled_from(
        [b"1e999", b"9" * 400, b"9" * 5_000, b"-1", b"null", b'"nan"', _NESTED]
    ),
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(st.text(), inner, max_size=3)
        ),
        max_leaves=5,
    ).map(lambda value: json.dumps(value).encode()),
)
"""JSON values of all types, among them some that exhaust a number or stack."""


def _document(fields: dict[str, Any], name: str, value: bytes) -> bytes:
    """Returns a JSON object with one field replaced by any bytes."""
    encoded = {key: json.dumps(fields[key]).encode() for key in fields}
    encoded[name] = value
    return (
        b"{"
        + b",".join(
            json.dumps(key).encode() + b":" + encoded[key] for key in encoded
        )
        + b"}"
    )


class TestUnreadableInput:
    """Whatever others write, decoders raise only the errors they document."""

    @staticmethod
    def _decode(decode: Callable[[], object]) -> None:
        with contextlib.suppress(errors.QuetzalmillError):
            decode()

    @hypothesis.given(
        st.sampled_from([*TestRegistry._ENTRY, "other"]), _VALUES, st.binary()
    )
    def test_unreadable_entry_does_not_end_the_gateway(
        self, name: str, value: bytes, noise: bytes
    ) -> None:
        """A gateway reads all entries in its main task group."""
        document = _document(TestRegistry._ENTRY, name, value)
        for data in (document, document[: len(document) // 2], noise, value):
            self._decode(functools.partial(registry.decode, "e1", data))

    @hypothesis.given(
        st.sampled_from([*platform_cluster.desired_state(), "other"]), _VALUES
    )
    def test_desired_state(self, name: str, value: bytes) -> None:
        state = platform_cluster.desired_state()
        document = _document(state, name, value)
        for data in (document, document[: len(document) // 2], value):
            self._decode(functools.partial(desired_state.decode, data))

    @hypothesis.given(st.data(), _VALUES)
    def test_entry_of_desired_state(
        self, data: st.DataObject, value: bytes
    ) -> None:
        state = platform_cluster.desired_state()
        kind = data.draw(st.sampled_from(["routes", "services", "tenants"]))
        entry = data.draw(st.sampled_from(state[kind]))
        name = data.draw(
            st.sampled_from([*entry, "allowedRegions", "sticky", "other"])
        )
        nested = b"[" + _document(entry, name, value) + b"]"
        document = _document(state, kind, nested)
        self._decode(lambda: desired_state.decode(document))

    @pytest.mark.parametrize(
        ("value", "percent"),
        [
            ("3,1,6", None),
            ("3, 1, 6, 250", 250),
            ("3,1,6,112.5", 112),
            ("3,1,6,250,9,x", 250),
            *[(f"3,1,6,{v}", None) for v in ("", "-5", "x", "0", "nan", "1.x")],
            ("3,1,6," + "9" * 5_000, None),
        ],
    )
    def test_load_with_more_numbers(
        self, value: str, percent: int | None
    ) -> None:
        """A load report was dropped for having a fourth number."""
        call = _DIALECT.decode_call(_request(attempt_id="a1"))
        reply = _DIALECT.decode_reply(call, "e1", 200, {"server-load": value})
        assert reply.load == gateway_calls.Load(
            running=3, waiting=1, slots=6, slowness_percent=percent
        )

    @pytest.mark.parametrize(
        "header",
        ["server-load", "server-leaving", "retry-after", "attempt-id"],
    )
    @pytest.mark.parametrize(
        "value", ["9" * 5_000, "0,0," + "9" * 5_000, "1," * 3_000, "\xe9", ""]
    )
    def test_header_of_a_response(self, header: str, value: str) -> None:
        call = _DIALECT.decode_call(_request(attempt_id="a1"))
        _DIALECT.decode_reply(call, "e1", 200, {header: value})

    @pytest.mark.parametrize(
        "header",
        [
            "deadline_ms",
            "token_budget",
            "token_usage",
            "prompt_prefix",
            "cookie",
        ],
    )
    @pytest.mark.parametrize("value", ["9" * 5_000, "a:" + "9" * 5_000, "\xe9"])
    def test_header_of_a_request(self, header: str, value: str) -> None:
        self._decode(lambda: _DIALECT.decode_call(_request(**{header: value})))


class TestSettings:
    """The settings file of the platform."""

    _GOOD = """
node = "front-1"
ip = "10.1.0.11"
zone = "a"
internalPorts = [7780, 7795]
seeds = ["10.2.0.34:8367"]
[listen]
front = "10.1.0.11:8368"
ready = "10.1.0.11:8369"
[limits]
memoryMb = 170
[bounds]
graceS = 8
drainMs = 2000
coldOver = 1.5
coldSlack = 5
[platform]
addr = "10.200.1.7:8362"
parts = 12
"""

    def _load(self, path: pathlib.Path, text: str) -> boot.Boot:
        file = path / "boot.toml"
        file.write_text(text)
        return boot.load(str(file))

    def test_valid_file(self, tmp_path: pathlib.Path) -> None:
        loaded = self._load(tmp_path, self._GOOD)
        assert loaded.gateway.seeds == ("10.2.0.34:7780",)
        assert loaded.gateway.peer_address == "10.1.0.11:7780"
        assert loaded.store_address == "10.200.1.7:8362"
        assert loaded.gateway.drain_ms == 2000.0
        assert (loaded.gateway.cold_over, loaded.gateway.cold_slack) == (1.5, 5)
        assert (loaded.gateway.region, loaded.gateway.zones) == ("", {})
        text = self._GOOD + '[zones]\na = "eu"\n'
        assert self._load(tmp_path, text).gateway.region == "eu"
        text = text.replace("[listen]", 'region = "us"\n[listen]')
        assert self._load(tmp_path, text).gateway.region == "us"

    def test_limit_of_hedges(
        self, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """An unset limit hedges, or a mistyped one is taken for another."""
        for text, limit in (("", 0.0), ("0", 0.0), ("0.2", 0.2)):
            monkeypatch.setenv(boot.HEDGE_LIMIT_VARIABLE, text)
            loaded = self._load(tmp_path, self._GOOD)
            assert loaded.gateway.hedge_limit == limit
        for text in ("0.21", "-0.1", "nan", "5%", "9" * 5_000):
            monkeypatch.setenv(boot.HEDGE_LIMIT_VARIABLE, text)
            with pytest.raises(errors.SettingsError) as caught:
                self._load(tmp_path, self._GOOD)
            (problem,) = caught.value.problems
            assert boot.HEDGE_LIMIT_VARIABLE in problem
            assert len(problem) < 400

    def test_draining_endpoints_are_no_last_resort_by_default(
        self, tmp_path: pathlib.Path
    ) -> None:
        loaded = self._load(tmp_path, self._GOOD.replace("drainMs = 2000", ""))
        assert loaded.gateway.drain_ms == 0.0

    @pytest.mark.parametrize(
        ("good", "bad", "name"),
        [
            ('ip = "10.1.0.11"', "ip = 7", "ip"),
            ("parts = 12", "parts = 0", "platform.parts"),
            ("drainMs = 2000", "drainMs = -1", "bounds.drainMs"),
            ("memoryMb = 170", "memoryMb = true", "limits.memoryMb"),
            ("[7780, 7795]", "[7795, 7780]", "internalPorts"),
            ('"10.1.0.11:8368"', '"front"', "listen.front"),
            ('["10.2.0.34:8367"]', '"all"', "seeds"),
            ("parts = 12", "parts = 0x" + "f" * 5_000, "platform.parts"),
            ("[7780, 7795]", f"[0x{'f' * 5_000}, 1]", "internalPorts"),
            ('zone = "a"', 'zone = "a"\nregion = 5', "region"),
            ("parts = 12", "parts = 12\n[zones]\na = 5", "zones"),
            ('"10.200.1.7:8362"', f'"{"x" * 90_000}"', "platform.addr"),
        ],
    )
    def test_error_names_the_invalid_field(
        self, tmp_path: pathlib.Path, good: str, bad: str, name: str
    ) -> None:
        with pytest.raises(errors.SettingsError) as raised:
            self._load(tmp_path, self._GOOD.replace(good, bad))
        assert len(raised.value.problems) == 1
        assert len(raised.value.problems[0]) < 1_000
        assert f"{name} is " in raised.value.problems[0]
        assert "must be" in raised.value.problems[0]

    def test_exit_code(
        self, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        file = tmp_path / "boot.toml"
        monkeypatch.setenv("QUETZALMILL_BOOT", str(file))
        assert front.main(["check"]) == 2
        file.write_text(self._GOOD)
        assert front.main(["check"]) == 0
