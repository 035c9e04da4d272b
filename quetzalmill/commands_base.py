"""Determines the base revision of each change.

With ``--base N`` an operator states which revision of the configuration the
change was made from. An object that has changed since is published with N as
its base, so that every reader that applies the record finds the conflict.
"""

import functools

from quetzalmill import errors
from quetzalmill import operator_client

HISTORY_RECORDS = 1_000
"""How many of the last records are searched for deletions."""


class BaseRevisions:
    """The base revisions of one record's changes."""

    def __init__(
        self, client: operator_client.OperatorClient, operator_base: int | None
    ) -> None:
        """Creates the search without reading anything.

        Args:
            client: Reads the history.
            operator_base: The revision that the operator gave, if any.
        """
        self._client = client
        self._operator_base = operator_base

    def of(self, kind: str, name: str, current: int) -> int:
        """Returns the base revision of one object's change.

        Args:
            kind: The object's kind.
            name: The object's name.
            current: The object's current revision, 0 when it is absent.

        Raises:
            errors.OperatorRefusedError: The object is absent, and the history
                does not reach back far enough to tell whether it was deleted
                after the given revision.
            errors.OperatorError: The history cannot be read.
        """
        if self._operator_base is None:
            return current
        if current or f"{kind}/{name}" not in self._deleted_since:
            return min(current, self._operator_base)
        # An absent object has revision 0, so another base is a conflict.
        return self._operator_base

    @functools.cached_property
    def _deleted_since(self) -> frozenset[str]:
        """The objects deleted after the given revision."""
        operator_base = self._operator_base or 0
        records = self._client.history(HISTORY_RECORDS)
        if records and records[0].offset > operator_base + 1:
            raise errors.OperatorRefusedError(
                "the history no longer reaches back to revision "
                f"{operator_base}, so objects may have been deleted since; "
                "read `config show` again and name its revision as --base"
            )
        return frozenset(
            f"{change.kind}/{change.name}"
            for record in records
            if record.applied and record.offset > operator_base
            for change in record.changes
            if change.spec is None
        )
