"""Call the upstream for one attempt and convert its response to messages."""

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
from lycheefall._rules import byte_budget
from lycheefall._rules.byte_budget import ByteBudget, Holding
from lycheefall._wire.sse import EventParser, EventTooLarge, TokenEvent

EVENT_STREAM = "text/event-stream"
CONNECT_TIMEOUT_S = 1.0
# A larger answer is not passed on.
MAX_ANSWER_BYTES = 16 * 1024 * 1024

# Sends a message to the entry of the attempt; returns False if it could not be sent.
Emit = Callable[[ToEntry], bool]


class AnswerTooLarge(Exception):
    """An answer exceeds its limit, or all answers together exceed theirs."""


class EntryLost(Exception):
    """A frame could not be sent to the entry, which then resumes the stream elsewhere."""


class CreditWindow:
    """Flow-control window: the frames that an attempt may send before the entry grants more."""

    __slots__ = ("_credit", "_credit_granted")

    def __init__(self, credit: int) -> None:
        self._credit = credit
        self._credit_granted = asyncio.Event()

    def grant(self, frames: int) -> None:
        """Add credit."""
        self._credit += frames
        self._credit_granted.set()

    async def take(self) -> None:
        """Wait for credit and consume that of one frame."""
        while self._credit <= 0:
            self._credit_granted.clear()
            await self._credit_granted.wait()
        self._credit -= 1


class Progress:
    """Progress of an attempt: whether its request was sent, and how many tokens were relayed."""

    __slots__ = ("finish_reason", "request_sent", "tokens")

    def __init__(self, tokens: int) -> None:
        self.tokens = tokens
        self.finish_reason = ""
        self.request_sent = False


def trace_request_sent() -> aiohttp.TraceConfig:
    """Return a trace that records in the progress of a call that its request was sent.

    The HTTP client retries an idempotent method when a pooled connection breaks, and an error of
    the second try doesn't show that the first request was sent.
    """
    trace = aiohttp.TraceConfig()

    async def record_sent(session: object, context: Any, params: object) -> None:
        if isinstance(context.trace_request_ctx, Progress):
            context.trace_request_ctx.request_sent = True

    trace.on_request_headers_sent.append(record_sent)
    return trace


async def send_once(
    request: aiohttp.ClientRequest, send: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Send a request, and hide from the HTTP client that its connection broke.

    The client sends a request of an idempotent method again after such an error.
    """
    try:
        return await send(request)
    except aiohttp.ClientConnectorError:
        # No connection was established, and the client does not retry.
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise aiohttp.ClientError(f"the connection broke: {error!r}") from error


async def forward(
    session: aiohttp.ClientSession,
    upstream: Address,
    kind: UpstreamKind,
    dispatch: Dispatch,
    window: CreditWindow,
    emit: Emit,
    answers: ByteBudget,
) -> ToEntry:
    """Run one attempt within its remaining time and return its final message."""
    call = _call_engine if kind is UpstreamKind.ENGINE else _call_service
    progress = Progress(len(dispatch.resume_tokens))
    try:
        async with asyncio.timeout(dispatch.remaining_s):
            return await call(session, upstream, dispatch, window, emit, progress, answers)
    except aiohttp.ClientConnectorError:
        if progress.request_sent:
            return _finished(dispatch, ResultCode.UPSTREAM_LOST)
        # No connection was established, so the request was not sent and did not run.
        return Refused(dispatch.request, dispatch.attempt, ResultCode.NOT_CONNECTED)
    except TimeoutError:
        return _finished(dispatch, ResultCode.TIMEOUT_AFTER_START)
    except EntryLost:
        return _finished(dispatch, ResultCode.CANCELLED_AFTER_START)
    except (
        aiohttp.ClientError,
        ConnectionError,
        msgspec.DecodeError,
        EventTooLarge,
        AnswerTooLarge,
    ):
        return _finished(dispatch, ResultCode.UPSTREAM_LOST)


def cancelled_attempt(peer: bytes, dispatch: Dispatch, crash: Crash | None = None) -> AttemptEnded:
    """Return the result of an attempt that was cancelled while the upstream ran it."""
    finished = _finished(dispatch, ResultCode.CANCELLED_AFTER_START)
    return AttemptEnded(peer, structs.replace(finished, crash=crash))


def _finished(dispatch: Dispatch, code: ResultCode) -> Finished:
    return Finished(dispatch.request, dispatch.attempt, code)


async def _call_engine(
    session: aiohttp.ClientSession,
    upstream: Address,
    dispatch: Dispatch,
    window: CreditWindow,
    emit: Emit,
    progress: Progress,
    answers: ByteBudget,
) -> ToEntry:
    headers = {"Content-Type": "application/json"}
    url = f"http://{upstream}{dispatch.path}"
    async with session.post(url, data=engine_body(dispatch), headers=headers) as response:
        if response.status != 200:
            return await _read_response(dispatch, response, answers)
        await _relay_tokens(response, dispatch, window, emit, progress)
    if not progress.finish_reason:
        return _finished(dispatch, ResultCode.UPSTREAM_LOST)
    return Finished(
        dispatch.request,
        dispatch.attempt,
        ResultCode.OK,
        content_type=EVENT_STREAM,
        finish_reason=progress.finish_reason,
        token_count=progress.tokens,
    )


async def _relay_tokens(
    response: aiohttp.ClientResponse,
    dispatch: Dispatch,
    window: CreditWindow,
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
        progress.finish_reason = _last_finish_reason(events) or progress.finish_reason


def _last_finish_reason(events: list[TokenEvent]) -> str:
    return next((event.finish_reason for event in reversed(events) if event.finish_reason), "")


def engine_body(dispatch: Dispatch) -> bytes:
    """Return the request body for an engine: streamed, and resumed after the tokens sent so far."""
    body = msgspec.json.decode(dispatch.body)
    body["stream"] = True
    body["priority"] = dispatch.rank
    if dispatch.resume_tokens:
        body["resume_tokens"] = dispatch.resume_tokens
    return msgspec.json.encode(body)


async def _call_service(
    session: aiohttp.ClientSession,
    upstream: Address,
    dispatch: Dispatch,
    window: CreditWindow,
    emit: Emit,
    progress: Progress,
    answers: ByteBudget,
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
        return await _read_response(dispatch, response, answers)


async def _read_response(
    dispatch: Dispatch, response: aiohttp.ClientResponse, answers: ByteBudget
) -> Finished:
    body = await _read_body(response, answers)
    code = ResultCode.OK if response.status < 500 else ResultCode.UPSTREAM_ERROR
    return Finished(
        dispatch.request,
        dispatch.attempt,
        code,
        response.status,
        response.headers.get("Content-Type", ""),
        body,
    )


async def _read_body(response: aiohttp.ClientResponse, answers: ByteBudget) -> bytes:
    """Return the body of an answer; raise AnswerTooLarge if it exceeds a limit."""
    holding = Holding(end=response.close)
    body = bytearray()
    try:
        async for data in response.content.iter_any():
            body += data
            byte_budget.resize(answers, holding, len(body))
            if holding.is_ended or len(body) > MAX_ANSWER_BYTES:
                raise AnswerTooLarge(f"an answer was ended at {len(body)} bytes")
        if holding.is_ended:
            raise AnswerTooLarge("an answer was ended for its size")
        return bytes(body)
    finally:
        byte_budget.close(answers, holding)
