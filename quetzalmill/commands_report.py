"""Output and exit codes of the operators' commands.

Results go to standard output, errors to standard error.
"""

from collections.abc import Sequence
import sys
from typing import Any

import attrs
import typer

from quetzalmill import codec
from quetzalmill import commands_exit
from quetzalmill import errors
from quetzalmill import operator_client


@attrs.frozen(kw_only=True)
class _OutcomeReport:
    outcome: str
    record_id: str
    revision: int | None = None
    object: str | None = None
    problems: list[str] | None = None
    message: str | None = None
    hints: list[str] | None = None


def print_json(value: Any) -> None:
    """Prints one JSON value on one line."""
    typer.echo(codec.to_json(value).decode())


def print_table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> None:
    """Prints rows in columns as wide as their longest cell."""
    lines = [header, *rows]
    widths = [
        max(len(cell) for cell in column) for column in zip(*lines, strict=True)
    ]
    for line in lines:
        cells = (
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        )
        typer.echo("  ".join(cells).rstrip())


def print_outcome(
    outcome: operator_client.Outcome, record_id: str, as_json: bool
) -> None:
    """Prints the outcome of a publication.

    Raises:
        typer.Exit: The publication was not accepted.
    """
    if as_json:
        print_json(_outcome_report(outcome, record_id))
    else:
        accepted = isinstance(outcome, operator_client.Accepted)
        typer.echo(_outcome_text(outcome), err=not accepted)
    if isinstance(outcome, operator_client.Accepted) and not as_json:
        for hint in outcome.hints:
            typer.echo(f"note: {hint}", err=True)
    code = _exit_code_of(outcome)
    if code != commands_exit.ExitCode.OK:
        raise typer.Exit(code)


def exit_with_error(error: errors.QuetzalmillError) -> None:
    """Prints an error and exits with its exit code."""
    match error:
        case errors.SettingsError(problems=problems):
            lines = problems
            code = commands_exit.ExitCode.USAGE
        case errors.OperatorRefusedError():
            lines = [f"rejected because {error}"]
            code = commands_exit.ExitCode.REJECTED
        case errors.OperatorTimeoutError():
            lines = [f"timeout: {error}"]
            code = commands_exit.ExitCode.TIMEOUT
        case _:
            lines = [f"unavailable: {error}"]
            code = commands_exit.ExitCode.UNAVAILABLE
    for line in lines:
        typer.echo(line, err=True)
    sys.exit(code)


def _outcome_text(outcome: operator_client.Outcome) -> str:
    match outcome:
        case operator_client.Accepted(revision):
            return f"accepted at revision {revision}"
        case operator_client.Rejected(problems):
            return "rejected because " + "; ".join(problems)
        case operator_client.Conflict(revision, name):
            deleted_suffix = "" if revision else ", which no longer exists"
            return (
                f"conflict with revision {revision} of "
                f"{name}{deleted_suffix}; read it again and repeat the change"
            )
        case operator_client.Unavailable(message, retry_after_ms):
            when = f"in {retry_after_ms / 1000:g} s" if retry_after_ms else ""
            return (
                f"unavailable, nothing was changed: {message}; try again {when}"
            ).rstrip()
        case operator_client.Unknown(record_id):
            return (
                "outcome unknown: the reply was lost and the log cannot be "
                f"read; repeat the command with --record-id {record_id}"
            )


def _outcome_report(
    outcome: operator_client.Outcome, record_id: str
) -> _OutcomeReport:
    match outcome:
        case operator_client.Accepted(revision, hints):
            return _OutcomeReport(
                outcome="accepted",
                record_id=record_id,
                revision=revision,
                hints=hints or None,
            )
        case operator_client.Rejected(problems):
            return _OutcomeReport(
                outcome="rejected", record_id=record_id, problems=problems
            )
        case operator_client.Conflict(revision, name):
            return _OutcomeReport(
                outcome="conflict",
                record_id=record_id,
                revision=revision,
                object=name,
            )
        case operator_client.Unavailable(message):
            return _OutcomeReport(
                outcome="unavailable", record_id=record_id, message=message
            )
        case operator_client.Unknown():
            return _OutcomeReport(outcome="unknown", record_id=record_id)


def _exit_code_of(outcome: operator_client.Outcome) -> commands_exit.ExitCode:
    match outcome:
        case operator_client.Accepted():
            return commands_exit.ExitCode.OK
        case operator_client.Rejected():
            return commands_exit.ExitCode.REJECTED
        case operator_client.Conflict():
            return commands_exit.ExitCode.CONFLICT
        case operator_client.Unavailable():
            return commands_exit.ExitCode.UNAVAILABLE
        case operator_client.Unknown():
            return commands_exit.ExitCode.UNKNOWN
