"""Tests of decoding pages of the newest records."""

import contextlib
import json

import hypothesis
from hypothesis import strategies as st
import pytest

from quetzalmill import errors
from quetzalmill import keyed_store
from quetzalmill_platform import store_pages

_SOUND = keyed_store.KeyedRecord("app-1", b"v")
_SOUND_ITEM = b'{"key":"app-1","value":"dg==","offset":0}'


def _page(
    items: list[bytes], end: bytes = b"3", more: bytes = b"true"
) -> bytes:
    return b'{"items":[%s],"hasMore":%s,"end":%s}' % (
        b",".join(items),
        more,
        end,
    )


class TestOddKeys:
    """Keys of another writer that are not text."""

    @pytest.mark.parametrize(
        "key",
        [b'"\xff"', b'"\\ud800"', b'"a\\udcff"', b'"\xed\xa0\x80"', b"null"],
    )
    def test_key_that_is_not_text_does_not_cost_the_other_records(
        self, key: bytes
    ) -> None:
        """A gateway could not read the endpoints any more, also after a start.

        The store keeps the newest record of each key, so each read meets it.
        """
        odd = b'{"key":%s,"value":"dg==","offset":1}' % key
        page = store_pages.decode(_page([odd, _SOUND_ITEM, odd]))
        assert page == store_pages.Page([_SOUND], 3, has_more=True)
        assert page.records[0].offset == 0

    def test_page_without_a_key_to_continue_from_is_unreadable(self) -> None:
        """Taken for the last page, it would hide the records behind it."""
        odd = b'{"key":"\xff","value":"dg==","offset":1}'
        assert not store_pages.decode(_page([odd], more=b"false")).records
        with pytest.raises(errors.CodecError):
            store_pages.decode(_page([odd]))


class TestUnreadablePages:
    """Pages that the store does not send; a read of one is repeated."""

    @pytest.mark.parametrize(
        "item",
        [
            b'{"key":"app-2","value":null}',
            b'{"key":"app-2","value":"!!"}',
            b'{"key":"app-2","value":7}',
            b'{"key":"app-2"}',
            b'{"value":"dg=="}',
            b"null",
            b"[" * 3_000 + b"]" * 3_000,
            b"9" * 5_000,
        ],
    )
    def test_record_that_may_be_a_turn_is_not_left_out(
        self, item: bytes
    ) -> None:
        """A turn that is left out would seem not to exist."""
        with pytest.raises(errors.CodecError):
            store_pages.decode(_page([_SOUND_ITEM, item]))

    @pytest.mark.parametrize(
        "end", [b"-1", b"1e400", b"1.5", b"null", b"9" * 400, b"9" * 5_000]
    )
    def test_page_whose_end_is_no_offset(self, end: bytes) -> None:
        """The store would refuse each read from there."""
        odd = b'{"key":"\xff","value":"dg==","offset":1}'
        for items in ([_SOUND_ITEM], [_SOUND_ITEM, odd]):
            with pytest.raises(errors.CodecError):
                store_pages.decode(_page(items, end))

    @hypothesis.given(
        st.one_of(
            st.binary(),
            st.recursive(
                st.none() | st.integers() | st.text(),
                lambda inner: (
                    st.dictionaries(
                        st.sampled_from(["items", "end", "hasMore", "key"]),
                        inner,
                    )
                    | st.lists(inner, max_size=3)
                ),
                max_leaves=8,
            ).map(lambda value: json.dumps(value).encode()),
        )
    )
    def test_any_body(self, body: bytes) -> None:
        with contextlib.suppress(errors.CodecError):
            store_pages.decode(body)
