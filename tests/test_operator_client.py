"""Tests of the operators' client against a fake operators' interface."""

from collections.abc import Iterator
import contextlib
import socket
import threading

import pytest

from quetzalmill import clock
from quetzalmill import errors
from quetzalmill import objects
from quetzalmill import operator_client
from quetzalmill import revision_wait
from quetzalmill import settings_rules
from tests import fake_operator

TIMEOUT_MS = 5_000.0
TEAM = {"rate_per_s": 5.0, "burst": 10.0}


@pytest.fixture(name="fake")
def fixture_fake() -> Iterator[fake_operator.FakeOperator]:
    with fake_operator.serving() as fake:
        yield fake


@pytest.fixture(name="refusing")
def fixture_refusing() -> Iterator[str]:
    """An address that refuses connections for as long as the test runs."""
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        yield f"127.0.0.1:{bound.getsockname()[1]}"


class SleepClock:
    """A clock that advances only while its client sleeps."""

    def __init__(self) -> None:
        self.clock = clock.ManualClock()
        self.count = 0

    def sleep_s(self, seconds: float) -> None:
        self.count += 1
        self.clock.advance(seconds * 1000.0)


def client_of(
    *addresses: str, sleep_clock: SleepClock | None = None
) -> operator_client.OperatorClient:
    sleep_clock = sleep_clock or SleepClock()
    parsed = [settings_rules.parse_address(text) for text in addresses]
    return operator_client.OperatorClient(
        [address for address in parsed if address],
        sleep_clock.clock,
        sleep_clock.sleep_s,
    )


def record(base_revision: int = 0) -> objects.ConfigRecord:
    change = objects.ObjectChange(
        kind=objects.TEAM, name="field", base_revision=base_revision, spec=TEAM
    )
    return objects.ConfigRecord(record_id="r1", author="ana", changes=[change])


class TestPublish:
    """Outcomes of publications under faults."""

    def test_accepted(self, fake: fake_operator.FakeOperator) -> None:
        outcome = client_of(fake.address).publish(record(), TIMEOUT_MS)
        assert outcome == operator_client.Accepted(1)

    def test_conflict(self, fake: fake_operator.FakeOperator) -> None:
        fake.put(objects.TEAM, "field", TEAM)
        outcome = client_of(fake.address).publish(record(), TIMEOUT_MS)
        assert outcome == operator_client.Conflict(1, "team/field")

    def test_other_client_error_status_is_a_rejection(
        self, fake: fake_operator.FakeOperator
    ) -> None:
        fake.faults = [fake_operator.Fault.REFUSED]
        outcome = client_of(fake.address).publish(record(), TIMEOUT_MS)
        assert outcome == operator_client.Rejected(["status 413: too large"])

    @pytest.mark.parametrize(
        "fault",
        [
            fake_operator.Fault.LOST_REPLY,
            fake_operator.Fault.LOST_REQUEST,
            fake_operator.Fault.UNKNOWN,
            fake_operator.Fault.GARBAGE,
        ],
    )
    def test_lost_outcome_is_retried_under_the_same_id(
        self, fake: fake_operator.FakeOperator, fault: fake_operator.Fault
    ) -> None:
        fake.faults = [fault, fake_operator.Fault.UNAVAILABLE]
        outcome = client_of(fake.address).publish(record(), TIMEOUT_MS)
        assert outcome == operator_client.Accepted(1)
        ids = [received["record_id"] for received in fake.received]
        assert ids == ["r1", "r1", "r1"]

    def test_lost_response_of_a_conflict_is_a_conflict(
        self, fake: fake_operator.FakeOperator
    ) -> None:
        fake.put(objects.TEAM, "field", TEAM)
        fake.faults = [fake_operator.Fault.LOST_REPLY]
        outcome = client_of(fake.address).publish(record(), TIMEOUT_MS)
        assert outcome == operator_client.Conflict(1, "team/field")

    def test_unavailable_is_returned_without_retry(
        self, fake: fake_operator.FakeOperator
    ) -> None:
        fake.faults = [fake_operator.Fault.UNAVAILABLE]
        sleep_clock = SleepClock()
        client = client_of(fake.address, sleep_clock=sleep_clock)
        outcome = client.publish(record(), TIMEOUT_MS)
        assert isinstance(outcome, operator_client.Unavailable)
        assert "log is down" in outcome.message
        assert outcome.retry_after_ms == 1500
        assert sleep_clock.count == 0

    def test_outcome_is_unknown_after_the_timeout(
        self, fake: fake_operator.FakeOperator
    ) -> None:
        fake.faults = [fake_operator.Fault.LOST_REPLY]
        fake.faults += [fake_operator.Fault.UNAVAILABLE] * 100
        outcome = client_of(fake.address).publish(record(), TIMEOUT_MS)
        assert outcome == operator_client.Unknown("r1")

    def test_unavailable_is_unknown_for_a_record_sent_before(
        self, refusing: str
    ) -> None:
        outcome = client_of(refusing).publish(
            record(), TIMEOUT_MS, sent_before=True
        )
        assert outcome == operator_client.Unknown("r1")

    def test_next_entry_is_tried(
        self, fake: fake_operator.FakeOperator, refusing: str
    ) -> None:
        client = client_of(refusing, fake.address)
        outcome = client.publish(record(), TIMEOUT_MS)
        assert outcome == operator_client.Accepted(1)

    def test_no_entry_means_not_appended(self, refusing: str) -> None:
        outcome = client_of(refusing).publish(record(), TIMEOUT_MS)
        assert isinstance(outcome, operator_client.Unavailable)
        assert refusing in outcome.message


