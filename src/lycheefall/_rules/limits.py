"""Adaptive limit on the requests that one entry keeps in flight at one upstream.

Additive increase, multiplicative decrease: D. Chiu, R. Jain, "Analysis of the Increase and
Decrease Algorithms for Congestion Avoidance in Computer Networks", 1989; entries that share an
upstream converge to equal parts without talking to each other. Congestion is seen from delay
against the lowest recent one, as in L. Brakmo, L. Peterson, "TCP Vegas", 1995, and from the queue
that the upstream reports.
"""

from lycheefall._core.messages.membership import Load

_MIN_LIMIT = 1.0
# An engine may batch more than it states, but not many times more.
_MAX_LIMIT_PER_CONCURRENCY = 2.0
_DECREASE_RATIO = 0.8
# Reports lag, so the effect of a decrease must be seen before the next one.
_DECREASE_PERIOD_S = 0.5
_RECENT_WEIGHT = 0.03
# Until then the mean of all is used; one short first request would make all others look late.
_WARM_UP_SAMPLES = 32
# Time to the first token that counts as congestion, against the lowest recent one.
_TOLERATED_DELAY_RATIO = 2.0
# On a busy machine scheduling alone delays an answer of a few milliseconds by this much.
_TOLERATED_DELAY_S = 0.1
# Waiting requests that count as congestion, against the concurrency.
_TOLERATED_WAITING_RATIO = 0.25
# The lowest delay doubles in this time, so that a lasting change of the work is accepted.
_BASELINE_DOUBLING_S = 60.0
# The limit grows only when it is used, or it would say nothing when load returns.
_USED_RATIO = 0.5


class UpstreamLimit:
    """Limit of one upstream and the delays it is derived from."""

    __slots__ = (
        "baseline_at_s",
        "baseline_s",
        "concurrency",
        "decreased_s",
        "limit",
        "recent_s",
        "samples",
    )

    def __init__(self, concurrency: int) -> None:
        self.concurrency = concurrency
        # The agent's count divides the slots; a limit that starts at a part of them holds back the
        # first burst of an entry at an upstream that is nearly idle.
        self.limit = max(_MIN_LIMIT, float(concurrency))
        self.recent_s = 0.0
        self.samples = 0
        self.baseline_s = 0.0
        self.baseline_at_s = 0.0
        self.decreased_s = float("-inf")


def allowed(limit: UpstreamLimit) -> int:
    """Return the number of requests that may be in flight."""
    return int(limit.limit)


def observe_first_token(
    limit: UpstreamLimit, elapsed_s: float, in_flight: int, now_s: float
) -> UpstreamLimit:
    """Adapt to the time that a request took to its first token."""
    _observe_delay(limit, elapsed_s, now_s)
    tolerated_s = max(
        _TOLERATED_DELAY_RATIO * limit.baseline_s, limit.baseline_s + _TOLERATED_DELAY_S
    )
    if limit.recent_s > tolerated_s:
        return observe_refusal(limit, now_s)
    if in_flight >= _USED_RATIO * limit.limit:
        most = max(_MIN_LIMIT, _MAX_LIMIT_PER_CONCURRENCY * limit.concurrency)
        limit.limit = min(most, limit.limit + 1.0 / limit.limit)
    return limit


def observe_load(limit: UpstreamLimit, load: Load, concurrency: int, now_s: float) -> UpstreamLimit:
    """Adapt to a load report, and to a change of the upstream's concurrency."""
    if concurrency != limit.concurrency:
        limit.limit *= concurrency / max(1, limit.concurrency)
        limit.limit = max(_MIN_LIMIT, limit.limit)
        limit.concurrency = concurrency
    # One waiting request is no congestion for an upstream of low concurrency.
    if load.waiting > max(1.0, _TOLERATED_WAITING_RATIO * concurrency):
        return observe_refusal(limit, now_s)
    return limit


def observe_refusal(limit: UpstreamLimit, now_s: float) -> UpstreamLimit:
    """Lower the limit after congestion, such as an upstream that refused as busy."""
    if now_s - limit.decreased_s >= _DECREASE_PERIOD_S:
        limit.decreased_s = now_s
        limit.limit = max(_MIN_LIMIT, limit.limit * _DECREASE_RATIO)
    return limit


def _observe_delay(limit: UpstreamLimit, elapsed_s: float, now_s: float) -> None:
    limit.samples += 1
    weight = max(_RECENT_WEIGHT, 1.0 / limit.samples)
    limit.recent_s += weight * (elapsed_s - limit.recent_s)
    doublings = (now_s - limit.baseline_at_s) / _BASELINE_DOUBLING_S
    raised_s = limit.baseline_s * (1.0 + min(1.0, doublings))
    is_warm = limit.samples >= _WARM_UP_SAMPLES
    limit.baseline_s = min(limit.recent_s, raised_s) if is_warm else limit.recent_s
    limit.baseline_at_s = now_s
