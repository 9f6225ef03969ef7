"""Upstreams of a pool as one entry sees them, and the choice among them."""

from collections.abc import Callable, Collection, Iterable
from random import Random

from msgspec import Struct, field

from lycheefall._core.ids import DataCentreId, GroupId, UpstreamId
from lycheefall._core.relay import GroupHealth, UpstreamRecord

# Weight of a fresh outcome in the failure ratio; about the last eight outcomes count.
_OUTCOME_WEIGHT = 0.15
# The failure ratio halves in this time, so that an avoided upstream is tried again.
_FAILURE_HALF_LIFE_S = 3.0
# Cost, in full batches, of an upstream that fails always.
_FAILURE_COST = 3.0
# Cost of an upstream in another data centre: bytes between data centres are paid for.
_REMOTE_COST = 0.04
# Cost of an upstream that another entry uses first; that entry knows best how full it is.
_NON_OWNED_COST = 0.1
# Entries whose upstreams an entry uses beside its own. What others have in flight is known some
# hundred milliseconds late; if all entries compared all upstreams, they would choose the same one
# at the same time.
NEIGHBOURS = 2
# Upstreams that are compared where none of those works; see M. Mitzenmacher, "The Power of Two
# Choices in Randomized Load Balancing", 2001.
_RANDOM_CHOICES = 2
# Cost of each request whose prompt is still being read: prompts of one upstream are read one
# after the other, those of several upstreams at the same time.
_PREFILL_COST = 0.25
# An upstream that can't be reached is left alone for this time; each further failure doubles it.
SUSPENDED_S = 0.5
MAX_SUSPENDED_S = 4.0
# An upstream that is slower than the pool by this factor counts as that much fuller.
_MAX_SLOWNESS = 8.0
_DELAY_WEIGHT = 0.2
_POOL_DELAY_WEIGHT = 0.05
_DELAY_HALF_LIFE_S = 4.0


class UpstreamStats(Struct, eq=False):
    """One upstream: what it announced, what it runs for whom and how it answered."""

    record: UpstreamRecord
    # Attempts in flight of this entry.
    own_in_flight: int = 0
    # Those of them whose answer has not begun.
    unanswered: int = 0
    # Those of other entries, as they last told.
    peer_in_flight: int = 0
    # Entries between the one that uses it first and this one, in the order of their names.
    owner_distance: int = 0
    failure_ratio: float = 0.0
    outcome_at_s: float = 0.0
    suspensions: int = 0
    suspended_until_s: float = float("-inf")
    # Mean delay of its answers against that of the pool.
    slowness: float = 1.0
    slowness_at_s: float = 0.0


class PoolUpstreams(Struct, eq=False):
    """The seats of a pool."""

    by_id: dict[UpstreamId, UpstreamStats] = field(default_factory=dict)
    # Mean delay to the first byte over the pool.
    delay_s: float = 0.0


def load_of(stats: UpstreamStats) -> int:
    """Return the attempts in flight that are known."""
    return stats.own_in_flight + stats.peer_in_flight


def failure_ratio(stats: UpstreamStats, now_s: float) -> float:
    """Return the part of recent outcomes that were failures; it fades without outcomes."""
    age_s = max(0.0, now_s - stats.outcome_at_s)
    return float(stats.failure_ratio * 0.5 ** (age_s / _FAILURE_HALF_LIFE_S))


def note_outcome(stats: UpstreamStats, failed: bool, now_s: float) -> None:
    """Count an outcome."""
    ratio = failure_ratio(stats, now_s)
    stats.failure_ratio = ratio + _OUTCOME_WEIGHT * (float(failed) - ratio)
    stats.outcome_at_s = now_s
    if not failed:
        stats.suspensions = 0
        stats.suspended_until_s = float("-inf")


def note_delay(
    upstreams: PoolUpstreams, stats: UpstreamStats, delay_s: float, now_s: float
) -> None:
    """Count the delay of an answer against the mean of the pool."""
    if upstreams.delay_s:
        upstreams.delay_s += _POOL_DELAY_WEIGHT * (delay_s - upstreams.delay_s)
    else:
        upstreams.delay_s = delay_s
    relative = min(_MAX_SLOWNESS, delay_s / max(upstreams.delay_s, 1e-3))
    current = slowness(stats, now_s)
    stats.slowness = current + _DELAY_WEIGHT * (relative - current)
    stats.slowness_at_s = now_s


def slowness(stats: UpstreamStats, now_s: float) -> float:
    """Return how much slower than its pool an upstream answers; it fades without answers."""
    age_s = max(0.0, now_s - stats.slowness_at_s)
    return float(1.0 + (stats.slowness - 1.0) * 0.5 ** (age_s / _DELAY_HALF_LIFE_S))


def suspend(stats: UpstreamStats, now_s: float) -> float:
    """Leave an upstream alone for a while; return for how long."""
    pause_s = float(min(MAX_SUSPENDED_S, SUSPENDED_S * 2.0**stats.suspensions))
    stats.suspensions += 1
    stats.suspended_until_s = now_s + pause_s
    return pause_s


def suspend_group(upstreams: PoolUpstreams, group: GroupId, until_s: float) -> None:
    """Leave all ranks of a group alone: none answers while one is lost."""
    for stats in upstreams.by_id.values():
        if stats.record.group is not None and stats.record.group.group == group:
            stats.suspended_until_s = max(stats.suspended_until_s, until_s)


def is_broken(stats: UpstreamStats) -> bool:
    """Tell whether the group of an upstream is known to run no passes."""
    group = stats.record.group
    return group is not None and group.health is GroupHealth.BROKEN


def choose(
    upstreams: Iterable[UpstreamStats],
    places: Callable[[UpstreamStats], int],
    tried: Collection[UpstreamId],
    data_centre: DataCentreId,
    now_s: float,
    random: Random,
) -> UpstreamStats | None:
    """Return the best upstream with a free place, or None.

    `places` tells how many attempts an upstream should have in flight at most. Upstreams that
    can't be reached or failed just now are used only where there is no other.
    """
    candidates = [stats for stats in upstreams if stats.record.upstream not in tried]
    healthy = [
        stats for stats in candidates if stats.suspended_until_s <= now_s and not is_broken(stats)
    ]
    usable = healthy or candidates
    neighbours = [stats for stats in usable if is_neighbour(stats)]
    compared = [stats for stats in neighbours or usable if load_of(stats) < places(stats)]
    if not neighbours:
        compared = random.sample(compared, min(_RANDOM_CHOICES, len(compared)))
    return min(
        compared,
        key=lambda stats: _cost(stats, data_centre, now_s) + random.random() * 1e-3,
        default=None,
    )


def is_neighbour(stats: UpstreamStats) -> bool:
    """Tell whether this entry or one next to it uses the upstream first."""
    return stats.owner_distance <= NEIGHBOURS


def _cost(stats: UpstreamStats, data_centre: DataCentreId, now_s: float) -> float:
    load = (load_of(stats) + 1) / max(1, stats.record.slots) * slowness(stats, now_s)
    remote = 0.0 if stats.record.data_centre == data_centre else _REMOTE_COST
    non_owned = _NON_OWNED_COST * min(stats.owner_distance, NEIGHBOURS)
    cold = min(1.0, stats.record.cold_s)
    prefill = _PREFILL_COST * stats.unanswered
    return load + remote + non_owned + prefill + cold + _FAILURE_COST * failure_ratio(stats, now_s)
