"""Encoding of a configuration as lines, one for each item of its tables, and their digest."""

from collections.abc import Callable

import msgspec
import xxhash

from lycheefall._core.configuration import Configuration
from lycheefall._core.ids import Digest
from lycheefall._wire.codec import encode

_ARRAYS = frozenset(
    each.name for each in msgspec.structs.fields(Configuration) if each.default == ()
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
    """Return each item of a table, and each other field, as a line with the name of its field."""
    lines: list[bytes] = []
    for name, value in _decode_fields(encode(configuration)).items():
        items = _decode_items(value) if name in _ARRAYS else [value]
        lines += [encode((name, item)) for item in items]
    return tuple(lines)


def decode_lines(lines: tuple[bytes, ...]) -> Configuration:
    """Return the configuration of these lines; raise DecodeError if they are not of one."""
    values: dict[str, msgspec.Raw] = {}
    arrays: dict[str, list[msgspec.Raw]] = {name: [] for name in _ARRAYS}
    for line in lines:
        name, value = _decode_line(line)
        if name in arrays:
            arrays[name].append(value)
        else:
            values[name] = value
    return _decode_configuration(encode(values | arrays))


def digest_of_lines(lines: tuple[bytes, ...]) -> Digest:
    """Return a digest of the lines, which also covers defaults that a file doesn't state."""
    return Digest(xxhash.xxh3_128_hexdigest(encode(lines)))
