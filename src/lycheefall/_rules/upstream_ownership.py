"""Which upstreams each entry uses first, so that entries seldom choose the same free place."""

from collections.abc import Iterable
from math import ceil

from msgspec import Struct

from lycheefall._core.ids import DataCentreId, InstanceId, UpstreamId


class EntryLocation(Struct, frozen=True):
    """An entry and where it is."""

    entry: InstanceId
    data_centre: DataCentreId


class UpstreamLocation(Struct, frozen=True):
    """An upstream and where it is."""

    upstream: UpstreamId
    data_centre: DataCentreId


def assign_owners(
    entries: Iterable[EntryLocation], upstreams: Iterable[UpstreamLocation]
) -> dict[UpstreamId, InstanceId]:
    """Give each upstream to one entry: of its own data centre first, and about equally many.

    Entries that know the same members come to the same result without a word between them.
    """
    ordered = sorted(entries, key=lambda each: each.entry)
    remaining = sorted(upstreams, key=lambda each: each.upstream)
    if not ordered:
        return {}
    quota = ceil(len(remaining) / len(ordered))
    counts = {each.entry: 0 for each in ordered}
    owners: dict[UpstreamId, InstanceId] = {}
    for is_near in (True, False):
        for upstream in remaining:
            if upstream.upstream in owners:
                continue
            open_entries = [
                each
                for each in ordered
                if counts[each.entry] < quota
                and (not is_near or each.data_centre == upstream.data_centre)
            ]
            if open_entries:
                chosen = min(open_entries, key=lambda each: (counts[each.entry], each.entry))
                owners[upstream.upstream] = chosen.entry
                counts[chosen.entry] += 1
    return owners
