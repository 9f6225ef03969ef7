"""Assign each upstream to an owning entry, so that entries rarely select the same free slot."""

from collections.abc import Collection, Iterable
from math import ceil

from msgspec import Struct

from lycheefall._core.ids import DataCentreId, InstanceId, UpstreamId

# Number of entries whose upstreams an entry uses besides its own. The loads of other entries are
# known a few hundred milliseconds late; if all entries compared all upstreams, they would select
# the same one at the same time.
NEIGHBOURS = 2


class EntryLocation(Struct, frozen=True):
    """An entry and its data centre."""

    entry: InstanceId
    data_centre: DataCentreId


class UpstreamLocation(Struct, frozen=True):
    """An upstream and its data centre."""

    upstream: UpstreamId
    data_centre: DataCentreId


def assign_owners(
    entries: Iterable[EntryLocation], upstreams: Iterable[UpstreamLocation]
) -> dict[UpstreamId, InstanceId]:
    """Return the owner of each upstream: an entry of the same data centre while one has quota left.

    The quota distributes the upstreams evenly over all entries.

    The result is deterministic, so entries that know the same members agree without coordination.
    """
    ordered = sorted(entries, key=lambda each: each.entry)
    remaining = sorted(upstreams, key=lambda each: each.upstream)
    if not ordered:
        return {}
    quota = ceil(len(remaining) / len(ordered))
    counts = {each.entry: 0 for each in ordered}
    owners: dict[UpstreamId, InstanceId] = {}
    for same_data_centre in (True, False):
        for upstream in remaining:
            if upstream.upstream in owners:
                continue
            candidates = [
                each
                for each in ordered
                if counts[each.entry] < quota
                and (not same_data_centre or each.data_centre == upstream.data_centre)
            ]
            if candidates:
                chosen = min(candidates, key=lambda each: (counts[each.entry], each.entry))
                owners[upstream.upstream] = chosen.entry
                counts[chosen.entry] += 1
    return owners


def users_by_owner(owners: Collection[int], entries: int) -> dict[int, frozenset[int]]:
    """Return the entries that use the upstreams of each owner, by positions in their order.

    An entry uses the upstreams of its neighbours, or all of them if no neighbour owns any.
    """
    without_neighbours = {
        position
        for position in range(entries)
        if all((owner - position) % entries > NEIGHBOURS for owner in owners)
    }
    return {
        owner: frozenset((owner - distance) % entries for distance in range(NEIGHBOURS + 1))
        | without_neighbours
        for owner in owners
    }
