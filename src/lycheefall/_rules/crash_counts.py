"""Count the crashes of upstreams by the requests that were running there.

A broken connection alone is not a crash: an upstream can lose an answer and keep running. It
counts once the upstream is unreachable or has restarted, unless the upstream answers first.
"""

from msgspec import Struct, field

from lycheefall._core.ids import Fingerprint, UpstreamId
from lycheefall._core.messages.relay import Crash

# A request that was running during this many crashes is refused. Other requests that were running
# beside it are rarely present at the next crash as well.
REFUSED_AFTER_CRASHES = 3
# A fingerprint is dropped after this time without a crash.
RETENTION_S = 60.0
# A crashed upstream becomes unreachable or announces a restart within this time.
SUSPICION_TIMEOUT_S = 8.0


class _Count(Struct):
    """Crashes of one fingerprint."""

    # Upstreams that crashed, each with the start time of the crashed run.
    starts: set[tuple[UpstreamId, int]]
    # Time of the last counted crash.
    crashed_s: float


class CrashCounts(Struct, eq=False):
    """Crashes by fingerprint, and broken connections that may turn out to be crashes."""

    counts: dict[Fingerprint, _Count] = field(default_factory=dict)
    # Suspected crashes with the time at which each connection broke.
    suspected: dict[Crash, float] = field(default_factory=dict)


def suspect(counts: CrashCounts, crash: Crash, now_s: float) -> None:
    """Record a connection that broke while a request was running."""
    counts.suspected[crash] = now_s


def clear(counts: CrashCounts, upstream: UpstreamId) -> None:
    """Drop the suspected crashes of an upstream that still answers."""
    for crash in [each for each in counts.suspected if each.upstream == upstream]:
        del counts.suspected[crash]


def confirm(
    counts: CrashCounts, upstream: UpstreamId, new_start_time_ms: int | None, now_s: float
) -> list[Crash]:
    """Count the suspected crashes of an upstream that is unreachable or has restarted.

    `new_start_time_ms` is the time of the new start, or None if the upstream is unreachable.
    """
    confirmed = [
        crash
        for crash, suspected_s in counts.suspected.items()
        if crash.upstream == upstream
        and (new_start_time_ms is None or new_start_time_ms > crash.start_time_ms)
        and now_s - suspected_s < SUSPICION_TIMEOUT_S
    ]
    clear(counts, upstream)
    for crash in confirmed:
        record(counts, crash, now_s)
    return confirmed


def record(counts: CrashCounts, crash: Crash, now_s: float) -> int:
    """Count a crash once per start of an upstream, and return the count of the fingerprint."""
    count = counts.counts.get(crash.fingerprint)
    if count is None:
        count = counts.counts[crash.fingerprint] = _Count(set(), now_s)
    start = (crash.upstream, crash.start_time_ms)
    if start not in count.starts:
        count.starts.add(start)
        count.crashed_s = now_s
    return len(count.starts)


def refused_fingerprints(counts: CrashCounts, now_s: float) -> tuple[Fingerprint, ...]:
    """Return the fingerprints with too many crashes, and drop expired ones."""
    for fingerprint, count in list(counts.counts.items()):
        if now_s - count.crashed_s > RETENTION_S:
            del counts.counts[fingerprint]
    return tuple(
        fingerprint
        for fingerprint, count in counts.counts.items()
        if len(count.starts) >= REFUSED_AFTER_CRASHES
    )
