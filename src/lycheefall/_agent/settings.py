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
    """The rank that the upstream has in a group."""

    group: GroupId
    rank: RankId
    # Loopback address of the HTTP interface that the runtime of the rank calls before each step.
    listen: Address


class AgentSettings(Struct, frozen=True, kw_only=True):
    """Settings that an agent reads at its start."""

    instance: InstanceId
    data_centre: DataCentreId
    upstream: UpstreamId
    pool: PoolId
    kind: UpstreamKind
    # HTTP address of the upstream.
    upstream_address: Address
    # Address on which the agent accepts connections of entries.
    listen: Address
    control: tuple[Address, ...]
    # Maximum number of requests that the upstream runs concurrently.
    concurrency: int = 16
    # Maximum time that a shutdown waits for running attempts.
    drain_s: float = 60.0
    # None for an upstream that is not in a group.
    rank: RankSettings | None = None
    # Address that entries connect to if it differs from `listen`, for example behind a forwarder.
    announce_as: Address | None = None
    statsd: Address | None = None
