"""Settings of an entry."""

from msgspec import Struct

from lycheefall._core.ids import Address, DataCentreId, InstanceId


class EntrySettings(Struct, frozen=True, kw_only=True):
    """Startup settings of an entry."""

    instance: InstanceId
    data_centre: DataCentreId
    # Address for the HTTP requests of callers.
    listen: Address
    # Address for the heartbeats of agents.
    announce_listen: Address
    control: tuple[Address, ...]
    statsd: Address | None = None
    # Drain timeout: the longest wait of a shutdown for requests in flight.
    drain_s: float = 60.0
