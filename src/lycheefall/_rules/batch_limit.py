"""How many requests an engine runs at once so that its streams keep their pace.

Each request of a batch makes every step longer, for all ranks of a group. When pauses between
events exceed their target, a smaller batch serves more callers in time than a full one. A single
long pass makes all streams of its group late, and the passes after a shift of the demand for
experts are the longest, so the batch is kept small beyond the time between two shifts.
Additive increase and multiplicative decrease: D.-M. Chiu and R. Jain, "Analysis of the Increase
and Decrease Algorithms for Congestion Avoidance", 1989.
"""

from math import ceil

from msgspec import Struct

from lycheefall._rules.pass_duration import MIN_USABLE_SHARE

# Weight of one stream's observation in the part of late ones; the streams of one long pass are
# seen within half a second, some of them at each entry.
_WEIGHT = 0.1
# Above this part of late pauses the batch becomes smaller.
_MAX_LATE_RATIO = 0.08
# Pauses above this part of the target leave no room for a larger batch.
_NEAR_RATIO = 0.9
# Pauses this far above the target have another cause, such as a slow rank: a smaller batch
# would only serve fewer callers.
OUTLIER_RATIO = 1.4
_DECREASE = 0.8
_INCREASE = 0.02
# A larger batch shows in the pauses after about two passes; a smaller one only when streams that
# run now have ended, which takes about two seconds.
INCREASE_PERIOD_S = 0.3
DECREASE_PERIOD_S = 1.5
# The limit grows only after this time without pauses near the target: demand shifts every few
# seconds, and a larger batch costs all streams of the next shift.
INCREASE_HOLDOFF_S = 10.0


class BatchLimit(Struct, eq=False):
    """The part of the slots in use, and what was observed."""

    share: float = 1.0
    late_ratio: float = 0.0
    near_ratio: float = 0.0
    decreased_s: float = float("-inf")
    increased_s: float = float("-inf")
    # Until when the share does not grow; None before the first observation.
    hold_until_s: float | None = None


def observe(limit: BatchLimit, pause_ratio: float, now_s: float) -> None:
    """Take a stream's pause against its target, and change the limit when it is time."""
    limit.late_ratio += _WEIGHT * (float(1.0 < pause_ratio < OUTLIER_RATIO) - limit.late_ratio)
    limit.near_ratio += _WEIGHT * (
        float(_NEAR_RATIO < pause_ratio < OUTLIER_RATIO) - limit.near_ratio
    )
    if limit.near_ratio > _MAX_LATE_RATIO or limit.hold_until_s is None:
        limit.hold_until_s = now_s + INCREASE_HOLDOFF_S
    if limit.late_ratio > _MAX_LATE_RATIO:
        if now_s - limit.decreased_s >= DECREASE_PERIOD_S:
            limit.share = max(MIN_USABLE_SHARE, limit.share * _DECREASE)
            limit.decreased_s = now_s
    elif now_s >= limit.hold_until_s and now_s - limit.increased_s >= INCREASE_PERIOD_S:
        limit.share = min(1.0, limit.share + _INCREASE)
        limit.increased_s = now_s


def usable_slots(limit: BatchLimit, slots: int) -> int:
    """Return how many of the slots are used."""
    return max(1, ceil(slots * limit.share - 1e-9))
