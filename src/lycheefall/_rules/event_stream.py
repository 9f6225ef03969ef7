"""Split a server-sent event stream into whole events, and skip events that were passed on before.

The ids of events are increasing numbers, so a resumed stream may repeat earlier events.
"""

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
        event + _SEPARATOR
        for event in received[: end - len(_SEPARATOR)].split(_SEPARATOR)
        if _is_new(state, event)
    )


def discard_partial(state: EventBuffer) -> None:
    """Discard a partial event, which a resumed run sends again in full."""
    state.partial = b""


def _is_new(state: EventBuffer, event: bytes) -> bool:
    """Return whether an event was not passed on before, and record its id; no id counts as new."""
    number = _id_of(event)
    if number is None:
        return True
    if state.last_id is not None and number <= state.last_id:
        return False
    state.last_id = number
    return True


def _id_of(event: bytes) -> int | None:
    """Return the number in the id field of an event, or None."""
    for line in event.split(b"\n"):
        if line.startswith(_ID_FIELD):
            text = line[len(_ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
