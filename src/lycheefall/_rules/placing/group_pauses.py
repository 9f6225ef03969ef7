"""Detect groups whose streams exceed their pause target, and limit the batches of groups.

All ranks of a group start each pass together, so one slow rank makes all streams of the group
late, and smaller batches do not help. Requests that can be in time then go to other groups.
"""

from math import exp

from msgspec import Struct, field

from lycheefall._rules.placing import batch_limit
from lycheefall._rules.placing.batch_limit import BatchLimit

# Time constant of the mean pause. The passes after a shift of expert demand are long for half of
# this time.
_TIME_CONSTANT_S = 1.0
# A group becomes slow above the first ratio of its mean pause to the target, and recovers below
# the second: the hysteresis keeps a single long pass from changing the state.
SLOW_RATIO = 1.15
RECOVERED_RATIO = 1.0


class GroupPauses(Struct, eq=False):
    """Mean pause of a group's streams relative to the target, and its batch limit."""

    batch: BatchLimit = field(default_factory=BatchLimit)
    mean_ratio: float = 0.0
    updated_s: float = float("-inf")
    is_slow: bool = False


def observe(pauses: GroupPauses, pause_ratio: float, now_s: float) -> None:
    """Record the longest recent pause of a stream, relative to its target."""
    batch_limit.observe(pauses.batch, pause_ratio, now_s)
    weight = 1.0 - exp(-max(0.0, now_s - pauses.updated_s) / _TIME_CONSTANT_S)
    pauses.mean_ratio += weight * (pause_ratio - pauses.mean_ratio)
    pauses.updated_s = now_s
    threshold = RECOVERED_RATIO if pauses.is_slow else SLOW_RATIO
    pauses.is_slow = pauses.mean_ratio > threshold
