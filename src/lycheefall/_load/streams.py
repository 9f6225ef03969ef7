"""Reads the answer to a chat request and compares it with the expected tokens."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from itertools import pairwise

import msgspec
from aiohttp import ClientError, ClientResponse
from msgspec import Struct, field

from lycheefall._load.outcome import NO_CODE, Answer, Ending
from lycheefall._load.requests import HttpRequest, check_text

_DATA = b"data: "
_DONE = b"[DONE]"


class Delta(Struct, frozen=True):
    """New text of a stream event."""

    content: str = ""


class Choice(Struct, frozen=True):
    """The choice of a stream event or of a whole answer."""

    delta: Delta = Delta()
    message: Delta = Delta()


class ChatEvent(Struct, frozen=True):
    """Stream event or whole answer; a code ends a stream that failed after its start."""

    choices: tuple[Choice, ...] = ()
    code: int = NO_CODE
    run: str = ""


class StreamReading(Struct):
    """What has arrived of a stream."""

    texts: list[str] = field(default_factory=list)
    times: list[float] = field(default_factory=list)
    code: int = NO_CODE
    run: str = ""
    is_done: bool = False


async def read_stream(
    response: ClientResponse, request: HttpRequest, begun: Callable[[], None], base: Answer
) -> Answer:
    """Read a stream to its end, and tell when its first token arrives."""
    loop = asyncio.get_running_loop()
    reading = StreamReading()
    # A connection that breaks ends the loop; what arrived before is judged below. The stream is
    # read past its last event, since closing earlier would cost the connection.
    with suppress(ClientError, OSError, msgspec.DecodeError):
        async for line in response.content:
            is_first = _take_line(reading, line, loop.time()) and len(reading.times) == 1
            if is_first:
                begun()
    return _judge(reading, request, base)


def check_whole(request: HttpRequest, body: bytes) -> Ending:
    """Compare an answer that is not a stream with the expected tokens."""
    try:
        event = msgspec.json.decode(body, type=ChatEvent)
    except msgspec.DecodeError:
        return Ending.WRONG_CONTENT
    return check_text(request, "".join(each.message.content for each in event.choices))


def _take_line(reading: StreamReading, line: bytes, now_s: float) -> bool:
    # Returns whether the line brought text.
    if not line.startswith(_DATA):
        return False
    data = line[len(_DATA) :].strip()
    if data == _DONE:
        reading.is_done = True
        return False
    event = msgspec.json.decode(data, type=ChatEvent)
    if event.code != NO_CODE:
        reading.code, reading.run = event.code, event.run
    text = "".join(each.delta.content for each in event.choices)
    if not text:
        return False
    reading.texts.append(text)
    reading.times.append(now_s)
    return True


def _judge(reading: StreamReading, request: HttpRequest, base: Answer) -> Answer:
    ending = check_text(request, "".join(reading.texts))
    if ending is Ending.ANSWERED and not reading.is_done:
        ending = Ending.CUT_OFF
    return msgspec.structs.replace(
        base,
        ending=ending,
        code=reading.code or base.code,
        run=reading.run or base.run,
        first_token_at=reading.times[0] if reading.times else None,
        gaps_s=tuple(later - earlier for earlier, later in pairwise(reading.times)),
    )
