"""Give up a running attempt only for another one that may begin and is likely to be sooner."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from msgspec import Struct

from lycheefall._core.events import Event
from lycheefall._core.log import log
from lycheefall._relay import stopping
from lycheefall._relay.exchange_state import Exchange, Relay
from lycheefall._relay.placement import release, request_placement
from lycheefall._rules.dispatch_messages import Place

# Maximum time that the replacement of an attempt is queued for another upstream.
REPLACEMENT_WAIT_S = 0.4

T = TypeVar("T")


class Stall(Struct, eq=False):
    """Since when an attempt has made no progress, and when a replacement is considered next."""

    since_s: float
    check_s: float


async def progress_or_place(
    relay: Relay, exchange: Exchange, stall: Stall, progress: Coroutine[Any, Any, T]
) -> T | Place:
    """Return the next result of the attempt, or the upstream of the attempt that replaces it.

    The attempt goes on while an upstream is looked for, and if there is none.
    """
    running = asyncio.ensure_future(progress)
    try:
        while True:
            await asyncio.wait((running,), timeout=max(0.0, stall.check_s - relay.now()))
            if running.done():
                return running.result()
            stalled_s = relay.now() - stall.since_s
            # Each further check follows after twice the time, as the reasons seldom change soon.
            stall.check_s = relay.now() + stalled_s
            if not stopping.may_send(relay, exchange):
                continue
            place = await _place_while_running(relay, exchange, running, stalled_s)
            if place is not None:
                return place
    finally:
        await _cancel(running)


async def _place_while_running(
    relay: Relay, exchange: Exchange, running: asyncio.Future[Any], stalled_s: float
) -> Place | None:
    """Return another upstream, or None if the attempt progresses before or none is found."""
    deadline_s = min(exchange.deadline_s, relay.now() + REPLACEMENT_WAIT_S)
    placing = asyncio.ensure_future(request_placement(relay, exchange, deadline_s, stalled_s))
    is_used = False
    try:
        await asyncio.wait((running, placing), return_when=asyncio.FIRST_COMPLETED)
        # The signal to stop may have come while the request was queued.
        if running.done() or not stopping.may_send(relay, exchange):
            return None
        is_used = True
        placement = placing.result()
    finally:
        await _cancel(placing)
        if not is_used and not placing.cancelled():
            release(relay, placing.result())
    if isinstance(placement, Place):
        return placement
    log(
        Event.ATTEMPT_CONTINUED,
        request=exchange.attempt_id.decode("latin-1"),
        upstream=exchange.tried[-1].upstream,
        reason=placement.reason.value,
        stalled_s=round(stalled_s, 3),
        left_s=round(exchange.deadline_s - relay.now(), 3),
    )
    return None


async def _cancel(task: asyncio.Future[Any]) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
