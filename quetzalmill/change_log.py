"""Tables that are replicated to other processes incrementally.

The owner of a ``ChangeLog`` numbers each change. A reader names the version
that it has and gets the rows that changed since, oldest change first, and the
removed keys. A ``Mirror`` is the reader's copy. Both perform no I/O.
"""

import collections
from typing import Generic, TypeVar

import attrs

MAX_TRACKED_REMOVALS = 4_096
"""Remembered removed keys; a reader that lags further starts again."""

_Row = TypeVar("_Row")


@attrs.frozen(kw_only=True)
class Position:
    """A reader's position in another process's table.

    Attributes:
        instance: The process that owned the table; empty at the start.
        version: The last change that the reader has.
    """

    instance: str = ""
    version: int = 0


@attrs.frozen(kw_only=True)
class Changes(Generic[_Row]):
    """The changes that a reader lacks.

    Attributes:
        version: The reader's version once it has applied the changes.
        anew: Whether the reader must discard its rows first.
        rows: The rows that changed, by key.
        removed: The keys that were removed.
    """

    version: int
    anew: bool
    rows: dict[str, _Row]
    removed: list[str]


class ChangeLog(Generic[_Row]):
    """A table with a version for each change."""

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._version = 0
        self._rows: collections.OrderedDict[str, tuple[int, _Row]] = (
            collections.OrderedDict()
        )
        self._removed: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._oldest_version = 0

    def replace(self, rows: dict[str, _Row]) -> None:
        """Replaces the table by ``rows``; equal rows get no new version."""
        for key in [key for key in self._rows if key not in rows]:
            self._remove(key)
        for key, row in rows.items():
            known = self._rows.get(key)
            if known is None or known[1] != row:
                self._put(key, row)

    def since(self, position: Position, limit: int) -> Changes[_Row]:
        """Returns the changes since ``position``, at most ``limit`` rows.

        A reader gets the remaining rows with its next requests, those that
        changed longest ago first.
        """
        version = position.version
        anew = (
            position.instance != self._instance
            or version < self._oldest_version
            or version > self._version
        )
        if anew:
            version = 0
        newer = self._newer_than(version)
        chosen = newer[:limit]
        reached = chosen[-1][1] if len(newer) > limit else self._version
        removed = [
            key
            for key, removed_at in self._removed.items()
            if version < removed_at <= reached
        ]
        return Changes(
            version=reached,
            anew=anew,
            rows={key: row for key, _, row in chosen},
            removed=removed,
        )

    def _newer_than(self, version: int) -> list[tuple[str, int, _Row]]:
        newer: list[tuple[str, int, _Row]] = []
        for key in reversed(self._rows):
            changed_at, row = self._rows[key]
            if changed_at <= version:
                break
            newer.append((key, changed_at, row))
        newer.reverse()
        return newer

    def _put(self, key: str, row: _Row) -> None:
        self._version += 1
        self._removed.pop(key, None)
        self._rows[key] = (self._version, row)
        self._rows.move_to_end(key)

    def _remove(self, key: str) -> None:
        self._version += 1
        del self._rows[key]
        self._removed[key] = self._version
        while len(self._removed) > MAX_TRACKED_REMOVALS:
            _, self._oldest_version = self._removed.popitem(last=False)


class Mirror(Generic[_Row]):
    """A reader's copy of one process's table."""

    def __init__(self) -> None:
        self.position = Position()
        self.rows: dict[str, _Row] = {}

    def take(self, instance: str, changes: Changes[_Row]) -> list[str]:
        """Applies the changes to the copy; returns the removed keys."""
        removed = list(changes.removed)
        if changes.anew:
            removed.extend(key for key in self.rows if key not in changes.rows)
            self.rows = {}
        elif instance == self.position.instance and (
            changes.version < self.position.version
        ):
            return []
        for key in removed:
            self.rows.pop(key, None)
        self.rows.update(changes.rows)
        self.position = Position(instance=instance, version=changes.version)
        return removed
