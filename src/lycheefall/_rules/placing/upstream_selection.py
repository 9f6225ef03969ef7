"""Per-upstream statistics of one entry: attempts in flight, outcomes and delays."""

from msgspec import Struct, field

from lycheefall._core.ids import GroupId, UpstreamId
from lycheefall._core.relay import GroupHealth, UpstreamRecord

# Weight of a new outcome in the failure ratio; about the last eight outcomes count.
_OUTCOME_WEIGHT = 0.15
# Half-life of the failure ratio without outcomes, so that an avoided upstream is tried again.
_FAILURE_HALF_LIFE_S = 3.0
# Suspension of an unreachable upstream; each further failure doubles it.
SUSPENDED_S = 0.5
MAX_SUSPENDED_S = 4.0
# Cap of the slowness factor, by which the load of a slow upstream is multiplied.
_MAX_SLOWNESS = 8.0
# Weights of a new delay in the slowness of an upstream and in the mean delay of the pool.
_SLOWNESS_WEIGHT = 0.2
_POOL_DELAY_WEIGHT = 0.05
# Half-life of the slowness without answers, so that an avoided upstream is tried again.
_SLOWNESS_HALF_LIFE_S = 4.0


class UpstreamStats(Struct, eq=False):
    """Record, attempts in flight and response statistics of one upstream."""

    record: UpstreamRecord
    # Attempts in flight of this entry.
    own_in_flight: int = 0
    # Attempts of this entry without a first byte.
    unanswered: int = 0
    # Attempts in flight of other entries, as last reported.
    peer_in_flight: int = 0
    # Position of the owning entry after this one in the order of their names, cyclically.
    owner_distance: int = 0
    # Number of entries that share a rate limit of the upstream, or 0 if this one does not.
    sharers: int = 1
    # Requests that this entry may place until the next report of loads, if the upstream is distant.
    drawn_slots: int = 0
    failure_ratio: float = 0.0
    # Time of the last outcome.
    outcome_at_s: float = 0.0
    # Consecutive suspensions without a success in between.
    suspensions: int = 0
    suspended_until_s: float = float("-inf")
    # Mean first-byte delay relative to that of the pool.
    slowness: float = 1.0
    # Factor by which a rank is slower than the fastest one of its group.
    pace: float = 1.0
    # Time of the last delay.
    slowness_at_s: float = 0.0


class PoolUpstreams(Struct, eq=False):
    """The upstreams of a pool, and their mean delay."""

    by_id: dict[UpstreamId, UpstreamStats] = field(default_factory=dict)
    # Mean delay to the first byte over the pool, or 0 before the first answer.
    delay_s: float = 0.0


def load_of(stats: UpstreamStats) -> int:
    """Return the attempts in flight of all entries, as far as known."""
    return stats.own_in_flight + stats.peer_in_flight


def failure_ratio(stats: UpstreamStats, now_s: float) -> float:
    """Return the recent failure ratio, which decays without new outcomes."""
    age_s = max(0.0, now_s - stats.outcome_at_s)
    return float(stats.failure_ratio * 0.5 ** (age_s / _FAILURE_HALF_LIFE_S))


def record_outcome(stats: UpstreamStats, failed: bool, now_s: float) -> None:
    """Update the failure ratio, and end a suspension after a success."""
    ratio = failure_ratio(stats, now_s)
    stats.failure_ratio = ratio + _OUTCOME_WEIGHT * (float(failed) - ratio)
    stats.outcome_at_s = now_s
    if not failed:
        stats.suspensions = 0
        stats.suspended_until_s = float("-inf")


def record_delay(
    upstreams: PoolUpstreams, stats: UpstreamStats, delay_s: float, now_s: float
) -> None:
    """Update the mean delay of the pool and the slowness of an upstream."""
    if upstreams.delay_s:
        upstreams.delay_s += _POOL_DELAY_WEIGHT * (delay_s - upstreams.delay_s)
    else:
        upstreams.delay_s = delay_s
    relative = min(_MAX_SLOWNESS, delay_s / max(upstreams.delay_s, 1e-3))
    current = slowness(stats, now_s)
    stats.slowness = current + _SLOWNESS_WEIGHT * (relative - current)
    stats.slowness_at_s = now_s


def slowness(stats: UpstreamStats, now_s: float) -> float:
    """Return the delay relative to the pool, which decays to 1 without answers."""
    age_s = max(0.0, now_s - stats.slowness_at_s)
    return float(1.0 + (stats.slowness - 1.0) * 0.5 ** (age_s / _SLOWNESS_HALF_LIFE_S))


def expected_delay_s(upstreams: PoolUpstreams, stats: UpstreamStats, now_s: float) -> float:
    """Return the usual delay of an upstream to the first byte, or 0 before the first answer."""
    return upstreams.delay_s * slowness(stats, now_s)


def suspend(stats: UpstreamStats, now_s: float) -> float:
    """Suspend an upstream with exponential backoff; return its duration in seconds."""
    duration_s = float(min(MAX_SUSPENDED_S, SUSPENDED_S * 2.0**stats.suspensions))
    stats.suspensions += 1
    stats.suspended_until_s = now_s + duration_s
    return duration_s


def suspend_group(upstreams: PoolUpstreams, group: GroupId, until_s: float) -> None:
    """Suspend all ranks of a group: none answers while one is lost."""
    for stats in upstreams.by_id.values():
        if stats.record.group is not None and stats.record.group.group == group:
            stats.suspended_until_s = max(stats.suspended_until_s, until_s)


def group_of(stats: UpstreamStats) -> GroupId | None:
    """Return the group of an upstream, or None."""
    return None if stats.record.group is None else stats.record.group.group


def is_group_broken(stats: UpstreamStats) -> bool:
    """Return whether the group of an upstream is reported to run no passes."""
    group = stats.record.group
    return group is not None and group.health is GroupHealth.BROKEN


def is_usable(stats: UpstreamStats, now_s: float) -> bool:
    """Return whether an upstream is neither suspended nor a rank of a broken group."""
    return stats.suspended_until_s <= now_s and not is_group_broken(stats)
