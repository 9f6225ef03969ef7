"""Call the upstream for one attempt and turn its answer into messages."""

import asyncio
from collections.abc import Callable
from typing import Any

import aiohttp
import msgspec
from msgspec import structs

from lycheefall._agent.messages import AttemptEnded
from lycheefall._core.codes import ResultCode
from lycheefall._core.enums import UpstreamKind
from lycheefall._core.ids import Address
from lycheefall._core.messages.dispatch import Crash, Dispatch, Finished, Frame, Refused, ToEntry
from lycheefall._wire.sse import EventParser, TokenEvent

EVENT_STREAM = "text/event-stream"
CONNECT_TIMEOUT_S = 1.0

# Sends a message to the entry that the attempt belongs to; False when it did not go out.
Emit = Callable[[ToEntry], bool]


class EntryLost(Exception):
    """Report that a frame can't reach the entry, which then resumes the stream elsewhere."""


class Window:
    """Frames that an attempt may still send before the entry gives more credit."""

    __slots__ = ("_credit", "_more")

    def __init__(self, credit: int) -> None:
        self._credit = credit
        self._more = asyncio.Event()

    def grant(self, frames: int) -> None:
        """Add credit."""
        self._credit += frames
        self._more.set()

    async def take(self) -> None:
        """Use the credit of one frame; wait while there is none."""
        while self._credit <= 0:
            self._more.clear()
            await self._more.wait()
        self._credit -= 1


class Progress:
    """What an attempt has sent to the upstream and passed on from it."""

    __slots__ = ("finish_reason", "sent", "tokens")

    def __init__(self, tokens: int) -> None:
        self.tokens = tokens
        self.finish_reason = ""
        self.sent = False


def trace_sent() -> aiohttp.TraceConfig:
    """Return a trace that marks the progress of a call whose request went out.

    The HTTP client sends an idempotent method once more when a kept connection breaks, and an
    error of that second try doesn't tell that the first one was sent.
    """
    trace = aiohttp.TraceConfig()

    async def mark(session: object, context: Any, params: object) -> None:
        if isinstance(context.trace_request_ctx, Progress):
            context.trace_request_ctx.sent = True

    trace.on_request_headers_sent.append(mark)
    return trace


async def forward(
    session: aiohttp.ClientSession,
    upstream: Address,
    kind: UpstreamKind,
    dispatch: Dispatch,
    window: Window,
    emit: Emit,
) -> ToEntry:
    """Run one attempt within its remaining time and return the message that ends it."""
    call = _engine if kind is UpstreamKind.ENGINE else _service
    progress = Progress(len(dispatch.resume_tokens))
    try:
        async with asyncio.timeout(dispatch.remaining_s):
            return await call(session, upstream, dispatch, window, emit, progress)
    except aiohttp.ClientConnectorError:
        if progress.sent:
            return _ended(dispatch, ResultCode.UPSTREAM_LOST)
        # No connection was made, so nothing was sent and nothing ran.
        return Refused(dispatch.request, dispatch.attempt, ResultCode.NOT_CONNECTED)
    except TimeoutError:
        return _ended(dispatch, ResultCode.TIMEOUT_AFTER_START)
    except EntryLost:
        return _ended(dispatch, ResultCode.CANCELLED_AFTER_START)
    except (aiohttp.ClientError, ConnectionError, msgspec.DecodeError):
        return _ended(dispatch, ResultCode.UPSTREAM_LOST)


def cancelled(peer: bytes, dispatch: Dispatch, crash: Crash | None = None) -> AttemptEnded:
    """Return the end of an attempt that was cancelled while the upstream ran it."""
    ended = _ended(dispatch, ResultCode.CANCELLED_AFTER_START)
    return AttemptEnded(peer, structs.replace(ended, crash=crash))


def _ended(dispatch: Dispatch, code: ResultCode) -> Finished:
    return Finished(dispatch.request, dispatch.attempt, code)


async def _engine(
    session: aiohttp.ClientSession,
    upstream: Address,
    dispatch: Dispatch,
    window: Window,
    emit: Emit,
    progress: Progress,
) -> ToEntry:
    headers = {"Content-Type": "application/json"}
    url = f"http://{upstream}{dispatch.path}"
    async with session.post(url, data=engine_body(dispatch), headers=headers) as response:
        if response.status != 200:
            return await _whole(dispatch, response)
        await _pass_tokens(response, dispatch, window, emit, progress)
    if not progress.finish_reason:
        return _ended(dispatch, ResultCode.UPSTREAM_LOST)
    return Finished(
        dispatch.request,
        dispatch.attempt,
        ResultCode.OK,
        content_type=EVENT_STREAM,
        finish_reason=progress.finish_reason,
        token_count=progress.tokens,
    )


async def _pass_tokens(
    response: aiohttp.ClientResponse,
    dispatch: Dispatch,
    window: Window,
    emit: Emit,
    progress: Progress,
) -> None:
    parser = EventParser()
    async for chunk in response.content.iter_any():
        events = parser.feed(chunk)
        tokens = tuple(event.token for event in events if event.token)
        if tokens:
            await window.take()
            if not emit(Frame(dispatch.request, dispatch.attempt, progress.tokens, tokens)):
                raise EntryLost
            progress.tokens += len(tokens)
        progress.finish_reason = _last_reason(events) or progress.finish_reason


def _last_reason(events: list[TokenEvent]) -> str:
    return next((event.finish_reason for event in reversed(events) if event.finish_reason), "")


def engine_body(dispatch: Dispatch) -> bytes:
    """Return the body for an engine: always streamed, continued after the given tokens."""
    body = msgspec.json.decode(dispatch.body)
    body["stream"] = True
    body["priority"] = dispatch.rank
    if dispatch.resume_tokens:
        body["resume_tokens"] = dispatch.resume_tokens
    return msgspec.json.encode(body)


async def _service(
    session: aiohttp.ClientSession,
    upstream: Address,
    dispatch: Dispatch,
    window: Window,
    emit: Emit,
    progress: Progress,
) -> ToEntry:
    headers = {"Content-Type": dispatch.content_type or "application/octet-stream"}
    if dispatch.claim is not None:
        headers["Idempotency-Key"] = dispatch.claim.key
        headers["X-Lycheefall-Team"] = dispatch.claim.team
    url = f"http://{upstream}{dispatch.path}"
    body = dispatch.body or None
    async with session.request(
        dispatch.method, url, data=body, headers=headers, trace_request_ctx=progress
    ) as response:
        return await _whole(dispatch, response)


async def _whole(dispatch: Dispatch, response: aiohttp.ClientResponse) -> Finished:
    body = await response.read()
    code = ResultCode.OK if response.status < 500 else ResultCode.UPSTREAM_ERROR
    return Finished(
        dispatch.request,
        dispatch.attempt,
        code,
        response.status,
        response.headers.get("Content-Type", ""),
        body,
    )
