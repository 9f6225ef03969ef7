"""Dispatch state of one pool: upstreams, queued requests and recent placements."""

from msgspec import Struct, field

from lycheefall._core.ids import GroupId, TeamId, UpstreamId
from lycheefall._core.relay import Urgency
from lycheefall._rules.decaying_counts import DecayingCounts
from lycheefall._rules.dispatch_messages import DispatchRequest
from lycheefall._rules.placing import upstream_notices
from lycheefall._rules.placing.batch_limit import BatchLimit
from lycheefall._rules.placing.group_pauses import GroupPauses
from lycheefall._rules.placing.rate_limits import RateLimits
from lycheefall._rules.placing.upstream_notices import Notices, Start
from lycheefall._rules.placing.upstream_selection import PoolUpstreams, UpstreamStats
from lycheefall._rules.retry_budget import RetryBudget

# Time constant of the decaying counts of requests and placements by urgency.
_SHARE_TIME_CONSTANT_S = 4.0
# Time constant of the placement rate.
RATE_TIME_CONSTANT_S = 1.5


class PoolState(Struct, eq=False):
    """Upstreams, queued requests and recent placements of a pool."""

    upstreams: PoolUpstreams = field(default_factory=PoolUpstreams)
    # Upstreams in evacuated data centres, which are not used and don't count as capacity.
    evacuated: dict[UpstreamId, UpstreamStats] = field(default_factory=dict)
    waiting: list[DispatchRequest] = field(default_factory=list)
    # By urgency rank.
    recent_requests: DecayingCounts[Urgency] = field(
        default_factory=lambda: DecayingCounts(_SHARE_TIME_CONSTANT_S)
    )
    recent_placements: DecayingCounts[Urgency] = field(
        default_factory=lambda: DecayingCounts(_SHARE_TIME_CONSTANT_S)
    )
    # Recent placements of all ranks together.
    placement_rate: DecayingCounts[None] = field(
        default_factory=lambda: DecayingCounts(RATE_TIME_CONSTANT_S)
    )
    # Placed requests that have not ended, by team.
    in_service: dict[TeamId | None, int] = field(default_factory=dict)
    # Stream pauses by group; None for upstreams outside of groups.
    pauses_by_group: dict[GroupId | None, GroupPauses] = field(default_factory=dict)
    # Fraction of an engine's slots that a new group uses; observed pauses then adjust it.
    usable_share: float = 1.0
    retries: RetryBudget = field(default_factory=RetryBudget)
    notices: Notices = field(default_factory=Notices)
    rate_limits: RateLimits = field(default_factory=RateLimits)
    # Starts of upstreams that have crashed.
    lost: set[Start] = field(default_factory=set)


def stats_of(pool: PoolState, upstream: UpstreamId) -> UpstreamStats | None:
    """Return the statistics of an upstream, also of one that is evacuated."""
    return pool.upstreams.by_id.get(upstream) or pool.evacuated.get(upstream)


def opens_s(pool: PoolState, now_s: float) -> float:
    """Return the earliest time at which an upstream of the pool accepts requests."""
    records = (stats.record for stats in pool.upstreams.by_id.values())
    return upstream_notices.opens_s(pool.notices, records, now_s)


def pauses_of(pool: PoolState, stats: UpstreamStats) -> GroupPauses:
    """Return the pause statistics of an upstream's group, which are created on first use."""
    group = None if stats.record.group is None else stats.record.group.group
    pauses = pool.pauses_by_group.get(group)
    if pauses is None:
        pauses = pool.pauses_by_group[group] = GroupPauses(BatchLimit(share=pool.usable_share))
    return pauses
