"""Identity and announcement of entries and sidecars."""

from collections.abc import Awaitable, Callable

import attrs
import trio
import trio_asyncio

from quetzalmill import announcement
from quetzalmill import config_store
from quetzalmill import configuration
from quetzalmill import errors
from quetzalmill import log_port
from quetzalmill import logs
from quetzalmill import objects

ANNOUNCE_RETRY_MS = 2_000.0
"""Time after which an announcement without effect is appended again."""

_ANNOUNCE_POLL_MS = 200.0
_POLLS_PER_TRY = int(ANNOUNCE_RETRY_MS / _ANNOUNCE_POLL_MS)

_log = logs.get("daemon")


@attrs.define(kw_only=True)
class Identity:
    """The identity of this process, as others see it.

    Attributes:
        host: The host's name.
        spec: Its announced spec; ``leaving`` is set when it shuts down.
    """

    host: str
    spec: objects.ProcessSpec

    def mark_leaving(self) -> None:
        """Marks the process as shutting down."""
        self.spec = attrs.evolve(self.spec, leaving=True)


async def announce(
    identity: Identity,
    store: config_store.ConfigStore,
    port: log_port.LogPort,
    replaced: trio.Event,
) -> None:
    """Keeps this process announced; sets ``replaced`` when it is replaced."""
    record = announcement.new_record(
        identity.host,
        [announcement.process_change(identity.host, identity.spec)],
    )
    tries = 0
    while not _is_replaced(identity, store.config, record):
        published = store.config.process(identity.host)
        known = published and published.instance == identity.spec.instance
        if not known and tries % _POLLS_PER_TRY == 0:
            await _try_append(port, record)
        tries = 0 if known else tries + 1
        await trio.sleep(_ANNOUNCE_POLL_MS / 1000.0)
    _log.error("process_replaced", host=identity.host)
    replaced.set()


def _is_replaced(
    identity: Identity,
    config: configuration.Configuration,
    record: objects.ConfigRecord,
) -> bool:
    """Returns whether a newer process of the host has replaced this one.

    The outcome of this process's announcement shows that, even if it was
    paused and never saw the configuration in which it was the newest.
    """
    outcome = config.outcome_of(record.record_id)
    if outcome is None or outcome.verdict is not (
        configuration.Verdict.ACCEPTED
    ):
        return False
    published = config.process(identity.host)
    return published is None or published.instance != identity.spec.instance


async def announce_leaving(
    identity: Identity, port: log_port.LogPort, timeout_ms: float
) -> None:
    """Announces in the log that this process accepts no new work."""
    record = announcement.new_record(
        identity.host,
        [announcement.process_change(identity.host, identity.spec)],
    )
    with trio.move_on_after(timeout_ms / 1000.0):
        await _try_append(port, record)


def run(main: Callable[[], Awaitable[int]]) -> int:
    """Runs a daemon's main function on one event loop; returns its result."""

    async def with_control_loop() -> int:
        async with trio_asyncio.open_loop():
            return await main()

    return trio.run(with_control_loop)


async def _try_append(
    port: log_port.LogPort, record: objects.ConfigRecord
) -> None:
    try:
        await announcement.append_record(port, record)
    except errors.ExternalSystemError as error:
        _log.warning("announcement_delayed", reason=str(error))
