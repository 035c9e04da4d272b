"""Tests of label selectors."""

import pytest

from quetzalmill import errors
from quetzalmill import selectors

LABELS = {"model": "agent", "site": "rawson", "gpu/size": "80"}


class TestMatches:
    """Labels that a selector matches."""

    @pytest.mark.parametrize(
        ("text", "expected"),
        [
            ("", True),
            ("  ", True),
            ("model=agent", True),
            ("model==agent", True),
            ("model = agent , site=rawson", True),
            ("model=agent,site=madryn", False),
            ("model!=agent", False),
            ("tier!=gold", True),
            ("site", True),
            ("tier", False),
            ("!tier", True),
            ("!site", False),
            ("site in (rawson madryn)", True),
            ("site in (rawson, madryn),model=agent", True),
            ("site in (madryn)", False),
            ("tier in (gold)", False),
            ("gpu/size=80", True),
        ],
    )
    def test_text(self, text: str, expected: bool) -> None:
        assert selectors.parse(text).matches(LABELS) is expected


class TestParse:
    """Malformed selectors."""

    @pytest.mark.parametrize(
        ("text", "term"),
        [
            ("model=agent,,site", "''"),
            ("model=agent,=x", "'=x'"),
            ("model=", "'model='"),
            ("site in ()", "'site in ()'"),
            ("site in (a", "'site in (a'"),
            ("site in (a=b)", "'site in (a=b)'"),
            ("a b", "'a b'"),
            ("-a", "'-a'"),
        ],
    )
    def test_error_names_the_term(self, text: str, term: str) -> None:
        with pytest.raises(errors.SelectorError) as caught:
            selectors.parse(text)
        assert term in str(caught.value)
