"""Finds the revision that a change has to name as its base.

With ``--base N`` an operator says which revision of the configuration the
change was made from. An object that has changed since is given the revision
seen as its base, so that the fold finds the conflict for every reader alike.
"""

import functools

from quetzalmill import errors
from quetzalmill import operator_client

HISTORY_RECORDS = 1_000
"""How far back the history is read for deletions."""


class BaseRevisions:
    """The base revisions of one record's changes."""

    def __init__(
        self, client: operator_client.OperatorClient, seen: int | None
    ) -> None:
        """Prepares the search; nothing is read yet.

        Args:
            client: Where the history is read.
            seen: The revision that the operator had seen, if given.
        """
        self._client = client
        self._seen = seen

    def of(self, kind: str, name: str, present: int) -> int:
        """Returns the base revision of one object's change.

        Args:
            kind: The object's kind.
            name: The object's name.
            present: The object's present revision, 0 when it is absent.

        Raises:
            errors.OperatorRefusedError: The object is absent, and the history
                does not reach back far enough to tell since when.
            errors.OperatorError: The history cannot be read.
        """
        if self._seen is None:
            return present
        if present or f"{kind}/{name}" not in self._deleted:
            return min(present, self._seen)
        # No absent object has this revision, so the fold finds a conflict.
        return self._seen

    @functools.cached_property
    def _deleted(self) -> frozenset[str]:
        """The objects that were deleted after the revision seen."""
        seen = self._seen or 0
        records = self._client.history(HISTORY_RECORDS)
        if records and records[0].offset > seen + 1:
            raise errors.OperatorRefusedError(
                f"the history no longer reaches back to revision {seen}, so "
                "objects may have been deleted since; read `config show` again "
                "and name its revision as --base"
            )
        return frozenset(
            f"{change.kind}/{change.name}"
            for record in records
            if record.applied and record.offset > seen
            for change in record.changes
            if change.spec is None
        )
