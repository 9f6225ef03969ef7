"""Order the queued requests of a pool, and find those that can't be served in time."""

from lycheefall._rules import decaying_counts
from lycheefall._rules.dispatch_messages import DispatchRequest
from lycheefall._rules.placing import batch_limit, rate_limits
from lycheefall._rules.pool_state import RATE_TIME_CONSTANT_S, PoolState, opens_s, pauses_of

# Accepted difference between the served fractions of two successive urgency ranks: urgent ranks go
# first, but a less urgent rank goes first once its served fraction is lower by more than this.
SERVED_RATIO_STEP = 0.2
# Longest queueing time of a request that will be late, in seconds and as a fraction of its
# time limit. A caller that is refused early can retry; one that is refused late gives up.
MAX_LATE_WAIT_S = 1.0
_MAX_WAIT_RATIO = 0.35
# Assumed service time until the placement rate is measured.
_DEFAULT_SERVICE_S = 2.0
# Assumed delay from placement to first byte until one is measured.
_DEFAULT_DELAY_S = 0.1


def ordered(pool: PoolState, now_s: float) -> list[DispatchRequest]:
    """Return the queued requests in the order in which they are placed.

    Requests that can be in time come first, then those of the urgency rank of which the smallest
    fraction was served, then those of the team with the fewest placed requests, then the oldest.
    """
    requested = sorted(decaying_counts.values(pool.recent_requests, now_s).items())
    served_ratios = {
        urgency: decaying_counts.value(pool.recent_placements, urgency, now_s) / count
        + SERVED_RATIO_STEP * position
        for position, (urgency, count) in enumerate(requested)
    }

    def sort_key(message: DispatchRequest) -> tuple[bool, float, int, float]:
        in_service = pool.in_service.get(message.team, 0)
        served_ratio = served_ratios.get(message.urgency, 0.0)
        return is_late(pool, message, now_s), served_ratio, in_service, message.arrived_s

    return sorted(pool.waiting, key=sort_key)


def is_late(pool: PoolState, message: DispatchRequest, now_s: float) -> bool:
    """Return whether a request misses its target even if it is placed now."""
    return now_s + (pool.upstreams.delay_s or _DEFAULT_DELAY_S) > message.target_s


def unservable(pool: PoolState, now_s: float) -> list[DispatchRequest]:
    """Return the requests that won't be placed in time at the recent placement rate.

    A request that becomes late moves behind all requests that are not late, so the result changes
    with time. A request that is refused takes no slot, so those behind it start earlier. While all
    upstreams are closed, none starts before the first of them opens.
    """
    interval_s = 1.0 / placements_per_s(pool, now_s)
    overdue: list[DispatchRequest] = []
    start_s = max(now_s, opens_s(pool, now_s) - interval_s)
    for message in ordered(pool, now_s):
        if start_s + interval_s > latest_start_s(pool, message, now_s):
            overdue.append(message)
        else:
            start_s += interval_s
    return overdue


def placements_per_s(pool: PoolState, now_s: float) -> float:
    """Return the placement rate of this entry: the measured rate or that of its usable slots.

    The higher of the two is used, so that a start or an idle period causes no refusals. Upstreams
    that limit the rate of their requests count with that rate, and cold ones with no more than it.
    """
    usable_per_s = 0.0
    for stats in pool.upstreams.by_id.values():
        limit_per_s = rate_limits.rate_of(pool.rate_limits, stats.record, stats.sharers)
        if limit_per_s is not None:
            usable_per_s += limit_per_s
        elif stats.owner_distance == 0:
            slots = batch_limit.usable_slots(pauses_of(pool, stats).batch, stats.record.slots)
            slots_per_s = slots / _DEFAULT_SERVICE_S
            cold_per_s = rate_limits.cold_rate_of(
                pool.rate_limits, stats.record, stats.sharers, now_s
            )
            usable_per_s += slots_per_s if cold_per_s is None else min(slots_per_s, cold_per_s)
    return max(
        1.0,
        usable_per_s,
        decaying_counts.value(pool.placement_rate, None, now_s) / RATE_TIME_CONSTANT_S,
    )


def latest_start_s(pool: PoolState, message: DispatchRequest, now_s: float) -> float:
    """Return the latest time at which a request may be placed.

    This is the time at which it can still be in time, or that of the longest wait of a late request
    if that is later.
    """
    max_wait_s = (message.deadline_s - message.arrived_s) * _MAX_WAIT_RATIO
    latest_in_time_s = message.target_s - (pool.upstreams.delay_s or _DEFAULT_DELAY_S)
    return max(latest_in_time_s, message.arrived_s + min(max_wait_s, MAX_LATE_WAIT_S))
