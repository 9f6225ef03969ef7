"""Split a server-sent event stream into whole events, and skip events passed on before."""

from msgspec import Struct

_SEPARATOR = b"\n\n"
_ID_FIELD = b"id:"


class EventBuffer(Struct):
    """Bytes of a partial event, and the id of the last event that was passed on."""

    partial: bytes = b""
    last_id: int | None = None


def feed(state: EventBuffer, data: bytes) -> bytes:
    """Return the events that the data completes, without those that were already passed on."""
    received = state.partial + data
    end = received.rfind(_SEPARATOR)
    if end < 0:
        state.partial = received
        return b""
    end += len(_SEPARATOR)
    state.partial = received[end:]
    return b"".join(
        block + _SEPARATOR
        for block in received[: end - len(_SEPARATOR)].split(_SEPARATOR)
        if _is_next(state, block)
    )


def discard_partial(state: EventBuffer) -> None:
    """Discard a partial event, which a resumed run sends again in full."""
    state.partial = b""


def _is_next(state: EventBuffer, block: bytes) -> bool:
    number = _id_of(block)
    if number is None:
        return True
    if state.last_id is not None and number <= state.last_id:
        return False
    state.last_id = number
    return True


def _id_of(block: bytes) -> int | None:
    for line in block.split(b"\n"):
        if line.startswith(_ID_FIELD):
            text = line[len(_ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
