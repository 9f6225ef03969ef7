"""Tests of the compression of operators' files."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheefall._wire.codec import DecodeError
from lycheefall._wire.file_compression import compress_file, decompress_file


@given(st.binary(max_size=2_000))
def test_round_trip(body: bytes) -> None:
    """Guards against an operator reading back content that differs from the stored file."""
    assert decompress_file(compress_file(body)) == body


def test_compression_ratio() -> None:
    """Guards against uncompressed files on the links between data centres, one for each process."""
    route = b'{"Name":"r-%d","Host":"h.example","PathPrefix":"/p%d/","Kind":"idempotent"},'
    body = b"".join(route % (number, number) for number in range(500))
    assert len(compress_file(body)) < len(body) / 5


def test_damaged_content() -> None:
    """Guards against a process that exits because it received a file that it can't decompress."""
    with pytest.raises(DecodeError):
        decompress_file(b"{}")
