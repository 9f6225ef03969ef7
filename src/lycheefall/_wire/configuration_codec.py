"""Encoding of a configuration as lines, one per table item, and the digest of the lines.

A delta between two revisions consists of edits of the lines; the digest verifies its result.
"""

from collections.abc import Callable

import msgspec
import xxhash

from lycheefall._core.configuration import Configuration
from lycheefall._core.ids import Digest
from lycheefall._wire.codec import encode

# Fields that hold a sequence of items, such as the routes.
_TABLES = frozenset(
    info.name for info in msgspec.structs.fields(Configuration) if info.default == ()
)
_decode_fields: Callable[[bytes], dict[str, msgspec.Raw]] = msgspec.msgpack.Decoder(
    dict[str, msgspec.Raw]
).decode
_decode_items: Callable[[msgspec.Raw], list[msgspec.Raw]] = msgspec.msgpack.Decoder(
    list[msgspec.Raw]
).decode
_decode_line: Callable[[bytes], tuple[str, msgspec.Raw]] = msgspec.msgpack.Decoder(
    tuple[str, msgspec.Raw]
).decode
_decode_configuration: Callable[[bytes], Configuration] = msgspec.msgpack.Decoder(
    Configuration
).decode


def encode_lines(configuration: Configuration) -> tuple[bytes, ...]:
    """Return one line for each table item and each other field, with the name of the field."""
    lines: list[bytes] = []
    for name, value in _decode_fields(encode(configuration)).items():
        items = _decode_items(value) if name in _TABLES else [value]
        lines += [encode((name, item)) for item in items]
    return tuple(lines)


def decode_lines(lines: tuple[bytes, ...]) -> Configuration:
    """Return the configuration that the lines encode; raise DecodeError if they are invalid."""
    values: dict[str, msgspec.Raw] = {}
    tables: dict[str, list[msgspec.Raw]] = {name: [] for name in _TABLES}
    for line in lines:
        name, value = _decode_line(line)
        if name in tables:
            tables[name].append(value)
        else:
            values[name] = value
    return _decode_configuration(encode(values | tables))


def digest_of_lines(lines: tuple[bytes, ...]) -> Digest:
    """Return a digest of the lines, which include defaults that the file leaves out."""
    return Digest(xxhash.xxh3_128_hexdigest(encode(lines)))
