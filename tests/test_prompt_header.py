"""Tests of decoding the header that lists the parts of a prompt."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from prompt_header import MAX_ID_BYTES, MAX_PARTS, decode


class TestDecode:
    def test_last_part_is_not_shared(self) -> None:
        """Guards against a request's own part that is taken for one of other requests."""
        assert decode(b"5C1e:800, 91bd:410,e440:250") == ("5c1e", "91bd")
        assert decode(b"e440:250") == ()

    @pytest.mark.parametrize(
        "value",
        [
            b"",
            b",",
            b"a:1,,b:2",
            b"a\xff:1,b:2",
            b"a" * (MAX_ID_BYTES + 1) + b":1,b:2",
            b",".join([b"a:1"] * (MAX_PARTS + 1)),
        ],
    )
    def test_invalid_header(self, value: bytes) -> None:
        """Guards against a header without bounds that fills the memory of an entry."""
        assert decode(value) == ()

    @given(st.binary(max_size=200))
    def test_any_bytes(self, value: bytes) -> None:
        """Guards against a header that ends the request's task with an error."""
        assert len(decode(value)) < MAX_PARTS
