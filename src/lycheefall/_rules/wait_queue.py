"""The order in which requests wait for a place of a pool, and when waiting is in vain."""

from lycheefall._rules import decaying_counts
from lycheefall._rules.dispatch_messages import DispatchRequest
from lycheefall._rules.pool_state import RATE_S, PoolState

# A rank may fall behind the one before it by this part of what it asks for: a more urgent rank
# goes first, and a less urgent one is never left without places.
RANK_STEP = 0.2
# Longest wait of a request that will be late, and longest part of its time. Callers that are
# refused soon can come back; one that waits in vain for long is lost.
MAX_LATE_WAIT_S = 1.0
_MAX_WAIT_RATIO = 0.35
# Time for which a request keeps its place, until the rate of places is measured.
_DEFAULT_SERVICE_S = 2.0
# Delay from place to first byte before any was measured.
_DEFAULT_DELAY_S = 0.1


def ordered(pool: PoolState, now_s: float) -> list[DispatchRequest]:
    """Return who waits, the next one first."""
    requested = sorted(decaying_counts.values(pool.recent_requests, now_s).items())
    served = {
        urgency: decaying_counts.value(pool.recent_placements, urgency, now_s) / count
        + RANK_STEP * step
        for step, (urgency, count) in enumerate(requested)
    }

    def order(message: DispatchRequest) -> tuple[bool, float, int, float]:
        in_service = pool.in_service.get(message.team, 0)
        share = served.get(message.urgency, 0.0)
        return is_late(pool, message, now_s), share, in_service, message.arrived_s

    return sorted(pool.waiting, key=order)


def is_late(pool: PoolState, message: DispatchRequest, now_s: float) -> bool:
    """Tell whether an answer that began as soon as possible would miss the target."""
    return now_s + (pool.upstreams.delay_s or _DEFAULT_DELAY_S) > message.target_s


def unservable(pool: PoolState, now_s: float) -> list[DispatchRequest]:
    """Return who gets no place soon enough, judged by the places given lately.

    A request that has become late stands behind all that are not, so this is judged again and
    again. Who leaves makes room for those behind.
    """
    period_s = 1.0 / places_per_s(pool, now_s)
    overdue: list[DispatchRequest] = []
    start_s = now_s
    for message in ordered(pool, now_s):
        if start_s + period_s > latest_start_s(pool, message, now_s):
            overdue.append(message)
        else:
            start_s += period_s
    return overdue


def places_per_s(pool: PoolState, now_s: float) -> float:
    """Return how many places become free here: as measured, or as the slots let expect."""
    slots = sum(
        stats.record.slots for stats in pool.upstreams.by_id.values() if stats.owner_distance == 0
    )
    return max(
        1.0,
        slots / _DEFAULT_SERVICE_S,
        decaying_counts.value(pool.placement_rate, None, now_s) / RATE_S,
    )


def latest_start_s(pool: PoolState, message: DispatchRequest, now_s: float) -> float:
    """Return until when a request may get a place: in time, or soon after it came."""
    longest_s = (message.deadline_s - message.arrived_s) * _MAX_WAIT_RATIO
    in_time_s = message.target_s - (pool.upstreams.delay_s or _DEFAULT_DELAY_S)
    return max(in_time_s, message.arrived_s + min(longest_s, MAX_LATE_WAIT_S))
