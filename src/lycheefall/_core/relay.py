"""Data of a platform's configuration and of the upstreams that announce themselves there."""

from enum import Enum

from msgspec import Struct

from lycheefall._core.enums import MemberState
from lycheefall._core.ids import (
    NO_REVISION,
    Address,
    DataCentreId,
    GroupId,
    PoolId,
    Revision,
    RouteId,
    TeamId,
    UpstreamId,
)

# Rank of work that no configuration names; larger numbers are less urgent.
LOWEST_RANK = 9


class Urgency(Struct, frozen=True, order=True):
    """How urgent a request is; smaller is more urgent.

    The rank of a team replaces that of the route. Among requests of the same rank, the route's
    own rank decides.
    """

    rank: int
    route_rank: int


class RequestKind(Enum):
    """What may be repeated of a request."""

    STREAMING = "streaming"
    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"


class RelayLimits(Struct, frozen=True, kw_only=True):
    """What callers may send, and how long they may take."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class WeightedPool(Struct, frozen=True):
    """A pool and its weight among the pools of a route."""

    pool: PoolId
    weight: float


class RelayRoute(Struct, frozen=True, kw_only=True):
    """Requests of one host and path prefix, and where they may go."""

    name: RouteId
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_s: float
    # Time to the whole answer, or to the first event of a stream, that earns the full worth.
    target_s: float
    # 0 is the most urgent.
    rank: int
    split: tuple[WeightedPool, ...]
    max_attempts: int
    anonymous: bool
    resumable: bool
    # Longest pause between events of a stream that is still in time; 0 where none is declared.
    pause_target_s: float = 0.0


class ExpertLayout(Struct, frozen=True, kw_only=True):
    """Experts of a model and the room for them on the ranks of a group."""

    # Sets of layers, each with its own placement.
    sets: int
    experts: int
    # Experts that a rank can hold of each set.
    expert_slots: int
    # Experts of a set that one change of the map may add to a rank.
    spare: int
    expert_bytes: float
    link_bytes_per_s: float
    # Part of the work for a token that its experts do.
    work_share: float


class EngineModel(Struct, frozen=True, kw_only=True):
    """Speed and memory of the engines of a pool."""

    slots: int
    memory_tokens: int
    # One step of all running requests produces one token for each.
    step_s: float
    step_per_request_s: float
    step_per_context_token_s: float
    prefill_tokens_per_s: float
    # Extra time for each pair of a token and one before it.
    prefill_per_pair_s: float
    chunk_tokens: int
    # Steps between two points at which requests are admitted.
    steps_per_pass: int
    usual_prompt_tokens: float
    usual_answer_tokens: float
    layout: ExpertLayout | None = None


class RelayPool(Struct, frozen=True, kw_only=True):
    """A service whose upstreams announce themselves under its name."""

    name: PoolId
    max_connections: int
    engine: EngineModel | None = None


class RelayTeam(Struct, frozen=True, kw_only=True):
    """A customer, its keys and the rank that replaces that of the route, if any."""

    name: TeamId
    keys: tuple[str, ...]
    rank: int | None = None


class RelayConfiguration(Struct, frozen=True, kw_only=True):
    """One accepted file, as a whole."""

    revision: Revision = NO_REVISION
    routes: tuple[RelayRoute, ...] = ()
    pools: tuple[RelayPool, ...] = ()
    teams: tuple[RelayTeam, ...] = ()
    limits: RelayLimits = RelayLimits()


class GroupHealth(Enum):
    """Whether the ranks of a group can run passes."""

    OPEN = "open"
    BROKEN = "broken"


class GroupMembership(Struct, frozen=True, array_like=True):
    """The group that an upstream is a rank of."""

    group: GroupId
    rank: int
    epoch: int
    health: GroupHealth


class UpstreamRecord(Struct, frozen=True, array_like=True):
    """What an upstream announced about itself, or that it left."""

    upstream: UpstreamId
    pool: PoolId
    address: Address
    data_centre: DataCentreId
    slots: int
    # FAILED stands for one that left for good.
    state: MemberState
    # Order of the announcements of one start.
    sequence: int
    # Start of the upstream, in milliseconds of the wall clock; 0 where it is not told.
    start_time_ms: int
    cold_s: float = 0.0
    group: GroupMembership | None = None
