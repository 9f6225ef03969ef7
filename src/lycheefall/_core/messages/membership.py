"""Announcements of entries and agents."""

from msgspec import Struct

from lycheefall._core.enums import MemberState, UpstreamKind
from lycheefall._core.ids import (
    Address,
    DataCentreId,
    Fingerprint,
    Incarnation,
    InstanceId,
    PoolId,
    UpstreamId,
)


class Load(Struct, frozen=True, array_like=True):
    """Load reported by an upstream."""

    running: int = 0
    waiting: int = 0
    # Tokens that the waiting and the running requests still have to generate.
    queue_tokens: int = 0
    # Used part of the key-value cache.
    kv_used_ratio: float = 0.0
    # Time since the upstream measured these values.
    age_s: float = 0.0


class UpstreamMember(Struct, frozen=True, array_like=True, tag=1):
    """An agent and its upstream, as announced by the agent."""

    upstream: UpstreamId
    instance: InstanceId
    data_centre: DataCentreId
    pool: PoolId
    kind: UpstreamKind
    address: Address
    incarnation: Incarnation
    state: MemberState
    # Maximum number of requests that the upstream runs concurrently.
    concurrency: int
    load: Load = Load()
    # Fingerprints that were in flight at recent crashes of the upstream.
    crashed: tuple[Fingerprint, ...] = ()
    # True if the upstream has failed and some of its attempts have not ended yet.
    has_open_attempts: bool = False


class EntryMember(Struct, frozen=True, array_like=True, tag=2):
    """An entry, as announced by itself."""

    instance: InstanceId
    data_centre: DataCentreId
    # Address for callers.
    address: Address
    # Address for announcements of agents.
    announce_address: Address
    incarnation: Incarnation
    state: MemberState


Member = UpstreamMember | EntryMember


class Announce(Struct, frozen=True, array_like=True, tag=21):
    """Heartbeat of a member; a lower sequence of the same incarnation is stale and ignored."""

    member: Member
    sequence: int
