"""Waits until every live process has a revision in force."""

from collections.abc import Callable
import time

import attrs

from quetzalmill import clock
from quetzalmill import errors
from quetzalmill import operator_client

_POLL_MS = 200.0


@attrs.frozen(kw_only=True)
class Progress:
    """How far a revision has propagated.

    Attributes:
        revision: The revision.
        reached: How many live processes have it in force.
        lagging: The live processes that do not.
    """

    revision: int
    reached: int
    lagging: list[operator_client.ProcessState]


def wait(
    client: operator_client.OperatorClient,
    time_source: clock.Clock,
    revision: int,
    timeout_ms: float,
    sleep_s: Callable[[float], None] = time.sleep,
) -> Progress:
    """Polls until no live process lags or the timeout expires.

    Raises:
        errors.OperatorUnavailableError: No entry responded before the timeout.
        errors.OperatorTimeoutError: No process was live before the timeout.
        errors.OperatorRefusedError: The entry refused the request.
    """
    deadline_ms = time_source.now_ms() + timeout_ms
    while True:
        last_poll = time_source.now_ms() + _POLL_MS >= deadline_ms
        try:
            progress = _progress(client.processes(), revision)
            if progress.reached and (last_poll or not progress.lagging):
                return progress
        except errors.OperatorUnavailableError:
            if last_poll:
                raise
        if last_poll:
            return _require_live_process(progress, timeout_ms)
        sleep_s(_POLL_MS / 1000.0)


def _progress(
    processes: list[operator_client.ProcessState], revision: int
) -> Progress:
    live = [item for item in processes if item.live]
    lagging = [item for item in live if item.applied_offset < revision]
    return Progress(
        revision=revision,
        reached=len(live) - len(lagging),
        lagging=lagging,
    )


def _require_live_process(progress: Progress, timeout_ms: float) -> Progress:
    """Returns the progress, or raises when no live process is known."""
    if progress.lagging:
        return progress
    raise errors.OperatorTimeoutError(
        f"no live process was known within {timeout_ms / 1000:g} s; check "
        "the entries with `quetzalmill state`"
    )
