"""Tests of callers' keys."""

import pytest

from quetzalmill import keys


class TestIssue:
    """New keys."""

    def test_key_contains_its_id_and_matches_its_hash(self) -> None:
        issued = keys.issue()
        assert keys.key_id_of(issued.key) == issued.key_id
        assert keys.matches(issued.key, issued.secret_sha256)

    def test_keys_differ(self) -> None:
        issued = {keys.issue().key for _ in range(50)}
        assert len(issued) == 50

    def test_repr_omits_the_key(self) -> None:
        issued = keys.issue()
        assert issued.key not in repr(issued)


class TestMatches:
    """Matching of texts with the hash of a key."""

    @pytest.mark.parametrize("text", ["", "qm_a_b", "qm_á_\udcff"])
    def test_other_text_does_not_match(self, text: str) -> None:
        assert not keys.matches(text, keys.issue().secret_sha256)


class TestKeyId:
    """Extraction of the key id."""

    @pytest.mark.parametrize(
        ("text", "expected"),
        [
            ("qm_0a1b_secret", "0a1b"),
            ("qm_0a1b_se_cr-et", "0a1b"),
            ("qm__secret", None),
            ("qm_0a1b_", None),
            ("sk_0a1b_secret", None),
            ("qm_0a1b_secret\n", None),
            ("", None),
        ],
    )
    def test_key_id_is_found_only_in_keys(
        self, text: str, expected: str | None
    ) -> None:
        assert keys.key_id_of(text) == expected
