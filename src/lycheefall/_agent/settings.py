"""Settings of an agent."""

from msgspec import Struct

from lycheefall._core.enums import UpstreamKind
from lycheefall._core.ids import (
    Address,
    DataCentreId,
    GroupId,
    InstanceId,
    PoolId,
    RankId,
    UpstreamId,
)


class RankSettings(Struct, frozen=True, kw_only=True):
    """The rank of a group that the upstream is."""

    group: GroupId
    rank: RankId
    # Where the rank's runtime asks before each step; a loopback address.
    listen: Address


class AgentSettings(Struct, frozen=True, kw_only=True):
    """What an agent must know at its start."""

    instance: InstanceId
    data_centre: DataCentreId
    upstream: UpstreamId
    pool: PoolId
    kind: UpstreamKind
    # Where the upstream listens for HTTP.
    upstream_address: Address
    # Where this agent listens for entries.
    listen: Address
    control: tuple[Address, ...]
    # Requests that the upstream runs at one time.
    concurrency: int = 16
    # Longest wait of a shutdown for attempts that still run.
    drain_s: float = 60.0
    # None for an upstream that is not in a group.
    rank: RankSettings | None = None
    # Where entries connect when that isn't the listening address, as behind a forwarder.
    announce_as: Address | None = None
    statsd: Address | None = None