class TestTrickledReply:
    """An entry whose reply arrives byte by byte and does not end."""

    @pytest.mark.parametrize(
        "head", [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n"]
    )
    def test_publication_ends_after_its_timeout(self, head: bytes) -> None:
        """Only the pauses within a reply were limited."""
        outcomes: list[operator_client.Outcome] = []

        def publish(address: str) -> None:
            outcomes.append(client_of(address).publish(record(), 300.0))

        with _trickling(head) as address:
            thread = threading.Thread(target=publish, args=(address,))
            thread.start()
            thread.join(TIMEOUT_MS / 1000.0)
            is_waiting = thread.is_alive()
        thread.join()
        assert not is_waiting
        assert outcomes == [operator_client.Unknown("r1")]


@contextlib.contextmanager
def _trickling(head: bytes) -> Iterator[str]:
    """Serves replies without an end until the block ends."""
    ended = threading.Event()

    def serve(listener: socket.socket) -> None:
        while not ended.is_set():
            with contextlib.suppress(OSError):
                connection, _ = listener.accept()
                with connection:
                    connection.sendall(head)
                    while not ended.wait(0.05):
                        connection.sendall(b"H")

    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.settimeout(0.2)
        thread = threading.Thread(target=serve, args=(listener,))
        thread.start()
        yield f"127.0.0.1:{listener.getsockname()[1]}"
        ended.set()
        thread.join()


class TestReading:
    """Reads and their errors."""

    def test_objects(self, fake: fake_operator.FakeOperator) -> None:
        fake.put(objects.TEAM, "field", TEAM)
        listed = client_of(fake.address).list_objects(objects.TEAM)
        assert listed.revision_of("field") == 1
        assert listed.revision_of("other") == 0

    def test_history(self, fake: fake_operator.FakeOperator) -> None:
        client = client_of(fake.address)
        client.publish(record(), TIMEOUT_MS)
        (found,) = client.history(10)
        assert (found.offset, found.author, found.applied) == (1, "ana", True)

    def test_next_entry_is_read(
        self, fake: fake_operator.FakeOperator, refusing: str
    ) -> None:
        state = client_of(refusing, fake.address).state()
        assert state["role"] == "entry"

    def test_error_names_every_address(self, refusing: str) -> None:
        with pytest.raises(errors.OperatorUnavailableError, match=refusing):
            client_of(refusing).processes()


def process(host: str, applied_offset: int, live: bool) -> dict[str, object]:
    return {
        "host": host,
        "role": "entry",
        "instance": "0a1b",
        "applied_offset": applied_offset,
        "heard_ms_ago": None,
        "leaving": False,
        "live": live,
    }


class TestWait:
    """Waiting for a revision."""

    def wait(self, address: str) -> revision_wait.Progress:
        sleep_clock = SleepClock()
        client = client_of(address, sleep_clock=sleep_clock)
        return revision_wait.wait(
            client, sleep_clock.clock, 5, TIMEOUT_MS, sleep_clock.sleep_s
        )

    def test_only_live_processes_count(
        self, fake: fake_operator.FakeOperator
    ) -> None:
        fake.processes = [process("a", 5, True), process("b", 1, False)]
        assert self.wait(fake.address).reached == 1

    @pytest.mark.parametrize("others", [[], [process("b", 9, True)]])
    def test_lagging_processes_are_named(
        self,
        fake: fake_operator.FakeOperator,
        others: list[dict[str, object]],
    ) -> None:
        fake.processes = [process("a", 4, True), *others]
        progress = self.wait(fake.address)
        assert [item.host for item in progress.lagging] == ["a"]

    def test_no_live_process_is_no_success(
        self, fake: fake_operator.FakeOperator
    ) -> None:
        with pytest.raises(errors.OperatorTimeoutError, match="no live"):
            self.wait(fake.address)

    def test_no_entry_is_unavailable(self, refusing: str) -> None:
        with pytest.raises(errors.OperatorUnavailableError):
            self.wait(refusing)
