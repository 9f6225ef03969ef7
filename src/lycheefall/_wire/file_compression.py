"""Compression of operators' files for storage and for messages between processes.

Files are repetitive text, and each is sent to all replicas and entries.
"""

import zlib

from lycheefall._wire.codec import DecodeError

# Level 1, the fastest, reduces files of the platform to about a tenth of their size.
_LEVEL = 1


def compress_file(body: bytes) -> bytes:
    """Return the compressed content of a file."""
    return zlib.compress(body, _LEVEL)


def decompress_file(compressed: bytes) -> bytes:
    """Return the content of a file as the operator sent it; raise DecodeError if it is damaged."""
    try:
        return zlib.decompress(compressed)
    except zlib.error as error:
        raise DecodeError(f"cannot decompress the file: {error}") from error
