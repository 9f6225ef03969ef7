"""Apply what upstreams say of themselves in responses, and the crashes that entries have seen."""

from collections.abc import Iterable

from lycheefall._core.messages.relay import SharedRateLimit
from lycheefall._rules import dispatch_peers
from lycheefall._rules.dispatch_messages import RateLimitStated, UpstreamClosed, UpstreamLeaving
from lycheefall._rules.dispatch_state import DispatchState, pool_of
from lycheefall._rules.placing import rate_limits, upstream_notices, upstream_selection
from lycheefall._rules.placing.upstream_notices import Start
from lycheefall._rules.pool_state import stats_of

# The other ranks of a group accept requests while they wait for a lost one. Once this time has
# passed, they have announced that the group is broken.
GROUP_LOST_S = 2.0


def on_upstream_leaving(state: DispatchState, message: UpstreamLeaving) -> bool:
    """Stop using an upstream that is leaving; return whether it was in use."""
    pool = pool_of(state, message.pool)
    start = (message.upstream, message.start_time_ms)
    pool.notices.leaving.add(start)
    stats = pool.upstreams.by_id.get(message.upstream)
    if stats is None or upstream_notices.start_of(stats.record) != start:
        return False
    del pool.upstreams.by_id[message.upstream]
    dispatch_peers.update_owners(state)
    return True


def on_upstream_lost(state: DispatchState, start: Start, lost_s: float) -> bool:
    """Suspend an upstream that has crashed, and its group; return whether that is news."""
    until_s = lost_s + GROUP_LOST_S
    for pool in state.pools.values():
        stats = stats_of(pool, start[0])
        if stats is None or upstream_notices.start_of(stats.record) != start:
            continue
        is_news = start not in pool.lost
        pool.lost.add(start)
        stats.suspended_until_s = max(stats.suspended_until_s, until_s)
        group = upstream_selection.group_of(stats)
        if group is not None:
            upstream_selection.suspend_group(pool.upstreams, group, until_s)
        return is_news
    return False


def on_upstream_closed(state: DispatchState, message: UpstreamClosed, now_s: float) -> None:
    """Send no requests to an upstream for the time that it asks for."""
    start = (message.upstream, message.start_time_ms)
    upstream_notices.close(pool_of(state, message.pool).notices, start, message.duration_s, now_s)


def on_rate_limit_stated(state: DispatchState, message: RateLimitStated, now_s: float) -> bool:
    """Record the limit that an upstream states, or its end; return whether it has changed."""
    start = (message.upstream, message.start_time_ms)
    limits = pool_of(state, message.pool).rate_limits
    return rate_limits.record(limits, start, message.rate_per_s, now_s)


def on_shared_rate_limits(
    state: DispatchState, shared: Iterable[SharedRateLimit], now_s: float
) -> None:
    """Record the limits that upstreams have stated to other entries."""
    for each in shared:
        for pool in state.pools.values():
            stats = stats_of(pool, each.upstream)
            start = (each.upstream, each.start_time_ms)
            if stats is not None and upstream_notices.start_of(stats.record) == start:
                limits = pool.rate_limits
                rate_limits.record(limits, start, each.rate_per_s, now_s - each.age_s)
