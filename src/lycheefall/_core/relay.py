"""Configuration of entries that relay HTTP requests on a platform, and their upstreams.

Upstreams announce themselves to the control replicas over HTTP; no agents run beside them.
"""

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

# Default rank of unconfigured requests; larger numbers are less urgent.
LOWEST_RANK = 9


class Urgency(Struct, frozen=True, order=True):
    """Scheduling priority of a request; a smaller value is more urgent.

    The rank of a team overrides that of the route. Among requests of the same rank, the route's
    own rank breaks ties.
    """

    rank: int
    route_rank: int


class RequestKind(Enum):
    """Which retries a request permits."""

    STREAMING = "streaming"
    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"


class RelayLimits(Struct, frozen=True, kw_only=True):
    """Limits on the size and duration of requests from callers."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class WeightedPool(Struct, frozen=True):
    """A pool and its weight in the traffic split of a route."""

    pool: PoolId
    weight: float


class RelayRoute(Struct, frozen=True, kw_only=True):
    """Route for one host and path prefix."""

    name: RouteId
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_s: float
    # Time to the whole answer, or to the first event of a stream, that earns the full value.
    target_s: float
    # 0 is the most urgent.
    rank: int
    split: tuple[WeightedPool, ...]
    max_attempts: int
    # Requests need no API key and count for no team.
    anonymous: bool
    # Another attempt may resume a stream that broke off.
    resumable: bool
    # Maximum pause between events of a stream; 0 sets no target.
    pause_target_s: float = 0.0


class ExpertLayout(Struct, frozen=True, kw_only=True):
    """Experts of a model and the capacity for them on the ranks of a group."""

    # Number of layer sets; each has its own placement.
    sets: int
    experts: int
    # Maximum number of experts of each set on one rank.
    expert_slots: int
    # Maximum number of experts of a set that one map change may add to a rank.
    spare: int
    expert_bytes: float
    link_bytes_per_s: float
    # Fraction of the compute for a token that its experts perform.
    work_share: float


class EngineModel(Struct, frozen=True, kw_only=True):
    """Performance model of the engines of a pool."""

    slots: int
    # Capacity of the key-value cache in tokens.
    memory_tokens: int
    # One step generates one token for each running request.
    step_s: float
    step_per_request_s: float
    step_per_context_token_s: float
    prefill_tokens_per_s: float
    # Additional time for each pair of a token and an earlier token (attention).
    prefill_per_pair_s: float
    chunk_tokens: int
    # Number of steps between two admissions of requests.
    steps_per_pass: int
    usual_prompt_tokens: float
    usual_answer_tokens: float
    layout: ExpertLayout | None = None


class RelayPool(Struct, frozen=True, kw_only=True):
    """A pool of upstreams that announce the same service name."""

    name: PoolId
    max_connections: int
    engine: EngineModel | None = None
    # Usual time for which an upstream is cold after its start; 0 if there is none.
    cold_s: float = 0.0
    # Requests that a cold upstream accepts from all entries together; 0 means no limit.
    cold_requests_per_s: float = 0.0


class RelayTeam(Struct, frozen=True, kw_only=True):
    """A tenant, its API keys and an optional rank that overrides that of the route."""

    name: TeamId
    keys: tuple[str, ...]
    rank: int | None = None


class RelayConfiguration(Struct, frozen=True, kw_only=True):
    """The complete contents of one validated file."""

    revision: Revision = NO_REVISION
    routes: tuple[RelayRoute, ...] = ()
    pools: tuple[RelayPool, ...] = ()
    # None if requests need no API key; with an empty tuple, no key is valid.
    teams: tuple[RelayTeam, ...] | None = None
    limits: RelayLimits = RelayLimits()


class GroupHealth(Enum):
    """Whether the ranks of a group can run passes."""

    OPEN = "open"
    BROKEN = "broken"


class GroupMembership(Struct, frozen=True, array_like=True):
    """Membership of an upstream in a group, as one of its ranks."""

    group: GroupId
    rank: int
    # Changes when the group restarts, for example after the loss of a rank.
    epoch: int
    health: GroupHealth


class UpstreamRecord(Struct, frozen=True, array_like=True):
    """Announcement or departure of an upstream."""

    upstream: UpstreamId
    pool: PoolId
    address: Address
    data_centre: DataCentreId
    slots: int
    # FAILED marks an upstream that has permanently left.
    state: MemberState
    # Orders the announcements of one run of the upstream.
    sequence: int
    # Wall-clock start time of the upstream in milliseconds; 0 if unknown.
    start_time_ms: int
    # Time until the upstream has warmed up, as of when the record was received or sent.
    cold_s: float = 0.0
    group: GroupMembership | None = None
