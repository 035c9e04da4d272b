"""Tests of tables that are replicated incrementally."""

import random

from quetzalmill import change_log


class TestChangeLog:
    """The changes that a reader gets."""

    def test_unchanged_table_sends_nothing(self) -> None:
        log, mirror = _with_rows({"a": 1, "b": 2})
        changes = log.since(mirror.position, 10)
        assert (changes.rows, changes.removed) == ({}, [])

    def test_only_changed_rows_are_sent(self) -> None:
        log, mirror = _with_rows({"a": 1, "b": 2})
        log.replace({"a": 1, "b": 3})
        assert log.since(mirror.position, 10).rows == {"b": 3}

    def test_new_instance_resets_the_reader(self) -> None:
        _, mirror = _with_rows({"a": 1, "b": 2})
        successor = change_log.ChangeLog[int]("two")
        successor.replace({"b": 2})
        removed = mirror.take("two", successor.since(mirror.position, 10))
        assert (mirror.rows, removed) == ({"b": 2}, ["a"])

    def test_limit_sends_the_oldest_changes_first(self) -> None:
        log, mirror = _with_rows({})
        log.replace({str(key): 0 for key in range(10)})
        seen = []
        for _ in range(4):
            changes = log.since(mirror.position, 3)
            seen.append(sorted(changes.rows))
            mirror.take("one", changes)
        assert seen == [
            ["0", "1", "2"],
            ["3", "4", "5"],
            ["6", "7", "8"],
            ["9"],
        ]


class TestMirror:
    """A reader's copy after random changes and lost replies."""

    def test_copy_converges(self) -> None:
        for seed in range(50):
            rng = random.Random(seed)
            log, mirror = _with_rows({})
            rows: dict[str, int] = {}
            for _ in range(200):
                key = str(rng.randrange(20))
                if rng.random() < 0.3:
                    rows.pop(key, None)
                else:
                    rows[key] = rng.randrange(5)
                log.replace(rows)
                changes = log.since(mirror.position, rng.randrange(1, 5))
                if rng.random() < 0.7:
                    mirror.take("one", changes)
            for _ in range(30):
                mirror.take("one", log.since(mirror.position, 3))
            assert mirror.rows == rows, seed

    def test_untracked_removals_reset_the_reader(self) -> None:
        log, mirror = _with_rows({"old": 1})
        many = change_log.MAX_TRACKED_REMOVALS + 10
        for number in range(many):
            log.replace({"old": 1, str(number): 1})
        log.replace({"new": 1})
        for number in range(many):
            log.replace({"new": 1, str(number): 1})
        log.replace({"new": 1})
        mirror.take("one", log.since(mirror.position, 100))
        assert mirror.rows == {"new": 1}


def _with_rows(
    rows: dict[str, int],
) -> tuple[change_log.ChangeLog[int], change_log.Mirror[int]]:
    log = change_log.ChangeLog[int]("one")
    log.replace(rows)
    mirror = change_log.Mirror[int]()
    mirror.take("one", log.since(mirror.position, 100))
    return log, mirror
