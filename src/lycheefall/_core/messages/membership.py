"""Messages by which entries and agents announce themselves."""

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
    """Load that an upstream reported."""

    running: int = 0
    waiting: int = 0
    queue_tokens: int = 0
    kv_used_ratio: float = 0.0
    # Time since the upstream measured this.
    age_s: float = 0.0


class UpstreamMember(Struct, frozen=True, array_like=True, tag=1):
    """An agent and its upstream, as the agent announces them."""

    upstream: UpstreamId
    instance: InstanceId
    data_centre: DataCentreId
    pool: PoolId
    kind: UpstreamKind
    address: Address
    incarnation: Incarnation
    state: MemberState
    # Requests that the upstream runs at one time.
    concurrency: int
    load: Load = Load()
    # Fingerprints that were in flight at recent crashes of the upstream.
    crashed: tuple[Fingerprint, ...] = ()
    # The upstream has failed, and attempts that were in flight have not ended yet.
    has_open_attempts: bool = False


class EntryMember(Struct, frozen=True, array_like=True, tag=2):
    """An entry, as it announces itself."""

    instance: InstanceId
    data_centre: DataCentreId
    # Where callers connect.
    address: Address
    # Where agents announce themselves.
    announce_address: Address
    incarnation: Incarnation
    state: MemberState


Member = UpstreamMember | EntryMember


class Announce(Struct, frozen=True, array_like=True, tag=21):
    """Heartbeat of a member; a lower sequence of the same incarnation is late and ignored."""

    member: Member
    sequence: int
