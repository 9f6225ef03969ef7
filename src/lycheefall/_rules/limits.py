"""Adaptive concurrency limit of one entry at one upstream.

Additive increase, multiplicative decrease: D. Chiu, R. Jain, "Analysis of the Increase and
Decrease Algorithms for Congestion Avoidance in Computer Networks", 1989; entries that share an
upstream converge to equal parts without coordination. Congestion is detected from the delay
relative to the lowest recent delay, as in L. Brakmo, L. Peterson, "TCP Vegas", 1995, and from the
queue length that the upstream reports.
"""

from lycheefall._core.messages.membership import Load

_MIN_LIMIT = 1.0
# An engine may batch more requests than its stated concurrency, but not many times more.
_MAX_LIMIT_PER_CONCURRENCY = 2.0
# Factor by which congestion lowers the limit.
_DECREASE_RATIO = 0.8
# Reports lag, so the next decrease waits until the effect of the last one is visible.
_DECREASE_PERIOD_S = 0.5
# Weight of a sample in the moving average of the delay.
_SAMPLE_WEIGHT = 0.03
# Below this number of samples the baseline is the mean of all samples. With the minimum, one short
# first request would make all later ones look delayed.
_WARM_UP_SAMPLES = 32
# Ratio of the time to the first token to the baseline above which it counts as congestion.
_TOLERATED_DELAY_RATIO = 2.0
# On a busy machine, scheduling alone can delay an answer of a few milliseconds by this much.
_TOLERATED_DELAY_S = 0.1
# Ratio of reported waiting requests to the concurrency above which they count as congestion.
_TOLERATED_WAITING_RATIO = 0.25
# The baseline may double within this time, so that it follows a lasting change of the workload.
_BASELINE_DOUBLING_S = 60.0
# The limit grows only while at least this part is in use; a limit that grew while idle would not
# reflect the capacity when load returns.
_USED_RATIO = 0.5


class UpstreamLimit:
    """Limit of one upstream and the delays from which it is derived."""

    __slots__ = (
        "baseline_at_s",
        "baseline_delay_s",
        "concurrency",
        "last_decrease_s",
        "limit",
        "recent_delay_s",
        "samples",
    )

    def __init__(self, concurrency: int) -> None:
        self.concurrency = concurrency
        # The agent's count already divides the slots among entries. A limit that starts below the
        # concurrency would delay an entry's first burst at a nearly idle upstream.
        self.limit = max(_MIN_LIMIT, float(concurrency))
        # Moving average of the time to the first token.
        self.recent_delay_s = 0.0
        self.samples = 0
        # Lowest recent value of that average.
        self.baseline_delay_s = 0.0
        self.baseline_at_s = 0.0
        self.last_decrease_s = float("-inf")


def max_in_flight(limit: UpstreamLimit) -> int:
    """Return the maximum number of requests in flight."""
    return int(limit.limit)


def observe_first_token(
    limit: UpstreamLimit, elapsed_s: float, in_flight: int, now_s: float
) -> UpstreamLimit:
    """Adapt the limit to the time to the first token of a request, in seconds."""
    _observe_delay(limit, elapsed_s, now_s)
    tolerated_s = max(
        _TOLERATED_DELAY_RATIO * limit.baseline_delay_s, limit.baseline_delay_s + _TOLERATED_DELAY_S
    )
    if limit.recent_delay_s > tolerated_s:
        return observe_congestion(limit, now_s)
    if in_flight >= _USED_RATIO * limit.limit:
        most = max(_MIN_LIMIT, _MAX_LIMIT_PER_CONCURRENCY * limit.concurrency)
        limit.limit = min(most, limit.limit + 1.0 / limit.limit)
    return limit


def observe_load(limit: UpstreamLimit, load: Load, concurrency: int, now_s: float) -> UpstreamLimit:
    """Adapt the limit to a load report and to the upstream's current concurrency."""
    if concurrency != limit.concurrency:
        limit.limit *= concurrency / max(1, limit.concurrency)
        limit.limit = max(_MIN_LIMIT, limit.limit)
        limit.concurrency = concurrency
    # At an upstream with low concurrency, one waiting request is not congestion.
    if load.waiting > max(1.0, _TOLERATED_WAITING_RATIO * concurrency):
        return observe_congestion(limit, now_s)
    return limit


def observe_congestion(limit: UpstreamLimit, now_s: float) -> UpstreamLimit:
    """Decrease the limit after a sign of congestion, such as a refusal by a busy upstream."""
    if now_s - limit.last_decrease_s >= _DECREASE_PERIOD_S:
        limit.last_decrease_s = now_s
        limit.limit = max(_MIN_LIMIT, limit.limit * _DECREASE_RATIO)
    return limit


def _observe_delay(limit: UpstreamLimit, elapsed_s: float, now_s: float) -> None:
    limit.samples += 1
    weight = max(_SAMPLE_WEIGHT, 1.0 / limit.samples)
    limit.recent_delay_s += weight * (elapsed_s - limit.recent_delay_s)
    doublings = (now_s - limit.baseline_at_s) / _BASELINE_DOUBLING_S
    raised_s = limit.baseline_delay_s * (1.0 + min(1.0, doublings))
    is_warm = limit.samples >= _WARM_UP_SAMPLES
    limit.baseline_delay_s = (
        min(limit.recent_delay_s, raised_s) if is_warm else limit.recent_delay_s
    )
    limit.baseline_at_s = now_s
