"""End the requests of an entry before its process exits, and start only those that fit before."""

import asyncio

from lycheefall._relay.exchange_state import Exchange, PlannedStop, Relay
from lycheefall._rules import planned_stop
from lycheefall._rules.dispatch_messages import StopBegan


async def begin(relay: Relay, ends_s: float) -> None:
    """Have the requests in progress, and those that follow, end at a time."""
    relay.stop = PlannedStop(relay.now(), ends_s)
    for timeout in relay.timeouts:
        when_s = timeout.when()
        if not timeout.expired() and when_s is not None:
            timeout.reschedule(min(when_s, ends_s))
    await relay.dispatch.put(StopBegan(ends_s))


def limit(relay: Relay, deadline_s: float) -> asyncio.Timeout:
    """Return the timeout of a request, which ends earlier if the entry stops before."""
    return asyncio.timeout_at(
        deadline_s if relay.stop is None else min(deadline_s, relay.stop.ends_s)
    )


def may_send(relay: Relay, exchange: Exchange) -> bool:
    """Return whether an attempt that was placed, maybe before the stop, may still be sent."""
    if relay.stop is None or exchange.has_stream_begun:
        return True
    return planned_stop.may_start(exchange.deadline_s, relay.stop.ends_s)
