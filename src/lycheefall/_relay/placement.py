"""Ask the dispatcher for an upstream, and return what it assigns if it is not used."""

import asyncio

from lycheefall._relay.exchange_state import Exchange, Relay
from lycheefall._relay.messages import RequestPlacement
from lycheefall._rules.dispatch_messages import (
    AttemptEnded,
    DispatchRequest,
    Outcome,
    Place,
    Refuse,
    Withdraw,
)


async def request_placement(
    relay: Relay, exchange: Exchange, deadline_s: float, stalled_s: float = 0.0
) -> Place | Refuse:
    """Return the upstream that the dispatcher assigns, or its refusal; the request may queue.

    A stalled attempt that the placement would replace goes on meanwhile.
    """
    placement: asyncio.Future[Place | Refuse] = asyncio.get_running_loop().create_future()
    # A stalled stream asks for another upstream within an attempt, which remains revocable.
    if exchange.revoked is None or exchange.revoked.done():
        exchange.revoked = asyncio.get_running_loop().create_future()
    # A stream that has begun counts as newly arrived: its caller is waiting mid-response.
    arrived_s = relay.now() if exchange.has_stream_begun else exchange.request.received_s
    is_late = exchange.is_caller_retry and not exchange.has_stream_begun
    request = DispatchRequest(
        number=exchange.number,
        pool=exchange.identified.pool,
        kind=exchange.identified.route.kind,
        urgency=exchange.identified.urgency,
        team=exchange.identified.team,
        arrived_s=arrived_s,
        target_s=arrived_s + (0.0 if is_late else exchange.identified.route.target_s),
        deadline_s=deadline_s,
        tried=tuple(each.upstream for each in exchange.tried),
        is_retry=exchange.attempts_sent > 0,
        stalled_s=stalled_s,
        has_response_begun=exchange.has_stream_begun,
        prompt_parts=exchange.prompt_parts,
    )
    await relay.dispatch.put(RequestPlacement(request, placement, exchange.revoked))
    try:
        return await placement
    except asyncio.CancelledError:
        if placement.done() and not placement.cancelled():
            # The decision came in the same iteration of the event loop.
            release(relay, placement.result())
        else:
            relay.dispatch.add(Withdraw(exchange.number))
        raise


def release(relay: Relay, placement: Place | Refuse) -> None:
    """Return the slot of a placement that is not used."""
    if isinstance(placement, Place):
        record = placement.record
        relay.dispatch.add(AttemptEnded(record.pool, record.upstream, Outcome.CANCELLED))
