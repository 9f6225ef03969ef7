"""Detect a sudden increase of a group's pass length from the pauses of its streams.

When the demand shifts to other experts, a map that was balanced before makes every pass of the
group two or three times as long. The streams show it with their next event, at no extra cost.
"""

from collections import deque
from math import exp
from statistics import median

from msgspec import Struct, field

# Number of pauses that the median is taken of; a single stream may pause for another reason.
_RECENT_PAUSES = 5
# Ratio to the usual length that indicates a shift. Prefill between two events makes a pass up to
# a quarter longer.
LONGER_RATIO = 1.3
# Time constants of the usual length: it follows shorter passes fast and longer ones slowly.
_SHORTER_TIME_CONSTANT_S = 0.3
_LONGER_TIME_CONSTANT_S = 1.5
# Time after a detected shift in which long passes do not count as another one.
_SHIFT_COOLDOWN_S = 0.6


class PassLength(Struct, eq=False):
    """Usual and recent pass lengths of one group."""

    usual_s: float = 0.0
    recent: deque[float] = field(default_factory=lambda: deque(maxlen=_RECENT_PAUSES))
    updated_s: float = float("-inf")
    shifted_s: float = float("-inf")


def observe(length: PassLength, pause_s: float, now_s: float) -> bool:
    """Record the pause before an event, and return whether it shows a shift."""
    length.recent.append(pause_s)
    if not length.usual_s:
        length.usual_s, length.updated_s = pause_s, now_s
        return False
    current_s = median(length.recent)
    is_shift = (
        len(length.recent) == _RECENT_PAUSES
        and current_s > LONGER_RATIO * length.usual_s
        and now_s - length.shifted_s > _SHIFT_COOLDOWN_S
    )
    if is_shift:
        length.usual_s, length.shifted_s = current_s, now_s
    time_constant_s = (
        _SHORTER_TIME_CONSTANT_S if current_s < length.usual_s else _LONGER_TIME_CONSTANT_S
    )
    weight = 1.0 - exp(-max(0.0, now_s - length.updated_s) / time_constant_s)
    length.usual_s += weight * (current_s - length.usual_s)
    length.updated_s = now_s
    return is_shift
