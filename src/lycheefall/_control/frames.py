"""Checksummed frames of an append-only file.

Each frame holds one batch and is synced before the next one is written. An interrupted write can
therefore damage only the last frame, and a damaged frame before a valid one is a disk fault.
"""

import struct

import xxhash
from msgspec import Struct

from lycheefall._core.exceptions import LogDamaged

MAGIC = b"LYF1"
# Magic, length of the payload in bytes, checksum of the payload.
_HEADER = struct.Struct("<4sIQ")


class Frames(Struct, frozen=True):
    """The payloads of the valid frames of a file, and the offset of the end of the last one."""

    payloads: tuple[bytes, ...]
    size_bytes: int


def frame(payload: bytes) -> bytes:
    """Return a payload with its frame header prepended."""
    return _HEADER.pack(MAGIC, len(payload), _checksum(payload)) + payload


def read_frames(data: bytes, name: str) -> Frames:
    """Return the frames before a damaged tail; raise LogDamaged if a valid frame follows damage."""
    payloads: list[bytes] = []
    offset = 0
    while offset < len(data):
        payload = _payload_at(data, offset)
        if payload is None:
            _check_is_tail(data, offset, name)
            break
        payloads.append(payload)
        offset += _HEADER.size + len(payload)
    return Frames(tuple(payloads), offset)


def _check_is_tail(data: bytes, damaged_offset: int, name: str) -> None:
    offset = data.find(MAGIC, damaged_offset + 1)
    while offset >= 0:
        if _payload_at(data, offset) is not None:
            raise LogDamaged(
                f"{name}: the frame at byte {damaged_offset} is damaged, "
                f"but the one at byte {offset} is valid"
            )
        offset = data.find(MAGIC, offset + 1)


def _payload_at(data: bytes, offset: int) -> bytes | None:
    """Return the payload of the frame at an offset, or None if there is no valid frame."""
    start = offset + _HEADER.size
    if start > len(data):
        return None
    magic, length, checksum = _HEADER.unpack_from(data, offset)
    payload = data[start : start + length]
    if magic != MAGIC or len(payload) != length or _checksum(payload) != checksum:
        return None
    return payload


def _checksum(payload: bytes) -> int:
    # Seeded with the length, so that a zeroed header does not pass as an empty frame.
    return xxhash.xxh3_64_intdigest(payload, seed=len(payload) + 1)
