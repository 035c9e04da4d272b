"""Findings of checks of a configuration, and their text and JSON forms.

A finding names the entry that it is about and says what to do. Its code is
stable, so that scripts can rely on it. No finding quotes a secret.
"""

from collections.abc import Iterable, Mapping
import enum
from typing import Any

import attrs

from quetzalmill import commands_exit

MAX_TEXT = 300
"""The longest text of a finding, in characters; names and values come from the
checked file and may be long."""


class Severity(enum.Enum):
    """How much a finding matters.

    An ERROR is refused or ignored by the processes, a WARNING has not the
    effect that it seems to have, a DIFFERENCE is a change from the version in
    force.
    """

    ERROR = "error"
    WARNING = "warning"
    DIFFERENCE = "difference"


@attrs.frozen
class Finding:
    """One finding.

    Attributes:
        severity: How much it matters.
        code: What was found, as a stable word.
        entry: The entry that it is about, such as ``route/tides``.
        message: What was found, and what to do.
    """

    severity: Severity
    code: str
    entry: str
    message: str

    def text(self) -> str:
        """Returns the finding as one line of bounded length."""
        line = f"{self.severity.value} {self.code}: {self.entry}: "
        return (line + self.message).replace("\n", " ")[:MAX_TEXT]


@attrs.frozen(kw_only=True)
class Report:
    """All findings, as JSON.

    Attributes:
        outcome: ``ok``, ``warnings`` or ``errors``.
        findings: The findings, errors first.
    """

    outcome: str
    findings: list[dict[str, str]]


def error(code: str, entry: str, message: str) -> Finding:
    """Returns an error."""
    return Finding(Severity.ERROR, code, entry, message)


def warning(code: str, entry: str, message: str) -> Finding:
    """Returns a warning."""
    return Finding(Severity.WARNING, code, entry, message)


def ordered(found: Iterable[Finding]) -> list[Finding]:
    """Returns findings by severity, otherwise in their order."""
    order = list(Severity)
    return sorted(found, key=lambda each: order.index(each.severity))


def exit_code(found: Iterable[Finding]) -> commands_exit.ExitCode:
    """Returns the exit code: 2 with errors, 1 with warnings, else 0."""
    severities = {each.severity for each in found}
    if Severity.ERROR in severities:
        return commands_exit.ExitCode.USAGE
    if Severity.WARNING in severities:
        return commands_exit.ExitCode.REJECTED
    return commands_exit.ExitCode.OK


def report(found: list[Finding]) -> Report:
    """Returns the JSON form of findings."""
    outcomes = {
        commands_exit.ExitCode.OK: "ok",
        commands_exit.ExitCode.REJECTED: "warnings",
    }
    return Report(
        outcome=outcomes.get(exit_code(found), "errors"),
        findings=[
            {
                "severity": each.severity.value,
                "code": each.code,
                "entry": each.entry[:MAX_TEXT],
                "message": each.message[:MAX_TEXT],
            }
            for each in found
        ],
    )


def differences(
    old: Mapping[str, Mapping[str, Any]],
    new: Mapping[str, Mapping[str, Any]],
    *,
    is_complete: bool,
) -> list[Finding]:
    """Returns the differences of entries, by the names of changed fields.

    Values are not shown, as they may be secrets.

    Args:
        old: The fields of each entry in force.
        new: The fields of each entry of the new version.
        is_complete: Whether entries that are not in the new version are
            removed.
    """
    found = []
    for entry, fields in new.items():
        if entry not in old:
            found.append(_difference("added", entry, "is not in force yet"))
            continue
        before = old[entry]
        changed = sorted(
            name
            for name in {*before, *fields}
            if before.get(name) != fields.get(name)
        )
        if changed:
            found.append(
                _difference("changed", entry, f"changes {', '.join(changed)}")
            )
    if is_complete:
        found += [
            _difference("removed", entry, "is in force and would be removed")
            for entry in old
            if entry not in new
        ]
    return found


def _difference(code: str, entry: str, message: str) -> Finding:
    return Finding(Severity.DIFFERENCE, code, entry, message)
