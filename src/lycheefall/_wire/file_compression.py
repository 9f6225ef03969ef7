"""Operators' files as they are stored and sent between processes: compressed.

Files are repetitive text, and each goes to all replicas and entries.
"""

import zlib

from lycheefall._wire.codec import DecodeError

# The fastest level makes files of the platform about a tenth as large.
_LEVEL = 1


def compress_file(body: bytes) -> bytes:
    """Return the compressed bytes of a file."""
    return zlib.compress(body, _LEVEL)


def decompress_file(packed: bytes) -> bytes:
    """Return the bytes of a file as the operator sent them."""
    try:
        return zlib.decompress(packed)
    except zlib.error as error:
        raise DecodeError(f"a packed file can't be read: {error}") from error
