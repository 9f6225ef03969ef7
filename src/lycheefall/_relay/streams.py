"""Forward the events of a stream as they arrive, and resume a stalled one at another upstream."""

import asyncio
from collections.abc import Awaitable, Callable

from lycheefall._core.events import Event
from lycheefall._core.log import log
from lycheefall._core.relay import UpstreamRecord
from lycheefall._relay import connection_pool, headers, stopping
from lycheefall._relay.exchange_log import record_first_byte, record_pause
from lycheefall._relay.exchange_state import Exchange, NextStep, Relay, ReportEnd
from lycheefall._relay.messages import PromptGenerated
from lycheefall._rules import byte_budget, event_stream
from lycheefall._rules.byte_budget import Holding
from lycheefall._rules.dispatch_messages import AttemptEnded, Outcome, Place, Refuse
from lycheefall._wire.http_server import finish_response, send_data, start_response
from lycheefall._wire.http_upstream import (
    ExchangeError,
    FailureCause,
    ResponseHead,
    UpstreamConnection,
    discard,
    read_data,
)
from lycheefall._wire.sse import MAX_EVENT_BYTES

# A stream without an event for this long is resumed at another upstream if one is available.
# Callers give up after 2 s, and a new run needs a few hundred milliseconds to its first event.
STREAM_STALL_S = 0.8
# Maximum time that a stalled stream is queued for another upstream.
RESUME_WAIT_S = 0.4
# An upstream that crashes on a prompt does so before it delivers events twice.
GENERATED_DELIVERIES = 2

# Takes the deadline of the placement, in seconds, as its last argument.
PlacementRequester = Callable[[Relay, Exchange, float], Awaitable[Place | Refuse]]


async def forward_stream(
    relay: Relay,
    exchange: Exchange,
    record: UpstreamRecord,
    connection: UpstreamConnection,
    head: ResponseHead,
    report_end: ReportEnd,
    request_placement: PlacementRequester,
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
    may_resume = True
    # Only whole events count as progress: a faulty upstream may send a byte now and then.
    stalled_at_s = relay.now() + STREAM_STALL_S
    while True:
        try:
            async with asyncio.timeout_at(stalled_at_s if may_resume else None):
                data = await read_data(connection)
        except TimeoutError:
            place = None
            if exchange.may_repeat and stopping.may_send(relay, exchange):
                place = await _request_other_upstream(relay, exchange, request_placement)
            if place is None:
                may_resume = False
                continue
            discard(connection)
            report_end(Outcome.TIMED_OUT, "the stream stalled")
            return place
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
            stalled_at_s = relay.now() + STREAM_STALL_S
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


async def _request_other_upstream(
    relay: Relay, exchange: Exchange, request_placement: PlacementRequester
) -> Place | None:
    """Return another upstream for a stalled stream, or None if none is available in time."""
    placement = await request_placement(
        relay, exchange, min(exchange.deadline_s, relay.now() + RESUME_WAIT_S)
    )
    if isinstance(placement, Refuse):
        return None
    if not stopping.may_send(relay, exchange):
        # The signal came while the request was queued.
        record = placement.record
        relay.dispatch.offer(AttemptEnded(record.pool, record.upstream, Outcome.CANCELLED))
        return None
    log(
        Event.STREAM_RESUMED,
        request=exchange.attempt_id.decode("latin-1"),
        upstream=placement.record.upstream,
        after_event=exchange.events.last_id,
    )
    return placement


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
    await send_data(exchange.caller, events)
