"""Hedging policy: the delay before the second attempt of a lookup, and the budget for hedges.

Hedging after a high percentile: J. Dean, L. Barroso, "The Tail at Scale", 2013. The delay is the
median of the percentiles of the upstreams, because one slow upstream of three would raise a
percentile over the whole pool to its own latency.
"""

from bisect import bisect_left, insort
from collections import deque

from msgspec import Struct, field

from lycheefall._core.configuration import Limits
from lycheefall._core.enums import RouteKind
from lycheefall._core.ids import PoolId, TeamId, UpstreamId
from lycheefall._rules import retries
from lycheefall._rules.retries import RetryBudgets

# Latencies kept per upstream, and how many are needed before its lookups are hedged.
_MAX_SAMPLES = 128
_MIN_SAMPLES = 20
_HEDGE_QUANTILE = 0.95
# Limit of unspent hedges of all teams. A frozen upstream holds about as many lookups of an entry as
# it has slots; many more hedges at once would be a burst of load on a pool that is slow as a whole.
_MAX_SAVED_HEDGES = 20.0


class HedgeTimes:
    """Recent latencies of lookups at one upstream, in order of arrival and sorted."""

    __slots__ = ("recent_s", "sorted_s")

    def __init__(self) -> None:
        self.recent_s: deque[float] = deque()
        self.sorted_s: list[float] = []


def observe_time(times: HedgeTimes, elapsed_s: float) -> HedgeTimes:
    """Add the latency of an attempt, in seconds."""
    times.recent_s.append(elapsed_s)
    insort(times.sorted_s, elapsed_s)
    if len(times.recent_s) > _MAX_SAMPLES:
        oldest_s = times.recent_s.popleft()
        del times.sorted_s[bisect_left(times.sorted_s, oldest_s)]
    return times


def upstream_hedge_delay_s(times: HedgeTimes, kind: RouteKind) -> float | None:
    """Return the 95th percentile of the latencies in seconds, or None if no hedge may be sent."""
    count = len(times.sorted_s)
    if kind is not RouteKind.LOOKUP or count < _MIN_SAMPLES:
        return None
    return times.sorted_s[int(count * _HEDGE_QUANTILE)]


class HedgingState(Struct, eq=False):
    """Latencies by pool and upstream, and the budgets for hedges."""

    times: dict[PoolId, dict[UpstreamId, HedgeTimes]] = field(default_factory=dict)
    budgets: RetryBudgets = field(
        default_factory=lambda: RetryBudgets(Limits().hedge_ratio, _MAX_SAVED_HEDGES)
    )


def count_lookup(state: HedgingState, team: TeamId) -> HedgingState:
    """Count a lookup, which adds a fraction of a hedge to the budget of its team."""
    # With equal ratios, no team can spend budget that the lookups of another team have added.
    retries.credit(state.budgets, team, state.budgets.ratio)
    return state


def try_consume(state: HedgingState, team: TeamId) -> bool:
    """Take one hedge from the budgets; return False and take none if a budget is empty."""
    return state.budgets.ratio > 0.0 and retries.try_consume(state.budgets, team)


def observe(
    state: HedgingState, pool: PoolId, upstream: UpstreamId, elapsed_s: float
) -> HedgingState:
    """Add the latency of an attempt, or its elapsed time when it was cancelled, in seconds."""
    times = state.times.setdefault(pool, {}).setdefault(upstream, HedgeTimes())
    observe_time(times, elapsed_s)
    return state


def remove_upstream(state: HedgingState, pool: PoolId, upstream: UpstreamId) -> HedgingState:
    """Delete the latencies of an upstream that has left."""
    state.times.get(pool, {}).pop(upstream, None)
    return state


def hedge_delay_s(state: HedgingState, pool: PoolId, floor_s: float) -> float | None:
    """Return the hedge delay of a pool in seconds, or None if there are too few measurements."""
    delays_s = (
        upstream_hedge_delay_s(times, RouteKind.LOOKUP)
        for times in state.times.get(pool, {}).values()
    )
    known_s = sorted(delay_s for delay_s in delays_s if delay_s is not None)
    if not known_s:
        return None
    return max(floor_s, known_s[(len(known_s) - 1) // 2])
