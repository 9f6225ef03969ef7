"""Data centres whose upstreams receive no new requests."""

from msgspec import Struct

from lycheefall._core.ids import DataCentreId

# Version that an entry reports before it knows any evacuations.
UNKNOWN_VERSION = -1


class Evacuations(Struct, frozen=True, array_like=True):
    """The evacuated data centres, in the order of their names."""

    # Incremented with each change.
    version: int = 0
    data_centres: tuple[DataCentreId, ...] = ()


def is_open(evacuations: Evacuations | None, data_centre: DataCentreId) -> bool:
    """Return whether upstreams of a data centre may receive requests; not before it is known."""
    return evacuations is not None and data_centre not in evacuations.data_centres
