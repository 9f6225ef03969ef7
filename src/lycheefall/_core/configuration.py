"""Configuration of entries that dispatch requests to agents, as read from a validated file.

Entries that relay HTTP requests on a platform have a configuration of their own, in `_core.relay`.
"""

from msgspec import Struct

from lycheefall._core.enums import FenceMode, RouteKind, UpstreamKind
from lycheefall._core.ids import (
    NO_REVISION,
    Digest,
    GroupId,
    PoolId,
    PriorityId,
    Revision,
    RouteId,
    TeamId,
    UpstreamId,
)


class Directory(Struct, frozen=True, kw_only=True):
    """Assignment of callers to entries."""

    # Time for which a caller may cache the addresses.
    ttl_s: float = 10.0
    # Number of entries assigned to each team; 0 assigns all of them.
    shard_size: int = 0


class Limits(Struct, frozen=True, kw_only=True):
    """Limits that apply to every request."""

    body_bytes: int = 1_048_576
    # Maximum time in the queue.
    queue_s: float = 5.0
    # Maximum length of each queue.
    queue_requests: int = 20_000
    default_max_tokens: int = 256
    # Retries that all teams together earn per first attempt.
    retry_ratio: float = 0.1
    # Fraction of a team's lookups that may be hedged; 0 disables hedging.
    hedge_ratio: float = 0.05
    # Minimum delay before the hedged attempt of a lookup.
    hedge_floor_s: float = 0.02
    # Retention of claims and their answers; a retry with an older key is refused.
    key_retention_s: float = 86_400.0
    fingerprint_refusal_s: float = 3_600.0


class Priority(Struct, frozen=True, kw_only=True):
    """A priority class with its latency target and its worth."""

    name: PriorityId
    # 95th-percentile time to the first token, or to the whole answer of a service.
    target_s: float
    # Relative value of a request; when the queue is full, requests of less worth are shed first.
    worth: float
    # Share of capacity that other priorities cannot use, even under overload.
    share_ratio: float = 0.05


class Team(Struct, frozen=True, kw_only=True):
    """A tenant with its fair-queueing weight and retry budget."""

    name: TeamId
    weight: float = 1.0
    # Retries that the team earns per first attempt.
    retry_ratio: float = 0.2


class Pool(Struct, frozen=True, kw_only=True):
    """A set of upstreams that register under one name."""

    name: PoolId
    kind: UpstreamKind
    # Upstreams that are drained: they finish their requests and accept no new ones.
    drain: tuple[UpstreamId, ...] = ()


class Route(Struct, frozen=True, kw_only=True):
    """A class of requests and the pools that may serve it."""

    name: RouteId
    kind: RouteKind
    pools: tuple[PoolId, ...]
    # A chat route matches on the model; other routes match on service and path prefix.
    models: tuple[str, ...] = ()
    service: str = ""
    path: str = ""
    idempotent: bool = True
    timeout_s: float = 30.0
    # Default when the request names no priority.
    priority: PriorityId


class Group(Struct, frozen=True, kw_only=True):
    """A group of ranks that execute steps in lock-step with one expert map.

    The map determines which ranks hold a replica of each expert.
    """

    name: GroupId
    pool: PoolId
    ranks: int
    experts: int
    # Maximum number of experts on one rank.
    slots_per_rank: int
    expert_bytes: int
    # Bandwidth of the weight store, shared by the whole group.
    store_bytes_per_s: float = 1e9
    fence: FenceMode = FenceMode.REFUSES


class Configuration(Struct, frozen=True, kw_only=True):
    """The complete contents of one validated file."""

    revision: Revision = NO_REVISION
    digest: Digest = Digest("")
    directory: Directory = Directory()
    limits: Limits = Limits()
    priorities: tuple[Priority, ...] = ()
    teams: tuple[Team, ...] = ()
    pools: tuple[Pool, ...] = ()
    routes: tuple[Route, ...] = ()
    groups: tuple[Group, ...] = ()
