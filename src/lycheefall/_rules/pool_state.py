"""What an entry knows of one pool: its upstreams, who waits and who was served lately."""

from msgspec import Struct, field

from lycheefall._core.ids import GroupId, TeamId
from lycheefall._core.relay import Urgency
from lycheefall._rules.batch_limit import BatchLimit
from lycheefall._rules.decaying_counts import DecayingCounts
from lycheefall._rules.dispatch_messages import DispatchRequest
from lycheefall._rules.group_pauses import GroupPauses
from lycheefall._rules.retry_budget import RetryBudget
from lycheefall._rules.upstream_selection import PoolUpstreams, UpstreamStats

# Time in which the counts of places and requests by urgency lose most of their weight.
_SHARE_S = 4.0
# The same for the rate of places.
RATE_S = 1.5


class PoolState(Struct, eq=False):
    """Seats of a pool, requests that wait for one, and recent places."""

    upstreams: PoolUpstreams = field(default_factory=PoolUpstreams)
    waiting: list[DispatchRequest] = field(default_factory=list)
    # Recent requests and places by rank.
    recent_requests: DecayingCounts[Urgency] = field(
        default_factory=lambda: DecayingCounts(_SHARE_S)
    )
    recent_placements: DecayingCounts[Urgency] = field(
        default_factory=lambda: DecayingCounts(_SHARE_S)
    )
    # Recent places of all ranks together.
    placement_rate: DecayingCounts[None] = field(default_factory=lambda: DecayingCounts(RATE_S))
    in_service: dict[TeamId | None, int] = field(default_factory=dict)
    # How the streams of each group keep their pace; None for upstreams outside of groups.
    paces: dict[GroupId | None, GroupPauses] = field(default_factory=dict)
    # Part of an engine's slots that is used until pauses were observed.
    usable_share: float = 1.0
    retries: RetryBudget = field(default_factory=RetryBudget)


def pauses_of(pool: PoolState, stats: UpstreamStats) -> GroupPauses:
    """Return how the streams of an upstream's group keep their pace."""
    group = None if stats.record.group is None else stats.record.group.group
    pauses = pool.paces.get(group)
    if pauses is None:
        pauses = pool.paces[group] = GroupPauses(BatchLimit(share=pool.usable_share))
    return pauses
