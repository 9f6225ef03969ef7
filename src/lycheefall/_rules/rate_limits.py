"""Rates of requests that upstreams accept from all entries together."""

from msgspec import Struct, field

from lycheefall._rules.upstream_notices import Start


class RateLimit(Struct):
    """The latest statement of an upstream; a rate of None says that there is no limit."""

    rate_per_s: float | None
    stated_s: float


class RateLimits(Struct, eq=False):
    """Statements of the upstreams of one pool that have stated a limit."""

    by_start: dict[Start, RateLimit] = field(default_factory=dict)


def record(limits: RateLimits, start: Start, rate_per_s: float | None, stated_s: float) -> bool:
    """Record a statement, unless a later one is known, and return whether the rate changes."""
    known = limits.by_start.get(start)
    if known is None:
        if rate_per_s is not None:
            limits.by_start[start] = RateLimit(rate_per_s, stated_s)
        return rate_per_s is not None
    if stated_s < known.stated_s:
        return False
    is_change = rate_per_s != known.rate_per_s
    known.rate_per_s = rate_per_s
    known.stated_s = stated_s
    return is_change


def retain(limits: RateLimits, known: set[Start]) -> None:
    """Forget the limits of unknown upstreams."""
    for start in limits.by_start.keys() - known:
        del limits.by_start[start]
