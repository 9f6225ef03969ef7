"""Rates of requests that upstreams accept from all entries together.

An upstream states its rate in a response, or is cold and has the rate of its pool until it is warm.
The entries that use an upstream take equal parts of its rate, as a permit for one request at
regular times. The times start at random, so that the permits of all entries are spread evenly. A
permit expires soon after its time: otherwise entries that were idle would all use theirs at the
same moment.
"""

from math import ceil
from random import Random

from msgspec import Struct, field

from lycheefall._core.relay import UpstreamRecord
from lycheefall._rules.placing import peer_history
from lycheefall._rules.placing.peer_history import PeerHistory
from lycheefall._rules.placing.upstream_notices import Start, start_of

# Time for which a permit can be used.
PERMIT_S = 1.0
# The same for a cold upstream: in any second, an entry sends at most the permits of 1.25 s and one.
COLD_PERMIT_S = 0.25
# Lowest rate of all entries together: without any request, the end of a limit would go unnoticed.
MIN_RATE_PER_S = 0.05
# Part of the rate of a cold upstream that entries with the same view of each other share. Entries
# may have two views for a moment, and then take the whole rate.
COLD_USED_SHARE = 0.5


class RateLimit(Struct):
    """The latest statement of an upstream; a rate of None says that there is no limit."""

    rate_per_s: float | None
    stated_s: float
    # Time of the first permit that has not been used; None before the first one.
    permit_s: float | None


class ColdLimit(Struct):
    """Limit of a cold upstream, which ends by itself; a rate of None is no limit."""

    rate_per_s: float | None
    began_s: float
    until_s: float
    # As of the last tick of the dispatcher.
    remaining_s: float
    # Requests of this entry meanwhile.
    sent: int = 0
    permit_s: float | None = None


class RateLimits(Struct, eq=False):
    """Limits of the upstreams of one pool that have stated one or are cold."""

    by_start: dict[Start, RateLimit] = field(default_factory=dict)
    cold: dict[Start, ColdLimit] = field(default_factory=dict)
    # What this entry knows of the others.
    peers: PeerHistory = field(default_factory=PeerHistory)


def record(limits: RateLimits, start: Start, rate_per_s: float | None, stated_s: float) -> bool:
    """Record a statement, unless a later one is known, and return whether the rate changes."""
    known = limits.by_start.get(start)
    if known is None:
        known = RateLimit(None, float("-inf"), None)
    if stated_s < known.stated_s:
        return False
    before = known.rate_per_s
    known.rate_per_s = rate_per_s
    known.stated_s = stated_s
    if rate_per_s is None:
        known.permit_s = None
    else:
        limits.by_start[start] = known
    return rate_per_s != before


def record_cold(
    limits: RateLimits, start: Start, rate_per_s: float | None, until_s: float, now_s: float
) -> bool:
    """Record that an upstream is cold until a time, and return whether that is new."""
    known = limits.cold.get(start)
    if known is None:
        limits.cold[start] = ColdLimit(rate_per_s, now_s, until_s, until_s - now_s)
        return True
    known.rate_per_s = rate_per_s
    known.until_s = max(known.until_s, until_s)
    return False


def has_permit(
    limits: RateLimits, upstream: UpstreamRecord, sharers: int, now_s: float, random: Random
) -> bool:
    """Return whether this entry may send a request to an upstream now.

    `sharers` is the number of entries that use the upstream, or 0 if this one does not.
    """
    start = start_of(upstream)
    limit = limits.by_start.get(start)
    if limit is not None and limit.rate_per_s is not None:
        if sharers == 0:
            return False
        interval_s = _interval_s(
            limit.rate_per_s, peer_history.known_sharers(limits.peers, sharers)
        )
        if not _is_permit_due(limit, interval_s, PERMIT_S, now_s, random):
            return False
    cold = limits.cold.get(start)
    if cold is None or cold.rate_per_s is None or cold.until_s <= now_s:
        return True
    cold_sharers = peer_history.safe_sharers(limits.peers, sharers, now_s)
    if cold_sharers == 0:
        return False
    interval_s = _interval_s(cold.rate_per_s * COLD_USED_SHARE, cold_sharers)
    return _is_permit_due(cold, interval_s, COLD_PERMIT_S, now_s, random)


def use_permit(limits: RateLimits, upstream: UpstreamRecord, sharers: int, now_s: float) -> None:
    """Use the permit for a request."""
    start = start_of(upstream)
    limit = limits.by_start.get(start)
    if limit is not None and limit.rate_per_s is not None and limit.permit_s is not None:
        sharers_now = max(1, peer_history.known_sharers(limits.peers, sharers))
        limit.permit_s += _interval_s(limit.rate_per_s, sharers_now)
    cold = limits.cold.get(start)
    if cold is None:
        return
    cold.sent += 1
    if cold.rate_per_s is not None and cold.permit_s is not None:
        cold_sharers = max(1, peer_history.safe_sharers(limits.peers, sharers, now_s))
        cold.permit_s += _interval_s(cold.rate_per_s * COLD_USED_SHARE, cold_sharers)


def rate_of(limits: RateLimits, upstream: UpstreamRecord, sharers: int) -> float | None:
    """Return this entry's part of the rate that an upstream states, or None if it states none."""
    limit = limits.by_start.get(start_of(upstream))
    if limit is None or limit.rate_per_s is None:
        return None
    if sharers == 0:
        return 0.0
    return 1.0 / _interval_s(limit.rate_per_s, peer_history.known_sharers(limits.peers, sharers))


def cold_rate_of(
    limits: RateLimits, upstream: UpstreamRecord, sharers: int, now_s: float
) -> float | None:
    """Return this entry's part of the rate of a cold upstream, or None if it has no such limit."""
    cold = limits.cold.get(start_of(upstream))
    if cold is None or cold.rate_per_s is None or cold.until_s <= now_s:
        return None
    cold_sharers = peer_history.safe_sharers(limits.peers, sharers, now_s)
    if cold_sharers == 0:
        return 0.0
    return 1.0 / _interval_s(cold.rate_per_s * COLD_USED_SHARE, cold_sharers)


def retain(limits: RateLimits, known: set[Start]) -> None:
    """Forget the limits of unknown upstreams."""
    for start in limits.by_start.keys() - known:
        del limits.by_start[start]
    for start in limits.cold.keys() - known:
        del limits.cold[start]


def _is_permit_due(
    limit: RateLimit | ColdLimit, interval_s: float, life_s: float, now_s: float, random: Random
) -> bool:
    """Drop the expired permits, and return whether there is one now."""
    if limit.permit_s is None:
        limit.permit_s = now_s + random.random() * interval_s
    expired_s = now_s - life_s - limit.permit_s
    if expired_s > 0.0:
        limit.permit_s += ceil(expired_s / interval_s) * interval_s
    return limit.permit_s <= now_s


def _interval_s(rate_per_s: float, sharers: int) -> float:
    return sharers / max(MIN_RATE_PER_S, rate_per_s)
