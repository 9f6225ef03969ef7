"""Decode request bodies in the chunked transfer coding.

The content is one byte array, so that a body in chunks of one byte takes no more memory than one in
one piece.
"""

import re
from enum import Enum

from msgspec import Struct, field

_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})(;[^\r\n]*)?[ \t]*\r\n")
_LINE_END = b"\r\n"


class Stage(Enum):
    """Part of a chunked body that is read next."""

    SIZE = "size"
    DATA = "data"
    DATA_END = "data_end"
    TRAILER = "trailer"
    END = "end"


class ChunkedBody(Struct, eq=False):
    """A body of which a part has been decoded."""

    content: bytearray = field(default_factory=bytearray)
    stage: Stage = Stage.SIZE
    # Bytes of the current chunk that have not arrived.
    missing_bytes: int = 0
    # Bytes of chunk extensions and trailers, which are read and dropped.
    dropped_bytes: int = 0


class InvalidChunk(Exception):
    """The framing of a body is invalid."""


def decode(body: ChunkedBody, data: bytes) -> int:
    """Add decoded data to a body, and return how many bytes of the data were used."""
    position = 0
    while position < len(data) and body.stage is not Stage.END:
        start = position
        if body.stage is Stage.SIZE:
            position = _read_chunk(body, data, position)
        elif body.stage is Stage.DATA:
            part = data[position : position + body.missing_bytes]
            body.content += part
            body.missing_bytes -= len(part)
            position += len(part)
            if not body.missing_bytes:
                body.stage = Stage.DATA_END
        elif body.stage is Stage.DATA_END:
            position = _skip_line_end(body, data, position)
        else:
            position = _skip_trailer(body, data, position)
        if position == start:
            break
    return position


def _read_chunk(body: ChunkedBody, data: bytes, position: int) -> int:
    """Read a size line, and the whole chunk if it has arrived."""
    line = _SIZE_LINE.match(data, position)
    if line is None:
        if data.find(b"\n", position) >= 0:
            raise InvalidChunk
        return position
    size_bytes = int(line[1], 16)
    if line[2]:
        body.dropped_bytes += len(line[2])
    start = line.end()
    end = start + size_bytes
    if not size_bytes:
        body.stage = Stage.TRAILER
        return start
    if data[end : end + 2] == _LINE_END:
        body.content += data[start:end]
        return end + 2
    body.missing_bytes = size_bytes
    body.stage = Stage.DATA
    return start


def _skip_line_end(body: ChunkedBody, data: bytes, position: int) -> int:
    found = data[position : position + 2]
    if not _LINE_END.startswith(found):
        raise InvalidChunk
    if len(found) < len(_LINE_END):
        return position
    body.stage = Stage.SIZE
    return position + len(_LINE_END)


def _skip_trailer(body: ChunkedBody, data: bytes, position: int) -> int:
    end = data.find(_LINE_END, position)
    if end < 0:
        return position
    if end == position:
        body.stage = Stage.END
    body.dropped_bytes += end - position
    return end + len(_LINE_END)
