"""Log upstreams that are cold, and the end of that time."""

from lycheefall._core.events import Event
from lycheefall._core.log import log
from lycheefall._rules.placing.cold_upstreams import BecameCold, BecameWarm


def log_cold_change(change: BecameCold | BecameWarm, entries: int) -> None:
    """Log a change; `entries` is the largest number of entries that this one counts with."""
    match change:
        case BecameCold():
            log(
                Event.UPSTREAM_COLD,
                upstream=change.upstream,
                pool=change.pool,
                born_ms=change.start_time_ms,
                remaining_s=round(change.remaining_s, 3),
                rate_per_s=change.rate_per_s,
                part_per_s=None if change.part_per_s is None else round(change.part_per_s, 3),
                entries=entries,
            )
        case BecameWarm():
            log(
                Event.UPSTREAM_WARM,
                upstream=change.upstream,
                pool=change.pool,
                born_ms=change.start_time_ms,
                cold_s=round(change.cold_s, 3),
                sent=change.sent,
            )
