"""Detect shifts of expert demand in a group from the pauses of its streams.

When the demand shifts to other experts, a map that was balanced before makes every pass of the
group two or three times as long. The next pause of each stream is as long as the pass, so a shift
is detected without reading counters from the ranks.
"""

from collections import deque
from math import exp
from statistics import median

from msgspec import Struct, field

# Number of pauses in the median, which ignores a single stream that pauses for another reason.
_RECENT_PAUSES = 5
# Ratio of the median to the usual duration that indicates a shift. Prefill between two events makes
# a pass up to a quarter longer.
SHIFT_RATIO = 1.3
# Time constants of the usual duration: it follows shorter passes fast and longer ones slowly.
_SHORTER_TIME_CONSTANT_S = 0.3
_LONGER_TIME_CONSTANT_S = 1.5
# Time after a detected shift in which long passes do not count as another one.
_SHIFT_COOLDOWN_S = 0.6


class PassDurations(Struct, eq=False):
    """Usual pass duration of one group, and its recent pauses."""

    # 0 before the first observation.
    usual_s: float = 0.0
    recent_s: deque[float] = field(default_factory=lambda: deque(maxlen=_RECENT_PAUSES))
    updated_s: float = float("-inf")
    # Time of the last detected shift.
    shifted_s: float = float("-inf")


def observe(durations: PassDurations, pause_s: float, now_s: float) -> bool:
    """Record the pause before an event, and return whether it shows a shift."""
    durations.recent_s.append(pause_s)
    if not durations.usual_s:
        durations.usual_s, durations.updated_s = pause_s, now_s
        return False
    current_s = median(durations.recent_s)
    is_shift = (
        len(durations.recent_s) == _RECENT_PAUSES
        and current_s > SHIFT_RATIO * durations.usual_s
        and now_s - durations.shifted_s > _SHIFT_COOLDOWN_S
    )
    if is_shift:
        durations.usual_s, durations.shifted_s = current_s, now_s
    time_constant_s = (
        _SHORTER_TIME_CONSTANT_S if current_s < durations.usual_s else _LONGER_TIME_CONSTANT_S
    )
    weight = 1.0 - exp(-max(0.0, now_s - durations.updated_s) / time_constant_s)
    durations.usual_s += weight * (current_s - durations.usual_s)
    durations.updated_s = now_s
    return is_shift
