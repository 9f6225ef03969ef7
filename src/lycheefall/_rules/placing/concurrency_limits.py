"""Concurrency limits of upstreams, and the upstreams that are eligible for a request."""

from random import Random

from lycheefall._core.relay import EngineModel
from lycheefall._rules.placing import (
    batch_limit,
    cold_upstreams,
    rate_limits,
    upstream_notices,
    upstream_selection,
)
from lycheefall._rules.placing.upstream_ownership import NEIGHBOURS
from lycheefall._rules.placing.upstream_selection import UpstreamStats
from lycheefall._rules.pool_state import PoolState, pauses_of

# Attempts in flight for each slot of a plain service: requests take tens of milliseconds, and a
# short queue at the upstream hides the network round trip.
_SERVICE_REQUESTS_PER_SLOT = 2
# Slots of an engine that only its owning entry uses. The loads of other entries are known a few
# hundred milliseconds late: without a margin, all entries take the same free slot and their
# requests queue at the engine.
_OWNER_SLOTS = 1
# Fraction of the slots reserved for requests that can be in time: a late request that takes the
# last slot makes the next request late as well. This is trunk reservation; see F. P. Kelly, "Loss
# Networks", 1991.
RESERVED_RATIO = 0.2


def concurrency_limit(pool: PoolState, engine: EngineModel | None, stats: UpstreamStats) -> int:
    """Return the most attempts that an upstream should have in flight, for a request of this entry.

    Drawn slots of distant upstreams need no margin, because few entries draw the same ones.
    """
    limit = shared_limit(pool, engine, stats)
    is_drawn = stats.owner_distance > NEIGHBOURS and stats.drawn_slots > 0
    if engine is None or stats.owner_distance == 0 or is_drawn or limit == 0:
        return limit
    return max(1, limit - _OWNER_SLOTS)


def shared_limit(pool: PoolState, engine: EngineModel | None, stats: UpstreamStats) -> int:
    """Return the most attempts of all entries that an upstream should have in flight."""
    if upstream_notices.is_reopening(pool.notices, stats.record):
        return 1
    if engine is None:
        requests = max(1, stats.record.slots) * _SERVICE_REQUESTS_PER_SLOT
        return cold_upstreams.ramped_slots(pool.rate_limits, stats.record, requests)
    slots = max(1, stats.record.slots or engine.slots)
    slots = batch_limit.usable_slots(pauses_of(pool, stats).batch, slots)
    # All ranks wait for the slowest one, so a slow rank gets fewer requests, or none.
    slots = int(slots / stats.pace)
    return cold_upstreams.ramped_slots(pool.rate_limits, stats.record, slots)


def eligible_upstreams(
    pool: PoolState, engine: EngineModel | None, is_late: bool, now_s: float, random: Random
) -> list[UpstreamStats]:
    """Return the upstreams that a request may use.

    Requests that can be in time use the groups that keep their pause target. Late requests also use
    the slow groups, and the others while more than the reserved slots are free. A plain service
    accepts more requests than it runs at once, so no slots are reserved there. Upstreams that asked
    for a time without requests, or for fewer, are not eligible meanwhile. Suspended ones and those
    of a broken group are eligible only if there is no other: a group that makes no passes has no
    slow ones either.
    """
    members = [
        stats
        for stats in pool.upstreams.by_id.values()
        if not upstream_notices.is_closed(pool.notices, stats.record, now_s)
        and rate_limits.has_permit(pool.rate_limits, stats.record, stats.sharers, now_s, random)
    ]
    if engine is None:
        return members
    members = [each for each in members if upstream_selection.is_usable(each, now_s)] or members
    slow = [stats for stats in members if pauses_of(pool, stats).is_slow]
    fast = [stats for stats in members if not pauses_of(pool, stats).is_slow] or members
    if not is_late:
        return fast
    return members if _has_capacity_for_late(pool, engine, fast) else slow


def _has_capacity_for_late(pool: PoolState, engine: EngineModel, fast: list[UpstreamStats]) -> bool:
    """Return whether a late request leaves the reserved slots free."""
    owned = [stats for stats in fast if stats.owner_distance == 0] or fast
    limits = [concurrency_limit(pool, engine, stats) for stats in owned]
    free = sum(
        max(0, limit - upstream_selection.load_of(stats))
        for limit, stats in zip(limits, owned, strict=True)
    )
    return free > RESERVED_RATIO * sum(limits)
