"""Set the upstreams of evacuated data centres aside, with what is known of them.

They are neither selected nor counted as capacity. Their attempts in flight go on, and count again
after the evacuation is withdrawn.
"""

from lycheefall._core.evacuations import is_open
from lycheefall._core.relay import UpstreamRecord
from lycheefall._rules import decaying_counts
from lycheefall._rules.dispatch_messages import RefusalReason
from lycheefall._rules.dispatch_state import DispatchState
from lycheefall._rules.placing.upstream_selection import UpstreamStats
from lycheefall._rules.pool_state import PoolState, stats_of


def place_record(state: DispatchState, pool: PoolState, record: UpstreamRecord) -> None:
    """Add an upstream, or its new record, to those that are used or to those set aside."""
    stats = stats_of(pool, record.upstream)
    if stats is None or stats.record.start_time_ms != record.start_time_ms:
        stats = UpstreamStats(record)
    stats.record = record
    used, other = pool.upstreams.by_id, pool.evacuated
    if not is_open(state.evacuations, record.data_centre):
        used, other = other, used
    other.pop(record.upstream, None)
    used[record.upstream] = stats


def is_evacuated(pool: PoolState) -> bool:
    """Return whether a pool has upstreams, and all are in evacuated data centres."""
    return bool(pool.evacuated) and not pool.upstreams.by_id


def reason_without_upstreams(state: DispatchState, pool: PoolState) -> RefusalReason:
    """Return why a pool without usable upstreams refuses requests."""
    if state.evacuations is not None and is_evacuated(pool):
        return RefusalReason.EVACUATED
    return RefusalReason.NO_UPSTREAM


def usable_slots(pool: PoolState) -> int:
    """Return the slots of the upstreams that are used."""
    return sum(max(1, stats.record.slots) for stats in pool.upstreams.by_id.values())


def scale_placement_rate(pool: PoolState, slots_before: int) -> None:
    """Reduce the measured placement rate of a pool in proportion to its lost slots.

    The rate is a mean of the last seconds, so the queue would count on the lost slots meanwhile.
    """
    slots = usable_slots(pool)
    if slots < slots_before:
        decaying_counts.scale(pool.placement_rate, slots / slots_before)
