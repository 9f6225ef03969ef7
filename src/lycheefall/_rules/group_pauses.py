"""Whether the streams of a group keep their pace, and how large its batches may be.

All ranks of a group begin each pass together, so one slow rank makes all its streams late, and
smaller batches do not help. Requests that can be in time then go to other groups.
"""

from math import exp

from msgspec import Struct, field

from lycheefall._rules import batch_limit
from lycheefall._rules.batch_limit import BatchLimit

# Time in which an observation loses most of its weight. The passes after a shift of the demand
# for experts are long for half of this time.
_TIME_CONSTANT_S = 1.0
# A group is slow from this mean pause on, against the longest one in time, and until it falls
# below the other: hysteresis against groups that change sides with each long pass.
SLOW_RATIO = 1.15
RECOVERED_RATIO = 1.0


class GroupPauses(Struct, eq=False):
    """Pauses of a group's streams, against the longest one that is in time."""

    batch: BatchLimit = field(default_factory=BatchLimit)
    ratio: float = 0.0
    updated_s: float = float("-inf")
    is_slow: bool = False


def observe(pauses: GroupPauses, pause_ratio: float, now_s: float) -> None:
    """Take the longest pause of a stream lately."""
    batch_limit.observe(pauses.batch, pause_ratio, now_s)
    weight = 1.0 - exp(-max(0.0, now_s - pauses.updated_s) / _TIME_CONSTANT_S)
    pauses.ratio += weight * (pause_ratio - pauses.ratio)
    pauses.updated_s = now_s
    limit = RECOVERED_RATIO if pauses.is_slow else SLOW_RATIO
    pauses.is_slow = pauses.ratio > limit
