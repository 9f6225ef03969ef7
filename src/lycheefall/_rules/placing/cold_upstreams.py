"""Cold upstreams: they have started recently and accept few requests until they are warm."""

from math import ceil

from msgspec import Struct
from msgspec.structs import replace

from lycheefall._core.ids import DataCentreId, PoolId, UpstreamId
from lycheefall._core.relay import UpstreamRecord
from lycheefall._rules import record_table
from lycheefall._rules.dispatch_state import DispatchState
from lycheefall._rules.placing import rate_limits
from lycheefall._rules.placing.rate_limits import RateLimits
from lycheefall._rules.placing.upstream_notices import start_of
from lycheefall._rules.record_table import RecordTable

# Fraction of the slots that is used as soon as a cold upstream is known. Less
# leaves capacity unused that a data centre has as soon as it returns.
MIN_SLOT_SHARE = 0.5


class BecameCold(Struct, frozen=True):
    """A cold upstream that was not known to be cold."""

    upstream: UpstreamId
    pool: PoolId
    start_time_ms: int
    remaining_s: float
    # All entries together; None if the pool states no rate.
    rate_per_s: float | None
    # This entry alone.
    part_per_s: float | None


class BecameWarm(Struct, frozen=True):
    """An upstream whose cold time has ended."""

    upstream: UpstreamId
    pool: PoolId
    start_time_ms: int
    cold_s: float
    # Requests of this entry meanwhile.
    sent: int


def refresh(
    state: DispatchState, table: RecordTable, now_s: float
) -> list[BecameCold | BecameWarm]:
    """Start and end the limits of cold upstreams, and age the cold time in their records."""
    changes: list[BecameCold | BecameWarm] = []
    for name, pool in state.pools.items():
        settings = state.pool_settings.get(name)
        rate_per_s = None if settings is None else settings.cold_requests_per_s or None
        for stats in pool.upstreams.by_id.values():
            record = stats.record
            if record.cold_s <= 0.0:
                continue
            remaining_s = record_table.cold_remaining_s(table, record, now_s)
            start = start_of(record)
            stats.record = replace(record, cold_s=remaining_s)
            if remaining_s > 0.0:
                limits = pool.rate_limits
                until_s = now_s + remaining_s
                if rate_limits.record_cold(limits, start, rate_per_s, until_s, now_s):
                    part_per_s = rate_limits.cold_rate_of(limits, record, stats.sharers, now_s)
                    changes.append(
                        BecameCold(start[0], name, start[1], remaining_s, rate_per_s, part_per_s)
                    )
        for start, limit in list(pool.rate_limits.cold.items()):
            limit.remaining_s = max(0.0, limit.until_s - now_s)
            if limit.until_s <= now_s:
                del pool.rate_limits.cold[start]
                cold_s = now_s - limit.began_s
                changes.append(BecameWarm(start[0], name, start[1], cold_s, limit.sent))
    return changes


def assume_cold(state: DispatchState, data_centre: DataCentreId, now_s: float) -> None:
    """Take the upstreams of a data centre for cold, for as long as their pool says.

    They may have become cold without a start, and the next announcement comes a second later.
    """
    for name, pool in state.pools.items():
        settings = state.pool_settings.get(name)
        if settings is None or not settings.cold_s or not settings.cold_requests_per_s:
            continue
        until_s = now_s + settings.cold_s
        for stats in pool.upstreams.by_id.values():
            if stats.record.data_centre == data_centre:
                start = start_of(stats.record)
                rate_per_s = settings.cold_requests_per_s
                rate_limits.record_cold(pool.rate_limits, start, rate_per_s, until_s, now_s)


def ramped_slots(limits: RateLimits, record: UpstreamRecord, slots: int) -> int:
    """Return the slots of an upstream that may be used: more of them the longer it has been cold.

    An upstream without load would otherwise be sent a full batch at once.
    """
    limit = limits.cold.get(start_of(record))
    if limit is None or limit.rate_per_s is None or limit.remaining_s <= 0.0:
        return slots
    share = 1.0 - limit.remaining_s / (limit.until_s - limit.began_s)
    return min(slots, max(1, ceil(slots * max(MIN_SLOT_SHARE, share))))
