"""Notices in the responses of upstreams: one is leaving, or accepts no requests for some time.

An entry acts on a notice at once and without control. A notice applies to one start of an
upstream, so a new start at the same address or with the same id is not affected. After the time
has passed, an upstream receives one request at a time until it responds to one: requests that were
held back must not all arrive at the same moment.
"""

from collections.abc import Iterable

from msgspec import Struct, field

from lycheefall._core.ids import UpstreamId
from lycheefall._core.relay import UpstreamRecord

# Upper bound of a requested time: a corrupt value must not exclude an upstream for good.
MAX_CLOSED_S = 3600.0

# An upstream and its start time in ms; a restarted upstream may keep its id.
Start = tuple[UpstreamId, int]


class Notices(Struct, eq=False):
    """Notices of the upstreams of one pool."""

    leaving: set[Start] = field(default_factory=set)
    # End of the time for which an upstream accepts no requests. The entry is kept after that until
    # the upstream responds to a request.
    closed_until_s: dict[Start, float] = field(default_factory=dict)


def close(notices: Notices, start: Start, duration_s: float, now_s: float) -> None:
    """Record that an upstream accepts no requests for some time; an earlier notice may last longer.

    A negative duration counts as 0.
    """
    until_s = now_s + min(MAX_CLOSED_S, max(0.0, duration_s))
    notices.closed_until_s[start] = max(until_s, notices.closed_until_s.get(start, until_s))


def record_response(notices: Notices, start: Start, now_s: float) -> None:
    """Lift the limit of an upstream that responds to a request after it has reopened."""
    if notices.closed_until_s.get(start, now_s) <= now_s:
        notices.closed_until_s.pop(start, None)


def is_closed(notices: Notices, record: UpstreamRecord, now_s: float) -> bool:
    """Return whether an upstream accepts no requests now."""
    return notices.closed_until_s.get(start_of(record), now_s) > now_s


def is_reopening(notices: Notices, record: UpstreamRecord) -> bool:
    """Return whether an upstream has not responded to a request since it was closed."""
    return start_of(record) in notices.closed_until_s


def opens_s(notices: Notices, records: Iterable[UpstreamRecord], now_s: float) -> float:
    """Return the earliest time at which any of the upstreams accepts requests."""
    if not notices.closed_until_s:
        return now_s
    times = (notices.closed_until_s.get(start_of(each), now_s) for each in records)
    return max(now_s, min(times, default=now_s))


def retain(notices: Notices, known: set[Start]) -> None:
    """Forget the notices of unknown upstreams."""
    notices.leaving &= known
    for start in notices.closed_until_s.keys() - known:
        del notices.closed_until_s[start]


def start_of(record: UpstreamRecord) -> Start:
    """Return the key of the notices of an upstream."""
    return record.upstream, record.start_time_ms
