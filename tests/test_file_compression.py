"""Tests of the form in which operators' files are stored and sent."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheefall._wire.codec import DecodeError
from lycheefall._wire.file_compression import compress_file, decompress_file


@given(st.binary(max_size=2_000))
def test_same_bytes_again(body: bytes) -> None:
    """Guards against an operator that reads back other bytes than were stored."""
    assert decompress_file(compress_file(body)) == body


def test_smaller() -> None:
    """Guards against files that cross the links between data centres in full for each process."""
    route = b'{"Name":"r-%d","Host":"h.example","PathPrefix":"/p%d/","Kind":"idempotent"},'
    body = b"".join(route % (number, number) for number in range(500))
    assert len(compress_file(body)) < len(body) / 5


def test_damaged_bytes_are_one_error() -> None:
    """Guards against a process that ends because it was sent a file it can't unpack."""
    with pytest.raises(DecodeError):
        decompress_file(b"{}")
