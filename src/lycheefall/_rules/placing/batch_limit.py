"""Limit the batch size of an engine so that the pauses of its streams meet their target.

Each request of a batch makes every step longer, for all ranks of a group. When pauses between
events exceed their target, a smaller batch serves more callers in time than a full one. A single
long pass makes all streams of its group late, and the passes after a shift of expert demand are
the longest, so the batch stays small for longer than the time between two shifts.
The limit follows additive increase and multiplicative decrease: D.-M. Chiu and R. Jain,
"Analysis of the Increase and Decrease Algorithms for Congestion Avoidance", 1989.
"""

from math import ceil

from msgspec import Struct

from lycheefall._rules.pass_duration import MIN_USABLE_SHARE

# Weight of one observation in the moving averages. All streams of a long pass are observed within
# half a second, spread over the entries.
_OBSERVATION_WEIGHT = 0.1
# The batch shrinks above this fraction of late pauses.
_MAX_LATE_RATIO = 0.08
# Pauses above this fraction of the target prevent a larger batch.
_NEAR_TARGET_RATIO = 0.9
# Pauses above this multiple of the target have another cause, such as a slow rank, so a smaller
# batch would only serve fewer callers.
OUTLIER_RATIO = 1.4
# Factor of the share for each decrease, and addend for each increase.
_DECREASE_FACTOR = 0.8
_INCREASE_STEP = 0.02
# A larger batch affects the pauses after about two passes; a smaller one only after the running
# streams have ended, which takes about two seconds.
INCREASE_PERIOD_S = 0.3
DECREASE_PERIOD_S = 1.5
# The limit grows only after this time without pauses near the target: demand shifts every few
# seconds, and a batch that is too large makes all streams late at the next shift.
INCREASE_HOLDOFF_S = 10.0


class BatchLimit(Struct, eq=False):
    """Fraction of the slots that may be used, and the statistics of pauses that adjust it."""

    share: float = 1.0
    # Moving averages of the fraction of pauses above the target, and of those above or near it;
    # outliers count as neither.
    late_ratio: float = 0.0
    near_target_ratio: float = 0.0
    decreased_s: float = float("-inf")
    increased_s: float = float("-inf")
    # Time before which the share does not grow; None before the first observation.
    hold_until_s: float | None = None


def observe(limit: BatchLimit, pause_ratio: float, now_s: float) -> None:
    """Record a stream's pause relative to its target, and adjust the limit."""
    limit.late_ratio += _OBSERVATION_WEIGHT * (
        float(1.0 < pause_ratio < OUTLIER_RATIO) - limit.late_ratio
    )
    limit.near_target_ratio += _OBSERVATION_WEIGHT * (
        float(_NEAR_TARGET_RATIO < pause_ratio < OUTLIER_RATIO) - limit.near_target_ratio
    )
    if limit.near_target_ratio > _MAX_LATE_RATIO or limit.hold_until_s is None:
        limit.hold_until_s = now_s + INCREASE_HOLDOFF_S
    if limit.late_ratio > _MAX_LATE_RATIO:
        if now_s - limit.decreased_s >= DECREASE_PERIOD_S:
            limit.share = max(MIN_USABLE_SHARE, limit.share * _DECREASE_FACTOR)
            limit.decreased_s = now_s
    elif now_s >= limit.hold_until_s and now_s - limit.increased_s >= INCREASE_PERIOD_S:
        limit.share = min(1.0, limit.share + _INCREASE_STEP)
        limit.increased_s = now_s


def usable_slots(limit: BatchLimit, slots: int) -> int:
    """Return the number of slots that may be used, at least 1."""
    # The subtrahend keeps a rounding error of the share from adding a slot.
    return max(1, ceil(slots * limit.share - 1e-9))
