"""Write the answer to a caller, whole or as server-sent events."""

from collections.abc import Callable

import msgspec
from aiohttp import web
from msgspec import Struct

from lycheefall._core.codes import ResultCode, http_status, run_state
from lycheefall._core.messages.entry import CallerRequest, ReplyEnd, ReplyPart, ReplyTokens
from lycheefall._core.pipeline import Inbox
from lycheefall._wire import problem as problems
from lycheefall._wire import sse

EVENT_STREAM = "text/event-stream"
JSON = "application/json"
# Frames that are read before the agent is told that it may send as many more.
CREDIT_BATCH_FRAMES = 32

# Tells how many frames the caller has taken.
FramesTaken = Callable[[int], None]


class Outcome(Struct, frozen=True):
    """How a streamed answer ended."""

    code: int
    run: str
    upstream: str
    attempts: int


async def answer(
    http: web.Request, call: CallerRequest, reply: Inbox[ReplyPart], taken: FramesTaken
) -> web.StreamResponse:
    """Write the parts of the reply as they come."""
    took = in_batches(taken)
    if call.stream:
        return await _streamed(http, call, reply, took)
    tokens: list[str] = []
    while True:
        for part in await reply.drain():
            if isinstance(part, ReplyEnd):
                return _whole(call, tokens, part)
            tokens.extend(part.tokens)
            took(1)


def in_batches(taken: FramesTaken) -> FramesTaken:
    """Return a function that sums frames up and passes them on in batches."""
    waiting = 0

    def took(frames: int) -> None:
        nonlocal waiting
        waiting += frames
        if waiting >= CREDIT_BATCH_FRAMES:
            taken(waiting)
            waiting = 0

    return took


def refusal(code: ResultCode, detail: str, request: str, retry_s: float = 0.0) -> web.Response:
    """Return the answer to a request that ends with this code."""
    headers = problems.result_headers(code, request) | problems.retry_after(retry_s)
    return web.Response(
        status=http_status(code),
        body=msgspec.json.encode(problems.problem(code, detail, request)),
        content_type=problems.PROBLEM_TYPE,
        headers=headers,
    )


async def _streamed(
    http: web.Request, call: CallerRequest, reply: Inbox[ReplyPart], took: FramesTaken
) -> web.StreamResponse:
    parts = await reply.drain()
    first = parts[0]
    if isinstance(first, ReplyEnd) and first.code is not ResultCode.OK:
        return _whole(call, [], first)
    response = web.StreamResponse(headers=_stream_headers(call))
    await response.prepare(http)
    head = sse.token_event_prefix(call.request, call.model)
    while not isinstance(last := parts[-1], ReplyEnd):
        await response.write(_events(head, parts))
        took(len(parts))
        parts = await reply.drain()
    await response.write(_events(head, parts) + _stream_end(call, last))
    await response.write_eof()
    return response


def _events(head: bytes, parts: list[ReplyPart]) -> bytes:
    return b"".join(
        sse.token_event(head, token)
        for part in parts
        if isinstance(part, ReplyTokens)
        for token in part.tokens
    )


def _stream_end(call: CallerRequest, end: ReplyEnd) -> bytes:
    if end.code is not ResultCode.OK:
        return sse.error_event(problems.problem(end.code, end.detail, call.request))
    outcome = Outcome(int(end.code), run_state(end.code).value, end.upstream, end.attempts)
    return sse.final_events(call.request, end.finish_reason, outcome)


def _stream_headers(call: CallerRequest) -> dict[str, str]:
    headers = problems.result_headers(ResultCode.OK, call.request)
    return headers | {"Content-Type": EVENT_STREAM, "Cache-Control": "no-store"}


def _whole(call: CallerRequest, tokens: list[str], end: ReplyEnd) -> web.Response:
    if end.code >= ResultCode.BAD_JSON and not end.body:
        return refusal(end.code, end.detail, call.request, end.retry_after_s)
    headers = problems.result_headers(end.code, call.request)
    headers[problems.UPSTREAM_HEADER] = end.upstream
    if end.body or not call.model:
        headers["Content-Type"] = end.content_type or JSON
        return web.Response(status=end.status, body=end.body, headers=headers)
    headers["Content-Type"] = JSON
    return web.Response(body=_completion(call, tokens, end), headers=headers)


def _completion(call: CallerRequest, tokens: list[str], end: ReplyEnd) -> bytes:
    message = {"role": "assistant", "content": "".join(tokens)}
    choice = {"index": 0, "message": message, "finish_reason": end.finish_reason}
    return msgspec.json.encode(
        {
            "id": call.request,
            "object": "chat.completion",
            "model": call.model,
            "choices": [choice],
            "usage": {"completion_tokens": len(tokens)},
        }
    )
