"""How many requests an engine runs at once so that its streams keep their pace.

Each request of a batch makes every step longer, for all ranks of a group. When pauses between
events exceed their target, a smaller batch serves more callers in time than a full one.
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
_DECREASE = 0.9
_INCREASE = 0.02
# A change shows in the pauses after about two passes.
CHANGE_PERIOD_S = 0.3
# With less than half of its slots an engine wastes more than it gains.
LEAST_SHARE = 0.5


class BatchLimit(Struct, eq=False):
    """The part of the slots in use, and what was observed."""

    share: float = 1.0
    late: float = 0.0
    changed_s: float = float("-inf")


def observe(limit: BatchLimit, pause_ratio: float, now_s: float) -> None:
    """Take a stream's pause against its target, and change the limit when it is time."""
    is_late = 1.0 < pause_ratio < HOPELESS_RATIO
    limit.late += _WEIGHT * (float(is_late) - limit.late)
    if now_s - limit.changed_s < CHANGE_PERIOD_S:
        return
    if limit.late > _TOO_MANY_LATE:
        limit.share = max(LEAST_SHARE, limit.share * _DECREASE)
        limit.changed_s = now_s
    elif limit.late < _FEW_LATE and limit.share < 1.0:
        limit.share = min(1.0, limit.share + _INCREASE)
        limit.changed_s = now_s


def places(limit: BatchLimit, slots: int) -> int:
    """Return how many of the slots are used."""
    return max(1, ceil(slots * limit.share - 1e-9))
