"""Fake model engine with continuous batching, which streams tokens as server-sent events."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from itertools import count
from random import Random

import defopt
import msgspec
import uvloop
from aiohttp import web
from msgspec import Struct

from lycheefall._core.ids import Address
from lycheefall._core.pipeline import Inbox, tick
from lycheefall._fakes.batch import (
    BatchInput,
    BatchState,
    Cancel,
    Ending,
    EngineParameters,
    ReadCacheEvents,
    ReadLoad,
    ReadStatistics,
    SampleLoad,
    Submit,
    Token,
    begin_step,
    end_step,
    handle_message,
    is_idle,
)
from lycheefall._fakes.cache import PrefixCache
from lycheefall._fakes.chat import (
    ChatRequest,
    build_completion,
    build_prompt,
    encode_chunk,
    encode_last_chunk,
)
from lycheefall._fakes.serving import (
    Fault,
    Handler,
    OnReady,
    UpstreamCrashed,
    fault_handler,
    ignore_address,
    json_response,
    print_ready,
    request_recorder,
    serve_until_done,
)
from lycheefall._fakes.tokens import expected_tokens

__all__ = ["EngineSettings", "UpstreamCrashed", "expected_tokens", "run_engine"]

_INBOX_CAPACITY = 100_000
_MAX_BODY_BYTES = 64 * 1024 * 1024


class EngineSettings(Struct, frozen=True, kw_only=True):
    """Settings of a fake engine."""

    listen: Address
    max_running: int = 16
    base_step_s: float = 0.010
    sequence_step_s: float = 0.0005
    prefill_token_s: float = 0.00005
    prefill_step_tokens: int = 2048
    cache_blocks: int = 512
    load_period_s: float = 0.1
    load_lag_s: float = 0.25
    cache_event_lag_s: float = 0.5
    cache_event_loss_ratio: float = 0.02
    slow_ratio: float = 10.0
    fault: Fault = Fault.NONE
    # A prompt that contains this text crashes the engine; empty to disable.
    crash_marker: str = ""
    # Prompts are appended to this file on arrival; empty to disable.
    requests_file: str = ""
    seed: int = 1


async def run_engine(settings: EngineSettings, on_ready: OnReady = ignore_address) -> None:
    """Run an engine until cancelled; raise UpstreamCrashed on a prompt with the crash marker."""
    inbox: Inbox[BatchInput] = Inbox(_INBOX_CAPACITY)
    batch_task = asyncio.create_task(_run_batch(inbox, _initial_state(settings)))
    load_sampler = asyncio.create_task(tick(inbox, SampleLoad(), settings.load_period_s))
    application = _application(inbox, request_recorder(settings.requests_file))
    try:
        await serve_until_done(application, settings.listen, on_ready, batch_task)
    finally:
        load_sampler.cancel()


def _initial_state(settings: EngineSettings) -> BatchState:
    parameter_names = EngineParameters.__struct_fields__
    parameters = EngineParameters(**{name: getattr(settings, name) for name in parameter_names})
    cache = PrefixCache(
        capacity_blocks=settings.cache_blocks,
        event_loss_ratio=settings.cache_event_loss_ratio,
        random=Random(settings.seed),
    )
    return BatchState(parameters=parameters, cache=cache, fault=settings.fault)


async def _run_batch(inbox: Inbox[BatchInput], state: BatchState) -> None:
    loop = asyncio.get_running_loop()
    while True:
        if is_idle(state) or len(inbox):
            for message in await inbox.drain():
                state = handle_message(state, message, loop.time())
            continue
        state, step_s = begin_step(state, loop.time())
        if state.has_crashed:
            raise UpstreamCrashed("crashed on a prompt with the crash marker")
        state = await _handle_messages_during(inbox, state, step_s)
        state, deliveries = end_step(state)
        for each in deliveries:
            each.reply(each.content)


async def _handle_messages_during(
    inbox: Inbox[BatchInput], state: BatchState, step_s: float
) -> BatchState:
    # Messages are handled while a step runs, so that load reports are not delayed by a slow step.
    loop = asyncio.get_running_loop()
    end_s = loop.time() + step_s
    while True:
        try:
            async with asyncio.timeout_at(end_s):
                messages = await inbox.drain()
        except TimeoutError:
            return state
        for message in messages:
            state = handle_message(state, message, loop.time())


def _application(
    inbox: Inbox[BatchInput], record_request: Callable[[str], None]
) -> web.Application:
    app = web.Application(client_max_size=_MAX_BODY_BYTES)
    app.router.add_post("/v1/chat/completions", _chat_handler(inbox, record_request))
    app.router.add_get("/load", _query_handler(inbox, ReadLoad))
    app.router.add_get("/cache-events", _cache_events_handler(inbox))
    app.router.add_get("/statistics", _query_handler(inbox, ReadStatistics))
    app.router.add_post("/fault", fault_handler(inbox.put))
    return app


def _chat_handler(inbox: Inbox[BatchInput], record_request: Callable[[str], None]) -> Handler:
    generation_numbers = count(1)

    async def handle(request: web.Request) -> web.StreamResponse:
        try:
            chat = msgspec.json.decode(await request.read(), type=ChatRequest)
        except msgspec.DecodeError as error:
            return json_response({"error": str(error)}, 400)
        record_request(build_prompt(chat.messages))
        async with _submitted_generation(inbox, next(generation_numbers), chat) as replies:
            if chat.stream:
                return await _stream_response(request, chat, replies)
            return await _complete_response(chat, replies)

    return handle


@asynccontextmanager
async def _submitted_generation(
    inbox: Inbox[BatchInput], number: int, chat: ChatRequest
) -> AsyncIterator[Inbox[object]]:
    replies: Inbox[object] = Inbox(chat.max_tokens + 1)
    submit = Submit(
        number,
        build_prompt(chat.messages),
        chat.priority,
        chat.max_tokens,
        chat.resume_tokens,
        replies.offer,
    )
    await inbox.put(submit)
    try:
        yield replies
    finally:
        # Has no effect once the generation has finished.
        inbox.offer(Cancel(number))


async def _stream_response(
    request: web.Request, chat: ChatRequest, replies: Inbox[object]
) -> web.StreamResponse:
    first = await replies.get()
    if first is Ending.ERROR:
        return json_response({"error": "engine failed"}, 500)
    response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
    await response.prepare(request)
    reply = first
    while isinstance(reply, Token):
        await response.write(encode_chunk(chat.model, reply.text))
        reply = await replies.get()
    await response.write(encode_last_chunk(chat.model))
    await response.write_eof()
    return response


async def _complete_response(chat: ChatRequest, replies: Inbox[object]) -> web.Response:
    texts: list[str] = []
    reply = await replies.get()
    while isinstance(reply, Token):
        texts.append(reply.text)
        reply = await replies.get()
    if reply is Ending.ERROR:
        return json_response({"error": "engine failed"}, 500)
    return json_response(build_completion(chat.model, texts))


def _query_handler(
    inbox: Inbox[BatchInput], make_query: Callable[[Callable[[object], object]], BatchInput]
) -> Handler:
    async def handle(request: web.Request) -> web.Response:
        replies: Inbox[object] = Inbox(1)
        await inbox.put(make_query(replies.offer))
        return json_response(await replies.get())

    return handle


def _cache_events_handler(inbox: Inbox[BatchInput]) -> Handler:
    async def handle(request: web.Request) -> web.Response:
        after = request.query.get("after", "0")
        if not after.isdecimal():
            return json_response(
                {"error": f"query parameter after is {after!r}, not a number"}, 400
            )
        replies: Inbox[object] = Inbox(1)
        await inbox.put(ReadCacheEvents(int(after), replies.offer))
        return json_response(await replies.get())

    return handle


def main() -> None:
    """Run an engine with settings from the command line."""
    settings = defopt.run(EngineSettings, parsers={Address: Address})
    uvloop.run(run_engine(settings, print_ready))


if __name__ == "__main__":
    main()
