"""Server-sent events in the format of chat completions."""

import msgspec
from msgspec import Struct

_PREFIX = b"data:"
_DONE = b"[DONE]"
_SEPARATOR = b"\n\n"
# A larger event is not buffered; the usual ones hold a few tokens.
MAX_EVENT_BYTES = 1024 * 1024


class EventTooLarge(Exception):
    """An event of a stream exceeds the limit."""


class Delta(Struct, frozen=True):
    """Text that a chunk appends."""

    content: str = ""


class Choice(Struct, frozen=True):
    """One completion choice of a chunk."""

    delta: Delta = Delta()
    finish_reason: str | None = None


class Chunk(Struct, frozen=True):
    """JSON payload of one event."""

    choices: tuple[Choice, ...] = ()


class TokenEvent(Struct, frozen=True):
    """Token and finish reason of one event; either may be empty."""

    token: str
    finish_reason: str


_decode_chunk = msgspec.json.Decoder(Chunk).decode
_encode = msgspec.json.Encoder().encode


class EventParser:
    """Incremental parser, which buffers an incomplete event."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> list[TokenEvent]:
        """Append received bytes and return the events that they complete.

        Raises EventTooLarge if the incomplete event exceeds the limit.
        """
        *blocks, self._buffer = (self._buffer + data).split(_SEPARATOR)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLarge(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        return [event for block in blocks if (event := _parse(block)) is not None]


def _parse(block: bytes) -> TokenEvent | None:
    if not block.startswith(_PREFIX):
        return None
    payload = block[len(_PREFIX) :].strip()
    if payload == _DONE:
        return None
    chunk = _decode_chunk(payload)
    if not chunk.choices:
        return None
    choice = chunk.choices[0]
    return TokenEvent(choice.delta.content, choice.finish_reason or "")


def token_event(prefix: bytes, token: str) -> bytes:
    """Return the event for one token, given the `token_event_prefix` of the stream."""
    return prefix + _encode(token) + b'},"finish_reason":null}]}\n\n'


def token_event_prefix(stream_id: str, model: str) -> bytes:
    """Return the bytes before the token, which are the same in all token events of a stream."""
    return (
        b'data: {"id":'
        + _encode(stream_id)
        + b',"object":"chat.completion.chunk","model":'
        + _encode(model)
        + b',"choices":[{"index":0,"delta":{"content":'
    )


def final_events(stream_id: str, finish_reason: str, outcome: object) -> bytes:
    """Return the events that end a stream, with the outcome under the key `lycheefall`."""
    final_chunk = {
        "id": stream_id,
        "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": {}, "finish_reason": finish_reason}],
        "lycheefall": outcome,
    }
    return b"data: " + _encode(final_chunk) + b"\n\ndata: [DONE]\n\n"


def error_event(problem: object) -> bytes:
    """Return the event that reports that a stream ended before its response was complete."""
    return b"event: error\ndata: " + _encode(problem) + b"\n\n"
