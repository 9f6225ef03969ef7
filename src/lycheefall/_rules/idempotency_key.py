"""Extraction of the creation time from an idempotency key."""

import re
import uuid

from lycheefall._core.ids import IdempotencyKey

MAX_KEY_CHARACTERS = 128
_TIMED_KEY = re.compile(r"([0-9]{1,15})-[!-~]+", re.ASCII)
_UUID = re.compile(r"[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}", re.ASCII | re.IGNORECASE)
# The first 48 of the 128 bits of a UUID version 7 are its Unix time in ms.
_UUID7_TIME_SHIFT_BITS = 80


def key_time_ms(key: IdempotencyKey) -> int | None:
    """Return the Unix time in ms of a UUID version 7 or <unix ms>-<opaque> key; None if neither."""
    if len(key) > MAX_KEY_CHARACTERS:
        return None
    if _UUID.fullmatch(key):
        return _uuid_time_ms(uuid.UUID(key))
    timed = _TIMED_KEY.fullmatch(key)
    return int(timed.group(1)) if timed else None


def _uuid_time_ms(value: uuid.UUID) -> int | None:
    if value.version != 7:
        return None
    return value.int >> _UUID7_TIME_SHIFT_BITS
