"""Registers gateways in the platform's store, so that they find each other.

Seeds may name machines that no longer exist, so each gateway also writes its
address to a topic of the store and reads the others' addresses periodically.

Where some service limits the rate of cold endpoints, the topic also tells who
may be sending to them (``member_table``). It is then read more often, records
are marked rather than deleted, and a gateway that finds its own record marked
registers again.
"""

from collections.abc import Callable
import ipaddress

import attrs
import trio

from quetzalmill import clock as clock_module
from quetzalmill import codec
from quetzalmill import errors
from quetzalmill import http_message
from quetzalmill import instances
from quetzalmill import keyed_store
from quetzalmill import logs
from quetzalmill import member_silence
from quetzalmill import member_table

TOPIC = "members"
"""The topic that holds a record for each gateway, by its address."""

READ_INTERVAL_MS = 5_000.0
"""Interval between reads of the topic. Heartbeats spread addresses too, so this
only has to connect groups of gateways that do not know each other."""

SHARE_READ_INTERVAL_MS = 500.0
"""Interval between reads where shares of cold endpoints depend on them; a
reading is valid for four intervals."""

TIMEOUT_MS = 600.0
"""Timeout of a call to the store."""

_RETRY_MS = 500.0

_MAX_ID_CHARS = 64
"""The longest id of a registration or a mark that is told from others."""

_MAX_LOGGED_KEYS = 64
"""The most keys that are no addresses and are logged, once each."""

_log = logs.get("members")


@attrs.frozen(kw_only=True)
class _Value:
    """The value of a record.

    Attributes:
        host: The host of the gateway that wrote the record.
        registration: The id of the registration; empty in a mark.
        mark: The id of the mark; empty in a registration.
    """

    host: str
    registration: str = ""
    mark: str = ""


class Members:
    """Registers one gateway and reads the addresses of the others.

    Args:
        store: The platform's store.
        host: The gateway's host.
        address: The gateway's address for its peers.
        add_address: Called with the address of each gateway that is found.
        table: Receives the readings.
        clock: A clock that counts suspension.
        has_limits: Returns whether some service limits the rate of cold
            endpoints.
        heard: Returns the addresses of the gateways heard from recently.
    """

    def __init__(
        self,
        store: keyed_store.KeyedStore,
        host: str,
        address: str,
        add_address: Callable[[str], None],
        table: member_table.MemberTable,
        clock: clock_module.Clock,
        has_limits: Callable[[], bool],
        heard: Callable[[], set[str]],
    ) -> None:
        self._store = store
        self._host = host
        self._address = address
        self._add_address = add_address
        self._table = table
        self._clock = clock
        self._has_limits = has_limits
        self._heard = heard
        self._silence = member_silence.MemberSilence(address)
        self._registrations = 0
        self._registered_ms = float("-inf")
        self._logged_keys: set[str] = set()

    async def run(self) -> None:
        """Registers the gateway, then reads periodically, forever."""
        while True:
            try:
                if self._must_register():
                    await self._register()
                await self._read()
            except errors.ExternalSystemError as error:
                _log.info("members_not_read", reason=str(error))
                await trio.sleep(_RETRY_MS / 1000.0)
                continue
            await self._pause()

    async def leave(self) -> None:
        """Withdraws the gateway's record, if the store can be reached.

        Where shares depend on it the record is marked. A deletion that the
        store applies late could remove the record of the next process at this
        address, unnoticed by gateways that do not read in between.
        """
        self._table.record_leave()
        try:
            if self._has_limits():
                await self._mark(self._address)
            else:
                await self._write(self._address, None)
        except errors.ExternalSystemError as error:
            _log.info("member_not_removed", reason=str(error))

    def _must_register(self) -> bool:
        if not self._registrations:
            return True
        if not self._has_limits() or not self._table.needs_registration():
            return False
        # Another process with this address would otherwise cause a write at
        # each reading.
        since_ms = self._clock.now_ms() - self._registered_ms
        return since_ms > READ_INTERVAL_MS

    async def _register(self) -> None:
        registration = instances.new_instance_id()
        value = _Value(host=self._host, registration=registration)
        await self._write(self._address, codec.to_json(value))
        self._registered_ms = self._clock.now_ms()
        self._table.record_registration(registration, self._registered_ms)
        self._registrations += 1
        if self._registrations > 1:
            _log.info("member_registered_again", count=self._registrations)

    async def _read(self) -> None:
        began_ms = self._clock.now_ms()
        found = await self._store.newest(TOPIC, 0, timeout_ms=TIMEOUT_MS)
        members = {}
        for record in found.records:
            member = _decode(record.value)
            if isinstance(member, member_table.Registered):
                self._add_address(record.key)
            if self._is_member(record.key):
                members[record.key] = member
        self._table.apply_read(members, began_ms, self._clock.now_ms())
        if self._has_limits():
            await self._mark_silent()

    async def _mark_silent(self) -> None:
        """Marks the members that this gateway has not heard for long."""
        now_ms = self._clock.now_ms()
        silent = self._silence.update(
            self._table.present(), self._heard(), now_ms
        )
        for address in silent:
            await self._mark(address)
            _log.warning("member_marked", address=address)

    async def _pause(self) -> None:
        """Waits until the next reading is due, by trio's clock.

        A limit that is new in the route table shortens the wait.
        """
        with trio.move_on_after(READ_INTERVAL_MS / 1000.0):
            while True:
                await trio.sleep(SHARE_READ_INTERVAL_MS / 1000.0)
                if self._has_limits():
                    return

    def _is_member(self, key: str) -> bool:
        """Returns whether a key is an address; logs others once.

        Other writers may use the topic. A key that is not the address of a
        host is no gateway's and must not shrink the shares.
        """
        try:
            host, port = http_message.split_address(key)
            if port and "%" not in host:
                ipaddress.ip_address(host)
                return True
        except ValueError:
            pass
        shown = key[:_MAX_ID_CHARS]
        if (
            shown not in self._logged_keys
            and len(self._logged_keys) < _MAX_LOGGED_KEYS
        ):
            self._logged_keys.add(shown)
            _log.warning("member_unreadable", key=shown)
        return False

    async def _mark(self, address: str) -> None:
        value = _Value(host=self._host, mark=instances.new_instance_id())
        await self._write(address, codec.to_json(value))

    async def _write(self, address: str, value: bytes | None) -> None:
        record = keyed_store.KeyedRecord(address, value)
        await self._store.append(TOPIC, 0, [record], timeout_ms=TIMEOUT_MS)


def _decode(value: bytes | None) -> member_table.Member:
    """Returns what a record says; any unreadable one is a registration.

    Older versions write their host only, and counting one gateway too many is
    safe.
    """
    try:
        decoded = codec.from_json(value or b"", _Value)
    except errors.CodecError:
        return member_table.Registered("")
    if decoded.mark:
        return member_table.Marked(decoded.mark[:_MAX_ID_CHARS])
    return member_table.Registered(decoded.registration[:_MAX_ID_CHARS])
