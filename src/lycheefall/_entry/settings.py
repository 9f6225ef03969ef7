"""Settings of an entry."""

from msgspec import Struct

from lycheefall._core.ids import Address, DataCentreId, InstanceId


class EntrySettings(Struct, frozen=True, kw_only=True):
    """What an entry must know at its start."""

    instance: InstanceId
    data_centre: DataCentreId
    # Where callers connect.
    listen: Address
    # Where agents announce themselves.
    announce_listen: Address
    control: tuple[Address, ...]
    statsd: Address | None = None
    # Longest wait of a shutdown for requests in flight.
    drain_s: float = 60.0
