"""Forward the events of a stream as they arrive, and resume a stalled one at another upstream."""

import asyncio

from lycheefall._core.events import Event
from lycheefall._core.log import log
from lycheefall._core.relay import UpstreamRecord
from lycheefall._relay import connection_pool, headers
from lycheefall._relay.exchange_log import record_first_byte, record_pause
from lycheefall._relay.exchange_state import Exchange, NextStep, Relay, ReportEnd
from lycheefall._relay.messages import PromptGenerated
from lycheefall._relay.replacement import Stall, progress_or_place
from lycheefall._rules import byte_budget, event_stream
from lycheefall._rules.byte_budget import Holding
from lycheefall._rules.dispatch_messages import Outcome, Place
from lycheefall._wire.http_server import finish_response, send_data, start_response
from lycheefall._wire.http_upstream import (
    ExchangeError,
    FailureCause,
    ResponseHead,
    UpstreamConnection,
    discard,
    read_data,
)
from lycheefall._wire.slow_peers import watch
from lycheefall._wire.sse import MAX_EVENT_BYTES

# A stream without an event for this long is resumed at another upstream if one is available.
# Callers give up after 2 s, and a new run needs a few hundred milliseconds to its first event.
STREAM_STALL_S = 0.8
# An upstream that crashes on a prompt does so before it delivers events twice.
GENERATED_DELIVERIES = 2


async def forward_stream(
    relay: Relay,
    exchange: Exchange,
    record: UpstreamRecord,
    connection: UpstreamConnection,
    head: ResponseHead,
    report_end: ReportEnd,
) -> NextStep | Place:
    """Forward complete events; return another placement if the stream must be resumed.

    Raises ExchangeError if the connection ends within an event, an event is too large, or the
    response does not go on with the stream of an earlier one.
    """
    media_type = headers.media_type(head)
    if exchange.has_stream_begun and media_type != exchange.stream_media_type:
        raise ExchangeError(FailureCause.BROKEN, f"{media_type!r} does not continue the stream")
    exchange.stream_media_type = media_type
    event_stream.discard_partial(exchange.events)
    holding = exchange.holding
    assert holding is not None
    # Only whole events count as progress: a faulty upstream may send a byte now and then.
    stall = Stall(relay.now(), relay.now() + STREAM_STALL_S)
    while True:
        data = await _next_data(relay, exchange, connection, stall)
        if isinstance(data, Place):
            discard(connection)
            report_end(Outcome.TIMED_OUT, "the stream stalled, and another upstream is sooner")
            _log_resumed(exchange, data)
            return data
        if data is None:
            break
        events = event_stream.feed(exchange.events, data)
        partial_bytes = len(exchange.events.partial)
        if partial_bytes > MAX_EVENT_BYTES:
            raise ExchangeError(FailureCause.TOO_LARGE, f"an event exceeds {MAX_EVENT_BYTES} bytes")
        byte_budget.resize(relay.response_bytes, holding, len(events) + partial_bytes)
        check_not_ended(holding)
        if events:
            await _send_events(relay, exchange, head, events)
            byte_budget.resize(relay.response_bytes, holding, partial_bytes)
            stall = Stall(relay.now(), relay.now() + STREAM_STALL_S)
    check_not_ended(holding)
    if exchange.events.partial:
        raise ExchangeError(FailureCause.BROKEN, "the stream ended within an event")
    connection_pool.put_back(relay.connections, record, connection, relay.now())
    report_end(Outcome.ANSWERED, "")
    if exchange.prompt_parts and exchange.attempt_deliveries < GENERATED_DELIVERIES:
        relay.dispatch.offer(PromptGenerated(exchange.number, exchange.prompt_parts))
    await _send_events(relay, exchange, head, b"")
    await finish_response(exchange.caller)
    exchange.status = head.status
    return NextStep.DONE


def check_not_ended(holding: Holding) -> None:
    """Raise ExchangeError if a response was ended for its size; its end may look regular."""
    if holding.is_ended:
        raise ExchangeError(FailureCause.TOO_LARGE, "the response was ended for its size")


async def _next_data(
    relay: Relay, exchange: Exchange, connection: UpstreamConnection, stall: Stall
) -> bytes | Place | None:
    """Return the next part of the stream, None at its end, or the upstream that continues it."""
    if not exchange.may_repeat:
        return await read_data(connection)
    # A task for each part would cost more than the part.
    try:
        async with asyncio.timeout_at(stall.check_s):
            return await read_data(connection)
    except TimeoutError:
        return await progress_or_place(relay, exchange, stall, read_data(connection))


def _log_resumed(exchange: Exchange, placement: Place) -> None:
    log(
        Event.STREAM_RESUMED,
        request=exchange.attempt_id.decode("latin-1"),
        upstream=placement.record.upstream,
        after_event=exchange.events.last_id,
    )


async def _send_events(relay: Relay, exchange: Exchange, head: ResponseHead, events: bytes) -> None:
    """Send events to the caller, and the response headers before the first ones."""
    if not exchange.has_stream_begun:
        exchange.has_stream_begun = True
        exchange.status = head.status
        record_first_byte(exchange)
        await start_response(
            exchange.caller, head.status, head.reason, headers.stream_headers(head)
        )
    elif events:
        record_pause(relay, exchange)
    if events:
        exchange.attempt_deliveries += 1
        exchange.is_revocable = False
        if exchange.attempt_deliveries == GENERATED_DELIVERIES and exchange.prompt_parts:
            relay.dispatch.offer(PromptGenerated(exchange.number, exchange.prompt_parts))
    exchange.sent_bytes += len(events)
    watch(relay.watched, exchange.caller.writer.transport, exchange.sent_bytes)
    await send_data(exchange.caller, events)
