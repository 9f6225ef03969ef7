"""State that the dispatch decisions of an entry depend on."""

from random import Random

from msgspec import Struct, field

from lycheefall._core.evacuations import Evacuations
from lycheefall._core.ids import DataCentreId, InstanceId, PoolId, TeamId, UpstreamId
from lycheefall._core.messages.relay import SlowRank
from lycheefall._core.relay import RelayPool
from lycheefall._rules.placing.peer_history import PeerHistory
from lycheefall._rules.placing.rate_limits import RateLimits
from lycheefall._rules.pool_state import PoolState
from lycheefall._rules.retry_budget import RetryBounds


class PeerEntry(Struct, frozen=True):
    """Another entry, and when its last report was received."""

    data_centre: DataCentreId
    received_s: float


class PeerLoads(Struct, frozen=True):
    """Attempts in flight of other entries, summed by upstream, as last reported by a replica."""

    in_flight: dict[UpstreamId, int]
    received_s: float


class SlowRanks(Struct, frozen=True):
    """Slow ranks of groups, as last reported by a replica."""

    ranks: tuple[SlowRank, ...]
    received_s: float


class DispatchState(Struct, eq=False, kw_only=True):
    """State that the dispatch decisions of an entry depend on."""

    instance: InstanceId
    data_centre: DataCentreId
    retry_bounds: RetryBounds
    # Source of jitter and of tie-breaks between upstreams.
    random: Random
    pools: dict[PoolId, PoolState] = field(default_factory=dict)
    pool_settings: dict[PoolId, RelayPool] = field(default_factory=dict)
    peers: dict[InstanceId, PeerEntry] = field(default_factory=dict)
    peer_history: PeerHistory = field(default_factory=PeerHistory)
    # By reporting replica of control; each one knows only the entries that report loads to it.
    peer_loads: dict[InstanceId, PeerLoads] = field(default_factory=dict)
    # When this entry last drew slots at the upstreams of other entries.
    slots_drawn_s: float = float("-inf")
    # By reporting replica.
    slow_ranks: dict[InstanceId, SlowRanks] = field(default_factory=dict)
    # Evacuations in force; None before the first are known, when no upstream is used.
    evacuations: Evacuations | None = Evacuations()
    # When the entry ends all requests; None until it stops.
    ends_s: float | None = None
    # Pool and team of each placed request, by request number.
    team_by_request: dict[int, tuple[PoolId, TeamId | None]] = field(default_factory=dict)


def pool_of(state: DispatchState, name: PoolId) -> PoolState:
    """Return the state of a pool, which is created on first use."""
    pool = state.pools.get(name)
    if pool is None:
        pool = state.pools[name] = PoolState(rate_limits=RateLimits(peers=state.peer_history))
    return pool
