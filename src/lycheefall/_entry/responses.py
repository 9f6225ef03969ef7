"""Write the response to a caller, as one body or as server-sent events."""

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
# Frames that are consumed before their credit is returned to the agent.
CREDIT_BATCH_FRAMES = 32

# Reports a number of frames that the caller has consumed.
ReportFrames = Callable[[int], None]


class Outcome(Struct, frozen=True):
    """Outcome of a streamed response, sent with its last event."""

    code: int
    run: str
    upstream: str
    attempts: int


async def write_response(
    http: web.Request,
    caller_request: CallerRequest,
    reply: Inbox[ReplyPart],
    report_frames: ReportFrames,
) -> web.StreamResponse:
    """Write the reply to the caller; stream its parts as they arrive if the caller asked for it."""
    report_batched = batch_reports(report_frames)
    if caller_request.stream:
        return await _write_stream(http, caller_request, reply, report_batched)
    tokens: list[str] = []
    while True:
        for part in await reply.drain():
            if isinstance(part, ReplyEnd):
                return _complete_response(caller_request, tokens, part)
            tokens.extend(part.tokens)
            report_batched(1)


def batch_reports(report_frames: ReportFrames) -> ReportFrames:
    """Return a function that accumulates frame counts and reports them in batches."""
    unreported = 0

    def report_batched(frames: int) -> None:
        nonlocal unreported
        unreported += frames
        if unreported >= CREDIT_BATCH_FRAMES:
            report_frames(unreported)
            unreported = 0

    return report_batched


def refusal(code: ResultCode, detail: str, request: str, retry_s: float = 0.0) -> web.Response:
    """Return the error response for a result code; `retry_s` above 0 sets Retry-After."""
    headers = problems.result_headers(code, request) | problems.retry_after(retry_s)
    return web.Response(
        status=http_status(code),
        body=msgspec.json.encode(problems.problem(code, detail, request)),
        content_type=problems.PROBLEM_TYPE,
        headers=headers,
    )


async def _write_stream(
    http: web.Request,
    caller_request: CallerRequest,
    reply: Inbox[ReplyPart],
    report_batched: ReportFrames,
) -> web.StreamResponse:
    # The status line is sent after the first part, so that an earlier failure sets the status.
    parts = await reply.drain()
    first = parts[0]
    if isinstance(first, ReplyEnd) and first.code is not ResultCode.OK:
        return _complete_response(caller_request, [], first)
    response = web.StreamResponse(headers=_stream_headers(caller_request))
    await response.prepare(http)
    prefix = sse.token_event_prefix(caller_request.request, caller_request.model)
    while not isinstance(last := parts[-1], ReplyEnd):
        await response.write(_token_events(prefix, parts))
        report_batched(len(parts))
        parts = await reply.drain()
    await response.write(_token_events(prefix, parts) + _stream_end(caller_request, last))
    await response.write_eof()
    return response


def _token_events(prefix: bytes, parts: list[ReplyPart]) -> bytes:
    return b"".join(
        sse.token_event(prefix, token)
        for part in parts
        if isinstance(part, ReplyTokens)
        for token in part.tokens
    )


def _stream_end(caller_request: CallerRequest, end: ReplyEnd) -> bytes:
    if end.code is not ResultCode.OK:
        return sse.error_event(problems.problem(end.code, end.detail, caller_request.request))
    outcome = Outcome(int(end.code), run_state(end.code).value, end.upstream, end.attempts)
    return sse.final_events(caller_request.request, end.finish_reason, outcome)


def _stream_headers(caller_request: CallerRequest) -> dict[str, str]:
    headers = problems.result_headers(ResultCode.OK, caller_request.request)
    return headers | {"Content-Type": EVENT_STREAM, "Cache-Control": "no-store"}


def _complete_response(
    caller_request: CallerRequest, tokens: list[str], end: ReplyEnd
) -> web.Response:
    # Codes from BAD_JSON on are failures; a body is the upstream's own error response.
    if end.code >= ResultCode.BAD_JSON and not end.body:
        return refusal(end.code, end.detail, caller_request.request, end.retry_after_s)
    headers = problems.result_headers(end.code, caller_request.request)
    headers[problems.UPSTREAM_HEADER] = end.upstream
    if end.body or not caller_request.model:
        headers["Content-Type"] = end.content_type or JSON
        return web.Response(status=end.status, body=end.body, headers=headers)
    headers["Content-Type"] = JSON
    return web.Response(body=_completion(caller_request, tokens, end), headers=headers)


def _completion(caller_request: CallerRequest, tokens: list[str], end: ReplyEnd) -> bytes:
    message = {"role": "assistant", "content": "".join(tokens)}
    choice = {"index": 0, "message": message, "finish_reason": end.finish_reason}
    return msgspec.json.encode(
        {
            "id": caller_request.request,
            "object": "chat.completion",
            "model": caller_request.model,
            "choices": [choice],
            "usage": {"completion_tokens": len(tokens)},
        }
    )
