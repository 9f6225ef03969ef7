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

# Weight of one stream's observation in the part of late ones.
_WEIGHT = 0.05
# Above this part of late pauses the batch becomes smaller, below the other it grows.
_TOO_MANY_LATE = 0.15
_FEW_LATE = 0.04
# Pauses this far above the target have another cause, such as a slow rank: a smaller batch
# would only serve fewer callers.
HOPELESS_RATIO = 1.4
_DECREASE = 0.8
_INCREASE = 0.02
# The limit grows only after this time without late pauses: demand shifts every few seconds.
CALM_S = 4.0
# A larger batch shows in the pauses after about two passes; a smaller one only when streams that
# run now have ended, which takes about two seconds.
CHANGE_PERIOD_S = 0.3
DECREASE_PERIOD_S = 1.5
# With less than half of its slots an engine wastes more than it gains.
LEAST_SHARE = 0.5


class BatchLimit(Struct, eq=False):
    """The part of the slots in use, and what was observed."""

    share: float = 1.0
    late: float = 0.0
    changed_s: float = float("-inf")
    decreased_s: float = float("-inf")
    # Until when the share does not grow.
    calm_s: float = float("-inf")


def observe(limit: BatchLimit, pause_ratio: float, now_s: float) -> None:
    """Take a stream's pause against its target, and change the limit when it is time."""
    is_late = 1.0 < pause_ratio < HOPELESS_RATIO
    limit.late += _WEIGHT * (float(is_late) - limit.late)
    if now_s - limit.changed_s < CHANGE_PERIOD_S:
        return
    if limit.late > _TOO_MANY_LATE:
        if now_s - limit.decreased_s >= DECREASE_PERIOD_S:
            limit.share = max(LEAST_SHARE, limit.share * _DECREASE)
            limit.changed_s = limit.decreased_s = now_s
        limit.calm_s = now_s + CALM_S
    elif limit.late < _FEW_LATE and limit.share < 1.0 and now_s >= limit.calm_s:
        limit.share = min(1.0, limit.share + _INCREASE)
        limit.changed_s = now_s


def places(limit: BatchLimit, slots: int) -> int:
    """Return how many of the slots are used."""
    return max(1, ceil(slots * limit.share - 1e-9))
