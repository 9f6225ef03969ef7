"""Pass the events of a stream on as they come, and continue a broken run elsewhere."""

import asyncio
from collections.abc import Awaitable, Callable

from lycheefall._core.events import Event
from lycheefall._core.log import log
from lycheefall._core.relay import UpstreamRecord
from lycheefall._relay import connections, headers
from lycheefall._relay.exchange_log import measure, measure_pause
from lycheefall._relay.exchange_state import End, Exchange, Next, Relay
from lycheefall._rules import event_stream
from lycheefall._rules.dispatch_messages import Outcome, Place, Refuse
from lycheefall._wire.http_server import finish_response, send_data, start_response
from lycheefall._wire.http_upstream import (
    ExchangeError,
    FailureCause,
    ResponseHead,
    UpstreamConnection,
    discard,
    read_data,
)

# A stream that pauses this long is taken over by another upstream where one has a place. Callers
# give up after 2 s, and a new run needs some hundred milliseconds until its first event.
STREAM_SILENCE_S = 0.8
# A stream in the middle waits this long at most for a place elsewhere.
RESUME_WAIT_S = 0.4

Seek = Callable[[Relay, Exchange, float], Awaitable[Place | Refuse]]


async def pass_stream(
    relay: Relay,
    exchange: Exchange,
    record: UpstreamRecord,
    connection: UpstreamConnection,
    head: ResponseHead,
    ended: End,
    seek: Seek,
) -> Next | Place:
    """Pass whole events on; return a place where the run has to go on elsewhere."""
    event_stream.discard_partial(exchange.events)
    may_move = True
    while True:
        try:
            async with asyncio.timeout(STREAM_SILENCE_S):
                data = await read_data(connection)
        except TimeoutError:
            if not may_move or not exchange.may_repeat:
                continue
            moved = await _place_elsewhere(relay, exchange, seek)
            if moved is None:
                may_move = False
                continue
            discard(connection)
            ended(Outcome.TIMED_OUT, "the stream paused")
            return moved
        if data is None:
            break
        events = event_stream.feed(exchange.events, data)
        if events:
            await _send_events(relay, exchange, head, events)
    if exchange.events.partial:
        raise ExchangeError(FailureCause.BROKEN, "the stream ended within an event")
    connections.give_back(relay.connections, record, connection, relay.now())
    ended(Outcome.ANSWERED, "")
    await _send_events(relay, exchange, head, b"")
    await finish_response(exchange.caller)
    exchange.status = head.status
    return Next.DONE


async def _place_elsewhere(relay: Relay, exchange: Exchange, seek: Seek) -> Place | None:
    """Return a place at another upstream for a stream that pauses, if there is one soon."""
    found = await seek(relay, exchange, min(exchange.limit_s, relay.now() + RESUME_WAIT_S))
    if isinstance(found, Refuse):
        return None
    log(
        Event.STREAM_RESUMED,
        request=exchange.attempt_id.decode("latin-1"),
        upstream=found.record.upstream,
        after_event=exchange.events.last_id,
    )
    return found


async def _send_events(relay: Relay, exchange: Exchange, head: ResponseHead, events: bytes) -> None:
    if not exchange.has_begun:
        exchange.has_begun = True
        exchange.status = head.status
        measure(exchange)
        await start_response(
            exchange.caller, head.status, head.reason, headers.to_caller_of_stream(head)
        )
    elif events:
        measure_pause(relay, exchange)
    await send_data(exchange.caller, events)
