"""Requests that crash upstreams: how many upstreams each was running at when they crashed."""

from msgspec import Struct, field

from lycheefall._core.ids import Fingerprint, UpstreamId
from lycheefall._core.messages.relay import Crash

# A request that was running at this many crashes is refused. Others that ran beside it are
# seldom there again at the next crash.
REFUSED_AFTER = 3
# A fingerprint is forgotten after this time without a crash.
KEPT_S = 60.0


class _Count(Struct):
    upstreams: set[tuple[UpstreamId, int]]
    seen_s: float


class CrashCounts(Struct, eq=False):
    """Crashes by fingerprint."""

    counts: dict[Fingerprint, _Count] = field(default_factory=dict)


def record(counts: CrashCounts, crash: Crash, now_s: float) -> int:
    """Count a crash once for each start of an upstream; return the count of the fingerprint."""
    count = counts.counts.get(crash.fingerprint)
    if count is None:
        count = counts.counts[crash.fingerprint] = _Count(set(), now_s)
    start = (crash.upstream, crash.born_ms)
    if start not in count.upstreams:
        count.upstreams.add(start)
        count.seen_s = now_s
    return len(count.upstreams)


def refused(counts: CrashCounts, now_s: float) -> tuple[Fingerprint, ...]:
    """Return the fingerprints that crashed too many upstreams, and forget old ones."""
    for fingerprint, count in list(counts.counts.items()):
        if now_s - count.seen_s > KEPT_S:
            del counts.counts[fingerprint]
    return tuple(
        fingerprint
        for fingerprint, count in counts.counts.items()
        if len(count.upstreams) >= REFUSED_AFTER
    )
