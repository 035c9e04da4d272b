"""Tests of the tables of which only changes are sent."""

import random

from quetzalmill import change_log


class TestChangeLog:
    """What a reader is sent."""

    def test_quiet_table_sends_nothing(self) -> None:
        log, mirror = _with_rows({"a": 1, "b": 2})
        changes = log.since(mirror.position, 10)
        assert (changes.rows, changes.removed) == ({}, [])

    def test_only_changed_rows_are_sent(self) -> None:
        log, mirror = _with_rows({"a": 1, "b": 2})
        log.replace({"a": 1, "b": 3})
        assert log.since(mirror.position, 10).rows == {"b": 3}

    def test_another_instance_starts_anew(self) -> None:
        _, mirror = _with_rows({"a": 1, "b": 2})
        successor = change_log.ChangeLog[int]("two")
        successor.replace({"b": 2})
        gone = mirror.take("two", successor.since(mirror.position, 10))
        assert (mirror.rows, gone) == ({"b": 2}, ["a"])

    def test_limit_serves_the_longest_unsent_first(self) -> None:
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
    """A reader's copy after any changes, with answers lost."""

    def test_copy_is_equal_in_the_end(self) -> None:
        for seed in range(50):
            draws = random.Random(seed)
            log, mirror = _with_rows({})
            rows: dict[str, int] = {}
            for _ in range(200):
                key = str(draws.randrange(20))
                if draws.random() < 0.3:
                    rows.pop(key, None)
                else:
                    rows[key] = draws.randrange(5)
                log.replace(rows)
                changes = log.since(mirror.position, draws.randrange(1, 5))
                if draws.random() < 0.7:
                    mirror.take("one", changes)
            for _ in range(30):
                mirror.take("one", log.since(mirror.position, 3))
            assert mirror.rows == rows, seed

    def test_removals_forgotten_by_the_owner_are_noticed(self) -> None:
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
