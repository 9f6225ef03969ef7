"""Read the answer to a chat request and compare it with the expected tokens."""

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
    """Text added by a stream event."""

    content: str = ""


class Choice(Struct, frozen=True):
    """Choice of a stream event (`delta`) or of a complete answer (`message`)."""

    delta: Delta = Delta()
    message: Delta = Delta()


class ChatEvent(Struct, frozen=True):
    """Stream event or complete answer; a code marks a stream that failed after its start."""

    choices: tuple[Choice, ...] = ()
    code: int = NO_CODE
    run: str = ""


class StreamState(Struct):
    """Text, arrival times and result code received so far on a stream."""

    texts: list[str] = field(default_factory=list)
    times: list[float] = field(default_factory=list)
    code: int = NO_CODE
    run: str = ""
    # Whether the last event, and the end of the response after it, were received.
    is_done: bool = False
    has_ended: bool = False


async def read_stream(
    response: ClientResponse,
    request: HttpRequest,
    on_first_token: Callable[[], None],
    answer: Answer,
) -> Answer:
    """Read a stream to its end, and call `on_first_token` when its first token arrives."""
    loop = asyncio.get_running_loop()
    state = StreamState()
    # A broken connection ends the loop, and the text received so far is checked below. The stream
    # is read past its last event, because closing it earlier would prevent reuse of the connection.
    with suppress(ClientError, OSError, msgspec.DecodeError):
        async for line in response.content:
            is_first = _process_line(state, line, loop.time()) and len(state.times) == 1
            if is_first:
                on_first_token()
        state.has_ended = True
    return _build_answer(state, request, answer)


def check_completion(request: HttpRequest, body: bytes) -> Ending:
    """Compare the body of a non-streaming answer with the expected tokens."""
    try:
        event = msgspec.json.decode(body, type=ChatEvent)
    except msgspec.DecodeError:
        return Ending.WRONG_CONTENT
    return check_text(request, "".join(each.message.content for each in event.choices))


def _process_line(state: StreamState, line: bytes, now_s: float) -> bool:
    # Returns whether the line added text.
    if not line.startswith(_DATA):
        return False
    data = line[len(_DATA) :].strip()
    if data == _DONE:
        state.is_done = True
        return False
    event = msgspec.json.decode(data, type=ChatEvent)
    if event.code != NO_CODE:
        state.code, state.run = event.code, event.run
    text = "".join(each.delta.content for each in event.choices)
    if not text:
        return False
    state.texts.append(text)
    state.times.append(now_s)
    return True


def _build_answer(state: StreamState, request: HttpRequest, answer: Answer) -> Answer:
    ending = check_text(request, "".join(state.texts))
    if ending is Ending.ANSWERED and not (state.is_done and state.has_ended):
        ending = Ending.CUT_OFF
    return msgspec.structs.replace(
        answer,
        ending=ending,
        code=state.code or answer.code,
        run=state.run or answer.run,
        first_token_at=state.times[0] if state.times else None,
        gaps_s=tuple(later - earlier for earlier, later in pairwise(state.times)),
    )
