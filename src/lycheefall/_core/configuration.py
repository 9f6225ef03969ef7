"""Data of an accepted configuration file."""

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
    """How callers are spread over entries."""

    ttl_s: float = 10.0
    # Entries that one team is given; 0 gives all of them.
    shard_size: int = 0


class Limits(Struct, frozen=True, kw_only=True):
    """Bounds that hold for every request."""

    body_bytes: int = 1_048_576
    queue_s: float = 5.0
    queue_requests: int = 20_000
    default_max_tokens: int = 256
    retry_ratio: float = 0.1
    # Part of a team's lookups that may have a second attempt; 0 for none.
    hedge_ratio: float = 0.05
    # Shortest time after which a lookup may have it.
    hedge_floor_s: float = 0.02
    # Claims and their answers are kept this long; a later retry of the key is refused.
    key_retention_s: float = 86_400.0
    fingerprint_refusal_s: float = 3_600.0


class Priority(Struct, frozen=True, kw_only=True):
    """A class of work with its target and its worth."""

    name: PriorityId
    # Time to the first token (or to the whole answer of a service) for 95 in 100.
    target_s: float
    worth: float
    # Share of capacity that floods of other priorities can't take.
    share_ratio: float = 0.05


class Team(Struct, frozen=True, kw_only=True):
    """A customer and its share."""

    name: TeamId
    weight: float = 1.0
    retry_ratio: float = 0.2


class Pool(Struct, frozen=True, kw_only=True):
    """A set of upstreams that announce themselves under one name."""

    name: PoolId
    kind: UpstreamKind
    drain: tuple[UpstreamId, ...] = ()


class Route(Struct, frozen=True, kw_only=True):
    """A kind of request and the pools it may reach."""

    name: RouteId
    kind: RouteKind
    pools: tuple[PoolId, ...]
    # A chat route matches the model of the request; the others match service and path prefix.
    models: tuple[str, ...] = ()
    service: str = ""
    path: str = ""
    idempotent: bool = True
    timeout_s: float = 30.0
    # Used when the caller names no priority.
    priority: PriorityId


class Group(Struct, frozen=True, kw_only=True):
    """A group of ranks that run in lock-step on one expert map."""

    name: GroupId
    pool: PoolId
    ranks: int
    experts: int
    slots_per_rank: int
    expert_bytes: int
    # What the weight store delivers to the whole group.
    store_bytes_per_s: float = 1e9
    fence: FenceMode = FenceMode.REFUSES


class Configuration(Struct, frozen=True, kw_only=True):
    """One accepted file, as a whole."""

    revision: Revision = NO_REVISION
    digest: Digest = Digest("")
    directory: Directory = Directory()
    limits: Limits = Limits()
    priorities: tuple[Priority, ...] = ()
    teams: tuple[Team, ...] = ()
    pools: tuple[Pool, ...] = ()
    routes: tuple[Route, ...] = ()
    groups: tuple[Group, ...] = ()
