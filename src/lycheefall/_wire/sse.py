"""Server-sent events in the chat-completions form."""

import msgspec
from msgspec import Struct

_PREFIX = b"data:"
_DONE = b"[DONE]"
_SEPARATOR = b"\n\n"


class Delta(Struct, frozen=True):
    """Text that a chunk adds."""

    content: str = ""


class Choice(Struct, frozen=True):
    """One answer of a chunk."""

    delta: Delta = Delta()
    finish_reason: str | None = None


class Chunk(Struct, frozen=True):
    """Body of one event."""

    choices: tuple[Choice, ...] = ()


class TokenEvent(Struct, frozen=True):
    """Token and end that one event carries."""

    token: str
    finish_reason: str


_decode_chunk = msgspec.json.Decoder(Chunk).decode
_encode = msgspec.json.Encoder().encode


class EventParser:
    """Bytes of a stream that don't end an event yet."""

    __slots__ = ("_rest",)

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[TokenEvent]:
        """Take received bytes and return the events that they complete."""
        *blocks, self._rest = (self._rest + data).split(_SEPARATOR)
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


def token_event(head: bytes, token: str) -> bytes:
    """Return the event for one token; the head is what `event_head` made for the stream."""
    return head + _encode(token) + b'},"finish_reason":null}]}\n\n'


def token_event_prefix(stream_id: str, model: str) -> bytes:
    """Return the start of each token event of a stream, which only the token follows."""
    return (
        b'data: {"id":'
        + _encode(stream_id)
        + b',"object":"chat.completion.chunk","model":'
        + _encode(model)
        + b',"choices":[{"index":0,"delta":{"content":'
    )


def final_events(stream_id: str, finish_reason: str, outcome: object) -> bytes:
    """Return the events that end a stream; the outcome goes out under `lycheefall`."""
    last = {
        "id": stream_id,
        "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": {}, "finish_reason": finish_reason}],
        "lycheefall": outcome,
    }
    return b"data: " + _encode(last) + b"\n\ndata: [DONE]\n\n"


def error_event(problem: object) -> bytes:
    """Return the event that tells that a stream ended before its answer was whole."""
    return b"event: error\ndata: " + _encode(problem) + b"\n\n"
