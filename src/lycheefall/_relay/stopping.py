"""End the requests of an entry before its process exits, and start only those that fit before."""

import asyncio

from lycheefall._relay.exchange_state import Exchange, PlannedStop, Relay
from lycheefall._relay.refusals import RETRY_AFTER_STOP_S
from lycheefall._rules import service_times
from lycheefall._rules.dispatch_messages import RefusalReason, Refuse


def begin(relay: Relay, ends_s: float) -> None:
    """Have the requests in progress, and those that follow, end at a time."""
    relay.stop = PlannedStop(relay.now(), ends_s)
    for timeout in relay.timeouts:
        if not timeout.expired():
            timeout.reschedule(_earlier(timeout.when(), ends_s))


def limit(relay: Relay, deadline_s: float) -> asyncio.Timeout:
    """Return the timeout of a request, which ends earlier if the entry stops before."""
    return asyncio.timeout_at(
        deadline_s if relay.stop is None else _earlier(relay.stop.ends_s, deadline_s)
    )


def refusal(relay: Relay, exchange: Exchange) -> Refuse | None:
    """Return the refusal of an attempt that would not end before the entry stops, or None."""
    if relay.stop is None or exchange.has_stream_begun:
        return None
    fits = service_times.fits(
        service_times.expected_s(relay.service_times, exchange.identified.route.name),
        relay.stop.ends_s - relay.now(),
        exchange.deadline_s - relay.now(),
        is_repeatable=exchange.is_repeatable,
    )
    if fits:
        return None
    return Refuse(exchange.number, RefusalReason.STOPPING, RETRY_AFTER_STOP_S, 0)


def _earlier(time_s: float | None, other_s: float) -> float:
    return other_s if time_s is None else min(time_s, other_s)
