"""Handles the signals of a process until it has shut down.

Signals come in series and overlap: a reload may be requested while the process
starts or shuts down, and a second request to stop does not shorten the first.
"""

from collections.abc import Callable
import signal

import trio

from quetzalmill import early_signals
from quetzalmill import logs

_log = logs.get("process_signals")


async def handle(
    on_stop: Callable[[], None],
    on_reload: Callable[[], None],
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Handles signals until cancelled, earlier recorded ones first.

    Args:
        on_stop: Called for the first SIGTERM or SIGINT; later ones are logged.
        on_reload: Called for each SIGHUP, also during the shutdown.
        task_status: Reports that signals are handled.
    """
    is_stopping = False
    with trio.open_signal_receiver(*early_signals.HANDLED) as signals:
        task_status.started()
        for number in early_signals.take():
            is_stopping = _handle(number, on_stop, on_reload, is_stopping)
        async for number in signals:
            is_stopping = _handle(number, on_stop, on_reload, is_stopping)


def _handle(
    number: int,
    on_stop: Callable[[], None],
    on_reload: Callable[[], None],
    is_stopping: bool,
) -> bool:
    """Handles one signal; returns whether a stop has been requested."""
    if number == signal.SIGHUP:
        on_reload()
        return is_stopping
    if is_stopping:
        _log.info("already_stopping", signal=signal.Signals(number).name)
    else:
        on_stop()
    return True
