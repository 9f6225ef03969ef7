"""When a lookup gets a second attempt, and how many lookups at most.

Hedging after a high percentile: J. Dean, L. Barroso, "The Tail at Scale", 2013. The percentile is
taken for each upstream and their median is used, since one slow upstream of three would raise the
percentile of the whole pool to its own time.
"""

from bisect import bisect_left, insort
from collections import deque

from msgspec import Struct, field

from lycheefall._core.configuration import Limits
from lycheefall._core.enums import RouteKind
from lycheefall._core.ids import PoolId, TeamId, UpstreamId
from lycheefall._rules import retries
from lycheefall._rules.retries import RetryBudgets

_MAX_SAMPLES = 128
_MIN_SAMPLES = 20
_HEDGE_QUANTILE = 0.95
# Hedges that all teams save up at most. An upstream that freezes holds about as many lookups of
# an entry as it has slots; many more at once would be a burst on a pool that is slow altogether.
_MAX_SAVED_HEDGES = 20.0


class HedgeTimes:
    """Recent times of the lookups at one upstream, in order of arrival and of size."""

    __slots__ = ("recent_s", "sorted_s")

    def __init__(self) -> None:
        self.recent_s: deque[float] = deque()
        self.sorted_s: list[float] = []


def observe_time(times: HedgeTimes, elapsed_s: float) -> HedgeTimes:
    """Add the time that an attempt took."""
    times.recent_s.append(elapsed_s)
    insort(times.sorted_s, elapsed_s)
    if len(times.recent_s) > _MAX_SAMPLES:
        oldest_s = times.recent_s.popleft()
        del times.sorted_s[bisect_left(times.sorted_s, oldest_s)]
    return times


def upstream_hedge_delay_s(times: HedgeTimes, kind: RouteKind) -> float | None:
    """Return the time after which a second try may be sent, or None when it may not."""
    count = len(times.sorted_s)
    if kind is not RouteKind.LOOKUP or count < _MIN_SAMPLES:
        return None
    return times.sorted_s[int(count * _HEDGE_QUANTILE)]


class HedgingState(Struct, eq=False):
    """Times by pool and upstream, and what may be spent."""

    times: dict[PoolId, dict[UpstreamId, HedgeTimes]] = field(default_factory=dict)
    budgets: RetryBudgets = field(
        default_factory=lambda: RetryBudgets(Limits().hedge_ratio, _MAX_SAVED_HEDGES)
    )


def first_try(state: HedgingState, team: TeamId) -> HedgingState:
    """Count a lookup, which earns its team a part of a hedge."""
    # Equal ratios: no team can spend what the lookups of another one have earned.
    retries.first_try(state.budgets, team, state.budgets.ratio)
    return state


def spend(state: HedgingState, team: TeamId) -> bool:
    """Take one hedge from the budgets; return False, and take none, if one is empty."""
    return state.budgets.ratio > 0.0 and retries.spend(state.budgets, team)


def observe(
    state: HedgingState, pool: PoolId, upstream: UpstreamId, elapsed_s: float
) -> HedgingState:
    """Add the time of an attempt, or how long it had run when it was stopped."""
    times = state.times.setdefault(pool, {}).setdefault(upstream, HedgeTimes())
    observe_time(times, elapsed_s)
    return state


def forget(state: HedgingState, pool: PoolId, upstream: UpstreamId) -> HedgingState:
    """Drop the times of an upstream that has left."""
    state.times.get(pool, {}).pop(upstream, None)
    return state


def hedge_delay_s(state: HedgingState, pool: PoolId, floor_s: float) -> float | None:
    """Return the time after which a lookup of a pool is late, or None when too little is known."""
    each = (
        upstream_hedge_delay_s(times, RouteKind.LOOKUP)
        for times in state.times.get(pool, {}).values()
    )
    known = sorted(time_s for time_s in each if time_s is not None)
    if not known:
        return None
    return max(floor_s, known[(len(known) - 1) // 2])
