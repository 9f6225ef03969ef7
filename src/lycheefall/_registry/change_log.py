"""Log lines about changes of upstreams."""

from lycheefall._core.enums import MemberState
from lycheefall._core.events import Event
from lycheefall._core.log import log
from lycheefall._core.relay import UpstreamRecord


def log_change(record: UpstreamRecord) -> None:
    """Log what became of an upstream."""
    match record.state:
        case MemberState.DRAINING:
            event = Event.UPSTREAM_DRAINING
        case MemberState.FAILED:
            event = Event.UPSTREAM_LEFT
        case _:
            event = Event.UPSTREAM_SEEN
    log(
        event,
        upstream=record.upstream,
        pool=record.pool,
        address=record.address,
        state=record.state.value,
        born_ms=record.start_time_ms,
        sequence=record.sequence,
    )
