"""Tell whether a pool has any upstream outside of the evacuated data centres."""

from lycheefall._rules.placing.upstreams import UpstreamTable


def is_evacuated(table: UpstreamTable) -> bool:
    """Return whether a pool has upstreams, and all are in evacuated data centres."""
    known = table.upstreams.values()
    return bool(known) and all(each.member.data_centre in table.evacuated for each in known)
