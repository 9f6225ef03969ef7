"""Settings of a relaying entry."""

from collections.abc import Callable

from msgspec import Struct

from lycheefall._core.dialect import Dialect
from lycheefall._core.ids import Address, DataCentreId, InstanceId
from lycheefall._rules.connection_account import CallerBounds
from lycheefall._rules.retry_budget import RetryBounds

# Assumed rate of a link that the settings do not state: 30 Mbit/s.
DEFAULT_LINK_BYTES_PER_S = 3_750_000.0


class RelaySettings(Struct, frozen=True, kw_only=True):
    """Settings of one entry."""

    instance: InstanceId
    data_centre: DataCentreId
    caller_listen: Address
    ready_listen: Address | None
    metrics_listen: Address | None
    # Returns the seeds: replicas to connect to in addition to the known voters.
    seeds: Callable[[], tuple[InstanceId, ...]]
    # Maps the id of a replica to the address where it listens for entries.
    entry_address: Callable[[InstanceId], Address]
    retry_bounds: RetryBounds
    # Time from the stop signal until the process is killed.
    grace_s: float
    # Rate of the link of this machine.
    link_bytes_per_s: float
    # Memory of the process, beyond which it is killed.
    memory_bytes: float
    callers: CallerBounds
    dialect: Dialect
