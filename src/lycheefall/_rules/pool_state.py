"""What an entry knows of one pool: its upstreams, who waits and who was served lately."""

from msgspec import Struct, field

from lycheefall._core.ids import GroupId, TeamId
from lycheefall._core.relay import Urgency
from lycheefall._rules.batch_limit import BatchLimit
from lycheefall._rules.dispatch_messages import DispatchRequest
from lycheefall._rules.fading import Fading
from lycheefall._rules.group_pace import GroupPace
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
    asked: Fading[Urgency] = field(default_factory=lambda: Fading(_SHARE_S))
    placed: Fading[Urgency] = field(default_factory=lambda: Fading(_SHARE_S))
    # Recent places of all ranks together.
    rate: Fading[None] = field(default_factory=lambda: Fading(RATE_S))
    in_service: dict[TeamId | None, int] = field(default_factory=dict)
    # How the streams of each group keep their pace; None for upstreams outside of groups.
    paces: dict[GroupId | None, GroupPace] = field(default_factory=dict)
    # Part of an engine's slots that is used until pauses were observed.
    usable_share: float = 1.0
    retries: RetryBudget = field(default_factory=RetryBudget)


def pace_of(pool: PoolState, seat: UpstreamStats) -> GroupPace:
    """Return how the streams of an upstream's group keep their pace."""
    group = None if seat.record.group is None else seat.record.group.group
    pace = pool.paces.get(group)
    if pace is None:
        pace = pool.paces[group] = GroupPace(BatchLimit(share=pool.usable_share))
    return pace
