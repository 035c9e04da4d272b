"""The command line of the emulators."""

import math
from typing import Annotated

import typer

from quetzalmill import clock
from quetzalmill_emulator import app
from quetzalmill_emulator import batch
from quetzalmill_emulator import engine as engine_emulator
from quetzalmill_emulator import hosts as hosts_emulator
from quetzalmill_emulator import log as log_emulator
from quetzalmill_emulator import service as service_emulator

_commands = typer.Typer(add_completion=False, no_args_is_help=True)

Address = Annotated[str, typer.Option(help="IP:PORT; port 0 for a free one.")]
Seed = Annotated[int, typer.Option(help="Seed of what is drawn at random.")]

_ANY_ADDRESS = "127.0.0.1:0"


def run() -> None:
    """Runs the command line."""
    _commands()


@_commands.command()
def log(
    address: Address = _ANY_ADDRESS,
    seed: Seed = 1,
    appends_per_s: float = 300.0,
    append_burst: float = 300.0,
    retain_records: int = 1_000_000,
    retain_ms: float = math.inf,
) -> None:
    """Runs the log service."""
    del seed  # The log service has no randomness.
    settings = log_emulator.LogSettings(
        appends_per_s=appends_per_s,
        append_burst=append_burst,
        retain_records=retain_records,
        retain_ms=retain_ms,
    )
    service_ = log_emulator.LogService(settings, clock.SystemClock())
    app.launch(address, service_.handle)


@_commands.command()
def engine(
    address: Address = _ANY_ADDRESS,
    seed: Seed = 1,
    slots: int = 8,
    memory_tokens: int = 200_000,
    prefill_tokens_per_s: float = 8000.0,
    decode_ms: float = 4.0,
    decode_ms_per_request: float = 0.5,
    load_lag_ms: float = 200.0,
    event_lag_ms: float = 200.0,
    event_loss: float = 0.05,
    transfer_tokens_per_s: float = 100_000.0,
    order_ms: float = 0.0,
    checks_fencing: bool = False,
    chunk_tokens: int = 1,
    crash_marker: str = "",
    crash_after_ms: float = 50.0,
) -> None:
    """Runs a model engine."""
    settings = engine_emulator.EngineSettings(
        batching=batch.BatchSettings(
            slots=slots,
            memory_tokens=memory_tokens,
            prefill_tokens_per_s=prefill_tokens_per_s,
            decode_ms=decode_ms,
            decode_ms_per_request=decode_ms_per_request,
        ),
        load_lag_ms=load_lag_ms,
        event_lag_ms=event_lag_ms,
        event_loss=event_loss,
        transfer_tokens_per_s=transfer_tokens_per_s,
        order_ms=order_ms,
        checks_fencing=checks_fencing,
        chunk_tokens=chunk_tokens,
        crash_marker=crash_marker,
        crash_after_ms=crash_after_ms,
        seed=seed,
    )
    emulator = engine_emulator.Engine(settings, clock.SystemClock())
    app.launch(address, emulator.handle, emulator.run)


@_commands.command()
def service(
    address: Address = _ANY_ADDRESS,
    seed: Seed = 1,
    name: str = "service",
    work_ms: float = 0.0,
) -> None:
    """Runs a plain service."""
    del seed  # The plain service has no randomness.
    emulator = service_emulator.PlainService(name, work_ms)
    app.launch(address, emulator.handle)


@_commands.command()
def hosts(
    address: Address = _ANY_ADDRESS, seed: Seed = 1, lag_ms: float = 0.0
) -> None:
    """Runs the host list."""
    del seed  # The host list has no randomness.
    emulator = hosts_emulator.HostList(lag_ms, clock.SystemClock())
    app.launch(address, emulator.handle)
